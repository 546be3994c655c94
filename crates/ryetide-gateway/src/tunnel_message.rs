//! The messages with which a VM opens a connection to a target through a peer.
//!
//! The VM connects to the peer over TCP, at the address of its digests, and sends a signed
//! [`PeerMessage::OpenTunnel`](crate::peer_link::PeerMessage). The peer opens a connection to the
//! target and answers with a [`TunnelReply`]. From then on the VM's bytes go to the target as they
//! are, and the target's bytes come back in frames. An empty frame tells that the target closed its
//! connection. Without frames, the death of the peer would look like that, and an answer that ends
//! with its connection would seem complete.

use std::{io, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes.
pub const MAX_FRAME: usize = 16 * 1_024;
/// The timeout for opening a tunnel, from the connection to the peer to its reply: many times the
/// latency to another data centre and from there to the target.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(100);

/// A peer's reply to the request to open a connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TunnelReply {
    /// The connection is open.
    Opened,
    /// The target's address refused the connection.
    Refused,
    /// No connection to the target could be opened for another reason.
    Unreachable,
    /// The peer itself has lost its path to the target.
    CutOff,
    /// The peer's list of targets does not have the target, or says that it leaves.
    UnknownTarget,
    /// The peer has no room for another tunnel.
    Busy,
    /// The peer is shutting down.
    Leaving,
}

impl TunnelReply {
    /// Returns the reply's name, for logs.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Encodes the reply.
    ///
    /// # Errors
    ///
    /// Returns the codec's error.
    pub fn encode(self) -> io::Result<Bytes> {
        postcard::to_allocvec(&self).map(Bytes::from).map_err(io::Error::other)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Returns the codec's error when the bytes are not a reply.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        postcard::from_bytes(bytes).map_err(io::Error::other)
    }
}

/// Returns the codec of the frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}
