//! The state of one rollout order for one service at one entry VM.
//!
//! [`TrialShare`] limits the traffic of a version on trial.
//!
//! # Completion
//!
//! A version found to be bad gets no more requests from the moment at which a VM finds this or
//! learns it from a peer; the operators' row is updated afterwards. A version found to be good gets
//! all new requests; the row is updated once no requests are left at the old targets, which may
//! then stop at once. The row is written conditionally on its version: a VM that was frozen,
//! partitioned or restarted finds the row already written and adopts what it says.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{
    chart::{self, RolloutEvent, RolloutState},
    ids::{Incarnation, ServiceKey, TargetKey, VmName},
    rollout_evaluation::{self, EvaluationInput, RolloutVerdict, VerdictReason},
    rollout_evidence::{AnswerCount, AnswerTally, RolloutEvidence, RunSample, VersionSide},
    rollout_order::{
        OrderNumber, RolloutDuty, RolloutOrder, RolloutReport, RolloutRule, RolloutStatus,
        RolloutTask,
    },
    trial_share::TrialShare,
    units::Moment,
    version_baseline::{BaselineReport, VersionBaseline},
};

/// A VM that learns of an order within this time counts as having known it from its beginning.
const BEGINNING_SPAN: Duration = Duration::from_secs(2);
/// A version is not accepted before this fraction of the order's time, since it may start to fail
/// only after a while.
const MIN_TRIAL_FRACTION: f64 = 0.5;
/// The trial is decided at the latest after this fraction of the order's time, so that there is
/// time left to move the traffic.
const MAX_TRIAL_FRACTION: f64 = 0.75;
/// Time reserved at the end of the order to write the row, and for another VM to write it if the
/// first one fails.
const WRITE_MARGIN: Duration = Duration::from_millis(1_500);
/// The delay between consecutive VMs in taking on the same duty: long enough for a write and for
/// the report of it to reach the other VMs.
const DUTY_STAGGER: Duration = Duration::from_millis(400);
/// The longest delay before a VM takes on a duty that no other VM has done, as a fraction of the
/// order's time.
const MAX_DUTY_DELAY_FRACTION: f64 = 0.1;
/// A VM that hears from a smaller share of the VMs sends no requests to the new version, since
/// their findings would not reach it.
const MIN_REACHABLE_SHARE: f64 = 0.5;
/// How long a peer's count of requests at the old version stays valid: three intervals of the
/// slowest digest.
const IN_FLIGHT_COUNT_TTL: Duration = Duration::from_millis(3_500);
/// The interval between evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// The progress of an order at one VM, as reported to its peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RolloutProgress {
    /// The service.
    pub service: ServiceKey,
    /// The order.
    pub number: OrderNumber,
    /// The time since any VM first saw the order, as far as the sender knows, in milliseconds.
    pub age_ms: u32,
    /// The state of the order at the sender.
    pub state: RolloutState,
    /// The sender's requests that are in flight at the old version.
    pub in_flight_old: u32,
    /// Whether the store holds that the version passed its trial.
    pub pass_stored: bool,
    /// The answers that the sender has counted; `None` in digests that hold changes only.
    pub tallies: Option<Vec<AnswerTally>>,
}

/// A state transition of an order, with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutChange {
    /// The order.
    pub order: RolloutOrder,
    /// The state before the transition.
    pub from: RolloutState,
    /// The state after it.
    pub to: RolloutState,
    /// The reason.
    pub reason: RolloutReason,
    /// Requests that this VM has placed since it learned of the order.
    pub placed: u64,
    /// Those of them that went to the new version.
    pub exposed: u64,
    /// The old version's answers at all VMs, as far as reports of them have arrived.
    pub old: AnswerCount,
    /// The new version's answers, counted in the same way.
    pub new: AnswerCount,
}

/// The reason for a state transition of an order.
#[derive(Clone, Copy, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutReason {
    /// The operators' row holds the result.
    Row,
    /// A peer has reported the state.
    Peer,
    /// The evidence was sufficient.
    Evidence(VerdictReason),
    /// The time for the trial ended with insufficient evidence. What there is decides; without any,
    /// the traffic stays at the old version.
    LittleEvidence,
    /// No requests are left at the old version.
    NothingLeft,
    /// The order's time is nearly over.
    Deadline,
    /// The service has no other version.
    OnlyVersion,
    /// Another version was in use before the order, so that this one needs a trial.
    OtherInUse,
}

