//! Messages to and from the other entry VMs: digests, and changes of the store's tables.
//!
//! A message is one UDP datagram: a keyed hash followed by the encoded message that it covers. Each
//! VM generates a random key at its first start and publishes it where only the VMs of the
//! deployment can read it, so nobody else can forge a message, and operators have no keys to
//! distribute. A restarted VM uses the key that it finds there. Datagrams need no connection to
//! each of many peers, and a lost digest is superseded by the next one.
//!
//! During an upgrade of the fleet, VMs of two releases exchange messages. A release may therefore
//! only append fields to a digest, and zero bytes must decode as the empty value of such a field:
//! an older VM ignores trailing bytes, and a newer VM reads missing ones as zeros. Any other change
//! of the encoding breaks the exchange.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use ring::hmac;
use ryetide_core::{
    era_version::EraVersion,
    ids::{TargetKey, VmName},
    load_digest::{DigestEnvelope, LoadDigest},
    origin_inquiry::OriginReply,
    policy_update::PolicyUpdate,
    stream_origin::OriginRecord,
    watcher_selection::WatchReport,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    digest_relay::DigestRelay,
    feed_relay::RelayedChange,
    gateway_state::Gateway,
    origin_lookup::OriginQuestion,
    ports::{PeerEntry, PeerSecret},
    target_notices,
};

/// Length of the truncated keyed hash in bytes (128 bits).
const TAG_LENGTH: usize = 16;
/// Number of fields at the end of a digest that VMs of an earlier release do not send.
const ADDED_FIELDS: usize = 2 + PolicyUpdate::LISTS;
/// The largest datagram that is read, in bytes. A digest of 140 targets takes about 5 KB.
const DATAGRAM_LIMIT: usize = 60_000;

/// The content of a message between entry VMs.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// The sender's load digest.
    Digest(LoadDigest),
    /// A change of a table that the sender received from the store.
    Change(RelayedChange),
    /// The sender's load digest, which the receiver relays: a brief digest to all VMs of the
    /// receiver's data centre, others to the VMs of its cell.
    RelayRequest(LoadDigest),
    /// Relayed datagrams, each a [`PeerMessage::RelayRequest`] that still carries the hash of its
    /// original sender.
    Relayed(Vec<Bytes>),
    /// Asks the receiver to open a connection to a target. It is sent over TCP, at the start of a
    /// tunnel; see [`crate::tunnel_message`].
    OpenTunnel {
        /// The VM that is asked.
        helper: VmName,
        /// The target.
        target: TargetKey,
        /// The caller's id of the request, for the receiver's log.
        request: String,
    },
    /// Which version has begun a stream that the receiver keeps.
    Origin(OriginRecord),
    /// Asks which version has begun a stream.
    AskOrigin(OriginQuestion),
    /// The reply to a question for a stream's origin.
    OriginReply {
        /// The number of the question.
        number: u64,
        /// What the sender knows.
        reply: OriginReply,
    },
}

impl PeerMessage {
    /// Returns the digest in the message.
    fn digest(&self) -> Option<&LoadDigest> {
        match self {
            Self::Digest(digest) | Self::RelayRequest(digest) => Some(digest),
            Self::Change(_)
            | Self::Relayed(_)
            | Self::OpenTunnel { .. }
            | Self::Origin(_)
            | Self::AskOrigin(_)
            | Self::OriginReply { .. } => None,
        }
    }
}

/// A message and the VM that sent it.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: VmName,
    /// The content.
    pub message: PeerMessage,
}

/// Why a datagram is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DatagramFault {
    /// The message cannot be decoded.
    #[error("undecodable message: {0}")]
    Unreadable(#[from] postcard::Error),
    /// It is shorter than a keyed hash.
    #[error("datagram is shorter than the keyed hash")]
    TooShort,
    /// The sender is not a listed peer.
    #[error("sender {0} is not a listed peer")]
    Unlisted(VmName),
    /// The keyed hash does not match the sender's key: the sender has a new key, or the datagram is
    /// forged.
    #[error("the keyed hash does not match the key of {0}")]
    Forged(VmName),
}

