//! Signals the followers of the store's tables to query the store at once.
//!
//! A call to the store may hang on an open connection, and a relayed change may be lost. Digests
//! show that peers have newer data. Only the tables that lag are queried again, since each call has
//! a price, and late changes are late at many VMs together.

use tokio::sync::Notify;

use crate::store_table::FleetTable;

/// A signal for each table.
#[derive(Debug, Default)]
pub struct RefreshSignal {
    routes: Notify,
    targets: Notify,
    vms: Notify,
}

impl RefreshSignal {
    /// Makes the follower of a table query the store at once, if it is waiting.
    pub fn notify(&self, table: FleetTable) {
        if let Some(signal) = self.signal(table) {
            signal.notify_waiters();
        }
    }

    /// Makes all waiting followers query the store at once.
    pub fn notify_all(&self) {
        for table in [FleetTable::Routes, FleetTable::Targets, FleetTable::Vms] {
            self.notify(table);
        }
    }

    /// Waits for the signal to query a table. Never completes for a table without a follower.
    pub async fn notified(&self, table: FleetTable) {
        match self.signal(table) {
            Some(signal) => signal.notified().await,
            None => std::future::pending().await,
        }
    }

    fn signal(&self, table: FleetTable) -> Option<&Notify> {
        match table {
            FleetTable::Routes => Some(&self.routes),
            FleetTable::Targets => Some(&self.targets),
            FleetTable::Vms => Some(&self.vms),
            FleetTable::RolloutWords | FleetTable::RolloutNotes => None,
        }
    }
}
