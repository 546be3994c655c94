//! Routes, targets and peers, from the tables of a platform's store.
//!
//! Each table is followed on a connection of its own. The rows of routes and targets are the
//! platform's, which decodes them; those of entry VMs are this module's own.

use std::{collections::BTreeMap, net, rc::Rc, sync::Arc, time::Duration};

use ryetide::error::StepError;
use ryetide_core::{
    era_version::EraVersion,
    ids::{DataCentreName, ServiceName, TargetName, VmName},
    rollout_order::{RolloutOrder, RolloutStatus},
    route::RouteTable,
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
    units::LinkRate,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    feed_watch::FeedPauses,
    ports::{FeedLine, FleetFeed, FleetUpdate, KeptQuarantine, LocalFuture, PeerEntry, PeerSecret},
    quarantine_keeper,
    rollout_rows::RolloutRows,
    row_faults::RowFaults,
    store_table::{FleetTable, RowValue, StoreTable, TableRow},
    table_follower::{self, RowReader, TableFollower, TablePace},
};

/// What each VM adds to the wait: at 70 VMs the longest is 5 s, and all together make some 20 calls a
/// second to a table that does not change, which is 0.003 of all worth there.
const WAIT_PER_VM: Duration = Duration::from_millis(70);
/// Time to find out and to read anew, beyond the wait of a call that has gone silent.
const SILENCE_MARGIN: Duration = Duration::from_millis(1_000);
/// The pause after a change of the operators' table. Operators change it seldom, and wait for the change to
/// be in force.
const ROUTES_PAUSE: Duration = Duration::from_millis(100);
/// The part of the time within which a leaving target must get nothing new that is paused after changes of
/// targets. When the fleet starts they register one by one: 143 of them cost each VM as many calls without
/// the pause, and under 20 with it; at 70 VMs calls were 0.03 to 0.05 of all worth with a pause of 0.4 s.
const LEAVING_PART: f64 = 0.5;
/// The table in which entry VMs make themselves known to each other. When the fleet starts they do so within a
/// second; told one by one they cost each of 71 VMs three calls.
const VMS_PACE: TablePace = TablePace {
    table: FleetTable::Vms,
    wait: Duration::from_millis(20_000),
    wait_per_vm: Duration::ZERO,
    pause: Duration::from_millis(1_000),
};

/// A platform's store: opens its tables and decodes its rows.
pub trait FleetStore {
    /// Opens a table on a connection of its own.
    fn open(&self, table: FleetTable) -> Box<dyn StoreTable>;

    /// Decodes the routes, or returns nothing for a row that does not hold them.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that tells the place at fault.
    fn routes(&self, row: &TableRow) -> Result<Option<RouteTable>, StepError>;

    /// Decodes an order to bring a new version of a service in, or returns nothing for a row that holds none.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that tells the place at fault.
    fn order(&self, row: &TableRow) -> Result<Option<RolloutOrder>, StepError>;

    /// Returns the key of the row in which operators are told what became of the orders for a service.
    fn word_key(&self, service: &ServiceName) -> String;

    /// Decodes what operators were told of an order.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that tells the place at fault.
    fn read_word(&self, value: &[u8]) -> Result<RolloutStatus, StepError>;

    /// Encodes what operators are told of an order.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be written.
    fn write_word(&self, order: &RolloutOrder, word: RolloutStatus) -> Result<Vec<u8>, StepError>;

    /// Decodes the entry that a target wrote of itself.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that tells the place at fault.
    fn target(&self, name: &str, value: &[u8]) -> Result<TargetEntry, StepError>;
}

/// What an entry VM says of itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct VmRow {
    data_centre: DataCentreName,
    address: net::SocketAddr,
    /// The key of its digests.
    secret: PeerSecret,
    /// The speed of its link; a row that does not tell it is of a VM that passes nothing on.
    #[serde(default)]
    link: LinkRate,
    /// Requests under quarantine. They stand here so that they are known after all VMs were killed at once.
    #[serde(default)]
    kept: Vec<KeptQuarantine>,
}

