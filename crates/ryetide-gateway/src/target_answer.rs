//! Answers of targets: whether the request ran, and the notices in the headers.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    http,
};
use ryetide::{
    memory_pool::MemoryPool,
    segmented_body::{BodyBuffer, SegmentedBody},
};
use ryetide_core::{
    target_load::TargetEntry,
    target_notice::{self, LimitNotice, TargetNotice},
    units::ByteSize,
};

use crate::{ports::HeaderNames, target_pool::TargetConnection};

/// The header with the keep-alive timeout, for which hyper has no constant.
const KEEP_ALIVE: &str = "keep-alive";
/// The prefix of the timeout in that header.
const TIMEOUT_FIELD: &str = "timeout=";

/// A target's answer whose head has been received.
pub struct TargetAnswer {
    /// The answer's head.
    pub head: http::response::Parts,
    /// The answer's body, not yet read.
    pub body: Incoming,
    /// The connection on which the answer is received.
    pub connection: TargetConnection,
    /// The target that sent the answer.
    pub target: TargetEntry,
}

/// What an answer's head says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The answer is the target's own and belongs to this request.
    Own,
    /// The request did not run.
    NotRun,
    /// The answer belongs to another request or to none.
    Foreign,
    /// The answer has no signature, so it was not made by the target's program.
    Unsigned,
}

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerFraming {
    /// A content length, or there is no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

impl AnswerFraming {
    /// Returns the framing's name, for logs.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Returns what marks the end of an answer's body.
pub fn framing_of<T: Body>(response: &Response<T>) -> AnswerFraming {
    let headers = response.headers();
    if response.body().is_end_stream() {
        return AnswerFraming::Length;
    }
    match headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(codings) if ends_with_chunked(codings) => AnswerFraming::Chunks,
        Some(_) => AnswerFraming::Connection,
        None if headers.contains_key(header::CONTENT_LENGTH) => AnswerFraming::Length,
        None => AnswerFraming::Connection,
    }
}

fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

/// Classifies an answer to the request `id` by its head.
pub fn kind_of<T>(
    response: &Response<T>,
    names: &HeaderNames,
    id: Option<&HeaderValue>,
) -> AnswerKind {
    let headers = response.headers();
    // A late second answer to an earlier request can arrive in place of this request's answer. Its
    // headers concern the earlier request.
    if headers.get(&names.request_id).is_some_and(|found| Some(found) != id) {
        return AnswerKind::Foreign;
    }
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if headers.contains_key(&names.not_run) || misdirected {
        return AnswerKind::NotRun;
    }
    if headers.contains_key(&names.signature) { AnswerKind::Own } else { AnswerKind::Unsigned }
}

/// Returns the target's notice in the head of an answer, whichever request the answer belongs to.
pub fn notice_of<T>(response: &Response<T>, names: &HeaderNames) -> TargetNotice {
    let headers = response.headers();
    let leaving = headers.get(&names.leaving).is_some_and(|value| value != "0");
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let hold_off = if is_unavailable { retry_after(headers) } else { None };
    let limits = headers.get_all(&names.limit).iter();
    let limit = LimitNotice::read(limits.map(|value| value.to_str().ok()));
    // The number that the target names is not used: none is to be turned away.
    let brittle = headers.contains_key(&names.brittle);
    TargetNotice { leaving, hold_off, limit, brittle }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    // A value that is not a number of seconds is ignored.
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    let longest = target_notice::LONGEST_HOLD_OFF;
    Duration::try_from_secs_f64(seconds).ok().map(|span| span.min(longest))
}

/// Returns the keep-alive timeout that the target states for the connection.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    // A value that cannot be parsed is ignored, and the default timeout applies.
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let field = value.split(',').find_map(|part| part.trim().strip_prefix(TIMEOUT_FIELD))?;
    field.parse().ok().map(Duration::from_secs)
}

/// Why an answer's body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyFault {
    /// The connection broke or the data on it was invalid.
    #[error("read: {0}")]
    Broken(#[from] hyper::Error),
    /// The target's process was restarted meanwhile.
    #[error("read: the target was restarted")]
    TargetEnded,
    /// The connection that marks the body's end has ended early.
    #[error("read: the target has ended its connection early")]
    Truncated,
    /// There is no memory for the body.
    #[error("read: there is no memory for the rest")]
    NoMemory,
    /// The body is larger than the buffer limit.
    #[error("read: more than {0} bytes")]
    TooLarge(usize),
}

/// What was read of a body.
#[derive(Debug)]
pub enum BodyReading {
    /// All of it.
    Whole(SegmentedBody),
    /// There is no memory for more than these pieces.
    Begun(Vec<Bytes>),
}

/// Reads a complete body into memory, as far as there is room for it.
///
/// # Errors
///
/// Returns a [`BodyFault`] when the body is incomplete or larger than `limit`.
pub async fn read_whole(
    body: &mut Incoming,
    connection: &TargetConnection,
    limit: usize,
    memory: &Arc<MemoryPool>,
) -> Result<BodyReading, BodyFault> {
    let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let size_of = |length: usize| ByteSize(length as u64);
    let mut reserved = None;
    if let Some(length) = announced.filter(|length| *length <= limit) {
        reserved = memory.take(size_of(length), size_of(length));
        if reserved.is_none() {
            return Ok(BodyReading::Begun(Vec::new()));
        }
    }
    let mut buffer = BodyBuffer::new(announced);
    while let Some(frame) = body.frame().await {
        // A frame without data holds trailers, which are not forwarded.
        let Ok(data) = frame?.into_data() else { continue };
        connection.record_used();
        if buffer.len() + data.len() > limit {
            return Err(BodyFault::TooLarge(limit));
        }
        let mut rest = data;
        while !rest.is_empty() {
            if let Some(size) = buffer.next_segment(rest.len()) {
                let share = match &mut reserved {
                    Some(reserved) => Some(reserved.split(size_of(size))),
                    None => memory.take(size_of(buffer.len() + size), size_of(size)),
                };
                let Some(share) = share else {
                    let mut pieces = buffer.finish().segments().to_vec();
                    pieces.push(rest);
                    return Ok(BodyReading::Begun(pieces));
                };
                buffer.add_segment(size, share);
            }
            rest.advance(buffer.fill(&rest));
        }
    }
    Ok(BodyReading::Whole(buffer.finish()))
}
