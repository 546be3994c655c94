//! A whole gateway: its tasks, its start and its end.
//!
//! Everything runs as tasks of one runtime on one thread, joined by bounded channels. A thread for
//! each duty would cost a wake-up of another thread four times in each request's way: 0.5 ms of
//! processor time for a stream of 8 tokens was measured that way, and 0.85 ms of added time, too much
//! for an entry VM that has a quarter of a core.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderValue};
use rand::Rng;
use ryetide::error::StepError;
use ryetide_core::{
    ids::{Incarnation, OrganisationKey, VmName},
    load_digest::{DigestEnvelope, LoadDigest},
    pace::AssumedPace,
    quota::QuotaCharge,
    route::MatchedRoute,
    scheduler::{Scheduler, SchedulerOptions},
    target_load::TargetEntry,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{self, SignalKind},
    sync::{Notify, mpsc},
    task::{self, JoinSet, LocalSet},
    time::{self, Instant},
};

use crate::{
    caller_answer::{self, CallerResponse, OwnAnswer, OwnReason},
    caller_listener,
    decision_log::DecisionLog,
    fleet_view::FleetView,
    gateway_metrics::GatewayMetrics,
    peer_link::{self, PeerLink},
    ports::{
        FeedLine, FleetFeed, FleetUpdate, GatewaySettings, HeaderNames, PeerEntry, SettingsSource,
        WorkReader, WorkSize,
    },
    scheduler_hub::SchedulerHub,
    status_port,
    target_pool::{ConnectFault, ConnectionChoice, TargetConnection, TargetPool},
};

/// Orders that wait to be followed.
const ORDERS_BUFFERED: usize = 8;
/// How often the settings are read again without an order.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// News of the fleet that waits to be taken.
const UPDATES_BUFFERED: usize = 64;
/// The time between an order to stop and the end of taking connections: a balancer that asks once a
/// second and needs two misses has then stopped sending callers here.
const LAME_SPAN: Duration = Duration::from_millis(2_500);
/// Time kept back at the end of the grace, to stop in an orderly way.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How often an ending gateway looks whether its callers have gone.
const STOP_INTERVAL: Duration = Duration::from_millis(20);
/// How often kept connections, entries that lapse and levels are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Sweeps in a row that find a peer with news not heard here before the feed is asked anew, and again.
const BEHIND_SWEEPS: u32 = 3;
/// The shortest time between two digests: under the time between two VMs' decisions at today's load,
/// and a bound on what they cost.
const DIGEST_LEAST: Duration = Duration::from_millis(6);
/// The longest time between two digests.
const DIGEST_GREATEST: Duration = Duration::from_millis(400);

/// The time between two brief digests to peers of other cells; the short one while an organisation is
/// near the end of its quota, which all VMs must then count together.
const BRIEF_INTERVAL: Duration = Duration::from_millis(1_000);
const BRIEF_SHORT: Duration = Duration::from_millis(300);

/// What a gateway is made of.
pub struct GatewayParts {
    /// Its settings.
    pub settings: GatewaySettings,
    /// Where they are read again.
    pub source: Box<dyn SettingsSource>,
    /// The headers' names.
    pub names: HeaderNames,
    /// Reads the size of requests.
    pub reader: Box<dyn WorkReader>,
    /// Where news of the fleet comes from.
    pub feed: Box<dyn FleetFeed>,
}

/// What a gateway's tasks share.
pub struct Gateway {
    settings: RefCell<GatewaySettings>,
    names: HeaderNames,
    reader: Box<dyn WorkReader>,
    hub: Rc<SchedulerHub>,
    pool: Rc<TargetPool>,
    fleet: FleetView,
    peers: RefCell<BTreeMap<VmName, PeerEntry>>,
    metrics: GatewayMetrics,
    log: DecisionLog,
    draining: Cell<bool>,
    connections: Cell<usize>,
    /// Rung when connections must end after their present answer.
    closing: Notify,
}

