//! Which targets there are while their registry comes and goes.

use std::time::Duration;

use ryetide_core::{
    ids::TargetLife,
    target_load::TargetEntry,
    target_registry::{RegistryUpdate, TargetRegistry},
    units::Moment,
};

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        life: Default::default(),
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
fn an_entry_that_goes_in_calm_is_a_target_that_is_gone() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(10), gone("a"));
    assert_eq!(names(&mut registry, 10), ["b"]);
}

/// The store is away for some seconds and every target's entry lapses, though all of them live. The
/// store comes back, tells that the entries are gone, and half a second later the targets write
/// themselves in again. Callers who come in that half second must still be served.
#[test]
fn entries_that_lapsed_with_their_store_are_kept_until_they_can_be_back() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    assert_eq!(names(&mut registry, 4_000), ["a", "b"]);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    registry.take(Moment::from_millis(5_010), RegistryUpdate::whole(Vec::new()));
    assert_eq!(names(&mut registry, 5_400), ["a", "b"]);
    let back = RegistryUpdate::changed(vec![entry("a")]);
    registry.take(Moment::from_millis(5_500), back);
    assert_eq!(names(&mut registry, 6_500), ["a", "b"]);
    assert_eq!(names(&mut registry, 6_700), ["a"], "the other did not come back in time");
}

/// The store was away, and a VM hears of two targets' ends later and later. It waits for both until the same moment:
/// what it hears late, after a peer's pause, it does not wait for as long again.
#[test]
fn the_doubt_ends_at_one_moment_whenever_an_end_is_heard_of() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    registry.take(Moment::from_millis(5_100), gone("a"));
    registry.take(Moment::from_millis(6_500), gone("b"));
    assert_eq!(names(&mut registry, 6_590), ["a", "b"]);
    assert!(names(&mut registry, 6_610).is_empty());
    registry.take(Moment::from_millis(6_700), RegistryUpdate::changed(vec![entry("c")]));
    registry.take(Moment::from_millis(6_800), gone("c"));
    assert!(names(&mut registry, 6_800).is_empty(), "there is no doubt any more");
}

/// A VM that rests has not lost the store; the peer that passes an end on had, and doubts for 0.3 s yet. So does the
/// VM, and no longer, however often it is told.
#[test]
fn a_doubt_that_is_passed_on_ends_when_it_does_there() {
    let mut registry = with_two();
    let left = |millis| RegistryUpdate::SourceDoubtful(Duration::from_millis(millis));
    registry.take(Moment::from_millis(1_000), left(300));
    registry.take(Moment::from_millis(1_000), gone("a"));
    registry.take(Moment::from_millis(1_200), left(100));
    assert_eq!(names(&mut registry, 1_290), ["a", "b"]);
    assert_eq!(names(&mut registry, 1_310), ["b"]);
}

/// The store is away, and a target that had said before that it leaves is taken out. It is gone:
/// nobody waits for it to come back.
#[test]
fn a_leaving_target_is_not_kept() {
    let mut registry = with_two();
    let leaving = TargetEntry { leaving: true, ..entry("a") };
    let update = RegistryUpdate::changed(vec![leaving]);
    registry.take(Moment::from_millis(10), update);
    registry.take(Moment::from_millis(20), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(30), gone("a"));
    assert_eq!(names(&mut registry, 31), ["b"]);
}

fn lived(name: &str, life: u64, port: u16) -> TargetEntry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    TargetEntry { life: TargetLife(life), address, ..entry(name) }
}

fn ports(registry: &mut TargetRegistry) -> Vec<u16> {
    let current = registry.current(Moment::from_millis(9));
    current.iter().map(|target| target.address.port()).collect()
}

