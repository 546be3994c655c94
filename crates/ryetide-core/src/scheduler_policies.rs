//! Applies the switches of the optional policies to a scheduler.

use crate::{
    organisation_usage::OrganisationUsage, scheduler::Scheduler,
    scheduling_policy::SchedulingPolicy,
};

impl Scheduler {
    /// Replaces the switches of the optional policies.
    pub fn set_policy(&mut self, policy: SchedulingPolicy) {
        self.options.policy = policy;
        self.update_policies();
    }

    /// Drops what policies that are off know.
    pub(crate) fn update_policies(&mut self) {
        let policy = self.options.policy;
        for state in self.services.values_mut() {
            if !policy.fair_shares.is_on() {
                state.usage = OrganisationUsage::default();
            }
            if !policy.return_times.is_on() {
                state.returns.clear();
            }
        }
        self.update_ejections();
    }
}
