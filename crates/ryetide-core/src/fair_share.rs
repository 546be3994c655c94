//! Max-min fair division of a scarce supply, with guaranteed amounts.
//!
//! Every participant gets what it demands, up to a common level or up to its guaranteed amount if
//! that is higher. The level is as high as the supply permits, so a participant with a small demand
//! gets all of it, and the parts that it leaves are divided among the others. If the supply does
//! not cover the guaranteed amounts, these are divided in the same way.

/// What one participant demands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareDemand {
    /// The whole demand.
    pub wanted: f64,
    /// The part that goes before all demands without a guarantee.
    pub guaranteed: f64,
}

/// The largest amounts that participants get.
///
/// # Example
///
/// ```
/// use ryetide_core::fair_share::{FairShares, ShareDemand};
///
/// let demand = |wanted, guaranteed| ShareDemand { wanted, guaranteed };
/// // A supply of 12 for demands of 10, 4 and 3.
/// let shares = FairShares::new(&[demand(10.0, 0.0), demand(4.0, 0.0), demand(3.0, 0.0)], 5.0);
/// assert_eq!(shares.of(0.0), 5.0);
/// // The same supply, with 6 guaranteed to the first.
/// let shares = FairShares::new(&[demand(10.0, 6.0), demand(4.0, 0.0), demand(3.0, 0.0)], 5.0);
/// assert_eq!((shares.of(6.0), shares.of(0.0)), (6.0, 3.0));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FairShares {
    level: f64,
    cuts_guaranteed: bool,
}

impl FairShares {
    /// Divides a supply that the demands together exceed by `unmet`. Demands far below the level
    /// may be left out.
    pub fn new(demands: &[ShareDemand], unmet: f64) -> Self {
        let above = demands.iter().map(|demand| (demand.wanted, demand.guaranteed));
        match cut(above.collect(), unmet) {
            Ok(level) => Self { level, cuts_guaranteed: false },
            Err(rest) => {
                let within = demands.iter().map(|it| (it.wanted.min(it.guaranteed), 0.0));
                let level = cut(within.collect(), rest).unwrap_or(0.0);
                Self { level, cuts_guaranteed: true }
            }
        }
    }

    /// Returns the largest amount for a participant with this guaranteed amount.
    pub fn of(&self, guaranteed: f64) -> f64 {
        if self.cuts_guaranteed { guaranteed.min(self.level) } else { guaranteed.max(self.level) }
    }
}

/// Returns the level to which ranges, given as top and bottom, must be cut from above so that they
/// lose `amount` together.
///
/// # Errors
///
/// Returns what is missing if the ranges together are smaller than `amount`.
fn cut(ranges: Vec<(f64, f64)>, amount: f64) -> Result<f64, f64> {
    let ranges = ranges.into_iter().filter(|(top, bottom)| top > bottom);
    let mut ends: Vec<(f64, f64)> =
        ranges.flat_map(|(top, bottom)| [(top, 1.0), (bottom, -1.0)]).collect();
    ends.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    // The number of ranges that contain the present level.
    let mut open = 0.0;
    let (mut level, mut left) = (ends.first().map_or(0.0, |(top, _)| *top), amount);
    for (end, change) in ends {
        let lost = (level - end) * open;
        if lost > left {
            break;
        }
        (level, left) = (end, left - lost);
        open += change;
    }
    if open > 0.0 {
        return Ok(level - left / open);
    }
    if left > 0.0 { Err(left) } else { Ok(level) }
}
