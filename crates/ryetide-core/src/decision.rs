//! The decisions of a scheduler about waiting requests, and the ends of assigned ones.

use std::time::Duration;

use crate::{ids::RequestSequence, placement::PlacementForecast, target_load::TargetEntry};

/// Why a request that has not run is refused with a retry delay.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The service has no target.
    NoTarget,
    /// All targets of the service have requested back-off until after the caller stops waiting.
    HeldOff,
    /// The queue is so long that the request could not be served in time.
    Overload,
    /// The request still waits and its caller is about to stop waiting.
    OutOfTime,
}

/// How an assigned request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The whole answer was passed on.
    Whole,
    /// The target failed the request.
    Failed,
    /// The request's deadline passed before the target had answered.
    TimedOut,
    /// The target was full or leaving, and reported that the request did not run.
    TurnedAway,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The caller disconnected, or this VM cancelled the request.
    Abandoned,
    /// The connection broke or fell silent. Whether the target has failed the request, or this VM
    /// has lost its path to it, is not known yet.
    Unsettled,
}

/// Why runs that ended [`RunEnd::Unsettled`] had no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultCause {
    /// The target failed them.
    Target,
    /// This VM has lost its path to the target, which says nothing about the target.
    Path,
}

/// The figures behind a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEvidence {
    /// What was expected at the chosen target.
    pub forecast: PlacementForecast,
    /// Requests of all VMs that ran at the target.
    pub running: u32,
    /// Requests that waited at this VM.
    pub waiting: usize,
    /// Whether the request had already missed its objective.
    pub late: bool,
    /// Whether the target belongs to another cell, which has granted the slot.
    pub borrowed: bool,
}

/// What a VM could use of other cells when it refused a request, over all services.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BorrowingEvidence {
    /// The slots that other cells grant it, in use or not.
    pub granted: u32,
    /// The targets of other cells at which it has requests running.
    pub targets: usize,
}

/// What to do with a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to this target.
    Place {
        /// The request.
        ticket: RequestSequence,
        /// The target.
        target: TargetEntry,
        /// The figures behind the placement.
        evidence: PlacementEvidence,
    },
    /// Refuse the request, which has not run, with a retry delay.
    Refuse {
        /// The request.
        ticket: RequestSequence,
        /// The reason.
        reason: RefusalReason,
        /// The delay after which the caller should retry.
        retry_after: Duration,
        /// Requests that waited at this VM.
        waiting: usize,
        /// The time until the interval in which a place is booked for the caller, if one is.
        booked_after: Option<Duration>,
        /// What the VM could use of other cells.
        borrowing: BorrowingEvidence,
    },
}
