//! Whether a request crashes the targets that run it, or only ran beside a crash.
//!
//! A target that crashes takes all that runs there with it: ten requests at a full engine, of which at most one is
//! to blame. Refused on three crashes alone, those that came back after two crashes and met a third would be turned away with
//! it. Two things tell them apart:
//!
//! * *Who else was there.* The one to blame was at each of its crashes, and those beside it at some. A crash is put down to
//!   a request only where no other one that ended there has more than half as many crashes.
//! * *Chance.* Where targets crash for reasons of their own, a request that runs long meets such a crash now and then.
//!   The time it spent at targets, and how often other targets crashed meanwhile, say how likely so many are.
//!
//! It answers a request that takes one target after the other away from everybody, which fills the line with what
//! was lost there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Crashes below which nobody is blamed.
pub const LEAST_CRASHES: usize = 3;
/// A request is blamed where it would meet as many crashes by chance less often than this: once in a million requests
/// that are as long.
const CHANCE_LIMIT_PPB: u64 = 1_000;
const BILLION: f64 = 1e9;
/// The least span over which crashes elsewhere are counted. Crashes come in series, and one that has just begun says
/// little of how often they come.
pub const LEAST_SPAN: Duration = Duration::from_secs(10);

/// One crash of a target under which a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedCrash {
    /// For how long the request had been at the target.
    pub ran: Duration,
    /// The most crashes that any other request has which ended with the same target.
    pub most_beside: usize,
}

/// What is known of a request's crashes.
#[derive(Clone, Debug, PartialEq)]
pub struct BlameCase {
    /// The crashes under which it ended.
    pub crashes: Vec<SharedCrash>,
    /// Crashes of other targets since the first of them, or since [`LEAST_SPAN`].
    pub elsewhere: usize,
    /// The time over which those were counted.
    pub span: Duration,
    /// Targets that could have crashed.
    pub targets: usize,
}

/// What decided about a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct BlameEvidence {
    /// Crashes under which it ended.
    pub crashes: usize,
    /// Those that are put down to it.
    pub blamed: usize,
    /// Crashes of other targets meanwhile.
    pub elsewhere: usize,
    /// Targets that could have crashed.
    pub targets: usize,
    /// How likely it is that a request which is not to blame met as many, in parts of a billion.
    pub chance_ppb: u64,
}

impl BlameEvidence {
    /// Returns whether the request is to blame.
    pub fn is_guilty(&self) -> bool {
        self.blamed >= LEAST_CRASHES && self.chance_ppb <= CHANCE_LIMIT_PPB
    }
}

impl BlameCase {
    /// Weighs the case.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ryetide_core::crash_blame::{BlameCase, SharedCrash};
    ///
    /// let crash = SharedCrash { ran: Duration::from_millis(80), most_beside: 1 };
    /// let span = Duration::from_secs(10);
    /// let mut case = BlameCase { crashes: vec![crash; 3], elsewhere: 0, span, targets: 12 };
    /// assert!(case.weigh().is_guilty());
    /// case.crashes = vec![SharedCrash { most_beside: 8, ..crash }; 3];
    /// assert!(!case.weigh().is_guilty());
    /// ```
    pub fn weigh(&self) -> BlameEvidence {
        let crashes = self.crashes.len();
        let blamed = self.crashes.iter().filter(|crash| crash.most_beside * 2 <= crashes).count();
        let ran: Duration = self.crashes.iter().map(|crash| crash.ran).sum();
        // One crash more than was seen: none yet does not mean that there are none.
        let crashes_per_second =
            (self.elsewhere + 1) as f64 / (self.targets.max(1) as f64 * self.span.as_secs_f64());
        let chance = chance_of(crashes, crashes_per_second * ran.as_secs_f64());
        let (elsewhere, targets) = (self.elsewhere, self.targets);
        let chance_ppb = (chance * BILLION) as u64;
        BlameEvidence { crashes, blamed, elsewhere, targets, chance_ppb }
    }
}

/// Returns how likely `count` crashes are where `expected` are: the term of Poisson's series for them, which the others
/// beyond it don't change much while few are expected.
fn chance_of(count: usize, expected: f64) -> f64 {
    (1..=count).fold(1.0, |chance, number| chance * expected / number as f64).min(1.0)
}
