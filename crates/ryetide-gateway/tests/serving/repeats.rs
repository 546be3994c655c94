//! Which requests are retried, and which are not.

use std::{net::SocketAddr, time::Duration};

use ryetide_core::{retry_budget::RetryRule, route::RouteKind};
use ryetide_gateway::ports::LocalFuture;
use tokio::{net::TcpListener, time};

use crate::support::{self, Gateway, Message, Target, Wire};

fn breaking(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        wire.reset();
        None
    })
}

fn rejecting(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head =
            "HTTP/1.1 503 Service Unavailable\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        wire.send(head).await;
        Some(wire)
    })
}

/// Guards against running a once-only request twice: its connection breaks before an answer, so it
/// may have run. It is not sent again, and the caller is not told that it has not run.
#[test]
fn a_once_only_request_is_not_retried_after_a_broken_connection() {
    support::run(async {
        let first = Target::start("t1", breaking).await;
        let second = Target::start("t2", breaking).await;
        let route = support::route(RouteKind::OnceOnly, 3);
        let gateway = Gateway::serving(route, &[&first, &second]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("retry-after"), None);
        assert_eq!(first.count() + second.count(), 1);
    });
}

/// A full target answers that it did not run a once-only request, so the request may go to another
/// one.
#[test]
fn a_request_that_a_target_did_not_run_is_sent_to_another() {
    support::run(async {
        let [first, second] = support::names_in_order(["t1", "t2"]);
        let full = Target::start(first, rejecting).await;
        let free = Target::start(second, support::answering).await;
        let route = support::route(RouteKind::OnceOnly, 1);
        let gateway = Gateway::serving(route, &[&full, &free]).await;
        for id in ["q1", "q2", "q3"] {
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(free.count(), 3);
        assert!(full.count() >= 1);
    });
}

/// All targets answer that they did not run the request. The caller gets 503 with a retry delay.
#[test]
fn a_request_that_no_target_ran_is_answered_as_not_run() {
    support::run(async {
        let full = Target::start("t1", rejecting).await;
        let mut route = support::route(RouteKind::OnceOnly, 1);
        route.timeout = Duration::from_millis(400);
        let gateway = Gateway::serving(route, &[&full]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
    });
}

#[test]
fn a_repeatable_request_is_retried_at_another_target() {
    support::run(async {
        let [first, second] = support::names_in_order(["t1", "t2"]);
        let broken = Target::start(first, breaking).await;
        let sound = Target::start(second, support::answering).await;
        let route = support::route(RouteKind::Repeatable, 2);
        let gateway = Gateway::serving(route, &[&broken, &sound]).await;
        for id in ["q1", "q2", "q3", "q4"] {
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(sound.count(), 4);
        assert!(broken.count() >= 1);
    });
}

#[test]
fn the_routes_attempts_limit_the_retries() {
    support::run(async {
        let all = [
            Target::start("t1", breaking).await,
            Target::start("t2", breaking).await,
            Target::start("t3", breaking).await,
        ];
        let route = support::route(RouteKind::Repeatable, 2);
        let gateway = Gateway::serving(route, &all.each_ref()).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 502);
        assert_eq!(all.iter().map(Target::count).sum::<usize>(), 2);
    });
}

/// Guards against a caller that waits for a hanging target although its request is repeatable and
/// another target is available.
#[test]
fn a_hanging_target_is_skipped_when_another_attempt_is_permitted() {
    fn hanging(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.closed().await;
            None
        })
    }
    support::run(async {
        let [first, second] = support::names_in_order(["t1", "t2"]);
        let hung = Target::start(first, hanging).await;
        let sound = Target::start(second, support::answering).await;
        let route = support::route(RouteKind::Repeatable, 2);
        let gateway = Gateway::serving(route, &[&hung, &sound]).await;
        for id in ["q1", "q2"] {
            let asked = time::Instant::now();
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
            assert!(asked.elapsed() < Duration::from_millis(900), "{:?}", asked.elapsed());
        }
        assert_eq!(hung.count(), 1, "the hanging target is tried once and then skipped");
    });
}

