//! How fast a target works, learnt from the answers that pass by.
//!
//! Unlike engines differ several times over in speed, and one that slows down must be noticed within
//! seconds. Each VM sees only its own part of a target's answers, so estimates carry a weight that
//! fades with time, and the estimates of all VMs are put together by weight.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{Moment, Tokens};

/// Observations count at most this many times, so that a change of speed is believed after about as
/// many new ones.
const GREATEST_WEIGHT: f64 = 6.0;
/// An observation's weight halves in this time: about two seconds of answers are remembered.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// The weight with which the assumed speed counts beside observations.
const ASSUMED_WEIGHT: f64 = 0.3;
/// One observation moves an estimate to at most this many times its value, or to this part of it:
/// a single answer that waited behind others says little of the speed.
const GREATEST_JUMP: f64 = 4.0;

/// A figure learnt from observations whose weight fades.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct FadingMean {
    /// The mean.
    pub mean: f32,
    /// How many observations it stands for.
    pub weight: f32,
}

impl FadingMean {
    fn faded(self, passed: Duration) -> Self {
        let halves = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        Self { mean: self.mean, weight: (f64::from(self.weight) * 0.5_f64.powf(halves)) as f32 }
    }

    fn add(&mut self, observed: f64) {
        let (mean, weight) = (f64::from(self.mean), f64::from(self.weight));
        let bounded = if weight > 0.5 {
            observed.clamp(mean / GREATEST_JUMP, mean * GREATEST_JUMP)
        } else {
            observed
        };
        let total = weight + 1.0;
        self.mean = ((mean * weight + bounded) / total) as f32;
        self.weight = total.min(GREATEST_WEIGHT) as f32;
    }
}

/// A learnt figure and when it was last brought up to date.
#[derive(Clone, Copy, Debug, Default)]
struct LearntFigure {
    figure: FadingMean,
    at: Moment,
}

impl LearntFigure {
    fn add(&mut self, now: Moment, observed: f64) {
        self.figure = self.at(now);
        self.figure.add(observed);
        self.at = now;
    }

    fn at(&self, now: Moment) -> FadingMean {
        self.figure.faded(now.since(self.at))
    }
}

/// What one VM has learnt of one target's speed, as it tells its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct PaceReport {
    /// Microseconds for each prompt token.
    pub prompt: FadingMean,
    /// Microseconds between two events of a stream.
    pub event: FadingMean,
}

/// What is assumed of a target before anything was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssumedPace {
    /// Time to read one prompt token.
    pub prompt_token: Duration,
    /// Time between two events of a stream.
    pub event: Duration,
    /// Time from sending a request with an empty prompt to its first event.
    pub overhead: Duration,
}

impl Default for AssumedPace {
    /// An engine of the middle of today's range: 50 prompt tokens a millisecond.
    fn default() -> Self {
        Self {
            prompt_token: Duration::from_nanos(20_000),
            event: Duration::from_millis(25),
            overhead: Duration::from_millis(25),
        }
    }
}

/// Prompts shorter than this teach no reading speed: their time is nearly all overhead.
const LEARNING_PROMPT: u64 = 400;

/// One target's speed as this VM has learnt it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetPace {
    prompt: LearntFigure,
    event: LearntFigure,
}

impl TargetPace {
    /// Learns from a stream's first event, which came `waited` after the dispatch with `tokens` of
    /// prompt to be read before it, its own included.
    pub fn note_first(
        &mut self,
        now: Moment,
        assumed: &AssumedPace,
        tokens: Tokens,
        waited: Duration,
    ) {
        if tokens.0 < LEARNING_PROMPT {
            return;
        }
        let reading = waited.saturating_sub(assumed.overhead).max(Duration::from_millis(1));
        self.prompt.add(now, reading.as_secs_f64() * 1e6 / tokens.0 as f64);
    }

    /// Learns from the pause between two events of a stream.
    pub fn note_event(&mut self, now: Moment, pause: Duration) {
        self.event.add(now, pause.as_secs_f64() * 1e6);
    }

    /// Returns what this VM has learnt.
    pub fn report(&self, now: Moment) -> PaceReport {
        PaceReport { prompt: self.prompt.at(now), event: self.event.at(now) }
    }
}

/// One target's speed, put together from what all VMs have learnt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceEstimate {
    /// Time to read one prompt token.
    pub prompt_token: Duration,
    /// Time between two events of a stream.
    pub event: Duration,
    /// How many observations the estimate stands for.
    pub weight: f32,
}

impl PaceEstimate {
    /// Puts reports together with what is assumed.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::pace::{AssumedPace, PaceEstimate};
    ///
    /// let assumed = AssumedPace::default();
    /// assert_eq!(PaceEstimate::of(&assumed, []).prompt_token, assumed.prompt_token);
    /// ```
    pub fn of(assumed: &AssumedPace, reports: impl IntoIterator<Item = PaceReport>) -> Self {
        let mut prompt = WeightedSum::new(assumed.prompt_token);
        let mut event = WeightedSum::new(assumed.event);
        for report in reports {
            prompt.add(report.prompt);
            event.add(report.event);
        }
        let weight = (prompt.weight - ASSUMED_WEIGHT) as f32;
        Self { prompt_token: prompt.mean(), event: event.mean(), weight }
    }

    /// Returns the time that `tokens` of prompt take to be read.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        Duration::from_nanos(self.prompt_token.as_nanos() as u64 * tokens)
    }
}

struct WeightedSum {
    sum: f64,
    weight: f64,
}

impl WeightedSum {
    fn new(assumed: Duration) -> Self {
        Self { sum: assumed.as_secs_f64() * 1e6 * ASSUMED_WEIGHT, weight: ASSUMED_WEIGHT }
    }

    fn add(&mut self, figure: FadingMean) {
        self.sum += f64::from(figure.mean) * f64::from(figure.weight);
        self.weight += f64::from(figure.weight);
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.sum / self.weight / 1e6)
    }
}
