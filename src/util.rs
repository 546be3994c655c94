//! Private helpers.

use std::time::Duration;

/// Runs `future` for at most `limit`.
pub(crate) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}

/// Returns whole milliseconds, or the greatest number when there are too many.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
