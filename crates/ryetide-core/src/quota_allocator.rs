//! Allocates an organisation's quota units to its requests by urgency.
//!
//! An organisation may ask for more than its rate, for a second or for minutes. In order of
//! arrival, its units would go to its most frequent kind of request, and its most urgent requests
//! would be refused. With this module the more urgent requests come first:
//!
//! * A request whose units are not available yet waits for them, if they can be available before it
//!   is late. At usual rates, the units for a mean request are refilled within 30 ms. Waiting
//!   requests are served by tier.
//! * A less urgent request leaves headroom in the bucket for the observed cost of its
//!   organisation's more urgent requests, so that one of these, here or at another VM, finds its
//!   units. The headroom keeps the bucket a little above empty and costs no units: whatever is
//!   refilled beyond it is available to every request.
//! * A cheap request leaves only a small headroom, since refusing it would save next to nothing.
//!
//! The sum over all VMs is still limited by [`QuotaLedger`]; this module decides only which
//! requests get the units.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{OrganisationKey, RequestSequence, VmName},
    quota::{QuotaCharge, QuotaLedger, QuotaRule},
    units::{Moment, TierRank},
};

/// The mean requests of each more urgent class for which a less urgent request leaves headroom.
/// The headroom is also multiplied by the number of those classes: without that, requests of the
/// lowest class, which cost least each, would be admitted where the classes before them are not. A
/// lower value serves less of the urgent work on days of usual load; a much larger headroom for each
/// class, whatever its rank, refuses too much of the rest.
const HEADROOM_REQUESTS: f64 = 5.0;
/// The largest headroom, as a multiple of the request's own cost: a request of 200 units is admitted
/// while the bucket still holds the units for a request of 4,000. Results hardly depend on the value
/// between 12 and 30; with 60, too many less urgent requests are refused.
const MAX_HEADROOM_PER_COST: f64 = 30.0;
/// The largest share of a burst that is kept as headroom. The rest is always available to the first
/// request. With a share of 0.8, too many less urgent requests are refused on days of usual load.
const MAX_HEADROOM_SHARE: f64 = 0.5;
/// How long a class counts as used after its last request. At usual loads an organisation sends
/// requests of every class several times a second, so a class without requests for this long needs
/// no headroom.
const CLASS_TTL: Duration = Duration::from_secs(5);
/// The weight of a new request in the mean cost of its class: some ten requests count, so that a
/// single large prompt does not determine the mean.
const COST_WEIGHT: f64 = 0.1;

/// The urgency of a request among those of its organisation; the smallest class goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QuotaClass {
    /// The request's tier.
    pub tier: TierRank,
    /// The rank of the request's route.
    pub route_tier: TierRank,
}

/// A request for units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// The request.
    pub ticket: RequestSequence,
    /// The organisation and the units.
    pub charge: QuotaCharge,
    /// The organisation's quota.
    pub rule: QuotaRule,
    /// The urgency of the request.
    pub class: QuotaClass,
    /// Whether the request has missed its objective; it then comes after the others of its class.
    pub late: bool,
    /// How long the request may wait for its units.
    pub wait_until: Moment,
}

/// The immediate result of a request for units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaReply {
    /// The units were charged.
    Taken,
    /// The request waits; a [`QuotaWaitResult`] follows.
    Waits,
    /// The quota is used up; the caller should retry after this delay.
    Over(Duration),
}

/// The result of a wait for units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaWaitResult {
    /// The request.
    pub ticket: RequestSequence,
    /// The units that were charged, or would have been.
    pub charge: QuotaCharge,
    /// The charge, or the delay after which the caller should retry.
    pub outcome: Result<(), Duration>,
}

/// The observed cost of the requests of one class.
#[derive(Clone, Copy, Debug)]
struct ClassCost {
    mean: f64,
    seen: Moment,
}

/// The quotas of all organisations and the requests that wait for units.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     ids::{OrganisationKey, RequestSequence},
///     quota::{QuotaCharge, QuotaRule, QuotaUnit},
///     quota_allocator::{QuotaReply, QuotaRequest, QuotaClass, QuotaAllocator},
///     units::{Moment, TierRank},
/// };
///
/// let rule = QuotaRule { unit: QuotaUnit::Requests, rate: 1.0, burst: 1.0, default_tokens: 0 };
/// let class = QuotaClass { tier: TierRank(0), route_tier: TierRank(0) };
/// let charge = QuotaCharge { key: OrganisationKey(7), units: 1 };
/// let (now, ticket) = (Moment::from_millis(1), RequestSequence(1));
/// let ask = QuotaRequest { ticket, charge, rule, class, late: false, wait_until: now };
/// let mut allocator = QuotaAllocator::default();
/// assert_eq!(allocator.ask(now, ask), QuotaReply::Taken);
/// assert!(matches!(allocator.ask(now, ask), QuotaReply::Over(_)));
/// ```
#[derive(Debug, Default)]
pub struct QuotaAllocator {
    ledger: QuotaLedger,
    waiting: Vec<QuotaRequest>,
    costs: BTreeMap<(OrganisationKey, QuotaClass), ClassCost>,
}

