//! `ryetide explain` on log lines in the gateways' format.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

/// Log lines of two VMs, not in order of time, mixed with lines of another request.
const LOG: &str = r#"
ts=2026-03-25T04:18:49.2333Z level=warn event=answer-lost vm=e2 request=q1 sequence=16 target=i-ec kept_connection=false reason="send: connection error"
ts=2026-03-25T04:18:49.2290Z level=info event=placed vm=e2 request=q1 sequence=16 route=r1 target=i-ec revision=14 waited_ms=0 expected_ms=66 to_read=732 running=1 line=1 late=false on_time=true
ts=2026-03-25T04:18:49.2300Z level=info event=placed vm=e1 request=q2 sequence=9 route=r1 target=i-aa revision=14 waited_ms=0 expected_ms=6 to_read=0 running=1 line=1 late=false on_time=true
ts=2026-03-25T04:18:49.2334Z level=info event=own-answer vm=e2 request=q1 status=502 reason=target-failed
ts=2026-03-25T04:18:51.1000Z level=warn event=target-crashed vm=e1 request=q7 print=5f target=i-ab peer=10.0.0.1:80 ran_ms=80 runs=3
ts=2026-03-25T04:18:51.2000Z level=warn event=target-crashed vm=e1 request=q8 print=6a target=i-ab peer=10.0.0.1:80 ran_ms=900 runs=3
ts=2026-03-25T04:18:52.3000Z level=warn event=quarantine-begun vm=e2 print=5f crashes=3 blamed=3 elsewhere=0 targets=12 chance_ppb=100
ts=2026-03-25T04:18:53.1000Z level=info event=quarantined vm=e1 request=q9 sequence=20 print=5f route=r1 retry_ms=600000
ts=2026-03-25T04:18:55.1000Z level=warn event=target-crashed vm=e1 request=q11 print=7c parts=3/a1,3/bad target=i-ac peer=10.0.0.2:80 ran_ms=70 runs=1
ts=2026-03-25T04:18:56.1000Z level=warn event=quarantine-begun vm=e2 kind=part print=3/bad crashes=5 blamed=4 elsewhere=1 targets=12 chance_ppb=3
ts=2026-03-25T04:18:57.1000Z level=info event=quarantined vm=e1 request=q10 sequence=21 print=8d part=3/bad route=r1 retry_ms=600000
ts=2026-03-25T04:19:01.1000Z level=info event=rollout-ordered service=desk number=17 to=v2
ts=2026-03-25T04:19:09.2000Z level=info event=rollout-step vm=e2 service=desk to_version=v2 number=17 from=Trial to=Condemned reason=evidence by=failures expected=0.01 found=0.5 answers=20 placed=300 exposed=24 old_answers=276 old_failed=1 old_timed=200 old_slow=41 new_answers=20 new_failed=10 new_timed=6 new_slow=1
ts=2026-03-25T04:19:09.3000Z level=info event=rollout-row service=desk number=17 word=rolled-back
"#;

fn explain(id: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ryetide"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("ryetide runs");
    let mut input = child.stdin.take().expect("standard input is piped");
    input.write_all(LOG.as_bytes()).expect("ryetide reads the log");
    drop(input);
    child.wait_with_output().expect("ryetide exits")
}

/// Guards against a timeline with lines that are missing, unrelated or not in order of time.
#[test]
fn the_timeline_of_a_request_is_in_order() {
    let output = explain("q1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("e2  sent to i-ec after waiting 0 ms"), "{text}");
    assert!(lines[1].contains("may have run: send: connection error"), "{text}");
    assert!(lines[2].contains("answered 502 by the gateway: target-failed"), "{text}");
}

/// Guards against rollout events that are missing from the timeline of their service.
#[test]
fn the_timeline_of_a_rollout_is_found_by_its_service() {
    let text = String::from_utf8(explain("desk").stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("order 17: move to v2"), "{text}");
    let expected = "Condemned after Trial, by evidence (failures: 0.5 found, 0.01 expected)";
    assert!(lines[1].contains(expected), "{text}");
    assert!(lines[1].contains("24 of 300 requests"), "{text}");
    assert!(lines[2].contains("status rolled-back"), "{text}");
}

/// Guards against a timeline that omits why an attempt was refused: earlier attempts at other VMs and
/// under other ids have crashed targets.
#[test]
fn the_timeline_shows_crashes_under_other_attempts_of_the_request() {
    let text = String::from_utf8(explain("q9").stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("i-ab crashed after attempt q7 had run there for 80 ms"), "{text}");
    assert!(lines[1].contains("quarantined: 3 of 3 crashes"), "{text}");
    assert!(lines[2].contains("refused because it crashes targets"), "{text}");
}

/// Guards against a timeline that omits why a request was refused that has crashed nothing: others
/// with one part of its prompt have.
#[test]
fn the_timeline_shows_crashes_under_other_requests_with_the_part() {
    let text = String::from_utf8(explain("q10").stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("i-ac crashed after attempt q11 had run there for 70 ms"), "{text}");
    assert!(lines[1].contains("part 3/bad of prompts quarantined: 4 of 5 crashes"), "{text}");
    assert!(
        lines[2].contains("refused because part 3/bad of its prompt crashes targets"),
        "{text}"
    );
}

/// Guards against an empty timeline with exit code 0 for an unknown request.
#[test]
fn a_request_that_is_not_in_the_log_is_reported() {
    let output = explain("q3");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no entries for request q3"));
}
