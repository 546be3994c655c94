//! Records which requests were running on targets that crashed, and quarantines the requests that
//! cause crashes.
//!
//! A request that crashes every target that runs it is retried, with a new id and at any VM. Each
//! VM records the runs that ended in a crash and reports them to the other VMs.
//! [`crash_attribution`] decides which request caused the crashes.
//! That request is quarantined: all attempts of it are refused at once and reach no target, until
//! none has arrived for [`QUARANTINE_TTL`]. A completed answer clears its request at every VM,
//! since a request that crashes targets never gets one.
//!
//! Reports between VMs may be lost, late or duplicated. Records are therefore only added, and each
//! is identified by a target and the time of its crash, so that all VMs converge on the same
//! records. A peer that starts, or that was unreachable for long, is sent all of them again.
//! Records expire, and their number is bounded.
//!
//! The ledger combines the recorded crashes, the quarantined requests and the reports to peers,
//! each of which has a module of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    crash_attribution::{self, AttributionCase, SharedCrash},
    crash_records::{ClearedRecord, CrashRecord, CrashRecords, ReportScope, RunRecord},
    ids::TargetKey,
    ledger_time::LedgerTime,
    quarantine_list::QuarantineList,
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

pub use crate::{
    crash_update::{ClearedReport, CrashReport, CrashUpdate, QuarantineReport},
    quarantine_list::{QUARANTINE_TTL, QuarantineChange},
};

/// A request with enough crashes to be their cause waits until no report of them has arrived for
/// this long. By then the other requests that ended in these crashes, at other VMs, are known too.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// How long a VM keeps reporting its own records, and how long it sends all records after a peer
/// has become reachable.
const REPORT_SPAN: Duration = Duration::from_secs(4);

/// A run that ended when its target crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How long it had been at the target.
    pub ran: Duration,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// It may be sent.
    Clear,
    /// It must wait until this moment, since reports of its crashes may still arrive.
    Undecided(Moment),
    /// It must not be sent until no attempt of it has arrived for this long.
    Quarantined(Duration),
}

/// The records of requests that ended in crashes, and the quarantines.
#[derive(Debug, Default)]
pub struct CrashLedger {
    records: CrashRecords,
    quarantines: QuarantineList,
    /// Until when all records are sent, for a peer that may lack them.
    resend_until: Moment,
    /// Until when there is a new crash that some peers may not know.
    fresh_until: Moment,
}

impl CrashLedger {
    /// Records the runs of this VM that ended when `target` crashed.
    pub fn record_crash(&mut self, now: Moment, target: TargetKey, runs: &[CrashedRun]) {
        for run in runs {
            let record = RunRecord { ran: run.ran, learned: now, own: true };
            self.records.add_run(now, target, LedgerTime::at(now), run.fingerprint, record);
        }
        self.fresh_until = now + SETTLE_DELAY;
    }

    /// Records that a request got a completed answer.
    pub fn record_answered(&mut self, now: Moment, fingerprint: RequestFingerprint) {
        if self.is_suspect(fingerprint) {
            let record = ClearedRecord { at: LedgerTime::at(now), learned: now, own: true };
            self.clear(fingerprint, record);
        }
    }

