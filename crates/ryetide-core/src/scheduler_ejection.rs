//! The scheduler's part in the ejection of targets: outcomes of runs and the peers' reports go to
//! the [`TargetEjection`] of the service.

use std::time::Duration;

use crate::{
    decision::{FaultCause, RunEnd},
    ids::{RequestSequence, ServiceName, TargetKey, VmName},
    load_digest::DigestScope,
    policy_update::{self, OutcomeReport},
    queue_view::ServiceQueue,
    rollout_manager::TargetUse,
    scheduler::{PlacedRun, Scheduler},
    target_ejection::{EjectionChange, RunOutcome, TargetEjection},
    units::Moment,
};

/// The shortest time without any event after which an unfinished run counts as failed. A request
/// that was sent shortly before its deadline says nothing about its target.
const MIN_SILENCE: Duration = Duration::from_millis(1_200);
/// The same time as a multiple of the expected time to the first event.
const SILENCE_FACTOR: u32 = 5;
/// How long after an ejection digests to all VMs are sent at a shorter interval.
const FAST_REPORT_SPAN: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Returns the changes of ejections since the last call, each with its service.
    pub fn take_ejection_changes(&mut self) -> Vec<(ServiceName, EjectionChange)> {
        let changes = self.services.iter_mut().flat_map(|(service, state)| {
            let changes = state.ejection.take_changes().into_iter();
            changes.map(|change| (service.clone(), change))
        });
        changes.collect()
    }

    /// Returns the number of probes that this VM has sent since the last call.
    pub fn take_probes(&mut self) -> u64 {
        self.services.values_mut().map(|state| state.ejection.take_probes()).sum()
    }

    /// Returns the number of targets that are ejected at this VM.
    pub fn ejected_targets(&self) -> usize {
        self.services.values().map(|state| state.ejection.ejected_count()).sum()
    }

    /// Whether a target that VMs of all cells use was ejected so recently that other VMs may not
    /// know it.
    pub fn has_fresh_ejection(&self, now: Moment) -> bool {
        let shared = self.services.values().filter(|state| !state.targets.is_partitioned);
        self.plan.is_partitioned()
            && shared
                .filter_map(|state| state.ejection.last_ejection())
                .any(|at| now.since(at) < FAST_REPORT_SPAN)
    }

    /// Tells each service's ejection which targets this VM uses, or drops what it knows if ejection
    /// is not in effect.
    pub(crate) fn update_ejections(&mut self) {
        let is_partitioned = self.plan.is_partitioned();
        for state in self.services.values_mut() {
            if self.options.policy.ejection.is_on() {
                let is_shared = is_partitioned && !state.targets.is_partitioned;
                state.ejection.set_targets(&state.targets.keys, is_shared);
            } else {
                state.ejection = TargetEjection::default();
            }
        }
    }

    /// Records the outcome of a run that has ended.
    pub(crate) fn record_outcome(
        &mut self,
        now: Moment,
        ticket: RequestSequence,
        run: &PlacedRun,
        end: RunEnd,
    ) {
        let (target, sent, is_probe) = (run.target, run.since, run.is_probe);
        if end == RunEnd::Unsettled {
            let outcome = RunOutcome { ticket, target, sent, is_failure: true, is_probe };
            self.unsettled.entry(target).or_default().push(outcome);
            return;
        }
        let Some(state) = self.ejecting_service(target) else { return };
        let silence = MIN_SILENCE.max(run.expected_first.saturating_mul(SILENCE_FACTOR));
        let is_silent = run.last_event.is_none() && now.since(run.since) >= silence;
        let is_failure = match end {
            RunEnd::Whole => false,
            RunEnd::Failed => true,
            RunEnd::TimedOut | RunEnd::Abandoned if is_silent => true,
            RunEnd::TimedOut
            | RunEnd::Abandoned
            | RunEnd::TurnedAway
            | RunEnd::Unreachable
            | RunEnd::Unsettled => {
                return state.ejection.record_without_outcome(ticket, target);
            }
        };
        state.ejection.record(now, RunOutcome { ticket, target, sent, is_failure, is_probe });
    }

    /// Records why the runs at a target that ended [`RunEnd::Unsettled`] had no answer.
    ///
    /// A VM that loses its path sees all its runs at a target break at once, as when the target
    /// fails. Its reports would eject a sound target at all VMs.
    pub fn settle_faults(&mut self, now: Moment, target: TargetKey, cause: FaultCause) {
        for outcome in self.unsettled.remove(&target).unwrap_or_default() {
            if cause == FaultCause::Target
                && let Some(load) = self.targets.get_mut(&target)
            {
                load.health_mut().record_failure(now);
            }
            let Some(state) = self.ejecting_service(target) else { continue };
            match cause {
                FaultCause::Target => state.ejection.record(now, outcome),
                FaultCause::Path => state.ejection.record_without_outcome(outcome.ticket, target),
            }
        }
        self.digest_tracker.record_touched(now, target);
        self.changed = true;
    }

    /// Marks a request that has just been sent as a probe if its target is ejected.
    pub(crate) fn record_probe(&mut self, now: Moment, ticket: RequestSequence) {
        let Some(target) = self.runs.get(&ticket).map(|run| run.target) else { return };
        let Some(state) = self.ejecting_service(target) else { return };
        let is_probe = state.ejection.record_placed(now, ticket, target);
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.is_probe = is_probe;
        }
    }

    /// Records that a request has got its first event, which makes it a successful probe.
    pub(crate) fn record_probe_answer(&mut self, now: Moment, ticket: RequestSequence) {
        let Some(run) = self.runs.get(&ticket).filter(|run| run.is_probe) else { return };
        let (target, sent) = (run.target, run.since);
        let Some(state) = self.ejecting_service(target) else { return };
        let outcome = RunOutcome { ticket, target, sent, is_failure: false, is_probe: true };
        state.ejection.record(now, outcome);
        self.digest_tracker.record_touched(now, target);
        self.changed = true;
    }

    /// Records that a peer has sent a request to a target.
    pub(crate) fn record_peer_run(&mut self, now: Moment, target: TargetKey, peer: &VmName) {
        if let Some(state) = self.ejecting_service(target) {
            state.ejection.record_peer_run(now, target, peer);
        }
    }

    /// Records a peer's reports on targets.
    pub(crate) fn merge_outcome_reports(
        &mut self,
        now: Moment,
        from: &VmName,
        reports: &[OutcomeReport],
    ) {
        // A target may fail only the requests of another data centre.
        let is_near = self.peers.data_centre(from) == Some(&self.options.data_centre);
        for report in reports {
            if let Some(state) = self.ejecting_service(report.target) {
                state.ejection.record_report(now, from, report, is_near);
            }
        }
    }

    /// Forgets the failures of a target that has crashed.
    pub(crate) fn forget_failures(&mut self, target: TargetKey) {
        if let Some(state) = self.ejecting_service(target) {
            state.ejection.forget(target);
        }
    }

    /// Returns the reports for a digest of this scope.
    pub(crate) fn outcome_reports(
        &mut self,
        now: Moment,
        scope: DigestScope,
    ) -> Vec<OutcomeReport> {
        if !self.options.policy.ejection.is_on() {
            return Vec::new();
        }
        let touched = self.digest_tracker.touched();
        let mut reports = Vec::new();
        for state in self.services.values_mut() {
            let free = policy_update::MAX_ENTRIES - reports.len();
            let is_shared = self.plan.is_partitioned() && !state.targets.is_partitioned;
            let wanted: Vec<TargetKey> = match scope {
                DigestScope::Changes => touched.iter().copied().collect(),
                DigestScope::Brief if !is_shared => continue,
                DigestScope::Whole | DigestScope::Brief => {
                    state.ejection.observed_targets().collect()
                }
            };
            reports.extend(state.ejection.reports(now, free, &wanted));
        }
        reports
    }

    /// Returns the service of a target to which ejection applies. It doesn't apply to targets of
    /// versions on trial, which the rollout evaluates, or of other cells.
    fn ejecting_service(&mut self, target: TargetKey) -> Option<&mut ServiceQueue> {
        let entry = self.targets.get(&target)?.entry();
        if self.rollouts.target_use(entry) != TargetUse::Serving {
            return None;
        }
        let state = self.services.get_mut(&entry.service)?;
        (self.options.policy.ejection.is_on() && state.targets.keys.contains(&target))
            .then_some(state)
    }
}
