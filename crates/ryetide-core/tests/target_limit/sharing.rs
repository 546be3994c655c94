//! Fleets of VMs that share targets with limits.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::units::{Moment, RequestRate};

use crate::{
    WINDOW,
    fleet::{Disturbance, LimitSimulation, SimulatedLimit},
};

const NEVER: Moment = Moment(u64::MAX);
const ANNOUNCED_AT: Moment = Moment::from_millis(3_000);
/// The number of seeds in tests with disturbances; the variable `LIMIT_SEEDS` overrides it.
const SEEDS: u64 = 20;

fn limit(thousandths: u32) -> SimulatedLimit {
    SimulatedLimit { rate: Some(RequestRate(thousandths)), from: ANNOUNCED_AT, until: NEVER }
}

fn seeds() -> u64 {
    let value = std::env::var("LIMIT_SEEDS").ok();
    value.map_or(SEEDS, |value| value.parse().expect("a number of seeds"))
}

/// The requests in a window that the platform's rule permits.
fn permitted(rate: RequestRate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64() * 1.5 + 5.0).floor() as usize
}

/// Guards against shares whose sum exceeds the limit, in fleets of every size and at limits below
/// and above it.
#[test]
fn the_shares_of_all_vms_add_up_to_no_more_than_the_limit() {
    for vms in [1, 2, 9, 40] {
        for thousandths in [0, 200, 1_000, 1_900, 6_500, 40_000] {
            let limits = vec![
                limit(thousandths),
                SimulatedLimit::NONE,
                SimulatedLimit::NONE,
                SimulatedLimit::NONE,
            ];
            let mut simulation = LimitSimulation::new(7, vms, limits, 8.0);
            simulation.run_until(Moment::from_millis(12_000));
            let rate = RequestRate(thousandths);
            let most = simulation.most_counted(0);
            assert!(most as f64 <= exact(rate), "{vms} VMs, {rate} a second: {most} requests");
        }
    }
}

/// Guards against shares so small that a limited target idles although callers have requests for
/// it.
#[test]
fn a_targets_limit_is_used_up() {
    for (vms, thousandths) in [(1, 2_000), (9, 1_000), (9, 1_900), (9, 6_500), (40, 6_500)] {
        let limits = vec![limit(thousandths), SimulatedLimit::NONE];
        // Enough to keep all slots of both targets taken.
        let mut simulation = LimitSimulation::new(3, vms, limits, 450.0 / vms as f64);
        simulation.run_until(Moment::from_millis(8_000));
        let before = simulation.arrivals[0].len();
        simulation.run_until(Moment::from_millis(28_000));
        let per_second = (simulation.arrivals[0].len() - before) as f64 / 20.0;
        let rate = f64::from(thousandths) / 1_000.0;
        assert!(per_second >= rate * 0.6, "{vms} VMs: {per_second} of {rate} a second");
    }
}

/// Guards against a limit that stays in force after the target's answers have stopped announcing
/// it.
#[test]
fn a_limit_ends_at_all_vms_when_answers_stop_announcing_it() {
    let until = Moment::from_millis(12_000);
    let mut simulation = LimitSimulation::new(
        5,
        9,
        vec![SimulatedLimit { until, ..limit(1_000) }, SimulatedLimit::NONE],
        10.0,
    );
    simulation.run_until(Moment::from_millis(18_000));
    let limited: Vec<usize> = (0..9).filter(|vm| simulation.knows_limit(*vm, 0)).collect();
    assert!(limited.is_empty(), "VMs {limited:?} still apply it");
    let late = simulation.arrivals[0].iter().filter(|it| it.at > Moment::from_millis(15_000));
    assert!(late.count() > 60, "the target gets requests as before");
}

