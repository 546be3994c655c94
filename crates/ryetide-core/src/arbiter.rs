//! The arbiter of a scope, which queues requests and grants them slots at the scope's targets.
//!
//! A scope is one service's targets in one data centre. The entry VM that rendezvous hashing
//! selects runs the arbiter for all VMs; a VM that cannot reach it runs its own over a conservative
//! share. Either way this is soft state: an arbiter that has stale data, was just started or runs
//! beside a second one makes scheduling worse but not unsafe, because only the entry VM that holds
//! a caller's connection dispatches the request, and at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;

use crate::{
    affinity::PrefixHints,
    catalog::{ServiceCatalog, ServiceKind, TierRule},
    chart::TargetEvent,
    effect::OperatorNotice,
    event::LoadReport,
    ids::{OrganisationKey, ScopeKey, TargetKey, VmName},
    limit_share::LimitShare,
    message::{RefuseReason, ReleaseMessage, ReleaseOutcome, RequestProfile},
    output_estimate::OutputEstimate,
    queue::{FairQueue, QueuePosition, QueueTicket},
    retry_planner::RetryPlanner,
    safeguard::SafeguardSwitches,
    slot_ledger::{HeldSlot, SlotLedger},
    slot_request::{ArbiterVerdict, RequestKey, SlotRequest, VerdictKind},
    target_estimate::TargetEstimate,
    target_limit::LimitTable,
    units::{Moment, ShareWeight, TierRank},
};

/// The longest prefill backlog of an engine at which it is granted another request, for all but the
/// most urgent tier.
pub(crate) const BACKLOG_LIMIT: Duration = Duration::from_millis(100);
/// The least service time that is assumed for a request that waits for rate-limited targets.
const MIN_LIMITED_WORK: Duration = Duration::from_millis(150);
/// The maximum number of requests that wait at one arbiter; beyond it, the last one in the queue is
/// shed.
const WAITING_LIMIT: usize = 8_192;

/// A slot request that waits in the queue.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) profile: RequestProfile,
    pub(crate) position: QueuePosition,
    /// The request is shed if it has no slot by then.
    pub(crate) latest_start: Moment,
    pub(crate) deadline: Moment,
}

/// The settings of a tier that an arbiter uses.
#[derive(Clone, Debug)]
struct TierLimit {
    /// How long a request of the tier may wait.
    wait: Duration,
    /// The fraction of each target's slots that the tier may fill.
    fill: f64,
}

/// Queues the slot requests of one scope and grants them slots.
#[derive(Debug)]
pub struct ScopeArbiter {
    scope: ScopeKey,
    switches: SafeguardSwitches,
    tiers: Vec<TierLimit>,
    weights: BTreeMap<OrganisationKey, ShareWeight>,
    pub(crate) targets: BTreeMap<TargetKey, TargetEstimate>,
    pub(crate) waiting: BTreeMap<RequestKey, QueuedRequest>,
    /// The waiting requests by their latest start, to find those that must be shed.
    pub(crate) by_latest_start: BTreeSet<(Moment, RequestKey)>,
    pub(crate) queue: FairQueue<RequestKey>,
    pub(crate) held: SlotLedger,
    pub(crate) hints: PrefixHints,
    pub(crate) output: OutputEstimate,
    /// The share of each target that this arbiter may grant, from 0 to 1.
    pub(crate) share: f64,
    /// Nothing is granted before this time.
    pub(crate) grant_from: Moment,
    retry_promise: RetryPlanner,
    /// When a request of each tier was last shed because of load.
    last_shed: BTreeMap<TierRank, Moment>,
}

