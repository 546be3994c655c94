//! Invalid requests from callers and operators.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use ryetide::request_report::RequestReport;
use ryetide_core::message::ConfigurationText;
use ryetide_lab::{control, engine_batch::EngineSpeed, process_site::ProcessSite};

const VALID_HEADERS: &str = "ryetide-organisation: asha\r\nryetide-tier: floor\r\n";
const BODY: &str = "{\"model\":\"drafting\",\"prompt\":\"p\",\"max_tokens\":4}";

/// Sends raw bytes and returns the status code and the whole response.
fn exchange(entry: SocketAddr, request: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    // Writing may fail: the daemon may answer and close the connection before the end.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text)
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    post_to("/v1/completions", headers, body)
}

fn post_to(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: \
         {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn with(header: &str) -> String {
    format!("{VALID_HEADERS}{header}\r\n")
}

fn check_no_dispatches(site: &ProcessSite) {
    for target in site.targets.iter().filter(|target| target.name.starts_with("engine")) {
        let record: ryetide_lab::engine_batch::EngineRecord =
            control::get(target.address, "/lab/record").unwrap();
        assert!(record.dispatches.is_empty());
    }
}

/// Guards against an invalid request that is answered with a wrong status or reason, is not counted or
/// logged, or reaches an engine.
#[test]
fn each_fault_has_its_status_and_reason() {
    let site = crate::support::start(crate::support::fast());
    let entry = site.daemons[0].site.callers;
    let other_model = BODY.replace("drafting", "nosuch");
    let cases: Vec<(Vec<u8>, u16, &str)> = vec![
        (post("ryetide-tier: floor\r\n", BODY), 400, "header-missing"),
        (post("ryetide-organisation: asha\r\n", BODY), 400, "header-missing"),
        (post(&VALID_HEADERS.replace("asha", "nobody"), BODY), 403, "unknown-organisation"),
        (post(&VALID_HEADERS.replace("floor", "attic"), BODY), 400, "unknown-tier"),
        (post(VALID_HEADERS, &other_model), 404, "unknown-service"),
        (post(VALID_HEADERS, "{not json"), 400, "body-malformed"),
        (post(VALID_HEADERS, "{\"prompt\":\"no model\"}"), 400, "body-malformed"),
        (post(&with("ryetide-deadline-ms: 0"), BODY), 400, "deadline-past"),
        (post(&with("ryetide-deadline-ms: -5"), BODY), 400, "deadline-past"),
        (post(&with("ryetide-deadline-ms: soon"), BODY), 400, "header-value"),
        (post(&with("ryetide-non-idempotent: maybe"), BODY), 400, "header-value"),
        (post(&with("ryetide-non-idempotent: true"), BODY), 400, "key-missing"),
        (post(&with(&format!("idempotency-key: {}", "k".repeat(300))), BODY), 400, "header-value"),
        (post(&with("idempotency-key: cl\u{e9}"), BODY), 400, "header-value"),
        (post(&with("ryetide-deadline-ms: 5\u{e9}"), BODY), 400, "header-value"),
        (post_to("/nowhere", VALID_HEADERS, BODY), 404, "path-unknown"),
        (post_to("/services/nosuch/x", VALID_HEADERS, BODY), 404, "unknown-service"),
        (
            post_to("/services/records/x", VALID_HEADERS, &"x".repeat(8_400_000)),
            413,
            "body-too-large",
        ),
    ];
    for (request, status, reason) in &cases {
        let (found, text) = exchange(entry, request);
        let shown = String::from_utf8_lossy(&request[..request.len().min(200)]).into_owned();
        assert_eq!(found, *status, "{shown}\n{text}");
        assert!(text.contains(reason), "{reason} is missing: {text}");
        assert!(text.contains("ryetide-outcome: not-run"), "{text}");
    }
    check_no_dispatches(&site);
    let report: RequestReport = control::get(site.daemons[0].site.operators, "/v1/report").unwrap();
    let counted: u64 = report.rejects.values().sum();
    assert_eq!(counted, cases.len() as u64, "{:?}", report.rejects);
    let line = site.daemons[0].process.wait_line("event=request-rejected", Duration::from_secs(5));
    let line = line.unwrap();
    assert!(line.contains("step=read") && line.contains("peer="), "{line}");
}

/// Guards against a caller that announces a body and does not send it, which would occupy a connection
/// without limit. It must be answered 408 at the body timeout, and nothing may be dispatched.
#[test]
fn a_trickled_body_is_cut_off() {
    let site = crate::support::start(crate::support::fast());
    let entry = site.daemons[0].site.callers;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n{VALID_HEADERS}content-length: 500\r\n\r\n{{"
    );
    let (status, text) = exchange(entry, request.as_bytes());
    assert_eq!(status, 408, "{text}");
    assert!(text.contains("body-too-slow"), "{text}");
    check_no_dispatches(&site);
}

/// Guards against unbounded memory for a caller that reads nothing of a large answer. The connection
/// must be closed and the request cancelled at the engine.
#[test]
fn a_caller_that_does_not_read_is_cut_off() {
    // Slow enough that the engine is still generating when the caller is cut off.
    let speed = EngineSpeed { decode_rate: 2_000.0, ..crate::support::fast() };
    let site = crate::support::start(speed);
    let entry = site.daemons[0].site.callers;
    let body = "{\"model\":\"drafting\",\"prompt\":\"p\",\"max_tokens\":20000,\"stream\":true,\
                \"lab_token_bytes\":4096}";
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.write_all(&post(VALID_HEADERS, body)).unwrap();
    let daemon = &site.daemons[0].process;
    let line = daemon.wait_line("event=caller-too-slow", Duration::from_secs(20));
    assert!(line.is_some(), "{:?}", daemon.lines());
    crate::support::wait_until("the request is cancelled", Duration::from_secs(10), || {
        site.targets.iter().filter(|target| target.name.starts_with("engine")).any(|target| {
            let record: ryetide_lab::engine_batch::EngineRecord =
                control::get(target.address, "/lab/record").unwrap();
            record.cancelled == 1
        })
    });
    drop(stream);
}

/// Guards against an edit whose base revision does not parse. Treated as an edit without a base, it
/// would overwrite what another operator has changed in the meantime.
#[test]
fn an_edit_whose_base_cannot_be_read_changes_nothing() {
    let site = crate::support::start(crate::support::fast());
    let operators = site.daemons[0].site.operators;
    let found: Option<ConfigurationText> = control::get(operators, "/v1/configuration").unwrap();
    let text = format!("{}# edited\n", found.unwrap().text);
    for query in ["base=soon", "base=", "base=-1", "base=1&more=2", "bases=1"] {
        let length = text.len();
        let request = format!(
            "POST /v1/apply?{query} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{text}"
        );
        let (status, answer) = exchange(operators, request.as_bytes());
        assert_eq!(status, 400, "{query}: {answer}");
    }
    let found: Option<ConfigurationText> = control::get(operators, "/v1/configuration").unwrap();
    assert!(!found.unwrap().text.contains("# edited"));
}
