//! Which VMs hold calls open at the source of routes and targets, and which rest on what those tell.
//!
//! Each open call is answered at every change, and is paid for: 71 VMs that all followed two tables made
//! 3,000 calls in a calm minute and 7,300 in one in which targets came and went, 0.03 to 0.04 of all worth.
//! So in a large deployment [`WATCHER_COUNT`] VMs of each cell watch, and tell their mates each change as it
//! comes. Nobody is elected and nothing is stored: every VM works out from its mates' digests whether it is
//! among the first by a hash. One that watches and falls silent, is leaving, or has lost the source counts no
//! more, and the next in order watches within [`WATCH_SPAN`]. Two VMs that see their cell differently for a
//! moment watch both, which costs calls; a mate that has missed a change sees it in the next digest and asks
//! the source itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids::VmName;

/// VMs of a cell that watch: with one, its death or freeze would leave its mates without news until they
/// miss its digests.
pub const WATCHER_COUNT: usize = 2;
/// A mate that was not heard for this long does not count as watching: two of the slowest digests and some.
/// It is under half of the time within which a change must be in force everywhere, 2 s.
pub const WATCH_SPAN: Duration = Duration::from_millis(900);

/// How far a VM's knowledge of one table reaches, as the table's source numbers changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FeedMark {
    /// The number of the newest change.
    pub changed: u64,
    /// The number up to which the table has no other change.
    pub reached: u64,
}

/// What a VM that watches tells its peers of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchNote {
    /// The operators' routes.
    pub routes: FeedMark,
    /// The targets.
    pub targets: FeedMark,
}

/// Returns whether `own` is among the first of those of its cell that can watch. `watching` are the mates
/// that do and are heard.
///
/// # Example
///
/// ```
/// use ryetide_core::{ids::VmName, watch_duty};
///
/// let names: Vec<VmName> = ["e1", "e2", "e3", "e4"].map(VmName::from).into();
/// let is_first = |own: &&VmName| watch_duty::is_first(own, names.iter().filter(|it| it != own));
/// assert_eq!(names.iter().filter(is_first).count(), watch_duty::WATCHER_COUNT);
/// ```
pub fn is_first<'a>(own: &VmName, watching: impl Iterator<Item = &'a VmName>) -> bool {
    let order = |vm: &VmName| xxh3::xxh3_64(vm.as_str().as_bytes());
    let own_order = order(own);
    watching.filter(|vm| order(vm) < own_order).count() < WATCHER_COUNT
}
