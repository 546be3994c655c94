//! Which target probably holds which prompt prefix in its cache: a hint, never a promise.
//!
//! Prefixes are hashes of a prompt's leading blocks, each covering all blocks before it. A hint
//! comes from this arbiter's own grants and from the engines' cache events, which are late and have
//! gaps; it fades, since engines evict without telling in time.

use std::{
    collections::{BTreeSet, HashMap},
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
    /// The targets that probably hold each prefix, with when that was last heard.
    holders: HashMap<u32, Vec<(TargetKey, Moment)>>,
    by_age: BTreeSet<(Moment, u32, TargetKey)>,
}

/// What each target probably need not work on of one prompt.
#[derive(Clone, Debug, Default)]
pub struct PrefixSavings {
    savings: Vec<(TargetKey, Tokens)>,
}

impl PrefixSavings {
    /// Returns the prompt tokens that `target` probably need not work on.
    pub fn of(&self, target: TargetKey) -> Tokens {
        let found = self.savings.iter().find(|(holder, _)| *holder == target);
        found.map_or(Tokens(0), |(_, saved)| *saved)
    }
}

impl PrefixHints {
    /// Notes that `target` works on, or says that it holds, these prefixes.
    pub fn note(&mut self, now: Moment, target: TargetKey, prefixes: &[u32]) {
        for prefix in prefixes {
            let holders = self.holders.entry(*prefix).or_default();
            match holders.iter_mut().find(|(holder, _)| *holder == target) {
                Some((_, at)) => {
                    self.by_age.remove(&(*at, *prefix, target));
                    *at = now;
                }
                None => holders.push((target, now)),
            }
            self.by_age.insert((now, *prefix, target));
        }
        while self.by_age.len() > HINT_LIMIT {
            let Some((_, prefix, target)) = self.by_age.pop_first() else { break };
            self.drop_holder(prefix, target);
        }
    }

    /// Returns what each target saves of a prompt. Targets that hold none of it are not named, so
    /// this costs what the holders are, not what all targets are.
    pub fn savings(&self, now: Moment, prefixes: &[u32]) -> PrefixSavings {
        let mut savings: Vec<(TargetKey, Tokens)> = Vec::new();
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(holders) = self.holders.get(prefix) else { break };
            for (target, at) in holders {
                let known = savings.iter_mut().find(|(holder, _)| holder == target);
                let saved = Tokens((index as u64 + 1) * BLOCK_TOKENS);
                let faded = Tokens((saved.0 as f64 * fading(now, *at)) as u64);
                match known {
                    Some((_, tokens)) => *tokens = faded,
                    // Only a prefix held from its first block on saves anything.
                    None if index == 0 => savings.push((*target, faded)),
                    None => {}
                }
            }
        }
        PrefixSavings { savings }
    }

    /// Forgets all hints about a target.
    pub fn forget(&mut self, target: TargetKey) {
        self.by_age.retain(|(_, _, holder)| *holder != target);
        self.holders.retain(|_, holders| {
            holders.retain(|(holder, _)| *holder != target);
            !holders.is_empty()
        });
    }

    fn drop_holder(&mut self, prefix: u32, target: TargetKey) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|(holder, _)| *holder != target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Returns the number of hints kept.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

fn fading(now: Moment, at: Moment) -> f64 {
    0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
