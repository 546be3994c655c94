//! A simulation of VMs, targets that crash, and callers that retry.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use ryetide_core::{
    crash_ledger::{CrashLedger, CrashUpdate, CrashedRun, QuarantineStatus},
    ids::TargetKey,
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
}

impl Default for SimulationPlan {
    fn default() -> Self {
        Self { crashing: 0, at_once: 1, unrelated_crashes: None, restarts: None }
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct SimulationOutcome {
    /// For each request that crashes targets, the times of its crashes, and the times of those
    /// attempts that reached targets.
    crashing: BTreeMap<RequestFingerprint, (Vec<Moment>, Vec<Moment>)>,
    /// Refused requests that crash no target.
    pub innocent_refused: Vec<RequestFingerprint>,
}

impl SimulationOutcome {
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
    fingerprint: RequestFingerprint,
    /// Whether it crashes targets.
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
            self.end_runs();
            self.crash_some();
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
            self.next_print += 1;
            let fingerprint = RequestFingerprint(self.next_print);
            self.call(fingerprint, false, Duration::from_millis(millis), retries_left);
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
                self.call(
                    RequestFingerprint(number as u64),
                    true,
                    Duration::from_millis(millis),
                    0,
                );
            }
        }
    }

    fn call(
        &mut self,
        fingerprint: RequestFingerprint,
        crashing: bool,
        span: Duration,
        retries_left: u32,
    ) {
        let vm = self.rng.random_range(0..VMS);
        let (made, wake) = (self.now, self.now);
        let runs_left = RUNS_PER_ATTEMPT;
        let reached = false;
        self.calls.push(Call {
            fingerprint,
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
            if call.wake > self.now {
                self.calls.push(call);
                continue;
            }
            let up = self.targets.iter().filter(|target| target.up_at <= self.now).count();
            let ledger = &mut self.vms[call.vm].ledger;
            match ledger.quarantine_status(self.now, call.fingerprint, up) {
                QuarantineStatus::Clear => self.send(call),
                QuarantineStatus::Undecided(until) => {
                    call.wake = until;
                    self.calls.push(call);
                }
                QuarantineStatus::Quarantined(_) if call.crashing => {}
                QuarantineStatus::Quarantined(_) => {
                    self.outcome.innocent_refused.push(call.fingerprint)
                }
            }
        }
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
            self.outcome.crashing.entry(call.fingerprint).or_default().1.push(call.made);
        }
        call.runs_left -= 1;
        let drawn = self.rng.random_range(0..free.len());
        let until = now + call.span;
        free[drawn].runs.push(Run { call, since: now, until });
    }

    fn end_runs(&mut self) {
        let mut crashed = Vec::new();
        for (index, target) in self.targets.iter_mut().enumerate() {
            let ended = target.runs.extract_if(.., |run| run.until <= self.now);
            for run in ended.collect::<Vec<Run>>() {
                if run.call.crashing {
                    let at = &mut self.outcome.crashing.entry(run.call.fingerprint).or_default().0;
                    at.push(self.now);
                    crashed.push(index);
                    target.runs.push(run);
                } else {
                    self.vms[run.call.vm].ledger.record_answered(self.now, run.call.fingerprint);
                }
            }
        }
        crashed.dedup();
        for index in crashed {
            self.crash(index);
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
            let run = CrashedRun { fingerprint: call.fingerprint, ran: self.now.since(since) };
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
