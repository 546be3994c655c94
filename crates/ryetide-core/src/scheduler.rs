//! Assigns waiting requests to targets, or refuses them with a retry delay.
//!
//! Every entry VM runs one [`Scheduler`] over all targets. A scheduler counts the requests that its
//! own VM has sent, adds the counts that peers report in their digests, and decides alone: no
//! request waits for an answer from another VM, and none is lost when a VM fails. Two VMs that
//! decide at the same moment may assign the same slot twice; the second request then waits a few
//! milliseconds at the engine.
//!
//! Like the rest of this crate, the scheduler opens no socket and reads no clock: the driver
//! reports events to it and takes its [`Decision`]s.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    brittle_services::BrittleServices,
    cell_plan::{CellMember, CellPlan},
    crash_ledger::{CrashLedger, CrashedRun, QuarantineStatus},
    crash_suspect::RequestFeatures,
    decision::{Decision, PlacementEvidence, RefusalReason, RunEnd},
    digest_route::DigestRouter,
    digest_timing::DigestTiming,
    digest_tracker::DigestTracker,
    ids::{OrganisationKey, RequestSequence, ServiceName, TargetKey, VmName},
    load_digest::FleetState,
    peer_digests::{FeedLag, PeerDigests},
    queue_view::{QueueAction, QueueView, ServiceQueue, SlotSharing, UsedTargets},
    quota::QuotaCharge,
    quota_allocator::{QuotaAllocator, QuotaReply, QuotaRequest, QuotaWaitResult},
    quota_returns::QuotaReturns,
    retry_budget::RetryBudget,
    retry_delay::RetryDelay,
    rollout_manager::{RolloutManager, TargetUse},
    scheduler_brittle,
    scheduler_options::SchedulerOptions,
    scheduler_overflow::OverflowState,
    scheduler_returns,
    scheduler_shares::ShareReporter,
    slot_turn::UrgencyClass,
    target_ejection::RunOutcome,
    target_limit::LimitTable,
    target_load::{TargetEntry, TargetLoad},
    units::Moment,
    wait_queue::WaitingRequest,
    watcher_selection::WatchOrder,
};

/// How often the queues are examined while requests wait. The interval is well below the shortest
/// objective, and below the turn that a VM has at a slot that has become free.
const QUEUE_INTERVAL: Duration = Duration::from_millis(5);
/// Weight of a new observation in the mean time that requests occupy a slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Schedules the requests of one entry VM onto targets that all entry VMs share.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) retry_delay: RetryDelay,
    pub(crate) services: BTreeMap<ServiceName, ServiceQueue>,
    pub(crate) targets: BTreeMap<TargetKey, TargetLoad>,
    pub(crate) runs: HashMap<RequestSequence, PlacedRun>,
    pub(crate) peers: PeerDigests,
    /// The targets that each peer's last digest listed.
    pub(crate) reported_targets: HashMap<VmName, BTreeSet<TargetKey>>,
    pub(crate) quotas: QuotaAllocator,
    quota_results: Vec<QuotaWaitResult>,
    pub(crate) retry_budget: RetryBudget,
    /// The requests for which a retry is reserved, with their services.
    pub(crate) reserved_retries: HashMap<RequestSequence, ServiceName>,
    pub(crate) crashes: CrashLedger,
    pub(crate) limits: LimitTable,
    /// When the shares of target limits were last computed; `None` when they must be recomputed.
    pub(crate) shares_updated_at: Option<Moment>,
    /// Until when a changed limit must reach peers soon.
    pub(crate) limits_urgent_until: Moment,
    /// Whether this VM is shutting down.
    pub(crate) leaving: bool,
    pub(crate) rollouts: RolloutManager,
    pub(crate) digest_tracker: DigestTracker,
    pub(crate) digest_timing: DigestTiming,
    pub(crate) route: DigestRouter,
    decisions: Vec<Decision>,
    pub(crate) changed: bool,
    pub(crate) plan: CellPlan,
    watch_order: WatchOrder,
    /// Number of VMs that use the same targets, including this one.
    pub(crate) cell_size: u32,
    pub(crate) overflow: OverflowState,
    pub(crate) share_reporter: ShareReporter,
    pub(crate) quota_returns: QuotaReturns,
    /// Runs at each target without an answer, until it is known why.
    pub(crate) unsettled: BTreeMap<TargetKey, Vec<RunOutcome>>,
    pub(crate) brittle: BrittleServices,
    pub(crate) slot_shares_updated_at: Moment,
}

