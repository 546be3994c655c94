//! When a VM that lags behind its peers queries the store, and how many calls that takes.

use std::{rc::Rc, time::Duration};

use ryetide_core::peer_digests::FeedLag;
use ryetide_gateway::{
    lag_monitor::{FeedPauses, LagMonitor},
    ports::FleetFeed,
    store_feed::{FeedBounds, StoreFeed},
    store_table::FleetTable,
};
use tokio::{
    task::{self, LocalSet},
    time,
};

use crate::model_store::{self, ModelFleet, ModelStore, ModelVm};

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

fn bounds(leaving: u64, silence: u64) -> FeedBounds {
    FeedBounds { leaving: Duration::from_secs(leaving), silence: Duration::from_secs(silence) }
}

fn pauses(bounds: FeedBounds) -> FeedPauses {
    let store = Rc::new(ModelStore::default());
    StoreFeed::new(ModelFleet { store, path: Rc::default() }, bounds).pauses()
}

/// Returns which of thirty checks that find a VM behind are followed by a query, and of which
/// table.
fn due(pauses: FeedPauses, behind: FeedLag) -> Vec<(u32, FleetTable)> {
    let mut monitor = LagMonitor::new(pauses, CHECK_INTERVAL);
    let checks =
        (1..=30).flat_map(|check| monitor.due(behind).into_iter().map(move |it| (check, it)));
    checks.collect()
}

/// All calls to the store hang at one moment. The first VM that detects this has the new routes;
/// the others see that in its digests, and query the store while their own calls still hang. For
/// targets a VM waits as long as watching VMs may pause, and then as long again: 1 s where a
/// leaving target may get work for two, 2 s where for four.
#[test]
fn lagging_routes_are_queried_sooner_than_targets() {
    let checks = |bounds, behind| -> Vec<u32> {
        due(pauses(bounds), behind).into_iter().map(|(check, _)| check).collect()
    };
    let (routes, targets) =
        (FeedLag { routes: true, targets: false }, FeedLag { routes: false, targets: true });
    assert_eq!(checks(bounds(2, 3), routes), [3, 6, 12, 24]);
    assert_eq!(checks(bounds(2, 3), targets), [8, 16]);
    assert_eq!(checks(bounds(4, 5), routes), [3, 6, 12, 24]);
    assert_eq!(checks(bounds(4, 5), targets), [13, 26]);
    assert!(due(pauses(bounds(2, 3)), FeedLag::default()).is_empty());
}

/// Guards against queries of all three tables when one lags: the whole fleet would pay for them.
#[test]
fn a_table_that_does_not_lag_is_not_queried() {
    let behind = FeedLag { routes: false, targets: true };
    let tables = due(pauses(bounds(2, 3)), behind).into_iter().map(|(_, table)| table);
    assert!(tables.into_iter().all(|table| table == FleetTable::Targets));
}

/// Guards against queries by a passive VM whose cell only pauses at another time than the others. A
/// service is replaced: targets register every 100 ms for 20 s. Two VMs of different cells watch
/// the store, and pause for 2 s after each read, one 1.9 s after the other. A VM that is passive
/// behind the second sees at each check that the first has changes which it lacks, and gets them
/// whenever the pause of its own peer ends. A monitor that counted this as a fault after 1.6 s,
/// whatever the pause, and queried all tables, made 27 calls in these 20 s.
#[tokio::test(start_paused = true)]
async fn a_pause_of_another_cell_causes_no_queries() {
    LocalSet::new()
        .run_until(async {
            let (store, bounds) = (Rc::new(ModelStore::default()), bounds(4, 5));
            store.register("first");
            let (peer, changes) = ModelVm::start(&store, "e1", bounds);
            let (vm, _changes) = ModelVm::start(&store, "e2", bounds);
            vm.relay.set_must_watch(false);
            task::spawn_local(model_store::relay_changes(
                Rc::clone(&peer),
                changes,
                Rc::clone(&vm),
            ));
            time::sleep(Duration::from_millis(100)).await;
            let (other, _others) = ModelVm::start(&store, "e3", bounds);
            let mut monitor = LagMonitor::new(pauses(bounds), CHECK_INTERVAL);
            let (mut calls, mut behind_checks) = (0, 0);
            for change in 0..200 {
                store.register(&format!("t{change}"));
                time::sleep(CHECK_INTERVAL / 2).await;
                if change == 20 {
                    calls = vm.path.calls.get();
                }
                if change % 2 == 0 {
                    continue;
                }
                let behind = FeedLag { routes: false, targets: vm.is_behind(&other) };
                behind_checks += usize::from(behind.targets);
                monitor.due(behind).into_iter().for_each(|table| vm.refresh.notify(table));
            }
            assert!(
                behind_checks > 50,
                "the other cell is ahead for most of the time: {behind_checks}"
            );
            assert_eq!(vm.path.calls.get() - calls, 0);
        })
        .await;
}
