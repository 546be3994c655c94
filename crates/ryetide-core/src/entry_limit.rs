//! Applies the limits that targets announce to the arbiters of an entry VM.

use crate::{
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry::EntryCore,
    ids::{RequestSequence, ScopeKey, TargetKey},
    message::PeerMessage,
    target_limit::LimitReport,
    target_notice::LimitNotice,
    units::Moment,
};

impl EntryCore {
    /// Records what the answer to a request says about its target's limit. An answer without a
    /// limit ends the known one.
    pub(crate) fn record_limit(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        target: TargetKey,
        notice: LimitNotice,
        effects: &mut EffectBuffer,
    ) {
        let sent_at = self.requests.get(sequence).and_then(|record| record.dispatched);
        if self.limits.record(now, target, notice, sent_at.unwrap_or_default()) {
            let limit = self.limits.rate(target);
            self.notices.push(OperatorNotice::TargetLimit { sequence, target, limit });
            self.update_limit_shares(now);
            self.send_limit_reports(now, effects);
        }
    }

    /// Handles the head of an answer. If no notice of a limit came before it, the answer has
    /// announced none.
    pub(crate) fn note_head(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else { return };
        let Some(target) = record.slot.as_ref().and_then(|slot| slot.target) else { return };
        if record.notice.limit == LimitNotice::Unnamed && self.limits.rate(target).is_some() {
            self.record_limit(now, sequence, target, LimitNotice::Unnamed, effects);
        }
    }

    /// Records peers' reports on limits.
    pub(crate) fn merge_limit_reports(&mut self, now: Moment, reports: &[LimitReport]) {
        let new = reports.iter().filter(|report| self.limits.merge(now, **report)).count();
        if new > 0 {
            self.update_limit_shares(now);
        }
    }

    /// Sends the latest announced limits to all peers.
    pub(crate) fn send_limit_reports(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let reports = self.limits.reports(now);
        if reports.is_empty() {
            return;
        }
        for peer in self.peers.iter() {
            let message = PeerMessage::Limits(reports.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
    }

    /// Drops expired announcements, and computes this VM's share of each limit.
    pub(crate) fn expire_limits(&mut self, now: Moment) {
        if self.limits.is_empty() {
            return;
        }
        let known = self.targets_of_catalog();
        self.limits.expire(now, |target| known.contains(&target));
        self.update_limit_shares(now);
    }

    /// Sets the share of each limit for the arbiters of this VM.
    pub(crate) fn update_limit_shares(&mut self, now: Moment) {
        let scopes: Vec<ScopeKey> = self.arbiters.keys().copied().collect();
        for scope in scopes {
            let share = self.limit_share(scope);
            if let Some(arbiter) = self.arbiters.get_mut(&scope) {
                arbiter.set_limits(now, &self.limits, share);
            }
        }
    }

    /// Returns the share of each limit that this VM's arbiter of a scope may use; none while
    /// another VM arbitrates the scope.
    ///
    /// VMs that are unreachable for the elected VM may run arbiters of their own. VMs that the
    /// elected one can reach do not, even when it does not answer them in time.
    fn limit_share(&self, scope: ScopeKey) -> Option<f64> {
        let known = self.peers.known_count() as f64;
        if self.is_elected(scope) {
            return Some((self.peers.alive().count() + 1) as f64 / known);
        }
        let elected = self.elected.get(&scope).cloned().flatten();
        let is_reachable = elected.is_some_and(|name| self.peers.alive().any(|it| it.name == name));
        (!is_reachable).then_some(1.0 / known)
    }
}
