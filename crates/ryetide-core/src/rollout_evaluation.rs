//! Evaluates whether a new version of a service is as good as the old one, by the answers of both.
//!
//! Two sequential probability ratio tests run on each route and on all routes together: one on
//! answers that failed, and one on completed answers that were slower than most answers of the old
//! version. The failures at fully loaded targets are tested once more by themselves. Each test
//! compares how likely the new version's answers are if it is as good as the old one with how
//! likely they are if its rate is higher by a lift that callers would notice.
//!
//! * A fault of both versions, such as a network partition or an overload of the whole service,
//!   raises the rate of the old version, and with it the rate expected of the new one.
//! * A single faulty target does not fail a version: the worst quarter of the targets is left out
//!   of the failure counts, on both sides. So a faulty target of the old version does not hide a
//!   bad new version either.
//! * An old version that fails more often than [`MAX_EXPECTED_FAILURES`] is itself faulty and no
//!   baseline for another.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{RouteKey, TargetKey},
    rollout_evidence::{AnswerCount, Tallies, VersionSide},
};

/// The increase of the failure rate for which a version counts as bad.
const FAILED_LIFT: f64 = 0.15;
/// The bounds of the failure rate that is expected of every version.
const MIN_EXPECTED_FAILURES: f64 = 0.01;
const MAX_EXPECTED_FAILURES: f64 = 0.3;
/// The increase of the rate of slow answers for which a version counts as slow.
const SLOW_LIFT: f64 = 0.25;
/// The bounds of the rate of slow answers that is expected of every version.
const MIN_EXPECTED_SLOW: f64 = 0.2;
const MAX_EXPECTED_SLOW: f64 = 0.5;
/// The log-likelihood ratio of failures from which a version is bad: its answers are 10,000 times
/// likelier for a bad version than for a good one.
const BAD_FAILED: f64 = 9.2;
/// The log-likelihood ratio of slow answers from which a version is bad. It is higher than that of
/// failures, since targets differ in speed and the times of one target's answers are correlated.
const BAD_SLOW: f64 = 12.0;
/// The same while the version gets all new requests, of which many are slow in the first moments.
const BAD_SLOW_MOVING: f64 = 30.0;
/// The log-likelihood ratio of failures below which a version is good: its answers are 20 times
/// likelier for a good version than for a bad one.
const GOOD_FAILED: f64 = -3.0;
/// The log-likelihood ratio of slow answers below which a version is good: 400 times likelier.
const GOOD_SLOW: f64 = -6.0;
/// The same for a version that must be decided on now, without time to wait for more answers.
const LEAN_SLOW: f64 = -1.5;
/// The log-likelihood ratio of failures at fully loaded targets above which no traffic is moved to
/// a version.
const LOADED_LIMIT: f64 = -1.0;
/// Slowness is tested once this many targets of the new version have answered, or all of them if
/// there are fewer. With a smaller number, one target with slow hardware would make the version
/// look slow.
const MIN_SLOW_TARGETS: usize = 5;
/// One in this many targets is left out of the failure counts, those with the highest failure
/// rates.
const LEFT_OUT: usize = 4;
/// The number of answers of the new version below which there is no decision.
const MIN_ANSWERS: u32 = 12;
/// The number of answers of the new version below which a route is not tested by itself.
const MIN_ROUTE_ANSWERS: u32 = 8;
/// The number of answers with compared times below which the rate of slow answers is unknown.
const MIN_TIMED: u32 = 10;
/// The number of targets of the new version that must have answered, or all if there are fewer.
const MIN_TARGETS: usize = 2;

/// The result of an evaluation of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutVerdict {
    /// The evidence is not sufficient for a decision.
    Unsure {
        /// Whether the answers so far are sufficient in number and likelier for a good version.
        leans_good: bool,
    },
    /// The new version is as good as the old one.
    Good,
    /// The new version is worse than the old one.
    Bad(VerdictReason),
}

/// The reason for a verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VerdictReason {
    /// The answers of the new version are like those of the old one.
    AsGood,
    /// Too many answers failed.
    Failures(RateComparison),
    /// Too many answers were slow.
    Slowness(RateComparison),
}

/// The expected and the observed rate in the test that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateComparison {
    /// The rate that was expected.
    pub expected: f64,
    /// The rate that was found.
    pub found: f64,
    /// The number of answers on which the found rate is based.
    pub answers: u32,
}

/// The answers of one version on one route, or on all of them, by target.
#[derive(Clone, Debug, Default)]
struct SideCounts(BTreeMap<TargetKey, AnswerCount>);

impl SideCounts {
    fn add(&mut self, target: TargetKey, count: AnswerCount) {
        let known = self.0.entry(target).or_default();
        *known = known.plus(count);
    }

