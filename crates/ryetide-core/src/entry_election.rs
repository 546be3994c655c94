//! Election of the arbiter of each scope, and the handover when it changes.

use std::time::Duration;

use crate::{
    arbiter::ScopeArbiter,
    catalog::ServiceKind,
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    entry_slot::route_to,
    event::TargetRoute,
    ids::{RequestSequence, ScopeKey, TargetKey},
    message::{HeldSlotMessage, PeerMessage, RefuseReason, RequestRef},
    request::SlotSource,
    slot_request::{ArbiterVerdict, RequestKey, VerdictKind},
    units::Moment,
    util,
};

/// How long a newly elected arbiter grants nothing, so that its peers can first report the slots in
/// use.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(150);

impl EntryCore {
    /// Creates an arbiter for `scope` on this VM unless there is one.
    pub(crate) fn ensure_arbiter(
        &mut self,
        now: Moment,
        scope: ScopeKey,
        effects: &mut EffectBuffer,
    ) {
        if self.arbiters.contains_key(&scope) {
            return;
        }
        let elected = self.is_elected(scope);
        let share = if elected { 1.0 } else { 1.0 / self.peers.known_count() as f64 };
        let others = self.peers.alive().next().is_some();
        let pause = if elected && others { TAKEOVER_PAUSE } else { Duration::ZERO };
        let catalog = self.configuration.catalog();
        let switches = self.options.switches;
        let mut arbiter = ScopeArbiter::new(scope, catalog, share, now + pause, switches);
        let announced = self.leaving_notices.all();
        for target in self.leaving_targets.iter().copied().chain(announced) {
            arbiter.set_leaving(target, true, &mut self.notices);
        }
        self.arbiters.insert(scope, arbiter);
        self.update_limit_shares(now);
        self.watch_targets(effects);
    }

    /// Polls the load of exactly those model engines whose scopes this VM's arbiters serve.
    pub(crate) fn watch_targets(&mut self, effects: &mut EffectBuffer) {
        let catalog = self.configuration.catalog();
        let mut routes = Vec::new();
        for scope in self.arbiters.keys() {
            let engine =
                catalog.service(scope.service).is_some_and(|rule| rule.kind == ServiceKind::Model);
            if engine {
                routes.extend(catalog.targets_of(*scope).map(|rule| route_to(rule, engine)));
            }
        }
        let keys: Vec<TargetKey> = routes.iter().map(|route: &TargetRoute| route.key).collect();
        if keys != self.watched {
            self.watched = keys;
            effects.push(Effect::WatchTargets(routes));
        }
    }

    /// Computes the arbiter of each scope, and hands over the scopes whose arbiter changed: a VM
    /// that is no longer elected refuses its waiting requests so that they go to the new arbiter,
    /// and every VM reports the slots that it uses to the new arbiter.
    pub(crate) fn elect(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let scopes = self.configuration.catalog().scopes();
        let mut changed = Vec::new();
        for scope in &scopes {
            let name = self.peers.arbiter_of(*scope);
            if self.elected.get(scope) != Some(&name) {
                changed.push(*scope);
                self.elected.insert(*scope, name);
            }
        }
        self.elected.retain(|scope, _| scopes.contains(scope));
        for scope in &changed {
            self.hand_over(now, *scope, effects);
        }
        let share = 1.0 / self.peers.known_count() as f64;
        let own = self.options.name.clone();
        for (scope, arbiter) in &mut self.arbiters {
            let elected = self.elected.get(scope).and_then(Option::as_ref) == Some(&own);
            arbiter.set_share(if elected { 1.0 } else { share });
        }
        self.update_limit_shares(now);
        self.watch_targets(effects);
    }

    /// Hands a scope over to its new arbiter.
    fn hand_over(&mut self, now: Moment, scope: ScopeKey, effects: &mut EffectBuffer) {
        if let Some(mut old) = self.arbiters.remove(&scope) {
            for key in old.drain_waiting() {
                self.verdicts.push(ArbiterVerdict {
                    key,
                    kind: VerdictKind::Refuse(RefuseReason::NotArbiter, Duration::ZERO),
                });
            }
        }
        if self.is_elected(scope) {
            self.ensure_arbiter(now, scope, effects);
        }
        let of_scope: Vec<RequestSequence> = self
            .requests
            .iter()
            .filter(|(_, record)| record.slot.as_ref().is_some_and(|slot| slot.scope == scope))
            .map(|(sequence, _)| sequence)
            .collect();
        for sequence in of_scope {
            self.move_to_new_arbiter(now, sequence, scope, effects);
        }
    }

    /// Reports the slot of a request to its scope's new arbiter, or requests a slot again if none
    /// was granted yet.
    fn move_to_new_arbiter(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        scope: ScopeKey,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        let Some(slot) = record.slot.clone() else {
            return;
        };
        let Some(target) = slot.target else {
            // A request that waited at this VM's arbiter asks again when it gets that arbiter's
            // refusal.
            if slot.source != SlotSource::Own {
                self.ask_for_slot(now, sequence, effects);
            }
            return;
        };
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
        let running = record.dispatched.map_or(Duration::ZERO, |at| now.since(at));
        let profile = record.profile.clone();
        let elected = self.elected.get(&scope).cloned().flatten();
        let source = match elected {
            Some(name) if name != self.options.name => {
                let message = PeerMessage::Holding(HeldSlotMessage {
                    ask,
                    data_centre: scope.data_centre,
                    target,
                    profile,
                    running_ms: util::millis(running),
                });
                effects.push(Effect::Send { to: name.clone(), message });
                SlotSource::Peer(name)
            }
            _ => {
                self.ensure_arbiter(now, scope, effects);
                let key = RequestKey { vm: self.options.name.clone(), ask };
                if let Some(arbiter) = self.arbiters.get_mut(&scope) {
                    arbiter.record_held_slot(now, key, target, &profile, running);
                }
                SlotSource::Own
            }
        };
        if let Some(slot) = self.requests.get_mut(sequence).and_then(|it| it.slot.as_mut()) {
            slot.source = source;
        }
    }
}
