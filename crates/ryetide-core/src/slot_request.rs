//! Slot requests to an arbiter, and the arbiter's verdicts.

use std::time::Duration;

use crate::{
    ids::{TargetKey, VmName},
    message::{RefuseReason, RequestProfile, RequestRef},
    units::Moment,
};

/// Identifies a request of any entry VM.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// The VM that holds the connection to the caller.
    pub vm: VmName,
    /// The request on that VM.
    pub ask: RequestRef,
}

/// A request for a slot, which an arbiter orders and places.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The request.
    pub key: RequestKey,
    /// The properties of the request.
    pub profile: RequestProfile,
    /// The caller's deadline.
    pub deadline: Moment,
    /// The time that the request has already waited.
    pub waited: Duration,
}

/// The kind of an arbiter's verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VerdictKind {
    /// The request may be dispatched to this target.
    Grant(TargetKey),
    /// The request was queued.
    Queued,
    /// The request is refused, with the delay after which it may be retried.
    Refuse(RefuseReason, Duration),
}

/// An arbiter's verdict on a slot request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArbiterVerdict {
    /// The request.
    pub key: RequestKey,
    /// The verdict.
    pub kind: VerdictKind,
}
