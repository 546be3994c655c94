//! How much of their limit requests generate.

use crate::units::Tokens;

/// Weight of a new observation.
const OUTPUT_LEARNING: f64 = 0.1;
/// The part of its output limit that a request is expected to generate before any is observed: an
/// answer that comes late has wasted its prefill, so the first ones are taken at their limit.
const FIRST_OUTPUT_PART: f64 = 1.0;

/// The part of their output limit that requests are expected to generate.
#[derive(Debug)]
pub(crate) struct OutputGuess(f64);

impl Default for OutputGuess {
    fn default() -> Self {
        Self(FIRST_OUTPUT_PART)
    }
}

impl OutputGuess {
    /// Returns the tokens that a request with this limit is expected to generate.
    pub(crate) fn expected(&self, limit: Tokens) -> Tokens {
        Tokens((limit.0 as f64 * self.0).ceil() as u64)
    }

    /// Learns from an answer.
    pub(crate) fn learn(&mut self, limit: Tokens, output: Tokens) {
        if limit.0 > 0 {
            let part = (output.0 as f64 / limit.0 as f64).min(1.0);
            self.0 += (part - self.0) * OUTPUT_LEARNING;
        }
    }
}