#[derive(Clone, Debug)]
pub(crate) struct PlacedRun {
    pub(crate) service: ServiceName,
    pub(crate) target: TargetKey,
    pub(crate) since: Moment,
    pub(crate) last_event: Option<Moment>,
    /// The expected time from sending to the first event.
    pub(crate) expected_first: Duration,
    /// Whether the request was sent to an ejected target.
    pub(crate) is_probe: bool,
    pub(crate) organisation: OrganisationKey,
    pub(crate) engine: bool,
    /// The estimated time in which the target reads the prompt.
    pub(crate) reading: Duration,
    class: UrgencyClass,
}

impl Scheduler {
    /// Creates a scheduler that knows no targets and no peers.
    pub fn new(options: SchedulerOptions) -> Self {
        let plan = CellPlan::new(&options.member(), &[], &[]);
        Self {
            retry_delay: RetryDelay::new(options.seed),
            route: DigestRouter::new(options.seed),
            retry_budget: RetryBudget::new(options.retry),
            reserved_retries: HashMap::new(),
            rollouts: RolloutManager::new(options.name.clone(), options.rollout),
            options,
            plan,
            services: BTreeMap::new(),
            targets: BTreeMap::new(),
            runs: HashMap::new(),
            peers: PeerDigests::default(),
            reported_targets: HashMap::new(),
            quotas: QuotaAllocator::default(),
            quota_results: Vec::new(),
            crashes: CrashLedger::default(),
            limits: LimitTable::default(),
            shares_updated_at: None,
            limits_urgent_until: Moment::default(),
            leaving: false,
            digest_tracker: DigestTracker::default(),
            digest_timing: DigestTiming::direct(0),
            decisions: Vec::new(),
            changed: false,
            watch_order: WatchOrder::default(),
            cell_size: 1,
            overflow: OverflowState::default(),
            share_reporter: ShareReporter::default(),
            quota_returns: QuotaReturns::default(),
            unsettled: BTreeMap::new(),
            brittle: BrittleServices::default(),
            slot_shares_updated_at: Moment::default(),
        }
    }

    /// Replaces the list of targets. State of targets that stay is kept; requests that run at
    /// removed targets continue.
    pub fn set_targets(&mut self, now: Moment, entries: Vec<TargetEntry>) {
        self.rollouts.take_targets(&entries);
        let mut known = std::mem::take(&mut self.targets);
        for entry in entries {
            let key = entry.key();
            let load = match known.remove(&key) {
                Some(mut load) => {
                    load.set_entry(entry);
                    load
                }
                None => TargetLoad::new(now, entry, &self.options.assumed),
            };
            self.targets.insert(key, load);
        }
        self.unsettled.retain(|target, _| self.targets.contains_key(target));
        self.shares_updated_at = None;
        self.update_used_targets();
        self.plan_cells(now);
        self.advance(now);
    }

    /// Determines the targets that this VM's cell uses, separately for versions on trial.
    pub(crate) fn update_used_targets(&mut self) {
        let mut by_use: BTreeMap<(ServiceName, bool), Vec<&TargetEntry>> = BTreeMap::new();
        for load in self.targets.values() {
            let entry = load.entry();
            let on_trial = match self.rollouts.target_use(entry) {
                TargetUse::Serving => false,
                TargetUse::Trial => true,
                TargetUse::Closed => continue,
            };
            by_use.entry((entry.service.clone(), on_trial)).or_default().push(entry);
        }
        let deal = |entries: &[&TargetEntry]| {
            let keys = self.plan.targets(entries);
            // A cell without targets of its own uses all of them.
            let is_partitioned = self.plan.partitions(entries) && keys.len() < entries.len();
            UsedTargets { keys, is_partitioned }
        };
        let dealt: Vec<((ServiceName, bool), UsedTargets)> =
            by_use.into_iter().map(|(of, entries)| (of, deal(&entries))).collect();
        for state in self.services.values_mut() {
            state.targets = UsedTargets::default();
            state.trial = UsedTargets::default();
        }
        for ((service, on_trial), used) in dealt {
            let state = self.service_state(&service);
            *(if on_trial { &mut state.trial } else { &mut state.targets }) = used;
        }
        self.update_ejections();
        self.shares_updated_at = None;
        self.slot_shares_updated_at = Moment::default();
    }

