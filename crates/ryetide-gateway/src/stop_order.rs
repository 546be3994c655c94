//! The order to stop, and what it means for the requests of callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use ryetide_core::{
    route::RouteRule, run_durations::RunDurations, stop_window::StopWindow, units::Moment,
};
use tokio::{sync::Notify, time};

use crate::gateway_state::Gateway;

/// The most routes whose durations are remembered. Routes come and go for as long as a VM runs; beyond
/// this number all are forgotten, and learnt again from a few runs.
const MAX_ROUTES: usize = 1_024;

/// The order to stop, once it was given, and the durations by which requests are refused then.
#[derive(Debug, Default)]
pub struct StopOrder {
    window: Cell<Option<StopWindow>>,
    given: Notify,
    /// By the names of routes.
    durations: RefCell<HashMap<String, RunDurations>>,
}

impl StopOrder {
    /// Gives the order.
    pub fn give(&self, window: StopWindow) {
        self.window.set(Some(window));
        self.given.notify_waiters();
    }

    /// Returns whether the order was given.
    pub fn is_given(&self) -> bool {
        self.window.get().is_some()
    }

    /// Records a run of a route that has brought a whole answer.
    pub fn record_run(&self, route: &str, duration: Duration) {
        let mut all = self.durations.borrow_mut();
        if let Some(durations) = all.get_mut(route) {
            return durations.record(duration);
        }
        if all.len() >= MAX_ROUTES {
            all.clear();
        }
        all.entry(route.to_owned()).or_default().record(duration);
    }

    /// Waits until the order is given.
    async fn window(&self) -> StopWindow {
        loop {
            let given = self.given.notified();
            match self.window.get() {
                Some(window) => return window,
                None => given.await,
            }
        }
    }
}

/// When a request may not be sent to a target any more, since this VM stops.
pub struct StopLimit {
    gateway: Rc<Gateway>,
    route: Arc<RouteRule>,
    deadline: Moment,
}

impl StopLimit {
    /// Creates the limit of a request of `route`.
    pub fn new(gateway: &Rc<Gateway>, route: &Arc<RouteRule>, deadline: Moment) -> Self {
        Self { gateway: Rc::clone(gateway), route: Arc::clone(route), deadline }
    }

    /// Returns whether a run that begins now could not be expected to end in time.
    pub fn is_reached(&self) -> bool {
        let window = self.gateway.stop_order().window.get();
        let now = self.gateway.hub().clock().now();
        window.is_some_and(|window| now >= self.latest_start(window))
    }

    /// Waits until a run that begins then could not be expected to end in time.
    pub async fn reached(&self) {
        let window = self.gateway.stop_order().window().await;
        let clock = self.gateway.hub().clock();
        time::sleep_until(clock.instant(self.latest_start(window))).await;
    }

    /// Waits until runs that have sent nothing to their callers are answered.
    pub async fn answers_due(&self) {
        let window = self.gateway.stop_order().window().await;
        time::sleep_until(self.gateway.hub().clock().instant(window.answers_at())).await;
    }

    fn latest_start(&self, window: StopWindow) -> Moment {
        let durations = self.gateway.stop_order().durations.borrow();
        let unknown = RunDurations::default();
        let durations = durations.get(&self.route.name).unwrap_or(&unknown);
        window.latest_start(durations, self.deadline)
    }
}
