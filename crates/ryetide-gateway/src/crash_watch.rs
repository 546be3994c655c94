//! Whether a target that broke a run off has crashed, and what ran there then.
//!
//! A connection breaks for many reasons: it was reset on its way, the target sent what is no answer, or the target's
//! process has ended. In the last case its address refuses connections from that moment on, until the next process
//! listens there, so one connection tells. All runs that broke with one target wait for the same one.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration};

use ryetide_core::{
    crash_ledger::CrashedRun, ids::TargetKey, request_fingerprint::RequestFingerprint,
    target_load::TargetEntry,
};
use tokio::task;

use crate::{
    gateway_state::Gateway,
    target_pool::{self, ConnectFault},
};

/// A run that broke off.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The id that its caller gave the request.
    pub request: String,
    /// What ran.
    pub fingerprint: RequestFingerprint,
    /// For how long it had been at the target.
    pub ran: Duration,
}

/// Finds out which targets have crashed.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// The runs that broke off at targets which are being asked.
    asked: RefCell<HashMap<TargetKey, Vec<BrokenRun>>>,
}

impl CrashWatch {
    /// Finds out whether `target`, which has broken `run` off, has crashed. One that was leaving has ended as it said
    /// it would.
    pub fn note(gateway: &Rc<Gateway>, target: &TargetEntry, run: BrokenRun) {
        if gateway.fleet().has_left(target) {
            return;
        }
        let mut asked = gateway.crashes().asked.borrow_mut();
        let runs = asked.entry(target.key()).or_default();
        runs.push(run);
        if runs.len() == 1 {
            task::spawn_local(ask(Rc::clone(gateway), target.clone()));
        }
    }
}

async fn ask(gateway: Rc<Gateway>, target: TargetEntry) {
    let outcome = target_pool::open_stream(target.address).await;
    let runs = gateway.crashes().asked.borrow_mut().remove(&target.key()).unwrap_or_default();
    let refused = io::ErrorKind::ConnectionRefused;
    match outcome {
        Err(ConnectFault::Open(error)) if error.kind() == refused => {
            gateway.log().crashed(&target, &runs);
            gateway.metrics().count_crash();
            let crashed =
                runs.iter().map(|run| CrashedRun { fingerprint: run.fingerprint, ran: run.ran });
            let crashed: Vec<CrashedRun> = crashed.collect();
            gateway
                .hub()
                .with(|scheduler, now| scheduler.record_crash(now, target.key(), &crashed));
        }
        // It lives, or nobody can say.
        Ok(_) | Err(_) => {
            tracing::debug!(event = "target-not-crashed", target = %target.name, runs = runs.len());
        }
    }
}
