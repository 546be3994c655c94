//! A simulation of cells in several data centres that exchange their real digests with a delay.
//!
//! Two engines in three are four times as fast as the third. An engine runs as many requests as it
//! has slots, in order of arrival. Time is virtual, and arrivals are drawn from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    decision::{Decision, RunEnd},
    digest_route::DigestPeer,
    ids::{Incarnation, RequestSequence, VmName},
    load_digest::{DigestEnvelope, FleetState, LoadDigest},
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    scheduler_overflow::OverflowUrgency,
    scheduling_policy::{PolicySwitch, SchedulingPolicy},
    target_load::TargetEntry,
    units::{LinkRate, Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

pub const CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
pub const VMS: usize = 16;
const TARGETS: usize = 20;
const SLOTS: usize = 6;
/// Requests a second in each data centre at usual load: 0.6 of what its engines can serve.
const RATE: f64 = 150.0;
const PROMPT: u64 = 1_500;
const EVENTS: u64 = 20;
const OBJECTIVES: [u64; 2] = [300, 800];
/// The delay of digests inside a cell, and outside it with the time at a relay, in microseconds.
const CELL_DELAY: u64 = 500;
const BRIEF_DELAY: u64 = 15_000;
const TICK: u64 = 5_000;
/// The share of all requests that arrive at one VM while the load leans.
const LEAN_SHARE: f64 = 0.8;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrival(usize),
    First(u64),
    End(u64),
    Receive(usize),
    Restart,
    Tick,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub refused: u32,
    pub on_time: u32,
}

struct SimVm {
    scheduler: Scheduler,
    cell_sent: u64,
    brief_sent: u64,
    is_changed: bool,
}

#[derive(Default)]
struct SimEngine {
    is_slow: bool,
    reader_free_at: u64,
    running: usize,
    queue: VecDeque<u64>,
}

struct SimRequest {
    vm: usize,
    arrived: u64,
    objective: u64,
    engine: String,
    is_begun: bool,
}

/// The load and the failures of one run; spans are in milliseconds.
#[derive(Clone, Copy)]
pub struct Script {
    pub policy: SchedulingPolicy,
    pub seconds: u64,
    /// The factor on the load of the first data centre in `burst`.
    pub factor: f64,
    pub burst: (u64, u64),
    /// Whether the additional load of the burst arrives at one cell.
    pub is_skewed: bool,
    /// The factor on the load of the other data centres in `return_span`.
    pub return_factor: f64,
    pub return_span: (u64, u64),
    /// While no brief digest arrives between data centres.
    pub cut: (u64, u64),
    /// The share of brief digests that are lost.
    pub loss: f64,
    /// When the VMs of the second data centre restart and lose their state; 0 for never.
    pub restart: u64,
    /// While most requests of all data centres arrive at the first VM.
    pub lean: (u64, u64),
    /// The factor on the load of all data centres.
    pub load: f64,
}

/// Overflow without the other policies.
pub const OVERFLOW_ONLY: SchedulingPolicy =
    SchedulingPolicy { overflow: PolicySwitch::On, ..SchedulingPolicy::OFF };

pub const QUIET: Script = Script {
    policy: OVERFLOW_ONLY,
    seconds: 6,
    factor: 1.0,
    burst: (0, 0),
    is_skewed: false,
    return_factor: 1.0,
    return_span: (0, 0),
    cut: (0, 0),
    loss: 0.0,
    restart: 0,
    lean: (0, 0),
    load: 1.0,
};

pub struct FleetSimulation {
    script: Script,
    targets: Vec<TargetEntry>,
    rng: SmallRng,
    vms: Vec<SimVm>,
    engines: BTreeMap<String, SimEngine>,
    requests: BTreeMap<u64, SimRequest>,
    digests: Vec<(usize, bool, LoadDigest)>,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    /// The results in each data centre, for requests that arrived after the first second.
    pub tallies: [Tally; 3],
    /// The requests in the order of their placement, each with its target.
    pub placements: Vec<(u64, String)>,
    /// When requests were placed at targets of other cells, and whether in another data centre.
    pub borrowed: Vec<(u64, bool)>,
    /// The number of brief digests with overflow reports.
    pub reports: u32,
}

