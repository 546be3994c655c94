//! A simulation of VMs, targets that crash, and callers that retry.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use ryetide_core::{
    crash_ledger::{CrashLedger, CrashUpdate, CrashedRun, QuarantineStatus, SOUND_SPAN},
    crash_suspect::{CrashSuspect, RequestFeatures},
    ids::{ServiceKey, TargetKey},
    prompt_part::{PartId, PromptPart},
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

const VMS: usize = 9;
const TARGETS: usize = 12;
const SLOTS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(45);
/// The mean number of requests in each step, which fills the targets to about two thirds.
const ARRIVALS_PER_STEP: f64 = 0.7;
/// How long a target that has crashed is down.
const DOWN_SPAN: Duration = Duration::from_millis(3_000);
/// The time between two attempts at a request that crashes targets.
const CRASHING_PAUSE: Duration = Duration::from_millis(250);
/// How long its caller retries it.
const CRASHING_SPAN: Duration = Duration::from_secs(6);
/// The time between the first attempts at two such requests.
const CRASHING_STRIDE: Duration = Duration::from_secs(7);
const CHANGES_INTERVAL: Duration = Duration::from_millis(50);
const FULL_INTERVAL: Duration = Duration::from_millis(400);
const MESSAGE_DELAY: Duration = Duration::from_millis(10);
/// The fraction of the messages that is lost.
const LOSS: f64 = 0.1;
/// The number of runs of one attempt.
const RUNS_PER_ATTEMPT: u32 = 2;
/// A peer that was silent for this long is sent all records when a message of it arrives.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The part with which all prompts begin.
const FIRST_PART: u64 = 0;
/// The number of documents, of which each prompt holds one. Their parts are numbered from 1 on.
const DOCUMENTS: u64 = 8;
/// The time after which a caller gives up.
const CALLER_DEADLINE: Duration = Duration::from_secs(4);
/// The longest time in which a target reads a prompt, after which it writes.
const READING_SPAN: Duration = Duration::from_millis(150);
/// When parts of prompts and broken targets begin to crash.
const CRASHES_FROM: Duration = Duration::from_secs(3);

/// Returns the part with a number.
pub fn part(number: u64) -> PromptPart {
    PromptPart { service: ServiceKey(1), id: PartId(number) }
}

/// A part of prompts that crashes targets.
#[derive(Clone, Debug)]
pub struct CrashingPart {
    /// Its number.
    pub number: u64,
    /// From when on it crashes targets.
    pub from: Duration,
    /// The time between two requests that are sent with it, beside those with a document of this
    /// number.
    pub interval: Option<Duration>,
    /// The parts behind it in these requests.
    pub behind: Vec<u64>,
    /// The share of the runs with it that crash their target.
    pub share: f64,
}

impl CrashingPart {
    /// Returns a part with which requests are sent at this interval.
    pub fn every(number: u64, interval: Duration) -> Self {
        let (from, interval, behind) = (CRASHES_FROM, Some(interval), Vec::new());
        Self { number, from, interval, behind, share: 1.0 }
    }
}

/// Targets that crash at once, although no request causes it.
#[derive(Clone, Debug)]
pub struct MassCrash {
    /// The time between two such crashes.
    pub interval: Duration,
    /// The number of targets that crash.
    pub targets: usize,
}

/// The load and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// The number of requests that crash targets.
    pub crashing: usize,
    /// How many of them are sent at the same time.
    pub at_once: usize,
    /// The time between two crashes of a third of the targets that no request causes.
    pub unrelated_crashes: Option<Duration>,
    /// The time between two restarts of a third of the VMs.
    pub restarts: Option<Duration>,
    /// The parts of prompts that crash targets.
    pub parts: Vec<CrashingPart>,
    /// Crashes of many targets at the same moment.
    pub mass_crash: Option<MassCrash>,
    /// The number of targets that crash under every request.
    pub broken_targets: usize,
    /// Whether the requests with one half of the documents have long answers only.
    pub long_documents: bool,
    /// A document that a burst of requests brings shortly before each mass crash.
    pub burst_document: Option<u64>,
}

