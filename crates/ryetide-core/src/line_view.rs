//! What can be done about a service's line at one moment: who goes where, who is told to come back.
//!
//! A [`LineView`] only looks. It answers the loads that hurt most: a burst that the targets cannot
//! begin in time, and the hour in which a part of them is gone.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    decision::{PlacingEvidence, RefusalReason},
    ids::{RequestSequence, ServiceKey, ServiceName, TargetKey},
    limit_part::{self, TargetLimit},
    load_digest::WaitMark,
    peer_board::{AheadCount, PeerBoard},
    place_turn::{self, ClaimClass, OpenPlace, PlaceClaimant},
    placing::{self, PlacingForecast, PlacingNeed},
    recent_arrivals::{self, RecentArrivals},
    scheduler_options::SchedulerOptions,
    target_load::TargetLoad,
    units::Moment,
    wait_line::{LineRank, WaitLine, WaitingWork},
};

/// Time that an answer needs to reach a caller before it leaves.
const LEAVE_MARGIN: Duration = Duration::from_millis(150);

/// Targets of a service that a VM uses.
#[derive(Clone, Debug, Default)]
pub struct UsedTargets {
    /// The targets.
    pub keys: Vec<TargetKey>,
    /// Whether only the VMs of this VM's cell use them.
    pub is_dealt: bool,
}

/// The line of a service and how long its places are held.
#[derive(Debug)]
pub struct ServiceLine {
    /// The service.
    pub key: ServiceKey,
    /// Who waits.
    pub line: WaitLine,
    /// The targets that this VM uses.
    pub targets: UsedTargets,
    /// Targets of a version on trial, which get a bounded share.
    pub trial: UsedTargets,
    /// The mean time that requests hold a place; none before any was observed.
    pub hold: Option<Duration>,
    /// What has come lately.
    pub arrivals: RecentArrivals,
}

impl ServiceLine {
    /// Creates the line of a service of which nothing is known.
    pub fn new(service: &ServiceName) -> Self {
        Self {
            key: ServiceKey::of(service),
            line: WaitLine::default(),
            targets: UsedTargets::default(),
            trial: UsedTargets::default(),
            hold: None,
            arrivals: RecentArrivals::default(),
        }
    }
}

/// Something that can be done about a request in line.
#[derive(Clone, Copy, Debug)]
pub enum LineChoice {
    /// It goes to this target.
    Place {
        /// The request.
        ticket: RequestSequence,
        /// The target.
        target: TargetKey,
        /// What decided.
        evidence: PlacingEvidence,
    },
    /// Its caller is told to come back.
    Refuse {
        /// The request.
        ticket: RequestSequence,
        /// Why.
        reason: RefusalReason,
    },
}

/// A service's line and the targets that may get new work, at one moment.
pub struct LineView<'a> {
    now: Moment,
    state: &'a ServiceLine,
    usable: Vec<&'a TargetLoad>,
    /// Targets of a version on trial, when one more request may go there.
    trial: Vec<&'a TargetLoad>,
    /// Until when the targets that stay want nothing, where none is usable and all of them have said so.
    held_until: Option<Moment>,
    /// How much this VM may send to each of the targets that stay, where all of them name a limit.
    limits: Option<Vec<TargetLimit>>,
    peers: &'a PeerBoard,
    options: &'a SchedulerOptions,
    sharing: PlaceSharing,
}

/// How the VMs of a cell share the places of their targets.
#[derive(Clone, Copy, Debug)]
pub struct PlaceSharing {
    /// How many VMs there are, this one included.
    pub vms: u32,
    /// How long a VM's turn is at a place that has come free.
    pub turn_span: Duration,
}

impl<'a> LineView<'a> {
    /// Looks at a line.
    pub fn new(
        now: Moment,
        state: &'a ServiceLine,
        targets: &'a BTreeMap<TargetKey, TargetLoad>,
        peers: &'a PeerBoard,
        options: &'a SchedulerOptions,
        sharing: PlaceSharing,
    ) -> Self {
        let loads: Vec<&TargetLoad> =
            state.targets.keys.iter().filter_map(|key| targets.get(key)).collect();
        let limits = limits_of(&loads);
        let (usable, others): (Vec<_>, Vec<_>) = loads.iter().partition(|load| load.may_get(now));
        let held_until = if usable.is_empty() { first_held_until(now, &others) } else { None };
        let trial = Vec::new();
        Self { now, state, usable, trial, held_until, limits, peers, options, sharing }
    }

