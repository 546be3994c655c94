//! Stopping and reloading: no request is lost.

use std::time::Duration;

use ryetide_core::route::{RouteKind, RouteRule};
use ryetide_gateway::{gateway::GatewayCommand, ports::LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// Guards against requests that are lost when a VM is replaced, which happens every few minutes in
/// a fleet of full size. A stopping gateway reports at once that it is not ready, still serves
/// callers that connect, and finishes running requests.
#[test]
fn a_stopping_gateway_serves_running_and_new_requests() {
    fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(600)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", slow).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let mut running = gateway.call().await;
        running.send(&support::request("POST", "q1", "", "body")).await;
        while target.count() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        gateway.send_command(GatewayCommand::Stop).await;
        while gateway.ready().await != 503 {
            time::sleep(Duration::from_millis(2)).await;
        }
        let late = gateway.ask("q2", "").await.expect("an answer");
        assert_eq!(late.status(), 200);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(running.read_message().await.expect("an answer").status(), 200);
        gateway.stopped().await;
    });
}

/// Guards against requests that fail while the settings are reloaded.
#[test]
fn a_gateway_serves_requests_while_it_reloads_its_settings() {
    support::run(async {
        let target = Target::start("t1", support::answering).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        for id in ["q1", "q2", "q3"] {
            gateway.send_command(GatewayCommand::Reload).await;
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(gateway.ready().await, 200);
    });
}

/// After this time from the order to stop, the gateways of these tests accept no connection any more;
/// their grace period is 3 s.
const CLOSED_SPAN: Duration = Duration::from_millis(1_800);
/// A run that takes this long and begins when the gateway accepts no connection any more would be cut off.
const LONG_RUN: Duration = Duration::from_millis(1_200);

/// Answers after a long time, and at once if the request says that it is quick.
fn long_or_quick(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        if request.header("test-quick").is_none() {
            time::sleep(LONG_RUN).await;
        }
        wire.send(&support::whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

fn never(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        std::future::pending::<()>().await;
        Some(wire)
    })
}

/// A once-only route whose timeout ends no run of these tests.
fn patient_route() -> RouteRule {
    RouteRule { timeout: support::PATIENCE, ..support::route(RouteKind::OnceOnly, 1) }
}

/// The ways in which a request can be complete late: the number of bytes that are sent late.
const LATE_BYTES: [usize; 3] = [1, 4, "\r\n\r\nbody".len() - 2];

/// Begins requests, has the gateway stop, and completes them when it accepts no connection any more.
/// Returns their statuses.
async fn complete_late(gateway: &Gateway, headers: &str) -> Vec<u16> {
    let mut begun = Vec::new();
    for (number, late) in LATE_BYTES.into_iter().enumerate() {
        let text = support::request("POST", &format!("late-{number}"), headers, "body");
        let (early, late) = text.split_at(text.len() - late);
        let mut wire = gateway.call().await;
        wire.send(early).await;
        begun.push((wire, late.to_owned()));
    }
    support::let_bytes_arrive().await;
    gateway.send_command(GatewayCommand::Stop).await;
    time::sleep(CLOSED_SPAN).await;
    let mut statuses = Vec::new();
    for (mut wire, late) in begun {
        wire.send(&late).await;
        statuses.push(wire.read_message().await.expect("an answer").status());
    }
    statuses
}

/// Guards against once-only requests that are complete late in a planned stop, are sent to a target, and
/// are cut off when the process ends.
#[test]
fn a_request_that_is_complete_too_late_in_a_stop_is_refused_and_does_not_run() {
    support::run(async {
        for has_runs in [false, true] {
            let target = Target::start("t1", long_or_quick).await;
            let gateway = Gateway::serving(patient_route(), &[&target]).await;
            if has_runs {
                assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
            }
            let before = target.count();
            assert_eq!(complete_late(&gateway, "").await, [503; 3], "runs known: {has_runs}");
            assert_eq!(target.count(), before);
        }
    });
}

/// Guards against refusing late requests that a stopping VM can still finish.
#[test]
fn a_request_that_is_complete_late_in_a_stop_is_served_if_its_run_ends_in_time() {
    support::run(async {
        let target = Target::start("t1", long_or_quick).await;
        let gateway = Gateway::serving(patient_route(), &[&target]).await;
        let quick = "test-quick: 1\r\n";
        assert_eq!(gateway.ask("q1", quick).await.expect("an answer").status(), 200);
        assert_eq!(complete_late(&gateway, quick).await, [200; 3]);
        gateway.stopped().await;
    });
}

/// Guards against requests that are cut off without an answer while they wait or run when the process
/// ends.
#[test]
fn requests_that_wait_or_run_at_the_end_of_a_stop_are_answered() {
    support::run(async {
        for kind in [RouteKind::OnceOnly, RouteKind::Stream { resumable: true }] {
            let target = Target::start("t1", never).await;
            let mut entry = target.entry.clone();
            entry.slots = 1;
            let gateway = Gateway::start().await;
            let route = RouteRule { timeout: support::PATIENCE, ..support::route(kind, 1) };
            gateway.serve(route, &[]).await;
            gateway.set_targets(vec![entry]).await;
            let mut running = gateway.call().await;
            running.send(&support::request("POST", "runs", "", "body")).await;
            while target.count() == 0 {
                support::let_bytes_arrive().await;
            }
            let mut waiting = gateway.call().await;
            waiting.send(&support::request("POST", "waits", "", "body")).await;
            support::let_bytes_arrive().await;
            gateway.send_command(GatewayCommand::Stop).await;
            let status = waiting.read_message().await.expect("an answer").status();
            assert_eq!(status, 503, "{kind:?}: it has not run");
            let status = running.read_message().await.expect("an answer").status();
            assert_eq!(status, 502, "{kind:?}: it may have run");
            assert_eq!(target.count(), 1);
        }
    });
}
