//! Hints on which target has which prompt prefix in its cache. Hints may be wrong.
//!
//! Prefixes are hashes of a prompt's leading blocks, each covering all blocks before it. Hints come
//! from this arbiter's own grants and from the engines' cache reports, which are delayed and
//! incomplete. The weight of a hint decays with its age, since engines evict prefixes without a
//! timely report.

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
/// The maximum number of blocks of a prompt that are hashed.
pub const BLOCK_LIMIT: usize = 16;
/// The maximum number of hints for one scope.
const HINT_LIMIT: usize = 4_096;
/// The time after which the weight of an unused hint has halved.
const HALF_LIFE: Duration = Duration::from_secs(120);

/// The prefix hints of one scope.
#[derive(Debug, Default)]
pub struct PrefixHints {
    /// The targets that probably have each prefix in their caches, each with the time of the last
    /// grant or report.
    holders: HashMap<u32, Vec<(TargetKey, Moment)>>,
    /// All hints, the oldest first.
    by_age: BTreeSet<(Moment, u32, TargetKey)>,
}

/// The tokens of one prompt that each target probably has in its cache, weighted by the hints' age.
#[derive(Clone, Debug, Default)]
pub struct PrefixSavings {
    savings: Vec<(TargetKey, Tokens)>,
}

impl PrefixSavings {
    /// Returns the number of prompt tokens that `target` probably need not process.
    pub fn of(&self, target: TargetKey) -> Tokens {
        let found = self.savings.iter().find(|(holder, _)| *holder == target);
        found.map_or(Tokens(0), |(_, saved)| *saved)
    }
}

impl PrefixHints {
    /// Records that `target` processes these prefixes or reports them to be in its cache.
    pub fn record(&mut self, now: Moment, target: TargetKey, prefixes: &[u32]) {
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
            self.remove_holder(prefix, target);
        }
    }

    /// Returns the savings of each target for a prompt. The result contains only targets with a
    /// cached prefix, so the cost depends on their number and not on the number of all targets.
    pub fn savings(&self, now: Moment, prefixes: &[u32]) -> PrefixSavings {
        let mut savings: Vec<(TargetKey, Tokens)> = Vec::new();
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(holders) = self.holders.get(prefix) else { break };
            for (target, at) in holders {
                let known = savings.iter_mut().find(|(holder, _)| holder == target);
                let saved = Tokens((index as u64 + 1) * BLOCK_TOKENS);
                let weighted = Tokens((saved.0 as f64 * weight(now, *at)) as u64);
                match known {
                    Some((_, tokens)) => *tokens = weighted,
                    // A cached prefix is usable only if its first block is cached too.
                    None if index == 0 => savings.push((*target, weighted)),
                    None => {}
                }
            }
        }
        PrefixSavings { savings }
    }

    /// Removes all hints for a target.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.by_age.retain(|(_, _, holder)| *holder != target);
        self.holders.retain(|_, holders| {
            holders.retain(|(holder, _)| *holder != target);
            !holders.is_empty()
        });
    }

    fn remove_holder(&mut self, prefix: u32, target: TargetKey) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|(holder, _)| *holder != target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Returns the number of hints.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

/// Returns the weight of a hint that was last recorded at `at`.
fn weight(now: Moment, at: Moment) -> f64 {
    0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
