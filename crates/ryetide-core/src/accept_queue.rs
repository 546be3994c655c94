//! Decides which of the connections that wait to be accepted are served, and which are closed
//! unread.
//!
//! A VM accepts a connection only when everything that it has begun has had its turn, so a queue
//! that never becomes empty shows that it gets more than it can carry, whatever its size is and
//! whatever it lacks. Callers whose connections are closed before their request is read may send it
//! to another VM at once; those that stay in the queue time out there.

use std::time::Duration;

use crate::units::Moment;

/// How long connections may wait while the queue does not become empty: a share of the second after
/// which callers give an unread connection up.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same while the VM is overloaded. Those that are served then wait for less, and the others
/// learn sooner that they must go elsewhere.
const OVERLOADED_TIMEOUT: Duration = Duration::from_millis(100);
/// How long after connections were last closed the VM counts as overloaded.
const OVERLOAD_SPAN: Duration = Duration::from_secs(1);
/// The length of the queue. As many connections are closed at a time at the most: all that have
/// waited for too long, however fast others arrive.
pub const QUEUE_LENGTH: u32 = 1_024;

/// What becomes of an accepted connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptDecision {
    /// Its requests are read and served.
    Serve,
    /// It is closed unread.
    Close,
}

/// The queue of connections that wait to be accepted.
///
/// # Example
///
/// ```
/// use ryetide_core::{accept_queue::{AcceptDecision, AcceptQueue}, units::Moment};
///
/// let mut queue = AcceptQueue::default();
/// assert_eq!(queue.accept(Moment::from_millis(1_000)), AcceptDecision::Serve);
/// assert_eq!(queue.accept(Moment::from_millis(1_300)), AcceptDecision::Serve);
/// assert_eq!(queue.accept(Moment::from_millis(1_500)), AcceptDecision::Close);
/// queue.record_empty();
/// assert_eq!(queue.accept(Moment::from_millis(1_510)), AcceptDecision::Serve);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AcceptQueue {
    /// Since when the queue has not been empty.
    busy_since: Option<Moment>,
    /// How many more connections are closed unless the queue becomes empty before.
    to_close: u32,
    last_closed_at: Option<Moment>,
}

impl AcceptQueue {
    /// Records that no connection waits.
    pub fn record_empty(&mut self) {
        self.busy_since = None;
        self.to_close = 0;
    }

    /// Decides what becomes of a connection that was accepted.
    pub fn accept(&mut self, now: Moment) -> AcceptDecision {
        let busy_since = *self.busy_since.get_or_insert(now);
        if self.to_close == 0 && now.since(busy_since) > self.timeout(now) {
            self.to_close = QUEUE_LENGTH;
        }
        if self.to_close == 0 {
            return AcceptDecision::Serve;
        }
        self.to_close -= 1;
        self.last_closed_at = Some(now);
        if self.to_close == 0 {
            self.busy_since = Some(now);
        }
        AcceptDecision::Close
    }

    /// Returns whether connections were closed a short time ago.
    pub fn is_overloaded(&self, now: Moment) -> bool {
        self.last_closed_at.is_some_and(|at| now.since(at) < OVERLOAD_SPAN)
    }

    fn timeout(&self, now: Moment) -> Duration {
        if self.is_overloaded(now) { OVERLOADED_TIMEOUT } else { QUEUE_TIMEOUT }
    }
}
