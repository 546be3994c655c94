//! A feed of routes, targets and peers from the tables of a platform's store.
//!
//! Each table is followed on a connection of its own. The platform defines and decodes the rows of
//! routes and targets; this module defines those of entry VMs.

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
    version_history::ServiceVersions,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    lag_monitor::FeedPauses,
    origin_rows::OriginRows,
    ports::{
        FeedChannels, FleetFeed, FleetUpdate, LocalFuture, PeerEntry, PeerSecret, StoredQuarantine,
    },
    quarantine_monitor,
    rollout_rows::RolloutRows,
    row_faults::RowFaults,
    store_table::{FleetTable, RowValue, StoreTable, TableRow},
    stored_quarantine::StoredQuarantines,
    table_follower::{self, RowReader, TableFollower, TablePace},
};

/// The time to detect a call that hangs and to read the table again, beyond the wait of that call.
const SILENCE_MARGIN: Duration = Duration::from_millis(1_000);
/// The pause after a change of the routes. Operators change them rarely, and wait for the change to
/// take effect.
const ROUTES_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a change of targets, as a share of [`FeedBounds::leaving`]. When the fleet
/// starts, targets register one by one: 143 of them cost each VM as many calls without the pause,
/// and under 20 with it. At 70 VMs the calls cost 0.03 to 0.05 of the value of all work with a
/// pause of 0.4 s.
const LEAVING_PAUSE_SHARE: f64 = 0.5;
/// The pace for the table in which entry VMs register themselves. When the fleet starts, all
/// register within a second; without the pause, reading the rows one by one costs each of 71 VMs
/// three calls.
const VMS_PACE: TablePace = TablePace {
    table: FleetTable::Vms,
    wait: Duration::from_millis(20_000),
    pause: Duration::from_millis(1_000),
};

/// A platform's store: opens its tables and decodes its rows.
pub trait FleetStore {
    /// Opens a table on a connection of its own.
    fn open(&self, table: FleetTable) -> Box<dyn StoreTable>;

    /// Decodes the routes, or returns `None` for a row that does not hold them.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the invalid part.
    fn routes(&self, row: &TableRow) -> Result<Option<RouteTable>, StepError>;

    /// Decodes a rollout order, or returns `None` for a row that holds none.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the invalid part.
    fn order(&self, row: &TableRow) -> Result<Option<RolloutOrder>, StepError>;

    /// Returns the key of the row that holds the status of a service's rollout order.
    fn status_key(&self, service: &ServiceName) -> String;

    /// Decodes the status of a rollout order, as shown to operators.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the invalid part.
    fn decode_status(&self, value: &[u8]) -> Result<RolloutStatus, StepError>;

    /// Encodes the status of a rollout order, as shown to operators.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] if the status cannot be encoded.
    fn encode_status(
        &self,
        order: &RolloutOrder,
        word: RolloutStatus,
    ) -> Result<Vec<u8>, StepError>;

    /// Decodes the entry with which a target registered itself.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the invalid part.
    fn target(&self, name: &str, value: &[u8]) -> Result<TargetEntry, StepError>;
}

/// The row with which an entry VM registers itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct VmRow {
    data_centre: DataCentreName,
    address: net::SocketAddr,
    /// The key that authenticates its digests.
    secret: PeerSecret,
    /// The speed of its link. A row without it belongs to a VM that relays nothing.
    #[serde(default)]
    link: LinkRate,
    /// Stored so that they survive when all VMs are killed at once.
    #[serde(flatten)]
    quarantines: StoredQuarantines,
    /// The versions of services, stored for the same case.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "mixes")]
    versions: Vec<ServiceVersions>,
}

impl VmRow {
    fn is_of_same_vm(&self, other: &Self) -> bool {
        self.data_centre == other.data_centre
            && self.address == other.address
            && self.link == other.link
    }
}

/// How soon a change in the store must take effect at a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedBounds {
    /// The time after which a leaving target must get no new work.
    pub leaving: Duration,
    /// The time after which a change must have taken effect even if an open connection hangs.
    pub silence: Duration,
}

impl FeedBounds {
    fn routes_pace(&self) -> TablePace {
        let wait = self.silence.saturating_sub(SILENCE_MARGIN);
        TablePace { table: FleetTable::Routes, wait, pause: ROUTES_PAUSE }
    }

    fn targets_pace(&self) -> TablePace {
        let pause = self.leaving.mul_f64(LEAVING_PAUSE_SHARE);
        TablePace { table: FleetTable::Targets, pause, ..self.routes_pace() }
    }
}

