//! Another writer puts entries under the ids of some replicas, which then write theirs again.

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
/// The replicas whose entries are overwritten.
const OVERWRITTEN: usize = 4;
const SLOTS: u32 = 4;
const CLIENTS: usize = 34;
/// A replica writes its entry about every heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    site::write_config(record, &store, 7);
    let zones = ["rajkot-hall", "ahd-hall", "morbi-hall"];
    let work = Work {
        first: Duration::from_millis(60),
        events: 30,
        pause: Duration::from_millis(60),
        chunked: true,
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
    for engine in &engines[..OVERWRITTEN] {
        if trouble {
            engine.overwrite(&store);
            record.add(format!("another writer has overwritten the entry of {}", engine.id));
        }
        thread::sleep(HEARTBEAT);
        engine.register(&store, "ready");
        record.add(format!("{} has written its entry again", engine.id));
        thread::sleep(Duration::from_millis(300));
    }
    let before = runs_of(&engines);
    thread::sleep(Duration::from_millis(12_000));
    let after = runs_of(&engines);
    for (engine, (before, after)) in engines.iter().zip(before.into_iter().zip(after)) {
        record.add(format!("{} has run {} requests since", engine.id, after - before));
    }
    load.judge(record, &engines)
}

fn runs_of(engines: &[Replica]) -> Vec<usize> {
    engines.iter().map(|it| it.runs.lock().expect("lock").len()).collect()
}
