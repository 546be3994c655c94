//! Which entry VMs tell each other everything, and which targets they share.
//!
//! Telling every peer of every change costs messages in the square of the number of VMs: at 8 VMs a
//! part in a hundred of a core, at 70 more than a small VM has. Above [`WHOLE_LIMIT`] the VMs of a
//! data centre are therefore dealt into cells of about [`CELL_SIZE`], and its targets with them; the
//! VMs of a cell share its targets as a small deployment would, and tell all others only the little
//! that must be known everywhere.
//!
//! Where VMs outnumber targets, cells have more VMs, so that each keeps [`CELL_TARGETS`]: down to one
//! cell for a data centre. A target is then always used by VMs that tell each other all they have there.
//! Used by all VMs and known to few, it is overrun: each of 195 VMs before 78 targets saw what 7 of the
//! others had placed, requests waited inside engines in no order, and a calm day had 0.60 of all worth.
//! With one cell for each of its five data centres it had 0.78, for 0.02 of a core a VM.
//!
//! Nobody is asked and nothing is stored: every VM works its cell out from the VMs it hears and the
//! targets it knows. Two VMs that see the fleet differently for a moment may use a target from two cells;
//! that costs quality, never safety.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::{
    ids::{DataCentreName, ServiceName, TargetKey, VmName},
    target_load::TargetEntry,
};

/// Up to this many VMs all are one cell.
pub const WHOLE_LIMIT: usize = 12;
/// VMs in a cell where there are targets enough: enough VMs to even out callers who come in unequal
/// numbers, few enough that each costs the others little.
pub const CELL_SIZE: usize = 8;
/// Targets that a cell has of the service with the most, at the least. With fewer, one long answer or one
/// slow target is a large part of all that the cell has: cells of 3 targets left a calm day at 0.66 of all
/// worth where cells of 16 had 0.78.
pub const CELL_TARGETS: usize = 10;
/// A service with fewer targets for each cell than this is shared by all cells: too few would run
/// full in one cell while they are idle in another.
const LEAST_TARGETS: usize = 4;

/// An entry VM, as far as cells go.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CellMember {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

/// One VM's view of the cells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellPlan {
    /// The other VMs of the cell; none when all are one cell.
    mates: Option<BTreeSet<VmName>>,
    /// The data centre whose VMs are dealt.
    data_centre: DataCentreName,
    /// The cells of each data centre.
    cells: BTreeMap<DataCentreName, usize>,
    /// The place of this VM's cell among those of its data centre.
    own_cell: usize,
}

impl CellPlan {
    /// Works out the cells of `own` and the `others` that are heard, before `targets`.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::cell_plan::{CellMember, CellPlan};
    ///
    /// let member = |name: &str| CellMember { name: name.into(), data_centre: "hall-a".into() };
    /// let plan = CellPlan::new(&member("e1"), &[member("e2")], &[]);
    /// assert!(plan.is_mate(&"e2".into()));
    /// ```
    pub fn new(own: &CellMember, others: &[CellMember], targets: &[&TargetEntry]) -> Self {
        let data_centre = own.data_centre.clone();
        if others.len() < WHOLE_LIMIT {
            return Self { mates: None, data_centre, cells: BTreeMap::new(), own_cell: 0 };
        }
        let mut sizes: BTreeMap<DataCentreName, usize> = BTreeMap::new();
        for member in others.iter().chain([own]) {
            *sizes.entry(member.data_centre.clone()).or_default() += 1;
        }
        let most_targets = most_targets(targets);
        let cell_count = |(centre, size): (DataCentreName, usize)| {
            let by_size = (size + CELL_SIZE / 2) / CELL_SIZE;
            // Where no targets are known yet nothing is shared, and the VMs alone decide.
            let by_targets = most_targets.get(&centre).map_or(by_size, |most| most / CELL_TARGETS);
            (centre, by_size.min(by_targets).max(1))
        };
        let cells: BTreeMap<_, _> = sizes.into_iter().map(cell_count).collect();
        let count = cells.get(&data_centre).copied().unwrap_or(1);
        let near = others.iter().chain([own]).filter(|it| it.data_centre == data_centre);
        let mut names: Vec<&VmName> = near.map(|member| &member.name).collect();
        names.sort_by_key(|name| xxh3::xxh3_64(name.as_str().as_bytes()));
        let cell_of = |place: usize| place * count / names.len();
        let own_place = names.iter().position(|name| **name == own.name).unwrap_or(0);
        let own_cell = cell_of(own_place);
        let of_cell = names.iter().enumerate().filter(|(place, _)| cell_of(*place) == own_cell);
        let mates = of_cell.map(|(_, name)| (*name).clone()).filter(|name| *name != own.name);
        Self { mates: Some(mates.collect()), data_centre, cells, own_cell }
    }

    /// Returns whether the VMs are dealt into cells.
    pub fn is_dealt(&self) -> bool {
        self.mates.is_some()
    }

    /// Returns whether a VM is told everything.
    pub fn is_mate(&self, name: &VmName) -> bool {
        self.mates.as_ref().is_none_or(|mates| mates.contains(name))
    }

    /// Returns whether a service's targets are dealt among the cells; otherwise all VMs use all of them.
    pub fn deals(&self, service: &[&TargetEntry]) -> bool {
        let all_cells: usize = self.cells.values().sum();
        self.mates.is_some() && service.len() >= all_cells * LEAST_TARGETS
    }

    /// Returns those of a service's targets that this VM's cell uses.
    ///
    /// The targets of a data centre that has no VM left are dealt among all cells.
    pub fn targets(&self, service: &[&TargetEntry]) -> Vec<TargetKey> {
        let key = |entry: &&TargetEntry| entry.key();
        if !self.deals(service) {
            return service.iter().map(key).collect();
        }
        let all_cells: usize = self.cells.values().sum();
        let near = service.iter().filter(|entry| entry.data_centre == self.data_centre);
        let count = self.cells.get(&self.data_centre).copied().unwrap_or(1);
        let mut own = deal(near.map(key).collect(), count, self.own_cell);
        let orphans = service.iter().filter(|entry| !self.cells.contains_key(&entry.data_centre));
        let before: usize = self.cells.range(..&self.data_centre).map(|(_, cells)| cells).sum();
        own.extend(deal(orphans.map(key).collect(), all_cells, before + self.own_cell));
        if own.is_empty() { service.iter().map(key).collect() } else { own }
    }
}

/// Returns for each data centre how many targets it has of the service that has the most there.
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

/// Returns the part of `cell` when targets are dealt among `count` cells. Neighbouring parts change
/// by one target at most when one comes or goes.
fn deal(mut keys: Vec<TargetKey>, count: usize, cell: usize) -> Vec<TargetKey> {
    keys.sort_by_key(|key| xxh3::xxh3_64(&key.0.to_le_bytes()));
    let length = keys.len();
    let dealt = keys.into_iter().enumerate();
    dealt.filter(|(place, _)| place * count / length == cell).map(|(_, key)| key).collect()
}
