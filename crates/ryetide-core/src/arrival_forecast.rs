//! Forecasts how many slots the new requests of one service at this VM will occupy.
//!
//! Bursts last some seconds. At any later moment, the rate is therefore expected to be either that
//! of the last seconds or again the long-term mean, the latter with a probability that grows with
//! time.

use std::time::Duration;

use crate::units::Moment;

/// The averaging time of the recent rate: some ten arrivals at a VM with five requests per second.
const RECENT_SPAN: Duration = Duration::from_secs(2);
/// The averaging time of the long-term mean.
const USUAL_SPAN: Duration = Duration::from_secs(60);
/// The largest rate, as a multiple of the long-term mean, at which arrivals count fully in it. A
/// burst of 8 s at twice the usual rate would otherwise raise the mean by an eighth.
const MAX_USUAL_FACTOR: f64 = 1.25;
/// The time without a limit on the rate that counts, until the long-term mean is known.
const LEARNING_SPAN: Duration = Duration::from_secs(5);
/// The time in which the probability that a burst goes on falls to 1/e: the mean time that is left
/// of a burst of 3 to 8 s at a random moment within it.
const BURST_SPAN: Duration = Duration::from_secs(3);
/// The shortest time over which a rate is computed after the first arrival.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// A mean rate of slot time per time, in which older arrivals count exponentially less.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    span: Duration,
    sum: f64,
    started: Option<Moment>,
    updated: Moment,
}

impl DecayingRate {
    fn new(span: Duration) -> Self {
        Self { span, sum: 0.0, started: None, updated: Moment::default() }
    }

    fn record(&mut self, now: Moment, weight: f64) {
        self.sum = self.sum * self.decay(now.since(self.updated)) + weight;
        self.started = self.started.or(Some(now));
        self.updated = now;
    }

    fn per_second(&self, now: Moment) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let observed = 1.0 - self.decay(now.since(started).max(MIN_SPAN));
        self.sum * self.decay(now.since(self.updated)) / (self.span.as_secs_f64() * observed)
    }

    fn decay(&self, passed: Duration) -> f64 {
        (-passed.as_secs_f64() / self.span.as_secs_f64()).exp()
    }
}

/// The observed arrivals, and the capacity that they are expected to leave free.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{arrival_forecast::ArrivalForecast, units::Moment};
///
/// let mut forecast = ArrivalForecast::default();
/// let slot_time = Duration::from_secs(1);
/// (0..600).for_each(|it| forecast.record(Moment::from_millis(it * 100), slot_time));
/// (0..90).for_each(|it| forecast.record(Moment::from_millis(60_000 + it * 33), slot_time));
/// let now = Moment::from_millis(63_000);
/// let (soon, later) = (Duration::ZERO, Duration::from_secs(15));
/// assert!(forecast.free_after(now, soon, 20.0, 20.0) < 1.0);
/// assert!(forecast.free_after(now, later, 20.0, 20.0) > 8.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ArrivalForecast {
    recent: DecayingRate,
    usual: DecayingRate,
}

impl Default for ArrivalForecast {
    fn default() -> Self {
        Self { recent: DecayingRate::new(RECENT_SPAN), usual: DecayingRate::new(USUAL_SPAN) }
    }
}

impl ArrivalForecast {
    /// Records the arrival of a new request that occupies a slot for `span`.
    pub fn record(&mut self, now: Moment, span: Duration) {
        let seconds = span.as_secs_f64();
        self.recent.record(now, seconds);
        let is_learning =
            self.usual.started.is_none_or(|started| now.since(started) < LEARNING_SPAN);
        let highest = self.usual.per_second(now) * MAX_USUAL_FACTOR;
        let weight = (highest / self.recent.per_second(now)).min(1.0);
        self.usual.record(now, if is_learning { seconds } else { seconds * weight });
    }

    /// Returns how many slots are expected to be free `delay` after `now`: of `present` slots while
    /// the present load goes on, and of `later` slots after it.
    pub fn free_after(&self, now: Moment, delay: Duration, present: f64, later: f64) -> f64 {
        let goes_on = (-delay.as_secs_f64() / BURST_SPAN.as_secs_f64()).exp();
        let free_now = (present - self.recent.per_second(now)).max(0.0);
        let free_later = (later - self.usual.per_second(now)).max(0.0);
        free_now * goes_on + free_later * (1.0 - goes_on)
    }
}