impl VmRow {
    fn is_of_same_vm(&self, other: &Self) -> bool {
        self.data_centre == other.data_centre
            && self.address == other.address
            && self.link == other.link
    }
}

/// How soon a gateway must know of a change in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedBounds {
    /// After this time a leaving target must get nothing new.
    pub leaving: Duration,
    /// The silence of an open connection excuses nothing after this time.
    pub silence: Duration,
}

impl FeedBounds {
    fn routes_pace(&self) -> TablePace {
        let wait = self.silence.saturating_sub(SILENCE_MARGIN);
        TablePace { table: FleetTable::Routes, wait, wait_per_vm: WAIT_PER_VM, pause: ROUTES_PAUSE }
    }

    fn targets_pace(&self) -> TablePace {
        let pause = self.leaving.mul_f64(LEAVING_PART);
        TablePace { table: FleetTable::Targets, pause, ..self.routes_pace() }
    }
}

/// News from a platform's store.
pub struct StoreFeed {
    store: Rc<dyn FleetStore>,
    bounds: FeedBounds,
}

impl StoreFeed {
    /// Creates a feed from `store`.
    pub fn new(store: impl FleetStore + 'static, bounds: FeedBounds) -> Self {
        Self { store: Rc::new(store), bounds }
    }
}

impl FleetFeed for StoreFeed {
    fn pauses(&self) -> FeedPauses {
        let (routes, targets) = (self.bounds.routes_pace(), self.bounds.targets_pace());
        FeedPauses { routes: routes.pause, targets: targets.pause }
    }

    fn run(self: Box<Self>, own: PeerEntry, line: FeedLine) -> LocalFuture<'static, ()> {
        let (routes_pace, targets_pace) = (self.bounds.routes_pace(), self.bounds.targets_pace());
        let store = self.store;
        let faults = RowFaults::default;
        let rows = RolloutRows::new(Rc::clone(&store), line.clone());
        let routes = RouteReader { store: Rc::clone(&store), faults: faults() };
        let targets = TargetReader { store: Rc::clone(&store), faults: faults() };
        let table = move |kind| store.open(kind);
        Box::pin(async move {
            let follow_routes =
                TableFollower::new(table(FleetTable::Routes), routes_pace, routes, line.clone());
            let follow_targets =
                TableFollower::new(table(FleetTable::Targets), targets_pace, targets, line.clone());
            let (tell_own, found) = watch::channel(None);
            let peers = VmReader::new(&own, tell_own);
            let follow_vms =
                TableFollower::new(table(FleetTable::Vms), VMS_PACE, peers, line.clone());
            tokio::join!(
                follow_routes.run(),
                follow_targets.run(),
                follow_vms.run(),
                announce(table(FleetTable::Vms), &own, found, line),
                rows.run(),
            );
        })
    }
}

/// Makes this VM known by its row. A row that an earlier life left is kept if it still holds: all VMs
/// follow the table, and 70 that are restarted in turn would make each other ask for it 70 times each. The
/// peers then know this VM by the key of that row, which only they can read.
async fn announce(
    mut table: Box<dyn StoreTable>,
    own: &PeerEntry,
    mut found: watch::Receiver<Option<FoundRow>>,
    line: FeedLine,
) {
    let Some(FoundRow { mut version, row: left }) = next_found(&mut found).await else { return };
    let mut row = VmRow {
        data_centre: own.data_centre.clone(),
        address: own.address,
        secret: own.secret,
        link: own.link,
        kept: Vec::new(),
    };
    match left.filter(|left| left.is_of_same_vm(&row)) {
        Some(left) => {
            tracing::info!(event = "row-kept", step = "announce", version);
            // The gateway may be ending.
            let _ = line.updates.send(FleetUpdate::OwnSecret(left.secret)).await;
            row = left;
        }
        None => version = write_row(&mut *table, own, version, &row).await,
    }
    OwnRow { table, own, version, row }.keep(found, line).await;
}

/// Waits until this VM's row was looked for, again; returns nothing when the feed has ended.
async fn next_found(found: &mut watch::Receiver<Option<FoundRow>>) -> Option<FoundRow> {
    found.changed().await.ok()?;
    found.borrow_and_update().clone()
}

