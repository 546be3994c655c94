//! Records which requests were running on targets that crashed, and quarantines the requests that
//! cause crashes.
//!
//! A request that crashes every target that runs it is retried, with a new id and at any VM. Each
//! VM records the runs that ended in a crash and reports them to the other VMs.
//! [`crash_attribution`](crate::crash_attribution) decides which request caused the crashes.
//! That request is quarantined: all attempts of it are refused at once and reach no target, until
//! none has arrived for [`QUARANTINE_TTL`]. A completed answer clears its request at every VM,
//! since a request that crashes targets never gets one.
//!
//! Reports between VMs may be lost, late or duplicated. Records are therefore only added, and each
//! is identified by a target and the time of its crash, so that all VMs converge on the same
//! records. A peer that starts, or that was unreachable for long, is sent all of them again.
//! Records expire, and their number is bounded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    crash_attribution::{self, AttributionCase, AttributionEvidence, SharedCrash},
    ids::TargetKey,
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

/// A quarantine ends when no attempt of its request has arrived for this long.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// How long a crash is kept: long enough to recognise, at its third crash, a request that is
/// retried every minute or two.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// How long it is kept that a request was answered, so that late reports of its earlier crashes are
/// ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// A request with enough crashes to be their cause waits until no report of them has arrived for
/// this long. By then the other requests that ended in these crashes, at other VMs, are known too.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// How long a VM keeps reporting its own records, and how long it sends all records after a peer
/// has become reachable.
const REPORT_SPAN: Duration = Duration::from_secs(4);
/// Records of one target within this time belong to the same crash. A target that restarts under
/// its old name takes longer, and reports of the same crash arrive within it.
const SAME_CRASH_SPAN: Duration = Duration::from_millis(250);
/// The number of crashes that are kept; the oldest is dropped.
const CRASHES_LIMIT: usize = 256;
/// The number of runs that are kept over all crashes, and the number of cleared requests; the
/// oldest are dropped. An engine may run hundreds of requests at once, and the cause of a crash
/// must not be dropped in favour of others that ended in it.
const RUNS_LIMIT: usize = 8_192;
/// The number of quarantined requests; the one whose last attempt is the oldest is dropped.
const QUARANTINES_LIMIT: usize = 64;
/// The number of reports of each kind in one digest: a datagram of about 20 KB.
const REPORTS_LIMIT: usize = 512;

/// A run that ended when its target crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How long it had been at the target.
    pub ran: Duration,
}

/// A run that ended when its target crashed, as reported to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The incarnation of the target that crashed.
    pub target: TargetKey,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// How long the request had been at the target, in milliseconds.
    pub ran_ms: u32,
}

/// A request that got a completed answer after a run of it had ended in a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClearedReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// A request that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The time since the quarantine began, in milliseconds.
    pub age_ms: u32,
    /// The time since the last attempt at the sending VM, or since it began the quarantine, in
    /// milliseconds.
    pub asked_ms: u32,
}

/// A VM's report of crashes to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashUpdate {
    /// Runs that ended in crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered afterwards.
    pub cleared: Vec<ClearedReport>,
    /// Requests that are quarantined.
    pub quarantined: Vec<QuarantineReport>,
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

/// A time on this VM's clock. It is negative for times before the VM's start, of which peers
/// report.
type LedgerTime = i64;

#[derive(Clone, Copy, Debug)]
struct RunRecord {
    ran: Duration,
    /// When this VM learned of it.
    learned: Moment,
    /// Whether this VM sent the run.
    own: bool,
}

/// The key of a crash: its target, and its time according to the first record of it at this VM.
type CrashKey = (TargetKey, LedgerTime);

#[derive(Clone, Debug)]
struct CrashRecord {
    at: LedgerTime,
    runs: BTreeMap<RequestFingerprint, RunRecord>,
}

