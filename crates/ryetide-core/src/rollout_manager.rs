//! Tracks which versions of each service may get requests from one entry VM, and the rollout orders
//! that change this.
//!
//! A version is in use if it existed before any order, or if an order for it was completed. The
//! version that an order names gets the share that [`ServiceRollout`] permits. All others get
//! nothing, as long as a version that is in use has a target.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::RolloutState,
    ids::{Incarnation, ServiceKey, ServiceName, TargetKey, VersionName, VmName},
    rollout_evidence::{RunSample, VersionSide},
    rollout_order::{RolloutDuty, RolloutOrder, RolloutReport, RolloutRule},
    service_rollout::{
        self, FleetReachability, RolloutChange, RolloutContext, RolloutProgress, ServiceRollout,
    },
    target_load::TargetEntry,
    units::Moment,
};

/// The number of services whose versions and orders are kept. Services come and go while a VM runs;
/// above this limit those without a target are dropped.
const SERVICES_LIMIT: usize = 1_024;
/// The greatest number of versions of one service that are kept as in use.
const VERSIONS_LIMIT: usize = 16;
/// How long progress is still reported to peers after the time of an order is over, for VMs that
/// were partitioned when it ended.
const ENDED_REPORT_SPAN: Duration = Duration::from_secs(60);

/// How long the ordered version must have been listed alone to count as the only one. Entries that
/// expired during an outage of the store return sooner.
const ONLY_VERSION_SPAN: Duration = Duration::from_secs(3);

/// Which requests a target may get, by its version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetUse {
    /// Any request.
    Serving,
    /// A bounded share of the requests, while its version is on trial.
    Trial,
    /// No new requests.
    Closed,
}

#[derive(Debug, Default)]
struct ServiceVersions {
    in_use: Vec<VersionName>,
    rollout: Option<ServiceRollout>,
    /// The order before that one. It may reappear when the operators' table is restored from a
    /// backup.
    previous: Option<RolloutOrder>,
    /// The number of targets that are not leaving, of versions in use and of the ordered version.
    live_in_use: usize,
    live_new: usize,
    /// The versions that are listed.
    listed: Vec<VersionName>,
    /// Since when a single version has been listed.
    single_since: Option<Moment>,
}

/// Manages the versions of all services and the rollout orders for them.
#[derive(Debug)]
pub struct RolloutManager {
    own: VmName,
    rule: RolloutRule,
    services: BTreeMap<ServiceName, ServiceVersions>,
    /// Whether a list of targets has been received. Versions in the first list existed before any
    /// later order; a version that appears after it needs an order of its own.
    knows_targets: bool,
    /// State transitions that have not been taken by [`take_changes`](Self::take_changes) yet.
    /// Reports of orders that are unknown here are dropped: once an order arrives, its row is read.
    changes: Vec<RolloutChange>,
}

impl RolloutManager {
    /// Creates a manager without any service.
    pub fn new(own: VmName, rule: RolloutRule) -> Self {
        Self { own, rule, services: BTreeMap::new(), knows_targets: false, changes: Vec::new() }
    }

    /// Replaces the rule for orders that arrive from now on.
    pub fn set_rule(&mut self, rule: RolloutRule) {
        self.rule = rule;
    }

    /// Replaces the list of targets.
    pub fn take_targets(&mut self, now: Moment, entries: &[TargetEntry]) {
        for versions in self.services.values_mut() {
            (versions.live_in_use, versions.live_new) = (0, 0);
            versions.listed.clear();
        }
        let mut found: BTreeMap<&ServiceName, Vec<&TargetEntry>> = BTreeMap::new();
        for entry in entries {
            found.entry(&entry.service).or_default().push(entry);
        }
        let (by_order_only, knows_targets) = (self.rule.by_order_only, self.knows_targets);
        self.forget_services(&found);
        for (service, entries) in found {
            let versions = self.services.entry(service.clone()).or_default();
            versions.take_targets(now, &entries, by_order_only && knows_targets);
        }
        for versions in self.services.values_mut().filter(|it| it.listed.is_empty()) {
            versions.single_since = None;
        }
        self.knows_targets |= !entries.is_empty();
        self.collect_changes();
    }

    fn forget_services(&mut self, found: &BTreeMap<&ServiceName, Vec<&TargetEntry>>) {
        if self.services.len() > SERVICES_LIMIT {
            self.services.retain(|name, _| found.contains_key(name));
        }
    }

    /// Adopts an order, unless a later one for its service is known.
    pub fn take_order(&mut self, now: Moment, order: RolloutOrder) {
        let versions = self.services.entry(order.service.clone()).or_default();
        if let Some(rollout) = &mut versions.rollout {
            let known = rollout.order();
            if known.number >= order.number {
                return;
            }
            if order.is_same_order(known) {
                rollout.renumber(order.number);
                versions.previous = None;
                return;
            }
            if versions.previous.as_ref().is_some_and(|previous| order.is_same_order(previous)) {
                // The backup does not hold the order in force. That one will be written again.
                return;
            }
            versions.previous = Some(known.clone());
        }
        versions.take_order(ServiceRollout::new(now, order, self.rule), now);
        self.collect_changes();
    }

