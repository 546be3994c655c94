//! Decides what can be done about one service's queue at one moment: which request goes to which
//! target, and which is refused.
//!
//! A [`QueueView`] is read-only. Its rules are made for overload: bursts that the targets cannot
//! start in time, and the loss of a part of the targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    decision::{PlacementEvidence, RefusalReason},
    ids::{RequestSequence, ServiceKey, ServiceName, TargetKey, VersionName, VmName},
    limit_share::{self, LimitShare},
    load_digest::QueueReport,
    organisation_usage::OrganisationUsage,
    peer_digests::{AheadCount, PeerDigests},
    placement::{self, PlacementForecast, PlacementNeed},
    recent_arrivals::{self, RecentArrivals},
    return_schedule::{ReturnSchedule, SlotCapacity},
    scheduler_options::SchedulerOptions,
    share_order::{ShareClaim, ShareOrder},
    slot_turn::{self, FreeSlot, SlotClaimant, UrgencyClass},
    stream_continuation::{ContinuationChoice, ContinuationPlacement, VersionTargets},
    target_ejection::TargetEjection,
    target_load::TargetLoad,
    target_speed::SpeedEstimate,
    units::Moment,
    wait_queue::{QueueRank, QueueStanding, WaitQueue, WaitingRequest},
};

/// Time reserved for a refusal to reach a caller before the caller stops waiting.
const REFUSAL_MARGIN: Duration = Duration::from_millis(150);
/// The round trip to a target of another cell, which may be in another data centre: 2 to 3 ms.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// A request waits for a slot of its own cell rather than borrow one if its first event is expected
/// within this share of the time left until its objective. With a larger share, granted slots stay
/// idle while the queue grows, and later requests are refused; with none, more bytes cross between
/// data centres for waits of a few milliseconds.
const WAIT_SHARE: f64 = 0.25;
/// The longest expected wait for which a late request does not borrow a slot.
const MAX_LATE_WAIT: Duration = Duration::from_millis(100);

/// The share of the slots that requests kept waiting leave free during an overload. A new request
/// then mostly starts at once, and as many are on time as without the kept ones.
const KEPT_RESERVE_SHARE: f64 = 0.04;

/// The number of kept requests for which a target is looked for in one pass over the queue. Most
/// have the same choice, and in a long queue, looking for each would take most of a small VM's
/// processor time.
const MAX_KEPT_CHOICES: u32 = 4;

/// The targets of a service that a VM uses.
#[derive(Clone, Debug, Default)]
pub struct UsedTargets {
    /// The targets.
    pub keys: Vec<TargetKey>,
    /// Whether only the VMs of this VM's cell use these targets.
    pub is_partitioned: bool,
}

/// The queue of a service, its targets, and the observed load.
#[derive(Debug)]
pub struct ServiceQueue {
    /// The service.
    pub key: ServiceKey,
    /// The waiting requests.
    pub queue: WaitQueue,
    /// The targets that this VM uses.
    pub targets: UsedTargets,
    /// Targets of a version on trial, which receive a bounded share of the requests.
    pub trial: UsedTargets,
    /// The mean time that a request occupies a slot; `None` until one was observed.
    pub slot_time: Option<Duration>,
    /// Recent arrivals.
    pub arrivals: RecentArrivals,
    /// Which targets are ejected.
    pub ejection: TargetEjection,
    /// The recent usage of each organisation.
    pub usage: OrganisationUsage,
    /// The places booked for returning callers.
    pub returns: ReturnSchedule,
}

impl ServiceQueue {
    /// Creates the empty queue of a service without observations.
    pub fn new(service: &ServiceName) -> Self {
        Self {
            key: ServiceKey::of(service),
            queue: WaitQueue::default(),
            targets: UsedTargets::default(),
            trial: UsedTargets::default(),
            slot_time: None,
            arrivals: RecentArrivals::default(),
            ejection: TargetEjection::default(),
            usage: OrganisationUsage::default(),
            returns: ReturnSchedule::default(),
        }
    }
}

/// An action that is possible for a waiting request.
#[derive(Clone, Copy, Debug)]
pub enum QueueAction {
    /// Send it to this target.
    Place {
        /// The request.
        ticket: RequestSequence,
        /// The target.
        target: TargetKey,
        /// The figures behind the placement.
        evidence: PlacementEvidence,
    },
    /// Refuse it with a retry delay.
    Refuse {
        /// The request.
        ticket: RequestSequence,
        /// The reason.
        reason: RefusalReason,
    },
}

