//! Selection of the VMs that watch the source of routes and targets.

use std::{collections::BTreeSet, time::Duration};

use ryetide_core::{
    cell_plan::CellMember,
    ids::{Incarnation, VmName},
    load_digest::{DigestEnvelope, FleetState},
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    target_speed::AssumedSpeed,
    units::{LinkRate, Moment},
    watcher_selection::{WATCHER_COUNT, WatchOrder, WatchReport},
};

/// The interval between two digests of an idle VM.
const DIGEST_INTERVAL: u64 = 400;

/// VMs of one data centre that receive each other's digests.
struct Fleet {
    vms: Vec<(VmName, Scheduler)>,
    silent: BTreeSet<VmName>,
    without_source: BTreeSet<VmName>,
    now: u64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let name = |index: usize| VmName::from(format!("e{index}").as_str());
        let member = |index| CellMember { name: name(index), data_centre: "hall-a".into() };
        let vms = (0..size).map(|index| {
            let mut scheduler = Scheduler::new(SchedulerOptions {
                name: name(index),
                data_centre: "hall-a".into(),
                incarnation: Incarnation(1),
                seed: index as u64,
                retry: RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 50.0 },
                rollout: Default::default(),
                assumed: AssumedSpeed::default(),
                policy: Default::default(),
            });
            let others: Vec<_> = (0..size).filter(|other| *other != index).map(member).collect();
            scheduler.list_peers(Moment::from_millis(1), &others);
            (name(index), scheduler)
        });
        let (silent, without_source) = (BTreeSet::new(), BTreeSet::new());
        Self { vms: vms.collect(), silent, without_source, now: 1 }
    }

    /// Sends a digest from every VM that is not silent to all others.
    fn send_digests(&mut self) {
        self.now += DIGEST_INTERVAL;
        let now = Moment::from_millis(self.now);
        for sender in 0..self.vms.len() {
            let (name, scheduler) = &mut self.vms[sender];
            if self.silent.contains(name) {
                continue;
            }
            let watches = scheduler.must_watch(now) && !self.without_source.contains(name);
            let watch = watches.then(WatchReport::default);
            let news = FleetState { watch, ..FleetState::default() };
            let (from, digest) = (name.clone(), scheduler.digest(now, news, false));
            for (name, scheduler) in &mut self.vms {
                if *name != from {
                    let envelope = DigestEnvelope { from: from.clone(), digest: digest.clone() };
                    scheduler.apply_digest(now, envelope);
                }
            }
        }
    }

    /// Returns the VMs that watch and can reach the source.
    fn watchers(&self) -> BTreeSet<VmName> {
        let now = Moment::from_millis(self.now);
        let able =
            |name: &VmName| !self.silent.contains(name) && !self.without_source.contains(name);
        let watch =
            self.vms.iter().filter(|(name, scheduler)| able(name) && scheduler.must_watch(now));
        watch.map(|(name, _)| name.clone()).collect()
    }
}

/// In a deployment of eight VMs, all watch: fewer calls would not be worth the delay of updates for
/// the others.
#[test]
fn all_vms_of_a_small_deployment_watch() {
    let mut fleet = Fleet::new(8);
    (0..5).for_each(|_| fleet.send_digests());
    assert_eq!(fleet.watchers().len(), 8);
}

/// Guards against needless calls. Each call that is open at the store is answered at every change,
/// and billed. In a large deployment only two VMs of each cell hold calls open.
#[test]
fn two_vms_of_each_cell_watch() {
    let mut fleet = Fleet::new(32);
    assert_eq!(fleet.watchers().len(), 32, "no digest received yet");
    (0..5).for_each(|_| fleet.send_digests());
    assert_eq!(fleet.watchers().len(), 4 * WATCHER_COUNT);
}

