//! The background task for quarantines: expires them, logs when they begin and end, and passes them
//! to the feed to be stored, so that they survive a restart of all VMs.

use std::{rc::Rc, time::Duration};

use ryetide::quarantine_log;
use ryetide_core::{
    crash_ledger::{QUARANTINE_TTL, SuspectReport},
    ids::VmName,
};
use tokio::{sync::watch, time};

use crate::{
    gateway_state::Gateway,
    ports::{PeerEntry, StoredQuarantine},
    unix_time,
};

/// The interval at which quarantines are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How much later than stored the last attempt at a request must be for its quarantine to be stored
/// again. Without this, a quarantine would count as expired in the store while callers still retry
/// the request.
const REWRITE_INTERVAL: Duration = Duration::from_secs(QUARANTINE_TTL.as_secs() / 2);

/// Expires, logs and stores the quarantines of one VM.
pub struct QuarantineMonitor {
    stored: watch::Sender<Vec<StoredQuarantine>>,
}

impl QuarantineMonitor {
    /// Creates an instance, and the receiver through which the feed learns what to store.
    pub fn new() -> (Self, watch::Receiver<Vec<StoredQuarantine>>) {
        let (stored, receiver) = watch::channel(Vec::new());
        (Self { stored }, receiver)
    }

    /// Checks the quarantines until the task is cancelled.
    pub async fn run(self, gateway: Rc<Gateway>) {
        let mut ticks = time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.check(&gateway);
        }
    }

    fn check(&self, gateway: &Gateway) {
        let now = gateway.hub().clock().now();
        let (changes, count, reports) = gateway.hub().peek_mut(|scheduler| {
            let ledger = scheduler.crashes_mut();
            ledger.age(now);
            (ledger.take_changes(), ledger.quarantine_count(), ledger.stored(now))
        });
        let vm = gateway.settings().borrow().name.clone();
        for change in changes {
            quarantine_log::write(&vm, &change);
        }
        gateway.metrics().set_quarantined(count);
        let now_ms = unix_time::millis();
        let found: Vec<StoredQuarantine> =
            reports.iter().map(|report| to_stored(report, now_ms)).collect();
        self.stored.send_if_modified(|before| {
            let changed = must_write(before, &found);
            if changed {
                *before = found;
            }
            changed
        });
    }
}

/// Adds the quarantines that VMs have stored, including those that an earlier incarnation of this
/// VM stored.
pub fn restore_quarantines(gateway: &Gateway, own: &VmName, listed: &[PeerEntry]) {
    let now = gateway.hub().clock().now();
    let now_ms = unix_time::millis();
    for peer in listed {
        for stored in &peer.quarantines {
            let report = to_report(stored, now_ms);
            let is_own = peer.name == *own;
            gateway.hub().peek_mut(|it| it.crashes_mut().take_stored(now, &report, is_own));
        }
    }
}

/// Returns whether the stored quarantines `before` must be replaced by the current ones, `found`.
pub fn must_write(before: &[StoredQuarantine], found: &[StoredQuarantine]) -> bool {
    let rewrite_ms = REWRITE_INTERVAL.as_millis() as u64;
    let is_current = |now: &StoredQuarantine| {
        let mut same = before.iter().filter(|it| it.suspect == now.suspect);
        same.any(|it| now.asked_ms < it.asked_ms.saturating_add(rewrite_ms))
    };
    before.len() != found.len() || !found.iter().all(is_current)
}

fn to_stored(report: &SuspectReport, now_ms: u64) -> StoredQuarantine {
    StoredQuarantine {
        suspect: report.suspect,
        since_ms: now_ms.saturating_sub(u64::from(report.age_ms)),
        asked_ms: now_ms.saturating_sub(u64::from(report.asked_ms)),
    }
}

/// Converts a stored quarantine to a report. The clocks of two VMs may differ by seconds, which is
/// short compared with the duration of a quarantine.
fn to_report(stored: &StoredQuarantine, now_ms: u64) -> SuspectReport {
    let age = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
    let (age_ms, asked_ms) = (age(stored.since_ms), age(stored.asked_ms));
    SuspectReport { suspect: stored.suspect, age_ms, asked_ms }
}
