//! What a request asks of its organisation's quota, and for how long it may wait for that.

use ryetide_core::{
    ids::OrganisationKey,
    quota::QuotaCharge,
    quota_allocator::{QuotaClass, QuotaRequest},
    route::KeyHolder,
    units::Moment,
    wait_queue::WaitingRequest,
};

/// The part of the time until its objective for which a request may wait for its quota; it needs the rest to get a
/// place and its first event. Where targets are full, what waited longer came late to their line: with 0.5, and waits of
/// callers that have come back, the heavy days of two deployments had 0.550 of all worth, with 0.2 and none 0.561, and
/// those of a third, where the quota binds more than its targets, the same.
const OBJECTIVE_PART: f64 = 0.2;

/// Returns what a request asks of its organisation's quota; nothing where it has none. `tokens` is the size that its
/// caller tells.
pub fn ask_of(
    now: Moment,
    holder: &KeyHolder,
    tokens: Option<u64>,
    work: &WaitingRequest,
) -> Option<QuotaRequest> {
    let rule = holder.quota?;
    let charge =
        QuotaCharge { key: OrganisationKey::of(&holder.name), units: rule.cost_of(tokens) };
    let late = work.objective_at <= now;
    let longest = work.objective_at.since(now).mul_f64(OBJECTIVE_PART);
    let class = QuotaClass { tier: work.tier, route_tier: work.route_tier };
    Some(QuotaRequest { ticket: work.ticket, charge, rule, class, late, wait_until: now + longest })
}
