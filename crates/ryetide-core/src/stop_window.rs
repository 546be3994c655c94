//! Which requests a stopping VM may still send to targets.
//!
//! What runs when the process must end is cut off, and a once-only request that was cut off may not be
//! sent again. A request that has not run is refused instead, and its caller finds another VM at once.
//! The VM therefore sends what can be expected to end in time, and refuses the rest, also if it has
//! waited until then.

use std::time::Duration;

use crate::{run_durations::RunDurations, units::Moment};

/// How long a stopping VM still gets new callers: a load balancer that checks once a second and needs
/// two failures has then stopped sending them.
const LAME_DUCK_SPAN: Duration = Duration::from_millis(2_500);
/// The part of the grace period that is reserved for an orderly exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The time for writing the last answers to their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// The longest runs seen are exceeded by this factor now and then.
const DURATION_FACTOR: f64 = 1.1;
/// The time added to each expected run for opening the connection and for delays of this VM.
const DURATION_SLACK: Duration = Duration::from_millis(100);

/// The time from the order to stop until the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopWindow {
    ordered: Moment,
    grace: Duration,
}

impl StopWindow {
    /// Creates the window of a stop that was ordered at `ordered`, after which the process is killed
    /// when `grace` is over.
    pub fn new(ordered: Moment, grace: Duration) -> Self {
        Self { ordered, grace }
    }

    /// Returns when new callers are not expected any more, so that no connection is accepted.
    pub fn closes_at(&self) -> Moment {
        self.ordered + LAME_DUCK_SPAN.min(self.grace / 2)
    }

    /// Returns when what is still running is answered, since the process ends soon after.
    pub fn answers_at(&self) -> Moment {
        self.ends_at().before(ANSWER_MARGIN).max(self.ordered)
    }

    /// Returns when the process ends at the latest.
    pub fn ends_at(&self) -> Moment {
        self.ordered + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns the latest moment at which a request may be sent to a target, by the durations of its
    /// route's last runs and by its deadline.
    ///
    /// Until the VM gets no new callers, a request is sent if a typical run ends in time, or if nothing
    /// is known of runs. After that, it is sent only if the longest one would.
    pub fn latest_start(&self, durations: &RunDurations, deadline: Moment) -> Moment {
        let answers_at = self.answers_at();
        if deadline <= answers_at {
            return deadline;
        }
        let start_for = |duration: Duration| {
            answers_at.before(duration.mul_f64(DURATION_FACTOR) + DURATION_SLACK)
        };
        match (durations.typical(), durations.longest()) {
            (Some(typical), Some(longest)) => {
                start_for(typical).min(self.closes_at()).max(start_for(longest))
            }
            _ => self.closes_at(),
        }
    }
}
