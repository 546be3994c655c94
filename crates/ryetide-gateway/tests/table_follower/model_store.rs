//! A model of a store and the entry VMs that follow it, in one process and on a paused clock.
//!
//! The store returns the latest state of each changed row, at once, to every VM that can reach it.
//! Each VM runs the production feed and registry, and refreshes its targets as the gateway does:
//! after updates and with each sweep.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use ryetide::error::StepError;
use ryetide_core::{
    era_version::EraVersion,
    ids::ServiceName,
    rollout_order::{RolloutOrder, RolloutStatus},
    route::{RouteTable, RoutedService},
    target_load::TargetEntry,
    units::{LinkRate, Moment, Revision},
};
use ryetide_gateway::{
    feed_relay::{FeedRelay, RelayedChange},
    fleet_view::FleetView,
    ports::{FeedChannels, FleetFeed, FleetUpdate, LocalFuture, PeerEntry},
    refresh_signal::RefreshSignal,
    store_feed::{FeedBounds, FleetStore, StoreFeed},
    store_table::{FleetTable, RowValue, StoreTable, TableFault, TableRow, TableRows},
};
use tokio::{
    sync::{Notify, mpsc, watch},
    task,
    time::{self, Instant},
};

/// The service of all targets.
const SERVICE: &str = "desk";
/// How often the gateway removes targets whose grace period has ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// How often a VM sends its position to its peers.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);
/// The network delay between two VMs.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// How soon the store answers or refuses a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The entry of a target that leaves.
const LEAVING: &[u8] = b"draining";

/// Rows by table and key, each with the version of its last change and its value; `None` for the
/// value of a deleted row.
type Rows = BTreeMap<(String, String), (u64, Option<Bytes>)>;

/// A store in memory.
#[derive(Default)]
pub struct ModelStore {
    rows: RefCell<Rows>,
    version: Cell<u64>,
    era: Cell<u64>,
    changed: Notify,
}

/// A copy of the store.
pub struct StoreCopy {
    rows: Rows,
    version: u64,
}

impl ModelStore {
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { rows: self.rows.borrow().clone(), version: self.version.get() }
    }

    /// Restores the content of `copy`, and starts a new era.
    pub fn restore(&self, copy: &StoreCopy) {
        *self.rows.borrow_mut() = copy.rows.clone();
        self.version.set(copy.version);
        self.era.set(self.era.get() + 1);
    }

    fn packed(&self, number: u64) -> u64 {
        EraVersion { era: self.era.get(), number }.to_packed()
    }

    pub fn put(&self, table: FleetTable, key: &str, value: &[u8]) {
        self.change(table, key, Some(Bytes::copy_from_slice(value)));
    }

    /// Writes the entry of a target that accepts work.
    pub fn register(&self, target: &str) {
        self.put(FleetTable::Targets, target, b"ready");
    }

    /// Writes into the entry of a target that it leaves.
    pub fn announce_leaving(&self, target: &str) {
        self.put(FleetTable::Targets, target, LEAVING);
    }

    /// Deletes the entry of a target that left without notice.
    pub fn drop_target(&self, target: &str) {
        self.change(FleetTable::Targets, target, None);
    }

    fn change(&self, table: FleetTable, key: &str, value: Option<Bytes>) {
        self.version.set(self.version.get() + 1);
        self.rows
            .borrow_mut()
            .insert((table.to_string(), key.to_owned()), (self.version.get(), value));
        self.changed.notify_waiters();
    }

    fn since(&self, table: FleetTable, version: u64) -> TableRows {
        let (rows, table) = (self.rows.borrow(), table.to_string());
        let changed = rows.iter().filter(|((of, _), (at, _))| *of == table && *at > version);
        let row = |((_, key), (at, value)): (&(String, String), &(u64, Option<Bytes>))| {
            let value = value.clone().map_or(RowValue::Dropped, RowValue::Present);
            TableRow { key: key.clone(), version: self.packed(*at), value }
        };
        let mut rows: Vec<TableRow> = changed.map(row).collect();
        rows.sort_by_key(|row| row.version);
        TableRows { rows, version: self.packed(self.version.get()) }
    }
}

