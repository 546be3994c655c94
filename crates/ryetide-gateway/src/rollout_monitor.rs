//! The background task for rollout orders: periodically evaluates them, logs and sends state
//! changes at once, and passes duties at the operators' rows to the feed.

use std::{rc::Rc, time::Duration};

use ryetide_core::{
    ids::VmName,
    rollout_evaluation::{RateComparison, VerdictReason},
    rollout_order::RolloutDuty,
    service_rollout::{RolloutChange, RolloutReason},
};
use tokio::{sync::watch, time};

use crate::{fleet_tasks, gateway_state::Gateway, peer_link::PeerLink};

/// The interval at which orders are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Evaluates the rollout orders at one VM and reports their progress.
pub struct RolloutMonitor {
    duties: watch::Sender<Vec<RolloutDuty>>,
}

impl RolloutMonitor {
    /// Creates an instance, and the receiver through which the feed learns of duties at the
    /// operators' rows.
    pub fn new() -> (Self, watch::Receiver<Vec<RolloutDuty>>) {
        let (duties, receiver) = watch::channel(Vec::new());
        (Self { duties }, receiver)
    }

    /// Evaluates the orders until the task is cancelled.
    pub async fn run(self, gateway: Rc<Gateway>, link: Rc<PeerLink>) {
        let mut ticks = time::interval(EVALUATION_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if gateway.hub().peek(|scheduler| scheduler.rollouts().rollouts().next().is_some()) {
                self.evaluate(&gateway, &link);
            }
        }
    }

    fn evaluate(&self, gateway: &Gateway, link: &PeerLink) {
        let changes = gateway.hub().with(|scheduler, now| {
            scheduler.advance_rollouts(now);
            scheduler.with_rollouts(now, |manager, _| manager.take_changes())
        });
        let vm = gateway.settings().borrow().name.clone();
        for change in &changes {
            log_change(&vm, change);
        }
        gateway.hub().peek(|scheduler| {
            for rollout in scheduler.rollouts().rollouts() {
                gateway.metrics().set_rollout(rollout);
            }
        });
        if !changes.is_empty() {
            // Peers must learn of the change at once: a version that failed its trial must get no
            // more requests at any VM, and a VM that waits to write the operators' row need not do
            // so.
            fleet_tasks::send_cell_digest(gateway, link, false);
            fleet_tasks::send_brief_digest(gateway, link, false);
        }
        let now = gateway.hub().clock().now();
        let found = gateway.hub().peek(|scheduler| scheduler.rollout_duties(now));
        self.duties.send_if_modified(|duties| {
            let changed = *duties != found;
            *duties = found;
            changed
        });
    }
}

fn log_change(vm: &VmName, change: &RolloutChange) {
    let RolloutChange { order, from, to, reason, placed, exposed, old, new } = change;
    let (service, version, number) = (&order.service, &order.to, order.number);
    let cause: &'static str = reason.into();
    let compared = match reason {
        RolloutReason::Evidence(VerdictReason::Failures(rate)) => Some(("failures", *rate)),
        RolloutReason::Evidence(VerdictReason::Slowness(rate)) => Some(("slowness", *rate)),
        _ => None,
    };
    let (by, RateComparison { expected, found, answers }) =
        compared.unwrap_or(("-", RateComparison { expected: 0.0, found: 0.0, answers: 0 }));
    tracing::info!(
        event = "rollout-step",
        %vm,
        %service,
        to_version = %version,
        %number,
        from = ?from,
        to = ?to,
        reason = cause,
        by,
        expected,
        found,
        answers,
        placed,
        exposed,
        old_answers = old.answers,
        old_failed = old.failed,
        old_timed = old.timed,
        old_slow = old.slow,
        new_answers = new.answers,
        new_failed = new.failed,
        new_timed = new.timed,
        new_slow = new.slow,
    );
}
