//! Tells peers which version has begun a stream, and asks them when a caller takes one up.
//!
//! The records are told before a stream's first event leaves this VM, and nobody waits for a reply.
//! A caller that takes a stream up waits for one round trip to the stream's keepers, unless this VM
//! is one of them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use ryetide_core::{
    ids::{ServiceKey, VmName},
    origin_inquiry::{OriginInquiry, OriginReply, OriginVerdict},
    stream_origin::{self, OriginRecord, OriginTable, OwnStreams, StreamKey, StreamOrigin},
    target_load::TargetEntry,
    units::Moment,
    version_history::{ServiceVersions, VersionHistory, VersionsSeen},
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    gateway_state::Gateway,
    peer_link::{PeerEnvelope, PeerMessage},
    ports::PeerEntry,
};

/// How long peers are asked for a stream: many round trips to another data centre.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// The time after which those that have not replied are asked again. Datagrams are lost now and then.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// The time added to a caller's deadline for which a stream's origin is remembered.
pub const ORIGIN_SLACK: Duration = Duration::from_secs(3);
/// The longest time for which a stream's origin is remembered.
pub const MAX_ORIGIN_TTL: Duration = Duration::from_secs(600);

/// A question for a stream's origin.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OriginQuestion {
    /// The number of the question, which the reply repeats.
    pub number: u64,
    /// The stream.
    pub key: StreamKey,
    /// The service to which the caller's request goes.
    pub service: ServiceKey,
    /// The time for which a stream may last, in milliseconds.
    pub window_ms: u32,
}

/// A stream that a caller takes up.
#[derive(Clone, Copy, Debug)]
pub struct TakenStream {
    /// The stream.
    pub key: StreamKey,
    /// The service to which the caller's request goes.
    pub service: ServiceKey,
    /// The time for which a stream may last.
    pub window: Duration,
}

struct OpenInquiry {
    inquiry: OriginInquiry,
    changed: Rc<Notify>,
}

/// What this VM knows of the origins of streams.
#[derive(Default)]
pub struct StreamOrigins {
    table: RefCell<OriginTable>,
    history: RefCell<VersionHistory>,
    /// The streams that this VM has begun.
    own: RefCell<OwnStreams>,
    /// Whether versions are stored.
    has_store: Cell<bool>,
    /// Whether it is known what VMs have stored before a restart.
    is_restored: Cell<bool>,
    inquiries: RefCell<HashMap<u64, OpenInquiry>>,
    next_number: Cell<u64>,
}

/// Forgets an inquiry when its caller leaves.
struct InquiryGuard<'a> {
    origins: &'a StreamOrigins,
    number: u64,
}

impl Drop for InquiryGuard<'_> {
    fn drop(&mut self) {
        self.origins.inquiries.borrow_mut().remove(&self.number);
    }
}

impl StreamOrigins {
    /// Records a change of the targets.
    pub fn record_targets(&self, now: Moment, before: &[TargetEntry], entries: &[TargetEntry]) {
        self.history.borrow_mut().record(now, before, entries);
    }

    /// Returns the versions of each service that were seen in the last `window`, or `None` before it is
    /// known what VMs have stored: that would be written over.
    pub fn listing(&self, gateway: &Gateway, window: Duration) -> Option<Vec<ServiceVersions>> {
        let now = gateway.hub().clock().now();
        let listing = || self.history.borrow().listing(now, window, &gateway.fleet().current());
        self.is_restored.get().then(listing)
    }

