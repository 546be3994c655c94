//! One VM's scheduler: placing, waiting, yielding, refusing.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RefusalReason, RunEnd},
    ids::{Incarnation, RequestSequence, ServiceKey, ServiceName, TargetKey, TargetLife},
    load_digest::{DigestEnvelope, DigestScope, FleetNews, LoadDigest, TargetMark, WaitMark},
    pace::{AssumedPace, FadingMean, PaceReport},
    place_turn::ClaimClass,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    units::{Moment, TierRank, Tokens},
    wait_line::WaitingWork,
};

const SERVICE: &str = "drafting";

struct Bench {
    scheduler: Scheduler,
    next: u64,
}

fn target(name: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        life: Default::default(),
        version: "v1".into(),
        service: SERVICE.into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn work(ticket: u64, now: Moment, tier: u8, prompt: u64) -> WaitingWork {
    WaitingWork {
        ticket: RequestSequence(ticket),
        service: SERVICE.into(),
        tier: TierRank(tier),
        route_tier: TierRank(tier),
        engine: true,
        prompt: Tokens(prompt),
        part: None,
        events: 50,
        arrived: now,
        came_back: false,
        objective_at: now + Duration::from_millis(1_000),
        leave_at: now + Duration::from_millis(4_000),
        pause: Some(Duration::from_millis(400)),
        begun: false,
        excluded: Vec::new(),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

impl Bench {
    fn new(targets: &[(&str, u32)]) -> Self {
        Self::named("e1", targets)
    }

    fn named(name: &str, targets: &[(&str, u32)]) -> Self {
        let mut scheduler = Scheduler::new(SchedulerOptions {
            name: name.into(),
            data_centre: "hall-a".into(),
            incarnation: Incarnation(1),
            seed: 1,
            retry: RetryRule::default(),
            rollout: Default::default(),
            assumed: AssumedPace::default(),
        });
        let entries = targets.iter().map(|(name, slots)| target(name, *slots)).collect();
        // Nothing is new any more when a test begins.
        scheduler.set_targets(Moment::from_millis(1), entries);
        Self { scheduler, next: 0 }
    }

    /// Takes a request in, and returns its number.
    fn enter(&mut self, now: Moment, tier: u8, prompt: u64) -> u64 {
        self.next += 1;
        self.scheduler.enter(now, work(self.next, now, tier, prompt));
        self.next
    }

    /// The placements made since the last look, as request and target.
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

    fn hear(&mut self, now: Moment, sequence: u64, digest: LoadDigest) {
        self.hear_from("e2", now, sequence, digest);
    }

    fn hear_from(&mut self, peer: &str, now: Moment, sequence: u64, digest: LoadDigest) {
        let digest = LoadDigest { incarnation: Incarnation(2), sequence, ..digest };
        self.scheduler.take_digest(now, DigestEnvelope { from: peer.into(), digest });
    }
}

fn key_of(name: &str) -> Vec<TargetKey> {
    vec![TargetKey::of(&name.into())]
}

/// What a peer knows of a target: microseconds for a prompt token, and between events.
fn mark(name: &str, running: u16, prompt: f32, event: f32) -> TargetMark {
    let figure = |mean| FadingMean { mean, weight: 6.0 };
    TargetMark {
        target: TargetKey::of(&name.into()),
        running,
        unread: 0,
        doubtful: false,
        pace: Some(PaceReport { prompt: figure(prompt), event: figure(event) }),
    }
}

fn waiting(tier: u8, count: u16) -> WaitMark {
    let service = ServiceKey::of(&ServiceName::from(SERVICE));
    let tier = TierRank(tier);
    WaitMark { service, class: ClaimClass { late: false, tier, route_tier: tier }, count }
}

#[test]
fn a_request_is_placed_at_once_while_there_is_a_place() {
    let mut bench = Bench::new(&[("t1", 2)]);
    assert_eq!(bench.enter(at(0), 2, 100), 1);
    assert_eq!(bench.placed(), [(1, "t1".to_owned())]);
}

/// All VMs have just started and know nothing of the targets' speed. Sixty requests come at once for
/// one target of four slots. Nobody may be refused because of a speed that was only assumed.
#[test]
fn nobody_is_refused_on_an_assumed_speed() {
    let mut bench = Bench::new(&[("t1", 4)]);
    for _ in 0..20 {
        bench.enter(at(0), 0, 1_000);
    }
    assert_eq!(bench.refused(), []);
}

#[test]
fn the_urgent_tier_takes_the_next_place_though_it_came_later() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 2, 100);
    let routine = bench.enter(at(10), 2, 100);
    let urgent = bench.enter(at(20), 0, 100);
    bench.placed();
    bench.end(at(100), 1);
    assert_eq!(bench.placed(), [(urgent, "t1".to_owned())]);
    bench.end(at(200), urgent);
    assert_eq!(bench.placed(), [(routine, "t1".to_owned())]);
}

/// An organisation's rank makes all its requests one tier. Of these the more urgent route goes first though
/// its objective is the farther one: by the nearest objective, long urgent requests would always come
/// last in a burst, until they miss theirs.
#[test]
fn the_more_urgent_route_goes_first_within_a_tier() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    let routine =
        WaitingWork { route_tier: TierRank(2), objective_at: at(500), ..work(11, at(10), 0, 100) };
    bench.scheduler.enter(at(10), routine);
    bench.scheduler.enter(at(20), work(12, at(20), 0, 100));
    bench.placed();
    bench.end(at(100), 1);
    assert_eq!(bench.placed(), [(12, "t1".to_owned())]);
}