/// The connection between one VM and the store.
#[derive(Default)]
pub struct StorePath {
    /// The number of calls made on it.
    pub calls: Cell<usize>,
    cut: Cell<Option<CutKind>>,
    /// How often all open connections have fallen silent for good.
    silences: Cell<u64>,
    changed: Notify,
}

/// How a VM is cut off from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Calls fail at once.
    Refused,
    /// Calls hang; those that are open go on hanging after the cut has ended.
    Silent,
}

impl StorePath {
    pub fn cut(&self, kind: CutKind) {
        self.cut.set(Some(kind));
        self.changed.notify_waiters();
    }

    /// Lets all open connections fall silent for good. New ones work.
    pub fn silence(&self) {
        self.silences.set(self.silences.get() + 1);
        self.changed.notify_waiters();
    }

    pub fn mend(&self) {
        self.cut.set(None);
    }

    pub fn is_cut(&self) -> bool {
        self.cut.get().is_some()
    }

    /// Waits until calls on a connection that was opened after `silences` fail, and returns how.
    async fn breaks(&self, silences: u64) -> CutKind {
        loop {
            let changed = self.changed.notified();
            let is_silent = self.silences.get() > silences;
            if let Some(kind) = self.cut.get().or(is_silent.then_some(CutKind::Silent)) {
                return kind;
            }
            changed.await;
        }
    }
}

struct ModelTable {
    store: Rc<ModelStore>,
    path: Rc<StorePath>,
    table: FleetTable,
    /// How often connections had fallen silent when the open one was opened, if one is open.
    connection: Option<u64>,
}

impl ModelTable {
    /// Makes a call, which closes the connection unless it is answered.
    async fn call(
        &mut self,
        limit: Duration,
        answer: impl Future<Output = Result<TableRows, TableFault>>,
    ) -> Result<TableRows, TableFault> {
        self.path.calls.set(self.path.calls.get() + 1);
        let until = Instant::now() + limit;
        let silences = self.connection.take().unwrap_or(self.path.silences.get());
        let answered = tokio::select! {
            biased;
            kind = self.path.breaks(silences) => Err(kind),
            answered = answer => Ok(answered),
        };
        let answered = match answered {
            Ok(answered) => answered,
            Err(CutKind::Refused) => {
                time::sleep(ANSWER_TIME).await;
                Err(TableFault::Failed("refused".to_owned()))
            }
            Err(CutKind::Silent) => {
                time::sleep_until(until).await;
                Err(TableFault::Failed("silent".to_owned()))
            }
        };
        self.connection = answered.is_ok().then_some(silences);
        answered
    }
}

/// Waits for rows of a table that changed after `since`.
async fn wait_for_rows(
    store: Rc<ModelStore>,
    table: FleetTable,
    since: u64,
    wait: Duration,
) -> Result<TableRows, TableFault> {
    let EraVersion { era, number } = EraVersion::from_packed(since);
    let until = Instant::now() + wait;
    time::sleep(ANSWER_TIME).await;
    loop {
        let changed = store.changed.notified();
        if era != store.era.get() || number > store.version.get() {
            return Err(TableFault::HistoryGone);
        }
        let found = store.since(table, number);
        if !found.rows.is_empty() || Instant::now() >= until {
            return Ok(found);
        }
        tokio::select! {
            () = changed => {}
            () = time::sleep_until(until) => {}
        }
    }
}

