//! Holds accepted connections until the head of their first request has arrived.
//!
//! Each connection takes a descriptor of the process. Callers that connect and send nothing, or a part
//! of a head, would take all of them, and nobody else could connect until their time is over. Callers
//! send the head at once on a new connection, so beyond a limit the one that has waited for longest is
//! closed.

use std::{
    collections::BTreeMap,
    io,
    net::TcpStream,
    os::fd::AsRawFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use nix::sys::socket::{self, MsgFlags};
use tokio::{io::Interest, sync::Notify};

use crate::util;

/// The time within which a head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The bytes of a head that are looked at. The server judges a longer one.
const PEEKED_BYTES: usize = 8 << 10;
/// The header lines that are looked at. The server judges a head that has more.
const PEEKED_HEADERS: usize = 128;

/// Why a connection was closed before a head arrived.
#[derive(Debug, thiserror::Error)]
pub enum HeadFault {
    /// Others came later, and there are too many.
    #[error("too many connections without a head")]
    Displaced,
    /// The head did not arrive in time.
    #[error("no head within {HEAD_TIMEOUT:?}")]
    TimedOut,
    /// The server stops.
    #[error("the server stops")]
    Stopped,
    /// The connection cannot be used.
    #[error("the connection cannot be used")]
    Unusable(#[from] io::Error),
}

#[derive(Debug, Default)]
struct PendingList {
    /// How to end the wait of each connection, in the order in which they came.
    closers: BTreeMap<u64, Arc<Notify>>,
    next: u64,
    is_stopped: bool,
}

/// The connections on which no head has arrived.
#[derive(Debug)]
pub struct PendingHeads {
    limit: usize,
    list: Mutex<PendingList>,
}

/// Takes a connection off the list when its wait ends, however it does.
struct ListedConnection<'a> {
    pending: &'a PendingHeads,
    number: u64,
    closer: Arc<Notify>,
}

impl Drop for ListedConnection<'_> {
    fn drop(&mut self) {
        self.pending.list().closers.remove(&self.number);
    }
}

impl PendingHeads {
    /// Creates an empty list for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, list: Mutex::default() }
    }

    /// Waits until a head has arrived on a connection, or what the server must judge: something else
    /// than a head, or the end. Nothing is read.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadFault`] when the connection is to be closed instead.
    pub async fn await_head(&self, stream: TcpStream) -> Result<TcpStream, HeadFault> {
        stream.set_nonblocking(true)?;
        let stream = tokio::net::TcpStream::from_std(stream)?;
        let listed = self.add()?;
        tokio::select! {
            biased;
            arrived = util::within(HEAD_TIMEOUT, head_arrived(&stream)) => {
                arrived.ok_or(HeadFault::TimedOut)??;
            }
            () = listed.closer.notified() => {
                let is_stopped = self.list().is_stopped;
                return Err(if is_stopped { HeadFault::Stopped } else { HeadFault::Displaced });
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

    fn add(&self) -> Result<ListedConnection<'_>, HeadFault> {
        let mut list = self.list();
        if list.is_stopped {
            return Err(HeadFault::Stopped);
        }
        if list.closers.len() >= self.limit
            && let Some((_, longest)) = list.closers.pop_first()
        {
            longest.notify_one();
        }
        let (number, closer) = (list.next, Arc::new(Notify::new()));
        list.next += 1;
        list.closers.insert(number, Arc::clone(&closer));
        Ok(ListedConnection { pending: self, number, closer })
    }

    fn list(&self) -> MutexGuard<'_, PendingList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn head_arrived(stream: &tokio::net::TcpStream) -> io::Result<()> {
    loop {
        let ready = stream.ready(Interest::READABLE).await?;
        if ready.is_read_closed() {
            return Ok(());
        }
        // A part of a head is no progress: the next bytes wake this task again.
        match stream.try_io(Interest::READABLE, || peek_head(stream)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            ended => return ended,
        }
    }
}

/// Looks at the received bytes. Fails with [`io::ErrorKind::WouldBlock`] if they are a part of a head.
fn peek_head(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let mut bytes = [0; PEEKED_BYTES];
    let length = socket::recv(stream.as_raw_fd(), &mut bytes, MsgFlags::MSG_PEEK)?;
    let mut headers = [httparse::EMPTY_HEADER; PEEKED_HEADERS];
    let parsed = httparse::Request::new(&mut headers).parse(&bytes[..length]);
    let is_part = parsed.is_ok_and(|status| status.is_partial());
    let is_whole_view = length == PEEKED_BYTES;
    if is_part && !is_whole_view { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(()) }
}
