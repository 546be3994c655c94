//! Limits how many requests may be sent to a second target.
//!
//! When every target of a service fails, retrying each failed request doubles the load on the
//! remaining ones. Retries are therefore limited to a share of the service's requests. Each VM
//! applies the limit to its own requests: the same share at every VM is the same share of all
//! requests, without any messages between VMs.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::ServiceName, units::Moment};

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

/// The fraction of the permitted share that is used. The rest covers windows that overlap a change
/// of load: a request adds to the budget when it arrives, and the retry may be sent up to a window
/// later.
const USED_SHARE: f64 = 0.7;
/// The fraction of the slack that is used over all VMs, since the slack also covers VMs that do not
/// know of each other yet.
const USED_SLACK: f64 = 0.5;

/// How long unused credit from requests may be kept. Failures come in clusters, and a VM that may
/// keep no more than its slack would deny retries although the window permits them. The span is
/// well below the window, so that kept and new credit together stay within the share.
const CREDIT_SPAN: Duration = Duration::from_secs(4);

/// What a VM's budget of a service holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLevel {
    /// Retries that this VM may send now.
    pub credit: f64,
    /// The number of VMs by which this one divides the slack.
    pub vm_count: usize,
}

#[derive(Debug)]
struct ServiceBudget {
    credit: f64,
    /// Credit from recent requests, which decays over [`CREDIT_SPAN`].
    earned: f64,
    at: Moment,
}

/// The retries that this VM may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    vm_count: usize,
    services: BTreeMap<ServiceName, ServiceBudget>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(rule: RetryRule) -> Self {
        Self { rule, vm_count: 1, services: BTreeMap::new() }
    }

    /// Replaces the limit; accumulated credit is kept.
    pub fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Sets the number of entry VMs that divide the slack.
    pub fn set_vm_count(&mut self, vm_count: usize) {
        self.vm_count = vm_count.max(1);
    }

    /// Records a request for `service`, which adds credit for a share of a retry.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        let earned = self.rule.share * USED_SHARE;
        let slack = self.slack_share();
        let budget = self.budget(now, service);
        budget.earned += earned;
        budget.credit = (budget.credit + earned).min(slack + budget.earned);
    }

    /// Consumes the credit of one retry; returns whether it was available.
    pub fn take(&mut self, now: Moment, service: &ServiceName) -> bool {
        let budget = self.budget(now, service);
        let permitted = budget.credit >= 1.0;
        if permitted {
            budget.credit -= 1.0;
        }
        permitted
    }

    /// Returns what the budget of `service` holds.
    pub fn level(&mut self, now: Moment, service: &ServiceName) -> RetryLevel {
        let vm_count = self.vm_count;
        RetryLevel { credit: self.budget(now, service).credit, vm_count }
    }

    /// This VM's equal share of the slack.
    fn slack_share(&self) -> f64 {
        (self.rule.slack * USED_SLACK / self.vm_count as f64).max(1.0)
    }

    fn budget(&mut self, now: Moment, service: &ServiceName) -> &mut ServiceBudget {
        let slack = self.slack_share();
        let window = self.rule.window;
        let budget = self.services.entry(service.clone()).or_insert(ServiceBudget {
            credit: slack,
            earned: 0.0,
            at: now,
        });
        let passed = now.since(budget.at);
        let spans = passed.as_secs_f64() / CREDIT_SPAN.as_secs_f64();
        budget.earned *= (-spans).exp();
        // The slack is restored once per window, evenly over time.
        let windows = passed.as_secs_f64() / window.as_secs_f64().max(1e-3);
        budget.credit = (budget.credit + windows * slack).min(slack + budget.earned);
        budget.at = now;
        budget
    }
}
