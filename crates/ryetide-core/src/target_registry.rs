//! Which targets there are, from a registry whose entries lapse.
//!
//! Targets keep their entries alive by writing to the platform's store. While the store is away they
//! cannot, and after its return entries may be missing of targets that live: they come back within
//! about two seconds. An entry that goes missing around such a time is therefore kept for a moment;
//! at any other time a missing entry is a target that is gone.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{TargetLife, TargetName},
    target_load::TargetEntry,
    units::Moment,
};

/// How long an entry that went missing after trouble with its source is kept. The targets write
/// themselves in again within two seconds of the source's return; new work for one that is truly gone
/// must stop within two seconds of its entry's end, so in that time a feed tells of it within 0.3 s.
const LAPSE_GRACE: Duration = Duration::from_millis(1_600);
/// How long after the source's return missing entries may still be a consequence of its absence: the
/// targets write every second or so, and their entries lapse after three missed writes.
pub const AFTERMATH: Duration = Duration::from_secs(4);
/// Names whose last life is remembered, at some 60 bytes each. Names come and go for as long as a VM runs; beyond
/// this only those of the targets that there are stay.
const LIVES_LIMIT: usize = 4_096;

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
    known: bool,
    newest: u64,
    reached: u64,
    lost: bool,
    back_at: Option<Moment>,
}

impl TargetRegistry {
    /// Takes what the source says.
    pub fn take(&mut self, now: Moment, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Snapshot { entries, unreadable } => {
                self.known = true;
                self.drop_unreadable(&unreadable);
                let names: Vec<TargetName> =
                    entries.iter().map(|entry| entry.name.clone()).collect();
                let missing = self.targets.keys().filter(|name| !names.contains(name));
                let missing: Vec<TargetName> = missing.cloned().collect();
                self.change(now, entries, &missing);
            }
            RegistryUpdate::Changed { entries, gone, unreadable } => {
                self.drop_unreadable(&unreadable);
                self.change(now, entries, &gone);
            }
            RegistryUpdate::SourceLost => self.lost = true,
            RegistryUpdate::SourceBack => {
                if std::mem::take(&mut self.lost) {
                    self.back_at = Some(now);
                }
            }
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
        self.targets.retain(|_, target| target.lapses_at.is_none_or(|at| now < at));
        self.targets.values().map(|target| target.entry.clone()).collect()
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
        let recent = self.back_at.is_some_and(|at| now.since(at) < AFTERMATH);
        let doubtful = self.lost || recent;
        for name in gone {
            let Some(target) = self.targets.get_mut(name) else { continue };
            if doubtful && !target.entry.leaving {
                target.lapses_at = target.lapses_at.or(Some(now + LAPSE_GRACE));
            } else {
                self.targets.remove(name);
            }
        }
    }
}