impl ScopeArbiter {
    /// Creates an arbiter that may grant `share` (0 to 1) of each of the scope's targets.
    ///
    /// It grants nothing before `grant_from`: an arbiter that takes over a scope must first receive
    /// the peers' reports of the slots in use.
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
            output: OutputEstimate::default(),
            share,
            grant_from,
            retry_promise: RetryPlanner::new(grant_from),
            last_shed: BTreeMap::new(),
        };
        arbiter.configure(catalog);
        arbiter
    }

    /// Applies a changed configuration. Waiting requests and granted slots are kept.
    pub fn configure(&mut self, catalog: &ServiceCatalog) {
        let limit = |tier: &TierRule| TierLimit { wait: tier.wait, fill: tier.fill };
        self.tiers = catalog.tiers().iter().map(limit).collect();
        let organisations = catalog.organisations().iter();
        self.weights = organisations.map(|(key, rule)| (*key, rule.share)).collect();
        // A service that is gone has no targets, whatever its kind.
        let service = catalog.service(self.scope.service);
        let kind = service.map_or(ServiceKind::Plain, |service| service.kind);
        let mut targets = BTreeMap::new();
        for rule in catalog.targets_of(self.scope) {
            let key = TargetKey::of(&rule.name);
            let known = self.targets.remove(&key);
            let mut model = known.unwrap_or_else(|| TargetEstimate::new(kind, rule.clone()));
            model.set_rule(kind, rule.clone());
            targets.insert(key, model);
        }
        for removed in self.targets.keys() {
            self.hints.remove_target(*removed);
        }
        self.targets = targets;
    }

    /// Returns the scope.
    pub fn scope(&self) -> ScopeKey {
        self.scope
    }

    /// Returns whether any target can be granted, now or after a pause.
    pub fn has_usable_target(&self) -> bool {
        self.targets.values().any(TargetEstimate::is_usable)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the estimates of the scope's targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEstimate> {
        self.targets.values()
    }

    /// Sets the share (0 to 1) of each target that this arbiter may grant.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Handles a slot request: grants it, queues it, or refuses it at once if it cannot be served.
    pub fn request_slot(
        &mut self,
        now: Moment,
        request: SlotRequest,
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        if self.waiting.contains_key(&request.key) || self.held.contains(&request.key) {
            return;
        }
        let (key, tier) = (request.key.clone(), request.profile.tier);
        if let Err(reason) = self.enqueue(now, request) {
            self.refuse(now, key, (reason, tier), rng, verdicts);
            return;
        }
        self.shed_overflow(now, rng, verdicts);
        self.grant_waiting(now, verdicts);
        if self.waiting.contains_key(&key) {
            verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Queued });
        }
    }

    /// Queues a slot request unless it is certain that it cannot be served in time.
    fn enqueue(&mut self, now: Moment, request: SlotRequest) -> Result<(), RefuseReason> {
        let SlotRequest { key, profile, deadline, waited } = request;
        let tier = profile.tier;
        let limit = self.tiers.get(usize::from(tier.0)).ok_or(RefuseReason::ServiceGone)?;
        let budget = limit.wait.saturating_sub(waited);
        if self.is_below_shed_request(now.before(waited), tier) {
            return Err(RefuseReason::ShedBelow);
        }
        if !self.has_usable_target() {
            return Err(RefuseReason::NoTarget);
        }
        // No target accepts work before the permitted wait is over, so the request would only be
        // refused later.
        let latest = deadline.min(now + budget);
        if self.backed_off_until(now).is_some_and(|until| until >= latest)
            || self.has_no_limit_share()
        {
            return Err(RefuseReason::HeldOff);
        }
        let need = self.tokens_needed(&profile);
        if self.targets.values().all(|target| target.rule().tokens.0 < need.0) {
            return Err(RefuseReason::TooLarge);
        }
        let speed_known = self.usable().any(TargetEstimate::is_speed_known);
        let work = if speed_known { self.expected_service(now, &profile) } else { Duration::ZERO };
        let left = deadline.since(now);
        if work > left {
            return Err(RefuseReason::DeadlineUnreachable);
        }
        let wait =
            self.wait_behind(now, tier, self.queue.work_ahead_of(tier, profile.organisation));
        // The wait for rate-limited targets follows from their limits, even if no speed is known.
        // A request granted at the very end of its time would use up a request of the limit without
        // being sent, so it needs a minimum of time for its work.
        let is_limited = self.rate_limited_wait(now, tier).is_some();
        let work = if is_limited { work.max(MIN_LIMITED_WORK) } else { work };
        if (speed_known || is_limited) && (wait > budget || wait + work > left) {
            let is_next = self.queue.work_ahead_of(tier, profile.organisation).is_zero();
            let unreachable = is_next && wait + work > left && wait <= budget;
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
        let position = self.queue.push(key.clone(), &ticket);
        self.by_latest_start.insert((latest_start, key.clone()));
        self.waiting.insert(key, QueuedRequest { profile, position, latest_start, deadline });
        Ok(())
    }

    /// Returns whether a request of a higher tier was shed here after a request of `tier` arrived
    /// at its entry VM at `arrived`. The latter may have waited at another scope meanwhile; if it
    /// were granted now, a lower tier would be served although a higher one was refused.
    fn is_below_shed_request(&self, arrived: Moment, tier: TierRank) -> bool {
        self.last_shed.range(..tier).any(|(_, shed)| *shed > arrived)
    }

    /// Sheds requests from the end of the queue while too many wait.
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

    /// Refuses the request `key`. If it is shed because of load, all waiting requests of lower
    /// tiers are shed too; otherwise urgent work would be refused while less urgent work is served
    /// later.
    fn refuse(
        &mut self,
        now: Moment,
        key: RequestKey,
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

    /// Refuses the request `key` with a retry delay.
    fn refuse_one(
        &mut self,
        now: Moment,
        key: RequestKey,
        reason: RefuseReason,
        rng: &mut impl Rng,
        verdicts: &mut Vec<ArbiterVerdict>,
    ) {
        let slots: u32 = self.usable().map(|target| target.rule().slots).sum();
        let backlog = self.expected_wait(now, TierRank(u8::MAX));
        let work = self.held.mean_remaining(now) / slots.max(1);
        let mut retry = self.retry_promise.next(now, backlog, work, rng);
        if reason == RefuseReason::HeldOff {
            let back_off =
                self.backed_off_until(now).map_or(Duration::ZERO, |until| until.since(now));
            retry = retry.max(back_off);
        }
        verdicts.push(ArbiterVerdict { key, kind: VerdictKind::Refuse(reason, retry) });
    }

    /// Sets the rate limits that targets announced, and the share (0 to 1) of them that this
    /// arbiter may grant, which is `None` if another arbiter grants all of them.
    pub fn set_limits(&mut self, now: Moment, limits: &LimitTable, share: Option<f64>) {
        for (key, target) in &mut self.targets {
            match limits.rate(*key) {
                Some(rate) => {
                    target.limit_mut().set(now, share.map(|share| share * rate.per_second()));
                }
                None => *target.limit_mut() = LimitShare::Unlimited,
            }
        }
    }

    /// Withdraws a slot request, and frees the slot if one was granted. The request no longer needs
    /// it because its caller is gone or it has asked another arbiter.
    pub fn withdraw(&mut self, now: Moment, key: &RequestKey, verdicts: &mut Vec<ArbiterVerdict>) {
        self.remove_waiting(key);
        if let Some(slot) = self.held.take(key) {
            self.release_at_target(now, &slot);
        }
        self.grant_waiting(now, verdicts);
    }

    /// Frees a slot that an entry VM returns, and updates the target's estimates and state with the
    /// reported outcome.
    pub fn release(
        &mut self,
        now: Moment,
        vm: &VmName,
        message: &ReleaseMessage,
        verdicts: &mut Vec<ArbiterVerdict>,
        notices: &mut Vec<OperatorNotice>,
    ) {
        let key = RequestKey { vm: vm.clone(), ask: message.ask };
        let Some(slot) = self.held.take(&key) else {
            return;
        };
        self.release_at_target(now, &slot);
        if let Some(target) = self.targets.get_mut(&slot.target) {
            let name = target.rule().name.clone();
            match message.outcome {
                ReleaseOutcome::Completed => {
                    let first = Duration::from_millis(u64::from(message.first_piece_ms));
                    let total = Duration::from_millis(u64::from(message.total_ms));
                    target.record_answer();
                    // The time to the first piece, without the wait for earlier prompts.
                    let prefill = first.saturating_sub(slot.backlog);
                    target.record_completion(
                        slot.prompt,
                        message.output,
                        prefill,
                        total - first.min(total) + prefill,
                    );
                    target.record_prefill_done(now, slot.granted_prompts);
                    self.output.learn(slot.output_limit, message.output);
                }
                ReleaseOutcome::ConnectFailed => {
                    if target.record_failure(now) {
                        notices.push(OperatorNotice::TargetSuspect(name));
                    }
                }
                ReleaseOutcome::TargetLeaving => {
                    if target.handle(TargetEvent::Leaving) {
                        notices.push(OperatorNotice::TargetLeaving(name));
                    }
                }
                ReleaseOutcome::HeldOff(span_ms) => {
                    target.back_off(now, Duration::from_millis(u64::from(span_ms)));
                }
                ReleaseOutcome::Failed => target.record_reached(),
                ReleaseOutcome::Unused => {}
            }
        }
        self.grant_waiting(now, verdicts);
    }

    /// Records a slot that is in use although this arbiter did not grant it.
    pub fn record_held_slot(
        &mut self,
        now: Moment,
        key: RequestKey,
        target: TargetKey,
        profile: &RequestProfile,
        running: Duration,
    ) {
        if self.held.contains(&key) || !self.targets.contains_key(&target) {
            return;
        }
        self.remove_waiting(&key);
        let started = now.before(running);
        self.reserve_slot(now, started, key, target, profile);
    }

    /// Records a target's load report.
    pub fn record_report(
        &mut self,
        now: Moment,
        target: TargetKey,
        report: &LoadReport,
        notices: &mut Vec<OperatorNotice>,
    ) {
        let Some(model) = self.targets.get_mut(&target) else {
            return;
        };
        model.record_report(now, report);
        model.record_answer();
        self.hints.record(now, target, &report.cached);
        if report.leaving && self.switches.leaving_respected {
            self.set_leaving(target, true, notices);
        }
    }

    /// Sets whether a target is leaving.
    pub fn set_leaving(
        &mut self,
        target: TargetKey,
        leaving: bool,
        notices: &mut Vec<OperatorNotice>,
    ) {
        let Some(model) = self.targets.get_mut(&target) else {
            return;
        };
        let event = if leaving { TargetEvent::Leaving } else { TargetEvent::Stayed };
        if model.handle(event) && leaving {
            notices.push(OperatorNotice::TargetLeaving(model.rule().name.clone()));
        }
    }

    /// Removes all waiting requests and slots of a VM that died or restarted.
    pub fn remove_vm(&mut self, now: Moment, vm: &VmName, verdicts: &mut Vec<ArbiterVerdict>) {
        let waiting: Vec<RequestKey> =
            self.waiting.keys().filter(|key| key.vm == *vm).cloned().collect();
        for key in waiting {
            self.remove_waiting(&key);
        }
        for key in self.held.of_vm(vm) {
            if let Some(slot) = self.held.take(&key) {
                self.release_at_target(now, &slot);
            }
        }
        self.grant_waiting(now, verdicts);
    }

    /// Empties the queue and returns all waiting requests, so that they can ask the new arbiter.
    pub fn drain_waiting(&mut self) -> Vec<RequestKey> {
        let keys: Vec<RequestKey> = self.waiting.keys().cloned().collect();
        for key in &keys {
            self.remove_waiting(key);
        }
        keys
    }

    /// Sheds requests that can no longer be served in time, reclaims orphaned slots, and grants all
    /// requests that can be granted.
    pub fn advance(&mut self, now: Moment, rng: &mut impl Rng, verdicts: &mut Vec<ArbiterVerdict>) {
        self.grant_waiting(now, verdicts);
        while let Some((latest_start, key)) = self.by_latest_start.first().cloned() {
            if latest_start >= now {
                break;
            }
            let tier = self.waiting.get(&key).map_or(TierRank(0), |request| request.profile.tier);
            self.remove_waiting(&key);
            self.refuse(now, key, (RefuseReason::Shed, tier), rng, verdicts);
        }
        self.reclaim_orphans(now);
        self.grant_waiting(now, verdicts);
    }

    /// Returns the targets that can be granted, now or after a pause.
    pub(crate) fn usable(&self) -> impl Iterator<Item = &TargetEstimate> {
        self.targets.values().filter(|target| target.is_usable())
    }

    /// Returns the ranks of all tiers, the most urgent first.
    pub(crate) fn tier_ranks(&self) -> impl Iterator<Item = TierRank> {
        (0..self.tiers.len() as u8).map(TierRank)
    }

    /// Returns the fraction of each target's slots that `tier` may fill.
    pub(crate) fn fill_of(&self, tier: TierRank) -> f64 {
        self.tiers.get(usize::from(tier.0)).map_or(1.0, |limit| limit.fill)
    }

    /// Frees a slot at its target.
    fn release_at_target(&mut self, now: Moment, slot: &HeldSlot) {
        if let Some(target) = self.targets.get_mut(&slot.target) {
            target.release(now, slot.tokens);
        }
    }

    /// Frees the slots whose end should have been reported long ago.
    fn reclaim_orphans(&mut self, now: Moment) {
        for slot in self.held.take_orphans(now) {
            self.release_at_target(now, &slot);
        }
    }

    /// Removes a request from the queue without a verdict.
    fn remove_waiting(&mut self, key: &RequestKey) {
        let Some(request) = self.waiting.remove(key) else {
            return;
        };
        self.queue.remove(request.position);
        self.by_latest_start.remove(&(request.latest_start, key.clone()));
    }
}
