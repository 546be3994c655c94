//! Single decisions of one VM's scheduler about a target that fails.

use std::time::Duration;

use ryetide_core::{
    decision::{Decision, RunEnd},
    ids::{Incarnation, RequestSequence, TargetIncarnation, TargetKey},
    load_digest::{DigestEnvelope, DigestScope, LoadDigest},
    policy_update::{OutcomeReport, PolicyUpdate},
    scheduler::Scheduler,
    target_load::TargetEntry,
    units::Moment,
    wait_queue::WaitingRequest,
};

use crate::failing_fleet::{self, FailingFleet};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns the first VM of two, and its three targets.
fn new_vm() -> (Scheduler, Vec<TargetEntry>) {
    let FailingFleet { mut schedulers, entries, .. } = FailingFleet::new(3, 3, 7, 1);
    (schedulers.swap_remove(0), entries)
}

/// Applies a peer's report on the first target.
fn hear(scheduler: &mut Scheduler, now: Moment, peer: &str, sequence: u64, counts: (u16, u16)) {
    hear_from("hall-a", scheduler, now, peer, sequence, counts);
}

fn hear_from(
    data_centre: &str,
    scheduler: &mut Scheduler,
    now: Moment,
    peer: &str,
    sequence: u64,
    counts: (u16, u16),
) {
    let target = failing_fleet::first_key(7);
    let report = OutcomeReport { target, answered: counts.0, failed: counts.1 };
    let digest = LoadDigest {
        incarnation: Incarnation(1),
        sequence,
        scope: DigestScope::Whole,
        data_centre: Some(data_centre.into()),
        policies: PolicyUpdate { outcomes: vec![report], ..Default::default() },
        ..Default::default()
    };
    scheduler.apply_digest(now, DigestEnvelope { from: peer.into(), digest });
}

fn eject_first(scheduler: &mut Scheduler, now: Moment) {
    hear(scheduler, now, "e1", 1, (0, 2));
    hear(scheduler, now, "e2", 1, (0, 2));
    assert_eq!(scheduler.ejected_targets(), 1);
}

/// Enters a request and returns its target, which gets nothing else meanwhile.
fn place(
    scheduler: &mut Scheduler,
    now: Moment,
    ticket: u64,
    may_rerun: bool,
) -> Option<TargetKey> {
    scheduler.enter(now, failing_fleet::work(ticket, may_rerun, now));
    placed(scheduler)
}

fn placed(scheduler: &mut Scheduler) -> Option<TargetKey> {
    let decision = scheduler.take_decisions().pop()?;
    if let Decision::Place { target, .. } = decision { Some(target.key()) } else { None }
}

/// Guards against a VM that has just started and sends requests to a target that its peers know to
/// fail.
#[test]
fn a_started_vm_learns_of_failing_targets_from_digests() {
    let (mut scheduler, entries) = new_vm();
    eject_first(&mut scheduler, at(10));
    for ticket in 1..=6 {
        let target = place(&mut scheduler, at(20), ticket, false);
        assert!(target.is_some() && target != Some(entries[0].key()));
    }
}

/// Guards against one VM's network fault ejecting a target for all.
#[test]
fn a_single_peer_ejects_no_target_elsewhere() {
    let (mut scheduler, _) = new_vm();
    hear(&mut scheduler, at(10), "e1", 1, (0, 50));
    assert_eq!(scheduler.ejected_targets(), 0);
}

/// Guards against a target that fails only the requests of another data centre being ejected here.
#[test]
fn failures_in_another_data_centre_eject_no_target_here() {
    let (mut scheduler, _) = new_vm();
    for peer in ["x1", "x2", "x3"] {
        hear_from("hall-b", &mut scheduler, at(10), peer, 1, (0, 50));
    }
    assert_eq!(scheduler.ejected_targets(), 0);
}

/// Guards against a target that has crashed under a request and stays without requests.
#[test]
fn a_crash_ends_the_ejection() {
    let (mut scheduler, entries) = new_vm();
    eject_first(&mut scheduler, at(10));
    scheduler.record_crash(at(20), entries[0].key(), &[]);
    assert_eq!(scheduler.ejected_targets(), 0);
}

