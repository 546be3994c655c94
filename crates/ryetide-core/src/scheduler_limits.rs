//! How a scheduler keeps to the limits that targets name.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{TargetKey, VmName},
    limit_part::{self, TargetLimit},
    scheduler::Scheduler,
    target_limit::LimitMark,
    target_load::TargetEntry,
    target_word::LimitWord,
    units::{Moment, RequestRate},
};

/// How often parts are dealt anew: VMs come and go.
const DEAL_INTERVAL: Duration = Duration::from_millis(100);
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
        let limited: Vec<(TargetKey, RequestRate)> = self.limits.limited().collect();
        let parts: Vec<(TargetKey, Option<f64>)> =
            limited.iter().map(|(key, rate)| (*key, self.part_of(now, *key, *rate))).collect();
        let limited: BTreeSet<TargetKey> = limited.into_iter().map(|(key, _)| key).collect();
        for (key, load) in &mut self.targets {
            if !limited.contains(key) {
                *load.limit_mut() = TargetLimit::None;
            }
        }
        for (key, rate) in parts {
            if let Some(load) = self.targets.get_mut(&key) {
                load.limit_mut().set(now, rate);
            }
        }
    }

    /// The requests a second that this VM may send to a target which takes `rate` from all.
    fn part_of(&self, now: Moment, target: TargetKey, rate: RequestRate) -> Option<f64> {
        if self.leaving {
            return None;
        }
        let Some(known) = self.peers.known(now) else {
            // Who there is has not been read yet.
            return Some(rate.per_second() / self.peers.known_count(now) as f64);
        };
        let is_dealt = self.is_dealt(target);
        let members: BTreeSet<VmName> =
            self.peers.members(now).into_iter().map(|member| member.name).collect();
        // One that is silent may still be of this cell, and send.
        let may_use = |vm: &&VmName| !is_dealt || self.plan.is_mate(vm) || !members.contains(*vm);
        let mut vms: Vec<&VmName> = known.into_iter().filter(may_use).collect();
        vms.push(&self.options.name);
        // Those that are not heard may have heard of others, and deal the parts otherwise.
        let heard = self.peers.heard_part(now);
        Some(limit_part::rate_of(rate, target, &self.options.name, &vms)? * heard)
    }

    /// Whether only the VMs of this cell use a target.
    fn is_dealt(&self, target: TargetKey) -> bool {
        let Some(entry) = self.targets.get(&target).map(|load| load.entry()) else { return false };
        let used = self.rollouts.target_use(entry);
        let alike = |other: &&TargetEntry| {
            other.service == entry.service && self.rollouts.target_use(other) == used
        };
        let entries = self.targets.values().map(|load| load.entry());
        let alike: Vec<&TargetEntry> = entries.filter(alike).collect();
        self.plan.deals(&alike)
    }
}
