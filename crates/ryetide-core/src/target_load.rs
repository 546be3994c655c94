//! What is believed about one target that all entry VMs share: who runs what there, how fast it is,
//! and when a request sent now would get its first event.

use std::{
    collections::{BTreeMap, HashMap},
    net,
    time::Duration,
};

use crate::{
    ids::{
        DataCentreName, RequestSequence, ServiceName, TargetKey, TargetLife, TargetName,
        VersionName, VmName,
    },
    limit_part::TargetLimit,
    load_digest::TargetMark,
    pace::{AssumedPace, PaceEstimate, TargetPace},
    place_turn::{FreedPlace, PlaceGiver},
    prompt_memory::PromptMemory,
    target_health::TargetHealth,
    units::{Moment, Tokens},
};

/// A peer's mark is believed for this long after it came: three missed digests at their slowest.
const MARK_LIFE: Duration = Duration::from_millis(1_500);
/// A run counts as stalled when nothing at all came from its target for this long beyond what was
/// expected: twice the longest pause that a full engine was seen to make.
const STALL_SPAN: Duration = Duration::from_millis(800);
/// Estimates that stand for less than this part of an observation are not worth telling.
const TOLD_WEIGHT: f32 = 0.2;
/// How fast the mean time of whole answers follows new ones.
const ANSWER_WEIGHT: f64 = 0.1;
/// The time a whole answer is assumed to take before any was observed.
const ASSUMED_ANSWER: Duration = Duration::from_millis(50);

/// One target as the platform's registry has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Its name.
    pub name: TargetName,
    /// Which of the lives that have had this name.
    pub life: TargetLife,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The version of its software.
    pub version: VersionName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
}

impl TargetEntry {
    /// Returns the key of this life of the target.
    pub fn key(&self) -> TargetKey {
        TargetKey::of_life(&self.name, self.life)
    }
}

/// One request that this VM has at the target.
#[derive(Clone, Debug)]
struct OwnRun {
    sent: Moment,
    /// Prompt tokens to be read for it.
    tokens: Tokens,
    /// Prompt tokens that were to be read before and with it.
    queue: Tokens,
    /// When its first event was expected.
    expected_first: Duration,
    first: Option<Moment>,
}

impl OwnRun {
    /// The tokens that are probably not read yet.
    fn unread(&self, now: Moment) -> u64 {
        if self.first.is_some() {
            return 0;
        }
        let expected = self.expected_first.as_secs_f64().max(1e-3);
        let left = 1.0 - now.since(self.sent).as_secs_f64() / expected;
        (self.tokens.0 as f64 * left.clamp(0.0, 1.0)) as u64
    }
}

/// What is believed about one target.
#[derive(Debug)]
pub struct TargetLoad {
    entry: TargetEntry,
    key: TargetKey,
    pace: TargetPace,
    estimate: PaceEstimate,
    health: TargetHealth,
    memory: PromptMemory,
    runs: HashMap<RequestSequence, OwnRun>,
    peers: BTreeMap<VmName, (Moment, TargetMark)>,
    answer: Duration,
    freed: FreedPlace,
    limit: TargetLimit,
}

impl TargetLoad {
    /// Creates the belief about a target of which nothing was observed, known since `now`.
    pub fn new(now: Moment, entry: TargetEntry, assumed: &AssumedPace) -> Self {
        Self {
            key: entry.key(),
            entry,
            pace: TargetPace::default(),
            estimate: PaceEstimate::of(assumed, []),
            health: TargetHealth::default(),
            memory: PromptMemory::default(),
            runs: HashMap::new(),
            peers: BTreeMap::new(),
            answer: ASSUMED_ANSWER,
            freed: FreedPlace { at: now, by: PlaceGiver::Nobody },
            limit: TargetLimit::None,
        }
    }

    /// Returns when a place was last given back here, and by whom.
    pub fn freed(&self) -> &FreedPlace {
        &self.freed
    }

