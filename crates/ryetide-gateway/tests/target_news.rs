//! What the log tells of a change among the targets.

use std::time::Duration;

use ryetide_core::{target_load::TargetEntry, target_registry::RegistryUpdate, units::Moment};
use ryetide_gateway::{fleet_view::FleetView, target_news::TargetNews};

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

/// One target begins to leave, one goes and one comes that leaves already; the one that stays is not told.
#[test]
fn each_target_that_changed_is_named_once() {
    let before = [entry("a", false), entry("b", false), entry("c", false)];
    let after = [entry("a", true), entry("c", false), entry("d", true)];
    let TargetNews { arrived, leaving, gone } = TargetNews::between(&before, &after);
    let told = [arrived, leaving, gone].map(|names| names.to_string());
    assert_eq!(told, ["d", "a,d", "b"]);
}

/// The same targets again are no news, so that a sweep five times a second writes no line.
#[test]
fn an_unchanged_list_is_no_news() {
    let fleet = FleetView::default();
    let update = RegistryUpdate::whole(vec![entry("a", false)]);
    fleet.registry().borrow_mut().take(Moment::from_millis(1), update);
    let (targets, news) = fleet.refresh_targets(Moment::from_millis(1)).expect("a first list");
    assert_eq!((targets.len(), news.arrived.to_string().as_str()), (1, "a"));
    assert!(fleet.refresh_targets(Moment::from_millis(2)).is_none());
}
