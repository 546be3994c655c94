//! The scenarios in which faults are injected. Together they take every step of the charts.

use std::time::Duration;

use ryetide_core::{safeguard::SafeguardSwitches, units::Moment};

use crate::{
    cell::{CallPlan, Cell},
    cell_network::Delivery,
    fault::{FaultKind, probe},
};

/// The scenarios, each with its own faults and their times in milliseconds.
pub const ALL: &[Scenario] = &[
    Scenario { name: "calm", faults: &[] },
    Scenario { name: "silent", faults: &[(2_050, FaultKind::SilenceConnections)] },
    Scenario { name: "silent-early", faults: &[(2_012, FaultKind::SilenceConnections)] },
    Scenario { name: "silent-late", faults: &[(2_232, FaultKind::SilenceConnections)] },
    Scenario {
        name: "silent-and-cut",
        faults: &[(2_050, FaultKind::SilenceConnections), (2_060, FaultKind::CutTargets)],
    },
    // The later faults silence connections that have just been opened to resume an answer.
    Scenario {
        name: "silent-twice",
        faults: &[
            (2_050, FaultKind::SilenceConnections),
            (4_090, FaultKind::SilenceConnections),
            (4_092, FaultKind::SilenceConnections),
            (4_094, FaultKind::SilenceConnections),
            (4_096, FaultKind::SilenceConnections),
            (4_098, FaultKind::SilenceConnections),
            (4_100, FaultKind::SilenceConnections),
            (4_102, FaultKind::SilenceConnections),
            (4_104, FaultKind::SilenceConnections),
        ],
    },
    Scenario { name: "target-killed", faults: &[(2_050, FaultKind::TargetKilled)] },
    Scenario { name: "targets-cut", faults: &[(1_990, FaultKind::CutTargets)] },
    Scenario { name: "busy", faults: &[(1_990, FaultKind::TargetsBusy)] },
    Scenario { name: "slow", faults: &[(1_990, FaultKind::SlowTargets)] },
    Scenario { name: "burst", faults: &[(2_000, FaultKind::Burst)] },
    Scenario {
        name: "forgotten",
        faults: &[(2_040, FaultKind::TargetsForget), (2_050, FaultKind::SilenceConnections)],
    },
    Scenario { name: "leaving", faults: &[(2_000, FaultKind::TargetLeaving)] },
    Scenario {
        name: "leaving-unreachable",
        faults: &[(1_990, FaultKind::TargetKilled), (2_200, FaultKind::TargetLeaving)],
    },
    Scenario { name: "drain", faults: &[(2_060, FaultKind::VmLeaving)] },
    Scenario { name: "vm-killed", faults: &[(2_060, FaultKind::KillVm)] },
    Scenario { name: "vm-gone", faults: &[(2_060, FaultKind::VmGone)] },
    Scenario { name: "race", faults: &[(2_000, FaultKind::RaceEdits)] },
    Scenario { name: "table-losing", faults: &[(1_990, FaultKind::TableLosing)] },
    Scenario { name: "table-slow", faults: &[(1_990, FaultKind::TableSlow)] },
    Scenario { name: "table-down", faults: &[(1_990, FaultKind::TableDown)] },
    Scenario {
        name: "race-dropped",
        faults: &[(1_990, FaultKind::TableDropsWrites), (2_000, FaultKind::RaceEdits)],
    },
    Scenario {
        name: "edit-again",
        faults: &[(1_990, FaultKind::TableDown), (6_000, FaultKind::RaceEdits)],
    },
    Scenario { name: "early-edit", faults: &[(0, FaultKind::RaceEdits)] },
    Scenario {
        name: "never-met",
        faults: &[(0, FaultKind::CutDataCentre), (1_000, FaultKind::VmGone)],
    },
    Scenario {
        name: "killed-in-drain",
        faults: &[(2_060, FaultKind::VmLeaving), (2_065, FaultKind::KillVm)],
    },
    Scenario { name: "removed", faults: &[(2_060, FaultKind::VmRemoved)] },
    Scenario { name: "frozen", faults: &[(2_060, FaultKind::FreezeVm)] },
];

/// When the scenario's own calls begin, in milliseconds, after the VMs have connected.
const CALLS_FROM: u64 = 2_000;
/// When every cell ends. This is long after every timeout, so that anything still held is a leak.
pub const CELL_END: Moment = Moment::from_millis(90_000);

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub faults: &'static [(u64, FaultKind)],
}

impl Scenario {
    /// Builds the cell, ready to run.
    pub fn build(&self, switches: SafeguardSwitches) -> Cell {
        let mut cell = Cell::new(switches);
        for (at, fault) in self.faults {
            cell.schedule(Moment::from_millis(*at), Delivery::Fault(*fault, true));
        }
        for number in 0..12 {
            let at = Moment::from_millis(CALLS_FROM + number * 25);
            let tier = if number % 3 == 0 { "routine" } else { "urgent" };
            cell.call(CallPlan { tier, ..probe(at, number as usize % 3) });
        }
        for (number, key) in ["order-1", "order-2", "order-3"].into_iter().enumerate() {
            let at = Moment::from_millis(CALLS_FROM + 10 + number as u64 * 40);
            cell.call(CallPlan {
                service: "records",
                key: Some(key),
                deadline: Duration::from_secs(4),
                repeats: 4,
                ..probe(at, number)
            });
        }
        for number in 0..3 {
            let at = Moment::from_millis(CALLS_FROM + 5 + number * 20);
            let deadline = Duration::from_millis(900);
            cell.call(CallPlan { deadline, ..probe(at, number as usize) });
        }
        let at = Moment::from_millis(CALLS_FROM + 20);
        cell.call(CallPlan { service: "records", empty: true, ..probe(at, 1) });
        // Some callers leave while their requests wait, some while a connection is opened, and some
        // while their requests run.
        for (number, after) in [1, 2, 3, 4, 5, 60, 130].into_iter().enumerate() {
            let at = Moment::from_millis(CALLS_FROM + 15 + number as u64 * 13);
            let gone_after = Some(Duration::from_millis(after));
            cell.call(CallPlan { gone_after, ..probe(at, number) });
        }
        cell.apply(Moment::from_millis(CALLS_FROM + 60), 0, 10);
        cell
    }
}
