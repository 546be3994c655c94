//! Conversion of answers to HTTP responses.
//!
//! The header `ryetide-outcome` is `answered`, `not-run` or `unknown`. The headers of a stream are
//! sent before its outcome is known, so the outcome follows at its end: in a comment line, which
//! existing clients skip, preceded by an `error` event when the answer is incomplete.

use std::time::Duration;

use ntex::{
    http::{StatusCode, header},
    web::{HttpResponse, HttpResponseBuilder},
};
use ryetide_core::{
    event::{FinalAnswer, RejectReason, UnknownReason},
    json_form,
    message::RefuseReason,
};
use serde::{Deserialize, Serialize};

use crate::{caller_request::ReadFault, util};

/// The header with the outcome: [`ANSWERED`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME_HEADER: &str = "ryetide-outcome";
/// The header with the request's id.
pub const REQUEST_HEADER: &str = "ryetide-request";
/// The header with the retry delay in milliseconds; `retry-after` has whole seconds.
pub const RETRY_HEADER: &str = "ryetide-retry-after-ms";
/// The outcome of a request that was answered completely.
pub const ANSWERED: &str = "answered";
/// The outcome of a request that did not run and will not run.
pub const NOT_RUN: &str = "not-run";
/// The retry delay for a request whose body has no room: bodies that stop arriving give way after
/// about this time.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);
/// The outcome of a request that may have run.
pub const UNKNOWN: &str = "unknown";

/// The body of a response that does not come from a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error in the form that existing clients read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorDetail {
    /// A description for humans.
    pub message: String,
    /// `not-run`, `unknown` or `rejected`.
    pub r#type: String,
    /// The reason in machine-readable form.
    pub code: String,
}

/// The HTTP form of a final answer that does not come from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalStatus {
    /// The status code.
    pub status: u16,
    /// The outcome header's value.
    pub outcome: &'static str,
    /// The reason in machine-readable form.
    pub code: String,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Returns the status of a final answer, or `None` if the target's own answer is passed on.
pub fn final_status(answer: &FinalAnswer) -> Option<FinalStatus> {
    let status = match answer {
        FinalAnswer::Answered | FinalAnswer::Replayed(_) => return None,
        FinalAnswer::NotRun { reason, retry_after } => FinalStatus {
            status: refuse_status(*reason),
            outcome: NOT_RUN,
            code: code_of(reason),
            retry_after: *retry_after,
        },
        FinalAnswer::Unknown { reason, retry_after } => FinalStatus {
            status: unknown_status(*reason),
            outcome: UNKNOWN,
            code: code_of(reason),
            retry_after: *retry_after,
        },
        FinalAnswer::Rejected(reason) => FinalStatus {
            status: reject_status(*reason),
            outcome: NOT_RUN,
            code: code_of(reason),
            retry_after: None,
        },
    };
    Some(status)
}

fn refuse_status(reason: RefuseReason) -> u16 {
    match reason {
        RefuseReason::TooLarge => 413,
        _ => 503,
    }
}

fn unknown_status(reason: UnknownReason) -> u16 {
    match reason {
        UnknownReason::TargetLost | UnknownReason::TargetForgot => 502,
        UnknownReason::KeyUnchecked => 503,
        UnknownReason::EarlierInProgress
        | UnknownReason::EarlierAnswered
        | UnknownReason::EarlierUnknown => 409,
    }
}

fn reject_status(reason: RejectReason) -> u16 {
    match reason {
        RejectReason::UnknownService => 404,
        RejectReason::UnknownOrganisation => 403,
        RejectReason::BodyTooLarge => 413,
        RejectReason::UnknownTier | RejectReason::DeadlinePast | RejectReason::KeyMissing => 400,
    }
}

/// Returns the serialised name of a reason.
fn code_of(reason: &impl Serialize) -> String {
    json_form::encode(reason).trim_matches('"').to_owned()
}

