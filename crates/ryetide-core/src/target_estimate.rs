//! The estimate of one target: its speed, its load, and whether it may be used.
//!
//! Speeds are estimated from observed answers. The load is the number of slots that this arbiter
//! has granted and that were not released, plus the additional load that the target reports.
//! Reports arrive with a delay, so each is compared with the grants that were held at the time it
//! describes. A report is ignored after a short time if no newer one arrives.

use std::{collections::VecDeque, time::Duration};

use crate::{
    catalog::{ServiceKind, TargetRule},
    chart::{self, TargetEvent, TargetState},
    event::LoadReport,
    ids::TargetKey,
    limit_share::LimitShare,
    target_notice,
    units::{Moment, TokenRate, Tokens},
};

/// The weight of a new observation in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The shortest prompt, in tokens, from which the prefill speed is estimated.
const MIN_PREFILL_SAMPLE: u64 = 256;
/// The time after which a report's surplus is ignored.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The time span of the history of own grants, by which reports are corrected.
const HISTORY_SPAN: Duration = Duration::from_secs(5);
/// The pause after the first failed connection; it doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after failed connections.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// The lowest decode speed that is accepted from a report, as a fraction of the configured speed.
const MIN_DECODE_FRACTION: f64 = 0.01;

/// The estimate of one target by the arbiter of its scope.
#[derive(Debug)]
pub struct TargetEstimate {
    key: TargetKey,
    kind: ServiceKind,
    rule: TargetRule,
    state: TargetState,
    /// The end of the pause after a failed connection.
    pause_until: Moment,
    /// The end of the back-off that the target has requested.
    backed_off_until: Moment,
    /// This arbiter's share of the target's rate limit.
    limit: LimitShare,
    /// The number of consecutive failed connections.
    failures: u32,
    /// The number of granted slots that were not released.
    running: u32,
    /// The tokens reserved by these slots.
    reserved: Tokens,
    prefill_rate: TokenRate,
    decode_rate: TokenRate,
    /// Whether the speeds were declared or observed, as opposed to assumed.
    speed_known: bool,
    /// The values of `running` over time, the oldest first.
    history: VecDeque<(Moment, u32)>,
    /// The number of requests in the last report beyond those that this arbiter had granted.
    surplus: u32,
    surplus_at: Moment,
    /// The token count of the last report, with the time that it describes.
    generated: Option<(Moment, u64)>,
    /// The expected end of the prefill of all prompts granted so far.
    prefill_end: Moment,
    /// The sum of these prompts.
    granted_prompts: Tokens,
}

impl TargetEstimate {
    /// Creates the estimate of a target that has not been observed yet.
    pub fn new(kind: ServiceKind, rule: TargetRule) -> Self {
        Self {
            key: TargetKey::of(&rule.name),
            kind,
            state: chart::target().initial(),
            pause_until: Moment::default(),
            backed_off_until: Moment::default(),
            limit: LimitShare::Unlimited,
            failures: 0,
            running: 0,
            reserved: Tokens(0),
            prefill_rate: rule.prefill_rate,
            decode_rate: rule.decode_rate,
            speed_known: rule.speeds_declared,
            history: VecDeque::new(),
            surplus: 0,
            surplus_at: Moment::default(),
            generated: None,
            prefill_end: Moment::default(),
            granted_prompts: Tokens(0),
            rule,
        }
    }

    /// Returns the target's key.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the target's rule.
    pub fn rule(&self) -> &TargetRule {
        &self.rule
    }

    /// Replaces the rule after a change of configuration; the estimated speeds are retained.
    pub fn set_rule(&mut self, kind: ServiceKind, rule: TargetRule) {
        self.kind = kind;
        self.rule = rule;
    }

    /// Returns the number of granted slots that were not released.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the target is not leaving.
    pub fn is_usable(&self) -> bool {
        self.state != TargetState::Leaving
    }

    /// Applies an event to the target's state chart; returns whether the state changed.
    pub fn handle(&mut self, event: TargetEvent) -> bool {
        let before = self.state;
        chart::target().advance(&mut self.state, event);
        before != self.state
    }

