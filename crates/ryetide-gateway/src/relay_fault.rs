//! Why a stream that is passed on ends before its end.

/// Why a stream ends before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayFault {
    /// The target broke off.
    #[error("the target broke off")]
    Broken,
    /// The target has fallen silent.
    #[error("the target has fallen silent")]
    Silent,
    /// The route's time is over.
    #[error("the route's time is over")]
    TimedOut,
}
