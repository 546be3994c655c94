//! The background task that stores the versions of each service's targets, so that this survives a
//! restart of all VMs.
//!
//! After such a restart nobody knows what began the streams that callers take up, and a version that
//! went shortly before it is seen no more. A few VMs store the versions for each service, when one
//! appears and when the last stream of one that has gone must have ended.

use std::{rc::Rc, time::Duration};

use ryetide_core::{
    stream_origin::{self, StreamKey},
    version_history::ServiceVersions,
};
use tokio::{sync::watch, time};

use crate::{gateway_state::Gateway, origin_lookup::ORIGIN_SLACK, ports::PeerEntry};

/// The interval at which the versions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Stores the versions of services.
pub struct VersionMonitor {
    stored: watch::Sender<Vec<ServiceVersions>>,
}

impl VersionMonitor {
    /// Creates an instance, and the receiver through which the feed learns what to store.
    pub fn new() -> (Self, watch::Receiver<Vec<ServiceVersions>>) {
        let (stored, receiver) = watch::channel(Vec::new());
        (Self { stored }, receiver)
    }

    /// Checks the versions until the task is cancelled.
    pub async fn run(self, gateway: Rc<Gateway>) {
        let mut ticks = time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // Until a version is stored, a kill of all VMs would let it be forgotten.
                () = gateway.fleet().targets_changed() => {}
            }
            let listing = gateway.origins().listing(&gateway, stream_window(&gateway));
            let Some(mut listing) = listing else { continue };
            listing.retain(|it| is_writer(&gateway, it));
            self.stored.send_if_modified(|before| {
                let is_changed = *before != listing;
                *before = listing;
                is_changed
            });
        }
    }
}

/// Adds the versions that VMs have stored, including those that an earlier incarnation of this VM stored.
pub fn restore_versions(gateway: &Gateway, listed: &[PeerEntry]) {
    let stored = listed.iter().flat_map(|peer| &peer.versions);
    gateway.origins().restore(gateway, stored, stream_window(gateway));
}

/// Returns the time for which the streams of any route may last.
pub fn stream_window(gateway: &Gateway) -> Duration {
    let routes = gateway.fleet().routes();
    routes.map_or(Duration::ZERO, |routes| routes.longest_timeout()) + ORIGIN_SLACK
}

/// Returns whether this VM is among those that store the versions of a service.
fn is_writer(gateway: &Gateway, versions: &ServiceVersions) -> bool {
    let key = StreamKey(u128::from(versions.service.0));
    let peers = gateway.peers().borrow();
    let settings = gateway.settings().borrow();
    let own = (&settings.name, &settings.data_centre);
    let vms = peers.values().map(|peer| (&peer.name, &peer.data_centre)).chain([own]);
    let order = stream_origin::keeper_order(key, vms);
    order.into_iter().take(stream_origin::KEEPERS).any(|vm| *vm == settings.name)
}
