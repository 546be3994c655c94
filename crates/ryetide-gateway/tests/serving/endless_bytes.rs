//! Targets that send bytes without end until their connection is closed.

use std::{cell::Cell, time::Duration};

use ryetide_core::route::{RouteKind, RouteRule};
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::{
    cut_off::{CutPath, CutSite},
    support::{self, Gateway, Message, Target, Wire},
};

/// The most bytes that a gateway takes of one answer: twice its bound for plain answers, and what sockets
/// hold.
const MOST_BYTES: usize = 16 << 20;
/// Bytes that are sent at a time.
const PIECE: usize = 64 << 10;
/// The time after which no bytes may be taken any more.
const LIMIT: Duration = Duration::from_secs(4);
/// Long enough that it ends none of the answers.
const TIMEOUT: Duration = Duration::from_secs(60);
const KINDS: [RouteKind; 3] = [
    RouteKind::OnceOnly,
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
];
/// The parts of an answer that may have no end.
const PARTS: [&str; 10] = [
    "interim",
    "head-lines",
    "head-line",
    "junk",
    "chunk-size",
    "chunk-extension",
    "chunks",
    "trailers",
    "body",
    "event",
];

thread_local! {
    /// The bytes that the target of a test has sent.
    static SENT: Cell<usize> = const { Cell::new(0) };
}

/// Returns what comes before the endless part of an answer, and what is repeated.
fn endless(part: &str, signed: &str) -> (String, String) {
    let chunked = format!("{signed}transfer-encoding: chunked\r\n\r\n");
    let event_stream = format!("{signed}content-type: text/event-stream\r\n\r\n");
    match part {
        "interim" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        "head-lines" => (signed.to_owned(), "x-line: more\r\n".to_owned()),
        "head-line" => (format!("{signed}x-line: "), "more".to_owned()),
        "junk" => (String::new(), "\u{1}junk".to_owned()),
        "chunk-size" => (chunked, "0".to_owned()),
        "chunk-extension" => (format!("{chunked}4;"), "more=1;".to_owned()),
        "chunks" => (chunked, format!("1000\r\n{}\r\n", "more".repeat(0x400))),
        "trailers" => (format!("{chunked}0\r\n"), "x-line: more\r\n".to_owned()),
        "body" => (format!("{signed}\r\n"), "more".to_owned()),
        "event" => (event_stream, "data: more\n".to_owned()),
        _ => panic!("no such part: {part}"),
    }
}

fn sending_without_end(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let part = request.header("test-part").expect("a part");
        let (start, repeated) = endless(part, &support::signed(&request, "200 OK"));
        let piece = repeated.repeat(PIECE / repeated.len());
        SENT.set(0);
        if wire.try_send(&start).await {
            while wire.try_send(&piece).await {
                SENT.set(SENT.get() + piece.len());
            }
        }
        None
    })
}

fn route(kind: RouteKind) -> RouteRule {
    RouteRule { timeout: TIMEOUT, ..support::route(kind, 1) }
}

/// Asks for an answer without end, and checks that it is given up.
async fn check(gateway: &Gateway, kind: RouteKind, part: &str) {
    let mut wire = gateway.call().await;
    let headers = format!("test-part: {part}\r\n");
    wire.send(&support::request("POST", "q1", &headers, "body")).await;
    let ending = time::timeout(LIMIT, wire.read_to("\r\n\r\n")).await;
    let head = ending.unwrap_or_else(|_| panic!("{kind:?} {part}: no answer")).expect("a head");
    let status = Message { head, body: String::new() }.status();
    if status == 200 {
        let reading = time::timeout(LIMIT, support::read_chunks(&mut wire)).await;
        let (_, is_whole) = reading.unwrap_or_else(|_| panic!("{kind:?} {part}: no end"));
        assert!(!is_whole, "{kind:?} {part}");
    } else {
        assert_eq!(status, 502, "{kind:?} {part}");
    }
    assert!(SENT.get() <= MOST_BYTES, "{kind:?} {part}: {} bytes", SENT.get());
}

/// Guards against a VM that keeps all bytes of an answer without end, and runs out of memory.
#[test]
fn an_answer_without_end_is_given_up() {
    for kind in KINDS {
        support::run(async {
            let target = Target::start("t1", sending_without_end).await;
            for part in PARTS {
                let gateway = Gateway::serving(route(kind), &[&target]).await;
                check(&gateway, kind, part).await;
            }
        });
    }
}

/// Guards against the same through a peer, and at that peer.
#[test]
fn an_answer_without_end_through_a_peer_is_given_up() {
    for kind in KINDS {
        for parts in PARTS.chunks(3) {
            support::run(async {
                for part in parts {
                    let paths = vec![CutPath::refusing().await];
                    let site = CutSite::start(kind, sending_without_end, paths).await;
                    check(site.cut(), kind, part).await;
                }
            });
        }
    }
}
