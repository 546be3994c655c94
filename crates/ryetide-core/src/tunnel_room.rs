//! Bounds what this VM spends on the connections that it opens for peers.
//!
//! Two thirds of the VMs may be cut off from the targets at once, and the others must go on serving
//! their own callers. The number of tunnels bounds memory and descriptors; a rate bounds the share
//! of the link.

use std::time::Duration;

use crate::units::{LinkRate, Moment};

/// The most tunnels through a VM with a fast link. Each takes two descriptors and some 40 KB.
const MAX_TUNNELS: u32 = 192;
/// The tunnels for each Mbit/s of a slow link.
const TUNNELS_PER_MEGABIT: u32 = 4;
/// The share of the link that tunnels may use in each direction.
const LINK_SHARE: f64 = 0.5;
/// The link's speed in bytes a second for each Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// The time by which the tunnels' bytes may be ahead of their rate, so that short answers do not
/// wait.
const BURST_SPAN: Duration = Duration::from_millis(50);

/// The room for tunnels of peers at this VM.
#[derive(Clone, Debug)]
pub struct TunnelRoom {
    open: u32,
    limit: u32,
    /// Bytes a second; none if the link's speed is not known.
    rate: Option<f64>,
    /// When the bytes forwarded so far are within the rate.
    paid_until: Moment,
}

impl TunnelRoom {
    /// Creates the room of a VM with this link; the speed 0 stands for an unknown one.
    pub fn new(link: LinkRate) -> Self {
        let limit = link.0.saturating_mul(TUNNELS_PER_MEGABIT);
        let is_known = link.0 > 0;
        Self {
            open: 0,
            limit: if is_known { limit.min(MAX_TUNNELS) } else { MAX_TUNNELS },
            rate: is_known.then(|| f64::from(link.0) * BYTES_PER_MEGABIT * LINK_SHARE),
            paid_until: Moment::default(),
        }
    }

    /// Sets the most tunnels that the machine bears.
    pub fn bounded(mut self, tunnels: u32) -> Self {
        self.limit = self.limit.min(tunnels);
        self
    }

    /// Takes the room for one tunnel; returns whether there was any.
    pub fn enter(&mut self) -> bool {
        let has_room = self.open < self.limit;
        self.open += u32::from(has_room);
        has_room
    }

    /// Gives the room for one tunnel back.
    pub fn leave(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of tunnels.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Records forwarded bytes, and returns how long to pause before more are forwarded.
    pub fn record_bytes(&mut self, now: Moment, bytes: usize) -> Duration {
        let Some(rate) = self.rate else { return Duration::ZERO };
        let span = Duration::from_secs_f64(bytes as f64 / rate);
        self.paid_until = self.paid_until.max(now) + span;
        self.paid_until.since(now).saturating_sub(BURST_SPAN)
    }
}
