//! When a VM that lacks its peers' news asks for them, and what that costs.

use std::{rc::Rc, time::Duration};

use ryetide_core::peer_digests::FeedLag;
use ryetide_gateway::{
    feed_watch::{FeedPauses, FeedWatch},
    ports::FleetFeed,
    store_feed::{FeedBounds, StoreFeed},
    store_table::FleetTable,
};
use tokio::{
    task::{self, LocalSet},
    time,
};

use crate::model_store::{self, ModelFleet, ModelStore, ModelVm};

const LOOK_INTERVAL: Duration = Duration::from_millis(200);

fn bounds(leaving: u64, silence: u64) -> FeedBounds {
    FeedBounds { leaving: Duration::from_secs(leaving), silence: Duration::from_secs(silence) }
}

fn pauses(bounds: FeedBounds) -> FeedPauses {
    let store = Rc::new(ModelStore::default());
    StoreFeed::new(ModelFleet { store, path: Rc::default() }, bounds).pauses()
}

/// Returns the looks at which tables are asked for, of thirty that find a VM behind.
fn due(pauses: FeedPauses, behind: FeedLag) -> Vec<(u32, FleetTable)> {
    let mut watch = FeedWatch::new(pauses, LOOK_INTERVAL);
    let looks = (1..=30).flat_map(|look| watch.due(behind).into_iter().map(move |it| (look, it)));
    looks.collect()
}

/// All calls to the store have gone silent at one moment. The first VM that finds out has the new
/// routes; the others learn so from its digests, and ask anew while their own calls still hang.
/// Targets are waited for as long as those that watch may pause, and then as long again: 1 s where
/// a leaving target may get work for two, 2 s where for four.
#[test]
fn routes_at_a_peer_are_asked_for_sooner_than_targets() {
    let looks = |bounds, behind| -> Vec<u32> {
        due(pauses(bounds), behind).into_iter().map(|(look, _)| look).collect()
    };
    let (routes, targets) =
        (FeedLag { routes: true, targets: false }, FeedLag { routes: false, targets: true });
    assert_eq!(looks(bounds(2, 3), routes), [3, 6, 12, 24]);
    assert_eq!(looks(bounds(2, 3), targets), [8, 16]);
    assert_eq!(looks(bounds(4, 5), routes), [3, 6, 12, 24]);
    assert_eq!(looks(bounds(4, 5), targets), [13, 26]);
    assert!(due(pauses(bounds(2, 3)), FeedLag::default()).is_empty());
}

/// Only the table that lags is asked for: three calls for one that was late are paid for by a whole
/// fleet.
#[test]
fn a_table_that_does_not_lag_is_not_asked_for() {
    let behind = FeedLag { routes: false, targets: true };
    let tables = due(pauses(bounds(2, 3)), behind).into_iter().map(|(_, table)| table);
    assert!(tables.into_iter().all(|table| table == FleetTable::Targets));
}

/// A service is replaced: targets come every 100 ms for 20 s. Two VMs of different cells watch the
/// store, and pause for 2 s after each reading, one 1.9 s after the other. A VM that rests on the
/// second sees at every look that the first has news which it lacks, and each time gets them when
/// its own mate's pause is over. It asks the store for nothing. Taken for behind after 1.6 s,
/// whatever the pause, and asked for all tables, it made 27 calls in these 20 s.
#[tokio::test(start_paused = true)]
async fn a_pause_at_another_cell_is_no_fault() {
    LocalSet::new()
        .run_until(async {
            let (store, bounds) = (Rc::new(ModelStore::default()), bounds(4, 5));
            store.register("first");
            let (mate, changes) = ModelVm::start(&store, "e1", bounds);
            let (vm, _changes) = ModelVm::start(&store, "e2", bounds);
            vm.relay.set_duty(false);
            task::spawn_local(model_store::pass_on(Rc::clone(&mate), changes, Rc::clone(&vm)));
            time::sleep(Duration::from_millis(100)).await;
            let (other, _others) = ModelVm::start(&store, "e3", bounds);
            let mut watch = FeedWatch::new(pauses(bounds), LOOK_INTERVAL);
            let (mut calls, mut behind_looks) = (0, 0);
            for change in 0..200 {
                store.register(&format!("t{change}"));
                time::sleep(LOOK_INTERVAL / 2).await;
                if change == 20 {
                    calls = vm.path.calls.get();
                }
                if change % 2 == 0 {
                    continue;
                }
                let behind = FeedLag { routes: false, targets: vm.is_behind(&other) };
                behind_looks += usize::from(behind.targets);
                watch.due(behind).into_iter().for_each(|table| vm.nudge.ring(table));
            }
            assert!(
                behind_looks > 50,
                "the other cell is ahead for most of the time: {behind_looks}"
            );
            assert_eq!(vm.path.calls.get() - calls, 0);
        })
        .await;
}
