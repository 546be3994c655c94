//! Counts the answers of the old and the new version of a service, over all VMs.
//!
//! Each VM counts its own answers by target and route and sends its totals, not increments, to the
//! other VMs, so that a lost or duplicated digest does no harm. The last totals of a VM still count
//! after it has restarted or stopped.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, RouteKey, TargetKey, VmName},
    units::Moment,
};

/// The number of recent response times of the old version that are kept for each route.
const PACES_LIMIT: usize = 48;
/// Response times older than this say nothing about the current load.
const PACE_TTL: Duration = Duration::from_secs(12);
/// With fewer response times of the old version, no answer is compared with them.
const MIN_PACES: usize = 6;
/// An answer counts as slow when it took longer than this quantile of the old version's times.
const SLOW_QUANTILE: f64 = 0.8;
/// The window for recent answers: long enough to hold a sufficient number of them, short enough
/// that earlier answers do not outweigh them.
const RECENT_SPAN: Duration = Duration::from_secs(3);
/// The interval between snapshots of the totals, from which the recent answers are computed.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// The number of routes of a service that are counted separately: those that were answered first.
/// Answers on all other routes are counted together.
const ROUTES_LIMIT: usize = 6;
/// The number of targets of each version whose answers a VM counts.
const TARGETS_LIMIT: usize = 64;
/// The number of peers whose counts are kept.
const VMS_LIMIT: usize = 2_048;

/// Counts of answers, such as those of one target on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AnswerCount {
    /// Answers that have ended, completed or not.
    pub answers: u32,
    /// Answers that failed.
    pub failed: u32,
    /// Completed answers whose time was compared with those of the old version on the same route at
    /// the same time.
    pub timed: u32,
    /// Those of `timed` that were slower than most answers of the old version.
    pub slow: u32,
}

impl AnswerCount {
    /// Returns the sum of both counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            timed: self.timed.saturating_add(other.timed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns the increase since an earlier count.
    pub fn minus(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Whether a target runs the old or the new version of its service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum VersionSide {
    /// Any version other than the one that the order names.
    Old,
    /// The version that the order names.
    New,
}

/// The key under which answers are counted together.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct TallyKey {
    /// The version.
    pub side: VersionSide,
    /// Whether the request was sent in a narrow slice of the trial, in which few targets get the
    /// trial requests and are as loaded as the old ones.
    pub narrow: bool,
    /// The route, or `None` for all routes that are not counted separately.
    pub route: Option<RouteKey>,
    /// The target.
    pub target: TargetKey,
}

/// The answers counted under one key, as a VM reports them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AnswerTally {
    /// The key.
    pub key: TallyKey,
    /// The counts.
    pub count: AnswerCount,
}

/// The result of one run at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunSample {
    /// The target.
    pub target: TargetKey,
    /// The route.
    pub route: RouteKey,
    /// When it was sent.
    pub sent: Moment,
    /// The time that its answer took for each of its pieces, or `None` if it failed.
    pub pace: Option<Duration>,
}

/// Counts of answers by key.
pub type Tallies = BTreeMap<TallyKey, AnswerCount>;

/// The answers that count as evidence for one order.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    own: Tallies,
    peers: HashMap<VmName, (Incarnation, Tallies)>,
    /// The sum of the last reports of earlier incarnations of peers.
    ended: Tallies,
    /// Snapshots of the totals, oldest first.
    snapshots: VecDeque<(Moment, Tallies)>,
    /// The paces of the old version's recent answers by route, with the times at which they ended.
    old_paces: BTreeMap<Option<RouteKey>, VecDeque<(Moment, Duration)>>,
}

