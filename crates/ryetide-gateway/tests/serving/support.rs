//! Scripted targets, plain HTTP callers, and a gateway between them.
//!
//! Targets and callers read and write raw bytes, so that tests can use malformed or unusual HTTP
//! that no library would produce.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderName};
use ryetide::error::StepError;
use ryetide_core::{
    ids::TargetKey,
    prompt_part::PartId,
    quota::QuotaRule,
    retry_budget::RetryRule,
    route::{RouteKind, RouteOrganisation, RouteRule, RouteTable, RoutedService, ServiceShare},
    stream_origin::OriginRecord,
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
    units::{LinkRate, Revision, TierRank, Tokens},
    version_history::ServiceVersions,
};
use ryetide_gateway::{
    gateway::{self, GatewayCommand, GatewayParts, GatewaySockets},
    ports::{
        FeedChannels, FleetFeed, FleetUpdate, GatewaySettings, HeaderNames, LocalFuture, PeerEntry,
        SettingsSource, WorkReader, WorkSize,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{self, LocalSet},
    time,
};

/// The timeout of a test; a test that takes longer hangs.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// More retries than any of these tests needs: a process that has just started has few.
const AMPLE_RETRIES: RetryRule =
    RetryRule { share: 100.0, window: Duration::from_secs(10), slack: 100.0 };

const HOST: &str = "desk.example";
pub const SERVICE: &str = "desk";

/// Runs a test on a local set, with a timeout.
pub fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { time::timeout(PATIENCE, test).await.expect("the test hangs") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// A connection on which a test reads and writes raw bytes.
pub struct Wire {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, read: Vec::new() }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("a peer that reads");
    }

    /// Sends text; returns whether the connection is still open.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Reads to the end of the connection and returns the number of bytes.
    pub async fn count_to_end(&mut self) -> usize {
        let mut count = self.read.len();
        let mut piece = vec![0; 64 << 10];
        loop {
            match self.stream.read(&mut piece).await {
                Ok(0) | Err(_) => return count,
                Ok(length) => count += length,
            }
        }
    }

    /// Reads until `end` and returns everything up to and including it.
    pub async fn read_to(&mut self, end: &str) -> Option<String> {
        loop {
            let found = self.read.windows(end.len()).position(|bytes| bytes == end.as_bytes());
            if let Some(at) = found {
                let rest = self.read.split_off(at + end.len());
                let taken = std::mem::replace(&mut self.read, rest);
                return Some(String::from_utf8(taken).expect("text"));
            }
            let mut piece = [0; 4_096];
            match self.stream.read(&mut piece).await {
                Ok(0) | Err(_) => return None,
                Ok(length) => self.read.extend_from_slice(&piece[..length]),
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub async fn read_exactly(&mut self, length: usize) -> Option<String> {
        while self.read.len() < length {
            let mut piece = [0; 4_096];
            match self.stream.read(&mut piece).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.read.extend_from_slice(&piece[..count]),
            }
        }
        let rest = self.read.split_off(length);
        let taken = std::mem::replace(&mut self.read, rest);
        Some(String::from_utf8(taken).expect("text"))
    }

    /// Reads a head and the body, if the head has a content length.
    pub async fn read_message(&mut self) -> Option<Message> {
        let head = self.read_to("\r\n\r\n").await?;
        let message = Message { head, body: String::new() };
        let length = message.header("content-length").map_or(0, |it| it.parse().expect("a length"));
        let body = self.read_exactly(length).await?;
        Some(Message { body, ..message })
    }

    /// Waits until the other side has closed the connection.
    pub async fn closed(&mut self) {
        let mut piece = [0; 4_096];
        while matches!(self.stream.read(&mut piece).await, Ok(length) if length > 0) {}
    }

    /// Reads to the end of the connection; returns whether it was closed rather than reset.
    pub async fn ends_in_order(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.is_ok()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("an open socket");
    }
}

/// A request or an answer as it went over the wire.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }

    pub fn status(&self) -> u16 {
        let word = self.head.split_whitespace().nth(1).expect("a status line");
        word.parse().expect("a status")
    }
}

/// A target that runs a script for each request.
pub struct Target {
    pub entry: TargetEntry,
    /// The requests received, in order.
    pub seen: Rc<RefCell<Vec<Message>>>,
    /// The number of connections that the gateway has closed.
    pub closed: Rc<Cell<usize>>,
}

/// Orders the names so that the scheduler chooses the first among otherwise equal targets.
pub fn names_in_order(mut names: [&'static str; 2]) -> [&'static str; 2] {
    names.sort_by_key(|name| TargetKey::of(&(*name).into()));
    names
}

/// Handles a request on a connection of a target.
pub type Script = fn(Message, Wire) -> LocalFuture<'static, Option<Wire>>;

impl Target {
    /// Starts a target that runs `script` for each request. The script returns the connection to
    /// keep it open.
    pub async fn start(name: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Rc::new(RefCell::new(Vec::new()));
        let closed = Rc::new(Cell::new(0));
        let (all, gone) = (Rc::clone(&seen), Rc::clone(&closed));
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (all, gone) = (Rc::clone(&all), Rc::clone(&gone));
                task::spawn_local(async move {
                    let mut wire = Wire::new(stream);
                    while let Some(message) = wire.read_message().await {
                        all.borrow_mut().push(message.clone());
                        match script(message, wire).await {
                            Some(kept) => wire = kept,
                            None => return,
                        }
                    }
                    gone.set(gone.get() + 1);
                });
            }
        });
        Self { entry: entry(name, address), seen, closed }
    }

    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

