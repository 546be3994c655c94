//! The targets that exist during outages and restores of their registry.

use std::{collections::BTreeSet, time::Duration};

use ryetide_core::{
    ids::{ServiceName, TargetIncarnation},
    target_load::TargetEntry,
    target_registry::{RegistryUpdate, TargetRegistry},
    units::Moment,
};

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "desk".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 6,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn names(registry: &mut TargetRegistry, millis: u64) -> Vec<String> {
    let current = registry.current(Moment::from_millis(millis));
    current.into_iter().map(|target| target.name.to_string()).collect()
}

fn gone(name: &str) -> RegistryUpdate {
    RegistryUpdate::Changed { entries: Vec::new(), gone: vec![name.into()], unreadable: Vec::new() }
}

fn with_two() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.take(Moment::from_millis(1), RegistryUpdate::whole(vec![entry("a"), entry("b")]));
    registry
}

#[test]
fn an_entry_removed_without_an_outage_means_a_target_that_is_gone() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(10), gone("a"));
    assert_eq!(names(&mut registry, 10), ["b"]);
}

/// Guards against refused callers after an outage of the store. The store is unreachable for some
/// seconds, so the entries of live targets lapse. When it is back, it reports the entries as
/// removed, and the targets write them again half a second later. Callers must be served in
/// between.
#[test]
fn entries_that_lapsed_during_an_outage_are_kept_for_the_grace_period() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    assert_eq!(names(&mut registry, 4_000), ["a", "b"]);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    registry.take(Moment::from_millis(5_010), RegistryUpdate::whole(Vec::new()));
    assert_eq!(names(&mut registry, 5_400), ["a", "b"]);
    let back = RegistryUpdate::changed(vec![entry("a")]);
    registry.take(Moment::from_millis(5_500), back);
    assert_eq!(names(&mut registry, 6_500), ["a", "b"]);
    assert_eq!(names(&mut registry, 6_700), ["a"], "the grace period of the other is over");
}

/// After an outage of the store, a VM learns of the removal of two entries at different times. The
/// grace period ends at the same moment for both: the delay of the peer that forwards the second
/// one does not extend it.
#[test]
fn the_grace_period_ends_at_one_moment_for_all_entries() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    registry.take(Moment::from_millis(5_100), gone("a"));
    registry.take(Moment::from_millis(6_500), gone("b"));
    assert_eq!(names(&mut registry, 6_590), ["a", "b"]);
    assert!(names(&mut registry, 6_610).is_empty());
    registry.take(Moment::from_millis(6_700), RegistryUpdate::changed(vec![entry("c")]));
    registry.take(Moment::from_millis(6_800), gone("c"));
    assert!(names(&mut registry, 6_800).is_empty(), "there is no grace period any more");
}

/// A passive VM has not lost the store itself, but the peer that forwards a removal has, and its
/// grace period lasts 0.3 s more. The period lasts as long at the passive VM, however often it is
/// reported.
#[test]
fn a_reported_grace_period_is_not_extended() {
    let mut registry = with_two();
    let left = |millis| RegistryUpdate::MissingEntryGrace(Duration::from_millis(millis));
    registry.take(Moment::from_millis(1_000), left(300));
    registry.take(Moment::from_millis(1_000), gone("a"));
    registry.take(Moment::from_millis(1_200), left(100));
    assert_eq!(names(&mut registry, 1_290), ["a", "b"]);
    assert_eq!(names(&mut registry, 1_310), ["b"]);
}

/// During an outage of the store, the entry of a target that has announced that it is leaving is
/// removed. The target is gone; there is no grace period.
#[test]
fn a_leaving_target_has_no_grace_period() {
    let mut registry = with_two();
    let leaving = TargetEntry { leaving: true, ..entry("a") };
    let update = RegistryUpdate::changed(vec![leaving]);
    registry.take(Moment::from_millis(10), update);
    registry.take(Moment::from_millis(20), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(30), gone("a"));
    assert_eq!(names(&mut registry, 31), ["b"]);
}

fn incarnation(name: &str, started: u64, port: u16) -> TargetEntry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    TargetEntry { incarnation: TargetIncarnation(started), address, ..entry(name) }
}

fn ports(registry: &mut TargetRegistry) -> Vec<u16> {
    let current = registry.current(Moment::from_millis(9));
    current.iter().map(|target| target.address.port()).collect()
}

/// Guards against requests sent to the address of an earlier incarnation, where nothing or another
/// process listens. A target restarts under its name at another address, and an entry of the
/// earlier incarnation arrives late: in an outdated snapshot, and again after the target was
/// removed.
#[test]
fn an_entry_of_an_earlier_incarnation_changes_nothing() {
    let mut registry = TargetRegistry::default();
    let now = Moment::from_millis(5);
    registry.take(now, RegistryUpdate::whole(vec![incarnation("a", 100, 1)]));
    registry.take(now, RegistryUpdate::changed(vec![incarnation("a", 200, 2)]));
    assert_eq!(ports(&mut registry), [2]);
    assert!(registry.is_replaced(&incarnation("a", 100, 1)));
    assert!(!registry.is_replaced(&incarnation("a", 200, 2)));
    registry.take(now, RegistryUpdate::whole(vec![incarnation("a", 100, 1)]));
    registry.take(now, RegistryUpdate::changed(vec![incarnation("a", 100, 1)]));
    assert_eq!(ports(&mut registry), [2]);
    registry.take(now, gone("a"));
    registry.take(now, RegistryUpdate::changed(vec![incarnation("a", 100, 1)]));
    assert!(
        ports(&mut registry).is_empty(),
        "the earlier incarnation came back after the end of the later one"
    );
}