/// Runs a gateway on this thread until it is told to stop and has ended what it held.
///
/// # Errors
///
/// Returns a [`StepError`] when a socket or the runtime cannot be used.
pub fn run(parts: GatewayParts) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StepError::new("build runtime", error))?;
    LocalSet::new().block_on(&runtime, async {
        let orders = order_by_signals()?;
        let sockets = GatewaySockets::bind(&parts.settings).await?;
        serve(parts, sockets, orders).await
    })
}

/// What a running gateway is told to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GatewayOrder {
    /// End what is held, and stop.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The sockets of a gateway, bound before its tasks start.
pub struct GatewaySockets {
    /// For callers.
    pub callers: TcpListener,
    /// For readiness and metrics.
    pub status: TcpListener,
    /// For digests.
    pub peers: UdpSocket,
}

impl GatewaySockets {
    /// Binds the sockets that the settings name; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the address at fault.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, StepError> {
        let peers = UdpSocket::bind(settings.peers)
            .await
            .map_err(|error| StepError::new("bind peers", error).with_peer(settings.peers))?;
        Ok(Self {
            callers: bind(settings.callers, "bind callers").await?,
            status: bind(settings.status, "bind status").await?,
            peers,
        })
    }
}

/// Turns the process's signals into orders. A hangup must be taken: the system ends a process that
/// does not.
fn order_by_signals() -> Result<mpsc::Receiver<GatewayOrder>, StepError> {
    let listen =
        |kind| unix::signal(kind).map_err(|error| StepError::new("listen for signals", error));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let (sender, orders) = mpsc::channel(ORDERS_BUFFERED);
    task::spawn_local(async move {
        loop {
            let order = tokio::select! {
                _ = terminate.recv() => GatewayOrder::Stop,
                _ = interrupt.recv() => GatewayOrder::Stop,
                _ = hangup.recv() => GatewayOrder::Reload,
            };
            if sender.send(order).await.is_err() {
                return;
            }
        }
    });
    Ok(orders)
}

/// Serves until the order to stop has come and what was held has ended. It must run on a
/// [`LocalSet`].
///
/// # Errors
///
/// Returns a [`StepError`] when a socket cannot be used.
pub async fn serve(
    parts: GatewayParts,
    sockets: GatewaySockets,
    orders: mpsc::Receiver<GatewayOrder>,
) -> Result<(), StepError> {
    let GatewayParts { settings, source, names, reader, feed } = parts;
    let GatewaySockets { callers, status, peers: socket } = sockets;
    let incarnation = Incarnation(rand::rng().random());
    let own = PeerEntry {
        name: settings.name.clone(),
        address: settings.peers,
        secret: rand::rng().random(),
    };
    let scheduler = Scheduler::new(SchedulerOptions {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        seed: rand::rng().random(),
        retry: settings.retry,
        assumed: AssumedPace::default(),
    });
    tracing::info!(
        event = "started",
        vm = %settings.name,
        data_centre = %settings.data_centre,
        incarnation = incarnation.0,
        callers = %settings.callers,
        status = %settings.status,
        peers = %settings.peers,
    );
    let log = DecisionLog::new(settings.name.clone());
    let gateway = Rc::new(Gateway {
        settings: RefCell::new(settings),
        names,
        reader,
        hub: SchedulerHub::new(scheduler),
        pool: TargetPool::new(),
        fleet: FleetView::default(),
        peers: RefCell::default(),
        metrics: GatewayMetrics::default(),
        log,
        draining: Cell::new(false),
        connections: Cell::new(0),
        closing: Notify::new(),
    });
    let (updates, receiver) = mpsc::channel(UPDATES_BUFFERED);
    let nudge = Rc::new(Notify::new());
    let line = FeedLine { updates, nudge: Rc::clone(&nudge) };
    let link = Rc::new(PeerLink::new(socket, &own));
    let mut duties = JoinSet::new();
    duties.spawn_local(feed.run(own, line));
    duties.spawn_local(take_updates(Rc::clone(&gateway), receiver));
    duties.spawn_local(schedule(Rc::clone(&gateway), Rc::clone(&link)));
    duties.spawn_local(peer_link::receive(Rc::clone(&gateway), Rc::clone(&link)));
    duties.spawn_local(sweep(Rc::clone(&gateway), nudge));
    duties.spawn_local(status_port::serve(Rc::clone(&gateway), status));
    let accepting = duties.spawn_local(caller_listener::accept(Rc::clone(&gateway), callers));
    gateway.follow_orders(orders, &*source).await;
    let ordered = Instant::now();
    let grace = gateway.settings.borrow().grace;
    gateway.draining.set(true);
    tracing::info!(event = "stop-ordered", connections = gateway.connections.get());
    time::sleep(LAME_SPAN.min(grace / 2)).await;
    accepting.abort();
    gateway.closing.notify_waiters();
    gateway.tell_mates(&link, true).await;
    gateway.tell_others(&link, true).await;
    let until = ordered + grace.saturating_sub(STOP_MARGIN);
    while gateway.connections.get() > 0 && Instant::now() < until {
        time::sleep(STOP_INTERVAL).await;
        gateway.closing.notify_waiters();
    }
    tracing::info!(event = "stopped", left = gateway.connections.get());
    Ok(())
}

