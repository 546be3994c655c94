//! Choice of a target for a request that continues a stream.
//!
//! What two versions of a service's software send does not fit together, and targets do not check
//! it, so a stream goes on only at the version that began it. Its caller has seen a part of it
//! already: it takes the first free slot of that version, of any cell, before requests that can
//! start anywhere. While all targets run one version, it is placed like any other request.

use std::collections::BTreeMap;

use crate::{
    ids::{ServiceName, TargetKey, VersionKey, VersionName},
    placement::{self, PlacementForecast, PlacementNeed},
    scheduler_options::SchedulerOptions,
    target_ejection::TargetEjection,
    target_load::TargetLoad,
    units::Moment,
    wait_queue::WaitingRequest,
};

/// What to do with a request that continues a stream.
#[derive(Clone, Copy, Debug)]
pub enum ContinuationChoice<'a> {
    /// Send it to this target.
    Target(&'a TargetLoad, PlacementForecast),
    /// Wait for a slot of its version.
    Wait,
    /// No target of its version is left.
    VersionGone,
}

/// The targets of a service by the versions that they run.
#[derive(Clone, Copy, Debug)]
pub struct VersionTargets<'a> {
    targets: &'a BTreeMap<TargetKey, TargetLoad>,
    /// A version that a rollout has taken back. No request may reach it, whichever it continues.
    condemned: Option<&'a VersionName>,
}

impl<'a> VersionTargets<'a> {
    /// Creates a view of all targets.
    pub fn new(targets: &'a BTreeMap<TargetKey, TargetLoad>) -> Self {
        Self { targets, condemned: None }
    }

    /// Excludes a version that a rollout has taken back.
    pub fn without_condemned(mut self, version: Option<&'a VersionName>) -> Self {
        self.condemned = version;
        self
    }

    /// Returns the version to which a request is bound: that of its stream, unless all targets of its
    /// service run that one.
    pub fn binding(&self, work: &WaitingRequest) -> Option<VersionKey> {
        let version = work.version?;
        let mut entries = self.of_service(&work.service).map(TargetLoad::entry);
        entries.any(|entry| VersionKey::of(&entry.version) != version).then_some(version)
    }

    fn of_version(&self, service: &ServiceName, version: VersionKey) -> Vec<&'a TargetLoad> {
        let is_of_version = |load: &&TargetLoad| {
            let entry = load.entry();
            !entry.leaving
                && VersionKey::of(&entry.version) == version
                && self.condemned != Some(&entry.version)
        };
        self.of_service(service).filter(is_of_version).collect()
    }

    fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &'a TargetLoad> {
        self.targets.values().filter(move |load| load.entry().service == *service)
    }
}

/// Chooses a target of `version` for requests that continue a stream of it.
#[derive(Clone, Copy, Debug)]
pub struct ContinuationPlacement<'a> {
    /// The current moment.
    pub now: Moment,
    /// The targets.
    pub targets: VersionTargets<'a>,
    /// The targets of the service that are ejected.
    pub ejection: &'a TargetEjection,
    /// The options of this VM.
    pub options: &'a SchedulerOptions,
}

impl<'a> ContinuationPlacement<'a> {
    /// Chooses a target for `work`. An ejected target, or one that has failed the request, is chosen
    /// only if its version has no other.
    pub fn choose(
        &self,
        work: &WaitingRequest,
        version: VersionKey,
        need: &PlacementNeed,
    ) -> ContinuationChoice<'a> {
        let loads = self.targets.of_version(&work.service, version);
        if loads.is_empty() {
            return ContinuationChoice::VersionGone;
        }
        let is_sound = |load: &&TargetLoad| {
            !work.excluded.contains(&load.key()) && !self.ejection.is_ejected(load.key())
        };
        let sound: Vec<&TargetLoad> = loads.iter().copied().filter(is_sound).collect();
        let candidates = if sound.is_empty() { loads } else { sound };
        let open = candidates.into_iter().filter(|load| self.has_open_slot(load));
        let (own, assumed) = (&self.options.data_centre, &self.options.assumed);
        let forecast = |load| (load, placement::forecast(self.now, load, need, own, assumed));
        let best = open
            .map(forecast)
            .min_by_key(|(load, it)| (!it.on_time, !it.keeps_pauses, it.cost, load.key()));
        best.map_or(ContinuationChoice::Wait, |(load, it)| ContinuationChoice::Target(load, it))
    }

    fn has_open_slot(&self, load: &TargetLoad) -> bool {
        load.accepts_work(self.now) && load.takeable_slots(self.now) > 0
    }
}
