//! The order and placement of one scope's requests: a service's targets in one data centre.
//!
//! The entry VM that rendezvous hashing chooses runs the arbiter for all VMs; a VM that cannot
//! reach it runs one of its own over a conservative share. Either way this is soft state: an
//! arbiter that is wrong, doubled or freshly started costs quality, never safety, because only the
//! entry VM that holds a caller dispatches, and at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;

use crate::{
    affinity::PrefixHints,
    catalog::{ServiceCatalog, TierRule},
    chart::TargetEvent,
    effect::Notice,
    estimate::TargetModel,
    event::LoadReport,
    ids::{OrganisationKey, ScopeKey, TargetKey, VmName},
    limit_part::{self, TargetLimit},
    message::{AskProfile, RefuseReason, ReleaseMessage, ReleaseOutcome, ScopeLoad},
    output_guess::OutputGuess,
    queue::{FairQueue, QueuePlace, QueueTicket},
    retry::RetryPromise,
    safeguard::SafeguardSwitches,
    slot_ledger::{HeldSlot, SlotLedger},
    target_limit::LimitBook,
    units::{Moment, ShareWeight, TierRank},
    util,
    verdict::{ArbiterVerdict, AskKey, SlotAsk, VerdictKind},
};

/// The most prompt work at an engine ahead of a new grant, for all but the most urgent tier.
pub(crate) const BACKLOG_LIMIT: Duration = Duration::from_millis(100);
/// The time that a request is taken to need when it waits for a limit and no speed is known.
const MIN_LIMITED_WORK: Duration = Duration::from_millis(150);
/// The most requests that may wait at one arbiter; beyond it the last in order is shed.
const WAITING_LIMIT: usize = 8_192;

#[derive(Debug)]
pub(crate) struct WaitingAsk {
    pub(crate) profile: AskProfile,
    pub(crate) place: QueuePlace,
    pub(crate) latest_start: Moment,
    pub(crate) deadline: Moment,
}

/// What an arbiter needs to know of a tier.
#[derive(Clone, Debug)]
struct TierLimit {
    wait: Duration,
    fill: f64,
}

/// Orders and places the requests of one scope.
#[derive(Debug)]
pub struct ScopeArbiter {
    scope: ScopeKey,
    switches: SafeguardSwitches,
    tiers: Vec<TierLimit>,
    weights: BTreeMap<OrganisationKey, ShareWeight>,
    pub(crate) targets: BTreeMap<TargetKey, TargetModel>,
    pub(crate) waiting: BTreeMap<AskKey, WaitingAsk>,
    pub(crate) by_latest_start: BTreeSet<(Moment, AskKey)>,
    pub(crate) queue: FairQueue<AskKey>,
    pub(crate) held: SlotLedger,
    pub(crate) hints: PrefixHints,
    pub(crate) output: OutputGuess,
    pub(crate) share: f64,
    pub(crate) grant_from: Moment,
    promise: RetryPromise,
    /// When a request of each tier was last shed for load.
    last_shed: BTreeMap<TierRank, Moment>,
}

impl ScopeArbiter {
    /// Creates an arbiter over `share` (0 to 1) of each of the scope's targets, which grants
    /// nothing before `grant_from`: one that takes over first hears what is in use.
    pub fn new(
        scope: ScopeKey,
        catalog: &ServiceCatalog,
        share: f64,
        grant_from: Moment,
        switches: SafeguardSwitches,
    ) -> Self {
        let mut arbiter = Self {
            scope,
            switches,
            tiers: Vec::new(),
            weights: BTreeMap::new(),
            targets: BTreeMap::new(),
            waiting: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            queue: FairQueue::new(),
            held: SlotLedger::new(grant_from),
            hints: PrefixHints::default(),
            output: OutputGuess::default(),
            share,
            grant_from,
            promise: RetryPromise::new(grant_from),
            last_shed: BTreeMap::new(),
        };
        arbiter.configure(catalog);
        arbiter
    }

