//! The error type of this library: the step that failed, the peer involved, and the cause.

use std::{error, fmt};

/// The failure of a step, with the peer if one was involved.
///
/// # Example
///
/// ```
/// let cause = std::io::Error::other("refused");
/// let error = ryetide::error::StepError::new("bind", cause).with_peer("127.0.0.1:1");
/// assert_eq!(error.to_string(), "bind (127.0.0.1:1): refused");
/// ```
#[derive(Debug)]
pub struct StepError {
    step: &'static str,
    peer: Option<String>,
    cause: Box<dyn error::Error + Send + Sync>,
}

impl StepError {
    /// Creates an error for `step`.
    pub fn new(step: &'static str, cause: impl Into<Box<dyn error::Error + Send + Sync>>) -> Self {
        Self { step, peer: None, cause: cause.into() }
    }

    /// Adds the peer, file or process that was involved.
    pub fn with_peer(mut self, peer: impl fmt::Display) -> Self {
        self.peer = Some(peer.to_string());
        self
    }

    /// Returns the step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.peer {
            Some(peer) => write!(formatter, "{} ({peer}): {}", self.step, self.cause),
            None => write!(formatter, "{}: {}", self.step, self.cause),
        }
    }
}

impl error::Error for StepError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        self.cause.source()
    }
}

impl miette::Diagnostic for StepError {}