/// A target starts again under its old name at another address, and an entry of its earlier life comes late: in a
/// reading from the past, and once more after the target is gone. Requests sent to the old address would run
/// nowhere, or at whoever has it now.
#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let mut registry = TargetRegistry::default();
    let now = Moment::from_millis(5);
    registry.take(now, RegistryUpdate::whole(vec![lived("a", 100, 1)]));
    registry.take(now, RegistryUpdate::changed(vec![lived("a", 200, 2)]));
    assert_eq!(ports(&mut registry), [2]);
    assert!(registry.is_replaced(&lived("a", 100, 1)));
    assert!(!registry.is_replaced(&lived("a", 200, 2)));
    registry.take(now, RegistryUpdate::whole(vec![lived("a", 100, 1)]));
    registry.take(now, RegistryUpdate::changed(vec![lived("a", 100, 1)]));
    assert_eq!(ports(&mut registry), [2]);
    registry.take(now, gone("a"));
    registry.take(now, RegistryUpdate::changed(vec![lived("a", 100, 1)]));
    assert!(
        ports(&mut registry).is_empty(),
        "the earlier life came back after the later one's end"
    );
}

/// The store is away and back, and in the same moments a target's row is overwritten by another writer. Missing
/// rows are waited for; this one is there, and names nobody.
#[test]
fn an_overwritten_entry_is_not_waited_for() {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), RegistryUpdate::SourceLost);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceBack);
    let unreadable = vec!["a".into()];
    let update = RegistryUpdate::Snapshot { entries: Vec::new(), unreadable };
    registry.take(Moment::from_millis(5_010), update);
    assert_eq!(names(&mut registry, 5_020), ["b"]);
}

/// Returns a registry of which the source came back at 5 s, from a copy that has both targets as they were.
fn restored_after(update: RegistryUpdate) -> TargetRegistry {
    let mut registry = with_two();
    registry.take(Moment::from_millis(1_000), update);
    names(&mut registry, 1_000);
    registry.take(Moment::from_millis(5_000), RegistryUpdate::SourceRestored);
    let copy = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(5_010), copy);
    registry
}

/// Guards against a copy of the source that makes callers go on to a target whose leaving it does not have yet.
#[test]
fn a_copy_takes_no_targets_leaving_back() {
    let leaving = TargetEntry { leaving: true, ..entry("a") };
    let mut registry = restored_after(RegistryUpdate::changed(vec![leaving]));
    let current = registry.current(Moment::from_millis(5_020));
    let leaving: Vec<bool> = current.iter().map(|target| target.leaving).collect();
    assert_eq!(leaving, [true, false]);
}

/// Guards against a copy of the source that brings a target back which has gone.
#[test]
fn a_copy_brings_no_target_back() {
    let mut registry = restored_after(gone("a"));
    assert_eq!(names(&mut registry, 5_020), ["b"]);
    registry.take(Moment::from_millis(6_000), RegistryUpdate::whole(vec![entry("a"), entry("b")]));
    assert_eq!(names(&mut registry, 6_000), ["b"], "a whole reading may still be of the copy");
}

/// Guards against a target that lives and is passed over for good, because it had been taken for gone before.
#[test]
fn a_target_that_writes_its_entry_after_the_copy_is_back() {
    let mut registry = restored_after(gone("a"));
    registry.take(Moment::from_millis(6_000), RegistryUpdate::changed(vec![entry("a")]));
    assert_eq!(names(&mut registry, 6_000), ["a", "b"]);
    let mut registry = restored_after(gone("a"));
    let whole = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(16_000), whole);
    assert_eq!(names(&mut registry, 16_000), ["a", "b"], "one that was not changed, later");
}

/// Guards against a memory that grows with every target that goes.
#[test]
fn targets_that_have_gone_are_forgotten() {
    let mut registry = restored_after(gone("a"));
    registry.take(Moment::from_millis(70_000), RegistryUpdate::SourceRestored);
    let whole = RegistryUpdate::whole(vec![entry("a"), entry("b")]);
    registry.take(Moment::from_millis(70_010), whole);
    assert_eq!(names(&mut registry, 70_010), ["a", "b"]);
}
