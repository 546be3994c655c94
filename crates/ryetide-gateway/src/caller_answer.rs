//! Answers to callers: a target's own, or the gateway's.
//!
//! The statuses 429, 503, 408 and 421 are promises here: the request has not run and never will.
//! Whatever may have run is answered with 502 or 504.

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
use ryetide_core::decision::RefusalReason;

use crate::{ports::HeaderNames, relay_fault::RelayFault};

/// A stream of pieces on their way to a caller.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayFault>>>>;

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come. An error breaks the connection off, so that what ends early does not
    /// look complete.
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
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Pieces(stream) => {
                stream.as_mut().poll_next(context).map(|piece| piece.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

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
    /// The key is not in force.
    BadKey,
    /// The request's head lacks something or cannot be read.
    BadRequest,
    /// The body is larger than permitted.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTooSlow,
    /// The organisation's quota is used up.
    OverQuota,
    /// The service has no target.
    NoTarget,
    /// All targets of the service want nothing for now.
    HeldOff,
    /// The line is too long for the request to have its turn in time.
    Overload,
    /// The request waited as long as its caller does.
    OutOfTime,
    /// Its target turned it away, and the budget of repeats is used up.
    TurnedAway,
    /// It crashes the targets that run it.
    Quarantined,
    /// The target broke off or sent what is no answer; the request may have run.
    TargetFailed,
    /// The route's time is over; the request may have run.
    TimedOut,
}

impl OwnReason {
    /// Returns the status that tells a caller as much as is known.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::NoTarget
            | Self::HeldOff
            | Self::Overload
            | Self::OutOfTime
            | Self::TurnedAway
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

/// What the gateway answers itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnAnswer {
    /// Why.
    pub reason: OwnReason,
    /// When to come back, where coming back helps.
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
    /// Returns what may be said of a request that has been sent: it may have run, so nothing that promises
    /// otherwise, and no time to come back.
    pub fn after_dispatch(self) -> Self {
        let promises = self.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        Self::new(if promises { OwnReason::TargetFailed } else { self.reason })
    }

    /// An answer after which coming back does not help, or not at a time that is known.
    pub fn new(reason: OwnReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Sets when to come back.
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Builds an answer of the gateway's own.
pub fn own_answer(
    names: &HeaderNames,
    request_id: Option<&HeaderValue>,
    answer: OwnAnswer,
) -> CallerResponse {
    let OwnAnswer { reason, retry_after } = answer;
    let text = format!("{}\n", reason.name());
    let mut response = Response::new(AnswerBody::Whole(Bytes::from(text)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = request_id {
        headers.insert(names.request_id.clone(), id.clone());
    }
    // Digits and a point always make a header.
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
