//! A model of VMs that share targets which name limits, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    decision::{Decision, RunEnd},
    ids::{Incarnation, RequestSequence, TargetKey},
    load_digest::{DigestEnvelope, FleetNews, LoadDigest},
    pace::AssumedPace,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_word::LimitWord,
    units::{Moment, RequestRate, TierRank, Tokens},
    wait_line::WaitingWork,
};

/// A VM that has passed an answer on which names a limit keeps to it after this time.
const TOLD_SPAN: Duration = Duration::from_millis(500);
/// From this time on after a target has named its limit first the fleet keeps to it.
const STABLE_SPAN: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(5);
const ANSWER_SPAN: Duration = Duration::from_millis(30);
const PATIENCE: Duration = Duration::from_millis(2_500);
const WHOLE_INTERVAL: Duration = Duration::from_millis(400);
const BRIEF_INTERVAL: Duration = Duration::from_millis(1_000);
const BRIEF_SHORT: Duration = Duration::from_millis(300);
/// One digest of this many is lost.
const LOST_OF: u32 = 20;
/// When a VM that has started has read who there is.
const LISTED_SPAN: Duration = Duration::from_millis(300);

/// Trouble that a play meets.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// A VM is killed and starts again at once.
    Restart(usize),
    /// The VMs with a lower index and the others do not hear each other until then.
    Cut(usize, Moment),
    /// So many requests come at each VM at once.
    Burst(u64),
    /// A VM joins the others.
    Join,
}

/// A target of the play.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The requests a second that it takes; nothing for one that names no limit.
    pub rate: Option<RequestRate>,
    /// When it names its limit first.
    pub from: Moment,
    /// When it ceases to.
    pub until: Moment,
}

impl Need {
    pub const NONE: Self = Self { rate: None, from: Moment(0), until: Moment(0) };

    fn named(&self, now: Moment) -> LimitWord {
        let is_named = self.from <= now && now < self.until;
        self.rate.filter(|_| is_named).map_or(LimitWord::Unnamed, LimitWord::Named)
    }
}

struct PlayedVm {
    scheduler: Scheduler,
    started: Moment,
    is_listed: bool,
    told: Moment,
    told_briefly: Moment,
    /// When it passed an answer on that named the limit of a target.
    heard: BTreeMap<usize, Moment>,
}

struct Answer {
    at: Moment,
    vm: usize,
    started: Moment,
    ticket: RequestSequence,
    target: usize,
    asked: Moment,
}

/// A request that came to a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Moment,
    /// Whether its VM had passed a limit on before.
    pub told: bool,
}

/// What became of callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub placed: u32,
    pub refused: u32,
}

pub struct LimitPlay {
    rng: SmallRng,
    pub now: Moment,
    vms: Vec<PlayedVm>,
    needs: Vec<Need>,
    answers: Vec<Answer>,
    mail: Vec<(Moment, usize, usize, DigestEnvelope)>,
    cut: Option<(usize, Moment)>,
    /// Requests a second at each VM.
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
        life: Default::default(),
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

fn start_vm(vm: usize, targets: usize, now: Moment) -> PlayedVm {
    let CellMember { name, data_centre } = member(vm);
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name,
        data_centre,
        incarnation: Incarnation(now.0),
        seed: vm as u64 + now.0,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedPace::default(),
    });
    scheduler.set_targets(now, (0..targets).map(entry).collect());
    PlayedVm {
        scheduler,
        started: now,
        is_listed: false,
        told: now,
        told_briefly: now,
        heard: BTreeMap::new(),
    }
}

