//! What callers get when targets that pass their health checks fail requests.

mod decisions;
mod failing_fleet;

use failing_fleet::{FailingFleet, Fault, FleetTally, TargetFault};
use ryetide_core::{scheduling_policy::SchedulingPolicy, target_ejection::EjectionChange};

/// An incarnation that targets announce.
const ANNOUNCED: u64 = 7;
/// The permitted shares of runs and of single-attempt requests that fail.
const MAX_FAILED_RUNS: f64 = 0.03;
const MAX_SINGLE_FAILED: f64 = 0.02;

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn run(vms: usize, targets: usize, seed: u64, faults: &[TargetFault], load: f64) -> FailingFleet {
    let mut fleet = FailingFleet::new(vms, targets, ANNOUNCED, seed);
    fleet.faults = faults.to_vec();
    fleet.run(16.0, load, true)
}

fn assert_few_fail(tally: &FleetTally, context: &str) {
    let (runs, single) =
        (share(tally.failed_runs, tally.runs), share(tally.single_failed, tally.single));
    assert!(runs < MAX_FAILED_RUNS && single < MAX_SINGLE_FAILED, "{context}: {tally:?}");
}

/// Guards against a target that fails quickly, frees its slots at once and so gets several times
/// the mean traffic in a burst.
#[test]
fn a_target_that_fails_quickly_is_no_magnet() {
    for seed in 1..=5 {
        let fleet = run(8, 10, seed, &[(3, Fault::Fails(1.0), 2.0, 10.0)], 0.6);
        assert_few_fail(&fleet.tally, &format!("seed {seed}"));
        let mean = (0..10).map(|target| fleet.runs_between(target, 2, 10)).sum::<u32>() / 10;
        assert!(fleet.runs_between(3, 2, 10) < 2 * mean, "seed {seed}: mean {mean}");
        assert_eq!(fleet.ejections(3), 8, "seed {seed}: {:?}", fleet.changes);
        // It recovers at 10 s and is used as the others are after probes and a ramp.
        assert!(fleet.runs_between(3, 14, 16) > mean / 8, "seed {seed}: {:?}", fleet.changes);
    }
}

/// Guards against a target that fails a part of its requests and is taken for a good one.
#[test]
fn a_target_that_fails_now_and_then_is_found() {
    for seed in 1..=5 {
        for load in [0.3, 0.6] {
            let fleet = run(8, 10, seed, &[(3, Fault::Fails(0.45), 2.0, 10.0)], load);
            assert_few_fail(&fleet.tally, &format!("seed {seed}, load {load}"));
            assert!(fleet.ejections(3) >= 8, "seed {seed}, load {load}: {:?}", fleet.changes);
        }
    }
}

/// Guards against a target that accepts requests and never answers.
#[test]
fn a_target_that_hangs_is_found_and_tried_again() {
    for seed in 1..=5 {
        let fleet = run(8, 10, seed, &[(3, Fault::Hangs, 2.0, 10.0)], 0.6);
        assert_few_fail(&fleet.tally, &format!("seed {seed}"));
        assert!(fleet.ejections(3) >= 6, "seed {seed}: {:?}", fleet.changes);
        assert!(fleet.runs_between(3, 14, 16) > 0, "seed {seed}: {:?}", fleet.changes);
    }
}

/// Guards against ejection that needs many targets: the smallest services have three.
#[test]
fn one_of_three_targets_is_ejected() {
    for seed in 1..=5 {
        let fleet = run(4, 3, seed, &[(1, Fault::Fails(1.0), 2.0, 10.0)], 0.4);
        assert_few_fail(&fleet.tally, &format!("seed {seed}"));
        assert!(fleet.ejections(1) >= 4, "seed {seed}: {:?}", fleet.changes);
    }
}

/// Guards against each cell missing the failing targets of its share, at the size of several cells.
#[test]
fn cells_eject_their_own_failing_targets() {
    let faults: Vec<TargetFault> =
        [4, 13, 22].map(|target| (target, Fault::Fails(1.0), 2.0, 10.0)).to_vec();
    let fleet = run(24, 30, 1, &faults, 0.6);
    assert_few_fail(&fleet.tally, "three cells");
    for target in [4, 13, 22] {
        assert!((6..=10).contains(&fleet.ejections(target)), "{:?}", fleet.changes);
    }
}

