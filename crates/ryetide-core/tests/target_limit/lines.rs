//! Fleets of VMs that share such targets.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::units::{Moment, RequestRate};

use crate::{
    WINDOW,
    fleet::{LimitPlay, Need, Trouble},
};

const NEVER: Moment = Moment(u64::MAX);
const NAMED_AT: Moment = Moment::from_millis(3_000);
/// Plays of the test with trouble; `LIMIT_SEEDS` sets another number.
const SEEDS: u64 = 20;

fn need(thousandths: u32) -> Need {
    Need { rate: Some(RequestRate(thousandths)), from: NAMED_AT, until: NEVER }
}

fn seeds() -> u64 {
    let told = std::env::var("LIMIT_SEEDS").ok();
    told.map_or(SEEDS, |told| told.parse().expect("a number of seeds"))
}

/// What the rule permits.
fn permitted(rate: RequestRate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64() * 1.5 + 5.0).floor() as usize
}

/// Guards against parts that add up to more than the limit, in fleets of every size and at limits below and above it.
#[test]
fn the_parts_of_all_vms_add_up_to_no_more_than_the_limit() {
    for vms in [1, 2, 9, 40] {
        for thousandths in [0, 200, 1_000, 1_900, 6_500, 40_000] {
            let needs = vec![need(thousandths), Need::NONE, Need::NONE, Need::NONE];
            let mut play = LimitPlay::new(7, vms, needs, 8.0);
            play.run_until(Moment::from_millis(12_000));
            let rate = RequestRate(thousandths);
            let most = play.most_counted(0);
            assert!(most as f64 <= exact(rate), "{vms} VMs, {rate} a second: {most} requests");
        }
    }
}

/// Guards against a limit that leaves its target idle: what the target takes it gets, where callers ask for it.
#[test]
fn a_target_gets_what_it_takes() {
    for (vms, thousandths) in [(1, 2_000), (9, 1_000), (9, 1_900), (9, 6_500), (40, 6_500)] {
        let needs = vec![need(thousandths), Need::NONE];
        // Enough to keep all places of both taken.
        let mut play = LimitPlay::new(3, vms, needs, 450.0 / vms as f64);
        play.run_until(Moment::from_millis(8_000));
        let before = play.arrivals[0].len();
        play.run_until(Moment::from_millis(28_000));
        let per_second = (play.arrivals[0].len() - before) as f64 / 20.0;
        let rate = f64::from(thousandths) / 1_000.0;
        assert!(per_second >= rate * 0.6, "{vms} VMs: {per_second} of {rate} a second");
    }
}

/// Guards against a limit that outlasts its target's need: when answers name none any more, all VMs use it as before.
#[test]
fn a_limit_ends_at_all_vms_when_answers_name_none() {
    let until = Moment::from_millis(12_000);
    let mut play = LimitPlay::new(5, 9, vec![Need { until, ..need(1_000) }, Need::NONE], 10.0);
    play.run_until(Moment::from_millis(18_000));
    let limited: Vec<usize> = (0..9).filter(|vm| play.knows_limit(*vm, 0)).collect();
    assert!(limited.is_empty(), "VMs {limited:?} still keep to it");
    let late = play.arrivals[0].iter().filter(|it| it.at > Moment::from_millis(15_000));
    assert!(late.count() > 60, "they use it as before");
}

/// Guards against callers who wait in vain where all targets name a limit: whoever cannot be sent in time is told so at
/// once, and what the targets take is used.
#[test]
fn callers_are_told_at_once_where_all_targets_are_limited() {
    let needs = vec![need(2_000), need(2_000), need(2_000)];
    let mut play = LimitPlay::new(11, 9, needs, 3.0);
    play.run_until(Moment::from_millis(10_000));
    let before = play.tally;
    play.run_until(Moment::from_millis(30_000));
    let placed = play.tally.placed - before.placed;
    assert!(placed >= 60, "{placed} of 120 that are taken");
    assert!(placed <= 126, "{placed} of 120 that are taken");
}

/// The most requests that parts which add up to the limit let through: each of those that share it may send one at the
/// very begin of a window.
fn exact(rate: RequestRate) -> f64 {
    rate.per_second() * WINDOW.as_secs_f64() + rate.per_second().floor().max(1.0)
}

/// Guards against a part that two VMs use: the one that has it, and one that takes the first for gone, or has just joined.
#[test]
fn no_part_is_used_by_two_vms_through_cuts_and_joins() {
    for seed in 0..seeds() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rates: Vec<u32> = (0..3).map(|_| rng.random_range(300..5_000)).collect();
        let mut needs: Vec<Need> = rates.iter().map(|rate| need(*rate)).collect();
        needs.push(Need::NONE);
        let mut play = LimitPlay::new(seed, rng.random_range(2..8), needs, 40.0);
        for step in 0..6 {
            play.run_until(Moment::from_millis(7_000 + step * 4_000));
            let until = play.now + Duration::from_millis(rng.random_range(1_000..15_000));
            play.meet(if step % 2 == 0 { Trouble::Join } else { Trouble::Cut(1, until) });
        }
        play.run_until(play.now + WINDOW);
        for (target, rate) in rates.into_iter().map(RequestRate).enumerate() {
            // A window in which a part changes hands has one more that may send at its very begin.
            let (most, permitted) = (play.most_counted(target) as f64, exact(rate) + 1.0);
            assert!(most <= permitted, "seed {seed}: {most} requests at {rate} a second");
        }
    }
}

/// Guards against a limit that is broken through restarts, cuts between the VMs, lost digests and bursts, one after the
/// other and at the same time.
#[test]
fn limits_hold_through_restarts_cuts_and_bursts() {
    for seed in 0..seeds() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = if seed % 5 == 0 { 30 } else { rng.random_range(2..12) };
        let rates: Vec<u32> = (0..3).map(|_| rng.random_range(0..9_000)).collect();
        let mut needs: Vec<Need> = rates.iter().map(|rate| need(*rate)).collect();
        needs.push(Need::NONE);
        let mut play = LimitPlay::new(seed, vms, needs, rng.random_range(2.0..12.0));
        let mut troubles = Vec::new();
        while play.now < Moment::from_millis(30_000) {
            let pause = Duration::from_millis(rng.random_range(200..4_000));
            play.run_until(play.now + pause);
            let trouble = match rng.random_range(0..4) {
                0 => Trouble::Restart(rng.random_range(0..vms)),
                1 => {
                    let span = Duration::from_millis(rng.random_range(500..15_000));
                    Trouble::Cut(rng.random_range(0..vms), play.now + span)
                }
                _ => Trouble::Burst(rng.random_range(1..10)),
            };
            troubles.push((play.now, trouble));
            play.meet(trouble);
        }
        for (target, rate) in rates.into_iter().enumerate() {
            let (most, permitted) = (play.most_counted(target), permitted(RequestRate(rate)));
            assert!(
                most <= permitted,
                "seed {seed}, {vms} VMs: {most} requests, {permitted} permitted; {troubles:?}"
            );
        }
    }
}
