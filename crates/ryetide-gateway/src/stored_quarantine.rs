//! Quarantines as a VM stores them in its row, so that they survive a restart of all VMs.

use ryetide_core::{
    crash_suspect::CrashSuspect, prompt_part::PromptPart, request_fingerprint::RequestFingerprint,
};
use serde::{Deserialize, Serialize};

/// A request or a part of prompts that is sent to no target because it crashes them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredQuarantine {
    /// What is quarantined.
    pub suspect: CrashSuspect,
    /// When crashes were attributed to it, in Unix milliseconds.
    pub since_ms: u64,
    /// When a caller last sent a request with it, as far as stored, in Unix milliseconds.
    pub asked_ms: u64,
}

/// The quarantines in a VM's row.
///
/// Requests and parts of prompts are in fields of their own: a release that knows requests only
/// skips the field of the parts, and could not decode a list of both.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "RowFields", into = "RowFields")]
pub struct StoredQuarantines(pub Vec<StoredQuarantine>);

#[derive(Default, Deserialize, Serialize)]
struct RowFields {
    #[serde(default)]
    kept: Vec<StoredRequest>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    kept_parts: Vec<StoredPart>,
}

#[derive(Deserialize, Serialize)]
struct StoredRequest {
    #[serde(rename = "print")]
    fingerprint: RequestFingerprint,
    since_ms: u64,
    asked_ms: u64,
}

#[derive(Deserialize, Serialize)]
struct StoredPart {
    part: PromptPart,
    since_ms: u64,
    asked_ms: u64,
}

impl From<RowFields> for StoredQuarantines {
    fn from(fields: RowFields) -> Self {
        let requests = fields.kept.into_iter().map(|it| StoredQuarantine {
            suspect: CrashSuspect::Request(it.fingerprint),
            since_ms: it.since_ms,
            asked_ms: it.asked_ms,
        });
        let parts = fields.kept_parts.into_iter().map(|it| StoredQuarantine {
            suspect: CrashSuspect::Part(it.part),
            since_ms: it.since_ms,
            asked_ms: it.asked_ms,
        });
        Self(requests.chain(parts).collect())
    }
}

impl From<StoredQuarantines> for RowFields {
    fn from(quarantines: StoredQuarantines) -> Self {
        let mut fields = Self::default();
        for StoredQuarantine { suspect, since_ms, asked_ms } in quarantines.0 {
            match suspect {
                CrashSuspect::Request(fingerprint) => {
                    fields.kept.push(StoredRequest { fingerprint, since_ms, asked_ms });
                }
                CrashSuspect::Part(part) => {
                    fields.kept_parts.push(StoredPart { part, since_ms, asked_ms });
                }
            }
        }
        fields
    }
}
