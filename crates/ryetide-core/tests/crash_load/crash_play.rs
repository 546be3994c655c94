//! A model of VMs, targets that crash, and callers who come again.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use ryetide_core::{
    crash_ledger::{CrashLedger, CrashNews, CrashedRun, RequestStanding},
    ids::TargetKey,
    request_print::RequestPrint,
    units::Moment,
};

const VMS: usize = 9;
const TARGETS: usize = 12;
const SLOTS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(45);
/// Requests of callers in each step, on the mean: the engines are some two thirds full.
const ARRIVALS_PER_STEP: f64 = 0.7;
/// How long a target that has crashed is away.
const AWAY_SPAN: Duration = Duration::from_millis(3_000);
/// The time between two attempts of a caller whose request crashes targets, and for how long it comes again.
const DEADLY_PAUSE: Duration = Duration::from_millis(250);
const DEADLY_SPAN: Duration = Duration::from_secs(6);
const DEADLY_STRIDE: Duration = Duration::from_secs(7);
const CHANGES_INTERVAL: Duration = Duration::from_millis(50);
const WHOLE_INTERVAL: Duration = Duration::from_millis(400);
const DELAY: Duration = Duration::from_millis(10);
/// The part of the messages that is lost.
const LOSS: f64 = 0.1;
/// Runs of one attempt.
const ATTEMPTS: u32 = 2;
/// A peer that was not heard for this long is told everything when it is heard again.
const HEARD_SPAN: Duration = Duration::from_millis(2_500);

/// What is played.
#[derive(Clone, Debug)]
pub struct PlayPlan {
    /// Requests that crash targets.
    pub deadly: usize,
    /// How many of them come at the same time.
    pub at_once: usize,
    /// The time between two crashes of a third of the targets.
    pub own_crashes: Option<Duration>,
    /// The time between two restarts of a third of the VMs.
    pub restarts: Option<Duration>,
}

