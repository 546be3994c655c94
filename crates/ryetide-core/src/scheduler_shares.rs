//! Applies the fair shares among organisations to a scheduler.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    decision::RunEnd,
    ids::{OrganisationKey, RequestSequence, ServiceName, VmName},
    load_digest::DigestScope,
    organisation_usage,
    policy_update::{MAX_ENTRIES, UsageReport},
    scheduler::{PlacedRun, Scheduler},
    units::Moment,
};

/// The shortest interval between two reports of usage to the same peers; usage decays by a fifth in
/// it.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The longest interval between two reports, one half-life.
const MAX_REPORT_INTERVAL: Duration = organisation_usage::HALF_LIFE;
/// The entries that a VM should receive in a second from its cell, and from all peers. At some 13
/// bytes each, both together are 4 KB of the 6 KB permitted for control traffic. Above 225 VMs,
/// [`MIN_ENTRIES`] and [`MAX_REPORT_INTERVAL`] raise this, to 5.5 KB with 410 VMs.
const MAX_RECEIVED_ENTRIES: usize = 150;
/// The number of entries in a report of a VM of a large fleet. With one, a second organisation
/// above its share would not be seen.
const MIN_ENTRIES: usize = 2;
/// The span in which an organisation above its share is logged once.
const LOG_SPAN: Duration = Duration::from_secs(10);

/// An organisation that has exceeded its share while requests wait.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareExceeded {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The service.
    pub service: ServiceName,
    /// The organisation's recent use of engine time in the fleet.
    pub used: Duration,
    /// The share at that time.
    pub share: Duration,
}

/// The state of the fair shares at one VM, for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareActivity {
    /// The peers whose usage is known.
    pub sources: usize,
    /// The organisations that have requests waiting above their share.
    pub over_share: usize,
    /// Requests that were put behind others since the last call.
    pub deferred: u64,
    /// Organisations that have exceeded their share since the last call.
    pub exceeded: Vec<ShareExceeded>,
}

/// What the scheduler keeps for the fair shares beside the usage of each service.
#[derive(Debug, Default)]
pub(crate) struct ShareReporter {
    cell_reported_at: Option<Moment>,
    fleet_reported_at: Option<Moment>,
    deferred: u64,
    exceeded: Vec<ShareExceeded>,
}

impl Scheduler {
    /// Returns the state of the fair shares, and the events since the last call.
    pub fn take_share_activity(&mut self, now: Moment) -> ShareActivity {
        let queued = self.services.values().filter(|state| !state.queue.is_empty());
        let over: BTreeSet<OrganisationKey> =
            queued.flat_map(|state| &state.usage.excess.organisations).copied().collect();
        let sources: BTreeSet<&VmName> =
            self.services.values().flat_map(|state| state.usage.sources(now)).collect();
        ShareActivity {
            sources: sources.len(),
            over_share: over.len(),
            deferred: std::mem::take(&mut self.share_reporter.deferred),
            exceeded: std::mem::take(&mut self.share_reporter.exceeded),
        }
    }

    fn has_shares(&self, service: &ServiceName) -> bool {
        self.options.policy.fair_shares.is_on() && self.services.contains_key(service)
    }

    /// Charges the prompt of a request that was assigned to a target; the reading time is kept in
    /// `run`.
    pub(crate) fn charge_prompt(&mut self, now: Moment, run: &PlacedRun) {
        if let Some(state) = self.services.get_mut(&run.service)
            && self.options.policy.fair_shares.is_on()
        {
            state.usage.charge(now, run.organisation, run.reading);
        }
    }

    /// Charges an event of a stream at the target's estimated speed.
    pub(crate) fn charge_event(&mut self, now: Moment, ticket: RequestSequence) {
        let Some(run) = self.runs.get(&ticket) else { return };
        let (Some(load), Some(state)) =
            (self.targets.get(&run.target), self.services.get_mut(&run.service))
        else {
            return;
        };
        if self.options.policy.fair_shares.is_on() {
            state.usage.charge(now, run.organisation, load.estimate().event);
        }
    }

    /// Corrects the charge for a run that has ended: one that did not happen is refunded, and an
    /// answer without events is charged the time that it took.
    pub(crate) fn charge_end(&mut self, now: Moment, run: &PlacedRun, end: RunEnd) {
        let Some(state) = self.services.get_mut(&run.service) else { return };
        if !self.options.policy.fair_shares.is_on() {
            return;
        }
        match end {
            RunEnd::Unreachable | RunEnd::TurnedAway => {
                state.usage.refund(now, run.organisation, run.reading);
            }
            RunEnd::Whole
            | RunEnd::Failed
            | RunEnd::TimedOut
            | RunEnd::Abandoned
            | RunEnd::Unsettled
                if !run.engine =>
            {
                state.usage.charge(now, run.organisation, now.since(run.since));
            }
            RunEnd::Whole
            | RunEnd::Failed
            | RunEnd::TimedOut
            | RunEnd::Abandoned
            | RunEnd::Unsettled => {}
        }
    }

