//! Whether a target should get the next request.
//!
//! A target can pass its health check and still fail requests, hang, or be unreachable from a
//! single VM, so its health is derived from the requests themselves. This never removes a target:
//! one that fails is avoided while others have free slots, and is tried again after a pause.

use std::time::Duration;

use crate::{target_notice, units::Moment};

/// The pause after a first failure to connect; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause. A target that has recovered serves again within about this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// The weight of a new outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// The failure rate halves in this time without outcomes, so that a target is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The observed health of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    connect_failures: u32,
    pause_until: Moment,
    failure_rate: f64,
    updated_at: Moment,
    last_received_at: Moment,
    backed_off_until: Moment,
}

impl TargetHealth {
    /// Records that no connection could be opened, or that an open one was found broken.
    pub fn record_unreachable(&mut self, now: Moment) {
        let pause =
            FIRST_PAUSE.saturating_mul(1 << self.connect_failures.min(4)).min(LONGEST_PAUSE);
        self.connect_failures += 1;
        self.pause_until = now + pause;
        self.record_failure(now);
    }

    /// Records that the target failed a request.
    pub fn record_failure(&mut self, now: Moment) {
        self.record_outcome(now, 1.0);
    }

    /// Records that the target answered a request successfully.
    pub fn record_success(&mut self, now: Moment) {
        self.record_received(now);
        self.record_outcome(now, 0.0);
    }

    /// Records that the target sent any byte, so that it is reachable.
    pub fn record_received(&mut self, now: Moment) {
        self.connect_failures = 0;
        self.pause_until = Moment::default();
        self.last_received_at = now;
    }

    /// Records that the target requested back-off for `span`. Since the target requested it itself,
    /// nothing received meanwhile, not even successful answers, ends the back-off sooner.
    pub fn back_off(&mut self, now: Moment, span: Duration) {
        self.backed_off_until =
            self.backed_off_until.max(now + span.min(target_notice::LONGEST_HOLD_OFF));
    }

    /// Returns when the target's requested back-off ends.
    pub fn backed_off_until(&self) -> Moment {
        self.backed_off_until
    }

    /// Returns when any byte was last received from the target.
    pub fn last_received_at(&self) -> Moment {
        self.last_received_at
    }

    /// Whether the target is paused and gets no new requests.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.pause_until.max(self.backed_off_until)
    }

    /// Whether the target could not be reached when it was last tried.
    ///
    /// Such a target gets one request at a time, as a probe. Every request to an unreachable target
    /// costs 300 ms, and its slots, all free, look better than those of other targets while the
    /// rest of the fleet is full.
    pub fn is_suspect(&self) -> bool {
        self.connect_failures > 0
    }

    /// Returns the share of recent requests that the target failed, from 0 to 1.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let halves = now.since(self.updated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halves)
    }

    fn record_outcome(&mut self, now: Moment, outcome: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (outcome - rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }
}
