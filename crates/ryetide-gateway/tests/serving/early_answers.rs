//! Targets that answer while a long body is still being written to them, and targets whose answers are
//! no answers.

use ryetide_core::{route::RouteKind, target_load::TargetEntry};
use tokio::{net::TcpListener, task};

use crate::{
    cut_off::{CutPath, CutSite},
    support::{self, Gateway, Message, Target, Wire},
};

const KINDS: [RouteKind; 4] = [
    RouteKind::OnceOnly,
    RouteKind::Repeatable,
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
];
/// The length of an upload: more than sockets hold.
const UPLOAD: usize = 3 << 20;
/// A part of an answer that looks like all of it: the end of the connection marks its end.
const PART: &str = "id: 1\ndata: a\n\n";
/// The pauses before the reset, in turns of the loop in which bytes arrive.
const PAUSES: [u32; 3] = [0, 1, 5];
/// Statuses that are none.
const NO_STATUSES: [&str; 5] = ["000", "099", "1000", "+20", "20"];

/// Starts a target that answers each request at once, before it has read its body, and then resets the
/// connection. Its address goes on to accept connections.
async fn start_resetting_target(name: &str, pauses: u32) -> TargetEntry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let entry = support::entry(name, listener.local_addr().expect("an address"));
    task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn_local(async move {
                let mut wire = Wire::new(stream);
                let Some(head) = wire.read_to("\r\n\r\n").await else { return };
                let request = Message { head, body: String::new() };
                wire.send(&format!("{}\r\n{PART}", support::signed(&request, "200 OK"))).await;
                for _ in 0..pauses {
                    support::let_bytes_arrive().await;
                }
                wire.reset();
            });
        }
    });
    entry
}

/// Uploads a long body; returns whether the caller got a complete answer with status 200.
async fn gets_whole_answer(gateway: &Gateway) -> bool {
    let mut wire = gateway.call().await;
    if !wire.try_send(&support::request("POST", "q1", "", &"x".repeat(UPLOAD))).await {
        return false;
    }
    let Some(head) = wire.read_to("\r\n\r\n").await else { return false };
    let head = Message { head, body: String::new() };
    if head.status() != 200 {
        return false;
    }
    match head.header("content-length") {
        Some(length) => wire.read_exactly(length.parse().expect("a length")).await.is_some(),
        None => support::read_chunks(&mut wire).await.1,
    }
}

/// Guards against a part of an answer that looks complete, because the upload finds the reset of the
/// connection first.
#[test]
fn an_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    support::run(async {
        for kind in KINDS {
            for pauses in PAUSES {
                let entry = start_resetting_target("t1", pauses).await;
                let gateway = Gateway::serving(support::route(kind, 1), &[]).await;
                gateway.set_targets(vec![entry]).await;
                assert!(!gets_whole_answer(&gateway).await, "{kind:?}, reset after {pauses}");
            }
        }
    });
}

/// Guards against the same behind a peer, which finds the reset when it forwards the upload.
#[test]
fn an_answer_that_is_reset_during_the_upload_through_a_peer_does_not_look_complete() {
    for kind in KINDS {
        support::run(async {
            for pauses in &PAUSES[..2] {
                let paths = vec![CutPath::refusing().await];
                let site = CutSite::start(kind, support::answering, paths).await;
                let entry = start_resetting_target("t0", *pauses).await;
                site.helper().set_targets(vec![entry]).await;
                support::let_bytes_arrive().await;
                assert!(!gets_whole_answer(site.cut()).await, "{kind:?}, reset after {pauses}");
            }
        });
    }
}

/// Guards against bytes with an invalid status that reach the caller as an answer.
#[test]
fn an_answer_without_a_valid_status_is_none() {
    fn answer(
        request: Message,
        mut wire: Wire,
    ) -> ryetide_gateway::ports::LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            let status = request.header("test-status").expect("a status").to_owned();
            wire.send(&support::whole(&request, &status, "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        for kind in KINDS {
            let target = Target::start("t1", answer).await;
            let gateway = Gateway::serving(support::route(kind, 1), &[&target]).await;
            for status in NO_STATUSES {
                let headers = format!("test-status: {status}\r\n");
                let answer = gateway.ask("q1", &headers).await.expect("an answer");
                assert_eq!(answer.status(), 502, "{kind:?} {status}");
            }
        }
    });
}