    /// Applies a peer's usage reports.
    pub(crate) fn merge_usage(&mut self, now: Moment, from: &VmName, reports: &[UsageReport]) {
        if !self.options.policy.fair_shares.is_on() {
            return;
        }
        for state in self.services.values_mut() {
            let of_service = reports.iter().filter(|report| report.service == state.key);
            let mut entries =
                of_service.map(|report| (report.organisation, report.millis)).peekable();
            if entries.peek().is_some() {
                state.usage.merge(now, from, entries);
            }
        }
    }

    /// Returns the usage reports for a digest of this scope. Digests of changes hold none:
    /// usage is a sum over seconds, and they are sent several times in a tenth of a second.
    pub(crate) fn usage_reports(&mut self, now: Moment, scope: DigestScope) -> Vec<UsageReport> {
        if !self.options.policy.fair_shares.is_on() {
            return Vec::new();
        }
        let (reported_at, peers) = match scope {
            DigestScope::Whole => {
                (&mut self.share_reporter.cell_reported_at, self.cell_size as usize)
            }
            DigestScope::Brief => {
                (&mut self.share_reporter.fleet_reported_at, self.peers.known_count(now))
            }
            DigestScope::Changes => return Vec::new(),
        };
        let entries = (MAX_RECEIVED_ENTRIES / peers.max(1)).clamp(MIN_ENTRIES, MAX_ENTRIES);
        let interval =
            Duration::from_secs(1) * (entries * peers) as u32 / MAX_RECEIVED_ENTRIES as u32;
        let interval = interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        if reported_at.is_some_and(|at| now.since(at) < interval) {
            return Vec::new();
        }
        let states = self.services.values_mut();
        let mut reports: Vec<UsageReport> = states
            .flat_map(|state| {
                state.usage.refresh(now);
                let service = state.key;
                let heaviest = state.usage.own_heaviest(now).into_iter();
                heaviest.map(move |(organisation, millis)| UsageReport {
                    organisation,
                    service,
                    millis,
                })
            })
            .collect();
        if !reports.is_empty() {
            *reported_at = Some(now);
        }
        reports.sort_by_key(|report| (Reverse(report.millis), report.organisation));
        reports.truncate(entries);
        reports
    }

    /// Updates the order of the organisations before decisions about a service's queue.
    pub(crate) fn refresh_usage(&mut self, now: Moment, service: &ServiceName) {
        let Some(state) = self.services.get_mut(service) else { return };
        if self.options.policy.fair_shares.is_on() && !state.queue.is_empty() {
            state.usage.refresh(now);
        }
    }

    /// Records whether a request that was just queued is above its organisation's share.
    pub(crate) fn record_queued_share(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
    ) {
        if !self.has_shares(service) {
            return;
        }
        self.refresh_usage(now, service);
        let is_above = self.view(now, service).is_some_and(|view| view.shares().is_above(ticket));
        if let Some(state) = self.services.get_mut(service) {
            state.usage.record_queued(now, is_above);
        }
    }

    /// Records which organisations are above their share while requests wait.
    pub(crate) fn record_share_excess(&mut self, now: Moment, service: &ServiceName) {
        let Some(state) = self.services.get_mut(service) else { return };
        if !self.options.policy.fair_shares.is_on() || state.queue.is_empty() {
            state.usage.excess.organisations.clear();
            state.usage.excess.deferred.clear();
            return;
        }
        let Some(view) = self.view(now, service) else { return };
        let share = |key| view.shares().share_of(now, &view.state().usage, key);
        let organisations = view.shares().organisations_above().into_iter();
        let shares: BTreeMap<OrganisationKey, f64> =
            organisations.map(|key| (key, share(key))).collect();
        // A request waits because of its organisation's share only if one below it waits too.
        let above: BTreeSet<RequestSequence> = view.deferred_by_share().collect();
        let Some(state) = self.services.get_mut(service) else { return };
        let used = |key: &OrganisationKey| state.usage.of(now, *key);
        let exceeding = shares.iter().filter(|(key, share)| used(key) > **share);
        let organisations: BTreeSet<OrganisationKey> = exceeding.map(|(key, _)| *key).collect();
        let excess = &mut state.usage.excess;
        excess.logged.retain(|_, at| now.since(*at) < LOG_SPAN);
        let new: Vec<OrganisationKey> =
            organisations.iter().filter(|key| !excess.logged.contains_key(key)).copied().collect();
        excess.logged.extend(new.iter().map(|key| (*key, now)));
        excess.organisations = organisations;
        let deferred = above.difference(&excess.deferred).count() as u64;
        excess.deferred = above;
        self.share_reporter.deferred += deferred;
        let usage = &state.usage;
        let exceeded = new.into_iter().map(|organisation| ShareExceeded {
            organisation,
            service: service.clone(),
            used: Duration::from_secs_f64(usage.of(now, organisation)),
            share: Duration::from_secs_f64(shares[&organisation]),
        });
        self.share_reporter.exceeded.extend(exceeded);
    }
}