    /// Records a failed connection; returns whether the target became suspect.
    ///
    /// Connections that fail during the pause are ignored, since they belong to the same outage. If
    /// each of them doubled the pause, a few simultaneous failures would pause the target for
    /// seconds.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        if now < self.pause_until {
            return false;
        }
        let pause = INITIAL_PAUSE.saturating_mul(1 << self.failures.min(5)).min(MAX_PAUSE);
        self.failures += 1;
        self.pause_until = now + pause;
        self.handle(TargetEvent::ConnectFailed)
    }

    /// Records that a request reached the target, with any outcome. The next failed connection then
    /// starts a new outage with the initial pause.
    pub fn record_reached(&mut self) {
        self.failures = 0;
    }

    /// Records that the target answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.handle(TargetEvent::Answered);
    }

    /// Records a back-off of `span` that the target has requested. Later observations extend it but
    /// never shorten it.
    pub fn back_off(&mut self, now: Moment, span: Duration) {
        self.backed_off_until =
            self.backed_off_until.max(now + span.min(target_notice::LONGEST_HOLD_OFF));
    }

    /// Returns this arbiter's share of the target's rate limit.
    pub fn limit(&self) -> &LimitShare {
        &self.limit
    }

    /// Returns this arbiter's share of the target's rate limit for modification.
    pub fn limit_mut(&mut self) -> &mut LimitShare {
        &mut self.limit
    }

    /// Returns the time until which the target's back-off and rate limit permit no request.
    pub fn backed_off_until(&self, now: Moment) -> Moment {
        self.backed_off_until.max(self.limit.ready_at(now))
    }

    /// Returns when a target that is suspect, backed off or rate-limited may be used again, or
    /// `None` for any other target.
    pub fn pause_end(&self, now: Moment) -> Option<Moment> {
        let suspect_until = (self.state == TargetState::Suspect).then_some(self.pause_until);
        suspect_until.max(Some(self.backed_off_until(now)).filter(|until| *until > now))
    }

    /// Returns the number of slots that this arbiter may grant: the fraction `fill` of its `share`
    /// of the target, at least one, less the load from elsewhere that the target reports.
    pub fn slot_limit(&self, now: Moment, fill: f64, share: f64) -> u32 {
        let slots = f64::from(self.rule.slots) * share * fill;
        let limit = (slots.floor() as u32).max(1);
        limit.saturating_sub(self.current_surplus(now))
    }

    /// Returns whether a slot is free now. A suspect target becomes usable when its pause is over.
    pub fn has_slot(&mut self, now: Moment, fill: f64, share: f64) -> bool {
        if self.state == TargetState::Suspect && now >= self.pause_until {
            self.handle(TargetEvent::PauseOver);
        }
        let is_ready = self.state == TargetState::Usable && now >= self.backed_off_until;
        is_ready && self.limit.permits(now) && self.running < self.slot_limit(now, fill, share)
    }

    /// Returns whether a request of `tokens` fits into this arbiter's `share` of the target. An
    /// idle target accepts any request that fits into its whole capacity.
    pub fn fits(&self, share: f64, tokens: Tokens) -> bool {
        let capacity = (self.rule.tokens.0 as f64 * share) as u64;
        let fits = self.running == 0 || self.reserved.0 + tokens.0 <= capacity;
        fits && tokens.0 <= self.rule.tokens.0
    }

    /// Reserves a slot for a request of `tokens` in total, with a prefill of `prefill` tokens.
    pub fn reserve(&mut self, now: Moment, tokens: Tokens, prefill: Tokens) {
        self.running += 1;
        self.reserved.0 += tokens.0;
        self.limit.take(now);
        self.prefill_end = self.prefill_end.max(now) + self.prefill_time(prefill);
        self.granted_prompts.0 += prefill.0;
        self.record_running(now);
    }

    /// Returns the sum of the prompts granted so far.
    pub fn granted_prompts(&self) -> Tokens {
        self.granted_prompts
    }

    /// Records that the prefill of the prompts granted up to the sum `done` is over. An engine that is
    /// faster than assumed would otherwise seem busy with them.
    pub fn record_prefill_done(&mut self, now: Moment, done: Tokens) {
        let left = Tokens(self.granted_prompts.0.saturating_sub(done.0));
        self.prefill_end = self.prefill_end.min(now + self.prefill_time(left));
    }

    /// Returns the expected time until the prefill of all prompts granted so far is done. Engines
    /// process prompts in order, so a short request behind two long prompts waits for both.
    pub fn prefill_backlog(&self, now: Moment) -> Duration {
        self.prefill_end.since(now)
    }

    /// Releases a slot.
    pub fn release(&mut self, now: Moment, tokens: Tokens) {
        self.running = self.running.saturating_sub(1);
        self.reserved.0 = self.reserved.0.saturating_sub(tokens.0);
        self.record_running(now);
    }

    /// Returns the expected time from a dispatch at `now` to the end of the answer, for a prefill
    /// of `prefill` tokens and an answer of `output` tokens.
    pub fn service_time(&self, now: Moment, prefill: Tokens, output: Tokens) -> Duration {
        let prefill = self.prefill_backlog(now) + self.prefill_time(prefill);
        prefill + self.decode_rate.time_for(output)
    }

    /// Returns the time that the prefill of a prompt takes. A plain service does none, however large
    /// the bodies that it gets.
    fn prefill_time(&self, prompt: Tokens) -> Duration {
        match self.kind {
            ServiceKind::Model => self.prefill_rate.time_for(prompt),
            ServiceKind::Plain => Duration::ZERO,
        }
    }

    /// Returns whether the speeds were declared or observed, as opposed to assumed. After a restart
    /// of all VMs no speed has been observed, and refusals based on assumed speeds would turn away
    /// most callers of the first second.
    pub fn is_speed_known(&self) -> bool {
        self.speed_known
    }

    /// Updates the speeds from a completed answer. `first` is the time from the dispatch to the
    /// first piece, less the prefill backlog at the dispatch. Short prompts are ignored, since
    /// overhead dominates their time.
    pub fn record_completion(
        &mut self,
        prompt: Tokens,
        output: Tokens,
        first: Duration,
        total: Duration,
    ) {
        if prompt.0 >= MIN_PREFILL_SAMPLE && !first.is_zero() {
            update_average(&mut self.prefill_rate, prompt.0 as f64 / first.as_secs_f64());
        }
        let decode = total.saturating_sub(first);
        if output.0 > 1 && !decode.is_zero() {
            update_average(&mut self.decode_rate, (output.0 - 1) as f64 / decode.as_secs_f64());
            self.speed_known = true;
        }
    }

    /// Applies a load report: computes the surplus over the grants held at the time that it
    /// describes, and updates the decode speed from the tokens of streams that have not ended, so
    /// that a slowdown is detected before the first slow answer is complete.
    pub fn record_report(&mut self, now: Moment, report: &LoadReport) {
        let taken = now.before(Duration::from_millis(report.age_ms));
        let granted_then = self.running_at(taken);
        self.surplus = report.running.saturating_sub(granted_then);
        self.surplus_at = now;
        if let Some((before, count)) = self.generated {
            let span = taken.since(before).as_secs_f64();
            let tokens = report.generated.saturating_sub(count) as f64;
            if span > 0.2 && report.running > 0 && granted_then > 0 {
                let floor = self.rule.decode_rate.0 * MIN_DECODE_FRACTION;
                let observed = (tokens / span / f64::from(report.running)).max(floor);
                update_average(&mut self.decode_rate, observed);
            }
        }
        if self.generated.is_none_or(|(before, _)| taken > before) {
            self.generated = Some((taken, report.generated));
        }
    }

    /// Returns the score by which targets are compared, where lower is better: the expected time to
    /// the end of the answer, times a factor that grows with the number of requests in the batch.
    pub fn score(&self, now: Moment, prefill: Tokens, output: Tokens) -> Duration {
        let batch_factor = 1.0 + f64::from(self.running) / f64::from(self.rule.slots.max(1));
        self.service_time(now, prefill, output).mul_f64(batch_factor)
    }

    fn current_surplus(&self, now: Moment) -> u32 {
        if now.since(self.surplus_at) > REPORT_TTL { 0 } else { self.surplus }
    }

    fn record_running(&mut self, now: Moment) {
        self.history.push_back((now, self.running));
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    /// Returns the maximum number of slots granted at `taken` or later. The exact time at which the
    /// target counted its requests is unknown, and counting an own grant as load from elsewhere
    /// would leave slots unused.
    fn running_at(&self, taken: Moment) -> u32 {
        let last_before = self.history.iter().rev().find(|(at, _)| *at <= taken);
        let later = self.history.iter().filter(|(at, _)| *at > taken);
        let before = last_before.map_or(0, |(_, running)| *running);
        later.map(|(_, running)| *running).fold(before, u32::max)
    }
}

/// Adds an observation to an exponential moving average.
fn update_average(rate: &mut TokenRate, observed: f64) {
    rate.0 += (observed - rate.0) * SAMPLE_WEIGHT;
}
