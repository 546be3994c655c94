//! Which targets there are, from a registry whose entries lapse.
//!
//! Targets keep their entries alive by writing to the platform's store. While the store is away they
//! cannot, and after its return entries may be missing of targets that live: they come back within
//! about two seconds. An entry that goes missing until then is therefore kept; at any other time a
//! missing entry is a target that is gone.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{TargetKey, TargetLife, TargetName},
    target_load::TargetEntry,
    target_word::{LeavingMark, LeavingWords},
    units::Moment,
};

/// How long after its source's return an entry that is missing may be of a target that lives: the targets write
/// themselves in again within two seconds, and a VM finds the source back some tenths of a second after its return.
///
/// The doubt ends at one moment, whenever a VM hears of a missing entry. Counted from the hearing instead, it added
/// to the pause of the VM that had read of the end and passed it on, and a target that had left without a word got
/// new work 3.06 s after its entry's end, where 3 s are permitted. Who comes back from a cut knows the source again
/// within about a second, so the doubt is over before the cut has ceased to be an excuse, 3 s after its end.
pub const DOUBT_SPAN: Duration = Duration::from_millis(1_600);
/// Names whose last life is remembered, at some 60 bytes each. Names come and go for as long as a VM runs; beyond
/// this only those of the targets that there are stay.
const LIVES_LIMIT: usize = 4_096;

/// Targets that have gone lately are remembered for this long, which is longer than a copy of the source is old.
const GONE_LIFE: Duration = Duration::from_secs(60);
/// For how long an entry that a copy has brought back is passed over: within this time a target that lives has written it
/// again, or changed it, and that of one that is gone has lapsed.
const GHOST_SPAN: Duration = Duration::from_secs(10);
/// Targets that have gone which are remembered; the one that went first yields.
const GONE_LIMIT: usize = 1_024;

/// What a registry's source says.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryUpdate {
    /// All entries there are.
    Snapshot {
        /// Those that can be read.
        entries: Vec<TargetEntry>,
        /// Names of those that cannot.
        unreadable: Vec<TargetName>,
    },
    /// Entries that are new or changed, and names whose entries are gone.
    Changed {
        /// New or changed entries.
        entries: Vec<TargetEntry>,
        /// Entries that are gone.
        gone: Vec<TargetName>,
        /// Names of changed entries that cannot be read.
        unreadable: Vec<TargetName>,
    },
    /// The source cannot be read.
    SourceLost,
    /// The source can be read again.
    SourceBack,
    /// The source was lost by the peer that passes news on: for this long yet, entries may be missing of targets
    /// that live.
    SourceDoubtful(Duration),
    /// The source has come back from a copy some seconds old. What it tells next may be from before what is known, until
    /// the targets have written their entries again.
    SourceRestored,
}

impl RegistryUpdate {
    /// Returns the news that these entries are all there are.
    pub fn whole(entries: Vec<TargetEntry>) -> Self {
        Self::Snapshot { entries, unreadable: Vec::new() }
    }

    /// Returns the news that these entries are new or changed.
    pub fn changed(entries: Vec<TargetEntry>) -> Self {
        Self::Changed { entries, gone: Vec::new(), unreadable: Vec::new() }
    }
}

#[derive(Clone, Debug)]
struct RegisteredTarget {
    entry: TargetEntry,
    lapses_at: Option<Moment>,
}

/// The targets as they are believed to be.
///
/// # Example
///
/// ```
/// use ryetide_core::target_registry::{RegistryUpdate, TargetRegistry};
/// use ryetide_core::units::Moment;
///
/// let mut registry = TargetRegistry::default();
/// registry.take(Moment::from_millis(1), RegistryUpdate::whole(Vec::new()));
/// assert!(registry.is_known());
/// assert!(registry.current(Moment::from_millis(2)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetName, RegisteredTarget>,
    /// The last life that was seen of each name, also of targets that are gone.
    lives: BTreeMap<TargetName, TargetLife>,
    /// Targets that have said that they leave.
    words: LeavingWords,
    /// Targets that have gone lately, and when.
    gone: BTreeMap<TargetKey, Moment>,
    /// Targets that had gone before the source came back from a copy, and until when what the copy says of them is
    /// passed over.
    ghosts: BTreeMap<TargetKey, Moment>,
    known: bool,
    newest: u64,
    reached: u64,
    lost: bool,
    /// Until when missing entries may be of targets that live, because the source was away.
    doubt_until: Option<Moment>,
}