/// A place is free at an engine that will begin the request just within its objective, with less to spare
/// than is liked. Another engine would be faster and has no place. To wait for one would use up what is
/// left: the place that is free is taken.
#[test]
fn a_place_that_is_tight_is_taken_and_not_waited_out() {
    let mut bench = Bench::new(&[("slow", 2), ("fast", 1)]);
    let marks = vec![mark("slow", 0, 60.0, 20_000.0), mark("fast", 1, 12.5, 16_000.0)];
    bench.hear(at(0), 1, LoadDigest { targets: marks, ..LoadDigest::default() });
    let tight = bench.enter(at(1), 0, 13_500);
    assert_eq!(bench.placed(), [(tight, "slow".to_owned())]);
}

/// A stream broke and has to go on elsewhere, later than is on time. It waits behind all that can
/// still meet their objective, is never refused for them, since its caller has a part of it already,
/// and goes on when they are served.
#[test]
fn a_late_stream_that_has_begun_goes_behind_what_is_on_time() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    let late = 99;
    let begun = WaitingWork { begun: true, ..work(late, at(0), 0, 100) };
    assert!(bench.scheduler.enter_again(at(0), begun, true));
    let fresh = bench.enter(at(1_500), 2, 100);
    bench.placed();
    bench.end(at(1_600), 1);
    assert_eq!(bench.placed(), [(fresh, "t1".to_owned())]);
    bench.end(at(1_700), fresh);
    assert_eq!(bench.placed(), [(late, "t1".to_owned())]);
}

/// A caller leaves at 4 s. Just before, it is told that its request has not run, so that it may come
/// back; a request still in line after it has gone would be worked on for nobody.
#[test]
fn a_request_still_in_line_is_refused_before_its_caller_leaves() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    let waiting = bench.enter(at(0), 0, 100);
    bench.scheduler.advance(at(3_800));
    assert_eq!(bench.refused(), []);
    bench.scheduler.advance(at(3_860));
    assert_eq!(bench.refused(), [(waiting, RefusalReason::OutOfTime)]);
}