impl Default for PlayPlan {
    fn default() -> Self {
        Self { deadly: 0, at_once: 1, own_crashes: None, restarts: None }
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct PlayOutcome {
    /// When targets crashed under each request, and when its attempts were made that reached targets.
    deadly: BTreeMap<RequestPrint, (Vec<Moment>, Vec<Moment>)>,
    /// Requests that crash nothing and were refused.
    pub innocent_refused: Vec<RequestPrint>,
}

impl PlayOutcome {
    /// Returns how many attempts of each deadly request reached targets that were made later than `span` after its third
    /// crash.
    pub fn attempts_later_than(
        &self,
        span: Duration,
    ) -> impl Iterator<Item = (RequestPrint, usize)> {
        self.deadly.iter().filter_map(move |(print, (crashes, attempts))| {
            let third = *crashes.get(2)?;
            Some((*print, attempts.iter().filter(|at| **at > third + span).count()))
        })
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
struct Call {
    print: RequestPrint,
    deadly: bool,
    vm: usize,
    /// When this attempt was made.
    made: Moment,
    /// It waits until then.
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
    news: CrashNews,
}

struct Vm {
    ledger: CrashLedger,
    /// When each peer was heard last, in its present life.
    heard: Vec<Option<Moment>>,
    life: u32,
    told_changes: Moment,
    told_whole: Moment,
}

impl Vm {
    fn new(life: u32) -> Self {
        let told = Moment::default();
        let heard = vec![None; VMS];
        Self { ledger: CrashLedger::default(), heard, life, told_changes: told, told_whole: told }
    }
}

/// A play.
pub struct CrashPlay {
    plan: PlayPlan,
    rng: SmallRng,
    now: Moment,
    vms: Vec<Vm>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    messages: Vec<Message>,
    next_print: u64,
    next_key: u32,
    outcome: PlayOutcome,
}

impl CrashPlay {
    /// Prepares a play.
    pub fn new(plan: PlayPlan, seed: u64) -> Self {
        let mut play = Self {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1),
            vms: (0..VMS).map(|_| Vm::new(0)).collect(),
            targets: Vec::new(),
            calls: Vec::new(),
            messages: Vec::new(),
            next_print: 1_000,
            next_key: 0,
            outcome: PlayOutcome::default(),
        };
        for _ in 0..TARGETS {
            let (key, up_at) = (play.draw_key(), play.now);
            play.targets.push(Target { key, up_at, runs: Vec::new() });
        }
        play
    }

    /// Plays to the end.
    pub fn play(mut self) -> PlayOutcome {
        let end = self.now + LENGTH;
        while self.now < end {
            self.take_messages();
            self.arrive();
            self.arrive_deadly();
            self.end_runs();
            self.crash_some();
            self.restart_some();
            self.place();
            self.tell();
            self.now = self.now + STEP;
        }
        self.outcome
    }

    fn draw_key(&mut self) -> TargetKey {
        self.next_key += 1;
        TargetKey(self.next_key)
    }

    /// Returns whether something that happens each `interval` happens in this step.
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
            // One caller in ten comes again more often than it is asked to.
            let retries_left = if self.rng.random_bool(0.1) { 4 } else { 1 };
            self.next_print += 1;
            let print = RequestPrint(self.next_print);
            self.call(print, false, Duration::from_millis(millis), retries_left);
        }
    }

    fn arrive_deadly(&mut self) {
        if !self.is_due(DEADLY_PAUSE) {
            return;
        }
        for number in 0..self.plan.deadly {
            let wave = (number / self.plan.at_once) as u32;
            let from = Moment::from_millis(3_000) + DEADLY_STRIDE * wave;
            if from <= self.now && self.now < from + DEADLY_SPAN {
                let millis = self.rng.random_range(20..160);
                self.call(RequestPrint(number as u64), true, Duration::from_millis(millis), 0);
            }
        }
    }

    fn call(&mut self, print: RequestPrint, deadly: bool, span: Duration, retries_left: u32) {
        let vm = self.rng.random_range(0..VMS);
        let (made, wake) = (self.now, self.now);
        let runs_left = ATTEMPTS;
        let reached = false;
        self.calls.push(Call {
            print,
            deadly,
            vm,
            made,
            wake,
            span,
            runs_left,
            retries_left,
            reached,
        });
    }

    /// Sends what may be sent to the targets that have a place.
    fn place(&mut self) {
        for mut call in std::mem::take(&mut self.calls) {
            if call.wake > self.now {
                self.calls.push(call);
                continue;
            }
            let up = self.targets.iter().filter(|target| target.up_at <= self.now).count();
            let ledger = &mut self.vms[call.vm].ledger;
            match ledger.standing(self.now, call.print, up) {
                RequestStanding::Clear => self.send(call),
                RequestStanding::Unsettled(until) => {
                    call.wake = until;
                    self.calls.push(call);
                }
                RequestStanding::Quarantined(_) if call.deadly => {}
                RequestStanding::Quarantined(_) => self.outcome.innocent_refused.push(call.print),
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
        if call.deadly && !std::mem::replace(&mut call.reached, true) {
            self.outcome.deadly.entry(call.print).or_default().1.push(call.made);
        }
        call.runs_left -= 1;
        let drawn = self.rng.random_range(0..free.len());
        let until = now + call.span;
        free[drawn].runs.push(Run { call, since: now, until });
    }

    fn end_runs(&mut self) {
        let mut crashed = Vec::new();
        for (slot, target) in self.targets.iter_mut().enumerate() {
            let ended = target.runs.extract_if(.., |run| run.until <= self.now);
            for run in ended.collect::<Vec<Run>>() {
                if run.call.deadly {
                    let at = &mut self.outcome.deadly.entry(run.call.print).or_default().0;
                    at.push(self.now);
                    crashed.push(slot);
                    target.runs.push(run);
                } else {
                    self.vms[run.call.vm].ledger.note_answered(self.now, run.call.print);
                }
            }
        }
        crashed.dedup();
        for slot in crashed {
            self.crash(slot);
        }
    }

    fn crash_some(&mut self) {
        if !self.plan.own_crashes.is_some_and(|interval| self.is_due(interval)) {
            return;
        }
        let slots: Vec<usize> = (0..TARGETS).collect();
        let drawn: Vec<usize> =
            slots.choose_multiple(&mut self.rng, TARGETS / 3).copied().collect();
        for slot in drawn {
            if self.targets[slot].up_at <= self.now {
                self.crash(slot);
            }
        }
    }

    fn crash(&mut self, slot: usize) {
        let key = self.draw_key();
        let target = &mut self.targets[slot];
        let ended = std::mem::replace(&mut target.key, key);
        target.up_at = self.now + AWAY_SPAN;
        for Run { mut call, since, .. } in std::mem::take(&mut target.runs) {
            let run = CrashedRun { print: call.print, ran: self.now.since(since) };
            self.vms[call.vm].ledger.note_crash(self.now, ended, &[run]);
            if call.runs_left == 0 {
                if call.retries_left == 0 {
                    continue;
                }
                call.retries_left -= 1;
                call.runs_left = ATTEMPTS;
                call.vm = self.rng.random_range(0..VMS);
                call.made = self.now;
                call.wake = self.now + Duration::from_millis(self.rng.random_range(20..200));
            }
            self.calls.push(call);
        }
    }

    /// Restarts a third of the VMs; what they held goes with them.
    fn restart_some(&mut self) {
        if !self.plan.restarts.is_some_and(|interval| self.is_due(interval)) {
            return;
        }
        for vm in 0..VMS {
            if self.rng.random_bool(1.0 / 3.0) {
                let life = self.vms[vm].life + 1;
                self.vms[vm] = Vm::new(life);
                self.calls.retain(|call| call.vm != vm);
                for target in &mut self.targets {
                    target.runs.retain(|run| run.call.vm != vm);
                }
                for peer in &mut self.vms {
                    peer.heard[vm] = None;
                }
            }
        }
    }

    fn tell(&mut self) {
        for from in 0..VMS {
            let vm = &mut self.vms[from];
            let whole = self.now.since(vm.told_whole) >= WHOLE_INTERVAL;
            if !whole && self.now.since(vm.told_changes) < CHANGES_INTERVAL {
                continue;
            }
            vm.told_changes = self.now;
            let news = if whole {
                vm.told_whole = self.now;
                vm.ledger.whole_news(self.now)
            } else {
                vm.ledger.changed_news(self.now, CHANGES_INTERVAL * 3)
            };
            for to in (0..VMS).filter(|to| *to != from) {
                if !self.rng.random_bool(LOSS) {
                    let at = self.now + DELAY;
                    self.messages.push(Message { at, from, to, news: news.clone() });
                }
            }
        }
    }

    fn take_messages(&mut self) {
        let now = self.now;
        for message in self.messages.extract_if(.., |it| it.at <= now).collect::<Vec<Message>>() {
            let vm = &mut self.vms[message.to];
            let heard = vm.heard[message.from].replace(now);
            if heard.is_none_or(|heard| now.since(heard) >= HEARD_SPAN) {
                vm.ledger.retell(now);
            }
            vm.ledger.take(now, &message.news);
        }
    }
}
