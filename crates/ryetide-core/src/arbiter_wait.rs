//! How long requests wait at an arbiter, and the load that it reports.

use std::time::Duration;

use crate::{
    arbiter::{BACKLOG_LIMIT, ScopeArbiter},
    limit_share::{self, LimitShare},
    message::ScopeLoad,
    target_estimate::TargetEstimate,
    units::{Moment, TierRank},
    util,
};

impl ScopeArbiter {
    /// Returns whether every usable target has a rate limit and another arbiter grants all of it.
    pub(crate) fn has_no_limit_share(&self) -> bool {
        self.usable().all(|target| *target.limit() == LimitShare::NoShare)
    }

    /// Returns the time until all waiting requests of `tier` and more urgent tiers are granted
    /// under the targets' rate limits, or `None` unless every usable target has a rate limit.
    pub(crate) fn rate_limited_wait(&self, now: Moment, tier: TierRank) -> Option<Duration> {
        let is_limited = self.usable().all(|target| *target.limit() != LimitShare::Unlimited);
        if !is_limited || !self.has_usable_target() {
            return None;
        }
        let ahead = self.waiting.values().filter(|request| request.profile.tier <= tier).count();
        let first = self.backed_off_until(now).map_or(Duration::ZERO, |until| until.since(now));
        Some(first + limit_share::time_for(ahead, self.usable().map(TargetEstimate::limit)))
    }

    /// Returns when the first usable target accepts work again, or `None` unless all of them
    /// request a back-off or have used up their rate limits.
    pub(crate) fn backed_off_until(&self, now: Moment) -> Option<Moment> {
        let ends =
            self.usable().map(|target| Some(target.backed_off_until(now)).filter(|at| *at > now));
        ends.collect::<Option<Vec<Moment>>>()?.into_iter().min()
    }

    /// Returns when [`ScopeArbiter::advance`] must be called next.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.waiting.is_empty() {
            return None;
        }
        let expiry = self.by_latest_start.first().map(|(at, _)| *at + Duration::from_micros(1));
        let start = (now < self.grant_from).then_some(self.grant_from);
        let pauses = self.targets.values().filter_map(|target| target.pause_end(now));
        let pause = pauses.filter(|end| *end > now).min();
        let backlogs = self.targets.values().map(|target| target.prefill_backlog(now));
        let backlog = backlogs.filter(|backlog| *backlog > BACKLOG_LIMIT).min();
        let drained = backlog.map(|backlog| now + (backlog - BACKLOG_LIMIT));
        [expiry, start, pause, drained].into_iter().flatten().min()
    }

    /// Returns the scope's load, or `None` while it has a usable target and no request would wait.
    pub fn load(&self, now: Moment) -> Option<ScopeLoad> {
        let usable = self.has_usable_target();
        let waits_ms: Vec<u32> =
            self.tier_ranks().map(|tier| util::millis(self.expected_wait(now, tier))).collect();
        let idle = usable && waits_ms.iter().all(|wait| *wait == 0);
        (!idle).then_some(ScopeLoad { scope: self.scope(), usable, waits_ms })
    }

    /// Returns how long a new request of `tier` is expected to wait: not at all if a slot is free
    /// for it, else until the next slot is free and the work ahead of it, spread over all slots, is
    /// done.
    pub fn expected_wait(&self, now: Moment, tier: TierRank) -> Duration {
        self.wait_behind(now, tier, self.queue.work_ahead(tier))
    }

    /// Returns the expected wait of a request of `tier` behind `ahead` of queued work.
    pub(crate) fn wait_behind(&self, now: Moment, tier: TierRank, ahead: Duration) -> Duration {
        if let Some(wait) = self.rate_limited_wait(now, tier) {
            return wait;
        }
        let fill = self.fill_of(tier);
        let slots: u32 = self.usable().map(|target| target.slot_limit(now, fill, self.share)).sum();
        let free =
            self.usable().any(|target| target.running() < target.slot_limit(now, fill, self.share));
        if free && ahead.is_zero() {
            return self.grant_from.since(now);
        }
        let next_free = self.held.mean_remaining(now) * 2 / (self.held.len() as u32 + 1);
        next_free + ahead / slots.max(1)
    }
}
