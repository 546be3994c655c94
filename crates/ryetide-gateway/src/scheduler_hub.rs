//! The one scheduler that all tasks of a gateway share, and the tasks that wait for its decisions.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use ryetide_core::{
    decision::{Decision, RunEnd},
    ids::RequestSequence,
    quota_allocator::{QuotaReply, QuotaRequest, QuotaWaitResult},
    scheduler::Scheduler,
    units::Moment,
    wait_queue::WaitingRequest,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

/// The gateway's steady clock. Moment 0 stands for "never".
#[derive(Clone, Copy, Debug)]
pub struct GatewayClock {
    started: Instant,
}

impl GatewayClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment(micros.saturating_add(1))
    }

    /// Returns a moment on the runtime's clock, for timers.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started + moment.since(Moment(1))
    }
}

/// The scheduler and those who wait for it.
pub struct SchedulerHub {
    clock: GatewayClock,
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<RequestSequence, oneshot::Sender<Decision>>>,
    /// Those who wait for units of their quota.
    quota_waiters: RefCell<HashMap<RequestSequence, oneshot::Sender<Result<(), Duration>>>>,
    next_ticket: Cell<u64>,
    /// Rung when somebody has begun to wait, or there is news for the peers.
    bell: Notify,
}

impl SchedulerHub {
    /// Creates a hub around `scheduler`.
    pub fn new(scheduler: Scheduler) -> Rc<Self> {
        Rc::new(Self {
            clock: GatewayClock::start(),
            scheduler: RefCell::new(scheduler),
            waiters: RefCell::default(),
            quota_waiters: RefCell::default(),
            next_ticket: Cell::new(1),
            bell: Notify::new(),
        })
    }

    /// Returns the clock.
    pub fn clock(&self) -> GatewayClock {
        self.clock
    }

    /// Runs `act` on the scheduler and hands its decisions to those who wait for them.
    pub fn with<T>(&self, act: impl FnOnce(&mut Scheduler, Moment) -> T) -> T {
        let now = self.clock.now();
        let outcome = act(&mut self.scheduler.borrow_mut(), now);
        self.deliver(now);
        self.bell.notify_one();
        outcome
    }

    /// Looks at the scheduler.
    pub fn peek<T>(&self, look: impl FnOnce(&Scheduler) -> T) -> T {
        look(&self.scheduler.borrow())
    }

    /// Runs something on the scheduler that decides nothing.
    pub fn peek_mut<T>(&self, act: impl FnOnce(&mut Scheduler) -> T) -> T {
        act(&mut self.scheduler.borrow_mut())
    }

    /// Waits until the scheduler has something to do or to tell.
    pub async fn rung(&self) {
        self.bell.notified().await;
    }

    /// Takes a number for a new request.
    pub fn take_ticket(self: &Rc<Self>) -> RequestTicket {
        let number = self.next_ticket.get();
        self.next_ticket.set(number + 1);
        RequestTicket { hub: Rc::clone(self), number: RequestSequence(number) }
    }

    fn deliver_verdicts(&self) {
        let verdicts = self.scheduler.borrow_mut().take_quota_results();
        for QuotaWaitResult { ticket, charge, outcome } in verdicts {
            let waiter = self.quota_waiters.borrow_mut().remove(&ticket);
            let told = waiter.is_some_and(|waiter| waiter.send(outcome).is_ok());
            if !told && outcome.is_ok() {
                // The caller left in the same turn, and its units are free again.
                self.scheduler.borrow_mut().refund(charge);
            }
        }
    }

    fn deliver(&self, now: Moment) {
        self.deliver_verdicts();
        loop {
            let decisions = self.scheduler.borrow_mut().take_decisions();
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                let ticket = match &decision {
                    Decision::Place { ticket, .. } | Decision::Refuse { ticket, .. } => *ticket,
                };
                let waiter = self.waiters.borrow_mut().remove(&ticket);
                let taken = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
                if !taken {
                    // The caller left in the same turn: its place is free again.
                    self.scheduler.borrow_mut().end(now, ticket, RunEnd::Abandoned);
                }
            }
        }
    }
}

/// A request's number. Dropping it takes the request out of line and frees its place, so that a
/// caller who leaves at any moment leaves nothing behind.
pub struct RequestTicket {
    hub: Rc<SchedulerHub>,
    number: RequestSequence,
}

impl RequestTicket {
    /// Returns the number.
    pub fn number(&self) -> RequestSequence {
        self.number
    }

    /// Takes what the request costs from its organisation's quota, after a wait where that helps.
    ///
    /// # Errors
    ///
    /// Returns when to come back, when the quota is used up.
    pub async fn request_quota(&self, ask: QuotaRequest) -> Result<(), Duration> {
        let answer = self.hub.with(|scheduler, now| scheduler.request_quota(now, ask));
        match answer {
            QuotaReply::Taken => return Ok(()),
            QuotaReply::Over(wait) => return Err(wait),
            QuotaReply::Waits => {}
        }
        let (sender, verdict) = oneshot::channel();
        self.hub.quota_waiters.borrow_mut().insert(self.number, sender);
        // The other end lives as long as the gateway.
        verdict.await.unwrap_or(Err(Duration::ZERO))
    }

    /// Takes the request in, and returns what becomes of it.
    pub async fn enter(&self, work: WaitingRequest) -> Option<Decision> {
        let decision = self.wait();
        self.hub.with(|scheduler, now| scheduler.enter(now, work));
        // The other end lives as long as the gateway.
        decision.await.ok()
    }

    /// Lets the request wait for another target. Returns nothing when the budget of repeats does not
    /// permit it.
    pub async fn enter_again(&self, work: WaitingRequest, arrived_there: bool) -> Option<Decision> {
        let decision = self.wait();
        let act = |scheduler: &mut Scheduler, now| scheduler.enter_again(now, work, arrived_there);
        if !self.hub.with(act) {
            return None;
        }
        // As in [`Self::enter`].
        decision.await.ok()
    }

    /// Notes an event of the request's stream.
    pub fn record_event(&self) {
        self.hub.with(|scheduler, now| scheduler.record_event(now, self.number));
    }

    /// Notes that the request is not under way any more.
    pub fn end(&self, end: RunEnd) {
        self.hub.with(|scheduler, now| scheduler.end(now, self.number, end));
    }

    fn wait(&self) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.hub.waiters.borrow_mut().insert(self.number, sender);
        receiver
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        self.hub.waiters.borrow_mut().remove(&self.number);
        self.hub.quota_waiters.borrow_mut().remove(&self.number);
        self.hub.with(|scheduler, now| {
            scheduler.leave(self.number);
            scheduler.end(now, self.number, RunEnd::Abandoned);
        });
    }
}