impl QuotaAllocator {
    /// Returns the buckets.
    pub fn ledger(&self) -> &QuotaLedger {
        &self.ledger
    }

    /// Returns the buckets, to apply what peers report.
    pub fn ledger_mut(&mut self) -> &mut QuotaLedger {
        &mut self.ledger
    }

    /// Whether any request waits for units.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes a peer's totals; see [`QuotaLedger::forget_peer`].
    pub fn forget_peer(&mut self, peer: &VmName) {
        self.ledger.forget_peer(peer);
    }

    /// Handles a request for units: charges it, queues it, or refuses it.
    pub fn ask(&mut self, now: Moment, ask: QuotaRequest) -> QuotaReply {
        self.record_cost(now, &ask);
        let key = ask.charge.key;
        let others_first =
            self.waiting.iter().any(|it| it.charge.key == key && goes_before(it, &ask));
        let headroom = self.headroom(now, &ask);
        // Units that a request before this one waits for are not available to it.
        if !others_first
            && self.ledger.take_with_headroom(now, &ask.rule, ask.charge, headroom).is_ok()
        {
            return QuotaReply::Taken;
        }
        let wait = self.expected_wait(now, &ask, headroom);
        if now + wait > ask.wait_until {
            return QuotaReply::Over(wait);
        }
        self.waiting.push(ask);
        QuotaReply::Waits
    }

    /// Allocates the refilled units to waiting requests, and ends the waits that have reached their
    /// limit.
    pub fn advance(&mut self, now: Moment) -> Vec<QuotaWaitResult> {
        let mut verdicts = Vec::new();
        self.waiting.sort_by_key(order);
        let mut blocked: Vec<OrganisationKey> = Vec::new();
        for ask in std::mem::take(&mut self.waiting) {
            let QuotaRequest { ticket, charge, .. } = ask;
            let headroom = self.headroom(now, &ask);
            let taken = if blocked.contains(&charge.key) {
                // An earlier request of the organisation still waits for its units.
                false
            } else {
                self.ledger.take_with_headroom(now, &ask.rule, charge, headroom).is_ok()
            };
            if taken {
                verdicts.push(QuotaWaitResult { ticket, charge, outcome: Ok(()) });
            } else if now >= ask.wait_until {
                let wait = self.expected_wait(now, &ask, headroom);
                verdicts.push(QuotaWaitResult { ticket, charge, outcome: Err(wait) });
            } else {
                blocked.push(charge.key);
                self.waiting.push(ask);
            }
        }
        verdicts
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn leave(&mut self, ticket: RequestSequence) {
        self.waiting.retain(|ask| ask.ticket != ticket);
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, charge: QuotaCharge) {
        self.ledger.refund(charge);
    }

    /// Returns the units that must be left after `ask` is charged.
    fn headroom(&self, now: Moment, ask: &QuotaRequest) -> f64 {
        let key = ask.charge.key;
        let first = (key, QuotaClass { tier: TierRank(0), route_tier: TierRank(0) });
        let urgent = self.costs.range(first..(key, ask.class));
        let seen = urgent.filter(|(_, cost)| now.since(cost.seen) < CLASS_TTL);
        let means: Vec<f64> = seen.map(|(_, cost)| cost.mean).collect();
        let headroom = means.iter().sum::<f64>() * means.len() as f64 * HEADROOM_REQUESTS;
        let max_by_cost = ask.charge.units as f64 * MAX_HEADROOM_PER_COST;
        headroom.min(max_by_cost).min(self.ledger.burst_of(&ask.rule) * MAX_HEADROOM_SHARE)
    }

    /// Returns the time until the units for the requests before `ask`, for `ask` itself and for its
    /// headroom are available.
    fn expected_wait(&self, now: Moment, ask: &QuotaRequest, headroom: f64) -> Duration {
        let key = ask.charge.key;
        let before = self.waiting.iter().filter(|it| it.charge.key == key && goes_before(it, ask));
        let before: u64 = before.map(|it| it.charge.units).sum();
        self.ledger.time_until(now, &ask.rule, ask.charge, headroom + before as f64)
    }

    fn record_cost(&mut self, now: Moment, ask: &QuotaRequest) {
        let units = ask.charge.units as f64;
        let new = ClassCost { mean: units, seen: now };
        let cost = self.costs.entry((ask.charge.key, ask.class)).or_insert(new);
        cost.mean += (units - cost.mean) * COST_WEIGHT;
        cost.seen = now;
    }
}

fn order(ask: &QuotaRequest) -> (QuotaClass, bool, RequestSequence) {
    (ask.class, ask.late, ask.ticket)
}

fn goes_before(other: &QuotaRequest, ask: &QuotaRequest) -> bool {
    order(other) < order(ask)
}
