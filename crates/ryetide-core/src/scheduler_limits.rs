//! Applies the limits that targets announce to a scheduler.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{TargetKey, VmName},
    limit_share::{self, LimitShare},
    scheduler::Scheduler,
    target_limit::LimitReport,
    target_notice::LimitNotice,
    units::{Moment, RequestRate},
};

/// The interval between two computations of the shares, which change as VMs come and go.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// How long after a change of a limit digests to all VMs are sent at a shorter interval.
const FAST_REPORT_SPAN: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Returns whether a target's limit is known, so that an answer without a limit carries
    /// information too.
    pub fn knows_limit(&self, target: TargetKey) -> bool {
        self.limits.rate(target).is_some()
    }

    /// Records what an answer says about its target's limit. The request was sent at `sent_at`.
    /// Returns whether the limit in force has changed.
    pub fn record_limit(
        &mut self,
        now: Moment,
        target: TargetKey,
        notice: LimitNotice,
        sent_at: Moment,
    ) -> bool {
        let is_new = self.limits.record(now, target, notice, sent_at);
        if is_new {
            self.limits_urgent_until = now + FAST_REPORT_SPAN;
            self.limit_changed();
            self.update_limit_shares(now);
        }
        is_new
    }

    /// Records peers' reports on limits.
    pub(crate) fn merge_limit_reports(&mut self, now: Moment, reports: &[LimitReport]) {
        let new = reports.iter().filter(|report| self.limits.merge(now, **report)).count();
        if new > 0 {
            self.limit_changed();
        }
    }

    /// Returns whether a limit has changed here so recently that other VMs may not know it.
    pub fn has_fresh_limit(&self, now: Moment) -> bool {
        now < self.limits_urgent_until
    }

    /// Returns the targets that have announced a limit, each with the limit.
    pub fn limited_targets(&self) -> impl Iterator<Item = (TargetKey, RequestRate)> {
        self.limits.limited()
    }

    fn limit_changed(&mut self) {
        self.shares_updated_at = None;
        self.changed = true;
    }

    /// Computes this VM's share of each limit.
    pub(crate) fn update_limit_shares(&mut self, now: Moment) {
        let is_due = |at: Moment| now.since(at) >= SHARE_INTERVAL;
        if self.limits.is_empty() || !self.shares_updated_at.is_none_or(is_due) {
            return;
        }
        self.shares_updated_at = Some(now);
        let targets = &self.targets;
        self.limits.expire(now, |target| targets.contains_key(&target));
        let mut shares = self.limit_shares(now);
        for (key, load) in &mut self.targets {
            match shares.remove(key) {
                Some(rate) => load.limit_mut().set(now, rate),
                // A target that this VM does not use belongs to another cell. If it returns to this
                // one, its share starts anew.
                None => *load.limit_mut() = LimitShare::Unlimited,
            }
        }
    }

    /// Returns the requests a second that this VM may send to each target that it uses and that has
    /// a limit; none where other VMs hold all shares.
    fn limit_shares(&self, now: Moment) -> BTreeMap<TargetKey, Option<f64>> {
        let (all, cell) = (self.known_vms(now), self.cell_vms(now));
        let groups = self.services.values().flat_map(|state| [&state.targets, &state.trial]);
        let shares = groups.flat_map(|used| {
            let vms = if used.is_partitioned { &cell } else { &all };
            used.keys.iter().filter_map(|key| {
                let rate = self.limits.rate(*key)?;
                Some((*key, self.share_of(now, *key, rate, vms.as_deref())))
            })
        });
        shares.collect()
    }

    /// Returns the requests a second that this VM may send to a target which accepts `rate` from
    /// `vms`; `vms` is none before the list of VMs has been read.
    fn share_of(
        &self,
        now: Moment,
        target: TargetKey,
        rate: RequestRate,
        vms: Option<&[&VmName]>,
    ) -> Option<f64> {
        if self.leaving {
            return None;
        }
        let Some(vms) = vms else {
            return Some(rate.per_second() / self.peers.known_count(now) as f64);
        };
        // Unreachable VMs may see other VMs as reachable, and compute other shares.
        let reachable_share = self.peers.reachable_share(now);
        Some(limit_share::rate_of(rate, target, &self.options.name, vms)? * reachable_share)
    }

    /// Returns the serving VMs, this one included.
    pub(crate) fn known_vms(&self, now: Moment) -> Option<Vec<&VmName>> {
        let mut vms = self.peers.known(now)?;
        vms.push(&self.options.name);
        Some(vms)
    }

    /// Returns the VMs of this VM's cell. A silent VM may still be in it and send requests.
    pub(crate) fn cell_vms(&self, now: Moment) -> Option<Vec<&VmName>> {
        let members: BTreeSet<VmName> =
            self.peers.members(now).into_iter().map(|member| member.name).collect();
        let own = &self.options.name;
        let may_be_in_cell =
            |vm: &&VmName| *vm == own || self.plan.is_cell_peer(vm) || !members.contains(*vm);
        Some(self.known_vms(now)?.into_iter().filter(may_be_in_cell).collect())
    }
}
