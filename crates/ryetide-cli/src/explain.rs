//! `ryetide explain`: the timeline of one request, or of a service's rollout orders, from the logs of
//! all VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufRead},
};

/// The key=value pairs of one log line.
type LineFields = BTreeMap<String, String>;

/// Events that also belong to the timeline when they concern other attempts with the same
/// fingerprint, or requests with the part of prompts for which one was refused, because they decide whether this attempt is sent to a target.
const CRASH_EVENTS: [&str; 4] =
    ["target-crashed", "quarantine-begun", "quarantine-heard", "quarantine-ended"];

/// The timeline of one request, or of a service's rollout orders.
#[derive(Debug, Default)]
pub struct RequestTimeline {
    /// The relevant log lines with their times, in order of time.
    lines: Vec<(String, LineFields)>,
}

impl RequestTimeline {
    /// Reads the log lines on the request `id`, or on the rollout orders for the service `id`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be read.
    pub fn read(id: &str, log: impl BufRead) -> io::Result<Self> {
        let mut timeline = Self::default();
        let mut fingerprints = BTreeSet::new();
        let mut other_attempts = Vec::new();
        for line in log.lines() {
            let fields = parse_fields(&line?);
            let time = fields.get("ts").cloned().unwrap_or_default();
            if value(&fields, "event").starts_with("rollout") && value(&fields, "service") == id {
                timeline.lines.push((time, fields));
            } else if fields.get("request").is_some_and(|request| request == id) {
                fingerprints.extend(fields.get("print").cloned());
                fingerprints.extend(fields.get("part").cloned());
                timeline.lines.push((time, fields));
            } else if CRASH_EVENTS.contains(&value(&fields, "event")) {
                other_attempts.push((time, fields));
            }
        }
        let has_fingerprint = |fields: &LineFields| {
            let mut parts = value(fields, "parts").split(',');
            fingerprints.contains(value(fields, "print"))
                || parts.any(|part| fingerprints.contains(part))
        };
        timeline
            .lines
            .extend(other_attempts.into_iter().filter(|(_, fields)| has_fingerprint(fields)));
        timeline.lines.sort_by(|(left, _), (right, _)| left.cmp(right));
        Ok(timeline)
    }

    /// Returns whether the log has no relevant lines.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the timeline as text, with one line for each event.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (time, fields) in &self.lines {
            let vm = value(fields, "vm");
            text.push_str(&format!("{time}  {vm}  {}\n", describe(fields)));
        }
        text
    }
}

fn value<'a>(fields: &'a LineFields, key: &str) -> &'a str {
    fields.get(key).map_or("?", String::as_str)
}

/// Returns a description of one log line.
fn describe(fields: &LineFields) -> String {
    let field = |key| value(fields, key);
    match field("event") {
        "placed" => format!(
            "sent to {}{} after waiting {} ms, {} others running there and {} queued here; first event \
             expected in {} ms{}; routes revision {}",
            field("target"),
            fields.get("version").map(|version| format!(" ({version})")).unwrap_or_default(),
            field("waited_ms"),
            field("running"),
            field("line"),
            field("expected_ms"),
            if field("late") == "true" { ", already late" } else { "" },
            field("revision"),
        ),
        "refused" => format!(
            "refused, not run, retry after {} ms{}: {} ({} queued)",
            field("retry_ms"),
            fields.get("booked_ms").map(|_| " with a booked place").unwrap_or_default(),
            field("reason"),
            field("line")
        ),
        "own-answer" => {
            format!("answered {} by the gateway: {}", field("status"), field("reason"))
        }
        "target-unreachable" => {
            format!(
                "no connection to {} at {}: {}",
                field("target"),
                field("peer"),
                field("reason")
            )
        }
        "through-peer" => {
            format!("connected to {} through {}", field("target"), field("through"))
        }
        "tunnel-asked" => {
            format!("asked by {} for a connection to a target: {}", field("from"), field("reply"))
        }
        "answer-lost" => format!(
            "no answer from {}, where it may have run: {} (reused connection: {})",
            field("target"),
            field("reason"),
            field("kept_connection")
        ),
        "target-failed" => format!(
            "failed by {}: {}, after {} attempt(s)",
            field("target"),
            field("reason"),
            field("attempts")
        ),
        "target-crashed" => format!(
            "{} crashed after attempt {} had run there for {} ms; {} request(s) of this VM were running there",
            field("target"),
            field("request"),
            field("ran_ms"),
            field("runs")
        ),
        "target-word" => format!(
            "notice from {}: {}",
            field("target"),
            match (field("leaving"), fields.get("hold_off_ms")) {
                ("true", _) => "it is leaving and gets no more requests".to_owned(),
                (_, Some(span)) => format!("no requests from this VM for {span} ms"),
                _ => "no change".to_owned(),
            }
        ),
        "quarantine-begun" => format!(
            "{} quarantined: {} of {} crashes of targets running it are attributed to it, {} other crashes meanwhile, \
             {} targets in all; probability by chance {} in a billion",
            suspect_name(fields),
            field("blamed"),
            field("crashes"),
            field("elsewhere"),
            field("targets"),
            field("chance_ppb")
        ),
        "quarantine-heard" => {
            format!("quarantine of {} received from another VM", suspect_name(fields))
        }
        "quarantine-ended" => format!("quarantine ended: {}", field("reason")),
        "quarantined" => format!(
            "refused because {} crashes targets; the quarantine ends after {} ms without attempts",
            fields.get("part").map_or("it".to_owned(), |part| format!("part {part} of its prompt")),
            field("retry_ms")
        ),
        "rollout-ordered" => format!("order {}: move to {}", field("number"), field("to")),
        "rollout-row" => format!("order {}: status {}", field("number"), field("word")),
        "rollout-row-failed" => {
            format!("order {}: {} failed: {}", field("number"), field("task"), field("reason"))
        }
        "rollout-step" => format!(
            "order {} for {}: {} after {}, by {}{}; {} of {} requests of this VM sent to the new version; of its {} \
             answers {} failed and {} of {} timed answers were slow; of the old version's {} answers {} failed and \
             {} of {} timed answers were slow",
            field("number"),
            field("to_version"),
            field("to"),
            field("from"),
            field("reason"),
            match field("by") {
                "-" => String::new(),
                by => format!(" ({by}: {} found, {} expected)", field("found"), field("expected")),
            },
            field("exposed"),
            field("placed"),
            field("new_answers"),
            field("new_failed"),
            field("new_slow"),
            field("new_timed"),
            field("old_answers"),
            field("old_failed"),
            field("old_slow"),
            field("old_timed"),
        ),
        "broken-off" => format!("answer to the caller aborted: {}", field("reason")),
        "ended" => format!(
            "ended {} after {} ms and {} attempt(s); first event after {} ms, longest pause {} ms",
            field("outcome"),
            field("total_ms"),
            field("attempts"),
            field("first_ms"),
            field("longest_pause_ms")
        ),
        other => format!("{other}: {fields:?}"),
    }
}

/// Returns what a quarantine concerns.
fn suspect_name(fields: &LineFields) -> String {
    match value(fields, "kind") {
        "part" => format!("part {} of prompts", value(fields, "print")),
        _ => "request".to_owned(),
    }
}

/// Parses a line of key=value pairs; values with spaces are quoted. Text before the first pair, which
/// a log collector may add, is ignored.
fn parse_fields(line: &str) -> LineFields {
    let mut fields = LineFields::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or_default().to_owned();
        let (found, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key, found.to_owned());
        rest = left;
    }
    fields
}
