//! Bounds connections of which each lasts a moment, such as those of a load balancer's checks.

use std::collections::VecDeque;

use tokio::task::AbortHandle;

/// The tasks of open connections, of which the oldest ends when there are too many.
///
/// Whoever needs such a port is done in milliseconds, so only connections that are held open for their
/// own sake grow old.
#[derive(Debug)]
pub struct ConnectionLimit {
    open: VecDeque<AbortHandle>,
    limit: usize,
}

impl ConnectionLimit {
    /// Creates an empty list of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { open: VecDeque::new(), limit }
    }

    /// Adds the task of a connection, and ends the oldest one if there are too many.
    pub fn add(&mut self, task: AbortHandle) {
        self.open.retain(|it| !it.is_finished());
        if self.open.len() >= self.limit
            && let Some(oldest) = self.open.pop_front()
        {
            oldest.abort();
        }
        self.open.push_back(task);
    }
}