/// A service's queue and the targets that accept new work, at one moment.
pub struct QueueView<'a> {
    now: Moment,
    state: &'a ServiceQueue,
    usable: Vec<&'a TargetLoad>,
    /// Targets of a version on trial, if one more request may go there.
    trial: Vec<&'a TargetLoad>,
    /// Targets of other cells at which this VM may start one more request.
    granted: Vec<&'a TargetLoad>,
    /// When the first back-off ends, if no target is usable and all targets that are not leaving
    /// have requested back-off.
    backed_off_until: Option<Moment>,
    /// This VM's limits for the targets that are not leaving, if all of them set a limit.
    limits: Option<Vec<LimitShare>>,
    peers: &'a PeerDigests,
    options: &'a SchedulerOptions,
    sharing: SlotSharing,
    /// Ejected targets, while other targets can be reached.
    ejected: Vec<&'a TargetLoad>,
    /// Which requests are above their organisation's share; none while shares are not in effect.
    shares: ShareOrder,
    /// Slots of targets that could not be reached and are tried again.
    paused_slots: u32,
    /// The speed of the usable target that reads prompts fastest. It is looked up once, since the
    /// rank of each request in a long queue depends on it.
    fastest_engine: Option<SpeedEstimate>,
    /// The shortest mean time of a whole answer among the usable targets.
    fastest_answer: Option<Duration>,
    /// All targets, for requests that continue a stream.
    versions: VersionTargets<'a>,
}

/// How the VMs of a cell share the slots of their targets.
#[derive(Clone, Copy, Debug)]
pub struct SlotSharing {
    /// Number of VMs, including this one.
    pub vms: u32,
    /// How long a VM's turn at a freed slot lasts.
    pub turn_span: Duration,
}

impl<'a> QueueView<'a> {
    /// Creates a view of a service's queue.
    pub fn new(
        now: Moment,
        state: &'a ServiceQueue,
        targets: &'a BTreeMap<TargetKey, TargetLoad>,
        peers: &'a PeerDigests,
        options: &'a SchedulerOptions,
        sharing: SlotSharing,
    ) -> Self {
        let loads: Vec<&TargetLoad> =
            state.targets.keys.iter().filter_map(|key| targets.get(key)).collect();
        let (loads, ejected) = without_ejected(&state.ejection, loads);
        let limits = limits_of(&loads);
        let (usable, others): (Vec<_>, Vec<_>) =
            loads.iter().partition(|load| load.accepts_work(now));
        let backed_off_until =
            if usable.is_empty() { first_back_off_end(now, &others) } else { None };
        let estimates = usable.iter().map(|load| *load.estimate());
        let fastest_engine = estimates.min_by_key(|estimate| estimate.prompt_token);
        let fastest_answer = usable.iter().map(|load| load.answer_time()).min();
        let (trial, granted) = (Vec::new(), Vec::new());
        let shares = ShareOrder::default();
        let paused = others.iter().filter(|load| load.health().is_suspect());
        let paused = paused.filter(|load| !load.entry().leaving);
        let paused_slots = paused.map(|load| load.entry().slots).sum();
        Self {
            now,
            state,
            usable,
            trial,
            granted,
            backed_off_until,
            limits,
            peers,
            options,
            sharing,
            ejected,
            shares,
            paused_slots,
            fastest_engine,
            fastest_answer,
            versions: VersionTargets::new(targets),
        }
    }

    /// Lets no request go to this version, which a rollout has taken back.
    pub fn without_condemned(mut self, version: Option<&'a VersionName>) -> Self {
        self.versions = self.versions.without_condemned(version);
        self
    }

    /// Orders requests of the same tier and route rank by their organisations' shares. `vms` is the
    /// number of VMs at which requests may wait.
    pub fn with_shares(mut self, vms: usize) -> Self {
        let count = self.usable.len().max(1) as f64;
        let mean = |time: fn(&TargetLoad) -> Duration| {
            self.usable.iter().map(|load| time(load).as_secs_f64()).sum::<f64>() / count
        };
        let per_token = mean(|load| load.estimate().prompt_token);
        let per_event = mean(|load| load.estimate().event);
        let answer_time = mean(TargetLoad::answer_time);
        let cost = |work: &WaitingRequest| match work.engine {
            true => work.prompt.0 as f64 * per_token + f64::from(work.events) * per_event,
            false => answer_time,
        };
        let claim = |(rank, work): &(QueueRank, &WaitingRequest)| ShareClaim {
            ticket: work.ticket,
            organisation: work.organisation,
            class: rank.class(),
            cost: cost(work),
        };
        let claims: Vec<ShareClaim> = self.ordered().iter().map(claim).collect();
        self.shares = ShareOrder::new(self.now, &self.state.usage, &claims, vms as f64);
        self
    }

