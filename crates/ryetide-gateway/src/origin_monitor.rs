//! The background task that stores what began the streams of this VM, where that could not be told
//! without it after the loss of all VMs.
//!
//! While the targets of a service run several versions, or it is not known for long enough that they
//! don't, a stream that nobody knows is taken up by none. Each VM then writes the streams that it has
//! begun, all of them into one row, at intervals that bound the writes of the whole fleet.

use std::{rc::Rc, time::Duration};

use ryetide_core::stream_origin::OriginRecord;
use tokio::{sync::watch, time};

use crate::{gateway_state::Gateway, version_monitor};

/// The shortest interval between two writes of a VM. A stream that is younger when its VM is killed is
/// not stored.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The most writes of all VMs together in a second: a tenth of what the smallest stores take.
const FLEET_WRITES_PER_SECOND: u32 = 40;

/// Stores the origins of streams.
pub struct OriginMonitor {
    stored: watch::Sender<Vec<OriginRecord>>,
}

impl OriginMonitor {
    /// Creates an instance, and the receiver through which the feed learns what to store.
    pub fn new() -> (Self, watch::Receiver<Vec<OriginRecord>>) {
        let (stored, receiver) = watch::channel(Vec::new());
        (Self { stored }, receiver)
    }

    /// Checks the streams until the task is cancelled.
    pub async fn run(self, gateway: Rc<Gateway>) {
        loop {
            let vms = u32::try_from(gateway.peers().borrow().len() + 1).unwrap_or(u32::MAX);
            let share = Duration::from_secs(1) * vms / FLEET_WRITES_PER_SECOND;
            time::sleep(MIN_INTERVAL.max(share)).await;
            let window = version_monitor::stream_window(&gateway);
            let records = gateway.origins().at_risk(&gateway, window);
            self.stored.send_if_modified(|before| {
                let is_known = |record: &OriginRecord| before.iter().any(|it| it.key == record.key);
                let has_new = !records.iter().all(is_known);
                *before = records;
                has_new
            });
        }
    }
}
