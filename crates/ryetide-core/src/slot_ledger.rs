//! The slots of an arbiter that are in use.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{TargetKey, VmName},
    slot_request::RequestKey,
    units::{Moment, Tokens},
};

/// How long after its expected end a slot is reclaimed if its end was never reported.
const ORPHAN_GRACE: Duration = Duration::from_secs(30);
/// How often orphaned slots are searched for.
const ORPHAN_INTERVAL: Duration = Duration::from_secs(1);

/// A slot in use.
#[derive(Debug)]
pub(crate) struct HeldSlot {
    pub(crate) target: TargetKey,
    pub(crate) tokens: Tokens,
    pub(crate) prompt: Tokens,
    pub(crate) output_limit: Tokens,
    pub(crate) expected_end: Moment,
    /// The target's prefill backlog when the slot was granted.
    pub(crate) backlog: Duration,
    /// The sum of the prompts granted to the target up to this one.
    pub(crate) granted_prompts: Tokens,
}

/// All slots in use, by the slot request that each was granted for.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    slots: BTreeMap<RequestKey, HeldSlot>,
    /// The sum of the expected ends, to compute the mean remaining time.
    expected_end_sum: u128,
    last_orphan_search: Moment,
}

impl SlotLedger {
    /// Creates an empty ledger that first searches for orphans one interval after `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self { slots: BTreeMap::new(), expected_end_sum: 0, last_orphan_search: now }
    }

    /// Returns the number of slots in use.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether a slot is in use for this slot request.
    pub(crate) fn contains(&self, key: &RequestKey) -> bool {
        self.slots.contains_key(key)
    }

    /// Adds a slot for a request that has none.
    pub(crate) fn insert(&mut self, key: RequestKey, slot: HeldSlot) {
        self.expected_end_sum += u128::from(slot.expected_end.0);
        self.slots.insert(key, slot);
    }

    /// Removes and returns the slot of a request.
    pub(crate) fn take(&mut self, key: &RequestKey) -> Option<HeldSlot> {
        let slot = self.slots.remove(key)?;
        self.expected_end_sum -= u128::from(slot.expected_end.0);
        Some(slot)
    }

    /// Returns the requests of a VM that have slots.
    pub(crate) fn of_vm(&self, vm: &VmName) -> Vec<RequestKey> {
        self.slots.keys().filter(|key| key.vm == *vm).cloned().collect()
    }

    /// Returns the time until the mean of the expected ends, or zero if that has passed.
    pub(crate) fn mean_remaining(&self, now: Moment) -> Duration {
        let mean_end = self.expected_end_sum.checked_div(self.slots.len() as u128).unwrap_or(0);
        Moment(u64::try_from(mean_end).unwrap_or(u64::MAX)).since(now)
    }

    /// Removes and returns the slots whose end should have been reported long ago. Searches at most
    /// once per interval.
    pub(crate) fn take_orphans(&mut self, now: Moment) -> Vec<HeldSlot> {
        if now.since(self.last_orphan_search) < ORPHAN_INTERVAL {
            return Vec::new();
        }
        self.last_orphan_search = now;
        let due = |slot: &HeldSlot| now.since(slot.expected_end) > ORPHAN_GRACE;
        let orphans: Vec<RequestKey> =
            self.slots.iter().filter(|(_, slot)| due(slot)).map(|(key, _)| key.clone()).collect();
        orphans.iter().filter_map(|key| self.take(key)).collect()
    }
}
