//! Streams that end with their connection, with neither a length nor chunks, and what their callers see.

use std::time::Duration;

use ryetide_core::{route::RouteKind, target_load::TargetEntry};
use ryetide_gateway::ports::LocalFuture;
use tokio::{net::TcpListener, task, time};

use crate::{
    cut_off::{CutPath, CutSite},
    support::{self, Gateway, Message, StreamEnd, Target, Wire},
};

const ONCE: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

/// Answers with the request's body as a stream, and closes the connection. `test-head` in the request
/// adds headers, `test-reset` makes the close a reset.
fn echoing(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let added = request.header("test-head").map(|it| format!("{it}\r\n")).unwrap_or_default();
        let head = support::signed(&request, "200 OK");
        wire.send(&format!("{head}{added}\r\n{}", request.body)).await;
        if request.header("test-reset").is_some() {
            support::let_bytes_arrive().await;
            wire.reset();
        }
        None
    })
}

/// Answers in HTTP/1.0 with the request's body as a stream, and closes the connection.
fn echoing_in_http_1_0(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK").replace("HTTP/1.1", "HTTP/1.0");
        wire.send(&format!("{head}\r\n{}", request.body)).await;
        None
    })
}

/// Answers with the request's body in one chunk and the last chunk.
fn echoing_in_chunks(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        let chunk = format!("{:x}\r\n{}\r\n", request.body.len(), request.body);
        wire.send(&format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")).await;
        Some(wire)
    })
}

async fn ask(gateway: &Gateway, headers: &str, body: &str) -> StreamEnd {
    let mut wire = gateway.call().await;
    wire.send(&support::request("POST", "q1", headers, body)).await;
    support::read_stream_answer(&mut wire).await
}

/// Asks a once-only route before a target with this script.
async fn ask_once(script: support::Script, headers: &str, body: &str) -> StreamEnd {
    let target = Target::start("t1", script).await;
    let gateway = Gateway::serving(support::route(ONCE, 2), &[&target]).await;
    ask(&gateway, headers, body).await
}

async fn assert_is_complete(headers: &str, body: &str) {
    let end = ask_once(echoing, headers, body).await;
    assert_eq!(end, StreamEnd::Complete(body.to_owned()), "{headers} {body:?}");
}

async fn assert_is_broken_off(script: support::Script, headers: &str, body: &str) {
    let end = ask_once(script, headers, body).await;
    assert!(!matches!(end, StreamEnd::Complete(_)), "{headers} {body:?}: {end:?}");
}

/// The ends of streams that have been broken off, with the line ends that the format permits.
const BROKEN_BODIES: [&str; 9] = [
    "id: 1\ndata: a\n\nid: 2\ndat",
    "id: 1\ndata: a\n\nid: 2\ndata: b",
    "id: 1\ndata: a\n\nid: 2\ndata: b\n",
    "id: 1\ndata: a\n\nid: 2\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n",
    "id: 1\rdata: a\r\rid: 2\rdata: b\r",
    "id: 1\nda",
    "id: 1\ndata: a\n\n: a comm",
    "id: 1\ndata: a\n\nid: 2\n: a comment\n",
];

/// Guards against a stream that breaks off inside an event and looks complete to its caller.
#[test]
fn a_stream_that_ends_with_its_connection_inside_an_event_does_not_look_complete() {
    support::run(async {
        for body in BROKEN_BODIES {
            assert_is_broken_off(echoing, "", body).await;
        }
        assert_is_broken_off(echoing, "test-head: connection: close\r\n", BROKEN_BODIES[0]).await;
        assert_is_broken_off(echoing_in_http_1_0, "", BROKEN_BODIES[0]).await;
    });
}

/// Guards against a stream that breaks off behind a peer and looks complete to its caller.
#[test]
fn a_stream_that_ends_inside_an_event_behind_a_peer_does_not_look_complete() {
    support::run(async {
        let paths = vec![CutPath::refusing().await];
        let site = CutSite::start(ONCE, echoing, paths).await;
        for body in BROKEN_BODIES {
            let end = ask(site.cut(), "", body).await;
            assert!(!matches!(end, StreamEnd::Complete(_)), "{body:?}: {end:?}");
        }
    });
}

