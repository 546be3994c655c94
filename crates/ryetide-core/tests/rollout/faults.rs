//! Every fault in every state of an order, and what operators and callers see of it.

use std::time::Duration;

use ryetide_core::{chart::RolloutState, rollout_order::RolloutStatus};

use crate::{
    behaviour::{Behaviour, NewVersion},
    fleet::{Fleet, FleetPlan},
};

const DURATION: Duration = Duration::from_secs(16);
/// The duration of a fault.
const FAULT_SPAN: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All VMs are killed at once and start again a second later.
    AllKilled,
    /// One VM is killed for good.
    OneGone,
    /// The VM that has just changed its state is killed and starts again.
    StepperKilled,
    /// A third of the VMs is partitioned from all others.
    Partitioned,
    /// A third of the VMs is frozen.
    Frozen,
    /// The store is unavailable.
    StoreDown,
    /// The store is unavailable and a third of the VMs is partitioned from all others.
    StoreDownAndPartitioned,
}

const FAULTS: [Fault; 7] = [
    Fault::AllKilled,
    Fault::OneGone,
    Fault::StepperKilled,
    Fault::Partitioned,
    Fault::Frozen,
    Fault::StoreDown,
    Fault::StoreDownAndPartitioned,
];

fn begin(fleet: &mut Fleet, fault: Fault) {
    let third = fleet.vm_count() / 3;
    match fault {
        Fault::AllKilled => (0..fleet.vm_count()).for_each(|vm| fleet.kill(vm)),
        Fault::OneGone | Fault::StepperKilled => fleet.kill(0),
        Fault::Partitioned => (0..third).for_each(|vm| fleet.set_partitioned(vm, true)),
        Fault::Frozen => (0..third).for_each(|vm| fleet.set_frozen(vm, true)),
        Fault::StoreDown => fleet.store_down = true,
        Fault::StoreDownAndPartitioned => {
            fleet.store_down = true;
            (0..third).for_each(|vm| fleet.set_partitioned(vm, true));
        }
    }
}

fn end(fleet: &mut Fleet, fault: Fault) {
    let third = fleet.vm_count() / 3;
    match fault {
        Fault::AllKilled => (0..fleet.vm_count()).for_each(|vm| fleet.restart(vm)),
        Fault::OneGone => {}
        Fault::StepperKilled => fleet.restart(0),
        Fault::Partitioned => (0..third).for_each(|vm| fleet.set_partitioned(vm, false)),
        Fault::Frozen => (0..third).for_each(|vm| fleet.set_frozen(vm, false)),
        Fault::StoreDown => fleet.store_down = false,
        Fault::StoreDownAndPartitioned => {
            fleet.store_down = false;
            (0..third).for_each(|vm| fleet.set_partitioned(vm, false));
        }
    }
}

fn run(new: NewVersion, step: RolloutState, fault: Fault) -> Fleet {
    let plan = FleetPlan {
        vms: 6,
        targets: 9,
        rate: 240.0,
        duration: DURATION,
        behaviour: Behaviour::of(new),
        seed: 11,
    };
    let mut fleet = Fleet::start(plan);
    let name = format!("{new:?}, {fault:?} at {step:?}");
    while step != RolloutState::Asked && !fleet.steps.iter().any(|(_, to)| *to == step) {
        fleet.step();
        assert!(fleet.age() < DURATION + FAULT_SPAN, "{name}: the state is never reached");
    }
    begin(&mut fleet, fault);
    let until = fleet.age() + FAULT_SPAN;
    fleet.run_until(until);
    end(&mut fleet, fault);
    fleet.run_until(DURATION + Duration::from_secs(6));
    assert!(fleet.is_ended(), "{name}: {:?}", fleet.statuses);
    let ends = fleet.statuses.iter().filter(|status| **status != RolloutStatus::Running).count();
    assert_eq!(ends, 1, "{name}: more than one result was written: {:?}", fleet.statuses);
    for vm in 0..fleet.vm_count() {
        let expected = match fleet.status() {
            Some(RolloutStatus::Completed) => RolloutState::Completed,
            _ => RolloutState::RolledBack,
        };
        let is_gone = matches!(fault, Fault::OneGone) && vm == 0;
        assert!(is_gone || fleet.state(vm) == expected, "{name}: VM {vm} has another result");
    }
    fleet
}

/// A good version is completed, with exactly one result, whichever fault occurs in whichever state.
#[test]
fn an_order_for_a_good_version_is_completed_once_whatever_happens() {
    let steps = [
        RolloutState::Asked,
        RolloutState::Trial,
        RolloutState::Moving,
        RolloutState::Emptied,
        RolloutState::Completed,
    ];
    for step in steps {
        for fault in FAULTS {
            let fleet = run(NewVersion::Good, step, fault);
            assert_eq!(fleet.status(), Some(RolloutStatus::Completed), "{fault:?} at {step:?}");
        }
    }
}

#[test]
fn an_order_for_a_bad_version_is_rolled_back_whatever_happens() {
    let steps = [
        RolloutState::Asked,
        RolloutState::Trial,
        RolloutState::Condemned,
        RolloutState::RolledBack,
    ];
    for step in steps {
        for fault in FAULTS {
            let fleet = run(NewVersion::Fails(0.5), step, fault);
            assert_eq!(fleet.status(), Some(RolloutStatus::RolledBack), "{fault:?} at {step:?}");
            assert!(
                fleet.exposed_after_fiftieth < Duration::from_secs(5),
                "{fault:?} at {step:?}: sent {:?} after the 50th bad answer",
                fleet.exposed_after_fiftieth
            );
            // Half of the slack is used.
            assert!(fleet.exposed * 10 <= fleet.placed + 250, "{fault:?} at {step:?}");
        }
    }
}

/// Guards against requests that are lost because the old targets stop: none may be in flight there
/// when the order is reported as completed.
#[test]
fn no_requests_are_at_the_old_targets_on_completion() {
    for seed in 0..20 {
        let plan = FleetPlan {
            vms: 6,
            targets: 9,
            rate: 240.0,
            duration: DURATION,
            behaviour: Behaviour::of(NewVersion::Good),
            seed,
        };
        let mut fleet = Fleet::start(plan);
        fleet.run_until(DURATION);
        assert_eq!(fleet.status(), Some(RolloutStatus::Completed), "seed {seed}");
        assert_eq!(fleet.left_at_end, 0, "seed {seed}");
    }
}

/// Guards against a VM that was frozen while the others rolled back, and that afterwards sends
/// requests to the new version or writes another result.
#[test]
fn a_vm_that_was_frozen_reverses_nothing() {
    let plan = FleetPlan {
        vms: 6,
        targets: 9,
        rate: 240.0,
        duration: DURATION,
        behaviour: Behaviour::of(NewVersion::Fails(0.5)),
        seed: 5,
    };
    let mut fleet = Fleet::start(plan);
    fleet.run_until(Duration::from_millis(1_500));
    fleet.set_frozen(0, true);
    fleet.run_until(Duration::from_secs(9));
    assert_eq!(fleet.status(), Some(RolloutStatus::RolledBack));
    let before = fleet.exposed;
    fleet.set_frozen(0, false);
    fleet.run_until(Duration::from_secs(20));
    assert_eq!((fleet.exposed, fleet.statuses.len()), (before, 2));
}
