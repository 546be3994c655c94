//! Exponential backoff with jitter for calls to the store.

use std::{ops::Range, time::Duration};

use rand::Rng;
use tokio::time;

/// The first pause after a failed call. Each further pause is twice as long, up to a maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause in a small fleet.
pub const MAX_PAUSE: Duration = Duration::from_millis(600);
/// The range of the random factor of a pause, so that VMs whose calls failed at the same time do
/// not retry at the same time.
const JITTER: Range<f64> = 0.5..1.0;

/// The pause before the next retry.
pub struct RetryBackoff(Duration);

impl Default for RetryBackoff {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl RetryBackoff {
    /// Sleeps for the next pause.
    pub async fn wait(&mut self) {
        time::sleep(self.next(MAX_PAUSE)).await;
    }

    /// Returns how long to wait now, and doubles the next pause up to `longest`.
    pub fn next(&mut self, longest: Duration) -> Duration {
        let factor = rand::rng().random_range(JITTER);
        let wait = self.0.mul_f64(factor);
        self.0 = (self.0 * 2).min(longest);
        wait
    }
}
