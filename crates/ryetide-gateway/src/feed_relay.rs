//! Relays changes of the store's tables from watching VMs to passive ones.
//!
//! [`ryetide_core::watcher_selection`] selects the watching VMs. They relay the rows themselves, so
//! that every VM decodes them as if it had read them from the store. Each change carries the
//! version that it follows, so that a VM which has missed one notices and queries the store. A VM
//! that has lost the store while its peers have not receives changes in the same way.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use ryetide_core::{
    era_version::EraVersion,
    watcher_selection::{FeedPosition, WatchReport},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, mpsc, watch};

use crate::{
    store_outage::StoreOutage,
    store_table::{FleetTable, TableRow},
};

/// The number of changes buffered for sending or receiving. If more arrive at once, the VMs that
/// miss some query the store.
const CHANGES_BUFFERED: usize = 64;
/// The limit of bytes of rows in one relayed datagram. Current routes, with their keys, stay below
/// it. Sending as much to seven peers in the cell fills a link of 10 Mbit/s for 0.14 s. Of a larger
/// change only the version is relayed.
const ROWS_LIMIT: usize = 24_576;

/// A change of one table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedChange {
    /// The table.
    pub table: FleetTable,
    /// The version of the previous change. A VM that knows the table as of this version or a later
    /// one lacks no other change.
    pub after: u64,
    /// The version up to which there is no other change.
    pub reached: u64,
    /// The rest of the grace period in which rows of live targets may be missing, because the
    /// sender had lost the store. It is a remaining time rather than a flag, so that the period
    /// ends at all VMs together.
    pub grace_left: Duration,
    /// The rows that have changed, or `None` if they are too large to be relayed.
    pub rows: Option<Vec<TableRow>>,
}

impl RelayedChange {
    /// Omits the rows if they are too large to be relayed.
    fn bounded(mut self) -> Self {
        let size = |row: &TableRow| row.key.len() + row.value.bytes().map_or(0, Bytes::len);
        self.rows = self.rows.filter(|rows| rows.iter().map(size).sum::<usize>() <= ROWS_LIMIT);
        self
    }
}

/// Connects the followers of this VM's feed with its peers.
pub struct FeedRelay {
    must_watch: watch::Sender<bool>,
    received: broadcast::Sender<Rc<RelayedChange>>,
    outgoing: mpsc::Sender<RelayedChange>,
    /// The highest positions that watching peers report.
    peers: Cell<WatchReport>,
    /// The position of this VM in each table; `None` if it does not watch the table.
    own_routes: Cell<Option<FeedPosition>>,
    own_targets: Cell<Option<FeedPosition>>,
    outage: StoreOutage,
    /// The latest era of the store in which any table was read.
    era: Cell<u64>,
}

impl FeedRelay {
    /// Creates a relay, and the receiver of the changes to send to peers. The VM watches the store
    /// until [`Self::set_must_watch`] makes it passive.
    pub fn new() -> (Rc<Self>, mpsc::Receiver<RelayedChange>) {
        let (outgoing, receiver) = mpsc::channel(CHANGES_BUFFERED);
        let relay = Self {
            must_watch: watch::Sender::new(true),
            received: broadcast::Sender::new(CHANGES_BUFFERED),
            outgoing,
            peers: Cell::default(),
            own_routes: Cell::default(),
            own_targets: Cell::default(),
            outage: StoreOutage::default(),
            era: Cell::new(0),
        };
        (Rc::new(relay), receiver)
    }

    /// Sets whether this VM must watch the store. Returns whether that has changed.
    pub fn set_must_watch(&self, must_watch: bool) -> bool {
        self.must_watch
            .send_if_modified(|current| std::mem::replace(current, must_watch) != must_watch)
    }

    /// Returns a receiver of whether this VM must watch the store.
    pub fn must_watch(&self) -> watch::Receiver<bool> {
        self.must_watch.subscribe()
    }

    /// Returns the outage state that this VM's followers share.
    pub fn outage(&self) -> &StoreOutage {
        &self.outage
    }

    /// Records the era of a version that was read.
    pub fn record_era(&self, version: u64) {
        self.era.set(self.era.get().max(EraVersion::from_packed(version).era));
    }

    /// Returns whether a version is of an era before the store was restored from a copy. The store
    /// could not recognise such a version in a call for later changes, and would wait.
    pub fn is_from_past_era(&self, version: u64) -> bool {
        EraVersion::from_packed(version).era < self.era.get()
    }

    /// Passes a change received from a peer to the followers.
    pub fn receive(&self, change: RelayedChange) {
        // Sending fails only when there are no followers.
        let _ = self.received.send(Rc::new(change));
    }

    /// Returns a receiver of the changes that peers relay from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<Rc<RelayedChange>> {
        self.received.subscribe()
    }

    /// Records the positions that a watching peer reports.
    pub fn record_peer_report(&self, report: &WatchReport) {
        let mut peers = self.peers.get();
        peers.routes = peers.routes.max(report.routes);
        peers.targets = peers.targets.max(report.targets);
        self.peers.set(peers);
    }

    /// Returns the highest position in a table that watching peers report.
    pub fn peer_position(&self, table: FleetTable) -> FeedPosition {
        match table {
            FleetTable::Routes => self.peers.get().routes,
            FleetTable::Targets => self.peers.get().targets,
            FleetTable::Vms
            | FleetTable::RolloutWords
            | FleetTable::RolloutNotes
            | FleetTable::StreamOrigins => FeedPosition::default(),
        }
    }

    /// Sets the position of this VM in a table; `None` if it does not watch the table.
    pub fn set_own_position(&self, table: FleetTable, position: Option<FeedPosition>) {
        match table {
            FleetTable::Routes => self.own_routes.set(position),
            FleetTable::Targets => self.own_targets.set(position),
            FleetTable::Vms
            | FleetTable::RolloutWords
            | FleetTable::RolloutNotes
            | FleetTable::StreamOrigins => {}
        }
    }

    /// Returns this VM's report to peers, or `None` if it does not watch all tables.
    pub fn watch_report(&self) -> Option<WatchReport> {
        Some(WatchReport { routes: self.own_routes.get()?, targets: self.own_targets.get()? })
    }

    /// Queues a change to be sent to peers.
    pub fn send(&self, change: RelayedChange) {
        let table = change.table;
        if let Err(error) = self.outgoing.try_send(change.bounded()) {
            // The next digest shows the peers that they lack the change.
            tracing::debug!(event = "change-untold", ?table, reason = %error);
        }
    }
}
