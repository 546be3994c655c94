//! Answers that are complete, broken, late, doubled or missing.

use std::time::Duration;

use ryetide_core::route::RouteKind;
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// Guards against an incomplete answer that looks complete to the caller: the answer has no content
/// length, and its connection is reset in the middle.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_forwarded() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&format!("{}\r\npart of it", support::signed(&request, "200 OK"))).await;
            wire.reset();
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("test-signature"), None);
        assert_eq!(target.count(), 1);
    });
}

#[test]
fn an_answer_without_a_length_that_ends_is_complete() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&format!("{}\r\nall of it", support::signed(&request, "200 OK"))).await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_str()), (200, "all of it"));
    });
}

/// Guards against an answer to the wrong caller: a target sends each answer twice, so that on a
/// pooled connection the second one arrives in place of the next request's answer.
#[test]
fn a_second_answer_never_reaches_the_next_caller() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            let id = request.header("test-id").unwrap_or_default().to_owned();
            let answer = support::whole(&request, "200 OK", &id);
            wire.send(&format!("{answer}{answer}")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::Repeatable, 2), &[&target]).await;
        for id in ["q1", "q2", "q3", "q4"] {
            let answer = gateway.ask(id, "").await.expect("an answer");
            assert_eq!((answer.status(), answer.body.as_str()), (200, id));
            assert_eq!(answer.header("test-id"), Some(id));
        }
    });
}

/// An answer that the target's program has not signed is not forwarded, whatever its status.
#[test]
fn an_unsigned_success_is_not_forwarded() {
    fn script(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 502);
    });
}

/// Guards against duplicate orders: a target answers 503 without the header that says that the
/// request did not run. Forwarded, the 503 would promise that, and a shop would order again.
#[test]
fn a_503_without_the_not_run_header_is_not_forwarded() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&support::whole(&request, "503 Service Unavailable", "sorry")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("test-signature"), None);
        assert_eq!(target.count(), 1);
    });
}

#[test]
fn an_error_response_of_a_target_is_forwarded_unchanged() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&support::whole(&request, "500 Internal Server Error", "oops")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 3), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_str()), (500, "oops"));
        assert_eq!(answer.header("test-signature"), Some("s1"));
        assert_eq!(target.count(), 1, "a once-only request is sent once");
    });
}

/// Guards against giving up a slow answer when the route permits only one attempt. The gateway
/// waits for the answer until the route's timeout.
#[test]
fn a_slow_answer_is_awaited_when_no_other_attempt_is_permitted() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(700)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::Repeatable, 1), &[&target]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
        assert_eq!(target.count(), 1);
    });
}

/// Guards against a caller that waits longer than its route's timeout for a target that does not
/// answer. The caller gets 504, which does not promise that the request did not run.
#[test]
fn a_request_is_answered_when_its_route_times_out() {
    fn script(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.closed().await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let mut route = support::route(RouteKind::OnceOnly, 1);
        route.timeout = Duration::from_millis(300);
        let gateway = Gateway::serving(route, &[&target]).await;
        let asked = time::Instant::now();
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 504);
        let taken = asked.elapsed();
        assert!(taken >= Duration::from_millis(290), "{taken:?}");
        assert!(taken < Duration::from_millis(800), "{taken:?}");
    });
}

/// Guards against slots that stay occupied after a caller has disconnected: the connection to the
/// target must be closed, so that the target cancels the request.
#[test]
fn a_request_is_cancelled_at_the_target_when_its_caller_disconnects() {
    fn script(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move { Some(wire) })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        while target.count() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        drop(wire);
        let left = time::Instant::now();
        while target.closed.get() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        assert!(left.elapsed() < Duration::from_millis(400), "{:?}", left.elapsed());
    });
}
