//! Logs and counts shortages of slots and the slots granted to VMs of other cells.

use ryetide_core::scheduler_overflow::OverflowEvent;

use crate::gateway_state::Gateway;

/// Logs and counts what has changed since the last call, and sets the gauge of the shortage.
pub fn report(gateway: &Gateway) {
    let now = gateway.hub().clock().now();
    let (events, shortage, borrowing) = gateway.hub().peek_mut(|scheduler| {
        (scheduler.take_overflow_events(), scheduler.shortage(), scheduler.borrowing(now))
    });
    gateway.metrics().set_shortage(shortage);
    gateway.metrics().set_borrowed_targets(borrowing.targets);
    for event in events {
        match event {
            OverflowEvent::Shortage { service, wanted } => {
                gateway.log().shortage(&service, wanted);
            }
            OverflowEvent::Granted { target, grant } => {
                gateway.metrics().count_granted(grant.slots);
                gateway.log().slots_granted(&target, &grant);
            }
        }
    }
}
