//! Targets that restart under the same name.

use std::time::Duration;

use ryetide_core::{ids::TargetIncarnation, route::RouteKind, target_load::TargetEntry};
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, StreamEnd, Target, Wire};

/// Longer than any expected wait in these tests, and shorter than the route's timeout.
const SOON: Duration = Duration::from_millis(800);

/// Long enough for a change of the targets to be applied.
const PAUSE: Duration = Duration::from_millis(200);
/// An answer, as a target sends it that pauses once.
const HALVES: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// Receives requests and never answers, like a target whose VM has lost power.
fn silent(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        std::future::pending::<()>().await;
        Some(wire)
    })
}

/// The next incarnation of the target `first`, at the address of `second`.
fn next_incarnation(first: &Target, second: &Target) -> TargetEntry {
    TargetEntry {
        name: first.entry.name.clone(),
        incarnation: TargetIncarnation(2),
        ..second.entry.clone()
    }
}

/// The next incarnation of a target, at its address.
fn restarted(target: &Target) -> TargetEntry {
    TargetEntry { incarnation: TargetIncarnation(2), ..target.entry.clone() }
}

/// Sends the first half of an answer, and the other half after a pause.
fn answering_in_halves(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        let length = HALVES.concat().len();
        let kind = "content-type: text/event-stream";
        let [first, second] = HALVES;
        wire.send(&format!("{head}{kind}\r\ncontent-length: {length}\r\n\r\n{first}")).await;
        time::sleep(PAUSE).await;
        wire.send(second).await;
        Some(wire)
    })
}

/// Asks on a route of this kind; returns the answer's body, if it is whole.
async fn receive(gateway: &Gateway, kind: RouteKind) -> Option<String> {
    if !matches!(kind, RouteKind::Stream { .. }) {
        return gateway.ask("q1", "").await.map(|answer| answer.body);
    }
    let mut wire = gateway.call().await;
    wire.send(&support::request("POST", "q1", "", "body")).await;
    match support::read_stream_answer(&mut wire).await {
        StreamEnd::Complete(body) => Some(body),
        StreamEnd::BrokenOff(_) | StreamEnd::Refused(_) => None,
    }
}

async fn await_request(target: &Target) {
    while target.count() == 0 {
        time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a once-only request that hangs or runs twice when its target loses power and
/// restarts under the same name before a keep-alive probe fails. The request may have run: the
/// caller gets 502 at once, and the new incarnation does not get the request.
#[test]
fn a_once_only_request_at_an_earlier_incarnation_is_not_sent_again() {
    support::run(async {
        let first = Target::start("t1", silent).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 2), &[&first]).await;
        let restart = async {
            await_request(&first).await;
            gateway.set_targets(vec![next_incarnation(&first, &second)]).await;
        };
        let asking = async { time::timeout(SOON, gateway.ask("q1", "")).await.expect("at once") };
        let (answer, ()) = tokio::join!(asking, restart);
        assert_eq!(answer.expect("an answer").status(), 502);
        assert_eq!((first.count(), second.count()), (1, 0));
    });
}

/// Guards against excluding a restarted target because its earlier incarnation failed. A repeatable
/// request is sent to the new incarnation.
#[test]
fn a_repeatable_request_is_retried_at_the_next_incarnation() {
    support::run(async {
        let first = Target::start("t1", silent).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(RouteKind::Repeatable, 2), &[&first]).await;
        let restart = async {
            await_request(&first).await;
            gateway.set_targets(vec![next_incarnation(&first, &second)]).await;
        };
        let (answer, ()) = tokio::join!(gateway.ask("q1", ""), restart);
        assert_eq!(answer.expect("an answer").status(), 200);
        assert_eq!(second.count(), 1);
    });
}

/// Guards against a pooled connection to an earlier incarnation that is still open and is used for
/// the next request.
#[test]
fn connections_to_an_earlier_incarnation_are_not_used_again() {
    support::run(async {
        let first = Target::start("t1", support::answering).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(RouteKind::Repeatable, 2), &[&first]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
        gateway.set_targets(vec![next_incarnation(&first, &second)]).await;
        // The update is applied asynchronously, and readiness does not show when.
        time::timeout(SOON, async {
            while second.count() == 0 {
                assert_eq!(gateway.ask("q2", "").await.expect("an answer").status(), 200);
            }
        })
        .await
        .expect("the new incarnation gets requests");
        let before = first.count();
        gateway.ask("q3", "").await.expect("an answer");
        assert_eq!(first.count(), before);
    });
}

/// Guards against answers of a sound process that are broken off: it had started again at its address,
/// and got the request before its new entry was read.
#[test]
fn an_answer_goes_on_when_its_target_is_said_to_have_restarted_at_its_address() {
    let stream = |resumable| RouteKind::Stream { resumable };
    for kind in [RouteKind::OnceOnly, RouteKind::Repeatable, stream(false), stream(true)] {
        support::run(async {
            let target = Target::start("t1", answering_in_halves).await;
            let gateway = Gateway::serving(support::route(kind, 2), &[&target]).await;
            let restart = async {
                await_request(&target).await;
                support::let_bytes_arrive().await;
                gateway.set_targets(vec![restarted(&target)]).await;
            };
            let (answer, ()) = tokio::join!(receive(&gateway, kind), restart);
            assert_eq!(answer.as_deref(), Some(HALVES.concat().as_str()), "{kind:?}");
            assert_eq!(target.count(), 1, "{kind:?}");
        });
    }
}
