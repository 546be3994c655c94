//! A caller for tests and measurements, which classifies the outcome of each call.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use ntex::http::Method;
use ryetide::{
    caller_answer::{ANSWERED, NOT_RUN, OUTCOME_HEADER, RETRY_HEADER, UNKNOWN},
    caller_request::{
        DEADLINE_HEADER, KEY_HEADER, NON_IDEMPOTENT_HEADER, ORGANISATION_HEADER, TIER_HEADER,
    },
    fresh_client::{FreshAnswer, FreshConnection},
};
use ryetide_core::json_form;

use crate::engine_batch::EnginePrompt;

/// The time after its deadline for which a caller still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(20);

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The properties of a call that its headers carry.
#[derive(Clone, Debug)]
pub struct CallTerms {
    /// The organisation.
    pub organisation: String,
    /// The tier.
    pub tier: String,
    /// The time until the deadline.
    pub deadline: Duration,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the call may run at most once.
    pub non_idempotent: bool,
}

/// The outcome of a call as the caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The answer is complete.
    Answered,
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The connection failed or timed out before an outcome was received.
    Disconnected,
}

/// The result of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The outcome.
    pub outcome: CallOutcome,
    /// The HTTP status, or 0 without a response.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// The time from sending to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// The time from sending to the end.
    pub total: Duration,
}

/// A caller for use on one thread.
///
/// Each call opens a new connection. With the library's pool, about one call in 15,000 stalled for up
/// to 30 s, even when sent to an engine directly, and the stall was attributed to the daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct TestCaller;

impl TestCaller {
    /// Sends a prompt.
    pub async fn prompt(
        &self,
        address: SocketAddr,
        terms: &CallTerms,
        prompt: &EnginePrompt,
    ) -> CallResult {
        let body = json_form::encode(prompt).into_bytes();
        self.call(address, Method::POST, "/v1/completions", terms, body).await
    }

    /// Sends a call.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        terms: &CallTerms,
        body: Vec<u8>,
    ) -> CallResult {
        let started = Instant::now();
        let Some(connection) = FreshConnection::open(address, CONNECT_TIMEOUT).await else {
            return disconnected(started);
        };
        let mut request = connection
            .request(method, path)
            .header(ORGANISATION_HEADER, terms.organisation.as_str())
            .header(TIER_HEADER, terms.tier.as_str())
            .header(DEADLINE_HEADER, terms.deadline.as_millis().to_string())
            .header("content-type", "application/json");
        if let Some(key) = &terms.key {
            request = request.header(KEY_HEADER, key.as_str());
        }
        if terms.non_idempotent {
            request = request.header(NON_IDEMPOTENT_HEADER, "true");
        }
        // Every failure and timeout has the outcome `Disconnected`.
        let exchange = async {
            let response = request.send_body(body).await.ok()?;
            Some(read(response, started).await)
        };
        let done = tokio::time::timeout(terms.deadline + ANSWER_GRACE, exchange).await;
        done.ok().flatten().unwrap_or_else(|| disconnected(started))
    }
}

fn disconnected(started: Instant) -> CallResult {
    CallResult {
        outcome: CallOutcome::Disconnected,
        status: 0,
        body: Vec::new(),
        retry_after: None,
        first_byte: None,
        total: started.elapsed(),
    }
}

async fn read(mut response: FreshAnswer, started: Instant) -> CallResult {
    let header = |name: &str| {
        let value = response.header(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome_name = header(OUTCOME_HEADER);
    let retry_after = header(RETRY_HEADER).and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let mut first_byte = None;
    let mut whole = true;
    loop {
        match response.next_piece().await {
            Ok(None) => break,
            Ok(Some(piece)) => {
                first_byte = first_byte.or_else(|| Some(started.elapsed()));
                body.extend_from_slice(&piece);
            }
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let outcome = match outcome_name.as_deref() {
        _ if !whole => CallOutcome::Disconnected,
        Some(name) => outcome_of(name),
        None => stream_outcome(&mut body),
    };
    CallResult {
        outcome,
        status,
        body,
        retry_after: retry_after.map(Duration::from_millis),
        first_byte,
        total: started.elapsed(),
    }
}

fn outcome_of(name: &str) -> CallOutcome {
    match name {
        ANSWERED => CallOutcome::Answered,
        NOT_RUN => CallOutcome::NotRun,
        UNKNOWN => CallOutcome::Unknown,
        _ => CallOutcome::Disconnected,
    }
}

/// Removes the outcome from the end of a stream and returns it.
fn stream_outcome(body: &mut Vec<u8>) -> CallOutcome {
    let prefix = format!(": {OUTCOME_HEADER} ");
    let text = String::from_utf8_lossy(body).into_owned();
    let Some(at) = text.rfind(&prefix) else { return CallOutcome::Disconnected };
    let outcome = outcome_of(text[at + prefix.len()..].trim());
    body.truncate(at);
    outcome
}
