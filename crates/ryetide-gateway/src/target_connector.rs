//! Opens connections to targets: directly, or through a peer where this VM has lost its own path.
//!
//! A direct connection that fails, or hangs for longer than a round trip takes, is tried through
//! peers as well. The first one that opens is used; nothing is sent on the other. If it is the
//! peer's, the direct path counts as lost, and the next connections go through peers at once until
//! a probe reaches the target.

use std::{cell::RefCell, io, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use ryetide_core::{
    ids::{DataCentreName, TargetKey, VmName},
    path_table::{PathTable, TargetPath},
    target_load::TargetEntry,
    tunnel_helpers::{HelperCandidate, TunnelHelpers},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    net::TcpStream,
    task, time,
};

use crate::{
    gateway_state::Gateway,
    peer_link::{self, PeerEnvelope, PeerMessage},
    peer_tunnel::{self, SharedHelpers, TunnelFault, TunnelGuard, TunnelStream},
    ports::PeerEntry,
    target_pool::{self, ConnectFault, TargetConnection},
};

/// How long a direct connection may take before peers are asked too: several times the latency to
/// another data centre.
const DIRECT_HEAD_START: Duration = Duration::from_millis(50);
/// The most peers that are asked for one connection. Some of them may be cut off as well without
/// knowing it yet.
const MAX_HELPERS_ASKED: usize = 4;

/// Opens connections to targets.
pub struct TargetConnector {
    paths: RefCell<PathTable>,
    helpers: SharedHelpers,
}

/// How long peers are asked for one connection. A request that finds neither path must soon go on to
/// another target.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The most peers that are asked what they see of a target that this VM does not reach. If two
/// thirds of the VMs are cut off, one of eight reaches it in 24 cases of 25.
const MAX_EXAMINING_PEERS: usize = 8;

/// How long a connection must stay open to show that its target runs: many times what the system needs to
/// close the sockets of a process.
const SETTLE_SPAN: Duration = Duration::from_millis(30);

/// What this VM and its peers see of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetReachability {
    /// This VM can open connections to it.
    Reached,
    /// A peer can, and this VM cannot.
    ReachedByPeer,
    /// It refuses connections, also those of a peer if there is any.
    Refuses,
    /// None of these is known.
    Unknown,
}

/// How the attempt to open a connection through peers ended.
enum TunnelEnd {
    Opened(OpenedTunnel),
    /// A peer's connection was refused as well, or the peer knows that the target is gone.
    Refused,
    Failed,
}

impl TunnelEnd {
    fn opened(self) -> Option<OpenedTunnel> {
        match self {
            Self::Opened(tunnel) => Some(tunnel),
            Self::Refused | Self::Failed => None,
        }
    }
}

/// A connection that peers are asked to open.
#[derive(Clone, Copy)]
struct TunnelQuery<'a> {
    /// The caller's id of the request, for the log.
    request: &'a str,
    target: &'a TargetEntry,
    /// The most peers that are asked.
    most: usize,
}

/// A connection that a peer has opened.
struct OpenedTunnel {
    stream: TunnelStream,
    guard: TunnelGuard,
}

impl TargetConnector {
    /// Creates a connector that takes all targets for reachable. VMs with different seeds prefer
    /// different peers.
    pub fn new(seed: u64) -> Self {
        let helpers = Rc::new(RefCell::new(TunnelHelpers::new(seed)));
        Self { paths: RefCell::default(), helpers }
    }

    /// Returns how connections to a target are opened.
    pub fn path(&self, target: TargetKey) -> TargetPath {
        self.paths.borrow().path(target)
    }

