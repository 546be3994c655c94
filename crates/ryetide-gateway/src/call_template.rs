//! A caller's request as it goes to targets.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{self, HeaderName, HeaderValue},
    http,
};
use ryetide_core::{ids::OrganisationName, target_load::TargetEntry};

use crate::ports::HeaderNames;

/// Headers that concern one connection only, and are never passed on.
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
/// Two more, which the library has no constants for.
const OLD_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the headers that concern one connection only, those named in `Connection` among them. The
/// body's length goes with them: it is set anew for the connection on which the body is sent, which
/// leaves no room for two lengths that contradict each other.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    // A value that is no text names no header.
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in named.iter().map(String::as_str).chain(OLD_CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// What is the same in every dispatch of one request.
#[derive(Clone, Debug)]
pub struct CallTemplate {
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// What is different in each dispatch of a request.
#[derive(Clone, Debug)]
pub struct CallTurn<'a> {
    /// The target.
    pub target: &'a TargetEntry,
    /// The time left, in milliseconds.
    pub deadline_ms: u64,
    /// The last event that was passed on, when a stream goes on at this target.
    pub last_event: Option<&'a str>,
}

impl CallTemplate {
    /// Takes a caller's head and body: what only the gateway may say is taken out, and what only the
    /// gateway knows is put in.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the path or the organisation cannot be written as HTTP.
    pub fn new(
        head: &http::request::Parts,
        body: Bytes,
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

    /// Builds the request for one dispatch.
    ///
    /// # Errors
    ///
    /// Returns the library's error when a name cannot be written as HTTP.
    pub fn build(
        &self,
        names: &HeaderNames,
        turn: &CallTurn<'_>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(names.deadline.clone(), HeaderValue::from(turn.deadline_ms));
        headers.insert(names.target.clone(), HeaderValue::from_str(turn.target.name.as_str())?);
        if let Some(last) = turn.last_event {
            headers.insert(names.last_event.clone(), HeaderValue::from_str(last)?);
        }
        Ok(request)
    }
}
