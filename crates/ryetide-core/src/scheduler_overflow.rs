//! The scheduler's part in overflow between cells: it reports shortages, grants free slots of its
//! cell, and uses the slots that other cells grant.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    decision::{BorrowingEvidence, RefusalReason},
    ids::{DataCentreName, ServiceName, TargetKey, TargetName, VmName},
    limit_share::LimitShare,
    load_digest::{DigestScope, LoadDigest, TargetReport},
    policy_update::{
        BorrowedLoad, MAX_BORROWED_TARGETS, MAX_ENTRIES, PolicyUpdate, ShortageReport, SlotGrant,
    },
    queue_view::ServiceQueue,
    rollout_manager::TargetUse,
    scheduler::Scheduler,
    slot_borrowing::{CellSupply, SlotBorrower},
    slot_lending::{self, CellDemand, LendableSlots, LendableTarget, SlotLender},
    target_load::TargetLoad,
    units::Moment,
};

/// The shortest time between two examinations of what a brief digest would report.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(20);
/// The assumed time that a request occupies a slot, at a lender that has not observed one.
const ASSUMED_SLOT_TIME: Duration = Duration::from_millis(1_000);

/// How soon peers outside the cell must receive the next brief digest because of overflow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OverflowUrgency {
    /// There is nothing to report.
    #[default]
    None,
    /// Reports have to be renewed.
    Renewed,
    /// The last brief digest had no report of this kind.
    New,
}

/// A change that the driver logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OverflowEvent {
    /// A shortage of a service has begun (`wanted` is some) or ended.
    Shortage {
        /// The service.
        service: ServiceName,
        /// The number of further slots that this VM could use.
        wanted: Option<u16>,
    },
    /// Slots were granted to a VM that had none of this target.
    Granted {
        /// The target.
        target: TargetName,
        /// The grant.
        grant: SlotGrant,
    },
}

/// Which kinds of overflow reports a brief digest holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ReportKinds {
    shortages: bool,
    grants: bool,
    borrowed: bool,
}

impl ReportKinds {
    fn of(update: &PolicyUpdate) -> Self {
        Self {
            shortages: !update.shortages.is_empty(),
            grants: !update.grants.is_empty(),
            borrowed: !update.borrowed.is_empty(),
        }
    }

    fn urgency_after(self, sent: Self) -> OverflowUrgency {
        let is_new = (self.shortages && !sent.shortages)
            || (self.grants && !sent.grants)
            || (self.borrowed && !sent.borrowed);
        match (is_new, self == Self::default()) {
            (true, _) => OverflowUrgency::New,
            (false, false) => OverflowUrgency::Renewed,
            (false, true) => OverflowUrgency::None,
        }
    }
}

/// The state of overflow at one VM.
#[derive(Debug, Default)]
pub(crate) struct OverflowState {
    borrower: SlotBorrower,
    lender: SlotLender,
    /// The targets at which each VM of another cell has last reported borrowed load.
    reported: BTreeMap<VmName, BTreeSet<TargetKey>>,
    /// The services with a shortage at the last examination.
    short: BTreeMap<ServiceName, u16>,
    /// The reports in the last brief digest.
    sent: ReportKinds,
    examined_at: Moment,
    urgency: OverflowUrgency,
    events: Vec<OverflowEvent>,
}

impl Scheduler {
    /// Returns how soon a brief digest must be sent because of overflow.
    pub fn overflow_urgency(&mut self, now: Moment) -> OverflowUrgency {
        if now.since(self.overflow.examined_at) >= EXAMINE_INTERVAL {
            self.overflow.examined_at = now;
            let kinds = ReportKinds::of(&self.overflow_update(now));
            self.overflow.urgency = kinds.urgency_after(self.overflow.sent);
        }
        self.overflow.urgency
    }

    /// Returns the changes since the last call.
    pub fn take_overflow_events(&mut self) -> Vec<OverflowEvent> {
        std::mem::take(&mut self.overflow.events)
    }

    /// Returns the number of further slots that this VM could use, over all services.
    pub fn shortage(&self) -> u32 {
        self.overflow.short.values().map(|wanted| u32::from(*wanted)).sum()
    }