impl StoreTable for ModelTable {
    fn read_all(&mut self, limit: Duration) -> LocalFuture<'_, Result<TableRows, TableFault>> {
        let (store, table) = (Rc::clone(&self.store), self.table);
        let reading = async move {
            time::sleep(ANSWER_TIME).await;
            let mut found = store.since(table, 0);
            found.rows.retain(|row| row.value != RowValue::Dropped);
            Ok(found)
        };
        Box::pin(self.call(limit, reading))
    }

    fn follow(
        &mut self,
        version: u64,
        wait: Duration,
        limit: Duration,
    ) -> LocalFuture<'_, Result<TableRows, TableFault>> {
        let waiting = wait_for_rows(Rc::clone(&self.store), self.table, version, wait);
        Box::pin(self.call(limit, waiting))
    }

    fn disconnect(&mut self) {
        self.connection = None;
    }

    fn write<'a>(
        &'a mut self,
        key: &'a str,
        _expected: u64,
        value: &'a [u8],
        _limit: Duration,
    ) -> LocalFuture<'a, Result<u64, TableFault>> {
        self.store.put(self.table, key, value);
        Box::pin(async { Ok(0) })
    }
}

/// The store, as seen by one VM.
pub struct ModelFleet {
    pub store: Rc<ModelStore>,
    pub path: Rc<StorePath>,
}

impl FleetStore for ModelFleet {
    fn open(&self, table: FleetTable) -> Box<dyn StoreTable> {
        let (store, path) = (Rc::clone(&self.store), Rc::clone(&self.path));
        Box::new(ModelTable { store, path, table, connection: None })
    }

    fn routes(&self, _row: &TableRow) -> Result<Option<RouteTable>, StepError> {
        Ok(None)
    }

    fn order(&self, _row: &TableRow) -> Result<Option<RolloutOrder>, StepError> {
        Ok(None)
    }

    fn status_key(&self, service: &ServiceName) -> String {
        service.to_string()
    }

    fn decode_status(&self, _value: &[u8]) -> Result<RolloutStatus, StepError> {
        Err(StepError::new("read word", "this store has no orders"))
    }

    fn encode_status(
        &self,
        _order: &RolloutOrder,
        _word: RolloutStatus,
    ) -> Result<Vec<u8>, StepError> {
        Err(StepError::new("write word", "this store has no orders"))
    }

    fn target(&self, name: &str, value: &[u8]) -> Result<TargetEntry, StepError> {
        Ok(TargetEntry {
            name: name.into(),
            incarnation: Default::default(),
            version: "v1".into(),
            service: SERVICE.into(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "hall-a".into(),
            slots: 6,
            leaving: value == LEAVING,
            warmup: Duration::ZERO,
        })
    }
}

/// A view with routes to the service of the targets.
fn fleet_with_routes() -> FleetView {
    let service = RoutedService {
        name: SERVICE.into(),
        connection_limit: 100,
        engine: None,
        health_path: Default::default(),
    };
    let fleet = FleetView::default();
    fleet.adopt(Arc::new(RouteTable::builder(Revision(1)).service(service).build()));
    fleet
}

/// An entry VM: its feed and its view of the targets.
pub struct ModelVm {
    pub path: Rc<StorePath>,
    pub relay: Rc<FeedRelay>,
    pub refresh: Rc<RefreshSignal>,
    /// Whether the datagrams with changes that peers send to it are lost.
    pub loses_changes: Cell<bool>,
    fleet: FleetView,
    started: Instant,
    /// The targets that get work.
    in_use: RefCell<Vec<String>>,
    /// When each of the other known targets stopped getting work.
    stopped: RefCell<BTreeMap<String, Instant>>,
}

impl ModelVm {
    /// Starts a VM that watches the store until it is made passive. Returns the VM and the receiver
    /// of the changes that it relays.
    pub fn start(
        store: &Rc<ModelStore>,
        name: &str,
        bounds: FeedBounds,
    ) -> (Rc<Self>, mpsc::Receiver<RelayedChange>) {
        Self::start_in_fleet(store, name, bounds, 65)
    }

