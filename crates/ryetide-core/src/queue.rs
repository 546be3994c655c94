//! The order in which waiting requests are served: by tier, then by organisation, then by deadline.
//!
//! Tiers are strict. Within a tier, organisations share by weight in tokens (start-time fair
//! queueing): the organisation whose virtual start is least goes first, so one with a long backlog
//! cannot starve a light one. Within an organisation the earliest deadline goes first. The state
//! grows with the organisations that wait now, not with those that exist.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::OrganisationKey,
    units::{Moment, ShareWeight, TierRank, Tokens},
};

/// Virtual time advances by this much for each token at weight 1.
const VIRTUAL_SCALE: u64 = 1_000;

/// How many entries of one organisation count as near the front.
const FRONT_PER_ORGANISATION: usize = 4;

/// What the queue needs to know of an entry.
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
    /// The slot time that the entry is expected to take.
    pub work: Duration,
}

/// Where an entry stands; needed to remove it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePlace {
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

#[derive(Debug)]
struct OrganisationLine<K> {
    start: u64,
    weight: ShareWeight,
    work: Duration,
    entries: BTreeMap<(Moment, u64), QueuedEntry<K>>,
}

#[derive(Debug)]
struct TierLine<K> {
    virtual_time: u64,
    lines: BTreeMap<OrganisationKey, OrganisationLine<K>>,
    order: BTreeSet<(u64, OrganisationKey)>,
    /// Virtual finishing times of organisations with nothing waiting, kept until the virtual time
    /// passes them: otherwise an organisation that empties its line at once gains a fresh start.
    /// They go with the whole line once nobody waits: then nobody can be overtaken either.
    finished: BTreeMap<OrganisationKey, u64>,
    /// Sum of the weights of the organisations that wait.
    weights: u64,
    work: Duration,
    length: usize,
}

impl<K> Default for TierLine<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            lines: BTreeMap::new(),
            order: BTreeSet::new(),
            finished: BTreeMap::new(),
            weights: 0,
            work: Duration::ZERO,
            length: 0,
        }
    }
}

/// Waiting requests in the order of service.
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
    tiers: BTreeMap<TierRank, TierLine<K>>,
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

    /// Adds an entry and returns its place.
    pub fn push(&mut self, key: K, ticket: &QueueTicket) -> QueuePlace {
        self.arrivals += 1;
        let order = (ticket.deadline, self.arrivals);
        let line = self.tiers.entry(ticket.tier).or_default();
        line.push(ticket, order, key);
        QueuePlace { tier: ticket.tier, organisation: ticket.organisation, order }
    }

    /// Returns the entry that goes first, with its tier.
    pub fn peek(&self) -> Option<(&K, TierRank)> {
        let (rank, line) = self.tiers.first_key_value()?;
        line.peek().map(|key| (key, *rank))
    }

    /// Returns up to `limit` entries of the first tier that waits, those near the front first.
    pub fn front(&self, limit: usize) -> Vec<K> {
        let line = self.tiers.first_key_value().map(|(_, line)| line);
        line.into_iter().flat_map(TierLine::front).take(limit).cloned().collect()
    }

    /// Removes and returns the entry that goes first, and charges its organisation.
    pub fn pop(&mut self) -> Option<(K, TierRank)> {
        let (rank, line) = self.tiers.first_key_value()?;
        let (tier, (organisation, order)) = (*rank, line.first()?);
        let key = self.serve(QueuePlace { tier, organisation, order })?;
        Some((key, tier))
    }

    /// Removes the entry at `place`, if it is still there, and charges its organisation.
    pub fn serve(&mut self, place: QueuePlace) -> Option<K> {
        self.take(place, true)
    }

    /// Removes the entry at `place`, if it is still there, without charging its organisation.
    pub fn remove(&mut self, place: QueuePlace) -> Option<K> {
        self.take(place, false)
    }

    fn take(&mut self, place: QueuePlace, served: bool) -> Option<K> {
        let line = self.tiers.get_mut(&place.tier)?;
        let key = line.take(place.organisation, place.order, served)?;
        self.drop_empty(place.tier);
        Some(key)
    }

    /// Returns the slot time of the entries that go before a new one of `tier`.
    pub fn work_ahead(&self, tier: TierRank) -> Duration {
        self.tiers.range(..=tier).map(|(_, line)| line.work).sum()
    }

    /// Returns the slot time that is served before a new entry of `organisation` in `tier`: the
    /// tiers before it, and in its own tier what fair sharing lets pass before its turn. Counting
    /// the whole tier would refuse a light organisation for the backlog of a heavy one.
    pub fn work_ahead_of(&self, tier: TierRank, organisation: OrganisationKey) -> Duration {
        let before: Duration = self.tiers.range(..tier).map(|(_, line)| line.work).sum();
        before + self.tiers.get(&tier).map_or(Duration::ZERO, |line| line.work_before(organisation))
    }

    /// Returns every entry of the tiers after `tier`.
    pub fn below(&self, tier: TierRank) -> Vec<K> {
        let below = (std::ops::Bound::Excluded(tier), std::ops::Bound::Unbounded);
        self.tiers.range(below).flat_map(|(_, line)| line.keys()).collect()
    }

    /// Returns the entry that would be served last, with its tier.
    pub fn last(&self) -> Option<(K, TierRank)> {
        let (rank, line) = self.tiers.last_key_value()?;
        let (_, organisation) = line.order.last()?;
        let (_, entry) = line.lines.get(organisation)?.entries.last_key_value()?;
        Some((entry.key.clone(), *rank))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.tiers.values().map(|line| line.length).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tiers.values().all(|line| line.length == 0)
    }

    /// Returns the number of organisations for which state is kept.
    pub fn organisations_held(&self) -> usize {
        self.tiers.values().map(|line| line.lines.len() + line.finished.len()).sum()
    }

    fn drop_empty(&mut self, rank: TierRank) {
        if self.tiers.get(&rank).is_some_and(|line| line.length == 0) {
            self.tiers.remove(&rank);
        }
    }
}

