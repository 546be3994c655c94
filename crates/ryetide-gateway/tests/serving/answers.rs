//! Answers that come whole, broken, late, doubled or not at all.

use std::time::Duration;

use ryetide_core::route::WorkKind;
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// A target's answer has no length and ends with its connection. Reset in the middle, it is not
/// whole: the caller must not take it for one.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_passed_on_as_whole() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&format!("{}\r\npart of it", support::signed(&request, "200 OK"))).await;
            wire.reset();
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("test-signature"), None);
        assert_eq!(target.count(), 1);
    });
}

#[test]
fn an_answer_without_a_length_that_ends_is_whole() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&format!("{}\r\nall of it", support::signed(&request, "200 OK"))).await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_str()), (200, "all of it"));
    });
}

/// A target sends a second answer behind each answer. On a kept connection it stands where the next
/// answer is due. The next caller must get its own answer, not that one.
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
        let gateway = Gateway::serving(support::route(WorkKind::Repeatable, 2), &[&target]).await;
        for id in ["q1", "q2", "q3", "q4"] {
            let answer = gateway.ask(id, "").await.expect("an answer");
            assert_eq!((answer.status(), answer.body.as_str()), (200, id));
            assert_eq!(answer.header("test-id"), Some(id));
        }
    });
}

/// What is not signed by the target's program is not its answer, whatever its status says.
#[test]
fn an_unsigned_success_is_not_passed_on() {
    fn script(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 502);
    });
}

/// A target answers 503 and says nothing of not having run the request. Passed on, the 503 would
/// promise that it has not run, and a shop would order twice.
#[test]
fn a_503_that_does_not_say_not_run_is_no_promise() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&support::whole(&request, "503 Service Unavailable", "sorry")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("test-signature"), None);
        assert_eq!(target.count(), 1);
    });
}

#[test]
fn a_targets_own_failure_is_passed_on_as_it_is() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&support::whole(&request, "500 Internal Server Error", "oops")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 3), &[&target]).await;
        let answer = gateway.ask("q1", "").await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_str()), (500, "oops"));
        assert_eq!(answer.header("test-signature"), Some("s1"));
        assert_eq!(target.count(), 1, "it may run once only");
    });
}

/// A route permits one attempt, and its target needs longer than is usual. There is nobody else to
/// ask, so its caller waits for the answer, within the route's time.
#[test]
fn a_slow_answer_is_waited_for_when_no_other_attempt_is_permitted() {
    fn script(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(700)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::Repeatable, 1), &[&target]).await;
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 200);
        assert_eq!(target.count(), 1);
    });
}

/// A target takes a request and says nothing. At the end of the route's time the caller is told so,
/// with a status that promises nothing, and the target's connection is closed.
#[test]
fn a_request_is_answered_at_the_end_of_its_routes_time() {
    fn script(_request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.closed().await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let mut route = support::route(WorkKind::OnceOnly, 1);
        route.timeout = Duration::from_millis(300);
        let gateway = Gateway::serving(route, &[&target]).await;
        let asked = time::Instant::now();
        assert_eq!(gateway.ask("q1", "").await.expect("an answer").status(), 504);
        let taken = asked.elapsed();
        assert!(taken >= Duration::from_millis(290), "{taken:?}");
        assert!(taken < Duration::from_millis(800), "{taken:?}");
    });
}

/// A caller hangs up while its request runs. The target must learn of it: work for nobody holds a
/// place that others wait for.
#[test]
fn a_caller_that_leaves_ends_the_work_at_the_target() {
    fn script(_request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move { Some(wire) })
    }
    support::run(async {
        let target = Target::start("t1", script).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        while target.count() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        drop(wire);
        let left = time::Instant::now();
        while target.hung_up.get() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        assert!(left.elapsed() < Duration::from_millis(400), "{:?}", left.elapsed());
    });
}
