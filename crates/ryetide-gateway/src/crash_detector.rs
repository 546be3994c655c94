//! Detects crashes of targets, and records which requests ran there at that time.
//!
//! A connection breaks because it was reset on its way, because the target sent an invalid answer,
//! because the target's process has ended, or because this VM has lost its path to the target. In
//! the last two cases the address refuses connections, and a peer's attempt shows which it was. All
//! runs that break at one target share the same attempts.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use ryetide_core::{
    crash_ledger::CrashedRun, ids::TargetKey, request_fingerprint::RequestFingerprint,
    target_load::TargetEntry,
};
use tokio::task;

use crate::{gateway_state::Gateway, target_connector::TargetSight};

/// A run whose connection broke.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The caller's id of the request.
    pub request: String,
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// How long the request had been running at the target.
    pub ran: Duration,
}

/// Detects which targets have crashed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// The broken runs at each target that is being probed.
    probed: RefCell<HashMap<TargetKey, Vec<BrokenRun>>>,
}

impl CrashDetector {
    /// Checks whether `target`, at which `run` broke, has crashed. A target that announced that it
    /// leaves has not crashed.
    pub fn check(gateway: &Rc<Gateway>, target: &TargetEntry, run: BrokenRun) {
        if gateway.fleet().has_left(target) {
            return;
        }
        let mut probed = gateway.crash_detector().probed.borrow_mut();
        let runs = probed.entry(target.key()).or_default();
        let request = run.request.clone();
        runs.push(run);
        if runs.len() == 1 {
            task::spawn_local(probe(Rc::clone(gateway), target.clone(), request));
        }
    }
}

async fn probe(gateway: Rc<Gateway>, target: TargetEntry, request: String) {
    let sight = gateway.connector().look_at(&gateway, &request, &target).await;
    let runs =
        gateway.crash_detector().probed.borrow_mut().remove(&target.key()).unwrap_or_default();
    if sight != TargetSight::Refuses {
        tracing::debug!(event = "target-not-crashed", target = %target.name, ?sight, runs = runs.len());
        return;
    }
    gateway.log().crashed(&target, &runs, gateway.reaching_peers(target.key()));
    gateway.metrics().count_crash();
    let crashed: Vec<CrashedRun> =
        runs.iter().map(|run| CrashedRun { fingerprint: run.fingerprint, ran: run.ran }).collect();
    gateway.hub().with(|scheduler, now| scheduler.record_crash(now, target.key(), &crashed));
}
