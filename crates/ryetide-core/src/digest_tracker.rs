//! Tracks the changes that the next digest must hold, and when the next full digest is due.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    ids::TargetKey,
    load_digest::{DigestScope, PlacedPrompt},
    units::{Moment, Tokens},
};

/// The number of recent placements in each full digest; a VM makes fewer between several of them.
const PLACEMENT_LIMIT: usize = 12;
/// The shortest interval between two full digests. A full digest makes up for what lost digests
/// held; a peer's report stays valid for three times this long.
const FULL_INTERVAL: Duration = Duration::from_millis(400);

/// Tracks recent changes of a VM's load.
#[derive(Debug, Default)]
pub struct DigestTracker {
    sequence: u64,
    placed: VecDeque<PlacedPrompt>,
    placement_count: u32,
    /// Targets at which a request has recently begun or ended, oldest first.
    touched: VecDeque<(Moment, TargetKey)>,
    /// When the last full digest was built.
    last_full: Option<Moment>,
}

impl DigestTracker {
    /// Returns the sequence number of the next digest.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records that a request has begun or ended at a target.
    pub fn record_touched(&mut self, now: Moment, target: TargetKey) {
        self.touched.push_back((now, target));
    }

    /// Records that a prompt was dispatched to a target.
    pub fn record_placement(&mut self, target: TargetKey, prompt_hash: u32, prompt: Tokens) {
        self.placement_count += 1;
        let tokens = u32::try_from(prompt.0).unwrap_or(u32::MAX);
        self.placed.push_back(PlacedPrompt {
            number: self.placement_count,
            prompt_hash,
            target,
            tokens,
        });
        if self.placed.len() > PLACEMENT_LIMIT {
            self.placed.pop_front();
        }
    }

    /// Returns the scope of the next digest. A VM that is leaving always sends full ones. Changes
    /// older than `repeat_span` are dropped.
    pub fn next_scope(&mut self, now: Moment, repeat_span: Duration, leaving: bool) -> DigestScope {
        while self.touched.front().is_some_and(|(at, _)| now.since(*at) >= repeat_span) {
            self.touched.pop_front();
        }
        let due = self.last_full.is_none_or(|at| now.since(at) >= FULL_INTERVAL);
        if !leaving && !due {
            return DigestScope::Changes;
        }
        self.last_full = Some(now);
        DigestScope::Whole
    }

    /// Returns the targets with recent changes.
    pub fn touched(&self) -> BTreeSet<TargetKey> {
        self.touched.iter().map(|(_, key)| *key).collect()
    }

    /// Returns the recent placements for a digest of this scope. Only full digests hold them: which
    /// prompts a target has cached matters for seconds, and placements would make up a third of a
    /// digest of changes.
    pub fn placed(&self, scope: DigestScope) -> Vec<PlacedPrompt> {
        match scope {
            DigestScope::Whole => self.placed.iter().copied().collect(),
            DigestScope::Changes | DigestScope::Brief => Vec::new(),
        }
    }
}