async fn bind(address: SocketAddr, step: &'static str) -> Result<TcpListener, StepError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StepError::new(step, error).with_peer(address))
}

/// Takes news of the fleet.
async fn take_updates(gateway: Rc<Gateway>, mut updates: mpsc::Receiver<FleetUpdate>) {
    while let Some(update) = updates.recv().await {
        match update {
            FleetUpdate::Routes(routes) => {
                let (revision, count) = (routes.revision(), routes.route_count());
                if gateway.fleet.adopt(routes) {
                    tracing::info!(event = "routes-in-force", %revision, routes = count);
                } else {
                    tracing::debug!(event = "routes-passed-over", %revision);
                }
            }
            FleetUpdate::Targets(update, newest) => {
                let now = gateway.hub.clock().now();
                gateway.fleet.registry().borrow_mut().take(now, update);
                gateway.fleet.registry().borrow_mut().note_newest(newest);
                gateway.refresh_targets();
            }
            FleetUpdate::TargetsReached(number) => {
                gateway.fleet.registry().borrow_mut().note_reached(number);
            }
            FleetUpdate::Peers(listed) => {
                let own = gateway.settings.borrow().name.clone();
                let others = listed.into_iter().filter(|peer| peer.name != own);
                let others: BTreeMap<VmName, PeerEntry> =
                    others.map(|peer| (peer.name.clone(), peer)).collect();
                let names: Vec<VmName> = others.keys().cloned().collect();
                *gateway.peers.borrow_mut() = others;
                gateway.hub.with(|scheduler, now| scheduler.list_peers(now, &names));
            }
        }
    }
}

/// Lets the scheduler do what falls due, and tells peers what has changed.
async fn schedule(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut told = Instant::now();
    let mut told_briefly = told;
    let mut pending = false;
    loop {
        let now = gateway.hub.clock().now();
        let wake = gateway.hub.peek(|scheduler| scheduler.next_wake(now));
        pending |= gateway.hub.peek_mut(Scheduler::take_changed);
        let wait = if pending { DIGEST_LEAST } else { DIGEST_GREATEST };
        let digest_at = told + wait;
        let line_at = wake.map(|wake| gateway.hub.clock().instant(wake));
        let until = line_at.map_or(digest_at, |line_at| line_at.min(digest_at));
        tokio::select! {
            () = time::sleep_until(until) => {}
            () = gateway.hub.rung() => {}
        }
        if line_at.is_some_and(|at| Instant::now() >= at) {
            gateway.hub.with(Scheduler::advance);
        }
        if Instant::now() >= digest_at {
            told = Instant::now();
            pending = false;
            gateway.tell_mates(&link, false).await;
        }
        let short = gateway.hub.peek(Scheduler::is_quota_short);
        let interval = if short { BRIEF_SHORT } else { BRIEF_INTERVAL };
        if told_briefly.elapsed() >= interval {
            told_briefly = Instant::now();
            gateway.hub.with(Scheduler::plan_cells);
            gateway.tell_others(&link, false).await;
        }
    }
}

