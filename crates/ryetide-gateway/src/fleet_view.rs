//! What this gateway believes of the fleet: the routes in force, the targets, the peers.

use std::{cell::RefCell, sync::Arc};

use ryetide_core::{
    ids::ServiceName,
    load_digest::FleetState,
    route::{CallerBounds, EngineProfile, RouteTable},
    target_load::TargetEntry,
    target_registry::TargetRegistry,
    units::{Moment, Revision},
};
use tokio::sync::Notify;

use crate::target_news::TargetNews;

/// The routes in force and the targets, as last told.
#[derive(Default)]
pub struct FleetView {
    routes: RefCell<Option<Arc<RouteTable>>>,
    registry: RefCell<TargetRegistry>,
    current: RefCell<Vec<TargetEntry>>,
    /// Rung when the targets have changed.
    changed: Notify,
}

impl FleetView {
    /// Returns the routes in force, or nothing before the first version has come.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the version in force; 0 when none is.
    pub fn revision(&self) -> Revision {
        self.routes.borrow().as_ref().map_or(Revision(0), |routes| routes.revision())
    }

    /// Returns what callers may take up: by the routes in force, or by default before the first have
    /// come, when callers are only told to come back.
    pub fn bounds(&self) -> CallerBounds {
        self.routes.borrow().as_ref().map(|routes| routes.bounds()).unwrap_or_default()
    }

    /// Returns how far this VM's knowledge of the fleet reaches, but for its watch.
    pub fn news(&self, now: Moment) -> FleetState {
        let registry = self.registry.borrow();
        FleetState {
            revision: self.revision(),
            registry: registry.newest(),
            registry_reached: registry.reached(),
            watch: None,
            leaving_targets: registry.unregistered_leaving(now),
        }
    }

    /// Puts a version in force, unless a higher one is: a reader that lags behind must not bring an
    /// older version back. Returns whether it is in force now.
    pub fn adopt(&self, routes: Arc<RouteTable>) -> bool {
        let newer = routes.revision() > self.revision();
        if newer {
            *self.routes.borrow_mut() = Some(routes);
        }
        newer
    }

    /// Returns the registry of targets, to take news.
    pub fn registry(&self) -> &RefCell<TargetRegistry> {
        &self.registry
    }

    /// Replaces the targets by what the registry says now; returns them when something changed, and what did.
    pub fn refresh_targets(&self, now: Moment) -> Option<(Vec<TargetEntry>, TargetNews)> {
        let found = self.registry.borrow_mut().current(now);
        if *self.current.borrow() == found {
            return None;
        }
        let before = self.current.replace(found.clone());
        self.changed.notify_waiters();
        let news = TargetNews::between(&before, &found);
        Some((found, news))
    }

    /// Returns whether this life of a target is leaving or gone.
    pub fn has_left(&self, target: &TargetEntry) -> bool {
        let current = self.current.borrow();
        let found = current.iter().find(|entry| entry.name == target.name);
        found.is_none_or(|entry| entry.leaving || entry.incarnation != target.incarnation)
    }

    /// Waits until a later life of a target is known.
    ///
    /// Whatever was sent to the earlier life is lost then. Where its VM lost power, nothing comes on the old
    /// connections, not even their end, until a probe goes unanswered two to three seconds later; the new life's
    /// entry says it sooner.
    pub async fn life_ended(&self, target: &TargetEntry) {
        loop {
            let changed = self.changed.notified();
            if self.registry.borrow().is_replaced(target) {
                return;
            }
            changed.await;
        }
    }

    /// Returns how many targets there are.
    pub fn target_count(&self) -> usize {
        self.current.borrow().len()
    }

    /// Returns what a service's targets run, when they are model engines.
    pub fn engine(&self, service: &ServiceName) -> Option<EngineProfile> {
        self.routes.borrow().as_ref()?.service(service)?.engine
    }

    /// Returns whether callers can be served: routes are in force, and the targets were read.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.registry.borrow().is_known()
    }
}
