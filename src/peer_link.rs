//! The thread that meets the other entry VMs over QUIC.
//!
//! Each daemon opens one connection to each peer and sends on it; what it receives comes over the
//! connections that the peers open. A connection begins with a preface (JSON, so that later fields
//! do not trouble older daemons) that says whose it is, then
//! carries frames, each with its length before it. Messages for a peer that cannot be reached are
//! dropped: heartbeats follow, and whatever else was lost is given up when the peer counts as
//! silent.

use std::{collections::HashMap, net, sync::Arc, time::Duration};

use quinn::Endpoint;
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
    util,
};

/// Frames larger than this are refused; a services text and a kept answer fit.
const FRAME_LIMIT: usize = 4 << 20;
/// Messages that wait for one peer; the connection is slow or down when it is full.
const LINE_LIMIT: usize = 4_096;
/// Opening a connection may take this long.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a failed connection.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// The bytes before a frame.
const LENGTH_BYTES: usize = 4;

/// What the core tells this thread.
#[derive(Debug)]
pub enum LinkCommand {
    /// Replaces the set of peers to keep connections to.
    Connect(Vec<PeerAddress>),
    /// Sends a message.
    Send(VmName, PeerMessage),
}

/// Whose connection it is.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkPreface {
    /// The VM.
    pub name: VmName,
    /// This life of it.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// What this thread needs to begin.
pub struct LinkOptions {
    /// The socket on which peers are met.
    pub socket: net::UdpSocket,
    /// The keys.
    pub keys: PeerKeys,
    /// Whose connections this daemon opens.
    pub preface: LinkPreface,
}

/// Runs the links until the command ring closes.
///
/// # Errors
///
/// Returns a [`StepError`] when the endpoint cannot be opened.
pub async fn run(
    options: LinkOptions,
    mut commands: RingReceiver<LinkCommand>,
    events: RingSender<Event>,
) -> Result<(), StepError> {
    let LinkOptions { socket, keys, preface } = options;
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint =
        Endpoint::new(quinn::EndpointConfig::default(), Some(keys.server), socket, runtime)
            .map_err(|error| StepError::new("open peer endpoint", error))?;
    endpoint.set_default_client_config(keys.client);
    let events = std::rc::Rc::new(events);
    let accepting = endpoint.clone();
    tokio::task::spawn_local(async move {
        while let Some(incoming) = accepting.accept().await {
            let events = std::rc::Rc::clone(&events);
            tokio::task::spawn_local(async move {
                if let Err(error) = receive(incoming, &events).await {
                    tracing::debug!(event = "peer-connection-ended", reason = %error);
                }
            });
        }
    });
    let mut lines: HashMap<VmName, PeerLine> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            LinkCommand::Connect(peers) => {
                let keep = |name: &VmName, line: &mut PeerLine| {
                    peers.iter().any(|peer| peer.name == *name && peer.address == line.address)
                };
                lines.retain(keep);
                for peer in peers {
                    lines
                        .entry(peer.name.clone())
                        .or_insert_with(|| PeerLine::open(endpoint.clone(), peer, preface.clone()));
                }
            }
            LinkCommand::Send(to, message) => {
                if let Some(line) = lines.get(&to) {
                    line.send(&to, &message);
                }
            }
        }
    }
    drop(lines);
    endpoint.close(0_u32.into(), b"stopped");
    util::within(OPEN_TIMEOUT, endpoint.wait_idle()).await;
    Ok(())
}

/// The messages that wait for one peer; dropping it ends the task that sends them.
struct PeerLine {
    address: net::SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
}

impl PeerLine {
    fn open(endpoint: Endpoint, peer: PeerAddress, preface: LinkPreface) -> Self {
        let (sender, receiver) = mpsc::channel(LINE_LIMIT);
        let address = peer.address;
        tokio::task::spawn_local(keep_sending(endpoint, peer, preface, receiver));
        Self { address, sender }
    }

    fn send(&self, to: &VmName, message: &PeerMessage) {
        if self.sender.try_send(message::encode(message)).is_err() {
            tracing::warn!(event = "peer-message-dropped", step = "send", peer = %to);
        }
    }
}

/// Keeps a connection to one peer open and sends what waits for it.
async fn keep_sending(
    endpoint: Endpoint,
    peer: PeerAddress,
    preface: LinkPreface,
    mut frames: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        let sent = send_on_one(&endpoint, &peer, &preface, &mut frames).await;
        match sent {
            Ok(()) => return,
            Err(error) => {
                tracing::debug!(event = "peer-unreachable", peer = %peer.name, reason = %error);
            }
        }
        tokio::time::sleep(REOPEN_PAUSE).await;
        // What waited is stale by now; the newest heartbeat follows.
        while frames.try_recv().is_ok() {}
        if frames.is_closed() {
            return;
        }
    }
}

async fn send_on_one(
    endpoint: &Endpoint,
    peer: &PeerAddress,
    preface: &LinkPreface,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<(), StepError> {
    let fault = |step, cause: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new(step, cause).with_peer(&peer.name)
    };
    let connecting = endpoint
        .connect(peer.address, PEER_SERVER_NAME)
        .map_err(|error| fault("connect", error.into()))?;
    let connection = util::within(OPEN_TIMEOUT, connecting)
        .await
        .ok_or_else(|| fault("connect", "timed out".into()))?
        .map_err(|error| fault("connect", error.into()))?;
    let mut stream =
        connection.open_uni().await.map_err(|error| fault("open stream", error.into()))?;
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
            // The peer may have closed its end first, and need not say that it has read the last.
            let _ = stream.finish();
            let _ = util::within(OPEN_TIMEOUT, stream.stopped()).await;
            return Ok(());
        };
        append_frame(&mut buffer, &frame);
        // Whatever else waits goes in the same packet.
        while buffer.len() < FRAME_LIMIT {
            // Empty, or closed, which the next turn finds.
            let Ok(frame) = frames.try_recv() else { break };
            append_frame(&mut buffer, &frame);
        }
    }
}

fn append_frame(buffer: &mut Vec<u8>, frame: &[u8]) {
    buffer.extend_from_slice(&(frame.len() as u32).to_le_bytes());
    buffer.extend_from_slice(frame);
}

/// Receives one peer's connection until it ends.
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
    loop {
        let frame = read_frame(&mut stream).await.map_err(|error| fault("read", error))?;
        let message = match message::decode(&frame) {
            Ok(message) => message,
            Err(error) => {
                // A newer daemon may send what this one does not know; the rest is still good.
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
        return Err(format!("frame of {length} bytes; at most {FRAME_LIMIT}").into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
