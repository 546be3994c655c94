//! The HTTP server for callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Instant,
};

use bytes::Bytes;
use ntex::{
    http::{HttpService, HttpServiceConfig, KeepAlive, header},
    server::{self, Server},
    service::cfg::SharedCfg,
    time::Seconds,
    web::{self, App, HttpRequest, HttpResponse},
};
use ryetide_core::{
    event::{Event, TargetCall},
    ids::{Incarnation, RequestId, RequestSequence, VmName},
    units::{ByteSize, Moment},
};

use crate::{
    answer_buffer::{AnswerBuffer, AnswerPart},
    caller_answer,
    caller_gate::CallerGate,
    caller_request::{self, CallerHeaders, ModelRequest, ReadFault},
    error::StepError,
    memory_pool::{BodyArrival, MemoryPool, MemoryShare, NoRoom},
    open_call::{self, OpenCall},
    request_report::ReportCommand,
    ring::{RingReceiver, RingSender},
    segmented_body::BodyBuffer,
    server_stop::{ServerHandle, StopFuture},
    settings::CallerLimits,
    util,
};

/// The maximum number of simultaneous connections from callers.
const CONNECTION_LIMIT: usize = 20_000;
/// The time within which a caller's headers must arrive.
const HEADER_TIMEOUT: Seconds = Seconds(5);
/// The time for which an idle connection of a caller is kept open.
const KEEP_ALIVE: Seconds = Seconds(30);
/// The path prefix of plain services.
const PLAIN_PREFIX: &str = "/services/";
/// The paths of model services.
const MODEL_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// A part of a caller's answer, sent by the core.
#[derive(Debug)]
pub struct EdgeCommand {
    /// The request that is answered.
    pub sequence: RequestSequence,
    /// The part of its answer.
    pub part: AnswerPart,
}

/// The ring ends that belong to the edge.
pub struct EdgeRings {
    /// To the core.
    pub events: RingSender<Event>,
    /// From the core.
    pub commands: RingReceiver<EdgeCommand>,
    /// To the report.
    pub reports: RingSender<ReportCommand>,
}

/// The VM that serves the requests, and its limits.
#[derive(Clone, Debug)]
pub struct EdgeIdentity {
    /// The VM's name.
    pub vm: VmName,
    /// The incarnation of its daemon.
    pub incarnation: Incarnation,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The number of calls whose answers are not sent completely. A shutdown waits for them.
    pub open_calls: Arc<AtomicUsize>,
}

/// The state that the edge's tasks share.
pub(crate) struct CallerEdge {
    identity: EdgeIdentity,
    events: RingSender<Event>,
    reports: RingSender<ReportCommand>,
    buffers: RefCell<HashMap<RequestSequence, AnswerBuffer>>,
    next_sequence: Cell<u64>,
    /// The memory for bodies.
    memory: Arc<MemoryPool>,
    started: Instant,
}

pub(crate) type SharedEdge = Rc<CallerEdge>;

/// The running server for callers.
pub struct CallerServer {
    server: Server,
    gate: Arc<CallerGate>,
}

impl ServerHandle for CallerServer {
    fn stop(&self, graceful: bool) -> StopFuture {
        self.gate.stop();
        ServerHandle::stop(&self.server, graceful)
    }
}

/// Starts the edge on `listener`; the server runs until it is stopped.
///
/// # Errors
///
/// Returns a [`StepError`] when the listener cannot be used.
pub fn start(
    listener: std::net::TcpListener,
    identity: EdgeIdentity,
    rings: EdgeRings,
) -> Result<CallerServer, StepError> {
    // The server clones its factory for each worker. There is one worker, which takes the rings; any
    // other would answer 503.
    let rings = Arc::new(Mutex::new(Some(rings)));
    let factory = move || {
        let taken = rings.lock().ok().and_then(|mut rings| rings.take());
        let identity = identity.clone();
        async move {
            let edge = taken.map(|rings| open(identity, rings));
            App::new().state(edge).default_service(web::to(handle))
        }
    };
    let config = || {
        HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
            .set_client_timeout(HEADER_TIMEOUT)
    };
    let gate = Arc::new(CallerGate::default());
    let entered = Arc::clone(&gate);
    let admit = async move |_: Arc<str>, stream: server::Stream| match stream {
        server::Stream::Tcp(stream) => entered.enter(stream).await.map(server::Stream::Tcp),
        other => Ok(other),
    };
    let server = server::build()
        .workers(1)
        .maxconn(CONNECTION_LIMIT)
        .disable_signals()
        .on_accept(admit)
        .listen("callers", listener, async move |socket| {
            socket.config(SharedCfg::new("callers").add(config()));
            HttpService::new(factory().await)
        })
        .map_err(|error| StepError::new("listen for callers", error))?;
    Ok(CallerServer { server: server.run(), gate })
}

