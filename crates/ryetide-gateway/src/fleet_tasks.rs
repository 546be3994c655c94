//! Background tasks of a gateway: fleet updates, scheduler timers, digests to peers, periodic
//! maintenance.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use ryetide_core::{
    cell_plan::CellMember,
    digest_route::{DigestPeer, DigestRecipients},
    era_version::EraVersion,
    ids::VmName,
    listing_span::SourceEvent,
    load_digest::LoadDigest,
    peer_digests::FeedLag,
    scheduler::Scheduler,
    scheduler_overflow::OverflowUrgency,
    units::Moment,
    watcher_selection::WatchOrder,
};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    ejection_report,
    feed_relay::RelayedChange,
    fleet_view::RefreshedTargets,
    gateway_state::Gateway,
    lag_monitor::{FeedPauses, LagMonitor},
    loop_monitor::LoopMonitor,
    overflow_log,
    peer_link::{PeerEnvelope, PeerLink, PeerMessage},
    ports::{FleetUpdate, PeerEntry},
    quarantine_monitor,
    refresh_signal::RefreshSignal,
    share_monitor,
    target_changes::NameList,
    version_monitor,
};

/// The interval at which idle connections, expiring target entries and gauges are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time between two digests to peers of the same cell.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(400);
/// The time between two brief digests to peers of other cells.
const BRIEF_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time between two brief digests to peers of other cells while an update is urgent.
///
/// It applies while an organisation has nearly used up its quota, because all VMs must then add up
/// its use; after a crash, because a VM attributes it to a request only once it knows which
/// requests the target was running for other VMs; after a target has changed its limit; after a
/// target that VMs of all cells use was ejected; and while a VM reports a shortage, grants slots or
/// uses granted ones.
const URGENT_BRIEF_INTERVAL: Duration = Duration::from_millis(300);
/// The time between a brief digest and the next one that reports a shortage, grants or borrowed
/// load where the former did not. Callers are refused until the first grants arrive.
const FIRST_OVERFLOW_INTERVAL: Duration = Duration::from_millis(100);

/// Applies updates from the fleet feed to the routes, the target registry, the scheduler and the
/// peers.
pub struct FleetUpdateHandler {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The link to the peers.
    pub link: Rc<PeerLink>,
    /// The number of entry VMs, shared with the feed.
    pub fleet_size: Rc<Cell<usize>>,
}

impl FleetUpdateHandler {
    /// Applies updates until the feed ends.
    pub async fn run(self, mut updates: mpsc::Receiver<FleetUpdate>) {
        while let Some(update) = updates.recv().await {
            self.apply(update);
        }
    }

    fn apply(&self, update: FleetUpdate) {
        let gateway = &self.gateway;
        match update {
            FleetUpdate::Routes(routes) => {
                let (revision, count) = (routes.revision(), routes.route_count());
                if gateway.fleet().adopt(routes) {
                    gateway.apply_limits();
                    tracing::info!(event = "routes-in-force", %revision, routes = count);
                    refresh_targets(gateway);
                } else {
                    tracing::debug!(event = "routes-passed-over", %revision);
                }
            }
            FleetUpdate::Targets(update, newest) => {
                let now = gateway.hub().clock().now();
                if update.is_loss() {
                    record_target_source(gateway, SourceEvent::Lost);
                }
                gateway.fleet().registry().borrow_mut().take(now, update);
                gateway.fleet().registry().borrow_mut().record_newest(newest);
                log_targets_in_grace(gateway, now);
                refresh_targets(gateway);
            }
            FleetUpdate::TargetsReached(number) => {
                gateway.fleet().registry().borrow_mut().record_reached(number);
                record_target_source(gateway, SourceEvent::Answered);
            }
            FleetUpdate::Orders(orders) => {
                for order in orders {
                    let (service, number) = (order.service.clone(), order.number);
                    tracing::info!(event = "rollout-ordered", %service, %number, to = %order.to);
                    gateway.hub().with(|scheduler, now| {
                        scheduler.with_rollouts(now, |manager, now| manager.take_order(now, order));
                    });
                }
            }
            FleetUpdate::Rollout(report) => gateway.hub().with(|scheduler, now| {
                scheduler.with_rollouts(now, |manager, now| manager.take_report(now, &report));
            }),
            FleetUpdate::Peers(listed) => self.apply_peers(listed),
            FleetUpdate::Origins(records) => {
                tracing::info!(event = "stream-origins-read", count = records.len());
                records.into_iter().for_each(|it| gateway.origins().record(gateway, it));
            }
            FleetUpdate::OwnSecret(secret) => self.link.set_secret(secret),
        }
    }

