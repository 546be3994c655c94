//! What a fleet sends while the targets of a service turn its requests away.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::retry_budget::RetryRule;

use crate::fleet::{Disturbance, FleetOptions, RetryFleet};

const RULE: RetryRule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const OPTIONS: FleetOptions = FleetOptions {
    vms: 8,
    rule: RULE,
    rate: 90.0,
    turned_away: 0.0,
    digest_interval: Duration::from_millis(300),
    retry_gap: Duration::ZERO,
    urgent: 1.0,
};
const SEEDS: u64 = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a fleet in which all has been well for a while until its targets begin to turn nearly all
/// requests away.
fn fleet_of_failing_targets(seed: u64, options: FleetOptions) -> RetryFleet {
    let mut fleet = RetryFleet::new(seed, options);
    fleet.run_for(Duration::from_secs(12));
    fleet.set_turned_away(0.95);
    fleet
}

fn assert_within_limit(fleet: &RetryFleet, seed: u64) {
    let worst = fleet.count.worst(&RULE).expect("there are retries");
    assert!(worst.used() <= 1.0, "seed {seed}: {worst:?}");
}

/// Guards against processes that start and get a part of the slack which others have used.
#[test]
fn vms_that_are_killed_and_start_keep_retries_within_the_limit() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, OPTIONS);
        for _ in 0..4 {
            fleet.run_for(Duration::from_millis(2_500));
            for vm in 0..5 {
                let vm = (vm * 3 + seed as usize) % 8;
                fleet.disturb(Disturbance::Kill(vm, Duration::from_millis(500)));
            }
        }
        fleet.run_for(Duration::from_secs(12));
        assert_within_limit(&fleet, seed);
    }
}

/// Guards against a slack that the VMs which stay divide among themselves while others that stop
/// still use their parts.
#[test]
fn vms_that_stop_and_start_in_turn_keep_retries_within_the_limit() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, OPTIONS);
        for vm in 0..8 {
            fleet.run_for(Duration::from_millis(400));
            fleet.disturb(Disturbance::Stop(vm, ms(2_500), ms(500)));
        }
        fleet.run_for(Duration::from_secs(15));
        assert_within_limit(&fleet, seed);
    }
}

/// Guards against a slack that each side of a partition uses whole once it takes the other for gone.
#[test]
fn both_sides_of_a_long_partition_keep_retries_within_the_limit() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, OPTIONS);
        fleet.set_turned_away(0.0);
        fleet.disturb(Disturbance::Partition(4, fleet.now + Duration::from_secs(60)));
        fleet.run_for(Duration::from_secs(40));
        fleet.set_turned_away(0.95);
        fleet.run_for(Duration::from_secs(15));
        assert_within_limit(&fleet, seed);
    }
}

/// Guards against VMs that begin to divide the slack before they know how many they are.
#[test]
fn a_large_fleet_that_starts_without_the_store_keeps_retries_within_the_limit() {
    for vms in [30, 60, 150, 300] {
        let rate = 3.0 * vms as f64;
        let options = FleetOptions { vms, rate, digest_interval: ms(2_000), ..OPTIONS };
        let mut fleet = RetryFleet::new(1, options);
        fleet.disturb(Disturbance::StoreAway(fleet.now + Duration::from_secs(20)));
        fleet.set_turned_away(0.95);
        fleet.run_for(Duration::from_secs(18));
        assert_within_limit(&fleet, 1);
    }
}

/// Guards against retries that are permitted one by one, wait for room and are sent together.
#[test]
fn retries_that_wait_for_room_keep_within_the_limit_when_they_are_sent() {
    for seed in 0..SEEDS {
        let options = FleetOptions { retry_gap: ms(7_000), ..OPTIONS };
        let mut fleet = fleet_of_failing_targets(seed, options);
        fleet.run_for(Duration::from_secs(30));
        assert_within_limit(&fleet, seed);
    }
}

