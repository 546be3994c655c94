//! Reports of crashes and quarantines between VMs, and to the store.

use serde::{Deserialize, Serialize};

use crate::{
    crash_suspect::CrashSuspect, ids::TargetKey, prompt_part::PromptPart,
    request_fingerprint::RequestFingerprint,
};

/// A run that ended when its target crashed, as reported to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The incarnation of the target that crashed.
    pub target: TargetKey,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// How long the request had been at the target, in milliseconds.
    pub ran_ms: u32,
}

/// A request that got a completed answer after a run of it had ended in a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClearedReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// A request that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The time since the quarantine began, in milliseconds.
    pub age_ms: u32,
    /// The time since the last attempt at the sending VM, or since it began the quarantine, in
    /// milliseconds.
    pub asked_ms: u32,
}

/// A run that ended when its target crashed, with the shared parts of its prompt.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartCrashReport {
    /// The run.
    pub run: CrashReport,
    /// The parts, in their order in the prompt.
    pub parts: Vec<PromptPart>,
}

/// A part of prompts that was answered after runs with it had ended in crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClearedPartReport {
    /// The part.
    pub part: PromptPart,
    /// The time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// A part of prompts that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantinedPartReport {
    /// The part.
    pub part: PromptPart,
    /// As in [`QuarantineReport`].
    pub age_ms: u32,
    /// As in [`QuarantineReport`].
    pub asked_ms: u32,
}

/// What a VM's report of crashes says about parts of prompts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartCrashUpdate {
    /// Runs with shared parts that ended in crashes.
    pub crashes: Vec<PartCrashReport>,
    /// Parts that were answered afterwards.
    pub cleared: Vec<ClearedPartReport>,
    /// Parts that are quarantined.
    pub quarantined: Vec<QuarantinedPartReport>,
}

impl PartCrashUpdate {
    /// The number of lists. An empty list is encoded as one zero byte.
    pub const LISTS: usize = 3;
}

/// A request or a part of prompts that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// What is quarantined.
    pub suspect: CrashSuspect,
    /// As in [`QuarantineReport`].
    pub age_ms: u32,
    /// As in [`QuarantineReport`].
    pub asked_ms: u32,
}

/// A VM's report of crashes to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashUpdate {
    /// Runs that ended in crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered afterwards.
    pub cleared: Vec<ClearedReport>,
    /// Requests that are quarantined.
    pub quarantined: Vec<QuarantineReport>,
    /// What concerns parts of prompts. It travels apart, where releases that do not know it skip it.
    #[serde(skip)]
    pub parts: PartCrashUpdate,
}
