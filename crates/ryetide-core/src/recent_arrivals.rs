//! Counts recent arrivals by urgency.
//!
//! More urgent requests that arrive later overtake a waiting request, which in a burst accounts for
//! most of its wait. A queue that looked short on arrival then refuses most of these requests only
//! when their objective is missed. The recent arrival rate allows an earlier estimate of how many
//! requests will overtake.

use std::{collections::VecDeque, time::Duration};

use crate::{slot_turn::UrgencyClass, units::Moment};

/// The span over which arrivals count: long enough for some ten arrivals at a VM with five requests
/// per second, and short enough to show the start of a burst of three seconds.
const SPAN: Duration = Duration::from_secs(2);
/// The largest share of all slots that more urgent requests are assumed to take. Near one, a few
/// arrivals would make the expected wait grow without bound.
const MAX_SHARE: f64 = 0.8;

/// The arrivals of one service at one VM.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     slot_turn::UrgencyClass, recent_arrivals::RecentArrivals, units::{Moment, TierRank},
/// };
///
/// let class = |tier| UrgencyClass { late: false, tier: TierRank(tier), route_tier: TierRank(tier) };
/// let mut arrivals = RecentArrivals::default();
/// (1..=10).for_each(|it| arrivals.record(Moment::from_millis(it * 100), class(0)));
/// let now = Moment::from_millis(1_000);
/// assert_eq!(arrivals.more_urgent_rate(now, class(1)), 5.0);
/// assert_eq!(arrivals.more_urgent_rate(now, class(0)), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentArrivals(VecDeque<(Moment, UrgencyClass)>);

impl RecentArrivals {
    /// Records an arrival.
    pub fn record(&mut self, now: Moment, class: UrgencyClass) {
        self.0.push_back((now, class));
        while self.0.front().is_some_and(|(at, _)| now.since(*at) >= SPAN) {
            self.0.pop_front();
        }
    }

    /// Returns the recent rate of all requests, per second.
    pub fn rate(&self, now: Moment) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| now.since(*at) < SPAN);
        recent.count() as f64 / SPAN.as_secs_f64()
    }

    /// Returns the recent rate of requests more urgent than `class`, per second.
    pub fn more_urgent_rate(&self, now: Moment, class: UrgencyClass) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| now.since(*at) < SPAN);
        recent.filter(|(_, other)| *other < class).count() as f64 / SPAN.as_secs_f64()
    }
}

/// Returns the factor by which a wait grows when requests that arrive meanwhile take this share of
/// all slots first.
pub fn delay_factor(share: f64) -> f64 {
    1.0 / (1.0 - share.clamp(0.0, MAX_SHARE))
}
