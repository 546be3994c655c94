//! Decides when a VM that lags behind its peers should query the store.
//!
//! A VM lags because of one of two faults: a call to the store hangs, or the datagram of a change
//! was lost. The peers' digests show both. They also show a lag that is no fault: watching VMs
//! pause after a change of targets, and those of different cells pause at different times. If that
//! lag counted as a fault, every series of changes would make each VM of a large fleet query all
//! its tables again and again.

use std::time::Duration;

use ryetide_core::peer_digests::FeedLag;

use crate::store_table::FleetTable;

/// The lag, beyond the pause of a table's followers, after which the table is queried: two digest
/// intervals and the time to relay digests. When all calls to the store hang, the VM that detects
/// it first thereby makes the others current within a second. Without this, of three VMs whose
/// calls hung together, two served requests with a replaced version for 2.8 s.
const LAG_TOLERANCE: Duration = Duration::from_millis(600);

/// How long this VM has lagged behind its peers in one table.
#[derive(Clone, Copy, Debug)]
struct TableLag {
    table: FleetTable,
    /// The number of consecutive checks that found it behind.
    checks: u32,
    /// The number of such checks after which the table is queried.
    limit: u32,
}

impl TableLag {
    fn new(table: FleetTable, pause: Duration, interval: Duration) -> Self {
        let checks = (pause + LAG_TOLERANCE).as_millis() / interval.as_millis().max(1);
        Self { table, checks: 0, limit: u32::try_from(checks).unwrap_or(u32::MAX).max(1) }
    }

    /// Records the result of one check. Returns whether to query the table: once the limit is
    /// reached, and again after each doubling of the lag.
    fn is_due(&mut self, behind: bool) -> bool {
        self.checks = if behind { self.checks + 1 } else { 0 };
        let times = self.checks / self.limit;
        self.checks.is_multiple_of(self.limit) && times.is_power_of_two()
    }
}

/// How long watching VMs pause after a change.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedPauses {
    /// After a change of the routes.
    pub routes: Duration,
    /// After a change of targets.
    pub targets: Duration,
}

/// Monitors, by checks at regular intervals, whether this VM lags behind its peers.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::peer_digests::FeedLag;
/// use ryetide_gateway::{lag_monitor::{FeedPauses, LagMonitor}, store_table::FleetTable};
///
/// let mut monitor = LagMonitor::new(FeedPauses::default(), Duration::from_millis(200));
/// let behind = FeedLag { routes: true, targets: false };
/// assert_eq!(monitor.due(behind), []);
/// assert_eq!(monitor.due(behind), []);
/// assert_eq!(monitor.due(behind), [FleetTable::Routes]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LagMonitor {
    routes: TableLag,
    targets: TableLag,
}

impl LagMonitor {
    /// Creates a monitor that gets the result of a check every `interval`.
    pub fn new(pauses: FeedPauses, interval: Duration) -> Self {
        Self {
            routes: TableLag::new(FleetTable::Routes, pauses.routes, interval),
            targets: TableLag::new(FleetTable::Targets, pauses.targets, interval),
        }
    }

    /// Records the result of one check. Returns the tables that should be queried.
    pub fn due(&mut self, behind: FeedLag) -> Vec<FleetTable> {
        let lags = [(&mut self.routes, behind.routes), (&mut self.targets, behind.targets)];
        let due =
            lags.into_iter().filter_map(|(lag, behind)| lag.is_due(behind).then_some(lag.table));
        due.collect()
    }
}
