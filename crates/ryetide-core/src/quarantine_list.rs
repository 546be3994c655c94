//! The quarantined requests and parts of prompts, and the changes of quarantines for logs.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    crash_attribution::AttributionEvidence,
    crash_suspect::CrashSuspect,
    crash_update::{QuarantineReport, QuarantinedPartReport, SuspectReport},
    ledger_time::LedgerTime,
    units::Moment,
};

/// A quarantine ends when no request with its suspect has arrived for this long.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// The number of quarantines; the one whose last attempt is the oldest is dropped.
const QUARANTINES_LIMIT: usize = 64;

/// The start or end of a quarantine at this VM, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineChange {
    /// This VM has found the suspect to be the cause of crashes.
    Started(CrashSuspect, AttributionEvidence),
    /// The quarantine was received from a peer or read from the store.
    Received(CrashSuspect),
    /// A request with the suspect was answered, so it is not the cause.
    Cleared(CrashSuspect),
    /// No request with the suspect has arrived for [`QUARANTINE_TTL`], or newer quarantines took its
    /// place.
    Expired(CrashSuspect),
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

/// The quarantines at this VM.
#[derive(Debug, Default)]
pub(crate) struct QuarantineList {
    quarantines: BTreeMap<CrashSuspect, Quarantine>,
    changes: Vec<QuarantineChange>,
}

impl QuarantineList {
    /// Returns whether a suspect is quarantined.
    pub(crate) fn contains(&self, suspect: CrashSuspect) -> bool {
        self.quarantines.contains_key(&suspect)
    }

    /// Returns whether there are no quarantines.
    pub(crate) fn is_empty(&self) -> bool {
        self.quarantines.is_empty()
    }

    /// Returns the number of quarantines.
    pub(crate) fn len(&self) -> usize {
        self.quarantines.len()
    }

    /// Records a request with a suspect at this VM. Returns whether the suspect is quarantined.
    pub(crate) fn record_attempt(&mut self, now: Moment, suspect: CrashSuspect) -> bool {
        let Some(quarantine) = self.quarantines.get_mut(&suspect) else { return false };
        quarantine.last_attempt = LedgerTime::at(now);
        quarantine.last_own_attempt = quarantine.last_attempt;
        true
    }

    /// Begins the quarantine of a suspect that this VM has found to be the cause of crashes.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        suspect: CrashSuspect,
        evidence: AttributionEvidence,
    ) {
        let since = LedgerTime::at(now);
        let (last_attempt, last_own_attempt) = (since, since);
        let quarantine = Quarantine { since, last_attempt, last_own_attempt, stored: true };
        self.add(suspect, quarantine);
        self.changes.push(QuarantineChange::Started(suspect, evidence));
    }

    /// Adds a quarantine from a peer or from the store. `cleared_at` is the time at which its
    /// suspect was answered, and `stored` tells whether this VM stores the quarantine.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        report: &SuspectReport,
        cleared_at: Option<LedgerTime>,
        stored: bool,
    ) {
        let since = LedgerTime::before(now, report.age_ms);
        let last_attempt = LedgerTime::before(now, report.asked_ms);
        if LedgerTime::at(now).since(last_attempt) >= QUARANTINE_TTL {
            return;
        }
        if let Some(known) = self.quarantines.get_mut(&report.suspect) {
            known.last_attempt = known.last_attempt.max(last_attempt);
            known.stored |= stored;
            return;
        }
        // Peers that do not know yet that the suspect was answered still report the quarantine.
        if cleared_at.is_some_and(|cleared_at| cleared_at >= since) {
            return;
        }
        let quarantine = Quarantine { since, last_attempt, last_own_attempt: since, stored };
        self.add(report.suspect, quarantine);
        self.changes.push(QuarantineChange::Received(report.suspect));
    }

    /// Ends the quarantine of a suspect that was answered at `at`, unless it began later.
    pub(crate) fn clear(&mut self, suspect: CrashSuspect, at: LedgerTime) {
        if self.quarantines.get(&suspect).is_some_and(|quarantine| quarantine.since <= at) {
            self.quarantines.remove(&suspect);
            self.changes.push(QuarantineChange::Cleared(suspect));
        }
    }

    /// Ends the quarantines that have expired.
    pub(crate) fn age(&mut self, now: Moment) {
        let time = LedgerTime::at(now);
        let changes = &mut self.changes;
        self.quarantines.retain(|suspect, quarantine| {
            let is_active = time.since(quarantine.last_attempt) < QUARANTINE_TTL;
            if !is_active {
                changes.push(QuarantineChange::Expired(*suspect));
            }
            is_active
        });
    }

    /// Returns the reports of all quarantined requests.
    pub(crate) fn request_reports(&self, now: Moment) -> Vec<QuarantineReport> {
        let reports = self.quarantines.iter().filter_map(|(suspect, quarantine)| match suspect {
            CrashSuspect::Request(fingerprint) => {
                let SuspectReport { age_ms, asked_ms, .. } = quarantine.report(now, *suspect);
                Some(QuarantineReport { fingerprint: *fingerprint, age_ms, asked_ms })
            }
            CrashSuspect::Part(_) => None,
        });
        reports.collect()
    }

    /// Returns the reports of all quarantined parts of prompts.
    pub(crate) fn part_reports(&self, now: Moment) -> Vec<QuarantinedPartReport> {
        let reports = self.quarantines.iter().filter_map(|(suspect, quarantine)| match suspect {
            CrashSuspect::Part(part) => {
                let SuspectReport { age_ms, asked_ms, .. } = quarantine.report(now, *suspect);
                Some(QuarantinedPartReport { part: *part, age_ms, asked_ms })
            }
            CrashSuspect::Request(_) => None,
        });
        reports.collect()
    }

    /// Returns the reports of the quarantines that this VM must keep in the store.
    pub(crate) fn stored(&self, now: Moment) -> Vec<SuspectReport> {
        let stored = self.quarantines.iter().filter(|(_, quarantine)| quarantine.stored);
        stored.map(|(suspect, quarantine)| quarantine.report(now, *suspect)).collect()
    }

    /// Returns the quarantines that began or ended since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    fn add(&mut self, suspect: CrashSuspect, quarantine: Quarantine) {
        self.quarantines.insert(suspect, quarantine);
        if self.quarantines.len() > QUARANTINES_LIMIT {
            let oldest = self.quarantines.iter().min_by_key(|(_, it)| it.last_attempt);
            if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
                self.quarantines.remove(&oldest);
                self.changes.push(QuarantineChange::Expired(oldest));
            }
        }
    }
}

impl Quarantine {
    fn report(&self, now: Moment, suspect: CrashSuspect) -> SuspectReport {
        SuspectReport {
            suspect,
            age_ms: self.since.age_ms(now),
            asked_ms: self.last_own_attempt.age_ms(now),
        }
    }
}
