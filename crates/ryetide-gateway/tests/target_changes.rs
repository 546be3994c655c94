//! Changes among the targets, as the log lists them.

use std::{sync::Arc, time::Duration};

use ryetide_core::{
    route::{RouteTable, RoutedService},
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
    units::{Moment, Revision},
};
use ryetide_gateway::{fleet_view::FleetView, target_changes::TargetChanges};

fn entry(name: &str, leaving: bool) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "desk".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 6,
        leaving,
        warmup: Duration::ZERO,
    }
}

/// Of four targets one starts to leave, one goes, and one arrives that is already leaving; the
/// unchanged one is not listed.
#[test]
fn each_target_that_changed_is_named_once() {
    let before = [entry("a", false), entry("b", false), entry("c", false)];
    let after = [entry("a", true), entry("c", false), entry("d", true)];
    let TargetChanges { arrived, leaving, gone } = TargetChanges::between(&before, &after);
    let listed = [arrived, leaving, gone].map(|names| names.to_string());
    assert_eq!(listed, ["d", "a,d", "b"]);
}

fn service(name: &str) -> RoutedService {
    RoutedService {
        name: name.into(),
        connection_limit: 100,
        engine: None,
        health_path: Default::default(),
    }
}

/// Guards against targets that get nothing, because no configuration names their service, without a sign
/// of it in the log, and against such a sign for each sweep.
#[test]
fn entries_that_count_for_nothing_are_reported_once() {
    let fleet = FleetView::default();
    let update = RegistryUpdate::whole(vec![entry("a", false)]);
    fleet.registry().borrow_mut().take(Moment::from_millis(1), update);
    assert!(fleet.refresh_targets(Moment::from_millis(1)).is_none());
    assert_eq!(fleet.take_passed_over(), Some(vec!["a".into()]));
    assert_eq!(fleet.take_passed_over(), None);
    fleet.adopt(Arc::new(RouteTable::builder(Revision(1)).service(service("desk")).build()));
    assert!(fleet.refresh_targets(Moment::from_millis(2)).is_some());
    assert_eq!(fleet.take_passed_over(), Some(Vec::new()));
}

/// Guards against a log entry for each sweep, five times a second, when no target has changed.
#[test]
fn an_unchanged_list_is_not_reported() {
    let fleet = FleetView::default();
    fleet.adopt(Arc::new(RouteTable::builder(Revision(1)).service(service("desk")).build()));
    let update = RegistryUpdate::whole(vec![entry("a", false)]);
    fleet.registry().borrow_mut().take(Moment::from_millis(1), update);
    let refreshed = fleet.refresh_targets(Moment::from_millis(1)).expect("a first list");
    let arrived = refreshed.changes.arrived.to_string();
    assert_eq!((refreshed.before.len(), refreshed.found.len(), arrived.as_str()), (0, 1, "a"));
    assert!(fleet.refresh_targets(Moment::from_millis(2)).is_none());
}
