//! Whom a VM of a large fleet tells everything, and how often.

use std::time::Duration;

use ryetide_core::{
    cell_plan::CellMember,
    digest_route::DigestPeer,
    ids::Incarnation,
    load_digest::{DigestEnvelope, LoadDigest},
    pace::AssumedPace,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_load::TargetEntry,
    units::{LinkRate, Moment},
};

/// The scheduler of VM `e1`, that knows these targets.
fn scheduler(targets: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        name: "e1".into(),
        data_centre: "hall-a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        retry: RetryRule::default(),
        rollout: Default::default(),
        assumed: AssumedPace::default(),
    });
    let entry = |name: &&str| TargetEntry {
        name: (*name).into(),
        life: Default::default(),
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

/// Returns the other VMs of a fleet of this size in three data centres.
fn listed(size: usize) -> Vec<CellMember> {
    let member = |index: usize| CellMember {
        name: format!("e{index}").as_str().into(),
        data_centre: ["hall-a", "hall-b", "hall-c"][index % 3].into(),
    };
    (2..=size).map(member).collect()
}

/// A VM whose link is too slow to pass anything on.
fn small_peer(member: &CellMember) -> DigestPeer {
    let CellMember { name, data_centre } = member.clone();
    DigestPeer { name, data_centre, link: LinkRate(20) }
}

fn count_mates(scheduler: &Scheduler, listed: &[CellMember]) -> usize {
    listed.iter().filter(|peer| scheduler.is_mate(&peer.name)).count()
}

/// Seventy VMs are killed at once and start again. None has heard another yet, nor knows a target; the list says
/// who they are. Each tells everything to the few of its cell only: to tell 69 others of every change would take
/// more processor time than a small VM has, and nobody would ever be heard.
#[test]
fn a_vm_that_has_heard_nobody_yet_keeps_to_its_cell() {
    let mut scheduler = scheduler(&[]);
    let listed = listed(70);
    scheduler.list_peers(Moment(1), &listed);
    let mates = count_mates(&scheduler, &listed);
    assert!((5..=10).contains(&mates), "{mates} mates");
}

/// Hundreds of VMs share one target, and so all of a data centre are told what each has there. However many they
/// are, a VM is told as often as in a cell of eight: more would leave a small one no time to serve anybody.
#[test]
fn a_vm_of_a_large_cell_is_told_no_more_often_than_one_of_a_small_cell() {
    for size in [9, 70, 195, 410] {
        let mut scheduler = scheduler(&["t1"]);
        let listed = listed(size);
        scheduler.list_peers(Moment(1), &listed);
        let mates = count_mates(&scheduler, &listed) as f64;
        assert!(mates >= (size / 3 - 1) as f64, "{mates} of {size} are mates");
        let peers: Vec<DigestPeer> = listed.iter().map(small_peer).collect();
        assert_eq!(scheduler.mate_recipients(Moment(1), &peers).direct.len(), mates as usize);
        let told = mates / scheduler.digest_interval().as_secs_f64();
        assert!(told.floor() <= 7.0 / 0.006, "{size} VMs: told {told} times a second");
    }
}

/// Of forty VMs two could pass digests on, and one of them says that it is shutting down. It still answers for some
/// seconds, and what is sent to it after that would reach nobody.
#[test]
fn a_vm_that_shuts_down_is_not_asked_to_pass_on() {
    let mut scheduler = scheduler(&["t1"]);
    let listed = listed(120);
    scheduler.list_peers(Moment(1), &listed);
    let able = ["e3", "e6"];
    for (name, leaving) in [("e3", true), ("e6", false)] {
        let digest = LoadDigest { sequence: 1, leaving, ..LoadDigest::default() };
        scheduler.take_digest(Moment(2), DigestEnvelope { from: name.into(), digest });
    }
    let mut peers: Vec<DigestPeer> = listed.iter().map(small_peer).collect();
    for peer in peers.iter_mut().filter(|peer| able.contains(&peer.name.as_str())) {
        peer.link = LinkRate(1_000);
    }
    for _ in 0..20 {
        assert_eq!(scheduler.mate_recipients(Moment(3), &peers).relays, ["e6".into()]);
    }
}
