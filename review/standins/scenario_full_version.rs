//! A roll-out of a version that fails half of its requests while its replicas are full, and none else.
//!
//! This is an entry of KNOWN-RED.txt, played with real processes.

use std::{path::Path, thread, time::Duration};

use crate::{
    fleet::{self, Record, Replica, RunFolder, Site},
    load::{self, Load},
    store::Store,
};

const SERVICE: &str = "huvo11a";
const REPLICAS: usize = 6;
const VMS: usize = 6;
const CLIENTS_PER_VM: usize = 7;
const CLIENT_PAUSE: Duration = Duration::from_millis(75);
const SETTLING: Duration = Duration::from_secs(5);
const ORDER: Duration = Duration::from_secs(14);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Plays a version that fails while `most` requests run at a replica; returns whether the rule held.
pub fn run(folder: &Path, most: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let run_folder = RunFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &load::config(SERVICE, 590));
    let mut old = start_replicas("old", "4294967295", &record)?;
    old.iter().for_each(|replica| replica.register(&store, "ready", 1));
    let site = Site {
        store: store.address,
        contracts: fleet::ROLLOUT_CONTRACTS,
        bounds: fleet::ROLLOUT_BOUNDS,
    };
    let vms = fleet::start_vms(VMS, &site, &store, &run_folder.0)?;
    let load = Load::start(&vms, CLIENTS_PER_VM, CLIENT_PAUSE, &record);
    thread::sleep(SETTLING);
    let new = start_replicas("new", most, &record)?;
    let new: Vec<Replica> = new.into_iter().map(|replica| replica.with_version("v2")).collect();
    let order_key = format!("rollout/{SERVICE}");
    let seconds = ORDER.as_secs();
    let order = format!(r#"{{"backend":"{SERVICE}","to":"v2","duration_s":{seconds}}}"#);
    store.put("op", &order_key, &order);
    let ordered = record.elapsed();
    record.write("the store has acknowledged the order to roll v2 out");
    new.iter().for_each(|replica| replica.register(&store, "ready", 1));
    let mut state = String::new();
    while record.elapsed() < ordered + ORDER {
        let found = store.get("status", &order_key).unwrap_or_default();
        if found != state {
            record.write(&format!("status/{order_key} is {found}"));
            if found.contains("completed") {
                for replica in &mut old {
                    replica.process.kill();
                    store.drop_row("servers", &replica.id);
                }
            }
            state = found;
        }
        thread::sleep(Duration::from_millis(10));
    }
    load.stop()?;
    let sum = |replicas: &[Replica], word| -> usize {
        replicas.iter().map(|replica| replica.count_since(word, ordered)).sum()
    };
    let (exposed, failed) = (sum(&new, "runs"), sum(&new, "failed"));
    let all = exposed + sum(&old, "runs");
    let limit = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.write(&format!(
        "{exposed} of {all} requests ran at the bad version, which failed {failed}; the limit is {limit:.0}"
    ));
    Ok(exposed as f64 <= limit)
}

fn start_replicas(name: &str, most: &str, record: &Record) -> Result<Vec<Replica>, String> {
    let start =
        |number| Replica::start(&format!("i-{name}-{number}"), SERVICE, &["loaded", most], record);
    (1..=REPLICAS).map(start).collect()
}
