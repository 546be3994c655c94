//! Routing of digests within large cells and between data centres.

use std::collections::BTreeSet;

use ryetide_core::{
    digest_route::{DIRECT_LIMIT, DigestPeer, DigestRecipients, DigestRouter, RELAY_COUNT},
    ids::VmName,
    units::LinkRate,
};

/// Five data centres of four VMs each; the sender is `hall-0`'s first.
fn others() -> Vec<DigestPeer> {
    let member = |index: usize| DigestPeer {
        link: LinkRate(1_000),
        name: format!("e{index}").as_str().into(),
        data_centre: format!("hall-{}", index % 5).as_str().into(),
    };
    (1..20).map(member).collect()
}

fn peer(name: VmName, link: u32) -> DigestPeer {
    DigestPeer { name, data_centre: "hall-0".into(), link: LinkRate(link) }
}

fn draw(route: &mut DigestRouter, is_reachable: impl Fn(&VmName) -> bool) -> DigestRecipients {
    route.choose_outside(&"hall-0".into(), &others(), is_reachable)
}

fn centre_of(vm: &VmName) -> String {
    let others = others();
    let member = others.iter().find(|member| member.name == *vm).expect("listed");
    member.data_centre.as_str().to_owned()
}

#[test]
fn a_digest_goes_once_to_each_other_data_centre() {
    let recipients = draw(&mut DigestRouter::new(1), |_| true);
    let centres: Vec<String> = recipients.relays.iter().map(centre_of).collect();
    assert_eq!(centres, ["hall-1", "hall-2", "hall-3", "hall-4"]);
    assert!(recipients.direct.iter().all(|vm| centre_of(vm) == "hall-0"));
    assert_eq!(recipients.direct.len(), 3);
}

/// A VM that dies or freezes still counts as reachable for two seconds. If it relayed every digest,
/// its data centre would receive none from this VM in that time. With a relay chosen for each
/// digest, only some are lost.
#[test]
fn a_dead_relay_loses_some_digests_and_not_all() {
    let mut route = DigestRouter::new(2);
    let first = draw(&mut route, |_| true).relays[0].clone();
    let lost = (0..100).filter(|_| draw(&mut route, |_| true).relays[0] == first).count();
    assert!((15..=50).contains(&lost), "{lost} of 100 with three relays");
}

/// VMs of a data centre behind a network partition become unreachable. Digests go directly to all
/// of them; otherwise none of them would learn of this VM after the partition.
#[test]
fn an_unreachable_data_centre_gets_digests_directly() {
    let recipients = draw(&mut DigestRouter::new(3), |vm| centre_of(vm) != "hall-3");
    let direct: BTreeSet<String> = recipients.direct.iter().map(centre_of).collect();
    assert_eq!(direct, BTreeSet::from(["hall-0".to_owned(), "hall-3".to_owned()]));
    assert_eq!(recipients.direct.len(), 3 + 4);
    assert_eq!(recipients.relays.len(), 3);
}

#[test]
fn an_unreachable_vm_is_no_relay() {
    let mut route = DigestRouter::new(4);
    let reachable: VmName = "e6".into();
    for _ in 0..20 {
        let recipients = draw(&mut route, |vm| *vm == reachable);
        assert_eq!(recipients.relays, std::slice::from_ref(&reachable));
    }
}

/// All VMs choose the same few relays of a group, so that each relay's message carries many
/// digests. If every VM of the group could be a relay, each would forward few digests at a time, in
/// as many messages as without relays.
#[test]
fn all_senders_choose_the_same_few_relays() {
    let drawn: BTreeSet<VmName> =
        (0..50).flat_map(|seed| draw(&mut DigestRouter::new(seed), |_| true).relays).collect();
    assert_eq!(drawn.len(), 4 * RELAY_COUNT);
}

#[test]
fn small_cells_get_digests_directly_and_large_ones_through_a_relay() {
    let peers = |count: usize| -> Vec<DigestPeer> {
        let all = (0..count).map(|index| format!("e{index}").as_str().into());
        all.map(|name| peer(name, 1_000)).collect()
    };
    let mut route = DigestRouter::new(5);
    for (count, relays) in [(0, 0), (7, 0), (DIRECT_LIMIT, 0), (DIRECT_LIMIT + 1, 1), (80, 1)] {
        let recipients = route.choose_in_cell(&peers(count), |_| true);
        assert_eq!(recipients.relays.len(), relays, "{count} peers");
        assert_eq!(recipients.direct.len(), if relays == 0 { count } else { 0 });
    }
    let unreachable = route.choose_in_cell(&peers(80), |_| false);
    assert_eq!(unreachable.direct.len(), 80, "after a start all get digests directly");
}

/// Small VMs have slow links, which a fleet's digests would fill, so that callers' answers would be
/// delayed.
#[test]
fn only_vms_with_fast_links_are_relays() {
    let small = (0..40).map(|index| peer(format!("small{index}").as_str().into(), 20));
    let mut peers: Vec<DigestPeer> = small.collect();
    let mut route = DigestRouter::new(6);
    assert_eq!(route.choose_in_cell(&peers, |_| true).direct.len(), 40, "no relay is available");
    peers.push(peer("large".into(), 200));
    for _ in 0..20 {
        assert_eq!(route.choose_in_cell(&peers, |_| true).relays, ["large".into()]);
    }
}