    fn apply_peers(&self, listed: Vec<PeerEntry>) {
        let (own, link) = {
            let settings = self.gateway.settings().borrow();
            (settings.name.clone(), settings.link)
        };
        quarantine_monitor::restore_quarantines(&self.gateway, &own, &listed);
        version_monitor::restore_versions(&self.gateway, &listed);
        let others = listed.into_iter().filter(|peer| peer.name != own);
        let others: BTreeMap<VmName, PeerEntry> =
            others.map(|peer| (peer.name.clone(), peer)).collect();
        let members: Vec<CellMember> = others.values().map(member).collect();
        let links = others.values().map(|peer| (peer.name.clone(), peer.link));
        let order = WatchOrder::new(links.chain([(own, link)]));
        self.fleet_size.set(members.len() + 1);
        *self.gateway.peers().borrow_mut() = others;
        self.gateway.hub().with(|scheduler, now| {
            scheduler.set_watch_order(order);
            scheduler.list_peers(now, &members);
        });
    }
}

/// Advances the scheduler whenever one of its timers is due, and sends digests to peers.
pub async fn schedule(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut digest_sent = Instant::now();
    let mut brief_sent = digest_sent;
    let mut pending = false;
    // When the next brief digest is due because of overflow.
    let mut overflow_at: Option<Instant> = None;
    loop {
        let now = gateway.hub().clock().now();
        let wake = gateway.hub().peek(|scheduler| scheduler.next_wake(now));
        pending |= gateway.hub().peek_mut(Scheduler::take_changed);
        let min_interval = gateway.hub().peek(Scheduler::digest_interval);
        let wait = if pending { min_interval } else { MAX_DIGEST_INTERVAL.max(min_interval) };
        let digest_at = digest_sent + wait;
        let timer_at = wake.map(|wake| gateway.hub().clock().instant(wake));
        let until = timer_at.map_or(digest_at, |timer_at| timer_at.min(digest_at));
        let until = overflow_at.map_or(until, |overflow_at| overflow_at.min(until));
        tokio::select! {
            () = time::sleep_until(until) => {}
            () = gateway.hub().changed() => {}
        }
        if timer_at.is_some_and(|at| Instant::now() >= at) {
            gateway.hub().with(Scheduler::advance);
        }
        if Instant::now() >= digest_at {
            digest_sent = Instant::now();
            pending = false;
            send_cell_digest(&gateway, &link, false);
        }
        let urgent = gateway.hub().peek(|it| {
            it.is_quota_short()
                || it.crashes().has_fresh(now)
                || it.has_fresh_limit(now)
                || it.has_fresh_ejection(now)
        });
        let interval = if urgent { URGENT_BRIEF_INTERVAL } else { BRIEF_INTERVAL };
        let now = gateway.hub().clock().now();
        let overflow = gateway.hub().peek_mut(|it| it.overflow_urgency(now));
        let interval = interval.min(overflow_interval(overflow));
        overflow_log::report(&gateway);
        overflow_at = (overflow != OverflowUrgency::None).then(|| brief_sent + interval);
        if brief_sent.elapsed() >= interval {
            brief_sent = Instant::now();
            overflow_at = None;
            gateway.hub().with(Scheduler::plan_cells);
            send_brief_digest(&gateway, &link, false);
        }
    }
}

