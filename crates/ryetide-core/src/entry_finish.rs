//! The end of a request: its final answer, its summary, and the release of its slot and claim.

use std::time::Duration;

use crate::{
    chart::RequestEvent,
    effect::{Effect, EffectBuffer, OutcomeKind, RequestSummary},
    entry::EntryCore,
    event::{FinalAnswer, UnknownReason},
    ids::RequestSequence,
    message::{ClaimOutcome, ReleaseOutcome},
    request::RequestRecord,
    units::{Moment, Tokens},
};

/// The retry delay with the same key after a request with an unknown outcome.
const UNKNOWN_RETRY: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Ends a dispatched request with the answer "unknown": it may or may not have run.
    pub(crate) fn finish_unknown(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        reason: UnknownReason,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if !record.handle(RequestEvent::LoseTrack) {
            return;
        }
        let retry_after = record.claim_key.is_some().then_some(UNKNOWN_RETRY);
        self.finish(now, sequence, FinalAnswer::Unknown { reason, retry_after }, effects);
    }

    /// Handles a caller that closed its connection.
    ///
    /// A request that is not dispatched is dropped. A dispatched one is cancelled unless it is
    /// non-idempotent or has a key; then it runs to completion, and its outcome can be queried
    /// afterwards.
    pub(crate) fn handle_caller_gone(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.request_id(sequence);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.caller_gone = true;
        if record.is_before_dispatch() {
            self.finish_abandoned(now, sequence, effects);
            return;
        }
        if record.non_idempotent || record.claim_key.is_some() {
            return;
        }
        if let Some(route) = record.route.clone().filter(|route| route.engine) {
            effects.push(Effect::Cancel { id, route });
        }
        self.finish_unknown(now, sequence, UnknownReason::TargetLost, effects);
    }

    /// Ends a request whose answer is still incomplete after the deadline and its grace period, and
    /// cancels it at a model engine if it may be repeated.
    pub(crate) fn finish_late(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.request_id(sequence);
        let record = self.requests.get(sequence);
        let repeatable = record.is_some_and(|record| !record.non_idempotent);
        let route = record.and_then(|record| record.route.clone());
        if let Some(route) = route.filter(|route| route.engine && repeatable) {
            effects.push(Effect::Cancel { id, route });
        }
        self.finish_unknown(now, sequence, UnknownReason::TargetLost, effects);
    }

    /// Ends a request: releases its slot and claim, removes its record, and sends the final answer.
    ///
    /// Every request that has a record ends here, so that it gets exactly one final answer.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        answer: FinalAnswer,
        effects: &mut EffectBuffer,
    ) {
        let kind = outcome_kind(&answer);
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        if kind == OutcomeKind::Answered {
            let sent = record.dispatched.unwrap_or(now);
            self.crashes.record_answered(now, sent, &record.features);
        }
        let release = match (kind, record.state) {
            (OutcomeKind::Answered, _) => ReleaseOutcome::Completed,
            (OutcomeKind::NotRun, _) => ReleaseOutcome::Unused,
            (OutcomeKind::Unknown, _) => ReleaseOutcome::Failed,
        };
        if record.connection_open && !record.is_before_dispatch() {
            let attempt = record.attempt;
            effects.push(Effect::Abandon { sequence, attempt });
        }
        self.release_slot(now, sequence, release, effects);
        let Some(record) = self.requests.remove(sequence) else {
            return;
        };
        if let Some(key) = &record.claim_key {
            // A request that was not dispatched did not run and releases its key, whatever answer
            // its caller gets.
            let outcome = match kind {
                _ if record.dispatched.is_none() => ClaimOutcome::NotRun,
                OutcomeKind::Answered => ClaimOutcome::Answered(None),
                OutcomeKind::NotRun => ClaimOutcome::NotRun,
                OutcomeKind::Unknown => ClaimOutcome::Unknown,
            };
            if let Some(command) = self.claims.end(now, sequence, key, &outcome) {
                self.send_command(command, effects);
            }
        }
        if let Some(summary) = self.summarize(now, sequence, &record, kind) {
            effects.push(Effect::Record(summary));
        }
        if !record.caller_gone {
            effects.push(Effect::FinishAnswer { sequence, answer });
        }
    }

    /// Builds the summary of a finished request for metrics, or returns `None` if the configuration
    /// no longer has its service, organisation or tier.
    fn summarize(
        &self,
        now: Moment,
        sequence: RequestSequence,
        record: &RequestRecord,
        outcome: OutcomeKind,
    ) -> Option<RequestSummary> {
        let catalog = self.configuration.catalog();
        let since_arrival = |at: Moment| at.since(record.arrived);
        let between = record.first_piece.zip(record.last_piece).and_then(|(first, last)| {
            let gaps = u32::try_from(record.pieces.saturating_sub(1)).unwrap_or(u32::MAX);
            last.since(first).checked_div(gaps)
        });
        let late = now > record.deadline;
        let useful = outcome == OutcomeKind::Answered && !late;
        let wasted = record.dispatched.is_some() && !useful && outcome != OutcomeKind::NotRun;
        Some(RequestSummary {
            sequence,
            service: catalog.service(record.profile.service)?.name.clone(),
            organisation: catalog.organisations().get(&record.profile.organisation)?.name.clone(),
            tier: catalog.tiers().get(usize::from(record.profile.tier.0))?.name.clone(),
            outcome,
            queued: since_arrival(record.dispatched.unwrap_or(now)),
            first_piece: record.first_piece.map(since_arrival),
            between_pieces: between,
            total: since_arrival(now),
            late,
            wasted_prompt: if wasted { record.profile.prompt } else { Tokens(0) },
            prompt: record.profile.prompt,
        })
    }
}

/// Returns the kind under which a final answer is counted.
fn outcome_kind(answer: &FinalAnswer) -> OutcomeKind {
    match answer {
        FinalAnswer::Answered | FinalAnswer::Replayed(_) => OutcomeKind::Answered,
        FinalAnswer::NotRun { .. } | FinalAnswer::Rejected(_) => OutcomeKind::NotRun,
        FinalAnswer::Unknown { .. } => OutcomeKind::Unknown,
    }
}
