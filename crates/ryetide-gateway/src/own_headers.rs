//! The default header names, for deployments whose platform does not define others.

use hyper::{HeaderMap, header::HeaderName};
use ryetide_core::{prompt_part::PartId, units::Tokens};
use xxhash_rust::xxh3;

use crate::ports::{HeaderNames, WorkReader, WorkSize};

const PROMPT_TOKENS: &str = "ryetide-prompt-tokens";
const OUTPUT_LIMIT: &str = "ryetide-output-limit";
const OUTPUT_HINT: &str = "ryetide-output-hint";
const PROMPT_NAME: &str = "ryetide-prompt";
/// The ids of the shared parts of the prompt, in hexadecimal and separated by commas.
const PROMPT_PARTS: &str = "ryetide-prompt-parts";

/// Returns the default header names.
pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("ryetide-request-id"),
        deadline: HeaderName::from_static("ryetide-deadline-ms"),
        key: HeaderName::from_static("ryetide-key"),
        organisation: HeaderName::from_static("ryetide-organisation"),
        target: HeaderName::from_static("ryetide-target"),
        target_id: HeaderName::from_static("ryetide-target-id"),
        not_run: HeaderName::from_static("ryetide-not-run"),
        signature: HeaderName::from_static("ryetide-answered-by"),
        leaving: HeaderName::from_static("ryetide-leaving"),
        limit: HeaderName::from_static("ryetide-limit"),
        brittle: HeaderName::from_static("ryetide-brittle"),
        last_event: HeaderName::from_static("last-event-id"),
        resumes: HeaderName::from_static("ryetide-resumes"),
        reserved: vec![HeaderName::from_static("ryetide-not-run")],
    }
}

/// Reads the size of a request from the default headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnWorkReader;

impl WorkReader for OwnWorkReader {
    fn read(&self, headers: &HeaderMap) -> WorkSize {
        // A value that is not text or not a number is treated as absent.
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let tokens = |name| text(name).and_then(|text| text.parse().ok()).map(Tokens);
        WorkSize {
            prompt: tokens(PROMPT_TOKENS),
            output_limit: tokens(OUTPUT_LIMIT),
            output_hint: tokens(OUTPUT_HINT),
            prompt_hash: text(PROMPT_NAME).map(|name| xxh3::xxh3_64(name.as_bytes()) as u32),
        }
    }

    fn shared_parts(&self, headers: &HeaderMap) -> Vec<PartId> {
        let texts = headers.get_all(PROMPT_PARTS).into_iter().filter_map(|it| it.to_str().ok());
        texts.flat_map(|text| text.split(',')).filter_map(|id| id.trim().parse().ok()).collect()
    }
}
