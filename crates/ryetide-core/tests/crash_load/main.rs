//! Loads in which targets crash, because of requests that are retried again and again or for other
//! reasons. Nine VMs with a crash ledger each report to each other; the tests check which requests
//! reach targets and which are refused.

mod parts;
mod simulation;

use std::time::Duration;

use simulation::{CrashSimulation, SimulationOutcome, SimulationPlan};

const SEEDS: u64 = 12;
/// Attempts that are made later than this after a request's third crash are counted.
const SETTLED_SPAN: Duration = Duration::from_secs(3);
/// The number of those attempts that may still reach targets.
const PERMITTED_LATER: usize = 3;

fn run(plan: &SimulationPlan) -> Vec<SimulationOutcome> {
    (0..SEEDS).map(|seed| CrashSimulation::new(plan.clone(), seed).run()).collect()
}

fn check_crashing(outcomes: &[SimulationOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        for (name, later) in outcome.attempts_later_than(SETTLED_SPAN) {
            assert!(
                later <= PERMITTED_LATER,
                "seed {seed}: {name} reached targets {later} more times"
            );
        }
    }
}

fn check_innocent(outcomes: &[SimulationOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        let refused = &outcome.innocent_refused;
        assert!(refused.is_empty(), "seed {seed}: {refused:?} are refused but crash no target");
    }
}

/// Five requests, one after the other, are retried for six seconds and crash every target that runs
/// them. With each target about ten other requests of up to nine VMs end; they are retried too, and
/// many meet a second and a third crash. The five must soon reach no target, and no other request
/// may be refused.
#[test]
fn requests_that_crash_targets_are_distinguished_from_others_at_the_same_targets() {
    let outcomes = run(&SimulationPlan { crashing: 5, ..SimulationPlan::default() });
    check_crashing(&outcomes);
    check_innocent(&outcomes);
}

/// The same with two such requests at a time, so that other requests meet crashes of both.
#[test]
fn two_requests_that_crash_targets_at_once_are_distinguished() {
    let outcomes = run(&SimulationPlan { crashing: 6, at_once: 2, ..SimulationPlan::default() });
    check_crashing(&outcomes);
    check_innocent(&outcomes);
}

/// Guards against a quarantine of requests that meet three crashes in a row by chance: a third of
/// the targets crashes every two seconds, and no request causes it.
#[test]
fn crashes_that_no_request_causes_quarantine_none() {
    let unrelated_crashes = Some(Duration::from_secs(2));
    check_innocent(&run(&SimulationPlan { unrelated_crashes, ..SimulationPlan::default() }));
}

/// Unrelated crashes at the same time must not delay the quarantine of a request that crashes
/// targets for longer than is permitted.
#[test]
fn unrelated_crashes_do_not_hide_a_request_that_crashes_targets() {
    let unrelated_crashes = Some(Duration::from_secs(5));
    let plan = SimulationPlan { crashing: 4, unrelated_crashes, ..SimulationPlan::default() };
    let outcomes = run(&plan);
    check_crashing(&outcomes);
    check_innocent(&outcomes);
}

/// Guards against VMs that let requests pass which crash targets, because they were restarted and
/// lost their records: one VM in three restarts every second and must get the records of the
/// others.
#[test]
fn restarted_vms_get_the_records_of_the_others() {
    let restarts = Some(Duration::from_secs(1));
    let outcomes = run(&SimulationPlan { crashing: 5, restarts, ..SimulationPlan::default() });
    check_crashing(&outcomes);
    check_innocent(&outcomes);
}