    /// Recomputes the cells from the reachable VMs and the known targets.
    pub fn plan_cells(&mut self, now: Moment) {
        let entries = self.targets.values().map(TargetLoad::entry);
        let serving = |entry: &&TargetEntry| self.rollouts.target_use(entry) == TargetUse::Serving;
        let targets: Vec<&TargetEntry> = entries.filter(serving).collect();
        let members = self.peers.members(now);
        let plan = CellPlan::new(&self.options.member(), &members, &targets);
        if plan != self.plan {
            self.plan = plan;
            self.update_used_targets();
        }
        let peers = members.iter().filter(|member| self.plan.is_cell_peer(&member.name)).count();
        self.cell_size = u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
    }

    /// Returns the minimum time between two digests of this VM.
    pub fn digest_interval(&self) -> Duration {
        self.digest_timing.interval()
    }

    /// Whether a peer receives this VM's full digests, being in the same cell.
    pub fn is_cell_peer(&self, peer: &VmName) -> bool {
        self.plan.is_cell_peer(peer)
    }

    /// Whether an organisation has little of its quota left, so that peers should soon receive what
    /// it has used here.
    pub fn is_quota_short(&self) -> bool {
        self.quotas.ledger().is_short()
    }

    /// Replaces the list of the other entry VMs.
    pub fn list_peers(&mut self, now: Moment, listed: &[CellMember]) {
        self.peers.list(now, listed);
        self.update_peer_counts(now);
        self.plan_cells(now);
    }

    /// Replaces the order in which VMs take over watching the source of routes and targets.
    pub fn set_watch_order(&mut self, order: WatchOrder) {
        self.watch_order = order;
    }

    /// Charges a request to its organisation's quota, queues it until units are available, or
    /// returns the delay after which its caller should retry.
    pub fn request_quota(&mut self, now: Moment, ask: QuotaRequest) -> QuotaReply {
        self.update_quota_rate(now, &ask);
        match self.quotas.ask(now, ask) {
            QuotaReply::Over(wait) => QuotaReply::Over(self.quota_delay(now, ask.charge, wait)),
            answer => answer,
        }
    }

    /// Returns the results of quota waits that ended since the last call.
    pub fn take_quota_results(&mut self) -> Vec<QuotaWaitResult> {
        std::mem::take(&mut self.quota_results)
    }

    fn advance_quotas(&mut self, now: Moment) {
        for mut verdict in self.quotas.advance(now) {
            let charge = verdict.charge;
            verdict.outcome = verdict.outcome.map_err(|wait| self.quota_delay(now, charge, wait));
            self.quota_results.push(verdict);
        }
    }

    /// Refunds the quota units of a request that did not run.
    pub fn refund(&mut self, charge: QuotaCharge) {
        self.quotas.refund(charge);
    }

    /// Accepts a new request: it is assigned to a target at once, queued, or refused.
    pub fn enter(&mut self, now: Moment, work: WaitingRequest) {
        let (service, ticket) = (work.service.clone(), work.ticket);
        self.retry_budget.record_request(now, &service);
        let class = work.rank(now, Duration::ZERO).class();
        self.service_state(&service).arrivals.record(now, class);
        self.record_overflow_arrival(now, &service);
        self.admit_return(now, &work);
        self.enqueue(now, work);
        self.refuse_if_hopeless(now, &service, ticket);
    }

