//! Dispatches of a VM that has lost its path to a target which a peer reaches.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use bytes::Bytes;
use ntex::rt::{DefaultRuntime, System};
use ryetide::{
    deployment_keys,
    peer_keys::PeerKeys,
    peer_link::{self, LinkCommand, LinkOptions, LinkPreface},
    ring::{self, RingReceiver, RingSender},
    settings::PeerSettings,
    target_client::{self, PermittedOrder, TargetCommand},
    tunnel::TunnelRequest,
};
use ryetide_core::{
    effect::PeerAddress,
    event::{Event, TargetCall, TargetOperation, TargetRoute},
    ids::{AttemptNumber, Incarnation, RequestId, RequestSequence, TargetKey},
    request_fingerprint::RequestFingerprint,
    units::{ByteSize, Moment},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
    task,
    time::{self, Instant},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const RING_CAPACITY: usize = 64;
/// The time in which two endpoints have connected.
const CONNECT_SPAN: Duration = Duration::from_millis(500);

/// The length of a long body: more than sockets hold.
const UPLOAD: usize = 3 << 20;

/// The cut VM's thread of the targets, and the peers' threads of both VMs.
struct CutVm {
    commands: RingSender<TargetCommand>,
    events: RingReceiver<Event>,
    route: TargetRoute,
    _links: Vec<RingSender<LinkCommand>>,
    /// Keeps the port that refuses connections, which another test could listen on otherwise.
    _reserved: TcpSocket,
}

fn run(test: impl Future<Output = ()> + 'static) {
    System::new("test", DefaultRuntime)
        .block_on(async move { time::timeout(TEST_TIMEOUT, test).await.unwrap() });
}

fn keys() -> PeerKeys {
    let directory = std::env::temp_dir().join(format!("ryetide-tunnels-{}", rand::random::<u64>()));
    std::fs::create_dir(&directory).unwrap();
    deployment_keys::write_keys(&directory).unwrap();
    let settings = PeerSettings {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        authority: directory.join("authority.pem"),
        certificate: directory.join("peer.pem"),
        key: directory.join("peer.key"),
        known: Vec::new(),
    };
    let keys = PeerKeys::load(&settings).unwrap();
    std::fs::remove_dir_all(directory).unwrap();
    keys
}

/// Starts the thread of the peers of one VM as a task, and returns its address.
fn start_link(
    name: &str,
    keys: PeerKeys,
    tunnels: RingReceiver<TunnelRequest>,
) -> (RingSender<LinkCommand>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    let address = socket.local_addr().unwrap();
    let preface = LinkPreface {
        name: name.into(),
        incarnation: Incarnation(1),
        data_centre: "hall-a".into(),
        address,
    };
    let (sender, commands) = ring::ring(RING_CAPACITY);
    let (events, mut heard) = ring::ring(RING_CAPACITY);
    task::spawn_local(async move { while heard.recv().await.is_some() {} });
    task::spawn_local(async move {
        peer_link::run(LinkOptions { socket, keys, preface }, commands, tunnels, events)
            .await
            .unwrap();
    });
    (sender, address)
}

impl CutVm {
    /// Starts a VM whose connections to the target at `target` are refused, and a peer that reaches it.
    async fn start(target: SocketAddr) -> Self {
        let reserved = TcpSocket::new_v4().unwrap();
        reserved.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let refusing = reserved.local_addr().unwrap();
        let PeerKeys { server, client } = keys();
        let own_keys = PeerKeys { server: server.clone(), client: client.clone() };
        let (asking, mut asked) = ring::ring::<TunnelRequest>(RING_CAPACITY);
        // The target has one address, which this VM's connections do not reach: here, two addresses.
        let (forwarding, tunnels) = ring::ring(RING_CAPACITY);
        task::spawn_local(async move {
            while let Some(mut request) = asked.recv().await {
                assert_eq!(request.target.address, refusing);
                request.target.address = target;
                forwarding.send(request).await.unwrap();
            }
        });
        let (_, no_tunnels) = ring::ring(1);
        let (own, _) = start_link("e1", own_keys, tunnels);
        let (peer, address) = start_link("e2", PeerKeys { server, client }, no_tunnels);
        own.send(LinkCommand::Connect(vec![PeerAddress { name: "e2".into(), address }]))
            .await
            .unwrap();
        let (commands, receiver) = ring::ring(RING_CAPACITY);
        let (events, heard) = ring::ring(RING_CAPACITY);
        task::spawn_local(
            async move { target_client::run(receiver, asking, events).await.unwrap() },
        );
        time::sleep(CONNECT_SPAN).await;
        let route =
            TargetRoute { key: TargetKey(1), name: "t1".into(), address: refusing, engine: false };
        Self { commands, events: heard, route, _links: vec![own, peer], _reserved: reserved }
    }

    /// Dispatches a request and returns the events up to its end.
    async fn dispatch(&mut self, sequence: u64) -> Vec<Event> {
        self.dispatch_body(sequence, Bytes::from_static(b"body")).await
    }

    /// Like [`Self::dispatch`], with this body.
    async fn dispatch_body(&mut self, sequence: u64, body: Bytes) -> Vec<Event> {
        let (sequence, attempt) = (RequestSequence(sequence), AttemptNumber(1));
        let connect = TargetCommand::Connect(sequence, attempt, self.route.clone());
        self.commands.send(connect).await.unwrap();
        let mut events = vec![self.events.recv().await.unwrap()];
        if !matches!(events[0], Event::Connected { .. }) {
            return events;
        }
        let call = TargetCall {
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
            content_type: "text/plain".to_owned(),
            body,
        };
        let order = TargetOperation::Dispatch {
            id: RequestId { vm: "e1".into(), incarnation: Incarnation(1), sequence },
            call,
            features: RequestFingerprint(1).into(),
            answer_limit: ByteSize(1_000),
            not_after: Moment(u64::MAX),
        };
        let permitted = PermittedOrder { order, not_after: Instant::now() + TEST_TIMEOUT };
        self.commands.send(TargetCommand::Permit(sequence, attempt, permitted)).await.unwrap();
        loop {
            let event = self.events.recv().await.unwrap();
            let is_end = matches!(event, Event::TargetEnd { .. } | Event::TargetBroken { .. });
            events.push(event);
            if is_end {
                return events;
            }
        }
    }
}

/// Starts a target that answers each request with `answer` and closes the connection, with a reset if
/// `is_reset`.
async fn start_target(answer: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let length = stream.read(&mut buffer).await.unwrap();
            if length > 0 {
                stream.write_all(answer.as_bytes()).await.unwrap();
                time::sleep(Duration::from_millis(50)).await;
            }
            if is_reset {
                stream.set_zero_linger().unwrap();
            }
        }
    });
    address
}

