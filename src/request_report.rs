//! Request statistics: histograms for each tier and each organisation, and statsd metrics.

use std::{collections::BTreeMap, convert::Infallible, net, sync::Arc, time::Duration};

use cadence::{Counted, StatsdClient, Timed};
use hdrhistogram::Histogram;
use ryetide_core::effect::{OutcomeKind, RequestSummary};
use serde::{Deserialize, Serialize};
use tokio::sync::{self, oneshot};

use crate::{error::StepError, ring::RingReceiver, util};

/// The greatest recorded time: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// The precision of recorded times, in significant digits.
const PRECISION: u8 = 2;
/// The maximum number of organisations with separate histograms.
const ORGANISATION_LIMIT: usize = 1_000;
/// The name under which all further organisations are counted.
const OTHER_ORGANISATIONS: &str = "(others)";
/// The prefix of all statsd metrics.
const STATSD_PREFIX: &str = "ryetide";

/// A command to this thread.
#[derive(Debug)]
pub enum ReportCommand {
    /// Records a request that has ended.
    Record(RequestSummary),
    /// Counts a request that could not be read, or whose caller was cut off, under this reason.
    Reject(&'static str),
    /// Returns the report.
    Read(oneshot::Sender<RequestReport>),
}

/// Quantiles of one time measure, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct TimeQuantiles {
    /// The number of observations.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

/// Counts and times for one tier or organisation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassReport {
    /// Requests answered completely within the deadline.
    pub answered: u64,
    /// Requests answered completely after the deadline.
    pub late: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Prompt tokens of all requests that were dispatched or refused.
    pub prompt_tokens: u64,
    /// Prompt tokens processed for answers that were not used.
    pub wasted_prompt_tokens: u64,
    /// Times from arrival to dispatch.
    pub queued: TimeQuantiles,
    /// Times from arrival to the first piece of the answer.
    pub first_piece: TimeQuantiles,
    /// Mean times between pieces, one for each request.
    pub between_pieces: TimeQuantiles,
    /// Times from arrival to the end.
    pub total: TimeQuantiles,
}

/// The statistics of one daemon since its start.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestReport {
    /// Statistics by tier.
    pub tiers: BTreeMap<String, ClassReport>,
    /// Statistics by organisation.
    pub organisations: BTreeMap<String, ClassReport>,
    /// Requests that could not be read and callers that were cut off, counted by reason.
    pub rejects: BTreeMap<String, u64>,
}

/// The receiving ends of the rings from the core, the edge and the operators' port.
pub struct ReportRings {
    rings: Vec<RingReceiver<ReportCommand>>,
    ready: Arc<sync::Notify>,
    end: Option<RingReceiver<Infallible>>,
}

impl ReportRings {
    /// Combines rings that all notify `ready`.
    pub fn new(rings: Vec<RingReceiver<ReportCommand>>, ready: Arc<sync::Notify>) -> Self {
        Self { rings, ready, end: None }
    }

    /// Ends reception also when `end` closes, since a server that does not stop keeps its ring open.
    /// `end` must notify the same `ready`.
    pub fn until(mut self, end: RingReceiver<Infallible>) -> Self {
        self.end = Some(end);
        self
    }

    /// Receives the next command. Returns `None` once every ring is empty, and either `end` or every
    /// ring is closed.
    async fn recv(&mut self) -> Option<ReportCommand> {
        loop {
            let ended = self.end.as_ref().is_some_and(RingReceiver::is_closed);
            let closed = ended || self.rings.iter().all(RingReceiver::is_closed);
            if let Some(command) = self.rings.iter_mut().find_map(RingReceiver::try_recv) {
                return Some(command);
            }
            if closed {
                return None;
            }
            self.ready.notified().await;
        }
    }
}

struct ClassHistograms {
    counts: ClassReport,
    queued: Histogram<u32>,
    first_piece: Histogram<u32>,
    between_pieces: Histogram<u32>,
    total: Histogram<u32>,
}

