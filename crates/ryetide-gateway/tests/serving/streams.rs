//! Streams: forwarded event by event; when broken, resumed if permitted and closed otherwise.

use std::time::Duration;

use ryetide_core::{retry_budget::RetryRule, route::RouteKind};
use ryetide_gateway::ports::LocalFuture;
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const ONCE: RouteKind = RouteKind::Stream { resumable: false };

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: e{number}\n\n")
}

fn stream_head(request: &Message) -> String {
    let head = support::signed(request, "200 OK");
    format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Sends the events after the request's last event id, up to the sixth and last.
fn streaming(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        wire.send(&stream_head(&request)).await;
        let last: u32 = request.header("last-event-id").map_or(0, |id| id.parse().expect("an id"));
        for number in last + 1..=6 {
            wire.send(&chunk(&event(number))).await;
        }
        wire.send("0\r\n\r\n").await;
        Some(wire)
    })
}

/// Sends three events and half of the fourth, and resets the connection.
fn breaking(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        wire.send(&stream_head(&request)).await;
        for number in 1..=3 {
            wire.send(&chunk(&event(number))).await;
            time::sleep(Duration::from_millis(5)).await;
        }
        wire.send(&chunk("id: 4\nda")).await;
        time::sleep(Duration::from_millis(20)).await;
        wire.reset();
        None
    })
}

async fn ask_stream(gateway: &Gateway, id: &str) -> (Message, String, bool) {
    let mut wire = gateway.call().await;
    wire.send(&support::request("POST", id, "", "body")).await;
    let head = wire.read_message().await.expect("a head");
    let (payload, whole) = support::read_chunks(&mut wire).await;
    (head, payload, whole)
}

fn events(numbers: std::ops::RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

#[test]
fn a_stream_is_forwarded_completely() {
    support::run(async {
        let target = Target::start("t1", streaming).await;
        let gateway = Gateway::serving(support::route(ONCE, 1), &[&target]).await;
        let (head, payload, whole) = ask_stream(&gateway, "q1").await;
        assert_eq!(head.header("content-type"), Some("text/event-stream"));
        assert_eq!(head.header("test-signature"), Some("s1"));
        assert_eq!((payload.as_str(), whole), (events(1..=6).as_str(), true));
    });
}

#[test]
fn an_event_is_forwarded_before_the_next_one_is_received() {
    fn waiting(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&stream_head(&request)).await;
            wire.send(&chunk(&event(1))).await;
            wire.closed().await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", waiting).await;
        let gateway = Gateway::serving(support::route(ONCE, 1), &[&target]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        let asked = time::Instant::now();
        assert!(wire.read_to("data: e1\n\n").await.is_some());
        assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
    });
}

/// Guards against lost, repeated or incomplete events when a resumable stream breaks in the middle
/// of the fourth event. Another target resumes it after the third, and the caller receives each
/// event once.
#[test]
fn a_broken_stream_is_resumed_at_another_target() {
    support::run(async {
        let broken = Target::start("t1", breaking).await;
        let sound = Target::start("t2", streaming).await;
        let route = support::route(RESUMABLE, 2);
        let gateway = Gateway::serving(route, &[&broken]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        wire.read_message().await.expect("a head");
        gateway.set_targets(vec![broken.entry.clone(), sound.entry.clone()]).await;
        let (payload, whole) = support::read_chunks(&mut wire).await;
        assert_eq!((payload.as_str(), whole), (events(1..=6).as_str(), true));
        let resumed = sound.seen.borrow()[0].clone();
        assert_eq!(resumed.header("last-event-id"), Some("3"));
        assert_eq!(resumed.header("test-id"), Some("q1"));
        assert_eq!(resumed.body, "body");
    });
}

/// Guards against measuring the caller's patience from its arrival: a stream that has run for
/// longer than that breaks shortly after an event. Its caller is still connected, so the stream is
/// resumed.
#[test]
fn a_stream_that_breaks_late_is_resumed_too() {
    fn lasting(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&stream_head(&request)).await;
            for number in 1..=4 {
                wire.send(&chunk(&event(number))).await;
                time::sleep(Duration::from_millis(150)).await;
            }
            wire.reset();
            None
        })
    }
    support::run(async {
        let broken = Target::start("t1", lasting).await;
        let sound = Target::start("t2", streaming).await;
        let mut route = support::route(RESUMABLE, 2);
        route.patience = Some(Duration::from_millis(400));
        let gateway = Gateway::serving(route, &[&broken]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        wire.read_message().await.expect("a head");
        gateway.set_targets(vec![broken.entry.clone(), sound.entry.clone()]).await;
        let (payload, whole) = support::read_chunks(&mut wire).await;
        assert_eq!((payload.as_str(), whole), (events(1..=6).as_str(), true));
    });
}

