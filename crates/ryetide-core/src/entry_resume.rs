//! Streams that break or fall silent: the rest is asked for by request id, over a new connection.

use std::time::Duration;

use crate::{
    chart::{RequestEvent, RequestState},
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    entry_dispatch::{LATE_LIMIT, PIECE_SILENCE},
    event::{TargetOrder, UnknownReason},
    ids::{AttemptNumber, RequestSequence},
    units::Moment,
};

/// The first pause before a resume; it doubles with each resume that brings nothing.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Resumes in a row that may bring nothing.
const RESUME_TRIES: u32 = 7;

impl EntryCore {
    pub(crate) fn resume(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.id_of(sequence);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.handle(RequestEvent::Connected);
        let (attempt, offset) = (record.attempt, record.received);
        let wake = self.silence_end(now, sequence, PIECE_SILENCE);
        self.requests.set_wake(sequence, wake);
        let order = TargetOrder::Resume { id, offset };
        effects.push(Effect::Permit { sequence, attempt, order });
    }

    /// A stream broke or fell silent.
    pub(crate) fn target_broken(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        let resumes = self.options.switches.resume_only;
        let Some(record) = self.current(sequence, attempt) else {
            return;
        };
        if std::mem::take(&mut record.connection_open) {
            effects.push(Effect::Abandon { sequence, attempt });
        }
        let engine = record.route.as_ref().is_some_and(|route| route.engine);
        if !engine {
            self.lose_track(now, sequence, UnknownReason::TargetLost, effects);
            return;
        }
        if !resumes {
            self.dispatch_again(sequence, effects);
            return;
        }
        record.handle(RequestEvent::Broken);
        self.schedule_resume(now, sequence, effects);
    }

    /// What a careless client library does: sends the request again. Only mutation tests reach it.
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

    /// Sets the time of the next resume, or gives the answer up when the tries are used.
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
        if record.idle_resumes > RESUME_TRIES || now > record.deadline + LATE_LIMIT {
            self.lose_track(now, sequence, UnknownReason::TargetLost, effects);
            return;
        }
        let pause = RESUME_PAUSE * (1 << (record.idle_resumes - 1));
        self.requests.set_wake(sequence, Some(now + pause));
    }

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
        self.requests.set_wake(sequence, Some(now + PIECE_SILENCE));
        effects.push(Effect::Connect { sequence, attempt, route });
    }

    /// The target does not know the request: it may have run before the target forgot it.
    pub(crate) fn resume_unknown(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        if self.current(sequence, attempt).is_some() {
            self.lose_track(now, sequence, UnknownReason::TargetForgot, effects);
        }
    }
}
