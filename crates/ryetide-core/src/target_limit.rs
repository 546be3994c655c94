//! The request rate limits that targets announce, and the reports on them between VMs.
//!
//! An overloaded target announces in its answers how many requests a second it accepts from all VMs
//! together, for as long as the limit applies. The VM that receives the announcement reports it to
//! the others with its age. The latest announcement is in force.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetKey,
    target_notice::LimitNotice,
    units::{Moment, RequestRate},
};

/// How long the end of a limit is remembered: until no VM reports the limit any more.
const LIFTED_TTL: Duration = Duration::from_secs(60);
/// How long a limit is remembered after the last announcement of a target that no longer exists.
const ABSENT_TARGET_TTL: Duration = Duration::from_secs(600);
/// The number of targets whose announcements are remembered; beyond it the oldest announcement is
/// dropped.
const RECORDS_LIMIT: usize = 1_024;
/// The number of targets in a digest, those with the latest announcements.
const REPORTED_LIMIT: usize = 64;

/// A target's latest announcement of its limit, as VMs report it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetKey,
    /// The requests a second that the target accepts; none when it announces no limit any more.
    pub rate: Option<RequestRate>,
    /// The age of the announcement, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    rate: Option<RequestRate>,
    announced_at: Moment,
}

/// The latest announced limits of all targets.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     ids::TargetKey,
///     target_limit::LimitTable,
///     target_notice::LimitNotice,
///     units::{Moment, RequestRate},
/// };
///
/// let (target, at) = (TargetKey::of(&"t1".into()), Moment::from_millis);
/// let mut table = LimitTable::default();
/// assert!(table.record(at(20), target, LimitNotice::Named(RequestRate(1_900)), at(10)));
/// assert_eq!(table.rate(target), Some(RequestRate(1_900)));
/// // The answer to a request that was sent before the announcement does not end the limit.
/// assert!(!table.record(at(30), target, LimitNotice::Unnamed, at(15)));
/// assert!(table.record(at(50), target, LimitNotice::Unnamed, at(40)));
/// assert_eq!(table.rate(target), None);
/// ```
#[derive(Debug, Default)]
pub struct LimitTable {
    records: BTreeMap<TargetKey, LimitRecord>,
}

impl LimitTable {
    /// Records what an answer says about its target's limit. The request was sent at `sent_at`.
    /// Returns whether the limit in force has changed.
    ///
    /// An answer without a limit ends a limit only if its request was sent after the limit was
    /// received, because answers on several connections can overtake each other.
    pub fn record(
        &mut self,
        now: Moment,
        target: TargetKey,
        notice: LimitNotice,
        sent_at: Moment,
    ) -> bool {
        let known = self.records.get(&target);
        let rate = match notice {
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::Unnamed if known.is_some_and(|record| sent_at > record.announced_at) => {
                None
            }
            LimitNotice::Unnamed | LimitNotice::Unreadable => return false,
        };
        self.insert(target, LimitRecord { rate, announced_at: now })
    }

    /// Records a peer's report. Returns whether the limit in force has changed.
    pub fn merge(&mut self, now: Moment, report: LimitReport) -> bool {
        let announced_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        let is_newer = self
            .records
            .get(&report.target)
            .is_none_or(|record| announced_at > record.announced_at);
        is_newer && self.insert(report.target, LimitRecord { rate: report.rate, announced_at })
    }

    fn insert(&mut self, target: TargetKey, record: LimitRecord) -> bool {
        let before = self.records.insert(target, record).and_then(|before| before.rate);
        if self.records.len() > RECORDS_LIMIT {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.announced_at);
            if let Some(oldest) = oldest.map(|(target, _)| *target) {
                self.records.remove(&oldest);
            }
        }
        before != record.rate
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the limit that a target has announced.
    pub fn rate(&self, target: TargetKey) -> Option<RequestRate> {
        self.records.get(&target)?.rate
    }

    /// Returns the targets that have announced a limit.
    pub fn limited(&self) -> impl Iterator<Item = (TargetKey, RequestRate)> {
        self.records.iter().filter_map(|(target, record)| Some((*target, record.rate?)))
    }

    /// Returns the reports for peers.
    pub fn reports(&self, now: Moment) -> Vec<LimitReport> {
        let mut records: Vec<(&TargetKey, &LimitRecord)> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.announced_at));
        let report = |(target, record): (&TargetKey, &LimitRecord)| {
            let age_ms =
                u32::try_from(now.since(record.announced_at).as_millis()).unwrap_or(u32::MAX);
            LimitReport { target: *target, rate: record.rate, age_ms }
        };
        records.into_iter().take(REPORTED_LIMIT).map(report).collect()
    }

    /// Drops expired announcements. The limit of an existing target stays in force until the target
    /// announces otherwise: if all VMs dropped it at the same time, each of them would exceed it
    /// until it received the limit again.
    pub fn expire(&mut self, now: Moment, exists: impl Fn(TargetKey) -> bool) {
        self.records.retain(|target, record| match record.rate {
            Some(_) if exists(*target) => true,
            Some(_) => now.since(record.announced_at) < ABSENT_TARGET_TTL,
            None => now.since(record.announced_at) < LIFTED_TTL,
        });
    }
}
