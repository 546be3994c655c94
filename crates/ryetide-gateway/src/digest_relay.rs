//! Relays digests of other VMs to the VMs of this one's cell or data centre.
//!
//! [`ryetide_core::digest_route`] selects the relaying VMs. All digests that arrive within one
//! relay interval go out in as few messages as the size limit allows. With forty VMs that is about
//! four digests under normal load and all of them in a burst, which the recipients would otherwise
//! receive one by one. The datagrams are relayed unchanged, so that each still carries the keyed
//! hash of its original sender.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use ryetide_core::{digest_timing, ids::DataCentreName, load_digest::DigestScope};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    gateway_state::Gateway,
    peer_link::{PeerEnvelope, PeerLink, PeerMessage},
    ports::PeerEntry,
};

/// The most bytes of datagrams in one message. Sending this many takes 3 ms on a link of 20 Mbit/s.
const MESSAGE_LIMIT: usize = 8_192;
/// The most datagrams that wait to be relayed, many times what arrives within an interval. Beyond
/// it the VM is overloaded; further digests are dropped, and newer ones follow.
const WAITING_LIMIT: usize = 1_024;

/// The digests that wait to be relayed.
#[derive(Default)]
pub struct DigestRelay {
    waiting: RefCell<WaitingDigests>,
    arrived: Notify,
}

#[derive(Default)]
struct WaitingDigests {
    /// For the VMs of this one's cell.
    for_cell: Vec<Bytes>,
    /// For all VMs of this data centre.
    for_data_centre: Vec<Bytes>,
}

impl DigestRelay {
    /// Queues a datagram that holds a digest of this scope for relaying.
    pub fn take(&self, datagram: &[u8], scope: DigestScope) {
        let mut waiting = self.waiting.borrow_mut();
        let queue = match scope {
            DigestScope::Brief => &mut waiting.for_data_centre,
            DigestScope::Whole | DigestScope::Changes => &mut waiting.for_cell,
        };
        if queue.len() >= WAITING_LIMIT {
            tracing::debug!(event = "digest-not-passed-on", reason = "relay queue is full");
            return;
        }
        queue.push(Bytes::copy_from_slice(datagram));
        self.arrived.notify_one();
    }
}

/// Relays queued digests until the task is cancelled.
pub async fn relay_digests(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut sent = Instant::now();
    loop {
        link.relay().arrived.notified().await;
        time::sleep_until(sent + digest_timing::RELAY_INTERVAL).await;
        sent = Instant::now();
        let WaitingDigests { for_cell, for_data_centre } = link.relay().waiting.take();
        send(&gateway, &link, for_cell, |peer, _| {
            gateway.hub().peek(|scheduler| scheduler.is_cell_peer(&peer.name))
        });
        send(&gateway, &link, for_data_centre, |peer, own| peer.data_centre == *own);
    }
}

fn send(
    gateway: &Gateway,
    link: &PeerLink,
    datagrams: Vec<Bytes>,
    is_recipient: impl Fn(&PeerEntry, &DataCentreName) -> bool,
) {
    if datagrams.is_empty() {
        return;
    }
    let (from, own) = {
        let settings = gateway.settings().borrow();
        (settings.name.clone(), settings.data_centre.clone())
    };
    let all = gateway.peers().borrow();
    let recipients: Vec<PeerEntry> =
        all.values().filter(|peer| is_recipient(peer, &own)).cloned().collect();
    drop(all);
    for batch in split(datagrams) {
        let message = PeerMessage::Relayed(batch);
        link.send(&PeerEnvelope { from: from.clone(), message }, &recipients);
    }
}

/// Groups datagrams into batches of at most [`MESSAGE_LIMIT`] bytes; a larger one forms a batch
/// alone.
fn split(datagrams: Vec<Bytes>) -> Vec<Vec<Bytes>> {
    let mut batches: Vec<Vec<Bytes>> = Vec::new();
    let mut size = 0;
    for datagram in datagrams {
        size += datagram.len();
        match batches.last_mut().filter(|_| size <= MESSAGE_LIMIT) {
            Some(batch) => batch.push(datagram),
            None => {
                size = datagram.len();
                batches.push(vec![datagram]);
            }
        }
    }
    batches
}
