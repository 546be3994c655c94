//! The targets that exist, by a registry whose entries lapse.
//!
//! Targets keep their entries alive by writing to the platform's store. During an outage of the
//! store they cannot, and after it entries of live targets may be missing until the targets write
//! them again, which takes about two seconds. An entry that goes missing in this period is
//! therefore kept for a grace period. At any other time a missing entry means that the target is
//! gone.
//!
//! Other programs write entries too. Only the services in force tell them from those of targets, and
//! these may become known after the entry: an entry of another service is kept, but counts for
//! nothing until its service is in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::{ServiceName, TargetIncarnation, TargetKey, TargetName},
    target_load::TargetEntry,
    target_notice::{LeavingNotices, LeavingReport},
    units::Moment,
};

/// The grace period after the source's recovery, within which a missing entry may belong to a live
/// target. Targets write their entries again within two seconds, and a VM notices the recovery some
/// tenths of a second late.
///
/// The period ends at the same moment for every VM, however late it learns of a missing entry. A
/// period that began when a VM learns of the missing entry would add to the delay of the VM that
/// had read and forwarded it, and a target that left without notice would get new requests for more
/// than the 3 s that are permitted after the end of its entry. A VM that was cut off reaches the
/// source again within about a second, so its period ends within the 3 s after the cut in which
/// late removals are still permitted.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_600);
/// The number of target names whose last incarnation is remembered, at some 60 bytes each. Names
/// come and go for as long as a VM runs; beyond this number only those of existing targets are
/// kept.
const INCARNATIONS_LIMIT: usize = 4_096;

/// How long a removed target is remembered. This is longer than the age of a copy from which the
/// source is restored.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// How long entries that a restored copy brings back are ignored. Within this time a live target
/// has written its entry again or changed it, and the entry of one that is gone has lapsed.
const RESTORED_ENTRY_SPAN: Duration = Duration::from_secs(10);
/// The number of removed targets that are remembered; beyond it the oldest is dropped.
const REMOVED_LIMIT: usize = 1_024;

/// An update from the registry's source.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryUpdate {
    /// All existing entries.
    Snapshot {
        /// The readable entries.
        entries: Vec<TargetEntry>,
        /// The names of unreadable entries.
        unreadable: Vec<TargetName>,
    },
    /// Changed entries, and the names of removed ones.
    Changed {
        /// New or changed entries.
        entries: Vec<TargetEntry>,
        /// The names of removed entries.
        gone: Vec<TargetName>,
        /// The names of changed entries that are unreadable.
        unreadable: Vec<TargetName>,
    },
    /// The source became unreachable.
    SourceLost,
    /// The source is reachable again.
    SourceBack,
    /// The peer that forwards updates has recovered from a loss of the source: for this much
    /// longer, missing entries may belong to live targets.
    MissingEntryGrace(Duration),
    /// The source was restored from a copy that is some seconds old. Its next updates may be older
    /// than what is known, until the targets have written their entries again.
    SourceRestored,
}

impl RegistryUpdate {
    /// Returns an update that holds all entries.
    pub fn whole(entries: Vec<TargetEntry>) -> Self {
        Self::Snapshot { entries, unreadable: Vec::new() }
    }

    /// Returns an update that holds these new or changed entries.
    pub fn changed(entries: Vec<TargetEntry>) -> Self {
        Self::Changed { entries, gone: Vec::new(), unreadable: Vec::new() }
    }

    /// Returns whether entries of live targets may be missing from now on.
    pub fn is_loss(&self) -> bool {
        match self {
            Self::SourceLost | Self::MissingEntryGrace(_) | Self::SourceRestored => true,
            Self::Snapshot { .. } | Self::Changed { .. } | Self::SourceBack => false,
        }
    }
}

/// The last known incarnation of a name.
#[derive(Clone, Copy, Debug)]
struct LastIncarnation {
    incarnation: TargetIncarnation,
    address: SocketAddr,
}

#[derive(Clone, Debug)]
struct RegisteredTarget {
    entry: TargetEntry,
    grace_end: Option<Moment>,
}

/// The known targets.
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
    /// The services whose entries count; `None` if those of all do.
    services: Option<BTreeSet<ServiceName>>,
    /// The last known incarnation of each name, also of removed targets.
    incarnations: BTreeMap<TargetName, LastIncarnation>,
    /// Targets that have announced that they are leaving.
    leaving_notices: LeavingNotices,
    /// Recently removed targets, and when they were removed.
    removed: BTreeMap<TargetKey, Moment>,
    /// Targets that were removed before the source was restored from a copy. Until the given
    /// moment, entries of theirs in the copy are ignored.
    ignored_until: BTreeMap<TargetKey, Moment>,
    known: bool,
    newest: u64,
    reached: u64,
    is_lost: bool,
    /// The end of the grace period after an outage of the source.
    grace_until: Option<Moment>,
}

