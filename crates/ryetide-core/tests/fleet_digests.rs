//! The recipients of a VM's digests in a large fleet, and the digest interval.

use std::time::Duration;

use ryetide_core::{
    cell_plan::CellMember,
    digest_route::DigestPeer,
    ids::Incarnation,
    load_digest::{DigestEnvelope, LoadDigest},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    target_speed::AssumedSpeed,
    units::{LinkRate, Moment},
};

/// Returns the scheduler of VM `e1`, which knows `targets`.
fn scheduler(targets: &[&str]) -> Scheduler {
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
    let entry = |name: &&str| TargetEntry {
        name: (*name).into(),
        incarnation: Default::default(),
        version: "v1".into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 2,
        leaving: false,
        warmup: Duration::ZERO,
    };
    scheduler.set_targets(Moment(1), targets.iter().map(entry).collect());
    scheduler
}

/// Returns the other VMs of a fleet of `size` VMs in three data centres.
fn listed(size: usize) -> Vec<CellMember> {
    let member = |index: usize| CellMember {
        name: format!("e{index}").as_str().into(),
        data_centre: ["hall-a", "hall-b", "hall-c"][index % 3].into(),
    };
    (2..=size).map(member).collect()
}

/// Returns a VM whose link is too slow for a relay.
fn small_peer(member: &CellMember) -> DigestPeer {
    let CellMember { name, data_centre } = member.clone();
    DigestPeer { name, data_centre, link: LinkRate(20) }
}

fn count_cell_peers(scheduler: &Scheduler, listed: &[CellMember]) -> usize {
    listed.iter().filter(|peer| scheduler.is_cell_peer(&peer.name)).count()
}

/// Guards against fleets that never recover from a restart of all VMs at once. No VM has received a
/// digest or knows a target yet, and only the list names the others. Each VM sends digests only to
/// its cell: sending every change to 69 others would take more processor time than a small VM has,
/// and no VM would ever receive a digest.
#[test]
fn a_vm_without_reachable_peers_sends_digests_to_its_cell_only() {
    let mut scheduler = scheduler(&[]);
    let listed = listed(70);
    scheduler.list_peers(Moment(1), &listed);
    let cell_peers = count_cell_peers(&scheduler, &listed);
    assert!((5..=10).contains(&cell_peers), "{cell_peers} peers in the cell");
}

/// Guards against digests that take up a small VM's processor time. Hundreds of VMs share one
/// target, so all VMs of a data centre are one cell; whatever its size, a VM receives as many
/// digests as in a cell of eight.
#[test]
fn a_vm_of_a_large_cell_receives_no_more_digests_than_one_of_a_small_cell() {
    for size in [9, 70, 195, 410] {
        let mut scheduler = scheduler(&["t1"]);
        let listed = listed(size);
        scheduler.list_peers(Moment(1), &listed);
        let cell_peers = count_cell_peers(&scheduler, &listed) as f64;
        assert!(cell_peers >= (size / 3 - 1) as f64, "{cell_peers} of {size} in the cell");
        let peers: Vec<DigestPeer> = listed.iter().map(small_peer).collect();
        assert_eq!(scheduler.cell_recipients(Moment(1), &peers).direct.len(), cell_peers as usize);
        let received = cell_peers / scheduler.digest_interval().as_secs_f64();
        assert!(received.floor() <= 7.0 / 0.006, "{size} VMs: {received} digests a second");
    }
}

/// Guards against digests lost at a relay that is shutting down: of two possible relays for forty
/// VMs, one is leaving. It still runs for some seconds, but soon forwards nothing any more.
#[test]
fn a_vm_that_is_shutting_down_is_no_relay() {
    let mut scheduler = scheduler(&["t1"]);
    let listed = listed(120);
    scheduler.list_peers(Moment(1), &listed);
    let relays = ["e3", "e6"];
    for (name, leaving) in [("e3", true), ("e6", false)] {
        let digest = LoadDigest { sequence: 1, leaving, ..LoadDigest::default() };
        scheduler.apply_digest(Moment(2), DigestEnvelope { from: name.into(), digest });
    }
    let mut peers: Vec<DigestPeer> = listed.iter().map(small_peer).collect();
    for peer in peers.iter_mut().filter(|peer| relays.contains(&peer.name.as_str())) {
        peer.link = LinkRate(1_000);
    }
    for _ in 0..20 {
        assert_eq!(scheduler.cell_recipients(Moment(3), &peers).relays, ["e6".into()]);
    }
}
