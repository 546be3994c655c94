//! Requests with which callers take up streams that broke in an earlier attempt.

use hyper::{HeaderMap, header::HeaderValue};

use crate::ports::HeaderNames;

/// The longest part of a stream's id that is logged, in bytes.
const LOGGED_LENGTH: usize = 64;

/// What a caller says of the stream that it takes up.
#[derive(Clone, Debug)]
pub struct TakeUp {
    /// The id of the attempt that brought the stream's first event, if the caller names one.
    resumes: Option<HeaderValue>,
}

impl TakeUp {
    /// Reads the headers of a request; returns `None` if it begins a stream.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Option<Self> {
        headers.get(&names.last_event)?;
        let mut named = headers.get_all(&names.resumes).iter();
        // Two ids name no stream.
        let resumes = named.next().filter(|_| named.next().is_none()).cloned();
        Some(Self { resumes })
    }

    /// Returns the id of the attempt that brought the stream's first event.
    pub fn stream_id(&self) -> Option<&HeaderValue> {
        self.resumes.as_ref()
    }

    /// Returns the stream's id for logs; empty if none is named or it is not text.
    pub fn logged_id(&self) -> &str {
        let text = self.resumes.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        &text[..text.len().min(LOGGED_LENGTH)]
    }
}
