//! The times of recorded events, which may lie before the start of this VM's clock.

use std::time::Duration;

use crate::units::Moment;

/// A time on this VM's clock, in microseconds. It is negative for times before the VM's start, of
/// which peers report.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct LedgerTime(i64);

impl LedgerTime {
    /// Returns the time at `now`.
    pub(crate) fn at(now: Moment) -> Self {
        Self(i64::try_from(now.0).unwrap_or(i64::MAX))
    }

    /// Returns the time `age_ms` milliseconds before `now`.
    pub(crate) fn before(now: Moment, age_ms: u32) -> Self {
        Self(Self::at(now).0 - i64::from(age_ms) * 1_000)
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(u64::try_from(self.0 - earlier.0).unwrap_or(0))
    }

    /// Returns the time `span` before this one.
    pub(crate) fn earlier(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(i64::try_from(span.as_micros()).unwrap_or(i64::MAX)))
    }

    /// Returns the milliseconds from this time until `now`.
    pub(crate) fn age_ms(self, now: Moment) -> u32 {
        u32::try_from(Self::at(now).since(self).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the earliest and the latest time within `span` of this one.
    pub(crate) fn around(self, span: Duration) -> (Self, Self) {
        let span = i64::try_from(span.as_micros()).unwrap_or(i64::MAX);
        (Self(self.0.saturating_sub(span)), Self(self.0.saturating_add(span)))
    }
}
