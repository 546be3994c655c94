//! The slots that an arbiter has granted and not got back.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{TargetKey, VmName},
    units::{Moment, Tokens},
    verdict::AskKey,
};

/// A slot whose end was never reported is taken back this long after its expected end.
const ORPHAN_GRACE: Duration = Duration::from_secs(30);
/// How often orphaned slots are looked for.
const ORPHAN_INTERVAL: Duration = Duration::from_secs(1);

/// A slot in use.
#[derive(Debug)]
pub(crate) struct HeldSlot {
    pub(crate) target: TargetKey,
    pub(crate) tokens: Tokens,
    pub(crate) prompt: Tokens,
    pub(crate) output_limit: Tokens,
    pub(crate) expected_end: Moment,
    /// The prompts that were to be worked on before this one.
    pub(crate) backlog: Duration,
}

/// All slots in use, by the asks that they were granted to.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    slots: BTreeMap<AskKey, HeldSlot>,
    /// Sum of the expected ends, for the mean remaining time.
    ends_sum: u128,
    orphans_sought: Moment,
}

impl SlotLedger {
    /// Creates an empty ledger, whose orphans are looked for from `now` on.
    pub(crate) fn new(now: Moment) -> Self {
        Self { slots: BTreeMap::new(), ends_sum: 0, orphans_sought: now }
    }

    /// Returns the number of slots.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether an ask holds a slot.
    pub(crate) fn contains(&self, key: &AskKey) -> bool {
        self.slots.contains_key(key)
    }

    /// Adds a slot for an ask that holds none.
    pub(crate) fn insert(&mut self, key: AskKey, slot: HeldSlot) {
        self.ends_sum += u128::from(slot.expected_end.0);
        self.slots.insert(key, slot);
    }

    /// Takes an ask's slot out.
    pub(crate) fn take(&mut self, key: &AskKey) -> Option<HeldSlot> {
        let slot = self.slots.remove(key)?;
        self.ends_sum -= u128::from(slot.expected_end.0);
        Some(slot)
    }

    /// Returns the asks of a VM that hold slots.
    pub(crate) fn of_vm(&self, vm: &VmName) -> Vec<AskKey> {
        self.slots.keys().filter(|key| key.vm == *vm).cloned().collect()
    }

    /// Returns the mean time to the expected ends.
    pub(crate) fn mean_remaining(&self, now: Moment) -> Duration {
        let mean_end = self.ends_sum.checked_div(self.slots.len() as u128).unwrap_or(0);
        Moment(u64::try_from(mean_end).unwrap_or(u64::MAX)).since(now)
    }

    /// Takes out the slots whose ends should have been reported long ago; looks for them once in a
    /// while.
    pub(crate) fn take_orphans(&mut self, now: Moment) -> Vec<HeldSlot> {
        if now.since(self.orphans_sought) < ORPHAN_INTERVAL {
            return Vec::new();
        }
        self.orphans_sought = now;
        let due = |slot: &HeldSlot| now.since(slot.expected_end) > ORPHAN_GRACE;
        let orphans: Vec<AskKey> =
            self.slots.iter().filter(|(_, slot)| due(slot)).map(|(key, _)| key.clone()).collect();
        orphans.iter().filter_map(|key| self.take(key)).collect()
    }
}