fn open(identity: EdgeIdentity, rings: EdgeRings) -> SharedEdge {
    let EdgeRings { events, mut commands, reports } = rings;
    let CallerLimits { memory, body, .. } = identity.limits;
    let edge = Rc::new(CallerEdge {
        identity,
        memory: MemoryPool::new(memory, body),
        started: Instant::now(),
        events,
        reports,
        buffers: RefCell::default(),
        next_sequence: Cell::new(1),
    });
    let receiving = Rc::clone(&edge);
    ntex::rt::spawn(async move {
        while let Some(command) = commands.recv().await {
            receiving.deliver(command);
        }
    });
    edge
}

async fn handle(
    request: HttpRequest,
    payload: web::types::Payload,
    edge: web::types::State<Option<SharedEdge>>,
) -> HttpResponse {
    let Some(edge) = edge.get_ref().clone() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    match edge.serve(&request, payload).await {
        Ok(response) => response,
        Err(fault) => {
            let (_, code) = fault.status();
            edge.count_reject(code);
            let peer = request.peer_addr().map(|address| address.to_string()).unwrap_or_default();
            tracing::info!(event = "request-rejected", step = "read", %peer, reason = %fault);
            caller_answer::fault_response(&fault)
        }
    }
}

impl CallerEdge {
    /// Serves one request to its answer.
    async fn serve(
        self: &Rc<Self>,
        request: &HttpRequest,
        payload: web::types::Payload,
    ) -> Result<HttpResponse, ReadFault> {
        let path = request.path();
        let is_model = MODEL_PATHS.contains(&path);
        if !is_model && !path.starts_with(PLAIN_PREFIX) {
            return Err(ReadFault::PathUnknown);
        }
        let headers = CallerHeaders::read(request.headers())?;
        let body = self.read_body(request, payload).await?;
        let sequence = RequestSequence(self.next_sequence.get());
        self.next_sequence.set(sequence.0 + 1);
        let (caller_request, stream) = if is_model {
            let ModelRequest { request, stream } =
                caller_request::read_model_request(sequence, headers, body)?;
            (request, stream)
        } else {
            let (service, call) = plain_call(request, body)?;
            (caller_request::plain_request(sequence, headers, &service, call), false)
        };
        let buffer = AnswerBuffer::new(self.identity.limits.answer_buffer);
        self.buffers.borrow_mut().insert(sequence, buffer.clone());
        let call = OpenCall::new(Rc::clone(self), sequence, buffer);
        if self.events.send(Event::Arrived(caller_request)).await.is_err() {
            return Ok(HttpResponse::ServiceUnavailable().finish());
        }
        let disconnected = request.io().map(|io| io.on_disconnect());
        let answer = open_call::respond(call, is_model, stream);
        match disconnected {
            None => Ok(answer.await),
            Some(disconnected) => tokio::select! {
                response = answer => Ok(response),
                // Dropping the call notifies the core.
                () = disconnected => Ok(HttpResponse::ServiceUnavailable().finish()),
            },
        }
    }

