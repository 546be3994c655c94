//! A simulation in virtual time of VMs before targets that turn requests away.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    cell_plan::CellMember,
    decision::{Decision, RunEnd},
    ids::{Incarnation, RequestSequence},
    load_digest::{DigestEnvelope, FleetState},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_speed::AssumedSpeed,
    units::{Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

use crate::count::RetryCount;

const TICK: Duration = Duration::from_millis(10);
const TARGETS: usize = 12;
/// A VM reads the list of VMs this long after its start, and again at this interval.
const LIST_DELAY: Duration = Duration::from_millis(300);
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The list leaves out VMs that have not run for this long.
const LIST_TTL: Duration = Duration::from_secs(2);
/// One digest in this many is lost.
const LOSS_INVERSE: u32 = 20;
/// A VM that stops still gets requests for this long.
const ROUTED_SPAN: Duration = Duration::from_millis(1_500);

/// What disturbs the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// A VM is killed, and another process starts there after this time.
    Kill(usize, Duration),
    /// This VM and all with a higher index are killed at once, as above.
    KillFrom(usize, Duration),
    /// A VM stops: it serves for the first time, and another process starts there after the second.
    Stop(usize, Duration, Duration),
    /// VMs with a lower index cannot reach the others until the given moment, and vice versa.
    Partition(usize, Moment),
    /// VMs join the fleet.
    Join(usize),
    /// The requests a second, over all VMs.
    Rate(f64),
    /// The store, which lists the VMs, is away until the given moment.
    StoreAway(Moment),
}

struct SimulatedVm {
    /// `None` while no process runs.
    scheduler: Option<Scheduler>,
    started: Moment,
    ran_at: Moment,
    last_listed: Moment,
    last_digest: Moment,
    /// When the process that stops ends, and when the next one starts.
    stops: Option<(Moment, Moment)>,
    stop_ordered: Moment,
    starts_at: Moment,
}

/// How a fleet is set up.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    pub vms: usize,
    pub rule: RetryRule,
    /// Requests a second, over all VMs.
    pub rate: f64,
    /// The share of the requests that targets turn away.
    pub turned_away: f64,
    pub digest_interval: Duration,
    /// The share of the requests that are urgent.
    pub urgent: f64,
    /// Targets get room for retries at this interval only; at once if it is zero.
    pub retry_gap: Duration,
}

pub struct RetryFleet {
    options: FleetOptions,
    rng: SmallRng,
    pub now: Moment,
    vms: Vec<SimulatedVm>,
    partition: Option<(usize, Moment)>,
    store_back_at: Moment,
    next: u64,
    /// Requests that are not sent yet, from a rate that is no whole number for each tick.
    due: f64,
    /// Retries that wait for room at their targets.
    delayed: Vec<PlacedRequest>,
    pub count: RetryCount,
    /// The retries of urgent requests.
    pub urgent_retries: usize,
}

fn member(vm: usize) -> CellMember {
    CellMember { name: format!("e{vm}").as_str().into(), data_centre: "hall-a".into() }
}

