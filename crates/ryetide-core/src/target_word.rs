//! What targets say of themselves in their answers, beside what their registry tells.
//!
//! A target that leaves says so in the registry, and in each answer too. While the registry's source is away, or slow, only
//! the answers tell; the VM that hears it first tells the others. A target that has said it goes on leaving, whatever
//! an older entry of the registry says.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::TargetKey, units::Moment};

/// A target's word is remembered for this long after the registry has named it last: an entry that lapses while the source
/// is away may come back.
const WORD_LIFE: Duration = Duration::from_secs(600);
/// Words that are remembered; beyond this only those of targets that the registry names.
const WORDS_LIMIT: usize = 1_024;
/// Words that a digest tells.
const TOLD_LIMIT: usize = 64;
/// The longest time for which a target may say that it wants nothing. It keeps sums of times finite.
pub const LONGEST_HOLD_OFF: Duration = Duration::from_secs(86_400);

/// What one answer says of its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetWord {
    /// The target leaves.
    pub leaving: bool,
    /// For this long the target wants nothing from this VM.
    pub hold_off: Option<Duration>,
}

impl TargetWord {
    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The targets that have said that they leave.
#[derive(Debug, Default)]
pub struct LeavingWords {
    /// When the registry named each last.
    words: BTreeMap<TargetKey, Moment>,
}

impl LeavingWords {
    /// Notes that a target has said that it leaves; returns whether that is new.
    pub fn note(&mut self, now: Moment, target: TargetKey) -> bool {
        self.words.insert(target, now).is_none()
    }

    /// Returns whether a target has said that it leaves.
    pub fn holds(&self, target: TargetKey) -> bool {
        self.words.contains_key(&target)
    }

    /// Forgets the words of targets that have been gone for long, or of all that are gone when there are too many.
    pub fn age(&mut self, now: Moment, named: &BTreeSet<TargetKey>) {
        let too_many = self.words.len() > WORDS_LIMIT;
        self.words.retain(|target, last| {
            if named.contains(target) {
                *last = now;
                return true;
            }
            !too_many && now.since(*last) < WORD_LIFE
        });
    }

    /// Returns the targets of `unsure`, of which the registry does not say that they leave, that have said it themselves.
    pub fn told<'a>(
        &'a self,
        unsure: impl Iterator<Item = TargetKey> + 'a,
    ) -> impl Iterator<Item = TargetKey> + 'a {
        unsure.filter(|target| self.holds(*target)).take(TOLD_LIMIT)
    }
}