    /// Applies the status in the operators' row.
    pub fn take_report(&mut self, now: Moment, report: &RolloutReport) {
        let Some(versions) = self.services.get_mut(&report.service) else { return };
        versions.with_rollout(|rollout| rollout.take_report(now, report));
        self.collect_changes();
    }

    /// Applies a peer's progress reports. Reports of orders that are unknown here are ignored,
    /// since the orders themselves are read from the operators' table.
    pub fn take_progress(
        &mut self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        reports: &[RolloutProgress],
    ) {
        for progress in reports {
            let mut services = self.services.iter_mut();
            let found = services.find(|(name, _)| ServiceKey::of(name) == progress.service);
            if let Some((_, versions)) = found {
                versions.with_rollout(|rollout| {
                    rollout.take_progress(now, from, incarnation, progress)
                });
            }
        }
        self.collect_changes();
    }

    /// Returns which requests a target may get.
    pub fn target_use(&self, entry: &TargetEntry) -> TargetUse {
        self.services.get(&entry.service).map_or(TargetUse::Serving, |it| it.target_use(entry))
    }

    /// Returns the side to which a target belongs while an order for its service is in progress.
    pub fn side(&self, entry: &TargetEntry) -> Option<VersionSide> {
        let rollout = self.services.get(&entry.service)?.rollout.as_ref()?;
        if rollout.is_ended() {
            return None;
        }
        let is_new = entry.version == rollout.order().to;
        Some(if is_new { VersionSide::New } else { VersionSide::Old })
    }

    /// Returns the order for a service that is in progress, if any.
    pub fn rollout(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        let rollout = self.services.get(service)?.rollout.as_ref()?;
        (!rollout.is_ended()).then_some(rollout)
    }

    /// Returns the version of a service that its latest order has taken back, if it has.
    pub fn condemned(&self, service: &ServiceName) -> Option<&VersionName> {
        let rollout = self.services.get(service)?.rollout.as_ref()?;
        let is_condemned =
            matches!(rollout.state(), RolloutState::Condemned | RolloutState::RolledBack);
        is_condemned.then(|| &rollout.order().to)
    }

    /// Returns the latest known order of each service, in progress or ended.
    pub fn rollouts(&self) -> impl Iterator<Item = &ServiceRollout> {
        self.services.values().filter_map(|versions| versions.rollout.as_ref())
    }

    /// Returns the subset of a service's `targets` on trial that may get one more request now.
    pub fn trial_targets(
        &self,
        now: Moment,
        service: &ServiceName,
        reachability: &FleetReachability,
        targets: &[TargetKey],
    ) -> Vec<TargetKey> {
        let rollout = self.rollout(service);
        rollout.map_or_else(Vec::new, |it| it.slice(now, reachability, targets.to_vec()))
    }

    /// Counts a request that was placed.
    pub fn record_placed(&mut self, now: Moment, entry: &TargetEntry) {
        let Some(side) = self.side(entry) else { return };
        if let Some(versions) = self.services.get_mut(&entry.service) {
            versions.with_rollout(|rollout| rollout.record_placed(now, side));
        }
    }

    /// Adds the result of a run to the evidence of the order in progress, if any.
    pub fn record_run(&mut self, now: Moment, entry: &TargetEntry, sample: RunSample) {
        let Some(side) = self.side(entry) else { return };
        if let Some(versions) = self.services.get_mut(&entry.service) {
            versions.with_rollout(|rollout| rollout.record_run(now, side, sample));
        }
    }

    /// Evaluates all orders. `in_flight_old` returns the number of this VM's requests that are in
    /// flight at old targets of a service.
    pub fn advance(
        &mut self,
        now: Moment,
        reachability: &FleetReachability,
        in_flight_old: impl Fn(&ServiceName) -> u32,
    ) {
        for (name, versions) in &mut self.services {
            versions.check_only_version(now);
            let new_targets = versions.live_new;
            versions.with_rollout(|rollout| {
                let (reachability, in_flight_old) = (*reachability, in_flight_old(name));
                let context = RolloutContext { reachability, new_targets, in_flight_old };
                rollout.advance(now, &context);
            });
        }
        self.collect_changes();
    }

    /// Returns the tasks that this VM must do at the operators' rows now. `others` are the VMs that
    /// it hears from.
    pub fn duties(&self, now: Moment, others: &[VmName]) -> Vec<RolloutDuty> {
        let due = |rollout: &ServiceRollout| {
            let rank = |vm| service_rollout::duty_rank(rollout.order(), vm);
            let own = rank(&self.own);
            rollout.duty(now, others.iter().filter(|vm| rank(vm) < own).count())
        };
        self.rollouts().filter_map(due).collect()
    }

