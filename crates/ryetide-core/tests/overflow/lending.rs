//! What the VMs of one cell lend, and which targets they do not lend.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    ids::{ServiceKey, TargetKey, VmName},
    load_digest::{DigestEnvelope, DigestScope, FleetState, LoadDigest, QueueReport},
    policy_update::{BorrowedLoad, PolicyUpdate, ShortageReport, SlotGrant},
    scheduler::Scheduler,
    slot_lending::{LendableSlots, LendableTarget, SlotLender},
    slot_turn::UrgencyClass,
    target_load::TargetEntry,
    target_notice::LimitNotice,
    units::{Moment, RequestRate},
};

use crate::fleet_simulation::{OVERFLOW_ONLY, VMS, name, scheduler, targets};

const SERVICE: ServiceKey = ServiceKey(1);

fn shortage(wanted: u16) -> PolicyUpdate {
    let shortages = vec![ShortageReport { service: SERVICE, wanted }];
    PolicyUpdate { shortages, ..PolicyUpdate::default() }
}

fn lendable(frees: &[u32], reserve: u32) -> LendableSlots {
    let target = |(index, free): (usize, &u32)| LendableTarget {
        key: TargetKey(index as u32),
        free: *free,
        is_granted_here: true,
    };
    let targets = frees.iter().enumerate().map(target).collect();
    LendableSlots { service: SERVICE, targets, reserve }
}

fn total(grants: &[SlotGrant], borrower: &VmName) -> u32 {
    let own = grants.iter().filter(|grant| grant.borrower == *borrower);
    own.map(|grant| u32::from(grant.slots)).sum()
}

/// Guards against slots sent to another data centre while a VM of the own one wants them, and
/// against one borrower taking what another of the same data centre wants as well.
#[test]
fn the_own_data_centre_comes_first_and_slots_are_spread_by_what_is_wanted() {
    let now = Moment::from_millis(1_000);
    let (near, other, far): (VmName, VmName, VmName) = ("n1".into(), "n2".into(), "f1".into());
    let mut lender = SlotLender::default();
    lender.record(now, &near, true, &shortage(6));
    lender.record(now, &other, true, &shortage(3));
    lender.record(now, &far, false, &shortage(9));
    let few = lender.plan(now, &[lendable(&[4, 4], 2)]);
    assert_eq!([&near, &other, &far].map(|vm| total(&few, vm)), [4, 2, 0]);
    let many = lender.plan(now, &[lendable(&[6, 6], 0)]);
    assert_eq!([&near, &other, &far].map(|vm| total(&many, vm)), [6, 3, 3]);
    assert!(lender.plan(now, &[lendable(&[3, 3], 7)]).is_empty());
}

/// Guards against a slot granted to two borrowers: shortages and free slots change at random, and
/// the grants that are valid at one time must never exceed the free slots at their issue.
#[test]
fn valid_grants_never_exceed_the_free_slots() {
    let mut rng = SmallRng::seed_from_u64(1);
    let names: Vec<VmName> = (0..6).map(name).collect();
    let (mut lender, mut issued) = (SlotLender::default(), Vec::new());
    for step in 0..2_000 {
        let now = Moment::from_millis(1_000 + step * 150);
        let vm = &names[rng.random_range(0..names.len())];
        lender.record(now, vm, rng.random_bool(0.5), &shortage(rng.random_range(0..8)));
        let frees: Vec<u32> = (0..3).map(|_| rng.random_range(3..=6)).collect();
        let grants = lender.plan(now, &[lendable(&frees, rng.random_range(0..4))]);
        lender.issue(now, &grants);
        let valid_since = now.before(Duration::from_millis(450));
        issued.retain(|(at, _): &(Moment, SlotGrant)| *at > valid_since);
        let renewed: Vec<TargetKey> = grants.iter().map(|grant| grant.target).collect();
        issued.extend(grants.into_iter().map(|grant| (now, grant)));
        for target in renewed {
            let mut most: BTreeMap<&VmName, u32> = BTreeMap::new();
            for (_, grant) in issued.iter().filter(|(_, grant)| grant.target == target) {
                let slots = most.entry(&grant.borrower).or_default();
                *slots = (*slots).max(u32::from(grant.slots));
            }
            assert!(most.values().sum::<u32>() <= 6, "step {step}: {most:?}");
        }
    }
}

