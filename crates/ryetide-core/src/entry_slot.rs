//! Asking for slots: which data centre's arbiter, what to do when it is silent, and what its
//! verdicts mean for the request.

use std::time::Duration;

use crate::{
    catalog::{ServiceKind, TargetRule},
    chart::RequestEvent,
    effect::{Effect, EffectBuffer, Notice},
    entry::EntryCore,
    event::TargetRoute,
    ids::{AttemptNumber, DataCentreKey, RequestSequence, ScopeKey, ServiceKey, TargetKey, VmName},
    message::{
        AskMessage, AskRef, PeerMessage, RefuseMessage, RefuseReason, ReleaseMessage,
        ReleaseOutcome, ScopeLoad,
    },
    request::{SlotClaim, SlotSource},
    target_word::TargetWord,
    units::{Moment, TierRank, Tokens},
    util,
    verdict::{ArbiterVerdict, AskKey, SlotAsk, VerdictKind},
};

/// An arbiter that has not answered an ask after this long is passed over: slow is worse than dead,
/// and this is well under every tier's permitted wait.
const GRANT_WAIT: Duration = Duration::from_millis(60);
/// How long an arbiter that did not answer is passed over.
const DISTRUST_SPAN: Duration = Duration::from_secs(1);
/// What the way to another data centre counts against it.
const REMOTE_CHARGE: Duration = Duration::from_millis(4);
/// When to come back when no target was usable anywhere.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Asks for a slot at the scope that seems best among those that have not refused yet, or ends
    /// the request when all have.
    pub(crate) fn ask_for_slot(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(scope) = self.choose_scope(now, sequence) else {
            let refusal = self.requests.get(sequence).and_then(|record| record.refusal);
            let (reason, retry) = refusal.unwrap_or((RefuseReason::NoTarget, NO_TARGET_RETRY));
            self.give_up(now, sequence, reason, Some(retry), effects);
            return;
        };
        match self.elected.get(&scope).cloned().flatten() {
            Some(name) if name == self.options.name => self.ask_own(now, sequence, scope, effects),
            Some(name) if !self.is_distrusted(now, &name) => {
                self.ask_peer(now, sequence, scope, name, effects);
            }
            _ => self.ask_own(now, sequence, scope, effects),
        }
    }

    fn is_distrusted(&self, now: Moment, name: &VmName) -> bool {
        self.peers.get(name).is_none_or(|peer| now < peer.distrusted_until)
    }

    /// Chooses the scope with the least expected wait; its own data centre goes first among equals.
    fn choose_scope(&self, now: Moment, sequence: RequestSequence) -> Option<ScopeKey> {
        let record = self.requests.get(sequence)?;
        let own = DataCentreKey::of(&self.options.data_centre);
        let scopes = self.configuration.catalog().scopes_of(record.profile.service);
        let open = scopes.into_iter().filter(|scope| !record.refused_by.contains(scope));
        let charge = |scope: &ScopeKey| {
            let down = self.scope_is_down(*scope);
            let remote = scope.data_centre != own;
            let way = if remote { REMOTE_CHARGE } else { Duration::ZERO };
            (down, self.scope_wait(now, *scope, record.profile.tier) + way, *scope)
        };
        open.min_by_key(charge)
    }

    /// The wait that the scope's arbiter tells of, or that this VM's own arbiter knows.
    fn scope_wait(&self, now: Moment, scope: ScopeKey, tier: TierRank) -> Duration {
        if self.is_elected(scope) {
            let arbiter = self.arbiters.get(&scope);
            return arbiter.map_or(Duration::ZERO, |arbiter| arbiter.expected_wait(now, tier));
        }
        let load = self.load_of(scope);
        let wait = load.and_then(|load| load.waits_ms.get(usize::from(tier.0)));
        Duration::from_millis(u64::from(wait.copied().unwrap_or(0)))
    }

    fn load_of(&self, scope: ScopeKey) -> Option<&ScopeLoad> {
        let name = self.elected.get(&scope)?.as_ref()?;
        self.peers.get(name)?.loads.iter().find(|load| load.scope == scope)
    }

    /// Returns whether a scope is known to have no usable target.
    pub(crate) fn scope_is_down(&self, scope: ScopeKey) -> bool {
        if self.is_elected(scope) {
            return self.arbiters.get(&scope).is_some_and(|arbiter| !arbiter.has_usable_target());
        }
        self.load_of(scope).is_some_and(|load| !load.usable)
    }

    fn ask_peer(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        scope: ScopeKey,
        name: VmName,
        effects: &mut EffectBuffer,
    ) {
        let ask = AskRef { life: self.life(), sequence };
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.slot = Some(SlotClaim {
            scope,
            source: SlotSource::Peer(name.clone()),
            acknowledged: false,
            target: None,
        });
        let message = PeerMessage::Ask(AskMessage {
            ask,
            data_centre: scope.data_centre,
            profile: record.profile.clone(),
            deadline_ms: util::millis(record.deadline.since(now)),
            waited_ms: util::millis(now.since(record.arrived)),
        });
        let due = record.deadline.min(now + GRANT_WAIT);
        self.requests.set_wake(sequence, Some(due));
        effects.push(Effect::Send { to: name, message });
    }

    /// Asks this VM's own arbiter: the elected one, or one over its conservative share.
    fn ask_own(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        scope: ScopeKey,
        effects: &mut EffectBuffer,
    ) {
        let life = self.life();
        self.ensure_arbiter(now, scope, effects);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.slot =
            Some(SlotClaim { scope, source: SlotSource::Own, acknowledged: true, target: None });
        let ask = SlotAsk {
            key: AskKey { vm: self.options.name.clone(), ask: AskRef { life, sequence } },
            profile: record.profile.clone(),
            deadline: record.deadline,
            waited: now.since(record.arrived),
        };
        self.requests.set_wake(sequence, None);
        if let Some(arbiter) = self.arbiters.get_mut(&scope) {
            arbiter.ask(now, ask, &mut self.rng, &mut self.verdicts);
        }
    }

    /// Delivers the verdicts of this VM's arbiters: to its own requests, or to the peers that asked.
    pub(crate) fn deliver_verdicts(&mut self, now: Moment, effects: &mut EffectBuffer) {
        while !self.verdicts.is_empty() {
            for verdict in std::mem::take(&mut self.verdicts) {
                if verdict.key.vm == self.options.name {
                    self.take_verdict(now, verdict, effects);
                } else {
                    let ask = verdict.key.ask;
                    let message = match verdict.kind {
                        VerdictKind::Grant(target) => PeerMessage::Grant { ask, target },
                        VerdictKind::Queued => PeerMessage::Queued { ask },
                        VerdictKind::Refuse(reason, retry) => {
                            let retry_ms = util::millis(retry);
                            PeerMessage::Refuse(RefuseMessage { ask, reason, retry_ms })
                        }
                    };
                    effects.push(Effect::Send { to: verdict.key.vm, message });
                }
            }
        }
    }

    fn take_verdict(&mut self, now: Moment, verdict: ArbiterVerdict, effects: &mut EffectBuffer) {
        let sequence = verdict.key.ask.sequence;
        match verdict.kind {
            VerdictKind::Grant(target) => {
                self.granted(now, sequence, &SlotSource::Own, target, effects);
            }
            VerdictKind::Queued => {}
            VerdictKind::Refuse(reason, retry) => {
                self.refused(now, sequence, &SlotSource::Own, (reason, retry), effects);
            }
        }
    }

    /// An arbiter granted a slot: opens a connection, or gives the slot back when it is not wanted
    /// any more.
    pub(crate) fn granted(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        source: &SlotSource,
        target: TargetKey,
        effects: &mut EffectBuffer,
    ) {
        let slot = self.requests.get(sequence).and_then(|record| record.slot.as_ref());
        let asked = slot.filter(|slot| slot.source == *source);
        if asked.is_none_or(|slot| slot.target.is_some()) {
            let is_double = asked.is_some_and(|slot| slot.target == Some(target));
            if !is_double {
                self.return_unwanted(now, sequence, source, effects);
            }
            return;
        }
        let service = self.requests.get(sequence).map(|record| record.profile.service);
        let rule = service.and_then(|key| {
            let catalog = self.configuration.catalog();
            let engine = catalog.service(key)?.kind == ServiceKind::Model;
            catalog.target(key, target).map(|rule| route_to(rule, engine))
        });
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if let Some(slot) = &mut record.slot {
            slot.target = Some(target);
            slot.acknowledged = true;
        }
        let Some(route) = rule else {
            // The target left the configuration between the grant and now.
            self.release_slot(now, sequence, ReleaseOutcome::Unused, effects);
            self.ask_for_slot(now, sequence, effects);
            return;
        };
        if !record.handle(RequestEvent::Grant) {
            self.release_slot(now, sequence, ReleaseOutcome::Unused, effects);
            return;
        }
        record.attempt = AttemptNumber(record.attempt.0 + 1);
        record.route = Some(route.clone());
        record.connection_open = true;
        let (attempt, deadline) = (record.attempt, record.deadline);
        self.requests.set_wake(sequence, Some(deadline));
        effects.push(Effect::Connect { sequence, attempt, route });
    }

    /// Gives back a slot that nobody waits for any more: its request asked elsewhere meanwhile, or has
    /// ended. Kept silent, it would be held until it counts as orphaned.
    fn return_unwanted(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        source: &SlotSource,
        effects: &mut EffectBuffer,
    ) {
        let ask = AskRef { life: self.life(), sequence };
        match source {
            SlotSource::Own => {
                let key = AskKey { vm: self.options.name.clone(), ask };
                for arbiter in self.arbiters.values_mut() {
                    arbiter.withdraw(now, &key, &mut self.verdicts);
                }
            }
            SlotSource::Peer(name) => {
                let service = self.requests.get(sequence).map(|record| record.profile.service);
                for scope in self.scopes_ordered_by(name, service) {
                    let message = PeerMessage::Withdraw { ask, scope };
                    effects.push(Effect::Send { to: name.clone(), message });
                }
            }
        }
    }

    /// Returns the scopes that a peer arbitrates, of one service or of all.
    fn scopes_ordered_by(&self, name: &VmName, service: Option<ServiceKey>) -> Vec<ScopeKey> {
        let of_service = |scope: &ScopeKey| service.is_none_or(|key| scope.service == key);
        let ordered = self.elected.iter().filter(|(_, elected)| elected.as_ref() == Some(name));
        ordered.map(|(scope, _)| *scope).filter(of_service).collect()
    }

    /// An arbiter refused: the next scope is asked, or the request ends when none is left.
    pub(crate) fn refused(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        source: &SlotSource,
        (reason, retry): (RefuseReason, Duration),
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let slot = record.slot.clone().filter(|slot| slot.source == *source);
        let Some(slot) = slot.filter(|slot| slot.target.is_none()) else {
            return;
        };
        record.slot = None;
        if reason == RefuseReason::NotArbiter {
            self.reask_after_handover(now, sequence, &slot, effects);
            return;
        }
        if reason == RefuseReason::ShedBelow {
            // Another data centre must not serve it either while its better has been refused.
            self.give_up(now, sequence, reason, Some(retry), effects);
            return;
        }
        record.refused_by.push(slot.scope);
        let least = record.refusal.map_or(retry, |(_, known)| known.min(retry));
        record.refusal = Some((reason, least));
        self.ask_for_slot(now, sequence, effects);
    }

    /// The VM asked does not arbitrate the scope: the views differ. Until they agree, this VM's own
    /// share is used.
    fn reask_after_handover(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        slot: &SlotClaim,
        effects: &mut EffectBuffer,
    ) {
        match &slot.source {
            SlotSource::Own => self.ask_for_slot(now, sequence, effects),
            SlotSource::Peer(_) => self.ask_own(now, sequence, slot.scope, effects),
        }
    }

    /// An ask's time is over: its arbiter is silent, or the deadline has come.
    pub(crate) fn ask_due(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get(sequence) else {
            return;
        };
        if now >= record.deadline {
            self.give_up(now, sequence, RefuseReason::Shed, Some(NO_TARGET_RETRY), effects);
            return;
        }
        let Some(slot) = record.slot.clone() else {
            return;
        };
        let SlotSource::Peer(name) = &slot.source else {
            return;
        };
        if slot.acknowledged {
            let deadline = record.deadline;
            self.requests.set_wake(sequence, Some(deadline));
            return;
        }
        self.peers.distrust(name, now + DISTRUST_SPAN);
        effects.push(Effect::Note(Notice::ArbiterSilent(name.clone())));
        self.withdraw_ask(now, sequence, effects);
        self.ask_own(now, sequence, slot.scope, effects);
    }

    /// Takes an ask back, wherever it waits.
    fn withdraw_ask(&mut self, now: Moment, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let ask = AskRef { life: self.life(), sequence };
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let Some(slot) = record.slot.take() else {
            return;
        };
        self.withdraw_from(now, ask, &slot, effects);
    }

    fn withdraw_from(
        &mut self,
        now: Moment,
        ask: AskRef,
        slot: &SlotClaim,
        effects: &mut EffectBuffer,
    ) {
        match &slot.source {
            SlotSource::Own => {
                let key = AskKey { vm: self.options.name.clone(), ask };
                if let Some(arbiter) = self.arbiters.get_mut(&slot.scope) {
                    arbiter.withdraw(now, &key, &mut self.verdicts);
                }
            }
            SlotSource::Peer(name) => {
                let message = PeerMessage::Withdraw { ask, scope: slot.scope };
                effects.push(Effect::Send { to: name.clone(), message });
            }
        }
    }

    /// Gives a slot back to whoever orders it, or takes back an ask that has not led to one.
    pub(crate) fn release_slot(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        outcome: ReleaseOutcome,
        effects: &mut EffectBuffer,
    ) {
        let ask = AskRef { life: self.life(), sequence };
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let Some(slot) = record.slot.take() else {
            return;
        };
        if slot.target.is_none() {
            self.withdraw_from(now, ask, &slot, effects);
            return;
        }
        // What the target has said of itself goes before what became of the request.
        let outcome = match record.word {
            TargetWord { leaving: true, .. } => ReleaseOutcome::TargetLeaving,
            TargetWord { hold_off: Some(span), .. } => ReleaseOutcome::HeldOff(util::millis(span)),
            TargetWord { .. } => outcome,
        };
        let since_dispatch =
            |at: Option<Moment>| at.zip(record.dispatched).map(|(at, start)| at.since(start));
        let message = ReleaseMessage {
            ask,
            scope: slot.scope,
            outcome,
            first_piece_ms: since_dispatch(record.first_piece).map_or(0, util::millis),
            total_ms: since_dispatch(Some(now)).map_or(0, util::millis),
            output: Tokens(record.pieces),
        };
        match &slot.source {
            SlotSource::Own => {
                let name = self.options.name.clone();
                if let Some(arbiter) = self.arbiters.get_mut(&slot.scope) {
                    let (verdicts, notices) = (&mut self.verdicts, &mut self.notices);
                    arbiter.release(now, &name, &message, verdicts, notices);
                }
            }
            SlotSource::Peer(name) => {
                let message = PeerMessage::Release(message);
                effects.push(Effect::Send { to: name.clone(), message });
            }
        }
    }
}

pub(crate) fn route_to(rule: &TargetRule, engine: bool) -> TargetRoute {
    TargetRoute {
        key: TargetKey::of(&rule.name),
        name: rule.name.clone(),
        address: rule.address,
        engine,
    }
}
