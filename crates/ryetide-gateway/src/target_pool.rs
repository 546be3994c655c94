//! A pool of connections to targets.
//!
//! A pooled connection may be dead without a sign, or hold bytes that belong to no request. A
//! once-only request therefore gets a new connection, whose handshake has just shown that it works.
//! A repeatable request may use a pooled one for a short time after its last use: if the request is
//! lost, it is sent again.

use std::{cell::RefCell, collections::HashMap, io, net, rc::Rc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use ryetide::segmented_body::SegmentedBody;
use ryetide_core::ids::TargetKey;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::{self, AbortHandle},
    time::{self, Instant},
};

use crate::{
    metered_stream::{ByteMeter, MeteredStream},
    peer_tunnel::TunnelGuard,
};

/// The timeout for opening a connection: a hundred times the latency to another data centre. An
/// unreachable target delays a request by at most this long before another target is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long nothing may be received, or sent bytes may stay unacknowledged, before the connection
/// counts as dead. Without this limit, a send to a target that became unreachable waits for minutes.
/// It also decides when probes give up, whatever their number: a sound target may be silent for a
/// second or so, and a later probe must find it awake.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The idle time before the first keep-alive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection counts as dead.
const PROBE_COUNT: u32 = 3;
/// The longest time after its last use for which a connection stays in the pool, and the default if
/// its target states no keep-alive timeout.
const MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The most bytes of an answer that a connection holds which nobody asks for yet.
const READ_BUFFER: usize = 32 << 10;
/// The share of a target's keep-alive timeout for which its connections stay in the pool.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// The most pooled connections to one target.
const MAX_POOLED_PER_TARGET: usize = 8;

/// Why a target could not be reached. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFault {
    /// The connection could not be opened.
    #[error("connect: {0}")]
    Open(#[from] io::Error),
    /// Opening the connection timed out.
    #[error("connect: no answer")]
    Silent,
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectFault {
    /// Whether the connection was accepted, and reset at once.
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Open(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// Whether the connection was refused.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Open(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Why a request got no answer; it may have run.
#[derive(Debug, thiserror::Error)]
#[error("send: {0}")]
pub struct SendFault(#[from] hyper::Error);

/// An open connection to a target. Dropping it closes it.
pub struct TargetConnection {
    sender: SendRequest<SegmentedBody>,
    task: AbortHandle,
    pooled: bool,
    meter: ByteMeter,
    /// Set if a peer has opened the connection.
    tunnel: Option<TunnelGuard>,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        // The target cancels the request when its connection closes.
        self.task.abort();
    }
}

impl TargetConnection {
    /// Starts HTTP on an open stream to the target at `address`; `tunnel` tells through which peer
    /// it was opened, if not by this VM.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectFault`] when the handshake fails.
    pub async fn open<T>(
        stream: T,
        address: net::SocketAddr,
        tunnel: Option<TunnelGuard>,
    ) -> Result<Self, ConnectFault>
    where
        T: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let meter = ByteMeter::default();
        let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(READ_BUFFER).handshake(stream).await?;
        let running = task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "target-connection-ended", peer = %address, reason = %error);
            }
        });
        Ok(Self { sender, task: running.abort_handle(), pooled: false, meter, tunnel })
    }

    /// Records that the connection broke or fell silent. If a peer has opened it, the next ones are
    /// opened by other peers.
    pub fn record_path_fault(&self) {
        if let Some(tunnel) = &self.tunnel {
            tunnel.record_failed();
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFault`] when the connection breaks before the head of an answer is received.
    pub async fn send(
        &mut self,
        request: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, SendFault> {
        self.record_used();
        let response = self.sender.send_request(request).await?;
        self.record_used();
        Ok(response)
    }

    /// Records that a part of the answer was used. Without that, the connection ends when the target
    /// goes on to send.
    pub fn record_used(&self) {
        self.meter.record_used();
    }

    /// Returns whether the connection was taken from the pool.
    pub fn is_pooled(&self) -> bool {
        self.pooled
    }
}

struct PooledConnection {
    connection: TargetConnection,
    until: Instant,
}

/// Whether a request may use a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// A pooled connection, if there is one.
    Pooled,
    /// A new connection.
    New,
}

/// Idle connections to all targets, each to one incarnation of a target.
pub struct TargetPool {
    kept: RefCell<HashMap<TargetKey, Vec<PooledConnection>>>,
    /// The most connections to all targets.
    limit: usize,
}

impl TargetPool {
    /// Creates an empty pool for at most `limit` connections.
    pub fn new(limit: u32) -> Rc<Self> {
        Rc::new(Self { kept: RefCell::default(), limit: limit as usize })
    }

    /// Adds a connection whose answer was read to its end. It stays in the pool for a share of
    /// `keep_alive`, the timeout that the target states. A connection that a peer has opened is
    /// closed instead, so that an idle one takes no room there.
    pub fn keep(
        &self,
        target: TargetKey,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
    ) {
        let span =
            keep_alive.map_or(MAX_IDLE, |timeout| timeout.mul_f64(KEEP_ALIVE_SHARE).min(MAX_IDLE));
        if span.is_zero() || connection.sender.is_closed() || connection.tunnel.is_some() {
            return;
        }
        let mut all = self.kept.borrow_mut();
        if all.values().map(Vec::len).sum::<usize>() >= self.limit {
            return;
        }
        let kept = all.entry(target).or_default();
        if kept.len() < MAX_POOLED_PER_TARGET {
            kept.push(PooledConnection { connection, until: Instant::now() + span });
        }
    }

    /// Closes the connections whose time in the pool is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.kept.borrow_mut().retain(|_, kept| {
            kept.retain(|it| now < it.until && !it.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes the pooled connections to a target.
    pub fn discard(&self, target: TargetKey) {
        self.kept.borrow_mut().remove(&target);
    }

    /// Returns a pooled connection to a target, if there is one.
    pub fn take(&self, target: TargetKey) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut all = self.kept.borrow_mut();
        let kept = all.get_mut(&target)?;
        while let Some(PooledConnection { mut connection, until }) = kept.pop() {
            if now < until && connection.sender.is_ready() {
                connection.pooled = true;
                return Some(connection);
            }
        }
        None
    }
}

/// Opens a TCP connection that detects an unreachable peer.
///
/// # Errors
///
/// Returns a [`ConnectFault`] when the connection cannot be opened in time.
pub async fn open_stream(address: net::SocketAddr) -> Result<TcpStream, ConnectFault> {
    let stream = connect(address).await?;
    set_liveness_options(&stream)?;
    Ok(stream)
}

/// Opens a TCP connection on which nothing will be sent; its target may have ended it already.
///
/// # Errors
///
/// Returns a [`ConnectFault`] when the connection cannot be opened in time.
pub async fn connect(address: net::SocketAddr) -> Result<TcpStream, ConnectFault> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    Ok(connecting.await.map_err(|_| ConnectFault::Silent)??)
}

/// Sets the socket options that detect an unreachable peer. A peer that is disconnected or has lost
/// power sends neither FIN nor RST.
///
/// # Errors
///
/// Returns the operating system's error when an option cannot be set.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