    /// Lets one request go to these targets, of a version that is on trial.
    pub fn with_trial(
        mut self,
        keys: &[TargetKey],
        targets: &'a BTreeMap<TargetKey, TargetLoad>,
    ) -> Self {
        let loads = keys.iter().filter_map(|key| targets.get(key));
        self.trial = loads.filter(|load| load.may_get(self.now)).collect();
        self
    }

    /// Returns until when all targets want nothing, if that is why none gets new work.
    pub fn held_until(&self) -> Option<Moment> {
        self.held_until
    }

    /// Returns how many places are free.
    pub fn free_places(&self) -> u32 {
        self.usable.iter().map(|load| load.free_places(self.now)).sum()
    }

    /// Finds the first request in line about which something can be done.
    pub fn next_choice(&self) -> Option<LineChoice> {
        if self.state.line.is_empty() {
            return None;
        }
        let free = self.free_places();
        let peers = self.peers.claimants(self.now, self.state.key);
        let ordered = self.ordered().into_iter().enumerate();
        let mut ordered = ordered.map(|(place, (rank, work))| (place, rank, work));
        ordered.find_map(|(place, rank, work)| {
            if self.is_passed_by(place, rank, work) {
                let (ticket, reason) = (work.ticket, RefusalReason::Overload);
                return Some(LineChoice::Refuse { ticket, reason });
            }
            self.choice_for(rank, work, free, &peers)
        })
    }

