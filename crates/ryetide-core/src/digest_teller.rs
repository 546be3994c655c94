//! What of a VM's load its next digest tells: everything now and then, and in between what has changed.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    ids::TargetKey,
    load_digest::{DigestScope, PlacedPrompt},
    units::{Moment, Tokens},
};

/// Placements repeated in each whole digest; more than a VM makes between a few of them.
const PLACED_REPEATED: usize = 12;
/// The time between two digests that tell everything, at the least: what a lost digest told is known after
/// it, and a peer's mark is believed three times as long.
const WHOLE_INTERVAL: Duration = Duration::from_millis(400);

/// Remembers what has changed since it was told.
#[derive(Debug, Default)]
pub struct DigestTeller {
    sequence: u64,
    placed: VecDeque<PlacedPrompt>,
    placed_count: u32,
    /// Targets at which a request has begun or ended lately, oldest first.
    touched: VecDeque<(Moment, TargetKey)>,
    /// When everything was told last.
    told_whole: Option<Moment>,
}

impl DigestTeller {
    /// Returns the number of the next digest.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Notes that a request has begun or ended at a target.
    pub fn note_touched(&mut self, now: Moment, target: TargetKey) {
        self.touched.push_back((now, target));
    }

    /// Notes that a prompt was sent to a target.
    pub fn note_placed(&mut self, target: TargetKey, part: u32, prompt: Tokens) {
        self.placed_count += 1;
        let tokens = u32::try_from(prompt.0).unwrap_or(u32::MAX);
        self.placed.push_back(PlacedPrompt { number: self.placed_count, part, target, tokens });
        if self.placed.len() > PLACED_REPEATED {
            self.placed.pop_front();
        }
    }

    /// Returns how much the next digest tells; a VM that is leaving tells everything. A change is told again for
    /// `change_span`.
    pub fn next_scope(&mut self, now: Moment, change_span: Duration, leaving: bool) -> DigestScope {
        while self.touched.front().is_some_and(|(at, _)| now.since(*at) >= change_span) {
            self.touched.pop_front();
        }
        let due = self.told_whole.is_none_or(|at| now.since(at) >= WHOLE_INTERVAL);
        if !leaving && !due {
            return DigestScope::Changes;
        }
        self.told_whole = Some(now);
        DigestScope::Whole
    }

    /// Returns the targets at which something has changed lately.
    pub fn touched(&self) -> BTreeSet<TargetKey> {
        self.touched.iter().map(|(_, key)| *key).collect()
    }

    /// Returns the last placements. They are told in whole digests only: what a target holds of prompts is of use for
    /// seconds, and a third of a digest of changes would be placements.
    pub fn placed(&self, scope: DigestScope) -> Vec<PlacedPrompt> {
        match scope {
            DigestScope::Whole => self.placed.iter().copied().collect(),
            DigestScope::Changes | DigestScope::Brief => Vec::new(),
        }
    }
}
