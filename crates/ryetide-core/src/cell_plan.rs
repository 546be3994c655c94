//! Divides entry VMs and targets into cells, within which VMs send each other full digests.
//!
//! If every VM sent every change to every peer, the number of messages would grow with the square
//! of the number of VMs. At 8 VMs that costs a hundredth of a core, at 70 more than a small VM has.
//! Above [`SINGLE_CELL_LIMIT`] VMs, the VMs of a data centre are therefore divided into cells of about
//! [`CELL_SIZE`], and its targets with them. The VMs of a cell share its targets as a small
//! deployment would, and send VMs outside the cell only brief digests.
//!
//! Where VMs outnumber targets, cells have more VMs, so that each cell keeps [`CELL_TARGETS`]
//! targets; at the extreme, a data centre is one cell. A target is then always used by VMs that
//! report their whole load on it to each other. Targets that all VMs use while each VM knows the
//! load of only a few others are overloaded, and requests wait inside the engines, where neither
//! urgency nor fairness orders them.
//!
//! Cells need no coordination and no storage: each VM computes its cell from the VMs that it
//! receives digests from and the targets that it knows. VMs whose views differ for a moment may use
//! a target from two cells, which degrades scheduling quality, never safety.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::{
    ids::{DataCentreName, ServiceName, TargetKey, VmName},
    target_load::TargetEntry,
};

/// The largest number of VMs that form a single cell.
pub const SINGLE_CELL_LIMIT: usize = 12;
/// The number of VMs in a cell where there are targets enough: large enough to even out differences
/// between the VMs' callers, small enough that the digests of each VM cost the others little.
pub const CELL_SIZE: usize = 8;
/// The least number of targets in a cell, counted for the service with the most targets. With
/// fewer, one long answer or one slow target takes up a large part of the cell's capacity.
pub const CELL_TARGETS: usize = 10;
/// The least number of targets per cell for a service to be divided among the cells. A service with
/// fewer is shared by all cells, because the few targets of one cell could be full while those of
/// another are idle.
const MIN_TARGETS_PER_CELL: usize = 4;

/// An entry VM, as far as the division into cells is concerned.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CellMember {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

/// The division into cells as one VM sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellPlan {
    /// The other VMs of this VM's cell; none when all VMs form a single cell.
    cell_peers: Option<BTreeSet<VmName>>,
    /// This VM's data centre.
    data_centre: DataCentreName,
    /// The number of cells in each data centre.
    cells: BTreeMap<DataCentreName, usize>,
    /// The index of this VM's cell among those of its data centre.
    own_cell: usize,
}

impl CellPlan {
    /// Computes the cells of `own` and the reachable `others`, which serve `targets`.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::cell_plan::{CellMember, CellPlan};
    ///
    /// let member = |name: &str| CellMember { name: name.into(), data_centre: "hall-a".into() };
    /// let plan = CellPlan::new(&member("e1"), &[member("e2")], &[]);
    /// assert!(plan.is_cell_peer(&"e2".into()));
    /// ```
    pub fn new(own: &CellMember, others: &[CellMember], targets: &[&TargetEntry]) -> Self {
        let data_centre = own.data_centre.clone();
        if others.len() < SINGLE_CELL_LIMIT {
            return Self { cell_peers: None, data_centre, cells: BTreeMap::new(), own_cell: 0 };
        }
        let mut sizes: BTreeMap<DataCentreName, usize> = BTreeMap::new();
        for member in others.iter().chain([own]) {
            *sizes.entry(member.data_centre.clone()).or_default() += 1;
        }
        let most_targets = most_targets(targets);
        let cell_count = |(centre, size): (DataCentreName, usize)| {
            let by_size = (size + CELL_SIZE / 2) / CELL_SIZE;
            // Without known targets there is nothing to share, and the number of VMs alone decides.
            let by_targets = most_targets.get(&centre).map_or(by_size, |most| most / CELL_TARGETS);
            (centre, by_size.min(by_targets).max(1))
        };
        let cells: BTreeMap<_, _> = sizes.into_iter().map(cell_count).collect();
        let count = cells.get(&data_centre).copied().unwrap_or(1);
        let near = others.iter().chain([own]).filter(|it| it.data_centre == data_centre);
        let mut names: Vec<&VmName> = near.map(|member| &member.name).collect();
        names.sort_by_key(|name| xxh3::xxh3_64(name.as_str().as_bytes()));
        let cell_of = |index: usize| index * count / names.len();
        let own_index = names.iter().position(|name| **name == own.name).unwrap_or(0);
        let own_cell = cell_of(own_index);
        let of_cell = names.iter().enumerate().filter(|(index, _)| cell_of(*index) == own_cell);
        let cell_peers = of_cell.map(|(_, name)| (*name).clone()).filter(|name| *name != own.name);
        Self { cell_peers: Some(cell_peers.collect()), data_centre, cells, own_cell }
    }

