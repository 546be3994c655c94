//! How long to wait before a store that has failed is asked again.

use std::{ops::Range, time::Duration};

use rand::Rng;
use tokio::time;

/// The first pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause of a small fleet.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Part of a pause that is left to chance, so that VMs which failed together do not come back
/// together.
const PAUSE_SPREAD: Range<f64> = 0.5..1.0;

/// The pause before the next try.
pub struct RetryPause(Duration);

impl Default for RetryPause {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl RetryPause {
    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        time::sleep(self.next(LONGEST_PAUSE)).await;
    }

    /// Returns how long to wait now, and doubles it up to `longest` for the next time.
    pub fn next(&mut self, longest: Duration) -> Duration {
        let spread = rand::rng().random_range(PAUSE_SPREAD);
        let wait = self.0.mul_f64(spread);
        self.0 = (self.0 * 2).min(longest);
        wait
    }
}
