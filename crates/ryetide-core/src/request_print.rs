//! What a request is, whichever attempt of its caller brings it.
//!
//! Each attempt has an id of its own and may come to any VM. Where it matters that two attempts are the same request,
//! as for one that crashes targets, they are compared by what a target would see of them.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::OrganisationName;

/// Stands for a request's caller, address and body: the same on every VM.
///
/// # Example
///
/// ```
/// use ryetide_core::request_print::{RequestContent, RequestPrint};
///
/// let content = RequestContent { caller: None, method: "GET", host: "desk", path: "/a", body: b"" };
/// let print = RequestPrint::of(&content);
/// assert_eq!(print.to_string().parse::<RequestPrint>().unwrap(), print);
/// assert_ne!(print, RequestPrint::of(&RequestContent { path: "/b", ..content }));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestPrint(pub u64);

/// What of a request makes it the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The organisation that asks; none where the route asks for no key.
    pub caller: Option<&'a OrganisationName>,
    /// The method.
    pub method: &'a str,
    /// The host that is asked for.
    pub host: &'a str,
    /// The path and the query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestPrint {
    /// Returns the print of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let caller = content.caller.map_or("", OrganisationName::as_str);
        let mut hasher = Xxh3::new();
        for text in [caller, content.method, content.host, content.path] {
            // With its length, so that no part can take over what belongs to the next.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(content.body);
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestPrint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestPrint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
