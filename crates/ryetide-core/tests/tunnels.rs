//! Connections through peers: when, through which, and how many.

use std::{collections::BTreeMap, time::Duration};

use ryetide_core::{
    ids::{DataCentreName, TargetKey, VmName},
    path_table::{PathTable, TargetPath},
    tunnel_helpers::{HelperCandidate, TunnelHelpers},
    tunnel_room::TunnelRoom,
    units::{LinkRate, Moment},
};

const START: Moment = Moment(1_000_000);
const FIRST: TargetKey = TargetKey(1);
const SECOND: TargetKey = TargetKey(2);
const OTHER: TargetKey = TargetKey(3);
/// Longer than the interval of probes.
const PROBE_SPAN: Duration = Duration::from_secs(1);

fn candidate(name: &str, data_centre: &str) -> HelperCandidate {
    HelperCandidate { name: name.into(), data_centre: data_centre.into() }
}

fn is_near(centre: &DataCentreName) -> bool {
    *centre == DataCentreName::from("a")
}

/// Guards against connections that hang at each target in turn while a VM is cut off from all.
#[test]
fn a_vm_that_has_lost_several_targets_presumes_that_it_is_cut_off_from_all() {
    let mut paths = PathTable::default();
    paths.record_lost(START, FIRST);
    assert_eq!(paths.path(FIRST), TargetPath::ThroughPeer);
    assert_eq!(paths.path(OTHER), TargetPath::Direct);
    paths.record_lost(START, SECOND);
    assert_eq!(paths.path(OTHER), TargetPath::ThroughPeer);
}

/// Guards against detours to targets that a VM reaches while it has lost others.
#[test]
fn a_vm_that_reaches_one_target_is_not_cut_off() {
    let mut paths = PathTable::default();
    paths.record_lost(START, FIRST);
    paths.record_lost(START, SECOND);
    paths.record_reached(START + Duration::from_millis(1), OTHER);
    assert_eq!(paths.path(OTHER), TargetPath::Direct);
    assert_eq!(paths.path(FIRST), TargetPath::ThroughPeer);
}

/// Guards against a path that has returned and is not noticed, and against probes in each moment.
#[test]
fn lost_paths_are_probed_at_intervals_and_at_once_when_one_returns() {
    let mut paths = PathTable::default();
    paths.record_lost(START, FIRST);
    paths.record_lost(START, SECOND);
    assert!(paths.take_due_probes(START).is_empty());
    let later = START + PROBE_SPAN;
    assert_eq!(paths.take_due_probes(later), vec![FIRST, SECOND]);
    assert!(paths.take_due_probes(later).is_empty());
    assert!(paths.record_reached(later, FIRST));
    assert_eq!(paths.take_due_probes(later), vec![SECOND]);
    assert_eq!(paths.lost_count(), 1);
}

/// Guards against bursts of connections to all targets of a large fleet.
#[test]
fn few_probes_are_sent_at_once() {
    let mut paths = PathTable::default();
    (0..100).for_each(|key| {
        paths.record_lost(START, TargetKey(key));
    });
    let later = START + PROBE_SPAN;
    let first = paths.take_due_probes(later);
    let second = paths.take_due_probes(later);
    assert_eq!(first.len(), 8);
    assert!(second.iter().all(|target| !first.contains(target)));
}

/// Guards against a peer that does not help and is asked first each time.
#[test]
fn a_peer_that_did_not_help_is_avoided_for_a_time() {
    let candidates = [candidate("e1", "a"), candidate("e2", "b")];
    let mut helpers = TunnelHelpers::new(1);
    let name = |helpers: &mut TunnelHelpers, now| {
        helpers.choose(now, &candidates, is_near).expect("a peer").name.clone()
    };
    assert_eq!(name(&mut helpers, START), VmName::from("e1"), "the near one comes first");
    helpers.record_failed(START, &"e1".into());
    assert_eq!(name(&mut helpers, START), VmName::from("e2"));
    helpers.record_failed(START, &"e2".into());
    assert_eq!(name(&mut helpers, START), VmName::from("e1"), "one of them is asked all the same");
    assert_eq!(name(&mut helpers, START + Duration::from_secs(2)), VmName::from("e1"));
}

/// Guards against a herd on one peer when most VMs lose their paths at the same moment.
#[test]
fn two_thirds_of_the_vms_spread_their_tunnels_over_the_rest() {
    const CUT: u64 = 6;
    const TUNNELS: usize = 40;
    let candidates = [candidate("e1", "a"), candidate("e2", "a"), candidate("e3", "a")];
    let mut counts: BTreeMap<VmName, usize> = BTreeMap::new();
    for vm in 0..CUT {
        let mut helpers = TunnelHelpers::new(vm);
        for _ in 0..TUNNELS {
            let chosen = helpers.choose(START, &candidates, is_near).expect("a peer").name.clone();
            helpers.record_opened(&chosen);
            *counts.entry(chosen).or_default() += 1;
        }
    }
    let fair = CUT as usize * TUNNELS / candidates.len();
    assert_eq!(counts.len(), candidates.len());
    assert!(counts.values().all(|count| *count <= fair + CUT as usize), "{counts:?}");
}

/// Guards against a helper whose own callers are crowded out by those of its peers.
#[test]
fn a_vm_with_a_slow_link_takes_few_tunnels_and_half_of_the_link_for_them() {
    let mut room = TunnelRoom::new(LinkRate(20));
    let taken = (0..1_000).filter(|_| room.enter()).count();
    assert_eq!(taken, 80);
    room.leave();
    assert!(room.enter());
    let mut now = START;
    let bytes: usize = 10_000;
    let mut sent = 0;
    while now < START + Duration::from_secs(1) {
        sent += bytes;
        now = now + room.record_bytes(now, bytes).max(Duration::from_millis(1));
    }
    let half_of_link = 20 * 125_000 / 2;
    assert!(sent < half_of_link * 11 / 10, "{sent} bytes in a second");
    assert!(sent > half_of_link * 9 / 10, "{sent} bytes in a second");
}
