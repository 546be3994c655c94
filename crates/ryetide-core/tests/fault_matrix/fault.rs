//! The faults of the matrix, each of which begins at a step and ends after a fixed time.

use std::time::Duration;

use ryetide_core::event::Event;

use crate::{
    cell::{CallPlan, Cell, TARGETS, VMS},
    cell_network::Delivery,
};

/// The usual duration of a fault.
pub const FAULT_DURATION: Duration = Duration::from_secs(3);
/// The time after a fault's end after which requests must be answered again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(5);

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum FaultKind { $($(#[$doc])* $name),* }

        pub const ALL: &[FaultKind] = &[$(FaultKind::$name),*];
    };
}

fault_kinds! {
    /// The VM that takes the step is killed, and replaced at the end.
    KillVm,
    /// The arbiter of drafting in "here" is killed, and replaced at the end.
    KillArbiter,
    /// The VM that takes the step is frozen for longer than any timeout, and then resumes.
    FreezeVm,
    /// The arbiter of drafting in "here" is frozen for longer than any timeout, and then resumes.
    FreezeArbiter,
    /// Messages between e1 and e2 are lost in both directions.
    CutPeers,
    /// Messages from e1 to e2 are lost.
    CutPeersOneWay,
    /// The VM that takes the step cannot reach any target.
    CutTargets,
    /// The VM that takes the step cannot reach the platform.
    CutPlatform,
    /// "there" is cut off from "here" and from the platform.
    CutDataCentre,
    /// Every open connection to a target stops delivering data without a reset; new ones work.
    SilenceConnections,
    /// Every target is ten times slower.
    SlowTargets,
    /// Forty requests of both tiers arrive at once.
    Burst,
    /// The table service refuses all commands.
    TableDown,
    /// The table service answers after the timeout, and executes the command later still.
    TableSlow,
    /// The table service executes writes, but their answers are lost.
    TableLosing,
    /// Two operators apply edits at the same time through two VMs.
    RaceEdits,
    /// The list of VMs is no longer updated.
    StaleList,
    /// d1 is leaving, and stops leaving at the end.
    TargetLeaving,
    /// d1 is killed with all its requests, and replaced at the end.
    TargetKilled,
    /// Every target refuses requests as busy.
    TargetsBusy,
    /// No target knows the requests that it is asked to resume.
    TargetsForget,
    /// The VM that takes the step is shut down, and replaced.
    VmLeaving,
    /// The VM that takes the step is shut down and removed from the list of VMs.
    VmRemoved,
    /// Writes to the table service are lost and not answered.
    TableDropsWrites,
    /// The platform restores an older row of the services text.
    TableRestored,
    /// Targets end incomplete answers as if they were complete.
    TargetsTruncate,
    /// e3 is killed and removed from the list of VMs.
    VmGone,
    /// Every message between VMs is delivered twice.
    DoubleMessages,
    /// Messages between VMs are reordered.
    DelayMessages,
}

/// Begins a fault at `vm`, and schedules its end and the probes after it.
pub fn begin(cell: &mut Cell, fault: FaultKind, vm: usize) {
    let vm = if matches!(fault, FaultKind::KillArbiter | FaultKind::FreezeArbiter) {
        arbiter(cell).unwrap_or(vm)
    } else {
        vm
    };
    inject(cell, fault, vm);
    let end = cell.now + duration_of(fault);
    cell.schedule(end, Delivery::Fault(fault, false));
    for vm in 0..VMS.len() {
        cell.call(probe(end + RECOVERY_TIME, vm));
    }
}

fn duration_of(fault: FaultKind) -> Duration {
    let long = matches!(fault, FaultKind::VmGone | FaultKind::TargetLeaving);
    if long { FAULT_DURATION * 4 } else { FAULT_DURATION }
}

/// Returns a plain request. Sent after the recovery from a fault, it must be answered.
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

/// Returns the VM that is the elected arbiter of drafting in "here".
fn arbiter(cell: &Cell) -> Option<usize> {
    cell.vms.iter().position(|vm| {
        let scopes = vm.core.as_ref().map(|core| core.status().scopes).unwrap_or_default();
        let mut scopes = scopes.iter();
        scopes.any(|scope| {
            scope.elected && scope.service == "drafting" && scope.data_centre == "here"
        })
    })
}

fn inject(cell: &mut Cell, fault: FaultKind, vm: usize) {
    let between_data_centres = [(0, 2), (1, 2), (2, 0), (2, 1)];
    match fault {
        FaultKind::KillVm | FaultKind::KillArbiter => cell.stop(vm),
        FaultKind::FreezeVm | FaultKind::FreezeArbiter => {
            cell.vms[vm].frozen_until = Some(cell.now + FAULT_DURATION);
        }
        FaultKind::CutPeers => cell.network.cut_peers.extend([(0, 1), (1, 0)]),
        FaultKind::CutPeersOneWay => cell.network.cut_peers.extend([(0, 1)]),
        FaultKind::CutTargets => {
            cell.network.cut_targets.extend((0..TARGETS.len()).map(|target| (vm, target)));
        }
        FaultKind::CutPlatform => cell.network.cut_platform.extend([vm]),
        FaultKind::CutDataCentre => {
            cell.network.cut_peers.extend(between_data_centres);
            cell.network.cut_platform.extend([2]);
            cell.network.cut_targets.extend([(0, 2), (1, 2), (2, 0), (2, 1), (2, 3)]);
        }
        FaultKind::SilenceConnections => {
            cell.connections.values_mut().for_each(|connection| connection.silent = true);
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
            let (now, end) = (cell.now, cell.now + duration_of(fault));
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
    let incarnation = cell.vms[vm].incarnation;
    cell.schedule(cell.now, Delivery::ToVm(vm, incarnation, Event::Shutdown));
}

fn kill_target(cell: &mut Cell) {
    cell.targets[0].dead = true;
    cell.targets[0].jobs.clear();
    let broken: Vec<_> = cell
        .connections
        .iter()
        .filter(|(_, connection)| connection.target == 0)
        .filter(|(_, connection)| !connection.silent)
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

/// Ends a fault: restores connectivity, resumes frozen VMs, and replaces those that were killed.
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
        FaultKind::FreezeVm | FaultKind::FreezeArbiter => resume_frozen(cell),
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

/// Resumes all frozen VMs. Each executes the effects of the step at which it was frozen, and then
/// handles the events that it received meanwhile, in order.
fn resume_frozen(cell: &mut Cell) {
    for vm in 0..VMS.len() {
        if cell.vms[vm].frozen_until.take().is_some() {
            let effects = std::mem::take(&mut cell.vms[vm].suspended_effects);
            cell.execute_all(vm, effects);
            let inbox = std::mem::take(&mut cell.vms[vm].inbox);
            for event in inbox {
                cell.step(vm, event);
            }
        }
    }
}