    fn choice_for(
        &self,
        rank: LineRank,
        work: &WaitingWork,
        free: u32,
        peers: &[PlaceClaimant<'_>],
    ) -> Option<LineChoice> {
        let ticket = work.ticket;
        if let Some(reason) = self.refusal_of(work) {
            return Some(LineChoice::Refuse { ticket, reason });
        }
        let on_trial = self.choose_on_trial(rank, work, peers);
        if on_trial.is_none() && free == 0 {
            return None;
        }
        let (load, forecast) = on_trial.or_else(|| self.choose(rank, work, peers))?;
        let (running, line) = (load.running(self.now), self.state.line.len());
        let evidence = PlacingEvidence { forecast, running, line, late: rank.late };
        Some(LineChoice::Place { ticket, target: load.key(), evidence })
    }

    fn refusal_of(&self, work: &WaitingWork) -> Option<RefusalReason> {
        if self.now + LEAVE_MARGIN >= work.leave_at {
            return Some(RefusalReason::OutOfTime);
        }
        // Held in line until then, its caller would be told the same at the end of its patience.
        if self.held_until.is_some_and(|until| until + LEAVE_MARGIN >= work.leave_at) {
            return Some(RefusalReason::HeldOff);
        }
        // Another VM may send what this one may not, and its caller finds that one when it comes back.
        let is_elsewhere =
            |limits: &Vec<TargetLimit>| limits.iter().all(|limit| *limit == TargetLimit::Elsewhere);
        if self.limits.as_ref().is_some_and(is_elsewhere) {
            return Some(RefusalReason::HeldOff);
        }
        if self.gives_way(work) {
            return Some(RefusalReason::Overload);
        }
        self.state.targets.keys.is_empty().then_some(RefusalReason::NoTarget)
    }

    fn ordered(&self) -> Vec<(LineRank, &'a WaitingWork)> {
        self.state.line.ordered(self.now, |work| self.best_first(work))
    }

    /// The time from a dispatch to the first event at the fastest target.
    fn best_first(&self, work: &WaitingWork) -> Duration {
        let overhead = self.options.assumed.overhead;
        let first = |load: &&TargetLoad| match work.engine {
            true => overhead + load.estimate().reading_time(work.prompt.0),
            false => load.answer_time(),
        };
        self.usable.iter().map(first).min().unwrap_or_default()
    }

    /// Whether a request has missed its objective while others that can still meet theirs wait.
    ///
    /// It would stay behind all of those, and its caller would mostly be told at the end of its
    /// patience what can be told now: of 1,082 refusals of a day with two bursts, 428 came after three
    /// to four seconds. Told at once, and at its arrival where the line shows it, a caller comes back
    /// when there is room: 0.69 to 0.72 of that day's requests were then served, and 0.64 before.
    fn gives_way(&self, work: &WaitingWork) -> bool {
        let missed_at = work.objective_at.before(self.best_first(work));
        let let_in_late = missed_at <= work.arrived && !work.came_back;
        if work.begun || let_in_late || self.now <= missed_at {
            return false;
        }
        let can_meet =
            |other: &WaitingWork| self.now + self.best_first(other) <= other.objective_at;
        self.state.line.iter().any(can_meet) || self.peers_ahead(ClaimClass::LEAST_ON_TIME) > 0
    }

    /// Whether a request that stands at `place` of this VM's line could still be on time by itself, and will not be
    /// for those before it. Its caller is told when that is known, and not when the objective is missed: it has the
    /// more time left to come back. The first in line stays, so that a place which comes free finds somebody.
    ///
    /// In a burst of three times the usual before the load test's engines, the least urgent callers who are refused are
    /// told after 40 to 60 ms in the mean, and after 360 ms without this and without counting those that come later;
    /// as many are on time.
    fn is_passed_by(&self, place: usize, rank: LineRank, work: &WaitingWork) -> bool {
        if place == 0 || rank.late || work.begun {
            return false;
        }
        let peers = self.ahead_at_peers(rank.class());
        // Of those that are as urgent, those that came later stand behind.
        let ahead = as_count(place).saturating_add(peers.better + peers.equal / 2);
        self.now + self.wait_behind(ahead, Some(rank)) + self.best_first(work) > work.objective_at
    }

    /// Whether a target has a place that a request of this rank may take now.
    fn is_open(&self, load: &TargetLoad, rank: LineRank, peers: &[PlaceClaimant<'_>]) -> bool {
        let place = OpenPlace { target: load.key(), freed: load.freed() };
        let own = PlaceClaimant { vm: &self.options.name, class: rank.class() };
        // Where a target names a limit, each VM has its own part of it.
        let is_turn = load.limit() != TargetLimit::None
            || place_turn::is_turn(self.now, self.sharing.turn_span, place, own, peers);
        load.free_places(self.now) > 0 && is_turn
    }

    fn peers_ahead(&self, class: ClaimClass) -> u32 {
        let AheadCount { better, equal } = self.ahead_at_peers(class);
        better + equal
    }

    /// The requests at peers that may get a place before one of this class. None does where each VM has its own part of
    /// what the targets take.
    fn ahead_at_peers(&self, class: ClaimClass) -> AheadCount {
        if self.limits.is_some() {
            return AheadCount::default();
        }
        self.peers.ahead(self.now, self.state.key, class)
    }

    /// Chooses a target of the version on trial. A request that was sent before does not go there: one caller is not
    /// tried on twice.
    fn choose_on_trial(
        &self,
        rank: LineRank,
        work: &WaitingWork,
        peers: &[PlaceClaimant<'_>],
    ) -> Option<(&'a TargetLoad, PlacingForecast)> {
        if self.trial.is_empty() || work.begun || !work.excluded.is_empty() {
            return None;
        }
        let open = self.trial.iter().filter(|load| self.is_open(load, rank, peers));
        self.best_of(open.copied(), &self.need_of(work))
    }

    fn best_of(
        &self,
        loads: impl Iterator<Item = &'a TargetLoad>,
        need: &PlacingNeed,
    ) -> Option<(&'a TargetLoad, PlacingForecast)> {
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let forecast = |load| (load, placing::forecast(self.now, load, need, own, assumed));
        loads
            .map(forecast)
            .min_by_key(|(load, it)| (!it.on_time, !it.keeps_pauses, it.cost, load.key()))
    }

    fn need_of(&self, work: &WaitingWork) -> PlacingNeed {
        PlacingNeed {
            engine: work.engine,
            prompt: work.prompt,
            part: work.part,
            events: work.events,
            objective_left: work.objective_at.since(self.now),
            pause: work.pause,
        }
    }

    /// Chooses the target for a request, or nothing when it does better to wait.
    fn choose(
        &self,
        rank: LineRank,
        work: &WaitingWork,
        peers: &[PlaceClaimant<'_>],
    ) -> Option<(&'a TargetLoad, PlacingForecast)> {
        let now = self.now;
        let need = self.need_of(work);
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let permitted = self.usable.iter().filter(|load| !work.excluded.contains(&load.key()));
        let all = permitted.map(|load| (*load, placing::forecast(now, load, &need, own, assumed)));
        let (open, taken): (Vec<_>, Vec<_>) =
            all.partition(|(load, _)| self.is_open(load, rank, peers));
        let best = open.into_iter().min_by_key(place_order)?;
        let (_, forecast) = best;
        let in_time = forecast.keeps_pauses && forecast.first < need.objective_left;
        if forecast.on_time || (in_time && !forecast.doubtful) {
            return Some(best);
        }
        // No free place serves it on time. One that is taken may yet; and a late answer to one caller is
        // not worth the pauses of all whose streams run beside it.
        let better = |load: &TargetLoad, it: &PlacingForecast| match rank.late {
            true => it.keeps_pauses && !forecast.keeps_pauses,
            false => {
                let wait = self.place_wait(load);
                it.keeps_pauses && !it.doubtful && it.first + wait < need.objective_left
            }
        };
        let worth_waiting = taken.iter().any(|(load, it)| better(load, it));
        (!worth_waiting).then_some(best)
    }

    /// The time until one of a target's places is given back, when all are taken.
    fn place_wait(&self, load: &TargetLoad) -> Duration {
        self.state.hold.unwrap_or_default() / load.entry().slots.max(1)
    }

    /// Whether a request that has just joined would miss its objective behind the line, or its caller
    /// would have left before its turn: told at once, it can come back when the burst is over. One that
    /// must miss its objective in any case, for the length of its prompt, is let in.
    pub fn is_hopeless(&self, ticket: RequestSequence) -> bool {
        let Some(work) = self.state.line.iter().find(|work| work.ticket == ticket) else {
            return false;
        };
        let best = self.best_first(work);
        let rank = work.rank(self.now, best);
        let wait = self.expected_wait(Some(rank));
        let first_at = self.now + wait + best;
        let leaves = first_at + LEAVE_MARGIN > work.leave_at;
        leaves || (!rank.late && !wait.is_zero() && first_at > work.objective_at)
    }

    /// Returns the time until a request of this rank, or of the last rank, gets a place. Nothing is
    /// expected before any place was given back: a time that is only assumed is no ground to refuse
    /// anybody.
    pub fn expected_wait(&self, rank: Option<LineRank>) -> Duration {
        let before = |other: LineRank| rank.is_none_or(|rank| other < rank);
        let own = self.ordered().iter().filter(|(other, _)| before(*other)).count();
        let peers = match rank {
            Some(rank) => self.peers_ahead(rank.class()),
            None if self.limits.is_some() => 0,
            None => self.peers.waiting(self.now, self.state.key),
        };
        self.wait_behind(as_count(own).saturating_add(peers), rank)
    }

    /// The time until `ahead` requests have got a place, and those that come meanwhile and are more urgent than `rank`.
    fn wait_behind(&self, ahead: u32, rank: Option<LineRank>) -> Duration {
        let places: u32 = self.usable.iter().map(|load| load.entry().slots).sum();
        let hold = self.state.hold.unwrap_or_default();
        if let Some(limits) = &self.limits {
            let first = self.held_until.map_or(Duration::ZERO, |until| until.since(self.now));
            return first + limit_part::time_for(ahead as usize, limits.iter());
        }
        let wait = hold.saturating_mul(ahead) / places.max(1);
        let Some(rank) = rank else { return wait };
        let rate = self.state.arrivals.more_urgent_rate(self.now, rank.class());
        let held = rate * f64::from(self.sharing.vms) * hold.as_secs_f64();
        wait.mul_f64(recent_arrivals::stretch(held / f64::from(places.max(1))))
    }

    /// Returns what peers are told of the line.
    pub fn wait_marks(&self) -> Vec<WaitMark> {
        let mut marks: BTreeMap<ClaimClass, u16> = BTreeMap::new();
        for work in self.state.line.iter() {
            let rank = work.rank(self.now, self.best_first(work));
            let count = marks.entry(rank.class()).or_default();
            *count = count.saturating_add(1);
        }
        let service = self.state.key;
        marks.into_iter().map(|(class, count)| WaitMark { service, class, count }).collect()
    }
}

/// Returns how much this VM may send to each of the targets that stay, where all of them name a limit.
fn limits_of(loads: &[&TargetLoad]) -> Option<Vec<TargetLimit>> {
    let staying = loads.iter().filter(|load| !load.entry().leaving);
    let named = |load: &&TargetLoad| Some(load.limit()).filter(|it| *it != TargetLimit::None);
    let limits = staying.map(named).collect::<Option<Vec<TargetLimit>>>()?;
    (!limits.is_empty()).then_some(limits)
}

/// Returns when a target wants work again; nothing for one that wants it now.
fn held_until_of(now: Moment, load: &TargetLoad) -> Option<Moment> {
    let wants_at = load.health().held_until().max(load.limit().wants_at(now));
    Some(wants_at).filter(|at| *at > now)
}

/// Returns when the first of these targets wants work again; nothing where one that stays gets none for another reason.
fn first_held_until(now: Moment, loads: &[&TargetLoad]) -> Option<Moment> {
    let staying = loads.iter().filter(|load| !load.entry().leaving);
    let held = staying.map(|load| held_until_of(now, load));
    held.collect::<Option<Vec<Moment>>>()?.into_iter().min()
}

/// How good a place is; the least is the best.
fn place_order((load, it): &(&TargetLoad, PlacingForecast)) -> (bool, bool, Duration, TargetKey) {
    (!it.on_time, !it.keeps_pauses, it.cost, load.key())
}

fn as_count(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}
