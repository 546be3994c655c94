//! Finds out why runs broke or fell silent: their target has crashed or failed them, or this VM has
//! lost its path to it.
//!
//! A connection breaks because it was reset on its way, because the target sent an invalid answer,
//! because the target's process has ended, or because this VM has lost its path to the target. In
//! the last two cases the address refuses connections, and a peer's attempt shows which it was. All
//! runs that break at one target share the same attempts.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use ryetide_core::{
    crash_ledger::CrashedRun, crash_suspect::RequestFeatures, decision::FaultCause, ids::TargetKey,
    rollout_evidence::RunSample, target_load::TargetEntry,
};
use tokio::task;

use crate::{gateway_state::Gateway, target_connector::TargetReachability};

/// A run whose connection broke or fell silent.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The caller's id of the request.
    pub request: String,
    /// What may make the request crash targets.
    pub features: RequestFeatures,
    /// How long the request had been running at the target.
    pub ran: Duration,
    /// Whether it may have broken because the target has crashed.
    pub may_be_crash: bool,
    /// The run as evidence about the target's version, if it is one.
    pub sample: Option<RunSample>,
}

/// Finds out why runs had no answer.
#[derive(Debug, Default)]
pub struct FaultDetector {
    /// The broken runs at each target that is being probed.
    probed: RefCell<HashMap<TargetKey, Vec<BrokenRun>>>,
}

impl FaultDetector {
    /// Finds out why `run` had no answer from `target`. A target that announced that it leaves has
    /// not crashed.
    pub fn check(gateway: &Rc<Gateway>, target: &TargetEntry, run: BrokenRun) {
        if gateway.fleet().has_left(target) {
            settle(gateway, target, FaultCause::Target, &[run]);
            return;
        }
        let mut probed = gateway.fault_detector().probed.borrow_mut();
        let runs = probed.entry(target.key()).or_default();
        let request = run.request.clone();
        runs.push(run);
        if runs.len() == 1 {
            task::spawn_local(probe(Rc::clone(gateway), target.clone(), request));
        }
    }
}

async fn probe(gateway: Rc<Gateway>, target: TargetEntry, request: String) {
    let reachability = gateway.connector().examine(&gateway, &request, &target).await;
    let runs =
        gateway.fault_detector().probed.borrow_mut().remove(&target.key()).unwrap_or_default();
    let cause = match reachability {
        TargetReachability::ReachedByPeer => FaultCause::Path,
        TargetReachability::Unknown if gateway.connector().is_cut_off() => FaultCause::Path,
        TargetReachability::Reached | TargetReachability::Refuses | TargetReachability::Unknown => {
            FaultCause::Target
        }
    };
    tracing::debug!(event = "fault-settled", target = %target.name, ?reachability, runs = runs.len());
    settle(&gateway, &target, cause, &runs);
    if reachability == TargetReachability::Refuses {
        record_crash(&gateway, &target, runs);
    }
}

/// Records the runs as failures of the target, unless this VM has lost its path.
fn settle(gateway: &Gateway, target: &TargetEntry, cause: FaultCause, runs: &[BrokenRun]) {
    gateway.hub().with(|scheduler, now| {
        scheduler.settle_faults(now, target.key(), cause);
        if cause == FaultCause::Target {
            let samples = runs.iter().filter_map(|run| run.sample);
            samples.for_each(|sample| scheduler.record_run(now, sample));
        }
    });
}

fn record_crash(gateway: &Gateway, target: &TargetEntry, mut runs: Vec<BrokenRun>) {
    runs.retain(|run| run.may_be_crash);
    if runs.is_empty() {
        return;
    }
    gateway.log().crashed(target, &runs, gateway.reaching_peers(target.key()));
    gateway.metrics().count_crash();
    let crashed = runs.into_iter().map(|run| CrashedRun { features: run.features, ran: run.ran });
    let crashed: Vec<CrashedRun> = crashed.collect();
    gateway.hub().with(|scheduler, now| scheduler.record_crash(now, target.key(), &crashed));
}
