//! VMs that follow a store which is restored from a copy.

use std::{rc::Rc, time::Duration};

use ryetide_gateway::store_feed::FeedBounds;
use tokio::{
    task::{self, LocalSet},
    time::{self, Instant},
};

use crate::model_store::{self, CutKind, ModelStore, ModelVm};

const BOUNDS: FeedBounds =
    FeedBounds { leaving: Duration::from_secs(2), silence: Duration::from_secs(3) };
/// How long the store is unavailable before it is restored.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// The number of changes that the copy lacks.
const CHANGES_AFTER_COPY: u64 = 20;

/// Two VMs, of which the first watches the store and the second watches too or is passive.
struct Pair {
    store: Rc<ModelStore>,
    peer: Rc<ModelVm>,
    vm: Rc<ModelVm>,
}

impl Pair {
    async fn start(passive: bool) -> Self {
        let store = Rc::new(ModelStore::default());
        for target in ["a", "b"] {
            store.register(target);
        }
        let (peer, changes) = ModelVm::start(&store, "e1", BOUNDS);
        let (vm, _changes) = ModelVm::start(&store, "e2", BOUNDS);
        task::spawn_local(model_store::relay_changes(Rc::clone(&peer), changes, Rc::clone(&vm)));
        vm.relay.set_must_watch(!passive);
        time::sleep(Duration::from_secs(5)).await;
        assert!(peer.uses("a") && vm.uses("a"), "both know the targets");
        Self { store, peer, vm }
    }

    fn vms(&self) -> [(&str, &Rc<ModelVm>); 2] {
        [("the peer", &self.peer), ("the VM", &self.vm)]
    }

    /// Makes the store unavailable, and restores it from `copy`.
    async fn restore(&self, copy: &model_store::StoreCopy, kind: CutKind) {
        self.vms().iter().for_each(|(_, vm)| vm.path.cut(kind));
        time::sleep(OUTAGE).await;
        self.store.restore(copy);
        self.vms().iter().for_each(|(_, vm)| vm.path.mend());
    }
}

/// Guards against VMs that ignore a restored store's data because they have seen higher versions,
/// or that wait for changes after a version which the store assigns a second time.
#[tokio::test(start_paused = true)]
async fn a_target_that_goes_after_a_restore_gets_no_new_work_beyond_the_bounds() {
    check_restores(CutKind::Refused).await;
}

/// The same after a restore before which the VMs' calls hang.
#[tokio::test(start_paused = true)]
async fn a_target_that_goes_after_calls_hung_and_a_restore_gets_no_new_work_beyond_the_bounds() {
    check_restores(CutKind::Silent).await;
}

async fn check_restores(kind: CutKind) {
    for passive in [false, true] {
        {
            for ends in (0..6_000).step_by(200).map(Duration::from_millis) {
                let case = async {
                    let pair = Pair::start(passive).await;
                    let copy = pair.store.copy();
                    (0..CHANGES_AFTER_COPY).for_each(|_| pair.store.register("b"));
                    time::sleep(Duration::from_secs(2)).await;
                    pair.restore(&copy, kind).await;
                    let restored_at = Instant::now();
                    time::sleep(ends).await;
                    pair.store.drop_target("a");
                    let permitted =
                        (Instant::now() + BOUNDS.leaving).max(restored_at + BOUNDS.silence);
                    time::sleep_until(permitted + Duration::from_secs(2)).await;
                    for (who, vm) in pair.vms() {
                        let used = vm.last_used("a").saturating_duration_since(permitted);
                        assert!(used.is_zero(), "{who}, {kind:?}, {passive}, {ends:?}: {used:?}");
                        assert!(vm.uses("b"), "{who} uses the live target");
                    }
                };
                LocalSet::new().run_until(case).await;
            }
        }
    }
}

/// Guards against live targets that get no work because the copy is older than their entries. They
/// write them again within two seconds.
#[tokio::test(start_paused = true)]
async fn targets_that_the_copy_lacks_keep_getting_work() {
    for returns in (0..1_400).step_by(200).map(Duration::from_millis) {
        let case = async {
            let pair = Pair::start(true).await;
            let copy = pair.store.copy();
            pair.store.register("c");
            time::sleep(Duration::from_secs(3)).await;
            pair.restore(&copy, CutKind::Refused).await;
            time::sleep(returns).await;
            pair.store.register("c");
            time::sleep(Duration::from_secs(4)).await;
            for (who, vm) in pair.vms() {
                assert!(vm.uses("c") && !vm.has_stopped("c"), "{who}, {returns:?}");
            }
        };
        LocalSet::new().run_until(case).await;
    }
}
