//! The HTTP client for targets.
//!
//! Every dispatch and every resume uses a new connection, which is closed afterwards. A pooled
//! connection may be dead without notice, and a client library with a pool may send a request twice.
//! The handshake of a new connection shows that the target is reachable. The core permits the first
//! byte only after the connection is open, so a failure before that permit is known to have sent
//! nothing, whatever error a library reports.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration};

use ntex::{
    client::{ClientResponse, error::ClientError},
    http::{Method, StatusCode, header},
    util::{Bytes, stream_recv},
};
use ryetide_core::{
    event::{AnswerHead, Event, LoadReport, TargetOperation, TargetRoute},
    ids::{AttemptNumber, RequestId, RequestSequence},
    request_fingerprint::RequestFingerprint,
    target_notice::{LimitNotice, TargetNotice},
    units::ByteSize,
};
use tokio::{net::TcpStream, sync::oneshot, time::Instant};

use crate::{
    error::StepError,
    fresh_client::{FreshClient, FreshConnection},
    ring::{RingReceiver, RingSender},
    util,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval at which the load of watched engines is queried.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for a load query.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);
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

struct TargetPool {
    client: FreshClient,
    events: RingSender<Event>,
    connections: RefCell<HashMap<ConnectionKey, ConnectionHandle>>,
}

/// Runs the connections to targets until the command ring closes.
///
/// # Errors
///
/// Returns a [`StepError`] when the HTTP client cannot be built.
pub async fn run(
    mut commands: RingReceiver<TargetCommand>,
    events: RingSender<Event>,
) -> Result<(), StepError> {
    let client = FreshClient::new("targets").await?;
    let pool = Rc::new(TargetPool { client, events, connections: RefCell::default() });
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
    drop(watch);
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
        self.send_event(Event::Connected { sequence, attempt }).await;
        // The channel is closed when the attempt is abandoned before it is permitted.
        let Ok(PermittedOrder { order, not_after }) = order.await else { return };
        let end = match order {
            TargetOperation::Dispatch { .. } if Instant::now() >= not_after => {
                tracing::warn!(event = "permit-lapsed", step = "dispatch", peer = %route.name);
                None
            }
            TargetOperation::Dispatch { id, call, fingerprint, answer_limit, not_after: _ } => {
                let limit = if route.engine { ByteSize(u64::MAX) } else { answer_limit };
                let asked = if route.engine { "POST" } else { &call.method };
                // The method comes from a request that the same library has parsed.
                let method = asked.parse().expect("the method was parsed before");
                let path = if route.engine { engine_path(&id) } else { call.path.clone() };
                let request = self
                    .client
                    .request(connection, method, &path)
                    .header(REQUEST_ID_HEADER, id.to_string())
                    .header(header::CONTENT_TYPE, call.content_type.as_str());
                let sent_at = Instant::now();
                let sent = request.send_body(call.body.to_vec()).await;
                let end = self.read(key, route, sent, 0, limit).await;
                if end.is_none() {
                    let ran = sent_at.elapsed();
                    ntex::rt::spawn(Rc::clone(self).detect_crash(route.clone(), fingerprint, ran));
                }
                end
            }
            TargetOperation::Resume { id, offset } => {
                let path = format!("{}?offset={offset}", engine_path(&id));
                let sent = self.client.request(connection, Method::GET, &path).send().await;
                if matches!(&sent, Ok(response) if response.status() == StatusCode::NOT_FOUND) {
                    Some(Event::ResumeUnknown { sequence, attempt })
                } else {
                    self.read(key, route, sent, offset, ByteSize(u64::MAX)).await
                }
            }
        };
        self.send_event(end.unwrap_or(Event::TargetBroken { sequence, attempt })).await;
    }

    async fn connect(&self, route: &TargetRoute) -> Option<FreshConnection> {
        self.client.connect(route.address, CONNECT_TIMEOUT).await
    }

    /// Reads an answer to its end. Returns `None` when it is incomplete or too large.
    async fn read(
        &self,
        (sequence, attempt): ConnectionKey,
        route: &TargetRoute,
        sent: Result<ClientResponse, ClientError>,
        start: u64,
        limit: ByteSize,
    ) -> Option<Event> {
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
        while let Some(piece) = stream_recv(&mut response).await {
            let piece = match piece {
                Ok(piece) => piece,
                Err(error) => {
                    let peer = &route.name;
                    tracing::info!(event = "stream-broken", step = "read", %peer, reason = %error);
                    return None;
                }
            };
            let length = piece.len() as u64;
            if offset + length > limit.0 {
                let peer = &route.name;
                tracing::warn!(event = "answer-too-large", step = "read", %peer, limit = limit.0);
                return None;
            }
            let bytes = bytes::Bytes::copy_from_slice(&piece);
            self.send_event(Event::TargetPiece { sequence, attempt, offset, bytes }).await;
            offset += length;
        }
        Some(Event::TargetEnd { sequence, attempt, length: offset })
    }

    async fn send_event(&self, event: Event) {
        // A closed ring means that the daemon is stopping.
        let _ = self.events.send(event).await;
    }

    /// Reports a crash if the target, whose answer failed, refuses a new connection.
    async fn detect_crash(
        self: Rc<Self>,
        route: TargetRoute,
        fingerprint: RequestFingerprint,
        ran: Duration,
    ) {
        let connecting = TcpStream::connect(route.address);
        let Some(Err(error)) = util::within(CONNECT_TIMEOUT, connecting).await else { return };
        if error.kind() == io::ErrorKind::ConnectionRefused {
            let ran_ms = u32::try_from(ran.as_millis()).unwrap_or(u32::MAX);
            self.send_event(Event::TargetCrashed { target: route.key, fingerprint, ran_ms }).await;
        }
    }

    async fn cancel(self: Rc<Self>, id: RequestId, route: TargetRoute) {
        let Some(connection) = self.connect(&route).await else { return };
        let request = self.client.request(connection, Method::DELETE, &engine_path(&id));
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
            let request = self.client.request(connection, Method::GET, "/v1/load");
            let response = request.send().await.map_err(|error| error.to_string())?;
            let body: Bytes = response.body().await.map_err(|error| error.to_string())?;
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
fn notice_of(response: &ClientResponse) -> TargetNotice {
    let leaving = response.header(LEAVING_HEADER).is_some();
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = response.header(header::RETRY_AFTER).filter(|_| is_refusal);
    // A value that is not a number of seconds is ignored.
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let hold_off = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let limits = response.headers().get_all(LIMIT_HEADER);
    let limit = LimitNotice::read(limits.map(|value| value.to_str().ok()));
    TargetNotice { leaving, hold_off, limit, brittle: false }
}

fn engine_path(id: &RequestId) -> String {
    format!("/v1/requests/{id}")
}
