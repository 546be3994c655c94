//! Measures how late the gateway's event loop is.
//!
//! All tasks share one thread, so whatever the gateway does waits for a turn of all others. A loop
//! that is late shows that this VM is slow; its targets and peers only appear to be.

use std::time::Duration;

use tokio::{
    task,
    time::{Instant, Interval},
};

use crate::gateway_state::Gateway;

/// The delay above which the loop counts as late: a processor share that is granted by the tenth of
/// a second delays a VM that keeps to it by as much.
const LATE: Duration = Duration::from_millis(100);
/// The shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the delay at the ticks of an interval.
#[derive(Debug, Default)]
pub struct LoopMonitor {
    /// The longest delay since the last log line.
    longest: Duration,
    logged_at: Option<Instant>,
}

impl LoopMonitor {
    /// Waits for the next tick, and measures how much later a task does that has to wait for all
    /// others once.
    pub async fn tick(&mut self, ticks: &mut Interval, gateway: &Gateway) {
        let due = ticks.tick().await;
        task::yield_now().await;
        let now = Instant::now();
        let delay = now.duration_since(due);
        gateway.metrics().record_loop_delay(delay);
        self.longest = self.longest.max(delay);
        if self.longest >= LATE && self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.log(gateway);
            self.logged_at = Some(now);
        }
    }

    fn log(&mut self, gateway: &Gateway) {
        let (waiting, running) = gateway.hub().peek(|it| (it.waiting(), it.running()));
        tracing::info!(
            event = "loop-late",
            vm = %gateway.settings().borrow().name,
            delay_ms = std::mem::take(&mut self.longest).as_millis(),
            connections = gateway.connection_count(),
            waiting,
            running,
        );
    }
}
