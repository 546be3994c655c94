//! Shares the slots of brittle targets among the VMs.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    brittle_services::{self, BrittleReport},
    ids::{ServiceKey, ServiceName, TargetKey},
    scheduler::Scheduler,
    units::Moment,
};

/// The interval between two computations of the shares, which change as VMs come and go.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// How long this VM sends nothing to a brittle target that has turned one of its requests away: the
/// span in which a target counts those that it turns away.
pub(crate) const TURNED_AWAY_BACK_OFF: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Returns whether the targets of a service are known to be brittle, so that an answer that does
    /// not say so carries information too.
    pub fn is_brittle(&self, service: &ServiceName) -> bool {
        self.brittle.is_brittle(ServiceKey::of(service))
    }

    /// Records whether an answer of a service's target says that it is brittle. The request was sent
    /// at `sent_at`. Returns whether this changes anything.
    pub fn record_brittle(
        &mut self,
        now: Moment,
        service: &ServiceName,
        is_brittle: bool,
        sent_at: Moment,
    ) -> bool {
        let is_new = self.brittle.record(now, ServiceKey::of(service), is_brittle, sent_at);
        if is_new {
            self.update_slot_shares(now);
            self.changed = true;
        }
        is_new
    }

    /// Records peers' reports on brittle services.
    pub(crate) fn merge_brittle_reports(&mut self, now: Moment, reports: &[BrittleReport]) {
        let new = reports.iter().filter(|report| self.brittle.merge(now, **report)).count();
        if new > 0 {
            self.update_slot_shares(now);
        }
    }

    /// Computes the slot shares again if they are due.
    pub(crate) fn refresh_slot_shares(&mut self, now: Moment) {
        let is_due = now.since(self.slot_shares_updated_at) >= SHARE_INTERVAL;
        if is_due && !self.brittle.is_empty() {
            self.brittle.expire(now);
            self.update_slot_shares(now);
        }
    }

    /// Computes this VM's share of the slots of each brittle target.
    fn update_slot_shares(&mut self, now: Moment) {
        self.slot_shares_updated_at = now;
        let mut shares = self.slot_shares(now);
        for (key, load) in &mut self.targets {
            load.set_slot_share(shares.remove(key));
        }
    }

    fn slot_shares(&self, now: Moment) -> BTreeMap<TargetKey, u32> {
        let (all, cell) = (self.known_vms(now), self.cell_vms(now));
        let own = &self.options.name;
        let brittle = self.services.values().filter(|state| self.brittle.is_brittle(state.key));
        let groups = brittle.flat_map(|state| [&state.targets, &state.trial]);
        let shares = groups.flat_map(|used| {
            let vms = if used.is_partitioned { &cell } else { &all };
            let share = |key: &TargetKey| {
                let slots = self.targets.get(key)?.entry().slots;
                let share = match vms {
                    Some(vms) => brittle_services::slot_share(slots, *key, own, vms),
                    // The list of VMs has not been read yet.
                    None => slots / u32::try_from(self.peers.known_count(now)).unwrap_or(u32::MAX),
                };
                Some((*key, if self.leaving { 0 } else { share }))
            };
            used.keys.iter().filter_map(share).collect::<Vec<_>>()
        });
        shares.collect()
    }
}