    /// Whether this VM presumably reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.paths.borrow().is_cut_off()
    }

    /// Returns the number of targets to which the direct path is lost.
    pub fn lost_count(&self) -> usize {
        self.paths.borrow().lost_count()
    }

    /// Opens a connection to `target` for the request that the log calls `request`.
    ///
    /// # Errors
    ///
    /// Returns the [`ConnectFault`] of the direct connection when neither this VM nor a peer can
    /// open one; nothing was sent then.
    pub async fn connect(
        &self,
        gateway: &Gateway,
        request: &str,
        target: &TargetEntry,
    ) -> Result<TargetConnection, ConnectFault> {
        match self.path(target.key()) {
            TargetPath::Direct => self.connect_directly_first(gateway, request, target).await,
            TargetPath::ThroughPeer => match self.tunnel(gateway, request, target).await.opened() {
                Some(tunnel) => self.use_tunnel(gateway, target, tunnel).await,
                None => {
                    let stream = target_pool::open_stream(target.address).await?;
                    self.use_direct(gateway, target, stream).await
                }
            },
        }
    }

    /// Finds out whether a target at which a connection has broken accepts connections, and if this
    /// VM's are refused, whether those of peers are too.
    ///
    /// A VM that has lost its path cannot tell that from a crash by itself: its connections are
    /// refused in both cases.
    pub async fn examine(
        &self,
        gateway: &Gateway,
        request: &str,
        target: &TargetEntry,
    ) -> TargetReachability {
        let fault = match open_settled(target).await {
            Ok(()) => {
                self.record_reached(gateway, target);
                return TargetReachability::Reached;
            }
            Err(fault) => fault,
        };
        let is_refused = fault.is_refusal();
        if gateway.peers().borrow().is_empty() {
            return if is_refused {
                TargetReachability::Refuses
            } else {
                TargetReachability::Unknown
            };
        }
        let query = TunnelQuery { request, target, most: MAX_EXAMINING_PEERS };
        match self.ask_peers(gateway, query, |_| true).await {
            TunnelEnd::Opened(tunnel) => {
                self.record_lost(gateway, target);
                if stays_open(tunnel.stream).await {
                    TargetReachability::ReachedByPeer
                } else {
                    TargetReachability::Unknown
                }
            }
            TunnelEnd::Refused if is_refused => TargetReachability::Refuses,
            TunnelEnd::Refused | TunnelEnd::Failed => TargetReachability::Unknown,
        }
    }

    /// Records that this VM has opened a connection to a target itself.
    pub fn record_reached(&self, gateway: &Gateway, target: &TargetEntry) {
        let now = gateway.hub().clock().now();
        let was_lost = self.paths.borrow_mut().record_reached(now, target.key());
        if was_lost {
            gateway.log().path_found(target, self.lost_count());
        }
    }

    /// Forgets targets and peers that are gone, and probes the lost paths that are due.
    pub fn sweep(&self, gateway: &Rc<Gateway>) {
        let fleet = gateway.fleet();
        self.paths.borrow_mut().retain(|target| fleet.target(target).is_some());
        let peers = gateway.peers().borrow();
        self.helpers.borrow_mut().retain(|peer| peers.contains_key(peer));
        drop(peers);
        let now = gateway.hub().clock().now();
        let due = self.paths.borrow_mut().take_due_probes(now);
        for target in due.into_iter().filter_map(|target| fleet.target(target)) {
            task::spawn_local(probe(Rc::clone(gateway), target));
        }
    }

    async fn connect_directly_first(
        &self,
        gateway: &Gateway,
        request: &str,
        target: &TargetEntry,
    ) -> Result<TargetConnection, ConnectFault> {
        let mut direct = pin!(target_pool::open_stream(target.address));
        let early = time::timeout(DIRECT_HEAD_START, &mut direct).await;
        let mut tunnel = pin!(self.tunnel(gateway, request, target));
        match early {
            Ok(Ok(stream)) => self.use_direct(gateway, target, stream).await,
            Ok(Err(fault)) => match tunnel.await.opened() {
                Some(tunnel) => self.use_tunnel(gateway, target, tunnel).await,
                None => Err(fault),
            },
            Err(_) => tokio::select! {
                opened = &mut direct => match opened {
                    Ok(stream) => self.use_direct(gateway, target, stream).await,
                    // Peers have had most of this time as well.
                    Err(ConnectFault::Silent) => Err(ConnectFault::Silent),
                    Err(fault) => match tunnel.await.opened() {
                        Some(tunnel) => self.use_tunnel(gateway, target, tunnel).await,
                        None => Err(fault),
                    },
                },
                ended = &mut tunnel => match ended.opened() {
                    Some(tunnel) => self.use_tunnel(gateway, target, tunnel).await,
                    None => {
                        let stream = direct.await?;
                        self.use_direct(gateway, target, stream).await
                    }
                },
            },
        }
    }

    async fn use_direct(
        &self,
        gateway: &Gateway,
        target: &TargetEntry,
        stream: TcpStream,
    ) -> Result<TargetConnection, ConnectFault> {
        self.record_reached(gateway, target);
        TargetConnection::open(stream, target.address, None).await
    }

    async fn use_tunnel(
        &self,
        gateway: &Gateway,
        target: &TargetEntry,
        tunnel: OpenedTunnel,
    ) -> Result<TargetConnection, ConnectFault> {
        self.record_lost(gateway, target);
        TargetConnection::open(tunnel.stream, target.address, Some(tunnel.guard)).await
    }

    /// Records that a peer has reached a target which this VM did not. Pooled connections may be
    /// dead without a sign and are closed.
    fn record_lost(&self, gateway: &Gateway, target: &TargetEntry) {
        let now = gateway.hub().clock().now();
        if self.paths.borrow_mut().record_lost(now, target.key()) {
            gateway.pool().discard(target.key());
            gateway.log().path_lost(target, self.lost_count());
        }
    }

    /// Asks peers, near ones first, to open a connection.
    async fn tunnel(&self, gateway: &Gateway, request: &str, target: &TargetEntry) -> TunnelEnd {
        let own_centre = gateway.settings().borrow().data_centre.clone();
        let is_near =
            |centre: &DataCentreName| *centre == own_centre || *centre == target.data_centre;
        let query = TunnelQuery { request, target, most: MAX_HELPERS_ASKED };
        self.ask_peers(gateway, query, is_near).await
    }

    /// Asks peers one after the other to open a connection, for a limited time.
    async fn ask_peers(
        &self,
        gateway: &Gateway,
        query: TunnelQuery<'_>,
        is_near: impl Fn(&DataCentreName) -> bool,
    ) -> TunnelEnd {
        let asking = self.ask_in_turn(gateway, query, is_near);
        time::timeout(ASK_TIMEOUT, asking).await.unwrap_or(TunnelEnd::Failed)
    }

    async fn ask_in_turn(
        &self,
        gateway: &Gateway,
        query: TunnelQuery<'_>,
        is_near: impl Fn(&DataCentreName) -> bool,
    ) -> TunnelEnd {
        let TunnelQuery { request, target, most } = query;
        let mut candidates = candidates(gateway);
        let mut is_refused = false;
        for _ in 0..most {
            let Some(peer) = self.choose_helper(gateway, &candidates, &is_near) else { break };
            candidates.retain(|candidate| candidate.name != peer.name);
            match open_tunnel(gateway, request, target, &peer).await {
                Ok(stream) => {
                    gateway.metrics().count_through_peer();
                    gateway.log().through_peer(request, target, &peer.name);
                    let clock = gateway.hub().clock();
                    let guard = TunnelGuard::new(&self.helpers, clock, peer.name);
                    return TunnelEnd::Opened(OpenedTunnel { stream, guard });
                }
                Err(fault) => {
                    tracing::debug!(event = "tunnel-failed", peer = %peer.name, target = %target.name, reason = %fault);
                    if fault.concerns_target() {
                        is_refused = true;
                    } else {
                        let now = gateway.hub().clock().now();
                        self.helpers.borrow_mut().record_failed(now, &peer.name);
                    }
                }
            }
        }
        if is_refused { TunnelEnd::Refused } else { TunnelEnd::Failed }
    }

    fn choose_helper(
        &self,
        gateway: &Gateway,
        candidates: &[HelperCandidate],
        is_near: impl Fn(&DataCentreName) -> bool,
    ) -> Option<PeerEntry> {
        let now = gateway.hub().clock().now();
        let mut helpers = self.helpers.borrow_mut();
        let chosen = helpers.choose(now, candidates, is_near)?;
        gateway.peers().borrow().get(&chosen.name).cloned()
    }
}

