//! How an entry VM that arbitrates keeps to the limits that targets name.

use crate::{
    effect::{Effect, EffectBuffer, Notice},
    entry::EntryCore,
    ids::{RequestSequence, ScopeKey, TargetKey},
    message::PeerMessage,
    target_limit::LimitMark,
    target_word::LimitWord,
    units::Moment,
};

impl EntryCore {
    /// Notes what the answer to a request says of its target's limit; an answer that names none ends the one that was known.
    pub(crate) fn note_limit(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        target: TargetKey,
        word: LimitWord,
        effects: &mut EffectBuffer,
    ) {
        let asked = self.requests.get(sequence).and_then(|record| record.dispatched);
        if self.limits.note(now, target, word, asked.unwrap_or_default()) {
            let limit = self.limits.rate(target);
            self.notices.push(Notice::TargetLimit { sequence, target, limit });
            self.deal_limits(now);
            self.tell_limits(now, effects);
        }
    }

    /// The head of an answer has come: it has named no limit if nothing was told of one before.
    pub(crate) fn note_head(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else { return };
        let Some(target) = record.slot.as_ref().and_then(|slot| slot.target) else { return };
        if record.word.limit == LimitWord::Unnamed && self.limits.rate(target).is_some() {
            self.note_limit(now, sequence, target, LimitWord::Unnamed, effects);
        }
    }

    /// Takes what a peer tells of limits.
    pub(crate) fn take_limits(&mut self, now: Moment, marks: &[LimitMark]) {
        let new = marks.iter().filter(|mark| self.limits.take(now, **mark)).count();
        if new > 0 {
            self.deal_limits(now);
        }
    }

    /// Tells all peers what targets have said last of their limits.
    pub(crate) fn tell_limits(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let told = self.limits.told(now);
        if told.is_empty() {
            return;
        }
        for peer in self.peers.iter() {
            let message = PeerMessage::Limits(told.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
    }

    /// Forgets what is too old, and finds anew which part of each limit is this VM's.
    pub(crate) fn age_limits(&mut self, now: Moment) {
        if self.limits.is_empty() {
            return;
        }
        let known = self.targets_of_catalog();
        self.limits.age(now, |target| known.contains(&target));
        self.deal_limits(now);
    }

    /// Tells the arbiters here which part of each limit is theirs.
    pub(crate) fn deal_limits(&mut self, now: Moment) {
        let scopes: Vec<ScopeKey> = self.arbiters.keys().copied().collect();
        for scope in scopes {
            let part = self.limit_part(scope);
            if let Some(arbiter) = self.arbiters.get_mut(&scope) {
                arbiter.set_limits(now, &self.limits, part);
            }
        }
    }

    /// The part of each limit that this VM's arbiter of a scope may use; nothing while another arbitrates it.
    ///
    /// The VMs that the elected one does not hear may run arbiters of their own; those it hears leave it to the elected one,
    /// also when it does not answer them in time.
    fn limit_part(&self, scope: ScopeKey) -> Option<f64> {
        let known = self.peers.known_count() as f64;
        if self.is_elected(scope) {
            return Some((self.peers.alive().count() + 1) as f64 / known);
        }
        let elected = self.elected.get(&scope).cloned().flatten();
        let is_heard = elected.is_some_and(|name| self.peers.alive().any(|it| it.name == name));
        (!is_heard).then_some(1.0 / known)
    }
}
