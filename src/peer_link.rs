//! The connections to the other entry VMs over QUIC.
//!
//! Each daemon opens one connection to each peer and only sends on it; it receives on the connections
//! that the peers open. A connection starts with a preface that identifies the sender. The preface is
//! JSON, so that older daemons ignore fields added later. Frames follow, each preceded by its length.
//! Messages to a peer that cannot be reached are dropped: heartbeats are repeated, and whatever
//! depends on another lost message is abandoned when the peer is considered silent.

use std::{cell::RefCell, collections::HashMap, net, rc::Rc, sync::Arc, time::Duration};

use quinn::Endpoint;
use rand::seq::SliceRandom;
use ryetide_core::{
    effect::PeerAddress,
    event::Event,
    ids::{DataCentreName, Incarnation, VmName},
    json_form,
    message::{self, PeerMessage},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    error::StepError,
    peer_keys::{PEER_SERVER_NAME, PeerKeys},
    ring::{RingReceiver, RingSender},
    tunnel::{TunnelOutcome, TunnelReply, TunnelRequest},
    tunnel_link, util,
};

/// The maximum size of a frame, in bytes. A services text and a stored answer fit.
const FRAME_LIMIT: usize = 4 << 20;
/// The capacity of the send queue of one peer, in messages. It is full only when the connection is
/// slow or down.
const SEND_QUEUE_LIMIT: usize = 4_096;
/// The timeout for opening a connection, and for closing one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a failed connection is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The most peers that are asked for one connection to a target.
const MAX_PEERS_ASKED: usize = 4;
/// The length of the prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// A command from the core to this thread.
#[derive(Debug)]
pub enum LinkCommand {
    /// Replaces the set of connected peers.
    Connect(Vec<PeerAddress>),
    /// Sends a message to a peer.
    Send(VmName, PeerMessage),
}

/// The first frame of a connection, which identifies its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkPreface {
    /// The VM's name.
    pub name: VmName,
    /// The incarnation of its daemon.
    pub incarnation: Incarnation,
    /// The VM's data centre.
    pub data_centre: DataCentreName,
    /// The address on which it accepts peers.
    pub address: net::SocketAddr,
}

/// The options for [`run`].
pub struct LinkOptions {
    /// The socket for all connections.
    pub socket: net::UdpSocket,
    /// The TLS configuration.
    pub keys: PeerKeys,
    /// The preface that this daemon sends.
    pub preface: LinkPreface,
}

/// Runs the connections until the command ring closes.
///
/// # Errors
///
/// Returns a [`StepError`] when the endpoint cannot be opened.
pub async fn run(
    options: LinkOptions,
    mut commands: RingReceiver<LinkCommand>,
    mut tunnels: RingReceiver<TunnelRequest>,
    events: RingSender<Event>,
) -> Result<(), StepError> {
    let LinkOptions { socket, keys, preface } = options;
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint =
        Endpoint::new(quinn::EndpointConfig::default(), Some(keys.server), socket, runtime)
            .map_err(|error| StepError::new("open peer endpoint", error))?;
    endpoint.set_default_client_config(keys.client);
    let events = Rc::new(events);
    let accepting = endpoint.clone();
    tokio::task::spawn_local(async move {
        while let Some(incoming) = accepting.accept().await {
            let events = Rc::clone(&events);
            tokio::task::spawn_local(async move {
                if let Err(error) = receive(incoming, &events).await {
                    tracing::debug!(event = "peer-connection-ended", reason = %error);
                }
            });
        }
    });
    let mut senders: HashMap<VmName, PeerSender> = HashMap::new();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            Some(request) = tunnels.recv() => {
                let connections = open_connections(&senders);
                tokio::task::spawn_local(open_tunnel(connections, request));
                continue;
            }
        };
        let Some(command) = command else { break };
        match command {
            LinkCommand::Connect(peers) => {
                let keep = |name: &VmName, sender: &mut PeerSender| {
                    peers.iter().any(|peer| peer.name == *name && peer.address == sender.address)
                };
                senders.retain(keep);
                for peer in peers {
                    senders.entry(peer.name.clone()).or_insert_with(|| {
                        PeerSender::open(endpoint.clone(), peer, preface.clone())
                    });
                }
            }
            LinkCommand::Send(to, message) => {
                if let Some(sender) = senders.get(&to) {
                    sender.send(&to, &message);
                }
            }
        }
    }
    drop(senders);
    endpoint.close(0_u32.into(), b"stopped");
    util::within(CONNECT_TIMEOUT, endpoint.wait_idle()).await;
    Ok(())
}

/// Returns the open connections to peers in random order.
fn open_connections(senders: &HashMap<VmName, PeerSender>) -> Vec<quinn::Connection> {
    let connections = senders.values().filter_map(|sender| sender.connection.borrow().clone());
    let mut connections: Vec<quinn::Connection> = connections.collect();
    connections.shuffle(&mut rand::rng());
    connections
}

/// Asks peers one after the other to open a connection to a target.
async fn open_tunnel(connections: Vec<quinn::Connection>, request: TunnelRequest) {
    let TunnelRequest { target, reply } = request;
    let mut outcome =
        if connections.is_empty() { TunnelOutcome::NoPeers } else { TunnelOutcome::Failed };
    for connection in connections.iter().take(MAX_PEERS_ASKED) {
        match tunnel_link::open(connection, &target).await {
            Ok(tunnel) => {
                outcome = TunnelOutcome::Opened(tunnel);
                break;
            }
            Err(TunnelReply::Refused) => outcome = TunnelOutcome::Refused,
            Err(_) => {}
        }
    }
    // The request that asked has ended meanwhile; dropping the tunnel closes it.
    let _ = reply.send(outcome);
}