/// Returns the schedulers of the cell of VM 0, which have heard from each other.
fn cell(targets: &[TargetEntry]) -> Vec<Scheduler> {
    let first = scheduler(0, 1, OVERFLOW_ONLY, targets);
    let members = (1..VMS).filter(|vm| first.is_cell_peer(&name(*vm)));
    let indices: Vec<usize> = [0].into_iter().chain(members).collect();
    let new = |index: &usize| scheduler(*index, 1, OVERFLOW_ONLY, targets);
    let mut cell: Vec<Scheduler> = indices.iter().map(new).collect();
    for from in &indices {
        let digest = LoadDigest { sequence: 1, ..LoadDigest::default() };
        for (to, scheduler) in indices.iter().zip(&mut cell).filter(|(to, _)| *to != from) {
            let data_centre = Some("hall-a".into()).filter(|_| to != from);
            let digest = LoadDigest { data_centre, ..digest.clone() };
            scheduler.apply_digest(Moment(2), DigestEnvelope { from: name(*from), digest });
        }
    }
    cell
}

/// Applies a brief digest of a VM of another data centre that wants 50 slots.
fn report(scheduler: &mut Scheduler, now: Moment, sequence: u64, borrowed: Vec<BorrowedLoad>) {
    let service = ServiceKey::of(&"drafting".into());
    let shortages = vec![ShortageReport { service, wanted: 50 }];
    let policies = PolicyUpdate { shortages, borrowed, ..PolicyUpdate::default() };
    let (scope, data_centre) = (DigestScope::Brief, Some("hall-c".into()));
    let digest = LoadDigest { sequence, scope, data_centre, policies, ..LoadDigest::default() };
    scheduler.apply_digest(now, DigestEnvelope { from: name(2 * VMS), digest });
}

fn grants_of(scheduler: &mut Scheduler, now: Moment) -> Vec<SlotGrant> {
    scheduler.brief_digest(now, FleetState::default(), false).policies.grants
}

/// Guards against slots lent while requests of the own cell wait for them.
#[test]
fn a_cell_with_waiting_requests_lends_nothing() {
    let now = Moment::from_millis(10);
    let service = ServiceKey::of(&"drafting".into());
    let mut granted = 0;
    for lender in &mut cell(&targets()) {
        report(lender, now, 1, Vec::new());
        granted += grants_of(lender, now).len();
        let peer = (0..VMS).map(name).find(|vm| lender.is_cell_peer(vm)).expect("a cell has peers");
        let waiting = vec![QueueReport { service, class: UrgencyClass::LEAST_ON_TIME, count: 1 }];
        let digest = LoadDigest { sequence: 2, waiting, ..LoadDigest::default() };
        lender.apply_digest(now, DigestEnvelope { from: peer, digest });
        assert_eq!(grants_of(lender, now), []);
    }
    assert!(granted > 0);
}

/// Guards against two VMs of a cell that grant the same slot, against slots of a target with a
/// rate limit or one that leaves, and against placements on top of borrowed runs.
#[test]
fn a_cell_lends_each_slot_once_and_counts_borrowed_runs() {
    let (now, later) = (Moment::from_millis(10), Moment::from_millis(400));
    let all = targets();
    let mut lenders = cell(&all);
    let mut granted = Vec::new();
    for scheduler in &mut lenders {
        report(scheduler, now, 1, Vec::new());
        granted.extend(grants_of(scheduler, now).into_iter().map(|grant| grant.target));
    }
    let count = granted.len();
    granted.sort_unstable();
    granted.dedup();
    assert!(count >= 8 && granted.len() == count, "{count} grants of {} targets", granted.len());

    let (limited, leaving, busy) = (granted[0], granted[1], granted[2]);
    let mark =
        |entry: &TargetEntry| TargetEntry { leaving: entry.key() == leaving, ..entry.clone() };
    let changed: Vec<TargetEntry> = all.iter().map(mark).collect();
    let borrowed = vec![BorrowedLoad { target: busy, running: 5, unread: 0 }];
    let mut renewed = Vec::new();
    for scheduler in &mut lenders {
        scheduler.set_targets(now, changed.clone());
        scheduler.record_limit(now, limited, LimitNotice::Named(RequestRate(9_000)), now);
        report(scheduler, later, 2, borrowed.clone());
        let load = scheduler.targets().find(|load| load.key() == busy).expect("it is known");
        assert_eq!(load.free_slots(later), 1);
        assert_eq!(load.free_slots(later + Duration::from_secs(2)), 6);
        renewed.extend(grants_of(scheduler, later).into_iter().map(|grant| grant.target));
    }
    assert!(!renewed.is_empty() && !renewed.contains(&limited) && !renewed.contains(&leaving));
}
