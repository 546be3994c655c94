//! What a scheduler decides about waiting requests, and what it is told of placed ones.

use std::time::Duration;

use crate::{ids::RequestSequence, placing::PlacingForecast, target_load::TargetEntry};

/// Why a request that has not run is told to come back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The service has no target.
    NoTarget,
    /// All targets of the service want nothing until its caller would have left.
    HeldOff,
    /// The line is so long that its caller would have left before its turn.
    Overload,
    /// Its caller is about to leave, and it still waits.
    OutOfTime,
}

/// Why a placed request is not under way any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The whole answer was passed on.
    Whole,
    /// The target failed it.
    Failed,
    /// The target was full or leaving, and said that it did not run.
    TurnedAway,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The caller left, or this VM gave it up.
    Abandoned,
}

/// What the figures were that decided a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacingEvidence {
    /// What was expected at the target chosen.
    pub forecast: PlacingForecast,
    /// Requests running there, of all VMs.
    pub running: u32,
    /// Requests waiting here.
    pub line: usize,
    /// Whether it had missed its objective already.
    pub late: bool,
}

/// What to do about a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this target.
    Place {
        /// The request.
        ticket: RequestSequence,
        /// The target.
        target: TargetEntry,
        /// What decided.
        evidence: PlacingEvidence,
    },
    /// Tell its caller to come back; it has not run.
    Refuse {
        /// The request.
        ticket: RequestSequence,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// Requests that waited here.
        line: usize,
    },
}
