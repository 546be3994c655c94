//! What a gateway's tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderValue};
use ryetide_core::{
    deadline_tracker::DeadlineTracker, ids::VmName, load_digest::FleetState, scheduler::Scheduler,
    target_load::TargetEntry,
};
use tokio::sync::Notify;

use crate::{
    caller_answer::{self, CallerResponse, OwnAnswer},
    crash_watch::CrashWatch,
    decision_log::DecisionLog,
    feed_relay::FeedRelay,
    fleet_view::FleetView,
    gateway_metrics::GatewayMetrics,
    ports::{GatewaySettings, HeaderNames, PeerEntry, WorkReader, WorkSize},
    scheduler_hub::SchedulerHub,
    target_pool::{ConnectFault, ConnectionChoice, TargetConnection, TargetPool},
};

/// Routes whose callers' habits are remembered, at some 10 KB each at the most. Routes come and go for as long as a
/// VM runs; beyond this all are learnt anew, within a few callers each.
const HABITS_LIMIT: usize = 1_024;

/// What a gateway's tasks share.
pub struct Gateway {
    settings: RefCell<GatewaySettings>,
    names: HeaderNames,
    reader: Box<dyn WorkReader>,
    hub: Rc<SchedulerHub>,
    pool: Rc<TargetPool>,
    fleet: FleetView,
    relay: Rc<FeedRelay>,
    peers: RefCell<BTreeMap<VmName, PeerEntry>>,
    /// The times that callers of each route begin with.
    habits: RefCell<HashMap<String, DeadlineTracker>>,
    crashes: CrashWatch,
    metrics: GatewayMetrics,
    log: DecisionLog,
    draining: Cell<bool>,
    connections: Cell<usize>,
    /// Rung when connections must end after their present answer.
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
    ) -> Rc<Self> {
        Rc::new(Self {
            names,
            reader,
            hub: SchedulerHub::new(scheduler),
            pool: TargetPool::new(),
            fleet: FleetView::default(),
            relay,
            peers: RefCell::default(),
            habits: RefCell::default(),
            crashes: CrashWatch::default(),
            metrics: GatewayMetrics::default(),
            log: DecisionLog::new(settings.name.clone()),
            draining: Cell::new(false),
            connections: Cell::new(0),
            closing: Notify::new(),
            settings: RefCell::new(settings),
        })
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &RefCell<GatewaySettings> {
        &self.settings
    }

    /// Notes that the gateway was told to stop.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Returns how many connections of callers there are.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
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

    /// Returns what joins the feed to the peers.
    pub fn relay(&self) -> &FeedRelay {
        &self.relay
    }

    /// Returns how far this VM's knowledge of the fleet reaches.
    pub fn news(&self) -> FleetState {
        let now = self.hub.clock().now();
        FleetState { watch: self.relay.watch_note(), ..self.fleet.news(now) }
    }

    /// Returns what finds out which targets have crashed.
    pub fn crashes(&self) -> &CrashWatch {
        &self.crashes
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

    /// Returns for how long a caller of a route had waited before, that says it has this time left.
    pub fn waited(&self, route: &str, left: Duration) -> Duration {
        let mut habits = self.habits.borrow_mut();
        if let Some(habit) = habits.get_mut(route) {
            return habit.waited(left);
        }
        if habits.len() >= HABITS_LIMIT {
            habits.clear();
        }
        habits.entry(route.to_owned()).or_default().waited(left)
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

    /// Returns the part of the entry VMs that this one hears.
    pub fn reachable_share(&self) -> f64 {
        let now = self.hub.clock().now();
        self.hub.peek(|scheduler| scheduler.reachable_share(now))
    }

    /// Builds an answer of the gateway's own to the request `id`, and notes it.
    pub fn answer_own(&self, id: Option<&HeaderValue>, answer: OwnAnswer) -> CallerResponse {
        let reason = answer.reason;
        self.metrics.count_outcome(reason.name());
        // An id that is no text is sent back as it is, and cannot be printed.
        let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.log.own_answer(text, reason.status().as_u16(), reason.name());
        caller_answer::own_answer(&self.names, id, answer)
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
