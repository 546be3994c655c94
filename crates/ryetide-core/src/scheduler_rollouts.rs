//! The scheduler's part in rollout orders: the versions of services decide which targets get
//! requests, and the results of runs and the peers' reports advance the orders.

use std::collections::BTreeMap;

use crate::{
    ids::{ServiceName, VmName},
    rollout_evidence::{RunSample, VersionSide},
    rollout_manager::RolloutManager,
    rollout_order::{RolloutDuty, RolloutRule},
    scheduler::Scheduler,
    service_rollout::{FleetReachability, RolloutProgress},
    target_load::TargetLoad,
    units::Moment,
};

impl Scheduler {
    /// Replaces the limit on the traffic of versions on trial. Orders in progress keep the rule
    /// with which they began.
    pub fn set_rollout_rule(&mut self, rule: RolloutRule) {
        self.rollouts.set_rule(rule);
    }

    /// Runs `act` on the versions of services. If other targets may get requests, the targets are
    /// assigned anew and waiting requests are dispatched.
    pub fn with_rollouts<T>(
        &mut self,
        now: Moment,
        act: impl FnOnce(&mut RolloutManager, Moment) -> T,
    ) -> T {
        let outcome = act(&mut self.rollouts, now);
        if self.rollouts.take_uses_changed() {
            self.update_used_targets();
            self.changed = true;
            self.process_queues(now);
        }
        outcome
    }

    /// Evaluates the new versions of all orders in progress.
    pub fn advance_rollouts(&mut self, now: Moment) {
        let in_flight = self.in_flight_at_old();
        let reachability = self.fleet_reachability(now);
        self.with_rollouts(now, |manager, now| {
            let of_service = |service: &ServiceName| in_flight.get(service).copied().unwrap_or(0);
            manager.advance(now, &reachability, of_service);
        });
    }

    /// Returns the versions of services and the orders that change them.
    pub fn rollouts(&self) -> &RolloutManager {
        &self.rollouts
    }

    /// Returns the tasks that this VM must do at the operators' rows of orders.
    pub fn rollout_duties(&self, now: Moment) -> Vec<RolloutDuty> {
        if self.rollouts.rollouts().next().is_none() {
            return Vec::new();
        }
        let members = self.peers.members(now).into_iter().map(|member| member.name);
        let heard: Vec<VmName> = members.filter(|vm| self.peers.is_available(now, vm)).collect();
        self.rollouts.duties(now, &heard)
    }

    /// Adds the result of a run to the evidence on its target's version.
    pub fn record_run(&mut self, now: Moment, sample: RunSample) {
        if let Some(load) = self.targets.get(&sample.target) {
            self.rollouts.record_run(now, load.entry(), sample);
        }
    }

    /// Returns the progress of orders, as reported to peers.
    pub(crate) fn rollout_progress(&self, now: Moment, with_tallies: bool) -> Vec<RolloutProgress> {
        let in_flight = self.in_flight_at_old();
        let of_service = |service: &ServiceName| in_flight.get(service).copied().unwrap_or(0);
        self.rollouts.progress(now, with_tallies, of_service)
    }

    /// Counts the requests of this VM that are in flight at old targets, for each service with an
    /// order in progress.
    fn in_flight_at_old(&self) -> BTreeMap<ServiceName, u32> {
        let mut in_flight = BTreeMap::new();
        if self.rollouts.rollouts().all(|rollout| rollout.is_ended()) {
            return in_flight;
        }
        for run in self.runs.values() {
            let entry = self.targets.get(&run.target).map(TargetLoad::entry);
            if entry.and_then(|entry| self.rollouts.side(entry)) == Some(VersionSide::Old) {
                *in_flight.entry(run.service.clone()).or_default() += 1;
            }
        }
        in_flight
    }

    /// Returns how much of the fleet this VM hears from.
    pub(crate) fn fleet_reachability(&self, now: Moment) -> FleetReachability {
        let reachable_share = self.peers.reachable_share(now);
        FleetReachability { reachable_share, vms: self.peers.known_count(now) }
    }
}
