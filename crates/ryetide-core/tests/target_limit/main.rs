//! Request rate limits that targets announce for all VMs together.

mod arbiters;
mod fleet;
mod sharing;

use std::time::Duration;

use ryetide_core::units::Moment;

/// The length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most of `moments`, which are in order, within one window of length [`WINDOW`].
fn most_in_window(moments: &[Moment]) -> usize {
    let within = |first: usize| {
        let rest = &moments[first..];
        rest.partition_point(|at| at.since(moments[first]) < WINDOW)
    };
    (0..moments.len()).map(within).max().unwrap_or(0)
}
