//! Decides whether a request or a part of prompts causes the crashes of the targets that run it, or
//! was merely running there.
//!
//! All requests on a target are lost when it crashes: ten on a full engine, of which at most one is
//! the cause. If three crashes alone were enough for a refusal, innocent requests that were retried
//! after two crashes and met a third would be refused too. Three criteria distinguish them:
//!
//! * *Co-occurrence.* The cause was running in each of its crashes, the other suspects only in some
//!   of them. A crash is attributed to a suspect only if no other one that ended in it has more than
//!   half as many crashes. Parts that precede a part in its own prompt occur wherever it does, and
//!   may have twice as many.
//! * *Sequence.* Of crashes at the same moment, as when a data centre loses power, one counts: a
//!   crash counts if a run of the suspect was sent there after the crash that counted before.
//! * *Chance.* When targets crash for other reasons, a long-running request meets such crashes now
//!   and then. The time that it spent at targets and the crash rate of the other targets give the
//!   probability of meeting as many.
//!
//! Without this a single request, or all requests with one document, would take down one target
//! after another, and the requests lost there would fill the queues.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of crashes below which a request is not considered their cause.
pub const MIN_CRASHES: usize = 3;
/// The number of crashes below which a part of prompts is not considered their cause. More requests
/// are refused with a part than with a request.
pub const MIN_PART_CRASHES: usize = 4;
/// The greatest probability of meeting as many crashes by chance at which a suspect is still
/// considered their cause: one in a million requests of the same duration.
const CHANCE_LIMIT_PPB: u64 = 1_000;
const BILLION: f64 = 1e9;
/// The shortest time over which crashes of other targets are counted. Crashes occur in bursts, and
/// the beginning of a burst says little about the crash rate.
pub const MIN_SPAN: Duration = Duration::from_secs(10);

/// One crash of a target in which a suspect ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedCrash {
    /// How long the suspect had been at the target.
    pub ran: Duration,
    /// The highest number of crashes of any other suspect that ended in this crash.
    pub most_of_others: usize,
    /// The highest number of crashes of any part that precedes the suspect in its prompt.
    pub most_of_preceding: usize,
    /// Whether a run of the suspect was sent there after the previous crash that counted.
    pub is_later: bool,
}

impl SharedCrash {
    /// Returns whether a suspect with this number of crashes may be the cause of this one.
    pub fn is_attributed(&self, crashes: usize) -> bool {
        self.most_of_others * 2 <= crashes && self.most_of_preceding <= crashes * 2
    }
}

/// The crashes of a suspect, with what is needed to decide whether it caused them.
#[derive(Clone, Debug, PartialEq)]
pub struct AttributionCase {
    /// The crashes in which the suspect ended.
    pub crashes: Vec<SharedCrash>,
    /// The number of crashes without the suspect in the last `span`.
    pub elsewhere: usize,
    /// The time since the first of its crashes, or [`MIN_SPAN`] if that is longer.
    pub span: Duration,
    /// The number of targets that could have crashed.
    pub targets: usize,
    /// The number of attributed crashes from which the suspect may be the cause.
    pub min_crashes: usize,
}

/// The evidence for or against a suspect as the cause of its crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AttributionEvidence {
    /// The number of crashes in which it ended.
    pub crashes: usize,
    /// The number of those that are attributed to it, of crashes at the same moment one.
    pub attributed: usize,
    /// The number of crashes without it in the same time.
    pub elsewhere: usize,
    /// The number of targets that could have crashed.
    pub targets: usize,
    /// The probability that a suspect which causes no crash meets as many, in parts per billion.
    pub chance_ppb: u64,
    /// Whether the suspect is considered the cause of its crashes.
    pub is_cause: bool,
}

impl AttributionCase {
    /// Evaluates the case.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ryetide_core::crash_attribution::{AttributionCase, MIN_CRASHES, SharedCrash};
    ///
    /// let ran = Duration::from_millis(80);
    /// let crash = SharedCrash { ran, most_of_others: 1, most_of_preceding: 0, is_later: true };
    /// let (span, min_crashes) = (Duration::from_secs(10), MIN_CRASHES);
    /// let crashes = vec![crash; 3];
    /// let mut case = AttributionCase { crashes, elsewhere: 0, span, targets: 12, min_crashes };
    /// assert!(case.evaluate().is_cause);
    /// case.crashes = vec![SharedCrash { most_of_others: 8, ..crash }; 3];
    /// assert!(!case.evaluate().is_cause);
    /// ```
    pub fn evaluate(&self) -> AttributionEvidence {
        let crashes = self.crashes.len();
        let counted =
            self.crashes.iter().filter(|crash| crash.is_later && crash.is_attributed(crashes));
        let attributed = counted.count();
        let ran: Duration = self.crashes.iter().map(|crash| crash.ran).sum();
        // One more crash than was observed, so that the rate is not zero before the first one.
        let crashes_per_second =
            (self.elsewhere + 1) as f64 / (self.targets.max(1) as f64 * self.span.as_secs_f64());
        let met = self.crashes.iter().filter(|crash| crash.is_later).count();
        let chance = chance_of(met, crashes_per_second * ran.as_secs_f64());
        let (elsewhere, targets) = (self.elsewhere, self.targets);
        let chance_ppb = (chance * BILLION) as u64;
        let is_cause = attributed >= self.min_crashes && chance_ppb <= CHANCE_LIMIT_PPB;
        AttributionEvidence { crashes, attributed, elsewhere, targets, chance_ppb, is_cause }
    }
}

/// Returns an estimate of the probability of `count` crashes or more when `expected` are expected:
/// the first term of the Poisson series, which the later terms hardly change while few are
/// expected.
fn chance_of(count: usize, expected: f64) -> f64 {
    (1..=count).fold(1.0, |chance, number| chance * expected / number as f64).min(1.0)
}
