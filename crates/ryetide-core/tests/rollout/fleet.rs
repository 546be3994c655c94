//! Entry VMs that carry out one order, the operators' row, and what may go wrong between them.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use ryetide_core::{
    chart::RolloutState,
    ids::{Incarnation, RouteKey, ServiceName, TargetKey, VmName},
    rollout_desk::{RolloutDesk, TargetUse},
    rollout_evidence::{RunNote, VersionSide},
    rollout_order::{
        OrderNumber, RolloutOrder, RolloutReport, RolloutRule, RolloutTask, RolloutWord,
    },
    service_rollout::{FleetSight, RolloutMark},
    target_load::TargetEntry,
    units::Moment,
};

use crate::behaviour::{Behaviour, ServedRun};

const STEP: Duration = Duration::from_millis(50);
const MARK_INTERVAL: Duration = Duration::from_millis(1_000);
const TRAVEL: Duration = Duration::from_millis(50);
const HEARD_SPAN: Duration = Duration::from_millis(2_500);
const ROUTES: usize = 3;

pub fn service() -> ServiceName {
    "drafting".into()
}

pub fn entry(side: VersionSide, place: usize) -> TargetEntry {
    let (version, letter) = match side {
        VersionSide::Old => ("v1", 'o'),
        VersionSide::New => ("v2", 'n'),
    };
    TargetEntry {
        name: format!("{letter}{place}").as_str().into(),
        life: Default::default(),
        version: version.into(),
        service: service(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 6,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

pub fn rule() -> RolloutRule {
    RolloutRule { share: 0.1, slack: 50.0, by_order_only: true }
}

/// How large the fleet is, and what its service does.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub vms: usize,
    /// Targets of each version.
    pub targets: usize,
    /// Requests a second, over all VMs.
    pub rate: f64,
    pub duration: Duration,
    pub behaviour: Behaviour,
    pub seed: u64,
}

struct ModelVm {
    name: VmName,
    incarnation: u64,
    desk: RolloutDesk,
    alive: bool,
    /// Cut off from all peers.
    cut: bool,
    frozen: bool,
    heard: BTreeMap<usize, Moment>,
    told: Moment,
    /// What it has at old targets: when each ends.
    at_old: Vec<Moment>,
}

struct Answer {
    at: Moment,
    vm: usize,
    incarnation: u64,
    entry: TargetEntry,
    note: RunNote,
}

struct SentMark {
    at: Moment,
    from: usize,
    incarnation: u64,
    marks: Vec<RolloutMark>,
}

/// The fleet.
pub struct Fleet {
    plan: FleetPlan,
    rng: StdRng,
    pub now: Moment,
    ordered_at: Moment,
    order: RolloutOrder,
    vms: Vec<ModelVm>,
    pub store_down: bool,
    /// What the operators read, each word as it was written.
    pub words: Vec<RolloutWord>,
    noted_at: Option<Moment>,
    passed: bool,
    answers: Vec<Answer>,
    sent: Vec<SentMark>,
    /// Requests that reached the service, and the new version, since the order.
    pub placed: u64,
    pub exposed: u64,
    /// Failing or slow answers of the new version, and when the 50th came.
    bad_answers: u32,
    fiftieth: Option<Moment>,
    /// Requests that reached the new version before it was found good.
    pub exposed_on_trial: u64,
    pub placed_on_trial: u64,
    /// The latest moment at which a request reached the new version, after the 50th bad answer.
    pub exposed_after_fiftieth: Duration,
    /// Requests at old targets when they were told that they may stop.
    pub left_at_end: usize,
    /// Steps of the chart that were taken.
    pub steps: Vec<(RolloutState, RolloutState)>,
    new_load: BTreeMap<usize, (Moment, u32)>,
}

impl Fleet {
    /// Starts a fleet that serves one version, and gives the order.
    pub fn start(plan: FleetPlan) -> Self {
        let now = Moment::from_millis(1_000);
        let order = RolloutOrder {
            service: service(),
            to: "v2".into(),
            duration: plan.duration,
            number: OrderNumber(7),
        };
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now,
            ordered_at: now,
            order,
            vms: Vec::new(),
            store_down: false,
            words: Vec::new(),
            noted_at: None,
            passed: false,
            answers: Vec::new(),
            sent: Vec::new(),
            placed: 0,
            exposed: 0,
            bad_answers: 0,
            fiftieth: None,
            exposed_on_trial: 0,
            placed_on_trial: 0,
            exposed_after_fiftieth: Duration::ZERO,
            left_at_end: 0,
            steps: Vec::new(),
            new_load: BTreeMap::new(),
            plan,
        };
        for place in 0..plan.vms {
            let vm = fleet.new_vm(place, 1);
            fleet.vms.push(vm);
        }
        fleet
    }

    fn new_vm(&mut self, place: usize, incarnation: u64) -> ModelVm {
        let name: VmName = format!("e{place}").as_str().into();
        let mut desk = RolloutDesk::new(name.clone(), rule());
        desk.take_order(self.now, self.order.clone());
        desk.take_targets(self.now, &self.entries());
        ModelVm {
            name,
            incarnation,
            desk,
            alive: true,
            cut: false,
            frozen: false,
            heard: BTreeMap::new(),
            told: Moment(0),
            at_old: Vec::new(),
        }
    }

    fn entries(&self) -> Vec<TargetEntry> {
        let sides = [VersionSide::Old, VersionSide::New].into_iter();
        sides.flat_map(|side| (0..self.plan.targets).map(move |place| entry(side, place))).collect()
    }

    pub fn age(&self) -> Duration {
        self.now.since(self.ordered_at)
    }

    pub fn state(&self, vm: usize) -> RolloutState {
        let rollout = self.vms[vm].desk.rollouts().next();
        rollout.map_or(RolloutState::Asked, |rollout| rollout.state())
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].alive = false;
    }

    /// Starts a VM that was killed; it knows the order and the targets, and nothing else.
    pub fn restart(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation + 1;
        self.vms[vm] = self.new_vm(vm, incarnation);
    }

    pub fn set_cut(&mut self, vm: usize, cut: bool) {
        self.vms[vm].cut = cut;
    }

    pub fn set_frozen(&mut self, vm: usize, frozen: bool) {
        self.vms[vm].frozen = frozen;
    }

    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// What the operators have read last.
    pub fn word(&self) -> Option<RolloutWord> {
        self.words.last().copied()
    }

    pub fn is_ended(&self) -> bool {
        self.word().is_some_and(|word| word != RolloutWord::Running)
    }

    /// Lets time pass until `end` after the order.
    pub fn run_until(&mut self, end: Duration) {
        while self.age() < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.take_answers();
        self.take_marks();
        for vm in 0..self.vms.len() {
            if self.vms[vm].alive && !self.vms[vm].frozen {
                self.serve(vm);
                self.look(vm);
            }
        }
    }

    fn sight(&self, vm: usize) -> FleetSight {
        let heard = self.vms[vm].heard.values().filter(|at| self.now.since(**at) < HEARD_SPAN);
        let vms = self.vms.len();
        FleetSight { reachable_share: (heard.count() + 1) as f64 / vms as f64, vms }
    }

    fn serve(&mut self, vm: usize) {
        let per_step = self.plan.rate / self.vms.len() as f64 * STEP.as_secs_f64();
        let count = per_step as u32 + u32::from(self.rng.random_bool(per_step.fract()));
        for _ in 0..count {
            self.place(vm);
        }
    }

    fn place(&mut self, vm: usize) {
        let sight = self.sight(vm);
        let keys: Vec<TargetKey> =
            (0..self.plan.targets).map(|place| entry(VersionSide::New, place).key()).collect();
        let desk = &self.vms[vm].desk;
        let slice = desk.trial_targets(self.now, &service(), &sight, &keys);
        let of_use = |side| desk.target_use(&entry(side, 0)) == TargetUse::Serving;
        let side = if !slice.is_empty() {
            VersionSide::New
        } else if of_use(VersionSide::Old) {
            VersionSide::Old
        } else if of_use(VersionSide::New) {
            VersionSide::New
        } else {
            return;
        };
        let place = match slice.is_empty() {
            true => self.rng.random_range(0..self.plan.targets),
            false => {
                let key = slice[self.rng.random_range(0..slice.len())];
                keys.iter().position(|it| *it == key).expect("a target")
            }
        };
        self.send(vm, entry(side, place), side, place);
    }

    fn send(&mut self, vm: usize, target: TargetEntry, side: VersionSide, place: usize) {
        let on_trial = self.vms.iter().all(|it| {
            !it.alive || it.desk.target_use(&entry(VersionSide::New, 0)) != TargetUse::Serving
        });
        self.placed += 1;
        self.placed_on_trial += u64::from(on_trial);
        if side == VersionSide::New {
            self.exposed += 1;
            self.exposed_on_trial += u64::from(on_trial);
            if let Some(fiftieth) = self.fiftieth {
                self.exposed_after_fiftieth = self.now.since(fiftieth);
            }
        }
        let loaded = side == VersionSide::New && self.is_loaded(place);
        let route = self.rng.random_range(0..ROUTES);
        let age = self.now.since(self.ordered_at);
        let run = ServedRun { side, target: place, route, age, loaded };
        let pace = self.plan.behaviour.serve(&mut self.rng, run);
        let end = self.now + pace.unwrap_or(Duration::from_millis(30));
        if side == VersionSide::New && pace.is_none_or(|pace| pace > Duration::from_millis(700)) {
            self.bad_answers += 1;
            if self.bad_answers == 50 {
                self.fiftieth = Some(end);
            }
        }
        let vm_state = &mut self.vms[vm];
        vm_state.desk.note_placed(self.now, &target);
        if side == VersionSide::Old {
            vm_state.at_old.push(end);
        }
        let route = RouteKey(route as u32);
        let note = RunNote { target: target.key(), route, sent: self.now, pace };
        let incarnation = vm_state.incarnation;
        self.answers.push(Answer { at: end, vm, incarnation, entry: target, note });
    }

    /// Whether a target of the new version gets requests as often as one of the old version does.
    fn is_loaded(&mut self, place: usize) -> bool {
        let now = self.now;
        let (since, count) = self.new_load.entry(place).or_insert((now, 0));
        if now.since(*since) >= Duration::from_secs(1) {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        f64::from(*count) >= 0.5 * self.plan.rate / self.plan.targets as f64
    }

    fn take_answers(&mut self) {
        let now = self.now;
        let (due, later) = self.answers.drain(..).partition(|answer| answer.at <= now);
        self.answers = later;
        let due: Vec<Answer> = due;
        for Answer { vm, incarnation, entry, note, .. } in due {
            let state = &mut self.vms[vm];
            if state.alive && state.incarnation == incarnation {
                state.desk.note_run(now, &entry, note);
            }
        }
    }

    fn take_marks(&mut self) {
        let now = self.now;
        let (due, later) = self.sent.drain(..).partition(|sent| sent.at <= now);
        self.sent = later;
        let due: Vec<SentMark> = due;
        for SentMark { from, incarnation, marks, .. } in due {
            let sender = self.vms[from].name.clone();
            for to in 0..self.vms.len() {
                let apart = self.vms[from].cut || self.vms[to].cut || to == from;
                let state = &mut self.vms[to];
                // A frozen VM's socket fills up; what comes then is lost.
                if apart || !state.alive || state.frozen || self.rng.random_bool(0.03) {
                    continue;
                }
                state.heard.insert(from, now);
                state.desk.take_marks(now, &sender, Incarnation(incarnation), &marks);
            }
        }
    }

    fn look(&mut self, vm: usize) {
        let (now, sight) = (self.now, self.sight(vm));
        let state = &mut self.vms[vm];
        state.at_old.retain(|end| *end > now);
        let left = u32::try_from(state.at_old.len()).expect("few");
        state.desk.advance(now, &sight, |_| left);
        let changes = state.desk.take_changes();
        self.steps.extend(changes.iter().map(|change| (change.from, change.to)));
        if !changes.is_empty() || now.since(state.told) >= MARK_INTERVAL {
            state.told = now;
            let marks = state.desk.marks(now, true, |_| left);
            let incarnation = state.incarnation;
            self.sent.push(SentMark { at: now + TRAVEL, from: vm, incarnation, marks });
        }
        if !self.store_down {
            self.do_duties(vm);
        }
    }

    fn do_duties(&mut self, vm: usize) {
        let others = self.vms[vm].heard.iter();
        let heard = others.filter(|(_, at)| self.now.since(**at) < HEARD_SPAN);
        let heard: Vec<VmName> = heard.map(|(other, _)| self.vms[*other].name.clone()).collect();
        for duty in self.vms[vm].desk.duties(self.now, &heard) {
            let age = self.noted_at.map(|at| self.now.since(at));
            let word = match (duty.task, self.word()) {
                (_, Some(said)) if said != RolloutWord::Running => said,
                (RolloutTask::Open, Some(said)) => said,
                (RolloutTask::Open, None) => {
                    self.noted_at = Some(self.now);
                    self.say(RolloutWord::Running)
                }
                (RolloutTask::Remember, _) => {
                    self.passed = true;
                    RolloutWord::Running
                }
                (RolloutTask::End(word), _) => self.say(word),
            };
            let passed = self.passed;
            let report =
                RolloutReport { service: service(), number: duty.order.number, word, age, passed };
            self.vms[vm].desk.take_report(self.now, &report);
        }
    }

    fn say(&mut self, word: RolloutWord) -> RolloutWord {
        self.words.push(word);
        if word == RolloutWord::Completed {
            let now = self.now;
            let at_old = self.vms.iter().filter(|vm| vm.alive).flat_map(|vm| &vm.at_old);
            self.left_at_end = at_old.filter(|end| **end > now).count();
        }
        word
    }
}
