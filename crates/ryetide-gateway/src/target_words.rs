//! What is done about what targets say of themselves, here and at peers.

use ryetide_core::{
    target_load::TargetEntry,
    target_notice::{LeavingReport, LimitNotice, TargetNotice},
    units::Moment,
};

use crate::{decision_log::LogId, fleet_duties, gateway_state::Gateway};

/// Does what an answer to `request` says of its target. One that leaves gets nothing more from here at once, and one that
/// names a limit no more than that. `asked` is when the request was sent; nothing where the answer is another request's.
pub fn heed(
    gateway: &Gateway,
    request: &LogId<'_>,
    target: &TargetEntry,
    word: TargetNotice,
    asked: Option<Moment>,
) {
    record_limit(gateway, request, target, word.limit, asked);
    if word.is_empty() {
        return;
    }
    gateway.metrics().count_word(word);
    gateway.log().word(request, target, word);
    let key = target.key();
    if let Some(span) = word.hold_off {
        gateway.hub().with(|scheduler, now| scheduler.back_off(now, key, span));
    }
    let now = gateway.hub().clock().now();
    let registry = gateway.fleet().registry();
    if word.leaving && registry.borrow_mut().leaving_notices_mut().record(now, key) {
        fleet_duties::refresh_targets(gateway);
    }
}

/// An answer that names no limit ends the one that was known.
fn record_limit(
    gateway: &Gateway,
    request: &LogId<'_>,
    target: &TargetEntry,
    word: LimitNotice,
    asked: Option<Moment>,
) {
    let key = target.key();
    let is_known = || gateway.hub().peek(|scheduler| scheduler.knows_limit(key));
    // An answer that is another request's may be an old one.
    let Some(asked) = asked.or_else(|| word.rate().map(|_| Moment::default())) else { return };
    if word == LimitNotice::Unnamed && !is_known() {
        return;
    }
    let is_new = gateway.hub().with(|scheduler, now| scheduler.record_limit(now, key, word, asked));
    if is_new {
        gateway.log().limit(request, target, word.rate());
    }
}

/// Takes what a peer tells of targets that leave.
pub fn take_marks(gateway: &Gateway, marks: &[LeavingReport]) {
    let now = gateway.hub().clock().now();
    let mut registry = gateway.fleet().registry().borrow_mut();
    let new = marks.iter().filter(|mark| registry.leaving_notices_mut().merge(now, **mark)).count();
    drop(registry);
    if new > 0 {
        fleet_duties::refresh_targets(gateway);
    }
}
