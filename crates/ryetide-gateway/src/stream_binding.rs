//! The version of a service's software at which a request's stream goes on.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use ryetide_core::{
    ids::{OrganisationName, ServiceKey, ServiceName, VersionKey},
    origin_inquiry::OriginVerdict,
    stream_origin::{StreamKey, StreamOrigin},
    target_load::TargetEntry,
};

use crate::{
    gateway_state::Gateway,
    origin_lookup::{ORIGIN_SLACK, TakenStream},
    ports::HeaderNames,
};

/// The longest part of a stream's id that is logged, in bytes.
const LOGGED_LENGTH: usize = 64;

/// What a caller says of a stream that broke in an earlier attempt and that it takes up.
#[derive(Clone, Debug)]
struct TakeUp {
    /// The id of the attempt that brought the stream's first event, if the caller names one.
    stream_id: Option<HeaderValue>,
}

impl TakeUp {
    /// Reads the headers of a request; returns `None` if it begins a stream.
    fn read(headers: &HeaderMap, names: &HeaderNames) -> Option<Self> {
        headers.get(&names.last_event)?;
        let mut named = headers.get_all(&names.resumes).iter();
        // Two ids name no stream.
        let stream_id = named.next().filter(|_| named.next().is_none()).cloned();
        Some(Self { stream_id })
    }
}

/// The stream of a request, and the version that has begun it.
#[derive(Clone, Debug)]
pub struct StreamBinding {
    take_up: Option<TakeUp>,
    key: StreamKey,
    /// The time for which the caller may take the stream up again.
    window: Duration,
    /// Whether the stream may go on at another target.
    is_resumable: bool,
    version: Option<VersionKey>,
    /// Whether an event has arrived here.
    is_bound: bool,
}

impl StreamBinding {
    /// Reads the stream of a request of a caller that waits for `deadline`.
    pub fn read(
        headers: &HeaderMap,
        names: &HeaderNames,
        organisation: Option<&OrganisationName>,
        deadline: Duration,
        is_resumable: bool,
    ) -> Self {
        let take_up = TakeUp::read(headers, names).filter(|_| is_resumable);
        let named = match &take_up {
            Some(take_up) => take_up.stream_id.as_ref(),
            None => headers.get(&names.request_id),
        };
        let id = named.map(HeaderValue::as_bytes).unwrap_or_default();
        let key = StreamKey::of(organisation, id);
        let window = deadline + ORIGIN_SLACK;
        Self { take_up, key, window, is_resumable, version: None, is_bound: false }
    }

    /// Returns whether the caller has received a part of the stream in an earlier attempt.
    pub fn is_taken_up(&self) -> bool {
        self.take_up.is_some()
    }

    /// Returns the id of the stream that the caller takes up, for logs; empty if it names none.
    pub fn taken_up_id(&self) -> &str {
        let id = self.take_up.as_ref().and_then(|take_up| take_up.stream_id.as_ref());
        // An id that is not text cannot be logged.
        let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        &text[..text.len().min(LOGGED_LENGTH)]
    }

    /// Returns the version that has begun the stream, once it is known.
    pub fn version(&self) -> Option<VersionKey> {
        self.version
    }

    /// Finds out which service and version have begun the stream that the caller takes up. `service`
    /// is the one to which the request goes otherwise.
    pub async fn find_origin(&mut self, gateway: &Gateway, service: &ServiceName) -> OriginVerdict {
        let service = ServiceKey::of(service);
        let stream = TakenStream { key: self.key, service, window: self.window };
        let verdict = gateway.origins().find(gateway, stream).await;
        if let OriginVerdict::At(origin) = verdict {
            self.version = Some(origin.version);
        }
        verdict
    }

    /// Binds the stream to the version of the target that has sent an event, and tells peers. It must
    /// be called before the event is forwarded: this VM may be killed after that at any time.
    pub fn bind(&mut self, gateway: &Gateway, target: &TargetEntry) {
        if std::mem::replace(&mut self.is_bound, true) {
            return;
        }
        let version = VersionKey::of(&target.version);
        self.version = Some(version);
        if self.is_resumable {
            let origin = StreamOrigin { service: ServiceKey::of(&target.service), version };
            gateway.origins().announce(gateway, self.key, origin, self.window);
        }
    }
}