    /// Starts a VM of a fleet of this size.
    pub fn start_in_fleet(
        store: &Rc<ModelStore>,
        name: &str,
        bounds: FeedBounds,
        fleet_size: usize,
    ) -> (Rc<Self>, mpsc::Receiver<RelayedChange>) {
        let (relay, changes) = FeedRelay::new();
        let vm = Rc::new(Self {
            path: Rc::default(),
            relay: Rc::clone(&relay),
            refresh: Rc::default(),
            loses_changes: Cell::new(false),
            fleet: fleet_with_routes(),
            started: Instant::now(),
            in_use: RefCell::default(),
            stopped: RefCell::default(),
        });
        let fleet = ModelFleet { store: Rc::clone(store), path: Rc::clone(&vm.path) };
        let (updates, received) = mpsc::channel(64);
        let channels = FeedChannels {
            updates,
            refresh: Rc::clone(&vm.refresh),
            fleet_size: Rc::new(Cell::new(fleet_size)),
            relay,
            quarantines: watch::channel(Vec::new()).1,
            versions: watch::channel(Vec::new()).1,
            origins: watch::channel(Vec::new()).1,
            duties: watch::channel(Vec::new()).1,
        };
        let own = PeerEntry {
            name: name.into(),
            data_centre: "hall-a".into(),
            address: std::net::SocketAddr::from(([10, 1, 0, 25], 7600)),
            secret: [7; 32],
            link: LinkRate(0),
            quarantines: Vec::new(),
            versions: Vec::new(),
        };
        task::spawn_local(Box::new(StoreFeed::new(fleet, bounds)).run(own, channels));
        task::spawn_local(Rc::clone(&vm).apply_updates(received));
        (vm, changes)
    }

    async fn apply_updates(self: Rc<Self>, mut received: mpsc::Receiver<FleetUpdate>) {
        let mut sweeps = time::interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                update = received.recv() => match update {
                    Some(FleetUpdate::Targets(update, newest)) => {
                        self.fleet.registry().borrow_mut().take(self.now(), update);
                        self.fleet.registry().borrow_mut().record_newest(newest);
                    }
                    Some(FleetUpdate::TargetsReached(version)) => {
                        self.fleet.registry().borrow_mut().record_reached(version);
                    }
                    Some(_) => continue,
                    None => return,
                },
                _ = sweeps.tick() => {}
            }
            self.refresh_targets();
        }
    }

    fn refresh_targets(&self) {
        let Some(refreshed) = self.fleet.refresh_targets(self.now()) else { return };
        let found = refreshed.found.iter().filter(|target| !target.leaving);
        let names: Vec<String> = found.map(|target| target.name.to_string()).collect();
        for name in self.in_use.replace(names) {
            if !self.uses(&name) {
                self.stopped.borrow_mut().insert(name, Instant::now());
            }
        }
    }

    fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).expect("a short test") + 1)
    }

    /// Returns whether a peer has changes of targets that this VM lacks, as its digests would show.
    pub fn is_behind(&self, peer: &Self) -> bool {
        peer.fleet.registry().borrow().newest() > self.fleet.registry().borrow().reached()
    }

    pub fn uses(&self, target: &str) -> bool {
        self.in_use.borrow().iter().any(|name| name == target)
    }

    /// Returns whether a known target has ever stopped getting work.
    pub fn has_stopped(&self, target: &str) -> bool {
        self.stopped.borrow().contains_key(target)
    }

    /// Returns when a target stopped getting work, or the current time if it still gets work.
    pub fn last_used(&self, target: &str) -> Instant {
        if self.uses(target) {
            return Instant::now();
        }
        self.stopped.borrow().get(target).copied().expect("a target that was known")
    }
}

/// Relays the changes and positions of `from` to `to`. What is sent while `to` is cut off is lost.
pub async fn relay_changes(
    from: Rc<ModelVm>,
    mut changes: mpsc::Receiver<RelayedChange>,
    to: Rc<ModelVm>,
) {
    let mut digests = time::interval(DIGEST_INTERVAL);
    loop {
        tokio::select! {
            change = changes.recv() => {
                let Some(change) = change else { return };
                time::sleep(NETWORK_DELAY).await;
                if !to.path.is_cut() && !to.loses_changes.get() {
                    to.relay.receive(change);
                }
            }
            _ = digests.tick() => {
                if let Some(report) = from.relay.watch_report().filter(|_| !to.path.is_cut()) {
                    to.relay.record_peer_report(&report);
                }
            }
        }
    }
}
