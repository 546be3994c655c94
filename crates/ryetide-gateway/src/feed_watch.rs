//! When a VM that lacks news which its peers have should ask for them.
//!
//! Answers two faults: a call to the store that has gone silent, and a change whose datagram was lost. Both show in
//! the peers' digests, and so does a third thing that is no fault: VMs that watch the store pause after a change of
//! targets, and those of another cell began their pause at another moment. Taken for a fault, each series of changes
//! had every VM of a large fleet ask for all its tables again and again.

use std::time::Duration;

use ryetide_core::peer_digests::FeedLag;

use crate::store_table::FleetTable;

/// How long after the pause that a table's followers make news may be late before they are asked for: two digests
/// and what relaying them takes. After a silence of all calls to the store, the VM that finds out first brings the
/// others in force within a second; without this, of three VMs whose calls had gone silent together two served by a
/// replaced version for 2.8 s.
const LATENESS: Duration = Duration::from_millis(600);

/// For how long this VM has lacked news of one table that peers have.
#[derive(Clone, Copy, Debug)]
struct TableLag {
    table: FleetTable,
    /// Looks in a row that found it behind.
    looks: u32,
    /// Looks after which the table is asked for.
    patience: u32,
}

impl TableLag {
    fn new(table: FleetTable, pause: Duration, interval: Duration) -> Self {
        let looks = (pause + LATENESS).as_millis() / interval.as_millis().max(1);
        Self { table, looks: 0, patience: u32::try_from(looks).unwrap_or(u32::MAX).max(1) }
    }

    /// Takes what one look has found; returns whether to ask: after the patience, and each time that twice as long
    /// has brought nothing.
    fn is_due(&mut self, behind: bool) -> bool {
        self.looks = if behind { self.looks + 1 } else { 0 };
        let times = self.looks / self.patience;
        self.looks.is_multiple_of(self.patience) && times.is_power_of_two()
    }
}

/// The pauses that the VMs which watch make after a change.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedPauses {
    /// After a change of the routes.
    pub routes: Duration,
    /// After a change of targets.
    pub targets: Duration,
}

/// Looks at regular intervals whether peers have news that have not come here.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::peer_digests::FeedLag;
/// use ryetide_gateway::{feed_watch::{FeedPauses, FeedWatch}, store_table::FleetTable};
///
/// let mut watch = FeedWatch::new(FeedPauses::default(), Duration::from_millis(200));
/// let behind = FeedLag { routes: true, targets: false };
/// assert_eq!(watch.due(behind), []);
/// assert_eq!(watch.due(behind), []);
/// assert_eq!(watch.due(behind), [FleetTable::Routes]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FeedWatch {
    routes: TableLag,
    targets: TableLag,
}

impl FeedWatch {
    /// Creates a watch that is told what a look found once each `interval`.
    pub fn new(pauses: FeedPauses, interval: Duration) -> Self {
        Self {
            routes: TableLag::new(FleetTable::Routes, pauses.routes, interval),
            targets: TableLag::new(FleetTable::Targets, pauses.targets, interval),
        }
    }

    /// Takes what one look has found; returns the tables that should be asked for anew.
    pub fn due(&mut self, behind: FeedLag) -> Vec<FleetTable> {
        let lags = [(&mut self.routes, behind.routes), (&mut self.targets, behind.targets)];
        let due =
            lags.into_iter().filter_map(|(lag, behind)| lag.is_due(behind).then_some(lag.table));
        due.collect()
    }
}
