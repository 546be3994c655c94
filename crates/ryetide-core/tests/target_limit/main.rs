//! Targets that name the requests a second which they take from all VMs together.

mod arbiters;
mod fleet;
mod lines;

use std::time::Duration;

use ryetide_core::units::Moment;

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most of these moments, in order, within one span of [`WINDOW`].
fn most_in_window(moments: &[Moment]) -> usize {
    let within = |first: usize| {
        let rest = &moments[first..];
        rest.partition_point(|at| at.since(moments[first]) < WINDOW)
    };
    (0..moments.len()).map(within).max().unwrap_or(0)
}