    /// Adds the overflow reports to a brief digest, and records the grants in it.
    pub(crate) fn with_overflow(&mut self, now: Moment, mut digest: LoadDigest) -> LoadDigest {
        let update = self.overflow_update(now);
        self.overflow.sent = ReportKinds::of(&update);
        // What was just sent only has to be renewed.
        self.overflow.urgency = self.overflow.sent.urgency_after(self.overflow.sent);
        self.overflow.examined_at = now;
        for grant in self.overflow.lender.issue(now, &update.grants) {
            let Some(load) = self.targets.get(&grant.target) else { continue };
            let target = load.entry().name.clone();
            self.overflow.events.push(OverflowEvent::Granted { target, grant });
        }
        digest.targets = self.lent_reports(now, &update.grants);
        digest.policies.shortages = update.shortages;
        digest.policies.grants = update.grants;
        digest.policies.borrowed = update.borrowed;
        digest
    }

    /// Applies the overflow reports in a peer's digest.
    pub(crate) fn apply_overflow(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) {
        let is_outside = digest.scope == DigestScope::Brief && !self.is_cell_peer(from);
        if !is_outside || !self.has_overflow() {
            return;
        }
        self.store_borrowed(now, from, &digest.policies.borrowed);
        let (own, update) = (self.options.name.clone(), &digest.policies);
        self.overflow.borrower.take_grants(now, from, &own, &update.grants);
        let is_near = digest.data_centre.as_ref() == Some(&self.options.data_centre);
        // The first shortage is examined at once, so that grants are sent without delay.
        if !self.overflow.lender.knows_shortage(now) {
            self.overflow.examined_at = Moment::default();
        }
        if update.shortages.is_empty() || self.considers(now, from, is_near, digest) {
            self.overflow.lender.record(now, from, is_near, update);
        } else {
            self.overflow.lender.forget(from);
        }
    }

    pub(crate) fn record_overflow_arrival(&mut self, now: Moment, service: &ServiceName) {
        let Some(state) = self.services.get(service).filter(|state| self.uses_overflow(state))
        else {
            return;
        };
        self.overflow.borrower.record_arrival(now, state.key);
    }

    pub(crate) fn record_overflow_refusal(
        &mut self,
        now: Moment,
        service: &ServiceName,
        reason: RefusalReason,
    ) {
        let is_overload = matches!(reason, RefusalReason::Overload | RefusalReason::OutOfTime);
        let state = self.services.get(service).filter(|state| self.uses_overflow(state));
        if let Some(state) = state.filter(|_| is_overload) {
            self.overflow.borrower.record_refusal(now, state.key);
        }
    }

    /// Returns the targets of other cells at which this VM may start one more of a service's
    /// waiting requests.
    pub(crate) fn granted_targets(&self, now: Moment, state: &ServiceQueue) -> Vec<&TargetLoad> {
        let is_needed = self.uses_overflow(state) && !state.queue.is_empty();
        if !is_needed || !self.overflow.borrower.has_grants(now) {
            return Vec::new();
        }
        let granted = self.overflow.borrower.granted(now);
        // A digest holds a bounded number of borrowed loads. A load that is not reported would not
        // be counted by the lending cell.
        let can_add = self.borrowed_targets().len() < MAX_BORROWED_TARGETS;
        let loads = granted.into_iter().filter_map(|(key, most)| {
            let load = self.targets.get(&key)?;
            let running = load.own_running();
            (running < most && (running > 0 || can_add)).then_some(load)
        });
        loads.filter(|load| self.is_borrowable(now, state, load)).collect()
    }

    /// Returns what this VM could use of other cells.
    pub fn borrowing(&self, now: Moment) -> BorrowingEvidence {
        let granted = self.overflow.borrower.granted(now).values().sum();
        BorrowingEvidence { granted, targets: self.borrowed_targets().len() }
    }

    fn is_borrowable(&self, now: Moment, state: &ServiceQueue, load: &TargetLoad) -> bool {
        let entry = load.entry();
        let is_of_service = self.services.get(&entry.service).is_some_and(|it| it.key == state.key);
        is_of_service
            && !state.targets.keys.contains(&load.key())
            && self.rollouts.target_use(entry) == TargetUse::Serving
            && self.is_lendable(now, load)
    }

    /// Whether nothing speaks against sending requests of other cells to a target.
    fn is_lendable(&self, now: Moment, load: &TargetLoad) -> bool {
        let state = self.services.get(&load.entry().service);
        let is_ejected = state.is_some_and(|state| state.ejection.is_ejected(load.key()));
        load.accepts_work(now)
            && !is_ejected
            && !load.is_suspected(now)
            && load.limit() == LimitShare::Unlimited
            && self.limits.rate(load.key()).is_none()
            && !self.is_brittle(&load.entry().service)
    }

    fn has_overflow(&self) -> bool {
        self.options.policy.overflow.is_on()
    }