pub fn entry(name: &str, address: SocketAddr) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: SERVICE.into(),
        address,
        data_centre: "hall-a".into(),
        slots: 4,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

/// The head of a signed answer to `request`, without the headers that frame the body.
pub fn signed(request: &Message, status: &str) -> String {
    let id = request.header("test-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\ntest-id: {id}\r\ntest-signature: s1\r\n")
}

/// A complete signed answer.
pub fn whole(request: &Message, status: &str, body: &str) -> String {
    format!("{}content-length: {}\r\n\r\n{body}", signed(request, status), body.len())
}

/// A script that answers every request with 200 and `done`.
pub fn answering(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        wire.send(&whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

/// A route of the test service.
pub fn route(kind: RouteKind, attempts: u32) -> RouteRule {
    RouteRule {
        name: "r1".to_owned(),
        host: HOST.to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        pause: None,
        patience: None,
        tier: TierRank(0),
        attempts,
        anonymous: true,
        shares: vec![ServiceShare { service: SERVICE.into(), weight: 1 }],
    }
}

pub fn organisation(name: &str, key: &str, quota: Option<QuotaRule>) -> RouteOrganisation {
    RouteOrganisation { name: name.into(), tier: None, quota, keys: vec![key.to_owned()] }
}

pub fn table(revision: u64, route: RouteRule, organisations: Vec<RouteOrganisation>) -> RouteTable {
    let service = RoutedService {
        name: SERVICE.into(),
        connection_limit: 100,
        engine: None,
        health_path: Default::default(),
    };
    let builder = RouteTable::builder(Revision(revision)).route(route).service(service);
    organisations
        .into_iter()
        .fold(builder, |builder, organisation| builder.organisation(organisation))
        .build()
}

struct TestReader;

impl WorkReader for TestReader {
    fn read(&self, headers: &HeaderMap) -> WorkSize {
        let number = |name| headers.get(name)?.to_str().ok()?.parse().ok().map(Tokens);
        WorkSize {
            prompt: number("test-prompt"),
            output_limit: number("test-output"),
            ..WorkSize::default()
        }
    }

    fn shared_parts(&self, headers: &HeaderMap) -> Vec<PartId> {
        let text = headers.get("test-parts").and_then(|value| value.to_str().ok());
        let ids = text.into_iter().flat_map(|text| text.split(','));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

struct TestSource(GatewaySettings);

impl SettingsSource for TestSource {
    fn read(&self) -> Result<GatewaySettings, StepError> {
        Ok(self.0.clone())
    }
}

struct TestFeed {
    updates: mpsc::Receiver<FleetUpdate>,
    /// The origins of streams that the gateway wants to have stored.
    origins: Rc<RefCell<Vec<OriginRecord>>>,
}

impl FleetFeed for TestFeed {
    fn run(
        mut self: Box<Self>,
        _own: PeerEntry,
        channels: FeedChannels,
    ) -> LocalFuture<'static, ()> {
        Box::pin(async move {
            let (mut origins, stored) = (channels.origins.clone(), Rc::clone(&self.origins));
            task::spawn_local(async move {
                while origins.changed().await.is_ok() {
                    *stored.borrow_mut() = origins.borrow_and_update().clone();
                }
            });
            while let Some(update) = self.updates.recv().await {
                channels.updates.send(update).await.expect("a gateway that receives updates");
            }
            std::future::pending::<()>().await;
        })
    }
}

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("test-id"),
        deadline: HeaderName::from_static("test-deadline"),
        key: HeaderName::from_static("test-key"),
        organisation: HeaderName::from_static("test-organisation"),
        target: HeaderName::from_static("test-target"),
        target_id: HeaderName::from_static("test-target-id"),
        not_run: HeaderName::from_static("test-not-run"),
        signature: HeaderName::from_static("test-signature"),
        leaving: HeaderName::from_static("test-leaving"),
        limit: HeaderName::from_static("test-limit"),
        brittle: HeaderName::from_static("test-brittle"),
        last_event: HeaderName::from_static("last-event-id"),
        resumes: HeaderName::from_static("test-resumes"),
        reserved: vec![HeaderName::from_static("test-reserved")],
    }
}

/// A gateway under test.
pub struct Gateway {
    callers: SocketAddr,
    status: SocketAddr,
    /// The address on which it receives datagrams of peers.
    pub peers: SocketAddr,
    updates: mpsc::Sender<FleetUpdate>,
    commands: mpsc::Sender<GatewayCommand>,
    origins: Rc<RefCell<Vec<OriginRecord>>>,
    stopped: task::JoinHandle<()>,
}

impl Gateway {
    /// Starts a gateway without routes and targets.
    pub async fn start() -> Self {
        Self::start_named("e1").await
    }

    /// Starts a gateway with this name, without routes and targets.
    pub async fn start_named(name: &str) -> Self {
        Self::start_with(name, AMPLE_RETRIES).await
    }

    /// Starts a gateway with this name and this limit on retries, without routes and targets.
    pub async fn start_with(name: &str, retry: RetryRule) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = GatewaySettings {
            name: name.into(),
            data_centre: "hall-a".into(),
            callers: any,
            status: any,
            peers: any,
            grace: Duration::from_secs(3),
            retry,
            rollout: Default::default(),
            policy: Default::default(),
            link: LinkRate(0),
            machine: Default::default(),
        };
        let sockets = GatewaySockets::bind(&settings).await.expect("free ports");
        let callers = sockets.callers.local_addr().expect("an address");
        let status = sockets.status.local_addr().expect("an address");
        let peers = sockets.peers.local_addr().expect("an address");
        let (updates, receiver) = mpsc::channel(16);
        let origins = Rc::default();
        let parts = GatewayParts {
            settings: settings.clone(),
            source: Box::new(TestSource(settings)),
            names: names(),
            reader: Box::new(TestReader),
            feed: Box::new(TestFeed { updates: receiver, origins: Rc::clone(&origins) }),
        };
        let (commands, receiver) = mpsc::channel(4);
        let stopped = task::spawn_local(async move {
            gateway::serve(parts, sockets, receiver).await.expect("a gateway that serves");
        });
        Self { callers, status, peers, updates, commands, stopped, origins }
    }

    /// Returns the origins of streams that the gateway has its feed store.
    pub fn stored_origins(&self) -> Vec<OriginRecord> {
        self.origins.borrow().clone()
    }

    /// Starts a gateway that serves one route with `targets`.
    pub async fn serving(route: RouteRule, targets: &[&Target]) -> Self {
        let gateway = Self::start().await;
        gateway.serve(route, targets).await;
        gateway
    }

    /// Sets the one route and the targets that the gateway serves.
    pub async fn serve(&self, route: RouteRule, targets: &[&Target]) {
        self.send_update(FleetUpdate::Routes(Arc::new(table(1, route, Vec::new())))).await;
        self.set_targets(targets.iter().map(|target| target.entry.clone()).collect()).await;
    }

    /// The row of the gateway `name`, with these versions of services in it.
    pub fn peer_entry(&self, name: &str, versions: Vec<ServiceVersions>) -> PeerEntry {
        PeerEntry { versions, ..peer(name, self, 1) }
    }

    pub async fn send_update(&self, update: FleetUpdate) {
        self.updates.send(update).await.expect("a gateway that receives updates");
    }

    /// Sets the targets, and waits until the gateway is ready with them.
    /// Lets the feed report these targets, and gives the gateway time to read that.
    pub async fn send_targets(&self, entries: Vec<TargetEntry>) {
        self.send_update(FleetUpdate::Targets(RegistryUpdate::whole(entries), 0)).await;
        let_bytes_arrive().await;
    }

    pub async fn set_targets(&self, entries: Vec<TargetEntry>) {
        self.send_update(FleetUpdate::Targets(RegistryUpdate::whole(entries), 0)).await;
        while self.ready().await != 200 {
            time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub async fn ready(&self) -> u16 {
        self.get_status_page("/ready").await.status()
    }

    pub async fn get_status_page(&self, path: &str) -> Message {
        let mut wire = Wire::new(TcpStream::connect(self.status).await.expect("a status port"));
        wire.send(&format!("GET {path} HTTP/1.1\r\nhost: e1\r\n\r\n")).await;
        wire.read_message().await.expect("an answer")
    }

    /// Opens a connection as a caller does.
    pub async fn call(&self) -> Wire {
        Wire::new(TcpStream::connect(self.callers).await.expect("a callers' port"))
    }

    /// Sends one request on a new connection and returns the answer, if it is complete.
    pub async fn ask(&self, id: &str, headers: &str) -> Option<Message> {
        self.ask_with(id, headers, "body").await
    }

    /// Like [`Self::ask`], with this body.
    pub async fn ask_with(&self, id: &str, headers: &str, body: &str) -> Option<Message> {
        let mut wire = self.call().await;
        wire.send(&request("POST", id, headers, body)).await;
        wire.read_message().await
    }

    pub async fn send_command(&self, command: GatewayCommand) {
        self.commands.send(command).await.expect("a gateway that runs");
    }

    /// Waits until the gateway has stopped.
    pub async fn stopped(self) {
        self.stopped.await.expect("a gateway that ends");
    }
}

/// A caller's request.
pub fn request(method: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} /orders/17?full=1 HTTP/1.1\r\nhost: {HOST}\r\ntest-id: {id}\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn peer(name: &str, gateway: &Gateway, key: u8) -> PeerEntry {
    PeerEntry {
        name: name.into(),
        data_centre: "hall-a".into(),
        address: gateway.peers,
        secret: [key; 32],
        link: LinkRate(0),
        quarantines: Vec::new(),
        versions: Vec::new(),
    }
}

/// Configures two gateways as peers of each other.
pub async fn join(gateways: &[Rc<Gateway>]) {
    let peers = vec![peer("e1", &gateways[0], 1), peer("e2", &gateways[1], 2)];
    for (key, gateway) in [1, 2].into_iter().zip(gateways) {
        gateway.send_update(FleetUpdate::OwnSecret([key; 32])).await;
        gateway.send_update(FleetUpdate::Peers(peers.clone())).await;
    }
}

/// What a caller has seen of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The payload, and the end of an answer.
    Complete(String),
    /// The payload so far, and the end of the connection.
    BrokenOff(String),
    /// Another status than 200.
    Refused(u16),
}

/// Reads an answer in chunks.
pub async fn read_stream_answer(wire: &mut Wire) -> StreamEnd {
    let head = wire.read_to("\r\n\r\n").await.expect("a head");
    let status = Message { head, body: String::new() }.status();
    if status != 200 {
        return StreamEnd::Refused(status);
    }
    let (payload, is_complete) = read_chunks(wire).await;
    if is_complete { StreamEnd::Complete(payload) } else { StreamEnd::BrokenOff(payload) }
}

/// Reads a chunked body; returns its payload and whether it is complete.
pub async fn read_chunks(wire: &mut Wire) -> (String, bool) {
    let mut payload = String::new();
    loop {
        let Some(size) = wire.read_to("\r\n").await else { return (payload, false) };
        let size = usize::from_str_radix(size.trim(), 16).expect("a chunk's size");
        let Some(piece) = wire.read_exactly(size + 2).await else { return (payload, false) };
        if size == 0 {
            return (payload, true);
        }
        payload.push_str(&piece[..size]);
    }
}

/// Waits until bytes that were sent have reached the other side, which a reset would discard.
pub async fn let_bytes_arrive() {
    time::sleep(Duration::from_millis(20)).await;
}
