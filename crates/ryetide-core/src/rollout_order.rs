//! Operators' orders to roll out a version of a service, and the status that is reported back to
//! them.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    era_version::EraVersion,
    ids::{ServiceName, VersionName},
    util::number_type,
    version_baseline::VersionBaseline,
};

number_type!(
    /// The number of an order; of two orders for a service, the later one has the higher number.
    OrderNumber(u64)
);

/// An order to move the traffic of a service to one of its versions.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: VersionName,
    /// The time within which the order must be completed or rolled back.
    pub duration: Duration,
    /// The number of the order.
    pub number: OrderNumber,
}

impl OrderNumber {
    fn version(self) -> EraVersion {
        EraVersion::from_packed(self.0)
    }

    /// Returns whether this is the number `known` in a later era. When the operators' table is
    /// restored from a backup, each row keeps its number and the era of the table increases.
    pub fn is_copy_of(self, known: Self) -> bool {
        let (found, known) = (self.version(), known.version());
        found.number == known.number && found.era > known.era
    }
}

impl RolloutOrder {
    /// Returns whether this is the order `known` in an operators' table restored from a backup:
    /// either as the backup held it, or written again afterwards.
    pub fn is_same_order(&self, known: &Self) -> bool {
        let is_later = self.number.version().era > known.number.version().era;
        let is_same = (&self.service, &self.to) == (&known.service, &known.to);
        is_later && is_same && self.duration == known.duration
    }
}

/// The limit on the traffic of a version whose trial has not ended yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRule {
    /// The greatest share of the service's requests.
    pub share: f64,
    /// The number of requests that are permitted beyond that share, over all VMs together.
    pub slack: f64,
    /// Whether a version comes into use by an order only. Otherwise a version that appears beside
    /// another is used at once, unless an order names it.
    pub by_order_only: bool,
}

impl Default for RolloutRule {
    fn default() -> Self {
        Self { share: 0.1, slack: 0.0, by_order_only: false }
    }
}

/// The status of an order in the operators' row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RolloutStatus {
    /// There is no result yet.
    Running,
    /// All traffic goes to the new version; the old targets may stop at once.
    Completed,
    /// All traffic goes to the old version.
    RolledBack,
}

impl fmt::Display for RolloutStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        })
    }
}

/// A task that must be done at the operators' row of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutDuty {
    /// The order.
    pub order: RolloutOrder,
    /// The task.
    pub task: RolloutTask,
    /// The versions that were in use before the order, if this VM knows them.
    pub baseline: Option<VersionBaseline>,
}

/// The kind of a task at the operators' row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutTask {
    /// Read the status of the order, and write that it is running if there is none yet.
    Open,
    /// Store which versions were in use before the order.
    RecordBaseline,
    /// Store that the version passed its trial, so that the trial need not be repeated if all VMs
    /// are lost.
    Remember,
    /// Write the result of the order, unless there is one already.
    End(RolloutStatus),
}

/// The content of the operators' row after a task, read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The order.
    pub number: OrderNumber,
    /// The status in the row.
    pub status: RolloutStatus,
    /// The time since any VM first saw the order, if that is stored.
    pub age: Option<Duration>,
    /// Whether the store holds that the version passed its trial.
    pub passed: bool,
    /// The versions that were in use before the order, if the store holds them.
    pub baseline: Option<VersionBaseline>,
}
