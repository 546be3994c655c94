//! Connections to targets, kept while they are known to be good.
//!
//! A kept connection may be dead without a sign, or hold bytes that belong to no request. Work that
//! may run once only therefore gets a connection that was opened for it, whose handshake has just
//! proved it live. Work that may be repeated takes a kept one, for a short time after its last use:
//! what is lost on it is sent again.

use std::{cell::RefCell, collections::HashMap, io, net, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use ryetide_core::{ids::TargetKey, target_load::TargetEntry};
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time::{self, Instant},
};

/// Opening a connection may take this long: a hundred times the way to another data centre. A target
/// that is dark costs its caller no more than this before another is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes sent and not acknowledged for this long mean that the connection is dead. Without it a send
/// to a target that fell dark waits for minutes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// A connection with nothing to send is probed after this long, and then this often.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is dead after this many unanswered probes.
const PROBE_COUNT: u32 = 2;
/// A kept connection is used again for this long after its last use, when its target names no time.
const KEPT_SPAN: Duration = Duration::from_millis(1_500);
/// The part of the time that a target names for which its connections are used again.
const KEPT_PART: f64 = 0.6;
/// Kept connections to one target.
const KEPT_LIMIT: usize = 8;

/// Why a target could not be reached. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFault {
    /// No connection could be opened.
    #[error("connect: {0}")]
    Open(#[from] io::Error),
    /// Opening took too long.
    #[error("connect: no answer")]
    Silent,
    /// The library refused the connection.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Why a request got no answer. It may have run.
#[derive(Debug, thiserror::Error)]
#[error("send: {0}")]
pub struct SendFault(#[from] hyper::Error);

/// An open connection to a target. Dropping it closes it.
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    kept: bool,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        // The target stops its work when its connection closes.
        self.task.abort();
    }
}

impl TargetConnection {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFault`] when the connection breaks before the head of an answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        Ok(self.sender.send_request(request).await?)
    }

    /// Returns whether the connection was used before.
    pub fn is_kept(&self) -> bool {
        self.kept
    }
}

struct KeptConnection {
    connection: TargetConnection,
    until: Instant,
}

/// How a connection is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// One that is kept, if there is one.
    Kept,
    /// One opened now.
    Fresh,
}

/// The connections to all targets, each to one life of a target.
#[derive(Default)]
pub struct TargetPool {
    kept: RefCell<HashMap<TargetKey, Vec<KeptConnection>>>,
}

impl TargetPool {
    /// Creates an empty pool.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Returns a connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectFault`] when none can be opened; nothing was sent then.
    pub async fn connect(
        &self,
        target: &TargetEntry,
        choice: ConnectionChoice,
    ) -> Result<TargetConnection, ConnectFault> {
        if choice == ConnectionChoice::Kept
            && let Some(connection) = self.take_kept(target.key())
        {
            return Ok(connection);
        }
        open(target.address).await
    }

    /// Keeps a connection whose answer was read whole, for as long as the target said it keeps it.
    pub fn keep(&self, target: TargetKey, connection: TargetConnection, named: Option<Duration>) {
        let span = named.map_or(KEPT_SPAN, |named| named.mul_f64(KEPT_PART).min(KEPT_SPAN));
        if span.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut all = self.kept.borrow_mut();
        let kept = all.entry(target).or_default();
        if kept.len() < KEPT_LIMIT {
            kept.push(KeptConnection { connection, until: Instant::now() + span });
        }
    }

    /// Closes the connections that were kept long enough.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.kept.borrow_mut().retain(|_, kept| {
            kept.retain(|it| now < it.until && !it.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn take_kept(&self, target: TargetKey) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut all = self.kept.borrow_mut();
        let kept = all.get_mut(&target)?;
        while let Some(KeptConnection { mut connection, until }) = kept.pop() {
            if now < until && connection.sender.is_ready() {
                connection.kept = true;
                return Some(connection);
            }
        }
        None
    }
}

/// Opens a connection that finds out when its other end has gone silent.
///
/// # Errors
///
/// Returns a [`ConnectFault`] when it cannot be opened in time.
pub async fn open_stream(address: net::SocketAddr) -> Result<TcpStream, ConnectFault> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ConnectFault::Silent)??;
    guard_against_silence(&stream)?;
    Ok(stream)
}

async fn open(address: net::SocketAddr) -> Result<TargetConnection, ConnectFault> {
    let stream = open_stream(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let running = task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "target-connection-ended", peer = %address, reason = %error);
        }
    });
    Ok(TargetConnection { sender, task: running.abort_handle(), kept: false })
}

/// Sets the options by which a connection that has gone silent is found out: a peer that is cut off or
/// has lost power sends neither an end nor a reset.
///
/// # Errors
///
/// Returns the system's error when an option cannot be set.
pub fn guard_against_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
