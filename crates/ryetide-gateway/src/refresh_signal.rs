//! Signals the followers of the store's tables to query the store at once.
//!
//! A call to the store may hang on an open connection, and a relayed change may be lost. Digests
//! show that peers have newer data. Only the tables that lag are queried again, since each call has
//! a price, and late changes are late at many VMs together.
//!
//! A signal is kept until its follower has heeded it: one that pauses when it is given would
//! otherwise go on to call on the connection that hangs.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::store_table::FleetTable;

/// The signals given for one table.
#[derive(Debug, Default)]
struct TableSignal {
    count: Cell<u64>,
    given: Notify,
}

impl TableSignal {
    fn give(&self) {
        self.count.set(self.count.get() + 1);
        self.given.notify_waiters();
    }

    async fn given_after(&self, count: u64) {
        loop {
            let given = self.given.notified();
            if self.count.get() > count {
                return;
            }
            given.await;
        }
    }
}

/// A signal for each table.
#[derive(Debug, Default)]
pub struct RefreshSignal {
    routes: TableSignal,
    targets: TableSignal,
    vms: TableSignal,
}

impl RefreshSignal {
    /// Makes the follower of a table query the store at once, on a new connection.
    pub fn notify(&self, table: FleetTable) {
        if let Some(signal) = self.signal(table) {
            signal.give();
        }
    }

    /// Makes all followers query the store at once.
    pub fn notify_all(&self) {
        for table in [FleetTable::Routes, FleetTable::Targets, FleetTable::Vms] {
            self.notify(table);
        }
    }

    /// Returns the number of signals given for a table.
    pub fn count(&self, table: FleetTable) -> u64 {
        self.signal(table).map_or(0, |signal| signal.count.get())
    }

    /// Waits until more than `heeded` signals have been given for a table. Never completes for a
    /// table without a follower.
    pub async fn given_after(&self, table: FleetTable, heeded: u64) {
        match self.signal(table) {
            Some(signal) => signal.given_after(heeded).await,
            None => std::future::pending().await,
        }
    }

    fn signal(&self, table: FleetTable) -> Option<&TableSignal> {
        match table {
            FleetTable::Routes => Some(&self.routes),
            FleetTable::Targets => Some(&self.targets),
            FleetTable::Vms => Some(&self.vms),
            FleetTable::RolloutWords | FleetTable::RolloutNotes | FleetTable::StreamOrigins => None,
        }
    }
}
