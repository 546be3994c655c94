//! Opens connections to targets for peers that have lost their own path, and forwards the bytes.
//!
//! The peer remains responsible for its request. This VM neither reads the bytes nor sends them
//! again, and it asks no further VM, so a tunnel has one hop. When the peer closes the tunnel, the
//! connection to the target closes too, and the target cancels the request.

use std::{cell::Cell, io, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ryetide_core::{ids::TargetKey, path_table::TargetPath, target_load::TargetEntry};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task, time,
};
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

use crate::{
    connection_limit::ConnectionLimit,
    gateway_state::Gateway,
    peer_link::{self, PeerEnvelope, PeerMessage},
    target_pool,
    tunnel_message::{self, TunnelReply},
};

/// The pause after `accept` fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The timeout for a peer's request on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for opening a connection to a target. It is shorter than the peer's timeout for the
/// whole tunnel, so that the peer receives a reply.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(70);
/// The most connections that have not shown that a peer has opened them; the oldest one is closed for
/// another.
const MAX_UNIDENTIFIED: usize = 32;
/// How long a tunnel whose target has closed its connection waits for the peer to close it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type TunnelFrames = Framed<TcpStream, LengthDelimitedCodec>;

/// What a peer asks for.
struct TunnelRequest {
    peer: String,
    request: String,
    target: TargetKey,
}

