//! Selects which VMs watch the source of routes and targets, and which rely on the watching VMs'
//! updates.
//!
//! A watching VM keeps a call open at the source, which answers it at every change, and each call
//! is billed. In a large deployment only [`WATCHER_COUNT`] VMs of each cell therefore watch. They
//! forward each change at once to the passive VMs of the cell.
//!
//! There is no election and no storage: each VM determines from the digests of its cell's VMs
//! whether it is among the first in the order of [`WatchOrder`]. A watching VM that becomes silent,
//! leaves or loses the source no longer counts, and the next in order starts to watch within
//! [`WATCH_SPAN`]. VMs whose views of the cell differ for a moment may both watch, which costs
//! extra calls. A passive VM that has missed a change sees so from the next digest and reads the
//! source itself.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{digest_route::RELAY_LINK, ids::VmName, units::LinkRate};

/// The number of watching VMs in a cell. If a single one died or froze, the others would get no
/// updates until its digests are missed.
pub const WATCHER_COUNT: usize = 2;
/// A peer counts as watching while its last digest is younger than this: the longest interval
/// between two full digests twice, and a margin. It is less than half of the 2 s within which a
/// change must be in force everywhere.
pub const WATCH_SPAN: Duration = Duration::from_millis(900);

/// How far a VM has read one table, in the numbers that the table's source gives to changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FeedPosition {
    /// The number of the newest change.
    pub changed: u64,
    /// The number up to which the table has no other changes.
    pub reached: u64,
}

/// What a watching VM reports to its peers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReport {
    /// The position in the operators' routes.
    pub routes: FeedPosition,
    /// The position in the targets.
    pub targets: FeedPosition,
}

/// The order in which the VMs of a cell are selected to watch.
///
/// VMs with fast links go first. A watching VM sends each change to every peer of its cell in a
/// separate datagram, and the routes alone can be 13 KB: for forty peers, half a megabyte. A slow
/// link loses most of these datagrams, and as many VMs get the routes half a second later and with
/// a call of their own to the source.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchOrder {
    fast: BTreeSet<VmName>,
}

impl WatchOrder {
    /// Creates an order in which VMs with links fast enough for a cell's updates go first.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::{ids::VmName, units::LinkRate, watcher_selection::{WATCHER_COUNT, WatchOrder}};
    ///
    /// let names: Vec<VmName> = ["e1", "e2", "e3", "e4"].map(VmName::from).into();
    /// let order = WatchOrder::new([(names[2].clone(), LinkRate(1_000))]);
    /// let is_first = |own: &&VmName| order.is_first(own, names.iter().filter(|it| it != own));
    /// assert!(is_first(&&names[2]));
    /// assert_eq!(names.iter().filter(is_first).count(), WATCHER_COUNT);
    /// ```
    pub fn new(vms: impl IntoIterator<Item = (VmName, LinkRate)>) -> Self {
        let fast = vms.into_iter().filter(|(_, link)| *link >= RELAY_LINK);
        Self { fast: fast.map(|(vm, _)| vm).collect() }
    }

    /// Returns whether `own` is among the first VMs of its cell that can watch. `watching` are the
    /// reachable peers that do.
    pub fn is_first<'a>(&self, own: &VmName, watching: impl Iterator<Item = &'a VmName>) -> bool {
        let own_rank = self.rank(own);
        watching.filter(|vm| self.rank(vm) < own_rank).count() < WATCHER_COUNT
    }

    fn rank(&self, vm: &VmName) -> (bool, u64) {
        (!self.fast.contains(vm), xxh3::xxh3_64(vm.as_str().as_bytes()))
    }
}
