//! Messages to and from the other entry VMs: digests, and changes of the store's tables.
//!
//! A message is one datagram: a keyed hash and what it covers. Each VM draws its key when it starts first
//! and makes it known where only the deployment's VMs can read, so that nobody else can tell a VM
//! what to believe, and there is nothing to hand out; a VM that starts again goes on with the key that it
//! finds there. Datagrams need no connection to each of many
//! peers, and one that is lost is made good by the next.
//!
//! While a fleet is rolled to a new release, VMs of two releases hear each other: what a release adds to a digest comes
//! after all else and is empty where its bytes are zero. An older VM passes over bytes that it does not know, and a newer
//! one reads the bytes that an older has not sent as zeros. A release that changes anything before them breaks that.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use ring::hmac;
use ryetide_core::{
    era_version::EraVersion,
    ids::VmName,
    load_digest::{DigestEnvelope, LoadDigest},
    watcher_selection::WatchReport,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    digest_relay::DigestRelay,
    feed_relay::RelayedChange,
    gateway_state::Gateway,
    ports::{PeerEntry, PeerSecret},
    target_words,
};

/// Bytes of the keyed hash that are sent: 128 bits.
const TAG_LENGTH: usize = 16;
/// Fields at the end of a digest that VMs of an earlier release do not send.
const ADDED_FIELDS: usize = 2;
/// The largest datagram that is read; a digest of 140 targets has some 5 KB.
const DATAGRAM_LIMIT: usize = 60_000;

/// What one VM tells another.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Its load.
    Digest(LoadDigest),
    /// A change that it has heard of from the store.
    Change(RelayedChange),
    /// Its load, to be passed on: a brief digest to all VMs of the receiver's data centre, others to its cell.
    PassOn(LoadDigest),
    /// Datagrams with [`PeerMessage::PassOn`] that other VMs have sent to be passed on. Each still bears the hash
    /// of its own sender.
    PassedOn(Vec<Bytes>),
}

/// A message and the VM that sent it.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: VmName,
    /// What it says.
    pub message: PeerMessage,
}

/// Why a datagram is not believed.
#[derive(Debug, thiserror::Error)]
pub enum DatagramFault {
    /// It is not a message.
    #[error("unreadable: {0}")]
    Unreadable(#[from] postcard::Error),
    /// It is shorter than a keyed hash.
    #[error("too short")]
    Short,
    /// Its sender is not listed.
    #[error("{0} is not listed")]
    Unlisted(VmName),
    /// Its keyed hash is not the sender's: the sender has started anew, or it is somebody else.
    #[error("the hash is not {0}'s")]
    Forged(VmName),
}

/// Signs a message.
///
/// # Errors
///
/// Returns the codec's error when the message cannot be written.
pub fn seal(secret: &PeerSecret, envelope: &PeerEnvelope) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_allocvec(envelope)?;
    let key = hmac::Key::new(hmac::HMAC_SHA256, secret);
    let mut datagram = hmac::sign(&key, &body).as_ref()[..TAG_LENGTH].to_vec();
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Reads a datagram and checks whose it is.
///
/// # Errors
///
/// Returns a [`DatagramFault`] when it is not a listed peer's message.
pub fn open(
    datagram: &[u8],
    secret_of: impl FnOnce(&VmName) -> Option<PeerSecret>,
) -> Result<PeerEnvelope, DatagramFault> {
    let (tag, body) = datagram.split_at_checked(TAG_LENGTH).ok_or(DatagramFault::Short)?;
    let envelope = read(body)?;
    let from = envelope.from.clone();
    let secret = secret_of(&from).ok_or_else(|| DatagramFault::Unlisted(from.clone()))?;
    let key = hmac::Key::new(hmac::HMAC_SHA256, &secret);
    let expected = hmac::sign(&key, body);
    // The hash guards soft state between VMs of one deployment; what a peer could learn by timing it
    // is a hash of its own bytes.
    if expected.as_ref()[..TAG_LENGTH] != *tag {
        return Err(DatagramFault::Forged(from));
    }
    Ok(envelope)
}

/// Reads a message of this release or of an earlier one, which lacks what has been added at the end since.
fn read(body: &[u8]) -> Result<PeerEnvelope, postcard::Error> {
    match postcard::from_bytes(body) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            let mut padded = body.to_vec();
            padded.extend_from_slice(&[0; ADDED_FIELDS]);
            postcard::from_bytes(&padded)
        }
        read => read,
    }
}

/// This VM's socket for messages.
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

    /// Returns the digests of others that wait to be passed on.
    pub fn relay(&self) -> &DigestRelay {
        &self.relay
    }

    /// Signs with this key from now on.
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
            // A full socket or an unreachable peer loses a message; the next digest makes it good.
            if let Err(error) = self.socket.try_send_to(&datagram, peer.address) {
                tracing::debug!(event = "message-unsent", peer = %peer.name, reason = %error);
            }
        }
    }
}

/// Takes messages until the task is ended.
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
            Ok(envelope) => take(&gateway, &link, envelope, datagram),
            Err(fault) => tracing::debug!(event = "message-passed-over", reason = %fault),
        }
    }
}

fn open_listed(gateway: &Gateway, datagram: &[u8]) -> Result<PeerEnvelope, DatagramFault> {
    let secret_of = |name: &VmName| gateway.peers().borrow().get(name).map(|peer| peer.secret);
    open(datagram, secret_of)
}

fn take(gateway: &Gateway, link: &PeerLink, envelope: PeerEnvelope, datagram: &[u8]) {
    let PeerEnvelope { from, message } = envelope;
    match message {
        PeerMessage::Digest(digest) => apply_digest(gateway, from, digest),
        PeerMessage::PassOn(digest) => {
            link.relay.take(datagram, digest.scope);
            apply_digest(gateway, from, digest);
        }
        PeerMessage::PassedOn(passed) => {
            for inner in passed {
                take_passed_on(gateway, &inner);
            }
        }
        PeerMessage::Change(change) => gateway.relay().hear(change),
    }
}

fn apply_digest(gateway: &Gateway, from: VmName, mut digest: LoadDigest) {
    let era_here = EraVersion::from_packed(gateway.fleet().registry().borrow().reached()).era;
    let watches_now =
        |note: &WatchReport| EraVersion::from_packed(note.targets.reached).era >= era_here;
    // One that has not found out yet that the store came back from a copy has nothing to pass on.
    digest.watch = digest.watch.filter(watches_now);
    // Those of other cells pass nothing on here, and may hear of a change before the mates do.
    let is_cell_peer = gateway.hub().peek(|scheduler| scheduler.is_cell_peer(&from));
    if let Some(note) = digest.watch.as_ref().filter(|_| is_cell_peer) {
        gateway.relay().note_peer(note);
    }
    target_words::take_marks(gateway, &digest.leaving_targets);
    let envelope = DigestEnvelope { from, digest };
    gateway.hub().with(|scheduler, now| scheduler.apply_digest(now, envelope));
}

/// Takes a datagram that another VM has passed on. It is believed by the hash of the VM that speaks in it, and goes no
/// further.
fn take_passed_on(gateway: &Gateway, datagram: &[u8]) {
    match open_listed(gateway, datagram) {
        Ok(PeerEnvelope { from, message: PeerMessage::PassOn(digest) }) => {
            apply_digest(gateway, from, digest);
        }
        Ok(PeerEnvelope { from, .. }) => {
            let reason = "not to be passed on";
            tracing::debug!(event = "message-passed-over", peer = %from, reason);
        }
        Err(fault) => tracing::debug!(event = "message-passed-over", reason = %fault),
    }
}