/// Guards against a stream that its target ends in the middle of an event with a last chunk.
#[test]
fn a_stream_in_chunks_that_ends_inside_an_event_does_not_look_complete() {
    support::run(async {
        for body in BROKEN_BODIES {
            assert_is_broken_off(echoing_in_chunks, "", body).await;
        }
    });
}

/// Guards against a stream without any event that looks complete: its target has only sent the head.
#[test]
fn a_stream_that_ends_with_its_connection_before_any_event_does_not_look_complete() {
    support::run(async {
        assert_is_broken_off(echoing, "", "").await;
        assert_is_broken_off(echoing, "", ": a comment\n\n").await;
    });
}

/// Guards against a reset that is taken for the end of a stream.
#[test]
fn a_stream_that_is_reset_does_not_look_complete() {
    support::run(async {
        for body in ["id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda"] {
            assert_is_broken_off(echoing, "test-reset: 1\r\n", body).await;
        }
    });
}

/// Guards against a length that is longer than the body and taken for the body's.
#[test]
fn a_stream_that_is_shorter_than_its_length_does_not_look_complete() {
    support::run(async {
        let headers = "test-head: content-length: 99\r\n";
        assert_is_broken_off(echoing, headers, "id: 1\ndata: a\n\n").await;
    });
}

/// Guards against complete streams that are withheld because they end with their connection.
#[test]
fn a_whole_stream_that_ends_with_its_connection_is_complete() {
    support::run(async {
        for body in [
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            "id: 1\r\ndata: a\r\n\r\n",
            "id: 1\rdata: a\r\r",
            "\u{feff}id: 1\ndata: a\n\n",
            "id: 1\ndata: a\n\n: a comment\n",
            "id: 1\ndata: a\n\nretry: 100\n",
            "id: 1\ndata: a\n\n\n\n",
        ] {
            assert_is_complete("", body).await;
        }
        // A caller that has received everything but the end asks for what follows.
        assert_is_complete("last-event-id: 2\r\n", "").await;
    });
}

/// Guards against looking for events in an answer that is no event stream.
#[test]
fn an_answer_of_another_type_that_ends_with_its_connection_is_complete() {
    support::run(async {
        let headers = "test-head: content-type: application/json\r\n";
        assert_is_complete(headers, "{\"done\": true}").await;
    });
}

/// Guards against a caller that misses the rest of a stream which may be resumed.
#[test]
fn a_resumable_stream_that_ends_with_its_connection_inside_an_event_is_resumed() {
    fn broken_once(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            let is_resumed = request.header("last-event-id").is_some();
            let body =
                if is_resumed { "id: 2\rdata: b\r\r" } else { "id: 1\rdata: a\r\rid: 2\rda" };
            wire.send(&format!("{}\r\n{body}", support::signed(&request, "200 OK"))).await;
            None
        })
    }
    support::run(async {
        let targets =
            [Target::start("t1", broken_once).await, Target::start("t2", broken_once).await];
        let route = support::route(RESUMABLE, 2);
        let gateway = Gateway::serving(route, &targets.each_ref()).await;
        let end = ask(&gateway, "", "body").await;
        assert_eq!(end, StreamEnd::Complete("id: 1\rdata: a\r\rid: 2\rdata: b\r\r".to_owned()));
    });
}

/// Answers `body` with neither a length nor chunks, and ends: its connection closes and its address
/// refuses others. No other test listens on this host.
async fn start_crashing_target(host: &str, body: &'static str) -> TargetEntry {
    let listener = TcpListener::bind((host, 0)).await.expect("a port");
    let entry = support::entry("t1", listener.local_addr().expect("an address"));
    task::spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut wire = Wire::new(stream);
        let request = wire.read_message().await.expect("a request");
        drop(listener);
        wire.send(&format!("{}\r\n{body}", support::signed(&request, "200 OK"))).await;
    });
    entry
}

