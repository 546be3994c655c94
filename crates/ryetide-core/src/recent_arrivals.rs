//! How much work of each urgency has come lately.
//!
//! Whoever waits is passed by more urgent requests that come later. In a burst that is most of the wait: a line looked
//! short at the arrival, and three quarters of those that were refused learnt of it only when their objective was
//! missed, 0.35 to 0.45 s later. What has come in the last seconds says how much will pass.

use std::{collections::VecDeque, time::Duration};

use crate::{place_turn::ClaimClass, units::Moment};

/// How far back arrivals count: long enough for some ten at a VM with five requests a second, short enough that the
/// beginning of a burst of three seconds shows.
const SPAN: Duration = Duration::from_secs(2);
/// The part of all places that more urgent requests are believed to take at the most. Nearer to one the expected wait
/// grows without bound, on the word of a few arrivals.
const GREATEST_PART: f64 = 0.8;

/// The arrivals of one service at one VM.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     place_turn::ClaimClass, recent_arrivals::RecentArrivals, units::{Moment, TierRank},
/// };
///
/// let class = |tier| ClaimClass { late: false, tier: TierRank(tier), route_tier: TierRank(tier) };
/// let mut arrivals = RecentArrivals::default();
/// (1..=10).for_each(|it| arrivals.note(Moment::from_millis(it * 100), class(0)));
/// let now = Moment::from_millis(1_000);
/// assert_eq!(arrivals.more_urgent_rate(now, class(1)), 5.0);
/// assert_eq!(arrivals.more_urgent_rate(now, class(0)), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentArrivals(VecDeque<(Moment, ClaimClass)>);

impl RecentArrivals {
    /// Notes an arrival.
    pub fn note(&mut self, now: Moment, class: ClaimClass) {
        self.0.push_back((now, class));
        while self.0.front().is_some_and(|(at, _)| now.since(*at) >= SPAN) {
            self.0.pop_front();
        }
    }

    /// Returns how many requests a second have come that are more urgent than `class`.
    pub fn more_urgent_rate(&self, now: Moment, class: ClaimClass) -> f64 {
        let lately = self.0.iter().filter(|(at, _)| now.since(*at) < SPAN);
        lately.filter(|(_, other)| *other < class).count() as f64 / SPAN.as_secs_f64()
    }
}

/// Returns how many times longer a wait takes when requests that come meanwhile take this part of all places first.
pub fn stretch(part: f64) -> f64 {
    1.0 / (1.0 - part.clamp(0.0, GREATEST_PART))
}
