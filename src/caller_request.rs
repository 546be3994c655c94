//! Parsing of callers' requests: headers, body, and the properties of the prompt that the core uses.

use std::time::Duration;

use bytes::Bytes;
use ntex::http::HeaderMap;
use ryetide_core::{
    affinity::{BLOCK_BYTES, BLOCK_LIMIT},
    event::{CallerRequest, TargetCall},
    ids::RequestSequence,
    units::Tokens,
};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The header that names the caller's organisation.
pub const ORGANISATION_HEADER: &str = "ryetide-organisation";
/// The header that names the tier.
pub const TIER_HEADER: &str = "ryetide-tier";
/// The header with the milliseconds until the caller's deadline.
pub const DEADLINE_HEADER: &str = "ryetide-deadline-ms";
/// The header that marks a request that may run at most once: `true` or `false`.
pub const NON_IDEMPOTENT_HEADER: &str = "ryetide-non-idempotent";
/// The header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The deadline of a request without [`DEADLINE_HEADER`].
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// The maximum deadline; a longer one is reduced to this.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);
/// The maximum length of an idempotency key, in bytes.
const KEY_LIMIT: usize = 255;
/// The output limit of a prompt without `max_tokens`, in tokens.
const DEFAULT_OUTPUT: u64 = 256;
/// The assumed mean length of a token, for estimates.
const BYTES_PER_TOKEN: u64 = 4;

/// The reason why a request was rejected before it reached the core.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadFault {
    /// A required header is missing.
    #[error("the header {0} is missing")]
    HeaderMissing(&'static str),
    /// A header's value is not permitted.
    #[error("the header {header} is {found:?}; permitted: {permitted}")]
    HeaderValue {
        /// The header.
        header: &'static str,
        /// The value found.
        found: String,
        /// What is permitted.
        permitted: &'static str,
    },
    /// The time until the deadline is zero or negative.
    #[error("the deadline has passed already")]
    DeadlinePast,
    /// The body is larger than permitted.
    #[error("the body exceeds {0} bytes")]
    BodyTooLarge(u64),
    /// The body took too long to arrive.
    #[error("the body took longer than {0:?} to arrive")]
    BodyTooSlow(Duration),
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The connection failed before the end of the body.
    #[error("the body broke off")]
    BodyBroken,
    /// The body is not a valid prompt in JSON.
    #[error("the body does not parse: {0}")]
    BodyMalformed(String),
    /// The path belongs to no service.
    #[error("no service answers on this path")]
    PathUnknown,
}

impl ReadFault {
    /// Returns the HTTP status and the code under which the fault is reported and counted.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::HeaderMissing(_) => (400, "header-missing"),
            Self::HeaderValue { .. } => (400, "header-value"),
            Self::DeadlinePast => (400, "deadline-past"),
            Self::BodyTooLarge(_) => (413, "body-too-large"),
            Self::BodyTooSlow(_) => (408, "body-too-slow"),
            Self::NoMemory => (503, "no-memory"),
            Self::BodyBroken => (400, "body-broken"),
            Self::BodyMalformed(_) => (400, "body-malformed"),
            Self::PathUnknown => (404, "path-unknown"),
        }
    }
}

/// The parsed headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerHeaders {
    organisation: String,
    tier: String,
    deadline: Duration,
    non_idempotent: bool,
    key: Option<String>,
}

impl CallerHeaders {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Returns the first [`ReadFault`] found.
    pub fn read(headers: &HeaderMap) -> Result<Self, ReadFault> {
        Ok(Self {
            organisation: required(headers, ORGANISATION_HEADER)?.to_owned(),
            tier: required(headers, TIER_HEADER)?.to_owned(),
            deadline: read_deadline(headers)?,
            non_idempotent: read_flag(headers)?,
            key: read_key(headers)?,
        })
    }
}

