//! A call of a caller that waits for its answer, and the response that is built from it.

use std::{
    cell::Cell,
    pin::Pin,
    sync::atomic::Ordering,
    task::{Context, Poll},
};

use ntex::{http::header, util::Stream, web::HttpResponse};
use ryetide_core::{
    event::{AnswerHead, FinalAnswer},
    event_scanner::EventScanner,
    ids::RequestSequence,
    units::ByteSize,
};

use crate::{
    answer_buffer::{self, AnswerBuffer, AnswerOverflow, AnswerPart, WholeBody},
    caller_answer::{self, ANSWERED},
    caller_edge::SharedEdge,
    util,
};

/// The content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A call that waits for its answer. Dropping it before the end notifies the core that the caller has
/// disconnected.
pub(crate) struct OpenCall {
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
        self.edge.open_calls().fetch_sub(1, Ordering::SeqCst);
    }
}

impl OpenCall {
    /// Creates a call, which counts as open until it is dropped.
    pub(crate) fn new(edge: SharedEdge, sequence: RequestSequence, buffer: AnswerBuffer) -> Self {
        edge.open_calls().fetch_add(1, Ordering::SeqCst);
        Self { edge, sequence, buffer, ended: Cell::new(false) }
    }

    fn id(&self) -> String {
        self.edge.id_of(self.sequence)
    }
}

/// Waits for the start of an answer and builds the response.
pub(crate) async fn respond(call: OpenCall, is_model: bool, stream: bool) -> HttpResponse {
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
