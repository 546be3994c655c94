//! The division of a large deployment into cells.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use ryetide_core::{
    cell_plan::{CELL_SIZE, CellMember, CellPlan},
    ids::TargetKey,
    target_load::TargetEntry,
};

const CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn members(count: usize) -> Vec<CellMember> {
    let member = |index: usize| CellMember {
        name: format!("e{index}").as_str().into(),
        data_centre: CENTRES[index % 3].into(),
    };
    (0..count).map(member).collect()
}

fn targets(count: usize) -> Vec<TargetEntry> {
    let entry = |index: usize| TargetEntry {
        name: format!("t{index}").as_str().into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: CENTRES[index % 3].into(),
        slots: 6,
        leaving: false,
        warmup: Duration::ZERO,
    };
    (0..count).map(entry).collect()
}

fn plan_of(own: usize, all: &[CellMember], targets: &[&TargetEntry]) -> CellPlan {
    let others: Vec<CellMember> =
        all.iter().filter(|member| **member != all[own]).cloned().collect();
    CellPlan::new(&all[own], &others, targets)
}

/// Returns the targets that each VM uses.
fn uses(all: &[CellMember], targets: &[TargetEntry]) -> Vec<BTreeSet<TargetKey>> {
    let refs: Vec<&TargetEntry> = targets.iter().collect();
    let used = |own| plan_of(own, all, &refs).targets(&refs).into_iter().collect();
    (0..all.len()).map(used).collect()
}

#[test]
fn a_small_deployment_is_one_cell() {
    let all = members(9);
    let plan = plan_of(0, &all, &[]);
    assert!(all[1..].iter().all(|member| plan.is_cell_peer(&member.name)));
    assert!(uses(&all, &targets(12)).iter().all(|used| used.len() == 12));
}

/// Seventy VMs with 140 targets: exactly one cell uses each target, cells are near their intended
/// size, and two VMs are in the same cell exactly when they use the same targets.
#[test]
fn a_large_deployment_is_divided_evenly() {
    let (all, targets) = (members(70), targets(140));
    let uses = uses(&all, &targets);
    let refs: Vec<&TargetEntry> = targets.iter().collect();
    let plans: Vec<CellPlan> = (0..all.len()).map(|own| plan_of(own, &all, &refs)).collect();
    let mut cells: BTreeMap<&BTreeSet<TargetKey>, usize> = BTreeMap::new();
    for used in &uses {
        *cells.entry(used).or_default() += 1;
    }
    let covered: usize = cells.keys().map(|used| used.len()).sum();
    assert_eq!(covered, targets.len(), "each target belongs to one cell");
    for (used, size) in &cells {
        assert!((CELL_SIZE - 2..=CELL_SIZE + 2).contains(size), "a cell of {size} VMs");
        assert!((12..=20).contains(&used.len()), "a cell of {} targets", used.len());
    }
    for own in 0..all.len() {
        for peer in (0..all.len()).filter(|peer| *peer != own) {
            let same_cell = plans[own].is_cell_peer(&all[peer].name);
            assert_eq!(same_cell, uses[own] == uses[peer], "{own} and {peer}");
        }
    }
}

/// When one VM dies, few VMs may change targets: a VM with a new target starts without knowing the
/// load there.
#[test]
fn the_loss_of_a_vm_moves_few_targets() {
    let (all, targets) = (members(70), targets(140));
    let before = uses(&all, &targets);
    let after = uses(&all[1..], &targets);
    let kept: usize =
        before[1..].iter().zip(&after).map(|(old, new)| old.intersection(new).count()).sum();
    let total: usize = before[1..].iter().map(BTreeSet::len).sum();
    assert!(kept * 10 >= total * 8, "{kept} of {total} kept");
}

#[test]
fn the_targets_of_a_data_centre_without_vms_are_divided_among_all_cells() {
    let all: Vec<CellMember> =
        members(70).into_iter().filter(|member| member.data_centre != "hall-c".into()).collect();
    let targets = targets(140);
    let used: BTreeSet<TargetKey> = uses(&all, &targets).into_iter().flatten().collect();
    assert_eq!(used.len(), targets.len());
}

#[test]
fn a_service_with_few_targets_is_shared_by_all_cells() {
    let all = members(70);
    assert!(uses(&all, &targets(3)).iter().all(|used| used.len() == 3));
}

/// Guards against targets that VMs of different cells use. A VM reports its load on a target only
/// within its cell. A VM of another cell would send the target more requests than it has slots, and
/// they would wait inside the engine behind less urgent ones.
#[test]
fn vms_that_share_a_target_are_in_the_same_cell() {
    for (vms, target_count) in [(13, 24), (70, 140), (195, 78), (195, 27), (300, 15), (410, 600)] {
        let (all, targets) = (members(vms), targets(target_count));
        let refs: Vec<&TargetEntry> = targets.iter().collect();
        let uses = uses(&all, &targets);
        for own in [0, 1, vms / 2] {
            let plan = plan_of(own, &all, &refs);
            let is_shared = |peer: &usize| !uses[own].is_disjoint(&uses[*peer]);
            let outside = (0..vms).filter(|peer| *peer != own).filter(is_shared);
            let outside = outside.filter(|peer| !plan.is_cell_peer(&all[*peer].name)).count();
            assert_eq!(outside, 0, "{vms} VMs, {target_count} targets, VM {own}");
        }
    }
}

/// Where VMs outnumber targets, cells grow so that each keeps enough targets.
#[test]
fn every_cell_has_enough_targets() {
    for (vms, target_count) in [(70, 140), (195, 78), (195, 90), (410, 600)] {
        let (all, targets) = (members(vms), targets(target_count));
        let least = uses(&all, &targets).iter().map(BTreeSet::len).min();
        assert!(least >= Some(10), "{vms} VMs, {target_count} targets: a cell of {least:?}");
    }
}

/// Between one cell and two for a data centre there is one threshold: adding or removing a target
/// there changes the cells, and elsewhere it does not.
#[test]
fn cells_change_only_at_the_threshold_for_one_more() {
    let all = members(195);
    let cells = |count: usize| {
        let distinct: BTreeSet<_> = uses(&all, &targets(count)).into_iter().collect();
        distinct.len()
    };
    let counts: Vec<usize> = (27..=90).step_by(3).map(cells).collect();
    assert!(counts.is_sorted(), "{counts:?}");
    assert_eq!(counts.iter().collect::<BTreeSet<_>>().len(), 3, "{counts:?}");
}
