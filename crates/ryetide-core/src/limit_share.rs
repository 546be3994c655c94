//! One VM's share of a request rate limit that applies to all VMs together.
//!
//! VMs compute their shares without exchanging messages. Each ranks the VMs that use a target by a
//! hash, and the first ones divide the limit equally, as many as can have one request a second
//! each. If all VMs divided it, a limit of 1 request a second would let each of 9 VMs, or of 89,
//! send one request at the same moment. A VM without a share sends its callers' requests to other
//! targets.
//!
//! Uncertainty always makes a share smaller. An unreachable VM keeps its share until it counts as
//! gone, and a VM that does not reach all others uses only a part of its own share, in proportion
//! to the VMs that it reaches. A VM that gains a share waits until its previous holder must know
//! that it has lost it. A share that is not used in time expires.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    ids::{TargetKey, VmName},
    peer_digests::PEER_TIMEOUT,
    units::{Moment, RequestRate},
};

/// A VM that gains a share sends nothing for this long. The previous holder learns of its loss
/// within the time after which a silent peer counts as unreachable.
pub const HANDOVER_SPAN: Duration = PEER_TIMEOUT;
/// The longest pause between two requests, also to a target that accepts none: the requests show
/// when it accepts some again.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// The retry delay for callers where other VMs hold all shares: the retry may reach one of them.
const NO_SHARE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The lowest sum of rates that divisions use; it keeps their results finite.
const MIN_RATE: f64 = 0.01;

/// Returns the requests a second that `own` may send to `target`, which accepts `rate` from `vms`
/// and `own` together; none when other VMs hold all shares.
///
/// # Example
///
/// ```
/// use ryetide_core::{ids::TargetKey, limit_share, units::RequestRate};
///
/// let target = TargetKey::of(&"t1".into());
/// let vms = [&"e1".into(), &"e2".into(), &"e3".into()];
/// let share = |own: usize| limit_share::rate_of(RequestRate(1_900), target, vms[own], &vms);
/// let shares: Vec<f64> = (0..3).filter_map(share).collect();
/// assert_eq!(shares, [1.9]);
/// ```
pub fn rate_of(rate: RequestRate, target: TargetKey, own: &VmName, vms: &[&VmName]) -> Option<f64> {
    let own_rank = rank(target, own);
    let others = vms.iter().filter(|vm| **vm != own);
    let ahead = others.clone().filter(|vm| rank(target, vm) < own_rank).count();
    let limit = rate.per_second().floor() as usize;
    let holders = limit.clamp(1, others.count() + 1);
    (ahead < holders).then(|| rate.per_second() / holders as f64)
}

pub(crate) fn rank(target: TargetKey, vm: &VmName) -> (u64, &VmName) {
    (xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(target.0)), vm)
}

/// This VM's share of a target's limit.
///
/// # Example
///
/// ```
/// use ryetide_core::{limit_share::{HANDOVER_SPAN, LimitShare}, units::Moment};
///
/// let now = Moment::from_millis(1);
/// let mut limit = LimitShare::Unlimited;
/// limit.set(now, Some(2.0));
/// let first = now + HANDOVER_SPAN;
/// assert!(!limit.permits(now) && limit.permits(first));
/// limit.take(first);
/// assert!(!limit.permits(first));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitShare {
    /// The target announces no limit.
    #[default]
    Unlimited,
    /// The target announces a limit, and other VMs hold all shares.
    NoShare,
    /// This VM holds a share.
    Share(PacedShare),
}

impl LimitShare {
    /// Sets this VM's share in requests a second; none when other VMs hold all shares.
    pub fn set(&mut self, now: Moment, rate: Option<f64>) {
        *self = match (*self, rate) {
            (_, None) => Self::NoShare,
            (Self::Share(share), Some(rate)) => Self::Share(PacedShare { rate, ..share }),
            (Self::Unlimited | Self::NoShare, Some(rate)) => {
                Self::Share(PacedShare::start(now, rate))
            }
        };
    }

    /// Records that a request is dispatched.
    pub fn take(&mut self, now: Moment) {
        if let Self::Share(share) = self {
            share.last_dispatch = Some(now);
        }
    }

    /// Returns whether a request may be dispatched now.
    pub fn permits(&self, now: Moment) -> bool {
        match self {
            Self::Unlimited => true,
            Self::NoShare => false,
            Self::Share(share) => now >= share.next_at(),
        }
    }

    /// Returns the requests a second that this VM may dispatch; none without a limit.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::NoShare => Some(0.0),
            Self::Share(share) => Some(share.rate),
        }
    }

    /// Returns the earliest time at which a retry from a refused caller can be dispatched, by this
    /// VM or by one that holds a share.
    pub fn ready_at(&self, now: Moment) -> Moment {
        match self {
            Self::Unlimited => now,
            Self::NoShare => now + NO_SHARE_RETRY_DELAY,
            Self::Share(share) => share.next_at(),
        }
    }
}

/// A share of a limit, and when its next request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacedShare {
    rate: f64,
    /// Nothing may be dispatched before this time, whatever the rate.
    held_until: Moment,
    last_dispatch: Option<Moment>,
}

impl PacedShare {
    /// Creates a share of `rate` requests a second. The first may be dispatched after
    /// [`HANDOVER_SPAN`].
    fn start(now: Moment, rate: f64) -> Self {
        Self { rate, held_until: now + HANDOVER_SPAN, last_dispatch: None }
    }

    /// Returns when the next request may be dispatched. An unused share does not accumulate,
    /// because saved-up requests of several VMs could arrive at the same moment.
    fn next_at(&self) -> Moment {
        let seconds = (1.0 / self.rate.max(f64::MIN_POSITIVE)).min(LONGEST_PAUSE.as_secs_f64());
        let pause = Duration::from_secs_f64(seconds);
        self.last_dispatch.map_or(self.held_until, |at| (at + pause).max(self.held_until))
    }
}

/// Returns the time until `count` requests can be dispatched to targets that all announce a limit.
pub fn time_for<'a>(count: usize, limits: impl Iterator<Item = &'a LimitShare>) -> Duration {
    let rate: f64 = limits.filter_map(LimitShare::rate).sum();
    Duration::from_secs_f64(count as f64 / rate.max(MIN_RATE))
}
