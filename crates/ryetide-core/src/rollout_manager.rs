//! Tracks which versions of each service may get requests from one entry VM, and the rollout orders
//! that change this.
//!
//! A version is in use if it existed before any order, or if an order for it was completed. The
//! version that an order names gets the share that [`ServiceRollout`] permits. All others get
//! nothing, as long as a version that is in use has a target.
//!
//! A VM that has just started lists the targets that the store holds then, which may lack a version
//! in use. Until the list is complete ([`ListingSpan`]) it passes no version as the only one, and
//! what peers or the store know of the versions before an order ([`VersionBaseline`]) counts more
//! than its own list.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::RolloutState,
    ids::{Incarnation, ServiceKey, ServiceName, TargetKey, VersionName, VmName},
    listing_span::{ListingSpan, SourceEvent},
    rollout_evidence::{RunSample, VersionSide},
    rollout_order::{OrderNumber, RolloutDuty, RolloutOrder, RolloutReport, RolloutRule},
    service_rollout::{
        self, FleetReachability, RolloutChange, RolloutContext, RolloutProgress, ServiceRollout,
    },
    target_load::TargetEntry,
    units::Moment,
    version_baseline::{BaselineReport, BaselineSource, VERSIONS_LIMIT, VersionBaseline},
};

/// The number of services whose versions and orders are kept. Services come and go while a VM runs;
/// above this limit those without a target are dropped.
const SERVICES_LIMIT: usize = 1_024;
/// How long progress is still reported to peers after the time of an order is over, for VMs that
/// were partitioned when it ended.
const ENDED_REPORT_SPAN: Duration = Duration::from_secs(60);

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
    /// The order whose completion put them in use; 0 if they existed before any order.
    in_use_since: OrderNumber,
    /// Whether `in_use` is known to lack no version.
    is_settled: bool,
    rollout: Option<ServiceRollout>,
    /// The order before that one. It may reappear when the operators' table is restored from a
    /// backup.
    previous: Option<RolloutOrder>,
    /// The versions that are listed, with the number of their targets that are not leaving.
    listed: BTreeMap<VersionName, usize>,
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
    listing: ListingSpan,
    /// State transitions that have not been taken by [`take_changes`](Self::take_changes) yet.
    /// Reports of orders that are unknown here are dropped: once an order arrives, its row is read.
    changes: Vec<RolloutChange>,
    /// Whether other targets may get requests than before, without a state transition.
    uses_changed: bool,
}

impl RolloutManager {
    /// Creates a manager without any service.
    pub fn new(own: VmName, rule: RolloutRule) -> Self {
        Self {
            own,
            rule,
            services: BTreeMap::new(),
            knows_targets: false,
            listing: ListingSpan::default(),
            changes: Vec::new(),
            uses_changed: false,
        }
    }

    /// Records what was learned of the source of the list of targets.
    pub fn record_source(&mut self, now: Moment, event: SourceEvent) {
        self.listing.record(now, event);
    }

    /// Replaces the rule for orders that arrive from now on.
    pub fn set_rule(&mut self, rule: RolloutRule) {
        self.rule = rule;
    }

