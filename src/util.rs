//! Helpers for timeouts and time units.

use std::time::Duration;

/// Runs `future` for at most `limit`. Returns `None` when it does not complete in time.
pub(crate) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}

/// Returns whole milliseconds, saturating at the maximum.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
