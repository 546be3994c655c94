//! Decides which VM may take a slot that has become free at a target that several VMs share.
//!
//! In a burst, requests wait at every VM, and all VMs learn within milliseconds that a request has
//! ended at some target. If each VM took the slot for its own queue, the target would get several
//! requests for one slot, and all but the first would wait there for the duration of a whole
//! answer, late and regardless of their tier.
//!
//! So the VMs with waiting requests take turns, in an order that each computes by itself from the
//! digests: first the VMs with more urgent requests, then the VM that freed the slot, which knows
//! of it first and can use it at once, then by a hash that differs between targets. The first VM
//! may take all slots of a target that is new or has recovered, since all VMs learn of it at the
//! same moment.
//!
//! Two VMs whose digests differ for a moment may still take the same slot; that delays a request,
//! but breaks no guarantee.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{
    ids::{TargetKey, VmName},
    units::{Moment, TierRank},
};

/// The largest number of turns for the VMs of one class. After these turns any VM of the class may
/// take the slot, and one turn later those of the next class: the VMs before them cannot use the
/// slot, or are gone.
const CLASS_TURNS: u32 = 3;

/// The urgency of the most urgent request that waits for a service at one VM; the smallest class
/// goes first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UrgencyClass {
    /// Whether the request has missed its objective, or cannot meet it any more.
    pub late: bool,
    /// The request's tier.
    pub tier: TierRank,
    /// The rank of the request's route.
    pub route_tier: TierRank,
}

impl UrgencyClass {
    /// The least urgent class that can still meet its objective.
    pub const LEAST_ON_TIME: Self =
        Self { late: false, tier: TierRank(u8::MAX), route_tier: TierRank(u8::MAX) };
}

/// A VM with requests that wait for a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotClaimant<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// The class of the VM's most urgent request.
    pub class: UrgencyClass,
}

/// The VM that freed a slot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum SlotReleaser {
    /// None: the target is new to this VM.
    #[default]
    Nobody,
    /// This VM.
    Own,
    /// A peer.
    Peer(VmName),
}

/// When a slot last became free, and which VM freed it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FreedSlot {
    /// When this VM learned of it.
    pub at: Moment,
    /// The VM that had used it.
    pub by: SlotReleaser,
}

/// A slot that has become free.
#[derive(Clone, Copy, Debug)]
pub struct FreeSlot<'a> {
    /// The target.
    pub target: TargetKey,
    /// When the slot was freed, and by which VM.
    pub freed: &'a FreedSlot,
}

/// Returns whether the VM `own` may take one of the target's free slots now. Each turn lasts
/// `span`, the time within which the other VMs learn that the slot was taken.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     ids::TargetKey,
///     slot_turn::{self, UrgencyClass, FreedSlot, FreeSlot, SlotClaimant, SlotReleaser},
///     units::{Moment, TierRank},
/// };
///
/// let (e1, e2) = ("e1".into(), "e2".into());
/// let class = |tier| UrgencyClass { late: false, tier: TierRank(tier), route_tier: TierRank(0) };
/// let claim = |vm, tier| SlotClaimant { vm, class: class(tier) };
/// let freed = FreedSlot { at: Moment::from_millis(1_000), by: SlotReleaser::Own };
/// let slot = FreeSlot { target: TargetKey::of(&"t1".into()), freed: &freed };
/// let (at, span) = (Moment::from_millis, Duration::from_millis(8));
/// assert!(slot_turn::is_turn(at(1_000), span, slot, claim(&e1, 0), &[claim(&e2, 1)]));
/// assert!(!slot_turn::is_turn(at(1_005), span, slot, claim(&e1, 1), &[claim(&e2, 0)]));
/// assert!(slot_turn::is_turn(at(1_016), span, slot, claim(&e1, 1), &[claim(&e2, 0)]));
/// ```
pub fn is_turn(
    now: Moment,
    span: Duration,
    slot: FreeSlot<'_>,
    own: SlotClaimant<'_>,
    peers: &[SlotClaimant<'_>],
) -> bool {
    let passed = now.since(slot.freed.at);
    if passed >= span * (2 * CLASS_TURNS) {
        return true;
    }
    let freed_slot = |claimant: &SlotClaimant<'_>| match &slot.freed.by {
        SlotReleaser::Nobody => false,
        SlotReleaser::Own => claimant.vm == own.vm,
        SlotReleaser::Peer(peer) => claimant.vm == peer,
    };
    let order = |claimant: &SlotClaimant<'_>| {
        let seed = u64::from(slot.target.0);
        let hash = xxh3::xxh3_64_with_seed(claimant.vm.as_str().as_bytes(), seed);
        (!freed_slot(claimant), hash)
    };
    let turns = |count: usize| u32::try_from(count).unwrap_or(u32::MAX).min(CLASS_TURNS);
    let better = peers.iter().filter(|peer| peer.class < own.class).count();
    let own_order = order(&own);
    let equals = peers.iter().filter(|peer| peer.class == own.class);
    let before = equals.filter(|peer| order(peer) < own_order).count();
    let mut turn = turns(before);
    if better > 0 {
        turn += turns(better) + 1;
    }
    passed >= span * turn
}
