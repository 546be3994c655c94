//! Errors that end a forwarded stream early.

/// Why a forwarded stream ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayFault {
    /// The target's connection or event stream broke.
    #[error("the stream from the target broke")]
    Broken,
    /// No event was received within the timeout.
    #[error("the target sent no event in time")]
    Silent,
    /// The request's deadline has passed.
    #[error("the deadline of the request has passed")]
    TimedOut,
}