/// Guards against a broken once-only stream that is sent to another target, or that looks complete
/// to the caller.
#[test]
fn a_broken_stream_that_may_not_be_resumed_is_closed_early() {
    support::run(async {
        let broken = Target::start("t1", breaking).await;
        let sound = Target::start("t2", streaming).await;
        let gateway = Gateway::serving(support::route(ONCE, 2), &[&broken]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        wire.read_message().await.expect("a head");
        gateway.set_targets(vec![broken.entry.clone(), sound.entry.clone()]).await;
        let (payload, whole) = support::read_chunks(&mut wire).await;
        assert!(!whole, "{payload}");
        assert_eq!(sound.count(), 0);
    });
}

/// Guards against a stream that goes on at the target after its caller has disconnected. The target
/// must stop within half a second, even if the stream is idle at that moment.
#[test]
fn a_stream_is_cancelled_at_the_target_when_its_caller_disconnects() {
    fn pausing(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&stream_head(&request)).await;
            wire.send(&chunk(&event(1))).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", pausing).await;
        let gateway = Gateway::serving(support::route(ONCE, 1), &[&target]).await;
        let mut wire = gateway.call().await;
        wire.send(&support::request("POST", "q1", "", "body")).await;
        assert!(wire.read_to("data: e1\n\n").await.is_some());
        drop(wire);
        let left = time::Instant::now();
        while target.closed.get() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        assert!(left.elapsed() < Duration::from_millis(400), "{:?}", left.elapsed());
    });
}

/// Guards against a stream that lasts longer than its route's timeout, the longest time for which
/// the operator lets a caller wait. It is closed at the timeout.
#[test]
fn a_stream_is_closed_when_its_route_times_out() {
    fn endless(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&stream_head(&request)).await;
            wire.send(&chunk(&event(1))).await;
            wire.closed().await;
            None
        })
    }
    support::run(async {
        let target = Target::start("t1", endless).await;
        let mut route = support::route(ONCE, 1);
        route.timeout = Duration::from_millis(300);
        let gateway = Gateway::serving(route, &[&target]).await;
        let asked = time::Instant::now();
        let (_, payload, whole) = ask_stream(&gateway, "q1").await;
        assert_eq!((payload.as_str(), whole), (event(1).as_str(), false));
        assert!(asked.elapsed() < Duration::from_millis(800), "{:?}", asked.elapsed());
    });
}

/// Guards against giving up a stream whose first event is late while its retry is not permitted,
/// which only loses the stream.
#[test]
fn a_slow_stream_is_awaited_while_no_retry_is_permitted() {
    fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            wire.send(&stream_head(&request)).await;
            time::sleep(Duration::from_millis(1_600)).await;
            wire.send(&format!("{}0\r\n\r\n", chunk(&event(1)))).await;
            Some(wire)
        })
    }
    support::run(async {
        let first = Target::start("t1", slow).await;
        let second = Target::start("t2", slow).await;
        let rule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
        let gateway = Gateway::start_with("e1", rule).await;
        gateway.serve(support::route(RESUMABLE, 2), &[&first, &second]).await;
        let (head, payload, whole) = ask_stream(&gateway, "q1").await;
        assert_eq!((head.status(), payload, whole), (200, event(1), true));
        assert_eq!(first.count() + second.count(), 1);
    });
}

/// Sends bytes that never end, as the body of an answer of this content type.
fn endless(
    request: Message,
    mut wire: Wire,
    content_type: &str,
) -> LocalFuture<'static, Option<Wire>> {
    let head =
        format!("{}content-type: {content_type}\r\n\r\n", support::signed(&request, "200 OK"));
    Box::pin(async move {
        wire.send(&head).await;
        let piece = "x".repeat(ENDLESS_PIECE);
        while wire.try_send(&piece).await {}
        None
    })
}

fn endless_event(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    endless(request, wire, "text/event-stream")
}

fn endless_text(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    endless(request, wire, "text/plain")
}

const ENDLESS_PIECE: usize = 16 << 10;
/// More than any event or plain answer that is forwarded, and what buffers may hold beside it.
const ENDLESS_LIMIT: usize = 8 << 20;

/// Guards against bytes without end that fill a VM's link until the request's deadline.
#[test]
fn a_stream_of_bytes_that_are_no_events_is_broken_off() {
    support::run(async {
        for script in [endless_event, endless_text] {
            for kind in [ONCE, RESUMABLE] {
                let target = Target::start("t1", script).await;
                let gateway = Gateway::serving(support::route(kind, 1), &[&target]).await;
                let mut wire = gateway.call().await;
                wire.send(&support::request("POST", "q1", "connection: close\r\n", "body")).await;
                let limit = Duration::from_secs(1);
                let received = time::timeout(limit, wire.count_to_end()).await;
                let received = received.unwrap_or_else(|_| panic!("{kind:?}: the stream goes on"));
                assert!(received < ENDLESS_LIMIT, "{kind:?}: {received} bytes");
            }
        }
    });
}
