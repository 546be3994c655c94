//! What a VM may use of its machine.

use crate::units::ByteSize;

/// The memory of the smallest machine that runs a VM whose settings state none.
const DEFAULT_MEMORY: ByteSize = ByteSize(256_000_000);
/// The sockets of such a machine.
const DEFAULT_SOCKETS: u32 = 3_900;

/// What a VM may use of its machine. Beyond it the process is ended, or cannot open connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// The memory of the process.
    pub memory: ByteSize,
    /// The sockets that it may have open at once.
    pub sockets: u32,
}

/// The memory of a connection of a caller: buffers of the process, and received bytes that it has not
/// read, both at their largest.
const CONNECTION_MEMORY: ByteSize = ByteSize(112 << 10);
/// The share of the memory for connections of callers.
const CONNECTION_SHARE: f64 = 0.3;
/// The sockets for listeners, the store and the status port.
const FIXED_SOCKETS: u32 = 24;
/// The share of the sockets for idle connections to targets, as a divisor.
const POOL_DIVISOR: u32 = 8;
/// The share of the sockets for each tunnel's end, as a divisor.
const TUNNEL_DIVISOR: u32 = 20;
/// The most tunnels.
const MAX_TUNNELS: u32 = 192;
/// The connections of callers that are served on the smallest machine.
const MIN_CALLERS: u32 = 8;

impl MachineLimits {
    /// Returns how many connections callers may have open. For each there is a socket for a connection
    /// to a target, beside those that the VM needs whatever callers do.
    pub fn caller_connections(&self) -> usize {
        let others = FIXED_SOCKETS + self.pooled_connections() + 2 * self.tunnels();
        let by_sockets = self.sockets.saturating_sub(others) / 2;
        let memory = self.memory.0 as f64 * CONNECTION_SHARE;
        let by_memory = (memory / CONNECTION_MEMORY.0 as f64) as u32;
        by_sockets.min(by_memory).max(MIN_CALLERS) as usize
    }

    /// Returns how many idle connections to targets are kept.
    pub fn pooled_connections(&self) -> u32 {
        self.sockets / POOL_DIVISOR
    }

    /// Returns how many connections to targets this VM opens for its peers.
    pub fn tunnels(&self) -> u32 {
        (self.sockets / TUNNEL_DIVISOR).min(MAX_TUNNELS)
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { memory: DEFAULT_MEMORY, sockets: DEFAULT_SOCKETS }
    }
}
