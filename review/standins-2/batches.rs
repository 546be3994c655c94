//! A small tenant sends its requests in batches: one to each machine at the same moment.

use std::{
    path::Path,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::Caller,
    quota::{self, SentTimes},
    record::Record,
    replica::{Replica, Work},
    site::{self, SMALL_KEY, SMALL_RATE, Vm},
    store::Store,
};

const VMS: usize = 8;
const ENGINES: usize = 9;
/// The tokens of a request: prompt and output. The site file has prompts of up to 54,600 tokens.
const TOKENS: &str = "29616,384";
const COST: u64 = 30_000;
const BATCHES: usize = 5;
/// The pause between two batches: 120,000 tokens a second, 6 times the tenant's usual, where the
/// site has up to 7.5. A tenant's usual is its rate / 1.8.
const PAUSE: Duration = Duration::from_millis(2_000);
/// The same for the tenant's usual: one request at a time.
const USUAL_PAUSE: Duration = Duration::from_millis(1_500);

pub fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    site::write_config(record, &store, 7);
    let zones = ["rajkot-hall", "ahd-hall", "morbi-hall"];
    let work = Work {
        first: Duration::from_millis(100),
        events: 10,
        pause: Duration::from_millis(20),
        chunked: true,
    };
    let engines: Vec<Replica> = (0..ENGINES)
        .map(|index| {
            let id = format!("i-llm-{index}");
            Replica::start(record, &id, "harness-llm", zones[index % 3], work.clone())
        })
        .collect();
    engines.iter().for_each(|it| it.register(&store, "ready"));
    let mut vms: Vec<Vm> = (0..VMS)
        .map(|index| Vm::create(folder, &format!("edge-{index}"), zones[index % 3], store.address))
        .collect();
    if !site::start_all(record, &mut vms) {
        return Verdict::NotRun;
    }
    // The first seconds, in which no machine counts as in touch and the VMs find each other.
    thread::sleep(Duration::from_millis(6_000));
    let mut callers: Vec<Caller> =
        vms.iter().filter_map(|vm| Caller::connect(record, vm.callers).ok()).collect();
    if callers.len() < VMS {
        return Verdict::NotRun;
    }
    callers.iter_mut().for_each(|it| it.set_key(SMALL_KEY));
    let sent: SentTimes = Arc::default();
    if trouble {
        send_batches(callers, &sent);
    } else {
        for (index, caller) in callers.iter_mut().enumerate() {
            quota::send(caller, &format!("usual-{index}"), TOKENS, &sent);
            thread::sleep(USUAL_PAUSE);
        }
    }
    thread::sleep(Duration::from_millis(1_000));
    let sent = sent.lock().expect("lock");
    quota::judge(record, &engines, &sent, COST, SMALL_RATE)
}

/// Sends one request to each VM at the same moment, again and again.
fn send_batches(callers: Vec<Caller>, sent: &SentTimes) {
    let together = Arc::new(Barrier::new(callers.len()));
    let clients: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(index, mut caller)| {
            let (together, sent) = (Arc::clone(&together), Arc::clone(sent));
            thread::spawn(move || {
                for batch in 0..BATCHES {
                    together.wait();
                    let began = Instant::now();
                    quota::send(&mut caller, &format!("batch-{batch}-{index}"), TOKENS, &sent);
                    thread::sleep(PAUSE.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|it| drop(it.join()));
}
