//! Overflow between cells and data centres, under load and under failures.

mod fleet_simulation;
mod lending;

use fleet_simulation::{FleetSimulation, QUIET, Script};
use ryetide_core::scheduling_policy::SchedulingPolicy;

/// One data centre's callers send 2.2 times their load, more than its own targets can serve.
const BURST: Script = Script { factor: 2.2, burst: (2_000, 10_000), seconds: 11, ..QUIET };
/// The largest share of requests that may be refused in the busy data centre.
const MAX_REFUSED: f64 = 0.03;

/// Four in five requests of all data centres arrive at one VM, with all policies in effect.
fn lean() -> Script {
    Script { policy: SchedulingPolicy::default(), lean: (4_000, 10_000), seconds: 11, ..QUIET }
}

/// The last part of that time, after the VM had time to borrow.
const LEAN_STABLE: (u64, u64) = (7_000, 10_000);
/// The least share that must be served then, of the share before.
const MIN_LEANING_SERVED: f64 = 0.75;

fn without_overflow(script: Script) -> Script {
    Script { policy: SchedulingPolicy::OFF, ..script }
}

/// Guards against refusals in a busy data centre while targets of the others have free slots, and
/// against lending that harms the callers of the lending cells.
#[test]
fn a_busy_data_centre_uses_the_free_slots_of_the_others() {
    for seed in 1..=3 {
        let before = FleetSimulation::play(seed, without_overflow(BURST));
        assert!(before.refused(0) > 0.1, "seed {seed}: {:?}", before.tallies);
        let after = FleetSimulation::play(seed, BURST);
        assert!(after.refused(0) <= MAX_REFUSED, "seed {seed}: {:?}", after.tallies);
        for lender in &after.tallies[1..] {
            assert!(lender.on_time * 100 >= lender.asked * 98, "seed {seed}: {lender:?}");
        }
    }
}

/// Guards against bytes between data centres while a cell of the own one has free slots.
#[test]
fn a_busy_cell_prefers_the_slots_of_its_data_centre() {
    for seed in 1..=2 {
        let script = Script { factor: 1.5, is_skewed: true, ..BURST };
        let before = FleetSimulation::play(seed, without_overflow(script));
        assert!(before.refused(0) > MAX_REFUSED, "seed {seed}: {:?}", before.tallies);
        let after = FleetSimulation::play(seed, script);
        assert!(after.refused(0) <= MAX_REFUSED, "seed {seed}: {:?}", after.tallies);
        let (all, remote) = (after.borrowed.len(), after.remote((0, 11_000)));
        assert!(remote * 2 < all, "seed {seed}: {remote} of {all} left the data centre");
    }
}

/// Guards against bytes for overflow while no VM has a shortage.
#[test]
fn without_a_shortage_digests_hold_no_reports() {
    let (factor, all) = (0.6, (0, 11_000));
    let calm = Script { factor, burst: all, return_factor: factor, return_span: all, ..BURST };
    let simulation = FleetSimulation::play(1, calm);
    assert_eq!((simulation.reports, simulation.borrowed.len()), (0, 0));
}

/// Guards against entries in digests and borrowed slots where operators have turned overflow off,
/// whatever the brief digests of others bring.
#[test]
fn while_it_is_off_nothing_is_reported_or_decided_otherwise() {
    let off = FleetSimulation::play(1, without_overflow(BURST));
    assert_eq!((off.reports, off.borrowed.len()), (0, 0));
    let cut = Script { cut: (0, 11_000), ..without_overflow(BURST) };
    assert_eq!(FleetSimulation::play(1, cut).placements, off.placements);
}

/// Guards against grants that outlive the connection to the lender, and against overflow that does
/// not return after a network partition.
#[test]
fn grants_expire_in_a_partition_and_return_after_it() {
    let simulation = FleetSimulation::play(1, Script { cut: (5_000, 7_000), ..BURST });
    assert!(simulation.remote((3_000, 5_000)) > 20);
    assert_eq!(simulation.remote((5_500, 7_000)), 0);
    assert!(simulation.remote((8_000, 10_000)) > 20);
}

/// Guards against overflow that depends on every digest: three in ten brief ones are lost.
#[test]
fn lost_digests_reduce_overflow_a_little() {
    for seed in 1..=2 {
        let before = FleetSimulation::play(seed, without_overflow(BURST));
        let after = FleetSimulation::play(seed, Script { loss: 0.3, ..BURST });
        assert!(after.refused(0) < before.refused(0) / 2.0, "seed {seed}: {:?}", after.tallies);
    }
}

/// Guards against lost capacity when all VMs of a lending data centre restart at once and forget
/// the shortages, their grants and the borrowed load.
#[test]
fn restarted_lenders_lend_again() {
    let simulation = FleetSimulation::play(1, Script { restart: 5_000, ..BURST });
    assert!(simulation.remote((7_000, 10_000)) > 20);
    assert!(simulation.refused(0) < 0.1, "{:?}", simulation.tallies);
}

/// Guards against lenders whose own callers are refused because of slots that they have lent: the
/// load of the lending data centres rises beyond their capacity in the middle of the burst.
#[test]
fn returning_demand_of_the_lenders_goes_first() {
    for seed in 1..=2 {
        let script = Script { return_factor: 1.7, return_span: (5_000, 8_000), ..BURST };
        let before = FleetSimulation::play(seed, without_overflow(script));
        let after = FleetSimulation::play(seed, script);
        for lender in 1..=2 {
            let added = after.refused(lender) - before.refused(lender);
            assert!(added <= MAX_REFUSED, "seed {seed}: {added:.3} more refused");
        }
    }
}

/// Guards against refusals at the one VM that gets most requests of all data centres, whose targets
/// announce no incarnations, while targets elsewhere are idle.
#[test]
fn one_vm_borrows_for_most_requests_of_all_data_centres() {
    for seed in 1..=3 {
        let simulation = FleetSimulation::play(seed, lean());
        let (before, leaning) = (simulation.served((1_500, 4_000)), simulation.served(LEAN_STABLE));
        assert!(
            leaning >= MIN_LEANING_SERVED * before,
            "seed {seed}: {before:.3}, then {leaning:.3}"
        );
    }
}

/// Guards against refusals at one VM because it borrows at as many targets as its digests report.
#[test]
fn one_vm_borrows_at_as_many_targets_as_it_needs() {
    for seed in 1..=2 {
        let simulation = FleetSimulation::play(seed, Script { load: 1.4, ..lean() });
        let leaning = simulation.served(LEAN_STABLE);
        assert!(leaning >= 1.0 - MAX_REFUSED, "seed {seed}: {leaning:.3}");
    }
}

/// Guards against a VM with most requests that stays without slots of others once digests were lost
/// between data centres, lenders have restarted, or lenders had a burst of their own.
#[test]
fn one_vm_borrows_again_after_failures_of_its_lenders() {
    let cut = Script { cut: (5_000, 6_000), ..lean() };
    let restarted = Script { restart: 5_000, ..lean() };
    let lossy = Script { loss: 0.3, ..lean() };
    let busy = Script { return_factor: 1.7, return_span: (5_000, 6_000), ..lean() };
    for (case, script) in [("cut", cut), ("restarted", restarted), ("lossy", lossy), ("busy", busy)]
    {
        let simulation = FleetSimulation::play(1, script);
        let (before, leaning) = (simulation.served((1_500, 4_000)), simulation.served(LEAN_STABLE));
        assert!(leaning >= MIN_LEANING_SERVED * before, "{case}: {before:.3}, then {leaning:.3}");
    }
}
