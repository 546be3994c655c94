//! When refused callers are told to come back.

use std::time::Duration;

use rand::Rng;

use crate::units::Moment;

/// The least and greatest spread of a promise, as a part of it: callers refused together must not
/// come back together.
const SPREAD: std::ops::Range<f64> = 0.0..0.5;
/// Nobody is told to come back sooner than this.
const LEAST: Duration = Duration::from_millis(200);
/// Nobody is told to stay away longer than this.
const GREATEST: Duration = Duration::from_secs(300);

/// A promise about capacity: when the work that waits, and the work of those told to come back
/// before, will have been served.
#[derive(Debug)]
pub struct RetryPromise {
    /// Work that refused callers will bring, which shrinks as time passes.
    promised: Duration,
    promised_at: Moment,
}

impl RetryPromise {
    /// Creates a promise that nobody was given yet.
    pub fn new(now: Moment) -> Self {
        Self { promised: Duration::ZERO, promised_at: now }
    }

    /// Returns when the next refused caller should come back: after the `backlog` of what waits now
    /// and what was promised before. `work` is what the caller will then take, spread over all slots.
    pub fn next(
        &mut self,
        now: Moment,
        backlog: Duration,
        work: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        self.promised = self.promised.saturating_sub(now.since(self.promised_at));
        self.promised_at = now;
        let base = (backlog + self.promised).clamp(LEAST, GREATEST);
        let least_work = LEAST / LEAST_WORK_PARTS;
        self.promised = (self.promised + work.max(least_work)).min(GREATEST);
        base.mul_f64(1.0 + rng.random_range(SPREAD)).min(GREATEST)
    }
}

/// A promise counts for at least this part of the shortest time away.
const LEAST_WORK_PARTS: u32 = 100;
