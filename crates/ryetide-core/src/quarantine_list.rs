//! The quarantined requests, and the changes of quarantines for logs.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    crash_attribution::AttributionEvidence, crash_update::QuarantineReport,
    ledger_time::LedgerTime, request_fingerprint::RequestFingerprint, units::Moment,
};

/// A quarantine ends when no attempt of its request has arrived for this long.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// The number of quarantined requests; the one whose last attempt is the oldest is dropped.
const QUARANTINES_LIMIT: usize = 64;

/// The start or end of a quarantine at this VM, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineChange {
    /// This VM has found the request to be the cause of crashes.
    Started(RequestFingerprint, AttributionEvidence),
    /// The quarantine was received from a peer or read from the store.
    Received(RequestFingerprint),
    /// The request got a completed answer, so it is not the cause.
    Cleared(RequestFingerprint),
    /// No attempt of the request has arrived for [`QUARANTINE_TTL`], or newer quarantines took its
    /// place.
    Expired(RequestFingerprint),
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    since: LedgerTime,
    /// The time of the last attempt at any VM.
    last_attempt: LedgerTime,
    /// The time of the last attempt at this VM. Only this time is reported to peers: a received
    /// time includes the delay of the message, so that it would move forward with each relay and
    /// never expire.
    last_own_attempt: LedgerTime,
    /// Whether this VM stores the quarantine, for VMs that start later.
    stored: bool,
}

/// The quarantined requests at this VM.
#[derive(Debug, Default)]
pub(crate) struct QuarantineList {
    quarantines: BTreeMap<RequestFingerprint, Quarantine>,
    changes: Vec<QuarantineChange>,
}

impl QuarantineList {
    /// Returns whether a request is quarantined.
    pub(crate) fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantines.contains_key(&fingerprint)
    }

    /// Returns the number of quarantined requests.
    pub(crate) fn len(&self) -> usize {
        self.quarantines.len()
    }

    /// Records an attempt of a request at this VM. Returns whether the request is quarantined.
    pub(crate) fn record_attempt(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        let Some(quarantine) = self.quarantines.get_mut(&fingerprint) else { return false };
        quarantine.last_attempt = LedgerTime::at(now);
        quarantine.last_own_attempt = quarantine.last_attempt;
        true
    }

    /// Begins the quarantine of a request that this VM has found to be the cause of crashes.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        evidence: AttributionEvidence,
    ) {
        let since = LedgerTime::at(now);
        let (last_attempt, last_own_attempt) = (since, since);
        let quarantine = Quarantine { since, last_attempt, last_own_attempt, stored: true };
        self.add(fingerprint, quarantine);
        self.changes.push(QuarantineChange::Started(fingerprint, evidence));
    }

    /// Adds a quarantine from a peer or from the store. `cleared_at` is the time at which its
    /// request was answered, and `stored` tells whether this VM stores the quarantine.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        report: &QuarantineReport,
        cleared_at: Option<LedgerTime>,
        stored: bool,
    ) {
        let since = LedgerTime::before(now, report.age_ms);
        let last_attempt = LedgerTime::before(now, report.asked_ms);
        if LedgerTime::at(now).since(last_attempt) >= QUARANTINE_TTL {
            return;
        }
        if let Some(known) = self.quarantines.get_mut(&report.fingerprint) {
            known.last_attempt = known.last_attempt.max(last_attempt);
            known.stored |= stored;
            return;
        }
        // Peers that do not know yet that the request was answered still report the quarantine.
        if cleared_at.is_some_and(|cleared_at| cleared_at >= since) {
            return;
        }
        let quarantine = Quarantine { since, last_attempt, last_own_attempt: since, stored };
        self.add(report.fingerprint, quarantine);
        self.changes.push(QuarantineChange::Received(report.fingerprint));
    }

    /// Ends the quarantine of a request that was answered at `at`, unless it began later.
    pub(crate) fn clear(&mut self, fingerprint: RequestFingerprint, at: LedgerTime) {
        if self.quarantines.get(&fingerprint).is_some_and(|quarantine| quarantine.since <= at) {
            self.quarantines.remove(&fingerprint);
            self.changes.push(QuarantineChange::Cleared(fingerprint));
        }
    }

    /// Ends the quarantines that have expired.
    pub(crate) fn age(&mut self, now: Moment) {
        let time = LedgerTime::at(now);
        let changes = &mut self.changes;
        self.quarantines.retain(|fingerprint, quarantine| {
            let is_active = time.since(quarantine.last_attempt) < QUARANTINE_TTL;
            if !is_active {
                changes.push(QuarantineChange::Expired(*fingerprint));
            }
            is_active
        });
    }

    /// Returns the reports of all quarantines.
    pub(crate) fn reports(&self, now: Moment) -> Vec<QuarantineReport> {
        let quarantines = self.quarantines.iter();
        quarantines.map(|(fingerprint, it)| it.report(now, *fingerprint)).collect()
    }

    /// Returns the reports of the quarantines that this VM must keep in the store.
    pub(crate) fn stored(&self, now: Moment) -> Vec<QuarantineReport> {
        let stored = self.quarantines.iter().filter(|(_, quarantine)| quarantine.stored);
        stored.map(|(fingerprint, quarantine)| quarantine.report(now, *fingerprint)).collect()
    }

    /// Returns the quarantines that began or ended since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    fn add(&mut self, fingerprint: RequestFingerprint, quarantine: Quarantine) {
        self.quarantines.insert(fingerprint, quarantine);
        if self.quarantines.len() > QUARANTINES_LIMIT {
            let oldest = self.quarantines.iter().min_by_key(|(_, it)| it.last_attempt);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.quarantines.remove(&oldest);
                self.changes.push(QuarantineChange::Expired(oldest));
            }
        }
    }
}

impl Quarantine {
    fn report(&self, now: Moment, fingerprint: RequestFingerprint) -> QuarantineReport {
        QuarantineReport {
            fingerprint,
            age_ms: self.since.age_ms(now),
            asked_ms: self.last_own_attempt.age_ms(now),
        }
    }
}