/// A target's port refuses connections. Nothing was sent, so even a once-only request goes to the
/// next target.
#[test]
fn a_once_only_request_goes_to_the_next_target_when_the_first_refuses_connections() {
    support::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address: SocketAddr = listener.local_addr().expect("an address");
        drop(listener);
        let sound = Target::start("t2", support::answering).await;
        let gateway = Gateway::start().await;
        let table = support::table(1, support::route(RouteKind::OnceOnly, 1), Vec::new());
        gateway.send_update(ryetide_gateway::ports::FleetUpdate::Routes(table.into())).await;
        gateway.set_targets(vec![support::entry("t1", address), sound.entry.clone()]).await;
        for id in ["q1", "q2"] {
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(sound.count(), 2);
    });
}

/// Guards against telling a caller that its request has not run when it has: a late "not run"
/// answer to an earlier request arrives in place of this request's answer.
#[test]
fn a_not_run_answer_to_another_request_is_not_applied_to_this_one() {
    fn doubling(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(
                "HTTP/1.1 503 Service Unavailable\r\ntest-id: q0\r\ntest-not-run: 1\r\n\
                 content-length: 0\r\n\r\n",
            )
            .await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", doubling).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502, "it may have run");
        assert_eq!(target.count(), 1);
    });
}

/// Guards against gateways that start again and again and send retries which their requests have not
/// earned.
#[test]
fn a_gateway_that_starts_sends_only_the_retries_that_its_requests_earn() {
    support::run(async {
        let first = Target::start("t1", rejecting).await;
        let second = Target::start("t2", rejecting).await;
        let rule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
        let mut requests = 0;
        for _ in 0..5 {
            let gateway = Gateway::start_with("e1", rule).await;
            gateway.serve(support::route(RouteKind::Repeatable, 2), &[&first, &second]).await;
            for id in 0..4 {
                let answer = gateway.ask(&format!("q{id}"), "").await.expect("an answer");
                assert_eq!(answer.status(), 503);
                assert!(answer.header("retry-after").is_some());
                requests += 1;
            }
            let metrics = gateway.get_status_page("/metrics").await;
            let denied = format!(
                "ryetide_retries_total{{service=\"{}\",permitted=\"no\"}} 4",
                support::SERVICE
            );
            assert!(metrics.body.contains(&denied), "{}", metrics.body);
        }
        assert_eq!(first.count() + second.count(), requests);
        let gateway = Gateway::start_with("e1", rule).await;
        gateway.serve(support::route(RouteKind::Repeatable, 2), &[&first, &second]).await;
        for id in 0..60 {
            gateway.ask(&format!("r{id}"), "").await.expect("an answer");
            requests += 1;
        }
        let retries = first.count() + second.count() - requests;
        assert!((1..=12).contains(&retries), "{retries} retries of 60 requests");
    });
}

/// Guards against telling a caller that its request has not run, where only its retry was refused.
#[test]
fn a_request_whose_retry_is_refused_is_not_said_to_have_not_run() {
    support::run(async {
        let first = Target::start("t1", breaking).await;
        let second = Target::start("t2", breaking).await;
        let rule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
        let gateway = Gateway::start_with("e1", rule).await;
        gateway.serve(support::route(RouteKind::Repeatable, 2), &[&first, &second]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(first.count() + second.count(), 1);
    });
}

/// Guards against giving up a run that is slower than expected while its retry is not permitted,
/// which only loses its answer.
#[test]
fn a_slow_run_is_awaited_while_no_retry_is_permitted() {
    fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(800)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let first = Target::start("t1", slow).await;
        let second = Target::start("t2", slow).await;
        let rule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
        let gateway = Gateway::start_with("e1", rule).await;
        gateway.serve(support::route(RouteKind::Repeatable, 2), &[&first, &second]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
        assert_eq!(first.count() + second.count(), 1);
    });
}
