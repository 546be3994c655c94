//! Connections to targets that a peer opens for this VM.
//!
//! A VM can lose its network path to targets that other VMs still reach. The thread of the targets
//! then asks the thread of the peers for a [`Tunnel`]: a socket whose bytes go over a QUIC stream to
//! a peer, and from there to the target. The peer only forwards bytes, and nothing is sent before it
//! has replied that the target accepted the connection.

use std::{
    net,
    os::unix,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use ryetide_core::ids::TargetName;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Asks for a connection to a target through a peer.
#[derive(Debug)]
pub struct TunnelRequest {
    /// The target.
    pub target: TunnelTarget,
    /// Receives the outcome.
    pub reply: oneshot::Sender<TunnelOutcome>,
}

/// The target of a tunnel, as the peer receives it. Only VMs with the deployment's keys can send it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TunnelTarget {
    /// The target's name, for logs.
    pub name: TargetName,
    /// The address that it listens on.
    pub address: net::SocketAddr,
}

/// A peer's reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TunnelReply {
    /// The connection is open.
    Opened,
    /// The target's address refused the connection.
    Refused,
    /// No connection to the target could be opened for another reason.
    Unreachable,
}

/// The outcome of a [`TunnelRequest`].
#[derive(Debug)]
pub enum TunnelOutcome {
    /// A peer has opened the connection.
    Opened(Tunnel),
    /// The target refused the peers' connections.
    Refused,
    /// There are no peers.
    NoPeers,
    /// No peer opened a connection, for other reasons.
    Failed,
}

/// An open connection to a target through a peer.
#[derive(Debug)]
pub struct Tunnel {
    /// The socket for the bytes from and to the target.
    pub socket: unix::net::UnixStream,
    /// How the connection ended.
    pub end: TunnelEnd,
}

/// Whether the target itself has closed the connection. When the peer dies, the socket closes as
/// well, and an answer without a length would seem complete.
#[derive(Clone, Debug, Default)]
pub struct TunnelEnd {
    by_target: Arc<AtomicBool>,
}

impl TunnelEnd {
    /// Records that the target has closed the connection.
    pub fn record(&self) {
        self.by_target.store(true, Ordering::SeqCst);
    }

    /// Returns whether the target has closed the connection.
    pub fn is_by_target(&self) -> bool {
        self.by_target.load(Ordering::SeqCst)
    }
}
