//! Which versions of each service's software this VM has seen among the targets, and since when it
//! looks.
//!
//! A stream whose origin nobody knows may be taken up only if one version alone can have begun it.

use std::{
    collections::{BTreeMap, HashMap},
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
    /// One version alone, but the VM does not look for long enough.
    OnlyYet(VersionKey),
    /// Several versions.
    Several,
    /// None.
    Nothing,
}

/// The versions seen by one VM.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the VM learned of targets for the first time.
    since: Option<Moment>,
    /// When each version was last seen.
    services: HashMap<ServiceKey, BTreeMap<VersionKey, Moment>>,
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
        let of_service = entries.iter().filter(|it| ServiceKey::of(&it.service) == service);
        let present = of_service.map(|entry| VersionKey::of(&entry.version));
        let remembered = self.services.get(&service).into_iter().flatten();
        let recent = remembered.filter(|(_, at)| now.since(**at) < window).map(|(key, _)| *key);
        let mut versions = present.chain(recent);
        let Some(first) = versions.next() else { return VersionsSeen::Nothing };
        if versions.any(|version| version != first) {
            return VersionsSeen::Several;
        }
        let looks_long = self.since.is_some_and(|since| now.since(since) >= window);
        if looks_long { VersionsSeen::Only(first) } else { VersionsSeen::OnlyYet(first) }
    }
}
