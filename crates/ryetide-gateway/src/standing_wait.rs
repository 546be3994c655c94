//! Whether a request may be sent to a target, as far as crashes go, and the wait until that is known.

use std::{rc::Rc, time::Duration};

use hyper::{header, http};
use ryetide_core::{
    crash_ledger::QuarantineStatus,
    ids::{OrganisationName, ServiceName},
    request_fingerprint::{RequestContent, RequestFingerprint},
};
use tokio::time::{self, Instant};

use crate::gateway_state::Gateway;

/// What is known in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandingVerdict {
    /// It may be sent.
    MaySend,
    /// It crashes targets, and may be sent again when nobody has asked for it for this long.
    Quarantined(Duration),
    /// Its time was over before.
    TimedOut,
}

/// Waits until it is known whether a request may be sent to the targets of `service`, until `timeout` at the longest.
pub async fn await_standing(
    gateway: &Rc<Gateway>,
    fingerprint: RequestFingerprint,
    service: &ServiceName,
    timeout: Instant,
) -> StandingVerdict {
    loop {
        let now = gateway.hub().clock().now();
        let standing = gateway.hub().peek_mut(|it| it.quarantine_status(now, fingerprint, service));
        let until = match standing {
            QuarantineStatus::Clear => return StandingVerdict::MaySend,
            QuarantineStatus::Quarantined(life) => return StandingVerdict::Quarantined(life),
            QuarantineStatus::Undecided(until) => gateway.hub().clock().instant(until),
        };
        time::sleep_until(until.min(timeout)).await;
        if Instant::now() >= timeout {
            return StandingVerdict::TimedOut;
        }
    }
}

/// Returns by what a request is known again when it comes anew.
pub fn fingerprint_of(
    head: &http::request::Parts,
    body: &[u8],
    caller: Option<&OrganisationName>,
) -> RequestFingerprint {
    // A host that is no text is nobody's, and was turned away before.
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    RequestFingerprint::of(&RequestContent {
        caller,
        method: head.method.as_str(),
        host: head.uri.host().or(host).unwrap_or_default(),
        path: head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str),
        body,
    })
}
