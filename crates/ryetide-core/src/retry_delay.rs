//! Retry delays for refused callers.
//!
//! Delays are randomised: callers that are refused in the same second with the same delay would all
//! retry together, and fill the queue that has just emptied.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::units::Moment;

/// The shortest and the longest delay for callers refused because of a queue.
const MIN_DELAY: Duration = Duration::from_millis(300);
const MAX_DELAY: Duration = Duration::from_secs(10);
/// The range of the random increase, as a share of the delay, so that callers refused together do
/// not retry together.
const SPREAD: f64 = 0.5;
/// The delay for callers of a service without any known target.
const NO_TARGET_DELAY: Duration = Duration::from_secs(1);

/// A time in which a refused caller should return.
#[derive(Clone, Copy, Debug)]
pub struct ReturnWindow {
    /// The present.
    pub now: Moment,
    /// The earliest time of the return.
    pub from: Moment,
    /// The latest time of the return.
    pub until: Moment,
}

/// Draws randomised retry delays.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::retry_delay::RetryDelay;
///
/// let mut delay = RetryDelay::new(1);
/// let retry_after = delay.after_queue(Duration::from_secs(2));
/// assert!(retry_after >= Duration::from_secs(2) && retry_after < Duration::from_secs(3));
/// ```
#[derive(Debug)]
pub struct RetryDelay {
    rng: SmallRng,
}

impl RetryDelay {
    /// Creates a source of delays; the same seed gives the same delays.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns the delay for a caller refused because of a queue with this expected wait.
    pub fn after_queue(&mut self, wait: Duration) -> Duration {
        self.randomise(wait.clamp(MIN_DELAY, MAX_DELAY))
    }

    /// Returns the delay for a caller whose organisation has enough quota units after `wait`.
    pub fn after_quota(&mut self, wait: Duration) -> Duration {
        self.randomise(wait.max(MIN_DELAY))
    }

    /// Returns the delay for a caller of a service whose targets have requested back-off for
    /// `wait`.
    pub fn after_back_off(&mut self, wait: Duration) -> Duration {
        self.randomise(wait.max(MIN_DELAY))
    }

    /// Returns the delay for a caller of a service that has no target.
    pub fn without_target(&mut self) -> Duration {
        self.randomise(NO_TARGET_DELAY)
    }

    /// Returns the delay for a caller that should return at a random time within `window`.
    pub fn within(&mut self, window: ReturnWindow) -> Duration {
        let ReturnWindow { now, from, until } = window;
        from.since(now) + until.since(from).mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Returns the delay for a caller of a service without expected free slots.
    pub fn without_room(&mut self, wait: Duration) -> Duration {
        self.randomise(wait.max(MAX_DELAY))
    }

    fn randomise(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..SPREAD))
    }
}
