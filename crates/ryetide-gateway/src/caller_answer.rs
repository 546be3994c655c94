//! Answers to callers, forwarded from a target or made by the gateway.
//!
//! The statuses 429, 503, 408 and 421 guarantee that the request has not run and will not run. A
//! request that may have run is answered with 502 or 504.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::Stream;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{self, HeaderValue},
};
use ryetide::segmented_body::SegmentedBody;
use ryetide_core::decision::RefusalReason;

use crate::{ports::HeaderNames, relay_fault::RelayFault};

/// A stream of pieces of an answer's body.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayFault>>>>;

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// The complete body.
    Whole(SegmentedBody),
    /// Pieces as they are received. An error closes the connection, so that an incomplete body does
    /// not look complete.
    Pieces(PieceStream),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                Poll::Ready(body.take_segment().map(|segment| Ok(Frame::data(segment))))
            }
            Self::Pieces(stream) => {
                stream.as_mut().poll_next(context).map(|piece| piece.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// The retry delay for a request that a stopping VM refuses: another one takes it at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

/// An answer to a caller.
pub type CallerResponse = Response<AnswerBody>;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnReason {
    /// No configuration is in force yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The API key is not valid.
    BadKey,
    /// The request's head is incomplete or invalid, or its body could not be read.
    BadRequest,
    /// The body is larger than permitted.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// There is no memory for the body.
    NoMemory,
    /// The organisation's quota is used up.
    OverQuota,
    /// The service has no target.
    NoTarget,
    /// All targets of the service have requested a back-off.
    HeldOff,
    /// The queue is too long for the request to get a slot in time.
    Overload,
    /// The request was queued until its caller's patience or its deadline was over.
    OutOfTime,
    /// A target rejected the request without running it, and the retry budget is used up.
    TurnedAway,
    /// The request is quarantined because it crashes targets.
    Quarantined,
    /// This VM stops, and could not finish the request.
    Stopping,
    /// The version that has begun the stream which the caller takes up cannot be told.
    OriginUnknown,
    /// The target's connection broke or its answer was invalid; the request may have run.
    TargetFailed,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl OwnReason {
    /// Returns the HTTP status for the reason.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::NoMemory
            | Self::NoTarget
            | Self::HeldOff
            | Self::Overload
            | Self::OutOfTime
            | Self::TurnedAway
            | Self::Stopping
            | Self::OriginUnknown
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason's name, for logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// An answer made by the gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnAnswer {
    /// Why the gateway answers the request itself.
    pub reason: OwnReason,
    /// The retry delay, if a retry may help.
    pub retry_after: Option<Duration>,
}

impl From<RefusalReason> for OwnReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::NoTarget => Self::NoTarget,
            RefusalReason::HeldOff => Self::HeldOff,
            RefusalReason::Overload => Self::Overload,
            RefusalReason::OutOfTime => Self::OutOfTime,
        }
    }
}

impl OwnAnswer {
    /// Returns the answer for a request that has been sent and may have run: without a retry delay,
    /// and with a status that does not promise that it did not run.
    pub fn after_dispatch(self) -> Self {
        let promises_not_run = self.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        Self::new(if promises_not_run { OwnReason::TargetFailed } else { self.reason })
    }

    /// Returns the answer of a VM that stops.
    pub fn stopping() -> Self {
        Self::new(OwnReason::Stopping).with_retry(STOPPING_RETRY)
    }

    /// Creates an answer without a retry delay.
    pub fn new(reason: OwnReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Sets the retry delay.
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Builds the response for an answer made by the gateway.
pub fn own_answer(
    names: &HeaderNames,
    request_id: Option<&HeaderValue>,
    answer: OwnAnswer,
) -> CallerResponse {
    let OwnAnswer { reason, retry_after } = answer;
    let text = format!("{}\n", reason.name());
    let body = SegmentedBody::new(vec![Bytes::from(text)]);
    let mut response = Response::new(AnswerBody::Whole(body));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = request_id {
        headers.insert(names.request_id.clone(), id.clone());
    }
    // Digits and a decimal point are always a valid header value.
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