    /// Returns whether the VMs are divided into cells.
    pub fn is_partitioned(&self) -> bool {
        self.cell_peers.is_some()
    }

    /// Returns whether a VM is in the same cell, and so receives full digests.
    pub fn is_cell_peer(&self, name: &VmName) -> bool {
        self.cell_peers.as_ref().is_none_or(|cell_peers| cell_peers.contains(name))
    }

    /// Returns whether a service's targets are divided among the cells; otherwise all VMs use all
    /// of them.
    pub fn partitions(&self, service: &[&TargetEntry]) -> bool {
        let all_cells: usize = self.cells.values().sum();
        self.cell_peers.is_some() && service.len() >= all_cells * MIN_TARGETS_PER_CELL
    }

    /// Returns those of a service's targets that this VM's cell uses.
    ///
    /// The targets of a data centre without VMs are divided among all cells.
    pub fn targets(&self, service: &[&TargetEntry]) -> Vec<TargetKey> {
        let key = |entry: &&TargetEntry| entry.key();
        if !self.partitions(service) {
            return service.iter().map(key).collect();
        }
        let all_cells: usize = self.cells.values().sum();
        let near = service.iter().filter(|entry| entry.data_centre == self.data_centre);
        let count = self.cells.get(&self.data_centre).copied().unwrap_or(1);
        let mut own = keys_of_cell(near.map(key).collect(), count, self.own_cell);
        let orphans = service.iter().filter(|entry| !self.cells.contains_key(&entry.data_centre));
        let before: usize = self.cells.range(..&self.data_centre).map(|(_, cells)| cells).sum();
        own.extend(keys_of_cell(orphans.map(key).collect(), all_cells, before + self.own_cell));
        if own.is_empty() { service.iter().map(key).collect() } else { own }
    }
}

/// Returns for each data centre the number of targets of the service that has the most there.
fn most_targets(targets: &[&TargetEntry]) -> BTreeMap<DataCentreName, usize> {
    let mut counts: BTreeMap<(&DataCentreName, &ServiceName), usize> = BTreeMap::new();
    for entry in targets {
        *counts.entry((&entry.data_centre, &entry.service)).or_default() += 1;
    }
    let mut most: BTreeMap<DataCentreName, usize> = BTreeMap::new();
    for ((centre, _), count) in counts {
        let known = most.entry(centre.clone()).or_default();
        *known = count.max(*known);
    }
    most
}

/// Returns the targets of `cell` when `keys` are divided among `count` cells. When a target is
/// added or removed, the boundary between two neighbouring cells moves by at most one target.
fn keys_of_cell(mut keys: Vec<TargetKey>, count: usize, cell: usize) -> Vec<TargetKey> {
    keys.sort_by_key(|key| xxh3::xxh3_64(&key.0.to_le_bytes()));
    let length = keys.len();
    let indexed = keys.into_iter().enumerate();
    indexed.filter(|(index, _)| index * count / length == cell).map(|(_, key)| key).collect()
}
