//! Reports of crashes and quarantines between VMs.

use serde::{Deserialize, Serialize};

use crate::{ids::TargetKey, request_fingerprint::RequestFingerprint};

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

/// A VM's report of crashes to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashUpdate {
    /// Runs that ended in crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered afterwards.
    pub cleared: Vec<ClearedReport>,
    /// Requests that are quarantined.
    pub quarantined: Vec<QuarantineReport>,
}