/// This VM's own row, as it must be.
struct OwnRow<'a> {
    table: Box<dyn StoreTable>,
    own: &'a PeerEntry,
    version: u64,
    row: VmRow,
}

impl OwnRow<'_> {
    /// Writes the row anew whenever this VM has other requests under quarantine to keep, and when a whole reading of the
    /// table does not have it as it was written: the store has come back from a copy.
    async fn keep(mut self, mut found: watch::Receiver<Option<FoundRow>>, mut line: FeedLine) {
        loop {
            tokio::select! {
                changed = line.kept.changed() => match changed {
                    Ok(()) => {
                        let kept = line.kept.borrow_and_update().clone();
                        self.keep_quarantines(kept).await;
                    }
                    // The gateway is ending.
                    Err(_) => return,
                },
                found = next_found(&mut found) => match found {
                    Some(found) => self.write_again(found).await,
                    // The feed has ended.
                    None => return,
                },
            }
        }
    }

    async fn keep_quarantines(&mut self, kept: Vec<KeptQuarantine>) {
        // A VM that has started knows what it kept from this very row.
        if !quarantine_keeper::must_write(&self.row.kept, &kept) {
            return;
        }
        self.row.kept = kept;
        tracing::info!(event = "quarantines-kept", step = "write", count = self.row.kept.len());
        self.write().await;
    }

    async fn write_again(&mut self, found: FoundRow) {
        if found.row.as_ref() == Some(&self.row) {
            return;
        }
        let version = EraVersion::from_packed(found.version);
        tracing::info!(event = "row-missing", step = "announce", %version);
        self.version = found.version;
        self.write().await;
    }

    async fn write(&mut self) {
        self.version = write_row(&mut *self.table, self.own, self.version, &self.row).await;
    }
}

/// Writes this VM's row over the one of this version. Returns the version that it may have now: one that was written since
/// tells its own, when it is written over next.
async fn write_row(table: &mut dyn StoreTable, own: &PeerEntry, version: u64, row: &VmRow) -> u64 {
    match serde_json::to_vec(row) {
        Ok(value) => table_follower::keep_row(table, own.name.as_str(), version, &value).await,
        Err(error) => tracing::error!(event = "announce-failed", step = "encode", reason = %error),
    }
    version
}

/// This VM's own row, as a whole reading of the table had it.
#[derive(Clone, Debug, Default)]
struct FoundRow {
    /// Its version; 0 for none.
    version: u64,
    /// What it says, if that can be read.
    row: Option<VmRow>,
}

struct RouteReader {
    store: Rc<dyn FleetStore>,
    faults: RowFaults,
}

impl RouteReader {
    /// Routes that cannot be read leave those in force that are.
    fn decode(&mut self, row: &TableRow) -> Option<FleetUpdate> {
        match self.store.routes(row) {
            Ok(routes) => Some(FleetUpdate::Routes(Arc::new(routes?))),
            Err(error) => {
                self.faults.note(FleetTable::Routes, row, &error);
                None
            }
        }
    }

    fn decode_order(&mut self, row: &TableRow) -> Option<RolloutOrder> {
        self.store.order(row).unwrap_or_else(|error| {
            self.faults.note(FleetTable::Routes, row, &error);
            None
        })
    }
}

impl RowReader for RouteReader {
    /// Orders go first: once routes are in force callers are served, and a version on trial must be known as one.
    fn whole(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        let orders: Vec<RolloutOrder> =
            rows.iter().filter_map(|row| self.decode_order(row)).collect();
        let orders = (!orders.is_empty()).then_some(FleetUpdate::Orders(orders));
        let routes = rows.iter().find_map(|row| self.decode(row));
        orders.into_iter().chain(routes).collect()
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        self.whole(rows)
    }
}

struct TargetReader {
    store: Rc<dyn FleetStore>,
    faults: RowFaults,
}

/// What rows of targets say.
#[derive(Default)]
struct TargetRows {
    entries: Vec<TargetEntry>,
    gone: Vec<TargetName>,
    unreadable: Vec<TargetName>,
}