/// Returns a header's text. A value that is not visible ASCII is an error rather than treated as
/// absent: a request whose idempotency key is ignored could run twice.
fn value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ReadFault> {
    let Some(found) = headers.get(name) else { return Ok(None) };
    found.to_str().map(Some).map_err(|_| ReadFault::HeaderValue {
        header: name,
        found: String::from_utf8_lossy(found.as_bytes()).into_owned(),
        permitted: "visible ASCII",
    })
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, ReadFault> {
    let found = value(headers, name)?.filter(|text| !text.is_empty());
    found.ok_or(ReadFault::HeaderMissing(name))
}

fn read_deadline(headers: &HeaderMap) -> Result<Duration, ReadFault> {
    let Some(text) = value(headers, DEADLINE_HEADER)? else { return Ok(DEFAULT_DEADLINE) };
    let millis: i64 = text.parse().map_err(|_| ReadFault::HeaderValue {
        header: DEADLINE_HEADER,
        found: text.to_owned(),
        permitted: "a whole number of milliseconds",
    })?;
    match u64::try_from(millis) {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(LONGEST_DEADLINE)),
        _ => Err(ReadFault::DeadlinePast),
    }
}

fn read_flag(headers: &HeaderMap) -> Result<bool, ReadFault> {
    match value(headers, NON_IDEMPOTENT_HEADER)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(found) => Err(ReadFault::HeaderValue {
            header: NON_IDEMPOTENT_HEADER,
            found: found.to_owned(),
            permitted: "true or false",
        }),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, ReadFault> {
    let Some(found) = value(headers, KEY_HEADER)? else { return Ok(None) };
    if found.is_empty() || found.len() > KEY_LIMIT {
        return Err(ReadFault::HeaderValue {
            header: KEY_HEADER,
            found: found.to_owned(),
            permitted: "1 to 255 characters",
        });
    }
    Ok(Some(found.to_owned()))
}

/// The fields of a prompt's body that are parsed. The body itself is passed on unchanged.
#[derive(Debug, Deserialize)]
struct PromptBody {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<PromptMessage>,
}

#[derive(Debug, Deserialize)]
struct PromptMessage {
    #[serde(default)]
    content: String,
}

/// A request to a model service.
#[derive(Debug)]
pub struct ModelRequest {
    /// The request for the core.
    pub request: CallerRequest,
    /// Whether the caller expects server-sent events.
    pub stream: bool,
}

/// Parses a prompt's body.
///
/// # Errors
///
/// Returns [`ReadFault::BodyMalformed`] when it is not a valid prompt in JSON.
pub fn read_model_request(
    sequence: RequestSequence,
    headers: CallerHeaders,
    body: Bytes,
) -> Result<ModelRequest, ReadFault> {
    let prompt: PromptBody = serde_json::from_slice(&body)
        .map_err(|error| ReadFault::BodyMalformed(error.to_string()))?;
    let contents = prompt.messages.iter().map(|message| message.content.as_str());
    let text: String = prompt.prompt.as_deref().into_iter().chain(contents).collect();
    let call = TargetCall {
        method: "POST".to_owned(),
        path: String::new(),
        content_type: "application/json".to_owned(),
        body,
    };
    let request = CallerRequest {
        sequence,
        service: prompt.model,
        organisation: headers.organisation,
        tier: headers.tier,
        deadline: headers.deadline,
        non_idempotent: headers.non_idempotent,
        key: headers.key,
        prompt: Tokens((text.len() as u64 / BYTES_PER_TOKEN).max(1)),
        output_limit: Tokens(prompt.max_tokens.unwrap_or(DEFAULT_OUTPUT)),
        prefixes: prefix_hashes(text.as_bytes()),
        call,
    };
    Ok(ModelRequest { request, stream: prompt.stream })
}

/// Builds the request for a plain service, whose body is not parsed.
pub fn plain_request(
    sequence: RequestSequence,
    headers: CallerHeaders,
    service: &str,
    call: TargetCall,
) -> CallerRequest {
    CallerRequest {
        sequence,
        service: service.to_owned(),
        organisation: headers.organisation,
        tier: headers.tier,
        deadline: headers.deadline,
        non_idempotent: headers.non_idempotent,
        key: headers.key,
        prompt: Tokens((call.body.len() as u64 / BYTES_PER_TOKEN).max(1)),
        output_limit: Tokens(0),
        prefixes: Vec::new(),
        call,
    }
}

/// Hashes the complete leading blocks of a prompt. Each hash covers its block and all earlier ones.
pub fn prefix_hashes(text: &[u8]) -> Vec<u32> {
    let mut seed = 0;
    let blocks = text.chunks_exact(BLOCK_BYTES).take(BLOCK_LIMIT);
    let hash = |block| {
        seed = xxh3_64_with_seed(block, seed);
        seed as u32
    };
    blocks.map(hash).collect()
}