/// Builds the response for a final answer that does not come from a target.
pub fn final_response(status: &FinalStatus, id: &str) -> HttpResponse {
    let mut builder = builder(status.status, status.outcome, id);
    if let Some(after) = status.retry_after {
        let millis = util::millis(after);
        builder.set_header(RETRY_HEADER, millis.to_string());
        builder.set_header(header::RETRY_AFTER, millis.div_ceil(1_000).to_string());
    }
    builder.json(&error_body(status))
}

/// Builds the response to a request that could not be read.
pub fn fault_response(fault: &ReadFault) -> HttpResponse {
    let (status, code) = fault.status();
    let error = ErrorDetail {
        message: fault.to_string(),
        r#type: "rejected".to_owned(),
        code: code.to_owned(),
    };
    let mut builder = builder(status, NOT_RUN, "");
    // The rest of an unread body must not be parsed as the next request.
    builder.force_close();
    if *fault == ReadFault::NoMemory {
        builder.set_header(RETRY_HEADER, util::millis(NO_MEMORY_RETRY).to_string());
        builder.set_header(header::RETRY_AFTER, NO_MEMORY_RETRY.as_secs().to_string());
    }
    builder.json(&ErrorBody { error })
}

/// Returns the error body for a final answer.
pub fn error_body(status: &FinalStatus) -> ErrorBody {
    let message = match status.outcome {
        NOT_RUN => "the request did not run",
        _ => "the request may have run",
    };
    ErrorBody {
        error: ErrorDetail {
            message: message.to_owned(),
            r#type: status.outcome.to_owned(),
            code: status.code.clone(),
        },
    }
}

/// Creates a response builder with the outcome and the request's id, each omitted when empty.
pub fn builder(status: u16, outcome: &str, id: &str) -> HttpResponseBuilder {
    // The fallback is not reached: the status was parsed by the same library or is a constant.
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    if !outcome.is_empty() {
        builder.set_header(OUTCOME_HEADER, outcome);
    }
    if !id.is_empty() {
        builder.set_header(REQUEST_HEADER, id);
    }
    builder
}

/// Returns the lines that end a stream and state its outcome.
pub fn stream_end(answer: &FinalAnswer) -> String {
    match final_status(answer) {
        None => format!(": {OUTCOME_HEADER} {ANSWERED}\n\n"),
        Some(status) => {
            let body = json_form::encode(&error_body(&status));
            format!("event: error\ndata: {body}\n\n: {OUTCOME_HEADER} {}\n\n", status.outcome)
        }
    }
}

/// One event of an engine's stream.
#[derive(Debug, Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<StreamChoice>,
}

#[derive(Debug, Deserialize)]
struct StreamChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<StreamDelta>,
}

#[derive(Debug, Deserialize)]
struct StreamDelta {
    #[serde(default)]
    content: Option<String>,
}

/// A complete answer in the form that callers without streaming expect.
#[derive(Debug, Serialize)]
pub struct WholeAnswer {
    id: String,
    object: &'static str,
    choices: Vec<WholeChoice>,
}

#[derive(Debug, Serialize)]
struct WholeChoice {
    index: u32,
    text: String,
    message: WholeMessage,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct WholeMessage {
    role: &'static str,
    content: String,
}

/// Assembles the events of an engine's stream into one body.
///
/// # Errors
///
/// Returns a description of the first event that does not parse.
pub fn assemble(id: &str, stream: &[u8]) -> Result<WholeAnswer, String> {
    let text = std::str::from_utf8(stream).map_err(|error| error.to_string())?;
    let mut content = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ").filter(|data| *data != "[DONE]") else {
            continue;
        };
        let event: StreamEvent = serde_json::from_str(data).map_err(|error| error.to_string())?;
        for choice in event.choices {
            content.extend(choice.text);
            content.extend(choice.delta.and_then(|delta| delta.content));
        }
    }
    let message = WholeMessage { role: "assistant", content: content.clone() };
    let choice = WholeChoice { index: 0, text: content, message, finish_reason: "stop" };
    Ok(WholeAnswer { id: id.to_owned(), object: "chat.completion", choices: vec![choice] })
}
