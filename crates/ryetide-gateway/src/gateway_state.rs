//! The state shared by the tasks of a gateway.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderValue};
use ryetide::memory_pool::MemoryPool;
use ryetide_core::{
    connection_table::PhaseTimeouts,
    deadline_tracker::DeadlineTracker,
    ids::{TargetKey, VmName},
    load_digest::FleetState,
    prompt_part::PartId,
    route::RequestLimits,
    scheduler::Scheduler,
    target_load::TargetEntry,
    tunnel_room::TunnelRoom,
};
use tokio::sync::Notify;

use rand::Rng;

use crate::{
    caller_answer::{self, CallerResponse, OwnAnswer},
    caller_body::BODY_TIMEOUT,
    caller_connections::CallerConnections,
    decision_log::DecisionLog,
    fault_detector::FaultDetector,
    feed_relay::FeedRelay,
    fleet_view::FleetView,
    gateway_metrics::GatewayMetrics,
    origin_lookup::StreamOrigins,
    peer_link::PeerLink,
    ports::{GatewaySettings, HeaderNames, PeerEntry, WorkReader, WorkSize},
    scheduler_hub::SchedulerHub,
    stop_order::StopOrder,
    target_connector::TargetConnector,
    target_pool::{ConnectFault, ConnectionChoice, TargetConnection, TargetPool},
};

/// The most routes for which a deadline tracker is stored, each of at most about 10 KB. Routes come
/// and go for as long as a VM runs; beyond this number all trackers are dropped, and each route's
/// is rebuilt from a few callers.
const MAX_DEADLINE_TRACKERS: usize = 1_024;

/// The timeouts of connections, as a multiple of those that callers assume. The margin avoids closing a
/// connection on which a caller has just sent something.
const TIMEOUT_FACTOR: f64 = 1.2;

fn phase_timeouts(limits: &RequestLimits) -> PhaseTimeouts {
    PhaseTimeouts {
        head: limits.header_timeout.mul_f64(TIMEOUT_FACTOR),
        body: BODY_TIMEOUT,
        idle: limits.idle_timeout.mul_f64(TIMEOUT_FACTOR),
    }
}

/// The state shared by the tasks of a gateway.
pub struct Gateway {
    settings: RefCell<GatewaySettings>,
    names: HeaderNames,
    reader: Box<dyn WorkReader>,
    hub: Rc<SchedulerHub>,
    pool: Rc<TargetPool>,
    connector: TargetConnector,
    /// The room for connections that this VM opens for peers.
    tunnel_room: RefCell<TunnelRoom>,
    link: Rc<PeerLink>,
    /// The memory for bodies and answers.
    memory: Arc<MemoryPool>,
    fleet: FleetView,
    relay: Rc<FeedRelay>,
    peers: RefCell<BTreeMap<VmName, PeerEntry>>,
    /// Estimates how long callers of each route have waited, by route name.
    deadline_trackers: RefCell<HashMap<String, DeadlineTracker>>,
    fault_detector: FaultDetector,
    origins: StreamOrigins,
    metrics: GatewayMetrics,
    log: DecisionLog,
    stop_order: StopOrder,
    connections: Rc<CallerConnections>,
    /// Notified when connections must close after the current answer.
    closing: Notify,
}

