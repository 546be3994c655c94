//! What is believed about one target: its speed, its load, and whether it may be used.
//!
//! Speeds are learnt from observed answers. The load is what this arbiter granted and has not got
//! back, plus what the target's own report shows beyond that. Reports are late, so a report is
//! compared with the grants that were out when it was taken, and it fades when no newer one comes.

use std::{collections::VecDeque, time::Duration};

use crate::{
    catalog::TargetRule,
    chart::{self, TargetEvent, TargetState},
    event::LoadReport,
    ids::TargetKey,
    limit_part::TargetLimit,
    target_word,
    units::{Moment, TokenRate, Tokens},
};

/// The weight of a new observation in a moving average.
const LEARNING_WEIGHT: f64 = 0.2;
/// Prompts shorter than this teach no prefill speed.
const LEARNING_PROMPT: u64 = 256;
/// A report's surplus is believed for this long after it arrived.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// How long the history of own grants reaches back; reports older than this are not corrected.
const HISTORY_SPAN: Duration = Duration::from_secs(5);
/// The first pause after a failed connection; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after failed connections.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Observed decode speeds below this part of the rule's speed are taken as this part.
const SLOWEST_PART: f64 = 0.01;

/// One target as the arbiter of its scope sees it.
#[derive(Debug)]
pub struct TargetModel {
    key: TargetKey,
    rule: TargetRule,
    state: TargetState,
    pause_until: Moment,
    /// Until when the target wants nothing, as it has said itself.
    held_until: Moment,
    /// How much of what it takes this arbiter may grant.
    limit: TargetLimit,
    failures: u32,
    running: u32,
    reserved: Tokens,
    prefill_rate: TokenRate,
    decode_rate: TokenRate,
    /// Whether the speeds were declared or observed, and not only assumed.
    speed_known: bool,
    history: VecDeque<(Moment, u32)>,
    surplus: u32,
    surplus_at: Moment,
    generated: Option<(Moment, u64)>,
    /// When the prompts granted so far will have been worked on.
    prefill_end: Moment,
}

