//! Which VMs hold calls open at the source of routes and targets, and which rest on what those tell.
//!
//! Each open call is answered at every change, and is paid for: 71 VMs that all followed two tables made
//! 3,000 calls in a calm minute and 7,300 in one in which targets came and went, 0.03 to 0.04 of all worth.
//! So in a large deployment [`WATCHER_COUNT`] VMs of each cell watch, and tell their mates each change as it
//! comes. Nobody is elected and nothing is stored: every VM works out from its mates' digests whether it is
//! among the first, in the order of [`WatchOrder`]. One that watches and falls silent, is leaving, or has lost
//! the source counts no more, and the next in order watches within [`WATCH_SPAN`]. Two VMs that see their cell
//! differently for a moment watch both, which costs calls; a mate that has missed a change sees it in the next
//! digest and asks the source itself.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{digest_route::RELAY_LINK, ids::VmName, units::LinkRate};

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

/// The order in which the VMs of a cell watch.
///
/// Whoever watches tells all mates each change in a datagram of its own, and today's routes are 13 KB: told to forty
/// mates, half a megabyte. Over links of 20 Mbit/s two thirds of the datagrams were lost, and as many VMs had the
/// routes half a second later and with a call of their own to the store; over links of 200 Mbit/s none was.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchOrder {
    fast: BTreeSet<VmName>,
}

impl WatchOrder {
    /// Creates the order in which those go first whose links can carry what a cell is told.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::{ids::VmName, units::LinkRate, watch_duty::{WATCHER_COUNT, WatchOrder}};
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

    /// Returns whether `own` is among the first of those of its cell that can watch. `watching` are the mates that
    /// do and are heard.
    pub fn is_first<'a>(&self, own: &VmName, watching: impl Iterator<Item = &'a VmName>) -> bool {
        let own_place = self.place(own);
        watching.filter(|vm| self.place(vm) < own_place).count() < WATCHER_COUNT
    }

    fn place(&self, vm: &VmName) -> (bool, u64) {
        (!self.fast.contains(vm), xxh3::xxh3_64(vm.as_str().as_bytes()))
    }
}
