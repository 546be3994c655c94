//! Digests of other VMs that this one passes on to its group.
//!
//! [`ryetide_core::digest_route`] decides who passes on. What comes in within a digest's interval goes on in one
//! message: at forty VMs that is some four digests in calm and all of them in a burst, which the others else
//! would have to take one by one. The datagrams are passed on as they came, so that each still bears the hash
//! of the VM that speaks in it.

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

/// The most bytes of datagrams in one message: a datagram of this size takes 3 ms on a link of 20 Mbit/s.
const MESSAGE_LIMIT: usize = 8_192;
/// The most datagrams that wait to be passed on. Many times what comes within an interval; beyond it the VM is
/// overrun, and newer digests follow.
const WAITING_LIMIT: usize = 1_024;

/// Digests that wait to be passed on.
#[derive(Default)]
pub struct DigestRelay {
    waiting: RefCell<WaitingDigests>,
    bell: Notify,
}

#[derive(Default)]
struct WaitingDigests {
    /// For the VMs of this one's cell.
    to_mates: Vec<Bytes>,
    /// For all VMs of this data centre.
    to_centre: Vec<Bytes>,
}

impl DigestRelay {
    /// Takes a datagram that holds a digest of this scope, to be passed on.
    pub fn take(&self, datagram: &[u8], scope: DigestScope) {
        let mut waiting = self.waiting.borrow_mut();
        let queue = match scope {
            DigestScope::Brief => &mut waiting.to_centre,
            DigestScope::Whole | DigestScope::Changes => &mut waiting.to_mates,
        };
        if queue.len() >= WAITING_LIMIT {
            tracing::debug!(event = "digest-not-passed-on", reason = "too many wait");
            return;
        }
        queue.push(Bytes::copy_from_slice(datagram));
        self.bell.notify_one();
    }
}

/// Passes on what has come, until the task is ended.
pub async fn pass_on(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut passed = Instant::now();
    loop {
        link.relay().bell.notified().await;
        time::sleep_until(passed + digest_timing::RELAY_INTERVAL).await;
        passed = Instant::now();
        let WaitingDigests { to_mates, to_centre } = link.relay().waiting.take();
        send(&gateway, &link, to_mates, |peer, _| {
            gateway.hub().peek(|scheduler| scheduler.is_cell_peer(&peer.name))
        });
        send(&gateway, &link, to_centre, |peer, own| peer.data_centre == *own);
    }
}

fn send(
    gateway: &Gateway,
    link: &PeerLink,
    datagrams: Vec<Bytes>,
    is_told: impl Fn(&PeerEntry, &DataCentreName) -> bool,
) {
    if datagrams.is_empty() {
        return;
    }
    let (from, own) = {
        let settings = gateway.settings().borrow();
        (settings.name.clone(), settings.data_centre.clone())
    };
    let all = gateway.peers().borrow();
    let told: Vec<PeerEntry> = all.values().filter(|peer| is_told(peer, &own)).cloned().collect();
    drop(all);
    for part in split(datagrams) {
        let message = PeerMessage::PassedOn(part);
        link.send(&PeerEnvelope { from: from.clone(), message }, &told);
    }
}

/// Splits datagrams into parts of at most [`MESSAGE_LIMIT`] bytes; a larger one is a part of its own.
fn split(datagrams: Vec<Bytes>) -> Vec<Vec<Bytes>> {
    let mut parts: Vec<Vec<Bytes>> = Vec::new();
    let mut size = 0;
    for datagram in datagrams {
        size += datagram.len();
        match parts.last_mut().filter(|_| size <= MESSAGE_LIMIT) {
            Some(part) => part.push(datagram),
            None => {
                size = datagram.len();
                parts.push(vec![datagram]);
            }
        }
    }
    parts
}
