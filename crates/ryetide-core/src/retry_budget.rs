//! How many requests may be sent to a second target.
//!
//! When every target of a service fails, repeating each failed request doubles the load on what is
//! left. The bound is a part of the service's own requests. It is kept by each VM alone: a part of
//! every VM's requests is the same part of all requests, and needs no message.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::ServiceName, units::Moment};

/// What operators permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Repeats as a part of the requests.
    pub part: f64,
    /// The span over which both are counted.
    pub window: Duration,
    /// Repeats in each window beyond the part, over all VMs together.
    pub slack: f64,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self { part: 0.1, window: Duration::from_secs(10), slack: 10.0 }
    }
}

/// The part of what is permitted that is used. The rest covers windows that slide across a change
/// of load: requests earn their part when they come and repeats may be sent up to a window later.
const USED_PART: f64 = 0.7;
/// The part of the slack that is used, over all VMs: the slack also has to cover VMs that do not
/// know of each other yet.
const USED_SLACK: f64 = 0.5;

/// How long what requests earned may be saved: failures come in clumps, and a VM that may save no
/// more than its slack denies repeats though the window has room. Well under the window, so that what
/// is saved and what is earned anew stay within the part.
const SAVED_SPAN: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct ServiceBudget {
    credit: f64,
    /// What requests earned lately, fading over [`SAVED_SPAN`].
    earned: f64,
    at: Moment,
}

/// The repeats that this VM may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    vm_count: usize,
    services: BTreeMap<ServiceName, ServiceBudget>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(rule: RetryRule) -> Self {
        Self { rule, vm_count: 1, services: BTreeMap::new() }
    }

    /// Replaces what is permitted; what is saved stays.
    pub fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Sets the number of entry VMs among which the slack is divided.
    pub fn set_vm_count(&mut self, vm_count: usize) {
        self.vm_count = vm_count.max(1);
    }

    /// Notes a request for `service`, which earns its part of a repeat.
    pub fn note_request(&mut self, now: Moment, service: &ServiceName) {
        let earned = self.rule.part * USED_PART;
        let slack = self.slack_share();
        let budget = self.budget(now, service);
        budget.earned += earned;
        budget.credit = (budget.credit + earned).min(slack + budget.earned);
    }

    /// Takes one repeat, if one is left.
    pub fn take(&mut self, now: Moment, service: &ServiceName) -> bool {
        let budget = self.budget(now, service);
        let permitted = budget.credit >= 1.0;
        if permitted {
            budget.credit -= 1.0;
        }
        permitted
    }

    /// This VM's even part of the slack.
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
        let spans = passed.as_secs_f64() / SAVED_SPAN.as_secs_f64();
        budget.earned *= (-spans).exp();
        // The slack comes back once a window, evenly.
        let windows = passed.as_secs_f64() / window.as_secs_f64().max(1e-3);
        budget.credit = (budget.credit + windows * slack).min(slack + budget.earned);
        budget.at = now;
        budget
    }
}
