//! Reads and writes the store rows that report the status of rollout orders to operators.
//!
//! Each write is conditional on the row version that was read. If two VMs decide differently, the
//! write of the second fails; it reads the row again and adopts the result in it. A row that is
//! older than the order belongs to an earlier order.

use std::{rc::Rc, time::Duration};

use ryetide::error::StepError;
use ryetide_core::{
    rollout_order::{
        OrderNumber, RolloutDuty, RolloutOrder, RolloutReport, RolloutStatus, RolloutTask,
    },
    version_baseline::VersionBaseline,
};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    ports::{FeedChannels, FleetUpdate},
    store_feed::FleetStore,
    store_table::{FleetTable, StoreTable, TableFault, TableRow},
    unix_time,
};

/// The timeout of a call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause before pending duties are performed again: those that failed, and those whose result
/// the scheduler has not processed yet.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The number of attempts to write a row that other VMs write at the same time.
const WRITE_ATTEMPTS: u32 = 4;

/// The state of an order that must survive the loss of all VMs: when it was first seen, from which
/// its deadline follows, whether the version passed its trial, and which versions were in use
/// before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct OrderNote {
    number: OrderNumber,
    /// When a VM first saw the order, in Unix milliseconds.
    began_ms: u64,
    #[serde(default)]
    passed: bool,
    #[serde(default)]
    baseline: Option<VersionBaseline>,
}

impl OrderNote {
    fn new(order: &RolloutOrder) -> Self {
        let (number, began_ms) = (order.number, unix_time::millis());
        Self { number, began_ms, passed: false, baseline: None }
    }

    fn is_of(&self, order: &RolloutOrder) -> bool {
        self.number == order.number || order.number.is_copy_of(self.number)
    }

    /// Adds what a VM knows.
    fn add(&mut self, passed: bool, baseline: Option<&VersionBaseline>) {
        self.passed |= passed;
        if let Some(baseline) = baseline {
            VersionBaseline::merge_into(&mut self.baseline, baseline);
        }
    }

    fn into_report(self, order: &RolloutOrder, status: RolloutStatus) -> RolloutReport {
        let age = Duration::from_millis(unix_time::millis().saturating_sub(self.began_ms));
        let Self { passed, baseline, .. } = self;
        RolloutReport { age: Some(age), passed, baseline, ..report_of(order, status) }
    }
}

/// Performs the duties of rollout orders at their rows in the store.
pub struct RolloutRows {
    store: Rc<dyn FleetStore>,
    channels: FeedChannels,
}

/// Why a duty could not be performed.
#[derive(Debug, thiserror::Error)]
enum DutyFault {
    #[error("{0}")]
    Store(#[from] TableFault),
    #[error("{0}")]
    Row(#[from] StepError),
    #[error("other VMs changed the row during every attempt to write it")]
    Contended,
}

impl RolloutRows {
    /// Creates an instance that performs the duties received over `channels`.
    pub fn new(store: Rc<dyn FleetStore>, channels: FeedChannels) -> Self {
        Self { store, channels }
    }

    /// Performs duties until the channel closes.
    pub async fn run(mut self) {
        while self.channels.duties.changed().await.is_ok() {
            let mut statuses = self.store.open(FleetTable::RolloutWords);
            let mut notes = self.store.open(FleetTable::RolloutNotes);
            loop {
                let duties = self.channels.duties.borrow_and_update().clone();
                if duties.is_empty() {
                    break;
                }
                for duty in &duties {
                    self.perform(&mut *statuses, &mut *notes, duty).await;
                }
                // A change of the duties ends the pause early; an error means that the gateway is
                // shutting down, which is checked below.
                let _ = time::timeout(RETRY_PAUSE, self.channels.duties.changed()).await;
                if self.channels.updates.is_closed() {
                    return;
                }
            }
        }
    }

    async fn perform(
        &self,
        statuses: &mut dyn StoreTable,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
    ) {
        let result = match duty.task {
            RolloutTask::Open => self.open(statuses, notes, duty).await,
            RolloutTask::RecordBaseline => self.store_note(notes, duty, false).await,
            RolloutTask::Remember => self.store_note(notes, duty, true).await,
            RolloutTask::End(RolloutStatus::Completed) => {
                self.complete(statuses, notes, duty).await
            }
            RolloutTask::End(status) => self.write_status(statuses, &duty.order, status).await,
        };
        let (service, number) = (&duty.order.service, duty.order.number);
        match result {
            Ok(report) => {
                tracing::info!(event = "rollout-row", %service, %number, word = %report.status);
                // Sending fails only while the gateway is shutting down.
                let _ = self.channels.updates.send(FleetUpdate::Rollout(report)).await;
            }
            Err(fault) => {
                statuses.disconnect();
                notes.disconnect();
                let task = duty.task;
                tracing::warn!(event = "rollout-row-failed", %service, %number, ?task, reason = %fault);
            }
        }
    }

    /// Reads the status of an order, and writes that it is running if there is none yet.
    async fn open(
        &self,
        statuses: &mut dyn StoreTable,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, duty, false).await?;
        let report = self.write_status(statuses, &duty.order, RolloutStatus::Running).await?;
        Ok(note.into_report(&duty.order, report.status))
    }

    /// Stores what this VM knows of the order and, if `passed` is set, that the version passed its
    /// trial.
    async fn store_note(
        &self,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
        passed: bool,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, duty, passed).await?;
        Ok(note.into_report(&duty.order, RolloutStatus::Running))
    }

