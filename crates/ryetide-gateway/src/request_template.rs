//! Builds the requests that are sent to targets from a caller's request.

use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{self, HeaderName, HeaderValue},
    http,
};
use ryetide::segmented_body::SegmentedBody;
use ryetide_core::{ids::OrganisationName, target_load::TargetEntry};

use crate::ports::HeaderNames;

/// Hop-by-hop headers, which are never forwarded, and `Content-Length`, which is set anew.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];
/// Hop-by-hop headers for which hyper has no constants.
const OTHER_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, including those listed in `Connection`. Also removes
/// `Content-Length`: it is set anew when the body is sent, so that two contradictory lengths cannot
/// occur.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    // A value that is not text cannot be a header name.
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in named.iter().map(String::as_str).chain(OTHER_CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// The parts that are the same in every dispatch of a request.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: SegmentedBody,
}

/// The parts that differ between dispatches of a request.
#[derive(Clone, Debug)]
pub struct DispatchParameters<'a> {
    /// The target of the dispatch.
    pub target: &'a TargetEntry,
    /// The time left, in milliseconds.
    pub deadline_ms: u64,
    /// The id of the last forwarded event, if a stream is resumed at this target.
    pub last_event: Option<&'a str>,
}

impl RequestTemplate {
    /// Creates a template from a caller's head and body. Removes headers that only the gateway may
    /// set, and adds the organisation.
    ///
    /// # Errors
    ///
    /// Returns an error when the path or the organisation cannot be encoded as HTTP.
    pub fn new(
        head: &http::request::Parts,
        body: SegmentedBody,
        names: &HeaderNames,
        organisation: Option<&OrganisationName>,
    ) -> Result<Self, http::Error> {
        let mut headers = head.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(&names.key);
        headers.remove(&names.organisation);
        headers.remove(&names.target);
        for name in &names.reserved {
            headers.remove(name);
        }
        if let Some(organisation) = organisation {
            headers
                .insert(names.organisation.clone(), HeaderValue::from_str(organisation.as_str())?);
        }
        let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        Ok(Self { method: head.method.clone(), path: path.parse()?, headers, body })
    }

    /// Returns whether the caller has sent this header.
    pub fn has_header(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }

    /// Drops the body of a request that is not sent again.
    pub fn release_body(&mut self) {
        self.body = SegmentedBody::default();
    }

    /// Builds the request for one dispatch.
    ///
    /// # Errors
    ///
    /// Returns an error when the target's name or the last event's id cannot be encoded as HTTP.
    pub fn build(
        &self,
        names: &HeaderNames,
        parameters: &DispatchParameters<'_>,
    ) -> Result<Request<SegmentedBody>, http::Error> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(names.deadline.clone(), HeaderValue::from(parameters.deadline_ms));
        headers
            .insert(names.target.clone(), HeaderValue::from_str(parameters.target.name.as_str())?);
        if let Some(last) = parameters.last_event {
            headers.insert(names.last_event.clone(), HeaderValue::from_str(last)?);
        }
        Ok(request)
    }
}
