//! Fingerprints that identify a request across the attempts of its caller.
//!
//! Each attempt has its own id and may arrive at any VM. Where two attempts must be recognised as
//! the same request, as for a request that crashes targets, they are compared by what a target
//! would receive.

use std::{fmt, num::ParseIntError, str::FromStr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::OrganisationName;

/// A hash of a request's caller, address and body. It is the same at every VM.
///
/// # Example
///
/// ```
/// use ryetide_core::request_fingerprint::{RequestContent, RequestFingerprint};
///
/// let (method, host, path) = ("GET", "desk", "/a");
/// let content = RequestContent { caller: None, method, host, path, body: &[] };
/// let fingerprint = RequestFingerprint::of(&content);
/// assert_eq!(fingerprint.to_string().parse::<RequestFingerprint>().unwrap(), fingerprint);
/// assert_ne!(fingerprint, RequestFingerprint::of(&RequestContent { path: "/b", ..content }));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The organisation that sends it, or `None` if the route requires no key.
    pub caller: Option<&'a OrganisationName>,
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path and the query.
    pub path: &'a str,
    /// The segments of the body.
    pub body: &'a [Bytes],
}

impl RequestFingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let caller = content.caller.map_or("", OrganisationName::as_str);
        let mut hasher = Xxh3::new();
        for text in [caller, content.method, content.host, content.path] {
            // Prefixed with its length, so that text cannot move from one part to the next
            // unnoticed.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        for segment in content.body {
            hasher.update(segment);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