/// The last place is free here, and a more urgent request has waited at a peer for 200 ms. A request
/// here that has waited too, but is less urgent, must leave the place to it; only when the peer has
/// not taken it after a while, because it cannot use it, does it go.
#[test]
fn a_free_place_is_left_to_the_more_urgent_at_a_peer() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 2, 100);
    let routine = bench.enter(at(0), 2, 100);
    bench.placed();
    let digest = LoadDigest { waiting: vec![waiting(0, 1)], ..LoadDigest::default() };
    bench.hear(at(100), 1, digest);
    bench.end(at(110), 1);
    assert_eq!(bench.placed(), [], "the place is the peer's");
    bench.scheduler.advance(at(115));
    assert_eq!(bench.placed(), []);
    bench.scheduler.advance(at(130));
    assert_eq!(bench.placed(), [(routine, "t1".to_owned())], "the peer has not taken it");
}

/// All places are taken and two VMs have lines. A target is added, and both learn of it at once. One takes
/// its places; if both did, half of what they send would find no slot.
#[test]
fn a_new_target_is_not_taken_by_all_vms_at_once() {
    let first_takes = |own: &str, other: &str| {
        let mut bench = Bench::named(own, &[("t1", 1)]);
        bench.enter(at(0), 0, 100);
        bench.enter(at(0), 0, 100);
        bench.placed();
        let digest = LoadDigest { waiting: vec![waiting(0, 1)], ..LoadDigest::default() };
        bench.hear_from(other, at(100), 1, digest);
        let targets = vec![target("t1", 1), target("t2", 1)];
        bench.scheduler.set_targets(at(110), targets);
        !bench.placed().is_empty()
    };
    let (first, second) = (first_takes("e1", "e2"), first_takes("e2", "e1"));
    assert!(first != second, "e1 {first}, e2 {second}");
}

/// One engine reads 18 tokens a millisecond, the other 80. Short requests run at both. A prompt of
/// 12,000 tokens would hold up every stream at the slow one for over 600 ms. It goes to the fast one,
/// and waits for it when it is full, even when it is late already: one caller's late answer is worth
/// less than eight others' pauses.
#[test]
fn a_long_prompt_never_stalls_the_streams_of_a_slow_engine() {
    let mut bench = Bench::new(&[("slow", 9), ("fast", 1)]);
    let marks = vec![mark("slow", 2, 55.0, 70_000.0), mark("fast", 0, 12.5, 16_000.0)];
    let digest = LoadDigest { targets: marks, ..LoadDigest::default() };
    bench.hear(at(0), 1, digest.clone());
    let first = bench.enter(at(1), 0, 12_000);
    assert_eq!(bench.placed(), [(first, "fast".to_owned())]);
    let second = bench.enter(at(2), 0, 12_000);
    assert_eq!(bench.placed(), []);
    bench.hear(at(1_000), 2, digest.clone());
    bench.scheduler.advance(at(1_100));
    bench.hear(at(2_400), 3, digest);
    bench.scheduler.advance(at(2_500));
    assert_eq!(bench.placed(), [], "late, and still not at the slow engine");
    bench.end(at(2_600), first);
    assert_eq!(bench.placed(), [(second, "fast".to_owned())]);
}

/// A target crashes and refuses connections. Its requests go elsewhere at once, and it is tried again
/// a little later, not with every request.
#[test]
fn an_unreachable_target_is_passed_over_for_a_while() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    bench.placed();
    bench.scheduler.end(at(1), RequestSequence(1), RunEnd::Unreachable);
    let again = bench.enter(at(2), 0, 100);
    assert_eq!(bench.placed(), []);
    bench.scheduler.advance(at(150));
    assert_eq!(bench.placed(), []);
    bench.scheduler.advance(at(210));
    assert_eq!(bench.placed(), [(again, "t1".to_owned())]);
}

/// A peer is killed with nine requests at an engine; the engine drops them when their connections
/// close. The places must not stay taken in the books of the others.
#[test]
fn the_places_of_a_silent_peer_come_free() {
    let mut bench = Bench::new(&[("t1", 9)]);
    let marks = vec![mark("t1", 9, 20.0, 20_000.0)];
    bench.hear(at(0), 1, LoadDigest { targets: marks, ..LoadDigest::default() });
    let waiting = bench.enter(at(10), 0, 100);
    assert_eq!(bench.placed(), []);
    bench.scheduler.advance(at(1_400));
    assert_eq!(bench.placed(), []);
    bench.scheduler.advance(at(1_510));
    assert_eq!(bench.placed(), [(waiting, "t1".to_owned())]);
}

