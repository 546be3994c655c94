//! Which versions of each service's software this VM has seen among the targets, and since when it
//! looks.
//!
//! A stream whose origin nobody knows may be taken up only if one version alone can have begun it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceKey, VersionKey},
    target_load::TargetEntry,
    units::Moment,
};

/// The most versions of a service that are remembered.
const VERSION_LIMIT: usize = 32;

/// What a VM has seen of a service's versions in the time for which a stream lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum VersionsSeen {
    /// One version alone.
    Only(VersionKey),
    /// One version alone, but the VM does not know what was there before it looked.
    OnlyYet(VersionKey),
    /// Several versions.
    Several,
    /// None.
    Nothing,
}

/// The versions of a service that a VM has seen in the time for which a stream lasts, as it stores them.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: ServiceKey,
    /// The versions, in ascending order.
    pub versions: Vec<VersionKey>,
    /// Whether it is known that there were no others.
    #[serde(default)]
    pub complete: bool,
}

/// The versions seen by one VM.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the VM learned of targets for the first time.
    since: Option<Moment>,
    /// When each version was last seen.
    services: HashMap<ServiceKey, BTreeMap<VersionKey, Moment>>,
    /// The services of which all versions were known to VMs before this one looked.
    complete: BTreeSet<ServiceKey>,
    /// Whether no VM had stored any versions before this one looked, so that none had served.
    is_first_start: bool,
}

impl VersionHistory {
    /// Records the targets that exist at `now`. Those of the last call have existed until now.
    pub fn record(&mut self, now: Moment, before: &[TargetEntry], entries: &[TargetEntry]) {
        self.since = self.since.or(Some(now));
        for entry in before.iter().chain(entries) {
            let versions = self.services.entry(ServiceKey::of(&entry.service)).or_default();
            versions.insert(VersionKey::of(&entry.version), now);
            if versions.len() > VERSION_LIMIT {
                let oldest = versions.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
                oldest.map(|key| versions.remove(&key));
            }
        }
    }

    /// Returns what was seen of a service's versions in the last `window`. `entries` are the targets
    /// that exist at `now`.
    pub fn seen(
        &self,
        now: Moment,
        service: ServiceKey,
        window: Duration,
        entries: &[TargetEntry],
    ) -> VersionsSeen {
        let mut versions = self.versions(now, service, window, entries).into_iter();
        let Some(first) = versions.next() else { return VersionsSeen::Nothing };
        if versions.next().is_some() {
            return VersionsSeen::Several;
        }
        if self.is_complete(now, service, window) {
            VersionsSeen::Only(first)
        } else {
            VersionsSeen::OnlyYet(first)
        }
    }

    /// Returns the versions of each service that were seen in the last `window`.
    pub fn listing(
        &self,
        now: Moment,
        window: Duration,
        entries: &[TargetEntry],
    ) -> Vec<ServiceVersions> {
        let versions = |service: &ServiceKey| ServiceVersions {
            service: *service,
            versions: self.versions(now, *service, window, entries).into_iter().collect(),
            complete: self.is_complete(now, *service, window),
        };
        let mut listing: Vec<ServiceVersions> = self.services.keys().map(versions).collect();
        listing.retain(|it| !it.versions.is_empty());
        listing.sort_by_key(|it| it.service);
        listing
    }

    /// Adds versions that a VM has stored before a restart, unless this VM has looked for long enough
    /// itself: what is stored may be old.
    pub fn restore(&mut self, now: Moment, stored: &ServiceVersions, window: Duration) {
        if !self.is_new(now, window) {
            return;
        }
        let seen = self.services.entry(stored.service).or_default();
        for version in stored.versions.iter().take(VERSION_LIMIT) {
            seen.entry(*version).or_insert(now);
        }
        if stored.complete {
            self.complete.insert(stored.service);
        }
    }

    /// Records that no VM has stored any versions: none has served before.
    pub fn record_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Whether all versions of a service in the last `window` are known.
    fn is_complete(&self, now: Moment, service: ServiceKey, window: Duration) -> bool {
        !self.is_new(now, window) || self.is_first_start || self.complete.contains(&service)
    }

    /// Whether this VM has not looked for as long as `window`.
    fn is_new(&self, now: Moment, window: Duration) -> bool {
        self.since.is_none_or(|since| now.since(since) < window)
    }

    fn versions(
        &self,
        now: Moment,
        service: ServiceKey,
        window: Duration,
        entries: &[TargetEntry],
    ) -> BTreeSet<VersionKey> {
        let of_service = entries.iter().filter(|it| ServiceKey::of(&it.service) == service);
        let present = of_service.map(|entry| VersionKey::of(&entry.version));
        let remembered = self.services.get(&service).into_iter().flatten();
        let recent = remembered.filter(|(_, at)| now.since(**at) < window).map(|(key, _)| *key);
        present.chain(recent).collect()
    }
}
