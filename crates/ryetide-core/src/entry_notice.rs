//! Handles the notices in targets' answers: that a target is leaving, or requests a back-off.

use std::collections::BTreeSet;

use crate::{
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry::EntryCore,
    ids::{RequestSequence, TargetKey},
    message::PeerMessage,
    target_notice::{LeavingReport, TargetNotice},
    units::Moment,
};

impl EntryCore {
    /// Handles the notices in an answer to a request. The target's arbiter receives them with the
    /// release of the request's slot; a notice of leaving is sent to all VMs at once.
    pub(crate) fn target_said(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        target: TargetKey,
        notice: TargetNotice,
        effects: &mut EffectBuffer,
    ) {
        self.notices.push(OperatorNotice::TargetSaid { sequence, target, word: notice });
        if let Some(record) = self.requests.get_mut(sequence) {
            record.notice = notice;
        }
        self.record_limit(now, sequence, target, notice.limit, effects);
        if notice.leaving && self.leaving_notices.record(now, target) {
            self.mark_leaving(target);
            self.send_leaving_reports(now, effects);
        }
    }

    /// Drops the notices of targets that the platform's list has since shown as gone and back
    /// again, or as staying: a target keeps its name when it restarts.
    pub(crate) fn clear_outdated_notices(
        &mut self,
        listed: &BTreeSet<TargetKey>,
        leaving: &BTreeSet<TargetKey>,
    ) {
        let was_away = |key: &TargetKey| {
            self.leaving_targets.contains(key) || self.unlisted_leaving.contains(key)
        };
        let stays = |key: &TargetKey| listed.contains(key) && !leaving.contains(key);
        let returned: Vec<TargetKey> = self
            .leaving_notices
            .all()
            .into_iter()
            .filter(|key| stays(key) && was_away(key))
            .collect();
        for target in returned {
            self.leaving_notices.forget(target);
            for arbiter in self.arbiters.values_mut() {
                arbiter.set_leaving(target, false, &mut self.notices);
            }
        }
        let announced = self.leaving_notices.all().into_iter();
        self.unlisted_leaving = announced.filter(|key| !listed.contains(key)).collect();
    }

    /// Drops expired notices. The target gets requests again then, and repeats its notice if it is
    /// still leaving.
    pub(crate) fn expire_leaving_notices(&mut self, now: Moment) {
        let mut expired = self.leaving_notices.expire(now);
        expired.retain(|key| !self.leaving_targets.contains(key));
        for target in expired {
            for arbiter in self.arbiters.values_mut() {
                arbiter.set_leaving(target, false, &mut self.notices);
            }
        }
    }

    /// Records peers' reports of leaving targets.
    pub(crate) fn merge_leaving_reports(&mut self, now: Moment, reports: &[LeavingReport]) {
        for report in reports {
            if self.leaving_notices.merge(now, *report) {
                self.mark_leaving(report.target);
            }
        }
    }

    fn mark_leaving(&mut self, target: TargetKey) {
        for arbiter in self.arbiters.values_mut() {
            arbiter.set_leaving(target, true, &mut self.notices);
        }
    }

    /// Sends to all peers which targets have announced that they are leaving, where the platform's
    /// list does not say so.
    pub(crate) fn send_leaving_reports(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let known = self.targets_of_catalog();
        let unregistered = known.iter().copied().filter(|key| !self.leaving_targets.contains(key));
        let reports = self.leaving_notices.reports(now, unregistered);
        if reports.is_empty() {
            return;
        }
        for peer in self.peers.iter() {
            let message = PeerMessage::Leaving(reports.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
    }

    /// Returns whether a target is leaving, by the platform's list or its own notice.
    pub(crate) fn is_leaving(&self, target: TargetKey) -> bool {
        self.leaving_targets.contains(&target) || self.leaving_notices.contains(target)
    }

    /// Returns the targets that the configuration names.
    pub(crate) fn targets_of_catalog(&self) -> BTreeSet<TargetKey> {
        let catalog = self.configuration.catalog();
        let scopes = catalog.scopes();
        let rules = scopes.iter().flat_map(|scope| catalog.targets_of(*scope));
        rules.map(|rule| TargetKey::of(&rule.name)).collect()
    }
}
