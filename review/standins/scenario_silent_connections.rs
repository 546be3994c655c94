//! The open connections to the store fall silent while the entry VMs pause after a change of the
//! replicas, and a replica begins to drain a second later.
//!
//! The call for the operators' table finds out first, and tells the others to open new connections; the
//! one for the replicas pauses and does not hear it. It then asks on the connection that is silent.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Record, Replica, RunFolder, Site},
    load::{self, Load},
    store::Store,
};

const SERVICE: &str = "wuno96b";
const VMS: usize = 3;
const CLIENTS_PER_VM: usize = 6;
const CLIENT_PAUSE: Duration = Duration::from_millis(60);
/// How long after its last poll of the operators' table a VM's connections fall silent.
const AFTER_POLL: Duration = Duration::from_millis(1_850);
/// The polls of all VMs lie within this time, since all have started together.
const POLL_SPREAD: Duration = Duration::from_millis(100);
/// A new replica registers this long before the silence.
const REGISTERED_BEFORE: Duration = Duration::from_millis(50);
/// When the replica reports that it is draining, after the beginning of the silence.
const DRAINING: Duration = Duration::from_millis(1_050);
/// `drain_ms` and `stable_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);
/// When the replica exits, after the acknowledgement: "a little longer" than `drain_ms`.
const EXIT: Duration = Duration::from_millis(2_400);
/// Left for the way from the replica to this script's clock.
const SLACK: Duration = Duration::from_millis(50);
const SEARCH_LIMIT: Duration = Duration::from_secs(30);

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path) -> Result<bool, String> {
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(folder)?;
    let run_folder = RunFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &load::config(SERVICE, 110));
    let start = |id| Replica::start(id, SERVICE, &["plain", "18446744073709551615"], &record);
    let (mut leaving, staying, new) = (start("i-leaving")?, start("i-staying")?, start("i-new")?);
    [&leaving, &staying].iter().for_each(|replica| replica.register(&store, "ready", 1));
    let site = Site {
        store: store.address,
        contracts: fleet::SMALL_CONTRACTS,
        bounds: fleet::SMALL_BOUNDS,
    };
    let vms = fleet::start_vms(VMS, &site, &store, &run_folder.0)?;
    let load = Load::start(&vms, CLIENTS_PER_VM, CLIENT_PAUSE, &record);
    thread::sleep(STABLE + Duration::from_secs(1));

    let silent_at = find_moment(&store)?;
    sleep_until(silent_at - REGISTERED_BEFORE);
    new.register(&store, "ready", 1);
    record.write("the store has acknowledged that i-new is ready");
    sleep_until(silent_at);
    if with_trouble {
        store.silence_connections();
        record.write("the open connections to the store are silent");
    }
    sleep_until(silent_at + DRAINING);
    leaving.register(&store, "draining", 2);
    let acknowledged = record.elapsed();
    record.write("the store has acknowledged that i-leaving is draining");
    sleep_until(silent_at + DRAINING + EXIT);
    leaving.process.kill();
    store.drop_row("servers", "i-leaving");
    record.write("i-leaving has exited");
    sleep_until(silent_at + STABLE + Duration::from_secs(2));
    load.stop()?;

    // The VMs are in touch again `stable_ms` after the silence began, before `drain_ms` is over.
    let bound = acknowledged + DRAIN;
    let late = leaving.count_since("runs", bound + SLACK);
    let cut_off = leaving.count("runs").saturating_sub(leaving.count("answered"));
    let served = staying.count_since("runs", bound) + new.count_since("runs", bound);
    record.write(&format!(
        "{late} requests reached i-leaving more than drain_ms after the acknowledgement, and {served} the others; {cut_off} \
         were cut off when it exited"
    ));
    if served == 0 {
        return Err("no request was served after the disruption".to_owned());
    }
    let held = late == 0;
    record.write(if held { "the rule held" } else { "BROKEN: DRAIN" });
    Ok(held)
}

/// Returns a moment that lies the wanted time after the last polls of all VMs.
fn find_moment(store: &Store) -> Result<Instant, String> {
    let until = Instant::now() + SEARCH_LIMIT;
    while Instant::now() < until {
        if let Some(polls) = store.operator_polls(VMS)
            && let (Some(first), Some(last)) = (polls.iter().min(), polls.iter().max())
            && *last - *first < POLL_SPREAD
            && last.elapsed() < AFTER_POLL - 2 * REGISTERED_BEFORE
        {
            return Ok(*last + AFTER_POLL);
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err("the polls of the entry VMs never lay close together".to_owned())
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}
