//! Dispatching requests, at most once each, and putting their answers together.
//!
//! A connection is opened first and nothing is sent on it. When it stands, everything that could
//! have changed since the grant is looked at again, the request enters `dispatching` for good, and
//! only then may the first byte go out. A stream that breaks or falls silent afterwards is resumed
//! over a new connection by request id, which is not a second dispatch.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    chart::{RequestEvent, RequestState},
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    event::{AnswerHead, FinalAnswer, TargetOrder, UnknownReason},
    ids::{AttemptNumber, RequestId, RequestSequence},
    message::{RefuseReason, ReleaseOutcome},
    request::RequestRecord,
    units::Moment,
};

/// A stream that has begun may be silent for this long before it is resumed.
pub(crate) const PIECE_SILENCE: Duration = Duration::from_secs(2);
/// A dispatch may be silent for this long before its first piece.
const FIRST_SILENCE: Duration = Duration::from_secs(4);
/// Further time before the first piece for each 1,000 prompt tokens.
const FIRST_SILENCE_PER_THOUSAND: Duration = Duration::from_secs(1);
/// A target that answers late is listened to for this long after the deadline.
pub(crate) const LATE_LIMIT: Duration = Duration::from_secs(10);
/// When to come back after a target refused.
const REFUSED_RETRY: Duration = Duration::from_millis(500);
/// When to come back when the deadline passed before the first byte went out.
const EXPIRED_RETRY: Duration = Duration::from_secs(1);

impl EntryCore {
    /// A connection stands: the request is dispatched on it, or its answer resumed.
    pub(crate) fn connected(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        let current = self.requests.get(sequence).filter(|record| record.attempt == attempt);
        let Some(record) = current else {
            effects.push(Effect::Abandon { sequence, attempt });
            return;
        };
        match record.state {
            RequestState::Connecting => self.dispatch(now, sequence, effects),
            RequestState::Resuming => self.resume(now, sequence, effects),
            _ => effects.push(Effect::Abandon { sequence, attempt }),
        }
    }

    /// Looks again at what may have changed since the grant. A process that was frozen in between
    /// wakes with a decision that may be minutes old. The driver looks at the clock once more before
    /// the first byte; what remains of the race is a freeze within that one turn of its thread.
    fn dispatch(&mut self, now: Moment, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        let target = record.route.as_ref().map(|route| route.key);
        if self.options.switches.permit_recheck {
            if now >= record.deadline {
                let retry = Some(EXPIRED_RETRY);
                self.give_up(now, sequence, RefuseReason::DeadlineUnreachable, retry, effects);
                return;
            }
            let service = record.profile.service;
            let leaving = target.is_some_and(|key| {
                self.is_leaving(key) || self.configuration.catalog().target(service, key).is_none()
            });
            if leaving {
                self.back_to_asking(now, sequence, ReleaseOutcome::Unused, effects);
                return;
            }
        }
        let id = self.id_of(sequence);
        let wait = first_silence(record);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let Some(call) = record.call.clone() else {
            return;
        };
        if !record.handle(RequestEvent::Connected) {
            return;
        }
        if self.options.switches.resume_only {
            record.call = None;
        }
        record.dispatched = Some(record.dispatched.unwrap_or(now));
        let (attempt, answer_limit) = (record.attempt, record.answer_limit);
        let (print, not_after) = (record.print, record.deadline);
        let order = TargetOrder::Dispatch { id, call, print, answer_limit, not_after };
        let wake = self.silence_end(now, sequence, wait);
        self.requests.set_wake(sequence, wake);
        effects.push(Effect::Permit { sequence, attempt, order });
    }

    /// When a silence that starts now has lasted too long: for model engines the given bound, for
    /// plain services, which cannot be resumed, the deadline.
    pub(crate) fn silence_end(
        &self,
        now: Moment,
        sequence: RequestSequence,
        bound: Duration,
    ) -> Option<Moment> {
        let record = self.requests.get(sequence)?;
        let last = record.deadline + LATE_LIMIT;
        let engine = record.route.as_ref().is_some_and(|route| route.engine);
        if !engine {
            return Some(last);
        }
        if !self.options.switches.silence_bound {
            return None;
        }
        Some(last.min(now + bound).max(now))
    }

    pub(crate) fn id_of(&self, sequence: RequestSequence) -> RequestId {
        RequestId { vm: self.options.name.clone(), incarnation: self.options.incarnation, sequence }
    }

    /// No connection could be opened: nothing was sent, so another target may be asked for.
    pub(crate) fn connect_failed(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if record.attempt != attempt {
            return;
        }
        record.connection_open = false;
        match record.state {
            RequestState::Connecting => {
                self.back_to_asking(now, sequence, ReleaseOutcome::ConnectFailed, effects);
            }
            RequestState::Resuming => {
                record.handle(RequestEvent::ConnectFailed);
                self.schedule_resume(now, sequence, effects);
            }
            _ => {}
        }
    }

    /// Returns a request whose connection carried nothing to the line.
    fn back_to_asking(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        outcome: ReleaseOutcome,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if !record.handle(RequestEvent::ConnectFailed) {
            return;
        }
        if std::mem::take(&mut record.connection_open) {
            let attempt = record.attempt;
            effects.push(Effect::Abandon { sequence, attempt });
        }
        record.refused_by.clear();
        self.release_slot(now, sequence, outcome, effects);
        self.ask_for_slot(now, sequence, effects);
    }

