//! One VM's part of a limit that holds for all VMs together.
//!
//! Parts are dealt without a word between VMs: each ranks the VMs that use a target by a hash, and the first few share the
//! limit, so many that each has a request a second. Shared by all, a limit of 1 a second would let each of 9 VMs send one
//! request at the same moment, and each of 89. What a VM may not send itself, its callers get at other targets.
//!
//! Every doubt makes a part smaller. A VM that is not heard keeps its part until it counts as gone, and whoever does not
//! hear all others uses as much less of its own. One that takes a part over waits until whoever had it must have heard. A
//! part that is not used in time is lost.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    ids::{TargetKey, VmName},
    peer_board::HEARD_SPAN,
    units::{Moment, RequestRate},
};

/// A VM that gets a part sends nothing for this long: a VM that has lost it hears so within the time in which a silent
/// peer is found out.
pub const HANDOVER_SPAN: Duration = HEARD_SPAN;
/// The longest pause between two requests, also to a target that takes none: one finds out that it takes some again.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// When to come back where other VMs have all that the targets take: the caller may come to one of them then.
const ELSEWHERE_SPAN: Duration = Duration::from_millis(500);
/// Requests a second below which a sum of parts counts as this; it keeps divisions finite.
const LEAST_RATE: f64 = 0.01;

/// Returns the requests a second that `own` may send to `target`, which takes `rate` from `vms` and `own` together; nothing
/// when others have all of it.
///
/// # Example
///
/// ```
/// use ryetide_core::{ids::TargetKey, limit_part, units::RequestRate};
///
/// let target = TargetKey::of(&"t1".into());
/// let vms = [&"e1".into(), &"e2".into(), &"e3".into()];
/// let part = |own: usize| limit_part::rate_of(RequestRate(1_900), target, vms[own], &vms);
/// let parts: Vec<f64> = (0..3).filter_map(part).collect();
/// assert_eq!(parts, [1.9]);
/// ```
pub fn rate_of(rate: RequestRate, target: TargetKey, own: &VmName, vms: &[&VmName]) -> Option<f64> {
    let own_order = order(target, own);
    let others = vms.iter().filter(|vm| **vm != own);
    let before = others.clone().filter(|vm| order(target, vm) < own_order).count();
    let whole = rate.per_second().floor() as usize;
    let holders = whole.clamp(1, others.count() + 1);
    (before < holders).then(|| rate.per_second() / holders as f64)
}

fn order(target: TargetKey, vm: &VmName) -> (u64, &VmName) {
    (xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(target.0)), vm)
}

/// How much of what a target takes is this VM's.
///
/// # Example
///
/// ```
/// use ryetide_core::{limit_part::{HANDOVER_SPAN, TargetLimit}, units::Moment};
///
/// let now = Moment::from_millis(1);
/// let mut limit = TargetLimit::None;
/// limit.set(now, Some(2.0));
/// let first = now + HANDOVER_SPAN;
/// assert!(!limit.permits(now) && limit.permits(first));
/// limit.take(first);
/// assert!(!limit.permits(first));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum TargetLimit {
    /// The target names no limit.
    #[default]
    None,
    /// It names one, and other VMs have all of it.
    Elsewhere,
    /// This VM has a part.
    Part(PacedPart),
}

impl TargetLimit {
    /// Sets which part is this VM's, in requests a second; nothing when others have all of it.
    pub fn set(&mut self, now: Moment, rate: Option<f64>) {
        *self = match (*self, rate) {
            (_, None) => Self::Elsewhere,
            (Self::Part(part), Some(rate)) => Self::Part(PacedPart { rate, ..part }),
            (Self::None | Self::Elsewhere, Some(rate)) => Self::Part(PacedPart::begin(now, rate)),
        };
    }

    /// Notes that a request is sent.
    pub fn take(&mut self, now: Moment) {
        if let Self::Part(part) = self {
            part.taken_at = Some(now);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn permits(&self, now: Moment) -> bool {
        match self {
            Self::None => true,
            Self::Elsewhere => false,
            Self::Part(part) => now >= part.next_at(),
        }
    }

    /// Returns the requests a second that this VM may send; nothing where the target names no limit.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Self::None => None,
            Self::Elsewhere => Some(0.0),
            Self::Part(part) => Some(part.rate),
        }
    }

    /// Returns when the target wants work again from a caller who comes back: from this VM, or from one that has the part.
    pub fn wants_at(&self, now: Moment) -> Moment {
        match self {
            Self::None => now,
            Self::Elsewhere => now + ELSEWHERE_SPAN,
            Self::Part(part) => part.next_at(),
        }
    }
}

/// A part of a limit, and the pace at which it is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacedPart {
    rate: f64,
    /// Before this nothing may be sent, whatever the rate.
    held_until: Moment,
    taken_at: Option<Moment>,
}

impl PacedPart {
    /// Begins a part of `rate` requests a second. The first may be sent after [`HANDOVER_SPAN`].
    fn begin(now: Moment, rate: f64) -> Self {
        Self { rate, held_until: now + HANDOVER_SPAN, taken_at: None }
    }

    /// Returns when the next request may be sent. What was not sent in time is not made up for: saved up, the parts of
    /// several VMs could come at one moment.
    fn next_at(&self) -> Moment {
        let seconds = (1.0 / self.rate.max(f64::MIN_POSITIVE)).min(LONGEST_PAUSE.as_secs_f64());
        let pause = Duration::from_secs_f64(seconds);
        self.taken_at.map_or(self.held_until, |at| (at + pause).max(self.held_until))
    }
}

/// Returns the time until `count` requests have been sent to targets of which all name a limit.
pub fn time_for<'a>(count: usize, limits: impl Iterator<Item = &'a TargetLimit>) -> Duration {
    let rate: f64 = limits.filter_map(TargetLimit::rate).sum();
    Duration::from_secs_f64(count as f64 / rate.max(LEAST_RATE))
}
