//! What the answers of a service's two versions were like, as all VMs have seen them together.
//!
//! Each VM counts its own answers by target and route and tells its counts to the others as they are, not as changes, so
//! that a digest which is lost or comes twice does no harm. What a VM told before it ended still counts.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, RouteKey, TargetKey, VmName},
    units::Moment,
};

/// Times of the old version's answers that are remembered for each route.
const SPANS_KEPT: usize = 48;
/// Times older than this say nothing about the load of now.
const SPANS_LIFE: Duration = Duration::from_secs(12);
/// With fewer times of the old version no answer is held against them.
const SPANS_LEAST: usize = 6;
/// The part of the old version's answers that are faster than one that counts as slow.
const SLOW_QUANTILE: f64 = 0.8;
/// What counts as lately: long enough for enough answers, short enough that what came before does not outweigh them.
const RECENT_SPAN: Duration = Duration::from_secs(3);
/// How often the sum is remembered for that.
const SUM_INTERVAL: Duration = Duration::from_millis(500);
/// Routes of one service that are told apart, by their first answers; those of others count together.
const ROUTES_LIMIT: usize = 6;
/// Targets whose answers a VM counts.
const TARGETS_LIMIT: usize = 64;
/// VMs whose counts are remembered.
const VMS_LIMIT: usize = 2_048;

/// Answers of one target on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AnswerCount {
    /// Those that have ended, whole or not.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// Whole ones whose times were held against the old version's on the same route at the same time.
    pub timed: u32,
    /// Those of them that were slower than most of the old version's.
    pub slow: u32,
}

impl AnswerCount {
    /// Returns the sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            timed: self.timed.saturating_add(other.timed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns what was counted beyond an earlier count.
    pub fn minus(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Which of a service's versions a target runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum VersionSide {
    /// One that was in use when the order came.
    Old,
    /// The one that the order names.
    New,
}

/// Whose answers are counted together.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct TallyKey {
    /// The version.
    pub side: VersionSide,
    /// Whether it ran while few targets got the trial's requests, and so as full as the old ones.
    pub narrow: bool,
    /// The route, or none for all routes beyond those that are told apart.
    pub route: Option<RouteKey>,
    /// The target.
    pub target: TargetKey,
}

/// One line of what a VM tells of its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AnswerTally {
    /// Whose answers.
    pub key: TallyKey,
    /// How many.
    pub count: AnswerCount,
}

/// How one run at a target has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunNote {
    /// The target.
    pub target: TargetKey,
    /// The route.
    pub route: RouteKey,
    /// When it was sent.
    pub sent: Moment,
    /// The time that its answer took, for each of its pieces; nothing where it failed.
    pub pace: Option<Duration>,
}

/// Answers by whose they are.
pub type Tallies = BTreeMap<TallyKey, AnswerCount>;

/// The answers that count for one order.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    own: Tallies,
    peers: HashMap<VmName, (Incarnation, Tallies)>,
    /// Of lives of VMs that have ended.
    ended: Tallies,
    /// Sums of a while ago, oldest first.
    earlier: VecDeque<(Moment, Tallies)>,
    /// When the old version's answers came, and their paces.
    spans: BTreeMap<Option<RouteKey>, VecDeque<(Moment, Duration)>>,
}

impl RolloutEvidence {
    /// Counts a run of this VM. The time of one that ran in a narrow slice of a trial is not held against the old
    /// version's.
    pub fn note(&mut self, now: Moment, side: VersionSide, note: RunNote, narrow: bool) {
        let route = self.route_of(note.route);
        let pace = note.pace.filter(|_| !narrow);
        let slow = pace.and_then(|pace| self.is_slow(now, route, pace));
        if let (VersionSide::Old, Some(pace)) = (side, note.pace) {
            let spans = self.spans.entry(route).or_default();
            spans.push_back((now, pace));
            if spans.len() > SPANS_KEPT {
                spans.pop_front();
            }
        }
        let key = TallyKey { side, narrow, route, target: note.target };
        if self.own.len() >= TARGETS_LIMIT * ROUTES_LIMIT * 2 && !self.own.contains_key(&key) {
            return;
        }
        let one = AnswerCount {
            answers: 1,
            failed: u32::from(note.pace.is_none()),
            timed: u32::from(slow.is_some()),
            slow: u32::from(slow == Some(true)),
        };
        add(&mut self.own, key, one);
    }

    /// Takes what a peer has counted in this life of its process.
    pub fn take(&mut self, from: &VmName, incarnation: Incarnation, told: &[AnswerTally]) {
        if self.peers.len() >= VMS_LIMIT && !self.peers.contains_key(from) {
            return;
        }
        let told: Tallies = told.iter().map(|tally| (tally.key, tally.count)).collect();
        match self.peers.insert(from.clone(), (incarnation, told)) {
            Some((before, counted)) if before != incarnation => {
                for (key, count) in counted {
                    add(&mut self.ended, key, count);
                }
            }
            _ => {}
        }
    }

    /// Returns what this VM tells.
    pub fn told(&self) -> Vec<AnswerTally> {
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

    /// Returns the answers that all VMs have counted lately, and remembers the sum for later.
    ///
    /// A version that turns bad after a while has many good answers behind it, among which the bad ones are few.
    pub fn recent(&mut self, now: Moment, total: &Tallies) -> Tallies {
        let due = self.earlier.back().is_none_or(|(at, _)| now.since(*at) >= SUM_INTERVAL);
        if due {
            self.earlier.push_back((now, total.clone()));
        }
        while self.earlier.get(1).is_some_and(|(at, _)| now.since(*at) >= RECENT_SPAN) {
            self.earlier.pop_front();
        }
        let Some((_, before)) = self.earlier.front() else { return total.clone() };
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
        let known = self.spans.contains_key(&Some(route));
        (known || self.spans.len() < ROUTES_LIMIT).then_some(route)
    }

    /// Whether an answer was slower than most of those that the old version gave to the same route just before; nothing
    /// when there were too few of these.
    fn is_slow(&mut self, now: Moment, route: Option<RouteKey>, pace: Duration) -> Option<bool> {
        let spans = self.spans.get_mut(&route)?;
        spans.retain(|(at, _)| now.since(*at) < SPANS_LIFE);
        if spans.len() < SPANS_LEAST {
            return None;
        }
        let mut paces: Vec<Duration> = spans.iter().map(|(_, pace)| *pace).collect();
        paces.sort_unstable();
        Some(pace > paces[(paces.len() as f64 * SLOW_QUANTILE) as usize])
    }
}

fn add(tallies: &mut Tallies, key: TallyKey, count: AnswerCount) {
    let known = tallies.entry(key).or_default();
    *known = known.plus(count);
}
