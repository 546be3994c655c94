//! Wall-clock time for stored data that outlives a process.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in Unix milliseconds, or 0 if the clock is set before 1970. In that
/// case all stored data looks recent.
pub fn millis() -> u64 {
    let today = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(today.as_millis()).unwrap_or(u64::MAX)
}
