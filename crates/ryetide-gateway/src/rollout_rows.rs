//! Reads and writes the store rows that report the status of rollout orders to operators.
//!
//! Each write is conditional on the row version that was read. If two VMs decide differently, the
//! write of the second fails; it reads the row again and adopts the result in it. A row that is
//! older than the order belongs to an earlier order.

use std::{rc::Rc, time::Duration};

use ryetide::error::StepError;
use ryetide_core::rollout_order::{
    OrderNumber, RolloutDuty, RolloutOrder, RolloutReport, RolloutStatus, RolloutTask,
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
/// its deadline follows, and whether the version passed its trial.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct OrderNote {
    number: OrderNumber,
    /// When a VM first saw the order, in Unix milliseconds.
    began_ms: u64,
    #[serde(default)]
    passed: bool,
}

impl OrderNote {
    fn age(&self) -> Duration {
        Duration::from_millis(unix_time::millis().saturating_sub(self.began_ms))
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
            RolloutTask::Open => self.open(statuses, notes, &duty.order).await,
            RolloutTask::Remember => self.store_pass(notes, &duty.order).await,
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
        order: &RolloutOrder,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, order, false).await?;
        let report = self.write_status(statuses, order, RolloutStatus::Running).await?;
        Ok(RolloutReport { age: Some(note.age()), passed: note.passed, ..report })
    }

    /// Stores that the version passed its trial.
    async fn store_pass(
        &self,
        notes: &mut dyn StoreTable,
        order: &RolloutOrder,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, order, true).await?;
        let report = report_of(order, RolloutStatus::Running);
        Ok(RolloutReport { age: Some(note.age()), passed: true, ..report })
    }

    /// Returns the stored note of an order. Writes one if there is none for this order, or if
    /// `passed` is set and the stored note does not say so yet.
    async fn note(
        &self,
        notes: &mut dyn StoreTable,
        order: &RolloutOrder,
        passed: bool,
    ) -> Result<OrderNote, DutyFault> {
        let key = order.service.as_str();
        for _ in 0..WRITE_ATTEMPTS {
            let row = find(notes, key).await?;
            let found: Option<OrderNote> = row.as_ref().and_then(read_note);
            let is_of_order = |note: &OrderNote| {
                note.number == order.number || order.number.is_copy_of(note.number)
            };
            let found = found.filter(is_of_order);
            if let Some(note) = found.filter(|note| note.passed || !passed) {
                return Ok(note);
            }
            let began_ms = found.map_or_else(unix_time::millis, |note| note.began_ms);
            let note = OrderNote { number: order.number, began_ms, passed };
            let value = serde_json::to_vec(&note)
                .map_err(|error| StepError::new("encode rollout note", error))?;
            match notes.write(key, version_of(&row), &value, CALL_LIMIT).await {
                Ok(()) => return Ok(note),
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
                Ok(()) => return Ok(report(status)),
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
    RolloutReport { service, number, status, age: None, passed: false }
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
