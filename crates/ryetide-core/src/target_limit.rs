//! What targets have said of their limits, and what VMs tell each other of it.
//!
//! A target in need names in its answers how many requests a second it takes from all VMs together, for as long as it says
//! so. The VM that hears it tells the others, with the time since; what was said last holds.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetKey,
    target_word::LimitWord,
    units::{Moment, RequestRate},
};

/// That a target has ceased to name a limit is remembered for this long: until no VM tells of the limit any more.
const LIFTED_LIFE: Duration = Duration::from_secs(60);
/// A limit is remembered for this long after the target was last known to exist.
const ABSENT_LIFE: Duration = Duration::from_secs(600);
/// Targets of which something is remembered; what was said longest ago yields.
const NOTES_LIMIT: usize = 1_024;
/// Targets of which a digest tells, those that spoke last.
const TOLD_LIMIT: usize = 64;

/// What a target has said last of its limit, as VMs tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitMark {
    /// The target.
    pub target: TargetKey,
    /// What it takes; nothing when it names no limit any more.
    pub rate: Option<RequestRate>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct LimitNote {
    rate: Option<RequestRate>,
    said: Moment,
}

/// What targets have said last of their limits.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     ids::TargetKey,
///     target_limit::LimitBook,
///     target_word::LimitWord,
///     units::{Moment, RequestRate},
/// };
///
/// let (target, at) = (TargetKey::of(&"t1".into()), Moment::from_millis);
/// let mut book = LimitBook::default();
/// assert!(book.note(at(20), target, LimitWord::Named(RequestRate(1_900)), at(10)));
/// assert_eq!(book.rate(target), Some(RequestRate(1_900)));
/// // The answer to a request that was sent before the limit was named does not end it.
/// assert!(!book.note(at(30), target, LimitWord::Unnamed, at(15)));
/// assert!(book.note(at(50), target, LimitWord::Unnamed, at(40)));
/// assert_eq!(book.rate(target), None);
/// ```
#[derive(Debug, Default)]
pub struct LimitBook {
    notes: BTreeMap<TargetKey, LimitNote>,
}

impl LimitBook {
    /// Notes what an answer says, of which the request was sent at `asked`. Returns whether another limit holds now.
    ///
    /// An answer without a limit ends one only if it was asked for after the limit was heard: answers on several
    /// connections overtake each other.
    pub fn note(&mut self, now: Moment, target: TargetKey, word: LimitWord, asked: Moment) -> bool {
        let known = self.notes.get(&target);
        let rate = match word {
            LimitWord::Named(rate) => Some(rate),
            LimitWord::Unnamed if known.is_some_and(|note| asked > note.said) => None,
            LimitWord::Unnamed | LimitWord::Unreadable => return false,
        };
        self.insert(target, LimitNote { rate, said: now })
    }

    /// Takes what a peer tells. Returns whether another limit holds now.
    pub fn take(&mut self, now: Moment, mark: LimitMark) -> bool {
        let said = now.before(Duration::from_millis(u64::from(mark.age_ms)));
        let is_newer = self.notes.get(&mark.target).is_none_or(|note| said > note.said);
        is_newer && self.insert(mark.target, LimitNote { rate: mark.rate, said })
    }

    fn insert(&mut self, target: TargetKey, note: LimitNote) -> bool {
        let before = self.notes.insert(target, note).and_then(|before| before.rate);
        if self.notes.len() > NOTES_LIMIT {
            let oldest = self.notes.iter().min_by_key(|(_, note)| note.said);
            if let Some(oldest) = oldest.map(|(target, _)| *target) {
                self.notes.remove(&oldest);
            }
        }
        before != note.rate
    }

    /// Returns whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Returns the limit that a target has named.
    pub fn rate(&self, target: TargetKey) -> Option<RequestRate> {
        self.notes.get(&target)?.rate
    }

    /// Returns the targets that have named a limit.
    pub fn limited(&self) -> impl Iterator<Item = (TargetKey, RequestRate)> {
        self.notes.iter().filter_map(|(target, note)| Some((*target, note.rate?)))
    }

    /// Returns what peers are told.
    pub fn told(&self, now: Moment) -> Vec<LimitMark> {
        let mut notes: Vec<(&TargetKey, &LimitNote)> = self.notes.iter().collect();
        notes.sort_by_key(|(_, note)| std::cmp::Reverse(note.said));
        let mark = |(target, note): (&TargetKey, &LimitNote)| {
            let age_ms = u32::try_from(now.since(note.said).as_millis()).unwrap_or(u32::MAX);
            LimitMark { target: *target, rate: note.rate, age_ms }
        };
        notes.into_iter().take(TOLD_LIMIT).map(mark).collect()
    }

    /// Forgets what is too old. The limit of a target that there is holds until the target says otherwise: forgotten
    /// everywhere at one time, it would have to be found out by every VM at once.
    pub fn age(&mut self, now: Moment, exists: impl Fn(TargetKey) -> bool) {
        self.notes.retain(|target, note| match note.rate {
            Some(_) if exists(*target) => true,
            Some(_) => now.since(note.said) < ABSENT_LIFE,
            None => now.since(note.said) < LIFTED_LIFE,
        });
    }
}
