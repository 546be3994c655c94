//! Sizes, rates, ranks and points in time.

use std::{fmt, ops, time};

use serde::{Deserialize, Serialize};

use crate::util::number_type;

number_type!(
    /// A count of prompt or generated tokens.
    Tokens(u64)
);
number_type!(
    /// A size in bytes.
    ByteSize(u64)
);
number_type!(
    /// The speed of a network link, in megabits a second; 0 when it is unknown.
    LinkRate(u32)
);
number_type!(
    /// The revision of the services text; it only rises.
    Revision(u64)
);
number_type!(
    /// The rank of a tier: 0 is the most urgent.
    TierRank(u8)
);
number_type!(
    /// An organisation's weight within a tier.
    ShareWeight(u32)
);

/// A speed in tokens a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Returns the time that `tokens` take at this speed.
    pub fn time_for(self, tokens: Tokens) -> time::Duration {
        time::Duration::from_secs_f64(tokens.0 as f64 / self.0.max(MINIMUM_RATE))
    }
}

/// The lowest speed that divisions use; it keeps their results finite. A slower target counts as
/// stopped.
const MINIMUM_RATE: f64 = 0.01;

impl fmt::Display for TokenRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.1}", self.0)
    }
}

impl std::str::FromStr for TokenRate {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A rate in requests a second, stored in thousandths and rounded down.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// The number of units in one request a second.
    const UNIT: f64 = 1_000.0;

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / Self::UNIT
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}

/// A text that is not a request rate.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a request rate: expected a number of requests per second, 0 or more")]
pub struct RequestRateError(String);

impl std::str::FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate = text.trim().parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
        let rate = rate.ok_or_else(|| RequestRateError(text.to_owned()))?;
        // A rate above the type's range saturates, which is as good as no limit.
        Ok(Self((rate * Self::UNIT) as u32))
    }
}

/// A point on the driver's monotonic clock, in microseconds since its start.
///
/// The core never reads a clock: each event carries the moment at which it happened.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::units::Moment;
///
/// let start = Moment::from_millis(5);
/// assert_eq!((start + Duration::from_millis(2)).since(start), Duration::from_millis(2));
/// assert_eq!(start.since(Moment::from_millis(9)), Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, or the clock's start.
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl ops::Add<time::Duration> for Moment {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
