//! Which waiting request goes to which target, and which is told to come back.
//!
//! Every entry VM runs one [`Scheduler`] over all targets. It counts what it has sent itself, adds
//! what its peers say in their digests, and decides alone: no request waits for another VM's word,
//! and none is lost when a VM dies. What two VMs decide at the same moment may take one place twice;
//! the second then waits a few milliseconds at the engine.
//!
//! Like the rest of this crate it opens no socket and reads no clock: the driver tells it what
//! happened, and takes its [`Decision`]s.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    cell_plan::{CellMember, CellPlan},
    ids::{
        DataCentreName, Incarnation, RequestSequence, ServiceKey, ServiceName, TargetKey, VmName,
    },
    load_digest::{DigestEnvelope, LoadDigest, PlacedPrompt, WaitMark},
    pace::AssumedPace,
    peer_board::{DigestChange, PeerBoard},
    placing::{self, PlacingForecast, PlacingNeed},
    quota::{QuotaCharge, QuotaLedger, QuotaRule},
    retry_budget::{RetryBudget, RetryRule},
    target_load::{TargetEntry, TargetLoad},
    units::{Moment, Revision, TierRank, Tokens},
    wait_line::{LineRank, WaitLine, WaitingWork},
};

/// How often the line is looked at while somebody waits: well under the shortest objective.
const LINE_INTERVAL: Duration = Duration::from_millis(10);
/// Places that have been free for no longer than this belong to the requests at peers that go before
/// those here. Digests need a few milliseconds; a place that no peer has taken by then is one that its
/// better requests cannot use.
const YIELD_SPAN: Duration = Duration::from_millis(15);
/// Time that an answer needs to reach a caller before it leaves.
const LEAVE_MARGIN: Duration = Duration::from_millis(150);
/// Placements repeated in each digest; more than a VM makes between a few digests.
const PLACED_REPEATED: usize = 12;
/// How fast the mean time in a place follows new ones.
const HOLD_WEIGHT: f64 = 0.05;
/// The shortest and the longest time after which refused callers are told to come back.
const RETRY_LEAST: Duration = Duration::from_millis(300);
const RETRY_GREATEST: Duration = Duration::from_secs(10);
/// How far promises are spread, as a part: callers refused together must not come back together.
const RETRY_SPREAD: f64 = 0.5;
/// When to come back to a service none of whose targets is known.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// What a scheduler is told when it starts.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// This VM.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// The seed of its randomness.
    pub seed: u64,
    /// How much may be repeated.
    pub retry: RetryRule,
    /// What is assumed of targets before anything was observed.
    pub assumed: AssumedPace,
}

impl SchedulerOptions {
    fn member(&self) -> CellMember {
        CellMember { name: self.name.clone(), data_centre: self.data_centre.clone() }
    }
}

/// How far this VM's knowledge of the fleet reaches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetNews {
    /// The version of the routes in force.
    pub revision: Revision,
    /// The newest news of the targets' registry, as its source numbers them.
    pub registry: u64,
    /// The number up to which all news of the registry have come.
    pub registry_reached: u64,
}

/// Why a request that has not run is told to come back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The service has no target.
    NoTarget,
    /// The line is so long that its caller would have left before its turn.
    Overload,
    /// Its caller is about to leave, and it still waits.
    OutOfTime,
}

/// Why a placed request is not under way any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The whole answer was passed on.
    Whole,
    /// The target failed it.
    Failed,
    /// The target was full or leaving, and said that it did not run.
    TurnedAway,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The caller left, or this VM gave it up.
    Abandoned,
}

/// What the figures were that decided a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacingEvidence {
    /// What was expected at the target chosen.
    pub forecast: PlacingForecast,
    /// Requests running there, of all VMs.
    pub running: u32,
    /// Requests waiting here.
    pub line: usize,
    /// Whether it had missed its objective already.
    pub late: bool,
}

/// What to do about a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this target.
    Place {
        /// The request.
        ticket: RequestSequence,
        /// The target.
        target: TargetEntry,
        /// What decided.
        evidence: PlacingEvidence,
    },
    /// Tell its caller to come back; it has not run.
    Refuse {
        /// The request.
        ticket: RequestSequence,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// Requests that waited here.
        line: usize,
    },
}