/// Guards against load that falls or moves between VMs, so that the requests which paid for retries
/// lie in no one window. `RETRY_SEEDS` plays more seeds than CI does.
#[test]
fn no_history_of_loads_restarts_and_cuts_exceeds_the_limit() {
    let seeds = std::env::var("RETRY_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(12);
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = [3, 8, 8, 16][rng.random_range(0..4)];
        let rate = [5.0, 30.0, 90.0, 300.0][rng.random_range(0..4)];
        let mut fleet = RetryFleet::new(seed, FleetOptions { vms, rate, ..OPTIONS });
        for _ in 0..rng.random_range(1..4) {
            fleet.set_turned_away(0.0);
            fleet.run_for(ms(rng.random_range(1_000..20_000)));
            fleet.set_turned_away([0.5, 0.95, 0.95, 1.0][rng.random_range(0..4)]);
            for _ in 0..rng.random_range(2..12) {
                fleet.run_for(ms(rng.random_range(50..2_500)));
                let disturbance = disturbance(&mut rng, &fleet);
                fleet.disturb(disturbance);
            }
        }
        fleet.run_for(Duration::from_secs(10));
        if !fleet.count.retries.is_empty() {
            assert_within_limit(&fleet, seed);
        }
    }
}

fn disturbance(rng: &mut SmallRng, fleet: &RetryFleet) -> Disturbance {
    let vm = rng.random_range(0..fleet.size());
    let later = |rng: &mut SmallRng| fleet.now + ms(rng.random_range(500..30_000));
    match rng.random_range(0..8) {
        0 | 1 => Disturbance::KillFrom(vm, ms(rng.random_range(50..4_000))),
        2 | 3 => Disturbance::Stop(vm, ms(rng.random_range(50..8_000)), ms(500)),
        4 => Disturbance::Partition(vm, later(rng)),
        5 if fleet.size() < 20 => Disturbance::Join(rng.random_range(1..4)),
        6 => Disturbance::StoreAway(later(rng)),
        _ => Disturbance::Rate([5.0, 30.0, 90.0, 300.0, 900.0][rng.random_range(0..5)]),
    }
}

/// Guards against a limit that is kept by refusing what it permits.
#[test]
fn most_of_what_is_permitted_can_be_used() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, OPTIONS);
        fleet.run_for(Duration::from_secs(14));
        let used = fleet.count.worst(&RULE).expect("there are retries").used();
        assert!(used >= 0.85, "seed {seed}: {used}");
    }
}

/// Guards against VMs that start and may send no retries for long.
#[test]
fn most_of_what_is_permitted_can_be_used_while_vms_start() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, OPTIONS);
        for vm in 0..8 {
            fleet.run_for(ms(400));
            fleet.disturb(Disturbance::Stop(vm, ms(2_500), ms(500)));
        }
        fleet.run_for(Duration::from_secs(14));
        let used = fleet.count.worst(&RULE).expect("there are retries").used();
        assert!(used >= 0.75, "seed {seed}: {used}");
    }
}

/// Guards against retries that routine requests use up before urgent ones.
#[test]
fn urgent_requests_get_retries_first() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, FleetOptions { urgent: 0.3, ..OPTIONS });
        // The first cluster uses up what was earned before.
        fleet.run_for(Duration::from_secs(2));
        let (urgent, all) = (fleet.urgent_retries, fleet.count.retries.len());
        fleet.run_for(Duration::from_secs(7));
        let urgent = fleet.urgent_retries - urgent;
        let all = fleet.count.retries.len() - all;
        assert!(urgent * 10 >= all * 8, "seed {seed}: {urgent} of {all}");
    }
}

/// Guards against retries that routine requests leave to urgent ones that do not come.
#[test]
fn routine_requests_alone_can_use_most_of_what_is_permitted() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_of_failing_targets(seed, FleetOptions { urgent: 0.0, ..OPTIONS });
        fleet.run_for(Duration::from_secs(14));
        let used = fleet.count.worst(&RULE).expect("there are retries").used();
        assert!(used >= 0.85, "seed {seed}: {used}");
    }
}