    /// Replaces the list of targets.
    pub fn take_targets(&mut self, entries: &[TargetEntry]) {
        self.services.values_mut().for_each(|versions| versions.listed.clear());
        let mut found: BTreeMap<&ServiceName, Vec<&TargetEntry>> = BTreeMap::new();
        for entry in entries {
            found.entry(&entry.service).or_default().push(entry);
        }
        let (by_order_only, knows_targets) = (self.rule.by_order_only, self.knows_targets);
        self.forget_services(&found);
        for (service, entries) in found {
            let versions = self.services.entry(service.clone()).or_default();
            versions.take_targets(&entries, by_order_only && knows_targets);
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
        let rollout = ServiceRollout::new(now, order, self.rule);
        versions.take_order(now, rollout, self.listing.is_complete());
        self.uses_changed = true;
        self.collect_changes();
    }

    /// Applies the status in the operators' row.
    pub fn take_report(&mut self, now: Moment, report: &RolloutReport) {
        let Some(versions) = self.services.get_mut(&report.service) else { return };
        versions.with_rollout(|rollout| rollout.take_report(now, report));
        self.uses_changed |= versions.adopt_baseline();
        self.collect_changes();
    }

    /// Applies a peer's progress reports, and what it knows of the versions before these orders.
    /// Reports of orders that are unknown here are ignored, since the orders themselves are read
    /// from the operators' table.
    pub fn take_progress(
        &mut self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        reports: &[RolloutProgress],
        baselines: &[BaselineReport],
    ) {
        for report in baselines {
            let Some(versions) = self.versions_of(report.service) else { continue };
            versions.with_rollout(|rollout| rollout.take_baseline(now, report));
            let changed = versions.adopt_baseline();
            self.uses_changed |= changed;
        }
        for progress in reports {
            let key = (progress.service, progress.number);
            let known = baselines.iter().find(|report| (report.service, report.number) == key);
            let baseline = known.map(|report| &report.baseline);
            let Some(versions) = self.versions_of(progress.service) else { continue };
            versions.with_rollout(|rollout| {
                rollout.take_progress(now, from, incarnation, progress, baseline);
            });
        }
        self.collect_changes();
    }

    fn versions_of(&mut self, service: ServiceKey) -> Option<&mut ServiceVersions> {
        let mut services = self.services.iter_mut();
        services.find(|(name, _)| ServiceKey::of(name) == service).map(|(_, versions)| versions)
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
            if self.listing.is_complete() {
                self.uses_changed |= versions.settle(now, reachability);
            }
            versions.check_only_version(now);
            let new_targets = versions.live_new();
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

    /// Returns what this VM knows of the versions before the orders in progress, for peers.
    pub fn baseline_reports(&self) -> Vec<BaselineReport> {
        let in_progress = self.rollouts().filter(|rollout| !rollout.is_ended());
        in_progress.filter_map(ServiceRollout::baseline_report).collect()
    }

    /// Returns the state transitions of all orders since the last call.
    pub fn take_changes(&mut self) -> Vec<RolloutChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether other targets may get requests since the last call, or there are state
    /// transitions that have not been taken yet.
    pub fn take_uses_changed(&mut self) -> bool {
        std::mem::take(&mut self.uses_changed) || !self.changes.is_empty()
    }

    fn collect_changes(&mut self) {
        for versions in self.services.values_mut() {
            let Some(rollout) = &mut versions.rollout else { continue };
            self.changes.append(&mut rollout.take_changes());
        }
    }
}

impl ServiceVersions {
    fn take_targets(&mut self, entries: &[&TargetEntry], by_order_only: bool) {
        for entry in entries {
            let live = self.listed.entry(entry.version.clone()).or_default();
            *live += usize::from(!entry.leaving);
        }
        // A version that appears beside others needs an order; the first ones that are seen do not.
        if self.in_use.is_empty() || !by_order_only {
            self.other_versions().into_iter().for_each(|version| self.put_in_use(version));
        }
    }

    /// Returns the listed versions without the ordered one.
    fn other_versions(&self) -> Vec<VersionName> {
        let ordered = self.rollout.as_ref().map(|rollout| &rollout.order().to);
        self.listed.keys().filter(|version| Some(*version) != ordered).cloned().collect()
    }

    /// Concludes from a complete list which versions are in use. Returns whether others are in use
    /// now.
    ///
    /// Beside an order in progress, a VM that reaches few others concludes nothing: it may be
    /// partitioned together with the targets of the ordered version.
    fn settle(&mut self, now: Moment, reachability: &FleetReachability) -> bool {
        let is_ordered = self.rollout.as_ref().is_some_and(|rollout| !rollout.is_ended());
        if self.is_settled || (is_ordered && !reachability.is_sufficient()) {
            return false;
        }
        self.is_settled = true;
        // One that was listed before and is not now may be partitioned.
        let versions = self.other_versions().into_iter().chain(self.in_use.clone()).collect();
        if let Some(rollout) = self.rollout.as_mut().filter(|_| is_ordered) {
            rollout.learn_baseline(now, &VersionBaseline::new(BaselineSource::Listed, versions));
        }
        is_ordered && self.adopt_baseline()
    }

    /// Passes the ordered version without a trial if it is the only one in use.
    fn check_only_version(&mut self, now: Moment) {
        let ordered = self.rollout.as_ref().map(|rollout| &rollout.order().to);
        let is_listed = ordered.is_some_and(|to| self.listed.contains_key(to));
        if is_listed && self.in_use.is_empty() {
            self.with_rollout(|rollout| rollout.pass_only_version(now));
        }
    }

    fn take_order(&mut self, now: Moment, mut rollout: ServiceRollout, is_complete: bool) {
        self.is_settled |= is_complete;
        let to = rollout.order().to.clone();
        self.in_use.retain(|version| *version != to);
        if self.is_settled {
            let source = BaselineSource::InUse(self.in_use_since);
            rollout.learn_baseline(now, &VersionBaseline::new(source, self.in_use.clone()));
        }
        self.rollout = Some(rollout);
        if !self.is_settled && self.in_use.is_empty() {
            // Versions that were listed after the ordered one are not new beside it.
            self.in_use = self.other_versions();
            self.in_use.truncate(VERSIONS_LIMIT);
        }
        self.check_only_version(now);
    }

    /// Uses the versions that are known to have been in use before the order. Returns whether they
    /// are others than those in use.
    fn adopt_baseline(&mut self) -> bool {
        let Some(rollout) = &self.rollout else { return false };
        let Some(baseline) = rollout.baseline() else { return false };
        if rollout.state() == RolloutState::Completed {
            return false;
        }
        let before = self.in_use.clone();
        let (source, versions) = (baseline.source(), baseline.versions().to_vec());
        if rollout.rule().by_order_only {
            self.in_use.clear();
        }
        versions.into_iter().for_each(|version| self.put_in_use(version));
        if let BaselineSource::InUse(since) = source {
            self.in_use_since = since;
        }
        self.is_settled = true;
        self.in_use != before
    }

    fn with_rollout(&mut self, act: impl FnOnce(&mut ServiceRollout)) {
        let Some(rollout) = &mut self.rollout else { return };
        let before = rollout.state();
        act(rollout);
        if rollout.state() != before && rollout.state() == RolloutState::Completed {
            self.in_use = vec![rollout.order().to.clone()];
            self.in_use_since = rollout.order().number;
            self.is_settled = true;
        }
    }

    /// The number of targets of the ordered version that are not leaving.
    fn live_new(&self) -> usize {
        let ordered = self.rollout.as_ref().map(|rollout| &rollout.order().to);
        ordered.and_then(|to| self.listed.get(to)).copied().unwrap_or(0)
    }

    fn has_live_in_use(&self) -> bool {
        self.in_use.iter().any(|version| self.listed.get(version).is_some_and(|live| *live > 0))
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
            (Some(RolloutState::Moving | RolloutState::Emptied), false) if self.live_new() > 0 => {
                TargetUse::Closed
            }
            (_, false) if self.in_use.contains(&entry.version) => TargetUse::Serving,
            (_, false) if !self.has_live_in_use() && self.live_new() == 0 => TargetUse::Serving,
            (None | Some(_), _) => TargetUse::Closed,
        }
    }
}
