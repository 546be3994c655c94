//! Human-readable output of the commands.

use std::collections::BTreeMap;

use ryetide::request_report::{ClassReport, RequestReport, TimeQuantiles};
use ryetide_core::entry::EntryStatus;

/// Formats a status as lines.
pub fn status(status: &EntryStatus) -> String {
    let mut lines = vec![
        format!("vm         {}", status.name),
        format!("revision   {}", status.revision),
        format!("shutdown   {:?}", status.drain),
        format!("claims     {}", status.claims),
    ];
    let requests = status.requests.iter();
    lines.extend(requests.map(|(state, count)| format!("requests   {state:?} {count}")));
    let peers = status.peers.iter();
    lines.extend(peers.map(|(name, revision)| format!("peer       {name} revision {revision}")));
    lines.extend(status.silent_peers.iter().map(|name| format!("peer       {name} not heard")));
    for scope in &status.scopes {
        let role = if scope.elected { "arbiter" } else { "own share" };
        lines.push(format!(
            "scope      {} in {}: {role}, {} waiting, {} held",
            scope.service, scope.data_centre, scope.waiting, scope.held
        ));
    }
    joined(lines)
}

/// Formats a report as two tables and the rejects.
pub fn report(report: &RequestReport) -> String {
    let mut lines = classes("tier", &report.tiers);
    lines.extend(classes("organisation", &report.organisations));
    let rejects = report.rejects.iter();
    lines.extend(rejects.map(|(reason, count)| format!("rejected {reason}: {count}")));
    joined(lines)
}

fn classes(kind: &str, classes: &BTreeMap<String, ClassReport>) -> Vec<String> {
    let mut lines = vec![format!(
        "{kind:<16} {:>9} {:>6} {:>8} {:>8} {:>10} | ms at p50/p95/p99: {:>16} {:>16} {:>14} {:>18}",
        "answered", "late", "not-run", "unknown", "wasted", "queued", "first", "between", "total"
    )];
    lines.extend(classes.iter().map(|(name, class)| {
        format!(
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
        )
    }));
    lines
}

fn joined(lines: Vec<String>) -> String {
    lines.into_iter().map(|line| line + "\n").collect()
}

fn times(quantiles: &TimeQuantiles) -> String {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let TimeQuantiles { p50, p95, p99, .. } = quantiles;
    format!("{:.1}/{:.1}/{:.1}", millis(*p50), millis(*p95), millis(*p99))
}

/// Returns the lines that differ between the current text and an edited one.
pub fn difference(current: &str, edited: &str) -> String {
    let is_missing = |text: &str, line: &str| !text.lines().any(|other| other == line);
    let removed =
        current.lines().filter(|line| is_missing(edited, line)).map(|line| format!("- {line}"));
    let added =
        edited.lines().filter(|line| is_missing(current, line)).map(|line| format!("+ {line}"));
    joined(removed.chain(added).collect())
}
