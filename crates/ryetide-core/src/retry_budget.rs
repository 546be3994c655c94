//! Limits how many requests may be sent to a second target.
//!
//! When every target of a service fails, retrying each failed request doubles the load on the
//! remaining ones. Retries are therefore limited to a share of the service's requests, and a slack,
//! over all VMs together and in any window of time. Each VM applies the limit to its own requests,
//! without any messages between VMs.
//!
//! A VM *earns* retries: a share of one with each request, and its part of the slack evenly over
//! time. For each span that ends now and is not longer than a window, it keeps
//!
//! ```text
//! retries in the span <= (1 - C) x earned in the span + C x earned in the window before the span
//! ```
//!
//! where C is `CARRIED_PART`. Both sides are sums, so the same holds for all VMs together, however
//! requests move between them. The right side is at most what the fleet has earned in one of the two
//! windows, and that is the limit. A process that starts has earned nothing and adds nothing to the
//! right side; one that ends leaves what it has earned unused. Restarts, in whatever order, therefore
//! cannot exceed the limit.
//!
//! A retry is *reserved* when its request is queued and *spent* when it is sent: retries that wait for
//! the same slot are sent together, long after they were permitted one by one. So a retry is checked
//! again when it is sent, and counts from then on.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::ServiceName,
    slot_window::{SlotNumber, SlotWindow, WINDOW_SLOTS},
    units::{Moment, TierRank},
};

/// The limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Retries as a share of the requests.
    pub share: f64,
    /// The window over which both are counted.
    pub window: Duration,
    /// Retries in each window beyond the share, over all VMs together.
    pub slack: f64,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self { share: 0.1, window: Duration::from_secs(10), slack: 10.0 }
    }
}

/// The fraction of the share that is used. The rest covers requests that are counted here a little
/// later than their callers sent them.
const USED_SHARE: f64 = 0.98;

/// The part of what a window has earned that may be sent in the window after it. Failures come in
/// clusters: without it, retries would only be permitted as fast as new requests arrive. A process
/// that starts has no window before, so it cannot use this part at first.
const CARRIED_PART: f64 = 0.4;

/// The part of what was earned in the last window that a request leaves to more urgent ones, for each
/// tier above its own, up to [`MAX_TIERS_ABOVE`]. Retries are earned all the time, so little has to be
/// left for the most urgent requests to come first.
const LEFT_PER_TIER: f64 = 0.025;
/// The tiers above a request's own that count.
const MAX_TIERS_ABOVE: u8 = 2;

/// The shortest window that divisions use, in seconds; it keeps their results finite.
const MIN_WINDOW_S: f64 = 1e-3;

/// What a VM's budget of a service holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLevel {
    /// Retries that this VM may queue now, and send once they have a slot; none below 1.
    pub credit: f64,
    /// The number of VMs by which this one divides the slack; `None` while it does not know it.
    pub vm_count: Option<usize>,
}

/// Requests and retries of one service.
#[derive(Debug)]
struct ServiceCount {
    requests: SlotWindow,
    retries: SlotWindow,
    /// Retries that are permitted and not sent yet.
    reserved: u32,
}

/// The retries that this VM may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    vm_count: Option<usize>,
    /// This VM's parts of the slack: 1 is the slack of all VMs for a window.
    slack_parts: SlotWindow,
    /// Until when `slack_parts` is complete. `None` before the budget is first used.
    accrued_until: Option<Moment>,
    services: BTreeMap<ServiceName, ServiceCount>,
}

impl RetryBudget {
    /// Creates a budget that has earned nothing.
    pub fn new(rule: RetryRule) -> Self {
        let slack_parts = SlotWindow::new(SlotNumber::of(Moment(0), rule.window));
        Self { rule, vm_count: None, slack_parts, accrued_until: None, services: BTreeMap::new() }
    }

    /// Replaces the limit. What was earned counts by the new one; if the window changes, it is
    /// dropped.
    pub fn set_rule(&mut self, rule: RetryRule) {
        if rule.window == self.rule.window {
            self.rule = rule;
        } else {
            *self = Self { vm_count: self.vm_count, ..Self::new(rule) };
        }
    }

    /// Sets the number of entry VMs that divide the slack from `now` on. While it is `None`, this VM
    /// gets no part: VMs that each took themselves for one of a few would use the slack many times.
    pub fn set_vm_count(&mut self, now: Moment, vm_count: Option<usize>) {
        self.accrue(now);
        self.vm_count = vm_count;
    }

