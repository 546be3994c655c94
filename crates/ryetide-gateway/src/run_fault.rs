//! How a target failed a request that was sent to it.

use crate::{relay_fault::RelayFault, target_answer::BodyFault};

/// How a target failed a request that was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RunFault {
    /// It answered with a failure of its own.
    Failed,
    /// The connection broke, or what came on it is no answer.
    Broken,
    /// It has started again since.
    Restarted,
    /// Nothing came for too long.
    Silent,
    /// The route's time is over.
    TimedOut,
    /// The answer belongs to another request.
    ForeignAnswer,
    /// The answer is not one that its program made.
    UnsignedAnswer,
    /// The request could not be written.
    Unwritable,
}

impl RunFault {
    /// Returns the name, for logs.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns whether it may come from the version that the target runs.
    pub fn tells_of_version(self) -> bool {
        !matches!(self, Self::Restarted | Self::Unwritable)
    }

    /// Returns whether the target itself may have ended.
    pub fn may_be_end(self) -> bool {
        matches!(self, Self::Broken | Self::Restarted)
    }
}

impl From<RelayFault> for RunFault {
    fn from(fault: RelayFault) -> Self {
        match fault {
            RelayFault::Broken => Self::Broken,
            RelayFault::Silent => Self::Silent,
            RelayFault::TimedOut => Self::TimedOut,
        }
    }
}

impl From<BodyFault> for RunFault {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::Broken(_) | BodyFault::TooLarge(_) => Self::Broken,
            BodyFault::TargetEnded => Self::Restarted,
        }
    }
}
