//! What targets say of themselves in their answers, beside what their registry tells.
//!
//! A target that leaves says so in the registry, and in each answer too. While the registry's source is away, or slow, only
//! the answers tell; the VM that hears it first tells the others. A target that has said it goes on leaving, whatever
//! an older entry of the registry says.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetKey,
    units::{Moment, RequestRate},
};

/// A target's word is remembered for this long after it was said last, which is longer than targets take to leave. Where they
/// keep their names when they start again, one that is back under its name gets work again after this time at the latest.
const WORD_LIFE: Duration = Duration::from_secs(600);
/// Words that are remembered; the oldest yields.
const WORDS_LIMIT: usize = 1_024;
/// Words that a digest tells.
const TOLD_LIMIT: usize = 64;
/// The longest time for which a target may say that it wants nothing. It keeps sums of times finite.
pub const LONGEST_HOLD_OFF: Duration = Duration::from_secs(86_400);

/// What one answer says of its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetWord {
    /// The target leaves.
    pub leaving: bool,
    /// For this long the target wants nothing from this VM.
    pub hold_off: Option<Duration>,
    /// What it says of a limit.
    pub limit: LimitWord,
}

/// What one answer says of the requests a second that its target takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum LimitWord {
    /// It names no limit.
    #[default]
    Unnamed,
    /// It takes no more than this.
    Named(RequestRate),
    /// It names one that cannot be read: whatever was known before holds on.
    Unreadable,
}

impl LimitWord {
    /// Reads the values of a header that names a limit. The least of several holds.
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let mut word = Self::Unnamed;
        for value in values {
            let Some(rate) = value.and_then(|text| text.parse::<RequestRate>().ok()) else {
                return Self::Unreadable;
            };
            word = match word {
                Self::Named(least) => Self::Named(rate.min(least)),
                Self::Unnamed | Self::Unreadable => Self::Named(rate),
            };
        }
        word
    }

    /// Returns the limit, if one is named.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) => Some(rate),
            Self::Unnamed | Self::Unreadable => None,
        }
    }
}

impl TargetWord {
    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A target that has said that it leaves, as VMs tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeavingMark {
    /// The target.
    pub target: TargetKey,
    /// For how long yet its word is remembered, in milliseconds.
    pub left_ms: u32,
}

/// The targets that have said that they leave, and until when that is remembered.
#[derive(Debug, Default)]
pub struct LeavingWords {
    words: BTreeMap<TargetKey, Moment>,
}

impl LeavingWords {
    /// Notes that a target has said to this VM that it leaves; returns whether that is new.
    pub fn note(&mut self, now: Moment, target: TargetKey) -> bool {
        self.insert(target, now + WORD_LIFE)
    }

    /// Takes what a peer tells; returns whether that is new. What peers repeat does not make a word younger: they would keep
    /// it alive for each other.
    pub fn take(&mut self, now: Moment, mark: LeavingMark) -> bool {
        let left = Duration::from_millis(u64::from(mark.left_ms)).min(WORD_LIFE);
        !left.is_zero() && !self.holds(mark.target) && self.insert(mark.target, now + left)
    }

    fn insert(&mut self, target: TargetKey, until: Moment) -> bool {
        let is_new = self.words.insert(target, until).is_none();
        if self.words.len() > WORDS_LIMIT {
            let oldest = self.words.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(target, _)| *target) {
                self.words.remove(&oldest);
            }
        }
        is_new
    }

    /// Forgets what a target has said: it has started again under its name, or stays.
    pub fn forget(&mut self, target: TargetKey) {
        self.words.remove(&target);
    }

    /// Returns whether a target has said that it leaves.
    pub fn holds(&self, target: TargetKey) -> bool {
        self.words.contains_key(&target)
    }

    /// Returns the targets that have said that they leave.
    pub fn all(&self) -> Vec<TargetKey> {
        self.words.keys().copied().collect()
    }

    /// Forgets the words that are too old, and returns their targets.
    pub fn age(&mut self, now: Moment) -> Vec<TargetKey> {
        let old = self.words.extract_if(.., |_, until| *until <= now);
        old.map(|(target, _)| target).collect()
    }

    /// Returns what peers are told: those of `unsure` that have said that they leave, of which the registry does not say it.
    pub fn told(&self, now: Moment, unsure: impl Iterator<Item = TargetKey>) -> Vec<LeavingMark> {
        let mark = |target: TargetKey| {
            let left = self.words.get(&target)?.since(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            Some(LeavingMark { target, left_ms })
        };
        unsure.filter_map(mark).take(TOLD_LIMIT).collect()
    }
}