impl TargetReader {
    fn sort(&mut self, rows: &[TableRow]) -> TargetRows {
        let mut sorted = TargetRows::default();
        for row in rows {
            let name = TargetName::from(row.key.as_str());
            match &row.value {
                RowValue::Dropped => sorted.gone.push(name),
                RowValue::Unreadable => {
                    self.faults.note(FleetTable::Targets, row, &"no bytes");
                    sorted.unreadable.push(name);
                }
                RowValue::Present(value) => match self.store.target(&row.key, value) {
                    Ok(entry) => sorted.entries.push(entry),
                    Err(error) => {
                        self.faults.note(FleetTable::Targets, row, &error);
                        sorted.unreadable.push(name);
                    }
                },
            }
        }
        sorted
    }
}

/// The version of the newest change among rows; 0 when there are none.
fn newest(rows: &[TableRow]) -> u64 {
    rows.iter().map(|row| row.version).max().unwrap_or(0)
}

impl RowReader for TargetReader {
    fn whole(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        let TargetRows { entries, unreadable, .. } = self.sort(&rows);
        let update = RegistryUpdate::Snapshot { entries, unreadable };
        vec![FleetUpdate::Targets(update, newest(&rows))]
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        let TargetRows { entries, gone, unreadable } = self.sort(&rows);
        let update = RegistryUpdate::Changed { entries, gone, unreadable };
        vec![FleetUpdate::Targets(update, newest(&rows))]
    }

    fn reached(&mut self, version: u64) -> Option<FleetUpdate> {
        Some(FleetUpdate::TargetsReached(version))
    }

    fn source(&mut self, lost: bool) -> Option<FleetUpdate> {
        let update = if lost { RegistryUpdate::SourceLost } else { RegistryUpdate::SourceBack };
        Some(FleetUpdate::Targets(update, 0))
    }

    fn restored(&mut self) -> Option<FleetUpdate> {
        Some(FleetUpdate::Targets(RegistryUpdate::SourceRestored, 0))
    }

    fn doubt(&mut self, left: Duration) -> Option<FleetUpdate> {
        Some(FleetUpdate::Targets(RegistryUpdate::MissingEntryGrace(left), 0))
    }
}

struct VmReader {
    own: VmName,
    /// Takes this VM's own row whenever it was looked for.
    tell_own: watch::Sender<Option<FoundRow>>,
    known: BTreeMap<String, PeerEntry>,
    faults: RowFaults,
}

impl VmReader {
    fn new(own: &PeerEntry, tell_own: watch::Sender<Option<FoundRow>>) -> Self {
        Self {
            own: own.name.clone(),
            tell_own,
            known: BTreeMap::new(),
            faults: RowFaults::default(),
        }
    }

    fn tell_own(&mut self, rows: &[TableRow]) {
        let own = rows.iter().find(|row| row.key == self.own.as_str());
        let found = own.map(|row| FoundRow {
            version: row.version,
            // One that cannot be read is written over; it is logged below.
            row: row.value.bytes().and_then(|value| serde_json::from_slice(value).ok()),
        });
        self.tell_own.send_replace(Some(found.unwrap_or_default()));
    }
}

impl RowReader for VmReader {
    fn whole(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        self.tell_own(&rows);
        self.known.clear();
        self.changed(rows)
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        for row in rows {
            let decoded = row.value.bytes().map(|value| serde_json::from_slice::<VmRow>(value));
            if let Some(Ok(VmRow { data_centre, address, secret, link, kept })) = decoded {
                let name = row.key.as_str().into();
                let peer = PeerEntry { name, data_centre, address, secret, link, kept };
                self.known.insert(row.key, peer);
                continue;
            }
            self.known.remove(&row.key);
            if let Some(Err(error)) = decoded {
                self.faults.note(FleetTable::Vms, &row, &error);
            } else if row.value == RowValue::Unreadable {
                self.faults.note(FleetTable::Vms, &row, &"no bytes");
            }
        }
        vec![FleetUpdate::Peers(self.known.values().cloned().collect())]
    }
}
