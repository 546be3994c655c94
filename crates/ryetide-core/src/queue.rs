//! A fair queue of waiting requests, ordered by tier, then by organisation, then by deadline.
//!
//! Tiers have strict priority. Within a tier, organisations share capacity in tokens by weight
//! (start-time fair queueing): the organisation with the lowest virtual start time is served first,
//! so an organisation with a long backlog cannot starve one with few requests. Within an
//! organisation, the request with the earliest deadline is served first. The size of the state
//! depends on the organisations that have waiting requests, not on all that exist.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::OrganisationKey,
    units::{Moment, ShareWeight, TierRank, Tokens},
};

/// How far an organisation of weight 1 advances in virtual time for each token.
const VIRTUAL_SCALE: u64 = 1_000;

/// How many entries of each organisation [`FairQueue::front`] returns.
const FRONT_PER_ORGANISATION: usize = 4;

/// The properties of an entry that determine its position.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// The tier.
    pub tier: TierRank,
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The organisation's weight.
    pub weight: ShareWeight,
    /// The caller's deadline.
    pub deadline: Moment,
    /// The tokens that the organisation is charged.
    pub cost: Tokens,
    /// How long the entry is expected to occupy a slot.
    pub work: Duration,
}

/// The position of an entry, which is needed to remove it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    tier: TierRank,
    organisation: OrganisationKey,
    order: (Moment, u64),
}

#[derive(Debug)]
struct QueuedEntry<K> {
    key: K,
    cost: Tokens,
    work: Duration,
}

/// The waiting entries of one organisation in a tier.
#[derive(Debug)]
struct OrganisationQueue<K> {
    /// The virtual start time of the next entry.
    start: u64,
    weight: ShareWeight,
    /// Sum of the entries' work.
    work: Duration,
    /// Entries by deadline, then by order of arrival.
    entries: BTreeMap<(Moment, u64), QueuedEntry<K>>,
}

/// The waiting entries of one tier.
#[derive(Debug)]
struct TierQueue<K> {
    /// The highest virtual start time of the entries served so far.
    virtual_time: u64,
    /// The organisations that have waiting entries.
    organisations: BTreeMap<OrganisationKey, OrganisationQueue<K>>,
    /// Organisations by virtual start time.
    order: BTreeSet<(u64, OrganisationKey)>,
    /// Virtual finish times of organisations without waiting entries, kept until the virtual time
    /// passes them. Otherwise an organisation whose queue keeps becoming empty would restart at the
    /// current virtual time and get more than its share. They are dropped with the whole tier when
    /// it becomes empty, as there is nobody left to overtake.
    finished: BTreeMap<OrganisationKey, u64>,
    /// Sum of the weights of the organisations that have waiting entries.
    weights: u64,
    /// Sum of the entries' work.
    work: Duration,
    length: usize,
}

impl<K> Default for TierQueue<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            organisations: BTreeMap::new(),
            order: BTreeSet::new(),
            finished: BTreeMap::new(),
            weights: 0,
            work: Duration::ZERO,
            length: 0,
        }
    }
}

/// A queue of waiting requests in the order in which they are served.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{ids::OrganisationKey, queue::{FairQueue, QueueTicket}};
/// use ryetide_core::units::{Moment, ShareWeight, TierRank, Tokens};
///
/// let ticket = |tier| QueueTicket {
///     tier: TierRank(tier),
///     organisation: OrganisationKey(1),
///     weight: ShareWeight(1),
///     deadline: Moment::from_millis(100),
///     cost: Tokens(10),
///     work: Duration::from_millis(5),
/// };
/// let mut queue = FairQueue::new();
/// queue.push("routine", &ticket(1));
/// queue.push("urgent", &ticket(0));
/// assert_eq!(queue.pop().unwrap().0, "urgent");
/// ```
#[derive(Debug)]
pub struct FairQueue<K> {
    tiers: BTreeMap<TierRank, TierQueue<K>>,
    arrivals: u64,
}

impl<K> Default for FairQueue<K> {
    fn default() -> Self {
        Self { tiers: BTreeMap::new(), arrivals: 0 }
    }
}

