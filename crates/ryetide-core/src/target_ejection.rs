//! Decides which targets of a service get no requests because they fail them, and when they are
//! tried again.
//!
//! A target that fails requests within milliseconds frees its slots at once, so under full load it
//! is the only one with a free slot and gets most requests. A [`TargetEjection`] therefore reacts
//! in three steps. After one surprising failure, the target is held for some tens of milliseconds,
//! within which the peers' reports arrive, and for longer from requests that may not run again.
//! With enough evidence it is ejected and gets only probes: one VM sends one at a time, and the
//! others take over if it does not. After some successful probes the target is readmitted, at first
//! to a part of its slots.
//!
//! Each VM decides alone. It keeps the state in memory and obtains what it lacks from the peers'
//! digests.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3;

use crate::{
    ids::{RequestSequence, TargetKey, VmName},
    outlier_detector::{
        FailureOdds, OutcomeCount, OutlierDetector, OutlierEvidence, RecentOutcomes,
    },
    policy_update::OutcomeReport,
    units::Moment,
};

/// The largest share of a service's targets that is ejected; one target always may be, if the
/// service has two or more.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// Above this share of failing targets the service itself fails, or this VM's network, and no
/// target is ejected.
const MAX_FAILING_SHARE: f64 = 0.5;
/// How long no target is ejected after most have failed.
const SUSPENSION_SPAN: Duration = Duration::from_secs(2);
/// How long a target gets nothing after a first surprising failure: the time in which all VMs of a
/// cell receive each other's digests. It doubles with each further failure.
const FIRST_HOLD: Duration = Duration::from_millis(50);
/// The limit of that time.
const LONGEST_HOLD: Duration = Duration::from_millis(400);
/// How long a target gets no request that may not run again, after each surprising failure.
const ONCE_ONLY_HOLD: Duration = Duration::from_millis(300);
/// The time from an ejection to the first probe, and between probes of a target that fails them. It
/// doubles with each failed probe and each repeated ejection, up to the limits below.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The limit for a target that was not ejected repeatedly.
const LONGEST_PROBE_INTERVAL: Duration = Duration::from_millis(750);
/// The limit for a target that was ejected repeatedly.
const LONGEST_REPEATED_INTERVAL: Duration = Duration::from_secs(8);
/// The time between two probes of a target that has answered the last one.
const NEXT_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How long each VM waits for the VM before it in the order to send the probe: longer than the
/// interval of full digests, so that it learns of the probe.
const PROBE_TURN: Duration = Duration::from_millis(500);
/// The same time for targets that VMs of several cells use: longer than the interval of brief
/// digests.
const SHARED_PROBE_TURN: Duration = Duration::from_millis(1_200);
/// A target to which no VM has sent a probe for this long is readmitted with a ramp. Otherwise a
/// service whose requests may not run again would never get it back. The time doubles with each
/// repeated ejection.
const LONGEST_UNPROBED_SPAN: Duration = Duration::from_secs(20);
/// The number of successful probes after which a target is readmitted.
const READMITTING_PROBES: u32 = 3;
/// The number by which this grows with each ejection soon after the last. A target that fails 0.45
/// of its requests passes three probes in one case of six, and seven in one of sixty.
const PROBES_PER_REPETITION: u32 = 2;
/// The largest number of repetitions that count.
const MAX_REPETITIONS: u32 = 3;
/// An ejection this soon after the previous one is a repetition.
const REPETITION_SPAN: Duration = Duration::from_secs(30);
/// How long a readmitted target gets less than all of its slots. Targets that fail requests quickly
/// are ejected again within it; a longer span leaves slots of recovered targets idle while requests
/// are refused.
const RAMP_SPAN: Duration = Duration::from_secs(1);
/// The share of its slots that a target gets when it is readmitted.
const FIRST_RAMP_SHARE: f64 = 0.5;

/// A change of a target's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionChange {
    /// The target gets no requests except probes.
    Ejected(TargetKey, OutlierEvidence),
    /// The target gets requests again, after this many successful probes.
    Readmitted(TargetKey, u32),
    /// Most targets fail, so none is ejected. This one is the last that was found to fail.
    Suspended(TargetKey, OutlierEvidence),
}