    async fn read_body(
        &self,
        request: &HttpRequest,
        mut payload: web::types::Payload,
    ) -> Result<Bytes, ReadFault> {
        let limits = self.identity.limits;
        let limit = limits.body.0;
        // The library has already rejected a length that does not parse.
        let declared = request
            .headers()
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if declared.is_some_and(|length| length > limit) {
            return Err(ReadFault::BodyTooLarge(limit));
        }
        let announced = declared.and_then(|length| usize::try_from(length).ok());
        let arrival = self.memory.begin(self.now());
        let reading = async {
            let mut buffer = BodyBuffer::contiguous(announced);
            while let Some(piece) = payload.recv().await {
                let piece = piece.map_err(|_| ReadFault::BodyBroken)?;
                if (buffer.len() + piece.len()) as u64 > limit {
                    return Err(ReadFault::BodyTooLarge(limit));
                }
                let mut rest = &piece[..];
                while !rest.is_empty() {
                    if let Some(size) = buffer.next_segment(rest.len()) {
                        buffer.add_segment(size, self.reserve(&arrival, size).await?);
                    }
                    rest = &rest[buffer.fill(rest)..];
                }
            }
            let joined = if buffer.is_split() {
                Some(self.reserve(&arrival, buffer.len()).await?)
            } else {
                None
            };
            Ok(buffer.join(joined))
        };
        tokio::select! {
            biased;
            read = util::within(limits.body_timeout, reading) => {
                read.ok_or(ReadFault::BodyTooSlow(limits.body_timeout))?
            }
            () = arrival.must_give_way() => Err(ReadFault::NoMemory),
        }
    }

    async fn reserve(&self, arrival: &BodyArrival, size: usize) -> Result<MemoryShare, ReadFault> {
        let reserving = arrival.reserve(|| self.now(), ByteSize(size as u64));
        reserving.await.map_err(|NoRoom| ReadFault::NoMemory)
    }

    fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Buffers a part of an answer, or cuts off a caller that leaves too much unread.
    fn deliver(self: &Rc<Self>, command: EdgeCommand) {
        let EdgeCommand { sequence, part } = command;
        let ends = matches!(part, AnswerPart::Final(_));
        let buffer = self.buffers.borrow().get(&sequence).cloned();
        let Some(buffer) = buffer else { return };
        if buffer.push(part).is_err() {
            tracing::warn!(event = "caller-too-slow", step = "answer", sequence = sequence.0);
            self.count_reject("caller-too-slow");
            self.notify_caller_gone(sequence);
        } else if ends {
            self.buffers.borrow_mut().remove(&sequence);
        }
    }

    /// Notifies the core once that a caller has disconnected.
    pub(crate) fn notify_caller_gone(self: &Rc<Self>, sequence: RequestSequence) {
        if self.buffers.borrow_mut().remove(&sequence).is_none() {
            return;
        }
        let edge = Rc::clone(self);
        ntex::rt::spawn(async move {
            // A closed ring means that the daemon is stopping.
            let _ = edge.events.send(Event::CallerGone { sequence }).await;
        });
    }

    /// Counts a request that is answered with an error of this kind.
    pub(crate) fn count_reject(&self, code: &'static str) {
        // A full ring loses a count. Waiting for room would delay requests.
        let _ = self.reports.try_send(ReportCommand::Reject(code));
    }

    /// Returns the number of calls whose answers are not sent completely.
    pub(crate) fn open_calls(&self) -> &AtomicUsize {
        &self.identity.open_calls
    }

    /// Returns the id under which a request is known to others.
    pub(crate) fn id_of(&self, sequence: RequestSequence) -> String {
        let EdgeIdentity { vm, incarnation, .. } = self.identity.clone();
        RequestId { vm, incarnation, sequence }.to_string()
    }
}

fn plain_call(request: &HttpRequest, body: Bytes) -> Result<(String, TargetCall), ReadFault> {
    let rest = request.path().strip_prefix(PLAIN_PREFIX).ok_or(ReadFault::PathUnknown)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(ReadFault::PathUnknown);
    }
    let query = request.query_string();
    let query = if query.is_empty() { String::new() } else { format!("?{query}") };
    let content_type = request.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let call = TargetCall {
        method: request.method().to_string(),
        path: format!("/{path}{query}"),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body,
    };
    Ok((service.to_owned(), call))
}