/// Guards against watching VMs with slow links. A watching VM sends each change to all peers of its
/// cell, and routes with the keys of all organisations are long: a slow link loses most of the
/// datagrams, and callers are served by outdated routes for half a second longer. Of eleven VMs in
/// a single cell, the three with fast links watch first; when they die, others take over.
#[test]
fn vms_with_fast_links_watch_first() {
    let mut fleet = Fleet::new(11);
    let fast = ["e2", "e7", "e9"].map(VmName::from);
    let link = |name: &VmName| LinkRate(if fast.contains(name) { 200 } else { 20 });
    let links: Vec<_> = fleet.vms.iter().map(|(name, _)| (name.clone(), link(name))).collect();
    for (_, scheduler) in &mut fleet.vms {
        scheduler.set_watch_order(WatchOrder::new(links.clone()));
    }
    (0..5).for_each(|_| fleet.send_digests());
    let relays = |fleet: &Fleet| -> BTreeSet<VmName> {
        let now = Moment::from_millis(fleet.now);
        let running = fleet.vms.iter().filter(|(name, _)| !fleet.silent.contains(name));
        let relays = running.filter(|(_, scheduler)| scheduler.is_relay(now));
        relays.map(|(name, _)| name.clone()).collect()
    };
    let before = relays(&fleet);
    assert_eq!(before.len(), WATCHER_COUNT);
    assert!(before.iter().all(|name| fast.contains(name)), "{before:?}");
    fleet.silent = fast.into();
    (0..4).for_each(|_| fleet.send_digests());
    assert_eq!(relays(&fleet).len(), WATCHER_COUNT, "others forward changes");
}

/// Guards against a cell without updates. Both watching VMs of a cell freeze at the same time, and
/// later wake up. Unless others take over, callers of the whole cell are served by old routes and
/// sent to targets that have left. Others take over within 1.2 s.
#[test]
fn others_take_over_from_silent_vms() {
    let mut fleet = Fleet::new(32);
    (0..5).for_each(|_| fleet.send_digests());
    let before = fleet.watchers();
    fleet.silent = before.clone();
    (0..3).for_each(|_| fleet.send_digests());
    let after = fleet.watchers();
    assert_eq!(after.len(), 4 * WATCHER_COUNT, "{after:?}");
    assert!(after.is_disjoint(&before));
    fleet.silent.clear();
    (0..3).for_each(|_| fleet.send_digests());
    assert_eq!(fleet.watchers(), before, "the first in order watch again");
}

/// Guards against a cell without updates when the store refuses only the watching VMs. They are
/// still reachable, so the others must learn from their digests that they have lost the source.
#[test]
fn others_take_over_from_vms_that_have_lost_the_source() {
    let mut fleet = Fleet::new(32);
    (0..5).for_each(|_| fleet.send_digests());
    fleet.without_source = fleet.watchers();
    (0..2).for_each(|_| fleet.send_digests());
    assert_eq!(fleet.watchers().len(), 4 * WATCHER_COUNT);
}

/// Watching VMs forward changes to those that do not watch: passive VMs, and VMs that have lost the
/// source.
#[test]
fn watching_vms_forward_changes_to_the_others() {
    let mut fleet = Fleet::new(8);
    let cut_off = fleet.vms[3].0.clone();
    fleet.without_source.insert(cut_off.clone());
    (0..3).for_each(|_| fleet.send_digests());
    let now = Moment::from_millis(fleet.now);
    let relays = fleet.vms.iter().filter(|(_, scheduler)| scheduler.is_relay(now));
    let relays: Vec<&Scheduler> = relays.map(|(_, scheduler)| scheduler).collect();
    // The VM that has lost the source may take itself for a watching one, but has nothing to
    // forward.
    assert!((WATCHER_COUNT..=WATCHER_COUNT + 1).contains(&relays.len()), "{}", relays.len());
    let mut others = fleet.vms.iter().map(|(name, _)| name).filter(|name| **name != cut_off);
    assert!(relays.iter().all(|relay| relay.relies_on_relays(now, &cut_off)));
    assert!(
        others.all(|name| relays.iter().filter(|it| it.relies_on_relays(now, name)).count() <= 1)
    );
}
