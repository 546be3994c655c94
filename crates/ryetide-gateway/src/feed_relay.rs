//! Changes of the store's tables, passed on from the VMs that watch it to those that rest on them.
//!
//! [`ryetide_core::watcher_selection`] decides who watches. What is passed on are the rows themselves, so that every VM
//! decodes them as if it had asked. Each change tells from which version it follows: a VM that has missed one
//! asks the store. The same serves a VM that has lost the store while its peers have not.

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

/// Changes that wait to be sent or taken; a burst of more is made good by asking the store.
const CHANGES_BUFFERED: usize = 64;
/// The most bytes of rows that are passed on in one datagram: today's routes, with their keys, stay below it.
/// Told to seven mates it fills a link of 10 Mbit/s for 0.14 s. A larger change is only told of.
const ROWS_LIMIT: usize = 24_576;

/// A change of one table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedChange {
    /// The table.
    pub table: FleetTable,
    /// The version of the change before: what follows is all that a VM lacks that knows the table as of this
    /// version or a later one.
    pub after: u64,
    /// The version up to which there is no other change.
    pub reached: u64,
    /// For how long yet rows may be missing of targets that live, because the VM that tells had lost the store. A
    /// time left and not whether, so that the doubt ends everywhere when it ends there.
    pub doubt: Duration,
    /// The rows that have changed; nothing where there are too many to be passed on.
    pub rows: Option<Vec<TableRow>>,
}

impl RelayedChange {
    /// Leaves rows out that are too large to be passed on.
    fn bounded(mut self) -> Self {
        let size = |row: &TableRow| row.key.len() + row.value.bytes().map_or(0, Bytes::len);
        self.rows = self.rows.filter(|rows| rows.iter().map(size).sum::<usize>() <= ROWS_LIMIT);
        self
    }
}

/// What joins the feed's followers to the peers.
pub struct FeedRelay {
    duty: watch::Sender<bool>,
    heard: broadcast::Sender<Rc<RelayedChange>>,
    told: mpsc::Sender<RelayedChange>,
    /// How far the peers that watch have come.
    peers: Cell<WatchReport>,
    /// How far this VM's own watch has come; nothing of a table that it does not watch.
    own_routes: Cell<Option<FeedPosition>>,
    own_targets: Cell<Option<FeedPosition>>,
    outage: StoreOutage,
    /// The latest era of the store that any table was read in.
    era: Cell<u64>,
}

impl FeedRelay {
    /// Creates a relay, and the end from which the changes to be passed on are taken. The VM watches until it
    /// is told to rest.
    pub fn new() -> (Rc<Self>, mpsc::Receiver<RelayedChange>) {
        let (told, receiver) = mpsc::channel(CHANGES_BUFFERED);
        let relay = Self {
            duty: watch::Sender::new(true),
            heard: broadcast::Sender::new(CHANGES_BUFFERED),
            told,
            peers: Cell::default(),
            own_routes: Cell::default(),
            own_targets: Cell::default(),
            outage: StoreOutage::default(),
            era: Cell::new(0),
        };
        (Rc::new(relay), receiver)
    }

    /// Tells the followers whether this VM must watch; returns whether that is new.
    pub fn set_duty(&self, must_watch: bool) -> bool {
        self.duty.send_if_modified(|duty| std::mem::replace(duty, must_watch) != must_watch)
    }

    /// Returns whether this VM must watch, as it changes.
    pub fn duty(&self) -> watch::Receiver<bool> {
        self.duty.subscribe()
    }

    /// Returns what joins this VM's followers while the store is away.
    pub fn outage(&self) -> &StoreOutage {
        &self.outage
    }

    /// Notes the era of a version that was read.
    pub fn note_era(&self, version: u64) {
        self.era.set(self.era.get().max(EraVersion::from_packed(version).era));
    }

    /// Returns whether a version is of an era before the store came back from a copy. Asked for changes since, the store
    /// would not know that, and wait for one.
    pub fn is_of_past(&self, version: u64) -> bool {
        EraVersion::from_packed(version).era < self.era.get()
    }

    /// Takes a change that a peer has passed on.
    pub fn hear(&self, change: RelayedChange) {
        // Without followers there is nobody to tell.
        let _ = self.heard.send(Rc::new(change));
    }

    /// Returns the changes that peers pass on from now.
    pub fn heard(&self) -> broadcast::Receiver<Rc<RelayedChange>> {
        self.heard.subscribe()
    }

    /// Notes how far a peer's watch has come.
    pub fn note_peer(&self, note: &WatchReport) {
        let mut peers = self.peers.get();
        peers.routes = peers.routes.max(note.routes);
        peers.targets = peers.targets.max(note.targets);
        self.peers.set(peers);
    }

    /// Returns how far the peers that watch a table have come.
    pub fn peer_mark(&self, table: FleetTable) -> FeedPosition {
        match table {
            FleetTable::Routes => self.peers.get().routes,
            FleetTable::Targets => self.peers.get().targets,
            FleetTable::Vms | FleetTable::RolloutWords | FleetTable::RolloutNotes => {
                FeedPosition::default()
            }
        }
    }

    /// Notes how far this VM's own watch of a table has come; nothing when it does not watch it.
    pub fn note_own(&self, table: FleetTable, mark: Option<FeedPosition>) {
        match table {
            FleetTable::Routes => self.own_routes.set(mark),
            FleetTable::Targets => self.own_targets.set(mark),
            FleetTable::Vms | FleetTable::RolloutWords | FleetTable::RolloutNotes => {}
        }
    }

    /// Returns what peers are told of this VM's watch.
    pub fn watch_note(&self) -> Option<WatchReport> {
        Some(WatchReport { routes: self.own_routes.get()?, targets: self.own_targets.get()? })
    }

    /// Passes a change on.
    pub fn tell(&self, change: RelayedChange) {
        let table = change.table;
        if let Err(error) = self.told.try_send(change.bounded()) {
            // The peers see by the next digest that they lack it.
            tracing::debug!(event = "change-untold", ?table, reason = %error);
        }
    }
}
