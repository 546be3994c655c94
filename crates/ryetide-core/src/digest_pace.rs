//! How often the VMs of a cell tell each other what has changed.
//!
//! Answers a burst in a large cell: every VM has a line, something changes at each of them every few
//! milliseconds, and all others of the cell are told. What a VM is told then grows with the number of its
//! mates, until it does nothing but listen. So digests of large cells are further apart, and each VM is told
//! as often as in a cell of [`CELL_SIZE`]; what depends on how soon the others know of a change, such as the
//! turns at a free place, takes its time from here.

use std::time::Duration;

use crate::cell_plan::CELL_SIZE;

/// The time between two digests of a VM in a cell of [`CELL_SIZE`]: under the time between two VMs' decisions
/// at a usual load. Its seven mates then tell a VM some 1,200 times a second at the most, which is a third of
/// what one with 0.12 of a core can take.
const CELL_INTERVAL: Duration = Duration::from_millis(6);
/// What a digest needs to reach the others: up to 2 ms between data centres.
const TRAVEL: Duration = Duration::from_millis(2);
/// In how many digests a change is told again, so that those which are lost are made good.
const TOLD_AGAIN: u32 = 5;

/// The times that follow from the number of VMs which tell each other everything.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::digest_pace::DigestPace;
///
/// assert_eq!(DigestPace::of_mates(7).interval(), Duration::from_millis(6));
/// assert_eq!(DigestPace::of_mates(35).interval(), Duration::from_millis(30));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestPace {
    interval: Duration,
}

impl DigestPace {
    /// Returns the pace of a VM with this many mates.
    pub fn of_mates(count: usize) -> Self {
        let mates = u32::try_from(count).unwrap_or(u32::MAX);
        let usual = u32::try_from(CELL_SIZE - 1).unwrap_or(u32::MAX);
        Self { interval: (CELL_INTERVAL.saturating_mul(mates) / usual).max(CELL_INTERVAL) }
    }

    /// Returns the shortest time between two digests.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns for how long a change is told again.
    pub fn change_span(&self) -> Duration {
        self.interval * TOLD_AGAIN
    }

    /// Returns the time within which a change at one VM is known at all its mates.
    pub fn news_span(&self) -> Duration {
        self.interval + TRAVEL
    }
}
