//! Loads in which a part of prompts crashes the targets, or seems to.

use std::{ops::Range, time::Duration};

use crate::{
    PERMITTED_LATER, SEEDS, SETTLED_SPAN,
    simulation::{CrashSimulation, CrashingPart, MassCrash, SimulationOutcome, SimulationPlan},
};

/// The seconds before the part begins to crash targets, and those from which on, 6 s after its fifth
/// crash and more, other requests must be served again.
const BEFORE: Range<u64> = 0..3;
const RECOVERED: Range<u64> = 12..40;

fn run(plan: &SimulationPlan) -> Vec<SimulationOutcome> {
    (0..SEEDS).map(|seed| CrashSimulation::new(plan.clone(), seed).run()).collect()
}

fn every(number: u64, millis: u64) -> CrashingPart {
    CrashingPart::every(number, Duration::from_millis(millis))
}

fn check_parts(outcomes: &[SimulationOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        for (number, later, crashes) in outcome.part_runs_later_than(SETTLED_SPAN) {
            assert!(
                later <= PERMITTED_LATER,
                "seed {seed}: part {number} reached targets {later} more times, {crashes} crashed"
            );
        }
    }
}

fn check_innocent(outcomes: &[SimulationOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        let wrong = &outcome.wrongly_quarantined;
        let refused = outcome.innocent_refused.len();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?} crash no target, {refused} refused");
    }
}

fn check_served(outcomes: &[SimulationOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        let (before, after) = (outcome.whole_share(BEFORE), outcome.whole_share(RECOVERED));
        assert!(after * 2.0 >= before, "seed {seed}: {after:.3} are served, {before:.3} before");
    }
}

/// Guards against a part that crashes one target after the other in requests of which no two are
/// alike, and against a quarantine of the parts beside it.
#[test]
fn a_part_that_crashes_targets_is_quarantined() {
    for millis in [1_000, 250, 120, 40] {
        let outcomes =
            run(&SimulationPlan { parts: vec![every(100, millis)], ..Default::default() });
        check_parts(&outcomes);
        check_innocent(&outcomes);
        check_served(&outcomes);
    }
}

/// Guards against a part that is not found since each prompt holds others behind it.
#[test]
fn a_part_in_the_middle_of_prompts_is_quarantined() {
    for behind in [vec![200], vec![201, 202, 203]] {
        let part = CrashingPart { behind, ..every(100, 250) };
        let outcomes = run(&SimulationPlan { parts: vec![part], ..Default::default() });
        check_parts(&outcomes);
        check_innocent(&outcomes);
    }
}

/// Guards against two such parts that hide each other, in requests of their own or in the same.
#[test]
fn two_parts_that_crash_targets_at_once_are_quarantined() {
    let apart = vec![every(100, 250), every(101, 270)];
    let together = vec![CrashingPart { behind: vec![101], ..every(100, 250) }, every(101, 400)];
    for parts in [apart, together] {
        let outcomes = run(&SimulationPlan { parts, ..Default::default() });
        check_parts(&outcomes);
        check_innocent(&outcomes);
    }
}

/// Guards against a part and a request that crash targets at once and hide each other.
#[test]
fn a_part_and_a_request_that_crash_targets_are_quarantined() {
    let parts = vec![every(100, 250)];
    let outcomes = run(&SimulationPlan { parts, crashing: 4, ..Default::default() });
    check_parts(&outcomes);
    check_innocent(&outcomes);
    for (seed, outcome) in outcomes.iter().enumerate() {
        for (name, later) in outcome.attempts_later_than(SETTLED_SPAN) {
            assert!(later <= PERMITTED_LATER, "seed {seed}: {name} reached targets {later} times");
        }
    }
}

/// Guards against a part that is hidden by crashes which no request causes.
#[test]
fn unrelated_crashes_do_not_hide_a_part() {
    for seconds in [5, 2] {
        let unrelated_crashes = Some(Duration::from_secs(seconds));
        let parts = vec![every(100, 250)];
        let outcomes = run(&SimulationPlan { parts, unrelated_crashes, ..Default::default() });
        check_parts(&outcomes);
        check_innocent(&outcomes);
    }
}

/// Guards against restarted VMs that let a part pass which others have quarantined.
#[test]
fn restarted_vms_learn_of_quarantined_parts() {
    let (parts, restarts) = (vec![every(100, 250)], Some(Duration::from_secs(1)));
    let outcomes = run(&SimulationPlan { parts, restarts, ..Default::default() });
    check_parts(&outcomes);
    check_innocent(&outcomes);
}

/// Guards against a document that is refused since its requests have long answers, few of which are
/// complete while targets crash.
#[test]
fn documents_with_long_answers_are_not_quarantined() {
    let long = SimulationPlan { long_documents: true, ..Default::default() };
    let outcomes = run(&SimulationPlan { parts: vec![every(100, 250)], ..long.clone() });
    check_parts(&outcomes);
    check_innocent(&outcomes);
    let unrelated_crashes = Some(Duration::from_secs(2));
    check_innocent(&run(&SimulationPlan { unrelated_crashes, ..long }));
}

/// Guards against parts that are refused since all targets crash at the same moment, also parts that
/// came for the first time just before.
#[test]
fn crashes_of_all_targets_at_once_quarantine_no_part() {
    for (targets, seconds) in [(12, 5), (12, 9), (4, 2), (2, 1)] {
        let mass_crash = Some(MassCrash { interval: Duration::from_secs(seconds), targets });
        for burst_document in [None, Some(300)] {
            let mass_crash = mass_crash.clone();
            let plan = SimulationPlan { mass_crash, burst_document, ..Default::default() };
            check_innocent(&run(&plan));
        }
    }
}

/// Guards against parts and requests that are refused since a faulty version of the service crashes under every
/// request, at some of the targets or at all.
#[test]
fn targets_that_crash_under_every_request_quarantine_nothing() {
    for broken_targets in [3, 8, 12] {
        check_innocent(&run(&SimulationPlan { broken_targets, ..Default::default() }));
    }
}

/// Guards against a part that was sound for long and crashes targets from then on.
#[test]
fn a_part_that_was_sound_before_is_quarantined() {
    let from = Duration::from_secs(15);
    let part = CrashingPart { from, interval: None, ..every(3, 250) };
    let outcomes = run(&SimulationPlan { parts: vec![part], ..Default::default() });
    check_parts(&outcomes);
    check_innocent(&outcomes);
}
