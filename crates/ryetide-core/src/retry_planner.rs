//! Retry delays that account for the work of callers already told to retry.

use std::time::Duration;

use rand::Rng;

use crate::units::Moment;

/// The range of the random increase, as a share of the delay, so that callers refused together do
/// not retry together.
const SPREAD: std::ops::Range<f64> = 0.0..0.5;
/// The shortest delay.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// The longest delay.
const MAX_DELAY: Duration = Duration::from_secs(300);

/// Computes retry delays from the time that waiting requests, and the expected retries of callers
/// refused before, will take to serve.
#[derive(Debug)]
pub struct RetryPlanner {
    /// The expected work of refused callers, which decreases as time passes.
    promised: Duration,
    promised_at: Moment,
}

impl RetryPlanner {
    /// Creates a calculator for which no caller was refused yet.
    pub fn new(now: Moment) -> Self {
        Self { promised: Duration::ZERO, promised_at: now }
    }

    /// Returns the delay after which the next refused caller should retry: the time to serve the
    /// `backlog` of waiting requests and the retries promised before. `work` is the time that the
    /// caller's retry will take, divided among all slots.
    pub fn next(
        &mut self,
        now: Moment,
        backlog: Duration,
        work: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        self.promised = self.promised.saturating_sub(now.since(self.promised_at));
        self.promised_at = now;
        let base = (backlog + self.promised).clamp(MIN_DELAY, MAX_DELAY);
        let min_work = MIN_DELAY / MIN_WORK_DIVISOR;
        self.promised = (self.promised + work.max(min_work)).min(MAX_DELAY);
        base.mul_f64(1.0 + rng.random_range(SPREAD)).min(MAX_DELAY)
    }
}

/// Divides the shortest delay to give the least work that a promised retry counts for.
const MIN_WORK_DIVISOR: u32 = 100;