impl Default for SimulationPlan {
    fn default() -> Self {
        Self {
            crashing: 0,
            at_once: 1,
            unrelated_crashes: None,
            restarts: None,
            parts: Vec::new(),
            mass_crash: None,
            broken_targets: 0,
            long_documents: false,
            burst_document: None,
        }
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct SimulationOutcome {
    /// For each request that crashes targets, the times of its crashes, and the times of those
    /// attempts that reached targets.
    crashing: BTreeMap<RequestFingerprint, (Vec<Moment>, Vec<Moment>)>,
    /// For each part that crashes targets, the times of its crashes, and of the runs sent with it.
    parts: BTreeMap<u64, (Vec<Moment>, Vec<Moment>)>,
    /// Refused requests that crash no target.
    pub innocent_refused: Vec<RequestFingerprint>,
    /// What they were refused for.
    pub wrongly_quarantined: BTreeSet<CrashSuspect>,
    /// For each second, the first runs of requests that crash no target, and how many of them were
    /// whole.
    pub first_runs: BTreeMap<u64, (u64, u64)>,
}

impl SimulationOutcome {
    /// Returns, for each part that crashes targets, the number of runs with it that were sent later
    /// than `span` after its fifth crash, and the number of its crashes.
    pub fn part_runs_later_than(
        &self,
        span: Duration,
    ) -> impl Iterator<Item = (u64, usize, usize)> {
        self.parts.iter().map(move |(number, (crashes, sent))| {
            let fifth = crashes.get(4).copied();
            let later = fifth.map_or(0, |it| sent.iter().filter(|at| **at > it + span).count());
            (*number, later, crashes.len())
        })
    }

    /// Returns the share of whole ones among the first runs, sent in `seconds`, of requests that
    /// crash no target.
    pub fn whole_share(&self, seconds: Range<u64>) -> f64 {
        let seconds = self.first_runs.range(seconds).map(|(_, counts)| *counts);
        let (sent, whole) = seconds.fold((0, 0), |(sent, whole), it| (sent + it.0, whole + it.1));
        whole as f64 / sent.max(1) as f64
    }

    /// Returns, for each request that crashes targets, the number of attempts that were made later
    /// than `span` after its third crash and reached targets.
    pub fn attempts_later_than(
        &self,
        span: Duration,
    ) -> impl Iterator<Item = (RequestFingerprint, usize)> {
        self.crashing.iter().filter_map(move |(fingerprint, (crashes, attempts))| {
            let third = *crashes.get(2)?;
            Some((*fingerprint, attempts.iter().filter(|at| **at > third + span).count()))
        })
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
struct Call {
    features: RequestFeatures,
    /// Whether it crashes targets by itself.
    crashing: bool,
    vm: usize,
    /// When this attempt was made.
    made: Moment,
    /// The end of its wait.
    wake: Moment,
    span: Duration,
    runs_left: u32,
    retries_left: u32,
    reached: bool,
}

#[derive(Debug)]
struct Run {
    call: Call,
    since: Moment,
    until: Moment,
    /// Whether the target crashes at the end of the run.
    ends_in_crash: bool,
    /// Whether its parts are known to be sound.
    sound: bool,
}

struct Target {
    key: TargetKey,
    up_at: Moment,
    runs: Vec<Run>,
}

struct Message {
    at: Moment,
    from: usize,
    to: usize,
    update: CrashUpdate,
}

struct Vm {
    ledger: CrashLedger,
    /// When the last message of each peer's current incarnation arrived.
    received: Vec<Option<Moment>>,
    incarnation: u32,
    changes_sent: Moment,
    full_sent: Moment,
}

impl Vm {
    fn new(incarnation: u32) -> Self {
        Self {
            ledger: CrashLedger::default(),
            received: vec![None; VMS],
            incarnation,
            changes_sent: Moment::default(),
            full_sent: Moment::default(),
        }
    }
}

/// A simulation in progress.
pub struct CrashSimulation {
    plan: SimulationPlan,
    rng: SmallRng,
    now: Moment,
    vms: Vec<Vm>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    messages: Vec<Message>,
    next_print: u64,
    next_key: u32,
    outcome: SimulationOutcome,
}

impl CrashSimulation {
    /// Creates a simulation.
    pub fn new(plan: SimulationPlan, seed: u64) -> Self {
        let mut simulation = Self {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1),
            vms: (0..VMS).map(|_| Vm::new(0)).collect(),
            targets: Vec::new(),
            calls: Vec::new(),
            messages: Vec::new(),
            next_print: 1_000,
            next_key: 0,
            outcome: SimulationOutcome::default(),
        };
        for _ in 0..TARGETS {
            let (key, up_at) = (simulation.draw_key(), simulation.now);
            simulation.targets.push(Target { key, up_at, runs: Vec::new() });
        }
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SimulationOutcome {
        let end = self.now + LENGTH;
        while self.now < end {
            self.deliver_messages();
            self.arrive();
            self.arrive_crashing();
            self.arrive_with_parts();
            self.arrive_burst();
            self.end_runs();
            self.record_sound_parts();
            self.crash_some();
            self.crash_many();
            self.restart_some();
            self.dispatch();
            self.send_messages();
            self.now = self.now + STEP;
        }
        self.outcome
    }

    fn draw_key(&mut self) -> TargetKey {
        self.next_key += 1;
        TargetKey(self.next_key)
    }

    /// Returns whether an event with the period `interval` occurs in this step.
    fn is_due(&self, interval: Duration) -> bool {
        let (interval, step) = (interval.as_micros() as u64, STEP.as_micros() as u64);
        self.now.0 % interval < step
    }

    fn arrive(&mut self) {
        let mut left = ARRIVALS_PER_STEP;
        while left > 0.0 && self.rng.random_bool(left.min(1.0)) {
            left -= 1.0;
            let long = self.rng.random_bool(0.3);
            let millis = if long {
                self.rng.random_range(800..4_000)
            } else {
                self.rng.random_range(60..400)
            };
            // One caller in ten retries more often than it is asked to.
            let retries_left = if self.rng.random_bool(0.1) { 4 } else { 1 };
            let document = 1 + self.rng.random_range(0..DOCUMENTS);
            let is_long = self.plan.long_documents && document > DOCUMENTS / 2;
            let millis = if is_long { millis + 1_500 } else { millis };
            let features = self.features(&[FIRST_PART, document]);
            self.call(features, false, Duration::from_millis(millis), retries_left);
        }
    }

    /// Returns the features of a new request with these parts.
    fn features(&mut self, parts: &[u64]) -> RequestFeatures {
        self.next_print += 1;
        let parts = parts.iter().map(|number| part(*number)).collect();
        RequestFeatures { fingerprint: RequestFingerprint(self.next_print), parts }
    }

    fn arrive_with_parts(&mut self) {
        for CrashingPart { number, from, interval, behind, .. } in self.plan.parts.clone() {
            let is_sent = interval.is_some_and(|interval| self.is_due(interval));
            if is_sent && self.now.since(Moment(0)) >= from {
                let parts: Vec<u64> = [FIRST_PART, number].into_iter().chain(behind).collect();
                let features = self.features(&parts);
                let millis = self.rng.random_range(20..160);
                self.call(features, false, Duration::from_millis(millis), 1);
            }
        }
    }

    fn arrive_burst(&mut self) {
        let (Some(number), Some(crash)) = (self.plan.burst_document, &self.plan.mass_crash) else {
            return;
        };
        let (interval, step) = (crash.interval.as_micros() as u64, STEP.as_micros() as u64);
        if (self.now + Duration::from_millis(60)).0 % interval < step {
            for _ in 0..20 {
                let features = self.features(&[FIRST_PART, number]);
                self.call(features, false, Duration::from_millis(400), 1);
            }
        }
    }

    fn arrive_crashing(&mut self) {
        if !self.is_due(CRASHING_PAUSE) {
            return;
        }
        for number in 0..self.plan.crashing {
            let wave = (number / self.plan.at_once) as u32;
            let from = Moment::from_millis(3_000) + CRASHING_STRIDE * wave;
            if from <= self.now && self.now < from + CRASHING_SPAN {
                let millis = self.rng.random_range(20..160);
                let fingerprint = RequestFingerprint(number as u64);
                let parts = vec![part(FIRST_PART), part(1 + number as u64 % DOCUMENTS)];
                let features = RequestFeatures { fingerprint, parts };
                self.call(features, true, Duration::from_millis(millis), 0);
            }
        }
    }

    fn call(
        &mut self,
        features: RequestFeatures,
        crashing: bool,
        span: Duration,
        retries_left: u32,
    ) {
        let vm = self.rng.random_range(0..VMS);
        let (made, wake) = (self.now, self.now);
        let runs_left = RUNS_PER_ATTEMPT;
        let reached = false;
        self.calls.push(Call {
            features,
            crashing,
            vm,
            made,
            wake,
            span,
            runs_left,
            retries_left,
            reached,
        });
    }

    /// Sends all waiting requests that may be sent to targets with a free slot.
    fn dispatch(&mut self) {
        for mut call in std::mem::take(&mut self.calls) {
            if self.now.since(call.made) > CALLER_DEADLINE {
                continue;
            }
            let is_free = |target: &Target| target.up_at <= self.now && target.runs.len() < SLOTS;
            if call.wake > self.now || !self.targets.iter().any(is_free) {
                self.calls.push(call);
                continue;
            }
            let up = self.targets.iter().filter(|target| target.up_at <= self.now).count();
            let ledger = &mut self.vms[call.vm].ledger;
            match ledger.quarantine_status(self.now, &call.features, up) {
                QuarantineStatus::Clear => self.send(call),
                QuarantineStatus::Undecided(until) => {
                    call.wake = until;
                    self.calls.push(call);
                }
                QuarantineStatus::Quarantined(_) if call.crashing => {}
                QuarantineStatus::Quarantined(_) => {
                    let suspect = ledger.quarantined_suspect(&call.features);
                    if self.crashing_part(&call.features).is_none() {
                        self.outcome.innocent_refused.push(call.features.fingerprint);
                        self.outcome.wrongly_quarantined.extend(suspect);
                    }
                }
            }
        }
    }

    /// Returns the part of a request that crashes targets now, if it holds one.
    fn crashing_part(&self, features: &RequestFeatures) -> Option<&CrashingPart> {
        let elapsed = self.now.since(Moment(0));
        let mut crashing = self.plan.parts.iter().filter(|it| elapsed >= it.from);
        crashing.find(|it| features.parts.contains(&part(it.number)))
    }

    fn send(&mut self, mut call: Call) {
        let now = self.now;
        let free = self.targets.iter_mut().filter(|it| it.up_at <= now && it.runs.len() < SLOTS);
        let mut free: Vec<&mut Target> = free.collect();
        let least = free.iter().map(|target| target.runs.len()).min();
        free.retain(|target| Some(target.runs.len()) == least);
        if free.is_empty() {
            self.calls.push(call);
            return;
        }
        if call.crashing && !std::mem::replace(&mut call.reached, true) {
            let entry = self.outcome.crashing.entry(call.features.fingerprint);
            entry.or_default().1.push(call.made);
        }
        let is_first = call.runs_left == RUNS_PER_ATTEMPT;
        call.runs_left -= 1;
        let drawn = self.rng.random_range(0..free.len());
        let key = free[drawn].key;
        let index = self.targets.iter().position(|it| it.key == key).expect("a drawn target");
        let is_broken = index < self.plan.broken_targets && now.since(Moment(0)) >= CRASHES_FROM;
        let crashing = self.crashing_part(&call.features).map(|it| (it.number, it.share));
        let by_part = crashing.is_some_and(|(_, share)| self.rng.random_bool(share));
        if let Some((number, _)) = crashing {
            self.outcome.parts.entry(number).or_default().1.push(now);
        } else if is_first && !call.crashing {
            self.outcome.first_runs.entry(now.0 / 1_000_000).or_default().0 += 1;
        }
        let ends_in_crash = call.crashing || by_part || is_broken;
        let span = if ends_in_crash { call.span.min(READING_SPAN) } else { call.span };
        let run = Run { call, since: now, until: now + span, ends_in_crash, sound: false };
        self.targets[index].runs.push(run);
    }

    /// Records the prompts of which targets have been writing answers for long enough.
    fn record_sound_parts(&mut self) {
        for run in self.targets.iter_mut().flat_map(|target| &mut target.runs) {
            let sound_at = run.since + READING_SPAN + SOUND_SPAN;
            if !run.sound && self.now >= sound_at && self.now < run.until {
                run.sound = true;
                let ledger = &mut self.vms[run.call.vm].ledger;
                ledger.record_sound_parts(self.now, run.since, &run.call.features);
            }
        }
    }

    fn end_runs(&mut self) {
        let mut crashed = Vec::new();
        for (index, target) in self.targets.iter_mut().enumerate() {
            let ended = target.runs.extract_if(.., |run| run.until <= self.now);
            for run in ended.collect::<Vec<Run>>() {
                if run.ends_in_crash {
                    crashed.push((index, run));
                    continue;
                }
                let ledger = &mut self.vms[run.call.vm].ledger;
                ledger.record_answered(self.now, run.since, &run.call.features);
                let is_first = run.call.runs_left + 1 == RUNS_PER_ATTEMPT;
                if is_first && !run.call.crashing {
                    let second = run.since.0 / 1_000_000;
                    self.outcome.first_runs.entry(second).or_default().1 += 1;
                }
            }
        }
        for (index, run) in crashed {
            let features = run.call.features.clone();
            if run.call.crashing {
                let entry = self.outcome.crashing.entry(features.fingerprint);
                entry.or_default().0.push(self.now);
            }
            if let Some(number) = self.crashing_part(&features).map(|it| it.number) {
                self.outcome.parts.entry(number).or_default().0.push(self.now);
            }
            self.targets[index].runs.push(run);
        }
        for index in 0..TARGETS {
            if self.targets[index].runs.iter().any(|run| run.until <= self.now) {
                self.crash(index);
            }
        }
    }

    fn crash_many(&mut self) {
        let Some(MassCrash { interval, targets }) = self.plan.mass_crash.clone() else { return };
        if self.is_due(interval) && self.now >= Moment::from_millis(1_000) {
            (0..targets).for_each(|index| self.crash(index));
        }
    }

    fn crash_some(&mut self) {
        if !self.plan.unrelated_crashes.is_some_and(|interval| self.is_due(interval)) {
            return;
        }
        let indices: Vec<usize> = (0..TARGETS).collect();
        let drawn: Vec<usize> =
            indices.choose_multiple(&mut self.rng, TARGETS / 3).copied().collect();
        for index in drawn {
            if self.targets[index].up_at <= self.now {
                self.crash(index);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let key = self.draw_key();
        let target = &mut self.targets[index];
        let crashed = std::mem::replace(&mut target.key, key);
        target.up_at = self.now + DOWN_SPAN;
        for Run { mut call, since, .. } in std::mem::take(&mut target.runs) {
            let features = call.features.clone();
            let run = CrashedRun { features, ran: self.now.since(since) };
            self.vms[call.vm].ledger.record_crash(self.now, crashed, &[run]);
            if call.runs_left == 0 {
                if call.retries_left == 0 {
                    continue;
                }
                call.retries_left -= 1;
                call.runs_left = RUNS_PER_ATTEMPT;
                call.vm = self.rng.random_range(0..VMS);
                call.made = self.now;
                call.wake = self.now + Duration::from_millis(self.rng.random_range(20..200));
            }
            self.calls.push(call);
        }
    }

    /// Restarts a third of the VMs, which lose all their requests and records.
    fn restart_some(&mut self) {
        if !self.plan.restarts.is_some_and(|interval| self.is_due(interval)) {
            return;
        }
        for vm in 0..VMS {
            if self.rng.random_bool(1.0 / 3.0) {
                let incarnation = self.vms[vm].incarnation + 1;
                self.vms[vm] = Vm::new(incarnation);
                self.calls.retain(|call| call.vm != vm);
                for target in &mut self.targets {
                    target.runs.retain(|run| run.call.vm != vm);
                }
                for peer in &mut self.vms {
                    peer.received[vm] = None;
                }
            }
        }
    }

    fn send_messages(&mut self) {
        for from in 0..VMS {
            let vm = &mut self.vms[from];
            let is_full = self.now.since(vm.full_sent) >= FULL_INTERVAL;
            if !is_full && self.now.since(vm.changes_sent) < CHANGES_INTERVAL {
                continue;
            }
            vm.changes_sent = self.now;
            let update = if is_full {
                vm.full_sent = self.now;
                vm.ledger.full_update(self.now)
            } else {
                vm.ledger.recent_update(self.now, CHANGES_INTERVAL * 3)
            };
            for to in (0..VMS).filter(|to| *to != from) {
                if !self.rng.random_bool(LOSS) {
                    let at = self.now + MESSAGE_DELAY;
                    self.messages.push(Message { at, from, to, update: update.clone() });
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        for message in self.messages.extract_if(.., |it| it.at <= now).collect::<Vec<Message>>() {
            let vm = &mut self.vms[message.to];
            let previous = vm.received[message.from].replace(now);
            if previous.is_none_or(|at| now.since(at) >= PEER_TIMEOUT) {
                vm.ledger.resend_all(now);
            }
            vm.ledger.take(now, &message.update);
        }
    }
}
