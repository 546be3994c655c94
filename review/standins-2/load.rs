//! Clients that send streaming requests on kept connections, and what became of these.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    Verdict,
    caller::{Caller, Outcome},
    record::Record,
    replica::Replica,
    site::Vm,
};

/// A machine may lose as many requests of kept connections.
const PERMITTED: usize = 3;
/// The pause of a client after an answer, and after a refusal.
const PAUSE: Duration = Duration::from_millis(30);
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// The time between the first requests of two clients.
const STAGGER: Duration = Duration::from_millis(50);

struct Attempt {
    vm: usize,
    id: String,
    /// Whether the connection had brought an answer before.
    on_kept_connection: bool,
    outcome: Outcome,
}

/// Clients that send one request after the other.
pub struct Load {
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients, in turn at one VM after the other.
    pub fn start(record: &Record, vms: &[Vm], clients: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let next = Arc::new(AtomicUsize::new(0));
        let client = |index: usize| {
            let (vm, address) = (index % vms.len(), vms[index % vms.len()].callers);
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let (attempts, next) = (Arc::clone(&attempts), Arc::clone(&next));
            thread::spawn(move || {
                thread::sleep(STAGGER * index as u32);
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut caller) = Caller::connect(&record, address) else { continue };
                    let mut on_kept_connection = false;
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("sheet-{}", next.fetch_add(1, Ordering::Relaxed));
                        let outcome = caller.send("/sheet/a", &id, 15_000, "600,180");
                        let (ended, refused) = (!outcome.whole, outcome.status == 503);
                        let attempt = Attempt { vm, id, on_kept_connection, outcome };
                        attempts.lock().expect("lock").push(attempt);
                        thread::sleep(if refused { REFUSED_PAUSE } else { PAUSE });
                        if ended {
                            break;
                        }
                        on_kept_connection = true;
                    }
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Load { stop, attempts, clients }
    }

    /// Ends the clients, and counts, by machine, the requests on kept connections that ended without
    /// a whole answer while the replica ran them. A crash clears what its replica has run, so that
    /// the requests which it broke off do not count, and neither do those that a later crash forgets.
    pub fn judge(self, record: &Record, engines: &[Replica]) -> Verdict {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|it| drop(it.join()));
        let attempts = self.attempts.lock().expect("lock");
        let mut lost: BTreeMap<usize, usize> = BTreeMap::new();
        for attempt in attempts.iter().filter(|it| !it.outcome.whole) {
            let sound = engines.iter().find(|it| it.runs_now(&attempt.id));
            let Some(engine) = sound else { continue };
            let Attempt { vm, id, on_kept_connection, outcome } = attempt;
            let kind = if *on_kept_connection { "kept" } else { "new" };
            record.add(format!(
                "lost: {id} by edge-{vm}, on a {kind} connection, after {} events, while the sound {} ran it",
                outcome.events, engine.id
            ));
            if *on_kept_connection {
                *lost.entry(*vm).or_default() += 1;
            }
        }
        record.add(format!("lost on kept connections, by machine: {lost:?}"));
        if lost.values().any(|count| *count > PERMITTED) { Verdict::Broken } else { Verdict::Held }
    }
}