/// Accepts tunnels until the task is cancelled.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut unidentified = ConnectionLimit::new(MAX_UNIDENTIFIED);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let identifying = task::spawn_local(identify(Rc::clone(&gateway), stream));
                unidentified.add(identifying.abort_handle());
                // A peer whose message is there is identified before others take its place.
                task::yield_now().await;
            }
            Err(error) => {
                tracing::warn!(event = "accept-failed", step = "accept tunnel", reason = %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Keeps the room of a tunnel taken until it is dropped.
struct RoomGuard {
    gateway: Rc<Gateway>,
}

impl RoomGuard {
    fn enter(gateway: &Rc<Gateway>) -> Option<Self> {
        let has_room = gateway.tunnel_room().borrow_mut().enter();
        has_room.then(|| Self { gateway: Rc::clone(gateway) })
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        self.gateway.tunnel_room().borrow_mut().leave();
    }
}

/// Reads what a connection asks for. Only a peer is served, and takes the room of a tunnel.
async fn identify(gateway: Rc<Gateway>, stream: TcpStream) {
    match read_first(&gateway, stream).await {
        Ok((frames, request)) => {
            task::spawn_local(serve_peer(gateway, frames, request));
        }
        Err(error) => {
            tracing::debug!(event = "tunnel-ended", step = "identify", reason = %error);
        }
    }
}

async fn read_first(
    gateway: &Gateway,
    stream: TcpStream,
) -> io::Result<(TunnelFrames, TunnelRequest)> {
    target_pool::set_liveness_options(&stream)?;
    let mut frames = Framed::new(stream, tunnel_message::frame_codec());
    let reading = time::timeout(REQUEST_TIMEOUT, read_request(gateway, &mut frames));
    let request = reading.await??;
    Ok((frames, request))
}

async fn serve_peer(gateway: Rc<Gateway>, frames: TunnelFrames, request: TunnelRequest) {
    let guard = RoomGuard::enter(&gateway);
    if let Err(error) = serve_tunnel(&gateway, frames, &request, guard.is_some()).await {
        tracing::debug!(event = "tunnel-ended", step = "forward", reason = %error);
    }
}

async fn serve_tunnel(
    gateway: &Gateway,
    mut frames: TunnelFrames,
    request: &TunnelRequest,
    has_room: bool,
) -> io::Result<()> {
    let opened = if has_room { open(gateway, request).await } else { Err(TunnelReply::Busy) };
    let reply = opened.as_ref().err().copied().unwrap_or(TunnelReply::Opened);
    gateway.metrics().count_tunnel(reply.name());
    tracing::info!(
        event = "tunnel-asked",
        vm = %gateway.settings().borrow().name,
        request = request.request,
        from = request.peer,
        reply = reply.name(),
    );
    frames.send(reply.encode()?).await?;
    match opened {
        Ok(target) => forward(gateway, frames, target).await,
        Err(_) => Ok(()),
    }
}

async fn read_request(gateway: &Gateway, frames: &mut TunnelFrames) -> io::Result<TunnelRequest> {
    let datagram = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let PeerEnvelope { from, message } =
        peer_link::open_listed(gateway, &datagram).map_err(io::Error::other)?;
    let own = &gateway.settings().borrow().name;
    match message {
        PeerMessage::OpenTunnel { helper, target, request } if helper == *own => {
            Ok(TunnelRequest { peer: from.to_string(), request, target })
        }
        _ => Err(io::Error::other("the message does not ask this VM for a tunnel")),
    }
}

/// Opens the connection to the target, or returns why there is none.
async fn open(gateway: &Gateway, request: &TunnelRequest) -> Result<TcpStream, TunnelReply> {
    if gateway.is_draining() {
        return Err(TunnelReply::Leaving);
    }
    let target = gateway.fleet().target(request.target).filter(|target| !target.leaving);
    let target = target.ok_or(TunnelReply::UnknownTarget)?;
    if gateway.connector().path(request.target) == TargetPath::ThroughPeer {
        return Err(TunnelReply::CutOff);
    }
    connect(gateway, &target).await
}

async fn connect(gateway: &Gateway, target: &TargetEntry) -> Result<TcpStream, TunnelReply> {
    let connecting = time::timeout(CONNECT_TIMEOUT, target_pool::open_stream(target.address));
    match connecting.await {
        Ok(Ok(stream)) => {
            gateway.connector().record_reached(gateway, target);
            Ok(stream)
        }
        Ok(Err(fault)) if fault.is_refusal() => Err(TunnelReply::Refused),
        Ok(Err(_)) | Err(_) => Err(TunnelReply::Unreachable),
    }
}

/// Forwards bytes in both directions until either end closes.
async fn forward(gateway: &Gateway, frames: TunnelFrames, target: TcpStream) -> io::Result<()> {
    let parts = frames.into_parts();
    if !parts.read_buf.is_empty() {
        return Err(io::Error::other("the peer has sent bytes before the reply"));
    }
    let (peer_read, peer_write) = parts.io.into_split();
    let (target_read, target_write) = target.into_split();
    let is_reset = Cell::new(false);
    let mut upward = pin!(forward_request(gateway, peer_read, target_write));
    let mut downward = pin!(forward_answer(gateway, target_read, peer_write, &is_reset));
    tokio::select! {
        sent = &mut upward => match sent {
            // The peer has closed the tunnel.
            Ok(()) => Ok(()),
            // The target takes no more bytes, but may have answered already.
            Err(error) => {
                is_reset.set(error.kind() != io::ErrorKind::BrokenPipe);
                downward.await
            }
        },
        answered = &mut downward => {
            answered?;
            // Closing with unread bytes of the peer would destroy the end of the answer.
            let closing = time::timeout(CLOSE_TIMEOUT, upward);
            closing.await.unwrap_or(Ok(()))
        }
    }
}

async fn forward_request(
    gateway: &Gateway,
    mut peer: OwnedReadHalf,
    mut target: OwnedWriteHalf,
) -> io::Result<()> {
    let mut buffer = vec![0; tunnel_message::MAX_FRAME];
    loop {
        let length = match peer.read(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(()),
            Ok(length) => length,
        };
        target.write_all(&buffer[..length]).await?;
        pause_for(gateway, length).await;
    }
}

/// Forwards the target's bytes in frames, and then an empty frame if the target has closed its
/// connection in an orderly way.
///
/// The system reports a reset once. If writing has found it, reading finds what looks like the end of
/// the connection, and a part of an answer would look like all of it: `is_reset` tells of that.
/// `BrokenPipe` is no such case, since the target had closed the connection before.
async fn forward_answer(
    gateway: &Gateway,
    mut target: OwnedReadHalf,
    peer: OwnedWriteHalf,
    is_reset: &Cell<bool>,
) -> io::Result<()> {
    let mut frames = FramedWrite::new(peer, tunnel_message::frame_codec());
    let mut buffer = vec![0; tunnel_message::MAX_FRAME];
    loop {
        let length = target.read(&mut buffer).await?;
        if length == 0 && is_reset.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        frames.send(Bytes::copy_from_slice(&buffer[..length])).await?;
        if length == 0 {
            return frames.into_inner().shutdown().await;
        }
        pause_for(gateway, length).await;
    }
}

async fn pause_for(gateway: &Gateway, bytes: usize) {
    let now = gateway.hub().clock().now();
    let pause = gateway.tunnel_room().borrow_mut().record_bytes(now, bytes);
    if !pause.is_zero() {
        time::sleep(pause).await;
    }
}
