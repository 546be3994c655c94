//! The HTTP client for targets.
//!
//! Every dispatch and every resume uses a new connection, which is closed afterwards. A pooled
//! connection may be dead without notice, and a client library with a pool may send a request twice.
//! The handshake of a new connection shows that the target is reachable. The core permits the first
//! byte only after the connection is open, so a failure before that permit is known to have sent
//! nothing, whatever error a library reports.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration};

use hyper::{Method, StatusCode, header};
use ryetide_core::{
    crash_suspect::RequestFeatures,
    event::{AnswerHead, Event, LoadReport, TargetOperation, TargetRoute},
    ids::{AttemptNumber, RequestId, RequestSequence, TargetKey},
    path_table::{PathTable, TargetPath},
    target_notice::{LimitNotice, TargetNotice},
    units::{ByteSize, Moment},
};
use tokio::{net::TcpStream, sync::oneshot, time::Instant};

use crate::{
    error::StepError,
    fresh_client::{ClientFault, FreshAnswer, FreshConnection},
    ring::{RingReceiver, RingSender},
    tunnel::{TunnelEnd, TunnelOutcome, TunnelRequest, TunnelTarget},
    util,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval at which the load of watched engines is queried.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How often it is checked whether lost paths are to be probed.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The clock of the paths starts here, because moment 0 stands for "never".
const CLOCK_START: Duration = Duration::from_micros(1);
/// The timeout for a load query.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of a load report, in bytes.
const LOAD_SIZE_LIMIT: usize = 64 << 10;
/// How long a connection must stay open to show that its target runs. A process that is killed has
/// closed all of its sockets by then.
const SETTLE_SPAN: Duration = Duration::from_millis(30);
/// The timeout for a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// The answer header with which a target announces that it is leaving.
pub const LEAVING_HEADER: &str = "x-target-leaving";
/// The answer header with the number of requests per second that a target accepts from all VMs together.
pub const LIMIT_HEADER: &str = "x-target-limit";
/// The request header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A command from the core to this thread.
#[derive(Debug)]
pub enum TargetCommand {
    /// Opens a connection without sending on it.
    Connect(RequestSequence, AttemptNumber, TargetRoute),
    /// Sends an order on an open connection.
    Permit(RequestSequence, AttemptNumber, PermittedOrder),
    /// Closes a connection in any state.
    Abandon(RequestSequence, AttemptNumber),
    /// Asks an engine to cancel a request.
    Cancel(RequestId, TargetRoute),
    /// Replaces the set of engines whose load is queried.
    Watch(Vec<TargetRoute>),
}

/// An order that the core permits to be sent.
#[derive(Debug)]
pub struct PermittedOrder {
    /// The operation.
    pub order: TargetOperation,
    /// The time after which a dispatch must not be sent.
    pub not_after: Instant,
}

type ConnectionKey = (RequestSequence, AttemptNumber);

/// A handle to the task of a connection. Dropping it ends the task.
struct ConnectionHandle {
    order: Option<oneshot::Sender<PermittedOrder>>,
    _alive: oneshot::Sender<()>,
}

/// An answer to be read.
struct AnswerReading<'a> {
    key: ConnectionKey,
    route: &'a TargetRoute,
    /// The offset of its first byte.
    start: u64,
    limit: ByteSize,
    /// How the connection ends, if a peer has opened it. An answer without a length ends with its
    /// connection, also when the peer dies.
    tunnel_end: Option<TunnelEnd>,
}

struct TargetPool {
    events: RingSender<Event>,
    tunnels: RingSender<TunnelRequest>,
    paths: RefCell<PathTable>,
    /// The targets whose paths are lost, to probe them.
    lost: RefCell<HashMap<TargetKey, TargetRoute>>,
    started: Instant,
    connections: RefCell<HashMap<ConnectionKey, ConnectionHandle>>,
}

