//! Whether a target may be trusted with the next request.
//!
//! A target can answer its health check well and still fail requests, hang, or be unreachable from
//! one VM only, so trust is judged by the requests themselves. Nothing here ever removes a target:
//! one that fails is passed over while others have room, and tried again after a pause.

use std::time::Duration;

use crate::{target_word, units::Moment};

/// The first pause after a connection could not be opened; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause: a target that is back serves again within about this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Weight of a new outcome in the failing part.
const OUTCOME_WEIGHT: f64 = 0.2;
/// The failing part halves in this time without outcomes, so that a target gets another chance.
const FORGIVE_SPAN: Duration = Duration::from_secs(2);

/// What was seen of one target's requests.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    refused_in_row: u32,
    pause_until: Moment,
    failing: f64,
    judged_at: Moment,
    heard_at: Moment,
    held_until: Moment,
}

impl TargetHealth {
    /// Notes that no connection could be opened, or that an open one was found dead.
    pub fn note_unreachable(&mut self, now: Moment) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.refused_in_row.min(4)).min(LONGEST_PAUSE);
        self.refused_in_row += 1;
        self.pause_until = now + pause;
        self.note_failure(now);
    }

    /// Notes a request that the target failed.
    pub fn note_failure(&mut self, now: Moment) {
        self.judge(now, 1.0);
    }

    /// Notes a request that the target answered well.
    pub fn note_success(&mut self, now: Moment) {
        self.note_heard(now);
        self.judge(now, 0.0);
    }

    /// Notes that any byte came from the target: it can be reached.
    pub fn note_heard(&mut self, now: Moment) {
        self.refused_in_row = 0;
        self.pause_until = Moment::default();
        self.heard_at = now;
    }

    /// Notes that the target wants nothing for `span`. It has said so itself: nothing that is heard of it meanwhile, not even
    /// good answers, ends that sooner.
    pub fn hold_off(&mut self, now: Moment, span: Duration) {
        self.held_until = self.held_until.max(now + span.min(target_word::LONGEST_HOLD_OFF));
    }

    /// Returns until when the target wants nothing.
    pub fn held_until(&self) -> Moment {
        self.held_until
    }

    /// Returns when any byte last came from the target.
    pub fn heard_at(&self) -> Moment {
        self.heard_at
    }

    /// Returns whether the target is passed over for now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.pause_until.max(self.held_until)
    }

    /// Returns whether the target could not be reached when it was last tried.
    ///
    /// It then gets one request at a time, to find out: a target that lies dark takes each one's first 300 ms, and
    /// its places, all free, look better than any other's while the rest of the fleet is full.
    pub fn is_suspect(&self) -> bool {
        self.refused_in_row > 0
    }

    /// Returns the part of late requests that the target failed, 0 to 1.
    pub fn failing(&self, now: Moment) -> f64 {
        let halves = now.since(self.judged_at).as_secs_f64() / FORGIVE_SPAN.as_secs_f64();
        self.failing * 0.5_f64.powf(halves)
    }

    fn judge(&mut self, now: Moment, outcome: f64) {
        let failing = self.failing(now);
        self.failing = failing + (outcome - failing) * OUTCOME_WEIGHT;
        self.judged_at = now;
    }
}
