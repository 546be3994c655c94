//! What may cause crashes of targets: a request, or a part that the prompts of many requests share.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{prompt_part::PromptPart, request_fingerprint::RequestFingerprint};

/// A possible cause of crashes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum CrashSuspect {
    /// A request, under all its attempts.
    Request(RequestFingerprint),
    /// A part of prompts, in all requests that hold it.
    Part(PromptPart),
}

impl CrashSuspect {
    /// Returns the part, if the suspect is one.
    pub fn part(self) -> Option<PromptPart> {
        match self {
            Self::Request(_) => None,
            Self::Part(part) => Some(part),
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(formatter),
            Self::Part(part) => part.fmt(formatter),
        }
    }
}

/// A request by all that may make it crash targets.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestFeatures {
    /// The request itself.
    pub fingerprint: RequestFingerprint,
    /// The parts of its prompt that other requests may share, in their order.
    pub parts: Vec<PromptPart>,
}

impl RequestFeatures {
    /// Returns the parts for a log line, separated by commas.
    pub fn part_list(&self) -> String {
        let parts: Vec<String> = self.parts.iter().map(PromptPart::to_string).collect();
        parts.join(",")
    }

    /// Returns the possible causes of crashes that the request holds.
    pub fn suspects(&self) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.parts.iter().map(|part| CrashSuspect::Part(*part));
        parts.chain([CrashSuspect::Request(self.fingerprint)])
    }
}

impl From<RequestFingerprint> for RequestFeatures {
    /// Returns the features of a request whose prompt shares no part with others.
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self { fingerprint, parts: Vec::new() }
    }
}
