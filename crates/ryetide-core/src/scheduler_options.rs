//! The options that a scheduler is created with.

use crate::{
    cell_plan::CellMember,
    ids::{DataCentreName, Incarnation, VmName},
    retry_budget::RetryRule,
    rollout_order::RolloutRule,
    scheduling_policy::SchedulingPolicy,
    target_speed::AssumedSpeed,
};

/// The options that a scheduler is created with.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// The name of this VM.
    pub name: VmName,
    /// The data centre of this VM.
    pub data_centre: DataCentreName,
    /// The current incarnation of this VM's process.
    pub incarnation: Incarnation,
    /// The seed of the scheduler's random numbers.
    pub seed: u64,
    /// Limits on retries.
    pub retry: RetryRule,
    /// Limits on what a version on trial may receive.
    pub rollout: RolloutRule,
    /// The speed assumed of targets before anything was observed.
    pub assumed: AssumedSpeed,
    /// Which optional scheduling policies are in effect.
    pub policy: SchedulingPolicy,
}

impl SchedulerOptions {
    /// Returns this VM as a member of a cell.
    pub fn member(&self) -> CellMember {
        CellMember { name: self.name.clone(), data_centre: self.data_centre.clone() }
    }
}
