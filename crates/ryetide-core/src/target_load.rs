//! The state of one target as this VM knows it from its own requests and from peers' reports: the
//! running requests, the speed, and the expected time to a first event.

use std::{
    collections::{BTreeMap, HashMap},
    net,
    time::Duration,
};

use crate::{
    ids::{
        DataCentreName, RequestSequence, ServiceName, TargetIncarnation, TargetKey, TargetName,
        VersionName, VmName,
    },
    limit_share::LimitShare,
    load_digest::TargetReport,
    prompt_cache::PromptCache,
    slot_turn::{FreedSlot, SlotReleaser},
    target_health::TargetHealth,
    target_speed::{AssumedSpeed, SpeedEstimate, SpeedTracker},
    units::{Moment, Tokens},
};

/// How long a peer's report remains valid: the time of three missed digests at the longest
/// interval.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// A request counts as stalled if its target sends nothing for this long after the expected time:
/// twice the longest pause observed from an engine with all slots in use.
const STALL_SPAN: Duration = Duration::from_millis(800);
/// Estimates with a weight below this fraction of one observation are not sent to peers.
const MIN_REPORTED_WEIGHT: f32 = 0.2;
/// The weight of a new observation in the mean time of whole answers.
const ANSWER_TIME_WEIGHT: f64 = 0.1;
/// The assumed time of a whole answer until one was observed.
const ASSUMED_ANSWER_TIME: Duration = Duration::from_millis(50);

/// One target as listed in the platform's registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// The target's name.
    pub name: TargetName,
    /// The incarnation of the target that has this name now.
    pub incarnation: TargetIncarnation,
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The version of the target's software.
    pub version: VersionName,
    /// The address that the target listens on.
    pub address: net::SocketAddr,
    /// The target's data centre.
    pub data_centre: DataCentreName,
    /// The number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is leaving and must get no new requests.
    pub leaving: bool,
    /// How much longer the target will be slow after its start.
    pub warmup: Duration,
}

impl TargetEntry {
    /// Returns the key of this incarnation of the target.
    pub fn key(&self) -> TargetKey {
        TargetKey::of_incarnation(&self.name, self.incarnation)
    }
}

/// One request that this VM has running at the target.
#[derive(Clone, Debug)]
struct OwnRun {
    sent: Moment,
    /// Prompt tokens that the target has to read for the request.
    tokens: Tokens,
    /// Prompt tokens that the target had to read up to and including this request's prompt.
    queue: Tokens,
    /// The expected time from sending to the first event.
    expected_first: Duration,
    first: Option<Moment>,
}

impl OwnRun {
    /// The estimated number of tokens that the target has not read yet.
    fn unread(&self, now: Moment) -> u64 {
        if self.first.is_some() {
            return 0;
        }
        let expected = self.expected_first.as_secs_f64().max(1e-3);
        let left = 1.0 - now.since(self.sent).as_secs_f64() / expected;
        (self.tokens.0 as f64 * left.clamp(0.0, 1.0)) as u64
    }
}

/// The known state of one target.
#[derive(Debug)]
pub struct TargetLoad {
    entry: TargetEntry,
    key: TargetKey,
    speed: SpeedTracker,
    estimate: SpeedEstimate,
    health: TargetHealth,
    prompt_cache: PromptCache,
    runs: HashMap<RequestSequence, OwnRun>,
    reports: BTreeMap<VmName, (Moment, TargetReport)>,
    answer_time: Duration,
    freed: FreedSlot,
    limit: LimitShare,
    /// The slots that this VM may use if the target is brittle.
    slot_share: Option<u32>,
}

impl TargetLoad {
    /// Creates the state of a target without observations, known since `now`.
    pub fn new(now: Moment, entry: TargetEntry, assumed: &AssumedSpeed) -> Self {
        Self {
            key: entry.key(),
            entry,
            speed: SpeedTracker::default(),
            estimate: SpeedEstimate::of(assumed, []),
            health: TargetHealth::default(),
            prompt_cache: PromptCache::default(),
            runs: HashMap::new(),
            reports: BTreeMap::new(),
            answer_time: ASSUMED_ANSWER_TIME,
            freed: FreedSlot { at: now, by: SlotReleaser::Nobody },
            limit: LimitShare::Unlimited,
            slot_share: None,
        }
    }

