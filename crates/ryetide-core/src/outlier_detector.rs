//! Evidence that one target fails more requests than the other targets of its service.
//!
//! The evidence is a sequential likelihood ratio test. Each failure makes it more probable that the
//! target fails `OUTLIER_SHARE` of its requests rather than the share that the other targets fail,
//! and each answer makes it less probable. A stretch of outcomes begins with a failure and ends
//! once the answers outweigh the failures, so that earlier answers do not delay the detection of a
//! target that has just failed. The test finds a target that fails everything after a few requests,
//! and one that fails half of them after some ten.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::VmName, policy_update::OutcomeReport, units::Moment};

/// The smallest share of requests that an ejected target is assumed to fail.
const OUTLIER_SHARE: f64 = 0.4;
/// How much larger than the share of the other targets that share must be.
const OUTLIER_MARGIN: f64 = 0.25;
/// The lowest share of failures that is assumed of other targets. It bounds the weight of a single
/// failure: with it, two failures reach [`CONFIRMED_SCORE`] and three [`SINGLE_SOURCE_SCORE`].
const MIN_BASE_SHARE: f64 = 0.01;
/// The highest share of failures that is assumed of other targets. With the margin, the share that
/// is assumed of an outlier stays below 1.
const MAX_BASE_SHARE: f64 = 0.6;
/// The number of outcomes that the assumed share of failures weighs as much as.
const BASE_WEIGHT: f64 = 20.0;
/// The share of failures of other targets that is assumed without observations.
const ASSUMED_BASE_SHARE: f64 = 0.02;
/// The part of the standard error that is added to the share of failures of the other targets, so
/// that a VM which has seen few outcomes takes fewer targets for outliers.
const BASE_ERROR_WEIGHT: f64 = 0.5;
/// The time in which an observation of the usual share of failures loses half its weight. A VM with
/// a few requests a second then knows the share from some fifty outcomes.
const BASE_HALF_LIFE: Duration = Duration::from_secs(10);
/// The score that the outcomes of one VM must reach: three failures in a row at a target of a
/// service with few failures.
const SINGLE_SOURCE_SCORE: f64 = 8.9;
/// The score for outcomes of several VMs, and of a target that was readmitted a short time ago: two
/// failures where the other targets fail hardly any request.
const CONFIRMED_SCORE: f64 = 6.9;
/// The largest discount of a peer's score. Some of many VMs always have a positive score by chance,
/// which is nearly exponentially distributed with a mean of 1 where other targets fail often.
const MAX_SOURCE_DISCOUNT: f64 = 2.2;
/// The share of VMs with a positive score by chance at which the discount is the largest.
const DISCOUNTED_SHARE: f64 = 0.35;
/// The smallest number of failures at one VM. One request that fails everywhere runs twice at a
/// target at most, under its caller's retry.
const SINGLE_SOURCE_FAILURES: u32 = 3;
/// The smallest number of failures at several VMs.
const CONFIRMED_FAILURES: u32 = 2;
/// The number of answers, without a failure, at which a VM does not accept what peers report.
const CONTRADICTING_ANSWERS: u32 = 4;
/// The score at which a target is avoided for a moment: one failure where failures are rare.
const SUSPICION_SCORE: f64 = 2.9;
/// A stretch ends this long after its last failure.
const STRETCH_TTL: Duration = Duration::from_secs(4);
/// How long a peer's report is valid: longer than the interval of brief digests.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// A number of outcomes of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCount {
    /// Requests that were answered.
    pub answered: u32,
    /// Requests that the target failed.
    pub failed: u32,
}

impl OutcomeCount {
    /// Adds an outcome.
    pub fn add(&mut self, is_failure: bool) {
        let count = if is_failure { &mut self.failed } else { &mut self.answered };
        *count = count.saturating_add(1);
    }

    fn of_report(report: &OutcomeReport) -> Self {
        Self { answered: u32::from(report.answered), failed: u32::from(report.failed) }
    }
}

/// How much one outcome says for or against a target being an outlier.
///
/// # Example
///
/// ```
/// use ryetide_core::outlier_detector::{FailureOdds, OutcomeCount};
///
/// let odds = FailureOdds::against(0.01);
/// let score = |answered, failed| odds.score(OutcomeCount { answered, failed });
/// assert!(score(0, 1) > 0.0 && score(1, 0) < 0.0);
/// assert!(FailureOdds::against(0.2).score(OutcomeCount { answered: 0, failed: 1 }) < score(0, 1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureOdds {
    failed: f64,
    answered: f64,
    /// What is subtracted from the score of a peer.
    source_discount: f64,
}

