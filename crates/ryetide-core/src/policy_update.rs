//! What VMs report to each other for the optional scheduling policies, about brittle services,
//! about parts of prompts that crash targets, and about versions that rollout orders replace.
//!
//! All lists are empty while the policies are off, no service is brittle, no target has crashed and
//! no order is in progress.

use serde::{Deserialize, Serialize};

use crate::{
    brittle_services::BrittleReport,
    crash_update::PartCrashUpdate,
    ids::{OrganisationKey, ServiceKey, TargetKey, VmName},
    version_baseline::BaselineReport,
};

/// The largest number of entries in each list but that of borrowed targets, so that a digest stays
/// within one datagram.
pub const MAX_ENTRIES: usize = 16;

/// The largest number of targets of other cells at which a VM has requests running. A digest reports
/// all of them, in some ten bytes each. A VM that gets most connections of a region needs slots of
/// many targets, while each lender needs only a few entries for its grants.
pub const MAX_BORROWED_TARGETS: usize = 64;

/// The recent outcomes of one VM's requests at a target that has failed some.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomeReport {
    /// The target.
    pub target: TargetKey,
    /// Requests that were answered.
    pub answered: u16,
    /// Requests that the target failed.
    pub failed: u16,
}

/// A VM's lack of slots for a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShortageReport {
    /// The service.
    pub service: ServiceKey,
    /// The number of further slots that the VM could use now.
    pub wanted: u16,
}

/// Free slots of a target that a VM of another cell may use for a limited time.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SlotGrant {
    /// The target.
    pub target: TargetKey,
    /// The number of slots.
    pub slots: u8,
    /// The VM that may use them.
    pub borrower: VmName,
}

/// A VM's load on a target of another cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BorrowedLoad {
    /// The target.
    pub target: TargetKey,
    /// Requests dispatched that have not ended.
    pub running: u16,
    /// Estimated prompt tokens dispatched that the target has not processed yet.
    pub unread: u32,
}

/// The engine time that an organisation's requests have recently used through one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The service.
    pub service: ServiceKey,
    /// Milliseconds of engine time, decayed by age.
    pub millis: u32,
}

/// The part of a digest that belongs to the optional policies, and what was added later.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PolicyUpdate {
    /// Targets that have recently failed requests of the sender.
    pub outcomes: Vec<OutcomeReport>,
    /// Services for which the sender lacks slots.
    pub shortages: Vec<ShortageReport>,
    /// Slots that the sender grants to VMs of other cells.
    pub grants: Vec<SlotGrant>,
    /// The sender's load on targets of other cells.
    pub borrowed: Vec<BorrowedLoad>,
    /// Recent usage of the heaviest organisations.
    pub usage: Vec<UsageReport>,
    /// Services whose targets are or were brittle.
    pub brittle: Vec<BrittleReport>,
    /// Parts of prompts in crashes of targets.
    pub part_crashes: PartCrashUpdate,
    /// The versions that were in use before the rollout orders in progress.
    pub baselines: Vec<BaselineReport>,
}

impl PolicyUpdate {
    /// The number of lists. An empty list is encoded as one zero byte.
    pub const LISTS: usize = 7 + PartCrashUpdate::LISTS;

    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
