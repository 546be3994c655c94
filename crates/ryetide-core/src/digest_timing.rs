//! How often a VM sends digests to the peers in its cell.
//!
//! During a burst in a large cell, every VM has a queue, something changes at each of them every
//! few milliseconds, and each change is sent to all others of the cell. Sent directly, that costs
//! each VM as many messages per interval as it has peers, until it spends all its processor time on
//! receiving them. Where no VM can relay digests, the interval therefore grows with the size of the
//! cell, so that each VM receives as many digests as in a cell of [`CELL_SIZE`]. Whatever depends
//! on how soon the others know of a change, such as the turns for a free slot, derives its time
//! from here.

use std::time::Duration;

use crate::cell_plan::CELL_SIZE;

/// The interval between two digests of a VM in a cell of [`CELL_SIZE`]. It is shorter than the time
/// between two VMs' decisions at a usual load. A VM then receives at most some 1,200 digests a
/// second from its seven peers, a third of what one with 0.12 of a core can process.
const CELL_INTERVAL: Duration = Duration::from_millis(6);
/// The shortest interval between two digests that are sent through a relay. It keeps the load of
/// each of three relays for forty VMs at 1,100 digests a second or less.
const RELAYED_INTERVAL: Duration = Duration::from_millis(12);
/// The interval between two messages of a relay. Every other VM receives 50 messages a second from
/// each relay; a digest waits half the interval at the relay on average.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(20);
/// The network delay of a digest: up to 2 ms between data centres.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// How many digests repeat a change, so that the loss of some is made up for.
const REPEATS: u32 = 5;

/// The timing of a VM's digests, which follows from the way they are sent.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::digest_timing::DigestTiming;
///
/// assert_eq!(DigestTiming::direct(7).interval(), Duration::from_millis(6));
/// assert_eq!(DigestTiming::direct(35).interval(), Duration::from_millis(30));
/// assert_eq!(DigestTiming::relayed().interval(), Duration::from_millis(12));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestTiming {
    interval: Duration,
    /// The longest time for which a digest waits at a relay.
    relay_delay: Duration,
}

impl DigestTiming {
    /// Returns the timing of a VM that sends its digests directly to this many peers in its cell.
    pub fn direct(peers: usize) -> Self {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let usual = u32::try_from(CELL_SIZE - 1).unwrap_or(u32::MAX);
        let interval = (CELL_INTERVAL.saturating_mul(peers) / usual).max(CELL_INTERVAL);
        Self { interval, relay_delay: Duration::ZERO }
    }

    /// Returns the timing of a VM that sends its digests through a relay.
    pub fn relayed() -> Self {
        Self { interval: RELAYED_INTERVAL, relay_delay: RELAY_INTERVAL }
    }

    /// Returns the shortest interval between two digests.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns for how long digests repeat a change.
    pub fn repeat_span(&self) -> Duration {
        self.interval * REPEATS
    }

    /// Returns the time within which a change at one VM reaches all peers in its cell.
    pub fn propagation_time(&self) -> Duration {
        self.interval + self.relay_delay + NETWORK_DELAY
    }
}