/// Runs the connections to targets until the command ring closes.
///
/// # Errors
///
/// Returns a [`StepError`] when the HTTP client cannot be built.
pub async fn run(
    mut commands: RingReceiver<TargetCommand>,
    tunnels: RingSender<TunnelRequest>,
    events: RingSender<Event>,
) -> Result<(), StepError> {
    let pool = Rc::new(TargetPool {
        events,
        tunnels,
        paths: RefCell::default(),
        lost: RefCell::default(),
        started: Instant::now(),
        connections: RefCell::default(),
    });
    let (probing, probes_ended) = oneshot::channel::<()>();
    ntex::rt::spawn(Rc::clone(&pool).probe_lost_paths(probes_ended));
    let mut watch: Option<oneshot::Sender<()>> = None;
    while let Some(command) = commands.recv().await {
        match command {
            TargetCommand::Connect(sequence, attempt, route) => {
                pool.open((sequence, attempt), route);
            }
            TargetCommand::Permit(sequence, attempt, order) => {
                let mut connections = pool.connections.borrow_mut();
                let handle = connections.get_mut(&(sequence, attempt));
                if let Some(sender) = handle.and_then(|handle| handle.order.take()) {
                    // Sending fails when the connection has ended, which its task reports.
                    let _ = sender.send(order);
                }
            }
            TargetCommand::Abandon(sequence, attempt) => {
                pool.connections.borrow_mut().remove(&(sequence, attempt));
            }
            TargetCommand::Cancel(id, route) => {
                ntex::rt::spawn(Rc::clone(&pool).cancel(id, route));
            }
            TargetCommand::Watch(routes) => {
                let (alive, ended) = oneshot::channel();
                watch = Some(alive);
                ntex::rt::spawn(Rc::clone(&pool).watch(routes, ended));
            }
        }
    }
    drop((watch, probing));
    Ok(())
}

impl TargetPool {
    fn open(self: &Rc<Self>, key: ConnectionKey, route: TargetRoute) {
        let (order_sender, order) = oneshot::channel();
        let (alive, ended) = oneshot::channel::<()>();
        let handle = ConnectionHandle { order: Some(order_sender), _alive: alive };
        self.connections.borrow_mut().insert(key, handle);
        let pool = Rc::clone(self);
        ntex::rt::spawn(async move {
            tokio::select! {
                () = pool.serve(key, &route, order) => {}
                _ = ended => {}
            }
            pool.connections.borrow_mut().remove(&key);
        });
    }

    /// Opens a connection, waits for the permit, sends the order and reads the answer to its end.
    async fn serve(
        self: &Rc<Self>,
        key: ConnectionKey,
        route: &TargetRoute,
        order: oneshot::Receiver<PermittedOrder>,
    ) {
        let (sequence, attempt) = key;
        let Some(connection) = self.connect(route).await else {
            self.send_event(Event::ConnectFailed { sequence, attempt }).await;
            return;
        };
        let tunnel_end = connection.tunnel_end();
        self.send_event(Event::Connected { sequence, attempt }).await;
        // The channel is closed when the attempt is abandoned before it is permitted.
        let Ok(PermittedOrder { order, not_after }) = order.await else { return };
        let end = match order {
            TargetOperation::Dispatch { .. } if Instant::now() >= not_after => {
                tracing::warn!(event = "permit-lapsed", step = "dispatch", peer = %route.name);
                None
            }
            TargetOperation::Dispatch { id, call, features, answer_limit, not_after: _ } => {
                let limit = if route.engine { ByteSize(u64::MAX) } else { answer_limit };
                let asked = if route.engine { "POST" } else { &call.method };
                // The method comes from a request that the same library has parsed.
                let method = asked.parse().expect("the method was parsed before");
                let path = if route.engine { engine_path(&id) } else { call.path.clone() };
                let request = connection
                    .request(method, &path)
                    .header(REQUEST_ID_HEADER, id.to_string())
                    .header(header::CONTENT_TYPE, call.content_type.as_str());
                let sent_at = Instant::now();
                let sent = request.send_body(call.body).await;
                let reading = AnswerReading { key, route, start: 0, limit, tunnel_end };
                let end = self.read(reading, sent).await;
                if end.is_none() {
                    let ran = sent_at.elapsed();
                    ntex::rt::spawn(Rc::clone(self).detect_crash(route.clone(), features, ran));
                }
                end
            }
            TargetOperation::Resume { id, offset } => {
                let path = format!("{}?offset={offset}", engine_path(&id));
                let sent = connection.request(Method::GET, &path).send().await;
                if matches!(&sent, Ok(response) if response.status() == StatusCode::NOT_FOUND) {
                    Some(Event::ResumeUnknown { sequence, attempt })
                } else {
                    let limit = ByteSize(u64::MAX);
                    let reading = AnswerReading { key, route, start: offset, limit, tunnel_end };
                    self.read(reading, sent).await
                }
            }
        };
        self.send_event(end.unwrap_or(Event::TargetBroken { sequence, attempt })).await;
    }

