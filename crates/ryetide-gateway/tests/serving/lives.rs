//! Targets that start again under their old name.

use std::time::Duration;

use ryetide_core::{ids::TargetIncarnation, route::WorkKind, target_load::TargetEntry};
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// Longer than any wait of the tests, and shorter than the route's time.
const SOON: Duration = Duration::from_millis(800);

/// Takes requests and never answers, as a target does whose VM has lost power.
fn silent(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        std::future::pending::<()>().await;
        Some(wire)
    })
}

/// The same target, started later at another address.
fn next_life(first: &Target, second: &Target) -> TargetEntry {
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

/// A target loses power with an order under way and starts again under its old name, before any probe of the old
/// connection has failed. The order may have run: its caller is told so at once, and the new life never gets it.
#[test]
fn an_order_at_an_earlier_life_is_lost_and_not_sent_again() {
    support::run(async {
        let first = Target::start("t1", silent).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 2), &[&first]).await;
        let restart = async {
            await_request(&first).await;
            gateway.set_targets(vec![next_life(&first, &second)]).await;
        };
        let asked = async { time::timeout(SOON, gateway.ask("q1", "")).await.expect("at once") };
        let (answer, ()) = tokio::join!(asked, restart);
        assert_eq!(answer.expect("an answer").status(), 502);
        assert_eq!((first.count(), second.count()), (1, 0));
    });
}

/// The same with work that may be repeated: the new life is asked, since nothing that the earlier one did counts
/// against it.
#[test]
fn repeatable_work_goes_on_at_the_next_life() {
    support::run(async {
        let first = Target::start("t1", silent).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(WorkKind::Repeatable, 2), &[&first]).await;
        let restart = async {
            await_request(&first).await;
            gateway.set_targets(vec![next_life(&first, &second)]).await;
        };
        let (answer, ()) = tokio::join!(gateway.ask("q1", ""), restart);
        assert_eq!(answer.expect("an answer").status(), 200);
        assert_eq!(second.count(), 1);
    });
}

/// An answer of the earlier life was read whole and its connection kept. The next request must go to the address
/// of the new life, though the kept connection still stands.
#[test]
fn connections_to_an_earlier_life_are_not_used_again() {
    support::run(async {
        let first = Target::start("t1", support::answering).await;
        let second = Target::start("t2", support::answering).await;
        let gateway = Gateway::serving(support::route(WorkKind::Repeatable, 2), &[&first]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
        gateway.set_targets(vec![next_life(&first, &second)]).await;
        // The news is taken in turn, and readiness does not tell of it.
        time::timeout(SOON, async {
            while second.count() == 0 {
                assert_eq!(gateway.ask("q2", "").await.expect("an answer").status(), 200);
            }
        })
        .await
        .expect("the new life is asked");
        let before = first.count();
        gateway.ask("q3", "").await.expect("an answer");
        assert_eq!(first.count(), before);
    });
}