    /// Returns the registry's entry.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Returns the target's key.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// Replaces the registry's entry; what was learnt is kept.
    pub fn set_entry(&mut self, entry: TargetEntry) {
        self.entry = entry;
    }

    /// Returns the target's health.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Returns the target's health, to note an outcome.
    pub fn health_mut(&mut self) -> &mut TargetHealth {
        &mut self.health
    }

    /// Returns the prompts that the target is reckoned to hold.
    pub fn memory_mut(&mut self) -> &mut PromptMemory {
        &mut self.memory
    }

    /// Returns the target's speed as all VMs have learnt it.
    pub fn estimate(&self) -> &PaceEstimate {
        &self.estimate
    }

    /// Returns the mean time of a whole answer.
    pub fn answer_time(&self) -> Duration {
        self.answer
    }

    /// Returns the requests that all VMs have at the target, as far as heard.
    pub fn running(&self, now: Moment) -> u32 {
        let own = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        own + self.marks(now).map(|mark| u32::from(mark.running)).sum::<u32>()
    }

    /// Returns whether this VM knows something of the target that peers may want: what it has there, how fast the
    /// target is, or that it is in doubt.
    pub fn has_news(&self, now: Moment) -> bool {
        let report = self.pace.report(now);
        let has_learnt = report.prompt.weight.max(report.event.weight) > TOLD_WEIGHT;
        has_learnt || !self.runs.is_empty() || self.is_doubted_here(now)
    }

    /// Returns the places left.
    pub fn free_places(&self, now: Moment) -> u32 {
        self.entry.slots.saturating_sub(self.running(now))
    }

    /// Returns the prompt tokens of all VMs that the target has not read yet.
    pub fn unread(&self, now: Moment) -> u64 {
        let own: u64 = self.runs.values().map(|run| run.unread(now)).sum();
        let read_one = self.estimate.prompt_token.as_secs_f64().max(1e-9);
        let live = self.peers.values().filter(|(at, _)| now.since(*at) < MARK_LIFE);
        let of_peers = live.map(|(at, mark)| {
            let read = now.since(*at).as_secs_f64() / read_one;
            u64::from(mark.unread).saturating_sub(read as u64)
        });
        own + of_peers.sum::<u64>()
    }

    /// Returns the tokens of a prompt that the target would have to read.
    pub fn tokens_to_read(&self, now: Moment, prompt: Tokens, part: Option<u32>) -> Tokens {
        if part.is_some_and(|part| self.memory.holds(now, part)) { Tokens(0) } else { prompt }
    }

    /// Returns the time from a dispatch now to the first event, when a place is free.
    pub fn first_event(&self, now: Moment, assumed: &AssumedPace, tokens: Tokens) -> Duration {
        assumed.overhead + self.estimate.reading_time(self.unread(now) + tokens.0)
    }

    /// Returns whether a peer or this VM doubts the target: it could not be reached, or nothing has come from it
    /// for too long while something should have.
    pub fn is_doubtful(&self, now: Moment) -> bool {
        self.is_doubted_here(now) || self.marks(now).any(|mark| mark.doubtful)
    }

    /// Returns whether the target may be given new work: not while it is passed over, and one request at a time
    /// until it is known to be reached again.
    pub fn may_get(&self, now: Moment) -> bool {
        let probed = self.health.is_suspect() && !self.runs.is_empty();
        !self.entry.leaving && !self.health.is_paused(now) && !probed && self.limit.permits(now)
    }

    /// Returns how much of what the target takes is this VM's.
    pub fn limit(&self) -> TargetLimit {
        self.limit
    }

    /// Returns the same, to change it.
    pub fn limit_mut(&mut self) -> &mut TargetLimit {
        &mut self.limit
    }

    fn is_doubted_here(&self, now: Moment) -> bool {
        self.is_stalled(now) || self.health.is_suspect()
    }

