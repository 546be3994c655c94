//! One table asks for all while the store is away.
//!
//! Each table is followed on its own. While the store was away for 3.5 s, 71 VMs that tried again for each of
//! three tables made 5,000 calls, two thirds of a day's; the store answers for all tables or for none.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::store_table::FleetTable;

/// Which table's follower asks whether the store is back.
#[derive(Debug, Default)]
pub struct StoreOutage {
    asking: Cell<Option<FleetTable>>,
    back: Notify,
}

impl StoreOutage {
    /// Returns whether a table whose call has failed is the one to ask on: the first that failed is.
    pub fn must_ask(&self, table: FleetTable) -> bool {
        let asking = self.asking.get().unwrap_or(table);
        self.asking.set(Some(asking));
        asking == table
    }

    /// Returns whether some table's last call has failed.
    pub fn is_away(&self) -> bool {
        self.asking.get().is_some()
    }

    /// Notes that the store has answered.
    pub fn end(&self) {
        if self.asking.take().is_some() {
            self.back.notify_waiters();
        }
    }

    /// Waits until the store has answered.
    pub async fn ended(&self) {
        self.back.notified().await;
    }
}
