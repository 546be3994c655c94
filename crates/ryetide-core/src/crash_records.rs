//! The recorded crashes of targets, with the requests that ended in them and the shared parts of their
//! prompts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    crash_suspect::CrashSuspect,
    crash_update::{
        ClearedPartReport, ClearedReport, CrashReport, PartCrashReport, PartCrashUpdate,
    },
    ids::TargetKey,
    ledger_time::LedgerTime,
    prompt_part::PromptPart,
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

/// How long a crash is kept: long enough to recognise, at its third crash, a request that is
/// retried every minute or two.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// How long it is kept that a request was answered, so that late reports of its earlier crashes are
/// ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// Records of one target within this time belong to the same crash. A target that restarts under
/// its old name takes longer, and reports of the same crash arrive within it.
const SAME_CRASH_SPAN: Duration = Duration::from_millis(250);
/// The number of crashes that are kept; the oldest is dropped.
const CRASHES_LIMIT: usize = 256;
/// The number of runs that are kept over all crashes, and the number of cleared suspects; the
/// oldest are dropped. An engine may run hundreds of requests at once, and the cause of a crash
/// must not be dropped in favour of others that ended in it.
const RUNS_LIMIT: usize = 8_192;
/// The number of reports of each kind in one digest: a datagram of about 20 KB.
const REPORTS_LIMIT: usize = 512;
/// The number of parts of prompts in one digest, over all its runs: about 15 KB.
const REPORTED_PARTS_LIMIT: usize = 1_024;

/// The record of a run that ended in a crash.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    /// The parts of its prompt that have not been answered since.
    pub(crate) parts: Vec<PromptPart>,
    /// How long the request had been at the target.
    pub(crate) ran: Duration,
    /// When this VM learned of it.
    pub(crate) learned: Moment,
    /// Whether this VM sent the run.
    pub(crate) own: bool,
}

/// The record of a crash.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    /// The time of the crash.
    pub(crate) at: LedgerTime,
    /// The runs that ended in it.
    pub(crate) runs: BTreeMap<RequestFingerprint, RunRecord>,
}

impl CrashRecord {
    /// Returns the runs that hold a suspect.
    pub(crate) fn runs_with(
        &self,
        suspect: CrashSuspect,
    ) -> impl Iterator<Item = (RequestFingerprint, &RunRecord)> {
        let runs = self.runs.iter().map(|(fingerprint, run)| (*fingerprint, run));
        runs.filter(move |(fingerprint, run)| run.holds(*fingerprint, suspect))
    }

    /// Returns whether a run in the crash holds a suspect.
    pub(crate) fn holds(&self, suspect: CrashSuspect) -> bool {
        self.runs_with(suspect).next().is_some()
    }

    /// Returns the suspects of all runs, each once.
    pub(crate) fn suspects(&self) -> BTreeSet<CrashSuspect> {
        self.runs.iter().flat_map(|(fingerprint, run)| run.suspects(*fingerprint)).collect()
    }
}

impl RunRecord {
    /// Returns the suspects that the run, of this request, holds.
    pub(crate) fn suspects(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.parts.iter().map(|part| CrashSuspect::Part(*part));
        parts.chain([CrashSuspect::Request(fingerprint)])
    }

    /// Returns whether the run, of this request, holds a suspect.
    pub(crate) fn holds(&self, fingerprint: RequestFingerprint, suspect: CrashSuspect) -> bool {
        match suspect {
            CrashSuspect::Request(request) => request == fingerprint,
            CrashSuspect::Part(part) => self.parts.contains(&part),
        }
    }
}

/// The record of a suspect that was answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClearedRecord {
    /// The time of the answer.
    pub(crate) at: LedgerTime,
    /// When this VM learned of it.
    pub(crate) learned: Moment,
    /// Whether this VM relayed the answer.
    pub(crate) own: bool,
}

/// The records that are included in a report: all of them, or this VM's own of the last `span`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportScope {
    /// The maximum time since this VM learned of an own record.
    pub(crate) span: Duration,
    /// Whether all records are included.
    pub(crate) all: bool,
}

impl ReportScope {
    fn includes(self, now: Moment, own: bool, learned: Moment) -> bool {
        self.all || (own && now.since(learned) < self.span)
    }
}

/// The key of a crash: its target, and its time according to the first record of it at this VM.
type CrashKey = (TargetKey, LedgerTime);

