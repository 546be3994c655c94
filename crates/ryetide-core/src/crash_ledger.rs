//! Records which requests were running on targets that crashed, and quarantines what causes crashes:
//! requests, and parts that the prompts of many requests share.
//!
//! A request that crashes every target that runs it is retried, with a new id and at any VM. A part
//! of prompts that crashes targets comes with every request that holds it, no two of them alike.
//! Each VM records the runs that ended in a crash and reports them to the other VMs.
//! [`crash_attribution`] decides which of the suspects, the requests and their parts, caused the
//! crashes. That one is quarantined: all requests with it are refused at once and reach no target,
//! until none has arrived for [`QUARANTINE_TTL`]. An answer clears its request and the parts of its
//! prompt at every VM, since what crashes targets never gets one.
//!
//! Reports between VMs may be lost, late or duplicated. Records are therefore only added, and each
//! is identified by a target and the time of its crash, so that all VMs converge on the same
//! records. A peer that starts, or that was unreachable for long, is sent all of them again.
//! Records expire, and their number is bounded.
//!
//! The ledger combines the recorded crashes, the quarantines and the reports to peers, each of
//! which has a module of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    crash_attribution::{self, AttributionCase, AttributionEvidence, SharedCrash},
    crash_records::{ClearedRecord, CrashRecord, CrashRecords, ReportScope, RunRecord},
    crash_rivals::CrashRivals,
    crash_sequence::CrashSequence,
    crash_suspect::{CrashSuspect, RequestFeatures},
    ids::TargetKey,
    ledger_time::LedgerTime,
    prompt_part::PromptPart,
    quarantine_list::QuarantineList,
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

pub use crate::{
    crash_update::{
        ClearedReport, CrashReport, CrashUpdate, PartCrashUpdate, QuarantineReport,
        QuarantinedPartReport, SuspectReport,
    },
    quarantine_list::{QUARANTINE_TTL, QuarantineChange},
};

/// A request that may be the cause of crashes, or holds a part that may be, waits until no report of
/// them has arrived for this long. By then the other requests that ended in these crashes, at other
/// VMs, are known too.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// How long a VM keeps reporting its own records, and how long it sends all records after a peer
/// has become reachable.
const REPORT_SPAN: Duration = Duration::from_secs(4);
/// The number of requests that must have ended in crashes for a part of their prompts to be the
/// cause. A single request may be the cause itself, and all of its parts are in its crashes.
const MIN_PART_REQUESTS: usize = 3;
/// The time before a part's last crash in which others that ended in crashes must have been answered.
/// Where nothing is answered, every part seems to be the cause.
const ANSWERED_SPAN: Duration = Duration::from_secs(1);
/// How many more crashes than a rival a suspect must have had to explain those of both.
const MIN_EXCESS: usize = 3;
/// The number of a suspect's crashes, the newest, that are evaluated.
const MAX_EVALUATED: usize = 48;
/// How long an answer must have been written without a crash for its prompt to be cleared. Targets
/// crash when they begin to write.
pub const SOUND_SPAN: Duration = Duration::from_millis(500);

/// A run that ended when its target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The request.
    pub features: RequestFeatures,
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

