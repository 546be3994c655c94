//! Loads in which targets crash: under requests that come again and again, and for reasons of their own. Nine VMs, each
//! with its ledger, tell each other what they note; what counts is which requests targets get, and who is refused.

mod crash_play;

use std::time::Duration;

use crash_play::{CrashPlay, PlayOutcome, PlayPlan};

const SEEDS: u64 = 12;
/// What is permitted: no more than this many attempts that a caller makes later than this after the third crash may
/// reach targets.
const SETTLED_SPAN: Duration = Duration::from_secs(3);
const PERMITTED_LATER: usize = 3;

fn play(plan: &PlayPlan) -> Vec<PlayOutcome> {
    (0..SEEDS).map(|seed| CrashPlay::new(plan.clone(), seed).play()).collect()
}

fn check_deadly(outcomes: &[PlayOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        for (name, later) in outcome.attempts_later_than(SETTLED_SPAN) {
            assert!(
                later <= PERMITTED_LATER,
                "seed {seed}: {name} reached targets {later} times more"
            );
        }
    }
}

fn check_innocent(outcomes: &[PlayOutcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        let refused = &outcome.innocent_refused;
        assert!(refused.is_empty(), "seed {seed}: {refused:?} are refused for what others did");
    }
}

/// Five requests, one after the other, each come again for six seconds and crash each target that begins to run them.
/// With each target some ten other requests end at up to nine VMs; they come again too, and many meet a second and a
/// third crash. The five are soon sent to nobody, and all others are served.
#[test]
fn requests_that_crash_targets_are_found_among_those_beside_them() {
    let outcomes = play(&PlayPlan { deadly: 5, ..PlayPlan::default() });
    check_deadly(&outcomes);
    check_innocent(&outcomes);
}

/// The same with two such requests at a time: some that ran beside one of them run beside the other next.
#[test]
fn two_that_crash_targets_at_once_are_told_apart() {
    let outcomes = play(&PlayPlan { deadly: 6, at_once: 2, ..PlayPlan::default() });
    check_deadly(&outcomes);
    check_innocent(&outcomes);
}

/// Targets crash for reasons of their own, a third of them each two seconds. Long requests meet three crashes in a row
/// now and then, and nobody is to blame.
#[test]
fn targets_that_crash_by_themselves_put_nobody_under_quarantine() {
    let plan = PlayPlan { own_crashes: Some(Duration::from_secs(2)), ..PlayPlan::default() };
    check_innocent(&play(&plan));
}

/// Both at once: crashes of their own hide the request that crashes targets no longer than is permitted.
#[test]
fn crashes_of_their_own_do_not_hide_a_request_that_crashes_targets() {
    let own_crashes = Some(Duration::from_secs(5));
    let outcomes = play(&PlayPlan { deadly: 4, own_crashes, ..PlayPlan::default() });
    check_deadly(&outcomes);
    check_innocent(&outcomes);
}

/// A VM in three is killed each second and starts again with nothing: it is told what the others know.
#[test]
fn vms_that_start_again_know_what_the_others_know() {
    let restarts = Some(Duration::from_secs(1));
    let outcomes = play(&PlayPlan { deadly: 5, restarts, ..PlayPlan::default() });
    check_deadly(&outcomes);
    check_innocent(&outcomes);
}
