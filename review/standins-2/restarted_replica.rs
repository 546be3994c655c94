//! Two of nine replicas crash and start again under their ids, one a little later than the other;
//! then two others do, and so on.
//!
//! The clients keep their connections. Judged are the requests that a replica runs after its last
//! start: it is sound from then on.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    load::Load,
    record::Record,
    replica::{Replica, Work},
    site::{self, Vm},
    store::Store,
};

/// The replicas, as many as the site has. Two of them crash: 0.22, where the site file has 0.25.
const ENGINES: usize = 9;
/// The slots of each, fewer than on the site, so that some tens of clients keep them busy.
const SLOTS: u32 = 3;
/// How long the two that crash are down.
const DOWN: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1_000)];
/// How often two replicas crash, and how long after the two before.
const CYCLES: usize = 16;
const CYCLE: Duration = Duration::from_millis(5_500);
/// More than there are slots, so that every replica is in use.
const CLIENTS: usize = 40;

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
    for cycle in 0..CYCLES {
        if !trouble {
            thread::sleep(CYCLE);
            continue;
        }
        let first = cycle * 2 % (ENGINES - 1);
        let crashed = &engines[first..first + 2];
        crashed.iter().for_each(Replica::crash);
        let mut down = Duration::ZERO;
        for (engine, until) in crashed.iter().zip(DOWN) {
            thread::sleep(until - down);
            down = until;
            engine.restart();
            engine.register(&store, "ready");
            record.add(format!("the entry of {} is acknowledged", engine.id));
        }
        thread::sleep(CYCLE - down);
    }
    load.judge(record, &engines)
}
