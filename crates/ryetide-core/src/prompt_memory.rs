//! Which prompts a target is likely to have in its memory.
//!
//! Engines keep the prompts that they have read, the least recently used yielding first. A request
//! whose prompt was read there before needs no reading. What is kept here is a guess from the
//! placements of all VMs: it is bounded by the engine's memory and by time, and being wrong costs one
//! reading of the prompt.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::units::{Moment, Tokens};

/// Prompts are remembered this long after their last use.
const MEMORY_SPAN: Duration = Duration::from_secs(60);
/// Tokens of prompts that an engine is reckoned to hold beside those in use: less than half of what
/// today's engines hold, since what runs comes first.
const MEMORY_TOKENS: u64 = 200_000;

#[derive(Clone, Copy, Debug)]
struct RememberedPrompt {
    tokens: u64,
    order: u64,
    used: Moment,
}

/// The prompts that one target is reckoned to hold.
#[derive(Debug, Default)]
pub struct PromptMemory {
    prompts: HashMap<u32, RememberedPrompt>,
    by_use: BTreeMap<u64, u32>,
    held: u64,
    uses: u64,
}

impl PromptMemory {
    /// Notes that a prompt was sent to the target.
    pub fn note(&mut self, now: Moment, part: u32, tokens: Tokens) {
        self.forget(part);
        self.uses += 1;
        let prompt = RememberedPrompt { tokens: tokens.0, order: self.uses, used: now };
        self.prompts.insert(part, prompt);
        self.by_use.insert(self.uses, part);
        self.held += tokens.0;
        while self.held > MEMORY_TOKENS && self.prompts.len() > 1 {
            let Some((_, oldest)) = self.by_use.first_key_value() else { break };
            self.forget(*oldest);
        }
    }

    /// Returns whether the target is reckoned to hold the prompt.
    pub fn holds(&self, now: Moment, part: u32) -> bool {
        self.prompts.get(&part).is_some_and(|prompt| now.since(prompt.used) < MEMORY_SPAN)
    }

    fn forget(&mut self, part: u32) {
        if let Some(prompt) = self.prompts.remove(&part) {
            self.by_use.remove(&prompt.order);
            self.held -= prompt.tokens;
        }
    }
}