/// Closes kept connections, drops entries that lapse, and brings levels up to date.
async fn sweep(gateway: Rc<Gateway>, nudge: Rc<Notify>) {
    let mut behind = 0;
    let mut ticks = time::interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gateway.pool.sweep();
        gateway.refresh_targets();
        behind = if gateway.is_behind() { behind + 1 } else { 0 };
        if behind > 0 && behind % BEHIND_SWEEPS == 0 {
            tracing::info!(event = "feed-nudged", revision = %gateway.fleet.revision());
            nudge.notify_waiters();
        }
        let (waiting, running) =
            gateway.hub.peek(|scheduler| (scheduler.waiting(), scheduler.running()));
        let revision = gateway.fleet.revision().0;
        gateway.metrics.set_levels(waiting, running, revision, gateway.fleet.target_count());
    }
}

impl Gateway {
    /// Follows orders until the one to stop has come. The settings are read again when that is
    /// ordered, and now and then, since they may change without an order.
    async fn follow_orders(
        &self,
        mut orders: mpsc::Receiver<GatewayOrder>,
        source: &dyn SettingsSource,
    ) {
        loop {
            match time::timeout(SETTINGS_INTERVAL, orders.recv()).await {
                Ok(Some(GatewayOrder::Stop) | None) => return,
                Ok(Some(GatewayOrder::Reload)) => self.reload(source, true),
                Err(_) => self.reload(source, false),
            }
        }
    }

    /// Reads the settings again and takes what may change while the gateway runs.
    fn reload(&self, source: &dyn SettingsSource, ordered: bool) {
        let found = match source.read() {
            Ok(found) => found,
            Err(error) => {
                tracing::warn!(event = "settings-kept", step = error.step(), reason = %error);
                return;
            }
        };
        let mut settings = self.settings.borrow_mut();
        let changed = *settings != found;
        if !changed && !ordered {
            return;
        }
        let same_sockets = settings.callers == found.callers
            && settings.status == found.status
            && settings.peers == found.peers;
        tracing::info!(event = "settings-read", ordered, changed, needs_restart = !same_sockets);
        self.hub.peek_mut(|scheduler| scheduler.set_retry_rule(found.retry));
        settings.retry = found.retry;
        settings.grace = found.grace;
    }

    /// Returns the headers' names.
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Returns the scheduler.
    pub fn hub(&self) -> &Rc<SchedulerHub> {
        &self.hub
    }

    /// Returns the connections to targets.
    pub fn pool(&self) -> &Rc<TargetPool> {
        &self.pool
    }

