//! A simulation in virtual time of VMs that share targets with limits.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    decision::{Decision, RunEnd},
    ids::{Incarnation, RequestSequence, TargetKey},
    load_digest::{DigestEnvelope, FleetState, LoadDigest},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_notice::LimitNotice,
    target_speed::AssumedSpeed,
    units::{Moment, RequestRate, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

/// A VM observes a limit within this time after it has relayed an answer that announces the limit.
const OBSERVE_DELAY: Duration = Duration::from_millis(500);
/// The fleet observes a limit within this time after the target has first announced it.
const FLEET_DELAY: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(5);
const ANSWER_SPAN: Duration = Duration::from_millis(30);
const PATIENCE: Duration = Duration::from_millis(2_500);
const FULL_INTERVAL: Duration = Duration::from_millis(400);
const BRIEF_INTERVAL: Duration = Duration::from_millis(1_000);
const BRIEF_FAST_INTERVAL: Duration = Duration::from_millis(300);
/// One digest in this many is lost.
const LOSS_INVERSE: u32 = 20;
/// A VM reads the list of VMs this long after its start.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// A disturbance in the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// A VM is killed and restarts at once.
    Restart(usize),
    /// VMs with a lower index cannot reach the others until the given moment, and vice versa.
    Partition(usize, Moment),
    /// This many requests arrive at each VM at once.
    Burst(u64),
    /// A VM joins the fleet.
    Join,
}

/// The limit of a simulated target.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedLimit {
    /// The requests a second that it accepts; none for a target without a limit.
    pub rate: Option<RequestRate>,
    /// When it first announces the limit.
    pub from: Moment,
    /// When it stops announcing the limit.
    pub until: Moment,
}

impl SimulatedLimit {
    pub const NONE: Self = Self { rate: None, from: Moment(0), until: Moment(0) };

    fn notice(&self, now: Moment) -> LimitNotice {
        let is_announced = self.from <= now && now < self.until;
        self.rate.filter(|_| is_announced).map_or(LimitNotice::Unnamed, LimitNotice::Named)
    }
}

struct SimulatedVm {
    scheduler: Scheduler,
    started: Moment,
    is_listed: bool,
    last_digest: Moment,
    last_brief_digest: Moment,
    /// When it first relayed an answer that announced a target's limit.
    limit_seen: BTreeMap<usize, Moment>,
}

struct Answer {
    at: Moment,
    vm: usize,
    started: Moment,
    ticket: RequestSequence,
    target: usize,
    sent_at: Moment,
}

/// A request that arrived at a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Moment,
    /// Whether its VM had relayed an announcement of the limit at least [`OBSERVE_DELAY`] before.
    pub limit_known: bool,
}

/// The outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub placed: u32,
    pub refused: u32,
}

pub struct LimitSimulation {
    rng: SmallRng,
    pub now: Moment,
    vms: Vec<SimulatedVm>,
    limits: Vec<SimulatedLimit>,
    answers: Vec<Answer>,
    in_transit: Vec<(Moment, usize, usize, DigestEnvelope)>,
    partition: Option<(usize, Moment)>,
    /// The requests a second at each VM.
    rate: f64,
    next: u64,
    pub arrivals: Vec<Vec<Arrival>>,
    pub tally: Tally,
}

fn vm_name(vm: usize) -> String {
    format!("e{vm}")
}

fn member(vm: usize) -> CellMember {
    let centre = ["hall-a", "hall-b", "hall-c"][vm % 3];
    CellMember { name: vm_name(vm).as_str().into(), data_centre: centre.into() }
}

