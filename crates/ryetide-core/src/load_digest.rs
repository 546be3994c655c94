//! Digests: the load reports that entry VMs send each other about the targets they share.
//!
//! A full digest holds the complete state of one VM, so that a VM which has just started knows
//! everything after one digest from each peer. Digests in between hold only recent changes. Each
//! change is repeated in several digests, so that the next one makes up for a lost one. Full
//! digests after every change would fill links of 10 Mbit/s during a burst.
//!
//! Digests are soft state: a late or missing one degrades scheduling quality, never safety.

use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::CrashUpdate,
    ids::{DataCentreName, Incarnation, OrganisationKey, ServiceKey, TargetKey, VmName},
    policy_update::PolicyUpdate,
    service_rollout::RolloutProgress,
    slot_turn::UrgencyClass,
    target_limit::LimitReport,
    target_notice::LeavingReport,
    target_speed::SpeedReport,
    units::Revision,
    watcher_selection::WatchReport,
};

/// One VM's load on one target.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetKey,
    /// Requests dispatched that have not ended.
    pub running: u16,
    /// Estimated prompt tokens dispatched that the target has not processed yet.
    pub unread: u32,
    /// Whether the sender suspects that the target has failed: its last connection attempt failed,
    /// or a request to the target has stalled.
    pub suspected: bool,
    /// The sender's estimate of the target's speed; only in a full digest.
    pub speed: Option<SpeedReport>,
}

/// Queued requests of one service at one VM, in one class of urgency.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QueueReport {
    /// The service.
    pub service: ServiceKey,
    /// The class of urgency.
    pub class: UrgencyClass,
    /// The number of queued requests.
    pub count: u16,
}

/// A prompt that was recently dispatched to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlacedPrompt {
    /// The number of the placement in the VM's incarnation; peers apply each one once.
    pub number: u32,
    /// The hash of the prompt's last segment.
    pub prompt_hash: u32,
    /// The target.
    pub target: TargetKey,
    /// The prompt's length.
    pub tokens: u32,
}

/// How current this VM's routes and targets are, and what only this VM knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetState {
    /// The revision of the routes in force.
    pub revision: Revision,
    /// The newest change of the target registry that was received, as the registry's source numbers
    /// changes.
    pub registry: u64,
    /// The number up to which all changes of the registry have been received.
    pub registry_reached: u64,
    /// The positions of the tables that this VM watches; none while it is passive or cannot reach
    /// the source.
    pub watch: Option<WatchReport>,
    /// Targets that have announced in their answers that they are leaving, where the registry does
    /// not say so.
    pub leaving_targets: Vec<LeavingReport>,
}

/// Which part of a VM's state a digest holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum DigestScope {
    /// All of it: a target that is not listed has no requests of this VM.
    #[default]
    Whole,
    /// Recent changes, for VMs that have received the rest.
    Changes,
    /// What VMs of other cells need.
    Brief,
}

/// A report from one VM to its peers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LoadDigest {
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The digest's number in the incarnation; a digest with a lower number than the last is out of
    /// date and dropped.
    pub sequence: u64,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// Which part of the VM's state this digest holds.
    pub scope: DigestScope,
    /// The VM's data centre; none in a digest of changes.
    pub data_centre: Option<DataCentreName>,
    /// The revision of the routes in force at the VM.
    pub revision: Revision,
    /// The newest change of the target registry that the VM has received, as the registry's source
    /// numbers changes.
    pub registry: u64,
    /// The positions of the tables that the VM watches; none while it is passive or cannot reach
    /// the source.
    pub watch: Option<WatchReport>,
    /// The VM's load on each target.
    pub targets: Vec<TargetReport>,
    /// The VM's queued requests.
    pub waiting: Vec<QueueReport>,
    /// Quota units that the VM has admitted for each organisation since it started.
    pub spent: Vec<(OrganisationKey, u64)>,
    /// The most recent placements of prompts, newest last.
    pub placed: Vec<PlacedPrompt>,
    /// Which requests crashed targets.
    pub crashes: CrashUpdate,
    /// Targets that have announced in their answers that they are leaving, where the registry does
    /// not say so.
    pub leaving_targets: Vec<LeavingReport>,
    /// The progress of rollouts.
    pub rollouts: Vec<RolloutProgress>,
    /// The limits that targets have last announced.
    pub limits: Vec<LimitReport>,
    /// What the optional scheduling policies report. It is the last field, because VMs leave it out
    /// of a message while it is empty.
    pub policies: PolicyUpdate,
}

/// A digest and the VM that sent it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct DigestEnvelope {
    /// The sender.
    pub from: VmName,
    /// The digest.
    pub digest: LoadDigest,
}
