//! How requests end: their final answers, their records, and what is given back.

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

/// When to ask again, with the same key, for the outcome of a request that was lost track of.
const UNKNOWN_RETRY: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Ends a request of which no more can be found out.
    pub(crate) fn lose_track(
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

    /// A caller closed its connection. Waiting work is dropped; running work that may be repeated
    /// is cancelled; work that may not be repeated runs to its end, and its outcome stays askable.
    pub(crate) fn caller_gone(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.id_of(sequence);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.caller_gone = true;
        if record.is_before_dispatch() {
            self.drop_waiting(now, sequence, effects);
            return;
        }
        if record.non_idempotent || record.claim_key.is_some() {
            return;
        }
        if let Some(route) = record.route.clone().filter(|route| route.engine) {
            effects.push(Effect::Cancel { id, route });
        }
        self.lose_track(now, sequence, UnknownReason::TargetLost, effects);
    }

    /// Stops listening to a target long after the deadline.
    pub(crate) fn cancel_late(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let id = self.id_of(sequence);
        let record = self.requests.get(sequence);
        let repeatable = record.is_some_and(|record| !record.non_idempotent);
        let route = record.and_then(|record| record.route.clone());
        if let Some(route) = route.filter(|route| route.engine && repeatable) {
            effects.push(Effect::Cancel { id, route });
        }
        self.lose_track(now, sequence, UnknownReason::TargetLost, effects);
    }

    /// Ends a request: the one place where final answers leave and records go.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        answer: FinalAnswer,
        effects: &mut EffectBuffer,
    ) {
        let kind = kind_of(&answer);
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        if kind == OutcomeKind::Answered {
            self.crashes.note_answered(now, record.print);
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
            // Whatever its caller was told, a request that was not dispatched gives its key back.
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

fn kind_of(answer: &FinalAnswer) -> OutcomeKind {
    match answer {
        FinalAnswer::Answered | FinalAnswer::Replayed(_) => OutcomeKind::Answered,
        FinalAnswer::NotRun { .. } | FinalAnswer::Rejected(_) => OutcomeKind::NotRun,
        FinalAnswer::Unknown { .. } => OutcomeKind::Unknown,
    }
}
