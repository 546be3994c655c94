//! Selection of the waiting request that an arbiter grants next, and of its target.

use std::time::Duration;

use crate::{
    arbiter::{BACKLOG_LIMIT, ScopeArbiter},
    ids::TargetKey,
    message::RequestProfile,
    slot_ledger::HeldSlot,
    slot_request::{ArbiterVerdict, RequestKey, VerdictKind},
    target_estimate::TargetEstimate,
    units::{Moment, TierRank, Tokens},
};

/// The maximum number of requests at the front of a tier that are tried for a free target.
const FRONT_LIMIT: usize = 16;

impl ScopeArbiter {
    /// Grants requests near the front of the most urgent waiting tier while a target can take one.
    ///
    /// Within that tier, a request may overtake one that no free target would serve in time. Lower
    /// tiers are not considered: a request that fits now must not take the slot that a more urgent
    /// request waits for.
    pub(crate) fn grant_waiting(&mut self, now: Moment, verdicts: &mut Vec<ArbiterVerdict>) {
        if now < self.grant_from {
            return;
        }
        while let Some((key, target)) = self.next_placement(now) {
            let Some(request) = self.waiting.remove(&key) else { return };
            self.queue.serve(request.position);
            self.by_latest_start.remove(&(request.latest_start, key.clone()));
            self.reserve_slot(now, now, key.clone(), target, &request.profile);
            verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Grant(target) });
        }
    }

    /// Returns the request to grant next and its target.
    fn next_placement(&mut self, now: Moment) -> Option<(RequestKey, TargetKey)> {
        let (_, tier) = self.queue.peek()?;
        let open = self.open_targets(now, tier);
        if open.is_empty() {
            return None;
        }
        for key in self.queue.front(FRONT_LIMIT) {
            let Some(request) = self.waiting.get(&key) else { continue };
            if let Some(target) = self.choose_target(now, &open, &request.profile, request.deadline)
            {
                return Some((key, target));
            }
        }
        None
    }

    /// Returns the targets with a free slot and a short enough prefill backlog for a request of
    /// `tier`, whatever its size.
    ///
    /// Most slot requests come while all targets are full; then this check is all that one costs.
    fn open_targets(&mut self, now: Moment, tier: TierRank) -> Vec<TargetKey> {
        let (fill, share) = (self.fill_of(tier), self.share);
        let backlog_limit = self.backlog_limit(tier);
        let is_open = |target: &mut TargetEstimate| {
            target.has_slot(now, fill, share) && target.prefill_backlog(now) <= backlog_limit
        };
        let targets = self.targets.values_mut();
        targets.filter_map(|target| is_open(target).then(|| target.key())).collect()
    }

    /// Chooses the open target with the lowest score among those that have enough tokens free for
    /// the request and are expected to complete it before its deadline.
    fn choose_target(
        &self,
        now: Moment,
        open: &[TargetKey],
        profile: &RequestProfile,
        deadline: Moment,
    ) -> Option<TargetKey> {
        let tokens = self.tokens_needed(profile);
        let output = self.expected_output(profile);
        let savings = self.hints.savings(now, &profile.prefixes);
        let candidates = open.iter().filter_map(|key| {
            let target = self.targets.get(key).filter(|it| it.fits(self.share, tokens))?;
            let prefill = Tokens(profile.prompt.0.saturating_sub(savings.of(*key).0));
            let in_time = !target.is_speed_known()
                || now + target.service_time(now, prefill, output) <= deadline;
            in_time.then(|| (target.score(now, prefill, output), *key))
        });
        candidates.min().map(|(_, key)| key)
    }

    /// Returns the longest prefill backlog of a target at which a request of `tier` is granted.
    ///
    /// Engines process prompts in order and do not preempt them. All tiers but the most urgent one
    /// therefore queue here, where an urgent request can still overtake them: another long prompt
    /// at the engine would delay every short urgent request behind it.
    fn backlog_limit(&self, tier: TierRank) -> Duration {
        if tier == TierRank(0) { Duration::MAX } else { BACKLOG_LIMIT }
    }

    /// Reserves a slot at a target, and records it as in use since `started`.
    pub(crate) fn reserve_slot(
        &mut self,
        now: Moment,
        started: Moment,
        key: RequestKey,
        target: TargetKey,
        profile: &RequestProfile,
    ) {
        let tokens = self.tokens_needed(profile);
        let output = self.expected_output(profile);
        let saved = self.hints.savings(now, &profile.prefixes).of(target);
        // Only the uncached part of a prompt takes prefill time, so speeds are learned from that.
        let prefill = Tokens(profile.prompt.0.saturating_sub(saved.0));
        let Some(model) = self.targets.get_mut(&target) else { return };
        let expected_end = started + model.service_time(now, prefill, output);
        let backlog = model.prefill_backlog(now);
        model.reserve(now, tokens, prefill);
        let granted_prompts = model.granted_prompts();
        self.hints.record(now, target, &profile.prefixes);
        let slot = HeldSlot {
            target,
            tokens,
            prompt: prefill,
            output_limit: profile.output_limit,
            expected_end,
            backlog,
            granted_prompts,
        };
        self.held.insert(key, slot);
    }

    /// Returns the number of tokens that the request is expected to generate.
    fn expected_output(&self, profile: &RequestProfile) -> Tokens {
        self.output.expected(profile.output_limit)
    }

    /// Returns the number of tokens that a target must have free for the request.
    pub(crate) fn tokens_needed(&self, profile: &RequestProfile) -> Tokens {
        Tokens(profile.prompt.0 + self.expected_output(profile).0)
    }

    /// Returns the expected service time at the fastest usable target.
    pub(crate) fn expected_service(&self, now: Moment, profile: &RequestProfile) -> Duration {
        let output = self.expected_output(profile);
        let times = self.usable().map(|target| target.service_time(now, profile.prompt, output));
        times.min().unwrap_or_default()
    }
}
