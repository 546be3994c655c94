//! When refused callers are told to come back.
//!
//! Answers the burst after a burst: callers who are refused in the same second and told the same time come back
//! together, and fill the line that had just emptied.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The shortest and the longest time after which refused callers are told to come back.
const LEAST: Duration = Duration::from_millis(300);
const GREATEST: Duration = Duration::from_secs(10);
/// How far promises are spread, as a part: callers refused together must not come back together.
const SPREAD: f64 = 0.5;
/// When to come back to a service none of whose targets is known.
const NO_TARGET: Duration = Duration::from_secs(1);

/// Draws the times that refused callers are told.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::comeback_time::ComebackTime;
///
/// let mut time = ComebackTime::new(1);
/// let told = time.after_line(Duration::from_secs(2));
/// assert!(told >= Duration::from_secs(2) && told < Duration::from_secs(3));
/// ```
#[derive(Debug)]
pub struct ComebackTime {
    rng: SmallRng,
}

impl ComebackTime {
    /// Creates a source of times; the same seed gives the same ones.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns the time for a caller behind a line of this length.
    pub fn after_line(&mut self, wait: Duration) -> Duration {
        self.spread(wait.clamp(LEAST, GREATEST))
    }

    /// Returns the time for a caller whose organisation has its units back after `wait`.
    pub fn after_quota(&mut self, wait: Duration) -> Duration {
        self.spread(wait.max(LEAST))
    }

    /// Returns the time for a caller of a service whose targets want nothing for `wait`.
    pub fn after_hold_off(&mut self, wait: Duration) -> Duration {
        self.spread(wait.max(LEAST))
    }

    /// Returns the time for a caller of a service that has no target.
    pub fn without_target(&mut self) -> Duration {
        self.spread(NO_TARGET)
    }

    fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..SPREAD))
    }
}
