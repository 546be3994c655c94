//! For how long a target gets work whose entry has ended.

use std::{fmt, rc::Rc, time::Duration};

use ryetide_gateway::store_feed::FeedBounds;
use tokio::{
    task::{self, LocalSet},
    time::{self, Instant},
};

use crate::model_store::{self, CutKind, ModelStore, ModelVm};

/// How long the VM is cut off.
const CUT: Duration = Duration::from_secs(3);
/// How soon a VM that is reached again hears that its mates watch, and rests on them.
const REJOIN: Duration = Duration::from_millis(400);
/// The time between the entries' ends that are tried.
const STEP: Duration = Duration::from_millis(100);

/// What a VM does once its cut is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AfterCut {
    /// It watches the store itself.
    Watches,
    /// It rests on its mates.
    Rests,
    /// It rests on its mates, and the changes that they pass on are lost.
    RestsUntold,
}

/// One target's end, before, during or after a cut.
#[derive(Clone, Copy, Debug)]
struct LeavingCase {
    bounds: FeedBounds,
    cut: CutKind,
    after: AfterCut,
    /// From the beginning of the cut until the target's entry ends.
    ends: Duration,
}

impl fmt::Display for LeavingCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { bounds, cut, after, ends } = self;
        let leaving = bounds.leaving;
        write!(formatter, "{cut:?} cut, {after:?}, {leaving:?} permitted, ended at {ends:?}")
    }
}

impl LeavingCase {
    /// Plays the case, and returns for how long the target got work beyond what is permitted: from when it must
    /// not, `leaving` after its entry's end, and from when the cut excuses nothing any more.
    async fn overrun(self) -> Duration {
        LocalSet::new().run_until(self.play()).await
    }

    async fn play(self) -> Duration {
        let store = Rc::new(ModelStore::default());
        for target in ["a", "b", "c"] {
            store.register(target);
        }
        let (mate, changes) = ModelVm::start(&store, "e1", self.bounds);
        let (vm, _changes) = ModelVm::start(&store, "e2", self.bounds);
        task::spawn_local(model_store::pass_on(Rc::clone(&mate), changes, Rc::clone(&vm)));
        vm.relay.set_duty(self.after == AfterCut::Watches);
        time::sleep(Duration::from_secs(5)).await;
        assert!(mate.uses("a") && vm.uses("a"), "both know the targets");

        vm.loses_changes.set(self.after == AfterCut::RestsUntold);
        let begun = Instant::now();
        let ended = begun + CUT;
        // One that hears no mate must watch.
        vm.path.cut(self.cut);
        vm.relay.set_duty(true);
        let back = async {
            time::sleep_until(ended).await;
            vm.path.mend();
            time::sleep(REJOIN).await;
            vm.relay.set_duty(self.after == AfterCut::Watches);
        };
        let end = async {
            time::sleep_until(begun + self.ends).await;
            // The change before makes the VMs that watch pause.
            store.register("d");
            time::sleep(Duration::from_millis(20)).await;
            store.drop_target("a");
            Instant::now()
        };
        let ((), gone) = tokio::join!(back, end);
        let permitted = (gone + self.bounds.leaving).max(ended + self.bounds.silence);
        time::sleep_until(permitted + Duration::from_secs(3)).await;
        assert!(vm.uses("b") && vm.uses("d"), "those that live get work");
        vm.last_used("a").saturating_duration_since(permitted)
    }
}

fn bounds(leaving: u64, silence: u64) -> FeedBounds {
    FeedBounds { leaving: Duration::from_secs(leaving), silence: Duration::from_secs(silence) }
}

