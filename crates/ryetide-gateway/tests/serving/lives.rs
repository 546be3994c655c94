//! Targets that restart under the same name.

use std::time::Duration;

use ryetide_core::{ids::TargetIncarnation, route::RouteKind, target_load::TargetEntry};
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// Longer than any expected wait in these tests, and shorter than the route's timeout.
const SOON: Duration = Duration::from_millis(800);

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
