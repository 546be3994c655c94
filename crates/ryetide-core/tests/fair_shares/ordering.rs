//! Decisions of a single scheduler about requests of several organisations.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RunEnd},
    ids::{Incarnation, OrganisationKey, RequestSequence, ServiceKey},
    load_digest::{DigestEnvelope, DigestScope, FleetState, LoadDigest},
    organisation_usage::{HALF_LIFE, OrganisationUsage},
    policy_update::{PolicyUpdate, UsageReport},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    scheduling_policy::{PolicySwitch, SchedulingPolicy},
    target_load::TargetEntry,
    target_speed::AssumedSpeed,
    units::{Moment, TierRank, Tokens},
    wait_queue::WaitingRequest,
};

const LARGE: OrganisationKey = OrganisationKey(1);
const SMALL: OrganisationKey = OrganisationKey(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

/// A scheduler with one target of one slot, which a request occupies.
fn busy_scheduler(fair_shares: PolicySwitch) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedSpeed::default(),
        policy: SchedulingPolicy { fair_shares, ..SchedulingPolicy::OFF },
    });
    let target = TargetEntry {
        name: "t1".into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 1,
        leaving: false,
        warmup: Duration::ZERO,
    };
    scheduler.set_targets(Moment::from_millis(1), vec![target]);
    scheduler.list_peers(Moment::from_millis(1), &[]);
    enter(&mut scheduler, 1, 0, SMALL);
    assert_eq!(placed(&mut scheduler), [1]);
    scheduler
}

fn enter(scheduler: &mut Scheduler, ticket: u64, tier: u8, organisation: OrganisationKey) {
    let now = at(ticket);
    scheduler.enter(
        now,
        WaitingRequest {
            ticket: RequestSequence(ticket),
            service: "drafting".into(),
            tier: TierRank(tier),
            route_tier: TierRank(tier),
            engine: true,
            prompt: Tokens(2_000),
            prompt_hash: None,
            events: 20,
            arrived: now,
            is_retry: false,
            objective_at: now + Duration::from_secs(2),
            leave_at: now + Duration::from_secs(8),
            pause: None,
            begun: false,
            version: None,
            excluded: Vec::new(),
            organisation,
            may_rerun: true,
        },
    );
}

fn placed(scheduler: &mut Scheduler) -> Vec<u64> {
    let decisions = scheduler.take_decisions().into_iter();
    let place = |decision| match decision {
        Decision::Place { ticket, .. } => ticket.0,
        Decision::Refuse { ticket, .. } => panic!("{ticket} was refused"),
    };
    decisions.map(place).collect()
}

/// Reports from a peer that an organisation has used ten seconds of engine time.
fn report_usage(scheduler: &mut Scheduler, organisation: OrganisationKey) {
    let service = ServiceKey::of(&"drafting".into());
    let usage = vec![UsageReport { organisation, service, millis: 10_000 }];
    let policies = PolicyUpdate { usage, ..PolicyUpdate::default() };
    let digest = LoadDigest {
        incarnation: Incarnation(1),
        sequence: 1,
        scope: DigestScope::Brief,
        policies,
        ..LoadDigest::default()
    };
    scheduler.apply_digest(at(2), DigestEnvelope { from: "e2".into(), digest });
}

fn next_placed(scheduler: &mut Scheduler, running: u64) -> Vec<u64> {
    scheduler.end(at(20), RequestSequence(running), RunEnd::Whole);
    placed(scheduler)
}

/// What peers have served does not count, so each VM lets an organisation use a whole share.
#[test]
fn usage_at_peers_puts_an_organisation_behind_others() {
    for (fair_shares, first) in [(PolicySwitch::On, 4), (PolicySwitch::Off, 3)] {
        let mut scheduler = busy_scheduler(fair_shares);
        report_usage(&mut scheduler, LARGE);
        enter(&mut scheduler, 3, 0, LARGE);
        enter(&mut scheduler, 4, 0, SMALL);
        assert_eq!(next_placed(&mut scheduler, 1), [first]);
    }
}

/// A share overrides the tier.
#[test]
fn a_more_urgent_tier_goes_first_above_its_share() {
    let mut scheduler = busy_scheduler(PolicySwitch::On);
    report_usage(&mut scheduler, LARGE);
    enter(&mut scheduler, 3, 1, SMALL);
    enter(&mut scheduler, 4, 0, LARGE);
    assert_eq!(next_placed(&mut scheduler, 1), [4]);
}

/// An organisation is logged with each request above its share, or the excess is not seen at all.
#[test]
fn an_exceeded_share_is_reported_once() {
    let mut scheduler = busy_scheduler(PolicySwitch::On);
    report_usage(&mut scheduler, LARGE);
    (3..6).for_each(|ticket| enter(&mut scheduler, ticket, 0, LARGE));
    enter(&mut scheduler, 6, 0, SMALL);
    let activity = scheduler.take_share_activity(at(6));
    assert_eq!((activity.sources, activity.over_share, activity.deferred), (1, 1, 3));
    let organisations: Vec<_> = activity.exceeded.iter().map(|it| it.organisation).collect();
    assert_eq!(organisations, [LARGE]);
}

/// A message has other bytes than in the previous release although the policy is off.
#[test]
fn digests_hold_usage_only_while_the_policy_is_on() {
    for (fair_shares, entries) in [(PolicySwitch::On, 1), (PolicySwitch::Off, 0)] {
        let mut scheduler = busy_scheduler(fair_shares);
        let brief = scheduler.brief_digest(at(10), FleetState::default(), false);
        assert_eq!(brief.policies.usage.len(), entries);
        let whole = scheduler.digest(at(10), FleetState::default(), false);
        assert_eq!((whole.scope, whole.policies.usage.len()), (DigestScope::Whole, entries));
    }
}

/// An organisation is charged for requests that its targets turned away.
#[test]
fn a_request_that_did_not_run_is_not_charged() {
    let mut scheduler = busy_scheduler(PolicySwitch::On);
    scheduler.end(at(1), RequestSequence(1), RunEnd::TurnedAway);
    let digest = scheduler.brief_digest(at(1), FleetState::default(), false);
    assert_eq!(digest.policies.usage, []);
}

/// The last report of a failed VM counts for ever, or a repeated one counts twice.
#[test]
fn a_lost_report_decays_and_a_repeated_one_counts_once() {
    let mut usage = OrganisationUsage::default();
    usage.merge(at(0), &"e2".into(), [(LARGE, 8_000)]);
    usage.merge(at(0), &"e2".into(), [(LARGE, 8_000)]);
    assert_eq!(usage.of(at(0), LARGE), 8.0);
    assert_eq!(usage.of(at(0) + HALF_LIFE, LARGE), 4.0);
    assert_eq!(usage.sources(at(0) + HALF_LIFE * 3).count(), 0);
}
