//! Tests of the queue's order of service by tier, organisation and deadline.

use std::time::Duration;

use ryetide_core::{
    ids::OrganisationKey,
    queue::{FairQueue, QueueTicket},
    units::{Moment, ShareWeight, TierRank, Tokens},
};

fn ticket(tier: u8, organisation: u32) -> QueueTicket {
    QueueTicket {
        tier: TierRank(tier),
        organisation: OrganisationKey(organisation),
        weight: ShareWeight(1),
        deadline: Moment::from_millis(1_000),
        cost: Tokens(100),
        work: Duration::from_millis(10),
    }
}

/// Guards against requests of a lower tier that wait forever although every slot is free: a tier
/// that became empty still keeps its organisations' virtual finish times, and must not hide the
/// tiers below it.
#[test]
fn an_emptied_tier_does_not_block_the_tiers_below_it() {
    let mut queue = FairQueue::new();
    queue.push("urgent", &ticket(0, 1));
    assert_eq!(queue.pop().map(|(key, _)| key), Some("urgent"));
    queue.push("routine", &ticket(1, 1));
    assert_eq!(queue.peek().map(|(key, _)| *key), Some("routine"));
    assert_eq!(queue.pop().map(|(key, _)| key), Some("routine"));
}

#[test]
fn tiers_are_served_in_order_of_urgency() {
    let mut queue = FairQueue::new();
    queue.push("routine", &ticket(2, 1));
    queue.push("urgent", &ticket(0, 1));
    queue.push("middle", &ticket(1, 1));
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).map(|(key, _)| key).collect();
    assert_eq!(order, ["urgent", "middle", "routine"]);
}

/// Guards against an organisation that waits behind the whole backlog of another: with 100 requests
/// of the heavy organisation queued first, the light one must be served within the next two.
#[test]
fn a_heavy_organisation_does_not_starve_a_light_one() {
    let mut queue = FairQueue::new();
    for number in 0..100 {
        queue.push(number, &ticket(0, 1));
    }
    for _ in 0..10 {
        queue.pop();
    }
    queue.push(1_000, &ticket(0, 2));
    let next: Vec<u32> = (0..2).filter_map(|_| queue.pop()).map(|(key, _)| key).collect();
    assert!(next.contains(&1_000), "served next: {next:?}");
}

#[test]
fn organisations_share_by_weight_in_tokens() {
    let mut queue = FairQueue::new();
    for _ in 0..90 {
        queue.push(1, &QueueTicket { weight: ShareWeight(2), ..ticket(0, 1) });
        queue.push(2, &ticket(0, 2));
    }
    let served: Vec<u32> = (0..60).filter_map(|_| queue.pop()).map(|(key, _)| key).collect();
    let heavy = served.iter().filter(|key| **key == 1).count();
    assert!((39..=41).contains(&heavy), "of 60, weight 2 got {heavy}");
}

/// Guards against an organisation that gets more than its share by sending one request at a time.
/// Its queue is empty after each request, and without the stored virtual finish time every request
/// would start at the front.
#[test]
fn an_emptied_queue_keeps_its_virtual_finish_time() {
    let mut queue = FairQueue::new();
    for number in 0..40 {
        queue.push(number, &ticket(0, 1));
    }
    let mut served = 0;
    queue.push(1_000, &ticket(0, 2));
    for _ in 0..20 {
        if queue.pop().is_some_and(|(key, _)| key == 1_000) {
            served += 1;
            queue.push(1_000, &ticket(0, 2));
        }
    }
    assert!((9..=11).contains(&served), "of 20, the second organisation got {served}");
}

#[test]
fn earlier_deadlines_go_first_within_an_organisation() {
    let mut queue = FairQueue::new();
    queue.push("late", &ticket(0, 1));
    queue.push("soon", &QueueTicket { deadline: Moment::from_millis(10), ..ticket(0, 1) });
    assert_eq!(queue.pop().map(|(key, _)| key), Some("soon"));
}

#[test]
fn removing_an_entry_updates_the_counts() {
    let mut queue = FairQueue::new();
    let place = queue.push("a", &ticket(0, 1));
    queue.push("b", &ticket(0, 2));
    assert_eq!(queue.remove(place), Some("a"));
    assert_eq!(queue.remove(place), None);
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.work_ahead(TierRank(0)), Duration::from_millis(10));
    assert_eq!(queue.pop().map(|(key, _)| key), Some("b"));
    assert!(queue.is_empty());
    assert_eq!(queue.work_ahead(TierRank(9)), Duration::ZERO);
}

/// Guards against requests of a light organisation that are refused because of the backlog of a
/// heavy one, although fair sharing would serve them soon: the work ahead must be per organisation.
#[test]
fn the_work_ahead_of_a_light_organisation_is_not_the_whole_backlog() {
    let mut queue = FairQueue::new();
    for number in 0..100 {
        queue.push(number, &ticket(0, 1));
    }
    let light = queue.work_ahead_of(TierRank(0), OrganisationKey(2));
    let heavy = queue.work_ahead_of(TierRank(0), OrganisationKey(1));
    assert_eq!(light, Duration::from_millis(10));
    assert_eq!(heavy, Duration::from_millis(1_000));
}

/// Guards against unbounded state: virtual finish times of organisations without waiting requests
/// must be dropped as others are served.
#[test]
fn state_does_not_grow_with_the_organisations_that_were_served() {
    let mut queue = FairQueue::new();
    for organisation in 0..1_000 {
        queue.push(organisation, &ticket(0, organisation));
        queue.pop();
    }
    assert!(queue.tracked_organisations() <= 2, "tracked {}", queue.tracked_organisations());
}
