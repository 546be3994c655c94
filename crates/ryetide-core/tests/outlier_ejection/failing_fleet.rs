//! A simulation of VMs that share targets of which some fail, hang or fail now and then.
//!
//! Targets answer whole requests and run as many as they have slots. Four in ten requests may run a
//! second time. Digests are sent at the daemon's intervals. Time is virtual, and arrivals are drawn
//! from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    decision::{Decision, RunEnd},
    digest_route::DigestPeer,
    ids::{Incarnation, RequestSequence, TargetIncarnation, TargetKey, VmName},
    load_digest::{DigestEnvelope, FleetState, LoadDigest},
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_ejection::EjectionChange,
    target_load::TargetEntry,
    units::{LinkRate, Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

pub const SLOTS: u32 = 9;
const ANSWER_MS: u64 = 300;
const DIGEST_TRAVEL: u64 = 500;
const PATIENCE: Duration = Duration::from_millis(3_000);
const HEAD_TIMEOUT: u64 = 1_200_000;

/// How a target treats its requests in a span of time.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Fails this share of its requests after some milliseconds.
    Fails(f64),
    /// Sends nothing.
    Hangs,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrival,
    End { ticket: u64, is_failure: bool },
    Send(usize),
    Receive(usize),
    Tick,
}

struct SimRequest {
    vm: usize,
    may_rerun: bool,
    attempts: u32,
    work: WaitingRequest,
    target: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct FleetTally {
    pub asked: u32,
    pub single: u32,
    pub single_failed: u32,
    pub runs: u32,
    pub failed_runs: u32,
    pub refused: u32,
}

/// A fault of a target, and when it begins and ends in seconds.
pub type TargetFault = (usize, Fault, f64, f64);

pub struct FailingFleet {
    pub schedulers: Vec<Scheduler>,
    pub entries: Vec<TargetEntry>,
    pub faults: Vec<TargetFault>,
    /// VMs that get no digests and whose digests are lost.
    pub cut_off: Vec<usize>,
    /// The share of digests that are lost.
    pub lost_share: f64,
    /// The number of outcome reports sent.
    pub reports: usize,
    in_transit: Vec<Option<LoadDigest>>,
    sent_at: Vec<u64>,
    is_sending: Vec<bool>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    requests: BTreeMap<u64, SimRequest>,
    pub tally: FleetTally,
    /// For each target and second the number of runs.
    pub runs: BTreeMap<(usize, u64), u32>,
    /// When each VM changed which target's state, in microseconds.
    pub changes: Vec<(u64, usize, EjectionChange)>,
}

fn vm_name(index: usize) -> VmName {
    format!("e{index}").as_str().into()
}

impl FailingFleet {
    pub fn new(vms: usize, targets: usize, incarnation: u64, seed: u64) -> Self {
        let entry = |index| TargetEntry {
            name: format!("t{index}").as_str().into(),
            incarnation: TargetIncarnation(incarnation),
            version: "v1".into(),
            service: "drafting".into(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "hall-a".into(),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let entries: Vec<TargetEntry> = (0..targets).map(entry).collect();
        Self {
            schedulers: (0..vms).map(|vm| start_vm(vm, vms, &entries, seed)).collect(),
            entries,
            faults: Vec::new(),
            cut_off: Vec::new(),
            lost_share: 0.0,
            reports: 0,
            in_transit: vec![None; vms],
            sent_at: vec![0; vms],
            is_sending: vec![false; vms],
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            requests: BTreeMap::new(),
            tally: FleetTally::default(),
            runs: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Runs `seconds` of arrivals that need `load` of all slots, and 1.7 times as many from 4 s to
    /// 8 s if `has_burst`.
    pub fn run(mut self, seconds: f64, load: f64, has_burst: bool) -> Self {
        let rate = load * f64::from(SLOTS) * self.entries.len() as f64 * 1e3 / ANSWER_MS as f64;
        let mut at = 0.0;
        while at < seconds {
            let factor = if has_burst && (4.0..8.0).contains(&at) { 1.7 } else { 1.0 };
            at += -self.rng.random_range(1e-9..1.0_f64).ln() / (rate * factor);
            self.schedule(1_000 + (at * 1e6) as u64, SimEvent::Arrival);
        }
        for tick in 0..(seconds as u64 + 4) * 100 {
            self.schedule(tick * 10_000 + 1, SimEvent::Tick);
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.handle(now, event);
            for vm in 0..self.schedulers.len() {
                self.apply_decisions(now, vm);
            }
        }
        self
    }

    pub fn ejections(&self, target: usize) -> usize {
        let key = self.entries[target].key();
        let is_of = |change: &EjectionChange| matches!(change, EjectionChange::Ejected(it, _) if *it == key);
        self.changes.iter().filter(|(.., change)| is_of(change)).count()
    }

    pub fn runs_between(&self, target: usize, from: u64, until: u64) -> u32 {
        (from..until).map(|second| self.runs.get(&(target, second)).copied().unwrap_or(0)).sum()
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, now: u64, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.arrive(now),
            SimEvent::End { ticket, is_failure } => self.end(now, ticket, is_failure),
            SimEvent::Tick => self.schedulers.iter_mut().for_each(|it| it.advance(Moment(now))),
            SimEvent::Send(vm) => {
                (self.is_sending[vm], self.sent_at[vm]) = (false, now);
                let digest = self.schedulers[vm].digest(Moment(now), FleetState::default(), false);
                self.reports += digest.policies.outcomes.len();
                self.in_transit[vm] = Some(digest);
                self.schedule(now + DIGEST_TRAVEL, SimEvent::Receive(vm));
            }
            SimEvent::Receive(vm) => {
                let Some(digest) = self.in_transit[vm].take() else { return };
                let envelope = DigestEnvelope { from: vm_name(vm), digest };
                let is_cut_off = |vm: &usize| self.cut_off.contains(vm);
                let others = (0..self.schedulers.len()).filter(|it| *it != vm && !is_cut_off(it));
                let others = others.filter(|other| {
                    !is_cut_off(&vm) && self.schedulers[vm].is_cell_peer(&vm_name(*other))
                });
                for other in others.collect::<Vec<_>>() {
                    if !self.rng.random_bool(self.lost_share) {
                        self.schedulers[other].apply_digest(Moment(now), envelope.clone());
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let (vm, may_rerun) =
            (self.rng.random_range(0..self.schedulers.len()), self.rng.random_bool(0.4));
        self.tally.asked += 1;
        self.tally.single += u32::from(!may_rerun);
        let work = work(u64::from(self.tally.asked), may_rerun, Moment(now));
        let request = SimRequest { vm, may_rerun, attempts: 0, work: work.clone(), target: 0 };
        self.requests.insert(work.ticket.0, request);
        self.schedulers[vm].enter(Moment(now), work);
    }

    fn end(&mut self, now: u64, ticket: u64, is_failure: bool) {
        let request = self.requests.get_mut(&ticket).expect("the request was placed");
        let end = if is_failure { RunEnd::Failed } else { RunEnd::Whole };
        let scheduler = &mut self.schedulers[request.vm];
        scheduler.end(Moment(now), RequestSequence(ticket), end);
        self.tally.failed_runs += u32::from(is_failure);
        if is_failure && request.may_rerun && request.attempts < 2 {
            request.work.may_rerun = false;
            request.work.excluded.push(self.entries[request.target].key());
            scheduler.enter_again(Moment(now), request.work.clone(), true);
        }
        self.tally.single_failed += u32::from(is_failure && !request.may_rerun);
    }

    fn apply_decisions(&mut self, now: u64, vm: usize) {
        for (_, change) in self.schedulers[vm].take_ejection_changes() {
            self.changes.push((now, vm, change));
        }
        for decision in self.schedulers[vm].take_decisions() {
            match decision {
                Decision::Place { ticket, target, .. } => self.serve(now, ticket.0, target.key()),
                Decision::Refuse { .. } => self.tally.refused += 1,
            }
        }
        if self.schedulers[vm].take_changed() && !std::mem::replace(&mut self.is_sending[vm], true)
        {
            let interval = self.schedulers[vm].digest_interval().as_micros() as u64;
            self.schedule(now.max(self.sent_at[vm] + interval), SimEvent::Send(vm));
        }
    }

    fn serve(&mut self, now: u64, ticket: u64, target: TargetKey) {
        let index = self.entries.iter().position(|entry| entry.key() == target).expect("known");
        let request = self.requests.get_mut(&ticket).expect("the request arrived");
        (request.target, request.attempts) = (index, request.attempts + 1);
        self.tally.runs += 1;
        *self.runs.entry((index, now / 1_000_000)).or_default() += 1;
        let seconds = now as f64 / 1e6;
        let is_active =
            |fault: &&TargetFault| fault.0 == index && (fault.2..fault.3).contains(&seconds);
        let fault = self.faults.iter().find(is_active).map(|fault| fault.1);
        let (after, is_failure) = match fault {
            Some(Fault::Fails(share)) if self.rng.random_bool(share) => (3_000, true),
            Some(Fault::Hangs) if request.may_rerun => (HEAD_TIMEOUT, true),
            Some(Fault::Hangs) => (PATIENCE.as_micros() as u64, true),
            _ => (self.rng.random_range(ANSWER_MS * 500..ANSWER_MS * 1_500), false),
        };
        self.schedule(now + after, SimEvent::End { ticket, is_failure });
    }
}

fn start_vm(vm: usize, vms: usize, entries: &[TargetEntry], seed: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: vm_name(vm),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: seed + vm as u64,
        retry: Default::default(),
        rollout: Default::default(),
        assumed: Default::default(),
        policy: Default::default(),
    });
    scheduler.set_targets(Moment(1), entries.to_vec());
    let others: Vec<usize> = (0..vms).filter(|other| *other != vm).collect();
    let member = |index: &usize| CellMember { name: vm_name(*index), data_centre: "hall-a".into() };
    scheduler.list_peers(Moment(1), &others.iter().map(member).collect::<Vec<_>>());
    let peer = |index: &usize| DigestPeer {
        name: vm_name(*index),
        data_centre: "hall-a".into(),
        link: LinkRate(20),
    };
    scheduler.cell_recipients(Moment(1), &others.iter().map(peer).collect::<Vec<_>>());
    scheduler
}

/// Returns the key of the first target.
pub fn first_key(incarnation: u64) -> TargetKey {
    TargetKey::of_incarnation(&"t0".into(), TargetIncarnation(incarnation))
}

pub fn work(ticket: u64, may_rerun: bool, now: Moment) -> WaitingRequest {
    WaitingRequest {
        ticket: RequestSequence(ticket),
        service: "drafting".into(),
        tier: TierRank(0),
        route_tier: TierRank(0),
        engine: false,
        prompt: Tokens(0),
        prompt_hash: None,
        events: 1,
        arrived: now,
        is_retry: false,
        objective_at: now + Duration::from_millis(1_000),
        leave_at: now + PATIENCE,
        pause: None,
        begun: false,
        version: None,
        excluded: Vec::new(),
        may_rerun,
        organisation: Default::default(),
    }
}