/// A target's row is overwritten by another writer just after an outage of the store. The grace
/// period is for missing rows; this row exists, and names no target.
#[test]
fn an_overwritten_entry_has_no_grace_period() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    let unreadable = vec!["a".into()];
    let update = RegistryUpdate::Snapshot { entries: Vec::new(), unreadable };
    registry.take(Moment::from_millis(5_010), update);
    assert_eq!(names(&mut registry, 5_020), ["b"]);
}

/// Returns a registry whose source was restored at 5 s from a copy that holds both targets as they
/// were.
fn restored_after(update: RegistryUpdate) -> TargetRegistry {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), update);
    names(&mut registry, 1_000);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceRestored);
    let copy = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(5_010), copy);
    registry
}

/// Guards against a restored copy that revokes a target's announcement of leaving, so that callers
/// are still sent there.
#[test]
fn a_restored_copy_revokes_no_notice_of_leaving() {
    let leaving = TargetEntry { leaving: true, ..entry("a") };
    let mut registry = restored_after(RegistryUpdate::changed(vec![leaving]));
    let current = registry.current(Moment::from_millis(5_020));
    let leaving: Vec<bool> = current.iter().map(|target| target.leaving).collect();
    assert_eq!(leaving, [true, false]);
}

/// Guards against a restored copy that brings back a removed target.
#[test]
fn a_restored_copy_brings_back_no_removed_target() {
    let mut registry = restored_after(gone("a"));
    assert_eq!(names(&mut registry, 5_020), ["b"]);
    registry.take(Moment::from_millis(6_000), RegistryUpdate::whole(vec![entry("a"), entry("b")]));
    assert_eq!(names(&mut registry, 6_000), ["b"], "a snapshot may still be of the copy");
}

/// Guards against a live target that is ignored for good because it had been removed before.
#[test]
fn a_target_that_writes_its_entry_after_the_restore_is_known_again() {
    let mut registry = restored_after(gone("a"));
    registry.take(Moment::from_millis(6_000), RegistryUpdate::changed(vec![entry("a")]));
    assert_eq!(names(&mut registry, 6_000), ["a", "b"]);
    let mut registry = restored_after(gone("a"));
    let whole = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(16_000), whole);
    assert_eq!(names(&mut registry, 16_000), ["a", "b"], "an unchanged entry counts again later");
}

/// Guards against unbounded memory for removed targets.
#[test]
fn removed_targets_are_forgotten() {
    let mut registry = restored_after(gone("a"));
    registry.take(Moment::from_millis(70_000), RegistryUpdate::SourceRestored);
    let whole = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(70_010), whole);
    assert_eq!(names(&mut registry, 70_010), ["a", "b"]);
}

fn in_force(services: &[&str]) -> BTreeSet<ServiceName> {
    services.iter().map(|name| ServiceName::from(*name)).collect()
}

/// The entry of another program under a target's name.
fn foreign(name: &str, started: u64) -> TargetEntry {
    TargetEntry { service: "telemetry".into(), ..incarnation(name, started, 3) }
}

/// Guards against a target that another program's entry ends for good, by a later start time under the
/// target's name.
#[test]
fn an_entry_of_a_service_not_in_force_ends_no_incarnation() {
    let now = Moment::from_millis(5);
    let own = incarnation("a", 100, 1);
    for restored in [RegistryUpdate::whole, RegistryUpdate::changed] {
        let mut registry = TargetRegistry::without_services();
        registry.set_services(in_force(&["desk"]));
        registry.take(now, RegistryUpdate::whole(vec![own.clone()]));
        registry.take(now, RegistryUpdate::changed(vec![foreign("a", 9_000)]));
        assert!(ports(&mut registry).is_empty(), "its address is not confirmed");
        assert_eq!(registry.passed_over(), ["a".into()]);
        assert!(!registry.is_replaced(&own));
        registry.take(now, restored(vec![own.clone()]));
        assert_eq!(ports(&mut registry), [1]);
    }
}

/// Guards against the same before the services are known, and against entries that stay unknown when
/// their service comes into force.
#[test]
fn entries_count_from_when_their_service_is_in_force() {
    let now = Moment::from_millis(5);
    let mut registry = TargetRegistry::without_services();
    let entries = vec![incarnation("a", 100, 1), foreign("b", 9_000)];
    registry.take(now, RegistryUpdate::whole(entries));
    assert!(ports(&mut registry).is_empty());
    assert!(!registry.is_replaced(&incarnation("b", 100, 2)));
    registry.set_services(in_force(&["desk"]));
    assert_eq!(ports(&mut registry), [1]);
    registry.set_services(in_force(&["desk", "telemetry"]));
    assert_eq!(ports(&mut registry), [1, 3]);
    assert!(registry.is_replaced(&incarnation("b", 100, 2)));
    registry.set_services(in_force(&["telemetry"]));
    assert_eq!(ports(&mut registry), [3]);
}
