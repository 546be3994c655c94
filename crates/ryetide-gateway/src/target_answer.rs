//! What came back from a target, and what it says of the request.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http,
};
use ryetide_core::{
    target_load::TargetEntry,
    target_notice::{self, LimitNotice, TargetNotice},
};

use crate::{ports::HeaderNames, target_pool::TargetConnection};

/// The header that tells how long a kept connection is kept, which the library has no constant for.
const KEEP_ALIVE: &str = "keep-alive";
/// What its time is called there.
const TIMEOUT_FIELD: &str = "timeout=";

/// A target's own answer, of which the head has come.
pub struct TargetAnswer {
    /// The head.
    pub head: http::response::Parts,
    /// The rest.
    pub body: Incoming,
    /// The connection it comes on.
    pub connection: TargetConnection,
    /// Who sends it.
    pub target: TargetEntry,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// It is the target's own answer to this request.
    Own,
    /// The request did not run.
    NotRun,
    /// It belongs to another request, or to none.
    Foreign,
    /// It bears no signature, so it is not what the target's program made.
    Unsigned,
}

/// Returns what the head of an answer to the request `id` says.
pub fn kind_of<T>(
    response: &Response<T>,
    names: &HeaderNames,
    id: Option<&HeaderValue>,
) -> AnswerKind {
    let headers = response.headers();
    // A late second answer to an earlier request comes where this one's answer is due, and whatever it
    // says, it says of that one.
    if headers.get(&names.request_id).is_some_and(|found| Some(found) != id) {
        return AnswerKind::Foreign;
    }
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if headers.contains_key(&names.not_run) || misdirected {
        return AnswerKind::NotRun;
    }
    if headers.contains_key(&names.signature) { AnswerKind::Own } else { AnswerKind::Unsigned }
}

/// Returns what the head of an answer says of its target, whatever request it belongs to.
pub fn word_of<T>(response: &Response<T>, names: &HeaderNames) -> TargetNotice {
    let headers = response.headers();
    let leaving = headers.get(&names.leaving).is_some_and(|value| value != "0");
    let turns_away = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let hold_off = if turns_away { retry_after(headers) } else { None };
    let limits = headers.get_all(&names.limit).iter();
    let limit = LimitNotice::read(limits.map(|value| value.to_str().ok()));
    TargetNotice { leaving, hold_off, limit }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    // What is no number of seconds names no time.
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    let longest = target_notice::LONGEST_HOLD_OFF;
    Duration::try_from_secs_f64(seconds).ok().map(|span| span.min(longest))
}

/// Returns how long the target says that it keeps the connection.
pub fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    // What cannot be read promises nothing: the connection is then kept as long as any other.
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let field = value.split(',').find_map(|part| part.trim().strip_prefix(TIMEOUT_FIELD))?;
    field.parse().ok().map(Duration::from_secs)
}

/// Why an answer's body is not whole.
#[derive(Debug, thiserror::Error)]
pub enum BodyFault {
    /// The connection broke, or what came is no answer.
    #[error("read: {0}")]
    Broken(#[from] hyper::Error),
    /// The target has started again meanwhile.
    #[error("read: the target has started again")]
    TargetEnded,
    /// It is larger than what is held for one answer.
    #[error("read: more than {0} bytes")]
    TooLarge(usize),
}

/// Reads a body whole.
///
/// # Errors
///
/// Returns a [`BodyFault`] when it breaks off or is larger than `limit`.
pub async fn read_whole(body: &mut Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // A frame without data holds trailers, which are not passed on.
        let Ok(data) = frame?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(BodyFault::TooLarge(limit));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