impl RolloutEvidence {
    /// Counts a run of this VM.
    ///
    /// The time of a run in a narrow slice of a trial is not compared with those of the old
    /// version.
    pub fn record(&mut self, now: Moment, side: VersionSide, sample: RunSample, narrow: bool) {
        let route = self.route_of(sample.route);
        let pace = sample.pace.filter(|_| !narrow);
        let slow = pace.and_then(|pace| self.is_slow(now, route, pace));
        if let (VersionSide::Old, Some(pace)) = (side, sample.pace) {
            let paces = self.old_paces.entry(route).or_default();
            paces.push_back((now, pace));
            if paces.len() > PACES_LIMIT {
                paces.pop_front();
            }
        }
        let key = TallyKey { side, narrow, route, target: sample.target };
        if self.own.len() >= TARGETS_LIMIT * ROUTES_LIMIT * 2 && !self.own.contains_key(&key) {
            return;
        }
        let one = AnswerCount {
            answers: 1,
            failed: u32::from(sample.pace.is_none()),
            timed: u32::from(slow.is_some()),
            slow: u32::from(slow == Some(true)),
        };
        add(&mut self.own, key, one);
    }

    /// Replaces the counts of a peer. Those of its earlier incarnation are kept in addition.
    pub fn take_peer_tallies(
        &mut self,
        from: &VmName,
        incarnation: Incarnation,
        reported: &[AnswerTally],
    ) {
        if self.peers.len() >= VMS_LIMIT && !self.peers.contains_key(from) {
            return;
        }
        let tallies: Tallies = reported.iter().map(|tally| (tally.key, tally.count)).collect();
        match self.peers.insert(from.clone(), (incarnation, tallies)) {
            Some((before, last_tallies)) if before != incarnation => {
                for (key, count) in last_tallies {
                    add(&mut self.ended, key, count);
                }
            }
            _ => {}
        }
    }

    /// Returns the counts of this VM, for reports to its peers.
    pub fn own_tallies(&self) -> Vec<AnswerTally> {
        self.own.iter().map(|(key, count)| AnswerTally { key: *key, count: *count }).collect()
    }

    /// Returns the answers that all VMs have counted.
    pub fn total(&self) -> Tallies {
        let mut total = self.own.clone();
        let peers = self.peers.values().flat_map(|(_, tallies)| tallies);
        for (key, count) in peers.chain(&self.ended) {
            add(&mut total, *key, *count);
        }
        total
    }

    /// Returns the recent answers that all VMs have counted, and adds a snapshot of `total` when
    /// one is due.
    ///
    /// A version that starts to fail after a while has many good answers in its total, which would
    /// hide the failures.
    pub fn recent(&mut self, now: Moment, total: &Tallies) -> Tallies {
        let latest = self.snapshots.back();
        let is_due = latest.is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, total.clone()));
        }
        while self.snapshots.get(1).is_some_and(|(at, _)| now.since(*at) >= RECENT_SPAN) {
            self.snapshots.pop_front();
        }
        let Some((_, before)) = self.snapshots.front() else { return total.clone() };
        let since = |(key, count): (&TallyKey, &AnswerCount)| {
            let count = count.minus(before.get(key).copied().unwrap_or_default());
            (count.answers > 0).then_some((*key, count))
        };
        total.iter().filter_map(since).collect()
    }

    /// Returns the sum of one side's answers.
    pub fn sum_of(&self, side: VersionSide) -> AnswerCount {
        let total = self.total();
        let of_side = total.iter().filter(|(key, _)| key.side == side);
        of_side.fold(AnswerCount::default(), |sum, (_, count)| sum.plus(*count))
    }

    fn route_of(&self, route: RouteKey) -> Option<RouteKey> {
        let known = self.old_paces.contains_key(&Some(route));
        (known || self.old_paces.len() < ROUTES_LIMIT).then_some(route)
    }

    /// Returns whether an answer was slower than most recent answers of the old version on the same
    /// route, or `None` if there are too few of them.
    fn is_slow(&mut self, now: Moment, route: Option<RouteKey>, pace: Duration) -> Option<bool> {
        let old = self.old_paces.get_mut(&route)?;
        old.retain(|(at, _)| now.since(*at) < PACE_TTL);
        if old.len() < MIN_PACES {
            return None;
        }
        let mut paces: Vec<Duration> = old.iter().map(|(_, pace)| *pace).collect();
        paces.sort_unstable();
        Some(pace > paces[(paces.len() as f64 * SLOW_QUANTILE) as usize])
    }
}

fn add(tallies: &mut Tallies, key: TallyKey, count: AnswerCount) {
    let known = tallies.entry(key).or_default();
    *known = known.plus(count);
}
