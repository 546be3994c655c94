//! Decisions of a single VM's scheduler: placement, queueing and refusal.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RefusalReason, RunEnd},
    ids::{Incarnation, RequestSequence, ServiceKey, ServiceName, TargetIncarnation, TargetKey},
    load_digest::{DigestEnvelope, DigestScope, FleetState, LoadDigest, QueueReport, TargetReport},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    slot_turn::UrgencyClass,
    target_load::TargetEntry,
    target_speed::{AssumedSpeed, FadingMean, SpeedReport},
    units::{Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

const SERVICE: &str = "drafting";

struct Harness {
    scheduler: Scheduler,
    next: u64,
}

fn target(name: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: SERVICE.into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn work(ticket: u64, now: Moment, tier: u8, prompt: u64) -> WaitingRequest {
    WaitingRequest {
        ticket: RequestSequence(ticket),
        service: SERVICE.into(),
        tier: TierRank(tier),
        route_tier: TierRank(tier),
        engine: true,
        prompt: Tokens(prompt),
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
        may_rerun: false,
        organisation: Default::default(),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

impl Harness {
    fn new(targets: &[(&str, u32)]) -> Self {
        Self::named("e1", targets)
    }

    fn named(name: &str, targets: &[(&str, u32)]) -> Self {
        let mut scheduler = Scheduler::new(SchedulerOptions {
            name: name.into(),
            data_centre: "hall-a".into(),
            incarnation: Incarnation(1),
            seed: 1,
            // A scheduler that has just started has earned few retries otherwise.
            retry: RetryRule { share: 100.0, ..RetryRule::default() },
            rollout: Default::default(),
            assumed: AssumedSpeed::default(),
            policy: Default::default(),
        });
        let entries = targets.iter().map(|(name, slots)| target(name, *slots)).collect();
        // The targets were added well before a test begins, so no turns apply at their slots.
        scheduler.set_targets(Moment::from_millis(1), entries);
        Self { scheduler, next: 0 }
    }

    /// Adds a request and returns its number.
    fn enter(&mut self, now: Moment, tier: u8, prompt: u64) -> u64 {
        self.next += 1;
        self.scheduler.enter(now, work(self.next, now, tier, prompt));
        self.next
    }

    /// Takes the placements made since the last call, as pairs of request and target.
    fn placed(&mut self) -> Vec<(u64, String)> {
        let decisions = self.scheduler.take_decisions().into_iter();
        decisions
            .filter_map(|decision| match decision {
                Decision::Place { ticket, target, .. } => Some((ticket.0, target.name.to_string())),
                Decision::Refuse { .. } => None,
            })
            .collect()
    }

    fn refused(&mut self) -> Vec<(u64, RefusalReason)> {
        let decisions = self.scheduler.take_decisions().into_iter();
        decisions
            .filter_map(|decision| match decision {
                Decision::Refuse { ticket, reason, .. } => Some((ticket.0, reason)),
                Decision::Place { .. } => None,
            })
            .collect()
    }

    fn end(&mut self, now: Moment, ticket: u64) {
        self.scheduler.end(now, RequestSequence(ticket), RunEnd::Whole);
    }

    fn receive(&mut self, now: Moment, sequence: u64, digest: LoadDigest) {
        self.receive_from("e2", now, sequence, digest);
    }

    fn receive_from(&mut self, peer: &str, now: Moment, sequence: u64, digest: LoadDigest) {
        let digest = LoadDigest { incarnation: Incarnation(2), sequence, ..digest };
        self.scheduler.apply_digest(now, DigestEnvelope { from: peer.into(), digest });
    }
}

fn key_of(name: &str) -> Vec<TargetKey> {
    vec![TargetKey::of(&name.into())]
}

/// A peer's report about a target, with the speed in microseconds per prompt token and between
/// events.
fn mark(name: &str, running: u16, prompt: f32, event: f32) -> TargetReport {
    let figure = |mean| FadingMean { mean, weight: 6.0 };
    TargetReport {
        target: TargetKey::of(&name.into()),
        running,
        unread: 0,
        suspected: false,
        speed: Some(SpeedReport { prompt: figure(prompt), event: figure(event) }),
    }
}

fn waiting(tier: u8, count: u16) -> QueueReport {
    let service = ServiceKey::of(&ServiceName::from(SERVICE));
    let tier = TierRank(tier);
    QueueReport { service, class: UrgencyClass { late: false, tier, route_tier: tier }, count }
}

#[test]
fn a_request_is_placed_at_once_while_a_slot_is_free() {
    let mut harness = Harness::new(&[("t1", 2)]);
    assert_eq!(harness.enter(at(0), 2, 100), 1);
    assert_eq!(harness.placed(), [(1, "t1".to_owned())]);
}

/// All VMs have just started and have observed no speeds. Twenty requests arrive at once for one
/// target of four slots. None may be refused because of a speed that is only assumed.
#[test]
fn no_request_is_refused_because_of_an_assumed_speed() {
    let mut harness = Harness::new(&[("t1", 4)]);
    for _ in 0..20 {
        harness.enter(at(0), 0, 1_000);
    }
    assert_eq!(harness.refused(), []);
}

#[test]
fn the_urgent_tier_takes_the_next_slot_though_it_arrived_later() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 2, 100);
    let routine = harness.enter(at(10), 2, 100);
    let urgent = harness.enter(at(20), 0, 100);
    harness.placed();
    harness.end(at(100), 1);
    assert_eq!(harness.placed(), [(urgent, "t1".to_owned())]);
    harness.end(at(200), urgent);
    assert_eq!(harness.placed(), [(routine, "t1".to_owned())]);
}

/// An organisation's rank puts all its requests into one tier. Within it, the more urgent route
/// goes first although its objective is later. Ordered by the nearest objective alone, long urgent
/// requests would come last in a burst until they miss theirs.
#[test]
fn the_more_urgent_route_goes_first_within_a_tier() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    let routine = WaitingRequest {
        route_tier: TierRank(2),
        objective_at: at(500),
        ..work(11, at(10), 0, 100)
    };
    harness.scheduler.enter(at(10), routine);
    harness.scheduler.enter(at(20), work(12, at(20), 0, 100));
    harness.placed();
    harness.end(at(100), 1);
    assert_eq!(harness.placed(), [(12, "t1".to_owned())]);
}

/// A slot is free at an engine that is expected to start the request just within its objective, but
/// beyond the safety margin. A faster engine has no free slot. Waiting for it would use up the
/// remaining time, so the free slot must be taken.
#[test]
fn a_free_slot_with_little_margin_is_taken_instead_of_waiting() {
    let mut harness = Harness::new(&[("slow", 2), ("fast", 1)]);
    let marks = vec![mark("slow", 0, 60.0, 20_000.0), mark("fast", 1, 12.5, 16_000.0)];
    harness.receive(at(0), 1, LoadDigest { targets: marks, ..LoadDigest::default() });
    let tight = harness.enter(at(1), 0, 13_500);
    assert_eq!(harness.placed(), [(tight, "slow".to_owned())]);
}

/// A stream broke and must continue at another target, but is late already. It waits behind all
/// requests that can still meet their objective, is never refused because of them, since its caller
/// has received a part of the answer, and continues once they are served.
#[test]
fn a_late_resumed_stream_waits_behind_requests_that_are_on_time() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    let late = 99;
    let begun = WaitingRequest { begun: true, ..work(late, at(0), 0, 100) };
    assert!(harness.scheduler.enter_again(at(0), begun, true));
    let fresh = harness.enter(at(1_500), 2, 100);
    harness.placed();
    harness.end(at(1_600), 1);
    assert_eq!(harness.placed(), [(fresh, "t1".to_owned())]);
    harness.end(at(1_700), fresh);
    assert_eq!(harness.placed(), [(late, "t1".to_owned())]);
}

