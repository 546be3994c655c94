//! Servers that do not answer when they are told to stop.
#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails where it stands")]

use std::{cell::RefCell, future, sync::Arc, time::Duration};

use ryetide::{
    request_report::{self, ReportCommand, ReportRings},
    ring,
    server_stop::{self, ServerEnd, ServerHandle, StopFuture},
};
use tokio::{sync::Notify, time};

/// Longer than any server is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// A server that answers some orders to stop, and keeps note of all.
struct FakeServer {
    answers_graceful: bool,
    answers_forced: bool,
    orders: RefCell<Vec<bool>>,
}

impl FakeServer {
    fn new(answers_graceful: bool, answers_forced: bool) -> Self {
        Self { answers_graceful, answers_forced, orders: RefCell::default() }
    }
}

impl ServerHandle for FakeServer {
    fn stop(&self, graceful: bool) -> StopFuture {
        self.orders.borrow_mut().push(graceful);
        let answers = if graceful { self.answers_graceful } else { self.answers_forced };
        if answers { Box::pin(future::ready(())) } else { Box::pin(future::pending()) }
    }
}

async fn end_of(server: &FakeServer) -> ServerEnd {
    time::timeout(PATIENCE, server_stop::stop_orderly("callers", server)).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_server_that_ends_in_an_orderly_way_is_not_forced() {
    let server = FakeServer::new(true, true);
    assert_eq!(end_of(&server).await, ServerEnd::Orderly);
    assert_eq!(*server.orders.borrow(), [true]);
}

#[tokio::test(start_paused = true)]
async fn a_server_whose_connections_stay_is_forced() {
    let server = FakeServer::new(false, true);
    assert_eq!(end_of(&server).await, ServerEnd::Forced);
    assert_eq!(*server.orders.borrow(), [true, false]);
}

/// An operator who stops a daemon sees it end, though one of its servers answers no order to stop:
/// first the orderly one is given up, then the forced one. Nothing else bounds the wait.
#[tokio::test(start_paused = true)]
async fn a_server_that_answers_no_order_is_left() {
    let server = FakeServer::new(false, false);
    assert_eq!(end_of(&server).await, ServerEnd::Unanswered);
    assert_eq!(*server.orders.borrow(), [true, false]);
}

/// A server that was left keeps its end of the ring to the report. The daemon joins the report's
/// thread: what was sent is counted, and then it ends, because the servers' duty has.
#[tokio::test(start_paused = true)]
async fn the_report_ends_though_a_server_that_was_left_keeps_its_ring() {
    let bell = Arc::new(Notify::new());
    let (kept, from_edge) = ring::ring_with_bell(64, Arc::clone(&bell));
    let (serving, served) = ring::ring_with_bell(1, Arc::clone(&bell));
    let rings = ReportRings::new(vec![from_edge], bell).until(served);
    kept.send(ReportCommand::Reject("body-too-large")).await.unwrap();
    let counting = request_report::run(rings, None);
    let ending = async {
        time::sleep(Duration::from_millis(1)).await;
        drop(serving);
    };
    let both = async { tokio::join!(counting, ending) };
    let (ended, ()) = time::timeout(PATIENCE, both).await.unwrap();
    ended.unwrap();
    assert!(kept.try_send(ReportCommand::Reject("late")).is_ok(), "the ring is still open");
}
