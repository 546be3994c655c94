//! The open connections of callers, and when each must end.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use ryetide_core::connection_table::{
    ConnectionAdmission, ConnectionId, ConnectionPhase, ConnectionTable, PhaseTimeouts,
};
use tokio::{
    sync::Notify,
    time::{self, Instant, Sleep},
};

use crate::scheduler_hub::GatewayClock;

/// The open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    table: RefCell<ConnectionTable>,
    /// Notified when a connection must close for another one.
    closers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    clock: GatewayClock,
}

impl CallerConnections {
    /// Creates an empty list of at most `limit` connections.
    pub fn new(clock: GatewayClock, limit: usize, timeouts: PhaseTimeouts) -> Rc<Self> {
        let table = RefCell::new(ConnectionTable::new(limit, timeouts));
        Rc::new(Self { table, closers: RefCell::default(), clock })
    }

    /// Sets the limit and the timeouts.
    pub fn configure(&self, limit: usize, timeouts: PhaseTimeouts) {
        self.table.borrow_mut().configure(limit, timeouts);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Adds a connection, for which another one may have to close. Returns `None` if it is to be
    /// closed itself.
    pub fn admit(self: &Rc<Self>) -> Option<Rc<CallerConnection>> {
        let admission = self.table.borrow_mut().admit(self.clock.now());
        let id = match admission {
            ConnectionAdmission::Rejected => return None,
            ConnectionAdmission::Admitted(id) => id,
            ConnectionAdmission::Displaces { id, closes } => {
                if let Some(closer) = self.closers.borrow().get(&closes) {
                    closer.notify_one();
                }
                id
            }
        };
        let closer = Rc::new(Notify::new());
        self.closers.borrow_mut().insert(id, Rc::clone(&closer));
        let connections = Rc::clone(self);
        let answer_ended = Cell::new(false);
        Some(Rc::new(CallerConnection { connections, id, closer, answer_ended }))
    }
}

/// An open connection, until this is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    connections: Rc<CallerConnections>,
    id: ConnectionId,
    closer: Rc<Notify>,
    /// Whether all of the present answer was handed over to be sent.
    answer_ended: Cell<bool>,
}

impl CallerConnection {
    /// Records what the connection does from now on.
    pub fn enter(&self, phase: ConnectionPhase) {
        let CallerConnections { table, clock, .. } = &*self.connections;
        table.borrow_mut().enter(clock.now(), self.id, phase);
    }

    /// Returns what the connection does.
    pub fn phase(&self) -> Option<ConnectionPhase> {
        self.connections.table.borrow().phase(self.id)
    }

    /// Records that a request has begun to be served.
    pub fn record_request(&self, has_body: bool) {
        self.answer_ended.set(false);
        self.enter(if has_body { ConnectionPhase::Body } else { ConnectionPhase::Serving });
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        match self.phase() {
            Some(ConnectionPhase::Fresh | ConnectionPhase::Idle) => {
                self.enter(ConnectionPhase::Head);
            }
            Some(ConnectionPhase::Serving) => self.enter(ConnectionPhase::Pipelining),
            _ => {}
        }
    }

    /// Records whether the caller takes what is written to it.
    pub fn record_written(&self, is_taken: bool) {
        match self.phase() {
            Some(ConnectionPhase::Serving) if !is_taken => self.enter(ConnectionPhase::Unread),
            Some(ConnectionPhase::Unread) if is_taken => self.enter(ConnectionPhase::Serving),
            _ => {}
        }
    }

    /// Records that all bytes were sent which had been handed over.
    pub fn record_flushed(&self) {
        if self.answer_ended.replace(false) {
            self.enter(ConnectionPhase::Idle);
        }
    }

    /// Waits until the connection must close for another one.
    pub async fn displaced(&self) {
        self.closer.notified().await;
    }

    /// Records that all of the present answer was handed over to be sent.
    pub fn record_answer_end(&self) {
        self.enter(ConnectionPhase::Answering);
        self.answer_ended.set(true);
    }

    fn closes_at(&self) -> Option<Instant> {
        let CallerConnections { table, clock, .. } = &*self.connections;
        table.borrow().closes_at(self.id).map(|at| clock.instant(at))
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(self.id);
        self.connections.closers.borrow_mut().remove(&self.id);
    }
}

/// Waits until a connection has been doing the same for too long.
///
/// It is polled after the connection, which may have begun something else: timers are set again only
/// then, and no other task is woken.
#[derive(Debug)]
pub struct PhaseTimer {
    connection: Rc<CallerConnection>,
    sleep: Pin<Box<Sleep>>,
}

impl PhaseTimer {
    /// Creates the timer of a connection.
    pub fn new(connection: Rc<CallerConnection>) -> Self {
        let at = connection.closes_at().unwrap_or_else(Instant::now);
        Self { connection, sleep: Box::pin(time::sleep_until(at)) }
    }

    /// Polls whether the time is over.
    pub fn poll_over(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(at) = self.connection.closes_at() else { return Poll::Pending };
        if self.sleep.deadline() != at {
            self.sleep.as_mut().reset(at);
        }
        ready!(self.sleep.as_mut().poll(context));
        Poll::Ready(())
    }
}
