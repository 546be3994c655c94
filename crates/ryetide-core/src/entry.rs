//! The decision core of one entry VM: a deterministic state machine without I/O.
//!
//! [`EntryCore::step`] takes the current time and one event, and pushes effects. It owns no
//! sockets, clocks, threads or logs, and its random number generator is seeded, so the same events
//! always produce the same effects: in the daemon, in scripts, in the fault matrix and in fuzzers.
//!
//! The rest of `EntryCore` is implemented in the `entry_*` modules: `entry_admission` checks
//! requests and claims their keys, `entry_slot` asks arbiters for slots, `entry_dispatch` sends
//! requests to targets and reassembles their answers, and `entry_peer` exchanges messages with the
//! other entry VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    arbiter::ScopeArbiter,
    chart::{self, DrainEvent, DrainState, RequestState},
    claim::ClaimManager,
    configuration::ConfigurationManager,
    crash_ledger::CrashLedger,
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry_quarantine::UndecidedRequest,
    event::{Event, ListedVm, TableAnswer},
    ids::{DataCentreName, Incarnation, RequestSequence, ScopeKey, TableToken, TargetKey, VmName},
    membership::PeerTable,
    message::{IncarnationTag, MessageSender},
    request::RequestTable,
    safeguard::SafeguardSwitches,
    slot_request::ArbiterVerdict,
    target_limit::LimitTable,
    target_notice::LeavingNotices,
    units::{Moment, Revision},
};

/// The longest time between two steps, and the interval of periodic work.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of due requests that one step handles; the next step handles the rest.
const WAKE_LIMIT: usize = 256;

/// The options that an entry VM starts with.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryOptions {
    /// The VM's name.
    pub name: VmName,
    /// The VM's data centre.
    pub data_centre: DataCentreName,
    /// The incarnation of the VM's process: one run, from start to exit.
    pub incarnation: Incarnation,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Peers from the settings, for a start while the platform's list of VMs is unavailable.
    pub peers: Vec<ConfiguredPeer>,
    /// The safeguards that are enabled; mutation tests disable them one at a time.
    pub switches: SafeguardSwitches,
}

impl EntryOptions {
    /// Creates options without peers from the settings.
    pub fn new(name: VmName, data_centre: DataCentreName, incarnation: Incarnation) -> Self {
        Self {
            name,
            data_centre,
            incarnation,
            seed: incarnation.0,
            peers: Vec::new(),
            switches: SafeguardSwitches::default(),
        }
    }

    /// Sets the seed of the random number generator.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the peers from the settings.
    pub fn with_peers(mut self, peers: Vec<ConfiguredPeer>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets which safeguards are enabled.
    pub fn with_switches(mut self, switches: SafeguardSwitches) -> Self {
        self.switches = switches;
        self
    }
}

/// A peer VM from the settings.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfiguredPeer {
    /// The peer's name.
    pub name: VmName,
    /// The peer's data centre.
    pub data_centre: DataCentreName,
    /// The address that the peer listens on.
    pub address: net::SocketAddr,
}

/// The status of an entry VM, for operators.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryStatus {
    /// The VM's name.
    pub name: VmName,
    /// The configuration revision in force; 0 if there is none.
    pub revision: Revision,
    /// Whether the VM serves, drains or has finished draining.
    pub drain: DrainState,
    /// The number of open requests in each state.
    pub requests: BTreeMap<RequestState, usize>,
    /// The number of claims on idempotency keys that are still open.
    pub claims: usize,
    /// Peers that are alive, with the revision in force at each.
    pub peers: BTreeMap<VmName, Revision>,
    /// Known peers that are not alive.
    pub silent_peers: Vec<VmName>,
    /// The scopes that this VM arbitrates, either for all VMs or over its own share.
    pub scopes: Vec<ScopeStatus>,
    /// The number of quarantined requests: requests that crash targets and are sent to none.
    #[serde(default)]
    pub quarantined: usize,
}

/// The status of an arbiter's scope.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ScopeStatus {
    /// The service's name.
    pub service: String,
    /// The data centre's name.
    pub data_centre: String,
    /// Whether this VM arbitrates for all VMs (`true`) or only over its own share (`false`).
    pub elected: bool,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The number of slots in use.
    pub held: usize,
}

