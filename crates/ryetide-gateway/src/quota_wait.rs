//! What a request asks of its organisation's quota, and for how long it may wait for that.

use std::time::Duration;

use ryetide_core::{
    ids::OrganisationKey,
    quota::QuotaCharge,
    quota_desk::{QuotaAsk, QuotaClass},
    route::KeyHolder,
    units::Moment,
    wait_line::WaitingWork,
};

/// The part of the time until its objective for which a request may wait for its quota; it needs the rest to get a
/// place and its first event.
const OBJECTIVE_PART: f64 = 0.5;
/// The part of the time until its caller leaves for which a request that has missed its objective may wait for its
/// quota. Most callers come back once only: sent away again, it is lost.
const LATE_PART: f64 = 0.3;

/// Returns what a request asks of its organisation's quota; nothing where it has none. `tokens` is the size that its
/// caller tells.
pub fn ask_of(
    now: Moment,
    holder: &KeyHolder,
    tokens: Option<u64>,
    work: &WaitingWork,
) -> Option<QuotaAsk> {
    let rule = holder.quota?;
    let charge =
        QuotaCharge { key: OrganisationKey::of(&holder.name), units: rule.cost_of(tokens) };
    let late = work.objective_at <= now;
    let longest: Duration = match late {
        true => work.leave_at.since(now).mul_f64(LATE_PART),
        false => work.objective_at.since(now).mul_f64(OBJECTIVE_PART),
    };
    let class = QuotaClass { tier: work.tier, route_tier: work.route_tier };
    Some(QuotaAsk { ticket: work.ticket, charge, rule, class, late, wait_until: now + longest })
}