    /// Returns the queue and its service's state.
    pub fn state(&self) -> &ServiceQueue {
        self.state
    }

    /// Returns which requests are above their organisation's share.
    pub fn shares(&self) -> &ShareOrder {
        &self.shares
    }

    /// Returns the requests that go after another of their class because of their organisation's
    /// share.
    pub fn deferred_by_share(&self) -> impl Iterator<Item = RequestSequence> {
        let ordered = self.ordered();
        let below = ordered.iter().filter(|(rank, _)| !rank.above_share);
        let classes: BTreeSet<UrgencyClass> = below.map(|(rank, _)| rank.class()).collect();
        let deferred = ordered
            .into_iter()
            .filter(move |(rank, _)| rank.above_share && classes.contains(&rank.class()));
        deferred.map(|(rank, _)| rank.ticket)
    }

    /// Allows one request to go to these targets, which run a version on trial.
    pub fn with_trial(
        mut self,
        keys: &[TargetKey],
        targets: &'a BTreeMap<TargetKey, TargetLoad>,
    ) -> Self {
        let loads = keys.iter().filter_map(|key| targets.get(key));
        self.trial = loads.filter(|load| load.accepts_work(self.now)).collect();
        self
    }

    /// Allows requests to go to these targets of other cells, which have granted slots.
    pub fn with_granted(mut self, granted: Vec<&'a TargetLoad>) -> Self {
        self.granted = granted;
        self
    }

    /// Returns the targets of this VM's cell that accept work.
    pub fn usable(&self) -> &[&'a TargetLoad] {
        &self.usable
    }

    /// Returns when the first back-off ends, if all targets requested back-off and none accepts
    /// work for that reason.
    pub fn backed_off_until(&self) -> Option<Moment> {
        self.backed_off_until
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.usable.iter().map(|load| self.open_slots(load)).sum()
    }

    /// The number of a target's slots that may be used; fewer than it has while it returns from an
    /// ejection.
    fn slots_of(&self, load: &TargetLoad) -> u32 {
        self.state.ejection.permitted_slots(self.now, load.key(), load.entry().slots)
    }

    fn open_slots(&self, load: &TargetLoad) -> u32 {
        let taken = load.entry().slots.saturating_sub(self.slots_of(load));
        load.takeable_slots(self.now).min(load.free_slots(self.now).saturating_sub(taken))
    }

    /// Returns the action for the first waiting request for which one is possible.
    pub fn next_action(&self) -> Option<QueueAction> {
        if self.state.queue.is_empty() {
            return None;
        }
        if let Some(action) = self.next_continuation() {
            return Some(action);
        }
        let free_slots = self.free_slots();
        let peers = self.peers.claimants(self.now, self.state.key);
        let ordered = self.ordered().into_iter().enumerate();
        let ordered = ordered.map(|(position, (rank, work))| (position, rank, work));
        let mut ordered = ordered.filter(|(_, _, work)| self.versions.binding(work).is_none());
        let mut kept = 0;
        ordered.find_map(|(position, rank, work)| {
            if self.will_be_overtaken(position, rank, work) {
                let (ticket, reason) = (work.ticket, RefusalReason::Overload);
                let refusal = QueueAction::Refuse { ticket, reason };
                return Some(self.borrow(rank, work).unwrap_or(refusal));
            }
            let is_kept = self.is_kept(work.ticket);
            kept += u32::from(is_kept);
            let leaves_slots = is_kept && (kept > MAX_KEPT_CHOICES || self.is_reserved(free_slots));
            let free_slots = if leaves_slots { 0 } else { free_slots };
            self.choice_for(position, rank, work, free_slots, &peers)
        })
    }

    /// Returns the action for the first request that continues a stream, if one is possible.
    fn next_continuation(&self) -> Option<QueueAction> {
        if !self.state.queue.iter().any(|work| self.versions.binding(work).is_some()) {
            return None;
        }
        self.ordered().into_iter().find_map(|(rank, work)| {
            let version = self.versions.binding(work)?;
            let ticket = work.ticket;
            if self.now + REFUSAL_MARGIN >= work.leave_at {
                return Some(QueueAction::Refuse { ticket, reason: RefusalReason::OutOfTime });
            }
            match self.continuations().choose(work, version, &self.need_of(work)) {
                ContinuationChoice::Target(load, forecast) => {
                    Some(self.place_at((load, forecast), rank, work, false))
                }
                ContinuationChoice::Wait => None,
                ContinuationChoice::VersionGone => {
                    Some(QueueAction::Refuse { ticket, reason: RefusalReason::NoTarget })
                }
            }
        })
    }

