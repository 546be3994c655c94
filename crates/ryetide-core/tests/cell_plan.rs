//! The cells of a large deployment.

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
        life: Default::default(),
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

/// The targets that each VM uses.
fn uses(all: &[CellMember], targets: &[TargetEntry]) -> Vec<BTreeSet<TargetKey>> {
    let refs: Vec<&TargetEntry> = targets.iter().collect();
    let used = |own| plan_of(own, all, &refs).targets(&refs).into_iter().collect();
    (0..all.len()).map(used).collect()
}

#[test]
fn a_small_deployment_is_one_cell() {
    let all = members(9);
    let plan = plan_of(0, &all, &[]);
    assert!(all[1..].iter().all(|member| plan.is_mate(&member.name)));
    assert!(uses(&all, &targets(12)).iter().all(|used| used.len() == 12));
}

/// Seventy VMs before 140 targets: every target is used by exactly one cell, cells are near their
/// size, and mates are mutual and use the same targets.
#[test]
fn a_large_deployment_is_dealt_evenly() {
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
            let mates = plans[own].is_mate(&all[peer].name);
            assert_eq!(mates, uses[own] == uses[peer], "{own} and {peer}");
        }
    }
}

/// One VM dies. Hardly any VM may find other targets than before: each that does starts without
/// knowing what runs there.
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
fn the_targets_of_a_data_centre_without_vms_are_dealt_among_all() {
    let all: Vec<CellMember> =
        members(70).into_iter().filter(|member| member.data_centre != "hall-c".into()).collect();
    let targets = targets(140);
    let used: BTreeSet<TargetKey> = uses(&all, &targets).into_iter().flatten().collect();
    assert_eq!(used.len(), targets.len());
}

#[test]
fn a_service_of_few_targets_is_shared_by_all() {
    let all = members(70);
    assert!(uses(&all, &targets(3)).iter().all(|used| used.len() == 3));
}

/// Any proportion of VMs to targets, from thirty VMs to a target to three targets to a VM. What a VM has at
/// a target is told to its mates only; a VM of another cell that used the target too would send more there
/// than it has places, and callers would wait inside the engine behind less urgent ones.
#[test]
fn whoever_uses_a_target_tells_all_others_that_do() {
    for (vms, target_count) in [(13, 24), (70, 140), (195, 78), (195, 27), (300, 15), (410, 600)] {
        let (all, targets) = (members(vms), targets(target_count));
        let refs: Vec<&TargetEntry> = targets.iter().collect();
        let uses = uses(&all, &targets);
        for own in [0, 1, vms / 2] {
            let plan = plan_of(own, &all, &refs);
            let is_shared = |peer: &usize| !uses[own].is_disjoint(&uses[*peer]);
            let untold = (0..vms).filter(|peer| *peer != own).filter(is_shared);
            let untold = untold.filter(|peer| !plan.is_mate(&all[*peer].name)).count();
            assert_eq!(untold, 0, "{vms} VMs, {target_count} targets, VM {own}");
        }
    }
}

/// Where VMs outnumber targets, cells grow with them rather than run out of targets.
#[test]
fn a_cell_has_targets_enough_to_even_out_what_comes() {
    for (vms, target_count) in [(70, 140), (195, 78), (195, 90), (410, 600)] {
        let (all, targets) = (members(vms), targets(target_count));
        let least = uses(&all, &targets).iter().map(BTreeSet::len).min();
        assert!(least >= Some(10), "{vms} VMs, {target_count} targets: a cell of {least:?}");
    }
}

/// Between a cell of one data centre and two of them there is one boundary; a target more or less there
/// changes the cells, and everywhere else none.
#[test]
fn cells_change_only_where_targets_are_enough_for_one_more() {
    let all = members(195);
    let cells = |count: usize| {
        let distinct: BTreeSet<_> = uses(&all, &targets(count)).into_iter().collect();
        distinct.len()
    };
    let counts: Vec<usize> = (27..=90).step_by(3).map(cells).collect();
    assert!(counts.is_sorted(), "{counts:?}");
    assert_eq!(counts.iter().collect::<BTreeSet<_>>().len(), 3, "{counts:?}");
}