    /// Records a request for `service`.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        let slot = SlotNumber::of(now, self.rule.window);
        self.count(now, service).requests.add(slot, 1.0);
    }

    /// Reserves one retry for a request of `tier`; returns whether it is permitted. Less urgent
    /// requests leave some retries to more urgent ones.
    pub fn reserve(&mut self, now: Moment, service: &ServiceName, tier: TierRank) -> bool {
        let left = self.left_by(now, service, tier);
        let permitted = self.level(now, service).credit >= 1.0 + left;
        if permitted {
            self.count(now, service).reserved += 1;
        }
        permitted
    }

    /// Gives a reserved retry back that will not be sent.
    pub fn release(&mut self, service: &ServiceName) {
        if let Some(count) = self.services.get_mut(service) {
            count.reserved = count.reserved.saturating_sub(1);
        }
    }

    /// Records that a retry is sent, unless the limit no longer permits it; returns whether it does.
    pub fn spend(&mut self, now: Moment, service: &ServiceName) -> bool {
        let permitted = self.unspent(now, service) >= 1.0;
        if permitted {
            let slot = SlotNumber::of(now, self.rule.window);
            self.count(now, service).retries.add(slot, 1.0);
        }
        permitted
    }

    /// Returns what the budget of `service` holds.
    pub fn level(&mut self, now: Moment, service: &ServiceName) -> RetryLevel {
        let unspent = self.unspent(now, service);
        let reserved = self.count(now, service).reserved;
        RetryLevel { credit: unspent - f64::from(reserved), vm_count: self.vm_count }
    }

    /// Returns the retries that may be sent now, whether reserved or not.
    fn unspent(&mut self, now: Moment, service: &ServiceName) -> f64 {
        let earned = self.earned(now, service);
        let retries = self.count(now, service).retries.amounts();
        credit_of(&earned, &running_sums(retries))
    }

    /// Returns the running sums of what this VM has earned for `service`, by slot.
    fn earned(&mut self, now: Moment, service: &ServiceName) -> Vec<f64> {
        self.accrue(now);
        self.count(now, service);
        let RetryRule { share, slack, .. } = self.rule;
        let requests = self.services[service].requests.amounts();
        running_sums(
            requests
                .zip(self.slack_parts.amounts())
                .map(|(requests, slack_part)| requests * share * USED_SHARE + slack_part * slack),
        )
    }

    /// Returns the retries that requests of `tier` leave to more urgent ones.
    fn left_by(&mut self, now: Moment, service: &ServiceName, tier: TierRank) -> f64 {
        let tiers_above = f64::from(tier.0.min(MAX_TIERS_ABOVE));
        let earned = self.earned(now, service);
        let end = earned.len() - 1;
        (earned[end] - earned[end - WINDOW_SLOTS]) * LEFT_PER_TIER * tiers_above
    }

    fn count(&mut self, now: Moment, service: &ServiceName) -> &mut ServiceCount {
        let slot = SlotNumber::of(now, self.rule.window);
        let empty = || ServiceCount {
            requests: SlotWindow::new(slot),
            retries: SlotWindow::new(slot),
            reserved: 0,
        };
        let count = self.services.entry(service.clone()).or_insert_with(empty);
        count.requests.advance(slot);
        count.retries.advance(slot);
        count
    }

    /// Adds this VM's part of the slack up to `now`.
    fn accrue(&mut self, now: Moment) {
        let window = self.rule.window;
        let from = self.accrued_until.replace(now).unwrap_or(now).max(now.before(2 * window));
        self.slack_parts.advance(SlotNumber::of(now, window));
        let Some(vm_count) = self.vm_count else { return };
        let per_second = 1.0 / (vm_count.max(1) as f64 * window.as_secs_f64().max(MIN_WINDOW_S));
        let mut at = from;
        while at < now {
            let slot = SlotNumber::of(at, window);
            let end = slot.end(window).min(now);
            self.slack_parts.add(slot, end.since(at).as_secs_f64() * per_second);
            at = end;
        }
    }
}

/// Returns the sums of the first 0, 1, 2 and so on of the amounts.
fn running_sums(amounts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let rest = amounts.map(|amount| {
        sum += amount;
        sum
    });
    std::iter::once(0.0).chain(rest).collect()
}

/// Returns how many retries may be sent now, so that each span that ends now keeps the limit. A span
/// may begin anywhere in its first slot: all retries of that slot count, and what it earned counts
/// either in the span or before it.
fn credit_of(earned: &[f64], retries: &[f64]) -> f64 {
    let end = earned.len() - 1;
    let credit = |first: usize| {
        let in_span = earned[end] - earned[first + 1];
        let in_first_slot = earned[first + 1] - earned[first];
        let before = earned[first] - earned[first + 1 - WINDOW_SLOTS];
        let sent = retries[end] - retries[first];
        let either = CARRIED_PART.min(1.0 - CARRIED_PART);
        (1.0 - CARRIED_PART) * in_span + either * in_first_slot + CARRIED_PART * before - sent
    };
    (end - 1 - WINDOW_SLOTS..end).map(credit).fold(f64::INFINITY, f64::min)
}