/// Encodes and signs a message.
///
/// # Errors
///
/// Returns the codec's error when the message cannot be encoded.
pub fn seal(secret: &PeerSecret, envelope: &PeerEnvelope) -> Result<Vec<u8>, postcard::Error> {
    let mut body = postcard::to_allocvec(envelope)?;
    if envelope.message.digest().is_some_and(|digest| digest.policies.is_empty()) {
        // The receiver reads missing bytes as zeros, and an empty list is a zero byte.
        body.truncate(body.len() - PolicyUpdate::LISTS);
    }
    let key = hmac::Key::new(hmac::HMAC_SHA256, secret);
    let mut datagram = hmac::sign(&key, &body).as_ref()[..TAG_LENGTH].to_vec();
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Decodes a datagram and verifies its sender.
///
/// # Errors
///
/// Returns a [`DatagramFault`] when it is not a message of a listed peer.
pub fn open(
    datagram: &[u8],
    secret_of: impl FnOnce(&VmName) -> Option<PeerSecret>,
) -> Result<PeerEnvelope, DatagramFault> {
    let (tag, body) = datagram.split_at_checked(TAG_LENGTH).ok_or(DatagramFault::TooShort)?;
    let envelope = decode(body)?;
    let from = envelope.from.clone();
    let secret = secret_of(&from).ok_or_else(|| DatagramFault::Unlisted(from.clone()))?;
    let key = hmac::Key::new(hmac::HMAC_SHA256, &secret);
    let expected = hmac::sign(&key, body);
    // The comparison need not run in constant time: the hash protects only soft state between VMs
    // of one deployment, and timing reveals no more than the hash of the sender's own bytes.
    if expected.as_ref()[..TAG_LENGTH] != *tag {
        return Err(DatagramFault::Forged(from));
    }
    Ok(envelope)
}

/// Decodes a message of this release, or of an earlier one that lacks the fields appended since.
fn decode(body: &[u8]) -> Result<PeerEnvelope, postcard::Error> {
    match postcard::from_bytes(body) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            let mut padded = body.to_vec();
            padded.extend_from_slice(&[0; ADDED_FIELDS]);
            postcard::from_bytes(&padded)
        }
        decoded => decoded,
    }
}

/// The UDP socket for messages between entry VMs, with this VM's key.
pub struct PeerLink {
    socket: UdpSocket,
    secret: Cell<PeerSecret>,
    relay: DigestRelay,
}

impl PeerLink {
    /// Creates a link that signs as `own`.
    pub fn new(socket: UdpSocket, own: &PeerEntry) -> Self {
        Self { socket, secret: Cell::new(own.secret), relay: DigestRelay::default() }
    }

    /// Returns the digests of other VMs that wait to be relayed.
    pub fn relay(&self) -> &DigestRelay {
        &self.relay
    }

    /// Returns the key with which messages are signed.
    pub fn secret(&self) -> PeerSecret {
        self.secret.get()
    }

    /// Sets the key with which messages are signed from now on.
    pub fn set_secret(&self, secret: PeerSecret) {
        self.secret.set(secret);
    }

    /// Sends a message to all of `peers`.
    pub fn send(&self, envelope: &PeerEnvelope, peers: &[PeerEntry]) {
        let datagram = match seal(&self.secret.get(), envelope) {
            Ok(datagram) => datagram,
            Err(error) => {
                tracing::warn!(event = "message-unwritable", step = "send message", reason = %error);
                return;
            }
        };
        for peer in peers {
            // A message is lost when the send buffer is full or the peer is unreachable; the next
            // digest supersedes it.
            if let Err(error) = self.socket.try_send_to(&datagram, peer.address) {
                tracing::debug!(event = "message-unsent", peer = %peer.name, reason = %error);
            }
        }
    }
}

