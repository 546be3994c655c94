//! The way of digests through large cells and between data centres.

use std::collections::BTreeSet;

use ryetide_core::{
    digest_route::{DIRECT_LIMIT, DigestPeer, DigestRecipients, DigestRoute, RELAY_COUNT},
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

fn draw(route: &mut DigestRoute, is_heard: impl Fn(&VmName) -> bool) -> DigestRecipients {
    route.draw_others(&"hall-0".into(), &others(), is_heard)
}

fn centre_of(vm: &VmName) -> String {
    let others = others();
    let member = others.iter().find(|member| member.name == *vm).expect("listed");
    member.data_centre.as_str().to_owned()
}

#[test]
fn a_digest_goes_once_to_each_other_data_centre() {
    let recipients = draw(&mut DigestRoute::new(1), |_| true);
    let centres: Vec<String> = recipients.relays.iter().map(centre_of).collect();
    assert_eq!(centres, ["hall-1", "hall-2", "hall-3", "hall-4"]);
    assert!(recipients.direct.iter().all(|vm| centre_of(vm) == "hall-0"));
    assert_eq!(recipients.direct.len(), 3);
}

/// A VM that dies or freezes is still taken for heard during two seconds. Asked to pass every digest on, it
/// would leave its whole data centre without this VM's for so long; drawn anew each time, it loses some.
#[test]
fn a_dead_relay_loses_some_digests_and_not_all() {
    let mut route = DigestRoute::new(2);
    let first = draw(&mut route, |_| true).relays[0].clone();
    let lost = (0..100).filter(|_| draw(&mut route, |_| true).relays[0] == first).count();
    assert!((15..=50).contains(&lost), "{lost} of 100 with three that pass on");
}

/// A data centre is cut off, and those in it are not heard any more. At the end of the cut somebody has to be
/// heard again first: all of them are told, or no one there would ever learn of this VM.
#[test]
fn a_data_centre_that_is_not_heard_is_told_directly() {
    let recipients = draw(&mut DigestRoute::new(3), |vm| centre_of(vm) != "hall-3");
    let direct: BTreeSet<String> = recipients.direct.iter().map(centre_of).collect();
    assert_eq!(direct, BTreeSet::from(["hall-0".to_owned(), "hall-3".to_owned()]));
    assert_eq!(recipients.direct.len(), 3 + 4);
    assert_eq!(recipients.relays.len(), 3);
}

#[test]
fn nobody_passes_on_who_is_not_heard() {
    let mut route = DigestRoute::new(4);
    let heard: VmName = "e6".into();
    for _ in 0..20 {
        let recipients = draw(&mut route, |vm| *vm == heard);
        assert_eq!(recipients.relays, std::slice::from_ref(&heard));
    }
}

/// All VMs of a group choose the same few to pass on, so that each message carries what many have to say. Were
/// they drawn among all, each would pass on next to nothing at a time, in as many messages as without it.
#[test]
fn the_same_few_pass_on_for_all_senders() {
    let drawn: BTreeSet<VmName> =
        (0..50).flat_map(|seed| draw(&mut DigestRoute::new(seed), |_| true).relays).collect();
    assert_eq!(drawn.len(), 4 * RELAY_COUNT);
}

#[test]
fn few_mates_are_told_directly_and_many_through_one() {
    let mates = |count: usize| -> Vec<DigestPeer> {
        let all = (0..count).map(|index| format!("e{index}").as_str().into());
        all.map(|name| peer(name, 1_000)).collect()
    };
    let mut route = DigestRoute::new(5);
    for (count, relays) in [(0, 0), (7, 0), (DIRECT_LIMIT, 0), (DIRECT_LIMIT + 1, 1), (80, 1)] {
        let recipients = route.draw_mates(&mates(count), |_| true);
        assert_eq!(recipients.relays.len(), relays, "{count} mates");
        assert_eq!(recipients.direct.len(), if relays == 0 { count } else { 0 });
    }
    let unheard = route.draw_mates(&mates(80), |_| false);
    assert_eq!(unheard.direct.len(), 80, "after a start all are told");
}

/// Small VMs have links that a fleet's digests would fill, and their callers' answers would wait behind them.
#[test]
fn only_vms_with_fast_links_pass_on() {
    let small = (0..40).map(|index| peer(format!("small{index}").as_str().into(), 20));
    let mut mates: Vec<DigestPeer> = small.collect();
    let mut route = DigestRoute::new(6);
    assert_eq!(route.draw_mates(&mates, |_| true).direct.len(), 40, "none can pass on");
    mates.push(peer("large".into(), 200));
    for _ in 0..20 {
        assert_eq!(route.draw_mates(&mates, |_| true).relays, ["large".into()]);
    }
}
