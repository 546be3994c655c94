//! The store is down during a roll-out, and an entry VM is killed and starts again meanwhile.
//!
//! While the store is down the entries of all replicas lapse; they come back within two seconds of its
//! return. If those of the new version come back first, the VM that has just started sees no other
//! version, takes the trial for needless and tells its peers that the version has passed.

use std::{
    path::Path,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::{self, Record, Replica, RunFolder, Site},
    load::{self, Load},
    store::Store,
};

const SERVICE: &str = "huvo11a";
const REPLICAS: usize = 3;
const CLIENTS_PER_VM: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(75);

/// The time that the order gives for the roll-out.
const ORDER_S: u64 = 16;
/// The moments of the case, after the order was acknowledged.
const STORE_DOWN: Duration = Duration::from_millis(300);
const VM_KILLED: Duration = Duration::from_millis(1_000);
const VM_RESTARTED: Duration = Duration::from_millis(2_500);
/// Three heartbeats of 1.2 s after the last one that the store has accepted.
const ENTRIES_LAPSED: Duration = Duration::from_millis(3_900);
const STORE_BACK: Duration = Duration::from_millis(4_400);
/// When each replica has written its entry again, after the return of the store; the new version's come
/// first.
const NEW_BACK: [Duration; REPLICAS] = [
    Duration::from_millis(20),
    Duration::from_millis(250),
    Duration::from_millis(500),
];
const OLD_BACK: [Duration; REPLICAS] = [
    Duration::from_millis(900),
    Duration::from_millis(1_100),
    Duration::from_millis(1_300),
];
/// When the new version begins to fail half of its requests.
const BAD_FROM: Duration = Duration::from_millis(6_800);
/// `stable_ms`: from then after the store's return the entry VMs are in touch again.
const STABLE: Duration = Duration::from_millis(4_000);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path) -> Result<bool, String> {
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(folder)?;
    let run_folder = RunFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &load::config(SERVICE, 590));
    let mut old = start_replicas("old", u64::MAX, &record)?;
    old.iter().for_each(|replica| replica.register(&store, "ready", 1));
    let site = Site {
        store: store.address,
        contracts: fleet::ROLLOUT_CONTRACTS,
        bounds: fleet::ROLLOUT_BOUNDS,
    };
    let mut vms = fleet::start_vms(3, &site, &store, &run_folder.0)?;
    let load = Load::start(&vms, CLIENTS_PER_VM, CLIENT_PAUSE, &record);
    thread::sleep(STABLE + Duration::from_secs(1));

    let bad_from = unix_millis() + BAD_FROM.as_millis() as u64;
    let new = start_replicas("new", bad_from, &record)?;
    let new: Vec<Replica> = new.into_iter().map(|replica| replica.with_version("v2")).collect();
    let order = format!(r#"{{"backend":"{SERVICE}","to":"v2","duration_s":{ORDER_S}}}"#);
    let order_key = format!("rollout/{SERVICE}");
    store.put("op", &order_key, &order);
    let ordered = record.elapsed();
    record.write("the store has acknowledged the order to roll v2 out");
    new.iter().for_each(|replica| replica.register(&store, "ready", 1));

    // What happens, in the order of its moments.
    let mut plan: Vec<(Duration, Step)> = Vec::new();
    if with_trouble {
        plan.push((STORE_DOWN, Step::StoreDown));
        plan.push((VM_KILLED, Step::KillVm));
        plan.push((VM_RESTARTED, Step::RestartVm));
        plan.push((ENTRIES_LAPSED, Step::Lapse));
        plan.push((STORE_BACK, Step::StoreBack));
        plan.extend((0..REPLICAS).map(|it| (STORE_BACK + NEW_BACK[it], Step::NewBack(it))));
        plan.extend((0..REPLICAS).map(|it| (STORE_BACK + OLD_BACK[it], Step::OldBack(it))));
        plan.sort_by_key(|(at, _)| *at);
    }
    let mut plan = plan.into_iter().peekable();
    let mut state = String::new();
    let mut old_stopped = false;
    while record.elapsed() < ordered + Duration::from_secs(ORDER_S) {
        while let Some((_, step)) = plan.next_if(|(at, _)| record.elapsed() >= ordered + *at) {
            match step {
                Step::StoreDown => store.set_down(true),
                Step::KillVm => vms[2].kill(),
                Step::RestartVm => vms[2].restart()?,
                Step::Lapse => {
                    old.iter().chain(&new).for_each(|it| store.drop_row("servers", &it.id));
                }
                Step::StoreBack => store.set_down(false),
                Step::NewBack(index) => new[index].register(&store, "ready", 5),
                Step::OldBack(index) => old[index].register(&store, "ready", 5),
            }
            record.write(&format!("{step:?}"));
        }
        let found = store.get("status", &order_key).unwrap_or_default();
        if found != state {
            record.write(&format!("status/{order_key} is {found}"));
            state = found;
        }
        if state.contains("completed") && !old_stopped {
            // "At `completed`, the old replicas stop immediately, without draining."
            old_stopped = true;
            for replica in &mut old {
                replica.process.kill();
                store.drop_row("servers", &replica.id);
            }
            record.write("the old replicas have stopped");
        }
        thread::sleep(Duration::from_millis(10));
    }
    load.stop()?;

    let sum = |replicas: &[Replica], word, since| -> usize {
        replicas.iter().map(|replica| replica.count_since(word, since)).sum()
    };
    let in_touch = if with_trouble { ordered + STORE_BACK + STABLE } else { ordered };
    let exposed = sum(&new, "runs", in_touch);
    let all = sum(&new, "runs", ordered) + sum(&old, "runs", ordered);
    let failed = sum(&new, "failed", in_touch);
    let limit = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.write(&format!(
        "between the order and its deadline {all} requests ran at the service; from machines in touch {exposed} \
         of them ran at the bad version, {failed} of which it failed; the limit is {limit:.0}"
    ));
    if all < 1_000 {
        return Err("too few requests ran".to_owned());
    }
    let held = exposed as f64 <= limit;
    record.write(if held { "the rule held" } else { "BROKEN: EXPOSURE" });
    Ok(held)
}

#[derive(Debug)]
enum Step {
    StoreDown,
    KillVm,
    RestartVm,
    Lapse,
    StoreBack,
    NewBack(usize),
    OldBack(usize),
}

fn start_replicas(name: &str, bad_from: u64, record: &Record) -> Result<Vec<Replica>, String> {
    let bad_from = bad_from.to_string();
    let start = |number| {
        Replica::start(&format!("i-{name}-{number}"), SERVICE, &["plain", &bad_from], record)
    };
    (1..=REPLICAS).map(start).collect()
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
