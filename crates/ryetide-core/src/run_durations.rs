//! How long the last runs of a route took.

use std::{collections::VecDeque, time::Duration};

/// The number of runs that are remembered.
const MAX_RUNS: usize = 64;
/// The share of the remembered runs that a typical one takes longer than.
const TYPICAL_SHARE: f64 = 0.9;

/// The durations of the last whole runs of one route.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use ryetide_core::run_durations::RunDurations;
///
/// let mut durations = RunDurations::default();
/// assert_eq!(durations.longest(), None);
/// (1..=100).for_each(|millis| durations.record(Duration::from_millis(millis)));
/// assert_eq!(durations.longest(), Some(Duration::from_millis(100)));
/// assert_eq!(durations.typical(), Some(Duration::from_millis(94)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunDurations {
    last: VecDeque<Duration>,
}

impl RunDurations {
    /// Adds a run that has brought a whole answer.
    pub fn record(&mut self, duration: Duration) {
        if self.last.len() == MAX_RUNS {
            self.last.pop_front();
        }
        self.last.push_back(duration);
    }

    /// Returns the time within which nine runs in ten end.
    pub fn typical(&self) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.last.iter().copied().collect();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * TYPICAL_SHARE) as usize).min(sorted.len().max(1) - 1);
        sorted.get(index).copied()
    }

    /// Returns the duration of the longest run.
    pub fn longest(&self) -> Option<Duration> {
        self.last.iter().max().copied()
    }
}
