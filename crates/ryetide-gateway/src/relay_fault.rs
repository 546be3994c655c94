//! Errors that end a forwarded stream early.

/// Why a forwarded stream ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayFault {
    /// The target's connection or event stream broke.
    #[error("the stream from the target broke")]
    Broken,
    /// The stream ended inside an event.
    #[error("the stream from the target ended inside an event")]
    Truncated,
    /// An event, or an answer that holds no events, is larger than permitted.
    #[error("the stream from the target holds more bytes than an event may")]
    TooLarge,
    /// No event was received within the timeout.
    #[error("the target sent no event in time")]
    Silent,
    /// The request's deadline has passed.
    #[error("the deadline of the request has passed")]
    TimedOut,
    /// This VM stops, and the caller has received nothing.
    #[error("this VM stops")]
    Stopped,
}

impl RelayFault {
    /// Returns whether the fault may mean that this VM has lost its path to the target.
    pub fn may_be_lost_path(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }
}
