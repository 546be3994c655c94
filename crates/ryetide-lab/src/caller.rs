//! Callers: they send prompts and check that what comes back is whole and their own.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ntex::{
    client::ClientResponse,
    http::Method,
    util::{Bytes, stream_recv},
};
use ryetide::{
    caller_answer::{ANSWERED, NOT_RUN, OUTCOME_HEADER, RETRY_HEADER, UNKNOWN},
    caller_request::{
        DEADLINE_HEADER, KEY_HEADER, NON_IDEMPOTENT_HEADER, ORGANISATION_HEADER, TIER_HEADER,
    },
    error::StepError,
    fresh_client::FreshClient,
};
use ryetide_core::json_form;

use crate::engine_batch::EnginePrompt;

/// A caller waits at most this long past its deadline.
const PATIENCE: Duration = Duration::from_secs(20);

/// Opening a connection may take this long.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// Who calls, and how.
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

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A whole answer.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection failed: the caller knows nothing.
    Cut,
}

/// What a caller received.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// What it was told.
    pub outcome: CallOutcome,
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// From sending to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// From sending to the end.
    pub total: Duration,
}

/// A caller on one thread.
///
/// Each call has a connection of its own: with the library's pool about one call in 15,000 stalled for
/// up to 30 s, also against an engine without a daemon between, and the stall was counted as ours.
#[derive(Clone)]
pub struct TestCaller {
    client: Rc<FreshClient>,
}

impl TestCaller {
    /// Creates a caller.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when its client cannot be built.
    pub async fn new() -> Result<Self, StepError> {
        let client = Rc::new(FreshClient::new("caller").await?);
        Ok(Self { client })
    }

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

    /// Sends any call.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        terms: &CallTerms,
        body: Vec<u8>,
    ) -> CallResult {
        let started = Instant::now();
        let Some(connection) = self.client.connect(address, CONNECT_LIMIT).await else {
            return cut(started);
        };
        let mut request = self
            .client
            .request(connection, method, path)
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
        // Whatever breaks or takes too long, the caller is cut off: that is its outcome.
        let exchange = async {
            let response = request.send_body(body).await.ok()?;
            Some(read(response, started).await)
        };
        let done = tokio::time::timeout(terms.deadline + PATIENCE, exchange).await;
        done.ok().flatten().unwrap_or_else(|| cut(started))
    }
}

fn cut(started: Instant) -> CallResult {
    CallResult {
        outcome: CallOutcome::Cut,
        status: 0,
        body: Vec::new(),
        retry_after: None,
        first_byte: None,
        total: started.elapsed(),
    }
}

async fn read(mut response: ClientResponse, started: Instant) -> CallResult {
    let header = |name: &str| {
        let value = response.header(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let named = header(OUTCOME_HEADER);
    let retry_after = header(RETRY_HEADER).and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let mut first_byte = None;
    let mut whole = true;
    while let Some(piece) = stream_recv(&mut response).await {
        let piece: Result<Bytes, _> = piece;
        match piece {
            Ok(piece) => {
                first_byte = first_byte.or_else(|| Some(started.elapsed()));
                body.extend_from_slice(&piece);
            }
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let outcome = match named.as_deref() {
        _ if !whole => CallOutcome::Cut,
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
        _ => CallOutcome::Cut,
    }
}

/// Finds the outcome at a stream's end, and takes it off.
fn stream_outcome(body: &mut Vec<u8>) -> CallOutcome {
    let mark = format!(": {OUTCOME_HEADER} ");
    let text = String::from_utf8_lossy(body).into_owned();
    let Some(at) = text.rfind(&mark) else { return CallOutcome::Cut };
    let outcome = outcome_of(text[at + mark.len()..].trim());
    body.truncate(at);
    outcome
}