#[derive(Clone, Copy, Debug)]
struct ClearedRecord {
    at: LedgerTime,
    /// When this VM learned of it.
    learned: Moment,
    /// Whether this VM relayed the answer.
    own: bool,
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

/// The records of requests that ended in crashes, and the quarantines.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: BTreeMap<CrashKey, CrashRecord>,
    /// The number of runs in all crashes.
    run_count: usize,
    /// The number of crashes of each request.
    crash_counts: BTreeMap<RequestFingerprint, usize>,
    cleared: BTreeMap<RequestFingerprint, ClearedRecord>,
    quarantines: BTreeMap<RequestFingerprint, Quarantine>,
    /// Until when all records are sent, for a peer that may lack them.
    resend_until: Moment,
    /// Until when there is a new crash that some peers may not know.
    fresh_until: Moment,
    changes: Vec<QuarantineChange>,
}

impl CrashLedger {
    /// Records the runs of this VM that ended when `target` crashed.
    pub fn record_crash(&mut self, now: Moment, target: TargetKey, runs: &[CrashedRun]) {
        for run in runs {
            let record = RunRecord { ran: run.ran, learned: now, own: true };
            self.add_run(now, target, time_of(now), run.fingerprint, record);
        }
        self.fresh_until = now + SETTLE_DELAY;
    }

    /// Records that a request got a completed answer.
    pub fn record_answered(&mut self, now: Moment, fingerprint: RequestFingerprint) {
        if self.is_suspect(fingerprint) {
            let record = ClearedRecord { at: time_of(now), learned: now, own: true };
            self.clear(fingerprint, record);
        }
    }