/// Plays an end of the target's entry at each step from the beginning of the cut until seconds after it, for each kind
/// of cut and each pair of bounds that deployments have.
async fn worst(after: AfterCut) -> (Duration, LeavingCase) {
    let mut worst = None;
    for bounds in [bounds(2, 3), bounds(3, 4), bounds(4, 5)] {
        for cut in [CutKind::Refused, CutKind::Silent] {
            for step in 0..80 {
                let case = LeavingCase { bounds, cut, after, ends: STEP * step };
                let overrun = case.overrun().await;
                if worst.is_none_or(|(most, _)| overrun > most) {
                    worst = Some((overrun, case));
                }
            }
        }
    }
    worst.expect("some cases")
}

/// A caller's request is sent to a target that has left, 3.06 s after its entry's end; 3 s are permitted. A VM was
/// cut off, and is back. A target leaves without a word just after the VMs that watch have begun a pause of 1.5 s.
/// They hear of it at its end and pass it on; the VM, which had lost the store, doubts that the target is gone, and
/// keeps it for 1.6 s more. Either time is sound alone. What proved it: all VMs that had been cut off, and no
/// others, dropped the same targets without any news, 1.75 s after all had heard of their end.
#[tokio::test(start_paused = true)]
async fn a_target_that_goes_after_a_cut_gets_no_new_work_for_long() {
    let (overrun, case) = worst(AfterCut::Rests).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// The same on a VM that watches the store itself, and so hears without a mate's pause.
#[tokio::test(start_paused = true)]
async fn a_vm_that_watches_gives_no_new_work_for_long_either() {
    let (overrun, case) = worst(AfterCut::Watches).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// The same where the datagrams with the changes are lost: the VM sees from its mate's next digest that it lacks one,
/// and asks the store. That takes some tenths of a second more, and must not add up with a doubt either.
#[tokio::test(start_paused = true)]
async fn a_lost_datagram_and_a_doubt_do_not_add_up() {
    let (overrun, case) = worst(AfterCut::RestsUntold).await;
    assert!(overrun.is_zero(), "{case}: {overrun:?} too long");
}

/// Has a VM rest as soon as it has heard that its mate watches.
async fn rest_when_watched(mate: Rc<ModelVm>, vm: Rc<ModelVm>) {
    while mate.relay.watch_note().is_none() {
        time::sleep(Duration::from_millis(10)).await;
    }
    time::sleep(REJOIN).await;
    vm.relay.set_duty(false);
}

/// The store is away for four seconds, and all entries lapse though every target lives. It comes back, tells that they
/// are gone, and the targets write themselves in again within 1.4 s. No VM takes any of them from its callers: not
/// one that has lost the store itself, and not one that rested all along and hears of it all from a mate that had.
#[tokio::test(start_paused = true)]
async fn targets_that_lapsed_with_the_store_get_work_all_along() {
    for returns in (100..1_400).step_by(100).map(Duration::from_millis) {
        for noticed in [true, false] {
            let outage = async {
                let store = Rc::new(ModelStore::default());
                store.register("a");
                let (mate, changes) = ModelVm::start(&store, "e1", bounds(3, 4));
                let (vm, _changes) = ModelVm::start(&store, "e2", bounds(3, 4));
                task::spawn_local(model_store::pass_on(Rc::clone(&mate), changes, Rc::clone(&vm)));
                vm.relay.set_duty(noticed);
                time::sleep(Duration::from_secs(5)).await;
                mate.path.cut(CutKind::Refused);
                if noticed {
                    vm.path.cut(CutKind::Refused);
                }
                time::sleep(Duration::from_secs(3)).await;
                store.drop_target("a");
                time::sleep(Duration::from_secs(1)).await;
                mate.path.mend();
                vm.path.mend();
                task::spawn_local(rest_when_watched(Rc::clone(&mate), Rc::clone(&vm)));
                time::sleep(returns).await;
                store.register("a");
                time::sleep(Duration::from_secs(4)).await;
                for (vm, who) in [(&mate, "the mate"), (&vm, "the VM")] {
                    assert!(vm.uses("a") && !vm.has_stopped("a"), "{who}, {returns:?}, {noticed}");
                }
            };
            LocalSet::new().run_until(outage).await;
        }
    }
}