impl<K: Clone> FairQueue<K> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry and returns its position.
    pub fn push(&mut self, key: K, ticket: &QueueTicket) -> QueuePosition {
        self.arrivals += 1;
        let order = (ticket.deadline, self.arrivals);
        let queue = self.tiers.entry(ticket.tier).or_default();
        queue.push(ticket, order, key);
        QueuePosition { tier: ticket.tier, organisation: ticket.organisation, order }
    }

    /// Returns the entry that is served next, with its tier.
    pub fn peek(&self) -> Option<(&K, TierRank)> {
        let (rank, queue) = self.tiers.first_key_value()?;
        queue.peek().map(|key| (key, *rank))
    }

    /// Returns up to `limit` entries of the most urgent waiting tier: the first few of each
    /// organisation, in the organisations' order of service.
    pub fn front(&self, limit: usize) -> Vec<K> {
        let queue = self.tiers.first_key_value().map(|(_, queue)| queue);
        queue.into_iter().flat_map(TierQueue::front).take(limit).cloned().collect()
    }

    /// Removes and returns the entry that is served next with its tier, and charges its
    /// organisation.
    pub fn pop(&mut self) -> Option<(K, TierRank)> {
        let (rank, queue) = self.tiers.first_key_value()?;
        let (tier, (organisation, order)) = (*rank, queue.first()?);
        let key = self.serve(QueuePosition { tier, organisation, order })?;
        Some((key, tier))
    }

    /// Removes the entry at `position` if it is still queued, and charges its organisation.
    pub fn serve(&mut self, position: QueuePosition) -> Option<K> {
        self.take(position, true)
    }

    /// Removes the entry at `position` if it is still queued, without charging its organisation.
    pub fn remove(&mut self, position: QueuePosition) -> Option<K> {
        self.take(position, false)
    }

    fn take(&mut self, position: QueuePosition, served: bool) -> Option<K> {
        let queue = self.tiers.get_mut(&position.tier)?;
        let key = queue.take(position.organisation, position.order, served)?;
        self.remove_empty_tier(position.tier);
        Some(key)
    }

    /// Returns the total work of the entries in `tier` and in more urgent tiers.
    pub fn work_ahead(&self, tier: TierRank) -> Duration {
        self.tiers.range(..=tier).map(|(_, queue)| queue.work).sum()
    }

    /// Returns the work that is served before a new entry of `organisation` in `tier`: all work of
    /// more urgent tiers, and the work in `tier` that fair sharing serves first.
    ///
    /// If the whole tier counted, an organisation with few requests would be refused because of
    /// another organisation's backlog.
    pub fn work_ahead_of(&self, tier: TierRank, organisation: OrganisationKey) -> Duration {
        let before: Duration = self.tiers.range(..tier).map(|(_, queue)| queue.work).sum();
        before
            + self.tiers.get(&tier).map_or(Duration::ZERO, |queue| queue.work_before(organisation))
    }

    /// Returns every entry of the tiers below `tier`, the less urgent ones.
    pub fn below(&self, tier: TierRank) -> Vec<K> {
        let below = (std::ops::Bound::Excluded(tier), std::ops::Bound::Unbounded);
        self.tiers.range(below).flat_map(|(_, queue)| queue.keys()).collect()
    }

    /// Returns the last entry in the order of service, with its tier.
    pub fn last(&self) -> Option<(K, TierRank)> {
        let (rank, queue) = self.tiers.last_key_value()?;
        let (_, organisation) = queue.order.last()?;
        let (_, entry) = queue.organisations.get(organisation)?.entries.last_key_value()?;
        Some((entry.key.clone(), *rank))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.tiers.values().map(|queue| queue.length).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.tiers.values().all(|queue| queue.length == 0)
    }

    /// Returns the number of organisations that the queue keeps state for, with or without entries.
    pub fn tracked_organisations(&self) -> usize {
        self.tiers.values().map(|queue| queue.organisations.len() + queue.finished.len()).sum()
    }

    fn remove_empty_tier(&mut self, rank: TierRank) {
        if self.tiers.get(&rank).is_some_and(|queue| queue.length == 0) {
            self.tiers.remove(&rank);
        }
    }
}