    /// Whether overflow applies to a service: only this VM's cell uses the targets that it has.
    fn uses_overflow(&self, state: &ServiceQueue) -> bool {
        self.has_overflow() && state.targets.is_partitioned
    }

    /// Returns the targets of other cells at which this VM has requests running.
    fn borrowed_targets(&self) -> BTreeSet<TargetKey> {
        let is_borrowed = |service: &ServiceName, target: &TargetKey| {
            let state = self.services.get(service).filter(|state| self.uses_overflow(state));
            let is_own = |state: &ServiceQueue| {
                state.targets.keys.contains(target) || state.trial.keys.contains(target)
            };
            state.is_some_and(|state| !is_own(state))
        };
        let runs = self.runs.values().filter(|run| is_borrowed(&run.service, &run.target));
        runs.map(|run| run.target).collect()
    }

    /// Returns what a brief digest reports now.
    fn overflow_update(&mut self, now: Moment) -> PolicyUpdate {
        let mut update = PolicyUpdate::default();
        if !self.has_overflow() {
            self.update_shortages(BTreeMap::new());
            return update;
        }
        let borrowed = self.borrowed_targets();
        let loads =
            borrowed.iter().filter_map(|key| self.targets.get(key)).take(MAX_BORROWED_TARGETS);
        update.borrowed = loads.map(|load| borrowed_load(load.report(now))).collect();
        // A VM that is shutting down finishes its runs, but neither lends nor borrows.
        let shortages = match self.leaving {
            true => BTreeMap::new(),
            false => self.find_shortages(now, &borrowed),
        };
        update.shortages = self.shortage_reports(&shortages);
        self.update_shortages(shortages);
        if !self.leaving && self.overflow.lender.knows_shortage(now) {
            update.grants = self.overflow.lender.plan(now, &self.lendable_slots(now));
        }
        update
    }

    fn find_shortages(
        &self,
        now: Moment,
        borrowed: &BTreeSet<TargetKey>,
    ) -> BTreeMap<ServiceName, u16> {
        let sharing = self.services.iter().filter(|(_, state)| self.uses_overflow(state));
        let shortage = |(name, state): (&ServiceName, &ServiceQueue)| {
            let view = self.view(now, name)?;
            let of_service = borrowed.iter().filter_map(|key| self.targets.get(key));
            let of_service = of_service.filter(|load| load.entry().service == *name);
            let supply = CellSupply {
                slots: view.usable().iter().map(|load| load.entry().slots).sum(),
                free: view.free_slots(),
                vms: self.cell_size,
                slot_time: state.slot_time.unwrap_or_default(),
                waiting: u32::try_from(state.queue.len()).unwrap_or(u32::MAX),
                borrowed: of_service.map(TargetLoad::own_running).sum(),
            };
            let wanted = self.overflow.borrower.wanted(now, state.key, &supply)?;
            Some((name.clone(), wanted))
        };
        sharing.filter_map(shortage).collect()
    }

    fn shortage_reports(&self, shortages: &BTreeMap<ServiceName, u16>) -> Vec<ShortageReport> {
        let report = |(name, wanted): (&ServiceName, &u16)| {
            let service = self.services.get(name)?.key;
            Some(ShortageReport { service, wanted: *wanted })
        };
        shortages.iter().filter_map(report).take(MAX_ENTRIES).collect()
    }

    /// Records the shortages, with an event for each that has begun or ended.
    fn update_shortages(&mut self, shortages: BTreeMap<ServiceName, u16>) {
        let before = std::mem::replace(&mut self.overflow.short, shortages);
        let short = &self.overflow.short;
        let begun = short.iter().filter(|(name, _)| !before.contains_key(*name));
        let ended = before.keys().filter(|name| !short.contains_key(*name));
        let begun = begun.map(|(service, wanted)| (service, Some(*wanted)));
        let event = |(service, wanted): (&ServiceName, Option<u16>)| OverflowEvent::Shortage {
            service: service.clone(),
            wanted,
        };
        let events: Vec<_> = begun.chain(ended.map(|name| (name, None))).map(event).collect();
        self.overflow.events.extend(events);
    }