impl Gateway {
    /// Creates the state of a gateway that has just started.
    pub fn new(
        settings: GatewaySettings,
        names: HeaderNames,
        reader: Box<dyn WorkReader>,
        scheduler: Scheduler,
        relay: Rc<FeedRelay>,
        link: Rc<PeerLink>,
    ) -> Rc<Self> {
        let hub = SchedulerHub::new(scheduler);
        let limits = RequestLimits::default();
        let (machine, timeouts) = (settings.machine, phase_timeouts(&limits));
        let connections =
            CallerConnections::new(hub.clock(), machine.caller_connections(), timeouts);
        Rc::new(Self {
            names,
            reader,
            hub,
            pool: TargetPool::new(machine.pooled_connections()),
            connector: TargetConnector::new(rand::rng().random()),
            tunnel_room: RefCell::new(TunnelRoom::new(settings.link).bounded(machine.tunnels())),
            link,
            memory: MemoryPool::new(machine.memory, limits.body),
            fleet: FleetView::default(),
            relay,
            peers: RefCell::default(),
            deadline_trackers: RefCell::default(),
            fault_detector: FaultDetector::default(),
            origins: StreamOrigins::default(),
            metrics: GatewayMetrics::default(),
            log: DecisionLog::new(settings.name.clone()),
            stop_order: StopOrder::default(),
            connections,
            closing: Notify::new(),
            settings: RefCell::new(settings),
        })
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &RefCell<GatewaySettings> {
        &self.settings
    }

    /// Returns the order to stop. Once it is given, the gateway reports that it is not ready, closes
    /// connections after the current answer, and refuses what it could not finish.
    pub fn stop_order(&self) -> &StopOrder {
        &self.stop_order
    }

    /// Returns the number of open connections of callers.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether connections of callers or tunnels of peers are open.
    pub fn has_open_work(&self) -> bool {
        self.connection_count() > 0 || self.tunnel_room.borrow().open() > 0
    }

    /// Returns the names of the headers.
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Returns the hub through which tasks use the scheduler.
    pub fn hub(&self) -> &Rc<SchedulerHub> {
        &self.hub
    }

    /// Returns the pool of connections to targets.
    pub fn pool(&self) -> &Rc<TargetPool> {
        &self.pool
    }

    /// Returns the connector that opens connections to targets.
    pub fn connector(&self) -> &TargetConnector {
        &self.connector
    }

    /// Returns the room for connections that this VM opens for peers.
    pub fn tunnel_room(&self) -> &RefCell<TunnelRoom> {
        &self.tunnel_room
    }

    /// Returns the link to the peers.
    pub fn link(&self) -> &PeerLink {
        &self.link
    }

    /// Returns the memory for bodies and answers.
    pub fn memory(&self) -> &Arc<MemoryPool> {
        &self.memory
    }

    /// Returns the open connections of callers.
    pub fn connections(&self) -> &Rc<CallerConnections> {
        &self.connections
    }

    /// Applies the machine's limits and those that the routes in force set for requests.
    pub fn apply_limits(&self) {
        let machine = self.settings.borrow().machine;
        let limits = self.fleet.request_limits();
        self.memory.resize(machine.memory, limits.body);
        self.connections.configure(machine.caller_connections(), phase_timeouts(&limits));
    }

    /// Returns this VM's view of routes, targets and engines.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Returns the relay between the fleet feed and the peers.
    pub fn relay(&self) -> &FeedRelay {
        &self.relay
    }

    /// Returns how current this VM's routes and targets are.
    pub fn fleet_state(&self) -> FleetState {
        let now = self.hub.clock().now();
        FleetState { watch: self.relay.watch_report(), ..self.fleet.fleet_state(now) }
    }

    /// Returns the detector of the causes of broken runs.
    pub fn fault_detector(&self) -> &FaultDetector {
        &self.fault_detector
    }

    /// Returns what this VM knows of the origins of streams.
    pub fn origins(&self) -> &StreamOrigins {
        &self.origins
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.metrics
    }

    /// Returns the decision log.
    pub fn log(&self) -> &DecisionLog {
        &self.log
    }

    /// Returns the listed peers by name.
    pub fn peers(&self) -> &RefCell<BTreeMap<VmName, PeerEntry>> {
        &self.peers
    }

    /// Returns whether the gateway is stopping.
    pub fn is_draining(&self) -> bool {
        self.stop_order.is_given()
    }

    /// Returns whether a load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.fleet.is_ready()
    }

    /// Returns the notification on which connections close after the current answer.
    pub fn closing(&self) -> &Notify {
        &self.closing
    }

    /// Reads the size of a request from its headers.
    pub fn read_size(&self, headers: &HeaderMap) -> WorkSize {
        self.reader.read(headers)
    }

    /// Reads the ids of the shared parts of a request's prompt from its headers.
    pub fn read_parts(&self, headers: &HeaderMap) -> Vec<PartId> {
        self.reader.shared_parts(headers)
    }

    /// Estimates how long a caller of `route` has already waited, from the remaining time `left`
    /// that it states.
    pub fn waited(&self, route: &str, left: Duration) -> Duration {
        let mut trackers = self.deadline_trackers.borrow_mut();
        if let Some(tracker) = trackers.get_mut(route) {
            return tracker.waited(left);
        }
        if trackers.len() >= MAX_DEADLINE_TRACKERS {
            trackers.clear();
        }
        trackers.entry(route.to_owned()).or_default().waited(left)
    }

    /// Opens a connection to a target for the request that the log calls `request`, or takes one
    /// from the pool.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectFault`] when no connection can be opened.
    pub async fn connect(
        &self,
        request: &str,
        target: &TargetEntry,
        choice: ConnectionChoice,
    ) -> Result<TargetConnection, ConnectFault> {
        let pooled = match choice {
            ConnectionChoice::Pooled => self.pool.take(target.key()),
            ConnectionChoice::New => None,
        };
        match pooled {
            Some(connection) => Ok(connection),
            None => self.connector.connect(self, request, target).await,
        }
    }

    /// Returns the number of peers that have requests running at a target and do not suspect it.
    pub fn reaching_peers(&self, target: TargetKey) -> usize {
        let now = self.hub.clock().now();
        self.hub.peek(|scheduler| scheduler.reaching_peers(now, target))
    }

    /// Returns the share of the entry VMs that this one can reach.
    pub fn reachable_share(&self) -> f64 {
        let now = self.hub.clock().now();
        self.hub.peek(|scheduler| scheduler.reachable_share(now))
    }

    /// Builds the gateway's own answer to the request `id`, and records it in the metrics and the
    /// log.
    pub fn answer_own(&self, id: Option<&HeaderValue>, answer: OwnAnswer) -> CallerResponse {
        let reason = answer.reason;
        self.metrics.count_outcome(reason.name());
        // An id that is not text is sent back unchanged, but cannot be logged.
        let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.log.own_answer(text, reason.status().as_u16(), reason.name());
        caller_answer::own_answer(&self.names, id, answer)
    }
}
