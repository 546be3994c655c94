//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Starts logging with `filter`, such as `info` or `ryetide=debug`. Later calls change nothing.
pub fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    let started = tracing_subscriber::registry().with(filter).with(layer).try_init();
    if started.is_err() {
        tracing::debug!(event = "log-already-started");
    }
}