impl FleetSimulation {
    /// Returns the share of the requests of all VMs that arrived in a span and were served.
    pub fn served(&self, span: (u64, u64)) -> f64 {
        let asked = self.requests.values().filter(|request| is_in(request.arrived, span));
        let (served, refused): (Vec<_>, Vec<_>) = asked.partition(|request| request.is_begun);
        served.len() as f64 / (served.len() + refused.len()) as f64
    }
}

pub fn name(index: usize) -> VmName {
    format!("e{index}").as_str().into()
}

fn centre_of(vm: usize) -> usize {
    vm / VMS
}

pub fn is_in(at: u64, (from, to): (u64, u64)) -> bool {
    (from * 1_000..to * 1_000).contains(&at)
}

/// Returns the targets of all data centres.
pub fn targets() -> Vec<TargetEntry> {
    let entry = |index: usize| TargetEntry {
        name: format!("t{index}").as_str().into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: CENTRES[index / TARGETS].into(),
        slots: SLOTS as u32,
        leaving: false,
        warmup: Duration::ZERO,
    };
    (0..TARGETS * 3).map(entry).collect()
}

/// Returns the scheduler of one VM; each seed is another incarnation.
pub fn scheduler(
    index: usize,
    seed: u64,
    policy: SchedulingPolicy,
    targets: &[TargetEntry],
) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: name(index),
        data_centre: CENTRES[centre_of(index)].into(),
        incarnation: Incarnation(seed),
        seed: seed + index as u64,
        retry: Default::default(),
        rollout: Default::default(),
        assumed: Default::default(),
        policy,
    });
    let others = (0..VMS * 3).filter(|other| *other != index);
    let centre = |index: usize| CENTRES[centre_of(index)].into();
    let member = |index| CellMember { name: name(index), data_centre: centre(index) };
    let members: Vec<CellMember> = others.map(member).collect();
    scheduler.list_peers(Moment(1), &members);
    scheduler.set_targets(Moment(1), targets.to_vec());
    let peer = |member: CellMember| DigestPeer {
        name: member.name,
        data_centre: member.data_centre,
        link: LinkRate(20),
    };
    let peers: Vec<DigestPeer> = members.into_iter().map(peer).collect();
    scheduler.cell_recipients(Moment(1), &peers);
    scheduler
}

impl FleetSimulation {
    /// Plays a script until its arrivals end, and two seconds more.
    pub fn play(seed: u64, script: Script) -> Self {
        let targets = targets();
        let engine = |index: usize| {
            let is_slow = index % 3 == 2;
            (format!("t{index}"), SimEngine { is_slow, ..SimEngine::default() })
        };
        let vm = |index| SimVm {
            scheduler: scheduler(index, seed, script.policy, &targets),
            cell_sent: 0,
            brief_sent: index as u64 * 20_000,
            is_changed: true,
        };
        let mut simulation = Self {
            script,
            targets: targets.clone(),
            rng: SmallRng::seed_from_u64(seed),
            vms: (0..VMS * 3).map(vm).collect(),
            engines: (0..TARGETS * 3).map(engine).collect(),
            requests: BTreeMap::new(),
            digests: Vec::new(),
            events: BinaryHeap::new(),
            tallies: Default::default(),
            placements: Vec::new(),
            borrowed: Vec::new(),
            reports: 0,
        };
        simulation.add_arrivals();
        simulation.run();
        simulation
    }

    /// Returns the share of a data centre's requests that were refused.
    pub fn refused(&self, centre: usize) -> f64 {
        f64::from(self.tallies[centre].refused) / f64::from(self.tallies[centre].asked)
    }

    /// Returns the number of requests borrowed for in a span, those in another data centre only.
    pub fn remote(&self, span: (u64, u64)) -> usize {
        self.borrowed.iter().filter(|(at, is_remote)| *is_remote && is_in(*at, span)).count()
    }

