//! A model of unlike engines, of the VMs before them, and of their callers.
//!
//! One VM, or several that share them, before three engines for each, two of them four times as fast as
//! the third. An engine takes as many requests at once as it has slots, in order of arrival, reads prompts
//! one after the other, and then makes events at its pace. Digests travel as the daemon sends them. Callers
//! that are told to come back do so once, where a test says so. Time is virtual; arrivals are drawn from a seed.

use std::{
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    deadline_habit::DeadlineHabit,
    decision::{Decision, RunEnd},
    digest_route::DigestPeer,
    ids::{Incarnation, RequestSequence, VmName},
    load_digest::{DigestEnvelope, FleetNews, LoadDigest},
    pace::AssumedPace,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    units::{LinkRate, Moment, TierRank, Tokens},
    wait_line::WaitingWork,
};

const SLOTS: usize = 9;
/// How long a digest travels, in microseconds.
const DIGEST_TRAVEL: u64 = 500;
/// How long callers wait for an answer from when they ask first.
const DEADLINE: Duration = Duration::from_secs(12);
/// Microseconds for a prompt token and between events, by engine.
const ENGINES: [(&str, u64, u64); 3] =
    [("fast-1", 13, 16_000), ("fast-2", 13, 16_000), ("slow", 55, 70_000)];

/// One kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    tier: u8,
    prompt: u64,
    events: u64,
    pub objective: Duration,
    patience: Duration,
    /// Requests a second in calm.
    rate: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        tier: 0,
        prompt: 6_000,
        events: 60,
        objective: Duration::from_millis(1_000),
        patience: Duration::from_millis(4_000),
        rate: 4.0,
    },
    Kind {
        tier: 1,
        prompt: 600,
        events: 50,
        objective: Duration::from_millis(400),
        patience: Duration::from_millis(3_200),
        rate: 6.0,
    },
    Kind {
        tier: 2,
        prompt: 1_800,
        events: 4,
        objective: Duration::from_millis(500),
        patience: Duration::from_millis(3_000),
        rate: 6.0,
    },
];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Arrival(usize),
    /// A caller that was refused asks again.
    Return(u64),
    Event(u64),
    End(u64),
    /// A VM tells the others what it has under way.
    Tell(usize),
    /// What this VM told last arrives at the others.
    Hear(usize),
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub on_time: u32,
    pub served: u32,
    pub refused: u32,
    /// The longest time that one was held before it was refused.
    pub held: Duration,
    /// The sum of these times.
    held_sum: Duration,
}

impl Tally {
    /// Returns for how long a request was held before it was refused, in the mean.
    pub fn mean_held(&self) -> Duration {
        self.held_sum / self.refused.max(1)
    }
}

#[derive(Default)]
struct EngineState {
    /// Microseconds for a prompt token and between events.
    per_token: u64,
    per_event: u64,
    /// When the prompts taken so far will have been read.
    reader_free: u64,
    running: usize,
    /// Requests that have no slot yet.
    queue: VecDeque<u64>,
}

struct PlayedVm {
    scheduler: Scheduler,
    told_at: u64,
    /// What it told last, on its way to the others.
    told: Option<LoadDigest>,
    tells: bool,
    habits: [DeadlineHabit; 3],
}

/// One request: its kind, its VM, when it arrived, when its caller asked first, and where it was placed.
struct PlayedRequest {
    kind: usize,
    vm: usize,
    arrived: u64,
    asked: u64,
    engine: Option<String>,
}

pub struct LoadPlay {
    vms: Vec<PlayedVm>,
    /// Groups of three engines; what comes is in proportion to them.
    groups: usize,
    rng: SmallRng,
    engines: BTreeMap<String, EngineState>,
    agenda: BinaryHeap<std::cmp::Reverse<(u64, Happening)>>,
    requests: BTreeMap<u64, PlayedRequest>,
    first: BTreeMap<u64, u64>,
    pub tallies: [Tally; 3],
    /// Whether callers that are told to come back do.
    pub callers_return: bool,
    /// Requests that were placed, and those of them that found no slot at their engine.
    pub placed: u32,
    pub stood_in_line: u32,
}

fn vm_name(index: usize) -> VmName {
    format!("e{index}").as_str().into()
}

impl LoadPlay {
    pub fn new(seed: u64) -> Self {
        Self::with_vms(1, seed)
    }

    /// Sets up `count` VMs that share three engines for each of them.
    pub fn with_vms(count: usize, seed: u64) -> Self {
        Self::with_groups(count, count, seed)
    }

