//! Failures of a target to answer a request.

use crate::{relay_fault::RelayFault, target_answer::BodyFault};

/// How a target failed to answer a request that was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RunFault {
    /// The target answered with a server error.
    Failed,
    /// The connection broke, or the data on it was not a valid answer.
    Broken,
    /// The answer ended early, in an orderly way.
    Truncated,
    /// The answer, or an event of it, is larger than permitted.
    TooLarge,
    /// The target's process was restarted.
    Restarted,
    /// Nothing was received within the timeout.
    Silent,
    /// The request's deadline has passed.
    TimedOut,
    /// The answer belongs to another request.
    ForeignAnswer,
    /// The answer lacks the signature of the target's program.
    UnsignedAnswer,
    /// The request could not be encoded as HTTP.
    Unwritable,
}

impl RunFault {
    /// Returns the fault's name, for logs.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns whether the fault may be caused by the version that the target runs.
    pub fn may_depend_on_version(self) -> bool {
        !matches!(self, Self::Restarted | Self::Unwritable)
    }

    /// Returns whether the fault may mean that this VM has lost its path to the target.
    pub fn may_be_lost_path(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }

    /// Returns whether the fault may mean that the target's process has crashed.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Broken | Self::Truncated | Self::Restarted)
    }
}

impl From<RelayFault> for RunFault {
    fn from(fault: RelayFault) -> Self {
        match fault {
            RelayFault::Broken => Self::Broken,
            RelayFault::Truncated => Self::Truncated,
            RelayFault::TooLarge => Self::TooLarge,
            RelayFault::Silent => Self::Silent,
            RelayFault::TimedOut | RelayFault::Stopped => Self::TimedOut,
        }
    }
}

impl From<BodyFault> for RunFault {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::Broken(_) => Self::Broken,
            // Only answers that report a failure are given up for want of memory.
            BodyFault::NoMemory => Self::Failed,
            BodyFault::TooLarge(_) => Self::TooLarge,
            BodyFault::Truncated => Self::Truncated,
            BodyFault::TargetEnded => Self::Restarted,
        }
    }
}