/// A caller stops waiting at 4 s. Just before, it must receive a refusal that says that its request
/// has not run, so that it can retry. A request that stays queued longer would be processed without
/// a caller.
#[test]
fn a_queued_request_is_refused_before_its_caller_stops_waiting() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    let waiting = harness.enter(at(0), 0, 100);
    harness.scheduler.advance(at(3_800));
    assert_eq!(harness.refused(), []);
    harness.scheduler.advance(at(3_860));
    assert_eq!(harness.refused(), [(waiting, RefusalReason::OutOfTime)]);
}

/// The only slot becomes free at this VM while a more urgent request waits at a peer. A less urgent
/// request at this VM must leave the slot to the peer, and may take it only if the peer has not
/// done so within its turn.
#[test]
fn a_free_slot_is_left_to_a_more_urgent_request_at_a_peer() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 2, 100);
    let routine = harness.enter(at(0), 2, 100);
    harness.placed();
    let digest = LoadDigest { waiting: vec![waiting(0, 1)], ..LoadDigest::default() };
    harness.receive(at(100), 1, digest);
    harness.end(at(110), 1);
    assert_eq!(harness.placed(), [], "the slot is left to the peer");
    harness.scheduler.advance(at(115));
    assert_eq!(harness.placed(), []);
    harness.scheduler.advance(at(130));
    assert_eq!(harness.placed(), [(routine, "t1".to_owned())], "the peer has not taken it");
}

