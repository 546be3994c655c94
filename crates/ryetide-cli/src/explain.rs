//! `ryetide explain`: the story of one request, or of the orders for a service, from the logs of all VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufRead},
};

/// One line of a log, as its keys and values.
type LineFields = BTreeMap<String, String>;

/// What is told of other attempts too that bring the same request: it decides what becomes of this one.
const CRASH_EVENTS: [&str; 4] =
    ["target-crashed", "quarantine-begun", "quarantine-heard", "quarantine-ended"];

/// The story of one request.
#[derive(Debug, Default)]
pub struct RequestStory {
    /// The lines that concern it, by time.
    lines: Vec<(String, LineFields)>,
}

impl RequestStory {
    /// Picks the lines about the request `id`, or about the orders for the service of that name, out of a log.
    ///
    /// # Errors
    ///
    /// Returns the error of the reader.
    pub fn read(id: &str, log: impl BufRead) -> io::Result<Self> {
        let mut story = Self::default();
        let mut prints = BTreeSet::new();
        let mut of_others = Vec::new();
        for line in log.lines() {
            let fields = fields_of(&line?);
            let time = fields.get("ts").cloned().unwrap_or_default();
            if value(&fields, "event").starts_with("rollout") && value(&fields, "service") == id {
                story.lines.push((time, fields));
            } else if fields.get("request").is_some_and(|request| request == id) {
                prints.extend(fields.get("print").cloned());
                story.lines.push((time, fields));
            } else if CRASH_EVENTS.contains(&value(&fields, "event")) {
                of_others.push((time, fields));
            }
        }
        let is_same = |fields: &LineFields| prints.contains(value(fields, "print"));
        story.lines.extend(of_others.into_iter().filter(|(_, fields)| is_same(fields)));
        story.lines.sort_by(|(left, _), (right, _)| left.cmp(right));
        Ok(story)
    }

    /// Returns whether the log says anything of the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the story, a line for each decision.
    pub fn tell(&self) -> String {
        let mut text = String::new();
        for (time, fields) in &self.lines {
            let vm = value(fields, "vm");
            text.push_str(&format!("{time}  {vm}  {}\n", sentence(fields)));
        }
        text
    }
}

fn value<'a>(fields: &'a LineFields, key: &str) -> &'a str {
    fields.get(key).map_or("?", String::as_str)
}

/// Says what one line means.
fn sentence(fields: &LineFields) -> String {
    let of = |key| value(fields, key);
    match of("event") {
        "placed" => format!(
            "sent to {}{} after waiting {} ms, {} others running there and {} in line here; first event \
             expected in {} ms{}; routes {}",
            of("target"),
            fields.get("version").map(|version| format!(" ({version})")).unwrap_or_default(),
            of("waited_ms"),
            of("running"),
            of("line"),
            of("expected_ms"),
            if of("late") == "true" { ", too late already" } else { "" },
            of("revision"),
        ),
        "refused" => format!(
            "told to come back in {} ms{}, not run: {} ({} in line)",
            of("retry_ms"),
            fields.get("booked_ms").map(|_| " to a booked place").unwrap_or_default(),
            of("reason"),
            of("line")
        ),
        "own-answer" => {
            format!("answered {} by the gateway itself: {}", of("status"), of("reason"))
        }
        "target-unreachable" => {
            format!("no connection to {} at {}: {}", of("target"), of("peer"), of("reason"))
        }
        "answer-lost" => format!(
            "no answer from {}, where it may have run: {} (kept connection: {})",
            of("target"),
            of("reason"),
            of("kept_connection")
        ),
        "target-failed" => format!(
            "failed by {}: {}, after {} attempt(s)",
            of("target"),
            of("reason"),
            of("attempts")
        ),
        "target-crashed" => format!(
            "{} has crashed after attempt {} had run there for {} ms, and {} request(s) of this VM with it",
            of("target"),
            of("request"),
            of("ran_ms"),
            of("runs")
        ),
        "target-word" => format!(
            "{} says of itself: {}",
            of("target"),
            match (of("leaving"), fields.get("hold_off_ms")) {
                ("true", _) => "it leaves, and gets nothing more".to_owned(),
                (_, Some(span)) => format!("nothing from here for {span} ms"),
                _ => "nothing".to_owned(),
            }
        ),
        "quarantine-begun" => format!(
            "blamed for {} of {} crashes of targets under it, {} others crashed meanwhile, {} there are; by chance in {} of a billion",
            of("blamed"),
            of("crashes"),
            of("elsewhere"),
            of("targets"),
            of("chance_ppb")
        ),
        "quarantine-heard" => "heard that it crashes targets".to_owned(),
        "quarantine-ended" => format!("may be sent to targets again: {}", of("reason")),
        "quarantined" => format!(
            "sent to no target, since it crashes them; it may be if nobody asks for it for {} ms",
            of("retry_ms")
        ),
        "rollout-ordered" => format!("order {}: move to {}", of("number"), of("to")),
        "rollout-row" => format!("order {}: its row says {}", of("number"), of("word")),
        "rollout-row-failed" => {
            format!("order {}: {} could not be done: {}", of("number"), of("task"), of("reason"))
        }
        "rollout-step" => format!(
            "order {} for {}: {} after {}, by {}{}; {} of {} requests of this VM went there; of {} answers {} failed \
             and {} of {} timed were slow, of the old version's {}: {}, and {} of {}",
            of("number"),
            of("to_version"),
            of("to"),
            of("from"),
            of("reason"),
            match of("by") {
                "-" => String::new(),
                by => format!(" ({by}: {} found, {} expected)", of("found"), of("expected")),
            },
            of("exposed"),
            of("placed"),
            of("new_answers"),
            of("new_failed"),
            of("new_slow"),
            of("new_timed"),
            of("old_answers"),
            of("old_failed"),
            of("old_slow"),
            of("old_timed"),
        ),
        "broken-off" => format!("broken off towards its caller: {}", of("reason")),
        "ended" => format!(
            "ended {} after {} ms and {} attempt(s); first event after {} ms, longest pause {} ms",
            of("outcome"),
            of("total_ms"),
            of("attempts"),
            of("first_ms"),
            of("longest_pause_ms")
        ),
        other => format!("{other}: {fields:?}"),
    }
}

/// Reads a line of key=value pairs; values with spaces stand in quotes. What stands before the first
/// pair, as a collector may add it, is passed over.
fn fields_of(line: &str) -> LineFields {
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