/// Guards against callers who wait in vain where all targets have limits: a request that cannot be
/// dispatched in time is refused at once, and the limits are still used up.
#[test]
fn requests_are_refused_at_once_where_all_targets_are_limited() {
    let limits = vec![limit(2_000), limit(2_000), limit(2_000)];
    let mut simulation = LimitSimulation::new(11, 9, limits, 3.0);
    simulation.run_until(Moment::from_millis(10_000));
    let before = simulation.tally;
    simulation.run_until(Moment::from_millis(30_000));
    let placed = simulation.tally.placed - before.placed;
    assert!(placed >= 60, "{placed} of 120 permitted requests placed");
    assert!(placed <= 126, "{placed} of 120 permitted requests placed");
}

/// The most requests that shares whose sum is the limit permit in a window: each of the VMs with a
/// share may send one at its very beginning.
fn exact(rate: RequestRate) -> f64 {
    rate.per_second() * WINDOW.as_secs_f64() + rate.per_second().floor().max(1.0)
}

/// Guards against a share that two VMs use: its holder, and a VM that takes the holder for gone or
/// has just joined.
#[test]
fn no_share_is_used_by_two_vms_during_partitions_and_joins() {
    for seed in 0..seeds() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rates: Vec<u32> = (0..3).map(|_| rng.random_range(300..5_000)).collect();
        let mut limits: Vec<SimulatedLimit> = rates.iter().map(|rate| limit(*rate)).collect();
        limits.push(SimulatedLimit::NONE);
        let mut simulation = LimitSimulation::new(seed, rng.random_range(2..8), limits, 40.0);
        for step in 0..6 {
            simulation.run_until(Moment::from_millis(7_000 + step * 4_000));
            let until = simulation.now + Duration::from_millis(rng.random_range(1_000..15_000));
            simulation.disturb(if step % 2 == 0 {
                Disturbance::Join
            } else {
                Disturbance::Partition(1, until)
            });
        }
        simulation.run_until(simulation.now + WINDOW);
        for (target, rate) in rates.into_iter().map(RequestRate).enumerate() {
            // In a window in which a share changes hands, one more VM may send a request at the
            // very beginning.
            let (most, permitted) = (simulation.most_counted(target) as f64, exact(rate) + 1.0);
            assert!(most <= permitted, "seed {seed}: {most} requests at {rate} a second");
        }
    }
}

/// Guards against exceeded limits during restarts, network partitions, lost digests and bursts, in
/// sequence and at the same time.
#[test]
fn limits_hold_during_restarts_partitions_and_bursts() {
    for seed in 0..seeds() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = if seed % 5 == 0 { 30 } else { rng.random_range(2..12) };
        let rates: Vec<u32> = (0..3).map(|_| rng.random_range(0..9_000)).collect();
        let mut limits: Vec<SimulatedLimit> = rates.iter().map(|rate| limit(*rate)).collect();
        limits.push(SimulatedLimit::NONE);
        let mut simulation = LimitSimulation::new(seed, vms, limits, rng.random_range(2.0..12.0));
        let mut disturbances = Vec::new();
        while simulation.now < Moment::from_millis(30_000) {
            let pause = Duration::from_millis(rng.random_range(200..4_000));
            simulation.run_until(simulation.now + pause);
            let disturbance = match rng.random_range(0..4) {
                0 => Disturbance::Restart(rng.random_range(0..vms)),
                1 => {
                    let span = Duration::from_millis(rng.random_range(500..15_000));
                    Disturbance::Partition(rng.random_range(0..vms), simulation.now + span)
                }
                _ => Disturbance::Burst(rng.random_range(1..10)),
            };
            disturbances.push((simulation.now, disturbance));
            simulation.disturb(disturbance);
        }
        for (target, rate) in rates.into_iter().enumerate() {
            let (most, permitted) = (simulation.most_counted(target), permitted(RequestRate(rate)));
            assert!(
                most <= permitted,
                "seed {seed}, {vms} VMs: {most} requests, {permitted} permitted; {disturbances:?}"
            );
        }
    }
}
