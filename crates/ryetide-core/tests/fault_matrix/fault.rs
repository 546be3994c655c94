//! The faults of the matrix: each begins at a step and ends by itself.

use std::time::Duration;

use ryetide_core::event::Event;

use crate::{
    cell::{CallPlan, Cell, TARGETS, VMS},
    cell_network::Delivery,
};

/// How long a fault lasts.
pub const FAULT_SPAN: Duration = Duration::from_secs(3);
/// Work must be served again this long after a fault's end.
pub const RECOVERY_SPAN: Duration = Duration::from_secs(5);

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum FaultKind { $($(#[$doc])* $name),* }

        pub const ALL: &[FaultKind] = &[$(FaultKind::$name),*];
    };
}

fault_kinds! {
    /// The VM that takes the step dies, and is replaced.
    KillVm,
    /// The VM that arbitrates drafting here dies, and is replaced.
    KillArbiter,
    /// The VM that takes the step is frozen longer than any time limit, and wakes.
    FreezeVm,
    /// The arbiter is frozen longer than any time limit, and wakes.
    FreezeArbiter,
    /// e1 and e2 do not hear each other.
    CutPeers,
    /// e2 does not hear e1.
    CutPeersOneWay,
    /// The VM that takes the step reaches no target.
    CutTargets,
    /// The VM that takes the step does not reach the platform.
    CutPlatform,
    /// "there" is cut off from "here" and from the platform.
    CutDataCentre,
    /// Every open connection to a target falls silent without a reset; new ones work.
    SilenceConnections,
    /// Every target works ten times slower.
    SlowTargets,
    /// Forty requests of both tiers arrive at once.
    Burst,
    /// The table service refuses everything.
    TableDown,
    /// The table service answers too late, and does what it was asked even later.
    TableSlow,
    /// The table service does its writes and loses the answers.
    TableLosing,
    /// Two operators edit at the same moment through two VMs.
    RaceEdits,
    /// The list of VMs is no longer updated.
    StaleList,
    /// d1 is leaving, then stays.
    TargetLeaving,
    /// d1 dies with all it was doing, and is replaced.
    TargetKilled,
    /// Every target refuses as busy.
    TargetsBusy,
    /// Every target forgets what it was doing when asked for the rest.
    TargetsForget,
    /// The VM that takes the step is told to shut down, and is replaced.
    VmLeaving,
    /// The VM that takes the step is told to shut down, and the list names it no longer.
    VmRemoved,
    /// The table service never sees the writes, and no answer comes.
    TableDropsWrites,
    /// The platform restores an older row of the services text.
    TableRestored,
    /// Targets end answers in the middle as if they were whole.
    TargetsTruncate,
    /// e3 dies for good: the list no longer names it.
    VmGone,
    /// Every message between VMs comes twice.
    DoubleMessages,
    /// Messages between VMs overtake each other.
    DelayMessages,
}

/// Begins a fault at `vm`, and arranges its end and the probes after it.
pub fn begin(cell: &mut Cell, fault: FaultKind, vm: usize) {
    let vm = if matches!(fault, FaultKind::KillArbiter | FaultKind::FreezeArbiter) {
        arbiter(cell).unwrap_or(vm)
    } else {
        vm
    };
    switch(cell, fault, vm);
    let end = cell.now + span_of(fault);
    cell.schedule(end, Delivery::Fault(fault, false));
    for vm in 0..VMS.len() {
        cell.call(probe(end + RECOVERY_SPAN, vm));
    }
}

fn span_of(fault: FaultKind) -> Duration {
    let long = matches!(fault, FaultKind::VmGone | FaultKind::TargetLeaving);
    if long { FAULT_SPAN * 4 } else { FAULT_SPAN }
}

/// A request that must be answered: the system serves again.
pub fn probe(at: ryetide_core::units::Moment, vm: usize) -> CallPlan {
    CallPlan {
        at,
        vm,
        service: "drafting",
        tier: "urgent",
        key: None,
        deadline: Duration::from_secs(8),
        gone_after: None,
        empty: false,
        repeats: 0,
    }
}

fn arbiter(cell: &Cell) -> Option<usize> {
    cell.vms.iter().position(|vm| {
        let scopes = vm.core.as_ref().map(|core| core.status().scopes).unwrap_or_default();
        let mut scopes = scopes.iter();
        scopes.any(|scope| {
            scope.elected && scope.service == "drafting" && scope.data_centre == "here"
        })
    })
}

fn switch(cell: &mut Cell, fault: FaultKind, vm: usize) {
    let here_there = [(0, 2), (1, 2), (2, 0), (2, 1)];
    match fault {
        FaultKind::KillVm | FaultKind::KillArbiter => cell.stop(vm),
        FaultKind::FreezeVm | FaultKind::FreezeArbiter => {
            cell.vms[vm].thaw = Some(cell.now + FAULT_SPAN);
        }
        FaultKind::CutPeers => cell.network.cut_peers.extend([(0, 1), (1, 0)]),
        FaultKind::CutPeersOneWay => cell.network.cut_peers.extend([(0, 1)]),
        FaultKind::CutTargets => {
            cell.network.cut_targets.extend((0..TARGETS.len()).map(|target| (vm, target)));
        }
        FaultKind::CutPlatform => cell.network.cut_platform.extend([vm]),
        FaultKind::CutDataCentre => {
            cell.network.cut_peers.extend(here_there);
            cell.network.cut_platform.extend([2]);
            cell.network.cut_targets.extend([(0, 2), (1, 2), (2, 0), (2, 1), (2, 3)]);
        }
        FaultKind::SilenceConnections => {
            cell.links.values_mut().for_each(|link| link.silent = true);
        }
        FaultKind::SlowTargets => cell.targets.iter_mut().for_each(|target| target.slowdown = 10),
        FaultKind::Burst => burst(cell),
        FaultKind::TableDown => cell.table.down = true,
        FaultKind::TableSlow => cell.table.slow = true,
        FaultKind::TableLosing => cell.table.losing = true,
        FaultKind::RaceEdits => {
            let operation = 100 + cell.applied.len() as u64;
            cell.apply(cell.now, 0, operation);
            cell.apply(cell.now, 1, operation + 1);
        }
        FaultKind::StaleList => cell.network.list_stale = true,
        FaultKind::TargetLeaving => {
            let (now, end) = (cell.now, cell.now + span_of(fault));
            cell.targets[0].leaving = true;
            cell.targets[0].leavings.push((now, end));
        }
        FaultKind::TargetKilled => kill_target(cell),
        FaultKind::TargetsBusy => cell.targets.iter_mut().for_each(|target| target.busy = true),
        FaultKind::TargetsForget => {
            cell.targets.iter_mut().for_each(|target| target.forgetful = true);
        }
        FaultKind::VmLeaving => shut_down(cell, vm),
        FaultKind::VmRemoved => {
            cell.network.delisted.extend([vm]);
            shut_down(cell, vm);
        }
        FaultKind::TableDropsWrites => cell.table.dropping = true,
        FaultKind::TableRestored => cell.table.restore(),
        FaultKind::TargetsTruncate => {
            cell.targets.iter_mut().for_each(|target| target.truncating = true);
        }
        FaultKind::VmGone => {
            cell.network.delisted.extend([2]);
            cell.stop(2);
        }
        FaultKind::DoubleMessages => cell.network.doubled = true,
        FaultKind::DelayMessages => cell.network.delayed = true,
    }
}

fn shut_down(cell: &mut Cell, vm: usize) {
    let life = cell.vms[vm].incarnation;
    cell.schedule(cell.now, Delivery::ToVm(vm, life, Event::Shutdown));
}

fn kill_target(cell: &mut Cell) {
    cell.targets[0].dead = true;
    cell.targets[0].jobs.clear();
    let broken: Vec<_> = cell
        .links
        .iter()
        .filter(|(_, link)| link.target == 0)
        .filter(|(_, link)| !link.silent)
        .map(|(key, _)| *key)
        .collect();
    for key in broken {
        let (_, _, sequence, attempt) = key;
        cell.close(key, Event::TargetBroken { sequence, attempt });
    }
}

fn burst(cell: &mut Cell) {
    for number in 0..40 {
        let tier = if number % 2 == 0 { "urgent" } else { "routine" };
        let plan = CallPlan { tier, ..probe(cell.now, number % VMS.len()) };
        cell.call(plan);
    }
}

/// Ends a fault: what was cut is joined, what was frozen thaws, what died is replaced.
pub fn end(cell: &mut Cell, fault: FaultKind) {
    match fault {
        FaultKind::KillVm
        | FaultKind::KillArbiter
        | FaultKind::VmGone
        | FaultKind::VmRemoved
        | FaultKind::VmLeaving => {
            cell.network.delisted.clear();
            for vm in 0..VMS.len() {
                cell.restart(vm);
            }
        }
        FaultKind::FreezeVm | FaultKind::FreezeArbiter => thaw(cell),
        FaultKind::CutPeers | FaultKind::CutPeersOneWay => cell.network.cut_peers.clear(),
        FaultKind::CutTargets => cell.network.cut_targets.clear(),
        FaultKind::CutPlatform => cell.network.cut_platform.clear(),
        FaultKind::CutDataCentre => {
            cell.network.cut_peers.clear();
            cell.network.cut_platform.clear();
            cell.network.cut_targets.clear();
        }
        FaultKind::SilenceConnections
        | FaultKind::Burst
        | FaultKind::RaceEdits
        | FaultKind::TableRestored => {}
        FaultKind::TargetsTruncate => {
            cell.targets.iter_mut().for_each(|target| target.truncating = false);
        }
        FaultKind::SlowTargets => cell.targets.iter_mut().for_each(|target| target.slowdown = 1),
        FaultKind::TableDown => cell.table.down = false,
        FaultKind::TableSlow => cell.table.slow = false,
        FaultKind::TableLosing => cell.table.losing = false,
        FaultKind::TableDropsWrites => cell.table.dropping = false,
        FaultKind::StaleList => cell.network.list_stale = false,
        FaultKind::TargetLeaving => {
            cell.targets[0].leaving = false;
        }
        FaultKind::TargetKilled => cell.targets[0].dead = false,
        FaultKind::TargetsBusy => cell.targets.iter_mut().for_each(|target| target.busy = false),
        FaultKind::TargetsForget => {
            cell.targets.iter_mut().for_each(|target| target.forgetful = false);
        }
        FaultKind::DoubleMessages => cell.network.doubled = false,
        FaultKind::DelayMessages => cell.network.delayed = false,
    }
}

/// A frozen VM wakes with everything that came meanwhile, in order, and acts on what it had decided.
fn thaw(cell: &mut Cell) {
    for vm in 0..VMS.len() {
        if cell.vms[vm].thaw.take().is_some() {
            let held = std::mem::take(&mut cell.vms[vm].held);
            cell.carry_out_all(vm, held);
            let inbox = std::mem::take(&mut cell.vms[vm].inbox);
            for event in inbox {
                cell.step(vm, event);
            }
        }
    }
}
