//! Who gets the units of an organisation's quota when not all can have them at once.
//!
//! Answers an organisation that asks for more than its rate for a second or for minutes. Taken by whoever came
//! first, its units went to what is asked most often, and its most urgent requests were told to come back: of
//! 1,745 that were within the quota on one day, 299. Here the urgent go first:
//!
//! * A request whose units are not there yet waits for them, if they can be there before it is late: at the rate of
//!   today's organisations, units for a mean request come back within 30 ms. Those who wait are served by tier.
//! * A less urgent request leaves room in the bucket for what its organisation's more urgent ones are seen to cost,
//!   so that one of those, here or at another VM, finds its units. That holds the bucket a little above empty and
//!   costs no units: what comes in beyond it goes to whoever asks.
//! * What costs little leaves little room: refusing it would spare next to nothing.
//!
//! Played without processor time charged, two seeds a day, with eight VMs: on calm days 0.848 of all worth to 0.924,
//! on days with organisations far over their rates 0.743 to 0.777 and 0.834 to 0.873.
//!
//! The sum over all VMs stays what [`QuotaLedger`] gives out; this only decides to whom.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{OrganisationKey, RequestSequence, VmName},
    quota::{QuotaCharge, QuotaLedger, QuotaRule},
    units::{Moment, TierRank},
};

/// How many mean requests of each more urgent class a less urgent one leaves room for, times the number of those
/// classes: the last in rank, which cost least by the request, would else pass where the ones before them do not.
/// With 3 a calm day had 0.915 of all worth, with 5 0.924; with 24 of each class, whatever the rank, calm days of
/// other deployments fell by up to 0.03.
const ROOM_REQUESTS: f64 = 5.0;
/// The most room that a request leaves, as a multiple of what it costs itself: an order of 200 units passes where a
/// review of 4,000 finds its units. 12 and 30 differed by less than the spread; 60 cost up to 0.03 on other deployments.
const ROOM_PER_COST: f64 = 30.0;
/// The most of a burst that is kept as room: the rest always goes to whoever asks first. 0.8 cost up to 0.03 on calm
/// days of other deployments.
const ROOM_PART: f64 = 0.5;
/// A class that was not seen for this long needs no room: at today's loads each organisation asks for every class
/// several times a second, so a class that is away this long is not used.
const CLASS_LIFE: Duration = Duration::from_secs(5);
/// How fast the mean cost of a class follows new requests: some ten of them, so that one large prompt does not set it.
const COST_WEIGHT: f64 = 0.1;

/// How urgent a request is among those of its organisation; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QuotaClass {
    /// Its tier.
    pub tier: TierRank,
    /// The rank of its route.
    pub route_tier: TierRank,
}

/// A request for units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAsk {
    /// The request.
    pub ticket: RequestSequence,
    /// The organisation, and the units.
    pub charge: QuotaCharge,
    /// What the organisation may use.
    pub rule: QuotaRule,
    /// How urgent it is.
    pub class: QuotaClass,
    /// Whether it has missed its objective; it then stands behind those of its class that have not.
    pub late: bool,
    /// Until when it may wait for its units.
    pub wait_until: Moment,
}

/// What becomes of a request for units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaAnswer {
    /// They were taken.
    Taken,
    /// It waits; a [`QuotaVerdict`] follows.
    Waits,
    /// The quota is used up, and this is when to come back.
    Over(Duration),
}

/// The end of a wait for units: taken, or when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaVerdict {
    /// The request.
    pub ticket: RequestSequence,
    /// What it would cost, or has.
    pub charge: QuotaCharge,
    /// The outcome.
    pub outcome: Result<(), Duration>,
}

/// What requests of one class are seen to cost.
#[derive(Clone, Copy, Debug)]
struct ClassCost {
    mean: f64,
    seen: Moment,
}

/// The quotas of all organisations, and who waits for them.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     ids::{OrganisationKey, RequestSequence},
///     quota::{QuotaCharge, QuotaRule, QuotaUnit},
///     quota_desk::{QuotaAnswer, QuotaAsk, QuotaClass, QuotaDesk},
///     units::{Moment, TierRank},
/// };
///
/// let rule = QuotaRule { unit: QuotaUnit::Requests, rate: 1.0, burst: 1.0, default_tokens: 0 };
/// let class = QuotaClass { tier: TierRank(0), route_tier: TierRank(0) };
/// let charge = QuotaCharge { key: OrganisationKey(7), units: 1 };
/// let (now, ticket) = (Moment::from_millis(1), RequestSequence(1));
/// let ask = QuotaAsk { ticket, charge, rule, class, late: false, wait_until: now };
/// let mut desk = QuotaDesk::default();
/// assert_eq!(desk.ask(now, ask), QuotaAnswer::Taken);
/// assert!(matches!(desk.ask(now, ask), QuotaAnswer::Over(_)));
/// ```
#[derive(Debug, Default)]
pub struct QuotaDesk {
    ledger: QuotaLedger,
    waiting: Vec<QuotaAsk>,
    costs: BTreeMap<(OrganisationKey, QuotaClass), ClassCost>,
}