impl TargetModel {
    /// Creates the model of a target about which nothing was observed yet.
    pub fn new(rule: TargetRule) -> Self {
        Self {
            key: TargetKey::of(&rule.name),
            state: chart::target().initial(),
            pause_until: Moment::default(),
            held_until: Moment::default(),
            limit: TargetLimit::None,
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

    /// Replaces the rule after a change of configuration; what was learnt is kept.
    pub fn set_rule(&mut self, rule: TargetRule) {
        self.rule = rule;
    }

    /// Returns the number of granted requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the target may be granted to anybody.
    pub fn is_usable(&self) -> bool {
        self.state != TargetState::Leaving
    }

    /// Moves the target along its chart; returns whether the state changed.
    pub fn handle(&mut self, event: TargetEvent) -> bool {
        let before = self.state;
        chart::target().advance(&mut self.state, event);
        before != self.state
    }

    /// Notes a failed connection; returns whether the target became suspect by it. Connections that fail while the target
    /// is paused tell of the same absence: each counted, a few at one moment would pause it for seconds.
    pub fn note_failure(&mut self, now: Moment) -> bool {
        if now < self.pause_until {
            return false;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(5)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.pause_until = now + pause;
        self.handle(TargetEvent::ConnectFailed)
    }

    /// Notes that a request reached the target, whatever became of it: the next failed connection begins a new absence.
    pub fn note_reached(&mut self) {
        self.failures = 0;
    }

    /// Notes that the target answered.
    pub fn note_answer(&mut self) {
        self.failures = 0;
        self.handle(TargetEvent::Answered);
    }

    /// Notes that the target wants nothing for `span`. Nothing that is heard of it meanwhile ends that sooner.
    pub fn hold_off(&mut self, now: Moment, span: Duration) {
        self.held_until = self.held_until.max(now + span.min(target_word::LONGEST_HOLD_OFF));
    }

    /// Returns how much of what the target takes this arbiter may grant.
    pub fn limit(&self) -> &TargetLimit {
        &self.limit
    }

    /// Returns the same, to change it.
    pub fn limit_mut(&mut self) -> &mut TargetLimit {
        &mut self.limit
    }

    /// Returns until when the target wants nothing.
    pub fn held_until(&self, now: Moment) -> Moment {
        self.held_until.max(self.limit.wants_at(now))
    }

    /// Returns when a suspect target may be tried again, or one that wants nothing for a time.
    pub fn pause_end(&self, now: Moment) -> Option<Moment> {
        let suspect_until = (self.state == TargetState::Suspect).then_some(self.pause_until);
        suspect_until.max(Some(self.held_until(now)).filter(|until| *until > now))
    }

    /// Returns the slots that `fill` of this target leaves, under `share` of it.
    pub fn slot_limit(&self, now: Moment, fill: f64, share: f64) -> u32 {
        let whole = f64::from(self.rule.slots) * share * fill;
        let limit = (whole.floor() as u32).max(1);
        limit.saturating_sub(self.current_surplus(now))
    }

    /// Returns whether a slot is free now; a suspect target is tried again when its pause is over.
    pub fn has_slot(&mut self, now: Moment, fill: f64, share: f64) -> bool {
        if self.state == TargetState::Suspect && now >= self.pause_until {
            self.handle(TargetEvent::PauseOver);
        }
        let wants = self.state == TargetState::Usable && now >= self.held_until;
        wants && self.limit.permits(now) && self.running < self.slot_limit(now, fill, share)
    }

    /// Returns whether `tokens` more can be held; a target with nothing to do takes any request that
    /// it can hold alone.
    pub fn holds(&self, share: f64, tokens: Tokens) -> bool {
        let capacity = (self.rule.tokens.0 as f64 * share) as u64;
        let fits = self.running == 0 || self.reserved.0 + tokens.0 <= capacity;
        fits && tokens.0 <= self.rule.tokens.0
    }

    /// Reserves a slot for a request of `tokens` in all, of which `prefill` are to be worked on.
    pub fn reserve(&mut self, now: Moment, tokens: Tokens, prefill: Tokens) {
        self.running += 1;
        self.reserved.0 += tokens.0;
        self.limit.take(now);
        self.prefill_end = self.prefill_end.max(now) + self.prefill_rate.time_for(prefill);
        self.remember(now);
    }

    /// Returns the time until the prompts granted so far will have been worked on. Engines take
    /// prompts in order, so a short request behind two long drawings waits for both.
    pub fn prefill_backlog(&self, now: Moment) -> Duration {
        self.prefill_end.since(now)
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Moment, tokens: Tokens) {
        self.running = self.running.saturating_sub(1);
        self.reserved.0 = self.reserved.0.saturating_sub(tokens.0);
        self.remember(now);
    }

    /// Returns the expected time from a dispatch at `now` to the end, when `prefill` tokens of the
    /// prompt are to be worked on.
    pub fn service_time(&self, now: Moment, prefill: Tokens, output: Tokens) -> Duration {
        let prefill = self.prefill_backlog(now) + self.prefill_rate.time_for(prefill);
        prefill + self.decode_rate.time_for(output)
    }

    /// Returns whether the speeds were declared or observed. After all VMs were killed no speed is
    /// known anywhere; to refuse by one that was only assumed would refuse most callers of that second.
    pub fn is_speed_known(&self) -> bool {
        self.speed_known
    }

    /// Learns from a completed answer, whose first piece came `first` after the dispatch, less the
    /// backlog that it met. Short prompts say nothing of the speed: their time is all overhead.
    pub fn learn(&mut self, prompt: Tokens, output: Tokens, first: Duration, total: Duration) {
        if prompt.0 >= LEARNING_PROMPT && !first.is_zero() {
            blend(&mut self.prefill_rate, prompt.0 as f64 / first.as_secs_f64());
        }
        let decode = total.saturating_sub(first);
        if output.0 > 1 && !decode.is_zero() {
            blend(&mut self.decode_rate, (output.0 - 1) as f64 / decode.as_secs_f64());
            self.speed_known = true;
        }
    }

    /// Takes a load report: corrects it by the grants out when it was taken, and learns the speed
    /// of streams that have not ended yet, so that a target that slows down is noticed before its
    /// first slow answer is complete.
    pub fn note_report(&mut self, now: Moment, report: &LoadReport) {
        let taken = now.before(Duration::from_millis(report.age_ms));
        let granted_then = self.running_at(taken);
        self.surplus = report.running.saturating_sub(granted_then);
        self.surplus_at = now;
        if let Some((before, count)) = self.generated {
            let span = taken.since(before).as_secs_f64();
            let grown = report.generated.saturating_sub(count) as f64;
            if span > 0.2 && report.running > 0 && granted_then > 0 {
                let floor = self.rule.decode_rate.0 * SLOWEST_PART;
                blend(&mut self.decode_rate, (grown / span / f64::from(report.running)).max(floor));
            }
        }
        if self.generated.is_none_or(|(before, _)| taken > before) {
            self.generated = Some((taken, report.generated));
        }
    }

    /// Returns the score by which targets are compared: the expected time to the end, with a
    /// growing charge for each request that shares the batch.
    pub fn score(&self, now: Moment, prefill: Tokens, output: Tokens) -> Duration {
        let crowding = 1.0 + f64::from(self.running) / f64::from(self.rule.slots.max(1));
        self.service_time(now, prefill, output).mul_f64(crowding)
    }

    fn current_surplus(&self, now: Moment) -> u32 {
        if now.since(self.surplus_at) > REPORT_LIFE { 0 } else { self.surplus }
    }

    fn remember(&mut self, now: Moment) {
        self.history.push_back((now, self.running));
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    /// The most that was running around `taken`: grants just before it may not have arrived yet,
    /// and counting them twice as somebody else's load would leave slots empty.
    fn running_at(&self, taken: Moment) -> u32 {
        let known = self.history.iter().rev().find(|(at, _)| *at <= taken);
        let later = self.history.iter().filter(|(at, _)| *at > taken);
        let before = known.map_or(0, |(_, running)| *running);
        later.map(|(_, running)| *running).fold(before, u32::max)
    }
}

fn blend(rate: &mut TokenRate, observed: f64) {
    rate.0 += (observed - rate.0) * LEARNING_WEIGHT;
}
