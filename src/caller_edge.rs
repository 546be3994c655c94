//! The HTTP server for callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use ntex::{
    http::{HttpService, HttpServiceConfig, KeepAlive, header},
    server::{self, Server},
    service::cfg::SharedCfg,
    time::Seconds,
    util::Stream,
    web::{self, App, HttpRequest, HttpResponse},
};
use ryetide_core::{
    event::{AnswerHead, Event, FinalAnswer, TargetCall},
    event_scanner::EventScanner,
    ids::{Incarnation, RequestId, RequestSequence, VmName},
    units::{ByteSize, Moment},
};

use crate::{
    answer_buffer::{self, AnswerBuffer, AnswerOverflow, AnswerPart, WholeBody},
    caller_answer::{self, ANSWERED},
    caller_gate::CallerGate,
    caller_request::{self, CallerHeaders, ModelRequest, ReadFault},
    error::StepError,
    memory_pool::{BodyArrival, MemoryPool, MemoryShare, NoRoom},
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
/// The content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
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
struct CallerEdge {
    identity: EdgeIdentity,
    events: RingSender<Event>,
    reports: RingSender<ReportCommand>,
    buffers: RefCell<HashMap<RequestSequence, AnswerBuffer>>,
    next_sequence: Cell<u64>,
    /// The memory for bodies.
    memory: Arc<MemoryPool>,
    started: Instant,
}

type SharedEdge = Rc<CallerEdge>;

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
        self.identity.open_calls.fetch_add(1, Ordering::SeqCst);
        let call = OpenCall { edge: Rc::clone(self), sequence, buffer, ended: Cell::new(false) };
        if self.events.send(Event::Arrived(caller_request)).await.is_err() {
            return Ok(HttpResponse::ServiceUnavailable().finish());
        }
        let disconnected = request.io().map(|io| io.on_disconnect());
        let answer = respond(call, is_model, stream);
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
    fn notify_caller_gone(self: &Rc<Self>, sequence: RequestSequence) {
        if self.buffers.borrow_mut().remove(&sequence).is_none() {
            return;
        }
        let edge = Rc::clone(self);
        ntex::rt::spawn(async move {
            // A closed ring means that the daemon is stopping.
            let _ = edge.events.send(Event::CallerGone { sequence }).await;
        });
    }

    fn count_reject(&self, code: &'static str) {
        // A full ring loses a count. Waiting for room would delay requests.
        let _ = self.reports.try_send(ReportCommand::Reject(code));
    }

    fn id_of(&self, sequence: RequestSequence) -> String {
        let EdgeIdentity { vm, incarnation, .. } = self.identity.clone();
        RequestId { vm, incarnation, sequence }.to_string()
    }
}

/// A call that waits for its answer. Dropping it before the end notifies the core that the caller has
/// disconnected.
struct OpenCall {
    edge: SharedEdge,
    sequence: RequestSequence,
    buffer: AnswerBuffer,
    ended: Cell<bool>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.edge.notify_caller_gone(self.sequence);
        }
        self.edge.identity.open_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

impl OpenCall {
    fn id(&self) -> String {
        self.edge.id_of(self.sequence)
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

/// Waits for the start of an answer and builds the response.
async fn respond(call: OpenCall, is_model: bool, stream: bool) -> HttpResponse {
    let mut head = AnswerHead { status: 200, content_type: String::new() };
    // Answers of other services have the limit of their service.
    let limit = if is_model { answer_buffer::ENGINE_ANSWER_LIMIT } else { ByteSize(u64::MAX) };
    let mut body = WholeBody::new(limit);
    loop {
        match call.buffer.next().await {
            Ok(AnswerPart::Head(found)) if stream && found.is_event_stream() => {
                return begin_stream(call, &found);
            }
            Ok(AnswerPart::Head(found)) => head = found,
            Ok(AnswerPart::Piece(piece)) => {
                if let Err(error) = body.push(&piece) {
                    let id = call.id();
                    tracing::warn!(event = "answer-too-large", step = "collect", request = %id, reason = %error);
                    return HttpResponse::BadGateway().finish();
                }
            }
            Ok(AnswerPart::Final(answer)) => {
                call.ended.set(true);
                let body = body.into_bytes();
                return whole_response(&call, answer, head, body, is_model && !stream);
            }
            Err(AnswerOverflow) => return HttpResponse::BadGateway().finish(),
        }
    }
}

fn whole_response(
    call: &OpenCall,
    answer: FinalAnswer,
    mut head: AnswerHead,
    mut body: Vec<u8>,
    needs_assembly: bool,
) -> HttpResponse {
    let id = call.id();
    if let Some(status) = caller_answer::final_status(&answer) {
        if let FinalAnswer::NotRun { .. } = answer {
            let (code, retry) = (&status.code, status.retry_after.map(util::millis));
            tracing::info!(event = "request-refused", step = "order", request = %id, reason = %code, retry_ms = retry);
        }
        if matches!(answer, FinalAnswer::Rejected(_)) {
            call.edge.count_reject("rejected");
            let code = &status.code;
            tracing::info!(event = "request-rejected", step = "admit", request = %id, reason = %code);
        }
        return caller_answer::final_response(&status, &id);
    }
    if let FinalAnswer::Replayed(stored) = answer {
        head = AnswerHead { status: stored.status, content_type: stored.content_type };
        body = stored.body.to_vec();
    }
    let mut builder = caller_answer::builder(head.status, ANSWERED, &id);
    if needs_assembly && head.is_event_stream() {
        return match caller_answer::assemble(&id, &body) {
            Ok(whole) => builder.json(&whole),
            Err(error) => {
                tracing::warn!(event = "answer-unreadable", step = "assemble", request = %id, reason = %error);
                builder.content_type(EVENT_STREAM).body(body)
            }
        };
    }
    if !head.content_type.is_empty() {
        builder.content_type(head.content_type.as_str());
    }
    builder.body(body)
}

fn begin_stream(call: OpenCall, head: &AnswerHead) -> HttpResponse {
    let mut builder = caller_answer::builder(head.status, "", &call.id());
    builder.content_type(head.content_type.as_str());
    builder.set_header(header::CACHE_CONTROL, "no-cache");
    builder.streaming(AnswerStream { call, scanner: EventScanner::default(), done: false })
}

/// The body of a streamed response: whole events only, so that an error at its end is an event of its
/// own.
struct AnswerStream {
    call: OpenCall,
    scanner: EventScanner,
    done: bool,
}

impl Stream for AnswerStream {
    type Item = Result<ntex::util::Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.done {
            return Poll::Ready(None);
        }
        loop {
            let part = match self.call.buffer.poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(part) => part,
            };
            match part {
                Ok(AnswerPart::Head(_)) => {}
                Ok(AnswerPart::Piece(piece)) => {
                    let events = self.scanner.push(&piece);
                    self.done = events.is_err();
                    match events {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => {
                            let events = ntex::util::Bytes::copy_from_slice(&events);
                            return Poll::Ready(Some(Ok(events)));
                        }
                        Err(error) => {
                            return Poll::Ready(Some(Err(std::io::Error::other(error))));
                        }
                    }
                }
                Ok(AnswerPart::Final(answer)) => {
                    self.call.ended.set(true);
                    self.done = true;
                    let end = caller_answer::stream_end(&answer);
                    return Poll::Ready(Some(Ok(ntex::util::Bytes::from(end.into_bytes()))));
                }
                Err(overflow) => {
                    self.done = true;
                    return Poll::Ready(Some(Err(std::io::Error::other(overflow))));
                }
            }
        }
    }
}