    /// Whether this VM is among those that consider the shortages in a digest.
    fn considers(&self, now: Moment, from: &VmName, is_near: bool, digest: &LoadDigest) -> bool {
        let wanted: u32 = digest.policies.shortages.iter().map(|it| u32::from(it.wanted)).sum();
        let in_use: u32 = digest.policies.borrowed.iter().map(|it| u32::from(it.running)).sum();
        let members = self.peers.members(now);
        let is_candidate = |centre: &DataCentreName| match is_near {
            true => *centre == self.options.data_centre,
            false => digest.data_centre.as_ref() != Some(centre),
        };
        let others = members.iter().filter(|member| is_candidate(&member.data_centre));
        let others = others.map(|member| &member.name).filter(|name| *name != from);
        let count = slot_lending::lender_count(wanted + in_use, is_near);
        slot_lending::is_considered(from, count, &self.options.name, others)
    }

    /// Returns what this VM's cell can lend of each service.
    fn lendable_slots(&self, now: Moment) -> Vec<LendableSlots> {
        let sharing = self.services.iter().filter(|(_, state)| self.uses_overflow(state));
        sharing.filter_map(|(name, state)| self.lendable_slots_of(now, name, state)).collect()
    }

    fn lendable_slots_of(
        &self,
        now: Moment,
        name: &ServiceName,
        state: &ServiceQueue,
    ) -> Option<LendableSlots> {
        if !state.queue.is_empty() || self.peers.waiting(now, state.key) > 0 {
            return None;
        }
        let view = self.view(now, name)?;
        let members = self.peers.members(now);
        let in_cell = |name: &VmName| self.is_cell_peer(name) && self.peers.is_available(now, name);
        let granting: Vec<&VmName> =
            members.iter().map(|member| &member.name).filter(|name| in_cell(name)).collect();
        let own = &self.options.name;
        let is_granted_here = |key| {
            let vms = granting.iter().copied().chain([own]);
            slot_lending::granting_vm(key, vms) == Some(own)
        };
        let usable = view.usable().iter().filter(|load| self.is_lendable(now, load));
        let mut targets: Vec<LendableTarget> = usable
            .map(|load| LendableTarget {
                key: load.key(),
                free: load.free_slots(now),
                is_granted_here: is_granted_here(load.key()),
            })
            .collect();
        targets.sort_by_key(|target| target.key);
        let reserve = self.cell_demand(now, state, view.usable()).reserve();
        Some(LendableSlots { service: state.key, targets, reserve })
    }

    fn cell_demand(&self, now: Moment, state: &ServiceQueue, usable: &[&TargetLoad]) -> CellDemand {
        let by_cell = |load: &&TargetLoad| {
            u32::from(load.group_report(now, |vm| self.is_cell_peer(vm)).running)
        };
        let running = usable.iter().map(by_cell).sum();
        let slot_time = state.slot_time.unwrap_or(ASSUMED_SLOT_TIME);
        // The callers of this VM may send more or fewer requests than those of its peers, so the
        // rate is at least the one that keeps as many requests running.
        let by_own_rate = state.arrivals.rate(now) * f64::from(self.cell_size);
        let by_running = f64::from(running) / slot_time.as_secs_f64().max(f64::EPSILON);
        CellDemand { arrival_rate: by_own_rate.max(by_running), slot_time, running }
    }

    /// Returns the load and speed of the granted targets, which their borrowers do not know.
    fn lent_reports(&self, now: Moment, grants: &[SlotGrant]) -> Vec<TargetReport> {
        let keys: BTreeSet<TargetKey> = grants.iter().map(|grant| grant.target).collect();
        let loads = keys.iter().filter_map(|key| self.targets.get(key));
        loads.map(|load| load.group_report(now, |vm| self.is_cell_peer(vm))).collect()
    }

    /// Stores what a VM of another cell has running at targets that it borrows.
    fn store_borrowed(&mut self, now: Moment, from: &VmName, borrowed: &[BorrowedLoad]) {
        let reported: BTreeSet<TargetKey> = borrowed.iter().map(|load| load.target).collect();
        let before = self.overflow.reported.remove(from).unwrap_or_default();
        for key in before.difference(&reported) {
            if let Some(load) = self.targets.get_mut(key) {
                load.remove_report(now, from);
            }
        }
        for load in borrowed {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.store_report(now, from, target_report(*load));
            }
        }
        if !reported.is_empty() {
            self.overflow.reported.insert(from.clone(), reported);
        }
    }
}

fn borrowed_load(report: TargetReport) -> BorrowedLoad {
    BorrowedLoad { target: report.target, running: report.running, unread: report.unread }
}

fn target_report(load: BorrowedLoad) -> TargetReport {
    TargetReport {
        target: load.target,
        running: load.running,
        unread: load.unread,
        suspected: false,
        speed: None,
    }
}