impl QuotaDesk {
    /// Returns the buckets.
    pub fn ledger(&self) -> &QuotaLedger {
        &self.ledger
    }

    /// Returns the buckets, to note what peers say.
    pub fn ledger_mut(&mut self) -> &mut QuotaLedger {
        &mut self.ledger
    }

    /// Returns whether somebody waits for units.
    pub fn is_waited_at(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Forgets what a peer said; see [`QuotaLedger::forget_peer`].
    pub fn forget_peer(&mut self, peer: &VmName) {
        self.ledger.forget_peer(peer);
    }

    /// Takes a request for units.
    pub fn ask(&mut self, now: Moment, ask: QuotaAsk) -> QuotaAnswer {
        self.note_cost(now, &ask);
        let key = ask.charge.key;
        let is_passed = self.waiting.iter().any(|it| it.charge.key == key && goes_before(it, &ask));
        let room = self.room(now, &ask);
        // Units for which somebody before it waits are not its to take.
        if !is_passed && self.ledger.take_above(now, &ask.rule, ask.charge, room).is_ok() {
            return QuotaAnswer::Taken;
        }
        let wait = self.expected_wait(now, &ask, room);
        if now + wait > ask.wait_until {
            return QuotaAnswer::Over(wait);
        }
        self.waiting.push(ask);
        QuotaAnswer::Waits
    }

    /// Gives out the units that have come in, and ends the waits that have lasted long enough.
    pub fn advance(&mut self, now: Moment) -> Vec<QuotaVerdict> {
        let mut verdicts = Vec::new();
        self.waiting.sort_by_key(order);
        let mut passed: Vec<OrganisationKey> = Vec::new();
        for ask in std::mem::take(&mut self.waiting) {
            let QuotaAsk { ticket, charge, .. } = ask;
            let room = self.room(now, &ask);
            let taken = if passed.contains(&charge.key) {
                // Whoever is before it in line has not got its units yet.
                false
            } else {
                self.ledger.take_above(now, &ask.rule, charge, room).is_ok()
            };
            if taken {
                verdicts.push(QuotaVerdict { ticket, charge, outcome: Ok(()) });
            } else if now >= ask.wait_until {
                let wait = self.expected_wait(now, &ask, room);
                verdicts.push(QuotaVerdict { ticket, charge, outcome: Err(wait) });
            } else {
                passed.push(charge.key);
                self.waiting.push(ask);
            }
        }
        verdicts
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, ticket: RequestSequence) {
        self.waiting.retain(|ask| ask.ticket != ticket);
    }

    /// Puts back what a request took that did not run after all.
    pub fn give_back(&mut self, charge: QuotaCharge) {
        self.ledger.give_back(charge);
    }

    /// Returns the units that must be left when `ask` has taken its own.
    fn room(&self, now: Moment, ask: &QuotaAsk) -> f64 {
        let key = ask.charge.key;
        let first = (key, QuotaClass { tier: TierRank(0), route_tier: TierRank(0) });
        let urgent = self.costs.range(first..(key, ask.class));
        let seen = urgent.filter(|(_, cost)| now.since(cost.seen) < CLASS_LIFE);
        let means: Vec<f64> = seen.map(|(_, cost)| cost.mean).collect();
        let room = means.iter().sum::<f64>() * means.len() as f64 * ROOM_REQUESTS;
        let by_cost = ask.charge.units as f64 * ROOM_PER_COST;
        room.min(by_cost).min(self.ledger.burst_of(&ask.rule) * ROOM_PART)
    }

    /// Returns the time until the units of those before `ask` in line, its own, and its room are there.
    fn expected_wait(&self, now: Moment, ask: &QuotaAsk, room: f64) -> Duration {
        let key = ask.charge.key;
        let before = self.waiting.iter().filter(|it| it.charge.key == key && goes_before(it, ask));
        let before: u64 = before.map(|it| it.charge.units).sum();
        self.ledger.time_until(now, &ask.rule, ask.charge, room + before as f64)
    }

    fn note_cost(&mut self, now: Moment, ask: &QuotaAsk) {
        let units = ask.charge.units as f64;
        let new = ClassCost { mean: units, seen: now };
        let cost = self.costs.entry((ask.charge.key, ask.class)).or_insert(new);
        cost.mean += (units - cost.mean) * COST_WEIGHT;
        cost.seen = now;
    }
}

fn order(ask: &QuotaAsk) -> (QuotaClass, bool, RequestSequence) {
    (ask.class, ask.late, ask.ticket)
}

fn goes_before(other: &QuotaAsk, ask: &QuotaAsk) -> bool {
    order(other) < order(ask)
}