impl FailureOdds {
    /// Returns the odds in a service whose other targets fail `base_share` of their requests.
    pub fn against(base_share: f64) -> Self {
        let base = base_share.clamp(MIN_BASE_SHARE, MAX_BASE_SHARE);
        let outlier = OUTLIER_SHARE.max(base + OUTLIER_MARGIN);
        let failed = (outlier / base).ln();
        let answered = ((1.0 - outlier) / (1.0 - base)).ln();
        // A failure keeps the score of a VM positive for this number of answers.
        let memory = failed / -answered;
        let by_chance = 1.0 - (1.0 - base).powf(memory);
        let source_discount = MAX_SOURCE_DISCOUNT * (by_chance / DISCOUNTED_SHARE).min(1.0);
        Self { failed, answered, source_discount }
    }

    /// Returns the logarithm of the likelihood ratio of these outcomes.
    pub fn score(&self, count: OutcomeCount) -> f64 {
        f64::from(count.failed) * self.failed + f64::from(count.answered) * self.answered
    }
}

/// The recent outcomes of all requests at one target, of which older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentOutcomes {
    answered: f64,
    failed: f64,
    updated_at: Moment,
}

impl RecentOutcomes {
    fn record(&mut self, now: Moment, is_failure: bool) {
        let weight = self.weight(now);
        self.answered = self.answered * weight + f64::from(u8::from(!is_failure));
        self.failed = self.failed * weight + f64::from(u8::from(is_failure));
        self.updated_at = now;
    }

    fn weight(&self, now: Moment) -> f64 {
        let halves = now.since(self.updated_at).as_secs_f64() / BASE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    /// Returns the share of failures among these outcomes of several targets, and a part of its
    /// standard error.
    pub fn failure_share<'a>(now: Moment, all: impl Iterator<Item = &'a Self>) -> f64 {
        let (mut failed, mut total) = (ASSUMED_BASE_SHARE * BASE_WEIGHT, BASE_WEIGHT);
        for outcomes in all {
            let weight = outcomes.weight(now);
            failed += outcomes.failed * weight;
            total += (outcomes.failed + outcomes.answered) * weight;
        }
        let share = failed / total;
        let error = (share * (1.0 - share) / total).sqrt();
        share + error * BASE_ERROR_WEIGHT
    }
}

/// What a peer last reported about the target.
#[derive(Clone, Debug)]
struct PeerOutcomes {
    at: Moment,
    count: OutcomeCount,
    /// The part of the count that was known when the target was readmitted.
    settled: OutcomeCount,
    /// Whether the peer's outcomes count as evidence at this VM.
    is_evidence: bool,
}

impl PeerOutcomes {
    fn unsettled(&self) -> OutcomeCount {
        OutcomeCount {
            answered: self.count.answered.saturating_sub(self.settled.answered),
            failed: self.count.failed.saturating_sub(self.settled.failed),
        }
    }
}

/// The sum of the evidence on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEvidence {
    /// The outcomes.
    pub count: OutcomeCount,
    /// The number of VMs that observed failures.
    pub sources: u32,
    /// The logarithm of the likelihood ratio.
    pub score: f64,
    /// Whether the evidence suffices to eject the target.
    pub is_outlier: bool,
}

/// The evidence on one target.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// All recent outcomes at this VM.
    pub recent: RecentOutcomes,
    /// The outcomes at this VM since the target became suspect.
    stretch: Option<OutcomeCount>,
    /// The last failure at this VM, or that a peer of its data centre reported.
    failed_at: Moment,
    peers: BTreeMap<VmName, PeerOutcomes>,
}

impl OutlierDetector {
    /// Records the outcome of a request of this VM.
    pub fn record(&mut self, now: Moment, is_failure: bool, odds: FailureOdds) {
        self.expire(now);
        self.recent.record(now, is_failure);
        if is_failure {
            self.failed_at = now;
            self.stretch.get_or_insert_default();
        }
        let Some(stretch) = &mut self.stretch else { return };
        stretch.add(is_failure);
        if stretch.failed > 0 && odds.score(*stretch) <= 0.0 {
            self.stretch = None;
        }
    }

