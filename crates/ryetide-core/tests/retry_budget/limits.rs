//! What a fleet sends while the targets of a service turn its requests away.

use std::time::Duration;

use ryetide_core::retry_budget::RetryRule;

use crate::fleet::{Disturbance, FleetOptions, RetryFleet};

const RULE: RetryRule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const OPTIONS: FleetOptions = FleetOptions {
    vms: 8,
    rule: RULE,
    rate: 90.0,
    turned_away: 0.0,
    digest_interval: Duration::from_millis(300),
};
const SEEDS: u64 = 8;

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
