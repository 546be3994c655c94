//! The answers of the replicas end with their connections, and another writer adds entries, under keys
//! of its own and for a service that isn't named, with the addresses of some replicas.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    load::Load,
    record::Record,
    replica::{Replica, Work},
    site::{self, Vm},
    store::Store,
};

const ENGINES: usize = 9;
/// The replicas whose addresses stand in foreign entries too.
const SHARED: usize = 4;
const SLOTS: u32 = 4;
const CLIENTS: usize = 34;

pub fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    site::write_config(record, &store, 7);
    let zones = ["rajkot-hall", "ahd-hall", "morbi-hall"];
    let work = Work {
        first: Duration::from_millis(60),
        events: 30,
        pause: Duration::from_millis(60),
        chunked: false,
    };
    let engines: Vec<Replica> = (0..ENGINES)
        .map(|index| {
            let (id, zone) = (format!("i-llm-{index}"), zones[index % 3]);
            let mut engine = Replica::start(record, &id, "harness-llm", zone, work.clone());
            engine.slots = SLOTS;
            engine
        })
        .collect();
    for engine in &engines {
        engine.set_born();
        engine.register(&store, "ready");
    }
    let mut vms: Vec<Vm> = (0..2)
        .map(|index| Vm::create(folder, &format!("edge-{index}"), zones[index], store.address))
        .collect();
    if !site::start_all(record, &mut vms) {
        return Verdict::NotRun;
    }
    // The first seconds, in which no machine counts as in touch.
    thread::sleep(Duration::from_millis(4_000));
    let load = Load::start(record, &vms, CLIENTS);
    thread::sleep(Duration::from_millis(5_000));
    if trouble {
        for engine in &engines[..SHARED] {
            engine.add_foreign(&store);
            record.add(format!(
                "another writer has added an entry with the address of {}",
                engine.id
            ));
        }
    }
    thread::sleep(Duration::from_millis(10_000));
    load.judge(record, &engines)
}
