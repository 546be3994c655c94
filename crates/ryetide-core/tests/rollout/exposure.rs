//! The limit on the requests to a version on trial, with VMs that cannot communicate.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use ryetide_core::chart::RolloutState;

use crate::{
    behaviour::{Behaviour, NewVersion},
    fleet::{Fleet, FleetPlan},
};

/// Guards against a version on trial that gets more than its share because VMs do not know what the
/// others have sent: they are partitioned, frozen, killed and restarted at random, and the store is
/// unavailable at times.
#[test]
fn no_partition_gives_a_version_on_trial_more_than_its_share() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let behaviour = Behaviour::of(NewVersion::Good);
        let duration = Duration::from_secs(20);
        let vms = rng.random_range(2..12);
        let mut fleet =
            Fleet::start(FleetPlan { vms, targets: 6, rate: 200.0, duration, behaviour, seed });
        while fleet.age() < duration {
            let vm = rng.random_range(0..vms);
            match rng.random_range(0..8) {
                0 => fleet.set_partitioned(vm, true),
                1 => fleet.set_partitioned(vm, false),
                2 => fleet.kill(vm),
                3 => fleet.restart(vm),
                4 => fleet.store_down = rng.random_bool(0.5),
                5 => fleet.set_frozen(vm, rng.random_bool(0.5)),
                _ => {}
            }
            for _ in 0..6 {
                fleet.step();
            }
            // Half of the slack is used.
            let permitted = fleet.placed_on_trial / 10 + 25;
            assert!(
                fleet.exposed_on_trial <= permitted,
                "seed {seed}: {} of {}",
                fleet.exposed_on_trial,
                fleet.placed_on_trial
            );
        }
    }
}

/// Guards against an isolated VM that keeps sending requests to the new version, though findings of
/// the others would not reach it.
#[test]
fn an_isolated_vm_sends_nothing_to_a_version_on_trial() {
    let behaviour = Behaviour::of(NewVersion::Fails(0.5));
    let duration = Duration::from_secs(20);
    let plan = FleetPlan { vms: 4, targets: 6, rate: 200.0, duration, behaviour, seed: 3 };
    let mut fleet = Fleet::start(plan);
    fleet.run_until(Duration::from_millis(1_200));
    assert_eq!(fleet.state(0), RolloutState::Trial);
    (0..4).for_each(|vm| fleet.set_partitioned(vm, true));
    fleet.run_until(Duration::from_millis(4_000));
    let before = fleet.exposed;
    fleet.run_until(Duration::from_millis(9_000));
    assert_eq!(fleet.exposed, before);
}