    pub(crate) fn enqueue(&mut self, now: Moment, work: WaitingRequest) {
        let (service, ticket) = (work.service.clone(), work.ticket);
        self.service_state(&service).queue.push(work);
        self.changed = true;
        self.record_queued_share(now, &service, ticket);
        self.process_queue(now, &service);
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn leave(&mut self, ticket: RequestSequence) -> bool {
        self.quotas.leave(ticket);
        self.release_retry(ticket);
        let queues = self.services.values_mut();
        let left = queues.filter_map(|state| state.queue.remove(ticket)).next().is_some();
        self.changed |= left;
        left
    }

    /// Records an event of a response stream.
    pub fn record_event(&mut self, now: Moment, ticket: RequestSequence) {
        self.charge_event(now, ticket);
        let Some(run) = self.runs.get_mut(&ticket) else { return };
        let last = run.last_event.replace(now);
        let Some(load) = self.targets.get_mut(&run.target) else { return };
        match last {
            None => {
                load.record_first(now, &self.options.assumed, ticket);
                load.refresh(now, &self.options.assumed);
                self.record_probe_answer(now, ticket);
            }
            Some(last) => load.record_event(now, now.since(last)),
        }
    }

    /// Records that an assigned request has ended.
    pub fn end(&mut self, now: Moment, ticket: RequestSequence, end: RunEnd) {
        // Nothing was sent to an unreachable target, so the retry is still to be made.
        if end != RunEnd::Unreachable {
            self.release_retry(ticket);
        }
        let Some(run) = self.runs.remove(&ticket) else { return };
        self.digest_tracker.record_touched(now, run.target);
        self.charge_end(now, &run, end);
        if let Some(load) = self.targets.get_mut(&run.target) {
            load.end(now, ticket, end == RunEnd::Whole);
            match end {
                RunEnd::Whole => load.health_mut().record_success(now),
                RunEnd::Failed | RunEnd::TimedOut => load.health_mut().record_failure(now),
                RunEnd::Unreachable => load.health_mut().record_unreachable(now),
                RunEnd::TurnedAway if load.is_brittle() => {
                    load.health_mut().back_off(now, scheduler_brittle::TURNED_AWAY_BACK_OFF);
                }
                RunEnd::TurnedAway | RunEnd::Abandoned | RunEnd::Unsettled => {}
            }
            load.refresh(now, &self.options.assumed);
        }
        self.record_outcome(now, ticket, &run, end);
        if end == RunEnd::Whole {
            let state = self.service_state(&run.service);
            let taken = now.since(run.since);
            let mean = state.slot_time.unwrap_or(taken).as_secs_f64();
            let moved = mean + (taken.as_secs_f64() - mean) * SLOT_TIME_WEIGHT;
            state.slot_time = Some(Duration::from_secs_f64(moved));
            state.returns.record_run(run.class, taken);
        }
        self.changed = true;
        self.process_queue(now, &run.service);
    }

    /// Processes everything that is due at `now`.
    pub fn advance(&mut self, now: Moment) {
        self.update_peer_counts(now);
        self.advance_quotas(now);
        self.process_queues(now);
    }

    /// Returns when [`Scheduler::advance`] must be called next, or `None` while no request waits.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let waits = self.services.values().any(|state| !state.queue.is_empty());
        let waits = waits || self.quotas.has_waiting();
        waits.then(|| now + QUEUE_INTERVAL)
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether there is anything new to send to peers, and resets the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns which kinds of data are newer at peers than at this VM.
    pub fn feed_lag(&self, now: Moment, news: FleetState) -> FeedLag {
        self.peers.feed_lag(now, news)
    }

    /// Whether this VM must itself watch the source of routes and targets. In a small deployment,
    /// every VM does.
    pub fn must_watch(&self, now: Moment) -> bool {
        let peers = self.peers.watching(now).filter(|peer| self.is_cell_peer(peer));
        !self.plan.is_partitioned() || self.watch_order.is_first(&self.options.name, peers)
    }

    /// Whether this VM forwards changes from the source to others, being among the first of the
    /// watching VMs.
    pub fn is_relay(&self, now: Moment) -> bool {
        let peers = self.peers.watching(now).filter(|peer| self.is_cell_peer(peer));
        self.watch_order.is_first(&self.options.name, peers)
    }

    /// Whether a peer receives routes and targets from other VMs only.
    pub fn relies_on_relays(&self, now: Moment, peer: &VmName) -> bool {
        self.is_cell_peer(peer) && !self.peers.watching(now).any(|vm| vm == peer)
    }

    /// Returns the ledger of requests that were running when targets crashed.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Returns the crash ledger for updates.
    pub fn crashes_mut(&mut self) -> &mut CrashLedger {
        &mut self.crashes
    }

    /// Records that a target asked this VM to send it no requests for `span`.
    pub fn back_off(&mut self, now: Moment, target: TargetKey, span: Duration) {
        if let Some(load) = self.targets.get_mut(&target) {
            load.health_mut().back_off(now, span);
        }
    }

    /// Records the requests of this VM that were running when a target crashed.
    pub fn record_crash(&mut self, now: Moment, target: TargetKey, runs: &[CrashedRun]) {
        self.crashes.record_crash(now, target, runs);
        self.forget_failures(target);
        self.changed = true;
    }

    /// Returns whether a request may be sent to the targets of `service`, given the crashes
    /// attributed to it and to the parts of its prompt.
    pub fn quarantine_status(
        &mut self,
        now: Moment,
        features: &RequestFeatures,
        service: &ServiceName,
    ) -> QuarantineStatus {
        if !self.crashes.is_suspect(features) {
            return QuarantineStatus::Clear;
        }
        let of_service = self.targets.values().filter(|load| load.entry().service == *service);
        self.crashes.quarantine_status(now, features, of_service.count())
    }

    /// Returns the targets, for reports.
    pub fn targets(&self) -> impl Iterator<Item = &TargetLoad> {
        self.targets.values()
    }

    /// Returns the number of peers that have requests running at a target and do not suspect it.
    pub fn reaching_peers(&self, now: Moment, target: TargetKey) -> usize {
        self.targets.get(&target).map_or(0, |load| load.reaching_peers(now))
    }

    /// Returns the number of requests that wait at this VM.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|state| state.queue.len()).sum()
    }

