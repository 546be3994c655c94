//! Decides which accepted connections of callers are served.
//!
//! The server accepts connections on a thread of its own. Each then waits here until its caller has
//! sent a head and, before any of that is read, until the thread that serves callers has given a
//! turn to everything that it has begun. So connections queue up here, and not behind requests that
//! were read, when a VM gets more than it can carry.

use std::{
    net::TcpStream,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::resource::{self, Resource};
use ryetide_core::{
    accept_queue::{AcceptDecision, AcceptQueue},
    units::Moment,
};
use tokio::{sync::Semaphore, task};

use crate::pending_heads::{HeadFault, PendingHeads};

/// The shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The share of the process's descriptors for connections without a head, as a divisor.
const PENDING_DIVISOR: u64 = 3;
/// The most such connections.
const MAX_PENDING: u64 = 4_096;

/// Why a connection was closed before its request was read.
#[derive(Debug, thiserror::Error)]
pub enum ClosedUnread {
    /// The VM gets more connections than it can carry.
    #[error("the VM gets more connections than it can carry")]
    Overload,
    /// Its caller has not sent a head.
    #[error(transparent)]
    Headless(#[from] HeadFault),
}

/// The queue of accepted connections whose requests have not been read.
#[derive(Debug)]
pub struct CallerGate {
    started: Instant,
    pending: PendingHeads,
    /// Held by the connection whose turn it is. Turns are given in order.
    turn: Semaphore,
    waiting: AtomicUsize,
    queue: Mutex<AcceptQueue>,
    closed: Mutex<ClosedCount>,
}

/// The connections closed since the last log line.
#[derive(Debug, Default)]
struct ClosedCount {
    count: u32,
    logged_at: Option<Instant>,
}

impl ClosedCount {
    fn record(&mut self) {
        self.count += 1;
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            tracing::warn!(event = "callers-closed-unread", step = "accept", count = self.count);
            *self = Self { count: 0, logged_at: Some(Instant::now()) };
        }
    }
}

impl Default for CallerGate {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            pending: PendingHeads::new(pending_limit()),
            turn: Semaphore::new(1),
            waiting: AtomicUsize::new(0),
            queue: Mutex::default(),
            closed: Mutex::default(),
        }
    }
}

impl CallerGate {
    /// Waits until a connection may be served.
    ///
    /// # Errors
    ///
    /// Returns [`ClosedUnread`] when it is to be closed instead.
    pub async fn enter(&self, stream: TcpStream) -> Result<TcpStream, ClosedUnread> {
        let stream = self.pending.await_head(stream).await.inspect_err(|fault| {
            tracing::debug!(event = "caller-closed", step = "accept", reason = %fault);
        })?;
        self.await_turn().await?;
        Ok(stream)
    }

    /// Closes the connections on which no head has arrived.
    pub fn stop(&self) {
        self.pending.stop();
    }

    async fn await_turn(&self) -> Result<(), ClosedUnread> {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        // The semaphore is never closed.
        let _turn = self.turn.acquire().await;
        let decision = self.with_queue(|queue| queue.accept(self.now()));
        if decision == AcceptDecision::Serve {
            task::yield_now().await;
        }
        if self.waiting.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.with_queue(AcceptQueue::record_empty);
        }
        match decision {
            AcceptDecision::Serve => Ok(()),
            AcceptDecision::Close => {
                self.closed.lock().unwrap_or_else(PoisonError::into_inner).record();
                Err(ClosedUnread::Overload)
            }
        }
    }

    fn with_queue<T>(&self, act: impl FnOnce(&mut AcceptQueue) -> T) -> T {
        act(&mut self.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> Moment {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment(micros)
    }
}

/// Returns how many connections may be open on which no head has arrived.
fn pending_limit() -> usize {
    let descriptors = resource::getrlimit(Resource::RLIMIT_NOFILE).map_or(0, |(soft, _)| soft);
    let limit = (descriptors / PENDING_DIVISOR).clamp(1, MAX_PENDING);
    usize::try_from(limit).unwrap_or(usize::MAX)
}
