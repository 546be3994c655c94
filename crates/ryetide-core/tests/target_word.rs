//! What targets say of themselves, beside what their registry tells.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RefusalReason},
    ids::{Incarnation, RequestSequence, TargetKey},
    pace::AssumedPace,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_registry::{RegistryUpdate, TargetRegistry},
    target_word::LimitWord,
    units::{Moment, RequestRate, TierRank, Tokens},
    wait_line::WaitingWork,
};

/// The way between two VMs.
const LATE: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        life: Default::default(),
        version: "v1".into(),
        service: "desk".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 4,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn leaving(registry: &mut TargetRegistry, now: Moment) -> Vec<String> {
    let current = registry.current(now).into_iter().filter(|entry| entry.leaving);
    current.map(|entry| entry.name.to_string()).collect()
}

/// A target has said that it leaves. The store, which was away, then tells its old entry; and drops it, and tells it again.
/// Callers are not sent there whatever it says.
#[test]
fn an_older_entry_does_not_take_a_targets_word_back() {
    let mut registry = TargetRegistry::default();
    registry.take(at(1), RegistryUpdate::whole(vec![entry("a"), entry("b")]));
    assert!(registry.words_mut().note(at(2), entry("a").key()));
    assert!(!registry.words_mut().note(at(3), entry("a").key()), "it is new once");
    for (time, entries) in [(4, vec!["a", "b"]), (5, vec!["b"]), (6, vec!["a", "b"])] {
        let entries = entries.into_iter().map(entry).collect();
        registry.take(at(time), RegistryUpdate::whole(entries));
        registry.current(at(time));
    }
    assert_eq!(leaving(&mut registry, at(7)), ["a"]);
    let told = registry.leaving_by_word(at(7));
    assert!(matches!(told[..], [mark] if mark.target == entry("a").key()), "{told:?}");
}

/// Peers are told only what the registry does not tell them.
#[test]
fn what_the_registry_tells_is_not_told_again() {
    let mut registry = TargetRegistry::default();
    let said = TargetEntry { leaving: true, ..entry("a") };
    registry.take(at(1), RegistryUpdate::whole(vec![said]));
    registry.words_mut().note(at(2), entry("a").key());
    assert!(registry.leaving_by_word(at(3)).is_empty());
}

/// Where targets keep their names, one that has left and started again gets work again in the end, though two VMs go on
/// telling each other what it said.
#[test]
fn words_are_forgotten_while_vms_tell_each_other() {
    let (mut here, mut there) = (TargetRegistry::default(), TargetRegistry::default());
    for registry in [&mut here, &mut there] {
        registry.take(at(1), RegistryUpdate::whole(vec![entry("a")]));
    }
    here.words_mut().note(at(2), entry("a").key());
    for second in 1..1_300 {
        let now = at(second * 1_000);
        for mark in here.leaving_by_word(now) {
            there.words_mut().take(now + LATE, mark);
        }
        for mark in there.leaving_by_word(now) {
            here.words_mut().take(now + LATE, mark);
        }
        here.current(now);
        there.current(now);
    }
    let now = at(1_300_000);
    assert!(leaving(&mut here, now).is_empty() && leaving(&mut there, now).is_empty());
}

/// What targets said stays small, however many come and go.
#[test]
fn words_are_bounded() {
    let mut registry = TargetRegistry::default();
    for target in 0..10_000 {
        registry.words_mut().note(at(u64::from(target)), TargetKey(target));
    }
    let known = (0..10_000).filter(|it| registry.words_mut().holds(TargetKey(*it))).count();
    assert!(known <= 1_024, "{known} words are remembered");
}

/// A limit that is no number, or none that holds, must not be taken for the end of one; of several the least holds.
#[test]
fn a_limit_is_read_as_it_is_named() {
    let read = |values: &[&str]| LimitWord::read(values.iter().map(|value| Some(*value)));
    let named = |thousandths| LimitWord::Named(RequestRate(thousandths));
    assert_eq!(read(&[]), LimitWord::Unnamed);
    assert_eq!(read(&["1.9"]), named(1_900));
    assert_eq!(read(&[" 0 "]), named(0));
    assert_eq!(read(&["0.0009"]), named(0));
    assert_eq!(read(&["1e300"]), named(u32::MAX));
    assert_eq!(read(&["3", "1.5", "2"]), named(1_500));
    for unreadable in ["", "soon", "-1", "NaN", "inf"] {
        assert_eq!(read(&[unreadable]), LimitWord::Unreadable, "{unreadable:?}");
        assert_eq!(read(&["2", unreadable]), LimitWord::Unreadable, "{unreadable:?}");
    }
    assert_eq!(LimitWord::read([None].into_iter()), LimitWord::Unreadable, "no text");
}

fn scheduler(names: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedPace::default(),
    });
    scheduler.set_targets(at(1), names.iter().map(|name| entry(name)).collect());
    scheduler
}

fn work(ticket: u64, now: Moment, patience: Duration) -> WaitingWork {
    WaitingWork {
        ticket: RequestSequence(ticket),
        service: "desk".into(),
        tier: TierRank(0),
        route_tier: TierRank(0),
        engine: false,
        prompt: Tokens(0),
        part: None,
        events: 1,
        arrived: now,
        came_back: false,
        objective_at: now + patience / 2,
        leave_at: now + patience,
        pause: None,
        begun: false,
        excluded: Vec::new(),
    }
}

/// All targets want nothing for ten seconds, and a caller leaves after four: it is told at once to come back, and at a time
/// when somebody will take it.
#[test]
fn callers_who_would_wait_in_vain_are_told_at_once_when_to_come_back() {
    let mut scheduler = scheduler(&["a", "b"]);
    let now = at(1_000);
    let wanted = [("a", 10), ("b", 15)];
    for (name, seconds) in wanted {
        scheduler.hold_off(now, entry(name).key(), Duration::from_secs(seconds));
    }
    scheduler.enter(now, work(1, now, Duration::from_secs(4)));
    let decisions = scheduler.take_decisions();
    let [Decision::Refuse { reason: RefusalReason::HeldOff, retry_after, .. }] = decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert!(retry_after >= Duration::from_secs(10), "{retry_after:?}");
}

/// They want nothing for one second: a caller who stays for four waits, and gets its place then.
#[test]
fn callers_who_stay_longer_wait_for_their_place() {
    let mut scheduler = scheduler(&["a"]);
    let now = at(1_000);
    let span = Duration::from_secs(1);
    scheduler.hold_off(now, entry("a").key(), span);
    scheduler.enter(now, work(1, now, span * 4));
    let mut time = now;
    while scheduler.take_decisions().is_empty() {
        time = time + Duration::from_millis(5);
        scheduler.advance(time);
        assert!(time < now + span * 4, "it gets its place");
    }
    assert!(time >= now + span);
}
