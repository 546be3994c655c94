//! Estimates of how long callers have waited, from the remaining time that they state.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::deadline_tracker::DeadlineTracker;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// In a burst, two of three requests are retries, each with a different remaining time. They must
/// be recognised by it, also some time after callers begin to start with another deadline.
#[test]
fn retries_are_recognised_by_their_remaining_time() {
    let mut tracker = DeadlineTracker::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for (start, from) in [(10_000, 20), (4_000, 500)] {
        for round in 0..2_000 {
            let new = tracker.waited(millis(start));
            assert!(round < from || new.is_zero(), "{start} {new:?}");
            for _ in 0..2 {
                let waited = rng.random_range(300..3_000);
                let estimated = tracker.waited(millis(start - waited));
                assert!(
                    round < from || estimated == millis(waited),
                    "{start} {waited} {estimated:?}"
                );
            }
        }
    }
}

/// Callers choose deadlines of their own and never retry. None may be ranked behind others because
/// its deadline is shorter.
#[test]
fn varied_deadlines_give_no_estimate() {
    let mut tracker = DeadlineTracker::default();
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..3_000 {
        assert_eq!(tracker.waited(millis(rng.random_range(2_000..30_000))), Duration::ZERO);
    }
}

/// Two applications call one route, one with a deadline of 3 s and one of 10 s. The shorter
/// deadline must not be taken for a retry.
#[test]
fn a_frequent_starting_time_is_not_taken_for_a_retry() {
    let mut tracker = DeadlineTracker::default();
    let mut longest = Duration::ZERO;
    for round in 0..500 {
        let waited = tracker.waited(millis(if round % 4 == 0 { 3_000 } else { 10_000 }));
        longest = if round > 60 { longest.max(waited) } else { Duration::ZERO };
    }
    assert_eq!(longest, Duration::ZERO);
    assert_eq!(tracker.waited(millis(2_500)), millis(500));
}