/// Receives messages until the task is cancelled.
pub async fn receive(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        let length = match link.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::debug!(event = "message-unread", reason = %error);
                continue;
            }
        };
        let datagram = &buffer[..length];
        match open_listed(&gateway, datagram) {
            Ok(envelope) => handle(&gateway, &link, envelope, datagram),
            Err(fault) => tracing::debug!(event = "message-passed-over", reason = %fault),
        }
    }
}

/// Decodes a datagram and verifies that a listed peer has sent it.
///
/// # Errors
///
/// Returns a [`DatagramFault`] when it is not a message of a listed peer.
pub fn open_listed(gateway: &Gateway, datagram: &[u8]) -> Result<PeerEnvelope, DatagramFault> {
    let secret_of = |name: &VmName| gateway.peers().borrow().get(name).map(|peer| peer.secret);
    open(datagram, secret_of)
}

fn handle(gateway: &Gateway, link: &PeerLink, envelope: PeerEnvelope, datagram: &[u8]) {
    let PeerEnvelope { from, message } = envelope;
    match message {
        PeerMessage::Digest(digest) => apply_digest(gateway, from, digest),
        PeerMessage::RelayRequest(digest) => {
            link.relay.take(datagram, digest.scope);
            apply_digest(gateway, from, digest);
        }
        PeerMessage::Relayed(relayed) => {
            for inner in relayed {
                handle_relayed(gateway, &inner);
            }
        }
        PeerMessage::Change(change) => gateway.relay().receive(change),
        PeerMessage::Origin(record) => gateway.origins().record(gateway, record),
        PeerMessage::AskOrigin(question) => gateway.origins().reply(gateway, &from, question),
        PeerMessage::OriginReply { number, reply } => {
            gateway.origins().take_reply(&from, number, reply);
        }
        PeerMessage::OpenTunnel { .. } => {
            let reason = "a tunnel cannot be opened by a datagram";
            tracing::debug!(event = "message-passed-over", peer = %from, reason);
        }
    }
}

fn apply_digest(gateway: &Gateway, from: VmName, mut digest: LoadDigest) {
    let era_here = EraVersion::from_packed(gateway.fleet().registry().borrow().reached()).era;
    let is_in_era =
        |report: &WatchReport| EraVersion::from_packed(report.targets.reached).era >= era_here;
    // A peer that has not noticed yet that the store was restored from a copy reports positions in
    // the old era, so its watch report is ignored.
    digest.watch = digest.watch.filter(is_in_era);
    // Watching VMs of other cells relay no changes to this VM and may know of a change before those
    // of this cell do, so their reports are not used here.
    let is_cell_peer = gateway.hub().peek(|scheduler| scheduler.is_cell_peer(&from));
    if let Some(report) = digest.watch.as_ref().filter(|_| is_cell_peer) {
        gateway.relay().record_peer_report(report);
    }
    target_notices::merge_leaving_reports(gateway, &digest.leaving_targets);
    let envelope = DigestEnvelope { from, digest };
    gateway.hub().with(|scheduler, now| scheduler.apply_digest(now, envelope));
}

/// Handles a datagram that another VM has relayed. It is verified with the key of its original
/// sender and is not relayed again.
fn handle_relayed(gateway: &Gateway, datagram: &[u8]) {
    match open_listed(gateway, datagram) {
        Ok(PeerEnvelope { from, message: PeerMessage::RelayRequest(digest) }) => {
            apply_digest(gateway, from, digest);
        }
        Ok(PeerEnvelope { from, .. }) => {
            let reason = "relayed message is not a digest to relay";
            tracing::debug!(event = "message-passed-over", peer = %from, reason);
        }
        Err(fault) => tracing::debug!(event = "message-passed-over", reason = %fault),
    }
}