/// What a peer believes to run at a target.
fn believed(bench: &Bench, name: &str, now: Moment) -> u32 {
    let load = bench.scheduler.targets().find(|load| load.entry().name.as_str() == name);
    load.expect("a target").running(now)
}

/// A VM tells everything now and then, and in between only what has changed. Digests are lost: each change
/// is told several times, and what was lost every time is told with the next whole digest. A peer that took
/// places for free which are not would send requests that find no slot.
#[test]
fn changes_are_told_alone_and_make_good_for_lost_digests() {
    let targets = [("t1", 2), ("t2", 2), ("t3", 2)];
    let (mut teller, mut peer) = (Bench::new(&targets), Bench::new(&targets));
    let tell = |teller: &mut Bench, now| teller.scheduler.digest(now, FleetNews::default(), false);
    for _ in 0..6 {
        teller.enter(at(0), 0, 100);
    }
    let whole = tell(&mut teller, at(1));
    assert_eq!((whole.scope, whole.targets.len()), (DigestScope::Whole, 3));
    peer.hear(at(1), 1, whole);
    let first = teller.placed()[0].clone();
    teller.end(at(100), first.0);
    let lost = tell(&mut teller, at(101));
    assert_eq!((lost.scope, lost.targets.len()), (DigestScope::Changes, 1));
    let again = tell(&mut teller, at(107));
    peer.hear(at(108), 3, again);
    assert_eq!(believed(&peer, &first.1, at(108)), 1);
    let other = targets.iter().find(|(name, _)| *name != first.1).expect("another");
    assert_eq!(believed(&peer, other.0, at(108)), 2, "what is not named goes on");
    let later = tell(&mut teller, at(200));
    assert_eq!((later.scope, later.targets.len()), (DigestScope::Changes, 0));
    let whole = tell(&mut teller, at(410));
    assert_eq!((whole.scope, whole.targets.len()), (DigestScope::Whole, 3));
}

#[test]
fn a_service_without_targets_refuses_at_once() {
    let mut bench = Bench::new(&[]);
    let refused = bench.enter(at(0), 0, 100);
    assert_eq!(bench.refused(), [(refused, RefusalReason::NoTarget)]);
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut bench = Bench::new(&[("t1", 9), ("t2", 1)]);
    let leaving = TargetEntry { leaving: true, ..target("t1", 9) };
    bench.scheduler.set_targets(at(0), vec![leaving, target("t2", 1)]);
    bench.enter(at(1), 0, 100);
    bench.enter(at(2), 0, 100);
    assert_eq!(bench.placed(), [(1, "t2".to_owned())]);
}

/// Requests hold a place for half a second each, and a target has two. Six wait in line; a seventh
/// would have its turn after 1.5 s, and its objective is at 1 s. It is told so at once, with a time to
/// come back, instead of after the whole patience of its caller.
#[test]
fn a_request_that_the_line_would_make_late_is_refused_at_once() {
    let mut bench = Bench::new(&[("t1", 2)]);
    for _ in 0..2 {
        let ticket = bench.enter(at(0), 0, 100);
        bench.end(at(500), ticket);
    }
    let tickets: Vec<u64> = (0..6).map(|_| bench.enter(at(600), 0, 100)).collect();
    assert_eq!(bench.refused(), [], "two have places, and four can have theirs in time");
    bench.enter(at(600), 0, 100);
    let last = bench.enter(at(600), 0, 100);
    let refused = bench.refused();
    assert!(refused.contains(&(last, RefusalReason::Overload)), "{refused:?}");
    assert!(refused.iter().all(|(ticket, _)| !tickets.contains(ticket)), "{refused:?}");
}