/// How much of the fleet this VM hears from.
#[derive(Clone, Copy, Debug)]
pub struct FleetReachability {
    /// The share of the entry VMs that this VM hears from.
    pub reachable_share: f64,
    /// The number of entry VMs, including this one.
    pub vms: usize,
}

impl FleetReachability {
    /// Returns whether this VM hears from enough of the fleet to decide with it.
    pub fn is_sufficient(&self) -> bool {
        self.reachable_share >= MIN_REACHABLE_SHARE
    }
}

/// The surroundings in which an order is evaluated.
#[derive(Clone, Copy, Debug)]
pub struct RolloutContext {
    /// How much of the fleet this VM hears from.
    pub reachability: FleetReachability,
    /// The number of targets of the new version.
    pub new_targets: usize,
    /// Requests of this VM that are in flight at the old version.
    pub in_flight_old: u32,
}

/// The state of one order for one service.
#[derive(Debug)]
pub struct ServiceRollout {
    order: RolloutOrder,
    state: RolloutState,
    /// When any VM first saw the order, as far as this VM knows.
    began: Moment,
    /// When this VM learned of the order.
    learned: Moment,
    evidence: RolloutEvidence,
    /// The peers' requests in flight at the old version, with the time of the report.
    peers_in_flight_old: BTreeMap<VmName, (Moment, u32)>,
    share: TrialShare,
    /// The time of the last evaluation.
    evaluated: Moment,
    /// Whether the store holds that the version passed its trial.
    pass_stored: bool,
    /// The versions that were in use before the order, if they are known.
    baseline: Option<VersionBaseline>,
    /// What the store holds of them, as far as this VM knows.
    stored_baseline: Option<VersionBaseline>,
    /// Whether the version passed without a trial.
    is_untested: bool,
    /// Whether the operators' row may lack the status of the order, because its table was restored
    /// from a backup.
    must_rewrite_row: bool,
    /// When the current state was entered.
    since: Moment,
    changes: Vec<RolloutChange>,
}

