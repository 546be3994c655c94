//! A model of the answers of a service's old and new version.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};
use ryetide_core::rollout_evidence::VersionSide;

/// The fault of a new version, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NewVersion {
    Good,
    /// This fraction of its answers fails.
    Fails(f64),
    /// This fraction of its answers takes this many times as long.
    Slow(f64, f64),
    /// This fraction of its answers fails, from this time after the order on.
    FailsLate(Duration, f64),
    /// This fraction of the answers fails at targets that are as loaded as the old ones.
    FailsLoaded(f64),
    /// This fraction of the answers on the first route fails.
    FailsOneRoute(f64),
}

/// How the versions of a service answer.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub new: NewVersion,
    /// The failure rate of every version.
    pub own_failures: f64,
    /// One in this many targets of either version is four times slower than the others.
    pub slow_hardware: u32,
    /// The failure rate of one faulty target of the new version.
    pub faulty_target: f64,
}

impl Behaviour {
    pub fn of(new: NewVersion) -> Self {
        Self { new, own_failures: 0.02, slow_hardware: 3, faulty_target: 0.0 }
    }
}

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub struct ServedRun {
    pub side: VersionSide,
    /// The index of the target among those of its version.
    pub target: usize,
    pub route: usize,
    /// The time since the order.
    pub age: Duration,
    /// Whether its target is as loaded as those of the old version.
    pub loaded: bool,
}

impl Behaviour {
    /// Returns how long the answer takes, or `None` if it fails.
    pub fn serve(&self, rng: &mut StdRng, run: ServedRun) -> Option<Duration> {
        let is_new = run.side == VersionSide::New;
        let fails = match self.new {
            NewVersion::Fails(rate) if is_new => rate,
            NewVersion::FailsLate(after, rate) if is_new && run.age >= after => rate,
            NewVersion::FailsLoaded(rate) if is_new && run.loaded => rate,
            NewVersion::FailsOneRoute(rate) if is_new && run.route == 0 => rate,
            _ => self.own_failures,
        };
        let of_target = if is_new && run.target == 0 { self.faulty_target } else { 0.0 };
        if rng.random_bool(fails.max(of_target)) {
            return None;
        }
        // Long-tailed around 60 ms.
        let spread: f64 = (0..4).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>() * 0.7;
        let mut millis = 60.0 * spread.exp();
        if (run.target as u32).is_multiple_of(self.slow_hardware) {
            millis *= 4.0;
        }
        if let NewVersion::Slow(rate, factor) = self.new
            && is_new
            && rng.random_bool(rate)
        {
            millis *= factor;
        }
        Some(Duration::from_secs_f64(millis / 1e3))
    }
}
