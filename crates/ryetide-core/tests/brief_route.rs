//! The way of brief digests between data centres.

use std::collections::BTreeSet;

use ryetide_core::{
    brief_route::{BriefRecipients, BriefRoute},
    cell_plan::CellMember,
    ids::VmName,
};

/// Five data centres of four VMs each; the sender is `hall-0`'s first.
fn others() -> Vec<CellMember> {
    let member = |index: usize| CellMember {
        name: format!("e{index}").as_str().into(),
        data_centre: format!("hall-{}", index % 5).as_str().into(),
    };
    (1..20).map(member).collect()
}

fn draw(route: &mut BriefRoute, is_heard: impl Fn(&VmName) -> bool) -> BriefRecipients {
    route.draw(&"hall-0".into(), &others(), is_heard)
}

fn centre_of(vm: &VmName) -> String {
    let others = others();
    let member = others.iter().find(|member| member.name == *vm).expect("listed");
    member.data_centre.as_str().to_owned()
}

#[test]
fn a_digest_goes_once_to_each_other_data_centre() {
    let recipients = draw(&mut BriefRoute::new(1), |_| true);
    let centres: Vec<String> = recipients.relays.iter().map(centre_of).collect();
    assert_eq!(centres, ["hall-1", "hall-2", "hall-3", "hall-4"]);
    assert!(recipients.direct.iter().all(|vm| centre_of(vm) == "hall-0"));
    assert_eq!(recipients.direct.len(), 3);
}

/// A VM that dies or freezes is still taken for heard during two seconds. Asked to pass every digest on, it
/// would leave its whole data centre without this VM's for so long; drawn anew each time, it loses some.
#[test]
fn a_dead_relay_loses_some_digests_and_not_all() {
    let mut route = BriefRoute::new(2);
    let lost = (0..100).filter(|_| draw(&mut route, |_| true).relays.contains(&"e1".into()));
    let lost = lost.count();
    assert!((10..=40).contains(&lost), "{lost} of 100 with four VMs there");
}

/// A data centre is cut off, and those in it are not heard any more. At the end of the cut somebody has to be
/// heard again first: all of them are told, or no one there would ever learn of this VM.
#[test]
fn a_data_centre_that_is_not_heard_is_told_directly() {
    let recipients = draw(&mut BriefRoute::new(3), |vm| centre_of(vm) != "hall-3");
    let direct: BTreeSet<String> = recipients.direct.iter().map(centre_of).collect();
    assert_eq!(direct, BTreeSet::from(["hall-0".to_owned(), "hall-3".to_owned()]));
    assert_eq!(recipients.direct.len(), 3 + 4);
    assert_eq!(recipients.relays.len(), 3);
}

#[test]
fn nobody_passes_on_who_is_not_heard() {
    let mut route = BriefRoute::new(4);
    let heard: VmName = "e6".into();
    for _ in 0..20 {
        let recipients = draw(&mut route, |vm| *vm == heard);
        assert_eq!(recipients.relays, std::slice::from_ref(&heard));
    }
}