/// Records statistics until the command rings close.
///
/// # Errors
///
/// Returns a [`StepError`] when the statsd socket cannot be opened.
pub async fn run(
    mut commands: ReportRings,
    statsd: Option<net::SocketAddr>,
) -> Result<(), StepError> {
    let client = statsd.map(open_statsd).transpose()?;
    let mut tiers = BTreeMap::new();
    let mut organisations = BTreeMap::new();
    let mut rejects: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            ReportCommand::Reject(reason) => {
                *rejects.entry(reason.to_owned()).or_default() += 1;
                if let Some(client) = &client {
                    client.count_with_tags("rejects", 1).with_tag("reason", reason).send();
                }
            }
            ReportCommand::Record(summary) => {
                record(&mut tiers, summary.tier.as_str(), &summary);
                let name = summary.organisation.as_str();
                let known = organisations.contains_key(name);
                let is_full = organisations.len() >= ORGANISATION_LIMIT;
                let name = if known || !is_full { name } else { OTHER_ORGANISATIONS };
                record(&mut organisations, name, &summary);
                if let Some(client) = &client {
                    send_statsd(client, &summary);
                }
            }
            ReportCommand::Read(reply) => {
                let read = |classes: &BTreeMap<String, ClassHistograms>| {
                    classes.iter().map(|(name, class)| (name.clone(), class.report())).collect()
                };
                let report = RequestReport {
                    tiers: read(&tiers),
                    organisations: read(&organisations),
                    rejects: rejects.clone(),
                };
                // Sending fails when the operator has disconnected.
                let _ = reply.send(report);
            }
        }
    }
    Ok(())
}

fn open_statsd(address: net::SocketAddr) -> Result<StatsdClient, StepError> {
    let fault = |cause: String| StepError::new("open statsd", cause).with_peer(address);
    let socket = net::UdpSocket::bind("0.0.0.0:0").map_err(|error| fault(error.to_string()))?;
    socket.set_nonblocking(true).map_err(|error| fault(error.to_string()))?;
    let sink = cadence::BufferedUdpMetricSink::from(address, socket)
        .map_err(|error| fault(error.to_string()))?;
    Ok(StatsdClient::from_sink(STATSD_PREFIX, sink))
}

fn send_statsd(client: &StatsdClient, summary: &RequestSummary) {
    let outcome = match summary.outcome {
        OutcomeKind::Answered if summary.late => "late",
        OutcomeKind::Answered => "answered",
        OutcomeKind::NotRun => "not_run",
        OutcomeKind::Unknown => "unknown",
    };
    let (tier, service) = (summary.tier.as_str(), summary.service.as_str());
    // Metrics are sent over UDP. One that cannot be sent is lost, without delaying the caller.
    let tags =
        |name| client.count_with_tags(name, 1).with_tag("tier", tier).with_tag("service", service);
    tags("requests").with_tag("outcome", outcome).send();
    let wasted = i64::try_from(summary.wasted_prompt.0).unwrap_or(i64::MAX);
    client.count_with_tags("wasted_prompt_tokens", wasted).with_tag("tier", tier).send();
    let time = |name, span: Duration| {
        client.time_with_tags(name, util::millis(span)).with_tag("tier", tier).send();
    };
    time("queued", summary.queued);
    time("total", summary.total);
    if let Some(first) = summary.first_piece {
        time("first_piece", first);
    }
}

fn record(classes: &mut BTreeMap<String, ClassHistograms>, name: &str, summary: &RequestSummary) {
    if !classes.contains_key(name) {
        classes.insert(name.to_owned(), ClassHistograms::new());
    }
    if let Some(class) = classes.get_mut(name) {
        class.record(summary);
    }
}

impl ClassHistograms {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_MICROS, PRECISION)
                .expect("the bound and the precision are within the library's limits")
        };
        Self {
            counts: ClassReport::default(),
            queued: histogram(),
            first_piece: histogram(),
            between_pieces: histogram(),
            total: histogram(),
        }
    }

    fn record(&mut self, summary: &RequestSummary) {
        let counts = &mut self.counts;
        match summary.outcome {
            OutcomeKind::Answered if summary.late => counts.late += 1,
            OutcomeKind::Answered => counts.answered += 1,
            OutcomeKind::NotRun => counts.not_run += 1,
            OutcomeKind::Unknown => counts.unknown += 1,
        }
        counts.prompt_tokens += summary.prompt.0;
        counts.wasted_prompt_tokens += summary.wasted_prompt.0;
        self.queued.saturating_record(micros(summary.queued));
        self.total.saturating_record(micros(summary.total));
        if let Some(first) = summary.first_piece {
            self.first_piece.saturating_record(micros(first));
        }
        if let Some(between) = summary.between_pieces {
            self.between_pieces.saturating_record(micros(between));
        }
    }

    fn report(&self) -> ClassReport {
        ClassReport {
            queued: quantiles(&self.queued),
            first_piece: quantiles(&self.first_piece),
            between_pieces: quantiles(&self.between_pieces),
            total: quantiles(&self.total),
            ..self.counts.clone()
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles(histogram: &Histogram<u32>) -> TimeQuantiles {
    TimeQuantiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}
