//! Slot requests of an entry VM: which data centre's arbiter to ask, what to do when it does not
//! answer, and how its verdicts are applied to the request.

use std::time::Duration;

use crate::{
    catalog::{ServiceKind, TargetRule},
    chart::RequestEvent,
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry::EntryCore,
    event::TargetRoute,
    ids::{AttemptNumber, DataCentreKey, RequestSequence, ScopeKey, ServiceKey, TargetKey, VmName},
    message::{
        PeerMessage, RefuseMessage, RefuseReason, ReleaseMessage, ReleaseOutcome, RequestRef,
        ScopeLoad, SlotRequestMessage,
    },
    request::{RequestSlot, SlotSource},
    slot_request::{ArbiterVerdict, RequestKey, SlotRequest, VerdictKind},
    target_notice::TargetNotice,
    units::{Moment, TierRank, Tokens},
    util,
};

/// How long to wait for an arbiter's answer before this VM uses its own share instead.
///
/// It is far below the wait that any tier permits. An arbiter that answers late delays requests
/// more than one that is down, which is detected and replaced.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an arbiter that did not answer in time is not asked.
const EXCLUSION_SPAN: Duration = Duration::from_secs(1);
/// The extra wait that a remote data centre is charged when scopes are compared.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// The retry delay when no data centre has a usable target.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Asks for a slot at the best scope that has not refused the request yet, or ends the request
    /// when all have refused.
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
            Some(name) if name == self.options.name => {
                self.ask_own_arbiter(now, sequence, scope, effects);
            }
            Some(name) if !self.is_excluded(now, &name) => {
                self.ask_peer_arbiter(now, sequence, scope, name, effects);
            }
            _ => self.ask_own_arbiter(now, sequence, scope, effects),
        }
    }

    /// Returns whether a peer is unknown, or did not answer a slot request in time recently.
    fn is_excluded(&self, now: Moment, name: &VmName) -> bool {
        self.peers.get(name).is_none_or(|peer| now < peer.excluded_until)
    }

    /// Chooses the scope with the shortest expected wait, and prefers usable scopes and this VM's
    /// own data centre.
    fn choose_scope(&self, now: Moment, sequence: RequestSequence) -> Option<ScopeKey> {
        let record = self.requests.get(sequence)?;
        let own = DataCentreKey::of(&self.options.data_centre);
        let scopes = self.configuration.catalog().scopes_of(record.profile.service);
        let open = scopes.into_iter().filter(|scope| !record.refused_by.contains(scope));
        let cost = |scope: &ScopeKey| {
            let down = self.scope_is_down(*scope);
            let remote = scope.data_centre != own;
            let penalty = if remote { REMOTE_PENALTY } else { Duration::ZERO };
            (down, self.scope_wait(now, *scope, record.profile.tier) + penalty, *scope)
        };
        open.min_by_key(cost)
    }

    /// Returns the expected wait at a scope: from this VM's arbiter if it is elected, else as its
    /// arbiter last reported, or zero without a report.
    fn scope_wait(&self, now: Moment, scope: ScopeKey, tier: TierRank) -> Duration {
        if self.is_elected(scope) {
            let arbiter = self.arbiters.get(&scope);
            return arbiter.map_or(Duration::ZERO, |arbiter| arbiter.expected_wait(now, tier));
        }
        let load = self.load_of(scope);
        let wait = load.and_then(|load| load.waits_ms.get(usize::from(tier.0)));
        Duration::from_millis(u64::from(wait.copied().unwrap_or(0)))
    }

    /// Returns the load that the elected arbiter of a scope last reported in a heartbeat.
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

    fn ask_peer_arbiter(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        scope: ScopeKey,
        name: VmName,
        effects: &mut EffectBuffer,
    ) {
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.slot = Some(RequestSlot {
            scope,
            source: SlotSource::Peer(name.clone()),
            acknowledged: false,
            target: None,
        });
        let message = PeerMessage::Ask(SlotRequestMessage {
            ask,
            data_centre: scope.data_centre,
            profile: record.profile.clone(),
            deadline_ms: util::millis(record.deadline.since(now)),
            waited_ms: util::millis(now.since(record.arrived)),
        });
        let due = record.deadline.min(now + GRANT_TIMEOUT);
        self.requests.set_wake(sequence, Some(due));
        effects.push(Effect::Send { to: name, message });
    }

    /// Asks this VM's own arbiter, which is either the elected one or one over a conservative
    /// share.
    fn ask_own_arbiter(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        scope: ScopeKey,
        effects: &mut EffectBuffer,
    ) {
        let request_ref = RequestRef { incarnation: self.incarnation_tag(), sequence };
        self.ensure_arbiter(now, scope, effects);
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        record.slot =
            Some(RequestSlot { scope, source: SlotSource::Own, acknowledged: true, target: None });
        let request = SlotRequest {
            key: RequestKey { vm: self.options.name.clone(), ask: request_ref },
            profile: record.profile.clone(),
            deadline: record.deadline,
            waited: now.since(record.arrived),
        };
        self.requests.set_wake(sequence, None);
        if let Some(arbiter) = self.arbiters.get_mut(&scope) {
            arbiter.request_slot(now, request, &mut self.rng, &mut self.verdicts);
        }
    }

    /// Applies the verdicts of this VM's arbiters to its own requests, and sends the others to the
    /// peers that asked.
    pub(crate) fn deliver_verdicts(&mut self, now: Moment, effects: &mut EffectBuffer) {
        while !self.verdicts.is_empty() {
            for verdict in std::mem::take(&mut self.verdicts) {
                if verdict.key.vm == self.options.name {
                    self.apply_verdict(now, verdict, effects);
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

    fn apply_verdict(&mut self, now: Moment, verdict: ArbiterVerdict, effects: &mut EffectBuffer) {
        let sequence = verdict.key.ask.sequence;
        match verdict.kind {
            VerdictKind::Grant(target) => {
                self.handle_grant(now, sequence, &SlotSource::Own, target, effects);
            }
            VerdictKind::Queued => {}
            VerdictKind::Refuse(reason, retry) => {
                self.handle_refusal(now, sequence, &SlotSource::Own, (reason, retry), effects);
            }
        }
    }

    /// Handles a granted slot: opens a connection to the target, or returns the slot if the request
    /// no longer needs it.
    pub(crate) fn handle_grant(
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
            let is_duplicate = asked.is_some_and(|slot| slot.target == Some(target));
            if !is_duplicate {
                self.return_unwanted_slot(now, sequence, source, effects);
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
            // The target was removed from the configuration after the arbiter granted it.
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

    /// Returns a slot whose request has meanwhile asked another arbiter or ended. Otherwise the
    /// arbiter would keep it in use until it is reclaimed as orphaned.
    fn return_unwanted_slot(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        source: &SlotSource,
        effects: &mut EffectBuffer,
    ) {
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
        match source {
            SlotSource::Own => {
                let key = RequestKey { vm: self.options.name.clone(), ask };
                for arbiter in self.arbiters.values_mut() {
                    arbiter.withdraw(now, &key, &mut self.verdicts);
                }
            }
            SlotSource::Peer(name) => {
                let service = self.requests.get(sequence).map(|record| record.profile.service);
                for scope in self.scopes_arbitrated_by(name, service) {
                    let message = PeerMessage::Withdraw { ask, scope };
                    effects.push(Effect::Send { to: name.clone(), message });
                }
            }
        }
    }

    /// Returns the scopes that a peer arbitrates, of one service or of all services.
    fn scopes_arbitrated_by(&self, name: &VmName, service: Option<ServiceKey>) -> Vec<ScopeKey> {
        let of_service = |scope: &ScopeKey| service.is_none_or(|key| scope.service == key);
        let arbitrated = self.elected.iter().filter(|(_, elected)| elected.as_ref() == Some(name));
        arbitrated.map(|(scope, _)| *scope).filter(of_service).collect()
    }

    /// Handles an arbiter's refusal: asks the next scope, or ends the request when none is left.
    pub(crate) fn handle_refusal(
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
            self.ask_after_handover(now, sequence, &slot, effects);
            return;
        }
        if reason == RefuseReason::ShedBelow {
            // A request of a higher tier was refused, so no other data centre may serve this one.
            self.give_up(now, sequence, reason, Some(retry), effects);
            return;
        }
        record.refused_by.push(slot.scope);
        let shortest = record.refusal.map_or(retry, |(_, known)| known.min(retry));
        record.refusal = Some((reason, shortest));
        self.ask_for_slot(now, sequence, effects);
    }

    /// Handles a refusal from a VM that does not arbitrate the scope. A peer that refuses so sees a
    /// different set of VMs; this VM uses its own share until both agree.
    fn ask_after_handover(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        slot: &RequestSlot,
        effects: &mut EffectBuffer,
    ) {
        match &slot.source {
            SlotSource::Own => self.ask_for_slot(now, sequence, effects),
            SlotSource::Peer(_) => self.ask_own_arbiter(now, sequence, slot.scope, effects),
        }
    }

    /// Handles a slot request that timed out: its arbiter did not answer in time, or the deadline
    /// has passed.
    pub(crate) fn handle_slot_wait_timeout(
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
        self.peers.exclude_as_arbiter(name, now + EXCLUSION_SPAN);
        effects.push(Effect::Note(OperatorNotice::ArbiterSilent(name.clone())));
        self.withdraw_ask(now, sequence, effects);
        self.ask_own_arbiter(now, sequence, slot.scope, effects);
    }

    /// Withdraws the slot request of a request from the arbiter that it was sent to.
    fn withdraw_ask(&mut self, now: Moment, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let Some(slot) = record.slot.take() else {
            return;
        };
        self.withdraw_from(now, ask, &slot, effects);
    }

    /// Withdraws a slot request from the arbiter that `slot` names.
    fn withdraw_from(
        &mut self,
        now: Moment,
        ask: RequestRef,
        slot: &RequestSlot,
        effects: &mut EffectBuffer,
    ) {
        match &slot.source {
            SlotSource::Own => {
                let key = RequestKey { vm: self.options.name.clone(), ask };
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

    /// Returns a slot to its arbiter, or withdraws the slot request if no slot was granted.
    pub(crate) fn release_slot(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        outcome: ReleaseOutcome,
        effects: &mut EffectBuffer,
    ) {
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
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
        // A notice from the target takes precedence over the outcome of the request.
        let outcome = match record.notice {
            TargetNotice { leaving: true, .. } => ReleaseOutcome::TargetLeaving,
            TargetNotice { hold_off: Some(span), .. } => {
                ReleaseOutcome::HeldOff(util::millis(span))
            }
            TargetNotice { .. } => outcome,
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

/// Returns the route to a target; `engine` says whether it is a model engine.
pub(crate) fn route_to(rule: &TargetRule, engine: bool) -> TargetRoute {
    TargetRoute {
        key: TargetKey::of(&rule.name),
        name: rule.name.clone(),
        address: rule.address,
        engine,
    }
}
