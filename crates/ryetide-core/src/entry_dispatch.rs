//! Dispatches each request at most once, and reassembles its answer.
//!
//! First a connection is opened, and nothing is sent on it. Once it is open, the deadline and the
//! target are checked again, the request irrevocably enters `dispatching`, and only then may the
//! first byte be sent. A stream that breaks or times out afterwards is resumed over a new
//! connection by request id, which is not a second dispatch.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    chart::{RequestEvent, RequestState},
    crash_ledger::{QUARANTINE_TTL, SOUND_SPAN},
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    event::{AnswerHead, FinalAnswer, TargetOperation, UnknownReason},
    event_tracker::EventTracker,
    ids::{AttemptNumber, RequestId, RequestSequence},
    message::{RefuseReason, ReleaseOutcome},
    request::RequestRecord,
    units::Moment,
};

/// How long an answer that has begun may pause between pieces before it is resumed.
pub(crate) const PIECE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the first piece of an answer may take before the answer is resumed.
const FIRST_PIECE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time added to [`FIRST_PIECE_TIMEOUT`] for each 1,000 prompt tokens.
const FIRST_PIECE_TIMEOUT_PER_THOUSAND: Duration = Duration::from_secs(1);
/// How long after the deadline a late answer is still received.
pub(crate) const LATE_ANSWER_GRACE: Duration = Duration::from_secs(10);
/// The retry delay after a target refused the request.
const REFUSED_RETRY: Duration = Duration::from_millis(500);
/// The retry delay when the deadline passed before the request was dispatched.
const EXPIRED_RETRY: Duration = Duration::from_secs(1);

