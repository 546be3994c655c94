//! Adds up what a tenant has used of its quota.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{Caller, Outcome},
    record::Record,
    replica::Replica,
};

/// The bounds of the settings.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// When each request was sent.
pub type SentTimes = Arc<Mutex<BTreeMap<String, Instant>>>;

pub fn send(caller: &mut Caller, id: &str, tokens: &str, sent: &SentTimes) -> Outcome {
    sent.lock().expect("lock").insert(id.to_owned(), Instant::now());
    caller.send("/sheet/a", id, 15_000, tokens)
}

/// Adds up the tokens that were both sent and run within any window. Each request costs `cost`, and
/// the tenant has this rate a second and a burst of one second of it.
pub fn judge(
    record: &Record,
    engines: &[Replica],
    sent: &BTreeMap<String, Instant>,
    cost: u64,
    rate: u64,
) -> Verdict {
    let rate = rate as f64;
    let allowed = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERAGE) + SLACK;
    let mut ran: Vec<(Instant, Instant)> = Vec::new();
    for engine in engines {
        let runs = engine.runs.lock().expect("lock");
        ran.extend(runs.iter().filter_map(|(id, at)| Some((*sent.get(id)?, *at))));
    }
    let used = |from: Instant| {
        let within = ran.iter().filter(|(sent, ran)| *sent >= from && *ran < from + WINDOW);
        within.count() as u64 * cost
    };
    let most = ran.iter().map(|(sent, _)| used(*sent)).max().unwrap_or(0);
    record.add(format!(
        "{} of {} requests ran; at most {most} tokens were sent and run in {} s; {allowed:.0} are allowed",
        ran.len(),
        sent.len(),
        WINDOW.as_secs()
    ));
    if most as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
