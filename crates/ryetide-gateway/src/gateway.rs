//! A whole gateway: its tasks, its start and its end.
//!
//! Everything runs as tasks of one runtime on one thread, joined by bounded channels. A thread for
//! each duty would cost a wake-up of another thread four times in each request's way: 0.5 ms of
//! processor time for a stream of 8 tokens was measured that way, and 0.85 ms of added time, too much
//! for an entry VM that has a quarter of a core.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use ryetide::error::StepError;
use ryetide_core::{
    ids::Incarnation, scheduler::Scheduler, scheduler_options::SchedulerOptions,
    target_speed::AssumedSpeed,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{self, SignalKind},
    sync::mpsc,
    task::{self, JoinSet, LocalSet},
    time::{self, Instant},
};

use crate::{
    caller_listener, digest_relay,
    feed_nudge::FeedNudge,
    feed_relay::FeedRelay,
    fleet_duties::{self, FleetNewsTaker},
    gateway_state::Gateway,
    peer_link::{self, PeerLink},
    ports::{
        FeedLine, FleetFeed, GatewaySettings, HeaderNames, PeerEntry, SettingsSource, WorkReader,
    },
    quarantine_keeper::QuarantineKeeper,
    rollout_keeper::RolloutKeeper,
    status_port,
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
    /// For messages of peers.
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
            // The gateway has ended.
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
        data_centre: settings.data_centre.clone(),
        address: settings.peers,
        secret: rand::rng().random(),
        link: settings.link,
        kept: Vec::new(),
    };
    let scheduler = Scheduler::new(SchedulerOptions {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        seed: rand::rng().random(),
        retry: settings.retry,
        rollout: settings.rollout,
        assumed: AssumedSpeed::default(),
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
    let (relay, changes) = FeedRelay::new();
    let gateway = Gateway::new(settings, names, reader, scheduler, Rc::clone(&relay));
    let (updates, receiver) = mpsc::channel(UPDATES_BUFFERED);
    let nudge = Rc::new(FeedNudge::default());
    let pauses = feed.pauses();
    let fleet_size = Rc::new(Cell::new(1));
    let (line_nudge, line_size) = (Rc::clone(&nudge), Rc::clone(&fleet_size));
    let (keeper, kept) = QuarantineKeeper::new();
    let (rollout_keeper, rollout_duties) = RolloutKeeper::new();
    let line = FeedLine {
        updates,
        nudge: line_nudge,
        fleet_size: line_size,
        relay,
        kept,
        duties: rollout_duties,
    };
    let link = Rc::new(PeerLink::new(socket, &own));
    let mut duties = JoinSet::new();
    duties.spawn_local(feed.run(own, line));
    let news = FleetNewsTaker { gateway: Rc::clone(&gateway), link: Rc::clone(&link), fleet_size };
    duties.spawn_local(news.run(receiver));
    duties.spawn_local(fleet_duties::schedule(Rc::clone(&gateway), Rc::clone(&link)));
    duties.spawn_local(peer_link::receive(Rc::clone(&gateway), Rc::clone(&link)));
    duties.spawn_local(digest_relay::pass_on(Rc::clone(&gateway), Rc::clone(&link)));
    let passing_on = fleet_duties::pass_changes_on(Rc::clone(&gateway), Rc::clone(&link), changes);
    duties.spawn_local(passing_on);
    duties.spawn_local(fleet_duties::sweep(Rc::clone(&gateway), nudge, pauses));
    duties.spawn_local(keeper.run(Rc::clone(&gateway)));
    duties.spawn_local(rollout_keeper.run(Rc::clone(&gateway), Rc::clone(&link)));
    duties.spawn_local(status_port::serve(Rc::clone(&gateway), status));
    let accepting = duties.spawn_local(caller_listener::accept(Rc::clone(&gateway), callers));
    follow_orders(&gateway, orders, &*source).await;
    let ordered = Instant::now();
    let grace = gateway.settings().borrow().grace;
    gateway.start_draining();
    tracing::info!(event = "stop-ordered", connections = gateway.connection_count());
    time::sleep(LAME_SPAN.min(grace / 2)).await;
    accepting.abort();
    gateway.closing().notify_waiters();
    fleet_duties::tell_mates(&gateway, &link, true);
    fleet_duties::tell_others(&gateway, &link, true);
    let until = ordered + grace.saturating_sub(STOP_MARGIN);
    while gateway.connection_count() > 0 && Instant::now() < until {
        time::sleep(STOP_INTERVAL).await;
        gateway.closing().notify_waiters();
    }
    tracing::info!(event = "stopped", left = gateway.connection_count());
    Ok(())
}

async fn bind(address: SocketAddr, step: &'static str) -> Result<TcpListener, StepError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StepError::new(step, error).with_peer(address))
}

/// Follows orders until the one to stop has come. The settings are read again when that is
/// ordered, and now and then, since they may change without an order.
async fn follow_orders(
    gateway: &Gateway,
    mut orders: mpsc::Receiver<GatewayOrder>,
    source: &dyn SettingsSource,
) {
    loop {
        match time::timeout(SETTINGS_INTERVAL, orders.recv()).await {
            Ok(Some(GatewayOrder::Stop) | None) => return,
            Ok(Some(GatewayOrder::Reload)) => reload(gateway, source, true),
            Err(_) => reload(gateway, source, false),
        }
    }
}

/// Reads the settings again and takes what may change while the gateway runs.
fn reload(gateway: &Gateway, source: &dyn SettingsSource, ordered: bool) {
    let found = match source.read() {
        Ok(found) => found,
        Err(error) => {
            tracing::warn!(event = "settings-kept", step = error.step(), reason = %error);
            return;
        }
    };
    let mut settings = gateway.settings().borrow_mut();
    let changed = *settings != found;
    if !changed && !ordered {
        return;
    }
    let same_sockets = settings.callers == found.callers
        && settings.status == found.status
        && settings.peers == found.peers;
    tracing::info!(event = "settings-read", ordered, changed, needs_restart = !same_sockets);
    gateway.hub().peek_mut(|scheduler| {
        scheduler.set_retry_rule(found.retry);
        scheduler.set_rollout_rule(found.rollout);
    });
    settings.retry = found.retry;
    settings.rollout = found.rollout;
    settings.grace = found.grace;
}