    /// The head of an answer came; it is passed on once.
    pub(crate) fn target_head(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        head: AnswerHead,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.current(sequence, attempt) else {
            return;
        };
        if std::mem::replace(&mut record.head_sent, true) {
            return;
        }
        let (gone, claim_key) = (record.caller_gone, record.claim_key.clone());
        let bound = first_silence(record);
        self.note_head(now, sequence, effects);
        if let Some(key) = claim_key {
            self.claims.keep_head(&key, head.status, &head.content_type);
        }
        let wake = self.silence_end(now, sequence, bound);
        self.requests.set_wake(sequence, wake);
        if !gone {
            effects.push(Effect::BeginAnswer { sequence, head });
        }
    }

    /// Returns the request if `attempt` is the connection that counts and bytes may come on it.
    pub(crate) fn current(
        &mut self,
        sequence: RequestSequence,
        attempt: AttemptNumber,
    ) -> Option<&mut RequestRecord> {
        let record = self.requests.get_mut(sequence)?;
        let receiving = matches!(
            record.state,
            RequestState::Dispatching | RequestState::Running | RequestState::Resuming
        );
        (receiving && record.attempt == attempt).then_some(record)
    }

    /// A piece of an answer came: what was passed on already is cut off, and a gap is not accepted.
    pub(crate) fn target_piece(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        offset: u64,
        bytes: Bytes,
        effects: &mut EffectBuffer,
    ) {
        let checks = self.options.switches.offset_check;
        let Some(record) = self.current(sequence, attempt) else {
            return;
        };
        if checks && offset > record.received {
            self.target_broken(now, sequence, attempt, effects);
            return;
        }
        let overlap = if checks { record.received - offset } else { 0 };
        if overlap >= bytes.len() as u64 {
            return;
        }
        let fresh = bytes.slice(overlap as usize..);
        if !record.handle(RequestEvent::Piece) {
            return;
        }
        record.received += fresh.len() as u64;
        record.first_piece = record.first_piece.or(Some(now));
        record.last_piece = Some(now);
        record.pieces += 1;
        record.idle_resumes = 0;
        let (gone, claim_key) = (record.caller_gone, record.claim_key.clone());
        if let Some(key) = claim_key {
            self.claims.keep_piece(&key, &fresh);
        }
        let wake = self.silence_end(now, sequence, PIECE_SILENCE);
        self.requests.set_wake(sequence, wake);
        if !gone {
            effects.push(Effect::SendPiece { sequence, bytes: fresh });
        }
    }

    /// The target says that its answer has ended: it is whole only if every byte was passed on.
    pub(crate) fn target_end(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        length: u64,
        effects: &mut EffectBuffer,
    ) {
        let checks = self.options.switches.length_check;
        let Some(record) = self.current(sequence, attempt) else {
            return;
        };
        if checks && length != record.received {
            self.target_broken(now, sequence, attempt, effects);
            return;
        }
        if record.handle(RequestEvent::End) {
            record.connection_open = false;
            self.finish(now, sequence, FinalAnswer::Answered, effects);
        }
    }

    /// The target refused. It was the one dispatch all the same: "not run" is said only where the
    /// target's contract says that a refusal ran nothing.
    pub(crate) fn target_refused(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        leaving: bool,
        effects: &mut EffectBuffer,
    ) {
        let trusting = !self.options.switches.refusal_contract;
        let Some(record) = self.current(sequence, attempt) else {
            return;
        };
        record.connection_open = false;
        let (service, route) = (record.profile.service, record.route.clone());
        self.note_head(now, sequence, effects);
        let rule = route.and_then(|it| self.configuration.catalog().target(service, it.key));
        let ran_nothing = trusting || rule.is_some_and(|rule| rule.refusal_ran_nothing);
        let outcome = if leaving { ReleaseOutcome::TargetLeaving } else { ReleaseOutcome::Failed };
        self.release_slot(now, sequence, outcome, effects);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if ran_nothing && record.handle(RequestEvent::Refused) {
            let reason = RefuseReason::TargetRefused;
            let answer = FinalAnswer::NotRun { reason, retry_after: Some(REFUSED_RETRY) };
            self.finish(now, sequence, answer, effects);
        } else {
            self.lose_track(now, sequence, UnknownReason::TargetLost, effects);
        }
    }

    /// Something fell due for a request.
    pub(crate) fn request_due(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        let (attempt, over) = (record.attempt, now >= record.deadline + LATE_LIMIT);
        match record.state {
            RequestState::Claiming => self.claim_due(now, sequence, effects),
            RequestState::Asking => self.ask_due(now, sequence, effects),
            RequestState::Connecting => {
                let retry = Some(EXPIRED_RETRY);
                self.give_up(now, sequence, RefuseReason::DeadlineUnreachable, retry, effects);
            }
            RequestState::Dispatching | RequestState::Running if over => {
                self.cancel_late(now, sequence, effects);
            }
            RequestState::Dispatching | RequestState::Running => {
                self.target_broken(now, sequence, attempt, effects);
            }
            RequestState::Resuming if record.connection_open => {
                effects.push(Effect::Abandon { sequence, attempt });
                if let Some(record) = self.requests.get_mut(sequence) {
                    record.connection_open = false;
                    record.handle(RequestEvent::Broken);
                }
                self.schedule_resume(now, sequence, effects);
            }
            RequestState::Resuming => self.start_resume(now, sequence, effects),
            _ => {}
        }
    }
}

fn first_silence(record: &RequestRecord) -> Duration {
    let thousands = u32::try_from(record.profile.prompt.0 / 1_000).unwrap_or(u32::MAX);
    FIRST_SILENCE + FIRST_SILENCE_PER_THOUSAND.saturating_mul(thousands)
}
