//! Placement of requests that continue a stream: at the version that began it, and at no other.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RefusalReason, RunEnd},
    ids::{Incarnation, RequestSequence, VersionKey},
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_speed::AssumedSpeed,
    units::{Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

const SERVICE: &str = "drafting";

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn target(name: &str, version: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: version.into(),
        service: SERVICE.into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 1,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn scheduler(targets: Vec<TargetEntry>) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: Default::default(),
        rollout: Default::default(),
        assumed: AssumedSpeed::default(),
        policy: Default::default(),
    });
    scheduler.set_targets(Moment::from_millis(1), targets);
    scheduler
}

fn work(ticket: u64, now: Moment) -> WaitingRequest {
    WaitingRequest {
        ticket: RequestSequence(ticket),
        service: SERVICE.into(),
        tier: TierRank(0),
        route_tier: TierRank(0),
        engine: true,
        prompt: Tokens(100),
        prompt_hash: None,
        events: 50,
        arrived: now,
        is_retry: false,
        objective_at: now + Duration::from_millis(1_000),
        leave_at: now + Duration::from_millis(4_000),
        pause: Some(Duration::from_millis(400)),
        begun: false,
        version: None,
        excluded: Vec::new(),
        may_rerun: true,
        organisation: Default::default(),
    }
}

/// A request of the last tier that continues a stream of `version` and has missed its objective.
fn continuing(ticket: u64, now: Moment, version: &str) -> WaitingRequest {
    WaitingRequest {
        tier: TierRank(3),
        objective_at: now,
        begun: true,
        version: Some(VersionKey::of(&version.into())),
        ..work(ticket, now)
    }
}

fn placed(scheduler: &mut Scheduler) -> Vec<(u64, String)> {
    let decisions = scheduler.take_decisions().into_iter();
    let place = |decision| match decision {
        Decision::Place { ticket, target, .. } => Some((ticket.0, target.name.to_string())),
        Decision::Refuse { .. } => None,
    };
    decisions.filter_map(place).collect()
}

fn refused(scheduler: &mut Scheduler) -> Vec<(u64, RefusalReason)> {
    let decisions = scheduler.take_decisions().into_iter();
    let refuse = |decision| match decision {
        Decision::Refuse { ticket, reason, .. } => Some((ticket.0, reason)),
        Decision::Place { .. } => None,
    };
    decisions.filter_map(refuse).collect()
}

/// Guards against a stream that goes on at another version because that one has a free slot.
#[test]
fn a_stream_waits_for_a_slot_of_its_version() {
    let mut scheduler = scheduler(vec![target("a", "v1"), target("b", "v2"), target("c", "v2")]);
    scheduler.enter(at(0), continuing(1, at(0), "v1"));
    assert_eq!(placed(&mut scheduler), [(1, "a".to_owned())]);
    scheduler.enter(at(1), continuing(2, at(1), "v1"));
    scheduler.advance(at(1_000));
    assert_eq!(scheduler.take_decisions(), []);
    scheduler.end(at(1_001), RequestSequence(1), RunEnd::Whole);
    assert_eq!(placed(&mut scheduler), [(2, "a".to_owned())]);
}

/// Guards against streams that starve before the last targets of their version, which new requests keep
/// busy.
#[test]
fn a_stream_takes_the_slots_of_its_version_before_more_urgent_requests() {
    let mut scheduler = scheduler(vec![target("a", "v1"), target("b", "v2")]);
    scheduler.enter(at(0), work(1, at(0)));
    scheduler.enter(at(0), work(2, at(0)));
    assert_eq!(placed(&mut scheduler).len(), 2);
    scheduler.enter(at(1), work(3, at(1)));
    scheduler.enter(at(1), continuing(4, at(1), "v1"));
    for ticket in [1, 2] {
        scheduler.end(at(200), RequestSequence(ticket), RunEnd::Whole);
    }
    let mut placed = placed(&mut scheduler);
    placed.sort();
    assert_eq!(placed, [(3, "b".to_owned()), (4, "a".to_owned())]);
}

/// Guards against a caller that waits for a version which no target runs.
#[test]
fn a_stream_whose_version_has_gone_is_refused_at_once() {
    let leaving = TargetEntry { leaving: true, ..target("a", "v1") };
    let mut scheduler = scheduler(vec![leaving, target("b", "v2")]);
    scheduler.enter(at(0), continuing(1, at(0), "v1"));
    assert_eq!(refused(&mut scheduler), [(1, RefusalReason::NoTarget)]);
}

/// Guards against a stream that cannot go on because the only target of its version has failed it once.
#[test]
fn a_stream_goes_back_to_the_only_target_of_its_version() {
    let mut scheduler = scheduler(vec![target("a", "v1"), target("b", "v2")]);
    let mut work = continuing(1, at(0), "v1");
    work.excluded = vec![target("a", "v1").key()];
    scheduler.enter(at(0), work);
    assert_eq!(placed(&mut scheduler), [(1, "a".to_owned())]);
}

/// Guards against one VM's queue that refuses a caller who has seen a part of its stream.
#[test]
fn a_long_queue_refuses_no_stream_that_goes_on() {
    let mut scheduler = scheduler(vec![target("a", "v1"), target("b", "v2")]);
    for ticket in 1..=2 {
        scheduler.enter(at(0), work(ticket, at(0)));
    }
    scheduler.take_decisions();
    scheduler.enter(at(1), continuing(3, at(1), "v1"));
    scheduler.advance(at(3_000));
    assert_eq!(scheduler.take_decisions(), []);
    scheduler.advance(at(3_900));
    assert_eq!(refused(&mut scheduler), [(3, RefusalReason::OutOfTime)]);
}
