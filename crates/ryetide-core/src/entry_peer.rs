//! Messages between entry VMs: heartbeats, slot requests, configuration, and outcomes of requests.

use std::time::Duration;

use crate::{
    crash_ledger::CrashUpdate,
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry::EntryCore,
    message::{
        self, HeartbeatMessage, HeldSlotMessage, MessageSender, PeerMessage, RefuseMessage,
        RefuseReason, ReleaseMessage, RequestRef, SlotRequestMessage,
    },
    request::SlotSource,
    slot_request::{RequestKey, SlotRequest},
    units::Moment,
};

impl EntryCore {
    /// Handles a message from a peer.
    pub(crate) fn handle_peer_message(
        &mut self,
        now: Moment,
        sender: &MessageSender,
        message: PeerMessage,
        effects: &mut EffectBuffer,
    ) {
        if sender.name == self.options.name {
            return;
        }
        self.record_sender(now, sender, effects);
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, sender, heartbeat, effects);
            }
            PeerMessage::Ask(request) => {
                self.handle_slot_request(now, sender, request, effects);
            }
            PeerMessage::Withdraw { ask, scope } => {
                let key = RequestKey { vm: sender.name.clone(), ask };
                if let Some(arbiter) = self.arbiters.get_mut(&scope) {
                    arbiter.withdraw(now, &key, &mut self.verdicts);
                }
            }
            PeerMessage::Release(release) => self.handle_release(now, sender, &release),
            PeerMessage::Holding(holding) => self.handle_held_slot(now, sender, holding, effects),
            PeerMessage::Grant { ask, target } => {
                if self.is_for_this_incarnation(ask) {
                    let source = SlotSource::Peer(sender.name.clone());
                    self.handle_grant(now, ask.sequence, &source, target, effects);
                }
            }
            PeerMessage::Queued { ask } => self.handle_queued(sender, ask),
            PeerMessage::Refuse(refuse) => self.handle_peer_refusal(now, sender, &refuse, effects),
            PeerMessage::ConfigurationPull => self.send_configuration(sender, effects),
            PeerMessage::ConfigurationPush(text) => {
                let from = Some(sender.name.clone());
                if self.configuration.adopt(text, from, effects) {
                    self.apply_configuration(now, effects);
                }
            }
            PeerMessage::OutcomeQuery { holder, ask } => {
                if self.claims.is_own(&holder) {
                    let outcome = self.claims.outcome_of(holder.sequence);
                    let message = PeerMessage::OutcomeReply { ask, outcome };
                    effects.push(Effect::Send { to: sender.name.clone(), message });
                }
            }
            PeerMessage::Leaving(marks) => self.merge_leaving_reports(now, &marks),
            PeerMessage::Limits(marks) => self.merge_limit_reports(now, &marks),
            PeerMessage::Crashes(news) => self.crashes.take(now, &news),
            PeerMessage::PartCrashes(parts) => {
                self.crashes.take(now, &CrashUpdate { parts, ..CrashUpdate::default() });
            }
            PeerMessage::OutcomeReply { ask, outcome } => {
                let awaited = self.claims.query_deadline(ask.sequence).is_some();
                if self.is_for_this_incarnation(ask) && awaited {
                    self.apply_outcome(now, ask.sequence, outcome, effects);
                }
            }
        }
    }

    /// Returns whether a reply is meant for this incarnation of the VM. In a reply to an earlier
    /// one, the sequence number may belong to a different request.
    fn is_for_this_incarnation(&self, ask: RequestRef) -> bool {
        !self.options.switches.life_check || ask.incarnation == self.incarnation_tag()
    }

    /// Records that a peer is alive. A new incarnation of the peer frees all slots that its
    /// previous one held here.
    fn record_sender(&mut self, now: Moment, sender: &MessageSender, effects: &mut EffectBuffer) {
        let (name, centre) = (&sender.name, &sender.data_centre);
        let known = self.peers.get(name).is_some();
        let change =
            self.peers.record_message(now, name, sender.incarnation, centre, sender.address);
        if !known || change.restarted {
            effects.push(Effect::ConnectPeers(self.peers.addresses()));
        }
        if change.restarted {
            for arbiter in self.arbiters.values_mut() {
                arbiter.remove_vm(now, name, &mut self.verdicts);
            }
        }
        if !known || change.restarted || change.appeared {
            self.crashes.resend_all(now);
        }
        if change.appeared {
            effects.push(Effect::Note(OperatorNotice::PeerHeard(name.clone())));
            self.heartbeat_at = now;
            self.elect(now, effects);
        }
    }

    /// Records a peer's heartbeat, and requests its configuration if that is newer.
    fn handle_heartbeat(
        &mut self,
        now: Moment,
        sender: &MessageSender,
        heartbeat: HeartbeatMessage,
        effects: &mut EffectBuffer,
    ) {
        let HeartbeatMessage { revision, leaving, loads } = heartbeat;
        if self.peers.record_heartbeat(&sender.name, revision, loads, leaving) {
            self.elect(now, effects);
        }
        if self.configuration.should_pull(now, revision) {
            let message = PeerMessage::ConfigurationPull;
            effects.push(Effect::Send { to: sender.name.clone(), message });
        }
    }

    /// Sends a heartbeat to every peer, with what this VM knows of crashes and of targets.
    pub(crate) fn send_heartbeats(&mut self, now: Moment, effects: &mut EffectBuffer) {
        self.heartbeat_at = now + self.peers.heartbeat_interval();
        let elected = self.arbiters.values().filter(|arbiter| self.is_elected(arbiter.scope()));
        let heartbeat = HeartbeatMessage {
            revision: self.configuration.revision(),
            leaving: self.is_draining(),
            loads: elected.filter_map(|arbiter| arbiter.load(now)).collect(),
        };
        for peer in self.peers.iter() {
            let message = PeerMessage::Heartbeat(heartbeat.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
        let crashes = self.crashes.full_update(now);
        self.send_crash_update(&crashes, effects);
        self.send_leaving_reports(now, effects);
        self.send_limit_reports(now, effects);
    }

    /// Frees the slots that newly silent peers held, and elects new arbiters for their scopes.
    pub(crate) fn expire_silent_peers(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let silent = self.peers.find_silent(now);
        for name in &silent {
            effects.push(Effect::Note(OperatorNotice::PeerSilent(name.clone())));
            for arbiter in self.arbiters.values_mut() {
                arbiter.remove_vm(now, name, &mut self.verdicts);
            }
        }
        if !silent.is_empty() {
            self.elect(now, effects);
        }
        self.drop_idle_arbiters(effects);
    }

    /// Drops idle arbiters that this VM runs over its own share.
    fn drop_idle_arbiters(&mut self, effects: &mut EffectBuffer) {
        let own = &self.options.name;
        let elected = &self.elected;
        let before = self.arbiters.len();
        self.arbiters.retain(|scope, arbiter| {
            let is_elected = elected.get(scope).and_then(Option::as_ref) == Some(own);
            is_elected || arbiter.waiting() > 0 || arbiter.held() > 0
        });
        if self.arbiters.len() != before {
            self.watch_targets(effects);
        }
    }

    /// Handles a peer's slot request, or refuses it if this VM does not arbitrate the scope.
    fn handle_slot_request(
        &mut self,
        now: Moment,
        sender: &MessageSender,
        request: SlotRequestMessage,
        effects: &mut EffectBuffer,
    ) {
        let scope = message::scope_of(request.profile.service, request.data_centre);
        if !self.is_elected(scope) {
            let refuse =
                RefuseMessage { ask: request.ask, reason: RefuseReason::NotArbiter, retry_ms: 0 };
            let message = PeerMessage::Refuse(refuse);
            effects.push(Effect::Send { to: sender.name.clone(), message });
            return;
        }
        self.ensure_arbiter(now, scope, effects);
        let Some(arbiter) = self.arbiters.get_mut(&scope) else {
            return;
        };
        let slot_request = SlotRequest {
            key: RequestKey { vm: sender.name.clone(), ask: request.ask },
            profile: request.profile,
            deadline: now + Duration::from_millis(u64::from(request.deadline_ms)),
            waited: Duration::from_millis(u64::from(request.waited_ms)),
        };
        arbiter.request_slot(now, slot_request, &mut self.rng, &mut self.verdicts);
    }

    /// Handles a slot that a peer returned.
    fn handle_release(&mut self, now: Moment, sender: &MessageSender, release: &ReleaseMessage) {
        if let Some(arbiter) = self.arbiters.get_mut(&release.scope) {
            let (verdicts, notices) = (&mut self.verdicts, &mut self.notices);
            arbiter.release(now, &sender.name, release, verdicts, notices);
        }
    }

    /// Records a slot that a peer uses and that an earlier arbiter granted.
    fn handle_held_slot(
        &mut self,
        now: Moment,
        sender: &MessageSender,
        holding: HeldSlotMessage,
        effects: &mut EffectBuffer,
    ) {
        let scope = message::scope_of(holding.profile.service, holding.data_centre);
        if !self.is_elected(scope) {
            return;
        }
        self.ensure_arbiter(now, scope, effects);
        let key = RequestKey { vm: sender.name.clone(), ask: holding.ask };
        let running = Duration::from_millis(u64::from(holding.running_ms));
        if let Some(arbiter) = self.arbiters.get_mut(&scope) {
            arbiter.record_held_slot(now, key, holding.target, &holding.profile, running);
        }
    }

    /// Records that a peer queued a slot request of this VM, which then waits until its deadline.
    fn handle_queued(&mut self, sender: &MessageSender, ask: RequestRef) {
        if !self.is_for_this_incarnation(ask) {
            return;
        }
        let Some(record) = self.requests.get_mut(ask.sequence) else {
            return;
        };
        let deadline = record.deadline;
        let source = SlotSource::Peer(sender.name.clone());
        let Some(slot) = record.slot.as_mut().filter(|slot| slot.source == source) else {
            return;
        };
        if slot.target.is_none() {
            slot.acknowledged = true;
            self.requests.set_wake(ask.sequence, Some(deadline));
        }
    }

    /// Handles a peer's refusal of a slot request of this VM.
    fn handle_peer_refusal(
        &mut self,
        now: Moment,
        sender: &MessageSender,
        refuse: &RefuseMessage,
        effects: &mut EffectBuffer,
    ) {
        if !self.is_for_this_incarnation(refuse.ask) {
            return;
        }
        let source = SlotSource::Peer(sender.name.clone());
        let retry = Duration::from_millis(u64::from(refuse.retry_ms));
        let verdict = (refuse.reason, retry);
        self.handle_refusal(now, refuse.ask.sequence, &source, verdict, effects);
    }

    /// Sends the configuration in force to a peer that requested it.
    fn send_configuration(&mut self, sender: &MessageSender, effects: &mut EffectBuffer) {
        if let Some(text) = self.configuration.in_force() {
            let message = PeerMessage::ConfigurationPush(text.clone());
            effects.push(Effect::Send { to: sender.name.clone(), message });
        }
    }

    /// Applies a new revision of the configuration to the arbiters, and announces it to the peers
    /// at once.
    pub(crate) fn apply_configuration(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let catalog = self.configuration.catalog();
        let scopes = catalog.scopes();
        for (scope, arbiter) in &mut self.arbiters {
            if scopes.contains(scope) {
                arbiter.configure(catalog);
            }
        }
        let removed: Vec<_> =
            self.arbiters.keys().filter(|scope| !scopes.contains(scope)).copied().collect();
        for scope in removed {
            if let Some(mut arbiter) = self.arbiters.remove(&scope) {
                for key in arbiter.drain_waiting() {
                    let kind = crate::slot_request::VerdictKind::Refuse(
                        RefuseReason::ServiceGone,
                        Duration::ZERO,
                    );
                    self.verdicts.push(crate::slot_request::ArbiterVerdict { key, kind });
                }
            }
        }
        self.elect(now, effects);
        self.send_heartbeats(now, effects);
    }
}
