//! Notices of targets in the headers of answers: that they leave, and the back-off that they
//! request.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future;
use ryetide_core::{
    route::{RouteKind, RouteRule},
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
};
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// The header by which a target announces that it leaves.
const LEAVING: &str = "test-leaving: 1\r\n";
/// Several times the time in which a notice reaches the other VM.
const PROPAGATION_SPAN: Duration = Duration::from_secs(2);
/// The back-off that a target requests.
const BACK_OFF: Duration = Duration::from_secs(2);
/// The time after which the gateway must keep to the back-off.
const BACK_OFF_IN_EFFECT: Duration = Duration::from_millis(500);
/// The tolerance for the end of the back-off at the target and at the gateway.
const BACK_OFF_MARGIN: Duration = Duration::from_millis(100);
/// The number of concurrent callers: more than the other target has slots.
const CALLERS: usize = 6;
const SLOW_SPAN: Duration = Duration::from_millis(40);
/// The most requests that the target may get during the back-off.
const MAX_DURING_BACK_OFF: usize = 2;

fn route() -> RouteRule {
    support::route(RouteKind::Repeatable, 2)
}

/// Answers with 200 and announces that it leaves.
fn leaving(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        wire.send(&format!("{head}{LEAVING}content-length: 4\r\n\r\ndone")).await;
        Some(wire)
    })
}

/// Rejects requests without running them, and announces that it leaves.
fn rejecting_and_leaving(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "503 Service Unavailable");
        let rejection = format!("{head}{LEAVING}test-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        wire.send(&rejection).await;
        Some(wire)
    })
}

/// Answers with 500 and announces that it leaves.
fn failing(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "500 Internal Server Error");
        wire.send(&format!("{head}{LEAVING}content-length: 0\r\n\r\n")).await;
        Some(wire)
    })
}

/// Rejects requests without running them, and requests a back-off of [`BACK_OFF`].
fn requesting_back_off(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "503 Service Unavailable");
        let seconds = BACK_OFF.as_secs();
        let headers =
            format!("test-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n");
        wire.send(&format!("{head}{headers}")).await;
        Some(wire)
    })
}

/// Sends the unchanged targets to the gateway again, as a store does.
async fn resend_targets(gateway: &Gateway, targets: &[&Target]) {
    let entries: Vec<TargetEntry> = targets.iter().map(|target| target.entry.clone()).collect();
    gateway.send_update(FleetUpdate::Targets(RegistryUpdate::whole(entries), 0)).await;
}

/// Guards against requests to a leaving target while the store, which lists leaving targets, is
/// unreachable. The notice in an answer of any kind must be enough, also when the store sends its
/// old entry again.
#[test]
fn a_target_that_announces_in_an_answer_that_it_leaves_gets_no_more_requests() {
    for script in [leaving, rejecting_and_leaving, failing] {
        support::run(async {
            let [first, second] = support::names_in_order(["t1", "t2"]);
            let leaving_target = Target::start(first, script).await;
            let other = Target::start(second, support::answering).await;
            let gateway = Gateway::serving(route(), &[&leaving_target, &other]).await;
            let mut count = 0;
            while leaving_target.count() == 0 {
                count += 1;
                gateway.ask(&format!("q{count}"), "").await.expect("an answer");
            }
            let before = leaving_target.count();
            for again in 0..20 {
                if again == 10 {
                    resend_targets(&gateway, &[&leaving_target, &other]).await;
                }
                let answer = gateway.ask(&format!("r{again}"), "").await.expect("an answer");
                assert_eq!(answer.status(), 200);
            }
            assert_eq!(leaving_target.count(), before);
        });
    }
}

/// Guards against requests from another VM to a leaving target while the store is unreachable. The
/// VM that receives the notice reports it to its peers.
#[test]
fn a_vm_reports_leaving_targets_to_its_peers() {
    support::run(async {
        let [first, second] = support::names_in_order(["t1", "t2"]);
        let leaving_target = Target::start(first, leaving).await;
        let other = Target::start(second, support::answering).await;
        let mut gateways = Vec::new();
        for name in ["e1", "e2"] {
            let gateway = Rc::new(Gateway::start_named(name).await);
            let table = support::table(1, route(), Vec::new());
            gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
            gateway.set_targets(vec![leaving_target.entry.clone(), other.entry.clone()]).await;
            gateways.push(gateway);
        }
        support::join(&gateways).await;
        while leaving_target.count() == 0 {
            gateways[0].ask("q1", "").await.expect("an answer");
        }
        let before = leaving_target.count();
        time::sleep(PROPAGATION_SPAN).await;
        for count in 0..10 {
            gateways[1].ask(&format!("r{count}"), "").await.expect("an answer");
        }
        assert_eq!(leaving_target.count(), before);
    });
}

/// Answers with 200 after a pause, during which a slot is occupied.
fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        time::sleep(SLOW_SPAN).await;
        wire.send(&support::whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

/// Repeats requests until `end`; returns how many were not answered with 200.
async fn keep_asking(gateway: &Gateway, caller: usize, end: Instant) -> usize {
    let mut failed = 0;
    for count in 0.. {
        if Instant::now() >= end {
            return failed;
        }
        let answer = gateway.ask(&format!("c{caller}-{count}"), "").await;
        failed += usize::from(answer.is_none_or(|answer| answer.status() != 200));
    }
    failed
}

/// Guards against requests to a full target during the back-off that it requests, while the other
/// target's slots are mostly occupied. Each such request would be rejected, use up retry budget and
/// be queued again.
#[test]
fn a_target_gets_no_requests_during_the_back_off_that_it_requests() {
    support::run(async {
        let full = Target::start("t1", requesting_back_off).await;
        let other = Target::start("t2", slow).await;
        let gateway = Gateway::serving(route(), &[&full, &other]).await;
        let end = Instant::now() + BACK_OFF;
        let callers = (0..CALLERS).map(|caller| keep_asking(&gateway, caller, end));
        let counting = async {
            while full.count() == 0 {
                time::sleep(Duration::from_millis(2)).await;
            }
            time::sleep(BACK_OFF_IN_EFFECT).await;
            let before = full.count();
            time::sleep_until((end - BACK_OFF_MARGIN).into()).await;
            full.count() - before
        };
        let (failed, held) = tokio::join!(future::join_all(callers), counting);
        assert!(held <= MAX_DURING_BACK_OFF, "{held} requests during the back-off");
        assert_eq!(failed.iter().sum::<usize>(), 0, "the other target answers all requests");
    });
}
