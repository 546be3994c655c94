//! Estimates how long a caller has already waited from the remaining time that it states.
//!
//! A caller that was refused retries as a new request, while its objective still counts from its
//! first attempt. The callers of a route mostly start with the same remaining time, and one that
//! retries has less left. Without this estimate, retries that are late already would take slots
//! from requests that could still be on time.
//!
//! No estimate is made for a route whose callers start with many different times. A time that many
//! callers state is never taken for the rest of a longer one.

use std::{collections::BTreeMap, time::Duration};

/// The number of stated times before any estimate is made.
const MIN_OBSERVATIONS: u32 = 8;
/// The number of remembered times; beyond it, older ones count half.
const MAX_OBSERVATIONS: u32 = 256;
/// The share of the callers that must state the same time for it to count as a starting time.
/// Callers that retry have many different times left, to the millisecond.
const MIN_START_SHARE: f64 = 0.05;
/// The least number of callers that must state the same time.
const MIN_START_COUNT: f64 = 3.0;
/// A smaller difference may be a delay on the way of a first attempt.
const MIN_WAITED: Duration = Duration::from_millis(20);

/// The remaining times that the callers of one route have stated.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use ryetide_core::deadline_tracker::DeadlineTracker;
///
/// let mut tracker = DeadlineTracker::default();
/// for _ in 0..30 {
///     assert_eq!(tracker.waited(Duration::from_secs(10)), Duration::ZERO);
/// }
/// assert_eq!(tracker.waited(Duration::from_millis(9_300)), Duration::from_millis(700));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DeadlineTracker {
    /// How often each time was stated, in milliseconds.
    counts: BTreeMap<u64, u32>,
    total: u32,
}

impl DeadlineTracker {
    /// Records the remaining time that a caller states, and returns how long it has already waited.
    pub fn waited(&mut self, left: Duration) -> Duration {
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.record(left);
        if self.total < MIN_OBSERVATIONS {
            return Duration::ZERO;
        }
        let min_count = (f64::from(self.total) * MIN_START_SHARE).max(MIN_START_COUNT);
        let mut longer = self.counts.range(left..);
        let start = longer.find(|(_, count)| f64::from(**count) >= min_count);
        let waited = start.map_or(0, |(start, _)| start - left);
        Some(Duration::from_millis(waited)).filter(|it| *it >= MIN_WAITED).unwrap_or_default()
    }

    fn record(&mut self, left: u64) {
        *self.counts.entry(left).or_default() += 1;
        self.total += 1;
        if self.total > MAX_OBSERVATIONS {
            self.counts.values_mut().for_each(|count| *count /= 2);
            self.counts.retain(|_, count| *count > 0);
            self.total = self.counts.values().sum();
        }
    }
}