/// All slots are taken, and requests wait at two VMs. Both learn of a new target at the same time.
/// Only one of them may take its slots at once; otherwise half of the requests sent there would
/// find no slot.
#[test]
fn a_new_targets_slots_are_not_taken_by_all_vms_at_once() {
    let takes_at_once = |own: &str, other: &str| {
        let mut harness = Harness::named(own, &[("t1", 1)]);
        harness.enter(at(0), 0, 100);
        harness.enter(at(0), 0, 100);
        harness.placed();
        let digest = LoadDigest { waiting: vec![waiting(0, 1)], ..LoadDigest::default() };
        harness.receive_from(other, at(100), 1, digest);
        let targets = vec![target("t1", 1), target("t2", 1)];
        harness.scheduler.set_targets(at(110), targets);
        !harness.placed().is_empty()
    };
    let (first, second) = (takes_at_once("e1", "e2"), takes_at_once("e2", "e1"));
    assert!(first != second, "e1 {first}, e2 {second}");
}

/// One engine reads 18 tokens per millisecond, another 80, and both run short requests. A prompt of
/// 12,000 tokens would delay every stream at the slow engine by over 600 ms. It must go to the fast
/// one, and wait for it when that is full even if the request is late already: one late answer
/// costs less than pauses in eight other streams.
#[test]
fn a_long_prompt_never_delays_the_streams_of_a_slow_engine() {
    let mut harness = Harness::new(&[("slow", 9), ("fast", 1)]);
    let marks = vec![mark("slow", 2, 55.0, 70_000.0), mark("fast", 0, 12.5, 16_000.0)];
    let digest = LoadDigest { targets: marks, ..LoadDigest::default() };
    harness.receive(at(0), 1, digest.clone());
    let first = harness.enter(at(1), 0, 12_000);
    assert_eq!(harness.placed(), [(first, "fast".to_owned())]);
    let second = harness.enter(at(2), 0, 12_000);
    assert_eq!(harness.placed(), []);
    harness.receive(at(1_000), 2, digest.clone());
    harness.scheduler.advance(at(1_100));
    harness.receive(at(2_400), 3, digest);
    harness.scheduler.advance(at(2_500));
    assert_eq!(harness.placed(), [], "a late request still avoids the slow engine");
    harness.end(at(2_600), first);
    assert_eq!(harness.placed(), [(second, "fast".to_owned())]);
}

/// A target crashes and refuses connections. Its requests must go elsewhere at once, and the target
/// is tried again after a pause, not with every request.
#[test]
fn an_unreachable_target_gets_no_requests_during_its_pause() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    harness.placed();
    harness.scheduler.end(at(1), RequestSequence(1), RunEnd::Unreachable);
    let again = harness.enter(at(2), 0, 100);
    assert_eq!(harness.placed(), []);
    harness.scheduler.advance(at(150));
    assert_eq!(harness.placed(), []);
    harness.scheduler.advance(at(210));
    assert_eq!(harness.placed(), [(again, "t1".to_owned())]);
}

