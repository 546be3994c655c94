//! A feed of routes and targets from a file, and of peers from the settings, for a gateway without
//! a platform.

use std::{path::PathBuf, sync::Arc, time::Duration};

use ryetide::error::StepError;
use ryetide_core::{
    rollout_order::{RolloutDuty, RolloutReport, RolloutStatus, RolloutTask},
    route_text::RouteText,
    target_registry::RegistryUpdate,
};
use tokio::time;

use crate::ports::{FeedChannels, FleetFeed, FleetUpdate, LocalFuture, PeerEntry};

/// How often the file is read; a change takes effect within this time.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads a routes text at regular intervals.
pub struct FileFeed {
    path: PathBuf,
    peers: Vec<PeerEntry>,
}

impl FileFeed {
    /// Creates a feed of the routes text at `path` and the listed `peers`.
    pub fn new(path: PathBuf, peers: Vec<PeerEntry>) -> Self {
        Self { path, peers }
    }

    fn read(&self) -> Result<String, StepError> {
        std::fs::read_to_string(&self.path)
            .map_err(|error| StepError::new("read routes", error).with_peer(self.path.display()))
    }

    /// Sends the content of a changed text; an invalid text changes nothing. Returns whether the
    /// gateway still runs.
    async fn send(&self, text: &str, channels: &FeedChannels) -> bool {
        let RouteText { table, targets, orders } = match RouteText::parse(text) {
            Ok(text) => text,
            Err(faults) => {
                let path = self.path.display();
                tracing::error!(event = "routes-unreadable", %path, reason = %faults);
                return true;
            }
        };
        let targets = FleetUpdate::Targets(RegistryUpdate::whole(targets), 0);
        let orders = FleetUpdate::Orders(orders);
        for update in [orders, FleetUpdate::Routes(Arc::new(table)), targets] {
            // The gateway is ending.
            if channels.updates.send(update).await.is_err() {
                return false;
            }
        }
        true
    }
}

impl FleetFeed for FileFeed {
    fn run(self: Box<Self>, _own: PeerEntry, channels: FeedChannels) -> LocalFuture<'static, ()> {
        let answering = answer_duties(channels.clone());
        let reading = async move {
            // The gateway may be ending already.
            if channels.updates.send(FleetUpdate::Peers(self.peers.clone())).await.is_err() {
                return;
            }
            let mut known = None;
            let mut ticks = time::interval(READ_INTERVAL);
            loop {
                ticks.tick().await;
                match self.read() {
                    Ok(text) if known.as_ref() == Some(&text) => {}
                    Ok(text) => {
                        if !self.send(&text, &channels).await {
                            return;
                        }
                        known = Some(text);
                    }
                    Err(error) => {
                        tracing::warn!(event = "routes-kept", step = error.step(), reason = %error);
                        continue;
                    }
                }
                // The text lists all targets.
                if channels.updates.send(FleetUpdate::TargetsReached(0)).await.is_err() {
                    return;
                }
            }
        };
        Box::pin(async move {
            tokio::join!(reading, answering);
        })
    }
}

/// Answers the rollout duties that a platform would carry out on its operators' rows. There are
/// none here: a new order counts as just started, and the decision of the VMs is final. Operators
/// see it in logs and metrics.
async fn answer_duties(mut channels: FeedChannels) {
    while channels.duties.changed().await.is_ok() {
        let duties = channels.duties.borrow_and_update().clone();
        for RolloutDuty { order, task, baseline } in duties {
            let (status, passed) = match task {
                RolloutTask::Open | RolloutTask::RecordBaseline => (RolloutStatus::Running, false),
                RolloutTask::Remember => (RolloutStatus::Running, true),
                RolloutTask::End(status) => (status, false),
            };
            let (service, number) = (order.service, order.number);
            let report = RolloutReport { service, number, status, age: None, passed, baseline };
            // The gateway is ending.
            if channels.updates.send(FleetUpdate::Rollout(report)).await.is_err() {
                return;
            }
        }
    }
}