fn entry(target: usize) -> TargetEntry {
    TargetEntry {
        name: format!("t{target}").as_str().into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "desk".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: member(target).data_centre,
        slots: 6,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

pub fn target_key(target: usize) -> TargetKey {
    entry(target).key()
}

fn start_vm(vm: usize, targets: usize, now: Moment) -> SimulatedVm {
    let CellMember { name, data_centre } = member(vm);
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name,
        data_centre,
        incarnation: Incarnation(now.0),
        seed: vm as u64 + now.0,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedSpeed::default(),
        policy: Default::default(),
    });
    scheduler.set_targets(now, (0..targets).map(entry).collect());
    SimulatedVm {
        scheduler,
        started: now,
        is_listed: false,
        last_digest: now,
        last_brief_digest: now,
        limit_seen: BTreeMap::new(),
    }
}

impl LimitSimulation {
    pub fn new(seed: u64, vms: usize, limits: Vec<SimulatedLimit>, rate: f64) -> Self {
        let now = Moment::from_millis(1_000);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            vms: (0..vms).map(|vm| start_vm(vm, limits.len(), now)).collect(),
            arrivals: vec![Vec::new(); limits.len()],
            limits,
            answers: Vec::new(),
            in_transit: Vec::new(),
            partition: None,
            rate,
            next: 1,
            tally: Tally::default(),
        }
    }

    pub fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Restart(vm) => self.vms[vm] = start_vm(vm, self.limits.len(), self.now),
            Disturbance::Partition(vm, until) => self.partition = Some((vm, until)),
            Disturbance::Join => {
                self.vms.push(start_vm(self.vms.len(), self.limits.len(), self.now));
            }
            Disturbance::Burst(count) => {
                for vm in 0..self.vms.len() {
                    (0..count).for_each(|_| self.submit(vm));
                }
            }
        }
    }

    pub fn run_until(&mut self, end: Moment) {
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver_digests();
            self.deliver_answers();
            for vm in 0..self.vms.len() {
                self.list_peers(vm);
                let expected = self.rate * TICK.as_secs_f64();
                if self.rng.random_bool(expected.min(1.0)) {
                    self.submit(vm);
                }
                let now = self.now;
                self.vms[vm].scheduler.advance(now);
                self.apply_decisions(vm);
                self.send_digests(vm);
            }
        }
    }

    fn list_peers(&mut self, vm: usize) {
        let due = self.now.since(self.vms[vm].started) >= LIST_DELAY;
        if due && !std::mem::replace(&mut self.vms[vm].is_listed, true) {
            let others: Vec<CellMember> =
                (0..self.vms.len()).filter(|other| *other != vm).map(member).collect();
            self.vms[vm].scheduler.list_peers(self.now, &others);
        }
    }

    fn submit(&mut self, vm: usize) {
        let (ticket, now) = (RequestSequence(self.next), self.now);
        self.next += 1;
        let work = WaitingRequest {
            ticket,
            service: "desk".into(),
            tier: TierRank(0),
            route_tier: TierRank(0),
            engine: false,
            prompt: Tokens(0),
            prompt_hash: None,
            events: 1,
            arrived: now,
            is_retry: false,
            objective_at: now + Duration::from_millis(150),
            leave_at: now + PATIENCE,
            pause: None,
            begun: false,
            version: None,
            excluded: Vec::new(),
            may_rerun: false,
            organisation: Default::default(),
        };
        self.vms[vm].scheduler.enter(now, work);
        self.apply_decisions(vm);
    }

    fn apply_decisions(&mut self, vm: usize) {
        for decision in self.vms[vm].scheduler.take_decisions() {
            let Decision::Place { ticket, target, .. } = decision else {
                self.tally.refused += 1;
                continue;
            };
            self.tally.placed += 1;
            let target = (0..self.limits.len())
                .find(|it| target_key(*it) == target.key())
                .expect("a target of the simulation");
            let seen = self.vms[vm].limit_seen.get(&target);
            let limit_known = seen.is_some_and(|seen| self.now.since(*seen) >= OBSERVE_DELAY);
            self.arrivals[target].push(Arrival { at: self.now, limit_known });
            let (at, sent_at) = (self.now + ANSWER_SPAN, self.now);
            let started = self.vms[vm].started;
            self.answers.push(Answer { at, vm, started, ticket, target, sent_at });
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<Answer>, Vec<Answer>) =
            self.answers.drain(..).partition(|answer| answer.at <= now);
        self.answers = rest;
        for answer in due {
            let notice = self.limits[answer.target].notice(now);
            let vm = &mut self.vms[answer.vm];
            if vm.started != answer.started {
                continue;
            }
            if notice != LimitNotice::Unnamed {
                vm.limit_seen.entry(answer.target).or_insert(now);
            }
            vm.scheduler.record_limit(now, target_key(answer.target), notice, answer.sent_at);
            vm.scheduler.end(now, answer.ticket, RunEnd::Whole);
            self.apply_decisions(answer.vm);
        }
    }

    fn send_digests(&mut self, from: usize) {
        let now = self.now;
        let vm = &mut self.vms[from];
        let is_due = now.since(vm.last_digest) >= FULL_INTERVAL || vm.scheduler.take_changed();
        if is_due && now.since(vm.last_digest) >= vm.scheduler.digest_interval() {
            vm.last_digest = now;
            let digest = vm.scheduler.digest(now, FleetState::default(), false);
            self.send(from, &digest, true);
        }
        let vm = &mut self.vms[from];
        let interval =
            if vm.scheduler.has_fresh_limit(now) { BRIEF_FAST_INTERVAL } else { BRIEF_INTERVAL };
        if now.since(vm.last_brief_digest) >= interval {
            vm.last_brief_digest = now;
            vm.scheduler.plan_cells(now);
            let digest = vm.scheduler.brief_digest(now, FleetState::default(), false);
            self.send(from, &digest, false);
        }
    }

    fn send(&mut self, from: usize, digest: &LoadDigest, to_cell: bool) {
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            let in_cell = self.vms[from].scheduler.is_cell_peer(&member(to).name);
            let is_lost = self.rng.random_ratio(1, LOSS_INVERSE);
            if in_cell != to_cell || is_lost || self.is_partitioned(from, to) {
                continue;
            }
            let envelope = DigestEnvelope { from: member(from).name, digest: digest.clone() };
            let travel = Duration::from_millis(self.rng.random_range(1..40));
            self.in_transit.push((self.now + travel, from, to, envelope));
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let partition = self.partition.filter(|(_, until)| self.now < *until);
        partition.is_some_and(|(side, _)| (from < side) != (to < side))
    }

    fn deliver_digests(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|(at, ..)| *at <= now);
        self.in_transit = rest;
        due.sort_by_key(|(at, ..)| *at);
        for (_, from, to, envelope) in due {
            let is_current = envelope.digest.incarnation == Incarnation(self.vms[from].started.0);
            if is_current {
                self.vms[to].scheduler.apply_digest(now, envelope);
                self.apply_decisions(to);
            }
        }
    }

    /// Returns whether a VM knows of a target's limit.
    pub fn knows_limit(&self, vm: usize, target: usize) -> bool {
        self.vms[vm].scheduler.knows_limit(target_key(target))
    }

    /// Returns when the requests arrived at a target that its VMs had to count against the limit.
    pub fn counted(&self, target: usize) -> Vec<Moment> {
        let limit = self.limits[target];
        let counts = |it: &&Arrival| it.limit_known && it.at >= limit.from && it.at < limit.until;
        self.arrivals[target].iter().filter(counts).map(|it| it.at).collect()
    }

    /// Returns the most requests in a window that ends when the fleet must observe a target's
    /// limit.
    pub fn most_counted(&self, target: usize) -> usize {
        let observed_from = self.limits[target].from + FLEET_DELAY;
        let counted = self.counted(target);
        let within = |end: &Moment| {
            let window =
                counted.iter().filter(|at| **at <= *end && end.since(**at) < crate::WINDOW);
            window.count()
        };
        counted.iter().filter(|end| **end >= observed_from).map(within).max().unwrap_or(0)
    }
}