impl LimitPlay {
    pub fn new(seed: u64, vms: usize, needs: Vec<Need>, rate: f64) -> Self {
        let now = Moment::from_millis(1_000);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            vms: (0..vms).map(|vm| start_vm(vm, needs.len(), now)).collect(),
            arrivals: vec![Vec::new(); needs.len()],
            needs,
            answers: Vec::new(),
            mail: Vec::new(),
            cut: None,
            rate,
            next: 1,
            tally: Tally::default(),
        }
    }

    pub fn meet(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Restart(vm) => self.vms[vm] = start_vm(vm, self.needs.len(), self.now),
            Trouble::Cut(vm, until) => self.cut = Some((vm, until)),
            Trouble::Join => {
                self.vms.push(start_vm(self.vms.len(), self.needs.len(), self.now));
            }
            Trouble::Burst(count) => {
                for vm in 0..self.vms.len() {
                    (0..count).for_each(|_| self.ask(vm));
                }
            }
        }
    }

    pub fn run_until(&mut self, end: Moment) {
        while self.now < end {
            self.now = self.now + TICK;
            self.hear_digests();
            self.hear_answers();
            for vm in 0..self.vms.len() {
                self.list_peers(vm);
                let expected = self.rate * TICK.as_secs_f64();
                if self.rng.random_bool(expected.min(1.0)) {
                    self.ask(vm);
                }
                let now = self.now;
                self.vms[vm].scheduler.advance(now);
                self.follow(vm);
                self.tell(vm);
            }
        }
    }

    fn list_peers(&mut self, vm: usize) {
        let due = self.now.since(self.vms[vm].started) >= LISTED_SPAN;
        if due && !std::mem::replace(&mut self.vms[vm].is_listed, true) {
            let others: Vec<CellMember> =
                (0..self.vms.len()).filter(|other| *other != vm).map(member).collect();
            self.vms[vm].scheduler.list_peers(self.now, &others);
        }
    }

    fn ask(&mut self, vm: usize) {
        let (ticket, now) = (RequestSequence(self.next), self.now);
        self.next += 1;
        let work = WaitingWork {
            ticket,
            service: "desk".into(),
            tier: TierRank(0),
            route_tier: TierRank(0),
            engine: false,
            prompt: Tokens(0),
            part: None,
            events: 1,
            arrived: now,
            came_back: false,
            objective_at: now + Duration::from_millis(150),
            leave_at: now + PATIENCE,
            pause: None,
            begun: false,
            excluded: Vec::new(),
        };
        self.vms[vm].scheduler.enter(now, work);
        self.follow(vm);
    }

    fn follow(&mut self, vm: usize) {
        for decision in self.vms[vm].scheduler.take_decisions() {
            let Decision::Place { ticket, target, .. } = decision else {
                self.tally.refused += 1;
                continue;
            };
            self.tally.placed += 1;
            let target = (0..self.needs.len())
                .find(|it| target_key(*it) == target.key())
                .expect("a target of the play");
            let heard = self.vms[vm].heard.get(&target);
            let told = heard.is_some_and(|heard| self.now.since(*heard) >= TOLD_SPAN);
            self.arrivals[target].push(Arrival { at: self.now, told });
            let (at, asked) = (self.now + ANSWER_SPAN, self.now);
            let started = self.vms[vm].started;
            self.answers.push(Answer { at, vm, started, ticket, target, asked });
        }
    }

    fn hear_answers(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<Answer>, Vec<Answer>) =
            self.answers.drain(..).partition(|answer| answer.at <= now);
        self.answers = rest;
        for answer in due {
            let word = self.needs[answer.target].named(now);
            let vm = &mut self.vms[answer.vm];
            if vm.started != answer.started {
                continue;
            }
            if word != LimitWord::Unnamed {
                vm.heard.entry(answer.target).or_insert(now);
            }
            vm.scheduler.note_limit(now, target_key(answer.target), word, answer.asked);
            vm.scheduler.end(now, answer.ticket, RunEnd::Whole);
            self.follow(answer.vm);
        }
    }

    fn tell(&mut self, from: usize) {
        let now = self.now;
        let vm = &mut self.vms[from];
        let is_due = now.since(vm.told) >= WHOLE_INTERVAL || vm.scheduler.take_changed();
        if is_due && now.since(vm.told) >= vm.scheduler.digest_interval() {
            vm.told = now;
            let digest = vm.scheduler.digest(now, FleetNews::default(), false);
            self.send(from, &digest, true);
        }
        let vm = &mut self.vms[from];
        let interval = if vm.scheduler.has_fresh_limit(now) { BRIEF_SHORT } else { BRIEF_INTERVAL };
        if now.since(vm.told_briefly) >= interval {
            vm.told_briefly = now;
            vm.scheduler.plan_cells(now);
            let digest = vm.scheduler.brief_digest(now, FleetNews::default(), false);
            self.send(from, &digest, false);
        }
    }

    fn send(&mut self, from: usize, digest: &LoadDigest, to_mates: bool) {
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            let is_mate = self.vms[from].scheduler.is_mate(&member(to).name);
            let is_lost = self.rng.random_ratio(1, LOST_OF);
            if is_mate != to_mates || is_lost || self.is_cut(from, to) {
                continue;
            }
            let envelope = DigestEnvelope { from: member(from).name, digest: digest.clone() };
            let travel = Duration::from_millis(self.rng.random_range(1..40));
            self.mail.push((self.now + travel, from, to, envelope));
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.filter(|(_, until)| self.now < *until);
        cut.is_some_and(|(side, _)| (from < side) != (to < side))
    }

    fn hear_digests(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            self.mail.drain(..).partition(|(at, ..)| *at <= now);
        self.mail = rest;
        due.sort_by_key(|(at, ..)| *at);
        for (_, from, to, envelope) in due {
            let is_of_this_life =
                envelope.digest.incarnation == Incarnation(self.vms[from].started.0);
            if is_of_this_life {
                self.vms[to].scheduler.take_digest(now, envelope);
                self.follow(to);
            }
        }
    }

    /// Returns whether a VM keeps to a limit of a target.
    pub fn knows_limit(&self, vm: usize, target: usize) -> bool {
        self.vms[vm].scheduler.knows_limit(target_key(target))
    }

    /// Returns when requests came to a target that counts, while it named its limit and the fleet had to know.
    pub fn counted(&self, target: usize) -> Vec<Moment> {
        let need = self.needs[target];
        let counts = |it: &&Arrival| it.told && it.at >= need.from && it.at < need.until;
        self.arrivals[target].iter().filter(counts).map(|it| it.at).collect()
    }

    /// Returns the most requests in a window that ends when the fleet must keep to a target's limit.
    pub fn most_counted(&self, target: usize) -> usize {
        let bound_from = self.needs[target].from + STABLE_SPAN;
        let counted = self.counted(target);
        let within = |end: &Moment| {
            let window =
                counted.iter().filter(|at| **at <= *end && end.since(**at) < crate::WINDOW);
            window.count()
        };
        counted.iter().filter(|end| **end >= bound_from).map(within).max().unwrap_or(0)
    }
}
