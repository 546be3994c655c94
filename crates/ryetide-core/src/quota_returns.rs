//! Return times for callers whose organisation is over its quota.
//!
//! The units of an organisation that is over its rate are refilled one after the other. Callers
//! refused together therefore get times that are as far apart as the refill of the units that the
//! callers before them need. VMs refuse their own callers, so each gives out its share of the rate.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::OrganisationKey, quota::QuotaCharge, units::Moment};

/// The longest time for which units are given out in advance, the longest delay of a caller that is
/// refused for overload. Few callers wait longer.
const HORIZON: Duration = Duration::from_secs(10);
/// The lowest rate that divisions use, in units per second; it keeps their results finite.
const MIN_RATE: f64 = 1e-3;

/// The units that this VM has given out to callers told to return.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     ids::OrganisationKey, quota::QuotaCharge, quota_returns::QuotaReturns, units::Moment,
/// };
///
/// let mut returns = QuotaReturns::default();
/// let charge = QuotaCharge { key: OrganisationKey(7), units: 2 };
/// returns.set_rate(charge.key, 4.0);
/// let (now, wait) = (Moment::from_millis(1_000), Duration::from_millis(100));
/// assert_eq!(returns.book(now, charge, wait), wait);
/// assert_eq!(returns.book(now, charge, wait), wait + Duration::from_millis(500));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaReturns {
    organisations: BTreeMap<OrganisationKey, RefillClock>,
}

/// One organisation's units at this VM.
#[derive(Clone, Copy, Debug, Default)]
struct RefillClock {
    /// Units per second.
    rate: f64,
    /// When the units of all callers told to return are refilled.
    refilled_at: Moment,
}

impl QuotaReturns {
    /// Sets this VM's share of an organisation's rate, in units per second.
    pub fn set_rate(&mut self, key: OrganisationKey, rate: f64) {
        self.organisations.entry(key).or_default().rate = rate;
    }

    /// Returns the time until the units of a refused caller are refilled after those of the callers
    /// told to return before, and gives them out. `wait` is the time until the units would be
    /// available if no other caller returned.
    pub fn book(&mut self, now: Moment, charge: QuotaCharge, wait: Duration) -> Duration {
        let Some(clock) = self.organisations.get_mut(&charge.key) else { return wait };
        let from = clock.refilled_at.max(now + wait);
        let needed = (charge.units as f64 / clock.rate.max(MIN_RATE)).min(HORIZON.as_secs_f64());
        let latest = now + HORIZON.max(wait);
        clock.refilled_at = (from + Duration::from_secs_f64(needed)).min(latest);
        from.since(now)
    }
}