    /// Returns what is believed of the fleet.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.metrics
    }

    /// Returns the log of decisions.
    pub fn log(&self) -> &DecisionLog {
        &self.log
    }

    /// Returns the peers that are listed.
    pub fn peers(&self) -> &RefCell<BTreeMap<VmName, PeerEntry>> {
        &self.peers
    }

    /// Returns whether the gateway was told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns whether a balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.fleet.is_ready()
    }

    /// Returns what tells connections to end after their present answer.
    pub fn closing(&self) -> &Notify {
        &self.closing
    }

    /// Counts a connection of a caller for as long as the mark lives.
    pub fn count_connection(self: &Rc<Self>) -> ConnectionMark {
        self.connections.set(self.connections.get() + 1);
        ConnectionMark { gateway: Rc::clone(self) }
    }

    /// Reads the size of a request's work.
    pub fn read_size(&self, headers: &HeaderMap) -> WorkSize {
        self.reader.read(headers)
    }

    /// Opens or takes a connection to a target.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectFault`] when there is none to be had.
    pub async fn connect(
        &self,
        target: &TargetEntry,
        choice: ConnectionChoice,
    ) -> Result<TargetConnection, ConnectFault> {
        self.pool.connect(target, choice).await
    }

    /// Takes what a request costs from its organisation's quota.
    ///
    /// # Errors
    ///
    /// Returns what to answer when the quota is used up.
    pub fn charge(
        &self,
        matched: &MatchedRoute,
        size: &WorkSize,
    ) -> Result<Option<QuotaCharge>, OwnAnswer> {
        let Some(holder) = &matched.holder else { return Ok(None) };
        let Some(rule) = &holder.quota else { return Ok(None) };
        let key = OrganisationKey::of(&holder.name);
        let charge = QuotaCharge { key, units: rule.cost_of(size.quota_tokens()) };
        let charged = self.hub.with(|scheduler, now| scheduler.charge(now, rule, charge));
        let over = |wait| OwnAnswer::new(OwnReason::OverQuota).with_retry(wait);
        charged.map(|()| Some(charge)).map_err(over)
    }

    /// Builds an answer of the gateway's own to the request `id`, and notes it.
    pub fn answer_own(&self, id: Option<&HeaderValue>, answer: OwnAnswer) -> CallerResponse {
        let reason = answer.reason;
        self.metrics.count_outcome(reason.name());
        let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.log.own_answer(text, reason.status().as_u16(), reason.name());
        caller_answer::own_answer(&self.names, id, answer)
    }

    /// Returns whether a peer has news that have not come here.
    fn is_behind(&self) -> bool {
        let (now, news) = (self.hub.clock().now(), self.fleet.news());
        self.hub.peek(|scheduler| scheduler.peers_know_more(now, news))
    }

    fn refresh_targets(&self) {
        let now = self.hub.clock().now();
        let Some(targets) = self.fleet.refresh_targets(now) else { return };
        let leaving = targets.iter().filter(|target| target.leaving).count();
        tracing::info!(event = "targets-changed", targets = targets.len(), leaving);
        self.hub.with(|scheduler, now| scheduler.set_targets(now, targets));
    }

    /// Tells the peers of this VM's cell everything.
    async fn tell_mates(&self, link: &PeerLink, leaving: bool) {
        let mates = self.listed_peers(true);
        if mates.is_empty() {
            return;
        }
        let (now, news) = (self.hub.clock().now(), self.fleet.news());
        let digest = self.hub.peek_mut(|scheduler| scheduler.digest(now, news, leaving));
        self.send_digest(link, digest, &mates).await;
    }

    /// Tells the peers of other cells what must be known everywhere.
    async fn tell_others(&self, link: &PeerLink, leaving: bool) {
        let others = self.listed_peers(false);
        if others.is_empty() {
            return;
        }
        let news = self.fleet.news();
        let digest = self.hub.peek_mut(|scheduler| scheduler.brief_digest(news, leaving));
        self.send_digest(link, digest, &others).await;
    }

    async fn send_digest(&self, link: &PeerLink, digest: LoadDigest, peers: &[PeerEntry]) {
        let from = self.settings.borrow().name.clone();
        let envelope = DigestEnvelope { from, digest };
        link.send(&envelope, peers).await;
    }

    /// Returns the listed peers that are of this VM's cell, or those that are not.
    fn listed_peers(&self, mates: bool) -> Vec<PeerEntry> {
        let peers = self.peers.borrow();
        let is_mate = |peer: &&PeerEntry| self.hub.peek(|scheduler| scheduler.is_mate(&peer.name));
        peers.values().filter(|peer| is_mate(peer) == mates).cloned().collect()
    }
}

/// Counts a connection while it lives.
pub struct ConnectionMark {
    gateway: Rc<Gateway>,
}

impl Drop for ConnectionMark {
    fn drop(&mut self) {
        self.gateway.connections.set(self.gateway.connections.get() - 1);
    }
}
