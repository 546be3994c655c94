//! Which target probably holds which prompt prefix in its cache: a hint, never a promise.
//!
//! Prefixes are hashes of a prompt's leading blocks, each covering all blocks before it. A hint
//! comes from this arbiter's own grants and from the engines' cache events, which are late and have
//! gaps; it fades, since engines evict without telling in time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::TargetKey,
    units::{Moment, Tokens},
};

/// The prompt tokens that one prefix block covers.
pub const BLOCK_TOKENS: u64 = 256;
/// The bytes that one prefix block covers: four to a token.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * 4;
/// The most blocks of a prompt that are hashed.
pub const BLOCK_LIMIT: usize = 16;
/// The most hints kept for one scope.
const HINT_LIMIT: usize = 4_096;
/// After this long without use a hint counts half.
const HALF_LIFE: Duration = Duration::from_secs(120);

/// Prefix hints of one scope.
#[derive(Debug, Default)]
pub struct PrefixHints {
    hints: HashMap<(u32, TargetKey), Moment>,
    by_age: BTreeMap<(Moment, u32, TargetKey), ()>,
}

impl PrefixHints {
    /// Notes that `target` works on, or says that it holds, these prefixes.
    pub fn note(&mut self, now: Moment, target: TargetKey, prefixes: &[u32]) {
        for prefix in prefixes {
            if let Some(old) = self.hints.insert((*prefix, target), now) {
                self.by_age.remove(&(old, *prefix, target));
            }
            self.by_age.insert((now, *prefix, target), ());
        }
        while self.hints.len() > HINT_LIMIT {
            let Some(((_, prefix, target), ())) = self.by_age.pop_first() else {
                break;
            };
            self.hints.remove(&(prefix, target));
        }
    }

    /// Returns the prompt tokens that `target` probably need not work on.
    pub fn saved(&self, now: Moment, target: TargetKey, prefixes: &[u32]) -> Tokens {
        let mut best = 0.0_f64;
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(at) = self.hints.get(&(*prefix, target)) else {
                break;
            };
            let age = now.since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
            best = (index + 1) as f64 * BLOCK_TOKENS as f64 * 0.5_f64.powf(age);
        }
        Tokens(best as u64)
    }

    /// Forgets all hints about a target.
    pub fn forget(&mut self, target: TargetKey) {
        self.hints.retain(|(_, held), _| *held != target);
        self.by_age.retain(|(_, _, held), ()| *held != target);
    }

    /// Returns the number of hints kept.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }
}