    /// Sets up `count` VMs of one data centre that share `groups` of three engines.
    pub fn with_groups(count: usize, groups: usize, seed: u64) -> Self {
        let names = (0..groups).flat_map(|group| {
            ENGINES.map(|(name, per_token, per_event)| {
                (
                    format!("{name}-{group}"),
                    EngineState { per_token, per_event, ..Default::default() },
                )
            })
        });
        let engines: BTreeMap<String, EngineState> = names.collect();
        let entry = |name: &String| TargetEntry {
            name: name.as_str().into(),
            life: Default::default(),
            version: "v1".into(),
            service: "drafting".into(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "hall-a".into(),
            slots: SLOTS as u32,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let member = |index| CellMember { name: vm_name(index), data_centre: "hall-a".into() };
        let peer = |index| DigestPeer {
            name: vm_name(index),
            data_centre: "hall-a".into(),
            link: LinkRate(20),
        };
        let start = |index: usize| {
            let mut scheduler = Scheduler::new(SchedulerOptions {
                name: vm_name(index),
                data_centre: "hall-a".into(),
                incarnation: Incarnation(1),
                seed: seed + index as u64,
                retry: RetryRule::default(),
                rollout: Default::default(),
                assumed: AssumedPace::default(),
            });
            scheduler.set_targets(Moment(1), engines.keys().map(entry).collect());
            let others = (0..count).filter(|other| *other != index).map(member);
            scheduler.list_peers(Moment(1), &others.collect::<Vec<_>>());
            let peers: Vec<DigestPeer> = (0..count).filter(|it| *it != index).map(peer).collect();
            scheduler.mate_recipients(Moment(1), &peers);
            let habits = Default::default();
            PlayedVm { scheduler, told_at: 0, told: None, tells: false, habits }
        };
        Self {
            vms: (0..count).map(start).collect(),
            groups,
            rng: SmallRng::seed_from_u64(seed),
            engines,
            agenda: BinaryHeap::new(),
            requests: BTreeMap::new(),
            first: BTreeMap::new(),
            tallies: [Tally::default(); 3],
            callers_return: false,
            placed: 0,
            stood_in_line: 0,
        }
    }

    fn plan(&mut self, at: u64, happening: Happening) {
        self.agenda.push(std::cmp::Reverse((at, happening)));
    }

    /// Plays `seconds` of arrivals, `factor` times as many of them from 5 s to 9 s, and the time until
    /// all have ended.
    pub fn play(mut self, seconds: u64, factor: f64) -> Self {
        for (index, kind) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            while at < seconds as f64 {
                let burst = if (5.0..9.0).contains(&at) { factor } else { 1.0 };
                let draw: f64 = self.rng.random_range(1e-9..1.0);
                at += -draw.ln() / (kind.rate * burst * self.groups as f64);
                self.plan(1_000 + (at * 1e6) as u64, Happening::Arrival(index));
            }
        }
        let mut now = 0;
        while let Some(std::cmp::Reverse((at, happening))) = self.agenda.pop() {
            // The line is looked at every 10 ms while somebody waits.
            while now + 10_000 < at {
                now += 10_000;
                for vm in 0..self.vms.len() {
                    self.vms[vm].scheduler.advance(Moment(now));
                    self.follow(now, vm);
                }
            }
            now = at;
            self.take(now, happening);
            for vm in 0..self.vms.len() {
                self.follow(now, vm);
            }
        }
        self
    }

    fn take(&mut self, now: u64, happening: Happening) {
        match happening {
            Happening::Arrival(index) => {
                self.tallies[index].asked += 1;
                self.arrive(now, index, now);
            }
            Happening::Return(ticket) => {
                let PlayedRequest { kind, asked, .. } = self.requests[&ticket];
                self.arrive(now, kind, asked);
            }
            Happening::Event(ticket) => {
                self.first.entry(ticket).or_insert(now);
                let vm = self.requests[&ticket].vm;
                self.vms[vm].scheduler.note_event(Moment(now), RequestSequence(ticket));
            }
            Happening::End(ticket) => self.end(now, ticket),
            Happening::Tell(vm) => {
                let teller = &mut self.vms[vm];
                (teller.tells, teller.told_at) = (false, now);
                teller.told =
                    Some(teller.scheduler.digest(Moment(now), FleetNews::default(), false));
                self.plan(now + DIGEST_TRAVEL, Happening::Hear(vm));
            }
            Happening::Hear(vm) => {
                let Some(digest) = self.vms[vm].told.take() else { return };
                let envelope = DigestEnvelope { from: vm_name(vm), digest };
                let is_told = |other: &usize| {
                    self.vms[vm].scheduler.is_mate(&vm_name(*other)) && *other != vm
                };
                let told: Vec<usize> = (0..self.vms.len()).filter(is_told).collect();
                for other in told {
                    self.vms[other].scheduler.take_digest(Moment(now), envelope.clone());
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, kind: usize, asked: u64) {
        let ticket = self.requests.len() as u64 + 1;
        let vm = self.rng.random_range(0..self.vms.len());
        let request = PlayedRequest { kind, vm, arrived: now, asked, engine: None };
        self.requests.insert(ticket, request);
        let left = DEADLINE.saturating_sub(Duration::from_micros(now - asked));
        let waited = self.vms[vm].habits[kind].waited(left);
        let new = work(ticket, &KINDS[kind], Moment(now));
        let objective_at = new.objective_at.before(waited);
        let came_back = !waited.is_zero();
        let work = WaitingWork { came_back, objective_at, ..new };
        self.vms[vm].scheduler.enter(Moment(now), work);
    }

    fn end(&mut self, now: u64, ticket: u64) {
        let request = &self.requests[&ticket];
        let objective = KINDS[request.kind].objective.as_micros() as u64;
        let tally = &mut self.tallies[request.kind];
        tally.served += 1;
        tally.on_time += u32::from(self.first[&ticket] - request.asked <= objective);
        let name = request.engine.clone().expect("it was placed");
        self.vms[request.vm].scheduler.end(Moment(now), RequestSequence(ticket), RunEnd::Whole);
        let engine = self.engines.get_mut(&name).expect("an engine");
        engine.running -= 1;
        if let Some(next) = engine.queue.pop_front() {
            self.start(now, next, &name);
        }
    }

    /// Does what a VM has decided, and lets it tell the others.
    fn follow(&mut self, now: u64, vm: usize) {
        for decision in self.vms[vm].scheduler.take_decisions() {
            match decision {
                Decision::Place { ticket, target, .. } => {
                    self.serve(now, ticket.0, target.name.as_str());
                }
                Decision::Refuse { ticket, retry_after, .. } => {
                    let request = &self.requests[&ticket.0];
                    let returns = self.callers_return && request.asked == request.arrived;
                    let tally = &mut self.tallies[request.kind];
                    tally.refused += 1;
                    let held = Duration::from_micros(now - request.arrived);
                    tally.held = tally.held.max(held);
                    tally.held_sum += held;
                    if returns {
                        let at = now + retry_after.as_micros() as u64;
                        self.plan(at, Happening::Return(ticket.0));
                    }
                }
            }
        }
        let teller = &mut self.vms[vm];
        if teller.scheduler.take_changed() && !std::mem::replace(&mut teller.tells, true) {
            let interval = teller.scheduler.digest_interval().as_micros() as u64;
            let at = now.max(teller.told_at + interval);
            self.plan(at, Happening::Tell(vm));
        }
    }

    fn serve(&mut self, now: u64, ticket: u64, name: &str) {
        self.placed += 1;
        self.requests.get_mut(&ticket).expect("it came").engine = Some(name.to_owned());
        let engine = self.engines.get_mut(name).expect("an engine");
        if engine.running >= SLOTS {
            engine.queue.push_back(ticket);
            self.stood_in_line += 1;
        } else {
            self.start(now, ticket, name);
        }
    }

    fn start(&mut self, now: u64, ticket: u64, name: &str) {
        let kind = KINDS[self.requests[&ticket].kind];
        let engine = self.engines.get_mut(name).expect("an engine");
        engine.running += 1;
        engine.reader_free = engine.reader_free.max(now) + kind.prompt * engine.per_token;
        let (first, per_event) = (engine.reader_free + 20_000, engine.per_event);
        for number in 0..kind.events {
            self.plan(first + number * per_event, Happening::Event(ticket));
        }
        self.plan(first + kind.events * per_event, Happening::End(ticket));
    }
}

fn work(ticket: u64, kind: &Kind, now: Moment) -> WaitingWork {
    WaitingWork {
        ticket: RequestSequence(ticket),
        service: "drafting".into(),
        tier: TierRank(kind.tier),
        route_tier: TierRank(kind.tier),
        engine: true,
        prompt: Tokens(kind.prompt),
        part: None,
        events: kind.events as u32,
        arrived: now,
        came_back: false,
        objective_at: now + kind.objective,
        leave_at: now + kind.patience,
        pause: Some(Duration::from_millis(400)),
        begun: false,
        excluded: Vec::new(),
    }
}