/// The evidence against a suspect, and the moment from which no further reports are expected.
struct SuspectFinding {
    evidence: AttributionEvidence,
    settled: Moment,
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
        for CrashedRun { features, ran } in runs {
            let parts = features.parts.clone();
            let record = RunRecord { parts, ran: *ran, learned: now, own: true };
            self.records.add_run(now, target, LedgerTime::at(now), features.fingerprint, record);
        }
        self.fresh_until = now + SETTLE_DELAY;
    }

    /// Records that a request that was sent at `sent` got a completed answer.
    pub fn record_answered(&mut self, now: Moment, sent: Moment, features: &RequestFeatures) {
        self.clear_own(now, now, CrashSuspect::Request(features.fingerprint));
        self.record_sound_parts(now, sent, features);
    }

    /// Records that a target has been writing the answer to a request, sent at `sent`, for
    /// [`SOUND_SPAN`] or until its end. So no part of its prompt crashed targets when it was sent;
    /// the request itself may still do so.
    pub fn record_sound_parts(&mut self, now: Moment, sent: Moment, features: &RequestFeatures) {
        for part in &features.parts {
            self.clear_own(now, sent, CrashSuspect::Part(*part));
        }
    }

    /// Returns whether a request, or a part of its prompt, was involved in a crash or is
    /// quarantined, so that [`quarantine_status`](Self::quarantine_status) must be checked.
    pub fn is_suspect(&self, features: &RequestFeatures) -> bool {
        features.suspects().any(|suspect| self.is_recorded(suspect))
    }

    /// Returns what a request is quarantined for: itself, or a part of its prompt.
    pub fn quarantined_suspect(&self, features: &RequestFeatures) -> Option<CrashSuspect> {
        features.suspects().find(|suspect| self.quarantines.contains(*suspect))
    }

    /// Returns whether a request may be sent to a target, and begins the quarantine of what is found
    /// to be the cause of crashes. `targets` is the number of targets that could run it.
    pub fn quarantine_status(
        &mut self,
        now: Moment,
        features: &RequestFeatures,
        targets: usize,
    ) -> QuarantineStatus {
        if let Some(suspect) = self.quarantined_suspect(features) {
            self.quarantines.record_attempt(now, suspect);
            return QuarantineStatus::Quarantined(QUARANTINE_TTL);
        }
        let mut undecided: Option<Moment> = None;
        for suspect in features.suspects() {
            let Some(finding) = self.examine(now, suspect, targets) else { continue };
            let SuspectFinding { evidence, settled } = finding;
            if now >= settled && evidence.is_cause {
                self.quarantines.start(now, suspect, evidence);
                self.fresh_until = now + SETTLE_DELAY;
                return QuarantineStatus::Quarantined(QUARANTINE_TTL);
            }
            // A part that is sound delays all requests that share it, so it is not held back before
            // it seems to be the cause.
            let is_held = evidence.is_cause || matches!(suspect, CrashSuspect::Request(_));
            if now < settled && is_held {
                undecided = undecided.max(Some(settled));
            }
        }
        undecided.map_or(QuarantineStatus::Clear, QuarantineStatus::Undecided)
    }

    /// Adds what a peer reports.
    pub fn take(&mut self, now: Moment, update: &CrashUpdate) {
        let parts = &update.parts;
        for report in &update.cleared {
            self.take_cleared(now, CrashSuspect::Request(report.fingerprint), report.age_ms);
        }
        for report in &parts.cleared {
            self.take_cleared(now, CrashSuspect::Part(report.part), report.age_ms);
        }
        // Runs with parts first: most are also listed without.
        for report in &parts.crashes {
            self.take_run(now, &report.run, &report.parts);
        }
        for report in &update.crashes {
            self.take_run(now, report, &[]);
        }
        for QuarantineReport { fingerprint, age_ms, asked_ms } in update.quarantined.iter().copied()
        {
            let suspect = CrashSuspect::Request(fingerprint);
            self.take_quarantine(now, &SuspectReport { suspect, age_ms, asked_ms }, false);
        }
        for QuarantinedPartReport { part, age_ms, asked_ms } in parts.quarantined.iter().copied() {
            let suspect = CrashSuspect::Part(part);
            self.take_quarantine(now, &SuspectReport { suspect, age_ms, asked_ms }, false);
        }
    }

    /// Adds a quarantine from the store. `own` tells whether an earlier incarnation of this VM
    /// stored it.
    pub fn take_stored(&mut self, now: Moment, report: &SuspectReport, own: bool) {
        self.take_quarantine(now, report, own);
    }

    /// Returns the quarantines that this VM must keep in the store.
    pub fn stored(&self, now: Moment) -> Vec<SuspectReport> {
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

    /// Returns the number of quarantines.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.len()
    }

    fn is_recorded(&self, suspect: CrashSuspect) -> bool {
        self.records.crash_count(suspect) > 0 || self.quarantines.contains(suspect)
    }

    fn take_cleared(&mut self, now: Moment, suspect: CrashSuspect, age_ms: u32) {
        let at = LedgerTime::before(now, age_ms);
        self.clear(suspect, ClearedRecord { at, learned: now, own: false });
    }

    fn take_run(&mut self, now: Moment, report: &CrashReport, parts: &[PromptPart]) {
        let at = LedgerTime::before(now, report.age_ms);
        let ran = Duration::from_millis(u64::from(report.ran_ms));
        let record = RunRecord { parts: parts.to_vec(), ran, learned: now, own: false };
        self.records.add_run(now, report.target, at, report.fingerprint, record);
    }

    fn take_quarantine(&mut self, now: Moment, report: &SuspectReport, stored: bool) {
        let cleared_at = self.records.cleared_at(report.suspect);
        self.quarantines.receive(now, report, cleared_at, stored);
    }

    fn clear_own(&mut self, now: Moment, at: Moment, suspect: CrashSuspect) {
        if self.is_recorded(suspect) {
            let record = ClearedRecord { at: LedgerTime::at(at), learned: now, own: true };
            self.clear(suspect, record);
        }
    }

    /// Records that a suspect was answered, which ends its quarantine.
    fn clear(&mut self, suspect: CrashSuspect, record: ClearedRecord) {
        let at = record.at;
        if self.records.clear(suspect, record) {
            self.quarantines.clear(suspect, at);
        }
    }

    /// Evaluates the crashes of a suspect, if they are enough.
    fn examine(
        &self,
        now: Moment,
        suspect: CrashSuspect,
        targets: usize,
    ) -> Option<SuspectFinding> {
        let min_crashes = match suspect {
            CrashSuspect::Request(_) => crash_attribution::MIN_CRASHES,
            CrashSuspect::Part(_) => crash_attribution::MIN_PART_CRASHES,
        };
        if self.records.crash_count(suspect) < min_crashes {
            return None;
        }
        let (mut own, others): (Vec<&CrashRecord>, Vec<&CrashRecord>) =
            self.records.crashes().partition(|crash| crash.holds(suspect));
        own.retain(|crash| !self.is_explained(crash, suspect));
        own.sort_by_key(|crash| crash.at);
        own.drain(..own.len().saturating_sub(MAX_EVALUATED));
        let first = own.first().map(|crash| crash.at)?;
        if own.len() < min_crashes || !self.may_be_told_apart(suspect, &own) {
            return None;
        }
        let time = LedgerTime::at(now);
        let span = time.since(first).max(crash_attribution::MIN_SPAN);
        let others = others.into_iter().filter(|crash| time.since(crash.at) <= span);
        let elsewhere = others.filter(|crash| !self.is_explained(crash, suspect)).count();
        let crashes = self.shared_crashes(suspect, &own, elsewhere);
        let learned = own.iter().flat_map(|crash| crash.runs_with(suspect));
        let settled = learned.map(|(_, run)| run.learned).max()? + SETTLE_DELAY;
        let case = AttributionCase { crashes, elsewhere, span, targets, min_crashes };
        Some(SuspectFinding { evidence: case.evaluate(), settled })
    }

    /// Returns whether a crash says nothing about a suspect, since another one that is quarantined
    /// was involved in it. The quarantine of a request leaves the parts of its own prompt suspect:
    /// one of them may be why it crashes targets.
    fn is_explained(&self, crash: &CrashRecord, suspect: CrashSuspect) -> bool {
        crash.runs.iter().any(|(fingerprint, run)| {
            let is_quarantined = |it| self.quarantines.contains(it);
            let is_own = run.holds(*fingerprint, suspect);
            run.parts.iter().any(|part| is_quarantined(CrashSuspect::Part(*part)))
                || !is_own && is_quarantined(CrashSuspect::Request(*fingerprint))
        })
    }

    /// Returns whether the crashes `own` of a part of prompts can be told from those of single
    /// requests that hold it, and from those of a service that answers nothing.
    fn may_be_told_apart(&self, suspect: CrashSuspect, own: &[&CrashRecord]) -> bool {
        let (CrashSuspect::Part(_), [first, .., last]) = (suspect, own) else { return true };
        let runs = own.iter().flat_map(|crash| crash.runs_with(suspect));
        let requests: BTreeSet<RequestFingerprint> = runs.map(|(request, _)| request).collect();
        let since = first.at.max(last.at.earlier(ANSWERED_SPAN));
        requests.len() >= MIN_PART_REQUESTS && self.records.others_cleared_since(suspect, since)
    }

    /// Returns what each of a suspect's crashes, in order of time, says about it.
    fn shared_crashes(
        &self,
        suspect: CrashSuspect,
        own: &[&CrashRecord],
        elsewhere: usize,
    ) -> Vec<SharedCrash> {
        let mut sequence = CrashSequence::new(suspect);
        let mut counts: BTreeMap<CrashSuspect, usize> = BTreeMap::new();
        let mut most = |rivals: &BTreeSet<CrashSuspect>| {
            let count = |rival: &CrashSuspect| {
                *counts.entry(*rival).or_insert_with(|| self.rival_count(*rival, own, elsewhere))
            };
            rivals.iter().map(count).max().unwrap_or(0)
        };
        let shared = |crash: &&CrashRecord| {
            let ran = crash.runs_with(suspect).map(|(_, run)| run.ran).max().unwrap_or_default();
            let is_later = sequence.add(crash);
            let rivals = CrashRivals::of(suspect, crash);
            let most_of_others = most(&rivals.others);
            let most_of_preceding = most(&rivals.preceding);
            SharedCrash { ran, most_of_others, most_of_preceding, is_later }
        };
        own.iter().map(shared).collect()
    }

    /// Returns the number of crashes of a rival of the suspect with the crashes `own`. None counts if
    /// the suspect was in all of them, in several more, and in most that occurred: before an answer
    /// tells them apart, a popular part beside the cause is in most of its crashes too.
    fn rival_count(&self, rival: CrashSuspect, own: &[&CrashRecord], elsewhere: usize) -> usize {
        let count = self.unexplained_count(rival);
        let shared = own.iter().filter(|crash| crash.holds(rival)).count();
        let is_subsumed = count <= shared && own.len() >= shared + MIN_EXCESS;
        if is_subsumed && elsewhere * 2 <= own.len() { 0 } else { count }
    }

    /// Returns the number of crashes of a suspect that no quarantined one explains.
    fn unexplained_count(&self, suspect: CrashSuspect) -> usize {
        if self.quarantines.is_empty() || self.records.crash_count(suspect) <= 1 {
            return self.records.crash_count(suspect);
        }
        let crashes = self.records.crashes().filter(|crash| crash.holds(suspect));
        crashes.filter(|crash| !self.is_explained(crash, suspect)).count()
    }

    /// Returns this VM's own records of the last `span`, or `all` records, and all quarantines.
    fn update_of(&self, now: Moment, span: Duration, all: bool) -> CrashUpdate {
        let scope = ReportScope { span, all };
        let parts = self.records.part_reports(now, scope);
        let quarantined = self.quarantines.part_reports(now);
        CrashUpdate {
            crashes: self.records.crash_reports(now, scope),
            cleared: self.records.cleared_reports(now, scope),
            quarantined: self.quarantines.request_reports(now),
            parts: PartCrashUpdate { quarantined, ..parts },
        }
    }
}
