//! What is done about quarantines beside the callers' requests: they age, their begin and end are logged, and they are kept
//! where they outlast all VMs.

use std::{rc::Rc, time::Duration};

use ryetide::quarantine_log;
use ryetide_core::{
    crash_ledger::{QUARANTINE_TTL, QuarantineReport},
    ids::VmName,
};
use tokio::{sync::watch, time};

use crate::{
    gateway_state::Gateway,
    ports::{KeptQuarantine, PeerEntry},
    unix_time,
};

/// How often quarantines are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// What is kept is written anew when a request was asked for this long after what it says, so that one which still comes is
/// not found to be over.
const REWRITE_SPAN: Duration = Duration::from_secs(QUARANTINE_TTL.as_secs() / 2);

/// Looks after the quarantines of one VM.
pub struct QuarantineKeeper {
    kept: watch::Sender<Vec<KeptQuarantine>>,
}

impl QuarantineKeeper {
    /// Creates a keeper, and what tells the feed what to keep.
    pub fn new() -> (Self, watch::Receiver<Vec<KeptQuarantine>>) {
        let (kept, receiver) = watch::channel(Vec::new());
        (Self { kept }, receiver)
    }

    /// Looks after them until the task is ended.
    pub async fn run(self, gateway: Rc<Gateway>) {
        let mut ticks = time::interval(LOOK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.look(&gateway);
        }
    }

    fn look(&self, gateway: &Gateway) {
        let now = gateway.hub().clock().now();
        let (news, count, kept) = gateway.hub().peek_mut(|scheduler| {
            let ledger = scheduler.crashes_mut();
            ledger.age(now);
            (ledger.take_changes(), ledger.quarantine_count(), ledger.stored(now))
        });
        let vm = gateway.settings().borrow().name.clone();
        for change in news {
            quarantine_log::write(&vm, &change);
        }
        gateway.metrics().set_quarantined(count);
        let today = unix_time::millis();
        let kept: Vec<KeptQuarantine> = kept.iter().map(|mark| kept_of(mark, today)).collect();
        self.kept.send_if_modified(|before| {
            let changed = must_write(before, &kept);
            if changed {
                *before = kept;
            }
            changed
        });
    }
}

/// Takes the quarantines that VMs keep, among them this one's from an earlier life.
pub fn take_kept(gateway: &Gateway, own: &VmName, listed: &[PeerEntry]) {
    let now = gateway.hub().clock().now();
    let today = unix_time::millis();
    for peer in listed {
        for kept in &peer.kept {
            let mark = mark_of(kept, today);
            let is_own = peer.name == *own;
            gateway.hub().peek_mut(|it| it.crashes_mut().take_stored(now, &mark, is_own));
        }
    }
}

/// Returns whether what is kept must be written anew, where `before` stands and `found` is known.
pub fn must_write(before: &[KeptQuarantine], found: &[KeptQuarantine]) -> bool {
    let rewrite_ms = REWRITE_SPAN.as_millis() as u64;
    let is_kept = |now: &KeptQuarantine| {
        let mut same = before.iter().filter(|it| it.fingerprint == now.fingerprint);
        same.any(|it| now.asked_ms < it.asked_ms.saturating_add(rewrite_ms))
    };
    before.len() != found.len() || !found.iter().all(is_kept)
}

fn kept_of(mark: &QuarantineReport, today_ms: u64) -> KeptQuarantine {
    KeptQuarantine {
        fingerprint: mark.fingerprint,
        since_ms: today_ms.saturating_sub(u64::from(mark.age_ms)),
        asked_ms: today_ms.saturating_sub(u64::from(mark.asked_ms)),
    }
}

/// The times of day of two VMs may differ by seconds, which is little beside a quarantine's life.
fn mark_of(kept: &KeptQuarantine, today_ms: u64) -> QuarantineReport {
    let age = |at_ms: u64| u32::try_from(today_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
    let (age_ms, asked_ms) = (age(kept.since_ms), age(kept.asked_ms));
    QuarantineReport { fingerprint: kept.fingerprint, age_ms, asked_ms }
}