/// The line of a service and how long its places are held.
#[derive(Debug)]
struct ServiceState {
    key: ServiceKey,
    line: WaitLine,
    targets: Vec<TargetKey>,
    /// The mean time that requests hold a place; none before any was observed.
    hold: Option<Duration>,
    /// Since when a place has been free while somebody waited.
    free_since: Option<Moment>,
}

/// Schedules the requests of one entry VM onto the targets that all share.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    rng: SmallRng,
    services: BTreeMap<ServiceName, ServiceState>,
    targets: BTreeMap<TargetKey, TargetLoad>,
    runs: HashMap<RequestSequence, PlacedRun>,
    peers: PeerBoard,
    quotas: QuotaLedger,
    retries: RetryBudget,
    placed: VecDeque<PlacedPrompt>,
    placed_count: u32,
    decisions: Vec<Decision>,
    sequence: u64,
    changed: bool,
    plan: CellPlan,
}

#[derive(Clone, Debug)]
struct PlacedRun {
    service: ServiceName,
    target: TargetKey,
    since: Moment,
    last_event: Option<Moment>,
}

impl Scheduler {
    /// Creates a scheduler that knows no targets and no peers.
    pub fn new(options: SchedulerOptions) -> Self {
        let plan = CellPlan::new(&options.member(), &[]);
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            retries: RetryBudget::new(options.retry),
            options,
            plan,
            services: BTreeMap::new(),
            targets: BTreeMap::new(),
            runs: HashMap::new(),
            peers: PeerBoard::default(),
            quotas: QuotaLedger::default(),
            placed: VecDeque::new(),
            placed_count: 0,
            decisions: Vec::new(),
            sequence: 0,
            changed: false,
        }
    }

    /// Replaces the targets. What is known of those that stay is kept; what runs at those that are
    /// gone runs on.
    pub fn set_targets(&mut self, now: Moment, entries: Vec<TargetEntry>) {
        let mut known = std::mem::take(&mut self.targets);
        for entry in entries {
            let key = TargetKey::of(&entry.name);
            let load = match known.remove(&key) {
                Some(mut load) => {
                    load.set_entry(entry);
                    load
                }
                None => TargetLoad::new(entry, &self.options.assumed),
            };
            self.targets.insert(key, load);
        }
        self.deal_targets();
        self.advance(now);
    }

    /// Finds the targets that this VM's cell uses.
    fn deal_targets(&mut self) {
        let mut by_service: BTreeMap<ServiceName, Vec<&TargetEntry>> = BTreeMap::new();
        for load in self.targets.values() {
            by_service.entry(load.entry().service.clone()).or_default().push(load.entry());
        }
        let dealt: Vec<(ServiceName, Vec<TargetKey>)> = by_service
            .into_iter()
            .map(|(service, entries)| (service, self.plan.targets(&entries)))
            .collect();
        for state in self.services.values_mut() {
            state.targets.clear();
        }
        for (service, keys) in dealt {
            self.service_state(&service).targets = keys;
        }
    }

    /// Works the cells out anew from the VMs that are heard.
    pub fn plan_cells(&mut self, now: Moment) {
        let plan = CellPlan::new(&self.options.member(), &self.peers.members(now));
        if plan != self.plan {
            self.plan = plan;
            self.deal_targets();
        }
    }

    /// Returns whether a peer is told everything.
    pub fn is_mate(&self, peer: &VmName) -> bool {
        self.plan.is_mate(peer)
    }

    /// Returns whether an organisation is near the end of its quota, so that peers should be told
    /// soon what it uses here.
    pub fn is_quota_short(&self) -> bool {
        self.quotas.is_short()
    }

    /// Replaces what may be repeated.
    pub fn set_retry_rule(&mut self, rule: RetryRule) {
        self.retries.set_rule(rule);
    }

    /// Takes the list of the other entry VMs.
    pub fn list_peers(&mut self, now: Moment, listed: &[VmName]) {
        self.peers.list(now, listed);
        self.note_peers(now);
    }

    /// Takes a peer's digest.
    pub fn take_digest(&mut self, now: Moment, envelope: DigestEnvelope) {
        let DigestEnvelope { from, digest } = envelope;
        let placed_before = match self.peers.take(now, &from, &digest) {
            DigestChange::Stale => return,
            DigestChange::Newer { placed } => placed,
            DigestChange::NewLife => {
                self.quotas.forget_peer(&from);
                digest.placed.last().map_or(0, |placed| placed.number)
            }
        };
        if !digest.brief {
            for load in self.targets.values_mut() {
                load.forget_mark(&from);
            }
        }
        for mark in &digest.targets {
            if let Some(load) = self.targets.get_mut(&mark.target) {
                load.take_mark(now, &from, *mark);
                load.refresh(now, &self.options.assumed);
            }
        }
        for placed in digest.placed.iter().filter(|placed| placed.number > placed_before) {
            if let Some(load) = self.targets.get_mut(&placed.target) {
                load.memory_mut().note(now, placed.part, Tokens(u64::from(placed.tokens)), None);
            }
        }
        for (key, total) in &digest.spent {
            self.quotas.note_peer(&from, *key, *total);
        }
        self.note_peers(now);
        self.pump_all(now);
    }

    /// Takes what a request costs from its organisation's quota.
    ///
    /// # Errors
    ///
    /// Returns when to come back, when the quota is used up.
    pub fn charge(
        &mut self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
    ) -> Result<(), Duration> {
        let taken = self.quotas.take(now, rule, charge);
        taken.map_err(|wait| self.spread(wait.max(RETRY_LEAST)))
    }

    /// Puts back what a request took from a quota that did not run after all.
    pub fn give_back(&mut self, charge: QuotaCharge) {
        self.quotas.give_back(charge);
    }

    /// Takes a request in: it is placed at once, waits, or is refused.
    pub fn enter(&mut self, now: Moment, work: WaitingWork) {
        let (service, ticket) = (work.service.clone(), work.ticket);
        self.retries.note_request(now, &service);
        self.join_line(now, work);
        self.refuse_hopeless(now, &service, ticket);
    }

    /// Takes back a request that was placed and has not run, to be placed elsewhere. Returns whether
    /// the budget of repeats permits it.
    pub fn enter_again(&mut self, now: Moment, work: WaitingWork, arrived_there: bool) -> bool {
        if arrived_there && !self.retries.take(now, &work.service) {
            return false;
        }
        self.join_line(now, work);
        true
    }

    /// Returns whether the budget of repeats permits one more run, and takes it.
    pub fn permit_repeat(&mut self, now: Moment, service: &ServiceName) -> bool {
        self.retries.take(now, service)
    }

    fn join_line(&mut self, now: Moment, work: WaitingWork) {
        let service = work.service.clone();
        self.service_state(&service).line.push(work);
        self.changed = true;
        self.pump(now, &service);
    }

    /// Removes a request that waits; returns whether it did.
    pub fn leave(&mut self, ticket: RequestSequence) -> bool {
        let lines = self.services.values_mut();
        let left = lines.filter_map(|state| state.line.remove(ticket)).next().is_some();
        self.changed |= left;
        left
    }

    /// Notes an event of a stream.
    pub fn note_event(&mut self, now: Moment, ticket: RequestSequence) {
        let Some(run) = self.runs.get_mut(&ticket) else { return };
        let last = run.last_event.replace(now);
        let Some(load) = self.targets.get_mut(&run.target) else { return };
        match last {
            None => {
                load.note_first(now, &self.options.assumed, ticket);
                load.refresh(now, &self.options.assumed);
            }
            Some(last) => load.note_event(now, now.since(last)),
        }
    }

    /// Notes that a placed request is not under way any more.
    pub fn end(&mut self, now: Moment, ticket: RequestSequence, end: RunEnd) {
        let Some(run) = self.runs.remove(&ticket) else { return };
        if let Some(load) = self.targets.get_mut(&run.target) {
            load.end(now, ticket, end == RunEnd::Whole);
            match end {
                RunEnd::Whole => load.health_mut().note_success(now),
                RunEnd::Failed => load.health_mut().note_failure(now),
                RunEnd::Unreachable => load.health_mut().note_unreachable(now),
                RunEnd::TurnedAway | RunEnd::Abandoned => {}
            }
            load.refresh(now, &self.options.assumed);
        }
        if end == RunEnd::Whole {
            let state = self.service_state(&run.service);
            let taken = now.since(run.since);
            let mean = state.hold.unwrap_or(taken).as_secs_f64();
            let moved = mean + (taken.as_secs_f64() - mean) * HOLD_WEIGHT;
            state.hold = Some(Duration::from_secs_f64(moved));
        }
        self.changed = true;
        self.pump(now, &run.service);
    }

    /// Does what has fallen due.
    pub fn advance(&mut self, now: Moment) {
        self.note_peers(now);
        self.pump_all(now);
    }

    /// Returns when [`Scheduler::advance`] must be called next, or nothing while nobody waits.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let waits = self.services.values().any(|state| !state.line.is_empty());
        waits.then(|| now + LINE_INTERVAL)
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether there is something new to tell the peers, and resets it.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns what this VM tells all peers that are not of its cell.
    pub fn brief_digest(&mut self, news: FleetNews, leaving: bool) -> LoadDigest {
        self.sequence += 1;
        LoadDigest {
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            leaving,
            brief: true,
            data_centre: Some(self.options.data_centre.clone()),
            revision: news.revision,
            registry: news.registry,
            spent: self.quotas.totals().collect(),
            ..LoadDigest::default()
        }
    }

    /// Returns what this VM tells the peers of its cell.
    pub fn digest(&mut self, now: Moment, news: FleetNews, leaving: bool) -> LoadDigest {
        let brief = self.brief_digest(news, leaving);
        let told =
            self.targets.values().filter(|load| load.own_running() > 0 || load.has_learnt(now));
        LoadDigest {
            targets: told.map(|load| load.mark(now)).collect(),
            waiting: self.wait_marks(now),
            placed: self.placed.iter().copied().collect(),
            brief: false,
            ..brief
        }
    }

    /// Returns whether a peer has news that this VM has not.
    pub fn peers_know_more(&self, now: Moment, news: FleetNews) -> bool {
        self.peers.knows_more(now, news.revision, news.registry_reached)
    }

    /// Returns the targets, for reports.
    pub fn targets(&self) -> impl Iterator<Item = &TargetLoad> {
        self.targets.values()
    }

    /// Returns how many requests wait here.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|state| state.line.len()).sum()
    }

    /// Returns how many requests this VM has at targets.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the part of the entry VMs that this one hears.
    pub fn heard_part(&self, now: Moment) -> f64 {
        self.peers.heard_part(now)
    }

    fn service_state(&mut self, service: &ServiceName) -> &mut ServiceState {
        self.services.entry(service.clone()).or_insert_with(|| ServiceState {
            key: ServiceKey::of(service),
            line: WaitLine::default(),
            targets: Vec::new(),
            hold: None,
            free_since: None,
        })
    }

    fn note_peers(&mut self, now: Moment) {
        self.quotas.set_heard_part(self.peers.heard_part(now));
        self.retries.set_vm_count(self.peers.known_count(now));
    }

    fn pump_all(&mut self, now: Moment) {
        let waits = self.services.iter().filter(|(_, state)| !state.line.is_empty());
        let names: Vec<ServiceName> = waits.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.pump(now, &name);
        }
    }

    /// Places and refuses what can be decided now.
    fn pump(&mut self, now: Moment, service: &ServiceName) {
        self.note_free(now, service);
        while let Some(choice) = self.next_choice(now, service) {
            match choice {
                LineChoice::Place { ticket, target, evidence } => {
                    self.place(now, service, ticket, target, evidence);
                }
                LineChoice::Refuse { ticket, reason } => self.refuse(now, service, ticket, reason),
            }
        }
    }

    fn note_free(&mut self, now: Moment, service: &ServiceName) {
        let Some(state) = self.services.get(service) else { return };
        let free = self.usable(now, state).iter().any(|load| load.free_places(now) > 0);
        let state = self.service_state(service);
        state.free_since = state.free_since.filter(|_| free).or(free.then_some(now));
    }

    /// Finds the first request in line about which something can be done.
    fn next_choice(&self, now: Moment, service: &ServiceName) -> Option<LineChoice> {
        let state = self.services.get(service).filter(|state| !state.line.is_empty())?;
        let usable = self.usable(now, state);
        let free: u32 = usable.iter().map(|load| load.free_places(now)).sum();
        let line = state.line.len();
        for (rank, work) in state.line.ordered(now, |work| self.best_first(work, &usable)) {
            let ticket = work.ticket;
            if now + LEAVE_MARGIN >= work.leave_at {
                return Some(LineChoice::Refuse { ticket, reason: RefusalReason::OutOfTime });
            }
            if self.gives_way(now, state, work, &usable) {
                return Some(LineChoice::Refuse { ticket, reason: RefusalReason::Overload });
            }
            if usable.is_empty() && state.targets.is_empty() {
                return Some(LineChoice::Refuse { ticket, reason: RefusalReason::NoTarget });
            }
            if free == 0 || self.yields(now, state, rank, work, free) {
                continue;
            }
            if let Some((load, forecast)) = self.choose(now, &usable, rank, work) {
                let running = load.running(now);
                let evidence = PlacingEvidence { forecast, running, line, late: rank.late };
                return Some(LineChoice::Place { ticket, target: load.key(), evidence });
            }
        }
        None
    }

    /// Returns the targets that may get new work.
    fn usable(&self, now: Moment, state: &ServiceState) -> Vec<&TargetLoad> {
        let loads = state.targets.iter().filter_map(|key| self.targets.get(key));
        loads.filter(|load| !load.entry().leaving && !load.health().is_paused(now)).collect()
    }

    /// The time from a dispatch to the first event at the fastest target.
    fn best_first(&self, work: &WaitingWork, usable: &[&TargetLoad]) -> Duration {
        let first = |load: &&TargetLoad| match work.engine {
            true => self.options.assumed.overhead + load.estimate().reading_time(work.prompt.0),
            false => load.answer_time(),
        };
        usable.iter().map(first).min().unwrap_or_default()
    }

    /// Whether a request has missed its objective while others that can still meet theirs wait.
    ///
    /// It would stay behind all of those, and its caller would mostly be told at the end of its
    /// patience what can be told now: of 1,082 refusals of a day with two bursts, 428 came after three
    /// to four seconds. Told at once, and at its arrival where the line shows it, a caller comes back
    /// when there is room: 0.69 to 0.72 of that day's requests were then served, and 0.64 before.
    fn gives_way(
        &self,
        now: Moment,
        state: &ServiceState,
        work: &WaitingWork,
        usable: &[&TargetLoad],
    ) -> bool {
        let best = self.best_first(work, usable);
        let missed_at = work.objective_at.before(best);
        if work.begun || missed_at <= work.arrived || now <= missed_at {
            return false;
        }
        let can_meet =
            |other: &WaitingWork| now + self.best_first(other, usable) <= other.objective_at;
        state.line.iter().any(can_meet)
            || self.peers.ahead(now, state.key, false, TierRank(u8::MAX), Duration::ZERO) > 0
    }

    /// Whether the free places belong to requests at peers that go before this one. A request that has
    /// just come finds no better one only in the digests heard, so a place that is free while nobody
    /// waits anywhere is taken at once.
    fn yields(
        &self,
        now: Moment,
        state: &ServiceState,
        rank: LineRank,
        work: &WaitingWork,
        free: u32,
    ) -> bool {
        if state.free_since.is_none_or(|since| now.since(since) >= YIELD_SPAN) {
            return false;
        }
        let waited = now.since(work.arrived);
        self.peers.ahead(now, state.key, rank.late, rank.tier, waited) >= free
    }

    /// Chooses the target for a request, or nothing when it does better to wait.
    fn choose<'a>(
        &self,
        now: Moment,
        usable: &[&'a TargetLoad],
        rank: LineRank,
        work: &WaitingWork,
    ) -> Option<(&'a TargetLoad, PlacingForecast)> {
        let need = PlacingNeed {
            engine: work.engine,
            prompt: work.prompt,
            part: work.part,
            events: work.events,
            objective_left: work.objective_at.since(now),
            pause: work.pause,
        };
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let permitted = usable.iter().filter(|load| !work.excluded.contains(&load.key()));
        let all = permitted.map(|load| (*load, placing::forecast(now, load, &need, own, assumed)));
        let all: Vec<_> = all.collect();
        let open = all.iter().filter(|(load, _)| load.free_places(now) > 0);
        let best = open.min_by_key(|(load, it)| (!it.on_time, it.cost, load.key())).copied()?;
        let (_, forecast) = best;
        if forecast.on_time {
            return Some(best);
        }
        // No free place serves it on time. One that is taken may yet; and a late answer to one caller is
        // not worth the pauses of all whose streams run beside it.
        let better = |it: &PlacingForecast| match rank.late {
            true => it.keeps_pauses && !forecast.keeps_pauses,
            false => it.on_time,
        };
        let worth_waiting = all.iter().any(|(load, it)| better(it) && load.free_places(now) == 0);
        (!worth_waiting).then_some(best)
    }

    fn place(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
        target: TargetKey,
        evidence: PlacingEvidence,
    ) {
        let Some(work) = self.service_state(service).line.remove(ticket) else { return };
        let assumed = self.options.assumed;
        let Some(load) = self.targets.get_mut(&target) else { return };
        load.begin(now, &assumed, ticket, evidence.forecast.to_read);
        if let Some(part) = work.part {
            load.memory_mut().note(now, part, work.prompt, None);
            self.placed_count += 1;
            let tokens = u32::try_from(work.prompt.0).unwrap_or(u32::MAX);
            self.placed.push_back(PlacedPrompt { number: self.placed_count, part, target, tokens });
            if self.placed.len() > PLACED_REPEATED {
                self.placed.pop_front();
            }
        }
        let run = PlacedRun { service: service.clone(), target, since: now, last_event: None };
        self.runs.insert(ticket, run);
        let target = load.entry().clone();
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
        let line = self.services.get(service).map_or(0, |state| state.line.len());
        let wait = match reason {
            RefusalReason::NoTarget => NO_TARGET_RETRY,
            _ => self.expected_wait(now, service, None),
        };
        self.service_state(service).line.remove(ticket);
        let retry_after = self.spread(wait.clamp(RETRY_LEAST, RETRY_GREATEST));
        self.decisions.push(Decision::Refuse { ticket, reason, retry_after, line });
        self.changed = true;
    }

    /// Refuses a request that has just joined a line so long that it would miss its objective, or its
    /// caller would have left before its turn: told at once, it can come back when the burst is over.
    /// One that must miss its objective in any case, for the length of its prompt, is let in.
    fn refuse_hopeless(&mut self, now: Moment, service: &ServiceName, ticket: RequestSequence) {
        let Some(state) = self.services.get(service) else { return };
        let Some(work) = state.line.iter().find(|work| work.ticket == ticket) else { return };
        let usable = self.usable(now, state);
        let best = self.best_first(work, &usable);
        let rank = work.rank(now, best);
        let wait = self.expected_wait(now, service, Some(rank));
        let leaves = now + wait + best + LEAVE_MARGIN > work.leave_at;
        let misses = !rank.late && !wait.is_zero() && now + wait + best > work.objective_at;
        if leaves || misses {
            self.refuse(now, service, ticket, RefusalReason::Overload);
        }
    }

    /// The time until a request of this rank, or of the last rank, gets a place. Nothing is expected
    /// before any place was given back: a time that is only assumed is no ground to refuse anybody.
    fn expected_wait(
        &self,
        now: Moment,
        service: &ServiceName,
        rank: Option<LineRank>,
    ) -> Duration {
        let Some(state) = self.services.get(service) else { return Duration::ZERO };
        let usable = self.usable(now, state);
        let places: u32 = usable.iter().map(|load| load.entry().slots).sum();
        let own = state.line.ordered(now, |work| self.best_first(work, &usable));
        let own = own.iter().filter(|(other, _)| rank.is_none_or(|rank| *other < rank)).count();
        let peers = match rank {
            Some(rank) => self.peers.ahead(now, state.key, rank.late, rank.tier, Duration::ZERO),
            None => self.peers.waiting(now, state.key),
        };
        let ahead = u32::try_from(own).unwrap_or(u32::MAX).saturating_add(peers);
        state.hold.unwrap_or_default().saturating_mul(ahead) / places.max(1)
    }

    fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_SPREAD))
    }

    fn wait_marks(&self, now: Moment) -> Vec<WaitMark> {
        let mut marks: BTreeMap<(ServiceKey, bool, TierRank), (u16, Duration)> = BTreeMap::new();
        for state in self.services.values() {
            let usable = self.usable(now, state);
            for work in state.line.iter() {
                let rank = work.rank(now, self.best_first(work, &usable));
                let mark = marks.entry((state.key, rank.late, rank.tier)).or_default();
                mark.0 = mark.0.saturating_add(1);
                mark.1 = mark.1.max(now.since(work.arrived));
            }
        }
        let told = marks.into_iter().map(|((service, late, tier), (count, oldest))| WaitMark {
            service,
            on_time: !late,
            tier,
            count,
            oldest_ms: u16::try_from(oldest.as_millis()).unwrap_or(u16::MAX),
        });
        told.collect()
    }
}

/// Something that can be done about a request in line.
enum LineChoice {
    Place { ticket: RequestSequence, target: TargetKey, evidence: PlacingEvidence },
    Refuse { ticket: RequestSequence, reason: RefusalReason },
}
