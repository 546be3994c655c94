//! Applies return times to a scheduler: which requests are kept, and when refused callers return.

use std::time::Duration;

use crate::{
    ids::{RequestSequence, ServiceName},
    queue_view::ServiceQueue,
    quota::QuotaCharge,
    quota_allocator::QuotaRequest,
    retry_delay::ReturnWindow,
    return_schedule::{ReturnBooking, ReturnCounts, ReturnInterval, SlotCapacity},
    scheduler::Scheduler,
    slot_turn::UrgencyClass,
    units::Moment,
    wait_queue::{QueueStanding, WaitingRequest},
};

/// The share of its remaining time for which a caller waits as told.
const WAITED_SHARE: f64 = 1.0 / 3.0;
/// The shortest time between a refusal and the caller's return, so that a caller does not retry in
/// a loop.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(300);

/// The range of the random increase of the delay of callers over their quota, so that those whose
/// units are available at once do not retry together.
const QUOTA_RETURN_SPREAD: Duration = Duration::from_millis(150);

/// What a refused caller is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnTime {
    /// The time until the caller should return.
    pub(crate) delay: Duration,
    /// The time until the interval begins in which a place is booked for it.
    pub(crate) booked_after: Option<Duration>,
}

impl Scheduler {
    /// Records a request that is about to join a queue, and gives a returned caller a place if one
    /// is booked.
    pub(crate) fn admit_return(&mut self, now: Moment, work: &WaitingRequest) {
        let Some(state) = self.services.get_mut(&work.service) else { return };
        if !self.options.policy.return_times.is_on() {
            return;
        }
        if !work.is_retry {
            state.returns.record_arrival(now, class_of(work));
        } else if state.returns.claim(now, class_of(work)) {
            // While the load leaves no room, a place would displace new requests. The caller is
            // then kept, since a further refusal would leave it without an answer.
            let interval = ReturnInterval::at(work.leave_at);
            let standing = match state.returns.is_overloaded(now) {
                true => QueueStanding::Kept(ReturnBooking { interval, class: class_of(work) }),
                false => QueueStanding::Placed,
            };
            state.queue.set_standing(work.ticket, standing);
        }
    }

    /// Keeps a request that would be refused, if a slot is expected for it before its caller stops
    /// waiting; returns whether it is kept.
    ///
    /// A return at the same time would get the same slot, but its caller waits as told only for a
    /// part of its time and mostly returns once.
    pub(crate) fn keep_waiting(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
    ) -> bool {
        let Some((work, interval)) = self.first_free(now, service, ticket, now) else {
            return false;
        };
        let begins_in = self.view(now, service).map(|view| view.first_event_margin(&work));
        let is_too_late = begins_in.is_none_or(|margin| interval.end() + margin > work.leave_at);
        if is_too_late || work.begun {
            return false;
        }
        let Some(state) = self.services.get_mut(service) else { return false };
        if state.queue.standing(ticket) == QueueStanding::New {
            state.returns.record_kept();
        }
        let booking = ReturnBooking { interval, class: class_of(&work) };
        state.queue.set_standing(ticket, QueueStanding::Kept(booking));
        true
    }

    /// Returns when a refused caller should return, and books a place for it; `None` if the policy
    /// is not in effect or nothing is known of the capacity. `wait` is the time until the queue in
    /// front is served.
    ///
    /// A caller that was refused before gets the time, but no second place.
    pub(crate) fn book_return(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
        wait: Duration,
    ) -> Option<ReturnTime> {
        self.slot_capacity(now, service)?;
        let earliest = now + wait.max(MIN_RETURN_DELAY);
        let Some((work, interval)) = self.first_free(now, service, ticket, earliest) else {
            let delay = self.retry_delay.without_room(wait);
            return Some(ReturnTime { delay, booked_after: None });
        };
        let waited_until = now + work.leave_at.since(now).mul_f64(WAITED_SHARE);
        let from = interval.start().max(earliest);
        let can_wait = from <= waited_until;
        let until = if can_wait { interval.end().min(waited_until) } else { interval.end() };
        let delay = self.retry_delay.within(ReturnWindow { now, from, until });
        if work.is_retry {
            return Some(ReturnTime { delay, booked_after: None });
        }
        let class = class_of(&work);
        self.services.get_mut(service)?.returns.book(ReturnBooking { interval, class });
        Some(ReturnTime { delay, booked_after: Some(from.since(now)) })
    }

    /// Updates this VM's share of the rate at which an organisation's units are refilled.
    pub(crate) fn update_quota_rate(&mut self, now: Moment, ask: &QuotaRequest) {
        if self.has_return_times() {
            let rate = ask.rule.rate / self.peers.known_count(now) as f64;
            self.quota_returns.set_rate(ask.charge.key, rate);
        }
    }

    /// Returns the delay for a caller whose units are available after `wait` if no other caller
    /// returns.
    pub(crate) fn quota_delay(
        &mut self,
        now: Moment,
        charge: QuotaCharge,
        wait: Duration,
    ) -> Duration {
        if !self.has_return_times() {
            return self.retry_delay.after_quota(wait);
        }
        let from = now + self.quota_returns.book(now, charge, wait).max(MIN_RETURN_DELAY);
        let until = from + QUOTA_RETURN_SPREAD;
        self.retry_delay.within(ReturnWindow { now, from, until })
    }

    /// Whether return times are in effect for a service. A quota is not a service's.
    fn has_return_times(&self) -> bool {
        self.options.policy.return_times.is_on()
    }

    /// Returns the counts of all services, after releasing the places to which nobody came.
    pub fn return_counts(&mut self, now: Moment) -> ReturnCounts {
        let mut sum = ReturnCounts::default();
        for state in self.services.values_mut() {
            state.returns.expire(now);
            sum += state.returns.counts();
        }
        sum
    }

    fn first_free(
        &mut self,
        now: Moment,
        service: &ServiceName,
        ticket: RequestSequence,
        earliest: Moment,
    ) -> Option<(WaitingRequest, ReturnInterval)> {
        let capacity = self.slot_capacity(now, service)?;
        let state = self.services.get_mut(service)?;
        state.returns.expire(now);
        if state.queue.standing(ticket) == QueueStanding::New {
            state.returns.record_overload(now);
        }
        let work = state.queue.iter().find(|work| work.ticket == ticket)?.clone();
        let kept = kept_bookings(state, ticket);
        let class = class_of(&work);
        let interval = state.returns.first_free(now, earliest, capacity, class, &kept)?;
        Some((work, interval))
    }

    /// Returns this VM's share of the slots, or `None` if the policy is not in effect or nothing is
    /// known of the time for which requests occupy slots.
    fn slot_capacity(&self, now: Moment, service: &ServiceName) -> Option<SlotCapacity> {
        let is_on = self.options.policy.return_times.is_on();
        if is_on { self.view(now, service)?.slot_capacity() } else { None }
    }
}

/// Returns the bookings of the kept requests other than `ticket`.
fn kept_bookings(state: &ServiceQueue, ticket: RequestSequence) -> Vec<ReturnBooking> {
    let others = state.queue.iter().filter(|work| work.ticket != ticket);
    let booking = |work: &WaitingRequest| match state.queue.standing(work.ticket) {
        QueueStanding::Kept(booking) => Some(booking),
        QueueStanding::New | QueueStanding::Placed => None,
    };
    others.filter_map(booking).collect()
}

/// Returns the class that a request has while it is on time.
pub(crate) fn class_of(work: &WaitingRequest) -> UrgencyClass {
    UrgencyClass { late: false, tier: work.tier, route_tier: work.route_tier }
}
