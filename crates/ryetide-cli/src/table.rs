//! What the commands print for people.

use std::{collections::BTreeMap, fmt::Write};

use ryetide::request_report::{ClassReport, RequestReport, TimeQuantiles};
use ryetide_core::entry::EntryStatus;

/// Returns a status as lines.
pub fn status(status: &EntryStatus) -> String {
    let mut text = String::new();
    // Writing into a string cannot fail.
    let _ = writeln!(text, "vm         {}", status.name);
    let _ = writeln!(text, "revision   {}", status.revision);
    let _ = writeln!(text, "shutdown   {:?}", status.drain);
    let _ = writeln!(text, "claims     {}", status.claims);
    for (state, count) in &status.requests {
        let _ = writeln!(text, "requests   {state:?} {count}");
    }
    for (name, revision) in &status.peers {
        let _ = writeln!(text, "peer       {name} revision {revision}");
    }
    for name in &status.silent_peers {
        let _ = writeln!(text, "peer       {name} not heard");
    }
    for scope in &status.scopes {
        let role = if scope.elected { "arbiter" } else { "own share" };
        let _ = writeln!(
            text,
            "scope      {} in {}: {role}, {} waiting, {} held",
            scope.service, scope.data_centre, scope.waiting, scope.held
        );
    }
    text
}

/// Returns a report as two tables and the rejects.
pub fn report(report: &RequestReport) -> String {
    let mut text = classes("tier", &report.tiers);
    text.push_str(&classes("organisation", &report.organisations));
    for (reason, count) in &report.rejects {
        let _ = writeln!(text, "rejected {reason}: {count}");
    }
    text
}

fn classes(kind: &str, classes: &BTreeMap<String, ClassReport>) -> String {
    let mut text = format!(
        "{kind:<16} {:>9} {:>6} {:>8} {:>8} {:>10} | ms at p50/p95/p99: {:>16} {:>16} {:>14} {:>18}\n",
        "answered", "late", "not-run", "unknown", "wasted", "queued", "first", "between", "total"
    );
    for (name, class) in classes {
        let _ = writeln!(
            text,
            "{name:<16} {:>9} {:>6} {:>8} {:>8} {:>10} | {:>35} {:>16} {:>14} {:>18}",
            class.answered,
            class.late,
            class.not_run,
            class.unknown,
            class.wasted_prompt_tokens,
            times(&class.queued),
            times(&class.first_piece),
            times(&class.between_pieces),
            times(&class.total),
        );
    }
    text
}

fn times(quantiles: &TimeQuantiles) -> String {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let TimeQuantiles { p50, p95, p99, .. } = quantiles;
    format!("{:.1}/{:.1}/{:.1}", millis(*p50), millis(*p95), millis(*p99))
}

/// Returns the lines that differ between the text that stands and an operator's own.
pub fn difference(standing: &str, own: &str) -> String {
    let mut text = String::new();
    for line in standing.lines().filter(|line| !own.lines().any(|other| other == *line)) {
        let _ = writeln!(text, "- {line}");
    }
    for line in own.lines().filter(|line| !standing.lines().any(|other| other == *line)) {
        let _ = writeln!(text, "+ {line}");
    }
    text
}
