//! Who watches the source of routes and targets, and how soon somebody takes over.

use std::{collections::BTreeSet, time::Duration};

use ryetide_core::{
    cell_plan::CellMember,
    ids::{Incarnation, VmName},
    load_digest::{DigestEnvelope, FleetNews},
    pace::AssumedPace,
    retry_budget::RetryRule,
    scheduler::Scheduler,
    scheduler_options::SchedulerOptions,
    units::{LinkRate, Moment},
    watch_duty::{WATCHER_COUNT, WatchNote, WatchOrder},
};

/// VMs that have nothing else to tell send a digest this often.
const DIGEST_STEP: u64 = 400;

/// VMs of one data centre that hear each other's digests.
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
                retry: RetryRule { part: 0.2, window: Duration::from_secs(10), slack: 50.0 },
                rollout: Default::default(),
                assumed: AssumedPace::default(),
            });
            let others: Vec<_> = (0..size).filter(|other| *other != index).map(member).collect();
            scheduler.list_peers(Moment::from_millis(1), &others);
            (name(index), scheduler)
        });
        let (silent, without_source) = (BTreeSet::new(), BTreeSet::new());
        Self { vms: vms.collect(), silent, without_source, now: 1 }
    }

    /// Lets every VM that is not silent tell one digest to all others.
    fn tell(&mut self) {
        self.now += DIGEST_STEP;
        let now = Moment::from_millis(self.now);
        for teller in 0..self.vms.len() {
            let (name, scheduler) = &mut self.vms[teller];
            if self.silent.contains(name) {
                continue;
            }
            let watches = scheduler.must_watch(now) && !self.without_source.contains(name);
            let watch = watches.then(WatchNote::default);
            let news = FleetNews { watch, ..FleetNews::default() };
            let (from, digest) = (name.clone(), scheduler.digest(now, news, false));
            for (name, scheduler) in &mut self.vms {
                if *name != from {
                    let envelope = DigestEnvelope { from: from.clone(), digest: digest.clone() };
                    scheduler.take_digest(now, envelope);
                }
            }
        }
    }

    /// Returns the VMs that watch and can.
    fn watchers(&self) -> BTreeSet<VmName> {
        let now = Moment::from_millis(self.now);
        let able =
            |name: &VmName| !self.silent.contains(name) && !self.without_source.contains(name);
        let watch =
            self.vms.iter().filter(|(name, scheduler)| able(name) && scheduler.must_watch(now));
        watch.map(|(name, _)| name.clone()).collect()
    }
}

/// Eight VMs rely on their own calls: what two of them would save is not worth the others' delay.
#[test]
fn all_vms_of_a_small_deployment_watch() {
    let mut fleet = Fleet::new(8);
    (0..5).for_each(|_| fleet.tell());
    assert_eq!(fleet.watchers().len(), 8);
}

/// Each call that is open at the store is answered at every change, and paid for. In a large deployment two
/// VMs of each cell have theirs open, and the others none.
#[test]
fn two_vms_of_each_cell_watch() {
    let mut fleet = Fleet::new(32);
    assert_eq!(fleet.watchers().len(), 32, "nobody was heard yet");
    (0..5).for_each(|_| fleet.tell());
    assert_eq!(fleet.watchers().len(), 4 * WATCHER_COUNT);
}

/// A change is told to all mates of those that watch, and routes with the keys of all organisations are long: over a
/// slow link most of it was lost, and callers were served by replaced routes for half a second more. Of eleven VMs
/// that are one cell the three with fast links go first; when they die, others take over all the same.
#[test]
fn those_with_fast_links_watch_first() {
    let mut fleet = Fleet::new(11);
    let fast = ["e2", "e7", "e9"].map(VmName::from);
    let link = |name: &VmName| LinkRate(if fast.contains(name) { 200 } else { 20 });
    let links: Vec<_> = fleet.vms.iter().map(|(name, _)| (name.clone(), link(name))).collect();
    for (_, scheduler) in &mut fleet.vms {
        scheduler.set_watch_order(WatchOrder::new(links.clone()));
    }
    (0..5).for_each(|_| fleet.tell());
    let relays = |fleet: &Fleet| -> BTreeSet<VmName> {
        let now = Moment::from_millis(fleet.now);
        let heard = fleet.vms.iter().filter(|(name, _)| !fleet.silent.contains(name));
        let relays = heard.filter(|(_, scheduler)| scheduler.is_relay(now));
        relays.map(|(name, _)| name.clone()).collect()
    };
    let before = relays(&fleet);
    assert_eq!(before.len(), WATCHER_COUNT);
    assert!(before.iter().all(|name| fast.contains(name)), "{before:?}");
    fleet.silent = fast.into();
    (0..4).for_each(|_| fleet.tell());
    assert_eq!(relays(&fleet).len(), WATCHER_COUNT, "others pass on");
}

/// Both VMs of a cell that watch freeze at one moment, and later wake. Callers of the whole cell would be
/// served by old routes and sent to targets that have left, if nobody took over: others do within 1.2 s.
#[test]
fn others_take_over_from_vms_that_fall_silent() {
    let mut fleet = Fleet::new(32);
    (0..5).for_each(|_| fleet.tell());
    let before = fleet.watchers();
    fleet.silent = before.clone();
    (0..3).for_each(|_| fleet.tell());
    let after = fleet.watchers();
    assert_eq!(after.len(), 4 * WATCHER_COUNT, "{after:?}");
    assert!(after.is_disjoint(&before));
    fleet.silent.clear();
    (0..3).for_each(|_| fleet.tell());
    assert_eq!(fleet.watchers(), before, "the first in order watch again");
}

/// The store turns the VMs away that watch, and would serve the others. They are still heard, so it is their
/// own word that makes the others take over.
#[test]
fn others_take_over_from_vms_that_have_lost_the_source() {
    let mut fleet = Fleet::new(32);
    (0..5).for_each(|_| fleet.tell());
    fleet.without_source = fleet.watchers();
    (0..2).for_each(|_| fleet.tell());
    assert_eq!(fleet.watchers().len(), 4 * WATCHER_COUNT);
}

/// A change is passed on by the VMs that watch, to those that do not: a VM that rests, or has lost the source.
#[test]
fn those_that_watch_pass_on_to_those_that_do_not() {
    let mut fleet = Fleet::new(8);
    let cut_off = fleet.vms[3].0.clone();
    fleet.without_source.insert(cut_off.clone());
    (0..3).for_each(|_| fleet.tell());
    let now = Moment::from_millis(fleet.now);
    let relays = fleet.vms.iter().filter(|(_, scheduler)| scheduler.is_relay(now));
    let relays: Vec<&Scheduler> = relays.map(|(_, scheduler)| scheduler).collect();
    // The VM that is cut off may take itself for one of them; it has nothing to pass on.
    assert!((WATCHER_COUNT..=WATCHER_COUNT + 1).contains(&relays.len()), "{}", relays.len());
    let mut others = fleet.vms.iter().map(|(name, _)| name).filter(|name| **name != cut_off);
    assert!(relays.iter().all(|relay| relay.relies_on_relays(now, &cut_off)));
    assert!(
        others.all(|name| relays.iter().filter(|it| it.relies_on_relays(now, name)).count() <= 1)
    );
}
