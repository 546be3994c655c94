//! What targets' answers say of the targets: that they leave, or want nothing for a time.

use std::collections::BTreeSet;

use crate::{
    effect::{Effect, EffectBuffer, Notice},
    entry::EntryCore,
    ids::{RequestSequence, TargetKey},
    message::PeerMessage,
    target_word::{LeavingMark, TargetWord},
    units::Moment,
};

impl EntryCore {
    /// A target's answer to a request says something of the target. Its arbiter hears of it with the end of the request's
    /// slot; that it leaves, all VMs hear at once.
    pub(crate) fn target_said(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        target: TargetKey,
        word: TargetWord,
        effects: &mut EffectBuffer,
    ) {
        self.notices.push(Notice::TargetSaid { sequence, target, word });
        if let Some(record) = self.requests.get_mut(sequence) {
            record.word = word;
        }
        self.note_limit(now, sequence, target, word.limit, effects);
        if word.leaving && self.words.note(now, target) {
            self.note_leaving(target);
            self.tell_words(now, effects);
        }
    }

    /// Takes back what targets have said of which the platform's list has told since that they are gone and back, or that
    /// they stay: a target keeps its name when it starts again.
    pub(crate) fn take_back_words(
        &mut self,
        listed: &BTreeSet<TargetKey>,
        leaving: &BTreeSet<TargetKey>,
    ) {
        let was_away = |key: &TargetKey| {
            self.leaving_targets.contains(key) || self.unlisted_words.contains(key)
        };
        let stays = |key: &TargetKey| listed.contains(key) && !leaving.contains(key);
        let back: Vec<TargetKey> =
            self.words.all().into_iter().filter(|key| stays(key) && was_away(key)).collect();
        for target in back {
            self.words.forget(target);
            for arbiter in self.arbiters.values_mut() {
                arbiter.note_leaving(target, false, &mut self.notices);
            }
        }
        let words = self.words.all().into_iter();
        self.unlisted_words = words.filter(|key| !listed.contains(key)).collect();
    }

    /// Forgets words that are too old. The target is asked again then, and says it again if it still leaves.
    pub(crate) fn age_words(&mut self, now: Moment) {
        let mut old = self.words.age(now);
        old.retain(|key| !self.leaving_targets.contains(key));
        for target in old {
            for arbiter in self.arbiters.values_mut() {
                arbiter.note_leaving(target, false, &mut self.notices);
            }
        }
    }

    /// Takes what a peer tells of targets that leave.
    pub(crate) fn take_words(&mut self, now: Moment, marks: &[LeavingMark]) {
        for mark in marks {
            if self.words.take(now, *mark) {
                self.note_leaving(mark.target);
            }
        }
    }

    fn note_leaving(&mut self, target: TargetKey) {
        for arbiter in self.arbiters.values_mut() {
            arbiter.note_leaving(target, true, &mut self.notices);
        }
    }

    /// Tells all peers which targets have said that they leave, where the platform's list does not.
    pub(crate) fn tell_words(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let known = self.targets_of_catalog();
        let unsure = known.iter().copied().filter(|key| !self.leaving_targets.contains(key));
        let told = self.words.told(now, unsure);
        if told.is_empty() {
            return;
        }
        for peer in self.peers.iter() {
            let message = PeerMessage::Leaving(told.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
    }

    /// Returns whether a target leaves, by the platform's list or its own word.
    pub(crate) fn is_leaving(&self, target: TargetKey) -> bool {
        self.leaving_targets.contains(&target) || self.words.holds(target)
    }

    /// Returns the targets that the configuration names.
    pub(crate) fn targets_of_catalog(&self) -> BTreeSet<TargetKey> {
        let catalog = self.configuration.catalog();
        let scopes = catalog.scopes();
        let rules = scopes.iter().flat_map(|scope| catalog.targets_of(*scope));
        rules.map(|rule| TargetKey::of(&rule.name)).collect()
    }
}