    /// Returns the number of requests that this VM has running at targets.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether a peer is reachable and not shutting down.
    pub fn is_peer_available(&self, now: Moment, peer: &VmName) -> bool {
        self.peers.is_available(now, peer)
    }

    /// Returns whether a peer is reachable, even if it is shutting down.
    pub fn is_peer_reachable(&self, now: Moment, peer: &VmName) -> bool {
        self.peers.is_reachable(now, peer)
    }

    /// Returns the share of the entry VMs that this VM can reach.
    pub fn reachable_share(&self, now: Moment) -> f64 {
        self.peers.reachable_share(now)
    }

    fn service_state(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        self.services.entry(service.clone()).or_insert_with(|| ServiceQueue::new(service))
    }

    pub(crate) fn update_peer_counts(&mut self, now: Moment) {
        self.quotas.ledger_mut().set_reachable_share(self.peers.reachable_share(now));
        self.retry_budget.set_vm_count(now, self.peers.dividing_count(now));
    }

    pub(crate) fn process_queues(&mut self, now: Moment) {
        let waits = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        let names: Vec<ServiceName> = waits.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.process_queue(now, &name);
        }
    }

    /// Makes all decisions about a service's queue that are possible now.
    fn process_queue(&mut self, now: Moment, service: &ServiceName) {
        self.update_limit_shares(now);
        self.refresh_slot_shares(now);
        self.refresh_usage(now, service);
        while let Some(choice) = self.view(now, service).and_then(|view| view.next_action()) {
            match choice {
                QueueAction::Place { ticket, target, evidence } => {
                    self.place(now, service, ticket, target, evidence);
                }
                QueueAction::Refuse { ticket, reason } => {
                    let is_kept = reason == RefusalReason::Overload
                        && self.keep_waiting(now, service, ticket);
                    if !is_kept {
                        self.refuse(now, service, ticket, reason);
                    }
                }
            }
        }
        self.record_share_excess(now, service);
    }

    fn place(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
        target: TargetKey,
        evidence: PlacementEvidence,
    ) {
        let Some(work) = self.service_state(service).queue.remove(ticket) else { return };
        let assumed = self.options.assumed;
        let Some(load) = self.targets.get_mut(&target) else { return };
        load.begin(now, &assumed, ticket, evidence.forecast.to_read);
        self.digest_tracker.record_touched(now, target);
        if let Some(prompt_hash) = work.prompt_hash {
            load.prompt_cache_mut().record(now, prompt_hash, work.prompt);
            self.digest_tracker.record_placement(target, prompt_hash, work.prompt);
        }
        let reading = if work.engine {
            load.estimate().reading_time(evidence.forecast.to_read.0)
        } else {
            Duration::ZERO
        };
        let run = PlacedRun {
            service: service.clone(),
            target,
            since: now,
            last_event: None,
            expected_first: evidence.forecast.first,
            is_probe: false,
            organisation: work.organisation,
            engine: work.engine,
            reading,
            class: scheduler_returns::class_of(&work),
        };
        let target = load.entry().clone();
        self.charge_prompt(now, &run);
        self.runs.insert(ticket, run);
        self.record_probe(now, ticket);
        self.rollouts.record_placed(now, &target);
        self.decisions.push(Decision::Place { ticket, target, evidence });
        self.changed = true;
    }

    fn refuse(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
        reason: RefusalReason,
    ) {
        let waiting = self.services.get(service).map_or(0, |state| state.queue.len());
        let view = self.view(now, service);
        let wait = view.as_ref().map_or(Duration::ZERO, |view| view.expected_wait(None));
        let backed_off_until = view.and_then(|view| view.backed_off_until());
        let held = backed_off_until.map_or(Duration::ZERO, |until| until.since(now));
        let returns = match reason {
            RefusalReason::NoTarget | RefusalReason::HeldOff => None,
            RefusalReason::Overload | RefusalReason::OutOfTime => {
                self.book_return(now, service, ticket, wait)
            }
        };
        self.service_state(service).queue.remove(ticket);
        self.release_retry(ticket);
        self.record_overflow_refusal(now, service, reason);
        let retry_after = match reason {
            RefusalReason::NoTarget => self.retry_delay.without_target(),
            RefusalReason::HeldOff => self.retry_delay.after_back_off(held),
            RefusalReason::Overload | RefusalReason::OutOfTime => {
                returns.map_or_else(|| self.retry_delay.after_queue(wait), |returns| returns.delay)
            }
        };
        let booked_after = returns.and_then(|returns| returns.booked_after);
        let borrowing = self.borrowing(now);
        self.decisions.push(Decision::Refuse {
            ticket,
            reason,
            retry_after,
            waiting,
            booked_after,
            borrowing,
        });
        self.changed = true;
    }

    /// Refuses a request that has just joined a queue in which it cannot be served in time.
    fn refuse_if_hopeless(&mut self, now: Moment, service: &ServiceName, ticket: RequestSequence) {
        let is_hopeless = self.view(now, service).is_some_and(|view| view.is_hopeless(ticket));
        if is_hopeless && !self.keep_waiting(now, service, ticket) {
            self.refuse(now, service, ticket, RefusalReason::Overload);
        }
    }

    /// Returns the current view of a service's queue and targets.
    pub(crate) fn view(&self, now: Moment, service: &ServiceName) -> Option<QueueView<'_>> {
        let state = self.services.get(service)?;
        let sharing =
            SlotSharing { vms: self.cell_size, turn_span: self.digest_timing.propagation_time() };
        let view = QueueView::new(now, state, &self.targets, &self.peers, &self.options, sharing);
        let view = view.without_condemned(self.rollouts.condemned(service));
        let mut view = view.with_granted(self.granted_targets(now, state));
        if self.options.policy.fair_shares.is_on() {
            view = view.with_shares(self.peers.known_count(now));
        }
        if state.trial.keys.is_empty() {
            return Some(view);
        }
        let reachability = self.fleet_reachability(now);
        let trial = self.rollouts.trial_targets(now, service, &reachability, &state.trial.keys);
        Some(view.with_trial(&trial, &self.targets))
    }
}
