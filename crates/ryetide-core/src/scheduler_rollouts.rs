//! How a scheduler carries out orders to bring new versions in: its versions decide which targets are dealt, and its runs
//! and peers tell how far an order is.

use std::collections::BTreeMap;

use crate::{
    ids::{ServiceName, VmName},
    rollout_desk::RolloutDesk,
    rollout_evidence::{RunNote, VersionSide},
    rollout_order::{RolloutDuty, RolloutRule},
    scheduler::Scheduler,
    service_rollout::{FleetSight, RolloutMark},
    target_load::TargetLoad,
    units::Moment,
};

impl Scheduler {
    /// Replaces how much a version may get that may prove bad; orders under way keep to the rule that they began with.
    pub fn set_rollout_rule(&mut self, rule: RolloutRule) {
        self.rollouts.set_rule(rule);
    }

    /// Runs something on the versions of services and lets those have work that may have it now.
    pub fn with_rollouts<T>(
        &mut self,
        now: Moment,
        act: impl FnOnce(&mut RolloutDesk, Moment) -> T,
    ) -> T {
        let outcome = act(&mut self.rollouts, now);
        if self.rollouts.has_changes() {
            self.deal_targets();
            self.changed = true;
            self.pump_all(now);
        }
        outcome
    }

    /// Weighs what is known of new versions.
    pub fn advance_rollouts(&mut self, now: Moment) {
        let left = self.left_at_old();
        let sight = self.fleet_sight(now);
        self.with_rollouts(now, |desk, now| {
            desk.advance(now, &sight, |service| left.get(service).copied().unwrap_or(0));
        });
    }

    /// Returns the versions of services and the orders that change them.
    pub fn rollouts(&self) -> &RolloutDesk {
        &self.rollouts
    }

    /// Returns what this VM must do at the operators' rows about orders.
    pub fn rollout_duties(&self, now: Moment) -> Vec<RolloutDuty> {
        if self.rollouts.rollouts().next().is_none() {
            return Vec::new();
        }
        let members = self.peers.members(now).into_iter().map(|member| member.name);
        let heard: Vec<VmName> = members.filter(|vm| self.peers.passes_on(now, vm)).collect();
        self.rollouts.duties(now, &heard)
    }

    /// Notes how a run has ended that shows what its target's version is like.
    pub fn note_run(&mut self, now: Moment, note: RunNote) {
        if let Some(load) = self.targets.get(&note.target) {
            self.rollouts.note_run(now, load.entry(), note);
        }
    }

    pub(crate) fn rollout_marks(&self, now: Moment, with_tallies: bool) -> Vec<RolloutMark> {
        let left = self.left_at_old();
        let left = |service: &ServiceName| left.get(service).copied().unwrap_or(0);
        self.rollouts.marks(now, with_tallies, left)
    }

    /// Counts the requests of this VM at old targets of the services for which an order is under way.
    fn left_at_old(&self) -> BTreeMap<ServiceName, u32> {
        let mut left = BTreeMap::new();
        if self.rollouts.rollouts().all(|rollout| rollout.is_ended()) {
            return left;
        }
        for run in self.runs.values() {
            let entry = self.targets.get(&run.target).map(TargetLoad::entry);
            if entry.and_then(|entry| self.rollouts.side(entry)) == Some(VersionSide::Old) {
                *left.entry(run.service.clone()).or_default() += 1;
            }
        }
        left
    }

    pub(crate) fn fleet_sight(&self, now: Moment) -> FleetSight {
        let (heard_part, vms) = (self.peers.heard_part(now), self.peers.known_count(now));
        FleetSight { heard_part, vms }
    }
}
