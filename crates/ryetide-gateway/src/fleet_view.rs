//! This VM's current routes and targets.

use std::{
    cell::{Ref, RefCell},
    sync::Arc,
};

use ryetide_core::{
    health_path::HealthPath,
    ids::{ServiceName, TargetKey, TargetName},
    load_digest::FleetState,
    route::{EngineProfile, RequestLimits, RouteTable},
    target_load::TargetEntry,
    target_registry::TargetRegistry,
    units::{Moment, Revision},
};
use tokio::sync::Notify;

use crate::target_changes::TargetChanges;

/// Targets that have changed.
pub struct RefreshedTargets {
    /// The targets until now.
    pub before: Vec<TargetEntry>,
    /// The targets from now on.
    pub found: Vec<TargetEntry>,
    /// The differences.
    pub changes: TargetChanges,
}

/// What entries say of the address of a target, beside its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressClaim {
    /// Nothing.
    Unclaimed,
    /// Another target is said to listen there.
    Others,
    /// Another incarnation of the target is said to listen there.
    Restarted,
}

/// The routes in force and the targets, as last received from the feed.
pub struct FleetView {
    routes: RefCell<Option<Arc<RouteTable>>>,
    registry: RefCell<TargetRegistry>,
    current: RefCell<Vec<TargetEntry>>,
    /// The entries that count for nothing, as last reported.
    passed_over: RefCell<Vec<TargetName>>,
    /// Notified when the targets have changed.
    changed: Notify,
}

impl Default for FleetView {
    fn default() -> Self {
        Self {
            routes: RefCell::default(),
            registry: RefCell::new(TargetRegistry::without_services()),
            current: RefCell::default(),
            passed_over: RefCell::default(),
            changed: Notify::new(),
        }
    }
}

impl FleetView {
    /// Returns the routes in force, or `None` before the first version has arrived.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the version in force; 0 when none is.
    pub fn revision(&self) -> Revision {
        self.routes.borrow().as_ref().map_or(Revision(0), |routes| routes.revision())
    }

    /// Returns the limits on callers' resource use from the routes in force, or the defaults before
    /// the first routes have arrived, when every request is refused with a retry delay.
    pub fn request_limits(&self) -> RequestLimits {
        self.routes.borrow().as_ref().map(|routes| routes.request_limits()).unwrap_or_default()
    }

    /// Returns how current this VM's routes and targets are; the field `watch` is left empty.
    pub fn fleet_state(&self, now: Moment) -> FleetState {
        let registry = self.registry.borrow();
        FleetState {
            revision: self.revision(),
            registry: registry.newest(),
            registry_reached: registry.reached(),
            watch: None,
            leaving_targets: registry.unregistered_leaving(now),
        }
    }

    /// Puts a version in force if it is newer than the present one, and returns whether it was. The
    /// targets must be refreshed then, since only those of its services count.
    ///
    /// A source that lags behind must not bring back an older version.
    pub fn adopt(&self, routes: Arc<RouteTable>) -> bool {
        let newer = routes.revision() > self.revision();
        if newer {
            self.registry.borrow_mut().set_services(routes.service_names());
            *self.routes.borrow_mut() = Some(routes);
        }
        newer
    }

    /// Returns the target registry, for applying updates to it.
    pub fn registry(&self) -> &RefCell<TargetRegistry> {
        &self.registry
    }

    /// Returns the targets.
    pub fn current(&self) -> Ref<'_, Vec<TargetEntry>> {
        self.current.borrow()
    }

    /// Replaces the targets by those in the registry now. Returns what changed, if anything did.
    pub fn refresh_targets(&self, now: Moment) -> Option<RefreshedTargets> {
        let found = self.registry.borrow_mut().current(now);
        if *self.current.borrow() == found {
            return None;
        }
        let before = self.current.replace(found.clone());
        self.changed.notify_waiters();
        let changes = TargetChanges::between(&before, &found);
        Some(RefreshedTargets { before, found, changes })
    }

    /// Returns the entries of services that are not in force, if they have changed since the last
    /// call.
    pub fn take_passed_over(&self) -> Option<Vec<TargetName>> {
        let found = self.registry.borrow().passed_over();
        let before = self.passed_over.replace(found.clone());
        (before != found).then_some(found)
    }

    /// Returns whether this incarnation of a target is leaving or gone.
    pub fn has_left(&self, target: &TargetEntry) -> bool {
        let current = self.current.borrow();
        let found = current.iter().find(|entry| entry.name == target.name);
        found.is_none_or(|entry| entry.leaving || entry.incarnation != target.incarnation)
    }

    /// Returns what other entries say of the address of a target.
    pub fn address_claim(&self, target: &TargetEntry) -> AddressClaim {
        let current = self.current.borrow();
        let mut claim = AddressClaim::Unclaimed;
        for entry in current.iter().filter(|entry| entry.address == target.address) {
            if entry.name != target.name {
                claim = AddressClaim::Others;
            } else if entry.incarnation != target.incarnation {
                return AddressClaim::Restarted;
            }
        }
        claim
    }

    /// Waits until a later incarnation of a target is known, at another address.
    ///
    /// Whatever was sent to the earlier incarnation is lost then. If its VM lost power, the old
    /// connections are not closed, and only a probe that goes unanswered shows the failure, some
    /// seconds later; the entry of the new incarnation shows it sooner.
    ///
    /// An entry with the same address ends nothing: it may be read long after the start of the process
    /// that it tells of, and what was sent there meanwhile runs in that process. A VM that has started
    /// again resets the connections of its earlier processes at the next probe.
    pub async fn moved_away(&self, target: &TargetEntry) {
        loop {
            let changed = self.changed.notified();
            if self.registry.borrow().is_replaced_elsewhere(target) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the targets have changed.
    pub async fn targets_changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the target with this key.
    pub fn target(&self, key: TargetKey) -> Option<TargetEntry> {
        self.current.borrow().iter().find(|entry| entry.key() == key).cloned()
    }

    /// Returns how many targets there are.
    pub fn target_count(&self) -> usize {
        self.current.borrow().len()
    }

    /// Returns the health path of a service.
    pub fn health_path(&self, service: &ServiceName) -> HealthPath {
        let routes = self.routes.borrow();
        let found = routes.as_ref().and_then(|routes| routes.service(service));
        found.map(|service| service.health_path.clone()).unwrap_or_default()
    }

    /// Returns the engine profile of a service whose targets are model engines.
    pub fn engine(&self, service: &ServiceName) -> Option<EngineProfile> {
        self.routes.borrow().as_ref()?.service(service)?.engine
    }

    /// Returns whether callers can be served: routes are in force and the targets have been read.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.registry.borrow().is_known()
    }
}