    fn is_stalled(&self, now: Moment) -> bool {
        self.runs.values().any(|run| {
            let wait = if run.first.is_some() { Duration::ZERO } else { run.expected_first * 2 };
            let since = run.sent.max(self.health.heard_at());
            now.since(since) > wait + STALL_SPAN
        })
    }

    /// Notes that a request was sent.
    pub fn begin(
        &mut self,
        now: Moment,
        assumed: &AssumedPace,
        ticket: RequestSequence,
        tokens: Tokens,
    ) {
        self.limit.take(now);
        let queue = Tokens(self.unread(now) + tokens.0);
        let expected_first = self.first_event(now, assumed, tokens);
        let run = OwnRun { sent: now, tokens, queue, expected_first, first: None };
        self.runs.insert(ticket, run);
    }

    /// Notes the first event of a stream, and learns from it.
    pub fn note_first(&mut self, now: Moment, assumed: &AssumedPace, ticket: RequestSequence) {
        self.health.note_heard(now);
        let Some(run) = self.runs.get_mut(&ticket).filter(|run| run.first.is_none()) else {
            return;
        };
        run.first = Some(now);
        let (queue, waited) = (run.queue, now.since(run.sent));
        self.pace.note_first(now, assumed, queue, waited);
    }

    /// Notes a further event of a stream.
    pub fn note_event(&mut self, now: Moment, pause: Duration) {
        self.health.note_heard(now);
        self.pace.note_event(now, pause);
    }

    /// Notes that a request has ended. A whole answer's time is learnt.
    pub fn end(&mut self, now: Moment, ticket: RequestSequence, whole: bool) {
        let Some(run) = self.runs.remove(&ticket) else { return };
        self.freed = FreedPlace { at: now, by: PlaceGiver::Own };
        if whole {
            let taken = now.since(run.sent).as_secs_f64();
            let mean = self.answer.as_secs_f64();
            self.answer = Duration::from_secs_f64(mean + (taken - mean) * ANSWER_WEIGHT);
        }
    }

    /// Takes what a peer says of the target.
    pub fn take_mark(&mut self, now: Moment, peer: &VmName, mut mark: TargetMark) {
        let told_before = self.peers.get(peer).and_then(|(_, before)| before.pace);
        mark.pace = mark.pace.or(told_before);
        let before = self.peers.insert(peer.clone(), (now, mark));
        self.note_freed(now, peer, before, mark.running);
    }

    /// Forgets what a peer said: it is gone, or says nothing of the target any more.
    pub fn forget_mark(&mut self, now: Moment, peer: &VmName) {
        let before = self.peers.remove(peer);
        self.note_freed(now, peer, before, 0);
    }

    fn note_freed(
        &mut self,
        now: Moment,
        peer: &VmName,
        before: Option<(Moment, TargetMark)>,
        running: u16,
    ) {
        if before.is_some_and(|(_, mark)| mark.running > running) {
            self.freed = FreedPlace { at: now, by: PlaceGiver::Peer(peer.clone()) };
        }
    }

    /// Puts what all VMs have learnt of the speed together.
    pub fn refresh(&mut self, now: Moment, assumed: &AssumedPace) {
        let own = self.pace.report(now);
        let peers = self.marks(now).filter_map(|mark| mark.pace);
        self.estimate = PaceEstimate::of(assumed, peers.chain([own]));
    }

    /// Returns what this VM tells its peers of the target.
    pub fn mark(&self, now: Moment) -> TargetMark {
        let unread: u64 = self.runs.values().map(|run| run.unread(now)).sum();
        TargetMark {
            target: self.key,
            running: u16::try_from(self.runs.len()).unwrap_or(u16::MAX),
            unread: u32::try_from(unread).unwrap_or(u32::MAX),
            doubtful: self.is_doubted_here(now),
            pace: Some(self.pace.report(now)),
        }
    }

    fn marks(&self, now: Moment) -> impl Iterator<Item = &TargetMark> {
        let live = self.peers.values().filter(move |(at, _)| now.since(*at) < MARK_LIFE);
        live.map(|(_, mark)| mark)
    }
}