    fn continuations(&self) -> ContinuationPlacement<'_> {
        ContinuationPlacement {
            now: self.now,
            targets: self.versions,
            ejection: &self.state.ejection,
            options: self.options,
        }
    }

    fn choice_for(
        &self,
        position: usize,
        rank: QueueRank,
        work: &WaitingRequest,
        free_slots: u32,
        peers: &[SlotClaimant<'_>],
    ) -> Option<QueueAction> {
        let ticket = work.ticket;
        if let Some(reason) = self.refusal_of(work) {
            let borrowed = self.borrow(rank, work).filter(|_| reason == RefusalReason::Overload);
            return Some(borrowed.unwrap_or(QueueAction::Refuse { ticket, reason }));
        }
        // Targets on trial, and ejected targets that get a probe, take a request without regard to
        // the free slots of the others.
        let designated = self.choose_trial_target(rank, work, peers);
        let designated = designated.or_else(|| self.choose_ejected(rank, work));
        if designated.is_none() && free_slots == 0 {
            return self.borrow_instead_of_waiting(position, rank, work);
        }
        let Some(own) = designated.or_else(|| self.choose(rank, work, peers)) else {
            return self.borrow_instead_of_waiting(position, rank, work);
        };
        let borrowed = match designated.is_some() || rank.late || self.is_in_time(&own.1, work) {
            true => None,
            false => self.borrow(rank, work),
        };
        Some(borrowed.unwrap_or_else(|| self.place_at(own, rank, work, false)))
    }

    fn place_at(
        &self,
        (load, forecast): (&TargetLoad, PlacementForecast),
        rank: QueueRank,
        work: &WaitingRequest,
        borrowed: bool,
    ) -> QueueAction {
        let (running, waiting) = (load.running(self.now), self.state.queue.len());
        let evidence = PlacementEvidence { forecast, running, waiting, late: rank.late, borrowed };
        QueueAction::Place { ticket: work.ticket, target: load.key(), evidence }
    }

    fn is_in_time(&self, forecast: &PlacementForecast, work: &WaitingRequest) -> bool {
        let left = work.objective_at.since(self.now);
        let in_time = forecast.keeps_pauses && forecast.first < left;
        forecast.on_time || (in_time && !forecast.suspected)
    }

    /// Places a request at a granted slot if a slot of the own cell is expected too late.
    fn borrow_instead_of_waiting(
        &self,
        position: usize,
        rank: QueueRank,
        work: &WaitingRequest,
    ) -> Option<QueueAction> {
        if self.granted.is_empty() || self.can_wait(position, rank, work) {
            return None;
        }
        self.borrow(rank, work)
    }

    /// Whether a request can wait for a slot of the own cell, although it could be borrowed for.
    fn can_wait(&self, position: usize, rank: QueueRank, work: &WaitingRequest) -> bool {
        let peers = self.ahead_at_peers(rank.class());
        let ahead = as_count(position + 1).saturating_add(peers.better + peers.equal / 2);
        let wait = self.wait_behind(ahead, Some(rank));
        if rank.late {
            return wait <= MAX_LATE_WAIT;
        }
        let left = work.objective_at.since(self.now);
        wait + self.earliest_first_event(work) <= left.mul_f64(WAIT_SHARE)
    }

    /// Places a request at the best granted slot of this data centre, or else of another one, if it
    /// is on time there. A request that is late in any case needs only a slot that delays no other
    /// stream.
    fn borrow(&self, rank: QueueRank, work: &WaitingRequest) -> Option<QueueAction> {
        let permitted = self.granted.iter().filter(|load| !work.excluded.contains(&load.key()));
        let (near, far): (Vec<_>, Vec<_>) =
            permitted.partition(|load| load.entry().data_centre == self.options.data_centre);
        let mut need = self.need_of(work);
        need.objective_left = need.objective_left.saturating_sub(ROUND_TRIP);
        let is_useful =
            |it: &PlacementForecast| it.on_time || (rank.late && it.keeps_pauses && !it.suspected);
        [near, far].into_iter().find_map(|loads| {
            let best = self.best_of(loads.into_iter().copied(), &need)?;
            is_useful(&best.1).then(|| self.place_at(best, rank, work, true))
        })
    }

    fn refusal_of(&self, work: &WaitingRequest) -> Option<RefusalReason> {
        if self.now + REFUSAL_MARGIN >= work.leave_at {
            return Some(RefusalReason::OutOfTime);
        }
        // If it stayed queued, its caller would receive the same refusal just before it stops
        // waiting.
        if self.backed_off_until.is_some_and(|until| until + REFUSAL_MARGIN >= work.leave_at) {
            return Some(RefusalReason::HeldOff);
        }
        // Another VM may send requests that this one may not, and the caller's retry can reach that
        // VM.
        let is_elsewhere =
            |limits: &Vec<LimitShare>| limits.iter().all(|limit| *limit == LimitShare::NoShare);
        if self.limits.as_ref().is_some_and(is_elsewhere) {
            return Some(RefusalReason::HeldOff);
        }
        if self.is_late_behind_others(work) {
            return Some(RefusalReason::Overload);
        }
        self.state.targets.keys.is_empty().then_some(RefusalReason::NoTarget)
    }

    fn ordered(&self) -> Vec<(QueueRank, &'a WaitingRequest)> {
        let mut ordered =
            self.state.queue.ordered(self.now, |work| self.earliest_first_event(work));
        if self.shares.above().next().is_some() {
            for (rank, _) in &mut ordered {
                rank.above_share = self.shares.is_above(rank.ticket);
            }
            ordered.sort_by_key(|(rank, _)| *rank);
        }
        ordered
    }

    fn rank_of(&self, work: &WaitingRequest) -> QueueRank {
        let rank = self.state.queue.rank(self.now, work, self.earliest_first_event(work));
        QueueRank { above_share: self.shares.is_above(work.ticket), ..rank }
    }

    /// The time from a dispatch to the first event at the fastest target.
    fn earliest_first_event(&self, work: &WaitingRequest) -> Duration {
        match work.engine {
            true => self.fastest_engine.map_or(Duration::ZERO, |estimate| {
                self.options.assumed.overhead + estimate.reading_time(work.prompt.0)
            }),
            false => self.fastest_answer.unwrap_or_default(),
        }
    }

    /// Whether a request has missed its objective while requests that can still meet theirs wait.
    ///
    /// It would stay behind all of those, and would mostly be refused just before its caller stops
    /// waiting. An early refusal, at arrival where the queue already shows it, lets the caller
    /// retry when slots are free, so that more requests are served in a burst.
    fn is_late_behind_others(&self, work: &WaitingRequest) -> bool {
        if self.may_stay(work) {
            return false;
        }
        let missed_at = work.objective_at.before(self.earliest_first_event(work));
        let accepted_late = missed_at <= work.arrived && !work.is_retry;
        if work.begun || accepted_late || self.now <= missed_at {
            return false;
        }
        let above_share = self.shares.is_above(work.ticket);
        let can_meet = |other: &WaitingRequest| {
            // A request below its organisation's share is not refused for one above.
            (above_share || !self.shares.is_above(other.ticket))
                && self.now + self.earliest_first_event(other) <= other.objective_at
        };
        let mut at_peers = self.peers_ahead(UrgencyClass::LEAST_ON_TIME);
        if !above_share {
            at_peers = scaled(at_peers, self.shares.part_below_on_time());
        }
        self.state.queue.iter().any(can_meet) || at_peers > 0
    }

    /// Whether a request at `position` of this VM's queue would meet its objective alone, but will
    /// miss it because of the requests ahead.
    ///
    /// Refusing it as soon as this is known, rather than when the objective is missed, leaves the
    /// caller more time to retry. In a burst, callers of the least urgent requests are refused
    /// after a small part of the objective instead of most of it, and as many requests are on time.
    /// The first request in the queue stays, so that a freed slot is used.
    fn will_be_overtaken(&self, position: usize, rank: QueueRank, work: &WaitingRequest) -> bool {
        if position == 0 || rank.late || work.begun || self.may_stay(work) {
            return false;
        }
        let peers = self.ahead_of_rank(rank);
        // Assumes that half of the equally urgent requests at peers arrived later and stand behind.
        let ahead = as_count(position).saturating_add(peers.better + peers.equal / 2);
        self.now + self.wait_behind(ahead, Some(rank)) + self.earliest_first_event(work)
            > work.objective_at
    }

    /// Whether a target has a free slot that a request of this rank may take now.
    fn has_open_slot(
        &self,
        load: &TargetLoad,
        rank: QueueRank,
        peers: &[SlotClaimant<'_>],
    ) -> bool {
        let slot = FreeSlot { target: load.key(), freed: load.freed() };
        let own = SlotClaimant { vm: &self.options.name, class: rank.class() };
        // A target that sets a limit gives each VM its own share, so no turns are needed.
        let is_turn = load.limit() != LimitShare::Unlimited
            || slot_turn::is_turn(self.now, self.sharing.turn_span, slot, own, peers);
        self.open_slots(load) > 0 && is_turn
    }

    /// Whether a target that has just failed a request is not to get this one.
    fn is_held(&self, load: &TargetLoad, rank: QueueRank, work: &WaitingRequest) -> bool {
        self.state.ejection.is_held(self.now, load.key(), work.may_rerun || rank.late)
    }

    /// Chooses an ejected target to which the request is sent as a probe. A request that may not run
    /// again is sent there only if it is late and no other target can take it.
    fn choose_ejected(
        &self,
        rank: QueueRank,
        work: &WaitingRequest,
    ) -> Option<(&'a TargetLoad, PlacementForecast)> {
        let can_take = |load: &&TargetLoad| !work.excluded.contains(&load.key());
        let is_free = |load: &&TargetLoad| can_take(load) && self.open_slots(load) > 0;
        let is_last_resort = || rank.late && !self.usable.iter().any(is_free);
        if self.ejected.is_empty() || work.begun || !(work.may_rerun || is_last_resort()) {
            return None;
        }
        let is_available = |vm: &VmName| self.peers.is_available(self.now, vm);
        let is_due = |load: &&&TargetLoad| {
            let (ejection, own) = (&self.state.ejection, &self.options.name);
            load.accepts_work(self.now)
                && load.takeable_slots(self.now) > 0
                && ejection.is_probe_due(self.now, load.key(), own, is_available)
        };
        let due = self.ejected.iter().filter(|load| can_take(load)).filter(is_due);
        self.best_of(due.copied(), &self.need_of(work))
    }

    fn peers_ahead(&self, class: UrgencyClass) -> u32 {
        let AheadCount { better, equal } = self.ahead_at_peers(class);
        better + equal
    }

    /// Counts the requests at peers that may get a slot before one of this class. It counts none
    /// where every target gives each VM its own share of a limit.
    fn ahead_at_peers(&self, class: UrgencyClass) -> AheadCount {
        if self.limits.is_some() {
            return AheadCount::default();
        }
        self.peers.ahead(self.now, self.state.key, class)
    }

    /// Counts the requests at peers that may get a slot before one of this rank. Of those of its
    /// class, the part above their organisation's share goes after a request below.
    fn ahead_of_rank(&self, rank: QueueRank) -> AheadCount {
        let AheadCount { better, equal } = self.ahead_at_peers(rank.class());
        let below = scaled(equal, self.shares.part_below(rank.class()));
        if rank.above_share {
            AheadCount { better: better + below, equal: equal - below }
        } else {
            AheadCount { better, equal: below }
        }
    }

    /// Chooses a target of the version on trial. A request that was dispatched before is not sent
    /// there, so that no caller is exposed to a trial twice.
    fn choose_trial_target(
        &self,
        rank: QueueRank,
        work: &WaitingRequest,
        peers: &[SlotClaimant<'_>],
    ) -> Option<(&'a TargetLoad, PlacementForecast)> {
        // VMs of other cells do not know this VM's load on a target on trial. Kept requests wait at
        // most VMs during an overload; all VMs would send some to the same targets, and the version
        // would fail them.
        let is_unfit = work.begun || !work.excluded.is_empty() || self.is_kept(work.ticket);
        if self.trial.is_empty() || is_unfit {
            return None;
        }
        let open = self.trial.iter().filter(|load| self.has_open_slot(load, rank, peers));
        self.best_of(open.copied(), &self.need_of(work))
    }

    fn best_of(
        &self,
        loads: impl Iterator<Item = &'a TargetLoad>,
        need: &PlacementNeed,
    ) -> Option<(&'a TargetLoad, PlacementForecast)> {
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let forecast = |load| (load, placement::forecast(self.now, load, need, own, assumed));
        loads
            .map(forecast)
            .min_by_key(|(load, it)| (!it.on_time, !it.keeps_pauses, it.cost, load.key()))
    }

    fn need_of(&self, work: &WaitingRequest) -> PlacementNeed {
        PlacementNeed {
            engine: work.engine,
            prompt: work.prompt,
            prompt_hash: work.prompt_hash,
            events: work.events,
            objective_left: work.objective_at.since(self.now),
            pause: work.pause,
        }
    }

    /// Chooses the target for a request, or `None` if waiting is expected to serve it better.
    fn choose(
        &self,
        rank: QueueRank,
        work: &WaitingRequest,
        peers: &[SlotClaimant<'_>],
    ) -> Option<(&'a TargetLoad, PlacementForecast)> {
        let now = self.now;
        let need = self.need_of(work);
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let permitted = self.usable.iter().filter(|load| !work.excluded.contains(&load.key()));
        let all =
            permitted.map(|load| (*load, placement::forecast(now, load, &need, own, assumed)));
        let (open, busy): (Vec<_>, Vec<_>) = all.partition(|(load, _)| {
            self.has_open_slot(load, rank, peers) && !self.is_held(load, rank, work)
        });
        let best = open.into_iter().min_by_key(preference_order)?;
        let (_, forecast) = best;
        let in_time = forecast.keeps_pauses && forecast.first < need.objective_left;
        if forecast.on_time || (in_time && !forecast.suspected) {
            return Some(best);
        }
        // No target with a free slot serves the request on time, but a busy one may do so later. A
        // late request also waits if the free slot would delay the streams that run beside it: one
        // late answer costs less than pauses in all of those streams.
        let is_late = rank.late || (!rank.without_place && need.objective_left.is_zero());
        let better = |load: &TargetLoad, it: &PlacementForecast| match is_late {
            true => it.keeps_pauses && !forecast.keeps_pauses,
            false => {
                let wait = self.slot_wait(load);
                it.keeps_pauses && !it.suspected && it.first + wait < need.objective_left
            }
        };
        let worth_waiting = busy.iter().any(|(load, it)| better(load, it));
        (!worth_waiting).then_some(best)
    }

    /// The expected time until a busy target frees one of its slots.
    fn slot_wait(&self, load: &TargetLoad) -> Duration {
        self.state.slot_time.unwrap_or_default() / load.entry().slots.max(1)
    }

    /// Whether a request that has just joined the queue would miss its objective because of the
    /// queue, or would still wait when its caller stops waiting. Refused at once, its caller can
    /// retry after the burst.
    ///
    /// A request that must miss its objective in any case, because its prompt is long, is accepted.
    pub fn is_hopeless(&self, ticket: RequestSequence) -> bool {
        let Some(work) = self.state.queue.iter().find(|work| work.ticket == ticket) else {
            return false;
        };
        // The queue for other versions' slots does not delay it.
        if self.versions.binding(work).is_some() {
            return false;
        }
        let best = self.earliest_first_event(work);
        let rank = self.rank_of(work);
        let wait = self.expected_wait(Some(rank));
        let first_at = self.now + wait + best;
        let caller_leaves = first_at + REFUSAL_MARGIN > work.leave_at;
        let will_be_late = !rank.late && !wait.is_zero() && first_at > work.objective_at;
        caller_leaves || (will_be_late && !self.may_stay(work))
    }

    /// Returns the time until a request of this rank, or of the last rank, gets a slot. The time is
    /// zero until a request was observed to free its slot, since an assumed time must not cause
    /// refusals.
    pub fn expected_wait(&self, rank: Option<QueueRank>) -> Duration {
        let before = |other: QueueRank| rank.is_none_or(|rank| other < rank);
        let own = self.ordered().iter().filter(|(other, _)| before(*other)).count();
        let peers = match rank {
            Some(rank) => {
                let AheadCount { better, equal } = self.ahead_of_rank(rank);
                better + equal
            }
            None if self.limits.is_some() => 0,
            None => self.peers.waiting(self.now, self.state.key),
        };
        self.wait_behind(as_count(own).saturating_add(peers), rank)
    }

    /// The time until slots were assigned to `ahead` requests and to the more urgent ones that
    /// arrive meanwhile.
    fn wait_behind(&self, ahead: u32, rank: Option<QueueRank>) -> Duration {
        let slots = self.usable_slots();
        let slot_time = self.state.slot_time.unwrap_or_default();
        if let Some(limits) = &self.limits {
            let first = self.backed_off_until.map_or(Duration::ZERO, |until| until.since(self.now));
            return first + limit_share::time_for(ahead as usize, limits.iter());
        }
        let wait = slot_time.saturating_mul(ahead) / slots.max(1);
        let Some(rank) = rank else { return wait };
        let rate = self.state.arrivals.more_urgent_rate(self.now, rank.class());
        let busy = rate * f64::from(self.sharing.vms) * slot_time.as_secs_f64();
        wait.mul_f64(recent_arrivals::delay_factor(busy / f64::from(slots.max(1))))
    }

    fn is_kept(&self, ticket: RequestSequence) -> bool {
        matches!(self.state.queue.standing(ticket), QueueStanding::Kept(_))
    }

    /// Whether kept requests must leave the free slots to new requests.
    fn is_reserved(&self, free_slots: u32) -> bool {
        let reserve = (f64::from(self.usable_slots()) * KEPT_RESERVE_SHARE) as u32;
        free_slots <= reserve && self.state.returns.is_overloaded(self.now)
    }

    fn usable_slots(&self) -> u32 {
        self.usable.iter().map(|load| self.slots_of(load)).sum()
    }

    /// Whether a request may wait although it will miss its objective: it has a place, or a slot is
    /// expected for it.
    fn may_stay(&self, work: &WaitingRequest) -> bool {
        match self.state.queue.standing(work.ticket) {
            QueueStanding::New => false,
            QueueStanding::Placed => true,
            QueueStanding::Kept(booking) => self.now < booking.interval.released_at(),
        }
    }

    /// Returns this VM's share of the usable slots, or `None` until a request was observed to free
    /// its slot.
    pub fn slot_capacity(&self) -> Option<SlotCapacity> {
        let slot_time = self.state.slot_time?;
        let is_late =
            |(rank, work): &&(QueueRank, &WaitingRequest)| rank.late && !self.may_stay(work);
        let late = slot_time * as_count(self.ordered().iter().filter(is_late).count());
        if let Some(limits) = &self.limits {
            let rate: f64 = limits.iter().filter_map(LimitShare::rate).sum();
            let slots = rate * slot_time.as_secs_f64();
            return Some(SlotCapacity { slots, expected_slots: slots, late });
        }
        let share = |slots: u32| f64::from(slots) / f64::from(self.sharing.vms);
        let slots = share(self.usable_slots());
        let expected_slots = share(self.usable_slots().saturating_add(self.paused_slots));
        Some(SlotCapacity { slots, expected_slots, late })
    }

    /// Returns the time that must be left between a dispatch and the moment at which the caller of
    /// a request stops waiting.
    pub fn first_event_margin(&self, work: &WaitingRequest) -> Duration {
        self.earliest_first_event(work) + REFUSAL_MARGIN
    }

    /// Returns the counts of waiting requests that peers receive.
    pub fn queue_reports(&self) -> Vec<QueueReport> {
        let mut marks: BTreeMap<UrgencyClass, u16> = BTreeMap::new();
        for work in self.state.queue.iter() {
            let rank = self.rank_of(work);
            let count = marks.entry(rank.class()).or_default();
            *count = count.saturating_add(1);
        }
        let service = self.state.key;
        marks.into_iter().map(|(class, count)| QueueReport { service, class, count }).collect()
    }
}

/// Separates the ejected targets from the others. They count as usual targets if no other can be
/// reached.
fn without_ejected<'a>(
    ejection: &TargetEjection,
    loads: Vec<&'a TargetLoad>,
) -> (Vec<&'a TargetLoad>, Vec<&'a TargetLoad>) {
    if ejection.ejected_count() == 0 {
        return (loads, Vec::new());
    }
    let can_serve = |load: &TargetLoad| !load.entry().leaving && !load.health().is_suspect();
    let is_other = |load: &&TargetLoad| !ejection.is_ejected(load.key());
    if !loads.iter().any(|load| is_other(load) && can_serve(load)) {
        return (loads, Vec::new());
    }
    loads.into_iter().partition(is_other)
}

/// Returns this VM's limits for the targets that are not leaving, or `None` unless all of them set
/// a limit.
fn limits_of(loads: &[&TargetLoad]) -> Option<Vec<LimitShare>> {
    let staying = loads.iter().filter(|load| !load.entry().leaving);
    let named = |load: &&TargetLoad| Some(load.limit()).filter(|it| *it != LimitShare::Unlimited);
    let limits = staying.map(named).collect::<Option<Vec<LimitShare>>>()?;
    (!limits.is_empty()).then_some(limits)
}

/// Returns when a target's back-off ends; `None` if it accepts requests now.
fn back_off_end(now: Moment, load: &TargetLoad) -> Option<Moment> {
    let until = load.health().backed_off_until().max(load.limit().ready_at(now));
    Some(until).filter(|at| *at > now)
}

/// Returns when the first back-off among these targets ends; `None` if one that is not leaving is
/// unusable for another reason.
fn first_back_off_end(now: Moment, loads: &[&TargetLoad]) -> Option<Moment> {
    let staying = loads.iter().filter(|load| !load.entry().leaving);
    let ends = staying.map(|load| back_off_end(now, load));
    ends.collect::<Option<Vec<Moment>>>()?.into_iter().min()
}

/// The order in which targets are preferred; the smallest key is the best.
fn preference_order(
    (load, it): &(&TargetLoad, PlacementForecast),
) -> (bool, bool, Duration, TargetKey) {
    (!it.on_time, !it.keeps_pauses, it.cost, load.key())
}

/// Returns this part of a number of requests, rounded.
fn scaled(requests: u32, part: f64) -> u32 {
    (f64::from(requests) * part).round() as u32
}

fn as_count(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}
