//! Resuming of answer streams that break or time out: the rest is requested by request id over a
//! new connection.

use std::time::Duration;

use crate::{
    chart::{RequestEvent, RequestState},
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    entry_dispatch::{LATE_ANSWER_GRACE, PIECE_TIMEOUT},
    event::{TargetOperation, UnknownReason},
    ids::{AttemptNumber, RequestSequence},
    units::Moment,
};

/// The delay before the first resume; it doubles with each resume that returns no new bytes.
const FIRST_RESUME_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of consecutive resumes that return no new bytes.
const MAX_IDLE_RESUMES: u32 = 7;

impl EntryCore {
    /// Requests the rest of an answer on a newly opened connection.
    pub(crate) fn resume(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.request_id(sequence);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.handle(RequestEvent::Connected);
        let (attempt, offset) = (record.attempt, record.received);
        let wake = self.idle_timeout_at(now, sequence, PIECE_TIMEOUT);
        self.requests.set_wake(sequence, wake);
        let order = TargetOperation::Resume { id, offset };
        effects.push(Effect::Permit { sequence, attempt, order });
    }

    /// Handles a stream that broke or timed out.
    pub(crate) fn handle_stream_broken(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        let resumes = self.options.switches.resume_only;
        let Some(record) = self.current_attempt(sequence, attempt) else {
            return;
        };
        if std::mem::take(&mut record.connection_open) {
            effects.push(Effect::Abandon { sequence, attempt });
        }
        let engine = record.route.as_ref().is_some_and(|route| route.engine);
        if !engine {
            self.finish_unknown(now, sequence, UnknownReason::TargetLost, effects);
            return;
        }
        if !resumes {
            self.dispatch_again(sequence, effects);
            return;
        }
        record.handle(RequestEvent::Broken);
        self.schedule_resume(now, sequence, effects);
    }

    /// Dispatches a request a second time, as a client library that retries blindly would. Only
    /// mutation tests, which disable the `resume_only` safeguard, reach this code.
    fn dispatch_again(&mut self, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.state = RequestState::Connecting;
        record.attempt = AttemptNumber(record.attempt.0 + 1);
        record.connection_open = true;
        let attempt = record.attempt;
        let Some(route) = record.route.clone() else {
            return;
        };
        effects.push(Effect::Connect { sequence, attempt, route });
    }

    /// Schedules the next resume, or ends the request with "unknown" after too many resumes or too
    /// long after the deadline.
    pub(crate) fn schedule_resume(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.idle_resumes += 1;
        if record.idle_resumes > MAX_IDLE_RESUMES || now > record.deadline + LATE_ANSWER_GRACE {
            self.finish_unknown(now, sequence, UnknownReason::TargetLost, effects);
            return;
        }
        let delay = FIRST_RESUME_DELAY * (1 << (record.idle_resumes - 1));
        self.requests.set_wake(sequence, Some(now + delay));
    }

    /// Opens a new connection to resume an answer on.
    pub(crate) fn start_resume(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let Some(route) = record.route.clone() else {
            return;
        };
        record.attempt = AttemptNumber(record.attempt.0 + 1);
        record.connection_open = true;
        let attempt = record.attempt;
        self.requests.set_wake(sequence, Some(now + PIECE_TIMEOUT));
        effects.push(Effect::Connect { sequence, attempt, route });
    }

    /// Ends a request that its target no longer knows. It may have run before the target lost it,
    /// so the outcome is unknown.
    pub(crate) fn handle_resume_unknown(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        if self.current_attempt(sequence, attempt).is_some() {
            self.finish_unknown(now, sequence, UnknownReason::TargetForgot, effects);
        }
    }
}
