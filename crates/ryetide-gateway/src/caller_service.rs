//! Serves a request: finds its route, dispatches it to a target and forwards the answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Response, StatusCode, Uri, header, http};
use ryetide::segmented_body::SegmentedBody;
use ryetide_core::{
    decision::RunEnd,
    route::{MatchedRoute, RouteError},
};

use crate::{
    answer_end::AnswerEnd,
    caller_answer::{AnswerBody, CallerResponse, OwnAnswer, OwnReason},
    exchange::{CallerRequest, DispatchEnd, Exchange},
    gateway_state::Gateway,
    relay::StreamRelay,
    relay_fault::RelayFault,
    request_template,
    run_fault::RunFault,
    target_answer::{self, BodyFault, BodyReading, TargetAnswer},
};

/// The largest answer that is buffered, so that the request can be retried if the target's
/// connection breaks. A larger answer counts as a failure of the target.
const MAX_BUFFERED_ANSWER: usize = 4 << 20;
/// The retry delay while no configuration is in force: one is read within about this time.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);

/// Finds the route of a request by its head.
///
/// # Errors
///
/// Returns the gateway's own answer when there is no configuration or no route, or when the head is
/// invalid.
pub fn match_route(
    gateway: &Gateway,
    head: &http::request::Parts,
) -> Result<MatchedRoute, OwnAnswer> {
    let Some(routes) = gateway.fleet().routes() else {
        return Err(OwnAnswer::new(OwnReason::NoConfiguration).with_retry(NO_CONFIGURATION_RETRY));
    };
    // A host or key that is not text matches no route.
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = head.uri.host().or(host).ok_or(OwnAnswer::new(OwnReason::BadRequest))?;
    if !head.headers.contains_key(&gateway.names().request_id) {
        return Err(OwnAnswer::new(OwnReason::BadRequest));
    }
    let key = head.headers.get(&gateway.names().key).and_then(|value| value.to_str().ok());
    routes.find(host, Uri::path(&head.uri), key).map_err(|fault| match fault {
        RouteError::NoRoute => OwnAnswer::new(OwnReason::NoRoute),
        RouteError::BadKey => OwnAnswer::new(OwnReason::BadKey),
    })
}

/// Serves a request whose route has been found and whose body has been read.
pub async fn serve(
    gateway: Rc<Gateway>,
    matched: MatchedRoute,
    call: CallerRequest,
) -> CallerResponse {
    let id = call.head.headers.get(&gateway.names().request_id).cloned();
    let mut exchange = match Exchange::begin(&gateway, matched, call) {
        Ok(exchange) => exchange,
        Err(answer) => return gateway.answer_own(id.as_ref(), answer),
    };
    let stop = exchange.stop_limit();
    let prepared = tokio::select! {
        biased;
        () = stop.reached() => Err(OwnAnswer::stopping()),
        prepared = prepare(&mut exchange) => prepared,
    };
    if let Err(answer) = prepared {
        return exchange.answer_own(answer);
    }
    match exchange.dispatch().await {
        DispatchEnd::Own(answer) => exchange.answer_own(answer),
        DispatchEnd::Answer(answer) => {
            exchange.release_body();
            forward(exchange, *answer).await
        }
    }
}

/// Waits for what must be known of a request, and for its quota, before it is queued.
async fn prepare(exchange: &mut Exchange) -> Result<(), OwnAnswer> {
    exchange.await_quarantine_check().await?;
    exchange.find_origin().await?;
    exchange.charge_quota().await
}

/// Forwards an answer: a stream event by event, any other answer once it is complete.
async fn forward(exchange: Exchange, answer: TargetAnswer) -> CallerResponse {
    if exchange.is_stream() && answer.head.status.is_success() {
        forward_stream(exchange, answer).await
    } else {
        forward_buffered(exchange, answer).await
    }
}

async fn forward_stream(exchange: Exchange, answer: TargetAnswer) -> CallerResponse {
    let head = answer.head.clone();
    let mut relay = StreamRelay::new(exchange, answer);
    match relay.next_piece().await {
        Ok(first) => build_response(&head, AnswerBody::Pieces(relay.into_pieces(first))),
        Err(RelayFault::TimedOut) => {
            relay.into_exchange().answer_own(OwnAnswer::new(OwnReason::TimedOut))
        }
        Err(RelayFault::Stopped) => relay.into_exchange().answer_own(OwnAnswer::stopping()),
        Err(fault) => {
            tracing::debug!(event = "stream-given-up", step = "first piece", reason = %fault);
            relay.into_exchange().answer_own(OwnAnswer::new(OwnReason::TargetFailed))
        }
    }
}

