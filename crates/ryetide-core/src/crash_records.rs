//! The recorded crashes of targets, with the requests that ended in them.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::{
    crash_update::{ClearedReport, CrashReport},
    ids::TargetKey,
    ledger_time::LedgerTime,
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
/// The number of runs that are kept over all crashes, and the number of cleared requests; the
/// oldest are dropped. An engine may run hundreds of requests at once, and the cause of a crash
/// must not be dropped in favour of others that ended in it.
const RUNS_LIMIT: usize = 8_192;
/// The number of reports of each kind in one digest: a datagram of about 20 KB.
const REPORTS_LIMIT: usize = 512;

/// The record of a run that ended in a crash.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunRecord {
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

/// The record of a request that was answered.
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

/// The crashes and the cleared requests that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct CrashRecords {
    crashes: BTreeMap<CrashKey, CrashRecord>,
    /// The number of runs in all crashes.
    run_count: usize,
    /// The number of crashes of each request.
    crash_counts: BTreeMap<RequestFingerprint, usize>,
    cleared: BTreeMap<RequestFingerprint, ClearedRecord>,
}

impl CrashRecords {
    /// Returns the number of crashes that a request was involved in.
    pub(crate) fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.crash_counts.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Returns the time at which a request was answered, if that is recorded.
    pub(crate) fn cleared_at(&self, fingerprint: RequestFingerprint) -> Option<LedgerTime> {
        self.cleared.get(&fingerprint).map(|cleared| cleared.at)
    }

    /// Returns all recorded crashes.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.values()
    }

    /// Adds a run that ended when `target` crashed at `at`.
    pub(crate) fn add_run(
        &mut self,
        now: Moment,
        target: TargetKey,
        at: LedgerTime,
        fingerprint: RequestFingerprint,
        record: RunRecord,
    ) {
        let is_cleared = self.cleared_at(fingerprint).is_some_and(|cleared_at| cleared_at >= at);
        if is_cleared || LedgerTime::at(now).since(at) >= CRASH_TTL {
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

    /// Records that a request was answered, and removes it from all earlier crashes, since it did
    /// not cause them. Returns whether the answer is later than any known before.
    pub(crate) fn clear(&mut self, fingerprint: RequestFingerprint, record: ClearedRecord) -> bool {
        let at = record.at;
        if self.cleared_at(fingerprint).is_some_and(|known| known >= at) {
            return false;
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
        true
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
        let mut reports: Vec<(Moment, CrashReport)> = Vec::new();
        for ((target, _), crash) in &self.crashes {
            let age_ms = crash.at.age_ms(now);
            let runs = crash.runs.iter();
            for (fingerprint, run) in runs.filter(|(_, it)| scope.includes(now, it.own, it.learned))
            {
                let ran_ms = u32::try_from(run.ran.as_millis()).unwrap_or(u32::MAX);
                let report =
                    CrashReport { fingerprint: *fingerprint, target: *target, age_ms, ran_ms };
                reports.push((run.learned, report));
            }
        }
        reports.sort_by_key(|(learned, _)| Reverse(*learned));
        reports.truncate(REPORTS_LIMIT);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Returns the reports of the requests in `scope` that were answered.
    pub(crate) fn cleared_reports(&self, now: Moment, scope: ReportScope) -> Vec<ClearedReport> {
        let cleared = self.cleared.iter();
        let included = cleared.filter(|(_, it)| scope.includes(now, it.own, it.learned));
        included
            .take(REPORTS_LIMIT)
            .map(|(fingerprint, record)| ClearedReport {
                fingerprint: *fingerprint,
                age_ms: record.at.age_ms(now),
            })
            .collect()
    }

    /// Returns the recorded crash of a target at about this time, if there is one.
    fn crash_near(&self, target: TargetKey, at: LedgerTime) -> Option<CrashKey> {
        let (earliest, latest) = at.around(SAME_CRASH_SPAN);
        let near = (target, earliest)..=(target, latest);
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
}