    fn sum(&self) -> AnswerCount {
        self.0.values().copied().fold(AnswerCount::default(), AnswerCount::plus)
    }

    /// Returns the failure rate that is expected of the other version.
    ///
    /// The rate is smoothed towards one half, as a small number of answers says little. With few
    /// targets none is left out, since that would remove too much of the baseline.
    fn failure_rate(&self) -> f64 {
        let count = match self.0.len() < LEFT_OUT {
            true => self.sum(),
            false => self.sum_without_worst(),
        };
        f64::from(count.failed + 1) / f64::from(count.answers + 2)
    }

    fn slow_rate(&self) -> f64 {
        let count = self.sum();
        if count.timed < MIN_TIMED {
            return 0.0;
        }
        f64::from(count.slow) / f64::from(count.timed)
    }

    /// Returns the sum without the targets that have the highest failure rates. Of two targets, one
    /// is left out.
    fn sum_without_worst(&self) -> AnswerCount {
        let mut counts: Vec<AnswerCount> = self.0.values().copied().collect();
        let left_out = if counts.len() < 2 { 0 } else { counts.len().div_ceil(LEFT_OUT) };
        let rate = |count: &AnswerCount| f64::from(count.failed) / f64::from(count.answers.max(1));
        counts.sort_by(|one, other| rate(one).total_cmp(&rate(other)));
        counts.truncate(counts.len() - left_out);
        counts.into_iter().fold(AnswerCount::default(), AnswerCount::plus)
    }
}

/// A likelihood ratio test of a bad version against a good one.
#[derive(Clone, Copy, Debug)]
struct RatioTest {
    /// The log-likelihood ratio. It is positive if the answers are likelier for a bad version.
    log_ratio: f64,
    rate: RateComparison,
}

impl RatioTest {
    fn new(expected: f64, lift: f64, hits: u32, answers: u32) -> Self {
        let worse = (expected + lift).min(0.95);
        let (hits, misses) = (f64::from(hits), f64::from(answers.saturating_sub(hits)));
        let log_ratio =
            hits * (worse / expected).ln() + misses * ((1.0 - worse) / (1.0 - expected)).ln();
        let found = hits / f64::from(answers.max(1));
        Self { log_ratio, rate: RateComparison { expected, found, answers } }
    }

    /// Returns the test with a ratio that favours neither hypothesis.
    fn undecided(self) -> Self {
        Self { log_ratio: 0.0, ..self }
    }

    /// Tests the failures of the new version.
    ///
    /// `old` holds all answers of the old version. `sides` may hold recent ones only; the higher
    /// failure rate of the two is the expected one.
    fn of_failures(old: &SideCounts, sides: &[SideCounts; 2]) -> Self {
        let [recent, new] = sides;
        let new = new.sum_without_worst();
        let expected = old.failure_rate().max(recent.failure_rate());
        let expected = expected.clamp(MIN_EXPECTED_FAILURES, MAX_EXPECTED_FAILURES);
        Self::new(expected, FAILED_LIFT, new.failed, new.answers)
    }

    /// Tests the slow answers of the new version, with the arguments of
    /// [`of_failures`](Self::of_failures).
    fn of_slowness(old: &SideCounts, sides: &[SideCounts; 2]) -> Self {
        let [recent, new] = sides;
        let expected =
            old.slow_rate().max(recent.slow_rate()).clamp(MIN_EXPECTED_SLOW, MAX_EXPECTED_SLOW);
        let new = new.sum();
        Self::new(expected, SLOW_LIFT, new.slow, new.timed)
    }
}

/// The answers by which a version is evaluated.
#[derive(Clone, Copy, Debug)]
pub struct EvaluationInput<'a> {
    /// All answers since the order.
    pub total: &'a Tallies,
    /// The recent answers.
    pub recent: &'a Tallies,
    /// The number of targets of the new version.
    pub new_targets: usize,
    /// Whether the new version gets all new requests already. In the first moments after the move,
    /// when no VM knows the speeds of its targets, many answers are slow.
    pub is_moving: bool,
}

/// Evaluates a new version by all of its answers and by its recent ones, since it may start to fail
/// only after a while.
pub fn evaluate(input: &EvaluationInput<'_>) -> RolloutVerdict {
    let (total, recent) = (RoutedCounts::of(input.total), RoutedCounts::of(input.recent));
    let bad_slow = if input.is_moving { BAD_SLOW_MOVING } else { BAD_SLOW };
    let verdict = total.verdict(&total, input.new_targets, bad_slow);
    if matches!(verdict, RolloutVerdict::Bad(_)) {
        return verdict;
    }
    match recent.verdict(&total, input.new_targets, bad_slow) {
        RolloutVerdict::Bad(reason) => RolloutVerdict::Bad(reason),
        RolloutVerdict::Good | RolloutVerdict::Unsure { .. } => verdict,
    }
}

