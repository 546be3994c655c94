//! Which of an arbiter's waiting requests is granted next, and at which target.

use std::time::Duration;

use crate::{
    arbiter::{BACKLOG_LIMIT, ScopeArbiter},
    estimate::TargetModel,
    ids::TargetKey,
    message::AskProfile,
    slot_ledger::HeldSlot,
    units::{Moment, TierRank, Tokens},
    verdict::{ArbiterVerdict, AskKey, VerdictKind},
};

/// How many requests near the front of a tier are tried for a free target.
const FRONT_LIMIT: usize = 16;

impl ScopeArbiter {
    /// Grants while something near the front of the first tier that waits can be placed.
    ///
    /// Within that tier a request may pass another that no free target would serve in time. A lower
    /// tier passes nobody: a request that would fit must not take the slot its better waits for.
    pub(crate) fn grant_waiting(&mut self, now: Moment, verdicts: &mut Vec<ArbiterVerdict>) {
        if now < self.grant_from {
            return;
        }
        while let Some((key, target)) = self.next_placement(now) {
            let Some(ask) = self.waiting.remove(&key) else { return };
            self.queue.serve(ask.place);
            self.by_latest_start.remove(&(ask.latest_start, key.clone()));
            self.hold(now, now, key.clone(), target, &ask.profile);
            verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Grant(target) });
        }
    }

    fn next_placement(&mut self, now: Moment) -> Option<(AskKey, TargetKey)> {
        let (_, tier) = self.queue.peek()?;
        let open = self.open_targets(now, tier);
        if open.is_empty() {
            return None;
        }
        for key in self.queue.front(FRONT_LIMIT) {
            let Some(ask) = self.waiting.get(&key) else { continue };
            if let Some(target) = self.place(now, &open, &ask.profile, ask.deadline) {
                return Some((key, target));
            }
        }
        None
    }

    /// Returns the targets that have room for a request of `tier`, whatever its size. While all are
    /// full, which is when most asks come, this one look is all that an ask costs.
    fn open_targets(&mut self, now: Moment, tier: TierRank) -> Vec<TargetKey> {
        let (fill, share) = (self.fill_of(tier), self.share);
        let backlog_limit = self.backlog_limit(tier);
        let has_room = |target: &mut TargetModel| {
            target.has_slot(now, fill, share) && target.prefill_backlog(now) <= backlog_limit
        };
        let targets = self.targets.values_mut();
        targets.filter_map(|target| has_room(target).then(|| target.key())).collect()
    }

    /// Chooses the open target with the least score that holds the request and would end in time.
    fn place(
        &self,
        now: Moment,
        open: &[TargetKey],
        profile: &AskProfile,
        deadline: Moment,
    ) -> Option<TargetKey> {
        let tokens = self.tokens_needed(profile);
        let output = self.expected_output(profile);
        let savings = self.hints.savings(now, &profile.prefixes);
        let candidates = open.iter().filter_map(|key| {
            let target = self.targets.get(key).filter(|it| it.holds(self.share, tokens))?;
            let prefill = Tokens(profile.prompt.0.saturating_sub(savings.of(*key).0));
            let in_time = !target.is_speed_known()
                || now + target.service_time(now, prefill, output) <= deadline;
            in_time.then(|| (target.score(now, prefill, output), *key))
        });
        candidates.min().map(|(_, key)| key)
    }

    /// The most prompt work that may be ahead of a new grant. Engines take prompts in order and do
    /// not preempt, so for all but the most urgent tier the line is kept here, where it can still be
    /// passed: a long drawing more at the engine would hold up every colour check behind it.
    fn backlog_limit(&self, tier: TierRank) -> Duration {
        if tier == TierRank(0) { Duration::MAX } else { BACKLOG_LIMIT }
    }

    pub(crate) fn hold(
        &mut self,
        now: Moment,
        started: Moment,
        key: AskKey,
        target: TargetKey,
        profile: &AskProfile,
    ) {
        let tokens = self.tokens_needed(profile);
        let output = self.expected_output(profile);
        let saved = self.hints.savings(now, &profile.prefixes).of(target);
        // A prompt that was partly in the cache teaches only by what was worked on.
        let prefill = Tokens(profile.prompt.0.saturating_sub(saved.0));
        let Some(model) = self.targets.get_mut(&target) else { return };
        let expected_end = started + model.service_time(now, prefill, output);
        let backlog = model.prefill_backlog(now);
        model.reserve(now, tokens, prefill);
        self.hints.note(now, target, &profile.prefixes);
        let output_limit = profile.output_limit;
        let slot =
            HeldSlot { target, tokens, prompt: prefill, output_limit, expected_end, backlog };
        self.held.insert(key, slot);
    }

    fn expected_output(&self, profile: &AskProfile) -> Tokens {
        self.output.expected(profile.output_limit)
    }

    pub(crate) fn tokens_needed(&self, profile: &AskProfile) -> Tokens {
        Tokens(profile.prompt.0 + self.expected_output(profile).0)
    }

    /// The service time at the fastest usable target.
    pub(crate) fn expected_service(&self, now: Moment, profile: &AskProfile) -> Duration {
        let output = self.expected_output(profile);
        let times = self.usable().map(|target| target.service_time(now, profile.prompt, output));
        times.min().unwrap_or_default()
    }
}