/// An ejected target.
#[derive(Clone, Debug)]
struct EjectedTarget {
    since: Moment,
    /// The failures at this VM that led to the ejection, and those of this VM's probes since.
    failed: u32,
    /// This VM's successful probes since the last failed one.
    own_successes: u32,
    /// All VMs' successful probes since the last failed one.
    successes: u32,
    required: u32,
    failed_probes: u32,
    /// When the last probe was sent or has ended.
    probed_at: Moment,
    /// This VM's probe, until its result is known.
    probe: Option<RequestSequence>,
    /// How many times the target was ejected shortly before.
    repetitions: u32,
}

impl EjectedTarget {
    fn interval(&self) -> Duration {
        if self.successes > 0 {
            return NEXT_PROBE_INTERVAL;
        }
        let longest =
            if self.repetitions > 0 { LONGEST_REPEATED_INTERVAL } else { LONGEST_PROBE_INTERVAL };
        PROBE_INTERVAL
            .saturating_mul(1 << (self.failed_probes + self.repetitions).min(4))
            .min(longest)
    }

    fn record_own_probe(&mut self, now: Moment, outcome: RunOutcome) {
        let is_new = self.probe == Some(outcome.ticket);
        if is_new {
            self.probe = None;
        }
        if outcome.is_failure {
            self.record_failure(now);
            self.failed = self.failed.saturating_add(1);
        } else if is_new {
            self.record_success(now, 1);
            self.own_successes += 1;
        }
    }

    fn record_success(&mut self, now: Moment, count: u32) {
        self.successes += count;
        self.probed_at = now;
    }

    fn record_failure(&mut self, now: Moment) {
        (self.successes, self.own_successes) = (0, 0);
        self.failed_probes = self.failed_probes.saturating_add(1);
        self.probed_at = now;
    }
}

/// A target that was ejected before.
#[derive(Clone, Copy, Debug)]
struct ReadmittedTarget {
    at: Moment,
    /// This VM's successful probes, and its answers since.
    successes: u32,
    repetitions: u32,
}

impl ReadmittedTarget {
    fn is_ramping(&self, now: Moment) -> bool {
        now.since(self.at) < RAMP_SPAN
    }
}

/// How long a suspicious target is avoided.
#[derive(Clone, Copy, Debug)]
struct TargetHold {
    until: Moment,
    once_only_until: Moment,
}

/// Which targets of one service are ejected, and the evidence on all of them.
#[derive(Clone, Debug, Default)]
pub struct TargetEjection {
    detectors: BTreeMap<TargetKey, OutlierDetector>,
    holds: BTreeMap<TargetKey, TargetHold>,
    ejected: BTreeMap<TargetKey, EjectedTarget>,
    readmitted: BTreeMap<TargetKey, ReadmittedTarget>,
    /// The number of targets that this VM uses.
    target_count: usize,
    /// Whether VMs of other cells use the same targets.
    is_shared: bool,
    suspended_until: Moment,
    changes: Vec<EjectionChange>,
    probes: u64,
    /// Where the next list of reports begins, if one has no room for all.
    report_offset: usize,
}

/// A run that has ended, or has shown that its target answers.
#[derive(Clone, Copy, Debug)]
pub struct RunOutcome {
    /// The request.
    pub ticket: RequestSequence,
    /// The target.
    pub target: TargetKey,
    /// When the request was sent.
    pub sent: Moment,
    /// Whether the target failed it.
    pub is_failure: bool,
    /// Whether it was sent as a probe.
    pub is_probe: bool,
}

impl TargetEjection {
    /// Replaces the targets that this VM uses. What is known of others is forgotten, so a new
    /// incarnation of a target starts without evidence. `is_shared` tells whether VMs of other
    /// cells use the same targets.
    pub fn set_targets(&mut self, used: &[TargetKey], is_shared: bool) {
        self.is_shared = is_shared;
        self.target_count = used.len();
        let is_used = |key: &TargetKey| used.contains(key);
        self.detectors.retain(|key, _| is_used(key));
        self.holds.retain(|key, _| is_used(key));
        self.ejected.retain(|key, _| is_used(key));
        self.readmitted.retain(|key, _| is_used(key));
        while self.ejected.len() > self.max_ejected() {
            let longest = self.ejected.iter().min_by_key(|(_, state)| state.since);
            let Some(key) = longest.map(|(key, _)| *key) else { return };
            // A readmission long ago has no ramp: the remaining targets are needed.
            self.readmit(Moment::default(), key);
        }
    }

    /// Whether a target is ejected.
    pub fn is_ejected(&self, target: TargetKey) -> bool {
        self.ejected.contains_key(&target)
    }