/// Guards against a request being lost as a probe because it may not run again.
#[test]
fn a_request_that_may_not_run_again_is_no_probe() {
    let (mut scheduler, entries) = new_vm();
    eject_first(&mut scheduler, at(10));
    // With no digest since, the peers are out of reach, and the probe is this VM's.
    let now = at(5_000);
    assert_ne!(place(&mut scheduler, now, 1, false), Some(entries[0].key()));
    assert_eq!(place(&mut scheduler, now, 2, true), Some(entries[0].key()));
    // The next one is not due yet.
    assert_ne!(place(&mut scheduler, now, 3, true), Some(entries[0].key()));
    assert_eq!(scheduler.take_probes(), 1);
}

/// Guards against a request that waits for targets it may not use until its caller leaves, and
/// against probing with it while it can still be on time.
#[test]
fn a_request_without_another_target_waits_and_is_then_a_probe() {
    let (mut scheduler, entries) = new_vm();
    eject_first(&mut scheduler, at(10));
    let excluded = vec![entries[1].key(), entries[2].key()];
    let request = failing_fleet::work(1, false, at(5_000));
    scheduler.enter(at(5_000), WaitingRequest { excluded, ..request });
    scheduler.advance(at(5_500));
    assert_eq!(placed(&mut scheduler), None);
    scheduler.advance(at(6_100));
    assert_eq!(placed(&mut scheduler), Some(entries[0].key()));
}

/// Guards against a target that stays out for good where no request may run again.
#[test]
fn a_target_that_cannot_be_probed_returns_after_a_while() {
    let (mut scheduler, _) = new_vm();
    eject_first(&mut scheduler, at(10));
    for (ticket, (now, ejected)) in (1..).zip([(15_000, 1), (20_100, 0)]) {
        place(&mut scheduler, at(now), ticket, false);
        scheduler.end(at(now + 100), RequestSequence(ticket), RunEnd::Whole);
        assert_eq!(scheduler.ejected_targets(), ejected, "{now} ms");
    }
}

/// Guards against a failure of the earlier process being charged to the next one.
#[test]
fn a_new_incarnation_starts_without_evidence() {
    let (mut scheduler, mut entries) = new_vm();
    eject_first(&mut scheduler, at(10));
    entries[0].incarnation = TargetIncarnation(8);
    scheduler.set_targets(at(20), entries.clone());
    hear(&mut scheduler, at(30), "e1", 2, (0, 9));
    hear(&mut scheduler, at(30), "e2", 2, (0, 9));
    assert_eq!(scheduler.ejected_targets(), 0);
    let targets: Vec<_> = (1..=6).map(|it| place(&mut scheduler, at(40), it, false)).collect();
    assert!(targets.contains(&Some(entries[0].key())));
}

/// Guards against probes stopping when the VM that would send them has failed or has no requests.
#[test]
fn another_vm_probes_if_the_first_does_not() {
    let mut probing = 0;
    let FailingFleet { schedulers, entries, .. } = FailingFleet::new(3, 3, 7, 1);
    for (index, mut scheduler) in schedulers.into_iter().enumerate() {
        let peers: Vec<String> =
            (0..3).filter(|vm| *vm != index).map(|vm| format!("e{vm}")).collect();
        for sequence in 1..30 {
            for peer in &peers {
                hear(&mut scheduler, at(100 * sequence), peer, sequence, (0, 2));
            }
        }
        probing += u32::from(place(&mut scheduler, at(2_950), 1, true) == Some(entries[0].key()));
    }
    assert_eq!(probing, 3);
}

/// Guards against requests that were sent shortly before their deadline being counted as failures,
/// while a target that stays silent for longer is to be found.
#[test]
fn a_deadline_counts_only_after_a_long_silence() {
    for (ran, is_ejected) in [(400, false), (2_500, true)] {
        let (mut scheduler, entries) = new_vm();
        let mut tickets = Vec::new();
        for ticket in 1..=18 {
            if place(&mut scheduler, at(10), ticket, false) == Some(entries[0].key()) {
                tickets.push(ticket);
            }
        }
        for ticket in tickets {
            let now = at(10) + Duration::from_millis(ran);
            scheduler.end(now, RequestSequence(ticket), RunEnd::TimedOut);
        }
        assert_eq!(scheduler.ejected_targets() == 1, is_ejected, "{ran} ms");
    }
}
