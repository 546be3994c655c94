//! Identifiers: names as operators write them, and the short keys that stand for them on the wire.
//!
//! A key is a 32-bit hash of a name, so that it denotes the same service or target under every
//! revision of the services text. A services text with two names that have the same key is refused.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::util::{name_type, number_type};

/// The longest permitted name, in bytes.
pub const NAME_LIMIT: usize = 64;

/// A name that is empty, too long, or holds a character outside the permitted set.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("name {0:?} is not permitted: 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'")]
pub struct NameError(pub String);

/// Checks that `text` may be used as a name.
///
/// # Errors
///
/// Returns [`NameError`] with the text found.
pub fn check_name(text: &str) -> Result<(), NameError> {
    let permitted = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let fits = !text.is_empty() && text.len() <= NAME_LIMIT;
    if fits && text.bytes().all(permitted) { Ok(()) } else { Err(NameError(text.to_owned())) }
}

name_type!(
    /// The name of an entry VM, from its settings.
    VmName
);
name_type!(
    /// The name of a data centre.
    DataCentreName
);
name_type!(
    /// The name of a service in the services text.
    ServiceName
);
name_type!(
    /// The name of a target, which is one replica of a service.
    TargetName
);
name_type!(
    /// The name of the version of a service that a target runs; empty where the registry does not
    /// name it.
    VersionName
);
name_type!(
    /// The name of an organisation: a customer with a share of each tier.
    OrganisationName
);
name_type!(
    /// The name of a tier of requests.
    TierName
);

/// Defines a key: the 32-bit hash of a name.
macro_rules! key_type {
    ($(#[$doc:meta])* $key:ident of $name:ident) => {
        number_type!($(#[$doc])* $key(u32));

        impl $key {
            /// Returns the key of `name`.
            pub fn of(name: &$name) -> Self {
                Self(xxh3::xxh3_64(name.as_str().as_bytes()) as u32)
            }
        }
    };
}

key_type!(
    /// The key of a service, which stands for it on the wire.
    ServiceKey of ServiceName
);
key_type!(
    /// The key of a target, which stands for it on the wire.
    TargetKey of TargetName
);
key_type!(
    /// The key of an organisation, which stands for it on the wire.
    OrganisationKey of OrganisationName
);
key_type!(
    /// The key of a version of a service, which stands for it on the wire.
    VersionKey of VersionName
);
key_type!(
    /// The key of a data centre, which stands for it on the wire.
    DataCentreKey of DataCentreName
);

number_type!(
    /// The key of a route, which stands for it on the wire.
    RouteKey(u32)
);

impl RouteKey {
    /// Returns the key of the route `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

number_type!(
    /// The incarnation of a target: its start time in Unix milliseconds; 0 where the registry does
    /// not name it. It is only compared: a later incarnation has a higher number.
    TargetIncarnation(u64)
);

impl TargetKey {
    /// Returns the key of one incarnation of a target. A target that restarts under its old name is
    /// a different target to everything that goes by keys, so that what is known of its earlier
    /// incarnation, and what peers still report of it, is not applied to the new one.
    pub fn of_incarnation(name: &TargetName, incarnation: TargetIncarnation) -> Self {
        if incarnation == TargetIncarnation::default() {
            return Self::of(name);
        }
        Self(xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), incarnation.0) as u32)
    }
}

number_type!(
    /// The incarnation of an entry VM's process: a random number, drawn at its start.
    Incarnation(u64)
);
number_type!(
    /// The number of a request within one incarnation; never used twice.
    RequestSequence(u64)
);
number_type!(
    /// The number of a connection opened for one request; 0 is the dispatch, the rest resume it.
    AttemptNumber(u32)
);
number_type!(
    /// Matches a reply of the table service to the command that it answers.
    TableToken(u64)
);
number_type!(
    /// Identifies one operator's edit, so that its outcome can be found when the reply is lost.
    OperationId(u64)
);

/// The identity of a request: only the incarnation that assigned it may dispatch it.
///
/// # Example
///
/// ```
/// use ryetide_core::ids;
///
/// let id = ids::RequestId {
///     vm: ids::VmName::from("hall-a-1"),
///     incarnation: ids::Incarnation(0xbeef),
///     sequence: ids::RequestSequence(7),
/// };
/// assert_eq!(id.to_string(), "hall-a-1~beef~7");
/// assert_eq!("hall-a-1~beef~7".parse::<ids::RequestId>().unwrap(), id);
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestId {
    /// The entry VM that received the request from its caller.
    pub vm: VmName,
    /// The incarnation of that VM's process in which the request arrived.
    pub incarnation: Incarnation,
    /// The request's number in the incarnation.
    pub sequence: RequestSequence,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}~{:x}~{}", self.vm, self.incarnation.0, self.sequence)
    }
}

/// A request id that is not of the form `VM~INCARNATION~SEQUENCE`.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("request id {0:?} is not of the form VM~INCARNATION~SEQUENCE")]
pub struct RequestIdError(pub String);

impl std::str::FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault = || RequestIdError(text.to_owned());
        let mut parts = text.split('~');
        let vm = parts.next().ok_or_else(fault)?;
        let incarnation = parts.next().ok_or_else(fault)?;
        let sequence = parts.next().ok_or_else(fault)?;
        if parts.next().is_some() {
            return Err(fault());
        }
        Ok(Self {
            vm: vm.parse().map_err(|_| fault())?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).map_err(|_| fault())?),
            sequence: sequence.parse().map_err(|_| fault())?,
        })
    }
}

/// A service in one data centre: one arbiter orders the requests for its targets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ScopeKey {
    /// The service.
    pub service: ServiceKey,
    /// The data centre of its targets.
    pub data_centre: DataCentreKey,
}