impl EntryCore {
    /// Handles an opened connection: dispatches the request on it, or resumes its answer.
    pub(crate) fn handle_connected(
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

    /// Dispatches a request, after it has checked again whatever may have changed since the grant.
    ///
    /// If the process was suspended in between, the grant may be minutes old. The driver checks the
    /// deadline once more right before the first byte; the race that remains is a suspension
    /// between that check and the write.
    fn dispatch(&mut self, now: Moment, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        let target = record.route.as_ref().map(|route| route.key);
        // The request may have waited for its slot long after it was admitted.
        if self.crashes.quarantined_suspect(&record.features).is_some() {
            let retry = Some(QUARANTINE_TTL);
            self.give_up(now, sequence, RefuseReason::Quarantined, retry, effects);
            return;
        }
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
                self.ask_again(now, sequence, ReleaseOutcome::Unused, effects);
                return;
            }
        }
        let id = self.request_id(sequence);
        let wait = first_piece_timeout(record);
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
        let (features, not_after) = (record.features.clone(), record.deadline);
        let order = TargetOperation::Dispatch { id, call, features, answer_limit, not_after };
        let wake = self.idle_timeout_at(now, sequence, wait);
        self.requests.set_wake(sequence, wake);
        effects.push(Effect::Permit { sequence, attempt, order });
    }

    /// Returns when the request times out if nothing arrives from now on: after `bound` for model
    /// engines, but only after the deadline and its grace period for plain services, which cannot
    /// resume an answer.
    pub(crate) fn idle_timeout_at(
        &self,
        now: Moment,
        sequence: RequestSequence,
        bound: Duration,
    ) -> Option<Moment> {
        let record = self.requests.get(sequence)?;
        let last = record.deadline + LATE_ANSWER_GRACE;
        let engine = record.route.as_ref().is_some_and(|route| route.engine);
        if !engine {
            return Some(last);
        }
        if !self.options.switches.silence_bound {
            return None;
        }
        Some(last.min(now + bound).max(now))
    }

    /// Returns the id of a request of this VM.
    pub(crate) fn request_id(&self, sequence: RequestSequence) -> RequestId {
        RequestId { vm: self.options.name.clone(), incarnation: self.options.incarnation, sequence }
    }

    /// Handles a connection that could not be opened. Nothing was sent on it, so a request that is
    /// not dispatched yet may go to another target.
    pub(crate) fn handle_connect_failed(
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
                self.ask_again(now, sequence, ReleaseOutcome::ConnectFailed, effects);
            }
            RequestState::Resuming => {
                record.handle(RequestEvent::ConnectFailed);
                self.schedule_resume(now, sequence, effects);
            }
            _ => {}
        }
    }

    /// Releases the slot of a request that was not dispatched on its connection, and asks for
    /// another one.
    fn ask_again(
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

    /// Handles the head of an answer, and forwards it to the caller unless one was forwarded
    /// before.
    pub(crate) fn handle_answer_head(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        head: AnswerHead,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.current_attempt(sequence, attempt) else {
            return;
        };
        if std::mem::replace(&mut record.head_sent, true) {
            return;
        }
        record.events = head.is_event_stream().then(EventTracker::default);
        let (gone, claim_key) = (record.caller_gone, record.claim_key.clone());
        let bound = first_piece_timeout(record);
        self.note_head(now, sequence, effects);
        if let Some(key) = claim_key {
            self.claims.store_head(&key, head.status, &head.content_type);
        }
        let wake = self.idle_timeout_at(now, sequence, bound);
        self.requests.set_wake(sequence, wake);
        if !gone {
            effects.push(Effect::BeginAnswer { sequence, head });
        }
    }

    /// Returns the request if `attempt` is its current connection and may deliver an answer.
    pub(crate) fn current_attempt(
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

    /// Handles a piece of an answer: drops the bytes that were forwarded already, and treats a gap
    /// as a broken stream.
    pub(crate) fn handle_answer_piece(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        offset: u64,
        bytes: Bytes,
        effects: &mut EffectBuffer,
    ) {
        let checks = self.options.switches.offset_check;
        let Some(record) = self.current_attempt(sequence, attempt) else {
            return;
        };
        if checks && offset > record.received {
            self.handle_stream_broken(now, sequence, attempt, effects);
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
        if let Some(events) = &mut record.events {
            events.scan(&fresh);
        }
        record.first_piece = record.first_piece.or(Some(now));
        record.last_piece = Some(now);
        record.pieces += 1;
        record.idle_resumes = 0;
        let writing = now.since(record.first_piece.unwrap_or(now));
        let sound = record.dispatched.filter(|_| writing >= SOUND_SPAN);
        let sound = sound.map(|sent| (sent, record.features.clone()));
        let (gone, claim_key) = (record.caller_gone, record.claim_key.clone());
        if let Some(key) = claim_key {
            self.claims.store_piece(&key, &fresh);
        }
        if let Some((sent, features)) = sound {
            self.crashes.record_sound_parts(now, sent, &features);
        }
        let wake = self.idle_timeout_at(now, sequence, PIECE_TIMEOUT);
        self.requests.set_wake(sequence, wake);
        if !gone {
            effects.push(Effect::SendPiece { sequence, bytes: fresh });
        }
    }

    /// Handles the end of an answer. The answer is complete only if every byte was forwarded and a
    /// stream of events does not end inside one; otherwise the stream counts as broken.
    pub(crate) fn handle_answer_end(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        length: u64,
        effects: &mut EffectBuffer,
    ) {
        let checks = self.options.switches.length_check;
        let Some(record) = self.current_attempt(sequence, attempt) else {
            return;
        };
        if checks && length != record.received || record.is_inside_event() {
            self.handle_stream_broken(now, sequence, attempt, effects);
            return;
        }
        if record.handle(RequestEvent::End) {
            record.connection_open = false;
            self.finish(now, sequence, FinalAnswer::Answered, effects);
        }
    }

    /// Handles a target's refusal of a dispatched request. The request is not dispatched again, and
    /// is answered "not run" only if the target's contract says that a refused request did not run.
    pub(crate) fn handle_target_refusal(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        attempt: AttemptNumber,
        leaving: bool,
        effects: &mut EffectBuffer,
    ) {
        let ignores_contract = !self.options.switches.refusal_contract;
        let Some(record) = self.current_attempt(sequence, attempt) else {
            return;
        };
        record.connection_open = false;
        let (service, route) = (record.profile.service, record.route.clone());
        self.note_head(now, sequence, effects);
        let rule = route.and_then(|it| self.configuration.catalog().target(service, it.key));
        let ran_nothing = ignores_contract || rule.is_some_and(|rule| rule.refusal_ran_nothing);
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
            self.finish_unknown(now, sequence, UnknownReason::TargetLost, effects);
        }
    }

    /// Handles a request whose timer is due.
    pub(crate) fn handle_due(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        let (attempt, over) = (record.attempt, now >= record.deadline + LATE_ANSWER_GRACE);
        match record.state {
            RequestState::Claiming => self.handle_claim_timeout(now, sequence, effects),
            RequestState::Asking => self.handle_slot_wait_timeout(now, sequence, effects),
            RequestState::Connecting => {
                let retry = Some(EXPIRED_RETRY);
                self.give_up(now, sequence, RefuseReason::DeadlineUnreachable, retry, effects);
            }
            RequestState::Dispatching | RequestState::Running if over => {
                self.finish_late(now, sequence, effects);
            }
            RequestState::Dispatching | RequestState::Running => {
                self.handle_stream_broken(now, sequence, attempt, effects);
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

/// Returns how long the first piece of a request's answer may take.
fn first_piece_timeout(record: &RequestRecord) -> Duration {
    let thousands = u32::try_from(record.profile.prompt.0 / 1_000).unwrap_or(u32::MAX);
    FIRST_PIECE_TIMEOUT + FIRST_PIECE_TIMEOUT_PER_THOUSAND.saturating_mul(thousands)
}
