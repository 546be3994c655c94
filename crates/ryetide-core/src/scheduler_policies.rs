//! Applies the switches of the optional policies to the services of a scheduler.

use std::collections::BTreeSet;

use crate::{
    ids::{ServiceName, TargetIncarnation},
    organisation_usage::OrganisationUsage,
    queue_view::ServiceQueue,
    scheduler::Scheduler,
    scheduling_policy::{SchedulingPolicy, ServicePolicy},
    target_load::TargetLoad,
};

impl Scheduler {
    /// Replaces the switches of the optional policies.
    pub fn set_policy(&mut self, policy: SchedulingPolicy) {
        self.options.policy = policy;
        self.update_policies();
    }

    /// Returns the services whose policies in effect have changed since the last call, each with
    /// its policies.
    pub fn take_policy_changes(&mut self) -> Vec<(ServiceName, ServicePolicy)> {
        let logged = &self.logged_policies;
        let is_new = |(name, state): &(&ServiceName, &ServiceQueue)| {
            logged.get(*name) != Some(&state.policy)
        };
        let changed = self.services.iter().filter(is_new);
        let changes: Vec<_> = changed.map(|(name, state)| (name.clone(), state.policy)).collect();
        self.logged_policies.extend(changes.iter().cloned());
        changes
    }

    /// Determines which optional policies are in effect for each service.
    pub(crate) fn update_policies(&mut self) {
        let entries = self.targets.values().map(TargetLoad::entry);
        let announced: BTreeSet<ServiceName> = entries
            .filter(|entry| entry.incarnation != TargetIncarnation::default())
            .map(|entry| entry.service.clone())
            .collect();
        for (name, state) in &mut self.services {
            // A service whose targets are all gone for a moment keeps its policies.
            state.announces_incarnations |= announced.contains(name);
            state.policy = self.options.policy.for_service(state.announces_incarnations);
            if !state.policy.fair_shares {
                state.usage = OrganisationUsage::default();
            }
            if !state.policy.return_times {
                state.returns.clear();
            }
        }
        self.update_ejections();
    }
}
