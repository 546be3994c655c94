//! Applies the retry budget to a scheduler: which requests are queued and sent once more.

use crate::{
    ids::{RequestSequence, ServiceName},
    retry_budget::{RetryLevel, RetryRule},
    scheduler::Scheduler,
    units::{Moment, TierRank},
    wait_queue::WaitingRequest,
};

impl Scheduler {
    /// Replaces the limits on retries.
    pub fn set_retry_rule(&mut self, rule: RetryRule) {
        self.retry_budget.set_rule(rule);
    }

    /// Queues a request again that was assigned to a target and did not run there. Returns `false`
    /// if the retry budget does not permit this.
    ///
    /// A request that did not arrive at its target (`arrived_there` is `false`) needs nothing of the
    /// budget.
    pub fn enter_again(&mut self, now: Moment, work: WaitingRequest, arrived_there: bool) -> bool {
        if arrived_there && !self.reserve_retry(now, &work) {
            return false;
        }
        self.enqueue(now, work);
        true
    }

    /// Reserves a retry for a request; returns whether the retry budget permits one. It is reserved
    /// until the request's run ends, or it is queued again, sent or leaves.
    pub fn reserve_retry(&mut self, now: Moment, work: &WaitingRequest) -> bool {
        self.release_retry(work.ticket);
        // A caller that has a part of a stream would lose that, too.
        let tier = if work.begun { TierRank(0) } else { work.tier };
        let permitted = self.retry_budget.reserve(now, &work.service, tier);
        if permitted {
            self.reserved_retries.insert(work.ticket, work.service.clone());
        }
        permitted
    }

    /// Gives the retry back that is reserved for a request, if there is one.
    pub(crate) fn release_retry(&mut self, ticket: RequestSequence) {
        if let Some(service) = self.reserved_retries.remove(&ticket) {
            self.retry_budget.release(&service);
        }
    }

    /// Records that a request is sent once more; returns whether the retry budget permits it still.
    pub fn spend_retry(
        &mut self,
        now: Moment,
        ticket: RequestSequence,
        service: &ServiceName,
    ) -> bool {
        self.release_retry(ticket);
        self.retry_budget.spend(now, service)
    }

    /// Returns what the retry budget of a service holds.
    pub fn retry_level(&mut self, now: Moment, service: &ServiceName) -> RetryLevel {
        self.retry_budget.level(now, service)
    }
}