    /// Returns the progress reports for peers.
    pub fn progress(
        &self,
        now: Moment,
        with_tallies: bool,
        in_flight_old: impl Fn(&ServiceName) -> u32,
    ) -> Vec<RolloutProgress> {
        let reported = self.rollouts().filter(|rollout| {
            !rollout.is_ended() || rollout.age(now) < rollout.order().duration + ENDED_REPORT_SPAN
        });
        let progress_of = |rollout: &ServiceRollout| {
            rollout.progress(now, in_flight_old(&rollout.order().service), with_tallies)
        };
        reported.map(progress_of).collect()
    }

    /// Returns the state transitions of all orders since the last call.
    pub fn take_changes(&mut self) -> Vec<RolloutChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether there are state transitions that have not been taken yet.
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    fn collect_changes(&mut self) {
        for versions in self.services.values_mut() {
            let Some(rollout) = &mut versions.rollout else { continue };
            self.changes.append(&mut rollout.take_changes());
        }
    }
}

impl ServiceVersions {
    fn take_targets(&mut self, now: Moment, entries: &[&TargetEntry], by_order_only: bool) {
        self.list_versions(now, entries);
        let ordered = self.rollout.as_ref().map(|rollout| rollout.order().to.clone());
        let others = entries.iter().filter(|entry| Some(&entry.version) != ordered.as_ref());
        let others: Vec<VersionName> = others.map(|entry| entry.version.clone()).collect();
        let staying = entries.iter().filter(|entry| !entry.leaving);
        let (new, old): (Vec<&TargetEntry>, Vec<&TargetEntry>) =
            staying.partition(|entry| Some(&entry.version) == ordered.as_ref());
        self.live_new = new.len();
        // A version that appears beside others needs an order; the first ones that are seen do not.
        let is_first = self.in_use.is_empty();
        if is_first || !by_order_only {
            for version in others {
                self.put_in_use(version);
            }
        }
        self.live_in_use = old.iter().filter(|entry| self.in_use.contains(&entry.version)).count();
    }

    fn list_versions(&mut self, now: Moment, entries: &[&TargetEntry]) {
        self.listed = entries.iter().map(|entry| entry.version.clone()).collect();
        self.listed.sort();
        self.listed.dedup();
        let is_single = self.listed.len() == 1;
        self.single_since = if is_single { self.single_since.or(Some(now)) } else { None };
    }

    /// Passes the ordered version without a trial if no other one is known. A VM that has just
    /// started may lack the entries of the others for a while.
    fn check_only_version(&mut self, now: Moment) {
        let is_known = self.single_since.is_some_and(|at| now.since(at) >= ONLY_VERSION_SPAN);
        let ordered = self.rollout.as_ref().map(|rollout| &rollout.order().to);
        let is_listed = ordered.is_some_and(|to| self.listed.contains(to));
        if is_known && is_listed && self.in_use.is_empty() {
            self.with_rollout(|rollout| rollout.note_only_version(now));
        }
    }

    fn take_order(&mut self, rollout: ServiceRollout, now: Moment) {
        let to = rollout.order().to.clone();
        self.in_use.retain(|version| *version != to);
        if self.in_use.is_empty() {
            // Versions that were listed after the ordered one are not new beside it.
            let others = self.listed.iter().filter(|version| **version != to);
            self.in_use = others.take(VERSIONS_LIMIT).cloned().collect();
        }
        self.rollout = Some(rollout);
        self.check_only_version(now);
    }

    fn with_rollout(&mut self, act: impl FnOnce(&mut ServiceRollout)) {
        let Some(rollout) = &mut self.rollout else { return };
        let before = rollout.state();
        act(rollout);
        let (after, to) = (rollout.state(), rollout.order().to.clone());
        if after != before && after == RolloutState::Completed {
            self.in_use = vec![to];
        }
    }

    fn put_in_use(&mut self, version: VersionName) {
        if self.in_use.len() < VERSIONS_LIMIT && !self.in_use.contains(&version) {
            self.in_use.push(version);
        }
    }

    fn target_use(&self, entry: &TargetEntry) -> TargetUse {
        let state = self.rollout.as_ref().map(ServiceRollout::state);
        let is_ordered = self.rollout.as_ref().is_some_and(|it| it.order().to == entry.version);
        match (state, is_ordered) {
            (Some(RolloutState::Completed), true) => TargetUse::Serving,
            (Some(RolloutState::Trial), true) => TargetUse::Trial,
            (Some(RolloutState::Moving | RolloutState::Emptied), true) => TargetUse::Serving,
            (Some(_), true) => TargetUse::Closed,
            // New requests go to the new version, as long as it has targets.
            (Some(RolloutState::Moving | RolloutState::Emptied), false) if self.live_new > 0 => {
                TargetUse::Closed
            }
            (_, false) if self.in_use.contains(&entry.version) => TargetUse::Serving,
            (_, false) if self.live_in_use == 0 && self.live_new == 0 => TargetUse::Serving,
            (None | Some(_), _) => TargetUse::Closed,
        }
    }
}
