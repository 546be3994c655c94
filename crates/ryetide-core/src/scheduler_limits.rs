//! How a scheduler keeps to the limits that targets name.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{TargetKey, VmName},
    limit_part::{self, TargetLimit},
    scheduler::Scheduler,
    target_limit::LimitMark,
    target_word::LimitWord,
    units::{Moment, RequestRate},
};

/// How often parts are dealt anew: VMs come and go.
const DEAL_INTERVAL: Duration = Duration::from_millis(250);
/// For this long after a change of a limit all VMs are told of it soon.
const FRESH_SPAN: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Returns whether something is known of a target's limit, so that an answer without one tells something too.
    pub fn knows_limit(&self, target: TargetKey) -> bool {
        self.limits.rate(target).is_some()
    }

    /// Notes what an answer says of its target's limit, to a request that was sent at `asked`. Returns whether another
    /// limit holds now.
    pub fn note_limit(
        &mut self,
        now: Moment,
        target: TargetKey,
        word: LimitWord,
        asked: Moment,
    ) -> bool {
        let is_new = self.limits.note(now, target, word, asked);
        if is_new {
            self.limits_fresh_until = now + FRESH_SPAN;
            self.limit_changed();
            self.deal_limits(now);
        }
        is_new
    }

    /// Takes what a peer tells of limits.
    pub(crate) fn take_limits(&mut self, now: Moment, marks: &[LimitMark]) {
        let new = marks.iter().filter(|mark| self.limits.take(now, **mark)).count();
        if new > 0 {
            self.limit_changed();
        }
    }

    /// Returns whether a limit was heard here so lately that others may not know it.
    pub fn has_fresh_limit(&self, now: Moment) -> bool {
        now < self.limits_fresh_until
    }

    /// Returns the targets that have named a limit, each with what it takes.
    pub fn limited_targets(&self) -> impl Iterator<Item = (TargetKey, RequestRate)> {
        self.limits.limited()
    }

    fn limit_changed(&mut self) {
        self.limits_dealt = None;
        self.changed = true;
    }

    /// Finds which part of each limit is this VM's.
    pub(crate) fn deal_limits(&mut self, now: Moment) {
        let is_due = |dealt: Moment| now.since(dealt) >= DEAL_INTERVAL;
        if self.limits.is_empty() || !self.limits_dealt.is_none_or(is_due) {
            return;
        }
        self.limits_dealt = Some(now);
        let targets = &self.targets;
        self.limits.age(now, |target| targets.contains_key(&target));
        let mut parts = self.limit_parts(now);
        for (key, load) in &mut self.targets {
            match parts.remove(key) {
                Some(rate) => load.limit_mut().set(now, rate),
                // One that this VM does not use is another cell's; should it come back, its part begins anew.
                None => *load.limit_mut() = TargetLimit::None,
            }
        }
    }

    /// The requests a second that this VM may send to each of the limited targets that it uses; nothing where other VMs
    /// have all.
    fn limit_parts(&self, now: Moment) -> BTreeMap<TargetKey, Option<f64>> {
        let (all, cell) = (self.known_vms(now), self.cell_vms(now));
        let groups = self.services.values().flat_map(|state| [&state.targets, &state.trial]);
        let parts = groups.flat_map(|used| {
            let vms = if used.is_dealt { &cell } else { &all };
            used.keys.iter().filter_map(|key| {
                let rate = self.limits.rate(*key)?;
                Some((*key, self.part_of(now, *key, rate, vms.as_deref())))
            })
        });
        parts.collect()
    }

    /// The requests a second that this VM may send to a target which takes `rate` from `vms`; nothing is known of these
    /// before the list of them was read.
    fn part_of(
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
        // Those that are not heard may have heard of others, and deal the parts otherwise.
        let heard = self.peers.heard_part(now);
        Some(limit_part::rate_of(rate, target, &self.options.name, vms)? * heard)
    }

    /// The VMs that there are, this one included.
    fn known_vms(&self, now: Moment) -> Option<Vec<&VmName>> {
        let mut vms = self.peers.known(now)?;
        vms.push(&self.options.name);
        Some(vms)
    }

    /// Those of this VM's cell. One that is silent may still be of it, and send.
    fn cell_vms(&self, now: Moment) -> Option<Vec<&VmName>> {
        let members: BTreeSet<VmName> =
            self.peers.members(now).into_iter().map(|member| member.name).collect();
        let own = &self.options.name;
        let may_be_mate =
            |vm: &&VmName| *vm == own || self.plan.is_mate(vm) || !members.contains(*vm);
        Some(self.known_vms(now)?.into_iter().filter(may_be_mate).collect())
    }
}
