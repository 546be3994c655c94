//! How often a VM tells the others of its cell what has changed.
//!
//! Answers a burst in a large cell: every VM has a line, something changes at each of them every few
//! milliseconds, and all others of the cell are told. Told directly, a VM takes as many messages as it has
//! mates, until it does nothing but listen. So digests of large cells are further apart where nobody can pass
//! them on, and each VM is told as often as in a cell of [`CELL_SIZE`]. What depends on how soon the others
//! know of a change, such as the turns at a free place, takes its time from here.

use std::time::Duration;

use crate::cell_plan::CELL_SIZE;

/// The time between two digests of a VM in a cell of [`CELL_SIZE`]: under the time between two VMs' decisions
/// at a usual load. Its seven mates then tell a VM some 1,200 times a second at the most, which is a third of
/// what one with 0.12 of a core can take.
const CELL_INTERVAL: Duration = Duration::from_millis(6);
/// The time between two digests that are passed on, at the least: a VM's share of what those that pass on take,
/// which is then no more than 1,100 digests a second for each of three before forty VMs.
const PASSED_ON_INTERVAL: Duration = Duration::from_millis(12);
/// The time between two messages in which a VM passes on what came to it. The other VMs take that many messages
/// from each VM that passes on, 50 a second; the digests wait half as long on their way, in the mean.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(20);
/// What a digest needs to reach the others: up to 2 ms between data centres.
const TRAVEL: Duration = Duration::from_millis(2);
/// In how many digests a change is told again, so that those which are lost are made good.
const TOLD_AGAIN: u32 = 5;

/// The times that follow from how a VM's mates are told.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::digest_pace::DigestPace;
///
/// assert_eq!(DigestPace::direct(7).interval(), Duration::from_millis(6));
/// assert_eq!(DigestPace::direct(35).interval(), Duration::from_millis(30));
/// assert_eq!(DigestPace::passed_on().interval(), Duration::from_millis(12));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestPace {
    interval: Duration,
    /// How long a digest waits on its way to be passed on.
    waits: Duration,
}

impl DigestPace {
    /// Returns the pace of a VM that tells this many mates directly.
    pub fn direct(mates: usize) -> Self {
        let mates = u32::try_from(mates).unwrap_or(u32::MAX);
        let usual = u32::try_from(CELL_SIZE - 1).unwrap_or(u32::MAX);
        let interval = (CELL_INTERVAL.saturating_mul(mates) / usual).max(CELL_INTERVAL);
        Self { interval, waits: Duration::ZERO }
    }

    /// Returns the pace of a VM whose digests another one passes on.
    pub fn passed_on() -> Self {
        Self { interval: PASSED_ON_INTERVAL, waits: RELAY_INTERVAL }
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
        self.interval + self.waits + TRAVEL
    }
}