    /// Returns when a target was last ejected, if one is.
    pub fn last_ejection(&self) -> Option<Moment> {
        self.ejected.values().map(|state| state.since).max()
    }

    /// Returns the number of ejected targets.
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Whether a target must not get a request now because it has just failed one. `may_rerun`
    /// tells whether the request may run again if it fails.
    pub fn is_held(&self, now: Moment, target: TargetKey, may_rerun: bool) -> bool {
        self.holds.get(&target).is_some_and(|hold| {
            now < if may_rerun { hold.until } else { hold.once_only_until.max(hold.until) }
        })
    }

    /// Returns how many of its slots a target may use; all, unless it was readmitted a short time
    /// ago.
    pub fn permitted_slots(&self, now: Moment, target: TargetKey, slots: u32) -> u32 {
        let Some(returned) = self.readmitted.get(&target).filter(|it| it.is_ramping(now)) else {
            return slots;
        };
        let passed = now.since(returned.at).as_secs_f64() / RAMP_SPAN.as_secs_f64();
        let share = FIRST_RAMP_SHARE + (1.0 - FIRST_RAMP_SHARE) * passed;
        ((f64::from(slots) * share) as u32).clamp(1, slots.max(1))
    }

    /// Whether this VM may send a probe to an ejected target now. The VMs that have ejected the
    /// target take turns in an order drawn from their names, of which `is_available` tells the
    /// reachable ones.
    pub fn is_probe_due(
        &self,
        now: Moment,
        target: TargetKey,
        own: &VmName,
        is_available: impl Fn(&VmName) -> bool,
    ) -> bool {
        let Some(state) = self.ejected.get(&target).filter(|it| it.probe.is_none()) else {
            return false;
        };
        let passed = now.since(state.probed_at);
        if passed < state.interval() {
            return false;
        }
        let rank =
            |vm: &VmName| xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(target.0));
        let own_rank = rank(own);
        let peers = self.detectors.get(&target).into_iter();
        let peers = peers.flat_map(|detector| detector.reporting_peers(now));
        let before = peers.filter(|peer| is_available(peer) && rank(peer) < own_rank).count();
        let turn = if self.is_shared { SHARED_PROBE_TURN } else { PROBE_TURN };
        let turns = u32::try_from(before).unwrap_or(u32::MAX);
        passed >= state.interval().saturating_add(turn.saturating_mul(turns))
    }

    /// Records that this VM sends a request to a target. Returns whether it is a probe.
    pub fn record_placed(
        &mut self,
        now: Moment,
        ticket: RequestSequence,
        target: TargetKey,
    ) -> bool {
        let Some(state) = self.ejected.get_mut(&target) else { return false };
        state.probe = Some(ticket);
        state.probed_at = now;
        self.probes += 1;
        true
    }

    /// Records that a peer has sent a request to a target. It is a probe if the target is ejected
    /// there too, which the peer's reports on the target show.
    pub fn record_peer_run(&mut self, now: Moment, target: TargetKey, peer: &VmName) {
        let Some(state) = self.ejected.get_mut(&target) else { return };
        let detector = self.detectors.get(&target);
        if detector.is_some_and(|it| it.reporting_peers(now).any(|vm| vm == peer)) {
            state.probed_at = now;
        }
    }

    /// Records that a request has ended without showing anything about its target.
    pub fn record_without_outcome(&mut self, ticket: RequestSequence, target: TargetKey) {
        let state = self.ejected.get_mut(&target);
        if let Some(state) = state.filter(|state| state.probe == Some(ticket)) {
            state.probe = None;
        }
    }

    /// Records the outcome of a request of this VM.
    pub fn record(&mut self, now: Moment, outcome: RunOutcome) {
        self.readmit_unprobed(now);
        let target = outcome.target;
        if let Some(state) = self.ejected.get_mut(&target) {
            // Requests sent before the ejection say nothing about the target now.
            if outcome.is_probe && outcome.sent >= state.since {
                state.record_own_probe(now, outcome);
            }
            self.readmit_if_recovered(now, target);
            return;
        }
        let returned = self.readmitted.get_mut(&target);
        if returned.as_ref().is_some_and(|returned| outcome.sent < returned.at) {
            return;
        }
        if let Some(returned) = returned.filter(|_| !outcome.is_failure) {
            returned.successes = returned.successes.saturating_add(1);
        }
        let is_suspect = |detector: &OutlierDetector| detector.own_stretch(now).is_some();
        let needs_odds = outcome.is_failure || self.detectors.get(&target).is_some_and(is_suspect);
        let odds = if needs_odds { self.odds(now, target) } else { FailureOdds::against(0.0) };
        self.detectors.entry(target).or_default().record(now, outcome.is_failure, odds);
        if outcome.is_failure {
            self.examine(now, target);
        }
    }

    /// Records a peer's report. `is_evidence` tells whether the peer is in this VM's data centre.
    pub fn record_report(
        &mut self,
        now: Moment,
        peer: &VmName,
        report: &OutcomeReport,
        is_evidence: bool,
    ) {
        let target = report.target;
        let detector = self.detectors.entry(target).or_default();
        let news = detector.store_report(now, peer, report, is_evidence);
        if let Some(state) = self.ejected.get_mut(&target) {
            // Until the first probe, peers report the failures that led to their own ejections.
            if news.failed > 0 && now.since(state.since) >= PROBE_INTERVAL {
                state.record_failure(now);
            } else if news.failed == 0 && news.answered > 0 {
                state.record_success(now, news.answered);
            }
            self.readmit_if_recovered(now, target);
        } else if is_evidence && news.failed > 0 {
            self.examine(now, target);
        }
    }

    /// Forgets the failures of a target whose process has crashed: the crash ledger attributes
    /// these to requests, and the process that failed is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.detectors.remove(&target);
        self.holds.remove(&target);
        self.readmitted.remove(&target);
        if self.ejected.remove(&target).is_some() {
            self.changes.push(EjectionChange::Readmitted(target, 0));
        }
    }

    /// Returns the targets with known outcomes.
    pub fn observed_targets(&self) -> impl Iterator<Item = TargetKey> {
        self.detectors.keys().copied()
    }

    /// Returns reports on those `wanted` targets that are ejected or suspect here, or were
    /// readmitted a short time ago. If there are more than `limit`, the next call begins with the
    /// ones left out.
    pub fn reports(
        &mut self,
        now: Moment,
        limit: usize,
        wanted: &[TargetKey],
    ) -> Vec<OutcomeReport> {
        let mut reports: Vec<OutcomeReport> =
            wanted.iter().filter_map(|key| self.report(now, *key)).collect();
        if reports.len() > limit {
            let offset = self.report_offset % reports.len();
            reports.rotate_left(offset);
            reports.truncate(limit);
            self.report_offset = self.report_offset.wrapping_add(limit);
        }
        reports
    }

    fn report(&self, now: Moment, target: TargetKey) -> Option<OutcomeReport> {
        let count = if let Some(state) = self.ejected.get(&target) {
            OutcomeCount { answered: state.own_successes, failed: state.failed }
        } else {
            let stretch = self.detectors.get(&target)?.own_stretch(now);
            let stretch = stretch.filter(|stretch| stretch.failed > 0);
            // A VM that has not counted all successful probes yet learns of them from the answers
            // after the readmission.
            let returned = self.readmitted.get(&target).filter(|it| it.is_ramping(now));
            let successes = returned.map(|it| OutcomeCount { answered: it.successes, failed: 0 });
            stretch.or(successes)?
        };
        let to_field = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        let (answered, failed) = (to_field(count.answered), to_field(count.failed));
        Some(OutcomeReport { target, answered, failed })
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of probes that this VM has sent since the last call.
    pub fn take_probes(&mut self) -> u64 {
        std::mem::take(&mut self.probes)
    }

    /// Returns the odds for one target, given what the others fail.
    fn odds(&self, now: Moment, target: TargetKey) -> FailureOdds {
        let others = self.detectors.iter().filter(|(key, _)| **key != target);
        let serving = others.filter(|(key, _)| !self.is_ejected(**key));
        let recent = serving.map(|(_, detector)| &detector.recent);
        FailureOdds::against(RecentOutcomes::failure_share(now, recent))
    }

    fn max_ejected(&self) -> usize {
        let share = (self.target_count as f64 * MAX_EJECTED_SHARE) as usize;
        share.max(usize::from(self.target_count > 1))
    }

    /// Ejects or holds a target that has just failed a request.
    fn examine(&mut self, now: Moment, target: TargetKey) {
        let odds = self.odds(now, target);
        let is_returning = self.readmitted.get(&target).is_some_and(|it| it.is_ramping(now));
        let Some(detector) = self.detectors.get(&target) else { return };
        let evidence = detector.evidence(now, odds, is_returning);
        if now < self.suspended_until {
            if evidence.is_outlier && self.do_most_fail(now) {
                self.suspended_until = now + SUSPENSION_SPAN;
            }
            return;
        }
        if evidence.is_outlier && self.do_most_fail(now) {
            return self.suspend(now, target, evidence);
        }
        if evidence.is_outlier && self.ejected.len() < self.max_ejected() {
            return self.eject(now, target, evidence);
        }
        // Where there is no other target, waiting is of no use.
        if detector.is_suspicious(now, odds) && self.max_ejected() > 0 {
            self.hold(now, target, evidence.count.failed);
        }
    }

    /// Whether most targets are ejected or fail so much that they could be.
    fn do_most_fail(&self, now: Moment) -> bool {
        let is_failing = |(key, detector): (&TargetKey, &OutlierDetector)| {
            self.is_ejected(*key) || detector.fails_much(now)
        };
        let failing = self.detectors.iter().filter(|entry| is_failing(*entry)).count();
        failing as f64 > self.target_count as f64 * MAX_FAILING_SHARE
    }

    fn hold(&mut self, now: Moment, target: TargetKey, failed: u32) {
        self.holds.retain(|_, hold| now < hold.once_only_until.max(hold.until));
        let doublings = failed.saturating_sub(1).min(4);
        let span = FIRST_HOLD.saturating_mul(1 << doublings).min(LONGEST_HOLD);
        let hold = TargetHold { until: now + span, once_only_until: now + ONCE_ONLY_HOLD };
        self.holds.insert(target, hold);
    }

    fn eject(&mut self, now: Moment, target: TargetKey, evidence: OutlierEvidence) {
        let before = self.readmitted.remove(&target);
        let before = before.filter(|it| now.since(it.at) < REPETITION_SPAN);
        let repetitions = before.map_or(0, |it| (it.repetitions + 1).min(MAX_REPETITIONS));
        let own = self.detectors.get(&target).and_then(|detector| detector.own_stretch(now));
        let state = EjectedTarget {
            since: now,
            failed: own.map_or(0, |own| own.failed),
            own_successes: 0,
            successes: 0,
            required: READMITTING_PROBES + repetitions * PROBES_PER_REPETITION,
            failed_probes: 0,
            probed_at: now,
            probe: None,
            repetitions,
        };
        self.ejected.insert(target, state);
        self.holds.remove(&target);
        self.changes.push(EjectionChange::Ejected(target, evidence));
    }

    fn readmit_unprobed(&mut self, now: Moment) {
        let is_unprobed = |state: &EjectedTarget| {
            let span = LONGEST_UNPROBED_SPAN.saturating_mul(1 << state.repetitions);
            state.probe.is_none() && now.since(state.probed_at) >= span
        };
        let unprobed = self.ejected.iter().filter(|(_, state)| is_unprobed(state));
        let unprobed: Vec<TargetKey> = unprobed.map(|(key, _)| *key).collect();
        for key in unprobed {
            self.readmit(now, key);
        }
    }

    fn readmit_if_recovered(&mut self, now: Moment, target: TargetKey) {
        let has_recovered = |state: &EjectedTarget| state.successes >= state.required;
        if self.ejected.get(&target).is_some_and(has_recovered) {
            self.readmit(now, target);
        }
    }

    fn readmit(&mut self, now: Moment, target: TargetKey) {
        let Some(state) = self.ejected.remove(&target) else { return };
        let returned = ReadmittedTarget {
            at: now,
            successes: state.own_successes,
            repetitions: state.repetitions,
        };
        self.readmitted.insert(target, returned);
        if let Some(detector) = self.detectors.get_mut(&target) {
            detector.settle();
        }
        self.changes.push(EjectionChange::Readmitted(target, state.successes));
    }

    /// Uses all targets again, because most fail.
    fn suspend(&mut self, now: Moment, target: TargetKey, evidence: OutlierEvidence) {
        self.suspended_until = now + SUSPENSION_SPAN;
        self.holds.clear();
        self.changes.push(EjectionChange::Suspended(target, evidence));
        let ejected: Vec<TargetKey> = self.ejected.keys().copied().collect();
        for key in ejected {
            self.readmit(now, key);
            // All targets are needed, so there is no ramp.
            self.readmitted.remove(&key);
        }
    }
}