    /// Returns whether a request was involved in a crash or is quarantined, so that
    /// [`quarantine_status`](Self::quarantine_status) must be checked.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.crash_count(fingerprint) > 0 || self.quarantines.contains(fingerprint)
    }

    /// Returns whether a request may be sent to a target, and begins its quarantine if it is the
    /// cause of its crashes. `targets` is the number of targets that could run it.
    pub fn quarantine_status(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        targets: usize,
    ) -> QuarantineStatus {
        if self.quarantines.record_attempt(now, fingerprint) {
            return QuarantineStatus::Quarantined(QUARANTINE_TTL);
        }
        if self.records.crash_count(fingerprint) < crash_attribution::MIN_CRASHES {
            return QuarantineStatus::Clear;
        }
        let Some((case, settled)) = self.case_of(now, fingerprint, targets) else {
            return QuarantineStatus::Clear;
        };
        if now < settled {
            return QuarantineStatus::Undecided(settled);
        }
        let evidence = case.evaluate();
        if !evidence.is_cause() {
            return QuarantineStatus::Clear;
        }
        self.quarantines.start(now, fingerprint, evidence);
        QuarantineStatus::Quarantined(QUARANTINE_TTL)
    }

    /// Adds what a peer reports.
    pub fn take(&mut self, now: Moment, update: &CrashUpdate) {
        for report in &update.cleared {
            let at = LedgerTime::before(now, report.age_ms);
            self.clear(report.fingerprint, ClearedRecord { at, learned: now, own: false });
        }
        for report in &update.crashes {
            let at = LedgerTime::before(now, report.age_ms);
            let ran = Duration::from_millis(u64::from(report.ran_ms));
            let record = RunRecord { ran, learned: now, own: false };
            self.records.add_run(now, report.target, at, report.fingerprint, record);
        }
        for report in &update.quarantined {
            self.take_quarantine(now, report, false);
        }
    }

    /// Adds a quarantine from the store. `own` tells whether an earlier incarnation of this VM
    /// stored it.
    pub fn take_stored(&mut self, now: Moment, report: &QuarantineReport, own: bool) {
        self.take_quarantine(now, report, own);
    }

    /// Returns the quarantines that this VM must keep in the store.
    pub fn stored(&self, now: Moment) -> Vec<QuarantineReport> {
        self.quarantines.stored(now)
    }

    /// Makes full digests hold all records for a while. This is called when a peer has started, or
    /// is reachable again after a long time.
    pub fn resend_all(&mut self, now: Moment) {
        self.resend_until = now + REPORT_SPAN;
    }

    /// Returns the report for a full digest. It holds this VM's own records and, for some time
    /// after [`resend_all`](Self::resend_all), those of all VMs.
    pub fn full_update(&self, now: Moment) -> CrashUpdate {
        self.update_of(now, REPORT_SPAN, now < self.resend_until)
    }

    /// Returns the report for peers that may not get the other digests of this VM. It holds this
    /// VM's own records only.
    pub fn own_update(&self, now: Moment) -> CrashUpdate {
        self.update_of(now, REPORT_SPAN, false)
    }

    /// Returns the report for a digest of changes. It holds this VM's own records of the last
    /// `span`.
    pub fn recent_update(&self, now: Moment, span: Duration) -> CrashUpdate {
        self.update_of(now, span, false)
    }

    /// Returns whether this VM has recorded a crash that some peers may not know.
    pub fn has_fresh(&self, now: Moment) -> bool {
        now < self.fresh_until
    }

    /// Drops expired records and quarantines.
    pub fn age(&mut self, now: Moment) {
        self.records.age(now);
        self.quarantines.age(now);
    }

    /// Returns the quarantines that began or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        self.quarantines.take_changes()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.len()
    }

    fn take_quarantine(&mut self, now: Moment, report: &QuarantineReport, stored: bool) {
        let cleared_at = self.records.cleared_at(report.fingerprint);
        self.quarantines.receive(now, report, cleared_at, stored);
    }

    /// Records that a request was answered, which ends its quarantine.
    fn clear(&mut self, fingerprint: RequestFingerprint, record: ClearedRecord) {
        if self.records.clear(fingerprint, record) {
            self.quarantines.clear(fingerprint, record.at);
        }
    }

    /// Returns the crashes of a request for evaluation, and the moment from which no further
    /// reports of them are expected.
    ///
    /// Crashes that a quarantined request was involved in are left out, as that one caused them.
    fn case_of(
        &self,
        now: Moment,
        fingerprint: RequestFingerprint,
        targets: usize,
    ) -> Option<(AttributionCase, Moment)> {
        let unexplained: Vec<&CrashRecord> = self
            .records
            .crashes()
            .filter(|crash| !crash.runs.keys().any(|it| self.quarantines.contains(*it)))
            .collect();
        let own: Vec<&CrashRecord> = unexplained
            .iter()
            .filter(|crash| crash.runs.contains_key(&fingerprint))
            .copied()
            .collect();
        let time = LedgerTime::at(now);
        let first = own.iter().map(|crash| crash.at).min()?;
        let span = time.since(first).max(crash_attribution::MIN_SPAN);
        let others = unexplained.iter().filter(|crash| !crash.runs.contains_key(&fingerprint));
        let elsewhere = others.filter(|crash| time.since(crash.at) <= span).count();
        let counts = counts_of(&unexplained);
        let crashes: Vec<SharedCrash> =
            own.iter().filter_map(|crash| shared_crash(crash, fingerprint, &counts)).collect();
        let runs = own.iter().filter_map(|crash| crash.runs.get(&fingerprint));
        let settled = runs.map(|run| run.learned).max()? + SETTLE_DELAY;
        let is_enough = crashes.len() >= crash_attribution::MIN_CRASHES;
        is_enough.then_some((AttributionCase { crashes, elsewhere, span, targets }, settled))
    }

    /// Returns this VM's own records of the last `span`, or `all` records, and all quarantines.
    fn update_of(&self, now: Moment, span: Duration, all: bool) -> CrashUpdate {
        let scope = ReportScope { span, all };
        CrashUpdate {
            crashes: self.records.crash_reports(now, scope),
            cleared: self.records.cleared_reports(now, scope),
            quarantined: self.quarantines.reports(now),
        }
    }
}

/// Returns how many of `crashes` each request was involved in.
fn counts_of(crashes: &[&CrashRecord]) -> BTreeMap<RequestFingerprint, usize> {
    let mut counts = BTreeMap::new();
    for fingerprint in crashes.iter().flat_map(|crash| crash.runs.keys()) {
        *counts.entry(*fingerprint).or_default() += 1;
    }
    counts
}

/// Returns what a crash says about a request: how long it had run there, and the highest number of
/// crashes among the other requests that ended in it.
fn shared_crash(
    crash: &CrashRecord,
    fingerprint: RequestFingerprint,
    counts: &BTreeMap<RequestFingerprint, usize>,
) -> Option<SharedCrash> {
    let ran = crash.runs.get(&fingerprint)?.ran;
    let others: BTreeSet<&RequestFingerprint> =
        crash.runs.keys().filter(|it| **it != fingerprint).collect();
    let most = others.into_iter().filter_map(|it| counts.get(it)).max();
    Some(SharedCrash { ran, most_of_others: most.copied().unwrap_or(0) })
}
