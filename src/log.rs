//! Logging: one line of key=value pairs for each event.
//!
//! A daemon writes its lines to standard output through a bounded buffer and a separate thread. When
//! the reader stalls, lines are dropped and requests are not delayed. A command logs to standard
//! error because standard output carries its result.

use std::{fmt, str::FromStr};

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt, util::SubscriberInitExt,
};

/// The capacity of the log buffer, in lines. Further lines are dropped.
const LINES_BUFFERED: usize = 2_000;

/// A log filter, such as `info` or `ryetide=debug`.
///
/// # Example
///
/// ```
/// use ryetide::log::LogFilter;
///
/// assert!("info,ryetide=debug".parse::<LogFilter>().is_ok());
/// assert!("ryetide=loud".parse::<LogFilter>().is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogFilter(String);

/// The error for a text that is not a log filter.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a log filter: {0}")]
pub struct LogFilterError(String);

impl LogFilter {
    /// A description of the permitted values, for operators.
    pub const PERMITTED: &str = "a log filter, such as info or ryetide=debug";

    /// Returns the filter that passes warnings and errors.
    pub fn warnings() -> Self {
        Self("warn".to_owned())
    }

    fn filter(&self) -> EnvFilter {
        // The text was validated by `from_str`, so no directive is ignored.
        EnvFilter::new(&self.0)
    }
}

impl Default for LogFilter {
    fn default() -> Self {
        Self("info".to_owned())
    }
}

impl FromStr for LogFilter {
    type Err = LogFilterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match EnvFilter::try_new(text) {
            Ok(_) => Ok(Self(text.to_owned())),
            Err(error) => Err(LogFilterError(error.to_string())),
        }
    }
}

impl fmt::Display for LogFilter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Starts logging for a daemon. Later calls have no effect. Dropping the guard writes the buffered
/// lines.
pub fn start_daemon(filter: &LogFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_BUFFERED)
        .finish(std::io::stdout());
    start(filter, writer);
    guard
}

/// Starts logging for a command. Later calls have no effect.
pub fn start_command(filter: &LogFilter) {
    start(filter, std::io::stderr);
}

fn start<W>(filter: &LogFilter, writer: W)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(writer);
    let started = tracing_subscriber::registry().with(filter.filter()).with(layer).try_init();
    if let Err(error) = started {
        tracing::debug!(event = "log-already-started", reason = %error);
    }
}
