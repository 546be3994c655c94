//! What a scheduler is told when it starts.

use crate::{
    cell_plan::CellMember,
    ids::{DataCentreName, Incarnation, VmName},
    pace::AssumedPace,
    retry_budget::RetryRule,
    rollout_order::RolloutRule,
};

/// What a scheduler is told when it starts.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// This VM.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// The seed of its randomness.
    pub seed: u64,
    /// How much may be repeated.
    pub retry: RetryRule,
    /// How much a version may get that may prove bad.
    pub rollout: RolloutRule,
    /// What is assumed of targets before anything was observed.
    pub assumed: AssumedPace,
}

impl SchedulerOptions {
    /// Returns the VM, as far as cells go.
    pub fn member(&self) -> CellMember {
        CellMember { name: self.name.clone(), data_centre: self.data_centre.clone() }
    }
}