/// A feed of updates from a platform's store.
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
    fn has_store(&self) -> bool {
        true
    }

    fn pauses(&self) -> FeedPauses {
        let (routes, targets) = (self.bounds.routes_pace(), self.bounds.targets_pace());
        FeedPauses { routes: routes.pause, targets: targets.pause }
    }

    fn run(self: Box<Self>, own: PeerEntry, channels: FeedChannels) -> LocalFuture<'static, ()> {
        let (routes_pace, targets_pace) = (self.bounds.routes_pace(), self.bounds.targets_pace());
        let store = self.store;
        let faults = RowFaults::default;
        let rows = RolloutRows::new(Rc::clone(&store), channels.clone());
        let origins = OriginRows::new(Rc::clone(&store), own.name.clone(), channels.clone());
        let routes = RouteReader { store: Rc::clone(&store), faults: faults() };
        let targets = TargetReader { store: Rc::clone(&store), faults: faults() };
        let table = move |kind| store.open(kind);
        Box::pin(async move {
            let follow_routes = TableFollower::new(
                table(FleetTable::Routes),
                routes_pace,
                routes,
                channels.clone(),
            );
            let follow_targets = TableFollower::new(
                table(FleetTable::Targets),
                targets_pace,
                targets,
                channels.clone(),
            );
            let (own_row, found) = watch::channel(None);
            let peers = VmReader::new(&own, own_row);
            let follow_vms =
                TableFollower::new(table(FleetTable::Vms), VMS_PACE, peers, channels.clone());
            tokio::join!(
                follow_routes.run(),
                follow_targets.run(),
                follow_vms.run(),
                announce(table(FleetTable::Vms), &own, found, channels),
                rows.run(),
                origins.run(),
            );
        })
    }
}

/// Registers this VM by its row. A row of an earlier incarnation is kept if it is still correct:
/// all VMs follow the table, and restarting 70 VMs one by one would otherwise make each of them
/// read it 70 times. The VM then goes on with the key in that row, which only its peers can read.
async fn announce(
    mut table: Box<dyn StoreTable>,
    own: &PeerEntry,
    mut found: watch::Receiver<Option<FoundRow>>,
    channels: FeedChannels,
) {
    let Some(FoundRow { mut version, row: left }) = next_found(&mut found).await else { return };
    let mut row = VmRow {
        data_centre: own.data_centre.clone(),
        address: own.address,
        secret: own.secret,
        link: own.link,
        quarantines: StoredQuarantines::default(),
        versions: Vec::new(),
    };
    match left.filter(|left| left.is_of_same_vm(&row)) {
        Some(left) => {
            tracing::info!(event = "row-kept", step = "announce", version);
            // The gateway may be ending.
            let _ = channels.updates.send(FleetUpdate::OwnSecret(left.secret)).await;
            row = left;
        }
        None => version = write_row(&mut *table, own, version, &row).await,
    }
    OwnRow { table, own, version, row }.keep(found, channels).await;
}

/// Waits for the next read of the whole table and returns this VM's row in it, or `None` when the
/// feed has ended.
async fn next_found(found: &mut watch::Receiver<Option<FoundRow>>) -> Option<FoundRow> {
    found.changed().await.ok()?;
    found.borrow_and_update().clone()
}

/// This VM's own row, and how to keep the store's copy of it correct.
struct OwnRow<'a> {
    table: Box<dyn StoreTable>,
    own: &'a PeerEntry,
    version: u64,
    row: VmRow,
}