impl<K: Clone> TierLine<K> {
    fn push(&mut self, ticket: &QueueTicket, order: (Moment, u64), key: K) {
        let organisation = ticket.organisation;
        let entry = QueuedEntry { key, cost: ticket.cost, work: ticket.work };
        self.work += ticket.work;
        self.length += 1;
        if let Some(line) = self.lines.get_mut(&organisation) {
            line.work += ticket.work;
            line.entries.insert(order, entry);
            return;
        }
        self.weights += u64::from(ticket.weight.0);
        let start = self.finished.remove(&organisation).unwrap_or(0).max(self.virtual_time);
        let entries = BTreeMap::from([(order, entry)]);
        let line = OrganisationLine { start, weight: ticket.weight, work: ticket.work, entries };
        self.lines.insert(organisation, line);
        self.order.insert((start, organisation));
    }

    fn peek(&self) -> Option<&K> {
        let (_, organisation) = self.order.first()?;
        let (_, entry) = self.lines.get(organisation)?.entries.first_key_value()?;
        Some(&entry.key)
    }

    /// Returns the place of the entry that goes first.
    fn first(&self) -> Option<(OrganisationKey, (Moment, u64))> {
        let (_, organisation) = self.order.first()?;
        let (order, _) = self.lines.get(organisation)?.entries.first_key_value()?;
        Some((*organisation, *order))
    }

    /// Removes an entry; one that is served is charged to its organisation.
    fn take(
        &mut self,
        organisation: OrganisationKey,
        order: (Moment, u64),
        served: bool,
    ) -> Option<K> {
        let line = self.lines.get_mut(&organisation)?;
        let entry = line.entries.remove(&order)?;
        line.work = line.work.saturating_sub(entry.work);
        self.order.remove(&(line.start, organisation));
        if served {
            let weight = u64::from(line.weight.0.max(1));
            self.virtual_time = self.virtual_time.max(line.start);
            line.start += entry.cost.0.max(1) * VIRTUAL_SCALE / weight;
            self.finished.retain(|_, finish| *finish > self.virtual_time);
        }
        self.settle(organisation);
        self.work = self.work.saturating_sub(entry.work);
        self.length -= 1;
        Some(entry.key)
    }

    /// Returns entries near the front: a few of each organisation, in order.
    fn front(&self) -> impl Iterator<Item = &K> {
        self.order.iter().filter_map(|(_, organisation)| self.lines.get(organisation)).flat_map(
            |line| line.entries.values().take(FRONT_PER_ORGANISATION).map(|entry| &entry.key),
        )
    }

    /// Puts an organisation back in order, or remembers its finish when its line is empty.
    fn settle(&mut self, organisation: OrganisationKey) {
        let Some(line) = self.lines.get(&organisation) else {
            return;
        };
        let start = line.start;
        if line.entries.is_empty() {
            self.weights -= u64::from(line.weight.0);
            self.lines.remove(&organisation);
            if start > self.virtual_time {
                self.finished.insert(organisation, start);
            }
        } else {
            self.order.insert((start, organisation));
        }
    }

    fn work_before(&self, organisation: OrganisationKey) -> Duration {
        let Some(line) = self.lines.get(&organisation) else {
            let entries = self.length.max(1) as u32;
            return self.work / entries * self.lines.len() as u32;
        };
        let turns = self.weights as f64 / f64::from(line.weight.0.max(1));
        line.work.mul_f64(turns).min(self.work)
    }

    fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.lines.values().flat_map(|line| line.entries.values().map(|entry| entry.key.clone()))
    }
}