    fn add_arrivals(&mut self) {
        let is_in_first = |vm: &usize| self.vms[0].scheduler.is_cell_peer(&name(*vm));
        let first_cell: Vec<usize> = (0..VMS).filter(is_in_first).chain([0]).collect();
        for centre in 0..3 {
            let mut at = 2_000.0;
            while at < self.script.seconds as f64 * 1e6 {
                let factor = match centre {
                    0 if is_in(at as u64, self.script.burst) => self.script.factor,
                    1 | 2 if is_in(at as u64, self.script.return_span) => self.script.return_factor,
                    _ => 1.0,
                };
                let draw: f64 = self.rng.random_range(1e-9..1.0);
                at += -draw.ln() / (RATE * factor * self.script.load) * 1e6;
                let mut vm = centre * VMS + self.rng.random_range(0..VMS);
                if factor > 1.0 && self.script.is_skewed && self.rng.random_bool(1.0 - 1.0 / factor)
                {
                    vm = first_cell[self.rng.random_range(0..first_cell.len())];
                }
                if is_in(at as u64, self.script.lean) && self.rng.random_bool(LEAN_SHARE) {
                    vm = 0;
                }
                self.schedule(at as u64, SimEvent::Arrival(vm));
            }
        }
        if self.script.restart > 0 {
            self.schedule(self.script.restart * 1_000, SimEvent::Restart);
        }
        for tick in 1..(self.script.seconds + 2) * 1_000_000 / TICK {
            self.schedule(tick * TICK, SimEvent::Tick);
        }
    }