/// The decision core of one entry VM.
///
/// # Example
///
/// ```
/// use ryetide_core::{effect::{Effect, EffectBuffer}, entry::{EntryCore, EntryOptions}};
/// use ryetide_core::{event::Event, ids::{DataCentreName, Incarnation, VmName}, units::Moment};
///
/// let options =
///     EntryOptions::new(VmName::from("e1"), DataCentreName::from("hall-a"), Incarnation(1));
/// let mut core = EntryCore::new(options);
/// let mut effects = EffectBuffer::new(1024);
/// core.step(Moment::from_millis(1), Event::Tick, &mut effects);
/// assert!(effects.drain().any(|effect| matches!(effect, Effect::Table { .. })));
/// ```
#[derive(Debug)]
pub struct EntryCore {
    pub(crate) options: EntryOptions,
    pub(crate) rng: SmallRng,
    pub(crate) requests: RequestTable,
    pub(crate) claims: ClaimManager,
    pub(crate) configuration: ConfigurationManager,
    pub(crate) peers: PeerTable,
    pub(crate) arbiters: BTreeMap<ScopeKey, ScopeArbiter>,
    /// The VM that arbitrates each scope of the catalog, as last computed.
    pub(crate) elected: BTreeMap<ScopeKey, Option<VmName>>,
    /// Targets that the platform's list marks as leaving.
    pub(crate) leaving_targets: BTreeSet<TargetKey>,
    /// Targets that announced in their answers that they are leaving.
    pub(crate) leaving_notices: LeavingNotices,
    /// The rate limits that targets announced in their answers.
    pub(crate) limits: LimitTable,
    /// Targets that announced that they are leaving and were missing from the platform's list when
    /// it was last read.
    pub(crate) unlisted_leaving: BTreeSet<TargetKey>,
    /// Crashes of targets, and the requests that were running at the time.
    pub(crate) crashes: CrashLedger,
    /// Requests held back until it is known whether they crash targets.
    pub(crate) undecided: Vec<UndecidedRequest>,
    pub(crate) watched: Vec<TargetKey>,
    pub(crate) verdicts: Vec<ArbiterVerdict>,
    pub(crate) notices: Vec<OperatorNotice>,
    pub(crate) heartbeat_at: Moment,
    drain: DrainState,
    next_token: u64,
    maintained_at: Moment,
    more_due: bool,
}

