//! Accepts connections of callers and reads their requests.

use std::{cell::Cell, convert::Infallible, future, pin::pin, rc::Rc, task::Poll, time::Duration};

use hyper::{
    Request, Response, Version,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service,
};
use hyper_util::rt::TokioIo;
use ryetide_core::{
    accept_queue::{AcceptDecision, AcceptQueue},
    connection_table::ConnectionPhase,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use crate::{
    caller_answer::{AnswerBody, CallerResponse},
    caller_body,
    caller_connections::{CallerConnection, PhaseTimer},
    caller_service,
    caller_stream::{self, CallerStream, StreamControl},
    exchange::CallerRequest,
    gateway_metrics::CloseReason,
    gateway_state::Gateway,
    guarded_body::GuardedBody,
    target_pool,
};

/// The pause after `accept` fails, for example because file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The most connections that are closed before other tasks have their turn. The runtime makes a task
/// wait that does more, which would look like an empty queue.
const MAX_CLOSED_IN_TURN: u32 = 64;
/// The smallest buffer that hyper permits for a head.
const MIN_HEAD_BUFFER: usize = 8_192;

/// The largest body that may be read to its end, in bytes, so that the connection of a refused request
/// can be used again. The rest of a larger one is discarded, and the connection is closed.
const MAX_KEPT_REST: u64 = 16 << 10;
/// The value of `Connection` in an answer after which the connection closes.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Accepts connections until the task is aborted.
///
/// What was begun goes before what waits: after each connection, every other task has its turn.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut queue = AcceptQueue::default();
    let mut closed_in_turn = 0;
    loop {
        let accepted = future::poll_fn(|context| {
            let accepted = listener.poll_accept(context);
            if accepted.is_pending() {
                queue.record_empty();
            }
            accepted
        });
        match accepted.await {
            Ok((stream, _)) => {
                let decision = queue.accept(gateway.hub().clock().now());
                if decision == AcceptDecision::Close {
                    // Dropping the stream closes it.
                    gateway.metrics().count_closed_unread();
                    closed_in_turn += 1;
                    if closed_in_turn < MAX_CLOSED_IN_TURN {
                        continue;
                    }
                } else if let Some(connection) = gateway.connections().admit() {
                    task::spawn_local(serve_connection(Rc::clone(&gateway), connection, stream));
                } else {
                    gateway.metrics().count_closed(CloseReason::NoRoom, "");
                }
                closed_in_turn = 0;
                task::yield_now().await;
            }
            Err(error) => {
                tracing::warn!(event = "accept-failed", step = "accept", reason = %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    connection: Rc<CallerConnection>,
    stream: TcpStream,
) {
    if let Err(error) = target_pool::set_liveness_options(&stream) {
        tracing::debug!(event = "caller-lost", step = "accept", reason = %error);
        return;
    }
    let takes_chunks = Rc::new(Cell::new(true));
    let control = StreamControl::default();
    let handler = {
        let (gateway, takes_chunks) = (Rc::clone(&gateway), Rc::clone(&takes_chunks));
        let caller = CallerLink { connection: Rc::clone(&connection), control: control.clone() };
        service::service_fn(move |request: Request<Incoming>| {
            takes_chunks.set(request.version() != Version::HTTP_10);
            answer(Rc::clone(&gateway), caller.clone(), request)
        })
    };
    let head_limit = gateway.fleet().request_limits().header.0;
    let buffer = usize::try_from(head_limit).unwrap_or(usize::MAX).max(MIN_HEAD_BUFFER);
    let socket = Rc::new(stream);
    let stream = CallerStream::new(Rc::clone(&socket), control.clone(), Rc::clone(&connection));
    // The timer below tells heads from idle connections, which the library's does not.
    let serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), handler);
    let mut serving = pin!(serving);
    let mut timer = PhaseTimer::new(Rc::clone(&connection));
    let served = loop {
        tokio::select! {
            biased;
            served = serving.as_mut() => break served,
            () = gateway.closing().notified() => serving.as_mut().graceful_shutdown(),
            () = connection.displaced() => {
                return record_closed(&gateway, &connection, CloseReason::Displaced);
            }
            () = future::poll_fn(|context| timer.poll_over(context)) => {
                return record_closed(&gateway, &connection, CloseReason::TimedOut);
            }
            () = future::poll_fn(|context| match connection.phase() {
                Some(ConnectionPhase::Serving) => caller_stream::poll_unread(&socket, context),
                _ => Poll::Pending,
            }) => {
                connection.enter(ConnectionPhase::Pipelining);
            }
        }
    };
    if let Err(error) = served {
        tracing::debug!(event = "caller-connection-ended", reason = %error);
        // Without chunks the end of the connection is the end of the answer. Only a reset tells the
        // caller that an answer has been broken off.
        if error.is_user() && !takes_chunks.get() {
            control.reset();
        }
    }
}

fn record_closed(gateway: &Gateway, connection: &CallerConnection, reason: CloseReason) {
    let phase = connection.phase().map_or("", ConnectionPhase::name);
    gateway.metrics().count_closed(reason, phase);
    tracing::debug!(event = "caller-closed", reason = reason.name(), phase);
}

/// The connection on which a request has arrived.
#[derive(Clone)]
struct CallerLink {
    connection: Rc<CallerConnection>,
    control: StreamControl,
}

async fn answer(
    gateway: Rc<Gateway>,
    caller: CallerLink,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    gateway.metrics().count_request();
    caller.connection.record_request(!request.body().is_end_stream());
    let mut response = handle_request(&gateway, &caller, request).await;
    if gateway.is_draining() {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    if matches!(response.body(), AnswerBody::Whole(_)) {
        caller.connection.enter(ConnectionPhase::Answering);
    }
    Ok(response.map(|body| GuardedBody::new(body, caller.connection)))
}

async fn handle_request(
    gateway: &Rc<Gateway>,
    caller: &CallerLink,
    request: Request<Incoming>,
) -> CallerResponse {
    let arrived = gateway.hub().clock().now();
    let (head, body) = request.into_parts();
    let id = head.headers.get(&gateway.names().request_id).cloned();
    let matched = caller_service::match_route(gateway, &head);
    let limit = gateway.fleet().request_limits().body;
    let leaves_rest = body.size_hint().upper().is_none_or(|length| length > MAX_KEPT_REST);
    let read = match matched {
        Ok(matched) => caller_body::read(gateway, body).await.map(|body| (matched, body)),
        Err(answer) => Err(answer),
    };
    match read {
        Ok((matched, body)) => {
            caller.connection.enter(ConnectionPhase::Serving);
            let call = CallerRequest { head, body, arrived };
            caller_service::serve(Rc::clone(gateway), matched, call).await
        }
        Err(answer) => {
            let mut response = gateway.answer_own(id.as_ref(), answer);
            if leaves_rest {
                caller.control.discard_rest(limit);
                response.headers_mut().insert(header::CONNECTION, CLOSE);
            }
            response
        }
    }
}
