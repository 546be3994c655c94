//! The decision core of one entry VM.
//!
//! [`EntryCore::step`] takes the present moment and one event, and pushes effects. It owns no
//! sockets, clocks, threads or logs, and its randomness is seeded, so the same events give the same
//! effects: in the daemon, in scripts, in the fault matrix and in fuzzers.
//!
//! The decisions live in modules of their own; the files beside this one join them:
//! `entry_admission` takes requests in, `entry_slot` asks for slots, `entry_dispatch` sends requests
//! and puts answers together, `entry_peer` meets the other entry VMs.

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
    claim::ClaimKeeper,
    configuration::ConfigurationKeeper,
    crash_ledger::CrashLedger,
    effect::{Effect, EffectBuffer, Notice},
    entry_standing::UnsettledRequest,
    event::{Event, ListedVm, TableAnswer},
    ids::{DataCentreName, Incarnation, RequestSequence, ScopeKey, TableToken, TargetKey, VmName},
    membership::PeerTable,
    message::{LifeMark, MessageSender},
    request::RequestTable,
    safeguard::SafeguardSwitches,
    target_limit::LimitBook,
    target_word::LeavingWords,
    units::{Moment, Revision},
    verdict::ArbiterVerdict,
};

/// How often the core looks for what is due when nothing nearer is.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// The most requests woken in one step; the rest follow in the next.
const WAKE_LIMIT: usize = 256;

/// What an entry VM is told when it starts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryOptions {
    /// The VM's name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// The seed of its randomness.
    pub seed: u64,
    /// Peers known from the settings, for a start while the platform's list is away.
    pub peers: Vec<KnownPeer>,
    /// Safeguards; all on but in mutation tests.
    pub switches: SafeguardSwitches,
}

impl EntryOptions {
    /// Creates options without known peers.
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

    /// Sets the seed of the randomness.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the peers known from the settings.
    pub fn with_peers(mut self, peers: Vec<KnownPeer>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the safeguards.
    pub fn with_switches(mut self, switches: SafeguardSwitches) -> Self {
        self.switches = switches;
        self
    }
}

/// A peer named in the settings.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownPeer {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// What an entry VM can say of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: VmName,
    /// The revision in force; 0 when none is.
    pub revision: Revision,
    /// Whether it serves, drains or is done.
    pub drain: DrainState,
    /// Requests held, by state.
    pub requests: BTreeMap<RequestState, usize>,
    /// Claims not settled.
    pub claims: usize,
    /// Peers heard lately, with the revision in force there.
    pub peers: BTreeMap<VmName, Revision>,
    /// Peers known and not heard.
    pub silent_peers: Vec<VmName>,
    /// The scopes that it arbitrates, or serves from its own share.
    pub scopes: Vec<ScopeStatus>,
    /// Requests that are sent to no target, since they crash them.
    #[serde(default)]
    pub quarantined: usize,
}

/// What an arbiter can say of its scope.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ScopeStatus {
    /// The service's name.
    pub service: String,
    /// The data centre's name.
    pub data_centre: String,
    /// Whether this VM arbitrates for all, or only over its own share.
    pub elected: bool,
    /// Requests that wait.
    pub waiting: usize,
    /// Slots in use.
    pub held: usize,
}

/// The decision core of one entry VM.
///
/// # Example
///
/// ```
/// use ryetide_core::{entry::{EntryCore, EntryOptions}, effect::{Effect, EffectBuffer}, event::Event};
/// use ryetide_core::{ids::{DataCentreName, Incarnation, VmName}, units::Moment};
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
    pub(crate) claims: ClaimKeeper,
    pub(crate) configuration: ConfigurationKeeper,
    pub(crate) peers: PeerTable,
    pub(crate) arbiters: BTreeMap<ScopeKey, ScopeArbiter>,
    /// Who arbitrates each scope of the catalog, as last computed.
    pub(crate) elected: BTreeMap<ScopeKey, Option<VmName>>,
    /// Targets that the platform's list says are leaving.
    pub(crate) leaving_targets: BTreeSet<TargetKey>,
    /// Targets that have said in their answers that they leave.
    pub(crate) words: LeavingWords,
    /// What targets have said of their limits.
    pub(crate) limits: LimitBook,
    /// Those of them that the platform's list did not name when it was read last.
    pub(crate) unlisted_words: BTreeSet<TargetKey>,
    /// Which requests ended in crashes of targets.
    pub(crate) crashes: CrashLedger,
    /// Requests that wait until it is known what they have to do with crashes.
    pub(crate) unsettled: Vec<UnsettledRequest>,
    pub(crate) watched: Vec<TargetKey>,
    pub(crate) verdicts: Vec<ArbiterVerdict>,
    pub(crate) notices: Vec<Notice>,
    pub(crate) heartbeat_at: Moment,
    drain: DrainState,
    next_token: u64,
    maintained_at: Moment,
    more_due: bool,
}