impl TargetRegistry {
    /// Takes what the source says.
    pub fn take(&mut self, now: Moment, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Snapshot { mut entries, unreadable } => {
                self.known = true;
                self.ghosts.retain(|_, until| now < *until);
                entries.retain(|entry| !self.ghosts.contains_key(&entry.key()));
                self.drop_unreadable(&unreadable);
                let names: Vec<TargetName> =
                    entries.iter().map(|entry| entry.name.clone()).collect();
                let missing = self.targets.keys().filter(|name| !names.contains(name));
                let missing: Vec<TargetName> = missing.cloned().collect();
                self.change(now, entries, &missing);
            }
            RegistryUpdate::Changed { entries, gone, unreadable } => {
                // What has been written since is no copy.
                for entry in &entries {
                    self.ghosts.remove(&entry.key());
                }
                self.drop_unreadable(&unreadable);
                self.change(now, entries, &gone);
            }
            RegistryUpdate::SourceLost => self.lost = true,
            RegistryUpdate::SourceBack => {
                if std::mem::take(&mut self.lost) {
                    self.doubt_for(now, DOUBT_SPAN);
                }
            }
            RegistryUpdate::SourceDoubtful(left) => self.doubt_for(now, left.min(DOUBT_SPAN)),
            RegistryUpdate::SourceRestored => self.distrust_copy(now),
        }
    }

    /// Notes the number of the newest news that came.
    pub fn note_newest(&mut self, number: u64) {
        self.newest = self.newest.max(number);
    }

    /// Notes the number up to which the source had no other news than those that came.
    pub fn note_reached(&mut self, number: u64) {
        self.reached = self.reached.max(number);
    }

    /// Returns the number up to which all news have come. It is ahead of [`TargetRegistry::newest`]
    /// where the source has other things to number, and where an entry that is gone was never seen.
    pub fn reached(&self) -> u64 {
        self.reached.max(self.newest)
    }

    /// Returns the number of the newest news that came, as the source numbers them.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns whether the source was read at least once.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the targets that there are, and drops those whose time is over.
    pub fn current(&mut self, now: Moment) -> Vec<TargetEntry> {
        let lapsed = |target: &RegisteredTarget| target.lapses_at.is_some_and(|at| now >= at);
        let ended: Vec<RegisteredTarget> =
            self.targets.extract_if(.., |_, target| lapsed(target)).map(|(_, it)| it).collect();
        ended.iter().for_each(|target| self.note_gone(now, target.entry.key()));
        self.words.age(now);
        self.targets.values().map(|target| self.as_it_says(&target.entry)).collect()
    }

    /// Returns what targets have said in their answers, to note more of it.
    pub fn words_mut(&mut self) -> &mut LeavingWords {
        &mut self.words
    }

    /// Returns the targets that have said that they leave, and of which the source does not say it.
    pub fn leaving_by_word(&self, now: Moment) -> Vec<LeavingMark> {
        let entries = self.targets.values().map(|target| &target.entry);
        let unsure = entries.filter(|entry| !entry.leaving).map(TargetEntry::key);
        self.words.told(now, unsure)
    }

    /// A reading of the source that is older than what the target has said does not take it back.
    fn as_it_says(&self, entry: &TargetEntry) -> TargetEntry {
        let leaving = entry.leaving || self.words.holds(entry.key());
        TargetEntry { leaving, ..entry.clone() }
    }

    /// Returns the targets that are kept though their entries are missing.
    pub fn kept(&self) -> impl Iterator<Item = &TargetName> {
        let kept = self.targets.iter().filter(|(_, target)| target.lapses_at.is_some());
        kept.map(|(name, _)| name)
    }

    /// Returns until when the last of the targets is kept whose entries are missing.
    pub fn last_lapse(&self) -> Option<Moment> {
        self.targets.values().filter_map(|target| target.lapses_at).max()
    }

    /// Returns whether a later life of a target was seen: this one has ended, and whatever ran there with it.
    pub fn is_replaced(&self, entry: &TargetEntry) -> bool {
        self.lives.get(&entry.name).is_some_and(|last| *last > entry.life)
    }

    /// Drops targets whose entries were overwritten with something that cannot be read. Such an entry names no
    /// target: kept in use by its last readable one, a target whose place another writer has taken would get work
    /// that nobody vouches for. No grace: the entry has not lapsed, it is there.
    fn drop_unreadable(&mut self, names: &[TargetName]) {
        self.targets.retain(|name, _| !names.contains(name));
    }

    /// Remembers the life of an entry. Returns false for an entry of an earlier life, which comes late: taken, it
    /// would bring back the address and the speed of a target that has ended.
    fn note_life(&mut self, entry: &TargetEntry) -> bool {
        if self.is_replaced(entry) {
            return false;
        }
        self.lives.insert(entry.name.clone(), entry.life);
        if self.lives.len() > LIVES_LIMIT {
            let targets = &self.targets;
            self.lives.retain(|name, _| targets.contains_key(name) || *name == entry.name);
        }
        true
    }

    fn change(&mut self, now: Moment, entries: Vec<TargetEntry>, gone: &[TargetName]) {
        for entry in entries {
            if !self.note_life(&entry) {
                continue;
            }
            let target = RegisteredTarget { entry, lapses_at: None };
            self.targets.insert(target.entry.name.clone(), target);
        }
        // While the source is lost only peers tell of entries that are gone.
        let kept_until = if self.lost { Some(now + DOUBT_SPAN) } else { self.doubt_until };
        let kept_until = kept_until.filter(|until| now < *until);
        for name in gone {
            let Some(target) = self.targets.get_mut(name) else { continue };
            if kept_until.is_some() && !target.entry.leaving {
                target.lapses_at = target.lapses_at.or(kept_until);
            } else if let Some(ended) = self.targets.remove(name) {
                self.note_gone(now, ended.entry.key());
            }
        }
    }

    /// A copy may tell of targets that have begun to leave, or have gone, that they take work.
    fn distrust_copy(&mut self, now: Moment) {
        let leaving = self.targets.values().filter(|target| target.entry.leaving);
        for target in leaving {
            self.words.note(now, target.entry.key());
        }
        let lately = self.gone.iter().filter(|(_, at)| now.since(**at) < GONE_LIFE);
        self.ghosts.extend(lately.map(|(key, _)| (*key, now + GHOST_SPAN)));
    }

    fn note_gone(&mut self, now: Moment, target: TargetKey) {
        self.gone.retain(|_, at| now.since(*at) < GONE_LIFE);
        self.gone.insert(target, now);
        if self.gone.len() > GONE_LIMIT {
            let oldest = self.gone.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.and_then(|oldest| self.gone.remove(&oldest));
        }
    }

    fn doubt_for(&mut self, now: Moment, span: Duration) {
        self.doubt_until = self.doubt_until.max(Some(now + span));
    }
}