impl<K: Clone> TierQueue<K> {
    fn push(&mut self, ticket: &QueueTicket, order: (Moment, u64), key: K) {
        let organisation = ticket.organisation;
        let entry = QueuedEntry { key, cost: ticket.cost, work: ticket.work };
        self.work += ticket.work;
        self.length += 1;
        if let Some(queue) = self.organisations.get_mut(&organisation) {
            queue.work += ticket.work;
            queue.entries.insert(order, entry);
            return;
        }
        self.weights += u64::from(ticket.weight.0);
        let start = self.finished.remove(&organisation).unwrap_or(0).max(self.virtual_time);
        let entries = BTreeMap::from([(order, entry)]);
        let queue = OrganisationQueue { start, weight: ticket.weight, work: ticket.work, entries };
        self.organisations.insert(organisation, queue);
        self.order.insert((start, organisation));
    }

    fn peek(&self) -> Option<&K> {
        let (_, organisation) = self.order.first()?;
        let (_, entry) = self.organisations.get(organisation)?.entries.first_key_value()?;
        Some(&entry.key)
    }

    /// Returns the organisation and the order key of the entry that is served next.
    fn first(&self) -> Option<(OrganisationKey, (Moment, u64))> {
        let (_, organisation) = self.order.first()?;
        let (order, _) = self.organisations.get(organisation)?.entries.first_key_value()?;
        Some((*organisation, *order))
    }

    /// Removes an entry, and charges its cost to the organisation if it is served.
    fn take(
        &mut self,
        organisation: OrganisationKey,
        order: (Moment, u64),
        served: bool,
    ) -> Option<K> {
        let queue = self.organisations.get_mut(&organisation)?;
        let entry = queue.entries.remove(&order)?;
        queue.work = queue.work.saturating_sub(entry.work);
        self.order.remove(&(queue.start, organisation));
        if served {
            let weight = u64::from(queue.weight.0.max(1));
            self.virtual_time = self.virtual_time.max(queue.start);
            queue.start += entry.cost.0.max(1) * VIRTUAL_SCALE / weight;
            self.finished.retain(|_, finish| *finish > self.virtual_time);
        }
        self.requeue_organisation(organisation);
        self.work = self.work.saturating_sub(entry.work);
        self.length -= 1;
        Some(entry.key)
    }

    /// Returns the first few entries of each organisation, in the organisations' order of service.
    fn front(&self) -> impl Iterator<Item = &K> {
        self.order
            .iter()
            .filter_map(|(_, organisation)| self.organisations.get(organisation))
            .flat_map(|queue| {
                queue.entries.values().take(FRONT_PER_ORGANISATION).map(|entry| &entry.key)
            })
    }

    /// Puts an organisation back into the order of service, or removes it and keeps its virtual
    /// finish time if it has no entries left.
    fn requeue_organisation(&mut self, organisation: OrganisationKey) {
        let Some(queue) = self.organisations.get(&organisation) else {
            return;
        };
        let start = queue.start;
        if queue.entries.is_empty() {
            self.weights -= u64::from(queue.weight.0);
            self.organisations.remove(&organisation);
            if start > self.virtual_time {
                self.finished.insert(organisation, start);
            }
        } else {
            self.order.insert((start, organisation));
        }
    }

    /// Returns the work in this tier that is served before a new entry of `organisation`.
    fn work_before(&self, organisation: OrganisationKey) -> Duration {
        let Some(queue) = self.organisations.get(&organisation) else {
            let entries = self.length.max(1) as u32;
            return self.work / entries * self.organisations.len() as u32;
        };
        let turns = self.weights as f64 / f64::from(queue.weight.0.max(1));
        queue.work.mul_f64(turns).min(self.work)
    }

    fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.organisations
            .values()
            .flat_map(|queue| queue.entries.values().map(|entry| entry.key.clone()))
    }
}
