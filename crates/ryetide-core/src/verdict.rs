//! What is asked of an arbiter, and what it decides.

use std::time::Duration;

use crate::{
    ids::{TargetKey, VmName},
    message::{AskProfile, AskRef, RefuseReason},
    units::Moment,
};

/// A request as an arbiter names it: who asks, and which of its requests.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AskKey {
    /// The VM that holds the caller.
    pub vm: VmName,
    /// The request there.
    pub ask: AskRef,
}

/// A request to be ordered and placed.
#[derive(Clone, Debug)]
pub struct SlotAsk {
    /// Who asks for what.
    pub key: AskKey,
    /// What to order and place.
    pub profile: AskProfile,
    /// The caller's deadline.
    pub deadline: Moment,
    /// How long it has waited already.
    pub waited: Duration,
}

/// What an arbiter decided about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VerdictKind {
    /// It may be dispatched to this target.
    Grant(TargetKey),
    /// It waits in line.
    Queued,
    /// It does not run here; come back after the time given.
    Refuse(RefuseReason, Duration),
}

/// A decision and the request it is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArbiterVerdict {
    /// The request.
    pub key: AskKey,
    /// The decision.
    pub kind: VerdictKind,
}