/// A peer is killed while it has nine requests at an engine, which drops them when their
/// connections close. The other VMs must stop counting their slots as taken.
#[test]
fn the_slots_of_a_silent_peer_become_free() {
    let mut harness = Harness::new(&[("t1", 9)]);
    let marks = vec![mark("t1", 9, 20.0, 20_000.0)];
    harness.receive(at(0), 1, LoadDigest { targets: marks, ..LoadDigest::default() });
    let waiting = harness.enter(at(10), 0, 100);
    assert_eq!(harness.placed(), []);
    harness.scheduler.advance(at(1_400));
    assert_eq!(harness.placed(), []);
    harness.scheduler.advance(at(1_510));
    assert_eq!(harness.placed(), [(waiting, "t1".to_owned())]);
}

/// The number of requests that run at a target according to this VM's reports from peers.
fn reported_running(harness: &Harness, name: &str, now: Moment) -> u32 {
    let load = harness.scheduler.targets().find(|load| load.entry().name.as_str() == name);
    load.expect("the target exists").running(now)
}

/// A VM sends a whole digest at intervals, and only changes in between. Digests may be lost, so
/// each change is repeated several times, and the next whole digest repairs any loss. Otherwise a
/// peer could take slots as free that are not, and send requests that find no slot.
#[test]
fn digests_of_changes_make_up_for_lost_ones() {
    let targets = [("t1", 2), ("t2", 2), ("t3", 2)];
    let (mut sender, mut peer) = (Harness::new(&targets), Harness::new(&targets));
    let send =
        |sender: &mut Harness, now| sender.scheduler.digest(now, FleetState::default(), false);
    for _ in 0..6 {
        sender.enter(at(0), 0, 100);
    }
    let whole = send(&mut sender, at(1));
    assert_eq!((whole.scope, whole.targets.len()), (DigestScope::Whole, 3));
    peer.receive(at(1), 1, whole);
    let first = sender.placed()[0].clone();
    sender.end(at(100), first.0);
    let lost = send(&mut sender, at(101));
    assert_eq!((lost.scope, lost.targets.len()), (DigestScope::Changes, 1));
    let again = send(&mut sender, at(107));
    peer.receive(at(108), 3, again);
    assert_eq!(reported_running(&peer, &first.1, at(108)), 1);
    let other = targets.iter().find(|(name, _)| *name != first.1).expect("another target exists");
    assert_eq!(reported_running(&peer, other.0, at(108)), 2, "an omitted target keeps its count");
    let later = send(&mut sender, at(200));
    assert_eq!((later.scope, later.targets.len()), (DigestScope::Changes, 0));
    let whole = send(&mut sender, at(410));
    assert_eq!((whole.scope, whole.targets.len()), (DigestScope::Whole, 3));
}

#[test]
fn a_service_without_targets_refuses_at_once() {
    let mut harness = Harness::new(&[]);
    let refused = harness.enter(at(0), 0, 100);
    assert_eq!(harness.refused(), [(refused, RefusalReason::NoTarget)]);
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut harness = Harness::new(&[("t1", 9), ("t2", 1)]);
    let leaving = TargetEntry { leaving: true, ..target("t1", 9) };
    harness.scheduler.set_targets(at(0), vec![leaving, target("t2", 1)]);
    harness.enter(at(1), 0, 100);
    harness.enter(at(2), 0, 100);
    assert_eq!(harness.placed(), [(1, "t2".to_owned())]);
}

/// Requests occupy a slot for half a second each, and a target has two slots. Behind six waiting
/// requests, a seventh would get a slot after 1.5 s, while its objective ends at 1 s. It must be
/// refused with a retry delay at once, not just before its caller stops waiting.
#[test]
fn a_request_that_the_queue_would_make_late_is_refused_at_once() {
    let mut harness = Harness::new(&[("t1", 2)]);
    for _ in 0..2 {
        let ticket = harness.enter(at(0), 0, 100);
        harness.end(at(500), ticket);
    }
    let tickets: Vec<u64> = (0..6).map(|_| harness.enter(at(600), 0, 100)).collect();
    assert_eq!(harness.refused(), [], "two have slots, and four can get theirs in time");
    harness.enter(at(600), 0, 100);
    let last = harness.enter(at(600), 0, 100);
    let refused = harness.refused();
    assert!(refused.contains(&(last, RefusalReason::Overload)), "{refused:?}");
    assert!(refused.iter().all(|(ticket, _)| !tickets.contains(ticket)), "{refused:?}");
}