/// Starts a VM beside a target that gets one request, answers a part without a length and ends. Its
/// address refuses connections then, after one more if `accepts_one_more`.
async fn start_vm_of_dying_target(accepts_one_more: bool) -> CutVm {
    // No other test listens on this host.
    let listener = TcpListener::bind("127.0.0.2:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut vm = CutVm::start(address).await;
    vm.route.address = address;
    task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        let listener = accepts_one_more.then_some(listener);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await.unwrap();
        drop(stream);
        if let Some(listener) = listener {
            listener.accept().await.unwrap();
        }
    });
    vm
}

/// Guards against refusing callers because this VM's own connections to a target are refused.
#[test]
fn a_request_is_dispatched_through_a_peer() {
    run(async {
        let target = start_target("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone", false).await;
        let mut vm = CutVm::start(target).await;
        for sequence in 1..=3 {
            let events = vm.dispatch(sequence).await;
            let is_whole = |event: &Event| matches!(event, Event::TargetEnd { length: 4, .. });
            assert!(events.iter().any(is_whole), "{events:?}");
        }
    });
}

/// Guards against a part of an answer that looks complete: without a length, it ends as the target's
/// connection does, and that was reset.
#[test]
fn an_answer_that_is_reset_behind_a_peer_is_not_complete() {
    run(async {
        let target = start_target("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf", true).await;
        let mut vm = CutVm::start(target).await;
        let events = vm.dispatch(1).await;
        assert!(matches!(events.last(), Some(Event::TargetBroken { .. })), "{events:?}");
    });
}

/// Guards against the same where forwarding the request's body finds the reset first, and against it on
/// the VM's own connections.
#[test]
fn an_answer_that_is_reset_while_a_long_body_is_sent_is_not_complete() {
    run(async {
        let target = start_target("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf", true).await;
        let body = Bytes::from(vec![b'x'; UPLOAD]);
        for is_cut in [true, false] {
            let mut vm = CutVm::start(target).await;
            if !is_cut {
                vm.route.address = target;
            }
            for sequence in 1..=10 {
                let events = vm.dispatch_body(sequence, body.clone()).await;
                let is_whole = events.iter().any(|event| matches!(event, Event::TargetEnd { .. }));
                assert!(!is_whole, "request {sequence}: {events:?}");
            }
        }
    });
}

/// Guards against a part of an answer that looks complete because its target has crashed.
#[test]
fn an_answer_whose_target_crashes_is_not_complete() {
    run(async {
        let mut vm = start_vm_of_dying_target(false).await;
        let events = vm.dispatch(1).await;
        assert!(matches!(events.last(), Some(Event::TargetBroken { .. })), "{events:?}");
    });
}

/// Guards against the same where the address of the target that has ended accepts connections for a
/// moment longer.
#[test]
fn an_answer_whose_target_refuses_a_moment_later_is_not_complete() {
    run(async {
        let mut vm = start_vm_of_dying_target(true).await;
        let events = vm.dispatch(1).await;
        assert!(matches!(events.last(), Some(Event::TargetBroken { .. })), "{events:?}");
    });
}

/// Guards against an answer without a length of which the caller gets nothing.
#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    run(async {
        let target = start_target("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole", false).await;
        let mut vm = CutVm::start(target).await;
        vm.route.address = target;
        let events = vm.dispatch(1).await;
        assert!(matches!(events.last(), Some(Event::TargetEnd { length: 5, .. })), "{events:?}");
    });
}