    /// Returns whether a request was involved in a crash or is quarantined, so that
    /// [`quarantine_status`](Self::quarantine_status) must be checked.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_counts.contains_key(&fingerprint) || self.quarantines.contains_key(&fingerprint)
    }

    /// Returns whether a request may be sent to a target, and begins its quarantine if it is the
    /// cause of its crashes. `targets` is the number of targets that could run it.
    pub fn quarantine_status(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        targets: usize,
    ) -> QuarantineStatus {
        if let Some(quarantine) = self.quarantines.get_mut(&fingerprint) {
            quarantine.last_attempt = time_of(now);
            quarantine.last_own_attempt = quarantine.last_attempt;
            return QuarantineStatus::Quarantined(QUARANTINE_TTL);
        }
        if self
            .crash_counts
            .get(&fingerprint)
            .is_none_or(|count| *count < crash_attribution::MIN_CRASHES)
        {
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
        let since = time_of(now);
        let (last_attempt, last_own_attempt) = (since, since);
        let quarantine = Quarantine { since, last_attempt, last_own_attempt, stored: true };
        self.add_quarantine(fingerprint, quarantine);
        self.changes.push(QuarantineChange::Started(fingerprint, evidence));
        QuarantineStatus::Quarantined(QUARANTINE_TTL)
    }

    /// Adds what a peer reports.
    pub fn take(&mut self, now: Moment, update: &CrashUpdate) {
        for report in &update.cleared {
            let at = time_before(now, report.age_ms);
            self.clear(report.fingerprint, ClearedRecord { at, learned: now, own: false });
        }
        for report in &update.crashes {
            let ran = Duration::from_millis(u64::from(report.ran_ms));
            let record = RunRecord { ran, learned: now, own: false };
            self.add_run(
                now,
                report.target,
                time_before(now, report.age_ms),
                report.fingerprint,
                record,
            );
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
        let stored = self.quarantines.iter().filter(|(_, quarantine)| quarantine.stored);
        stored.map(|(fingerprint, quarantine)| quarantine.report(now, *fingerprint)).collect()
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
        let time = time_of(now);
        let old: Vec<CrashKey> = self
            .crashes
            .iter()
            .filter(|(_, crash)| span_between(crash.at, time) >= CRASH_TTL)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.drop_crash(key);
        }
        self.cleared.retain(|_, record| span_between(record.at, time) < CLEARED_TTL);
        let changes = &mut self.changes;
        self.quarantines.retain(|fingerprint, quarantine| {
            let is_active = span_between(quarantine.last_attempt, time) < QUARANTINE_TTL;
            if !is_active {
                changes.push(QuarantineChange::Expired(*fingerprint));
            }
            is_active
        });
    }

    /// Returns the quarantines that began or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.len()
    }

    fn take_quarantine(&mut self, now: Moment, report: &QuarantineReport, stored: bool) {
        let since = time_before(now, report.age_ms);
        let last_attempt = time_before(now, report.asked_ms);
        if span_between(last_attempt, time_of(now)) >= QUARANTINE_TTL {
            return;
        }
        if let Some(known) = self.quarantines.get_mut(&report.fingerprint) {
            known.last_attempt = known.last_attempt.max(last_attempt);
            known.stored |= stored;
            return;
        }
        // Peers that do not know yet that the request was answered still report the quarantine.
        if self.cleared.get(&report.fingerprint).is_some_and(|cleared| cleared.at >= since) {
            return;
        }
        let quarantine = Quarantine { since, last_attempt, last_own_attempt: since, stored };
        self.add_quarantine(report.fingerprint, quarantine);
        self.changes.push(QuarantineChange::Received(report.fingerprint));
    }

    fn add_quarantine(&mut self, fingerprint: RequestFingerprint, quarantine: Quarantine) {
        self.quarantines.insert(fingerprint, quarantine);
        if self.quarantines.len() > QUARANTINES_LIMIT {
            let oldest = self.quarantines.iter().min_by_key(|(_, it)| it.last_attempt);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.quarantines.remove(&oldest);
                self.changes.push(QuarantineChange::Expired(oldest));
            }
        }
    }

    fn add_run(
        &mut self,
        now: Moment,
        target: TargetKey,
        at: LedgerTime,
        fingerprint: RequestFingerprint,
        record: RunRecord,
    ) {
        let is_cleared = self.cleared.get(&fingerprint).is_some_and(|cleared| cleared.at >= at);
        if is_cleared || span_between(at, time_of(now)) >= CRASH_TTL {
            return;
        }
        let key = self.crash_near(target, at).unwrap_or((target, at));
        let crash =
            self.crashes.entry(key).or_insert_with(|| CrashRecord { at, runs: BTreeMap::new() });
        if crash.runs.contains_key(&fingerprint) {
            return;
        }
        crash.runs.insert(fingerprint, record);
        *self.crash_counts.entry(fingerprint).or_default() += 1;
        self.run_count += 1;
        if self.crashes.len() > CRASHES_LIMIT || self.run_count > RUNS_LIMIT {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.drop_crash(oldest);
            }
        }
    }

    /// Returns the recorded crash of a target at about this time, if there is one.
    fn crash_near(&self, target: TargetKey, at: LedgerTime) -> Option<CrashKey> {
        let span = LedgerTime::try_from(SAME_CRASH_SPAN.as_micros()).unwrap_or(LedgerTime::MAX);
        let near = (target, at.saturating_sub(span))..=(target, at.saturating_add(span));
        self.crashes.range(near).next().map(|(key, _)| *key)
    }

    fn drop_crash(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(&key) else { return };
        for fingerprint in crash.runs.keys() {
            self.uncount(*fingerprint);
        }
    }

    fn uncount(&mut self, fingerprint: RequestFingerprint) {
        self.run_count -= 1;
        if let Some(count) = self.crash_counts.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.crash_counts.remove(&fingerprint);
            }
        }
    }

    /// Records that a request was answered, and removes it from all earlier crashes, since it did
    /// not cause them.
    fn clear(&mut self, fingerprint: RequestFingerprint, record: ClearedRecord) {
        let at = record.at;
        if self.cleared.get(&fingerprint).is_some_and(|known| known.at >= at) {
            return;
        }
        self.cleared.insert(fingerprint, record);
        if self.cleared.len() > RUNS_LIMIT {
            let oldest = self.cleared.iter().min_by_key(|(_, record)| record.at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&oldest);
            }
        }
        let before = self.crashes.iter().filter(|(_, crash)| crash.at <= at);
        let ended: Vec<CrashKey> = before
            .filter(|(_, crash)| crash.runs.contains_key(&fingerprint))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            if let Some(crash) = self.crashes.get_mut(&key) {
                crash.runs.remove(&fingerprint);
                self.uncount(fingerprint);
            }
        }
        if self.quarantines.get(&fingerprint).is_some_and(|quarantine| quarantine.since <= at) {
            self.quarantines.remove(&fingerprint);
            self.changes.push(QuarantineChange::Cleared(fingerprint));
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
            .crashes
            .values()
            .filter(|crash| !crash.runs.keys().any(|it| self.quarantines.contains_key(it)))
            .collect();
        let own: Vec<&CrashRecord> = unexplained
            .iter()
            .filter(|crash| crash.runs.contains_key(&fingerprint))
            .copied()
            .collect();
        let time = time_of(now);
        let first = own.iter().map(|crash| crash.at).min()?;
        let span = span_between(first, time).max(crash_attribution::MIN_SPAN);
        let others = unexplained.iter().filter(|crash| !crash.runs.contains_key(&fingerprint));
        let elsewhere = others.filter(|crash| span_between(crash.at, time) <= span).count();
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
        let is_reported = |own: bool, learned: Moment| all || (own && now.since(learned) < span);
        let mut reports: Vec<(Moment, CrashReport)> = Vec::new();
        for ((target, _), crash) in &self.crashes {
            let age_ms = millis_between(crash.at, now);
            let runs = crash.runs.iter().filter(|(_, run)| is_reported(run.own, run.learned));
            for (fingerprint, run) in runs {
                let ran_ms = u32::try_from(run.ran.as_millis()).unwrap_or(u32::MAX);
                let report =
                    CrashReport { fingerprint: *fingerprint, target: *target, age_ms, ran_ms };
                reports.push((run.learned, report));
            }
        }
        reports.sort_by_key(|(learned, _)| std::cmp::Reverse(*learned));
        reports.truncate(REPORTS_LIMIT);
        let cleared = self.cleared.iter().filter(|(_, it)| is_reported(it.own, it.learned));
        let cleared = cleared.take(REPORTS_LIMIT);
        let cleared_report = |(fingerprint, record): (&RequestFingerprint, &ClearedRecord)| {
            ClearedReport { fingerprint: *fingerprint, age_ms: millis_between(record.at, now) }
        };
        CrashUpdate {
            crashes: reports.into_iter().map(|(_, report)| report).collect(),
            cleared: cleared.map(cleared_report).collect(),
            quarantined: self
                .quarantines
                .iter()
                .map(|(fingerprint, it)| it.report(now, *fingerprint))
                .collect(),
        }
    }
}

impl Quarantine {
    fn report(&self, now: Moment, fingerprint: RequestFingerprint) -> QuarantineReport {
        QuarantineReport {
            fingerprint,
            age_ms: millis_between(self.since, now),
            asked_ms: millis_between(self.last_own_attempt, now),
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

fn time_of(now: Moment) -> LedgerTime {
    LedgerTime::try_from(now.0).unwrap_or(LedgerTime::MAX)
}

fn time_before(now: Moment, age_ms: u32) -> LedgerTime {
    time_of(now) - LedgerTime::from(age_ms) * 1_000
}

fn span_between(earlier: LedgerTime, later: LedgerTime) -> Duration {
    Duration::from_micros(u64::try_from(later - earlier).unwrap_or(0))
}

fn millis_between(earlier: LedgerTime, now: Moment) -> u32 {
    u32::try_from(span_between(earlier, time_of(now)).as_millis()).unwrap_or(u32::MAX)
}
