//! The share of a service's requests that a version on trial gets from one entry VM.
//!
//! # Exposure
//!
//! A version that may be bad gets at most a fixed share of the service's requests, over all VMs
//! together. Each VM applies this share to the requests that it has placed itself since it learned
//! of the order, so the bound holds for the whole fleet without coordination, whichever VMs join,
//! fail or are unreachable. A VM that restarts counts from zero.
//!
//! # Concentration
//!
//! Spread over all targets of the new version, a few percent of the requests would never show how
//! the version behaves under load. They go to a subset of its targets instead, whose size is the
//! same share of all of them, so that each target in it is as loaded as the targets of the old
//! version. The subset changes with each time slice, so that no single target decides the result.
//! If one target is more than this share of all, the permitted requests are saved up and sent near
//! the end of each slice, so that the target runs at full load for that time.
//!
//! In every second slice the requests go to [`WIDE_FACTOR`] times as many targets, and the
//! scheduler chooses among them as it does among those of the old version. Response times are
//! compared in these wide slices only: in a narrow slice a single target may have slow hardware,
//! and it gets more requests at one moment than the scheduler would have sent to it.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{ids::TargetKey, rollout_evidence::VersionSide, rollout_order::RolloutRule};

/// The fraction of the permitted share that is used. A placed request may fail to arrive, so the
/// service may get fewer requests than this VM counts.
const USED_SHARE_FRACTION: f64 = 0.95;
/// The fraction of the slack that is used, divided evenly among the VMs. Only VMs that have known
/// the order from its beginning get a part: otherwise repeated restarts could exceed the slack.
const USED_SLACK_FRACTION: f64 = 0.5;
/// The number of time slices of an order; in each of them the trial requests go to different
/// targets.
const SLICE_COUNT: u32 = 12;
/// The fraction of the share that is used in narrow slices. The rest, and the slack, are left for
/// wide slices, in which response times are compared.
const NARROW_SHARE_FRACTION: f64 = 0.5;
/// The number of targets in a wide slice, as a multiple of those in a narrow one.
const WIDE_FACTOR: usize = 3;
/// The shortest slice that still shows the effect of load.
const MIN_SLICE: Duration = Duration::from_millis(500);

/// What one VM has sent to a version on trial, and what it may send.
#[derive(Debug)]
pub struct TrialShare {
    rule: RolloutRule,
    /// The length of a time slice.
    slice: Duration,
    placed: u64,
    exposed: u64,
    /// Those of `exposed` that were placed in narrow slices.
    exposed_narrow: u64,
}

impl TrialShare {
    /// Creates the share of an order that lasts for `duration`.
    pub fn new(rule: RolloutRule, duration: Duration) -> Self {
        let slice = (duration / SLICE_COUNT).max(MIN_SLICE);
        Self { rule, slice, placed: 0, exposed: 0, exposed_narrow: 0 }
    }

    /// Returns the rule for the traffic of the version.
    pub fn rule(&self) -> &RolloutRule {
        &self.rule
    }

    /// Returns the number of requests that this VM has placed, and of those that went to the new
    /// version.
    pub fn counts(&self) -> (u64, u64) {
        (self.placed, self.exposed)
    }

    /// Returns whether the slice at an age of the order is a narrow one.
    pub fn is_narrow(&self, age: Duration) -> bool {
        (self.elapsed_slices(age) as u64).is_multiple_of(2)
    }

    /// Counts a request that was placed at an age of the order.
    pub fn record_placed(&mut self, age: Duration, side: VersionSide) {
        self.placed += 1;
        if side == VersionSide::New {
            self.exposed += 1;
            self.exposed_narrow += u64::from(self.is_narrow(age));
        }
    }

    /// Returns the subset of the new version's `targets` that may get one more request at an age of
    /// the order. `slack_parts` is the number of VMs among which the slack is divided, or `None` for
    /// a VM that gets no part of it.
    pub fn targets(
        &self,
        age: Duration,
        slack_parts: Option<usize>,
        mut targets: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let count = targets.len();
        let is_wide = !self.is_narrow(age);
        if count == 0 || !self.permits_one_more(slack_parts, is_wide) {
            return Vec::new();
        }
        let slices = self.elapsed_slices(age);
        let share = count as f64 * self.rule.share;
        let narrow = (share as usize).clamp(1, count);
        if !is_wide && slices.fract() < 1.0 - share / narrow as f64 {
            return Vec::new();
        }
        targets.sort_by_key(|key| xxh3::xxh3_64(&key.0.to_le_bytes()));
        let width = if is_wide { (narrow * WIDE_FACTOR).min(count) } else { narrow };
        let first = slices as usize * width;
        (first..first + width).map(|index| targets[index % count]).collect()
    }

    fn permits_one_more(&self, slack_parts: Option<usize>, is_wide: bool) -> bool {
        let part = |vms: usize| (self.rule.slack * USED_SLACK_FRACTION / vms.max(1) as f64).floor();
        let slack = slack_parts.map_or(0.0, part);
        let permitted = self.rule.share * USED_SHARE_FRACTION * (self.placed + 1) as f64;
        (self.exposed + 1) as f64 <= permitted + slack
            && (is_wide || (self.exposed_narrow + 1) as f64 <= permitted * NARROW_SHARE_FRACTION)
    }

    /// Returns how many slices have passed, with the fraction of the current one.
    fn elapsed_slices(&self, age: Duration) -> f64 {
        age.as_secs_f64() / self.slice.as_secs_f64()
    }
}
