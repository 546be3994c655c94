//! Applies the notices that targets send in their answers, and those that peers report.

use ryetide_core::{
    target_load::TargetEntry,
    target_notice::{LeavingReport, LimitNotice, TargetNotice},
    units::Moment,
};

use crate::{decision_log::LogId, fleet_tasks, gateway_state::Gateway};

/// Applies a notice of `target` in an answer to `request`. A target that leaves gets no more
/// requests from this VM, and a target with a rate limit gets no more than that. `sent_at` is when
/// the request was sent, or `None` if the answer belongs to another request.
pub fn apply(
    gateway: &Gateway,
    request: &LogId<'_>,
    target: &TargetEntry,
    notice: TargetNotice,
    sent_at: Option<Moment>,
) {
    record_limit(gateway, request, target, notice.limit, sent_at);
    record_brittle(gateway, request, target, notice.brittle, sent_at);
    if notice.is_empty() {
        return;
    }
    gateway.metrics().count_notice(notice);
    gateway.log().notice(request, target, notice);
    let key = target.key();
    if let Some(span) = notice.hold_off {
        gateway.hub().with(|scheduler, now| scheduler.back_off(now, key, span));
    }
    let now = gateway.hub().clock().now();
    let registry = gateway.fleet().registry();
    if notice.leaving && registry.borrow_mut().leaving_notices_mut().record(now, key) {
        fleet_tasks::refresh_targets(gateway);
    }
}

/// Records the limit of a notice. An answer without a limit ends the one that was known.
fn record_limit(
    gateway: &Gateway,
    request: &LogId<'_>,
    target: &TargetEntry,
    notice: LimitNotice,
    sent_at: Option<Moment>,
) {
    let key = target.key();
    let is_known = || gateway.hub().peek(|scheduler| scheduler.knows_limit(key));
    // An answer that belongs to another request may be old. Its limit counts as older than any
    // other, and the lack of a limit in it says nothing.
    let oldest = || notice.rate().map(|_| Moment::default());
    let Some(sent_at) = sent_at.or_else(oldest) else { return };
    if notice == LimitNotice::Unnamed && !is_known() {
        return;
    }
    let is_new =
        gateway.hub().with(|scheduler, now| scheduler.record_limit(now, key, notice, sent_at));
    if is_new {
        gateway.log().limit(request, target, notice.rate());
    }
}

/// Records whether an answer says that its target is brittle. An answer that belongs to another
/// request may be old and says nothing.
fn record_brittle(
    gateway: &Gateway,
    request: &LogId<'_>,
    target: &TargetEntry,
    is_brittle: bool,
    sent_at: Option<Moment>,
) {
    let Some(sent_at) = sent_at else { return };
    let is_known = || gateway.hub().peek(|scheduler| scheduler.is_brittle(&target.service));
    if !is_brittle && !is_known() {
        return;
    }
    let service = &target.service;
    let is_new = gateway
        .hub()
        .with(|scheduler, now| scheduler.record_brittle(now, service, is_brittle, sent_at));
    if is_new {
        gateway.log().brittle(request, target, is_brittle);
    }
}

/// Merges a peer's reports of targets that leave.
pub fn merge_leaving_reports(gateway: &Gateway, reports: &[LeavingReport]) {
    let now = gateway.hub().clock().now();
    let mut registry = gateway.fleet().registry().borrow_mut();
    let new =
        reports.iter().filter(|report| registry.leaving_notices_mut().merge(now, **report)).count();
    drop(registry);
    if new > 0 {
        fleet_tasks::refresh_targets(gateway);
    }
}
