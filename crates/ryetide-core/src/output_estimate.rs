//! Estimates how much of their output limit requests generate.

use crate::units::Tokens;

/// The weight of a new observation.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// The initial estimate. Before any observation, requests are taken to use their whole limit, since
/// an answer that comes too late wastes the work on its prompt.
const INITIAL_SHARE: f64 = 1.0;

/// The estimated share of their output limit that requests generate.
#[derive(Debug)]
pub(crate) struct OutputEstimate(f64);

impl Default for OutputEstimate {
    fn default() -> Self {
        Self(INITIAL_SHARE)
    }
}

impl OutputEstimate {
    /// Returns the number of tokens that a request with this limit is expected to generate.
    pub(crate) fn expected(&self, limit: Tokens) -> Tokens {
        Tokens((limit.0 as f64 * self.0).ceil() as u64)
    }

    /// Updates the estimate with a finished answer.
    pub(crate) fn learn(&mut self, limit: Tokens, output: Tokens) {
        if limit.0 > 0 {
            let share = (output.0 as f64 / limit.0 as f64).min(1.0);
            self.0 += (share - self.0) * OBSERVATION_WEIGHT;
        }
    }
}