impl EntryCore {
    /// Creates the core of a VM that has just started, without a configuration.
    pub fn new(options: EntryOptions) -> Self {
        let (name, switches) = (options.name.clone(), options.switches);
        let mut peers = PeerTable::new(name.clone(), options.data_centre.clone());
        for peer in &options.peers {
            peers.add_or_update(&peer.name, &peer.data_centre, peer.address);
        }
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            requests: RequestTable::new(),
            claims: ClaimManager::new(name, options.incarnation, switches),
            configuration: ConfigurationManager::new(switches),
            peers,
            arbiters: BTreeMap::new(),
            elected: BTreeMap::new(),
            leaving_targets: BTreeSet::new(),
            leaving_notices: LeavingNotices::default(),
            limits: LimitTable::default(),
            unlisted_leaving: BTreeSet::new(),
            crashes: CrashLedger::default(),
            undecided: Vec::new(),
            watched: Vec::new(),
            verdicts: Vec::new(),
            notices: Vec::new(),
            heartbeat_at: Moment::default(),
            drain: chart::drain().initial(),
            next_token: 0,
            maintained_at: Moment::default(),
            more_due: false,
            options,
        }
    }

    /// Handles one event that happened at `now`, and pushes the resulting effects.
    ///
    /// `now` must not be earlier than in a previous step.
    pub fn step(&mut self, now: Moment, event: Event, effects: &mut EffectBuffer) {
        match event {
            Event::Tick => {}
            Event::Arrived(request) => self.admit_or_quarantine(now, request, effects),
            Event::CallerGone { sequence } => {
                self.drop_undecided(sequence);
                self.handle_caller_gone(now, sequence, effects);
            }
            Event::Connected { sequence, attempt } => {
                self.handle_connected(now, sequence, attempt, effects);
            }
            Event::ConnectFailed { sequence, attempt } => {
                self.handle_connect_failed(now, sequence, attempt, effects);
            }
            Event::TargetHead { sequence, attempt, head } => {
                self.handle_answer_head(now, sequence, attempt, head, effects);
            }
            Event::TargetPiece { sequence, attempt, offset, bytes } => {
                self.handle_answer_piece(now, sequence, attempt, offset, bytes, effects);
            }
            Event::TargetEnd { sequence, attempt, length } => {
                self.handle_answer_end(now, sequence, attempt, length, effects);
            }
            Event::TargetBroken { sequence, attempt } => {
                self.handle_stream_broken(now, sequence, attempt, effects);
            }
            Event::TargetSaid { sequence, target, word } => {
                self.target_said(now, sequence, target, word, effects);
            }
            Event::TargetCrashed { target, features, ran_ms } => {
                self.target_crashed(now, target, features, ran_ms, effects);
            }
            Event::TargetRefused { sequence, attempt, leaving } => {
                self.handle_target_refusal(now, sequence, attempt, leaving, effects);
            }
            Event::ResumeUnknown { sequence, attempt } => {
                self.handle_resume_unknown(now, sequence, attempt, effects);
            }
            Event::LoadReported { target, report } => {
                for arbiter in self.arbiters.values_mut() {
                    arbiter.record_report(now, target, &report, &mut self.notices);
                }
            }
            Event::PeerMessage { from, incarnation, address, data_centre, message } => {
                let sender = MessageSender { name: from, incarnation, address, data_centre };
                self.handle_peer_message(now, &sender, message, effects);
            }
            Event::ListRead(listed) => self.handle_list(now, &listed, effects),
            Event::TableReplied { token, answer } => {
                self.handle_table_reply(now, token, &answer, effects);
            }
            Event::Apply { operation, base, text } => {
                let token = self.take_token();
                self.configuration.apply(now, operation, base, text, token, effects);
            }
            Event::Shutdown => self.shutdown(now, effects),
        }
        self.advance(now, effects);
    }

    /// Returns when [`EntryCore::step`] must be called again if no event happens earlier.
    pub fn next_wake(&self, now: Moment) -> Moment {
        if self.more_due {
            return now;
        }
        let arbiters = self.arbiters.values().filter_map(|arbiter| arbiter.next_wake(now));
        let idle = self.maintained_at + IDLE_INTERVAL;
        let held_back = self.undecided.iter().map(|waiting| waiting.until).min();
        let wakes = arbiters.chain(self.requests.next_wake()).chain(held_back);
        wakes.chain([idle]).min().unwrap_or(idle).max(now)
    }

    /// Returns the status of this VM.
    pub fn status(&self) -> EntryStatus {
        let mut requests = BTreeMap::new();
        for (_, record) in self.requests.iter() {
            *requests.entry(record.state).or_insert(0) += 1;
        }
        let alive = self.peers.alive().map(|peer| (peer.name.clone(), peer.revision)).collect();
        let silent = self.peers.iter().filter(|peer| peer.state != chart::PeerState::Alive);
        EntryStatus {
            name: self.options.name.clone(),
            revision: self.configuration.revision(),
            drain: self.drain,
            requests,
            claims: self.claims.open_claims(),
            peers: alive,
            silent_peers: silent.map(|peer| peer.name.clone()).collect(),
            scopes: self.arbiters.values().map(|arbiter| self.scope_status(arbiter)).collect(),
            quarantined: self.crashes.quarantine_count(),
        }
    }

    fn scope_status(&self, arbiter: &ScopeArbiter) -> ScopeStatus {
        let scope = arbiter.scope();
        let catalog = self.configuration.catalog();
        let service = catalog.service(scope.service);
        let centre = catalog.targets_of(scope).next().map(|target| target.data_centre.to_string());
        ScopeStatus {
            service: service.map(|rule| rule.name.to_string()).unwrap_or_default(),
            data_centre: centre.unwrap_or_default(),
            elected: self.is_elected(scope),
            waiting: arbiter.waiting(),
            held: arbiter.held(),
        }
    }

    /// Returns the VM's name.
    pub fn name(&self) -> &VmName {
        &self.options.name
    }

    /// Returns the configuration, for operators.
    pub fn configuration(&self) -> &ConfigurationManager {
        &self.configuration
    }

    /// Returns the arbiter that this VM runs for `scope`, for measurements.
    pub fn arbiter(&self, scope: ScopeKey) -> Option<&ScopeArbiter> {
        self.arbiters.get(&scope)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain != DrainState::Serving
    }

    pub(crate) fn is_elected(&self, scope: ScopeKey) -> bool {
        let elected = self.elected.get(&scope).and_then(Option::as_ref);
        elected == Some(&self.options.name)
    }

    pub(crate) fn take_token(&mut self) -> TableToken {
        self.next_token += 1;
        TableToken(self.next_token)
    }

    pub(crate) fn incarnation_tag(&self) -> IncarnationTag {
        IncarnationTag(self.options.incarnation.0 as u16)
    }

    /// Handles everything that is due at `now`, and delivers the arbiters' decisions.
    fn advance(&mut self, now: Moment, effects: &mut EffectBuffer) {
        self.more_due = false;
        self.admit_decided(now, effects);
        for _ in 0..WAKE_LIMIT {
            if !effects.has_room() {
                break;
            }
            let Some(sequence) = self.requests.pop_due(now) else {
                break;
            };
            self.handle_due(now, sequence, effects);
        }
        if now.since(self.maintained_at) >= IDLE_INTERVAL || self.maintained_at == Moment(0) {
            self.maintain(now, effects);
        }
        let scopes: Vec<ScopeKey> = self.arbiters.keys().copied().collect();
        for scope in scopes {
            if let Some(arbiter) = self.arbiters.get_mut(&scope) {
                arbiter.advance(now, &mut self.rng, &mut self.verdicts);
            }
        }
        self.deliver_verdicts(now, effects);
        let quarantines = self.crashes.take_changes().into_iter().map(OperatorNotice::Quarantine);
        for notice in self.notices.drain(..).chain(quarantines) {
            effects.push(Effect::Note(notice));
        }
        self.more_due = self.requests.next_wake().is_some_and(|at| at <= now);
        self.finish_drain(effects);
    }

    /// Does periodic work: sends heartbeats, finds silent peers, reads the configuration row of the
    /// table service, and drops outcomes, crash records and target notices that are too old.
    fn maintain(&mut self, now: Moment, effects: &mut EffectBuffer) {
        if self.maintained_at == Moment(0) {
            effects.push(Effect::ConnectPeers(self.peers.addresses()));
        }
        self.maintained_at = now.max(Moment(1));
        self.expire_silent_peers(now, effects);
        if now >= self.heartbeat_at {
            self.send_heartbeats(now, effects);
        }
        let vm_count = self.peers.known_count();
        let next_token = &mut self.next_token;
        let mut tokens = || {
            *next_token += 1;
            TableToken(*next_token)
        };
        self.configuration.advance(now, vm_count, &mut tokens, effects);
        self.claims.advance(now);
        self.crashes.age(now);
        self.expire_leaving_notices(now);
        self.expire_limits(now);
    }

    fn handle_table_reply(
        &mut self,
        now: Moment,
        token: TableToken,
        answer: &TableAnswer,
        effects: &mut EffectBuffer,
    ) {
        if let Some(sequence) = self.claims.request_of(token) {
            self.handle_claim_answer(now, sequence, answer, effects);
            return;
        }
        let next_token = &mut self.next_token;
        let mut tokens = || {
            *next_token += 1;
            TableToken(*next_token)
        };
        let handling =
            self.configuration.handle_table_answer(now, token, answer, &mut tokens, effects);
        if handling.adopted {
            self.apply_configuration(now, effects);
        }
    }

    /// Handles the platform's list of VMs: updates the peers, and which targets are leaving.
    fn handle_list(&mut self, now: Moment, listed: &[ListedVm], effects: &mut EffectBuffer) {
        if self.peers.apply_list(listed) {
            effects.push(Effect::ConnectPeers(self.peers.addresses()));
            self.elect(now, effects);
        }
        if !self.options.switches.leaving_respected {
            return;
        }
        let targets = listed.iter().filter(|vm| vm.peer_address.is_none());
        let keyed = targets.map(|vm| (TargetKey::of(&vm.name.as_str().into()), vm.leaving));
        let keyed: Vec<(TargetKey, bool)> = keyed.collect();
        let names: BTreeSet<TargetKey> = keyed.iter().map(|(key, _)| *key).collect();
        let leaving: BTreeSet<TargetKey> =
            keyed.iter().filter(|(_, leaves)| *leaves).map(|(key, _)| *key).collect();
        self.clear_outdated_notices(&names, &leaving);
        let staying = self.leaving_targets.difference(&leaving).copied();
        let staying: Vec<TargetKey> =
            staying.filter(|key| !self.leaving_notices.contains(*key)).collect();
        for arbiter in self.arbiters.values_mut() {
            for key in &leaving {
                arbiter.set_leaving(*key, true, &mut self.notices);
            }
            for key in &staying {
                arbiter.set_leaving(*key, false, &mut self.notices);
            }
        }
        self.leaving_targets = leaving;
    }

    /// Starts draining: requests that are not yet dispatched are answered immediately, and
    /// dispatched ones run to completion.
    fn shutdown(&mut self, now: Moment, effects: &mut EffectBuffer) {
        if !chart::drain().advance(&mut self.drain, DrainEvent::Shutdown) {
            return;
        }
        // Admission refuses every request while this VM drains, so these are answered immediately.
        for waiting in std::mem::take(&mut self.undecided) {
            self.admit(now, waiting.request, waiting.features, effects);
        }
        let waiting: Vec<RequestSequence> = self
            .requests
            .iter()
            .filter(|(_, record)| record.is_before_dispatch())
            .map(|(sequence, _)| sequence)
            .collect();
        for sequence in waiting {
            self.finish_draining(now, sequence, effects);
        }
        self.peers.set_leaving();
        self.elect(now, effects);
        self.send_heartbeats(now, effects);
    }

    fn finish_drain(&mut self, effects: &mut EffectBuffer) {
        let idle = self.requests.is_empty() || !self.options.switches.drain_waits;
        if self.drain == DrainState::Draining && idle {
            chart::drain().advance(&mut self.drain, DrainEvent::Idle);
            effects.push(Effect::Drained);
        }
    }
}