    /// Returns when a slot of the target was last freed, and by which VM.
    pub fn freed(&self) -> &FreedSlot {
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

    /// Replaces the registry's entry; observations are kept.
    pub fn set_entry(&mut self, entry: TargetEntry) {
        self.entry = entry;
    }

    /// Returns the target's health.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Returns the target's health, to record an outcome.
    pub fn health_mut(&mut self) -> &mut TargetHealth {
        &mut self.health
    }

    /// Returns the prompts that the target probably has in its cache.
    pub fn prompt_cache_mut(&mut self) -> &mut PromptCache {
        &mut self.prompt_cache
    }

    /// Returns the target's speed, estimated from the observations of all VMs.
    pub fn estimate(&self) -> &SpeedEstimate {
        &self.estimate
    }

    /// Returns the mean time of a whole answer.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Returns the number of requests that all VMs have at the target, according to the reports
    /// received.
    pub fn running(&self, now: Moment) -> u32 {
        let own = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        own + self.valid_reports(now).map(|report| u32::from(report.running)).sum::<u32>()
    }

    /// Whether this VM has something to report to peers about the target: running requests,
    /// observations of its speed, or that it is suspected.
    pub fn has_news(&self, now: Moment) -> bool {
        let report = self.speed.report(now);
        let has_observations = report.prompt.weight.max(report.event.weight) > MIN_REPORTED_WEIGHT;
        has_observations || !self.runs.is_empty() || self.is_suspected_here(now)
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self, now: Moment) -> u32 {
        self.entry.slots.saturating_sub(self.running(now))
    }

    /// Sets the slots that this VM may use if the target is brittle; none if it is not.
    pub fn set_slot_share(&mut self, slots: Option<u32>) {
        self.slot_share = slots;
    }

    /// Whether the target is brittle: it falls over if it has to turn away too many requests.
    pub fn is_brittle(&self) -> bool {
        self.slot_share.is_some()
    }

    /// Returns how many of the free slots this VM may take now: all, unless the target is brittle.
    ///
    /// Of a brittle target, a VM takes its own share, which no other VM takes at the same moment.
    /// While less than half of the slots are in use it may take more; so many other VMs do not
    /// come at once.
    pub fn takeable_slots(&self, now: Moment) -> u32 {
        let free = self.free_slots(now);
        let Some(share) = self.slot_share else { return free };
        let of_share = share.saturating_sub(self.own_running());
        let of_half = (self.entry.slots / 2).saturating_sub(self.running(now));
        free.min(of_share.max(of_half))
    }

    /// Returns the prompt tokens of all VMs' requests that the target has not read yet.
    pub fn unread(&self, now: Moment) -> u64 {
        let own: u64 = self.runs.values().map(|run| run.unread(now)).sum();
        let time_per_token = self.estimate.prompt_token.as_secs_f64().max(1e-9);
        let valid = self.reports.values().filter(|(at, _)| now.since(*at) < REPORT_TTL);
        let of_peers = valid.map(|(at, report)| {
            let read = now.since(*at).as_secs_f64() / time_per_token;
            u64::from(report.unread).saturating_sub(read as u64)
        });
        own + of_peers.sum::<u64>()
    }

    /// Returns how many tokens of a prompt the target would have to read.
    pub fn tokens_to_read(&self, now: Moment, prompt: Tokens, prompt_hash: Option<u32>) -> Tokens {
        if prompt_hash.is_some_and(|hash| self.prompt_cache.holds(now, hash)) {
            Tokens(0)
        } else {
            prompt
        }
    }

    /// Returns the expected time from a dispatch at `now` to the first event, if a slot is free.
    pub fn first_event(&self, now: Moment, assumed: &AssumedSpeed, tokens: Tokens) -> Duration {
        assumed.overhead + self.estimate.reading_time(self.unread(now) + tokens.0)
    }

    /// Returns the number of peers that have requests running at the target and do not suspect it.
    pub fn reaching_peers(&self, now: Moment) -> usize {
        self.valid_reports(now).filter(|report| report.running > 0 && !report.suspected).count()
    }

    /// Whether this VM or a peer suspects the target: it could not be reached, or it has sent
    /// nothing for too long while an event was due.
    pub fn is_suspected(&self, now: Moment) -> bool {
        self.is_suspected_here(now) || self.valid_reports(now).any(|report| report.suspected)
    }

    /// Whether the target may get a new request. It may not while it is paused; while it is
    /// suspected, it may get one request at a time until it responds.
    pub fn accepts_work(&self, now: Moment) -> bool {
        let is_probing = self.health.is_suspect() && !self.runs.is_empty();
        !self.entry.leaving && !self.health.is_paused(now) && !is_probing && self.limit.permits(now)
    }

    /// Returns this VM's share of the target's limit.
    pub fn limit(&self) -> LimitShare {
        self.limit
    }

    /// Returns the limit, to change it.
    pub fn limit_mut(&mut self) -> &mut LimitShare {
        &mut self.limit
    }

    fn is_suspected_here(&self, now: Moment) -> bool {
        self.is_stalled(now) || self.health.is_suspect()
    }

    fn is_stalled(&self, now: Moment) -> bool {
        self.runs.values().any(|run| {
            let wait = if run.first.is_some() { Duration::ZERO } else { run.expected_first * 2 };
            let since = run.sent.max(self.health.last_received_at());
            now.since(since) > wait + STALL_SPAN
        })
    }

    /// Records that a request was sent.
    pub fn begin(
        &mut self,
        now: Moment,
        assumed: &AssumedSpeed,
        ticket: RequestSequence,
        tokens: Tokens,
    ) {
        self.limit.take(now);
        let queue = Tokens(self.unread(now) + tokens.0);
        let expected_first = self.first_event(now, assumed, tokens);
        let run = OwnRun { sent: now, tokens, queue, expected_first, first: None };
        self.runs.insert(ticket, run);
    }

    /// Records the first event of a stream, and updates the speed estimate.
    pub fn record_first(&mut self, now: Moment, assumed: &AssumedSpeed, ticket: RequestSequence) {
        self.health.record_received(now);
        let Some(run) = self.runs.get_mut(&ticket).filter(|run| run.first.is_none()) else {
            return;
        };
        run.first = Some(now);
        let (queue, waited) = (run.queue, now.since(run.sent));
        self.speed.record_first(now, assumed, queue, waited);
    }

    /// Records a further event of a stream.
    pub fn record_event(&mut self, now: Moment, pause: Duration) {
        self.health.record_received(now);
        self.speed.record_event(now, pause);
    }

    /// Records that a request has ended. A whole answer updates the mean answer time.
    pub fn end(&mut self, now: Moment, ticket: RequestSequence, whole: bool) {
        let Some(run) = self.runs.remove(&ticket) else { return };
        self.freed = FreedSlot { at: now, by: SlotReleaser::Own };
        if whole {
            let taken = now.since(run.sent).as_secs_f64();
            let mean = self.answer_time.as_secs_f64();
            self.answer_time = Duration::from_secs_f64(mean + (taken - mean) * ANSWER_TIME_WEIGHT);
        }
    }

    /// Stores a peer's report about the target.
    pub fn store_report(&mut self, now: Moment, peer: &VmName, mut report: TargetReport) {
        let earlier = self.reports.get(peer).and_then(|(_, before)| before.speed);
        report.speed = report.speed.or(earlier);
        let before = self.reports.insert(peer.clone(), (now, report));
        self.record_freed(now, peer, before, report.running);
    }

    /// Removes a peer's report: the peer is gone, or no longer reports this target.
    pub fn remove_report(&mut self, now: Moment, peer: &VmName) {
        let before = self.reports.remove(peer);
        self.record_freed(now, peer, before, 0);
    }

    fn record_freed(
        &mut self,
        now: Moment,
        peer: &VmName,
        before: Option<(Moment, TargetReport)>,
        running: u16,
    ) {
        if before.is_some_and(|(_, report)| report.running > running) {
            self.freed = FreedSlot { at: now, by: SlotReleaser::Peer(peer.clone()) };
        }
    }

    /// Combines the observations of all VMs into a new estimate of the target's speed.
    pub fn refresh(&mut self, now: Moment, assumed: &AssumedSpeed) {
        let own = self.speed.report(now);
        let peers = self.valid_reports(now).filter_map(|report| report.speed);
        self.estimate = SpeedEstimate::of(assumed, peers.chain([own]));
    }

    /// Returns this VM's report about the target for its peers.
    pub fn report(&self, now: Moment) -> TargetReport {
        let unread: u64 = self.runs.values().map(|run| run.unread(now)).sum();
        TargetReport {
            target: self.key,
            running: u16::try_from(self.runs.len()).unwrap_or(u16::MAX),
            unread: u32::try_from(unread).unwrap_or(u32::MAX),
            suspected: self.is_suspected_here(now),
            speed: Some(self.speed.report(now)),
        }
    }

    /// Returns the number of this VM's own requests at the target.
    pub fn own_running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the load that this VM and those peers for which `counts` holds have on the target,
    /// with the combined estimate of its speed.
    pub fn group_report(&self, now: Moment, counts: impl Fn(&VmName) -> bool) -> TargetReport {
        let mut sum = self.report(now);
        let valid = self.reports.iter().filter(|(_, (at, _))| now.since(*at) < REPORT_TTL);
        for (_, (_, report)) in valid.filter(|(vm, _)| counts(vm)) {
            sum.running = sum.running.saturating_add(report.running);
            sum.unread = sum.unread.saturating_add(report.unread);
        }
        sum.speed = Some(self.estimate.report());
        sum
    }

    fn valid_reports(&self, now: Moment) -> impl Iterator<Item = &TargetReport> {
        let valid = self.reports.values().filter(move |(at, _)| now.since(*at) < REPORT_TTL);
        valid.map(|(_, report)| report)
    }
}
