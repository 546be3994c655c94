//! Shares one scheduler among the tasks of a gateway and delivers its decisions to waiting tasks.

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

/// The gateway's monotonic clock. It starts at moment 1, because moment 0 stands for "never".
#[derive(Clone, Copy, Debug)]
pub struct GatewayClock {
    started: Instant,
}

impl GatewayClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment(micros.saturating_add(1))
    }

    /// Returns how long the clock has been running.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a moment to the runtime's clock, for timers.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started + moment.since(Moment(1))
    }
}

/// The scheduler and the tasks that wait for its decisions.
pub struct SchedulerHub {
    clock: GatewayClock,
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<RequestSequence, oneshot::Sender<Decision>>>,
    /// The tasks that wait for quota units.
    quota_waiters: RefCell<HashMap<RequestSequence, oneshot::Sender<Result<(), Duration>>>>,
    next_ticket: Cell<u64>,
    /// Notified after each call of [`Self::with`]: a request may wait, or peers need an update.
    activity: Notify,
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
            activity: Notify::new(),
        })
    }

    /// Returns the clock.
    pub fn clock(&self) -> GatewayClock {
        self.clock
    }

    /// Runs `act` on the scheduler and delivers its decisions to the waiting tasks.
    pub fn with<T>(&self, act: impl FnOnce(&mut Scheduler, Moment) -> T) -> T {
        let now = self.clock.now();
        let outcome = act(&mut self.scheduler.borrow_mut(), now);
        self.deliver(now);
        self.activity.notify_one();
        outcome
    }

    /// Reads from the scheduler.
    pub fn peek<T>(&self, look: impl FnOnce(&Scheduler) -> T) -> T {
        look(&self.scheduler.borrow())
    }

    /// Runs `act` on the scheduler without delivering decisions, so `act` must not make any.
    pub fn peek_mut<T>(&self, act: impl FnOnce(&mut Scheduler) -> T) -> T {
        act(&mut self.scheduler.borrow_mut())
    }

    /// Waits until the scheduler has changed, so that it may have work to do or updates to send.
    pub async fn changed(&self) {
        self.activity.notified().await;
    }

    /// Assigns a number to a new request.
    pub fn take_ticket(self: &Rc<Self>) -> RequestTicket {
        let number = self.next_ticket.get();
        self.next_ticket.set(number + 1);
        RequestTicket { hub: Rc::clone(self), number: RequestSequence(number) }
    }

    fn deliver_quota_results(&self) {
        let results = self.scheduler.borrow_mut().take_quota_results();
        for QuotaWaitResult { ticket, charge, outcome } in results {
            let waiter = self.quota_waiters.borrow_mut().remove(&ticket);
            let delivered = waiter.is_some_and(|waiter| waiter.send(outcome).is_ok());
            if !delivered && outcome.is_ok() {
                // The caller has left meanwhile, so its units are returned.
                self.scheduler.borrow_mut().refund(charge);
            }
        }
    }

    fn deliver(&self, now: Moment) {
        self.deliver_quota_results();
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
                let delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
                if !delivered {
                    // The caller has left meanwhile, so its slot is released.
                    self.scheduler.borrow_mut().end(now, ticket, RunEnd::Abandoned);
                }
            }
        }
    }
}

/// A request's number in the scheduler. Dropping it removes the request from its queue and releases
/// its slot, so that nothing is leaked whenever a caller disconnects.
pub struct RequestTicket {
    hub: Rc<SchedulerHub>,
    number: RequestSequence,
}

impl RequestTicket {
    /// Returns the request's number.
    pub fn number(&self) -> RequestSequence {
        self.number
    }

    /// Charges the request to its organisation's quota, and waits for quota units if they become
    /// free in time.
    ///
    /// # Errors
    ///
    /// Returns the retry delay when the quota is used up.
    pub async fn request_quota(&self, request: QuotaRequest) -> Result<(), Duration> {
        let reply = self.hub.with(|scheduler, now| scheduler.request_quota(now, request));
        match reply {
            QuotaReply::Taken => return Ok(()),
            QuotaReply::Over(wait) => return Err(wait),
            QuotaReply::Waits => {}
        }
        let (sender, result) = oneshot::channel();
        self.hub.quota_waiters.borrow_mut().insert(self.number, sender);
        // The sender is held as long as the gateway runs.
        result.await.unwrap_or(Err(Duration::ZERO))
    }

    /// Queues the request and returns the scheduler's decision.
    pub async fn enter(&self, work: WaitingRequest) -> Option<Decision> {
        let decision = self.register_waiter();
        self.hub.with(|scheduler, now| scheduler.enter(now, work));
        // The sender is held as long as the gateway runs.
        decision.await.ok()
    }

    /// Queues the request for another target; the receiver gets the scheduler's decision. Returns
    /// `None` when the retry budget does not permit it.
    pub fn enter_again(
        &self,
        work: WaitingRequest,
        reached_target: bool,
    ) -> Option<oneshot::Receiver<Decision>> {
        let decision = self.register_waiter();
        let act = |scheduler: &mut Scheduler, now| scheduler.enter_again(now, work, reached_target);
        self.hub.with(act).then_some(decision)
    }

    /// Records an event of the request's stream.
    pub fn record_event(&self) {
        self.hub.with(|scheduler, now| scheduler.record_event(now, self.number));
    }

    /// Records that the request's current run has ended.
    pub fn end(&self, end: RunEnd) {
        self.hub.with(|scheduler, now| scheduler.end(now, self.number, end));
    }

    fn register_waiter(&self) -> oneshot::Receiver<Decision> {
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
