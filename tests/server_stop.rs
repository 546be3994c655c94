//! Stopping servers that do not complete a stop request.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{cell::RefCell, future, sync::Arc, time::Duration};

use ryetide::{
    request_report::{self, ReportCommand, ReportRings},
    ring,
    server_stop::{self, ServerHandle, StopFuture, StopOutcome},
};
use tokio::{sync::Notify, time};

/// A time limit above the sum of the timeouts under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A server that completes only some stop requests, and records them all.
struct FakeServer {
    completes_graceful: bool,
    completes_forced: bool,
    requests: RefCell<Vec<bool>>,
}

impl FakeServer {
    fn new(completes_graceful: bool, completes_forced: bool) -> Self {
        Self { completes_graceful, completes_forced, requests: RefCell::default() }
    }
}

impl ServerHandle for FakeServer {
    fn stop(&self, graceful: bool) -> StopFuture {
        self.requests.borrow_mut().push(graceful);
        let completes = if graceful { self.completes_graceful } else { self.completes_forced };
        if completes { Box::pin(future::ready(())) } else { Box::pin(future::pending()) }
    }
}

async fn stop(server: &FakeServer) -> StopOutcome {
    time::timeout(TEST_TIMEOUT, server_stop::stop_gracefully("callers", server)).await.unwrap()
}

/// Guards against closing connections of a server that stops gracefully.
#[tokio::test(start_paused = true)]
async fn a_server_that_ends_in_an_orderly_way_is_not_forced() {
    let server = FakeServer::new(true, true);
    assert_eq!(stop(&server).await, StopOutcome::Graceful);
    assert_eq!(*server.requests.borrow(), [true]);
}

/// Guards against waiting without limit for connections that stay open.
#[tokio::test(start_paused = true)]
async fn a_server_whose_connections_stay_is_forced() {
    let server = FakeServer::new(false, true);
    assert_eq!(stop(&server).await, StopOutcome::Forced);
    assert_eq!(*server.requests.borrow(), [true, false]);
}

/// Guards against a daemon that never exits because one of its servers completes neither the graceful
/// nor the forced stop. Nothing else bounds that wait.
#[tokio::test(start_paused = true)]
async fn a_server_that_answers_no_order_is_left() {
    let server = FakeServer::new(false, false);
    assert_eq!(stop(&server).await, StopOutcome::TimedOut);
    assert_eq!(*server.requests.borrow(), [true, false]);
}

/// Guards against a daemon that never exits because a server that did not stop keeps its ring to the
/// report open, and against losing what that server sent before.
#[tokio::test(start_paused = true)]
async fn the_report_ends_though_a_server_that_was_left_keeps_its_ring() {
    let ready = Arc::new(Notify::new());
    let (open_ring, from_edge) = ring::ring_with_notify(64, Arc::clone(&ready));
    let (servers_alive, servers_ended) = ring::ring_with_notify(1, Arc::clone(&ready));
    let rings = ReportRings::new(vec![from_edge], ready).until(servers_ended);
    open_ring.send(ReportCommand::Reject("body-too-large")).await.unwrap();
    let reporting = request_report::run(rings, None);
    let closing = async {
        time::sleep(Duration::from_millis(1)).await;
        drop(servers_alive);
    };
    let both = async { tokio::join!(reporting, closing) };
    let (ended, ()) = time::timeout(TEST_TIMEOUT, both).await.unwrap();
    ended.unwrap();
    assert!(open_ring.try_send(ReportCommand::Reject("late")).is_ok(), "the ring is still open");
}
