//! Tests of the checks that a chart must pass when it is loaded.

use ryetide_core::chart::{ChartError, DrainEvent, DrainState, StateChart};

type DrainChart = StateChart<DrainState, DrainEvent>;

const VALID: &str = "
name: drain
initial: serving
states:
  serving: {on: {shutdown: draining}, ignore: [idle]}
  draining: {on: {idle: drained}, ignore: [shutdown]}
  drained: {terminal: true}
";

fn parse_error(text: &str) -> ChartError {
    DrainChart::parse(text).expect_err("parsing an invalid chart should fail")
}

#[test]
fn a_valid_chart_parses() {
    let chart = DrainChart::parse(VALID).unwrap();
    assert_eq!(chart.transitions().count(), 2);
    assert!(chart.is_terminal(DrainState::Drained));
}

#[test]
fn each_invalid_chart_is_rejected_with_its_cause() {
    let cases = [
        (VALID.replace("ignore: [idle]", "ignore: []"), "neither handles nor ignores Idle"),
        (VALID.replace("ignore: [idle]", "ignore: [idle, shutdown]"), "names Shutdown twice"),
        (VALID.replace("idle: drained", "idle: draining"), "Drained cannot be reached"),
        (VALID.replace("  drained: {terminal: true}\n", ""), "Drained is missing"),
        (VALID.replace("idle: drained", "idle: nowhere"), "does not parse"),
    ];
    for (text, expected) in cases {
        let message = parse_error(&text).to_string();
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn a_duplicate_state_is_rejected() {
    let doubled = format!("{VALID}  serving: {{terminal: true}}\n");
    assert!(matches!(parse_error(&doubled), ChartError::Malformed(_)));
}