async fn forward_buffered(mut exchange: Exchange, mut answer: TargetAnswer) -> CallerResponse {
    // An error response of a target is forwarded if no other target answers.
    let mut failure: Option<(http::response::Parts, SegmentedBody)> = None;
    loop {
        let memory = exchange.gateway().memory();
        let TargetAnswer { body, connection, target, .. } = &mut answer;
        let reading = target_answer::read_whole(body, connection, MAX_BUFFERED_ANSWER, memory);
        let reading = tokio::time::timeout_at(exchange.timeout_at(), reading);
        let stop = exchange.stop_limit();
        // `biased` polls the answer first: a complete one is forwarded even if the target has
        // ended.
        let read = tokio::select! {
            biased;
            read = reading => read,
            () = exchange.gateway().fleet().moved_away(target) => {
                Ok(Err(BodyFault::TargetEnded))
            }
            () = stop.answers_due() => return exchange.answer_own(OwnAnswer::stopping()),
        };
        let read = match read {
            Ok(Ok(BodyReading::Whole(body))) => match exchange.answer_end(&answer.target).await {
                AnswerEnd::Whole => Ok(Ok(body)),
                AnswerEnd::BrokenOff | AnswerEnd::Unknown => Ok(Err(BodyFault::Truncated)),
            },
            Ok(Ok(BodyReading::Begun(pieces))) if !answer.head.status.is_server_error() => {
                return forward_unbuffered(exchange, answer, pieces);
            }
            Ok(Ok(BodyReading::Begun(_))) => Ok(Err(BodyFault::NoMemory)),
            Ok(Err(fault)) => Ok(Err(fault)),
            Err(elapsed) => Err(elapsed),
        };
        match read {
            Err(_) => return exchange.answer_own(OwnAnswer::new(OwnReason::TimedOut)),
            Ok(Ok(body)) if !answer.head.status.is_server_error() => {
                let head = answer.head.clone();
                exchange.record_piece();
                exchange.finish(RunEnd::Whole);
                exchange.keep_connection(answer);
                return build_response(&head, AnswerBody::Whole(body));
            }
            Ok(Ok(body)) => {
                let head = answer.head.clone();
                exchange.record_target_fault(&answer.target, RunFault::Failed);
                exchange.keep_connection(answer);
                failure = Some((head, body));
            }
            Ok(Err(fault)) => {
                tracing::debug!(event = "answer-broken", peer = %answer.target.name, reason = %fault);
                exchange.record_target_fault(&answer.target, fault.into());
            }
        }
        let next_run = exchange.retry(None).await;
        match (next_run, failure.take()) {
            (DispatchEnd::Answer(next), previous) => {
                answer = *next;
                failure = previous;
            }
            (DispatchEnd::Own(..), Some((head, body))) if may_forward_failure(head.status) => {
                exchange.finish(RunEnd::Failed);
                exchange.gateway().metrics().count_outcome("target-failure");
                return build_response(&head, AnswerBody::Whole(body));
            }
            (DispatchEnd::Own(own), _) => return exchange.answer_own(own),
        }
    }
}

/// Forwards an answer as it is received, since there is no memory to buffer it. If it breaks off, the
/// caller sees that, and no other target is tried.
fn forward_unbuffered(
    exchange: Exchange,
    answer: TargetAnswer,
    pieces: Vec<Bytes>,
) -> CallerResponse {
    exchange.gateway().metrics().count_unbuffered();
    let head = answer.head.clone();
    let relay = StreamRelay::unbuffered(exchange, answer);
    build_response(&head, AnswerBody::Pieces(relay.into_pieces_after(pieces)))
}

/// Whether a target's error response may be forwarded unchanged. 503 promises that the request has
/// not run, which is not true here.
fn may_forward_failure(status: StatusCode) -> bool {
    status != StatusCode::SERVICE_UNAVAILABLE
}

fn build_response(head: &http::response::Parts, body: AnswerBody) -> CallerResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let mut headers = head.headers.clone();
    request_template::strip_connection_headers(&mut headers);
    *response.headers_mut() = headers;
    response
}