/// Returns the longest time between two brief digests that overflow permits.
fn overflow_interval(urgency: OverflowUrgency) -> Duration {
    match urgency {
        OverflowUrgency::None => BRIEF_INTERVAL,
        OverflowUrgency::Renewed => URGENT_BRIEF_INTERVAL,
        OverflowUrgency::New => FIRST_OVERFLOW_INTERVAL,
    }
}

/// Periodically closes idle connections, drops expired target entries, asks a lagging feed to read
/// again, and updates the gauges.
pub async fn sweep(gateway: Rc<Gateway>, refresh: Rc<RefreshSignal>, pauses: FeedPauses) {
    let mut watch = LagMonitor::new(pauses, SWEEP_INTERVAL);
    let mut loop_monitor = LoopMonitor::default();
    let mut ticks = time::interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        loop_monitor.tick(&mut ticks, &gateway).await;
        gateway.pool().sweep();
        gateway.connector().sweep(&gateway);
        ejection_report::report(&gateway);
        refresh_targets(&gateway);
        update_watch_duty(&gateway);
        for table in watch.due(feed_lag(&gateway)) {
            tracing::info!(event = "feed-nudged", %table, revision = %gateway.fleet().revision());
            // While the store is unreachable, only one table's follower retries its calls. It may
            // be any of them, so all are notified.
            if gateway.relay().outage().is_ongoing() {
                refresh.notify_all();
            } else {
                refresh.notify(table);
            }
        }
        let (waiting, running) =
            gateway.hub().peek(|scheduler| (scheduler.waiting(), scheduler.running()));
        let revision = gateway.fleet().revision().0;
        gateway.metrics().set_levels(waiting, running, revision, gateway.fleet().target_count());
        share_monitor::update(&gateway);
        gateway.metrics().set_connections(gateway.connection_count());
        gateway.metrics().set_memory(gateway.memory().held(), gateway.memory().given_way());
        gateway.metrics().set_tunnels(gateway.tunnel_room().borrow().open());
        gateway.metrics().set_paths_lost(gateway.connector().lost_count());
        let now = gateway.hub().clock().now();
        let returns = gateway.hub().peek_mut(|scheduler| scheduler.return_counts(now));
        gateway.metrics().set_returns(returns);
    }
}

/// Updates whether this VM must watch the store for changes of routes and targets.
fn update_watch_duty(gateway: &Gateway) {
    let now = gateway.hub().clock().now();
    let must_watch = gateway.hub().peek(|scheduler| scheduler.must_watch(now));
    if gateway.relay().set_must_watch(must_watch) {
        tracing::info!(event = "watch-duty", must_watch);
    }
}

/// Relays changes of the store's tables to the passive VMs that rely on this one, until the feed
/// ends.
pub async fn relay_changes(
    gateway: Rc<Gateway>,
    link: Rc<PeerLink>,
    mut changes: mpsc::Receiver<RelayedChange>,
) {
    while let Some(change) = changes.recv().await {
        let now = gateway.hub().clock().now();
        if !gateway.hub().peek(|scheduler| scheduler.is_relay(now)) {
            continue;
        }
        let relies = |peer: &&PeerEntry| {
            gateway.hub().peek(|scheduler| scheduler.relies_on_relays(now, &peer.name))
        };
        let peers: Vec<PeerEntry> =
            gateway.peers().borrow().values().filter(relies).cloned().collect();
        let from = gateway.settings().borrow().name.clone();
        link.send(&PeerEnvelope { from, message: PeerMessage::Change(change) }, &peers);
    }
}

/// Returns which tables peers have read further than this VM.
fn feed_lag(gateway: &Gateway) -> FeedLag {
    let (now, state) = (gateway.hub().clock().now(), gateway.fleet_state());
    gateway.hub().peek(|scheduler| scheduler.feed_lag(now, state))
}

/// Logs the targets that still receive requests although their entries are missing, and the longest
/// time for which that continues.
fn log_targets_in_grace(gateway: &Gateway, now: Moment) {
    let registry = gateway.fleet().registry().borrow();
    let in_grace = NameList(registry.in_grace().cloned().collect());
    let Some(until) = registry.last_grace_end() else { return };
    let left_ms = until.since(now).as_millis();
    tracing::info!(event = "targets-kept", version = %EraVersion::from_packed(registry.newest()), left_ms, kept = %in_grace);
}