impl ServiceRollout {
    /// Creates the state of an order that this VM has just learned of.
    pub fn new(now: Moment, order: RolloutOrder, rule: RolloutRule) -> Self {
        let share = TrialShare::new(rule, order.duration);
        Self {
            order,
            state: chart::rollout().initial(),
            began: now,
            learned: now,
            evidence: RolloutEvidence::default(),
            peers_in_flight_old: BTreeMap::new(),
            share,
            evaluated: now,
            pass_stored: false,
            baseline: None,
            stored_baseline: None,
            is_untested: false,
            must_rewrite_row: false,
            since: now,
            changes: Vec::new(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Adopts the number that the order has in a table restored from a backup.
    ///
    /// The order keeps its state. Its row and the stored result of the trial may be missing from
    /// the backup, so both are written again.
    pub fn renumber(&mut self, number: OrderNumber) {
        self.order.number = number;
        self.pass_stored = false;
        self.stored_baseline = None;
        self.must_rewrite_row = true;
    }

    /// Returns the current state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns whether the order has ended and the operators' row says so.
    pub fn is_ended(&self) -> bool {
        chart::rollout().is_terminal(self.state)
    }

    /// Returns the state transitions since the last call.
    pub fn take_changes(&mut self) -> Vec<RolloutChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of requests that this VM has placed since it learned of the order, and of
    /// those that went to the new version.
    pub fn exposure(&self) -> (u64, u64) {
        self.share.counts()
    }

    /// Returns the collected evidence.
    pub fn evidence(&self) -> &RolloutEvidence {
        &self.evidence
    }

    /// Returns the rule for the traffic of the version.
    pub fn rule(&self) -> &RolloutRule {
        self.share.rule()
    }

    /// Returns the versions that were in use before the order, if they are known.
    pub fn baseline(&self) -> Option<&VersionBaseline> {
        self.baseline.as_ref()
    }

    /// Adds what is known of the versions that were in use before the order. If there was one, a
    /// version that passed as the only one goes back to its trial.
    pub fn learn_baseline(&mut self, now: Moment, learned: &VersionBaseline) {
        VersionBaseline::merge_into(&mut self.baseline, learned);
        let has_other = self.baseline.as_ref().is_some_and(|known| !known.is_empty());
        if self.is_untested && has_other {
            self.is_untested = false;
            self.advance_by(now, RolloutEvent::OtherInUse, RolloutReason::OtherInUse);
        }
    }

    /// Applies the status in the operators' row.
    pub fn take_report(&mut self, now: Moment, report: &RolloutReport) {
        if report.number != self.order.number {
            return;
        }
        if let Some(baseline) = &report.baseline {
            VersionBaseline::merge_into(&mut self.stored_baseline, baseline);
            self.learn_baseline(now, baseline);
        }
        if let Some(age) = report.age {
            self.update_age(now, age);
        }
        self.pass_stored |= report.passed;
        self.must_rewrite_row = false;
        let event = match report.status {
            RolloutStatus::Running if report.passed => RolloutEvent::Passed,
            RolloutStatus::Running => RolloutEvent::Opened,
            RolloutStatus::Completed => RolloutEvent::RowCompleted,
            RolloutStatus::RolledBack => RolloutEvent::RowRolledBack,
        };
        self.advance_by(now, event, RolloutReason::Row);
    }

    /// Applies a peer's report of the versions that were in use before the order.
    pub fn take_baseline(&mut self, now: Moment, report: &BaselineReport) {
        if report.number != self.order.number {
            return;
        }
        if report.is_stored {
            VersionBaseline::merge_into(&mut self.stored_baseline, &report.baseline);
        }
        self.learn_baseline(now, &report.baseline);
    }

    /// Applies a peer's progress report. `baseline` holds the versions that the peer knows to have
    /// been in use before the order.
    pub fn take_progress(
        &mut self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        progress: &RolloutProgress,
        baseline: Option<&VersionBaseline>,
    ) {
        if progress.number != self.order.number {
            return;
        }
        self.update_age(now, Duration::from_millis(u64::from(progress.age_ms)));
        if let Some(tallies) = &progress.tallies {
            self.evidence.take_peer_tallies(from, incarnation, tallies);
        }
        self.pass_stored |= progress.pass_stored;
        // A peer that does not move its traffic yet may still send requests to the old version.
        let in_flight = progress.in_flight_old;
        let in_flight = if is_moving(progress.state) { in_flight } else { in_flight.max(1) };
        self.peers_in_flight_old.insert(from.clone(), (now, in_flight));
        let event = match progress.state {
            RolloutState::Asked => return,
            RolloutState::Trial => RolloutEvent::Opened,
            RolloutState::Moving | RolloutState::Emptied => {
                // A peer that knows of no other version has not tested this one. If this VM knows
                // one, such a pass would give an untested version all requests.
                let is_untested = baseline.is_some_and(VersionBaseline::is_empty);
                if is_untested && self.baseline.as_ref().is_some_and(|known| !known.is_empty()) {
                    return;
                }
                self.is_untested |= is_untested && self.is_open();
                RolloutEvent::Passed
            }
            RolloutState::Condemned => RolloutEvent::Failed,
            RolloutState::Completed => RolloutEvent::RowCompleted,
            RolloutState::RolledBack => RolloutEvent::RowRolledBack,
        };
        self.advance_by(now, event, RolloutReason::Peer);
    }

    /// Passes the version without a trial if no other one was in use before the order, and none has
    /// answered under it at any VM.
    pub fn pass_only_version(&mut self, now: Moment) {
        let is_only = self.baseline.as_ref().is_some_and(VersionBaseline::is_empty);
        if self.is_open() && is_only && self.evidence.sum_of(VersionSide::Old).answers == 0 {
            self.is_untested = true;
            self.advance_by(now, RolloutEvent::Passed, RolloutReason::OnlyVersion);
        }
    }

    /// Returns whether it has not been decided yet whether the version passes.
    fn is_open(&self) -> bool {
        matches!(self.state, RolloutState::Asked | RolloutState::Trial)
    }

    /// Returns the subset of the new version's `targets` that may get one more request now.
    pub fn slice(
        &self,
        now: Moment,
        reachability: &FleetReachability,
        targets: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        if self.state != RolloutState::Trial || !reachability.is_sufficient() {
            return Vec::new();
        }
        let knows_beginning = self.learned.since(self.began) < BEGINNING_SPAN;
        let slack_parts = knows_beginning.then_some(reachability.vms);
        self.share.targets(self.age(now), slack_parts, targets)
    }

    /// Counts a request that was placed.
    pub fn record_placed(&mut self, now: Moment, side: VersionSide) {
        self.share.record_placed(self.age(now), side);
    }

    /// Adds the result of a run to the evidence.
    pub fn record_run(&mut self, now: Moment, side: VersionSide, sample: RunSample) {
        if !self.is_ended() {
            let narrow = side == VersionSide::New
                && self.state == RolloutState::Trial
                && self.share.is_narrow(self.age(sample.sent));
            self.evidence.record(now, side, sample, narrow);
        }
    }

    /// Performs the evaluations that are due; returns whether the state has changed.
    pub fn advance(&mut self, now: Moment, context: &RolloutContext) -> bool {
        let before = self.state;
        match before {
            RolloutState::Trial => self.evaluate(now, context),
            RolloutState::Moving => {
                self.evaluate(now, context);
                self.check_emptied(now, context);
            }
            // The version may still fail, and a rollback is possible until the order is completed.
            RolloutState::Emptied => self.evaluate(now, context),
            RolloutState::Asked
            | RolloutState::Condemned
            | RolloutState::Completed
            | RolloutState::RolledBack => {}
        }
        self.state != before
    }

    fn evaluate(&mut self, now: Moment, context: &RolloutContext) {
        if now.since(self.evaluated) < EVALUATION_INTERVAL {
            return;
        }
        self.evaluated = now;
        let total = self.evidence.total();
        let recent = self.evidence.recent(now, &total);
        let verdict = rollout_evaluation::evaluate(&EvaluationInput {
            total: &total,
            recent: &recent,
            new_targets: context.new_targets,
            is_moving: self.state != RolloutState::Trial,
        });
        let (age, duration) = (now.since(self.began), self.order.duration);
        match verdict {
            RolloutVerdict::Bad(reason) => {
                self.advance_by(now, RolloutEvent::Failed, RolloutReason::Evidence(reason));
            }
            RolloutVerdict::Good if age >= duration.mul_f64(MIN_TRIAL_FRACTION) => {
                let reason = RolloutReason::Evidence(VerdictReason::AsGood);
                self.advance_by(now, RolloutEvent::Passed, reason);
            }
            RolloutVerdict::Unsure { leans_good }
                if self.state == RolloutState::Trial
                    && age >= duration.mul_f64(MAX_TRIAL_FRACTION) =>
            {
                let event = if leans_good { RolloutEvent::Passed } else { RolloutEvent::Failed };
                self.advance_by(now, event, RolloutReason::LittleEvidence);
            }
            RolloutVerdict::Good | RolloutVerdict::Unsure { .. } => {}
        }
    }

    /// Leaves the moving state once no requests are left at the old version, or when time runs out.
    fn check_emptied(&mut self, now: Moment, context: &RolloutContext) {
        let reports = self.peers_in_flight_old.values();
        let valid = reports.filter(|(at, _)| now.since(*at) < IN_FLIGHT_COUNT_TTL);
        let in_flight =
            valid.fold(context.in_flight_old, |sum, (_, count)| sum.saturating_add(*count));
        let is_reachable = context.reachability.is_sufficient();
        // Requests that peers sent just before they moved are reported within one digest interval.
        let has_settled = now.since(self.since) >= Duration::from_secs(1);
        if in_flight == 0 && is_reachable && has_settled {
            self.advance_by(now, RolloutEvent::Emptied, RolloutReason::NothingLeft);
        } else if now.since(self.began) + WRITE_MARGIN >= self.order.duration {
            self.advance_by(now, RolloutEvent::Emptied, RolloutReason::Deadline);
        }
    }

    /// Returns the task that this VM must do at the operators' row now, if any.
    ///
    /// `ahead` is the number of VMs that are before this one in the order of [`duty_rank`]. Each of
    /// them gets the time to do the task first.
    pub fn duty(&self, now: Moment, ahead: usize) -> Option<RolloutDuty> {
        let steps = u32::try_from(ahead).unwrap_or(u32::MAX);
        let delay = DUTY_STAGGER.saturating_mul(steps);
        if now.since(self.since) < delay.min(self.order.duration.mul_f64(MAX_DUTY_DELAY_FRACTION)) {
            return None;
        }
        let task = match self.state {
            RolloutState::Asked => RolloutTask::Open,
            RolloutState::Moving if !self.pass_stored && !self.is_untested => RolloutTask::Remember,
            RolloutState::Emptied => RolloutTask::End(RolloutStatus::Completed),
            RolloutState::Condemned => RolloutTask::End(RolloutStatus::RolledBack),
            RolloutState::Trial if self.must_rewrite_row => RolloutTask::Open,
            RolloutState::Completed if self.must_rewrite_row => {
                RolloutTask::End(RolloutStatus::Completed)
            }
            RolloutState::RolledBack if self.must_rewrite_row => {
                RolloutTask::End(RolloutStatus::RolledBack)
            }
            RolloutState::Trial | RolloutState::Moving if self.must_store_baseline() => {
                RolloutTask::RecordBaseline
            }
            RolloutState::Trial
            | RolloutState::Moving
            | RolloutState::Completed
            | RolloutState::RolledBack => return None,
        };
        Some(RolloutDuty { order: self.order.clone(), task, baseline: self.baseline.clone() })
    }

    fn must_store_baseline(&self) -> bool {
        let Some(baseline) = &self.baseline else { return false };
        !self.stored_baseline.as_ref().is_some_and(|stored| stored.covers(baseline))
    }

    /// Returns the report for peers of the versions that were in use before the order, if they are
    /// known.
    pub fn baseline_report(&self) -> Option<BaselineReport> {
        Some(BaselineReport {
            service: ServiceKey::of(&self.order.service),
            number: self.order.number,
            baseline: self.baseline.clone()?,
            is_stored: !self.must_store_baseline(),
        })
    }

    /// Returns the progress report for peers.
    pub fn progress(&self, now: Moment, in_flight_old: u32, with_tallies: bool) -> RolloutProgress {
        let age_ms = u32::try_from(now.since(self.began).as_millis()).unwrap_or(u32::MAX);
        let with_tallies = with_tallies && !self.is_ended();
        RolloutProgress {
            service: ServiceKey::of(&self.order.service),
            number: self.order.number,
            age_ms,
            state: self.state,
            in_flight_old,
            pass_stored: self.pass_stored,
            tallies: with_tallies.then(|| self.evidence.own_tallies()),
        }
    }

    /// Returns the time since any VM first saw the order, as far as this VM knows.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.began)
    }

    fn update_age(&mut self, now: Moment, age: Duration) {
        self.began = self.began.min(now.before(age));
    }

    fn advance_by(&mut self, now: Moment, event: RolloutEvent, reason: RolloutReason) {
        let from = self.state;
        if !chart::rollout().advance(&mut self.state, event) {
            return;
        }
        self.since = now;
        let (order, to) = (self.order.clone(), self.state);
        let (placed, exposed) = self.share.counts();
        let (old, new) =
            (self.evidence.sum_of(VersionSide::Old), self.evidence.sum_of(VersionSide::New));
        self.changes.push(RolloutChange { order, from, to, reason, placed, exposed, old, new });
    }
}

fn is_moving(state: RolloutState) -> bool {
    matches!(state, RolloutState::Moving | RolloutState::Emptied | RolloutState::Completed)
}

/// Returns the rank of a VM for an order's duties; the VM with the lowest rank acts first.
pub fn duty_rank(order: &RolloutOrder, vm: &VmName) -> u64 {
    let seed = u64::from(ServiceKey::of(&order.service).0) ^ order.number.0;
    xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