fn entry(index: usize) -> TargetEntry {
    TargetEntry {
        name: format!("t{index}").as_str().into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "desk".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 1_000,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

impl RetryFleet {
    /// Creates a fleet whose VMs all start at once.
    pub fn new(seed: u64, options: FleetOptions) -> Self {
        let mut fleet = Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1_000),
            vms: Vec::new(),
            partition: None,
            store_back_at: Moment(0),
            next: 1,
            due: 0.0,
            delayed: Vec::new(),
            count: RetryCount::default(),
            urgent_retries: 0,
        };
        fleet.disturb(Disturbance::Join(options.vms));
        fleet
    }

    pub fn disturb(&mut self, disturbance: Disturbance) {
        let now = self.now;
        match disturbance {
            Disturbance::Kill(vm, down) => {
                self.vms[vm].scheduler = None;
                self.vms[vm].stops = None;
                self.vms[vm].starts_at = now + down;
            }
            Disturbance::KillFrom(first, down) => {
                for vm in first..self.vms.len() {
                    self.disturb(Disturbance::Kill(vm, down));
                }
            }
            Disturbance::Stop(vm, drain, down) => {
                if self.vms[vm].scheduler.is_some() && self.vms[vm].stops.is_none() {
                    self.vms[vm].stops = Some((now + drain, now + drain + down));
                    self.vms[vm].stop_ordered = now;
                    self.send_digest(vm);
                }
            }
            Disturbance::Partition(side, until) => self.partition = Some((side, until)),
            Disturbance::Join(count) => {
                for _ in 0..count {
                    self.vms.push(SimulatedVm {
                        scheduler: None,
                        started: now,
                        ran_at: now,
                        last_listed: Moment(0),
                        last_digest: now,
                        stops: None,
                        stop_ordered: Moment(0),
                        starts_at: now,
                    });
                }
            }
            Disturbance::Rate(rate) => self.options.rate = rate,
            Disturbance::StoreAway(until) => self.store_back_at = until,
        }
    }

    /// Returns the number of VMs, running or not.
    pub fn size(&self) -> usize {
        self.vms.len()
    }

    /// Sets the share of the requests that targets turn away.
    pub fn set_turned_away(&mut self, share: f64) {
        self.options.turned_away = share;
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for vm in 0..self.vms.len() {
                self.run_process(vm);
            }
            self.send_delayed();
            self.submit_due();
        }
    }

    /// Starts and ends the process of a VM, and lets it read the list and send its digest.
    fn run_process(&mut self, vm: usize) {
        let now = self.now;
        if let Some((ends, starts)) = self.vms[vm].stops
            && ends <= now
        {
            self.disturb(Disturbance::Kill(vm, starts.since(now)));
        }
        if self.vms[vm].scheduler.is_none() {
            if self.vms[vm].starts_at > now {
                return;
            }
            self.start(vm);
        }
        self.vms[vm].ran_at = now;
        self.read_list(vm);
        if now.since(self.vms[vm].last_digest) >= self.options.digest_interval {
            self.send_digest(vm);
        }
    }

    fn start(&mut self, vm: usize) {
        let now = self.now;
        let mut scheduler = Scheduler::new(SchedulerOptions {
            name: member(vm).name,
            data_centre: member(vm).data_centre,
            incarnation: Incarnation(now.0),
            seed: self.rng.random(),
            retry: self.options.rule,
            rollout: Default::default(),
            assumed: AssumedSpeed::default(),
            policy: Default::default(),
        });
        scheduler.set_targets(now, (0..TARGETS).map(entry).collect());
        let jitter = Duration::from_millis(self.rng.random_range(0..300));
        let process = &mut self.vms[vm];
        process.scheduler = Some(scheduler);
        process.started = now;
        process.last_listed = Moment(0);
        process.last_digest = now.before(jitter);
    }

    fn read_list(&mut self, vm: usize) {
        let now = self.now;
        let process = &self.vms[vm];
        let is_due = now.since(process.last_listed) >= LIST_INTERVAL
            && now.since(process.started) >= LIST_DELAY
            && now >= self.store_back_at;
        if !is_due {
            return;
        }
        let is_listed = |other: &usize| {
            *other != vm
                && self.vms[*other].ran_at.0 > 0
                && now.since(self.vms[*other].ran_at) < LIST_TTL
        };
        let listed: Vec<CellMember> = (0..self.vms.len()).filter(is_listed).map(member).collect();
        self.vms[vm].last_listed = now;
        if let Some(scheduler) = &mut self.vms[vm].scheduler {
            scheduler.list_peers(now, &listed);
        }
    }

    fn send_digest(&mut self, from: usize) {
        let now = self.now;
        let leaving = self.vms[from].stops.is_some();
        self.vms[from].last_digest = now;
        // Without the list, a VM does not know where the others are.
        if self.vms[from].last_listed == Moment(0) {
            return;
        }
        let Some(scheduler) = &mut self.vms[from].scheduler else { return };
        let digest = scheduler.brief_digest(now, FleetState::default(), leaving);
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            let is_cut = self
                .partition
                .is_some_and(|(side, until)| now < until && (from < side) != (to < side));
            if is_cut || self.rng.random_ratio(1, LOSS_INVERSE) {
                continue;
            }
            if let Some(scheduler) = &mut self.vms[to].scheduler {
                let envelope = DigestEnvelope { from: member(from).name, digest: digest.clone() };
                scheduler.apply_digest(now, envelope);
            }
        }
    }

    fn submit_due(&mut self) {
        self.due += self.options.rate * TICK.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.count.requests.push(self.now);
            let is_routed = |vm: &usize| {
                let process = &self.vms[*vm];
                let is_in =
                    process.stops.is_none() || self.now.since(process.stop_ordered) < ROUTED_SPAN;
                process.scheduler.is_some() && is_in
            };
            let routed: Vec<usize> = (0..self.vms.len()).filter(is_routed).collect();
            if !routed.is_empty() {
                let vm = routed[self.rng.random_range(0..routed.len())];
                self.serve(vm);
            }
        }
    }

    /// Sends a request to its first target, and again until a target takes it or the VM gives up.
    fn serve(&mut self, vm: usize) {
        let now = self.now;
        let ticket = RequestSequence(self.next);
        self.next += 1;
        let tier = TierRank(if self.rng.random_bool(self.options.urgent) { 0 } else { 2 });
        let work = WaitingRequest {
            ticket,
            service: "desk".into(),
            tier,
            route_tier: tier,
            engine: false,
            prompt: Tokens(0),
            prompt_hash: None,
            events: 1,
            arrived: now,
            is_retry: false,
            objective_at: now + Duration::from_millis(500),
            leave_at: now + Duration::from_secs(20),
            pause: None,
            begun: false,
            version: None,
            excluded: Vec::new(),
            may_rerun: false,
            organisation: Default::default(),
        };
        let Some(scheduler) = &mut self.vms[vm].scheduler else { return };
        scheduler.enter(now, work.clone());
        let decision = scheduler.take_decisions().pop();
        self.send(PlacedRequest { vm, started: self.vms[vm].started, work, decision });
    }

    /// Sends the retries for which targets had no room before.
    fn send_delayed(&mut self) {
        let gap = self.options.retry_gap;
        let is_due = gap.is_zero() || self.now.0.is_multiple_of(gap.as_micros() as u64);
        if is_due {
            for request in std::mem::take(&mut self.delayed) {
                self.send_retry(request);
            }
        }
    }

    fn send_retry(&mut self, request: PlacedRequest) {
        let process = &mut self.vms[request.vm];
        let is_running = process.started == request.started;
        let Some(scheduler) = process.scheduler.as_mut().filter(|_| is_running) else { return };
        let (ticket, now) = (request.work.ticket, self.now);
        if !scheduler.spend_retry(now, ticket, &request.work.service) {
            scheduler.end(now, ticket, RunEnd::Abandoned);
            return;
        }
        self.count.retries.push(now);
        self.urgent_retries += usize::from(request.work.tier == TierRank(0));
        self.send(request);
    }

    fn send(&mut self, mut request: PlacedRequest) {
        let now = self.now;
        let ticket = request.work.ticket;
        let Some(Decision::Place { target, .. }) = &request.decision else { return };
        let Some(scheduler) = &mut self.vms[request.vm].scheduler else { return };
        if !self.rng.random_bool(self.options.turned_away) {
            scheduler.end(now, ticket, RunEnd::Whole);
            return;
        }
        request.work.excluded.push(target.key());
        scheduler.end(now, ticket, RunEnd::TurnedAway);
        if scheduler.enter_again(now, request.work.clone(), true) {
            request.decision = scheduler.take_decisions().pop();
            self.delayed.push(request);
        }
    }
}

/// A request that is placed at a target and not sent there yet.
struct PlacedRequest {
    vm: usize,
    /// When the process started that serves it.
    started: Moment,
    work: WaitingRequest,
    decision: Option<Decision>,
}