    /// Stores a peer's report and returns the outcomes that it adds to the previous one. Reports
    /// that are no evidence, since the peer is in another data centre, show only whether probes
    /// succeed.
    pub fn store_report(
        &mut self,
        now: Moment,
        peer: &VmName,
        report: &OutcomeReport,
        is_evidence: bool,
    ) -> OutcomeCount {
        self.expire(now);
        let count = OutcomeCount::of_report(report);
        let before = self.peers.get(peer).cloned();
        let known = before.as_ref().map(|it| it.count).unwrap_or_default();
        // With fewer failures than before, the peer has begun a new stretch.
        let is_continued = count.failed >= known.failed;
        let settled = before.filter(|_| is_continued).map(|it| it.settled).unwrap_or_default();
        let known = if is_continued { known } else { OutcomeCount::default() };
        self.peers.insert(peer.clone(), PeerOutcomes { at: now, count, settled, is_evidence });
        let news = OutcomeCount {
            answered: count.answered.saturating_sub(known.answered),
            failed: count.failed - known.failed,
        };
        if is_evidence && news.failed > 0 {
            self.failed_at = now;
            self.stretch.get_or_insert_default();
        }
        news
    }

    /// Drops outcomes that are too old to count.
    fn expire(&mut self, now: Moment) {
        self.peers.retain(|_, it| now.since(it.at) < REPORT_TTL);
        if now.since(self.failed_at) >= STRETCH_TTL {
            self.stretch = None;
        }
    }

    /// Returns the evidence at `now`. A target that `is_returning` was readmitted a short time ago,
    /// so less evidence suffices.
    pub fn evidence(&self, now: Moment, odds: FailureOdds, is_returning: bool) -> OutlierEvidence {
        let own = self.own_stretch(now).unwrap_or_default();
        let mut evidence = OutlierEvidence {
            count: own,
            sources: u32::from(own.failed > 0),
            score: odds.score(own),
            is_outlier: false,
        };
        let own_score = evidence.score;
        let valid =
            self.peers.values().filter(|it| it.is_evidence && now.since(it.at) < REPORT_TTL);
        for peer in valid.map(PeerOutcomes::unsettled).filter(|count| count.failed > 0) {
            evidence.count.answered = evidence.count.answered.saturating_add(peer.answered);
            evidence.count.failed = evidence.count.failed.saturating_add(peer.failed);
            evidence.sources += 1;
            let discount = if evidence.sources > 1 { odds.source_discount } else { 0.0 };
            evidence.score += (odds.score(peer) - discount).max(0.0);
        }
        let is_found_here =
            own.failed >= SINGLE_SOURCE_FAILURES && own_score >= SINGLE_SOURCE_SCORE;
        let is_contradicted = own.failed == 0 && own.answered >= CONTRADICTING_ANSWERS;
        let is_confirmed = (evidence.sources > 1 && !is_contradicted)
            || (is_returning && own.failed >= CONFIRMED_FAILURES);
        let is_found_together = is_confirmed
            && evidence.count.failed >= CONFIRMED_FAILURES
            && evidence.score >= CONFIRMED_SCORE;
        evidence.is_outlier = is_found_here || is_found_together;
        evidence
    }

    /// Whether the evidence makes it advisable to avoid the target for a moment.
    pub fn is_suspicious(&self, now: Moment, odds: FailureOdds) -> bool {
        self.evidence(now, odds, false).score >= SUSPICION_SCORE
    }

    /// Whether the target fails a large part of its requests, whatever the other targets do.
    pub fn fails_much(&self, now: Moment) -> bool {
        let OutcomeCount { answered, failed } =
            self.evidence(now, FailureOdds::against(0.0), false).count;
        let total = f64::from(answered) + f64::from(failed);
        failed >= SINGLE_SOURCE_FAILURES && f64::from(failed) >= total * OUTLIER_SHARE
    }

    /// Returns the outcomes of this VM since the target became suspect, if it is suspect.
    pub fn own_stretch(&self, now: Moment) -> Option<OutcomeCount> {
        self.stretch.filter(|_| now.since(self.failed_at) < STRETCH_TTL)
    }

    /// Returns the peers that report the target.
    pub fn reporting_peers(&self, now: Moment) -> impl Iterator<Item = &VmName> {
        let valid = self.peers.iter().filter(move |(_, it)| now.since(it.at) < REPORT_TTL);
        valid.map(|(peer, _)| peer)
    }

    /// Starts anew: outcomes that are known now are no evidence any more.
    pub fn settle(&mut self) {
        self.stretch = None;
        self.recent = RecentOutcomes::default();
        for peer in self.peers.values_mut() {
            peer.settled = peer.count;
        }
    }
}
