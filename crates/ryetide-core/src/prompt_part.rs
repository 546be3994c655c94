//! The parts of prompts that requests share: a system prompt, a document, earlier turns.
//!
//! A caller or its library divides the prompt and names the parts, so that engines can recognise
//! what they have read before. The part that belongs to one request alone is not among them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids::ServiceKey;

/// The number of parts of one request that are considered. A caller may name any number of parts;
/// without this limit, one request could fill the records of all.
pub const MAX_PARTS: usize = 32;
/// The number of hexadecimal digits of an id that fits into 64 bits.
const ID_DIGITS: usize = 16;

/// The id of a part of prompts, as callers name it: a hash of its content.
///
/// It is written in hexadecimal. Upper and lower case and leading zeros make no difference, and an
/// id of more than 64 bits is replaced by its hash.
///
/// # Example
///
/// ```
/// use ryetide_core::prompt_part::PartId;
///
/// let id: PartId = "00A4f2".parse().unwrap();
/// assert_eq!((id, id.to_string().as_str()), (PartId(0xa4f2), "a4f2"));
/// assert!("quire".parse::<PartId>().is_err());
/// assert_ne!("1".repeat(40).parse::<PartId>().unwrap(), "1".repeat(41).parse().unwrap());
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// A part's id that is not a hexadecimal number.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("part id {0:?} is not a hexadecimal number")]
pub struct PartIdError(pub String);

impl FromStr for PartId {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(PartIdError(text.to_owned()));
        }
        let digits = text.trim_start_matches('0');
        if digits.len() > ID_DIGITS {
            return Ok(Self(xxh3::xxh3_64(digits.to_ascii_lowercase().as_bytes())));
        }
        // Leading zeros alone leave no digits.
        Ok(Self(u64::from_str_radix(digits, 16).unwrap_or(0)))
    }
}

/// A part of the prompts of one service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct PromptPart {
    /// The service.
    pub service: ServiceKey,
    /// The part's id.
    pub id: PartId,
}

impl PromptPart {
    /// Returns the parts that `ids` denote at a service, each once, in their order. At most
    /// [`MAX_PARTS`] are returned.
    pub fn list(service: ServiceKey, ids: &[PartId]) -> Vec<Self> {
        let mut parts = Vec::new();
        for id in ids {
            let part = Self { service, id: *id };
            if parts.len() < MAX_PARTS && !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.id)
    }
}
