//! Amounts over the last two windows of a duration, in slots of equal length.

use std::{collections::VecDeque, time::Duration};

use crate::units::Moment;

/// The number of slots of one window.
pub const WINDOW_SLOTS: usize = 100;

/// The number of a slot since moment 0.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotNumber(u64);

impl SlotNumber {
    /// Returns the slot of `at`, where `window` is the length of a window.
    pub fn of(at: Moment, window: Duration) -> Self {
        Self(at.0 / slot_micros(window))
    }

    /// Returns the moment at which the next slot begins.
    pub fn end(self, window: Duration) -> Moment {
        Moment((self.0 + 1) * slot_micros(window))
    }
}

fn slot_micros(window: Duration) -> u64 {
    u64::try_from(window.as_micros()).unwrap_or(u64::MAX).max(1).div_ceil(WINDOW_SLOTS as u64)
}

/// Amounts by slot, over two windows up to the newest slot.
#[derive(Clone, Debug)]
pub struct SlotWindow {
    newest: SlotNumber,
    /// The amounts; the newest is the last.
    amounts: VecDeque<f64>,
}

impl SlotWindow {
    /// Creates an empty window whose newest slot is `newest`.
    pub fn new(newest: SlotNumber) -> Self {
        Self { newest, amounts: VecDeque::from(vec![0.0; 2 * WINDOW_SLOTS]) }
    }

    /// Adds an amount to a slot. An amount older than two windows is dropped.
    pub fn add(&mut self, slot: SlotNumber, amount: f64) {
        self.advance(slot);
        let back = usize::try_from(self.newest.0 - slot.0).unwrap_or(usize::MAX);
        let index = self.amounts.len().checked_sub(back.saturating_add(1));
        if let Some(index) = index {
            self.amounts[index] += amount;
        }
    }

    /// Moves the newest slot forward to `slot`.
    pub fn advance(&mut self, slot: SlotNumber) {
        let passed = slot.0.saturating_sub(self.newest.0);
        self.newest = self.newest.max(slot);
        for _ in 0..passed.min(self.amounts.len() as u64) {
            self.amounts.pop_front();
            self.amounts.push_back(0.0);
        }
    }

    /// Returns the amounts, oldest first: those of two windows.
    pub fn amounts(&self) -> impl Iterator<Item = f64> {
        self.amounts.iter().copied()
    }
}