/// Passes the current targets to the scheduler when they have changed.
pub fn refresh_targets(gateway: &Gateway) {
    let now = gateway.hub().clock().now();
    if let Some(names) = gateway.fleet().take_passed_over() {
        tracing::info!(event = "entries-passed-over", count = names.len(), entries = %NameList(names));
    }
    let Some(refreshed) = gateway.fleet().refresh_targets(now) else { return };
    let RefreshedTargets { before, found: targets, changes: news } = refreshed;
    gateway.origins().record_targets(now, &before, &targets);
    let leaving = targets.iter().filter(|target| target.leaving).count();
    let version = EraVersion::from_packed(gateway.fleet().registry().borrow().newest());
    tracing::info!(
        event = "targets-changed",
        targets = targets.len(),
        leaving,
        %version,
        arrived = %news.arrived,
        now_leaving = %news.leaving,
        gone = %news.gone,
    );
    gateway.hub().with(|scheduler, now| scheduler.set_targets(now, targets));
}

fn record_target_source(gateway: &Gateway, event: SourceEvent) {
    gateway.hub().with(|scheduler, now| {
        scheduler.with_rollouts(now, |manager, now| manager.record_source(now, event));
    });
}

/// Sends a full digest, or the changes since the last one, to the peers of this VM's cell.
pub fn send_cell_digest(gateway: &Gateway, link: &PeerLink, leaving: bool) {
    let listed = listed_peers(gateway);
    let (now, state) = (gateway.hub().clock().now(), gateway.fleet_state());
    let recipients = gateway.hub().peek_mut(|scheduler| scheduler.cell_recipients(now, &listed));
    if recipients.is_empty() {
        return;
    }
    let digest = gateway.hub().peek_mut(|scheduler| scheduler.digest(now, state, leaving));
    send_digest(gateway, link, digest, &recipients);
}

/// Sends a brief digest, with what every VM must know, to the peers of other cells.
pub fn send_brief_digest(gateway: &Gateway, link: &PeerLink, leaving: bool) {
    let listed = listed_peers(gateway);
    let (now, state) = (gateway.hub().clock().now(), gateway.fleet_state());
    let recipients = gateway.hub().peek_mut(|scheduler| scheduler.outside_recipients(now, &listed));
    if recipients.is_empty() {
        return;
    }
    let digest = gateway.hub().peek_mut(|scheduler| scheduler.brief_digest(now, state, leaving));
    send_digest(gateway, link, digest, &recipients);
}

fn send_digest(
    gateway: &Gateway,
    link: &PeerLink,
    digest: LoadDigest,
    recipients: &DigestRecipients,
) {
    let relays = named_peers(gateway, &recipients.relays);
    if !relays.is_empty() {
        send_message(gateway, link, PeerMessage::RelayRequest(digest.clone()), &relays);
    }
    let direct = named_peers(gateway, &recipients.direct);
    if !direct.is_empty() {
        send_message(gateway, link, PeerMessage::Digest(digest), &direct);
    }
}

fn listed_peers(gateway: &Gateway) -> Vec<DigestPeer> {
    let digest_peer = |peer: &PeerEntry| DigestPeer {
        name: peer.name.clone(),
        data_centre: peer.data_centre.clone(),
        link: peer.link,
    };
    gateway.peers().borrow().values().map(digest_peer).collect()
}

fn send_message(gateway: &Gateway, link: &PeerLink, message: PeerMessage, peers: &[PeerEntry]) {
    let from = gateway.settings().borrow().name.clone();
    link.send(&PeerEnvelope { from, message }, peers);
}

fn named_peers(gateway: &Gateway, names: &[VmName]) -> Vec<PeerEntry> {
    let peers = gateway.peers().borrow();
    names.iter().filter_map(|name| peers.get(name)).cloned().collect()
}

fn member(peer: &PeerEntry) -> CellMember {
    CellMember { name: peer.name.clone(), data_centre: peer.data_centre.clone() }
}