async fn serve_crashing_target(kind: RouteKind, host: &str, body: &'static str) -> Gateway {
    let gateway = Gateway::serving(support::route(kind, 1), &[]).await;
    gateway.set_targets(vec![start_crashing_target(host, body).await]).await;
    gateway
}

/// Guards against a stream that looks complete because its target has crashed between two events.
#[test]
fn a_stream_whose_target_crashes_between_two_events_does_not_look_complete() {
    support::run(async {
        let gateway = serve_crashing_target(ONCE, "127.0.0.2", "id: 1\ndata: a\n\n").await;
        let end = ask(&gateway, "", "body").await;
        assert_eq!(end, StreamEnd::BrokenOff("id: 1\ndata: a\n\n".to_owned()));
    });
}

/// Guards against a part of an answer that looks complete because its target has crashed.
#[test]
fn an_answer_whose_target_crashes_does_not_look_complete() {
    support::run(async {
        let gateway = serve_crashing_target(RouteKind::OnceOnly, "127.0.0.3", "half of it").await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 502);
    });
}

/// Guards against a part of an answer that looks complete, because the system of a target that is killed
/// closes the answer's connection some milliseconds before its address refuses others.
#[test]
fn an_answer_whose_target_refuses_a_moment_later_does_not_look_complete() {
    support::run(async {
        for kind in [ONCE, RESUMABLE, RouteKind::OnceOnly] {
            let listener = TcpListener::bind(("127.0.0.5", 0)).await.expect("a port");
            let entry = support::entry("t1", listener.local_addr().expect("an address"));
            let gateway = Gateway::serving(support::route(kind, 1), &[]).await;
            gateway.set_targets(vec![entry]).await;
            let dying = async {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut wire = Wire::new(stream);
                let request = wire.read_message().await.expect("a request");
                let head = support::signed(&request, "200 OK");
                wire.send(&format!("{head}\r\nid: 1\ndata: a\n\n")).await;
                drop(wire);
                time::sleep(Duration::from_millis(10)).await;
                drop(listener);
            };
            let (end, ()) = tokio::join!(ask(&gateway, "", "body"), dying);
            assert!(!matches!(end, StreamEnd::Complete(_)), "{kind:?}: {end:?}");
        }
    });
}

/// Guards against whole answers that are withheld because their target resets the connections that it
/// has no room for.
#[test]
fn a_whole_answer_of_a_target_that_resets_further_connections_is_complete() {
    support::run(async {
        let body = "id: 1\ndata: a\n\n";
        let listener = TcpListener::bind(("127.0.0.6", 0)).await.expect("a port");
        let entry = support::entry("t1", listener.local_addr().expect("an address"));
        let gateway = Gateway::serving(support::route(ONCE, 1), &[]).await;
        gateway.set_targets(vec![entry]).await;
        task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut wire = Wire::new(stream);
            let request = wire.read_message().await.expect("a request");
            wire.send(&format!("{}\r\n{body}", support::signed(&request, "200 OK"))).await;
            drop(wire);
            while let Ok((stream, _)) = listener.accept().await {
                Wire::new(stream).reset();
            }
        });
        assert_eq!(ask(&gateway, "", "body").await, StreamEnd::Complete(body.to_owned()));
    });
}

/// What becomes of a target while it answers.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Its entry says that it leaves.
    Leaves,
    /// Its entry is gone.
    Lapses,
    /// Another target has its address.
    Replaced,
}

impl Change {
    fn entries(self, target: &TargetEntry) -> Vec<TargetEntry> {
        match self {
            Self::Leaves => vec![TargetEntry { leaving: true, ..target.clone() }],
            Self::Lapses => Vec::new(),
            Self::Replaced => vec![TargetEntry { name: "t2".into(), ..target.clone() }],
        }
    }
}