/// A request has waited until it can no longer meet its objective, and another that can stands in line
/// too. The first is told to come back now; it would stay behind all that come.
#[test]
fn a_request_that_has_just_missed_its_objective_is_refused_while_others_wait() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    let missing = bench.enter(at(0), 0, 100);
    bench.enter(at(900), 0, 100);
    bench.scheduler.advance(at(960));
    assert_eq!(bench.refused(), []);
    bench.scheduler.advance(at(990));
    assert_eq!(bench.refused(), [(missing, RefusalReason::Overload)]);
}

/// Nobody else waits: then a request that has missed its objective is served as soon as there is a
/// place, late but before its caller leaves.
#[test]
fn a_request_that_is_late_alone_is_still_served() {
    let mut bench = Bench::new(&[("t1", 1)]);
    bench.enter(at(0), 0, 100);
    let late = bench.enter(at(0), 0, 100);
    bench.placed();
    for millis in (980..1_100).step_by(10) {
        bench.scheduler.advance(at(millis));
    }
    bench.end(at(1_500), 1);
    assert_eq!(bench.placed(), [(late, "t1".to_owned())]);
}

/// A target fails to open connections, and a peer says that all its places are taken. It starts again under its
/// old name, and the peer's next digest still speaks of the earlier life. Requests must go to the new one at
/// once: nothing of what was known before holds for it.
#[test]
fn a_new_life_of_a_target_starts_with_nothing_known() {
    let mut bench = Bench::new(&[("t1", 2)]);
    bench.enter(at(0), 0, 100);
    bench.placed();
    bench.scheduler.end(at(10), RequestSequence(1), RunEnd::Unreachable);
    let busy = LoadDigest { targets: vec![mark("t1", 2, 20.0, 30_000.0)], ..Default::default() };
    bench.hear(at(11), 1, busy.clone());
    let waiting = bench.enter(at(12), 0, 100);
    assert_eq!(bench.placed(), [], "paused, and full");
    let restarted = TargetEntry { life: TargetLife(9), ..target("t1", 2) };
    bench.scheduler.set_targets(at(20), vec![restarted]);
    bench.hear(at(21), 2, busy);
    bench.scheduler.advance(at(25));
    assert_eq!(bench.placed(), [(waiting, "t1".to_owned())]);
}

/// A target lies dark: its places are all free, and every request sent there costs its caller 300 ms. One VM has
/// found out and tells the others, who must use the targets that work, also a busier one.
#[test]
fn what_one_vm_cannot_reach_the_others_pass_over() {
    let targets = [("t1", 9), ("t2", 2)];
    let mut finder = Bench::named("e2", &targets);
    finder.scheduler.enter(at(0), WaitingWork { excluded: key_of("t2"), ..work(1, at(0), 0, 100) });
    finder.scheduler.end(at(0), RequestSequence(1), RunEnd::Unreachable);
    let told = finder.scheduler.digest(at(0), FleetNews::default(), false);
    let mut bench = Bench::new(&targets);
    bench.hear(at(0), 1, told);
    bench.enter(at(1), 0, 100);
    bench.enter(at(1), 0, 100);
    assert_eq!(bench.placed(), [(1, "t2".to_owned()), (2, "t2".to_owned())]);
}

/// A target could not be reached. When its pause is over it gets one request, not all that wait: each would wait
/// 300 ms for a connection. Once anything has come from it, it is used as before.
#[test]
fn a_target_that_was_not_reached_gets_one_request_to_find_out() {
    let mut bench = Bench::new(&[("t1", 9)]);
    bench.enter(at(0), 0, 100);
    bench.placed();
    bench.scheduler.end(at(10), RequestSequence(1), RunEnd::Unreachable);
    let probe = bench.enter(at(20), 0, 100);
    let behind = bench.enter(at(20), 0, 100);
    bench.scheduler.advance(at(250));
    assert_eq!(bench.placed(), [(probe, "t1".to_owned())]);
    bench.scheduler.note_event(at(300), RequestSequence(probe));
    bench.scheduler.advance(at(301));
    assert_eq!(bench.placed(), [(behind, "t1".to_owned())]);
}
