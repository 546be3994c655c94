//! Decides which of a service's waiting requests are above their organisation's share.
//!
//! The share is the max-min fair part of the engine time that all organisations use and ask for. An
//! amount that follows from their usual usage is guaranteed, so that an organisation that has long
//! been large does not lose slots to one that overloads the service. A request is above the share
//! if its organisation's recent usage, and the requests of the organisation that go before it, fill
//! the share already. So the first requests of an organisation with a long queue compete with those
//! of the others, and the rest of the queue goes after them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fair_share::{FairShares, ShareDemand},
    ids::{OrganisationKey, RequestSequence},
    organisation_usage::OrganisationUsage,
    slot_turn::UrgencyClass,
    units::Moment,
};

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct ShareClaim {
    /// The request.
    pub ticket: RequestSequence,
    /// Its organisation.
    pub organisation: OrganisationKey,
    /// Its class of urgency.
    pub class: UrgencyClass,
    /// The expected engine time, in seconds.
    pub cost: f64,
}

/// The number of a VM's requests below their organisation's share, and of all.
#[derive(Clone, Copy, Debug, Default)]
struct ClaimCount {
    below: f64,
    all: f64,
}

/// Which waiting requests are above their organisation's share.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     ids::{OrganisationKey, RequestSequence},
///     organisation_usage::OrganisationUsage,
///     share_order::{ShareClaim, ShareOrder},
///     slot_turn::UrgencyClass,
///     units::Moment,
/// };
///
/// let claim = |ticket, organisation| ShareClaim {
///     ticket: RequestSequence(ticket),
///     organisation: OrganisationKey(organisation),
///     class: UrgencyClass::LEAST_ON_TIME,
///     cost: 1.0,
/// };
/// let usage = OrganisationUsage::default();
/// let claims = [claim(1, 1), claim(2, 1), claim(3, 1), claim(4, 2)];
/// let order = ShareOrder::new(Moment::from_millis(1), &usage, &claims, 1.0);
/// assert!(!order.is_above(RequestSequence(4)));
/// assert!(order.is_above(RequestSequence(3)));
/// ```
#[derive(Debug, Default)]
pub struct ShareOrder {
    shares: FairShares,
    above: BTreeMap<RequestSequence, OrganisationKey>,
    counts: BTreeMap<UrgencyClass, ClaimCount>,
    /// The same numbers for recently queued requests, which steady the ratio where few wait.
    recent: ClaimCount,
}

impl ShareOrder {
    /// Evaluates the waiting requests of this VM, which come in queue order. `scale` is the assumed
    /// ratio of the requests that wait in the fleet to those that wait here: callers are spread
    /// evenly over the VMs.
    pub fn new(now: Moment, usage: &OrganisationUsage, claims: &[ShareClaim], scale: f64) -> Self {
        let shares = divide(now, usage, claims, scale);
        let mut order = Self { shares, ..Self::default() };
        (order.recent.below, order.recent.all) = usage.recently_queued(now);
        let mut used: BTreeMap<OrganisationKey, (f64, f64)> = BTreeMap::new();
        for claim in claims {
            let key = claim.organisation;
            let (used, share) = used
                .entry(key)
                .or_insert_with(|| (usage.of(now, key), shares.of(usage.guaranteed(now, key))));
            let is_above = *used > *share;
            *used += claim.cost * scale;
            let count = order.counts.entry(claim.class).or_default();
            count.all += 1.0;
            if is_above {
                order.above.insert(claim.ticket, claim.organisation);
            } else {
                count.below += 1.0;
            }
        }
        order
    }

    /// Returns an organisation's share, in seconds of engine time.
    pub fn share_of(&self, now: Moment, usage: &OrganisationUsage, key: OrganisationKey) -> f64 {
        self.shares.of(usage.guaranteed(now, key))
    }

    /// Whether a request is above its organisation's share.
    pub fn is_above(&self, ticket: RequestSequence) -> bool {
        self.above.contains_key(&ticket)
    }

    /// Returns the requests above their organisation's share.
    pub fn above(&self) -> impl Iterator<Item = (RequestSequence, OrganisationKey)> {
        self.above.iter().map(|(ticket, organisation)| (*ticket, *organisation))
    }

    /// Returns the organisations that have requests above their share.
    pub fn organisations_above(&self) -> BTreeSet<OrganisationKey> {
        self.above.values().copied().collect()
    }

    /// Returns the assumed part of the requests of a class at peers that are below their
    /// organisation's share. Peers don't report it; it is taken to be as at this VM.
    pub fn part_below(&self, class: UrgencyClass) -> f64 {
        self.part_of(self.counts.get(&class).copied().unwrap_or_default())
    }

    /// Returns the assumed part of the requests at peers that can be on time and are below their
    /// organisation's share.
    pub fn part_below_on_time(&self) -> f64 {
        let mut sum = ClaimCount::default();
        for count in self.counts.iter().filter(|(class, _)| !class.late).map(|(_, count)| count) {
            sum.below += count.below;
            sum.all += count.all;
        }
        self.part_of(sum)
    }

    fn part_of(&self, waiting: ClaimCount) -> f64 {
        let all = waiting.all + self.recent.all;
        if all > 0.0 { (waiting.below + self.recent.below) / all } else { 1.0 }
    }
}

/// Divides the engine time. An organisation demands what it has used and what it waits for; what
/// waits is what the supply does not cover.
fn divide(now: Moment, usage: &OrganisationUsage, claims: &[ShareClaim], scale: f64) -> FairShares {
    let mut waiting: BTreeMap<OrganisationKey, f64> = BTreeMap::new();
    for claim in claims {
        *waiting.entry(claim.organisation).or_default() += claim.cost * scale;
    }
    let unmet = waiting.values().sum();
    let idle = usage.heaviest(now).filter(|(key, _)| !waiting.contains_key(key));
    let asking = waiting.iter().map(|(key, cost)| (*key, usage.of(now, *key) + cost));
    let demand = |(key, wanted)| ShareDemand { wanted, guaranteed: usage.guaranteed(now, key) };
    let demands: Vec<ShareDemand> = idle.chain(asking).map(demand).collect();
    FairShares::new(&demands, unmet)
}
