//! What the way through a daemon adds.

use std::path::PathBuf;

use ryetide::error::StepError;

/// How to measure.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// The ryetided binary.
    pub daemon: PathBuf,
    /// Streams a second.
    pub rate: u32,
    /// Seconds of each run.
    pub seconds: u32,
    /// Runs of each way, in turn.
    pub runs: u32,
}

/// Measures.
///
/// # Errors
///
/// Returns a [`StepError`] when something cannot be started.
pub fn run(_options: &OverheadOptions) -> Result<(), StepError> {
    Err(StepError::new("measure", "not built yet"))
}