/// The answers of both versions, by route.
#[derive(Debug, Default)]
struct RoutedCounts {
    routes: BTreeMap<Option<RouteKey>, [SideCounts; 2]>,
    /// All answers of the old version, and those answers of the new one that came from fully loaded
    /// targets.
    loaded: [SideCounts; 2],
    /// The number of targets of the new version that have answered.
    tried: usize,
}

impl RoutedCounts {
    fn of(tallies: &Tallies) -> Self {
        let mut counts = Self::default();
        let mut tried = BTreeSet::new();
        for (key, count) in tallies {
            let side = key.side as usize;
            counts.routes.entry(key.route).or_default()[side].add(key.target, *count);
            if key.narrow || key.side == VersionSide::Old {
                counts.loaded[side].add(key.target, *count);
            }
            if key.side == VersionSide::New {
                tried.insert(key.target);
            }
        }
        Self { tried: tried.len(), ..counts }
    }

    /// Compares the new version's answers in `self` with the answers of the old version in `all`.
    fn verdict(&self, all: &Self, new_targets: usize, bad_slow: f64) -> RolloutVerdict {
        let of_new = |[_, new]: &[SideCounts; 2]| new.sum().answers;
        let answers: u32 = self.routes.values().map(of_new).sum();
        if answers < MIN_ANSWERS || self.tried < MIN_TARGETS.min(new_targets) {
            return RolloutVerdict::Unsure { leans_good: false };
        }
        let tests_slowness = self.tried >= MIN_SLOW_TARGETS.min(new_targets);
        let mut tests = Vec::new();
        for (route, sides) in &self.routes {
            let Some([old, _]) = all.routes.get(route) else { continue };
            // Without answers of the old version there is no baseline.
            if old.sum().answers < MIN_ROUTE_ANSWERS || of_new(sides) < MIN_ROUTE_ANSWERS {
                continue;
            }
            let slowness = RatioTest::of_slowness(old, sides);
            tests.push(RouteTest {
                failures: RatioTest::of_failures(old, sides),
                slowness: if tests_slowness { slowness } else { slowness.undecided() },
            });
        }
        let loaded = RatioTest::of_failures(&all.loaded[0], &self.loaded);
        decide(&tests, loaded, bad_slow)
    }
}

/// The tests of one route's answers.
#[derive(Clone, Copy, Debug)]
struct RouteTest {
    failures: RatioTest,
    slowness: RatioTest,
}

/// Derives the verdict from the tests of all routes and the test at fully loaded targets.
fn decide(tests: &[RouteTest], loaded: RatioTest, bad_slow: f64) -> RolloutVerdict {
    let sum =
        |of: fn(&RouteTest) -> RatioTest| tests.iter().map(|it| of(it).log_ratio).sum::<f64>();
    let worst = |of: fn(&RouteTest) -> RatioTest| {
        tests.iter().map(of).max_by(|one, other| one.log_ratio.total_cmp(&other.log_ratio))
    };
    let (failures, slowness) = (sum(|it| it.failures), sum(|it| it.slowness));
    let Some(worst_failures) = worst(|it| it.failures) else {
        return RolloutVerdict::Unsure { leans_good: false };
    };
    let has_loaded = loaded.rate.answers >= MIN_ROUTE_ANSWERS;
    if has_loaded && loaded.log_ratio > BAD_FAILED {
        return RolloutVerdict::Bad(VerdictReason::Failures(loaded.rate));
    }
    if failures.max(worst_failures.log_ratio) > BAD_FAILED {
        return RolloutVerdict::Bad(VerdictReason::Failures(worst_failures.rate));
    }
    if let Some(worst) = worst(|it| it.slowness)
        && slowness.max(worst.log_ratio) > bad_slow
    {
        return RolloutVerdict::Bad(VerdictReason::Slowness(worst.rate));
    }
    // Failures that occur at fully loaded targets only would occur everywhere once all traffic
    // moves.
    let is_suspect =
        worst_failures.log_ratio > -GOOD_FAILED || (has_loaded && loaded.log_ratio > LOADED_LIMIT);
    let is_good = failures < GOOD_FAILED && slowness < GOOD_SLOW && has_loaded;
    if is_good && !is_suspect {
        return RolloutVerdict::Good;
    }
    let timed: u32 = tests.iter().map(|it| it.slowness.rate.answers).sum();
    let leans_good = failures < 0.0 && slowness < LEAN_SLOW && timed >= MIN_TIMED && !is_suspect;
    RolloutVerdict::Unsure { leans_good }
}
