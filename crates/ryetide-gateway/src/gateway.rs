//! Starts a gateway, runs its tasks and shuts it down.
//!
//! All tasks run on one thread and communicate over bounded channels. With a thread per task, each
//! request would wake up another thread four times, which costs 0.5 ms of processor time for a
//! stream of 8 tokens and adds 0.85 ms of latency: too much for an entry VM with a quarter of a
//! core.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use ryetide::error::StepError;
use ryetide_core::{
    accept_queue::QUEUE_LENGTH, ids::Incarnation, scheduler::Scheduler,
    scheduler_options::SchedulerOptions, scheduling_policy::SchedulingPolicy,
    stop_window::StopWindow, target_speed::AssumedSpeed,
};
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    signal::unix::{self, SignalKind},
    sync::mpsc,
    task::{self, JoinSet, LocalSet},
    time::{self, Instant},
};

use crate::{
    caller_listener, digest_relay,
    feed_relay::FeedRelay,
    fleet_tasks::{self, FleetUpdateHandler},
    gateway_state::Gateway,
    origin_monitor::OriginMonitor,
    peer_link::{self, PeerLink},
    ports::{
        FeedChannels, FleetFeed, GatewaySettings, HeaderNames, PeerEntry, SettingsSource,
        WorkReader,
    },
    quarantine_monitor::QuarantineMonitor,
    refresh_signal::RefreshSignal,
    rollout_monitor::RolloutMonitor,
    status_port, tunnel_server,
    version_monitor::VersionMonitor,
};

/// The capacity of the command channel.
const COMMAND_CAPACITY: usize = 8;
/// How often the settings are read again without a reload command.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// The capacity of the channel for fleet updates.
const UPDATE_CAPACITY: usize = 64;
/// The received bytes of a caller that the system holds until they are read, and those of its answer
/// until they are sent. The system's own sizes grow to some megabytes for each connection.
const CALLER_BUFFER: u32 = 32 << 10;
/// The number of ports that are tried where the settings leave the port for peers open.
const PORT_TRIES: u32 = 10;
/// How often a stopping gateway checks whether all callers have disconnected.
const STOP_INTERVAL: Duration = Duration::from_millis(20);

/// The settings and components from which a gateway is built.
pub struct GatewayParts {
    /// The initial settings.
    pub settings: GatewaySettings,
    /// The source from which settings are reloaded.
    pub source: Box<dyn SettingsSource>,
    /// The names of the headers.
    pub names: HeaderNames,
    /// Reads the size of a request from its headers.
    pub reader: Box<dyn WorkReader>,
    /// The source of fleet updates.
    pub feed: Box<dyn FleetFeed>,
}

/// Runs a gateway on this thread until a stop command or signal, then drains its connections.
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
        let commands = commands_from_signals()?;
        let sockets = GatewaySockets::bind(&parts.settings).await?;
        serve(parts, sockets, commands).await
    })
}

/// A command to a running gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GatewayCommand {
    /// Drain connections and stop.
    Stop,
    /// Reload the settings.
    Reload,
}

/// The sockets of a gateway, bound before its tasks start.
pub struct GatewaySockets {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Serves readiness and metrics.
    pub status: TcpListener,
    /// Sends and receives messages of peers.
    pub peers: UdpSocket,
    /// Accepts tunnels of peers, at the address of `peers`.
    pub tunnels: TcpListener,
}

impl GatewaySockets {
    /// Binds the sockets to the addresses in the settings; port 0 chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the address that could not be bound.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, StepError> {
        let (peers, tunnels) = bind_peers(settings.peers).await?;
        Ok(Self {
            callers: bind_callers(settings.callers)?,
            status: bind(settings.status, "bind status").await?,
            peers,
            tunnels,
        })
    }
}

/// Binds the socket for callers, with a queue of the length that its admission assumes.
fn bind_callers(address: SocketAddr) -> Result<TcpListener, StepError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // Connections of the process before, which are still closing, do not occupy the address.
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit these.
        socket.set_recv_buffer_size(CALLER_BUFFER)?;
        socket.set_send_buffer_size(CALLER_BUFFER)?;
        socket.bind(address)?;
        socket.listen(QUEUE_LENGTH)
    };
    bind().map_err(|error: io::Error| StepError::new("bind callers", error).with_peer(address))
}

/// Binds the two sockets for peers to the same port. Where the address leaves the port open, the one
/// that is free for TCP may be taken for UDP, and another one is tried.
async fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener), StepError> {
    let mut tries_left = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        let tunnels = bind(address, "bind tunnels").await?;
        let bound = tunnels.local_addr();
        let bound = bound.map_err(|error| StepError::new("bind tunnels", error))?;
        tries_left -= 1;
        match UdpSocket::bind(bound).await {
            Ok(peers) => return Ok((peers, tunnels)),
            Err(_) if tries_left > 0 => {}
            Err(error) => return Err(StepError::new("bind peers", error).with_peer(bound)),
        }
    }
}

/// Turns signals of the process into commands. SIGHUP must be handled, because by default it ends
/// the process.
fn commands_from_signals() -> Result<mpsc::Receiver<GatewayCommand>, StepError> {
    let listen =
        |kind| unix::signal(kind).map_err(|error| StepError::new("listen for signals", error));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let (sender, commands) = mpsc::channel(COMMAND_CAPACITY);
    task::spawn_local(async move {
        loop {
            let command = tokio::select! {
                _ = terminate.recv() => GatewayCommand::Stop,
                _ = interrupt.recv() => GatewayCommand::Stop,
                _ = hangup.recv() => GatewayCommand::Reload,
            };
            // The gateway has stopped.
            if sender.send(command).await.is_err() {
                return;
            }
        }
    });
    Ok(commands)
}

