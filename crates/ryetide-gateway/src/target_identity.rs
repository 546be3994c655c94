//! Asks the process at a target's address whether it is that target.
//!
//! A target that is asked for another one by name answers with 421, whatever its load. Its state is
//! asked for at its health path, which runs nothing.

use std::time::Duration;

use hyper::{
    Request, Response, StatusCode,
    header::{self, HeaderValue},
    http,
};
use ryetide::segmented_body::SegmentedBody;
use ryetide_core::target_load::TargetEntry;
use tokio::time;

use crate::{gateway_state::Gateway, ports::HeaderNames};

/// How long the answer may take: a target with all slots in use may let it wait for one.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Which process listens at a target's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AddressListener {
    /// The target.
    Target,
    /// Another one.
    Other,
    /// It did not say.
    Unknown,
}

/// Asks who listens at the address of `target`, for the request that the log calls `request`.
pub async fn identify(gateway: &Gateway, request: &str, target: &TargetEntry) -> AddressListener {
    let asked = time::timeout(IDENTIFY_TIMEOUT, ask(gateway, request, target)).await;
    let listener = asked.unwrap_or(AddressListener::Unknown);
    let found: &str = listener.into();
    tracing::debug!(event = "target-identified", request, peer = %target.name, found);
    listener
}

async fn ask(gateway: &Gateway, request: &str, target: &TargetEntry) -> AddressListener {
    let question = match question(gateway, target) {
        Ok(question) => question,
        Err(error) => {
            tracing::warn!(event = "request-unwritable", target = %target.name, reason = %error);
            return AddressListener::Unknown;
        }
    };
    let mut connection = match gateway.connector().connect(gateway, request, target).await {
        Ok(connection) => connection,
        Err(fault) => {
            tracing::debug!(event = "target-unidentified", peer = %target.name, reason = %fault);
            return AddressListener::Unknown;
        }
    };
    match connection.send(question).await {
        Ok(answer) => listener_of(&answer, gateway.names(), target),
        Err(fault) => {
            tracing::debug!(event = "target-unidentified", peer = %target.name, reason = %fault);
            AddressListener::Unknown
        }
    }
}

fn question(
    gateway: &Gateway,
    target: &TargetEntry,
) -> Result<Request<SegmentedBody>, http::Error> {
    let path = gateway.fleet().health_path(&target.service);
    Request::get(path.as_str())
        .header(header::HOST, target.address.to_string())
        .header(&gateway.names().target, HeaderValue::from_str(target.name.as_str())?)
        .body(SegmentedBody::default())
}

fn listener_of<T>(
    answer: &Response<T>,
    names: &HeaderNames,
    target: &TargetEntry,
) -> AddressListener {
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return AddressListener::Other;
    }
    let headers = answer.headers();
    if let Some(id) = headers.get(&names.target_id) {
        let is_target = id.as_bytes() == target.name.as_str().as_bytes();
        return if is_target { AddressListener::Target } else { AddressListener::Other };
    }
    // Only targets set these headers, and one that is not asked for answers with 421.
    let is_from_target =
        headers.contains_key(&names.not_run) || headers.contains_key(&names.signature);
    if is_from_target { AddressListener::Target } else { AddressListener::Unknown }
}