    /// Opens a connection to a target: directly, or through a peer where this VM has lost its path.
    async fn connect(&self, route: &TargetRoute) -> Option<FreshConnection> {
        if self.paths.borrow().path(route.key) == TargetPath::ThroughPeer
            && let Some(connection) = self.connect_through_peer(route).await
        {
            return Some(connection);
        }
        if let Some(connection) = FreshConnection::open(route.address, CONNECT_TIMEOUT).await {
            self.record_reached(route);
            return Some(connection);
        }
        self.connect_through_peer(route).await
    }

    async fn connect_through_peer(&self, route: &TargetRoute) -> Option<FreshConnection> {
        let TunnelOutcome::Opened(tunnel) = self.ask_for_tunnel(route).await else { return None };
        self.record_lost(route);
        match FreshConnection::through_peer(route.address, tunnel) {
            Ok(connection) => Some(connection),
            Err(error) => {
                tracing::warn!(event = "tunnel-failed", step = "use socket", reason = %error);
                None
            }
        }
    }

    async fn ask_for_tunnel(&self, route: &TargetRoute) -> TunnelOutcome {
        let target = TunnelTarget { name: route.name.clone(), address: route.address };
        let (reply, outcome) = oneshot::channel();
        // A closed ring means that the daemon is stopping.
        let _ = self.tunnels.send(TunnelRequest { target, reply }).await;
        outcome.await.unwrap_or(TunnelOutcome::Failed)
    }

    fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)) + CLOCK_START
    }

    fn record_reached(&self, route: &TargetRoute) {
        let was_lost = self.paths.borrow_mut().record_reached(self.now(), route.key);
        self.lost.borrow_mut().remove(&route.key);
        if was_lost {
            tracing::info!(event = "path-found", target = %route.name, peer = %route.address);
        }
    }

    fn record_lost(&self, route: &TargetRoute) {
        self.lost.borrow_mut().insert(route.key, route.clone());
        if self.paths.borrow_mut().record_lost(self.now(), route.key) {
            tracing::warn!(event = "path-lost", target = %route.name, peer = %route.address);
        }
    }

    /// Tries the lost paths now and then until `ended` closes.
    async fn probe_lost_paths(self: Rc<Self>, ended: oneshot::Receiver<()>) {
        let probing = async {
            let mut ticks = tokio::time::interval(PROBE_CHECK_INTERVAL);
            loop {
                ticks.tick().await;
                let due = self.paths.borrow_mut().take_due_probes(self.now());
                let lost = self.lost.borrow();
                for route in due.iter().filter_map(|target| lost.get(target)) {
                    ntex::rt::spawn(Rc::clone(&self).probe(route.clone()));
                }
            }
        };
        tokio::select! {
            () = probing => {}
            _ = ended => {}
        }
    }

    async fn probe(self: Rc<Self>, route: TargetRoute) {
        if FreshConnection::open(route.address, CONNECT_TIMEOUT).await.is_some() {
            self.record_reached(&route);
        }
    }

    /// Reads an answer to its end. Returns `None` when it is incomplete or too large.
    async fn read(
        &self,
        reading: AnswerReading<'_>,
        sent: Result<FreshAnswer, ClientFault>,
    ) -> Option<Event> {
        let AnswerReading { key: (sequence, attempt), route, start, limit, tunnel_end } = reading;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                let peer = &route.name;
                tracing::info!(event = "stream-broken", step = "send", %peer, reason = %error);
                return None;
            }
        };
        let notice = notice_of(&response);
        if !notice.is_empty() {
            self.send_event(Event::TargetSaid { sequence, target: route.key, word: notice }).await;
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let leaving = response.header(LEAVING_HEADER).is_some();
            return Some(Event::TargetRefused { sequence, attempt, leaving });
        }
        if start > 0 && response.status() != StatusCode::OK {
            return None;
        }
        // A content type that is not text cannot be passed on.
        let content_type = response.header(header::CONTENT_TYPE);
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let head = AnswerHead { status: response.status().as_u16(), content_type };
        self.send_event(Event::TargetHead { sequence, attempt, head }).await;
        let mut offset = start;
        loop {
            let bytes = match response.next_piece().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(error) => {
                    let peer = &route.name;
                    tracing::info!(event = "stream-broken", step = "read", %peer, reason = %error);
                    return None;
                }
            };
            let length = bytes.len() as u64;
            if offset + length > limit.0 {
                let peer = &route.name;
                tracing::warn!(event = "answer-too-large", step = "read", %peer, limit = limit.0);
                return None;
            }
            self.send_event(Event::TargetPiece { sequence, attempt, offset, bytes }).await;
            offset += length;
        }
        if response.ends_with_connection() && !self.confirm_end(route, tunnel_end).await {
            let peer = &route.name;
            tracing::info!(event = "stream-broken", step = "read", %peer, reason = "ended early");
            return None;
        }
        Some(Event::TargetEnd { sequence, attempt, length: offset })
    }

    /// Returns whether a target has ended its answer, whose end only the end of the connection marks.
    /// The connection of a target that crashes, or of a peer that dies, ends in the same way.
    ///
    /// The system of a process that is killed closes its sockets one after the other, so its address
    /// may accept a connection for a moment longer. One that stays open shows that the process runs;
    /// of one that ends, a target that has no room for it tells itself apart by accepting again.
    async fn confirm_end(&self, route: &TargetRoute, tunnel_end: Option<TunnelEnd>) -> bool {
        if tunnel_end.is_some_and(|end| !end.is_by_target()) {
            return false;
        }
        let Some(connection) = self.connect(route).await else { return false };
        if connection.stays_open(SETTLE_SPAN).await {
            return true;
        }
        tokio::time::sleep(SETTLE_SPAN).await;
        self.connect(route).await.is_some()
    }

    async fn send_event(&self, event: Event) {
        // A closed ring means that the daemon is stopping.
        let _ = self.events.send(event).await;
    }

    /// Reports a crash if the target, whose answer failed, refuses a new connection, also of a peer if
    /// there is any: this VM may have lost its path.
    async fn detect_crash(
        self: Rc<Self>,
        route: TargetRoute,
        features: RequestFeatures,
        ran: Duration,
    ) {
        let connecting = TcpStream::connect(route.address);
        let Some(Err(error)) = util::within(CONNECT_TIMEOUT, connecting).await else { return };
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return;
        }
        let outcome = self.ask_for_tunnel(&route).await;
        if let TunnelOutcome::Opened(_) = outcome {
            self.record_lost(&route);
        }
        if matches!(outcome, TunnelOutcome::Refused | TunnelOutcome::NoPeers) {
            let ran_ms = u32::try_from(ran.as_millis()).unwrap_or(u32::MAX);
            self.send_event(Event::TargetCrashed { target: route.key, features, ran_ms }).await;
        }
    }

    async fn cancel(self: Rc<Self>, id: RequestId, route: TargetRoute) {
        let Some(connection) = self.connect(&route).await else { return };
        let request = connection.request(Method::DELETE, &engine_path(&id));
        let sent = util::within(CANCEL_TIMEOUT, request.send()).await;
        if !matches!(sent, Some(Ok(_))) {
            tracing::info!(event = "cancel-failed", step = "cancel", peer = %route.name);
        }
    }

    /// Queries the load of the engines until `ended` closes.
    async fn watch(self: Rc<Self>, routes: Vec<TargetRoute>, ended: oneshot::Receiver<()>) {
        let queries = async {
            let mut ticks = tokio::time::interval(LOAD_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                for route in &routes {
                    ntex::rt::spawn(Rc::clone(&self).query_load(route.clone()));
                }
            }
        };
        tokio::select! {
            () = queries => {}
            _ = ended => {}
        }
    }

    async fn query_load(self: Rc<Self>, route: TargetRoute) {
        let query = async {
            let connection = self.connect(&route).await.ok_or("no connection")?;
            let request = connection.request(Method::GET, "/v1/load");
            let response = request.send().await.map_err(|error| error.to_string())?;
            let body =
                response.read_body(LOAD_SIZE_LIMIT).await.map_err(|error| error.to_string())?;
            serde_json::from_slice::<LoadReport>(&body).map_err(|error| error.to_string())
        };
        let answered = util::within(LOAD_TIMEOUT, query).await;
        match answered.unwrap_or_else(|| Err("silent".to_owned())) {
            Ok(report) => self.send_event(Event::LoadReported { target: route.key, report }).await,
            // No request depends on this query: the core gives less weight to an older report.
            Err(reason) => {
                tracing::debug!(event = "load-unread", step = "read load", peer = %route.name, reason);
            }
        }
    }
}

/// Returns the notice about the target itself in the head of its answer.
fn notice_of(response: &FreshAnswer) -> TargetNotice {
    let leaving = response.header(LEAVING_HEADER).is_some();
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = response.header(header::RETRY_AFTER).filter(|_| is_refusal);
    // A value that is not a number of seconds is ignored.
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let hold_off = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let limits = response.headers().get_all(LIMIT_HEADER).iter();
    let limit = LimitNotice::read(limits.map(|value| value.to_str().ok()));
    TargetNotice { leaving, hold_off, limit, brittle: false }
}

fn engine_path(id: &RequestId) -> String {
    format!("/v1/requests/{id}")
}
