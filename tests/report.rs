//! Request statistics for each tier and organisation, and statsd metrics.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{net::UdpSocket, sync::Arc, time::Duration};

use ryetide::{
    request_report::{self, ReportCommand, ReportRings, RequestReport},
    ring,
};
use ryetide_core::{
    effect::{OutcomeKind, RequestSummary},
    ids::{OrganisationName, RequestSequence, ServiceName, TierName},
    units::Tokens,
};
use tokio::sync::{Notify, oneshot};

fn summary(outcome: OutcomeKind, late: bool) -> RequestSummary {
    RequestSummary {
        sequence: RequestSequence(1),
        service: ServiceName::from("drafting"),
        organisation: OrganisationName::from("asha"),
        tier: TierName::from("floor"),
        outcome,
        queued: Duration::from_millis(2),
        first_piece: Some(Duration::from_millis(20)),
        between_pieces: Some(Duration::from_millis(5)),
        total: Duration::from_millis(100),
        late,
        wasted_prompt: Tokens(if late { 70 } else { 0 }),
        prompt: Tokens(70),
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// Records `summaries` and returns the report.
fn report(summaries: Vec<RequestSummary>, statsd: Option<std::net::SocketAddr>) -> RequestReport {
    let ready = Arc::new(Notify::new());
    let (sender, receiver) = ring::ring_with_notify(64, Arc::clone(&ready));
    let rings = ReportRings::new(vec![receiver], ready);
    runtime().block_on(async move {
        let recording = async move {
            for summary in summaries {
                sender.send(ReportCommand::Record(summary)).await.unwrap();
            }
            sender.send(ReportCommand::Reject("body-too-large")).await.unwrap();
            let (reply, report) = oneshot::channel();
            sender.send(ReportCommand::Read(reply)).await.unwrap();
            report.await.unwrap()
        };
        // Dropping the sender ends `run`.
        let (ended, report) = tokio::join!(request_report::run(rings, statsd), recording);
        ended.unwrap();
        report
    })
}

/// Guards against a request that is missing from a report or counted under a wrong outcome.
#[test]
fn requests_are_counted_by_tier_and_organisation() {
    let summaries = vec![
        summary(OutcomeKind::Answered, false),
        summary(OutcomeKind::Answered, true),
        summary(OutcomeKind::NotRun, false),
        summary(OutcomeKind::Unknown, false),
    ];
    let report = report(summaries, None);
    for class in [&report.tiers["floor"], &report.organisations["asha"]] {
        assert_eq!((class.answered, class.late, class.not_run, class.unknown), (1, 1, 1, 1));
        assert_eq!((class.prompt_tokens, class.wasted_prompt_tokens), (280, 70));
        assert_eq!(class.total.count, 4);
        // The histograms keep two significant digits.
        assert!((99_000..=101_000).contains(&class.total.p99), "{:?}", class.total);
    }
    assert_eq!(report.rejects["body-too-large"], 1);
}

/// Guards against metrics that are not sent, or are sent under another name or tag.
#[test]
fn statsd_lines_go_out() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let address = socket.local_addr().unwrap();
    // Metrics are buffered and sent once a packet is full.
    report(vec![summary(OutcomeKind::Answered, false); 40], Some(address));
    let mut packet = [0; 2_048];
    let (length, _) = socket.recv_from(&mut packet).unwrap();
    let text = String::from_utf8_lossy(&packet[..length]).into_owned();
    let line = "ryetide.requests:1|c|#tier:floor,service:drafting,outcome:answered";
    assert!(text.contains(line), "{text}");
}
