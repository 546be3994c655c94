//! Checks whether a request is quarantined for crashing targets, and waits until that is known.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{header, http};
use ryetide_core::{
    crash_ledger::QuarantineStatus,
    crash_suspect::RequestFeatures,
    ids::{OrganisationName, ServiceName},
    request_fingerprint::{RequestContent, RequestFingerprint},
};
use tokio::time::{self, Instant};

use crate::gateway_state::Gateway;

/// The outcome of the quarantine check of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineOutcome {
    /// The request may be sent.
    MaySend,
    /// The request, or a part of its prompt, crashes targets. The quarantine ends if it is not requested again for this long.
    Quarantined(Duration),
    /// The timeout passed before a decision.
    TimedOut,
}

/// Waits until it is decided whether a request may be sent to the targets of `service`, at most
/// until `timeout`.
pub async fn await_decision(
    gateway: &Rc<Gateway>,
    features: &RequestFeatures,
    service: &ServiceName,
    timeout: Instant,
) -> QuarantineOutcome {
    loop {
        let until = match status(gateway, features, service) {
            QuarantineStatus::Clear => return QuarantineOutcome::MaySend,
            QuarantineStatus::Quarantined(left) => return QuarantineOutcome::Quarantined(left),
            QuarantineStatus::Undecided(until) => gateway.hub().clock().instant(until),
        };
        time::sleep_until(until.min(timeout)).await;
        if Instant::now() >= timeout {
            return QuarantineOutcome::TimedOut;
        }
    }
}

/// Returns whether a request may be sent to the targets of `service` now.
pub fn status(
    gateway: &Gateway,
    features: &RequestFeatures,
    service: &ServiceName,
) -> QuarantineStatus {
    let now = gateway.hub().clock().now();
    gateway.hub().peek_mut(|scheduler| scheduler.quarantine_status(now, features, service))
}

/// Returns the fingerprint by which repetitions of a request are recognised.
pub fn fingerprint_of(
    head: &http::request::Parts,
    body: &[Bytes],
    caller: Option<&OrganisationName>,
) -> RequestFingerprint {
    // A host that is not text matches no route, so such a request was refused before.
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    RequestFingerprint::of(&RequestContent {
        caller,
        method: head.method.as_str(),
        host: head.uri.host().or(host).unwrap_or_default(),
        path: head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str),
        body,
    })
}
