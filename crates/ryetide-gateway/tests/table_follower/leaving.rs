//! How long a target gets work after its entry was deleted.

use std::{fmt, rc::Rc, time::Duration};

use ryetide_gateway::store_feed::FeedBounds;
use tokio::{
    task::{self, LocalSet},
    time::{self, Instant},
};

use crate::model_store::{self, CutKind, ModelStore, ModelVm};

/// How long the VM is cut off from the store.
const CUT: Duration = Duration::from_secs(3);
/// How soon a VM that is reachable again learns that peers watch the store, and becomes passive.
const REJOIN_DELAY: Duration = Duration::from_millis(400);
/// The step between the times at which the entry is deleted.
const STEP: Duration = Duration::from_millis(100);

/// The ways in which a VM is cut off.
const CUTS: [CutKind; 2] = [CutKind::Refused, CutKind::Silent];

/// What a VM does after the cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AfterCut {
    /// It watches the store itself.
    Watches,
    /// It is passive and receives the changes that its peer relays.
    Passive,
    /// It is passive, and the changes that its peer relays are lost.
    PassiveWithLoss,
}

/// A target whose entry is deleted during or after a cut.
#[derive(Clone, Copy, Debug)]
struct LeavingCase {
    bounds: FeedBounds,
    cut: CutKind,
    after: AfterCut,
    /// The time from the start of the cut until the target's entry is deleted.
    deleted_after: Duration,
}

impl fmt::Display for LeavingCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { bounds, cut, after, deleted_after } = self;
        let leaving = bounds.leaving;
        write!(
            formatter,
            "{cut:?} cut, {after:?}, {leaving:?} permitted, deleted after {deleted_after:?}"
        )
    }
}

impl LeavingCase {
    /// Runs the case, and returns how long the target got work beyond the later of two bounds:
    /// `leaving` after its entry was deleted, and `silence` after the end of the cut.
    async fn overrun(self) -> Duration {
        LocalSet::new().run_until(self.run()).await
    }

    async fn run(self) -> Duration {
        let store = Rc::new(ModelStore::default());
        for target in ["a", "b", "c"] {
            store.register(target);
        }
        let (peer, changes) = ModelVm::start(&store, "e1", self.bounds);
        let (vm, _changes) = ModelVm::start(&store, "e2", self.bounds);
        task::spawn_local(model_store::relay_changes(Rc::clone(&peer), changes, Rc::clone(&vm)));
        vm.relay.set_must_watch(self.after == AfterCut::Watches);
        time::sleep(Duration::from_secs(5)).await;
        assert!(peer.uses("a") && vm.uses("a"), "both know the targets");

        vm.loses_changes.set(self.after == AfterCut::PassiveWithLoss);
        let begun = Instant::now();
        let ended = begun + CUT;
        // A VM that receives nothing from its peer must watch.
        vm.path.cut(self.cut);
        vm.relay.set_must_watch(true);
        let back = async {
            time::sleep_until(ended).await;
            vm.path.mend();
            time::sleep(REJOIN_DELAY).await;
            vm.relay.set_must_watch(self.after == AfterCut::Watches);
        };
        let end = async {
            time::sleep_until(begun + self.deleted_after).await;
            // This earlier change makes the watching VMs pause.
            store.register("d");
            time::sleep(Duration::from_millis(20)).await;
            store.drop_target("a");
            Instant::now()
        };
        let ((), gone) = tokio::join!(back, end);
        let permitted = (gone + self.bounds.leaving).max(ended + self.bounds.silence);
        time::sleep_until(permitted + Duration::from_secs(3)).await;
        assert!(vm.uses("b") && vm.uses("d"), "the live targets get work");
        vm.last_used("a").saturating_duration_since(permitted)
    }
}

fn bounds(leaving: u64, silence: u64) -> FeedBounds {
    FeedBounds { leaving: Duration::from_secs(leaving), silence: Duration::from_secs(silence) }
}

