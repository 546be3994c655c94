//! VMs before a store that comes back from a copy of itself.

use std::{rc::Rc, time::Duration};

use ryetide_gateway::store_feed::FeedBounds;
use tokio::{
    task::{self, LocalSet},
    time::{self, Instant},
};

use crate::model_store::{self, CutKind, ModelStore, ModelVm};

const BOUNDS: FeedBounds =
    FeedBounds { leaving: Duration::from_secs(2), silence: Duration::from_secs(3) };
/// For how long the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(1_500);
/// Changes that the copy lacks.
const WRITTEN_SINCE: u64 = 20;

/// Two VMs, of which the second watches or rests on the first.
struct Pair {
    store: Rc<ModelStore>,
    mate: Rc<ModelVm>,
    vm: Rc<ModelVm>,
}

impl Pair {
    async fn start(rests: bool) -> Self {
        let store = Rc::new(ModelStore::default());
        for target in ["a", "b"] {
            store.register(target);
        }
        let (mate, changes) = ModelVm::start(&store, "e1", BOUNDS);
        let (vm, _changes) = ModelVm::start(&store, "e2", BOUNDS);
        task::spawn_local(model_store::pass_on(Rc::clone(&mate), changes, Rc::clone(&vm)));
        vm.relay.set_duty(!rests);
        time::sleep(Duration::from_secs(5)).await;
        assert!(mate.uses("a") && vm.uses("a"), "both know the targets");
        Self { store, mate, vm }
    }

    fn vms(&self) -> [(&str, &Rc<ModelVm>); 2] {
        [("the mate", &self.mate), ("the VM", &self.vm)]
    }

    /// Lets the store go away and come back from `copy`.
    async fn restore(&self, copy: &model_store::StoreCopy, kind: CutKind) {
        self.vms().iter().for_each(|(_, vm)| vm.path.cut(kind));
        time::sleep(AWAY).await;
        self.store.restore(copy);
        self.vms().iter().for_each(|(_, vm)| vm.path.mend());
    }
}

/// Guards against VMs that pass over what a restored store says, because they had seen higher versions, or wait for
/// changes since a version that it gives out again.
#[tokio::test(start_paused = true)]
async fn a_target_that_goes_after_the_store_was_restored_gets_no_new_work_for_long() {
    for rests in [false, true] {
        for kind in [CutKind::Refused, CutKind::Silent] {
            for ends in (0..6_000).step_by(200).map(Duration::from_millis) {
                let case = async {
                    let pair = Pair::start(rests).await;
                    let copy = pair.store.copy();
                    (0..WRITTEN_SINCE).for_each(|_| pair.store.register("b"));
                    time::sleep(Duration::from_secs(2)).await;
                    pair.restore(&copy, kind).await;
                    let restored = Instant::now();
                    time::sleep(ends).await;
                    pair.store.drop_target("a");
                    let permitted =
                        (Instant::now() + BOUNDS.leaving).max(restored + BOUNDS.silence);
                    time::sleep_until(permitted + Duration::from_secs(2)).await;
                    for (who, vm) in pair.vms() {
                        let used = vm.last_used("a").saturating_duration_since(permitted);
                        assert!(used.is_zero(), "{who}, {kind:?}, {rests}, {ends:?}: {used:?}");
                        assert!(vm.uses("b"), "{who} knows the target that lives");
                    }
                };
                LocalSet::new().run_until(case).await;
            }
        }
    }
}

/// Guards against targets that lose their callers because the copy is older than their entries: they write them again
/// within two seconds.
#[tokio::test(start_paused = true)]
async fn targets_that_the_copy_lacks_get_work_all_along() {
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
