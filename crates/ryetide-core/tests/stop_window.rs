//! Which requests a stopping VM sends to targets, by the durations of their routes' runs.

use std::time::Duration;

use ryetide_core::{run_durations::RunDurations, stop_window::StopWindow, units::Moment};

const ORDERED: Moment = Moment::from_millis(10_000);
/// Far behind the end of any stop.
const DEADLINE: Moment = Moment::from_millis(90_000);

fn durations(millis: &[u64]) -> RunDurations {
    let mut durations = RunDurations::default();
    millis.iter().for_each(|millis| durations.record(Duration::from_millis(*millis)));
    durations
}

fn latest_start(grace_s: u64, durations: &RunDurations, deadline: Moment) -> Duration {
    let window = StopWindow::new(ORDERED, Duration::from_secs(grace_s));
    window.latest_start(durations, deadline).since(ORDERED)
}

/// Guards against runs that are cut off because their route's runs are longer than what is left.
#[test]
fn a_run_begins_only_if_it_can_be_expected_to_end() {
    for grace_s in [3, 6, 8, 30] {
        for millis in [1, 100, 1_000, 2_500, 20_000] {
            let durations = durations(&[millis; 20]);
            let start = latest_start(grace_s, &durations, DEADLINE);
            let end = start + Duration::from_millis(millis);
            let fits = Duration::from_millis(millis) < Duration::from_secs(grace_s);
            assert!(!fits || end < Duration::from_secs(grace_s), "{grace_s} s, {millis} ms");
        }
    }
}

/// Guards against refusing everything from the order on because one run in many was long.
#[test]
fn one_long_run_counts_only_once_no_callers_are_expected() {
    let mut millis = [100; 30];
    millis[7] = 7_900;
    let start = latest_start(8, &durations(&millis), DEADLINE);
    assert_eq!(start, Duration::from_millis(2_500));
}

/// Guards against late runs of which nothing is known, and against refusing those that their deadline
/// ends in time.
#[test]
fn a_late_run_of_unknown_duration_begins_only_if_its_deadline_ends_it() {
    let unknown = RunDurations::default();
    assert_eq!(latest_start(8, &unknown, DEADLINE), Duration::from_millis(2_500));
    assert_eq!(latest_start(3, &unknown, DEADLINE), Duration::from_millis(1_500));
    let deadline = ORDERED + Duration::from_secs(7);
    assert_eq!(latest_start(8, &unknown, deadline), Duration::from_secs(7));
    assert_eq!(latest_start(0, &unknown, DEADLINE), Duration::ZERO);
}
