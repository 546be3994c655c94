//! Changes among the targets, as the log lists them.

use std::time::Duration;

use ryetide_core::{target_load::TargetEntry, target_registry::RegistryUpdate, units::Moment};
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

/// Guards against a log entry for each sweep, five times a second, when no target has changed.
#[test]
fn an_unchanged_list_is_not_reported() {
    let fleet = FleetView::default();
    let update = RegistryUpdate::whole(vec![entry("a", false)]);
    fleet.registry().borrow_mut().take(Moment::from_millis(1), update);
    let refreshed = fleet.refresh_targets(Moment::from_millis(1)).expect("a first list");
    let arrived = refreshed.changes.arrived.to_string();
    assert_eq!((refreshed.before.len(), refreshed.found.len(), arrived.as_str()), (0, 1, "a"));
    assert!(fleet.refresh_targets(Moment::from_millis(2)).is_none());
}
