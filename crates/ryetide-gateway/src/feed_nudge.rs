//! Has the followers of the store's tables ask anew before they would by themselves.
//!
//! A call to the store may go silent though its connection stands, and a change that a peer passes on may be lost.
//! Digests show that others have news; what lacks them is asked for again, and nothing else: a call is paid for,
//! and when some news are late they are late at many VMs together.

use tokio::sync::Notify;

use crate::store_table::FleetTable;

/// A bell for each table.
#[derive(Debug, Default)]
pub struct FeedNudge {
    routes: Notify,
    targets: Notify,
    vms: Notify,
}

impl FeedNudge {
    /// Has the follower of a table ask anew, if it waits.
    pub fn ring(&self, table: FleetTable) {
        if let Some(bell) = self.bell(table) {
            bell.notify_waiters();
        }
    }

    /// Has all followers ask anew that wait.
    pub fn ring_all(&self) {
        for table in [FleetTable::Routes, FleetTable::Targets, FleetTable::Vms] {
            self.ring(table);
        }
    }

    /// Waits until the follower of a table should ask anew; without end for a table that nobody follows.
    pub async fn rung(&self, table: FleetTable) {
        match self.bell(table) {
            Some(bell) => bell.notified().await,
            None => std::future::pending().await,
        }
    }

    fn bell(&self, table: FleetTable) -> Option<&Notify> {
        match table {
            FleetTable::Routes => Some(&self.routes),
            FleetTable::Targets => Some(&self.targets),
            FleetTable::Vms => Some(&self.vms),
            FleetTable::RolloutWords | FleetTable::RolloutNotes => None,
        }
    }
}
