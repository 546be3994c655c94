//! Builds the quota request of a caller's request, with the longest time to wait for quota units.

use ryetide_core::{
    ids::OrganisationKey,
    quota::QuotaCharge,
    quota_allocator::{QuotaClass, QuotaRequest},
    route::RouteOrganisation,
    units::Moment,
    wait_queue::WaitingRequest,
};

/// The share of the time until a request's objective for which it may wait for quota units. The
/// rest is needed to get a slot and the first event: where targets are full, a request that waits
/// longer joins their queue too late.
const MAX_WAIT_SHARE: f64 = 0.2;

/// Returns the quota request for `work`, or `None` if its organisation has no quota. `tokens` is
/// the size that the caller states.
pub fn request_for(
    now: Moment,
    organisation: &RouteOrganisation,
    tokens: Option<u64>,
    work: &WaitingRequest,
) -> Option<QuotaRequest> {
    let rule = organisation.quota?;
    let charge =
        QuotaCharge { key: OrganisationKey::of(&organisation.name), units: rule.cost_of(tokens) };
    let late = work.objective_at <= now;
    let longest = work.objective_at.since(now).mul_f64(MAX_WAIT_SHARE);
    let class = QuotaClass { tier: work.tier, route_tier: work.route_tier };
    Some(QuotaRequest { ticket: work.ticket, charge, rule, class, late, wait_until: now + longest })
}
