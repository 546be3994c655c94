//! Holds accepted connections until their callers have sent something.
//!
//! Each connection takes a descriptor of the process. Callers that connect and send nothing would take
//! all of them, and nobody else could connect until their time is over. Callers send at once on a new
//! connection, so beyond a limit the one that has been silent for longest is closed.

use std::{
    collections::BTreeMap,
    io,
    net::TcpStream,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::Notify;

use crate::util;

/// The time for which a caller may be silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection was closed before anything was received on it.
#[derive(Debug, thiserror::Error)]
pub enum SilenceFault {
    /// Others came later, and there are too many.
    #[error("too many connections on which nothing was received")]
    Displaced,
    /// Nothing was received in time.
    #[error("nothing was received within {SILENCE_TIMEOUT:?}")]
    TimedOut,
    /// The server stops.
    #[error("the server stops")]
    Stopped,
    /// The connection cannot be used.
    #[error("the connection cannot be used")]
    Unusable(#[from] io::Error),
}

#[derive(Debug, Default)]
struct SilentList {
    /// How to end the wait of each connection, in the order in which they came.
    closers: BTreeMap<u64, Arc<Notify>>,
    next: u64,
    is_stopped: bool,
}

/// The connections on which nothing has been received.
#[derive(Debug)]
pub struct SilentConnections {
    limit: usize,
    list: Mutex<SilentList>,
}

/// Takes a connection off the list when its wait ends, however it does.
struct ListedConnection<'a> {
    connections: &'a SilentConnections,
    number: u64,
    closer: Arc<Notify>,
}

impl Drop for ListedConnection<'_> {
    fn drop(&mut self) {
        self.connections.list().closers.remove(&self.number);
    }
}

impl SilentConnections {
    /// Creates an empty list for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, list: Mutex::default() }
    }

    /// Waits until something has been received on a connection, or its caller has closed it.
    ///
    /// # Errors
    ///
    /// Returns a [`SilenceFault`] when the connection is to be closed instead.
    pub async fn await_bytes(&self, stream: TcpStream) -> Result<TcpStream, SilenceFault> {
        stream.set_nonblocking(true)?;
        let stream = tokio::net::TcpStream::from_std(stream)?;
        let listed = self.add()?;
        tokio::select! {
            biased;
            ready = util::within(SILENCE_TIMEOUT, stream.readable()) => {
                ready.ok_or(SilenceFault::TimedOut)??;
            }
            () = listed.closer.notified() => {
                let is_stopped = self.list().is_stopped;
                return Err(if is_stopped { SilenceFault::Stopped } else { SilenceFault::Displaced });
            }
        }
        Ok(stream.into_std()?)
    }

    /// Ends all waits, also of connections that come later.
    pub fn stop(&self) {
        let mut list = self.list();
        list.is_stopped = true;
        list.closers.values().for_each(|closer| closer.notify_one());
    }

    fn add(&self) -> Result<ListedConnection<'_>, SilenceFault> {
        let mut list = self.list();
        if list.is_stopped {
            return Err(SilenceFault::Stopped);
        }
        if list.closers.len() >= self.limit
            && let Some((_, longest)) = list.closers.pop_first()
        {
            longest.notify_one();
        }
        let (number, closer) = (list.next, Arc::new(Notify::new()));
        list.next += 1;
        list.closers.insert(number, Arc::clone(&closer));
        Ok(ListedConnection { connections: self, number, closer })
    }

    fn list(&self) -> MutexGuard<'_, SilentList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
