//! What entry VMs tell each other about the targets they share.
//!
//! A whole digest says all that one VM has to say, so that a VM which has just started knows everything
//! after one digest of each peer. Between whole ones, digests tell what has changed lately, each change
//! several times, so that a lost one is made good by the next: told whole after each change, the digests of
//! a burst filled links of 10 Mbit/s by themselves. Digests are soft state: one that is late or missing
//! costs quality, never safety.

use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::CrashNews,
    ids::{DataCentreName, Incarnation, OrganisationKey, ServiceKey, TargetKey, VmName},
    pace::PaceReport,
    place_turn::ClaimClass,
    service_rollout::RolloutMark,
    target_limit::LimitMark,
    target_word::LeavingMark,
    units::Revision,
    watch_duty::WatchNote,
};

/// What one VM has under way at one target.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TargetMark {
    /// The target.
    pub target: TargetKey,
    /// Requests sent and not ended.
    pub running: u16,
    /// Prompt tokens sent and not yet read, as this VM reckons.
    pub unread: u32,
    /// Whether it could not be reached from here when last tried, or has stalled here.
    pub doubtful: bool,
    /// What this VM has learnt of its speed; only in a whole digest.
    pub pace: Option<PaceReport>,
}

/// What waits at one VM for one service, in one class of urgency.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WaitMark {
    /// The service.
    pub service: ServiceKey,
    /// How urgent these are.
    pub class: ClaimClass,
    /// How many wait.
    pub count: u16,
}

/// A prompt that was sent to a target not long ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlacedPrompt {
    /// The number of the placement in the VM's life; peers take each one once.
    pub number: u32,
    /// The hash of the prompt's last part.
    pub part: u32,
    /// The target.
    pub target: TargetKey,
    /// The prompt's tokens.
    pub tokens: u32,
}

/// How far this VM's knowledge of the fleet reaches, and what it knows before the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetNews {
    /// The version of the routes in force.
    pub revision: Revision,
    /// The newest news of the targets' registry, as its source numbers them.
    pub registry: u64,
    /// The number up to which all news of the registry have come.
    pub registry_reached: u64,
    /// What this VM tells of its watch; nothing while it rests, or has lost the source.
    pub watch: Option<WatchNote>,
    /// Targets that have said that they leave, where the registry does not tell.
    pub leaving_targets: Vec<LeavingMark>,
}

/// How much of what a VM has to say a digest tells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum DigestScope {
    /// Everything: of a target that is not named, nothing is under way.
    #[default]
    Whole,
    /// What has changed lately, for the VMs that heard the rest.
    Changes,
    /// What must be known everywhere, for VMs of other cells.
    Brief,
}

/// All that one VM tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LoadDigest {
    /// This life of the VM's process.
    pub incarnation: Incarnation,
    /// Rises with each digest of a life; a lower one came late and is dropped.
    pub sequence: u64,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// How much of what the VM has to say is told.
    pub scope: DigestScope,
    /// The VM's data centre; not among changes.
    pub data_centre: Option<DataCentreName>,
    /// The version of the routes in force there.
    pub revision: Revision,
    /// The newest news of the targets' registry that came there, as its source numbers them.
    pub registry: u64,
    /// How far what came from the source reaches; nothing while the VM rests, or has lost the source.
    pub watch: Option<WatchNote>,
    /// What runs where.
    pub targets: Vec<TargetMark>,
    /// What waits.
    pub waiting: Vec<WaitMark>,
    /// Units that each organisation was let through for since the VM started.
    pub spent: Vec<(OrganisationKey, u64)>,
    /// The last prompts placed, newest last.
    pub placed: Vec<PlacedPrompt>,
    /// Which requests ended in crashes of targets.
    pub crashes: CrashNews,
    /// Targets that have said in their answers that they leave, where the registry does not tell.
    pub leaving_targets: Vec<LeavingMark>,
    /// How far orders to bring new versions in are.
    pub rollouts: Vec<RolloutMark>,
    /// What targets have said last of their limits.
    pub limits: Vec<LimitMark>,
}

/// A digest and the VM that sent it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct DigestEnvelope {
    /// The sender.
    pub from: VmName,
    /// What it says.
    pub digest: LoadDigest,
}
