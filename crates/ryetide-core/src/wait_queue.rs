//! The requests of one service that wait at this VM for a free slot.
//!
//! The order is made for bursts, in which more requests arrive for some seconds than the targets
//! can start in time. Requests that can still meet their objective come first, by tier and then by
//! the nearest objective; those that have missed it follow in the same order. In order of arrival,
//! a queue longer than the objective would make every request late; in this order, as many are on
//! time as there are slots for, and the rest are served after the burst. Among requests of the same
//! tier and route rank, those above their organisation's share follow the others.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{OrganisationKey, RequestSequence, ServiceName, TargetKey, VersionKey},
    return_schedule::ReturnBooking,
    slot_turn::UrgencyClass,
    units::{Moment, TierRank, Tokens},
};

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub ticket: RequestSequence,
    /// The service whose targets may serve it.
    pub service: ServiceName,
    /// The request's tier.
    pub tier: TierRank,
    /// The rank of the request's route, which orders requests of the same tier.
    pub route_tier: TierRank,
    /// Whether the answer is a stream from a model engine.
    pub engine: bool,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The hash of the last section of the prompt.
    pub prompt_hash: Option<u32>,
    /// The expected number of events in the answer.
    pub events: u32,
    /// When the request arrived.
    pub arrived: Moment,
    /// Whether this is a caller's retry after a refusal.
    pub is_retry: bool,
    /// The latest time at which the first event, or the whole answer, is on time, counted from the
    /// caller's first attempt.
    pub objective_at: Moment,
    /// When the caller stops waiting, or the request's deadline passes.
    pub leave_at: Moment,
    /// The longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// Whether the caller has already received a part of the answer. Such a request is never
    /// refused because of the queue, since its caller would get a truncated answer instead of a
    /// continued one.
    pub begun: bool,
    /// The version that has begun the stream which the request continues; it goes to no other.
    pub version: Option<VersionKey>,
    /// Targets that the request must not be sent to again.
    pub excluded: Vec<TargetKey>,
    /// Whether the request may run again if the target that it is sent to next fails it.
    pub may_rerun: bool,
    /// The organisation that the request counts for; the default key if it belongs to none.
    pub organisation: OrganisationKey,
}

/// A request's position in the queue; the smallest rank goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueRank {
    /// Whether the request has missed its objective, or cannot meet it any more.
    pub late: bool,
    /// The request's tier.
    pub tier: TierRank,
    /// The rank of the request's route.
    pub route_tier: TierRank,
    /// Whether the request has no place that was booked for a returned caller.
    pub without_place: bool,
    /// Whether the request is above its organisation's share; see [`crate::share_order`].
    pub above_share: bool,
    /// The latest time at which the request is on time.
    pub objective_at: Moment,
    /// The request, as a tie-breaker in order of arrival.
    pub ticket: RequestSequence,
}

impl QueueRank {
    /// Returns the urgency of the request in comparison with those that wait at other VMs.
    pub fn class(&self) -> UrgencyClass {
        UrgencyClass { late: self.late, tier: self.tier, route_tier: self.route_tier }
    }
}

impl WaitingRequest {
    /// Returns the rank of the request at `now`, if its first event comes no sooner than `best`
    /// after a dispatch and its organisation is below its share.
    pub fn rank(&self, now: Moment, best: Duration) -> QueueRank {
        QueueRank {
            late: now + best > self.objective_at,
            tier: self.tier,
            route_tier: self.route_tier,
            without_place: true,
            above_share: false,
            objective_at: self.objective_at,
            ticket: self.ticket,
        }
    }
}

/// What was decided about a waiting request by return times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueStanding {
    /// Nothing was decided.
    #[default]
    New,
    /// The request is a returned caller's and has a place: it counts as on time.
    Placed,
    /// The request cannot be on time without displacing another. It counts as late and is kept
    /// until the booked interval.
    Kept(ReturnBooking),
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<WaitingRequest>,
    /// The standings of the requests for which something was decided.
    standings: BTreeMap<RequestSequence, QueueStanding>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, work: WaitingRequest) {
        self.waiting.push(work);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: RequestSequence) -> Option<WaitingRequest> {
        self.standings.remove(&ticket);
        let index = self.waiting.iter().position(|work| work.ticket == ticket)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Sets the standing of a request that waits or is about to join the queue.
    pub fn set_standing(&mut self, ticket: RequestSequence, standing: QueueStanding) {
        self.standings.insert(ticket, standing);
    }

    /// Returns the standing of a request.
    pub fn standing(&self, ticket: RequestSequence) -> QueueStanding {
        self.standings.get(&ticket).copied().unwrap_or_default()
    }

    /// Returns the rank of a request with regard to its standing; see [`WaitingRequest::rank`].
    pub fn rank(&self, now: Moment, work: &WaitingRequest, best: Duration) -> QueueRank {
        let rank = work.rank(now, best);
        match self.standing(work.ticket) {
            QueueStanding::New => rank,
            QueueStanding::Placed => QueueRank { late: false, without_place: false, ..rank },
            QueueStanding::Kept(_) => QueueRank { late: true, ..rank },
        }
    }

    /// Returns the requests with their ranks in queue order. `best` returns the shortest time from
    /// a dispatch to the first event.
    pub fn ordered(
        &self,
        now: Moment,
        best: impl Fn(&WaitingRequest) -> Duration,
    ) -> Vec<(QueueRank, &WaitingRequest)> {
        let ranked = self.waiting.iter().map(|work| (self.rank(now, work, best(work)), work));
        let mut ordered: Vec<_> = ranked.collect();
        ordered.sort_by_key(|(rank, _)| *rank);
        ordered
    }

    /// Returns the requests in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.iter()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