/// Guards against ejecting targets for a fault of the service, which would leave its requests
/// without targets.
#[test]
fn no_target_stays_ejected_where_most_fail() {
    for targets in [3, 10] {
        let faults: Vec<TargetFault> =
            (0..targets).map(|target| (target, Fault::Fails(1.0), 2.0, 10.0)).collect();
        let fleet = run(4, targets, 1, &faults, 0.5);
        for target in 0..targets {
            assert!(fleet.runs_between(target, 4, 10) > 50, "{targets}: {:?}", fleet.changes);
        }
        assert_eq!(fleet.tally.refused, 0, "{targets}: {:?}", fleet.tally);
    }
}

/// Guards against ejecting good targets of a service of which all targets fail some requests.
#[test]
fn a_usual_share_of_failures_costs_no_capacity() {
    for seed in 1..=3 {
        let faults: Vec<TargetFault> =
            (0..10).map(|target| (target, Fault::Fails(0.14), 0.0, 16.0)).collect();
        let fleet = run(8, 10, seed, &faults, 0.6);
        let refused = share(fleet.tally.refused, fleet.tally.asked);
        assert!(refused < 0.03, "seed {seed}: {refused:.3} {:?}", fleet.changes);
    }
}

/// Guards against probes that each VM sends by itself: in 8 s, with a probe every 2 s or so, they
/// would be 40.
#[test]
fn probes_are_bounded_for_the_fleet() {
    let mut fleet = run(8, 10, 1, &[(3, Fault::Fails(1.0), 2.0, 10.0)], 0.6);
    let probes: u64 = fleet.schedulers.iter_mut().map(|it| it.take_probes()).sum();
    assert!((4..=12).contains(&probes), "{probes} probes: {:?}", fleet.changes);
}

/// Guards against a VM that learns nothing from peers being without ejection, and against its state
/// stopping the others' probes.
#[test]
fn a_vm_that_is_cut_off_decides_from_its_own_evidence() {
    let mut fleet = FailingFleet::new(8, 10, ANNOUNCED, 2);
    fleet.faults = vec![(3, Fault::Fails(1.0), 2.0, 10.0)];
    fleet.cut_off = vec![5];
    let fleet = fleet.run(16.0, 0.6, false);
    assert_few_fail(&fleet.tally, "one cut off");
    for vm in [5, 0] {
        let of_vm = |is_wanted: fn(&EjectionChange) -> bool| {
            fleet.changes.iter().any(|(_, of, change)| *of == vm && is_wanted(change))
        };
        assert!(of_vm(|it| matches!(it, EjectionChange::Ejected(..))), "{:?}", fleet.changes);
        assert!(of_vm(|it| matches!(it, EjectionChange::Readmitted(..))), "{:?}", fleet.changes);
    }
}

/// Guards against lost digests making a VM's state wrong for good.
#[test]
fn lost_digests_delay_decisions_only() {
    let mut fleet = FailingFleet::new(8, 10, ANNOUNCED, 3);
    fleet.faults = vec![(3, Fault::Fails(1.0), 2.0, 10.0)];
    fleet.lost_share = 0.5;
    let fleet = fleet.run(18.0, 0.6, false);
    assert_few_fail(&fleet.tally, "half of the digests lost");
    assert!(fleet.schedulers.iter().all(|it| it.ejected_targets() == 0), "{:?}", fleet.changes);
}

/// Guards against ejection that is off where targets announce no incarnations, and against a target
/// that stays ejected after it has restarted without announcing it.
#[test]
fn ejection_needs_no_incarnations() {
    let mut fleet = FailingFleet::new(8, 10, 0, 1);
    fleet.faults = vec![(3, Fault::Fails(1.0), 2.0, 10.0)];
    let fleet = fleet.run(14.0, 0.6, true);
    assert_few_fail(&fleet.tally, "no incarnations");
    assert!(fleet.schedulers.iter().all(|it| it.ejected_targets() == 0), "{:?}", fleet.changes);
}

/// Guards against any effect where operators have turned ejection off.
#[test]
fn nothing_changes_while_ejection_is_off() {
    let mut fleet = FailingFleet::new(8, 10, ANNOUNCED, 1);
    fleet.schedulers.iter_mut().for_each(|it| it.set_policy(SchedulingPolicy::OFF));
    fleet.faults = vec![(3, Fault::Fails(1.0), 2.0, 10.0)];
    let fleet = fleet.run(12.0, 0.6, true);
    assert!(fleet.changes.is_empty() && fleet.reports == 0);
}
