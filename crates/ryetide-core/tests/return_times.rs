//! Decisions of a single VM's scheduler with return times, and the schedule behind them.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RunEnd},
    ids::{Incarnation, OrganisationKey, RequestSequence},
    quota::{QuotaCharge, QuotaRule, QuotaUnit},
    quota_allocator::{QuotaClass, QuotaReply, QuotaRequest},
    return_schedule::{ReturnBooking, ReturnInterval, ReturnSchedule, SlotCapacity},
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    scheduling_policy::{PolicySwitch, SchedulingPolicy},
    slot_turn::UrgencyClass,
    target_load::TargetEntry,
    target_speed::AssumedSpeed,
    units::{Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

const SLOT_TIME: Duration = Duration::from_millis(500);

fn class(tier: u8) -> UrgencyClass {
    UrgencyClass { late: false, tier: TierRank(tier), route_tier: TierRank(tier) }
}

fn capacity(slots: f64) -> SlotCapacity {
    SlotCapacity { slots, expected_slots: slots, late: Duration::ZERO }
}

/// Returns a schedule in an overload, with ten seconds of two arrivals per second behind it.
fn schedule(now: Moment) -> ReturnSchedule {
    let mut schedule = ReturnSchedule::default();
    (0..2).for_each(|tier| schedule.record_run(class(tier), SLOT_TIME));
    (0..20).rev().for_each(|it| schedule.record_arrival(now.before(SLOT_TIME * it), class(1)));
    schedule.record_overload(now);
    schedule
}

/// Guards against callers of one burst that are all told the same time.
#[test]
fn refused_callers_are_spread_over_the_expected_room() {
    let now = Moment::from_millis(60_000);
    let mut schedule = schedule(now);
    let mut intervals = Vec::new();
    for _ in 0..6 {
        let interval = schedule.first_free(now, now, capacity(3.0), class(1), &[]).unwrap();
        schedule.book(ReturnBooking { interval, class: class(1) });
        intervals.push(interval);
    }
    assert!(intervals.is_sorted(), "{intervals:?}");
    assert!(intervals[0] < intervals[3] && intervals[3] < intervals[5], "{intervals:?}");
    assert!(intervals[5].start() < now + Duration::from_secs(10), "{intervals:?}");
}

/// Guards against a more urgent request that is refused because less urgent ones are booked.
#[test]
fn bookings_of_less_urgent_requests_do_not_count() {
    let now = Moment::from_millis(60_000);
    let mut schedule = schedule(now);
    let first = schedule.first_free(now, now, capacity(3.0), class(0), &[]).unwrap();
    for _ in 0..5 {
        let interval = schedule.first_free(now, now, capacity(3.0), class(1), &[]).unwrap();
        schedule.book(ReturnBooking { interval, class: class(1) });
    }
    assert_eq!(schedule.first_free(now, now, capacity(3.0), class(0), &[]), Some(first));
}

/// Guards against times that a smaller number of targets cannot keep.
#[test]
fn a_loss_of_targets_moves_new_bookings() {
    let now = Moment::from_millis(60_000);
    let schedule = schedule(now);
    let first = |slots| schedule.first_free(now, now, capacity(slots), class(1), &[]);
    assert!(first(1.5) > first(3.0));
    assert_eq!(first(0.5), None);
}

/// Guards against slots that stay reserved for callers who do not return.
#[test]
fn places_without_callers_are_released_and_counted() {
    let now = Moment::from_millis(60_000);
    let mut schedule = schedule(now);
    let interval = ReturnInterval::at(now + Duration::from_secs(2));
    schedule.book(ReturnBooking { interval, class: class(1) });
    assert!(!schedule.claim(now, class(1)), "a caller that returns early has no place");
    schedule.expire(interval.released_at());
    assert!(!schedule.claim(interval.released_at(), class(1)));
    let counts = schedule.counts();
    assert_eq!((counts.booked, counts.placed, counts.expired), (1, 0, 1));
}

/// Guards against callers over their quota that are all told the time of the first free units, while
/// the units refill one after the other.
#[test]
fn callers_over_their_quota_return_at_the_rate_of_the_refill() {
    let mut scheduler = scheduler();
    let now = Moment::from_millis(1_000);
    scheduler.list_peers(now, &[]);
    let rule = QuotaRule { unit: QuotaUnit::Requests, rate: 2.0, burst: 1.0, default_tokens: 0 };
    let charge = QuotaCharge { key: OrganisationKey(7), units: 1 };
    let class = QuotaClass { tier: TierRank(0), route_tier: TierRank(0) };
    let mut delays = Vec::new();
    for ticket in (1..=8).map(RequestSequence) {
        let ask = QuotaRequest { ticket, charge, rule, class, late: false, wait_until: now };
        match scheduler.request_quota(now, ask) {
            QuotaReply::Over(delay) => delays.push(delay),
            answer => assert_eq!(answer, QuotaReply::Taken),
        }
    }
    assert_eq!(delays.len(), 7);
    for (delay, refills) in delays.into_iter().zip(1..) {
        assert!(delay >= SLOT_TIME * refills && delay < SLOT_TIME * (refills + 1), "{delay:?}");
    }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: Default::default(),
        rollout: Default::default(),
        assumed: AssumedSpeed::default(),
        policy: SchedulingPolicy { return_times: PolicySwitch::On, ..SchedulingPolicy::OFF },
    });
    let target = TargetEntry {
        name: "t1".into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 2,
        leaving: false,
        warmup: Duration::ZERO,
    };
    // The service becomes known with its targets.
    scheduler.set_targets(Moment::from_millis(1), vec![target]);
    scheduler
}

