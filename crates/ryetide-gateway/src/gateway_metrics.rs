//! The gateway's metrics, encoded as text for a scraper.

use std::{fmt, time::Duration};

use prometheus_client::{
    encoding::{self, EncodeLabelSet},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use ryetide_core::{
    chart::ChartName,
    ids::ServiceName,
    return_schedule::ReturnCounts,
    scheduler_shares::ShareActivity,
    service_rollout::ServiceRollout,
    target_notice::{LimitNotice, TargetNotice},
    units::{ByteSize, TierRank},
};

/// The upper bounds of the histograms' buckets, in seconds. They range from the latency between
/// data centres to the longest usual deadlines.
const BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0];

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct NoticeLabels {
    word: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct TunnelLabels {
    reply: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct CloseLabels {
    reason: &'static str,
    phase: &'static str,
}

/// Why the VM closes a connection of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CloseReason {
    /// It has been doing the same for too long.
    TimedOut,
    /// Another connection takes its place.
    Displaced,
    /// There are too many, and all others are being served.
    NoRoom,
}

impl CloseReason {
    /// Returns the reason's name, for logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    permitted: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct TierLabels {
    tier: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct RolloutLabels {
    service: String,
    version: String,
}

type TierHistograms = Family<TierLabels, Histogram, fn() -> Histogram>;

fn tier_histograms() -> TierHistograms {
    Family::new_with_constructor(|| Histogram::new(BUCKETS))
}

/// The metrics of one gateway.
pub struct GatewayMetrics {
    registry: Registry,
    requests: Counter,
    outcomes: Family<OutcomeLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    waited: TierHistograms,
    first: TierHistograms,
    total: TierHistograms,
    waiting: Gauge,
    running: Gauge,
    revision: Gauge,
    targets: Gauge,
    crashes: Counter,
    quarantined: Gauge,
    notices: Family<NoticeLabels, Counter>,
    rollout_state: Family<RolloutLabels, Gauge>,
    rollout_placed: Family<RolloutLabels, Gauge>,
    rollout_exposed: Family<RolloutLabels, Gauge>,
    ejected_targets: Gauge,
    ejections: Counter,
    probes: Counter,
    slots_granted: Counter,
    requests_borrowed: Counter,
    shortage: Gauge,
    borrowed_targets: Gauge,
    over_share: Gauge,
    over_share_deferred: Counter,
    usage_sources: Gauge,
    returns_booked: Counter,
    returns_placed: Counter,
    returns_expired: Counter,
    requests_kept: Counter,
    through_peers: Counter,
    paths_lost: Gauge,
    loop_delay: Histogram,
    connections: Gauge,
    closed_unread: Counter,
    closed: Family<CloseLabels, Counter>,
    memory_held: Gauge,
    bodies_given_way: Counter,
    unbuffered: Counter,
    tunnels: Gauge,
    tunnel_replies: Family<TunnelLabels, Counter>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ryetide"),
            requests: Counter::default(),
            outcomes: Family::default(),
            retries: Family::default(),
            waited: tier_histograms(),
            first: tier_histograms(),
            total: tier_histograms(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            revision: Gauge::default(),
            targets: Gauge::default(),
            crashes: Counter::default(),
            quarantined: Gauge::default(),
            notices: Family::default(),
            rollout_state: Family::default(),
            rollout_placed: Family::default(),
            rollout_exposed: Family::default(),
            ejected_targets: Gauge::default(),
            ejections: Counter::default(),
            probes: Counter::default(),
            slots_granted: Counter::default(),
            requests_borrowed: Counter::default(),
            shortage: Gauge::default(),
            borrowed_targets: Gauge::default(),
            over_share: Gauge::default(),
            over_share_deferred: Counter::default(),
            usage_sources: Gauge::default(),
            returns_booked: Counter::default(),
            returns_placed: Counter::default(),
            returns_expired: Counter::default(),
            requests_kept: Counter::default(),
            through_peers: Counter::default(),
            paths_lost: Gauge::default(),
            loop_delay: Histogram::new(BUCKETS),
            connections: Gauge::default(),
            closed_unread: Counter::default(),
            closed: Family::default(),
            memory_held: Gauge::default(),
            bodies_given_way: Counter::default(),
            unbuffered: Counter::default(),
            tunnels: Gauge::default(),
            tunnel_replies: Family::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests taken", metrics.requests.clone());
        registry.register("outcomes", "Requests ended, by outcome", metrics.outcomes.clone());
        let retries =
            "Requests that needed another target, by whether the retry budget permitted it";
        registry.register("retries", retries, metrics.retries.clone());
        registry.register("waited_seconds", "Time to a place", metrics.waited.clone());
        registry.register("first_seconds", "Time to the first event", metrics.first.clone());
        registry.register("total_seconds", "Time to the end", metrics.total.clone());
        registry.register("waiting", "Requests in line", metrics.waiting.clone());
        registry.register("running", "Requests at targets", metrics.running.clone());
        registry.register("revision", "Version of the routes in force", metrics.revision.clone());
        registry.register("targets", "Targets known", metrics.targets.clone());
        let crashes = "Targets that crashed under requests of this VM";
        registry.register("target_crashes", crashes, metrics.crashes.clone());
        let quarantined = "Requests that are sent to no target, since they crash them";
        registry.register("quarantined", quarantined, metrics.quarantined.clone());
        let notices = "Answers in which a target says that it leaves, or wants nothing for a time";
        registry.register("target_words", notices, metrics.notices.clone());
        let state = "How far an order for a version is: 0 asked, 1 trial, 2 moving, 3 emptied, 4 condemned, 5 completed, \
                     6 rolled back";
        registry.register("rollout_state", state, metrics.rollout_state.clone());
        let placed = "Requests of the service placed here since the order is known";
        registry.register("rollout_placed", placed, metrics.rollout_placed.clone());
        let exposed = "Those of them that went to the ordered version";
        registry.register("rollout_exposed", exposed, metrics.rollout_exposed.clone());
        let ejected = "Targets that get only probes because they fail requests";
        registry.register("ejected_targets", ejected, metrics.ejected_targets.clone());
        let ejections = "Ejections of targets that fail requests";
        registry.register("ejections", ejections, metrics.ejections.clone());
        registry.register("probes", "Requests sent to ejected targets", metrics.probes.clone());
        let granted = "Slots granted to VMs of other cells, renewals excluded";
        registry.register("slots_granted", granted, metrics.slots_granted.clone());
        let borrowed = "Requests sent to targets of other cells";
        registry.register("requests_borrowed", borrowed, metrics.requests_borrowed.clone());
        let shortage = "Slots of other cells that this VM could use in addition";
        registry.register("shortage", shortage, metrics.shortage.clone());
        let borrowed = "Targets of other cells at which this VM has requests running";
        registry.register("borrowed_targets", borrowed, metrics.borrowed_targets.clone());
        let over_share = "Organisations above their fair share while requests wait";
        registry.register("over_share", over_share, metrics.over_share.clone());
        let deferred =
            "Requests put behind others of their tier because of their organisation's share";
        registry.register("over_share_deferred", deferred, metrics.over_share_deferred.clone());
        let sources = "Peers whose usage by organisation is known";
        registry.register("usage_sources", sources, metrics.usage_sources.clone());
        let booked = "Places booked for refused callers";
        registry.register("returns_booked", booked, metrics.returns_booked.clone());
        let placed = "Returned callers that got a booked place";
        registry.register("returns_placed", placed, metrics.returns_placed.clone());
        let expired = "Booked places released because no caller came";
        registry.register("returns_expired", expired, metrics.returns_expired.clone());
        let kept = "Requests kept for an expected free slot instead of refused";
        registry.register("requests_kept", kept, metrics.requests_kept.clone());
        let through = "Connections to targets that peers have opened for this VM";
        registry.register("through_peers", through, metrics.through_peers.clone());
        let lost = "Targets that peers reach and this VM does not";
        registry.register("paths_lost", lost, metrics.paths_lost.clone());
        let delay = "Time by which the event loop is late, sampled five times a second";
        registry.register("loop_delay_seconds", delay, metrics.loop_delay.clone());
        let open = "Open connections of callers";
        registry.register("connections", open, metrics.connections.clone());
        let closed =
            "Connections of callers closed unread because the VM gets more than it can carry";
        registry.register("closed_unread", closed, metrics.closed_unread.clone());
        let closed = "Connections of callers closed by the VM, by reason and what they did";
        registry.register("connections_closed", closed, metrics.closed.clone());
        let held = "Memory held for bodies and answers";
        registry.register("memory_held_bytes", held, metrics.memory_held.clone());
        let given_way = "Bodies that stopped arriving, and were refused for the sake of others";
        registry.register("bodies_given_way", given_way, metrics.bodies_given_way.clone());
        let unbuffered = "Answers forwarded as they came because there was no memory for them";
        registry.register("unbuffered_answers", unbuffered, metrics.unbuffered.clone());
        let tunnels = "Connections to targets that this VM keeps open for peers";
        registry.register("tunnels", tunnels, metrics.tunnels.clone());
        let replies = "Peers' requests to open a connection to a target, by reply";
        registry.register("tunnel_replies", replies, metrics.tunnel_replies.clone());
        metrics
    }
}

impl GatewayMetrics {
    /// Records by how much the event loop is late.
    pub fn record_loop_delay(&self, delay: Duration) {
        self.loop_delay.observe(delay.as_secs_f64());
    }

    /// Sets the number of open connections of callers.
    pub fn set_connections(&self, open: usize) {
        self.connections.set(open as i64);
    }

    /// Sets what is held for bodies and answers, and how many bodies had to give way until now.
    pub fn set_memory(&self, held: ByteSize, given_way: u64) {
        self.memory_held.set(i64::try_from(held.0).unwrap_or(i64::MAX));
        raise(&self.bodies_given_way, given_way);
    }

    /// Counts an answer that is forwarded without being buffered.
    pub fn count_unbuffered(&self) {
        self.unbuffered.inc();
    }

    /// Counts a connection of a caller that the VM closes, and the phase in which it was.
    pub fn count_closed(&self, reason: CloseReason, phase: &'static str) {
        self.closed.get_or_create(&CloseLabels { reason: reason.name(), phase }).inc();
    }

    /// Counts a connection of a caller that was closed unread.
    pub fn count_closed_unread(&self) {
        self.closed_unread.inc();
    }

    /// Sets the state and the traffic of a rollout.
    pub fn set_rollout(&self, rollout: &ServiceRollout) {
        let order = rollout.order();
        let (service, version) = (order.service.to_string(), order.to.to_string());
        let labels = RolloutLabels { service, version };
        let (placed, exposed) = rollout.exposure();
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.rollout_state.get_or_create(&labels).set(rollout.state().index() as i64);
        self.rollout_placed.get_or_create(&labels).set(to_gauge(placed));
        self.rollout_exposed.get_or_create(&labels).set(to_gauge(exposed));
    }

    /// Counts an accepted request.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a request that has ended.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.outcomes.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a request that needed another target after one that it had reached.
    pub fn count_retry(&self, service: &ServiceName, permitted: bool) {
        let permitted = if permitted { "yes" } else { "no" };
        let labels = RetryLabels { service: service.to_string(), permitted };
        self.retries.get_or_create(&labels).inc();
    }

    /// Records how long a request waited for a slot.
    pub fn record_waited(&self, tier: TierRank, span: Duration) {
        observe(&self.waited, tier, span);
    }

    /// Records the time to the first event of an answer.
    pub fn record_first(&self, tier: TierRank, span: Duration) {
        observe(&self.first, tier, span);
    }

    /// Records the total time of a request.
    pub fn record_total(&self, tier: TierRank, span: Duration) {
        observe(&self.total, tier, span);
    }

    /// Counts a target that crashed under requests of this VM.
    pub fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Counts each part of a notice that a target sent with an answer.
    pub fn count_notice(&self, notice: TargetNotice) {
        let parts = [
            ("leaving", notice.leaving),
            ("hold-off", notice.hold_off.is_some()),
            ("limit", notice.limit != LimitNotice::Unnamed),
            ("brittle", notice.brittle),
        ];
        for (word, _) in parts.into_iter().filter(|(_, is_present)| *is_present) {
            self.notices.get_or_create(&NoticeLabels { word }).inc();
        }
    }

    /// Counts an ejection of a target.
    pub fn count_ejection(&self) {
        self.ejections.inc();
    }

    /// Sets the number of ejected targets, and counts probes.
    pub fn set_ejected(&self, targets: usize, new_probes: u64) {
        self.ejected_targets.set(targets as i64);
        self.probes.inc_by(new_probes);
    }

    /// Counts slots that were granted to a VM of another cell.
    pub fn count_granted(&self, slots: u8) {
        self.slots_granted.inc_by(u64::from(slots));
    }

    /// Counts a request that is sent to a target of another cell.
    pub fn count_borrowed(&self) {
        self.requests_borrowed.inc();
    }

    /// Sets the number of slots of other cells that this VM could use in addition.
    pub fn set_shortage(&self, slots: u32) {
        self.shortage.set(i64::from(slots));
    }

    /// Sets the number of targets of other cells at which this VM has requests running.
    pub fn set_borrowed_targets(&self, targets: usize) {
        self.borrowed_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Raises the counters of return times to the given counts.
    pub fn set_returns(&self, counts: ReturnCounts) {
        raise(&self.returns_booked, counts.booked);
        raise(&self.returns_placed, counts.placed);
        raise(&self.returns_expired, counts.expired);
        raise(&self.requests_kept, counts.kept);
    }

    /// Counts a connection to a target that a peer has opened for this VM.
    pub fn count_through_peer(&self) {
        self.through_peers.inc();
    }

    /// Sets the number of targets that peers reach and this VM does not.
    pub fn set_paths_lost(&self, targets: usize) {
        self.paths_lost.set(targets as i64);
    }

    /// Sets the number of connections that this VM keeps open for peers.
    pub fn set_tunnels(&self, tunnels: u32) {
        self.tunnels.set(i64::from(tunnels));
    }

    /// Counts the reply to a peer's request for a connection to a target.
    pub fn count_tunnel(&self, reply: &'static str) {
        self.tunnel_replies.get_or_create(&TunnelLabels { reply }).inc();
    }

    /// Sets the number of requests in quarantine.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined.set(count as i64);
    }

    /// Sets the gauges of waiting and running requests, the routes' version and the targets.
    pub fn set_levels(&self, waiting: usize, running: usize, revision: u64, targets: usize) {
        self.waiting.set(waiting as i64);
        self.running.set(running as i64);
        self.revision.set(revision as i64);
        self.targets.set(targets as i64);
    }

    /// Sets the metrics of the fair shares among organisations.
    pub fn set_shares(&self, activity: &ShareActivity) {
        self.over_share.set(activity.over_share as i64);
        self.over_share_deferred.inc_by(activity.deferred);
        self.usage_sources.set(activity.sources as i64);
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns the formatter's error.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Raises a counter to a count that is kept elsewhere.
fn raise(counter: &Counter, to: u64) {
    counter.inc_by(to.saturating_sub(counter.get()));
}

fn observe(histograms: &TierHistograms, tier: TierRank, span: Duration) {
    histograms.get_or_create(&TierLabels { tier: tier.0 }).observe(span.as_secs_f64());
}
