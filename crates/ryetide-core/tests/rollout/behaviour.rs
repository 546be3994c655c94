//! What the versions of a modelled service do with requests.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};
use ryetide_core::rollout_evidence::VersionSide;

/// What may be wrong with a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NewVersion {
    Good,
    /// This part of its answers are failures.
    Fails(f64),
    /// This part of its answers take so many times as long.
    Slow(f64, f64),
    /// It begins to fail so long after the order.
    FailsLate(Duration, f64),
    /// It fails while its targets are as full as the old ones.
    FailsLoaded(f64),
    /// It fails on the first route only.
    FailsOneRoute(f64),
}

/// A service and its answers.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub new: NewVersion,
    /// Failures of every version.
    pub own_failures: f64,
    /// One target in so many of either version is four times slower than the others.
    pub slow_hardware: u32,
    /// One target of the new version that fails this part by itself.
    pub grey: f64,
}

impl Behaviour {
    pub fn of(new: NewVersion) -> Self {
        Self { new, own_failures: 0.02, slow_hardware: 3, grey: 0.0 }
    }
}

/// A request as it is served.
#[derive(Clone, Copy, Debug)]
pub struct ServedRun {
    pub side: VersionSide,
    /// The target's place among those of its version.
    pub target: usize,
    pub route: usize,
    /// How long ago the order came.
    pub age: Duration,
    /// Whether its target is as full as the old version's are.
    pub loaded: bool,
}

impl Behaviour {
    /// Returns how long an answer takes, or nothing when it fails.
    pub fn serve(&self, rng: &mut StdRng, run: ServedRun) -> Option<Duration> {
        let is_new = run.side == VersionSide::New;
        let fails = match self.new {
            NewVersion::Fails(part) if is_new => part,
            NewVersion::FailsLate(after, part) if is_new && run.age >= after => part,
            NewVersion::FailsLoaded(part) if is_new && run.loaded => part,
            NewVersion::FailsOneRoute(part) if is_new && run.route == 0 => part,
            _ => self.own_failures,
        };
        let grey = if is_new && run.target == 0 { self.grey } else { 0.0 };
        if rng.random_bool(fails.max(grey)) {
            return None;
        }
        // A long-tailed time around 60 ms.
        let spread: f64 = (0..4).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>() * 0.7;
        let mut millis = 60.0 * spread.exp();
        if (run.target as u32).is_multiple_of(self.slow_hardware) {
            millis *= 4.0;
        }
        if let NewVersion::Slow(part, times) = self.new
            && is_new
            && rng.random_bool(part)
        {
            millis *= times;
        }
        Some(Duration::from_secs_f64(millis / 1e3))
    }
}