/// Serves until a stop command, then drains connections for at most the grace period. Must run on a
/// [`LocalSet`].
///
/// # Errors
///
/// Returns a [`StepError`] when a socket cannot be used.
pub async fn serve(
    parts: GatewayParts,
    sockets: GatewaySockets,
    commands: mpsc::Receiver<GatewayCommand>,
) -> Result<(), StepError> {
    let GatewayParts { settings, source, names, reader, feed } = parts;
    let GatewaySockets { callers, status, peers: socket, tunnels } = sockets;
    let incarnation = Incarnation(rand::rng().random());
    let own = PeerEntry {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.peers,
        secret: rand::rng().random(),
        link: settings.link,
        quarantines: Vec::new(),
        versions: Vec::new(),
    };
    let scheduler = Scheduler::new(SchedulerOptions {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        seed: rand::rng().random(),
        retry: settings.retry,
        rollout: settings.rollout,
        assumed: AssumedSpeed::default(),
        policy: settings.policy,
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
    log_policy(settings.policy);
    let (relay, changes) = FeedRelay::new();
    let link = Rc::new(PeerLink::new(socket, &own));
    let gateway =
        Gateway::new(settings, names, reader, scheduler, Rc::clone(&relay), Rc::clone(&link));
    let (updates, receiver) = mpsc::channel(UPDATE_CAPACITY);
    let refresh = Rc::new(RefreshSignal::default());
    let pauses = feed.pauses();
    gateway.origins().set_has_store(feed.has_store());
    let fleet_size = Rc::new(Cell::new(1));
    let (refresh_signal, feed_fleet_size) = (Rc::clone(&refresh), Rc::clone(&fleet_size));
    let (keeper, kept) = QuarantineMonitor::new();
    let (rollout_monitor, rollout_duties) = RolloutMonitor::new();
    let (version_monitor, versions) = VersionMonitor::new();
    let (origin_monitor, origins) = OriginMonitor::new();
    let channels = FeedChannels {
        updates,
        refresh: refresh_signal,
        fleet_size: feed_fleet_size,
        relay,
        quarantines: kept,
        versions,
        origins,
        duties: rollout_duties,
    };
    let mut tasks = JoinSet::new();
    tasks.spawn_local(feed.run(own, channels));
    let news =
        FleetUpdateHandler { gateway: Rc::clone(&gateway), link: Rc::clone(&link), fleet_size };
    tasks.spawn_local(news.run(receiver));
    tasks.spawn_local(fleet_tasks::schedule(Rc::clone(&gateway), Rc::clone(&link)));
    tasks.spawn_local(peer_link::receive(Rc::clone(&gateway), Rc::clone(&link)));
    tasks.spawn_local(digest_relay::relay_digests(Rc::clone(&gateway), Rc::clone(&link)));
    let sending_changes =
        fleet_tasks::relay_changes(Rc::clone(&gateway), Rc::clone(&link), changes);
    tasks.spawn_local(sending_changes);
    tasks.spawn_local(fleet_tasks::sweep(Rc::clone(&gateway), refresh, pauses));
    tasks.spawn_local(keeper.run(Rc::clone(&gateway)));
    tasks.spawn_local(rollout_monitor.run(Rc::clone(&gateway), Rc::clone(&link)));
    tasks.spawn_local(version_monitor.run(Rc::clone(&gateway)));
    tasks.spawn_local(origin_monitor.run(Rc::clone(&gateway)));
    tasks.spawn_local(tunnel_server::serve(Rc::clone(&gateway), tunnels));
    tasks.spawn_local(status_port::serve(Rc::clone(&gateway), status));
    let accepting = tasks.spawn_local(caller_listener::accept(Rc::clone(&gateway), callers));
    run_commands(&gateway, commands, &*source).await;
    let clock = gateway.hub().clock();
    let window = StopWindow::new(clock.now(), gateway.settings().borrow().grace);
    gateway.stop_order().give(window);
    tracing::info!(event = "stop-ordered", connections = gateway.connection_count());
    time::sleep_until(clock.instant(window.closes_at())).await;
    accepting.abort();
    gateway.closing().notify_waiters();
    fleet_tasks::send_cell_digest(&gateway, &link, true);
    fleet_tasks::send_brief_digest(&gateway, &link, true);
    let until = clock.instant(window.ends_at());
    while gateway.has_open_work() && Instant::now() < until {
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

/// Executes commands until a stop command. Reloads the settings on command and at intervals, since
/// they may change without a command.
async fn run_commands(
    gateway: &Gateway,
    mut commands: mpsc::Receiver<GatewayCommand>,
    source: &dyn SettingsSource,
) {
    loop {
        match time::timeout(SETTINGS_INTERVAL, commands.recv()).await {
            Ok(Some(GatewayCommand::Stop) | None) => return,
            Ok(Some(GatewayCommand::Reload)) => reload(gateway, source, true),
            Err(_) => reload(gateway, source, false),
        }
    }
}

/// Reloads the settings and applies those that may change while the gateway runs.
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
        scheduler.set_policy(found.policy);
    });
    settings.retry = found.retry;
    settings.rollout = found.rollout;
    settings.policy = found.policy;
    settings.grace = found.grace;
    settings.machine = found.machine;
    drop(settings);
    gateway.apply_limits();
    log_policy(found.policy);
}

/// Logs which optional policies are in effect.
fn log_policy(policy: SchedulingPolicy) {
    let SchedulingPolicy { ejection, overflow, return_times, fair_shares } = policy;
    tracing::info!(event = "policies", %ejection, %overflow, %return_times, %fair_shares);
}