fn work(ticket: u64, now: Moment, left: Duration) -> WaitingRequest {
    WaitingRequest {
        ticket: RequestSequence(ticket),
        service: "drafting".into(),
        tier: TierRank(1),
        route_tier: TierRank(1),
        engine: true,
        prompt: Tokens(100),
        prompt_hash: None,
        events: 10,
        arrived: now,
        is_retry: false,
        objective_at: now + Duration::from_millis(400),
        leave_at: now + left,
        pause: None,
        begun: false,
        version: None,
        excluded: Vec::new(),
        may_rerun: true,
        organisation: Default::default(),
    }
}

/// Serves one request per second for 10 s, and then sends `count` requests at once. Returns their
/// retry delays with the times of their bookings.
fn overload(
    scheduler: &mut Scheduler,
    count: u64,
    left: Duration,
) -> Vec<(Duration, Option<Duration>)> {
    for ticket in 1..=10 {
        let now = Moment::from_millis(ticket * 1_000);
        scheduler.enter(now, work(ticket, now, left));
        scheduler.end(now + SLOT_TIME, RequestSequence(ticket), RunEnd::Whole);
    }
    scheduler.take_decisions();
    let now = Moment::from_millis(11_000);
    (100..100 + count).for_each(|ticket| scheduler.enter(now, work(ticket, now, left)));
    let refusal = |decision| match decision {
        Decision::Refuse { retry_after, booked_after, .. } => Some((retry_after, booked_after)),
        Decision::Place { .. } => None,
    };
    scheduler.take_decisions().into_iter().filter_map(refusal).collect()
}

/// Guards against the refusal of a request that can be served after the burst while its caller
/// still waits.
#[test]
fn a_request_is_kept_until_a_slot_is_expected() {
    let mut scheduler = scheduler();
    assert!(overload(&mut scheduler, 6, Duration::from_secs(12)).is_empty());
    assert_eq!(scheduler.waiting(), 4);
    assert!(scheduler.return_counts(Moment::from_millis(11_000)).kept > 0);
}

/// Guards against a time within the burst for a caller that cannot wait until its end.
#[test]
fn a_caller_is_told_the_time_of_its_place() {
    let mut scheduler = scheduler();
    let refused = overload(&mut scheduler, 8, Duration::from_millis(700));
    assert!(refused.len() >= 4, "{refused:?}");
    for (retry_after, booked_after) in &refused {
        let booked_after = booked_after.expect("a first refusal books a place");
        assert!(*retry_after >= booked_after && booked_after >= Duration::from_millis(300));
    }
    let last = refused.iter().map(|(retry_after, _)| *retry_after).max().unwrap();
    assert!(last > Duration::from_millis(1_000), "{refused:?}");
    let counts = scheduler.return_counts(Moment::from_millis(11_000));
    assert_eq!(counts.booked, refused.len() as u64);
}

/// Guards against a returned caller with a place that is refused while new requests are served.
#[test]
fn a_returned_caller_with_a_place_goes_before_new_requests() {
    let mut scheduler = scheduler();
    let refused = overload(&mut scheduler, 8, Duration::from_millis(700));
    let now = Moment::from_millis(11_000) + refused[0].0;
    let started = Moment::from_millis(11_000);
    for (tickets, slot_times) in [(100..102, 1), (102..104, 2)] {
        let ended = started + SLOT_TIME * slot_times;
        tickets.for_each(|it| scheduler.end(ended, RequestSequence(it), RunEnd::Whole));
    }
    let new = |ticket| work(ticket, now, Duration::from_secs(2));
    (200..203).for_each(|ticket| scheduler.enter(now, new(ticket)));
    let returned = WaitingRequest {
        is_retry: true,
        objective_at: now.before(Duration::from_secs(1)),
        ..new(210)
    };
    scheduler.enter(now, returned);
    scheduler.take_decisions();
    scheduler.end(now, RequestSequence(200), RunEnd::Whole);
    let decisions = scheduler.take_decisions();
    let first = decisions.iter().find_map(|decision| match decision {
        Decision::Place { ticket, .. } => Some(ticket.0),
        Decision::Refuse { .. } => None,
    });
    assert_eq!(first, Some(210), "{decisions:?}");
    assert_eq!(scheduler.return_counts(now).placed, 1);
}
