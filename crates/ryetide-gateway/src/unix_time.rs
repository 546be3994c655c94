//! The time of day, for what is kept where it outlasts a process.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in Unix milliseconds. A clock that stands before 1970 makes everything that is kept look recent.
pub fn millis() -> u64 {
    let today = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(today.as_millis()).unwrap_or(u64::MAX)
}