    /// Takes over a changed configuration; what waits and what is held stays.
    pub fn configure(&mut self, catalog: &ServiceCatalog) {
        let limit = |tier: &TierRule| TierLimit { wait: tier.wait, fill: tier.fill };
        self.tiers = catalog.tiers().iter().map(limit).collect();
        let shares = catalog.organisations().iter();
        self.weights = shares.map(|(key, rule)| (*key, rule.share)).collect();
        let mut targets = BTreeMap::new();
        for rule in catalog.targets_of(self.scope) {
            let key = TargetKey::of(&rule.name);
            let mut model =
                self.targets.remove(&key).unwrap_or_else(|| TargetModel::new(rule.clone()));
            model.set_rule(rule.clone());
            targets.insert(key, model);
        }
        for gone in self.targets.keys() {
            self.hints.forget(*gone);
        }
        self.targets = targets;
    }

    /// Returns the scope.
    pub fn scope(&self) -> ScopeKey {
        self.scope
    }

    /// Returns whether any target may be granted, now or after a pause.
    pub fn has_usable_target(&self) -> bool {
        self.targets.values().any(TargetModel::is_usable)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the models of the scope's targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetModel> {
        self.targets.values()
    }

    /// Sets the part of each target that this arbiter may grant.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes an ask: grants it, queues it, or refuses it at once when its refusal is known.
    pub fn ask(
        &mut self,
        now: Moment,
        ask: SlotAsk,
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        if self.waiting.contains_key(&ask.key) || self.held.contains(&ask.key) {
            return;
        }
        let (key, tier) = (ask.key.clone(), ask.profile.tier);
        if let Err(reason) = self.enqueue(now, ask) {
            self.refuse(now, key, (reason, tier), rng, verdicts);
            return;
        }
        self.shed_overflow(now, rng, verdicts);
        self.grant_waiting(now, verdicts);
        if self.waiting.contains_key(&key) {
            verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Queued });
        }
    }

    /// Puts an ask in line unless it is known already that it cannot be served in time.
    fn enqueue(&mut self, now: Moment, ask: SlotAsk) -> Result<(), RefuseReason> {
        let SlotAsk { key, profile, deadline, waited } = ask;
        let tier = profile.tier;
        let limit = self.tiers.get(usize::from(tier.0)).ok_or(RefuseReason::ServiceGone)?;
        let budget = limit.wait.saturating_sub(waited);
        if self.is_below_shed_request(now.before(waited), tier) {
            return Err(RefuseReason::ShedBelow);
        }
        if !self.has_usable_target() {
            return Err(RefuseReason::NoTarget);
        }
        // Held in line until then, its caller would be told the same at its end.
        let latest = deadline.min(now + budget);
        if self.back_off_end(now).is_some_and(|until| until >= latest) || self.has_no_limit_share()
        {
            return Err(RefuseReason::HeldOff);
        }
        let need = self.tokens_needed(&profile);
        if self.targets.values().all(|target| target.rule().tokens.0 < need.0) {
            return Err(RefuseReason::TooLarge);
        }
        let speed_known = self.usable().any(TargetModel::is_speed_known);
        let work = if speed_known { self.expected_service(now, &profile) } else { Duration::ZERO };
        let left = deadline.since(now);
        if work > left {
            return Err(RefuseReason::DeadlineUnreachable);
        }
        let wait =
            self.wait_behind(now, tier, self.queue.work_ahead_of(tier, profile.organisation));
        // How long limits take is known from the limits alone. Granted at the end of its time, a request would use up what
        // the target takes and never be sent.
        let is_limited = self.rate_limited_wait(now, tier).is_some();
        let work = if is_limited { work.max(MIN_LIMITED_WORK) } else { work };
        if (speed_known || is_limited) && (wait > budget || wait + work > left) {
            let first_in_line = self.queue.work_ahead_of(tier, profile.organisation).is_zero();
            let unreachable = first_in_line && wait + work > left && wait <= budget;
            return Err(if unreachable {
                RefuseReason::DeadlineUnreachable
            } else {
                RefuseReason::Shed
            });
        }
        let latest_start = deadline.before(work).min(now + budget);
        let ticket = QueueTicket {
            tier: if self.switches.tier_order { tier } else { TierRank(0) },
            organisation: profile.organisation,
            weight: self.weights.get(&profile.organisation).copied().unwrap_or(ShareWeight(1)),
            deadline,
            cost: need,
            work,
        };
        let place = self.queue.push(key.clone(), &ticket);
        self.by_latest_start.insert((latest_start, key.clone()));
        self.waiting.insert(key, WaitingAsk { profile, place, latest_start, deadline });
        Ok(())
    }

    /// Returns whether a request of a higher tier was shed here after one of `tier` arrived, which
    /// may have waited at another scope meanwhile: served now, it would have gone before its better.
    fn is_below_shed_request(&self, arrived: Moment, tier: TierRank) -> bool {
        self.last_shed.range(..tier).any(|(_, shed)| *shed > arrived)
    }

    /// Sheds the last in order while too many wait.
    fn shed_overflow(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        while self.waiting.len() > WAITING_LIMIT {
            let Some((key, _)) = self.queue.last() else {
                return;
            };
            self.remove_waiting(&key);
            self.refuse_one(now, key, RefuseReason::Shed, rng, verdicts);
        }
    }

    /// Refuses `key`. When it is shed for load, everything that waits in lower tiers is shed with
    /// it: otherwise a caller would see urgent work refused while routine work is served after it.
    fn refuse(
        &mut self,
        now: Moment,
        key: AskKey,
        (reason, tier): (RefuseReason, TierRank),
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        self.refuse_one(now, key, reason, rng, verdicts);
        if reason == RefuseReason::Shed && self.switches.shed_below_first {
            self.last_shed.insert(tier, now);
            for below in self.queue.below(tier) {
                self.remove_waiting(&below);
                self.refuse_one(now, below, RefuseReason::ShedBelow, rng, verdicts);
            }
        }
    }

    fn refuse_one(
        &mut self,
        now: Moment,
        key: AskKey,
        reason: RefuseReason,
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        let slots: u32 = self.usable().map(|target| target.rule().slots).sum();
        let backlog = self.expected_wait(now, TierRank(u8::MAX));
        let work = self.held.mean_remaining(now) / slots.max(1);
        let mut retry = self.promise.next(now, backlog, work, rng);
        if reason == RefuseReason::HeldOff {
            let held = self.back_off_end(now).map_or(Duration::ZERO, |until| until.since(now));
            retry = retry.max(held);
        }
        verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Refuse(reason, retry) });
    }

    /// Tells which limits targets have named, and the part of them that may be granted here; nothing where another arbiter
    /// has them whole.
    pub fn set_limits(&mut self, now: Moment, limits: &LimitBook, part: Option<f64>) {
        for (key, target) in &mut self.targets {
            match limits.rate(*key) {
                Some(rate) => {
                    target.limit_mut().set(now, part.map(|part| part * rate.per_second()));
                }
                None => *target.limit_mut() = TargetLimit::None,
            }
        }
    }

    /// Whether all targets have named limits of which another arbiter has all.
    fn has_no_limit_share(&self) -> bool {
        self.usable().all(|target| *target.limit() == TargetLimit::Elsewhere)
    }

    /// The time until those that wait in `tier` and before it are granted, where all targets have named limits.
    fn rate_limited_wait(&self, now: Moment, tier: TierRank) -> Option<Duration> {
        let is_limited = self.usable().all(|target| *target.limit() != TargetLimit::None);
        if !is_limited || !self.has_usable_target() {
            return None;
        }
        let ahead = self.waiting.values().filter(|ask| ask.profile.tier <= tier).count();
        let first = self.back_off_end(now).map_or(Duration::ZERO, |until| until.since(now));
        Some(first + limit_part::time_for(ahead, self.usable().map(TargetModel::limit)))
    }

    /// Returns when the first of the targets wants work again, where all that stay want none.
    fn back_off_end(&self, now: Moment) -> Option<Moment> {
        let held = self.usable().map(|target| Some(target.held_until(now)).filter(|at| *at > now));
        held.collect::<Option<Vec<Moment>>>()?.into_iter().min()
    }

    /// Takes an ask back: its caller has gone, or it asks elsewhere.
    pub fn withdraw(&mut self, now: Moment, key: &AskKey, verdicts: &mut Vec<ArbiterVerdict>) {
        self.remove_waiting(key);
        if let Some(slot) = self.held.take(key) {
            self.free_slot(now, &slot);
        }
        self.grant_waiting(now, verdicts);
    }

    /// Takes a slot back and learns from what was observed.
    pub fn release(
        &mut self,
        now: Moment,
        vm: &VmName,
        message: &ReleaseMessage,
        verdicts: &mut Vec<ArbiterVerdict>,
        notices: &mut Vec<Notice>,
    ) {
        let key = AskKey { vm: vm.clone(), ask: message.ask };
        let Some(slot) = self.held.take(&key) else {
            return;
        };
        self.free_slot(now, &slot);
        if let Some(target) = self.targets.get_mut(&slot.target) {
            let name = target.rule().name.clone();
            match message.outcome {
                ReleaseOutcome::Completed => {
                    let first = Duration::from_millis(u64::from(message.first_piece_ms));
                    let total = Duration::from_millis(u64::from(message.total_ms));
                    target.note_answer();
                    let own = first.saturating_sub(slot.backlog);
                    target.learn(slot.prompt, message.output, own, total - first.min(total) + own);
                    self.output.learn(slot.output_limit, message.output);
                }
                ReleaseOutcome::ConnectFailed => {
                    if target.note_failure(now) {
                        notices.push(Notice::TargetSuspect(name));
                    }
                }
                ReleaseOutcome::TargetLeaving => {
                    if target.handle(TargetEvent::Leaving) {
                        notices.push(Notice::TargetLeaving(name));
                    }
                }
                ReleaseOutcome::HeldOff(span_ms) => {
                    target.hold_off(now, Duration::from_millis(u64::from(span_ms)));
                }
                ReleaseOutcome::Failed => target.note_reached(),
                ReleaseOutcome::Unused => {}
            }
        }
        self.grant_waiting(now, verdicts);
    }

    /// Notes a slot that is in use although this arbiter did not grant it.
    pub fn record_held_slot(
        &mut self,
        now: Moment,
        key: AskKey,
        target: TargetKey,
        profile: &AskProfile,
        running: Duration,
    ) {
        if self.held.contains(&key) || !self.targets.contains_key(&target) {
            return;
        }
        self.remove_waiting(&key);
        let started = now.before(running);
        self.hold(now, started, key, target, profile);
    }

    /// Takes a target's load report.
    pub fn record_report(
        &mut self,
        now: Moment,
        target: TargetKey,
        report: &LoadReport,
        notices: &mut Vec<Notice>,
    ) {
        let Some(model) = self.targets.get_mut(&target) else {
            return;
        };
        model.note_report(now, report);
        model.note_answer();
        self.hints.note(now, target, &report.cached);
        if report.leaving && self.switches.leaving_respected {
            self.note_leaving(target, true, notices);
        }
    }

    /// Notes that a target leaves, or that it stays after all.
    pub fn note_leaving(&mut self, target: TargetKey, leaving: bool, notices: &mut Vec<Notice>) {
        let Some(model) = self.targets.get_mut(&target) else {
            return;
        };
        let event = if leaving { TargetEvent::Leaving } else { TargetEvent::Stayed };
        if model.handle(event) && leaving {
            notices.push(Notice::TargetLeaving(model.rule().name.clone()));
        }
    }

    /// Forgets everything that a VM asked for or held: it died, or started anew.
    pub fn remove_vm(&mut self, now: Moment, vm: &VmName, verdicts: &mut Vec<ArbiterVerdict>) {
        let waiting: Vec<AskKey> =
            self.waiting.keys().filter(|key| key.vm == *vm).cloned().collect();
        for key in waiting {
            self.remove_waiting(&key);
        }
        for key in self.held.of_vm(vm) {
            if let Some(slot) = self.held.take(&key) {
                self.free_slot(now, &slot);
            }
        }
        self.grant_waiting(now, verdicts);
    }

    /// Returns every waiting request and empties the line, for a new arbiter to take.
    pub fn drain_waiting(&mut self) -> Vec<AskKey> {
        let keys: Vec<AskKey> = self.waiting.keys().cloned().collect();
        for key in &keys {
            self.remove_waiting(key);
        }
        keys
    }

    /// Does what has fallen due: sheds requests that can no longer be served in time, takes back
    /// orphaned slots, and grants what can be granted.
    pub fn advance(&mut self, now: Moment, rng: &mut impl Rng, verdicts: &mut Vec<ArbiterVerdict>) {
        self.grant_waiting(now, verdicts);
        while let Some((latest_start, key)) = self.by_latest_start.first().cloned() {
            if latest_start >= now {
                break;
            }
            let tier = self.waiting.get(&key).map_or(TierRank(0), |ask| ask.profile.tier);
            self.remove_waiting(&key);
            self.refuse(now, key, (RefuseReason::Shed, tier), rng, verdicts);
        }
        self.reclaim_orphans(now);
        self.grant_waiting(now, verdicts);
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
        let room = backlog.map(|backlog| now + (backlog - BACKLOG_LIMIT));
        [expiry, start, pause, room].into_iter().flatten().min()
    }

    /// Returns the scope's load, or nothing while it is idle and whole.
    pub fn load(&self, now: Moment) -> Option<ScopeLoad> {
        let usable = self.has_usable_target();
        let ranks = 0..self.tiers.len() as u8;
        let waits_ms: Vec<u32> =
            ranks.map(|rank| util::millis(self.expected_wait(now, TierRank(rank)))).collect();
        let idle = usable && waits_ms.iter().all(|wait| *wait == 0);
        (!idle).then_some(ScopeLoad { scope: self.scope, usable, waits_ms })
    }

    /// Returns the time a new request of `tier` would wait: zero when a slot is free for it, or
    /// else the expected time to the next free slot and then the work ahead spread over all slots.
    pub fn expected_wait(&self, now: Moment, tier: TierRank) -> Duration {
        self.wait_behind(now, tier, self.queue.work_ahead(tier))
    }

    fn wait_behind(&self, now: Moment, tier: TierRank, ahead: Duration) -> Duration {
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

    pub(crate) fn usable(&self) -> impl Iterator<Item = &TargetModel> {
        self.targets.values().filter(|target| target.is_usable())
    }

    pub(crate) fn fill_of(&self, tier: TierRank) -> f64 {
        self.tiers.get(usize::from(tier.0)).map_or(1.0, |limit| limit.fill)
    }

    fn free_slot(&mut self, now: Moment, slot: &HeldSlot) {
        if let Some(target) = self.targets.get_mut(&slot.target) {
            target.release(now, slot.tokens);
        }
    }

    fn reclaim_orphans(&mut self, now: Moment) {
        for slot in self.held.take_orphans(now) {
            self.free_slot(now, &slot);
        }
    }

    fn remove_waiting(&mut self, key: &AskKey) {
        let Some(ask) = self.waiting.remove(key) else {
            return;
        };
        self.queue.remove(ask.place);
        self.by_latest_start.remove(&(ask.latest_start, key.clone()));
    }
}
