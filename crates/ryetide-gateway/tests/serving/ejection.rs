//! A target that passes its health checks and fails requests.

use std::time::Duration;

use ryetide_core::{ids::TargetIncarnation, route::RouteKind, target_load::TargetEntry};
use ryetide_gateway::ports::LocalFuture;
use tokio::{task::JoinSet, time};

use crate::support::{self, Gateway, Message, Target, Wire};

/// Callers that ask one request after the other, more than two targets of four slots serve at once.
const CALLERS: usize = 12;
const REQUESTS: usize = 10;
/// Failures that are permitted: those before the ejection and those of a few probes.
const MAX_FAILURES: usize = 8;

fn failing(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        wire.send(&support::whole(&request, "500 Internal Server Error", "no")).await;
        Some(wire)
    })
}

fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        time::sleep(Duration::from_millis(50)).await;
        wire.send(&support::whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

fn announced(target: &Target) -> TargetEntry {
    TargetEntry { incarnation: TargetIncarnation(1), ..target.entry.clone() }
}

/// Guards against a target that fails at once and, under full load, is the only one with a free slot:
/// without ejection it gets most of the requests.
#[test]
fn a_target_that_fails_under_load_is_ejected() {
    support::run(async {
        let bad = Target::start("t1", failing).await;
        let good = [Target::start("t2", slow).await, Target::start("t3", slow).await];
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[]).await;
        gateway.set_targets([&bad, &good[0], &good[1]].map(announced).to_vec()).await;
        let gateway = std::rc::Rc::new(gateway);
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let gateway = std::rc::Rc::clone(&gateway);
            callers.spawn_local(async move {
                for number in 0..REQUESTS {
                    gateway.ask(&format!("q{caller}-{number}"), "").await.expect("an answer");
                }
            });
        }
        while let Some(caller) = callers.join_next().await {
            caller.expect("a caller that ends");
        }
        assert!(bad.count() <= MAX_FAILURES, "{} of the requests failed", bad.count());
        // The gauge is updated every 200 ms.
        time::sleep(Duration::from_millis(250)).await;
        let metrics = gateway.get_status_page("/metrics").await.body;
        assert!(metrics.contains("ryetide_ejected_targets 1"), "{metrics}");
        assert!(metrics.contains("ryetide_ejections_total 1"), "{metrics}");
    });
}