impl OwnRow<'_> {
    /// Writes the row again whenever the quarantines change, and when a read of the
    /// whole table shows another row than the one written, since the store was restored from a
    /// copy.
    async fn keep(
        mut self,
        mut found: watch::Receiver<Option<FoundRow>>,
        mut channels: FeedChannels,
    ) {
        loop {
            tokio::select! {
                changed = channels.quarantines.changed() => match changed {
                    Ok(()) => {
                        let kept = channels.quarantines.borrow_and_update().clone();
                        self.store_quarantines(kept).await;
                    }
                    // The gateway is ending.
                    Err(_) => return,
                },
                changed = channels.versions.changed() => match changed {
                    Ok(()) => {
                        let versions = channels.versions.borrow_and_update().clone();
                        self.store_versions(versions).await;
                    }
                    // The gateway is ending.
                    Err(_) => return,
                },
                found = next_found(&mut found) => match found {
                    Some(found) => self.rewrite_if_changed(found).await,
                    // The feed has ended.
                    None => return,
                },
            }
        }
    }

    async fn store_quarantines(&mut self, kept: Vec<StoredQuarantine>) {
        // A VM that has just started has restored its quarantines from this row.
        if !quarantine_monitor::must_write(&self.row.quarantines.0, &kept) {
            return;
        }
        tracing::info!(event = "quarantines-kept", step = "write", count = kept.len());
        self.row.quarantines = StoredQuarantines(kept);
        self.write().await;
    }

    async fn store_versions(&mut self, versions: Vec<ServiceVersions>) {
        if self.row.versions == versions {
            return;
        }
        tracing::info!(event = "versions-kept", step = "write", services = versions.len());
        self.row.versions = versions;
        self.write().await;
    }

    async fn rewrite_if_changed(&mut self, found: FoundRow) {
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

/// Writes this VM's row over the one of this version, and returns the version after that.
async fn write_row(table: &mut dyn StoreTable, own: &PeerEntry, version: u64, row: &VmRow) -> u64 {
    match serde_json::to_vec(row) {
        Ok(value) => table_follower::write_own_row(table, own.name.as_str(), version, &value).await,
        Err(error) => {
            tracing::error!(event = "announce-failed", step = "encode", reason = %error);
            version
        }
    }
}

/// This VM's own row, as found by a read of the whole table.
#[derive(Clone, Debug, Default)]
struct FoundRow {
    /// Its version; 0 for none.
    version: u64,
    /// Its content, if it can be decoded.
    row: Option<VmRow>,
}

struct RouteReader {
    store: Rc<dyn FleetStore>,
    faults: RowFaults,
}

impl RouteReader {
    /// Decodes the routes. If they cannot be decoded, the current ones stay in effect.
    fn decode(&mut self, row: &TableRow) -> Option<FleetUpdate> {
        match self.store.routes(row) {
            Ok(routes) => Some(FleetUpdate::Routes(Arc::new(routes?))),
            Err(error) => {
                self.faults.log_once(FleetTable::Routes, row, &error);
                None
            }
        }
    }

    fn decode_order(&mut self, row: &TableRow) -> Option<RolloutOrder> {
        self.store.order(row).unwrap_or_else(|error| {
            self.faults.log_once(FleetTable::Routes, row, &error);
            None
        })
    }
}

impl RowReader for RouteReader {
    /// Puts rollout orders first: requests are served as soon as routes are known, and a version
    /// under evaluation must be known as such by then.
    fn whole_table(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        let orders: Vec<RolloutOrder> =
            rows.iter().filter_map(|row| self.decode_order(row)).collect();
        let orders = (!orders.is_empty()).then_some(FleetUpdate::Orders(orders));
        let routes = rows.iter().find_map(|row| self.decode(row));
        orders.into_iter().chain(routes).collect()
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        self.whole_table(rows)
    }
}

struct TargetReader {
    store: Rc<dyn FleetStore>,
    faults: RowFaults,
}

/// The decoded rows of targets.
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
                    self.faults.log_once(FleetTable::Targets, row, &"the value is not bytes");
                    sorted.unreadable.push(name);
                }
                RowValue::Present(value) => match self.store.target(&row.key, value) {
                    Ok(entry) => sorted.entries.push(entry),
                    Err(error) => {
                        self.faults.log_once(FleetTable::Targets, row, &error);
                        sorted.unreadable.push(name);
                    }
                },
            }
        }
        sorted
    }
}

/// Returns the version of the newest change among `rows`; 0 when there are none.
fn newest(rows: &[TableRow]) -> u64 {
    rows.iter().map(|row| row.version).max().unwrap_or(0)
}

impl RowReader for TargetReader {
    fn whole_table(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
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

    fn source_lost(&mut self, lost: bool) -> Option<FleetUpdate> {
        let update = if lost { RegistryUpdate::SourceLost } else { RegistryUpdate::SourceBack };
        Some(FleetUpdate::Targets(update, 0))
    }

    fn restored(&mut self) -> Option<FleetUpdate> {
        Some(FleetUpdate::Targets(RegistryUpdate::SourceRestored, 0))
    }

    fn missing_entry_grace(&mut self, left: Duration) -> Option<FleetUpdate> {
        Some(FleetUpdate::Targets(RegistryUpdate::MissingEntryGrace(left), 0))
    }
}

struct VmReader {
    own: VmName,
    /// Receives this VM's own row after each read of the whole table.
    own_row: watch::Sender<Option<FoundRow>>,
    known: BTreeMap<String, PeerEntry>,
    faults: RowFaults,
}

impl VmReader {
    fn new(own: &PeerEntry, own_row: watch::Sender<Option<FoundRow>>) -> Self {
        Self {
            own: own.name.clone(),
            own_row,
            known: BTreeMap::new(),
            faults: RowFaults::default(),
        }
    }

    fn publish_own_row(&mut self, rows: &[TableRow]) {
        let own = rows.iter().find(|row| row.key == self.own.as_str());
        let found = own.map(|row| FoundRow {
            version: row.version,
            // A row that cannot be decoded is overwritten; the fault is logged in `changed`.
            row: row.value.bytes().and_then(|value| serde_json::from_slice(value).ok()),
        });
        self.own_row.send_replace(Some(found.unwrap_or_default()));
    }
}

impl RowReader for VmReader {
    fn whole_table(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        self.publish_own_row(&rows);
        self.known.clear();
        self.changed(rows)
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        for row in rows {
            let decoded = row.value.bytes().map(|value| serde_json::from_slice::<VmRow>(value));
            if let Some(Ok(VmRow { data_centre, address, secret, link, quarantines, versions })) =
                decoded
            {
                let (name, quarantines) = (row.key.as_str().into(), quarantines.0);
                let peer =
                    PeerEntry { name, data_centre, address, secret, link, quarantines, versions };
                self.known.insert(row.key, peer);
                continue;
            }
            self.known.remove(&row.key);
            if let Some(Err(error)) = decoded {
                self.faults.log_once(FleetTable::Vms, &row, &error);
            } else if row.value == RowValue::Unreadable {
                self.faults.log_once(FleetTable::Vms, &row, &"the value is not bytes");
            }
        }
        vec![FleetUpdate::Peers(self.known.values().cloned().collect())]
    }
}