    fn restart(&mut self) {
        for vm in VMS..VMS * 2 {
            self.vms[vm].scheduler = scheduler(vm, 2, self.script.policy, &self.targets);
        }
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                SimEvent::Arrival(vm) => self.arrive(now, vm),
                SimEvent::First(ticket) => {
                    let request = self.requests.get_mut(&ticket).expect("it is known");
                    let is_on_time = now - request.arrived <= request.objective;
                    let (vm, is_counted) = (request.vm, request.arrived > 1_000_000);
                    if !std::mem::replace(&mut request.is_begun, true) && is_counted {
                        self.tallies[centre_of(vm)].on_time += u32::from(is_on_time);
                    }
                    self.vms[vm].scheduler.record_event(Moment(now), RequestSequence(ticket));
                }
                SimEvent::End(ticket) => self.end(now, ticket),
                SimEvent::Receive(index) => self.receive(now, index),
                SimEvent::Restart => self.restart(),
                SimEvent::Tick => (0..self.vms.len()).for_each(|vm| self.tick(now, vm)),
            }
        }
    }

    fn arrive(&mut self, now: u64, vm: usize) {
        let ticket = self.requests.len() as u64 + 1;
        let tier = self.rng.random_range(0..OBJECTIVES.len());
        let objective = OBJECTIVES[tier] * 1_000;
        let (engine, is_begun) = (String::new(), false);
        self.requests.insert(ticket, SimRequest { vm, arrived: now, objective, engine, is_begun });
        self.tallies[centre_of(vm)].asked += u32::from(now > 1_000_000);
        let now = Moment(now);
        let work = WaitingRequest {
            ticket: RequestSequence(ticket),
            service: "drafting".into(),
            tier: TierRank(tier as u8),
            route_tier: TierRank(0),
            engine: true,
            prompt: Tokens(PROMPT),
            prompt_hash: None,
            events: EVENTS as u32,
            arrived: now,
            is_retry: false,
            objective_at: now + Duration::from_micros(objective),
            leave_at: now + Duration::from_secs(3),
            pause: Some(Duration::from_millis(400)),
            begun: false,
            version: None,
            excluded: Vec::new(),
            may_rerun: true,
            organisation: Default::default(),
        };
        self.vms[vm].scheduler.enter(now, work);
        self.apply_decisions(now.0, vm);
    }

    fn tick(&mut self, now: u64, vm: usize) {
        let sim = &mut self.vms[vm];
        if sim.scheduler.waiting() > 0 {
            sim.scheduler.advance(Moment(now));
        }
        let urgency = sim.scheduler.overflow_urgency(Moment(now));
        sim.is_changed |= sim.scheduler.take_changed();
        let interval = match urgency {
            OverflowUrgency::New => 100_000,
            OverflowUrgency::Renewed => 300_000,
            OverflowUrgency::None => 1_000_000,
        };
        let state = FleetState::default();
        if now >= sim.brief_sent + interval {
            sim.brief_sent = now;
            let digest = sim.scheduler.brief_digest(Moment(now), state.clone(), false);
            self.reports += u32::from(!digest.policies.is_empty());
            self.digests.push((vm, true, digest));
            self.schedule(now + BRIEF_DELAY, SimEvent::Receive(self.digests.len() - 1));
        }
        let sim = &mut self.vms[vm];
        let is_due = std::mem::take(&mut sim.is_changed) || now >= sim.cell_sent + 400_000;
        if is_due {
            sim.cell_sent = now;
            let digest = sim.scheduler.digest(Moment(now), state, false);
            self.digests.push((vm, false, digest));
            self.schedule(now + CELL_DELAY, SimEvent::Receive(self.digests.len() - 1));
        }
        self.apply_decisions(now, vm);
    }

    fn receive(&mut self, now: u64, index: usize) {
        let (from, is_brief, digest) = std::mem::take(&mut self.digests[index]);
        let envelope = DigestEnvelope { from: name(from), digest };
        for vm in (0..self.vms.len()).filter(|vm| *vm != from) {
            let is_cell_peer = self.vms[from].scheduler.is_cell_peer(&name(vm));
            let is_cut = centre_of(vm) != centre_of(from) && is_in(now, self.script.cut);
            let is_lost = is_brief && self.rng.random_bool(self.script.loss);
            if is_cell_peer != is_brief && !is_cut && !is_lost {
                self.vms[vm].scheduler.apply_digest(Moment(now), envelope.clone());
                self.apply_decisions(now, vm);
            }
        }
    }

    fn apply_decisions(&mut self, now: u64, vm: usize) {
        for decision in self.vms[vm].scheduler.take_decisions() {
            match decision {
                Decision::Place { ticket, target, evidence } => {
                    let is_remote = target.data_centre != CENTRES[centre_of(vm)].into();
                    if evidence.borrowed {
                        self.borrowed.push((now, is_remote));
                    }
                    self.serve(now, ticket.0, target.name.to_string());
                }
                Decision::Refuse { ticket, .. } => {
                    let is_counted = self.requests[&ticket.0].arrived > 1_000_000;
                    self.tallies[centre_of(vm)].refused += u32::from(is_counted);
                }
            }
        }
    }

    fn serve(&mut self, now: u64, ticket: u64, name: String) {
        self.placements.push((ticket, name.clone()));
        self.requests.get_mut(&ticket).expect("it is known").engine = name.clone();
        let engine = self.engines.get_mut(&name).expect("the engine exists");
        if engine.running >= SLOTS {
            engine.queue.push_back(ticket);
        } else {
            self.start(now, ticket, &name);
        }
    }

    fn start(&mut self, now: u64, ticket: u64, name: &str) {
        let engine = self.engines.get_mut(name).expect("the engine exists");
        engine.running += 1;
        let (per_token, per_event) = if engine.is_slow { (55, 70_000) } else { (13, 16_000) };
        engine.reader_free_at = engine.reader_free_at.max(now) + PROMPT * per_token;
        let first = engine.reader_free_at + 20_000;
        for number in 0..EVENTS {
            self.schedule(first + number * per_event, SimEvent::First(ticket));
        }
        self.schedule(first + EVENTS * per_event, SimEvent::End(ticket));
    }

    fn end(&mut self, now: u64, ticket: u64) {
        let request = &self.requests[&ticket];
        let (vm, name) = (request.vm, request.engine.clone());
        self.vms[vm].scheduler.end(Moment(now), RequestSequence(ticket), RunEnd::Whole);
        let engine = self.engines.get_mut(&name).expect("the engine exists");
        engine.running -= 1;
        if let Some(next) = engine.queue.pop_front() {
            self.start(now, next, &name);
        }
        self.apply_decisions(now, vm);
    }
}