/// Returns the longest overrun and its case. Deletes the entry at each step from the start of the
/// cut until seconds after it, for each kind of cut and each pair of bounds that deployments use.
async fn worst(after: AfterCut, cuts: &[CutKind]) -> (Duration, LeavingCase) {
    let mut worst = None;
    for bounds in [bounds(2, 3), bounds(3, 4), bounds(4, 5)] {
        for &cut in cuts {
            for step in 0..80 {
                let case = LeavingCase { bounds, cut, after, deleted_after: STEP * step };
                let overrun = case.overrun().await;
                if worst.is_none_or(|(most, _)| overrun > most) {
                    worst = Some((overrun, case));
                }
            }
        }
    }
    worst.expect("some cases")
}

/// Guards against a pause and a grace period that add up. The entry of a target is deleted, without
/// notice, just after the watching VMs start a pause of 1.5 s. They read and relay the change at
/// the end of the pause. A VM that had lost the store then keeps the target for a grace period of
/// 1.6 s more, and sends it a request 3.06 s after the deletion, where 3 s are permitted. Each of
/// the two times is within the bounds alone.
#[tokio::test(start_paused = true)]
async fn a_target_that_goes_after_a_cut_gets_no_new_work_beyond_the_bounds() {
    let (overrun, case) = worst(AfterCut::Passive, &CUTS).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// The same on a VM that watches the store itself, and so gets changes without a peer's pause.
#[tokio::test(start_paused = true)]
async fn a_watching_vm_gives_no_new_work_beyond_the_bounds() {
    let (overrun, case) = worst(AfterCut::Watches, &[CutKind::Refused]).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// The same after a cut in which the VM's calls hang.
#[tokio::test(start_paused = true)]
async fn a_watching_vm_whose_calls_hang_gives_no_new_work_beyond_the_bounds() {
    let (overrun, case) = worst(AfterCut::Watches, &[CutKind::Silent]).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// The same where the datagrams with the changes are lost: the VM sees from its peer's next digest
/// that it lacks a change, and queries the store. That takes some tenths of a second more, and must
/// not add to the grace period.
#[tokio::test(start_paused = true)]
async fn a_lost_datagram_and_a_grace_period_do_not_add_up() {
    let (overrun, case) = worst(AfterCut::PassiveWithLoss, &CUTS).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// Makes a VM passive as soon as it knows that its peer watches the store.
async fn become_passive_when_watched(peer: Rc<ModelVm>, vm: Rc<ModelVm>) {
    while peer.relay.watch_report().is_none() {
        time::sleep(Duration::from_millis(10)).await;
    }
    time::sleep(REJOIN_DELAY).await;
    vm.relay.set_must_watch(false);
}

/// Guards against live targets that get no work after an outage of the store. It is unavailable for
/// four seconds, in which all entries expire. Then it reports them as deleted, and the targets
/// write them again within 1.4 s. Neither a VM that has lost the store nor one that was passive
/// throughout, and gets all changes from a peer that had lost it, may stop using a target.
#[tokio::test(start_paused = true)]
async fn targets_that_expired_during_an_outage_keep_getting_work() {
    for returns in (100..1_400).step_by(100).map(Duration::from_millis) {
        for noticed in [true, false] {
            let outage = async {
                let store = Rc::new(ModelStore::default());
                store.register("a");
                let (peer, changes) = ModelVm::start(&store, "e1", bounds(3, 4));
                let (vm, _changes) = ModelVm::start(&store, "e2", bounds(3, 4));
                task::spawn_local(model_store::relay_changes(
                    Rc::clone(&peer),
                    changes,
                    Rc::clone(&vm),
                ));
                vm.relay.set_must_watch(noticed);
                time::sleep(Duration::from_secs(5)).await;
                peer.path.cut(CutKind::Refused);
                if noticed {
                    vm.path.cut(CutKind::Refused);
                }
                time::sleep(Duration::from_secs(3)).await;
                store.drop_target("a");
                time::sleep(Duration::from_secs(1)).await;
                peer.path.mend();
                vm.path.mend();
                task::spawn_local(become_passive_when_watched(Rc::clone(&peer), Rc::clone(&vm)));
                time::sleep(returns).await;
                store.register("a");
                time::sleep(Duration::from_secs(4)).await;
                for (vm, who) in [(&peer, "the peer"), (&vm, "the VM")] {
                    assert!(vm.uses("a") && !vm.has_stopped("a"), "{who}, {returns:?}, {noticed}");
                }
            };
            LocalSet::new().run_until(outage).await;
        }
    }
}
