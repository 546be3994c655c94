//! Estimates a target's speed from the answers that this VM passes on.
//!
//! The speeds of engines differ several times over, and a slowdown must be detected within seconds.
//! Each VM sees only a share of a target's answers, so an estimate carries a weight that decays
//! with time, and the estimates of all VMs are combined by weight.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{Moment, Tokens};

/// The largest weight of earlier observations, so that a changed speed is followed after about as
/// many new ones.
const MAX_WEIGHT: f64 = 6.0;
/// The time in which an observation's weight halves: answers of about two seconds count.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// The weight of the assumed speed beside observations.
const ASSUMED_WEIGHT: f64 = 0.3;
/// The largest factor by which one observation counts as different from the estimate: a single
/// answer that waited behind others says little about the speed.
const MAX_FACTOR: f64 = 4.0;

/// A mean of observations whose weight decays with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct FadingMean {
    /// The mean.
    pub mean: f32,
    /// The number of observations that the mean represents.
    pub weight: f32,
}

impl FadingMean {
    fn decayed(self, passed: Duration) -> Self {
        let halves = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        Self { mean: self.mean, weight: (f64::from(self.weight) * 0.5_f64.powf(halves)) as f32 }
    }

    fn add(&mut self, observed: f64) {
        let (mean, weight) = (f64::from(self.mean), f64::from(self.weight));
        let bounded = if weight > 0.5 {
            observed.clamp(mean / MAX_FACTOR, mean * MAX_FACTOR)
        } else {
            observed
        };
        let total = weight + 1.0;
        self.mean = ((mean * weight + bounded) / total) as f32;
        self.weight = total.min(MAX_WEIGHT) as f32;
    }
}

/// A mean and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
struct TimedMean {
    mean: FadingMean,
    at: Moment,
}

impl TimedMean {
    fn add(&mut self, now: Moment, observed: f64) {
        self.mean = self.at(now);
        self.mean.add(observed);
        self.at = now;
    }

    fn at(&self, now: Moment) -> FadingMean {
        self.mean.decayed(now.since(self.at))
    }
}

/// One VM's observations of one target's speed, as sent to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SpeedReport {
    /// Microseconds for each prompt token.
    pub prompt: FadingMean,
    /// Microseconds between two events of a stream.
    pub event: FadingMean,
}

/// The speed assumed of a target before anything was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssumedSpeed {
    /// Time to read one prompt token.
    pub prompt_token: Duration,
    /// Time between two events of a stream.
    pub event: Duration,
    /// Time from sending a request with an empty prompt to its first event.
    pub overhead: Duration,
}

impl Default for AssumedSpeed {
    /// Returns the speed of an engine in the middle of the usual range: 50 prompt tokens per
    /// millisecond.
    fn default() -> Self {
        Self {
            prompt_token: Duration::from_nanos(20_000),
            event: Duration::from_millis(25),
            overhead: Duration::from_millis(25),
        }
    }
}

/// Prompts shorter than this give no estimate of the reading speed, since overhead takes nearly all
/// of their time.
const MIN_PROMPT_TOKENS: u64 = 400;

/// One target's speed as observed by this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedTracker {
    prompt: TimedMean,
    event: TimedMean,
}

impl SpeedTracker {
    /// Records a stream's first event, which came `waited` after the dispatch. The target had to
    /// read `tokens` of prompts before it, including the stream's own prompt.
    pub fn record_first(
        &mut self,
        now: Moment,
        assumed: &AssumedSpeed,
        tokens: Tokens,
        waited: Duration,
    ) {
        if tokens.0 < MIN_PROMPT_TOKENS {
            return;
        }
        let reading = waited.saturating_sub(assumed.overhead).max(Duration::from_millis(1));
        self.prompt.add(now, reading.as_secs_f64() * 1e6 / tokens.0 as f64);
    }

    /// Records the pause between two events of a stream.
    pub fn record_event(&mut self, now: Moment, pause: Duration) {
        self.event.add(now, pause.as_secs_f64() * 1e6);
    }

    /// Returns this VM's observations.
    pub fn report(&self, now: Moment) -> SpeedReport {
        SpeedReport { prompt: self.prompt.at(now), event: self.event.at(now) }
    }
}

/// One target's speed, combined from the observations of all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Time to read one prompt token.
    pub prompt_token: Duration,
    /// Time between two events of a stream.
    pub event: Duration,
    /// The number of observations that the estimate represents.
    pub weight: f32,
}

impl SpeedEstimate {
    /// Combines reports with the assumed speed.
    ///
    /// # Example
    ///
    /// ```
    /// use ryetide_core::target_speed::{AssumedSpeed, SpeedEstimate};
    ///
    /// let assumed = AssumedSpeed::default();
    /// assert_eq!(SpeedEstimate::of(&assumed, []).prompt_token, assumed.prompt_token);
    /// ```
    pub fn of(assumed: &AssumedSpeed, reports: impl IntoIterator<Item = SpeedReport>) -> Self {
        let mut prompt = WeightedSum::new(assumed.prompt_token);
        let mut event = WeightedSum::new(assumed.event);
        for report in reports {
            prompt.add(report.prompt);
            event.add(report.event);
        }
        let weight = (prompt.weight - ASSUMED_WEIGHT) as f32;
        Self { prompt_token: prompt.mean(), event: event.mean(), weight }
    }

    /// Returns the estimate in the form in which VMs report observations.
    pub fn report(&self) -> SpeedReport {
        let mean = |time: Duration| FadingMean {
            mean: (time.as_secs_f64() * 1e6) as f32,
            weight: self.weight.max(0.0),
        };
        SpeedReport { prompt: mean(self.prompt_token), event: mean(self.event) }
    }

    /// Returns the time that the target needs to read `tokens` of prompt.
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

    fn add(&mut self, mean: FadingMean) {
        self.sum += f64::from(mean.mean) * f64::from(mean.weight);
        self.weight += f64::from(mean.weight);
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.sum / self.weight / 1e6)
    }
}