/// A request has waited until it can no longer meet its objective, and another that still can is
/// queued. The first must be refused now, since it would stay behind every request that arrives.
#[test]
fn a_request_that_has_just_missed_its_objective_is_refused_while_others_wait() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    let missing = harness.enter(at(0), 0, 100);
    harness.enter(at(900), 0, 100);
    harness.scheduler.advance(at(960));
    assert_eq!(harness.refused(), []);
    harness.scheduler.advance(at(990));
    assert_eq!(harness.refused(), [(missing, RefusalReason::Overload)]);
}

/// A request that has missed its objective while no other waits must still be served once a slot is
/// free, late but before its caller stops waiting.
#[test]
fn a_late_request_is_still_served_when_no_other_waits() {
    let mut harness = Harness::new(&[("t1", 1)]);
    harness.enter(at(0), 0, 100);
    let late = harness.enter(at(0), 0, 100);
    harness.placed();
    for millis in (980..1_100).step_by(10) {
        harness.scheduler.advance(at(millis));
    }
    harness.end(at(1_500), 1);
    assert_eq!(harness.placed(), [(late, "t1".to_owned())]);
}

/// A target refuses connections, and a peer reports that all its slots are taken. The target
/// restarts under the same name, and the peer's next digest still describes the old incarnation.
/// Requests must go to the new incarnation at once, since no earlier state applies to it.
#[test]
fn a_new_incarnation_of_a_target_starts_without_state() {
    let mut harness = Harness::new(&[("t1", 2)]);
    harness.enter(at(0), 0, 100);
    harness.placed();
    harness.scheduler.end(at(10), RequestSequence(1), RunEnd::Unreachable);
    let busy = LoadDigest { targets: vec![mark("t1", 2, 20.0, 30_000.0)], ..Default::default() };
    harness.receive(at(11), 1, busy.clone());
    let waiting = harness.enter(at(12), 0, 100);
    assert_eq!(harness.placed(), [], "the target is paused and full");
    let restarted = TargetEntry { incarnation: TargetIncarnation(9), ..target("t1", 2) };
    harness.scheduler.set_targets(at(20), vec![restarted]);
    harness.receive(at(21), 2, busy);
    harness.scheduler.advance(at(25));
    assert_eq!(harness.placed(), [(waiting, "t1".to_owned())]);
}

/// A target is unreachable: its slots are all free, and every request sent there costs its caller
/// 300 ms. One VM has found out and reports it. The others must use the targets that work, even a
/// busier one.
#[test]
fn a_target_that_one_vm_cannot_reach_is_avoided_by_others() {
    let targets = [("t1", 9), ("t2", 2)];
    let mut detecting = Harness::named("e2", &targets);
    detecting
        .scheduler
        .enter(at(0), WaitingRequest { excluded: key_of("t2"), ..work(1, at(0), 0, 100) });
    detecting.scheduler.end(at(0), RequestSequence(1), RunEnd::Unreachable);
    let digest = detecting.scheduler.digest(at(0), FleetState::default(), false);
    let mut harness = Harness::new(&targets);
    harness.receive(at(0), 1, digest);
    harness.enter(at(1), 0, 100);
    harness.enter(at(1), 0, 100);
    assert_eq!(harness.placed(), [(1, "t2".to_owned()), (2, "t2".to_owned())]);
}

/// After the pause of an unreachable target, it must get a single request as a probe rather than
/// all waiting ones, each of which would wait 300 ms for a connection. Once the target has sent
/// anything, it is used as before.
#[test]
fn an_unreachable_target_gets_one_request_as_a_probe() {
    let mut harness = Harness::new(&[("t1", 9)]);
    harness.enter(at(0), 0, 100);
    harness.placed();
    harness.scheduler.end(at(10), RequestSequence(1), RunEnd::Unreachable);
    let probe = harness.enter(at(20), 0, 100);
    let behind = harness.enter(at(20), 0, 100);
    harness.scheduler.advance(at(250));
    assert_eq!(harness.placed(), [(probe, "t1".to_owned())]);
    harness.scheduler.record_event(at(300), RequestSequence(probe));
    harness.scheduler.advance(at(301));
    assert_eq!(harness.placed(), [(behind, "t1".to_owned())]);
}
