//! Notices in the answers of targets, and how they combine with the registry.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RefusalReason},
    ids::{Incarnation, RequestSequence, TargetKey},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_notice::LimitNotice,
    target_registry::{RegistryUpdate, TargetRegistry},
    target_speed::AssumedSpeed,
    units::{Moment, RequestRate, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

/// The network delay between two VMs.
const NETWORK_DELAY: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
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

/// Guards against callers sent to a leaving target. The target has announced that it is leaving.
/// The store, back after an outage, then returns the old entry of the target, drops it, and returns
/// it again.
#[test]
fn an_older_entry_does_not_revoke_a_notice_of_leaving() {
    let mut registry = TargetRegistry::default();
    registry.take(at(1), RegistryUpdate::whole(vec![entry("a"), entry("b")]));
    assert!(registry.leaving_notices_mut().record(at(2), entry("a").key()));
    assert!(
        !registry.leaving_notices_mut().record(at(3), entry("a").key()),
        "only the first notice is new"
    );
    for (time, entries) in [(4, vec!["a", "b"]), (5, vec!["b"]), (6, vec!["a", "b"])] {
        let entries = entries.into_iter().map(entry).collect();
        registry.take(at(time), RegistryUpdate::whole(entries));
        registry.current(at(time));
    }
    assert_eq!(leaving(&mut registry, at(7)), ["a"]);
    let reports = registry.unregistered_leaving(at(7));
    assert!(matches!(reports[..], [mark] if mark.target == entry("a").key()), "{reports:?}");
}

/// Peers receive only notices that the registry does not hold.
#[test]
fn what_the_registry_holds_is_not_reported_to_peers() {
    let mut registry = TargetRegistry::default();
    let announced = TargetEntry { leaving: true, ..entry("a") };
    registry.take(at(1), RegistryUpdate::whole(vec![announced]));
    registry.leaving_notices_mut().record(at(2), entry("a").key());
    assert!(registry.unregistered_leaving(at(3)).is_empty());
}

/// Guards against notices that VMs keep alive by reporting them to each other. Where targets keep
/// their names, a restarted target must get requests again at some time.
#[test]
fn notices_expire_while_vms_report_them_to_each_other() {
    let (mut here, mut there) = (TargetRegistry::default(), TargetRegistry::default());
    for registry in [&mut here, &mut there] {
        registry.take(at(1), RegistryUpdate::whole(vec![entry("a")]));
    }
    here.leaving_notices_mut().record(at(2), entry("a").key());
    for second in 1..1_300 {
        let now = at(second * 1_000);
        for mark in here.unregistered_leaving(now) {
            there.leaving_notices_mut().merge(now + NETWORK_DELAY, mark);
        }
        for mark in there.unregistered_leaving(now) {
            here.leaving_notices_mut().merge(now + NETWORK_DELAY, mark);
        }
        here.current(now);
        there.current(now);
    }
    let now = at(1_300_000);
    assert!(leaving(&mut here, now).is_empty() && leaving(&mut there, now).is_empty());
}

/// Guards against notices that accumulate as targets come and go.
#[test]
fn notices_are_bounded() {
    let mut registry = TargetRegistry::default();
    for target in 0..10_000 {
        registry.leaving_notices_mut().record(at(u64::from(target)), TargetKey(target));
    }
    let known =
        (0..10_000).filter(|it| registry.leaving_notices_mut().contains(TargetKey(*it))).count();
    assert!(known <= 1_024, "{known} notices are remembered");
}

/// A value that is not a number, or not a valid limit, must not count as the end of a limit; the
/// lowest of several applies.
#[test]
fn limit_headers_are_parsed() {
    let read = |values: &[&str]| LimitNotice::read(values.iter().map(|value| Some(*value)));
    let named = |thousandths| LimitNotice::Named(RequestRate(thousandths));
    assert_eq!(read(&[]), LimitNotice::Unnamed);
    assert_eq!(read(&["1.9"]), named(1_900));
    assert_eq!(read(&[" 0 "]), named(0));
    assert_eq!(read(&["0.0009"]), named(0));
    assert_eq!(read(&["1e300"]), named(u32::MAX));
    assert_eq!(read(&["3", "1.5", "2"]), named(1_500));
    for unreadable in ["", "soon", "-1", "NaN", "inf"] {
        assert_eq!(read(&[unreadable]), LimitNotice::Unreadable, "{unreadable:?}");
        assert_eq!(read(&["2", unreadable]), LimitNotice::Unreadable, "{unreadable:?}");
    }
    assert_eq!(LimitNotice::read([None].into_iter()), LimitNotice::Unreadable, "no text");
}

fn scheduler(names: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedSpeed::default(),
        policy: Default::default(),
    });
    scheduler.set_targets(at(1), names.iter().map(|name| entry(name)).collect());
    scheduler
}

fn work(ticket: u64, now: Moment, patience: Duration) -> WaitingRequest {
    WaitingRequest {
        ticket: RequestSequence(ticket),
        service: "desk".into(),
        tier: TierRank(0),
        route_tier: TierRank(0),
        engine: false,
        prompt: Tokens(0),
        prompt_hash: None,
        events: 1,
        arrived: now,
        is_retry: false,
        objective_at: now + patience / 2,
        leave_at: now + patience,
        pause: None,
        begun: false,
        version: None,
        excluded: Vec::new(),
        may_rerun: false,
        organisation: Default::default(),
    }
}

/// All targets request a back-off of ten seconds or more, and the caller waits at most four: the
/// request is refused at once, with a retry delay after which a target accepts it.
#[test]
fn requests_that_would_wait_in_vain_are_refused_with_a_retry_delay() {
    let mut scheduler = scheduler(&["a", "b"]);
    let now = at(1_000);
    let back_offs = [("a", 10), ("b", 15)];
    for (name, seconds) in back_offs {
        scheduler.back_off(now, entry(name).key(), Duration::from_secs(seconds));
    }
    scheduler.enter(now, work(1, now, Duration::from_secs(4)));
    let decisions = scheduler.take_decisions();
    let [Decision::Refuse { reason: RefusalReason::HeldOff, retry_after, .. }] = decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert!(retry_after >= Duration::from_secs(10), "{retry_after:?}");
}

/// The target requests a back-off of one second: a caller who waits four seconds is queued and gets
/// a slot then.
#[test]
fn callers_who_outwait_the_back_off_get_a_slot() {
    let mut scheduler = scheduler(&["a"]);
    let now = at(1_000);
    let span = Duration::from_secs(1);
    scheduler.back_off(now, entry("a").key(), span);
    scheduler.enter(now, work(1, now, span * 4));
    let mut time = now;
    while scheduler.take_decisions().is_empty() {
        time = time + Duration::from_millis(5);
        scheduler.advance(time);
        assert!(time < now + span * 4, "the request gets a slot");
    }
    assert!(time >= now + span);
}