/// The connection to a peer, while it is open.
type SharedConnection = Rc<RefCell<Option<quinn::Connection>>>;

/// The send queue of one peer. Dropping it ends the task that sends its messages.
struct PeerSender {
    address: net::SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
    connection: SharedConnection,
}

impl PeerSender {
    fn open(endpoint: Endpoint, peer: PeerAddress, preface: LinkPreface) -> Self {
        let (sender, receiver) = mpsc::channel(SEND_QUEUE_LIMIT);
        let address = peer.address;
        let connection = SharedConnection::default();
        let open = Rc::clone(&connection);
        tokio::task::spawn_local(run_sender(endpoint, peer, preface, receiver, open));
        Self { address, sender, connection }
    }

    fn send(&self, to: &VmName, message: &PeerMessage) {
        if self.sender.try_send(message::encode(message)).is_err() {
            tracing::warn!(event = "peer-message-dropped", step = "send", peer = %to);
        }
    }
}

/// Keeps a connection to one peer open and sends the queued messages.
async fn run_sender(
    endpoint: Endpoint,
    peer: PeerAddress,
    preface: LinkPreface,
    mut frames: mpsc::Receiver<Vec<u8>>,
    open: SharedConnection,
) {
    loop {
        let sent = send_until_closed(&endpoint, &peer, &preface, &mut frames, &open).await;
        open.take();
        match sent {
            Ok(()) => return,
            Err(error) => {
                tracing::debug!(event = "peer-unreachable", peer = %peer.name, reason = %error);
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
        // The queued messages are stale, and the next heartbeat follows.
        while frames.try_recv().is_ok() {}
        if frames.is_closed() {
            return;
        }
    }
}

async fn send_until_closed(
    endpoint: &Endpoint,
    peer: &PeerAddress,
    preface: &LinkPreface,
    frames: &mut mpsc::Receiver<Vec<u8>>,
    open: &SharedConnection,
) -> Result<(), StepError> {
    let fault = |step, cause: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new(step, cause).with_peer(&peer.name)
    };
    let connecting = endpoint
        .connect(peer.address, PEER_SERVER_NAME)
        .map_err(|error| fault("connect", error.into()))?;
    let connection = util::within(CONNECT_TIMEOUT, connecting)
        .await
        .ok_or_else(|| fault("connect", "timed out".into()))?
        .map_err(|error| fault("connect", error.into()))?;
    let mut stream =
        connection.open_uni().await.map_err(|error| fault("open stream", error.into()))?;
    *open.borrow_mut() = Some(connection.clone());
    let mut buffer = Vec::new();
    append_frame(&mut buffer, json_form::encode(preface).as_bytes());
    loop {
        stream.write_all(&buffer).await.map_err(|error| fault("write", error.into()))?;
        buffer.clear();
        let closed = connection.closed();
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            reason = closed => return Err(fault("wait", reason.into())),
        };
        let Some(frame) = frame else {
            // Errors are ignored: the peer may have closed its end first, and need not acknowledge
            // the last frame.
            let _ = stream.finish();
            let _ = util::within(CONNECT_TIMEOUT, stream.stopped()).await;
            return Ok(());
        };
        append_frame(&mut buffer, &frame);
        // All queued frames are sent with one write.
        while buffer.len() < FRAME_LIMIT {
            // The queue is empty, or closed, which the next iteration detects.
            let Ok(frame) = frames.try_recv() else { break };
            append_frame(&mut buffer, &frame);
        }
    }
}

fn append_frame(buffer: &mut Vec<u8>, frame: &[u8]) {
    buffer.extend_from_slice(&(frame.len() as u32).to_le_bytes());
    buffer.extend_from_slice(frame);
}

/// Receives messages on one peer's connection until it ends.
async fn receive(incoming: quinn::Incoming, events: &RingSender<Event>) -> Result<(), StepError> {
    let remote = incoming.remote_address();
    let fault = |step, cause: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new(step, cause).with_peer(remote)
    };
    let connection = incoming.await.map_err(|error| {
        tracing::warn!(event = "peer-refused", step = "handshake", peer = %remote, reason = %error);
        fault("handshake", error.into())
    })?;
    let mut stream =
        connection.accept_uni().await.map_err(|error| fault("accept stream", error.into()))?;
    let first = read_frame(&mut stream).await.map_err(|error| fault("read preface", error))?;
    let preface: LinkPreface =
        serde_json::from_slice(&first).map_err(|error| fault("read preface", error.into()))?;
    tracing::debug!(event = "peer-connected", peer = %preface.name);
    let tunnels = tunnel_link::serve(connection.clone(), preface.name.to_string());
    tokio::task::spawn_local(tunnels);
    loop {
        let frame = read_frame(&mut stream).await.map_err(|error| fault("read", error))?;
        let message = match message::decode(&frame) {
            Ok(message) => message,
            Err(error) => {
                // A newer daemon may send unknown messages; the other frames are still valid.
                let peer = &preface.name;
                tracing::warn!(event = "frame-skipped", step = "decode", %peer, reason = %error);
                continue;
            }
        };
        let event = Event::PeerMessage {
            from: preface.name.clone(),
            incarnation: preface.incarnation,
            address: preface.address,
            data_centre: preface.data_centre.clone(),
            message,
        };
        if events.send(event).await.is_err() {
            return Ok(());
        }
    }
}

async fn read_frame(
    stream: &mut quinn::RecvStream,
) -> Result<Vec<u8>, Box<dyn std::error::Error + Send + Sync>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_LIMIT {
        return Err(format!("frame of {length} bytes exceeds the limit of {FRAME_LIMIT}").into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
