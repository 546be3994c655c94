//! Estimates which prompts a target has in its prompt cache.
//!
//! Engines keep the prompts that they have read, and evict the least recently used first. A request
//! whose prompt is cached needs no reading. The estimate is derived from the placements of all VMs
//! and bounded by the engine's memory and by time; an error costs one reading of the prompt.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::units::{Moment, Tokens};

/// How long a prompt is assumed to stay cached after its last use.
const CACHE_SPAN: Duration = Duration::from_secs(60);
/// The number of prompt tokens that an engine is assumed to cache beside those in use. This is less
/// than half of the capacity of current engines, since running requests take precedence.
const CACHE_TOKENS: u64 = 200_000;

#[derive(Clone, Copy, Debug)]
struct CachedPrompt {
    tokens: u64,
    order: u64,
    used: Moment,
}

/// The prompts that one target is assumed to have cached.
#[derive(Debug, Default)]
pub struct PromptCache {
    prompts: HashMap<u32, CachedPrompt>,
    by_use: BTreeMap<u64, u32>,
    tokens: u64,
    uses: u64,
}

impl PromptCache {
    /// Records that a prompt was sent to the target.
    pub fn record(&mut self, now: Moment, hash: u32, tokens: Tokens) {
        self.remove(hash);
        self.uses += 1;
        let prompt = CachedPrompt { tokens: tokens.0, order: self.uses, used: now };
        self.prompts.insert(hash, prompt);
        self.by_use.insert(self.uses, hash);
        self.tokens += tokens.0;
        while self.tokens > CACHE_TOKENS && self.prompts.len() > 1 {
            let Some((_, oldest)) = self.by_use.first_key_value() else { break };
            self.remove(*oldest);
        }
    }

    /// Whether the target is assumed to have the prompt cached.
    pub fn holds(&self, now: Moment, hash: u32) -> bool {
        self.prompts.get(&hash).is_some_and(|prompt| now.since(prompt.used) < CACHE_SPAN)
    }

    fn remove(&mut self, hash: u32) {
        if let Some(prompt) = self.prompts.remove(&hash) {
            self.by_use.remove(&prompt.order);
            self.tokens -= prompt.tokens;
        }
    }
}