impl TargetRegistry {
    /// Applies an update from the source.
    pub fn take(&mut self, now: Moment, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Snapshot { mut entries, unreadable } => {
                self.known = true;
                self.ignored_until.retain(|_, until| now < *until);
                entries.retain(|entry| !self.ignored_until.contains_key(&entry.key()));
                self.drop_unreadable(&unreadable);
                let names: Vec<TargetName> =
                    entries.iter().map(|entry| entry.name.clone()).collect();
                let missing = self.targets.keys().filter(|name| !names.contains(name));
                let missing: Vec<TargetName> = missing.cloned().collect();
                self.change(now, entries, &missing);
            }
            RegistryUpdate::Changed { entries, gone, unreadable } => {
                // Entries written since the restore are not from the copy.
                for entry in &entries {
                    self.ignored_until.remove(&entry.key());
                }
                self.drop_unreadable(&unreadable);
                self.change(now, entries, &gone);
            }
            RegistryUpdate::SourceLost => self.is_lost = true,
            RegistryUpdate::SourceBack => {
                if std::mem::take(&mut self.is_lost) {
                    self.extend_grace(now, MISSING_ENTRY_GRACE);
                }
            }
            RegistryUpdate::MissingEntryGrace(left) => {
                self.extend_grace(now, left.min(MISSING_ENTRY_GRACE))
            }
            RegistryUpdate::SourceRestored => self.prepare_for_copy(now),
        }
    }

    /// Creates a registry that counts the entries of no service until [`Self::set_services`].
    pub fn without_services() -> Self {
        Self { services: Some(BTreeSet::new()), ..Self::default() }
    }

    /// Sets the services in force. Entries of other services count for nothing from now on.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        self.services = Some(services);
        let entries: Vec<TargetEntry> =
            self.targets.values().map(|target| target.entry.clone()).collect();
        let outdated: Vec<TargetName> = entries
            .into_iter()
            .filter(|entry| self.is_in_force(entry) && !self.record_incarnation(entry))
            .map(|entry| entry.name)
            .collect();
        self.targets.retain(|name, _| !outdated.contains(name));
    }

    /// Records the number of the newest change that was received.
    pub fn record_newest(&mut self, number: u64) {
        self.newest = self.newest.max(number);
    }

    /// Records the number up to which the source has no changes that were not received.
    pub fn record_reached(&mut self, number: u64) {
        self.reached = self.reached.max(number);
    }

    /// Returns the number up to which all changes have been received. It is ahead of
    /// [`TargetRegistry::newest`] where the source numbers other things too, and where an entry was
    /// removed that was never known here.
    pub fn reached(&self) -> u64 {
        self.reached.max(self.newest)
    }

    /// Returns the number of the newest change that was received, as the source numbers changes.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns whether the source was read at least once.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the existing targets of the services in force, and drops those whose grace period is
    /// over.
    pub fn current(&mut self, now: Moment) -> Vec<TargetEntry> {
        let is_over = |target: &RegisteredTarget| target.grace_end.is_some_and(|at| now >= at);
        let ended: Vec<RegisteredTarget> =
            self.targets.extract_if(.., |_, target| is_over(target)).map(|(_, it)| it).collect();
        ended.iter().for_each(|target| self.record_removed(now, target.entry.key()));
        self.leaving_notices.expire(now);
        let entries = self.targets.values().map(|target| &target.entry);
        let in_force = entries.filter(|entry| self.is_in_force(entry));
        in_force.map(|entry| self.with_announcement(entry)).collect()
    }

    /// Returns the names of the entries that count for nothing, since their service is not in force.
    pub fn passed_over(&self) -> Vec<TargetName> {
        let entries = self.targets.values().map(|target| &target.entry);
        let passed_over = entries.filter(|entry| !self.is_in_force(entry));
        passed_over.map(|entry| entry.name.clone()).collect()
    }

    /// Returns the announcements of leaving targets, for recording more of them.
    pub fn leaving_notices_mut(&mut self) -> &mut LeavingNotices {
        &mut self.leaving_notices
    }

    /// Returns the targets that have announced that they are leaving, and whose entries do not say
    /// so.
    pub fn unregistered_leaving(&self, now: Moment) -> Vec<LeavingReport> {
        let entries = self.targets.values().map(|target| &target.entry);
        let unregistered = entries.filter(|entry| !entry.leaving).map(TargetEntry::key);
        self.leaving_notices.reports(now, unregistered)
    }

    /// Merges the announcement of a target into its entry. An entry that the source read before the
    /// announcement does not revoke it.
    fn with_announcement(&self, entry: &TargetEntry) -> TargetEntry {
        let leaving = entry.leaving || self.leaving_notices.contains(entry.key());
        TargetEntry { leaving, ..entry.clone() }
    }

    /// Returns the targets that are kept though their entries are missing.
    pub fn in_grace(&self) -> impl Iterator<Item = &TargetName> {
        let in_grace = self.targets.iter().filter(|(_, target)| target.grace_end.is_some());
        in_grace.map(|(name, _)| name)
    }

    /// Returns when the last grace period of a target with a missing entry ends.
    pub fn last_grace_end(&self) -> Option<Moment> {
        self.targets.values().filter_map(|target| target.grace_end).max()
    }

    /// Returns whether a later incarnation of a target is known: this one has ended.
    pub fn is_replaced(&self, entry: &TargetEntry) -> bool {
        self.later(entry).is_some()
    }

    /// Returns whether a later incarnation of a target is known, at another address: whatever was sent
    /// to the address of this one has ended.
    ///
    /// At the same address, requests may have reached the later incarnation before its entry was read.
    pub fn is_replaced_elsewhere(&self, entry: &TargetEntry) -> bool {
        self.later(entry).is_some_and(|last| last.address != entry.address)
    }

    fn later(&self, entry: &TargetEntry) -> Option<&LastIncarnation> {
        self.incarnations.get(&entry.name).filter(|last| last.incarnation > entry.incarnation)
    }

    /// Drops targets whose entries were overwritten with something unreadable. Such an entry names
    /// no target. If the target stayed in use by its last readable entry, requests would go to an
    /// address that the registry no longer confirms. There is no grace period, because the entry
    /// has not lapsed.
    fn drop_unreadable(&mut self, names: &[TargetName]) {
        self.targets.retain(|name, _| !names.contains(name));
    }

    /// Records the incarnation of an entry. Returns false for an entry of an earlier incarnation,
    /// which is out of date: it would bring back the address and the speed of a target that has
    /// ended.
    fn record_incarnation(&mut self, entry: &TargetEntry) -> bool {
        if self.is_replaced(entry) {
            return false;
        }
        let TargetEntry { incarnation, address, .. } = *entry;
        self.incarnations.insert(entry.name.clone(), LastIncarnation { incarnation, address });
        if self.incarnations.len() > INCARNATIONS_LIMIT {
            let targets = &self.targets;
            self.incarnations.retain(|name, _| targets.contains_key(name) || *name == entry.name);
        }
        true
    }

    fn is_in_force(&self, entry: &TargetEntry) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(&entry.service))
    }

    fn change(&mut self, now: Moment, entries: Vec<TargetEntry>, gone: &[TargetName]) {
        for entry in entries {
            // The start time in an entry of another program says nothing of the target with its name.
            if self.is_in_force(&entry) && !self.record_incarnation(&entry) {
                continue;
            }
            let target = RegisteredTarget { entry, grace_end: None };
            self.targets.insert(target.entry.name.clone(), target);
        }
        // While the source is unreachable, only peers report removed entries.
        let grace_until =
            if self.is_lost { Some(now + MISSING_ENTRY_GRACE) } else { self.grace_until };
        let grace_until = grace_until.filter(|until| now < *until);
        for name in gone {
            let Some(target) = self.targets.get_mut(name) else { continue };
            if grace_until.is_some() && !target.entry.leaving {
                target.grace_end = target.grace_end.or(grace_until);
            } else if let Some(ended) = self.targets.remove(name) {
                self.record_removed(now, ended.entry.key());
            }
        }
    }

    /// Guards against a copy in which targets that have since begun to leave, or have gone, accept
    /// requests.
    fn prepare_for_copy(&mut self, now: Moment) {
        let leaving = self.targets.values().filter(|target| target.entry.leaving);
        for target in leaving {
            self.leaving_notices.record(now, target.entry.key());
        }
        let recent = self.removed.iter().filter(|(_, at)| now.since(**at) < REMOVED_RETENTION);
        self.ignored_until.extend(recent.map(|(key, _)| (*key, now + RESTORED_ENTRY_SPAN)));
    }

    fn record_removed(&mut self, now: Moment, target: TargetKey) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.removed.insert(target, now);
        if self.removed.len() > REMOVED_LIMIT {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.and_then(|oldest| self.removed.remove(&oldest));
        }
    }

    fn extend_grace(&mut self, now: Moment, span: Duration) {
        self.grace_until = self.grace_until.max(Some(now + span));
    }
}
