//! Decides whether a request causes the crashes of the targets that run it, or was merely running
//! there.
//!
//! All requests on a target are lost when it crashes: ten on a full engine, of which at most one is
//! the cause. If three crashes alone were enough for a refusal, innocent requests that were retried
//! after two crashes and met a third would be refused too. Two criteria distinguish them:
//!
//! * *Co-occurrence.* The cause was running in each of its crashes, the other requests only in some
//!   of them. A crash is attributed to a request only if no other request that ended in it has more
//!   than half as many crashes.
//! * *Chance.* When targets crash for other reasons, a long-running request meets such crashes now
//!   and then. The time that it spent at targets and the crash rate of the other targets give the
//!   probability of meeting as many.
//!
//! Without this a single request would take down one target after another, and the requests lost
//! there would fill the queues.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of crashes below which a request is not considered their cause.
pub const MIN_CRASHES: usize = 3;
/// The greatest probability of meeting as many crashes by chance at which a request is still
/// considered their cause: one in a million requests of the same duration.
const CHANCE_LIMIT_PPB: u64 = 1_000;
const BILLION: f64 = 1e9;
/// The shortest time over which crashes of other targets are counted. Crashes occur in bursts, and
/// the beginning of a burst says little about the crash rate.
pub const MIN_SPAN: Duration = Duration::from_secs(10);

/// One crash of a target in which a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedCrash {
    /// How long the request had been at the target.
    pub ran: Duration,
    /// The highest number of crashes of any other request that ended in this crash.
    pub most_of_others: usize,
}

/// The crashes of a request, with what is needed to decide whether it caused them.
#[derive(Clone, Debug, PartialEq)]
pub struct AttributionCase {
    /// The crashes in which the request ended.
    pub crashes: Vec<SharedCrash>,
    /// The number of crashes without the request in the last `span`.
    pub elsewhere: usize,
    /// The time since the first of its crashes, or [`MIN_SPAN`] if that is longer.
    pub span: Duration,
    /// The number of targets that could have crashed.
    pub targets: usize,
}

/// The evidence for or against a request as the cause of its crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AttributionEvidence {
    /// The number of crashes in which it ended.
    pub crashes: usize,
    /// The number of those that are attributed to it.
    pub attributed: usize,
    /// The number of crashes without it in the same time.
    pub elsewhere: usize,
    /// The number of targets that could have crashed.
    pub targets: usize,
    /// The probability that a request which causes no crash meets as many, in parts per billion.
    pub chance_ppb: u64,
}

impl AttributionEvidence {
    /// Returns whether the request is considered the cause of its crashes.
    pub fn is_cause(&self) -> bool {
        self.attributed >= MIN_CRASHES && self.chance_ppb <= CHANCE_LIMIT_PPB
    }
}

impl AttributionCase {
    /// Evaluates the case.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ryetide_core::crash_attribution::{AttributionCase, SharedCrash};
    ///
    /// let crash = SharedCrash { ran: Duration::from_millis(80), most_of_others: 1 };
    /// let span = Duration::from_secs(10);
    /// let mut case = AttributionCase { crashes: vec![crash; 3], elsewhere: 0, span, targets: 12 };
    /// assert!(case.evaluate().is_cause());
    /// case.crashes = vec![SharedCrash { most_of_others: 8, ..crash }; 3];
    /// assert!(!case.evaluate().is_cause());
    /// ```
    pub fn evaluate(&self) -> AttributionEvidence {
        let crashes = self.crashes.len();
        let attributed =
            self.crashes.iter().filter(|crash| crash.most_of_others * 2 <= crashes).count();
        let ran: Duration = self.crashes.iter().map(|crash| crash.ran).sum();
        // One more crash than was observed, so that the rate is not zero before the first one.
        let crashes_per_second =
            (self.elsewhere + 1) as f64 / (self.targets.max(1) as f64 * self.span.as_secs_f64());
        let chance = chance_of(crashes, crashes_per_second * ran.as_secs_f64());
        let (elsewhere, targets) = (self.elsewhere, self.targets);
        let chance_ppb = (chance * BILLION) as u64;
        AttributionEvidence { crashes, attributed, elsewhere, targets, chance_ppb }
    }
}

/// Returns an estimate of the probability of `count` crashes or more when `expected` are expected:
/// the first term of the Poisson series, which the later terms hardly change while few are
/// expected.
fn chance_of(count: usize, expected: f64) -> f64 {
    (1..=count).fold(1.0, |chance, number| chance * expected / number as f64).min(1.0)
}