/// Returns the peers that are reachable and not shutting down.
fn candidates(gateway: &Gateway) -> Vec<HelperCandidate> {
    let now = gateway.hub().clock().now();
    let is_available = |peer: &VmName| gateway.hub().peek(|it| it.is_peer_available(now, peer));
    let peers = gateway.peers().borrow();
    let available = peers.values().filter(|peer| is_available(&peer.name));
    let candidate = |peer: &PeerEntry| HelperCandidate {
        name: peer.name.clone(),
        data_centre: peer.data_centre.clone(),
    };
    available.map(candidate).collect()
}

async fn open_tunnel(
    gateway: &Gateway,
    request: &str,
    target: &TargetEntry,
    peer: &PeerEntry,
) -> Result<TunnelStream, TunnelFault> {
    let message = PeerMessage::OpenTunnel {
        helper: peer.name.clone(),
        target: target.key(),
        request: request.to_owned(),
    };
    let from = gateway.settings().borrow().name.clone();
    let envelope = PeerEnvelope { from, message };
    let sealed = peer_link::seal(&gateway.link().secret(), &envelope);
    let sealed = sealed.map_err(io::Error::other)?;
    peer_tunnel::open(peer.address, Bytes::from(sealed)).await
}

/// Finds out whether a target accepts connections, and goes on to do so.
///
/// The system of a process that is killed closes its sockets one after the other. When a connection has
/// ended, the address may accept others for some milliseconds; the end of such a connection shows that. A
/// target that ends connections for which it has no room still accepts the next one.
async fn open_settled(target: &TargetEntry) -> Result<(), ConnectFault> {
    let is_settled = match target_pool::connect(target.address).await {
        Ok(stream) => stays_open(stream).await,
        Err(fault) if fault.is_reset() => false,
        Err(fault) => return Err(fault),
    };
    if is_settled {
        return Ok(());
    }
    time::sleep(SETTLE_SPAN).await;
    match target_pool::connect(target.address).await {
        Err(fault) if !fault.is_reset() => Err(fault),
        Ok(_) | Err(_) => Ok(()),
    }
}

/// Returns whether a connection on which nothing was sent is still open after a moment.
async fn stays_open(mut stream: impl AsyncRead + Unpin) -> bool {
    let mut byte = [0];
    let reading = time::timeout(SETTLE_SPAN, stream.read(&mut byte)).await;
    reading.map_or(true, |read| read.is_ok_and(|length| length > 0))
}

/// Tries the direct path to a target.
async fn probe(gateway: Rc<Gateway>, target: TargetEntry) {
    match target_pool::open_stream(target.address).await {
        Ok(_) => gateway.connector().record_reached(&gateway, &target),
        Err(fault) => {
            tracing::debug!(event = "path-probed", target = %target.name, reason = %fault);
        }
    }
}