    /// Adds the versions that VMs have stored before a restart.
    pub fn restore<'a>(
        &self,
        gateway: &Gateway,
        stored: impl Iterator<Item = &'a ServiceVersions>,
        window: Duration,
    ) {
        let now = gateway.hub().clock().now();
        let mut history = self.history.borrow_mut();
        let count = stored.map(|it| history.restore(now, it, window)).count();
        let is_first_read = !self.is_restored.replace(true);
        if is_first_read && count == 0 && self.has_store.get() {
            history.record_first_start();
        }
    }

    /// Sets whether versions are stored, so that their absence shows that no VM has served.
    pub fn set_has_store(&self, has_store: bool) {
        self.has_store.set(has_store);
    }

    /// Records which version has begun a stream, and tells the stream's keepers.
    pub fn announce(&self, gateway: &Gateway, key: StreamKey, origin: StreamOrigin, ttl: Duration) {
        let ttl = ttl.min(MAX_ORIGIN_TTL);
        let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
        let record = OriginRecord { key, origin, ttl_ms };
        self.own.borrow_mut().add(gateway.hub().clock().now(), record);
        self.record(gateway, record);
        let keepers = peers_of(gateway, key, stream_origin::KEEPERS);
        send(gateway, PeerMessage::Origin(record), &keepers);
    }

    /// Returns the streams that this VM has begun and whose version could not be told without a record
    /// after the loss of all VMs: the service has had several, or may have had.
    pub fn at_risk(&self, gateway: &Gateway, window: Duration) -> Vec<OriginRecord> {
        let mut own = self.own.borrow_mut();
        let mut records = own.records(gateway.hub().clock().now());
        let services: BTreeSet<ServiceKey> = records.iter().map(|it| it.origin.service).collect();
        let seen = |service: &ServiceKey| self.versions_seen(gateway, *service, window);
        let is_safe = |service: &ServiceKey| matches!(seen(service), VersionsSeen::Only(_));
        let safe: BTreeSet<ServiceKey> = services.into_iter().filter(is_safe).collect();
        records.retain(|record| !safe.contains(&record.origin.service));
        records
    }

    /// Records what a peer, or this VM, knows of a stream.
    pub fn record(&self, gateway: &Gateway, record: OriginRecord) {
        let now = gateway.hub().clock().now();
        let ttl = Duration::from_millis(u64::from(record.ttl_ms)).min(MAX_ORIGIN_TTL);
        self.table.borrow_mut().insert(now, record.key, record.origin, now + ttl);
    }

    /// Replies to a peer's question.
    pub fn reply(&self, gateway: &Gateway, from: &VmName, question: OriginQuestion) {
        let now = gateway.hub().clock().now();
        let reply = match self.table.borrow_mut().find(now, question.key) {
            Some(origin) => OriginReply::Known(origin),
            None => {
                let window = Duration::from_millis(u64::from(question.window_ms));
                OriginReply::Unknown(self.versions_seen(gateway, question.service, window))
            }
        };
        let peer = gateway.peers().borrow().get(from).cloned();
        let message = PeerMessage::OriginReply { number: question.number, reply };
        send(gateway, message, peer.as_slice());
    }

    /// Records a peer's reply to a question of this VM.
    pub fn take_reply(&self, from: &VmName, number: u64, reply: OriginReply) {
        if let Some(open) = self.inquiries.borrow_mut().get_mut(&number) {
            open.inquiry.record(from, reply);
            open.changed.notify_one();
        }
    }

    /// Finds out where a stream may go on, from this VM's own records or from peers.
    pub async fn find(&self, gateway: &Gateway, stream: TakenStream) -> OriginVerdict {
        let now = gateway.hub().clock().now();
        if let Some(origin) = self.table.borrow_mut().find(now, stream.key) {
            return OriginVerdict::At(origin);
        }
        let asked = peers_of(gateway, stream.key, stream_origin::ASKED_PEERS);
        let awaited = awaited_peers(gateway, &asked);
        let seen = self.versions_seen(gateway, stream.service, stream.window);
        let inquiry = OriginInquiry::new(stream.service, seen, awaited.into_iter());
        if let Some(verdict) = inquiry.settled() {
            return verdict;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let changed = Rc::new(Notify::new());
        let open = OpenInquiry { inquiry, changed: Rc::clone(&changed) };
        self.inquiries.borrow_mut().insert(number, open);
        let _guard = InquiryGuard { origins: self, number };
        let window_ms = u32::try_from(stream.window.as_millis()).unwrap_or(u32::MAX);
        let (key, service) = (stream.key, stream.service);
        let question = OriginQuestion { number, key, service, window_ms };
        self.ask(gateway, question, &asked, &changed).await
    }

    async fn ask(
        &self,
        gateway: &Gateway,
        question: OriginQuestion,
        asked: &[PeerEntry],
        changed: &Notify,
    ) -> OriginVerdict {
        let until = Instant::now() + ASK_TIMEOUT;
        let mut repeat_at = Instant::now() + REPEAT_INTERVAL;
        send(gateway, PeerMessage::AskOrigin(question), asked);
        loop {
            tokio::select! {
                () = changed.notified() => {}
                () = time::sleep_until(repeat_at.min(until)) => {}
            }
            let number = question.number;
            let with = |look: &dyn Fn(&OriginInquiry) -> Option<OriginVerdict>| {
                self.inquiries.borrow().get(&number).and_then(|open| look(&open.inquiry))
            };
            if let Some(verdict) = with(&OriginInquiry::settled) {
                return verdict;
            }
            if Instant::now() >= until {
                return with(&|inquiry| Some(inquiry.verdict())).unwrap_or(OriginVerdict::Nowhere);
            }
            if Instant::now() >= repeat_at {
                repeat_at = until;
                send(gateway, PeerMessage::AskOrigin(question), asked);
            }
        }
    }

    fn versions_seen(
        &self,
        gateway: &Gateway,
        service: ServiceKey,
        window: Duration,
    ) -> VersionsSeen {
        let now = gateway.hub().clock().now();
        let entries = gateway.fleet().current();
        self.history.borrow().seen(now, service, window, &entries)
    }
}

/// Returns the first `most` peers that keep a stream.
fn peers_of(gateway: &Gateway, key: StreamKey, most: usize) -> Vec<PeerEntry> {
    let peers = gateway.peers().borrow();
    let vms = peers.values().map(|peer| (&peer.name, &peer.data_centre));
    let keepers = stream_origin::keeper_order(key, vms).into_iter().take(most);
    keepers.filter_map(|name| peers.get(name).cloned()).collect()
}

/// Returns the peers whose replies are awaited: those that this VM hears, or all if it hears none.
fn awaited_peers(gateway: &Gateway, asked: &[PeerEntry]) -> Vec<VmName> {
    let now = gateway.hub().clock().now();
    let is_heard =
        |peer: &&PeerEntry| gateway.hub().peek(|it| it.is_peer_reachable(now, &peer.name));
    let heard: Vec<VmName> = asked.iter().filter(is_heard).map(|peer| peer.name.clone()).collect();
    if heard.is_empty() { asked.iter().map(|peer| peer.name.clone()).collect() } else { heard }
}

fn send(gateway: &Gateway, message: PeerMessage, peers: &[PeerEntry]) {
    let from = gateway.settings().borrow().name.clone();
    gateway.link().send(&PeerEnvelope { from, message }, peers);
}
