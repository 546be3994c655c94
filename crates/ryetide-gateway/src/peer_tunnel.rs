//! Connections to targets that a peer opens for this VM.
//!
//! Only the way of the bytes differs from a direct connection: this VM still selects the target,
//! sends the request once, counts it, and answers its caller. Nothing is sent before the peer has
//! replied that the target accepted the connection, so a tunnel that cannot be opened is known to
//! have sent nothing.

use std::{cell::RefCell, io, net, rc::Rc};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{self, LocalBoxStream},
};
use ryetide_core::{ids::VmName, tunnel_helpers::TunnelHelpers};
use tokio::{
    io::Join,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use tokio_util::{
    codec::{Framed, FramedRead, LengthDelimitedCodec},
    io::StreamReader,
};

use crate::{
    scheduler_hub::GatewayClock,
    target_pool::{self, ConnectFault},
    tunnel_message::{self, TunnelReply},
};

/// Why a peer opened no connection. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum TunnelFault {
    /// The peer could not be reached.
    #[error("connect to peer: {0}")]
    Unconnected(#[from] ConnectFault),
    /// The connection to the peer broke before its reply.
    #[error("open tunnel: {0}")]
    Broken(#[from] io::Error),
    /// The peer did not reply in time.
    #[error("open tunnel: no reply")]
    Silent,
    /// The peer declined.
    #[error("open tunnel: {}", .0.name())]
    Declined(TunnelReply),
}

impl TunnelFault {
    /// Whether the peer's reply says something about the target, rather than about the peer.
    pub fn concerns_target(&self) -> bool {
        matches!(self, Self::Declined(TunnelReply::Refused | TunnelReply::UnknownTarget))
    }
}

type PieceReader = StreamReader<LocalBoxStream<'static, io::Result<Bytes>>, Bytes>;

/// The bytes from and to a target, through a peer.
pub type TunnelStream = Join<PieceReader, OwnedWriteHalf>;

/// The peers that open connections for this VM.
pub type SharedHelpers = Rc<RefCell<TunnelHelpers>>;

/// Counts a tunnel at its peer until it is dropped.
#[derive(Debug)]
pub struct TunnelGuard {
    helpers: SharedHelpers,
    clock: GatewayClock,
    peer: VmName,
}

impl TunnelGuard {
    /// Counts a tunnel through `peer`.
    pub fn new(helpers: &SharedHelpers, clock: GatewayClock, peer: VmName) -> Self {
        helpers.borrow_mut().record_opened(&peer);
        Self { helpers: Rc::clone(helpers), clock, peer }
    }

    /// Returns the peer.
    pub fn peer(&self) -> &VmName {
        &self.peer
    }

    /// Records that the tunnel broke or fell silent, so that the next ones go through other peers.
    pub fn record_failed(&self) {
        self.helpers.borrow_mut().record_failed(self.clock.now(), &self.peer);
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.helpers.borrow_mut().record_closed(&self.peer);
    }
}

/// Asks the peer at `address` to open a connection, with the signed message `request`.
///
/// # Errors
///
/// Returns a [`TunnelFault`] when the connection was not opened in time.
pub async fn open(address: net::SocketAddr, request: Bytes) -> Result<TunnelStream, TunnelFault> {
    let opening = time::timeout(tunnel_message::OPEN_TIMEOUT, exchange(address, request));
    let (reply, frames) = opening.await.map_err(|_| TunnelFault::Silent)??;
    if reply != TunnelReply::Opened {
        return Err(TunnelFault::Declined(reply));
    }
    let stream = frames.into_inner();
    let (read, write) = stream.into_split();
    let pieces = FramedRead::new(read, tunnel_message::frame_codec());
    Ok(tokio::io::join(StreamReader::new(read_pieces(pieces)), write))
}

async fn exchange(
    address: net::SocketAddr,
    request: Bytes,
) -> Result<(TunnelReply, Framed<TcpStream, LengthDelimitedCodec>), TunnelFault> {
    let stream = target_pool::open_stream(address).await?;
    let mut frames = Framed::new(stream, tunnel_message::frame_codec());
    frames.send(request).await?;
    let reply =
        frames.next().await.ok_or(io::ErrorKind::UnexpectedEof).map_err(io::Error::from)??;
    Ok((TunnelReply::decode(&reply)?, frames))
}

/// Turns frames into the target's bytes. A tunnel that ends without an empty frame was broken off.
fn read_pieces(
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> LocalBoxStream<'static, io::Result<Bytes>> {
    let pieces = stream::try_unfold(frames, |mut frames| async move {
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => Ok(None),
            Some(Ok(frame)) => Ok(Some((frame.freeze(), frames))),
            Some(Err(error)) => Err(error),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    });
    Box::pin(pieces)
}