impl EntryCore {
    /// Creates the core of a VM that has just started.
    pub fn new(options: EntryOptions) -> Self {
        let (name, switches) = (options.name.clone(), options.switches);
        let mut peers = PeerTable::new(name.clone(), options.data_centre.clone());
        for peer in &options.peers {
            peers.list(&peer.name, &peer.data_centre, peer.address);
        }
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            requests: RequestTable::new(),
            claims: ClaimKeeper::new(name, options.incarnation, switches),
            configuration: ConfigurationKeeper::new(switches),
            peers,
            arbiters: BTreeMap::new(),
            elected: BTreeMap::new(),
            leaving_targets: BTreeSet::new(),
            words: LeavingWords::default(),
            limits: LimitBook::default(),
            unlisted_words: BTreeSet::new(),
            crashes: CrashLedger::default(),
            unsettled: Vec::new(),
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

    /// Takes one event that happened at `now`, and pushes what is to be done about it.
    ///
    /// `now` must not lie before the moment of an earlier step.
    pub fn step(&mut self, now: Moment, event: Event, effects: &mut EffectBuffer) {
        match event {
            Event::Tick => {}
            Event::Arrived(request) => self.take_in(now, request, effects),
            Event::CallerGone { sequence } => {
                self.forget_unsettled(sequence);
                self.caller_gone(now, sequence, effects);
            }
            Event::Connected { sequence, attempt } => {
                self.connected(now, sequence, attempt, effects);
            }
            Event::ConnectFailed { sequence, attempt } => {
                self.connect_failed(now, sequence, attempt, effects);
            }
            Event::TargetHead { sequence, attempt, head } => {
                self.target_head(now, sequence, attempt, head, effects);
            }
            Event::TargetPiece { sequence, attempt, offset, bytes } => {
                self.target_piece(now, sequence, attempt, offset, bytes, effects);
            }
            Event::TargetEnd { sequence, attempt, length } => {
                self.target_end(now, sequence, attempt, length, effects);
            }
            Event::TargetBroken { sequence, attempt } => {
                self.target_broken(now, sequence, attempt, effects);
            }
            Event::TargetSaid { sequence, target, word } => {
                self.target_said(now, sequence, target, word, effects);
            }
            Event::TargetCrashed { target, print, ran_ms } => {
                self.target_crashed(now, target, print, ran_ms, effects);
            }
            Event::TargetRefused { sequence, attempt, leaving } => {
                self.target_refused(now, sequence, attempt, leaving, effects);
            }
            Event::ResumeUnknown { sequence, attempt } => {
                self.resume_unknown(now, sequence, attempt, effects);
            }
            Event::LoadReported { target, report } => {
                for arbiter in self.arbiters.values_mut() {
                    arbiter.note_report(now, target, &report, &mut self.notices);
                }
            }
            Event::PeerMessage { from, incarnation, address, data_centre, message } => {
                let sender = MessageSender { name: from, incarnation, address, data_centre };
                self.peer_message(now, &sender, message, effects);
            }
            Event::ListRead(listed) => self.list_read(now, &listed, effects),
            Event::TableReplied { token, answer } => {
                self.table_replied(now, token, &answer, effects);
            }
            Event::Apply { operation, base, text } => {
                let token = self.take_token();
                self.configuration.apply(now, operation, base, text, token, effects);
            }
            Event::Shutdown => self.shutdown(now, effects),
        }
        self.advance(now, effects);
    }

    /// Returns when [`EntryCore::step`] must be called again if no event comes before.
    pub fn next_wake(&self, now: Moment) -> Moment {
        if self.more_due {
            return now;
        }
        let arbiters = self.arbiters.values().filter_map(|arbiter| arbiter.next_wake(now));
        let idle = self.maintained_at + IDLE_INTERVAL;
        let settled = self.unsettled.iter().map(|waiting| waiting.until).min();
        let wakes = arbiters.chain(self.requests.next_wake()).chain(settled);
        wakes.chain([idle]).min().unwrap_or(idle).max(now)
    }

    /// Returns what this VM can say of itself.
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
    pub fn configuration(&self) -> &ConfigurationKeeper {
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

    pub(crate) fn life(&self) -> LifeMark {
        LifeMark(self.options.incarnation.0 as u16)
    }

    /// Does what has fallen due.
    fn advance(&mut self, now: Moment, effects: &mut EffectBuffer) {
        self.more_due = false;
        self.settle(now, effects);
        for _ in 0..WAKE_LIMIT {
            if !effects.has_room() {
                break;
            }
            let Some(sequence) = self.requests.pop_due(now) else {
                break;
            };
            self.request_due(now, sequence, effects);
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
        let news = self.crashes.take_news().into_iter().map(Notice::Quarantine);
        for notice in self.notices.drain(..).chain(news) {
            effects.push(Effect::Note(notice));
        }
        self.more_due = self.requests.next_wake().is_some_and(|at| at <= now);
        self.finish_drain(effects);
    }

    /// Regular work: heartbeats, silent peers, the table's row, old outcomes.
    fn maintain(&mut self, now: Moment, effects: &mut EffectBuffer) {
        if self.maintained_at == Moment(0) {
            effects.push(Effect::ConnectPeers(self.peers.addresses()));
        }
        self.maintained_at = now.max(Moment(1));
        self.find_silent_peers(now, effects);
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
        self.age_words(now);
        self.age_limits(now);
    }

    fn table_replied(
        &mut self,
        now: Moment,
        token: TableToken,
        answer: &TableAnswer,
        effects: &mut EffectBuffer,
    ) {
        if let Some(sequence) = self.claims.request_of(token) {
            self.claim_answered(now, sequence, answer, effects);
            return;
        }
        let next_token = &mut self.next_token;
        let mut tokens = || {
            *next_token += 1;
            TableToken(*next_token)
        };
        let handling = self.configuration.handle_table(now, token, answer, &mut tokens, effects);
        if handling.adopted {
            self.configuration_changed(now, effects);
        }
    }

    /// Takes the platform's list: entry VMs, and targets that leave.
    fn list_read(&mut self, now: Moment, listed: &[ListedVm], effects: &mut EffectBuffer) {
        if self.peers.take_list(listed) {
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
        self.take_back_words(&names, &leaving);
        let stayed = self.leaving_targets.difference(&leaving).copied();
        let stayed: Vec<TargetKey> = stayed.filter(|key| !self.words.holds(*key)).collect();
        for arbiter in self.arbiters.values_mut() {
            for key in &leaving {
                arbiter.note_leaving(*key, true, &mut self.notices);
            }
            for key in &stayed {
                arbiter.note_leaving(*key, false, &mut self.notices);
            }
        }
        self.leaving_targets = leaving;
    }

    /// Stops taking work: what waits is answered at once, what runs is finished.
    fn shutdown(&mut self, now: Moment, effects: &mut EffectBuffer) {
        if !chart::drain().advance(&mut self.drain, DrainEvent::Shutdown) {
            return;
        }
        // Taken in again, they are told at once that this VM stops.
        for waiting in std::mem::take(&mut self.unsettled) {
            self.arrive(now, waiting.request, waiting.print, effects);
        }
        let waiting: Vec<RequestSequence> = self
            .requests
            .iter()
            .filter(|(_, record)| record.is_before_dispatch())
            .map(|(sequence, _)| sequence)
            .collect();
        for sequence in waiting {
            self.give_up_draining(now, sequence, effects);
        }
        self.peers.leave();
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