/// Asks a target that `change` meets while it answers `body`, and that has `ended` once its connection
/// ends.
async fn ask_changed(
    kind: RouteKind,
    change: Change,
    ended: bool,
    body: &'static str,
) -> StreamEnd {
    let listener = TcpListener::bind(("127.0.0.4", 0)).await.expect("a port");
    let entry = support::entry("t1", listener.local_addr().expect("an address"));
    let gateway = Gateway::serving(support::route(kind, 1), &[]).await;
    gateway.set_targets(vec![entry.clone()]).await;
    let answering = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut wire = Wire::new(stream);
        let request = wire.read_message().await.expect("a request");
        gateway.send_targets(change.entries(&entry)).await;
        let kept = if ended { None } else { Some(listener) };
        wire.send(&format!("{}\r\n{body}", support::signed(&request, "200 OK"))).await;
        kept
    };
    let (end, _listener) = tokio::join!(ask(&gateway, "", "body"), answering);
    end
}

/// Guards against a part of an answer that looks complete because its target had said that it leaves, or
/// had no entry, before it crashed.
#[test]
fn an_answer_whose_target_crashes_while_it_leaves_does_not_look_complete() {
    support::run(async {
        let body = "id: 1\ndata: a\n\n";
        for kind in [ONCE, RESUMABLE, RouteKind::OnceOnly] {
            for change in [Change::Leaves, Change::Lapses, Change::Replaced] {
                let end = ask_changed(kind, change, true, body).await;
                assert!(!matches!(end, StreamEnd::Complete(_)), "{kind:?} {change:?}: {end:?}");
            }
            let end = ask_changed(kind, Change::Replaced, false, body).await;
            assert!(!matches!(end, StreamEnd::Complete(_)), "{kind:?}: {end:?}");
        }
    });
}

/// Guards against whole answers that are withheld because their target leaves.
#[test]
fn a_whole_answer_of_a_target_that_leaves_is_complete() {
    support::run(async {
        let body = "id: 1\ndata: a\n\n";
        for kind in [ONCE, RESUMABLE] {
            for change in [Change::Leaves, Change::Lapses] {
                let end = ask_changed(kind, change, false, body).await;
                assert_eq!(end, StreamEnd::Complete(body.to_owned()), "{kind:?} {change:?}");
            }
        }
    });
}

/// Guards against counting a stream that broke off as answered.
#[test]
fn a_stream_that_ends_with_its_connection_inside_an_event_is_not_counted_as_answered() {
    support::run(async {
        let target = Target::start("t1", echoing).await;
        let gateway = Gateway::serving(support::route(ONCE, 1), &[&target]).await;
        ask(&gateway, "", BROKEN_BODIES[0]).await;
        let metrics = gateway.get_status_page("/metrics").await.body;
        let outcome = |name| format!("ryetide_outcomes_total{{outcome=\"{name}\"}} 1");
        assert!(metrics.contains(&outcome("broken-off")), "{metrics}");
        assert!(!metrics.contains(&outcome("answered")), "{metrics}");
    });
}

/// Guards against a stream that looks complete to a caller in HTTP/1.0, which takes no chunks: the end of
/// its connection is the end of the answer.
#[test]
fn a_stream_that_breaks_off_is_reset_towards_a_caller_that_takes_no_chunks() {
    support::run(async {
        let target = Target::start("t1", echoing).await;
        let gateway = Gateway::serving(support::route(ONCE, 1), &[&target]).await;
        for (body, is_whole) in [(BROKEN_BODIES[0], false), ("id: 1\ndata: a\n\n", true)] {
            let mut wire = gateway.call().await;
            let request = support::request("POST", "q1", "", body).replace("HTTP/1.1", "HTTP/1.0");
            wire.send(&request).await;
            wire.read_to("\r\n\r\n").await.expect("a head");
            wire.read_to("data: a\n\n").await.expect("the first event");
            assert_eq!(wire.ends_in_order().await, is_whole, "{body:?}");
        }
    });
}