/// The crashes and the cleared suspects that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct CrashRecords {
    crashes: BTreeMap<CrashKey, CrashRecord>,
    /// The number of runs in all crashes.
    run_count: usize,
    /// The number of crashes of each suspect.
    crash_counts: BTreeMap<CrashSuspect, usize>,
    cleared: BTreeMap<CrashSuspect, ClearedRecord>,
}

impl CrashRecords {
    /// Returns the number of crashes that a suspect was involved in since it was last answered.
    pub(crate) fn crash_count(&self, suspect: CrashSuspect) -> usize {
        self.crash_counts.get(&suspect).copied().unwrap_or(0)
    }

    /// Returns the time at which a suspect was last answered, if that is recorded.
    pub(crate) fn cleared_at(&self, suspect: CrashSuspect) -> Option<LedgerTime> {
        self.cleared.get(&suspect).map(|cleared| cleared.at)
    }

    /// Returns whether another suspect than this one was answered after `since`.
    pub(crate) fn others_cleared_since(&self, suspect: CrashSuspect, since: LedgerTime) -> bool {
        self.cleared.iter().any(|(other, cleared)| *other != suspect && cleared.at > since)
    }

    /// Returns all recorded crashes.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.values()
    }

    /// Adds a run of a request that ended when `target` crashed at `at`. Parts of its prompt that
    /// were answered since are left out.
    pub(crate) fn add_run(
        &mut self,
        now: Moment,
        target: TargetKey,
        at: LedgerTime,
        fingerprint: RequestFingerprint,
        mut record: RunRecord,
    ) {
        let is_cleared = |suspect| self.cleared_at(suspect).is_some_and(|cleared| cleared >= at);
        if is_cleared(CrashSuspect::Request(fingerprint))
            || LedgerTime::at(now).since(at) >= CRASH_TTL
        {
            return;
        }
        record.parts.retain(|part| !is_cleared(CrashSuspect::Part(*part)));
        let key = self.crash_near(target, at).unwrap_or((target, at));
        let crash =
            self.crashes.entry(key).or_insert_with(|| CrashRecord { at, runs: BTreeMap::new() });
        // A report without parts may have come before the one with them.
        let is_known = crash.runs.get(&fingerprint).map(|run| !run.parts.is_empty());
        if is_known.unwrap_or(false) || is_known.is_some() && record.parts.is_empty() {
            return;
        }
        let suspects = record.suspects(fingerprint);
        let added: Vec<CrashSuspect> = suspects.filter(|it| !crash.holds(*it)).collect();
        self.run_count += usize::from(crash.runs.insert(fingerprint, record).is_none());
        for suspect in added {
            *self.crash_counts.entry(suspect).or_default() += 1;
        }
        if self.crashes.len() > CRASHES_LIMIT || self.run_count > RUNS_LIMIT {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.drop_crash(oldest);
            }
        }
    }

    /// Records that a suspect was answered, and removes it from all earlier crashes, since it did
    /// not cause them. Returns whether the answer is later than any known before.
    pub(crate) fn clear(&mut self, suspect: CrashSuspect, record: ClearedRecord) -> bool {
        let at = record.at;
        if self.cleared_at(suspect).is_some_and(|known| known >= at) {
            return false;
        }
        self.cleared.insert(suspect, record);
        if self.cleared.len() > RUNS_LIMIT {
            let oldest = self.cleared.iter().min_by_key(|(_, record)| record.at);
            if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
                self.cleared.remove(&oldest);
            }
        }
        let before = self.crashes.iter().filter(|(_, crash)| crash.at <= at);
        let ended: Vec<CrashKey> =
            before.filter(|(_, crash)| crash.holds(suspect)).map(|(key, _)| *key).collect();
        for key in ended {
            self.remove_from(key, suspect);
        }
        true
    }

    /// Removes a suspect from a crash.
    fn remove_from(&mut self, key: CrashKey, suspect: CrashSuspect) {
        let Some(crash) = self.crashes.get_mut(&key) else { return };
        let removed: Vec<CrashSuspect> = match suspect {
            CrashSuspect::Request(fingerprint) => {
                let Some(run) = crash.runs.remove(&fingerprint) else { return };
                self.run_count -= 1;
                run.suspects(fingerprint).filter(|it| !crash.holds(*it)).collect()
            }
            CrashSuspect::Part(part) => {
                for run in crash.runs.values_mut() {
                    run.parts.retain(|it| *it != part);
                }
                vec![suspect]
            }
        };
        for suspect in removed {
            self.uncount(suspect);
        }
    }

    /// Drops expired records.
    pub(crate) fn age(&mut self, now: Moment) {
        let time = LedgerTime::at(now);
        let old: Vec<CrashKey> = self
            .crashes
            .iter()
            .filter(|(_, crash)| time.since(crash.at) >= CRASH_TTL)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.drop_crash(key);
        }
        self.cleared.retain(|_, record| time.since(record.at) < CLEARED_TTL);
    }

    /// Returns the reports of the newest runs in `scope` that ended in crashes.
    pub(crate) fn crash_reports(&self, now: Moment, scope: ReportScope) -> Vec<CrashReport> {
        let mut runs = self.runs_in(now, scope);
        runs.truncate(REPORTS_LIMIT);
        runs.into_iter().map(|(report, _)| report).collect()
    }

    /// Returns the reports of the newest runs in `scope` that share parts of prompts with others, and
    /// of the parts that were answered.
    pub(crate) fn part_reports(&self, now: Moment, scope: ReportScope) -> PartCrashUpdate {
        let runs = self.runs_in(now, scope).into_iter().filter(|(_, run)| !run.parts.is_empty());
        let mut reported_parts = 0;
        let fitting = runs.take(REPORTS_LIMIT).take_while(|(_, run)| {
            reported_parts += run.parts.len();
            reported_parts <= REPORTED_PARTS_LIMIT
        });
        let crashes =
            fitting.map(|(report, run)| PartCrashReport { run: report, parts: run.parts.clone() });
        let cleared = self.cleared_in(now, scope).filter_map(|(suspect, age_ms)| match suspect {
            CrashSuspect::Part(part) => Some(ClearedPartReport { part, age_ms }),
            CrashSuspect::Request(_) => None,
        });
        let (crashes, cleared) = (crashes.collect(), cleared.take(REPORTS_LIMIT).collect());
        PartCrashUpdate { crashes, cleared, quarantined: Vec::new() }
    }

    /// Returns the reports of the requests in `scope` that were answered.
    pub(crate) fn cleared_reports(&self, now: Moment, scope: ReportScope) -> Vec<ClearedReport> {
        let cleared = self.cleared_in(now, scope).filter_map(|(suspect, age_ms)| match suspect {
            CrashSuspect::Request(fingerprint) => Some(ClearedReport { fingerprint, age_ms }),
            CrashSuspect::Part(_) => None,
        });
        cleared.take(REPORTS_LIMIT).collect()
    }

    /// Returns the runs in `scope`, the newest first.
    fn runs_in(&self, now: Moment, scope: ReportScope) -> Vec<(CrashReport, &RunRecord)> {
        let mut runs: Vec<(CrashReport, &RunRecord)> = Vec::new();
        for ((target, _), crash) in &self.crashes {
            let age_ms = crash.at.age_ms(now);
            let included =
                crash.runs.iter().filter(|(_, run)| scope.includes(now, run.own, run.learned));
            runs.extend(included.map(|(fingerprint, run)| {
                let ran_ms = u32::try_from(run.ran.as_millis()).unwrap_or(u32::MAX);
                let report =
                    CrashReport { fingerprint: *fingerprint, target: *target, age_ms, ran_ms };
                (report, run)
            }));
        }
        runs.sort_by_key(|(_, run)| Reverse(run.learned));
        runs
    }

    /// Returns the suspects in `scope` that were answered, with the time since then in milliseconds.
    fn cleared_in(
        &self,
        now: Moment,
        scope: ReportScope,
    ) -> impl Iterator<Item = (CrashSuspect, u32)> {
        let cleared = self.cleared.iter();
        let included = cleared.filter(move |(_, it)| scope.includes(now, it.own, it.learned));
        included.map(move |(suspect, record)| (*suspect, record.at.age_ms(now)))
    }

    /// Returns the recorded crash of a target at about this time, if there is one.
    fn crash_near(&self, target: TargetKey, at: LedgerTime) -> Option<CrashKey> {
        let (earliest, latest) = at.around(SAME_CRASH_SPAN);
        let near = (target, earliest)..=(target, latest);
        self.crashes.range(near).next().map(|(key, _)| *key)
    }

    fn drop_crash(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(&key) else { return };
        self.run_count -= crash.runs.len();
        for suspect in crash.suspects() {
            self.uncount(suspect);
        }
    }

    fn uncount(&mut self, suspect: CrashSuspect) {
        if let Some(count) = self.crash_counts.get_mut(&suspect) {
            *count -= 1;
            if *count == 0 {
                self.crash_counts.remove(&suspect);
            }
        }
    }
}