    /// Writes that the order is completed.
    ///
    /// A version that was not tested, because no other one is known to have been in use, must not
    /// be completed if another VM has stored one since.
    async fn complete(
        &self,
        statuses: &mut dyn StoreTable,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
    ) -> Result<RolloutReport, DutyFault> {
        if duty.baseline.as_ref().is_some_and(VersionBaseline::is_empty) {
            let note = self.note(notes, duty, false).await?;
            if note.baseline.as_ref().is_some_and(|stored| !stored.is_empty()) {
                return Ok(note.into_report(&duty.order, RolloutStatus::Running));
            }
        }
        self.write_status(statuses, &duty.order, RolloutStatus::Completed).await
    }

    /// Returns the stored note of an order, after adding what this VM knows.
    async fn note(
        &self,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
        passed: bool,
    ) -> Result<OrderNote, DutyFault> {
        let key = duty.order.service.as_str();
        for _ in 0..WRITE_ATTEMPTS {
            let row = find(notes, key).await?;
            let found: Option<OrderNote> = row.as_ref().and_then(read_note);
            let found = found.filter(|note| note.is_of(&duty.order));
            let mut note = found.clone().unwrap_or_else(|| OrderNote::new(&duty.order));
            note.add(passed, duty.baseline.as_ref());
            if found.as_ref() == Some(&note) {
                return Ok(note);
            }
            note.number = duty.order.number;
            let value = serde_json::to_vec(&note)
                .map_err(|error| StepError::new("encode rollout note", error))?;
            match notes.write(key, version_of(&row), &value, CALL_LIMIT).await {
                Ok(_) => return Ok(note),
                Err(TableFault::Conflict(_)) => {}
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(DutyFault::Contended)
    }

    /// Writes the status of an order, unless the row already holds a result, or this same status.
    /// Returns the status that the row then holds.
    async fn write_status(
        &self,
        statuses: &mut dyn StoreTable,
        order: &RolloutOrder,
        status: RolloutStatus,
    ) -> Result<RolloutReport, DutyFault> {
        let report = |status| report_of(order, status);
        let key = self.store.status_key(&order.service);
        let value = self.store.encode_status(order, status)?;
        for _ in 0..WRITE_ATTEMPTS {
            let row = find(statuses, &key).await?;
            let stored = row.as_ref().and_then(|row| self.status_of(row, order));
            if let Some(stored) =
                stored.filter(|stored| *stored != RolloutStatus::Running || *stored == status)
            {
                return Ok(report(stored));
            }
            match statuses.write(&key, version_of(&row), &value, CALL_LIMIT).await {
                Ok(_) => return Ok(report(status)),
                Err(TableFault::Conflict(_)) => {}
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(DutyFault::Contended)
    }

    /// Returns the status of an order in its row, or `None` if the row was written before the order
    /// or cannot be decoded.
    fn status_of(&self, row: &TableRow, order: &RolloutOrder) -> Option<RolloutStatus> {
        if row.version <= order.number.0 {
            return None;
        }
        let read = row.value.bytes().map(|value| self.store.decode_status(value))?;
        read.inspect_err(|error| {
            tracing::warn!(event = "rollout-row-unreadable", key = row.key, reason = %error);
        })
        .ok()
    }
}

fn report_of(order: &RolloutOrder, status: RolloutStatus) -> RolloutReport {
    let (service, number) = (order.service.clone(), order.number);
    RolloutReport { service, number, status, age: None, passed: false, baseline: None }
}

async fn find(table: &mut dyn StoreTable, key: &str) -> Result<Option<TableRow>, TableFault> {
    let rows = table.read_all(CALL_LIMIT).await?;
    Ok(rows.rows.into_iter().find(|row| row.key == key))
}

fn version_of(row: &Option<TableRow>) -> u64 {
    row.as_ref().map_or(0, |row| row.version)
}

/// Decodes a note. One that cannot be decoded is logged and will be overwritten.
fn read_note(row: &TableRow) -> Option<OrderNote> {
    let read = serde_json::from_slice(row.value.bytes()?);
    read.inspect_err(|error| {
        tracing::warn!(event = "rollout-note-unreadable", key = row.key, reason = %error);
    })
    .ok()
}
