//! The rows in which operators are told what became of their orders to bring new versions in.
//!
//! Whoever writes one does so under the version that it has read. Of two VMs that decide differently one yields: it finds
//! the row written after the order, and takes what it says. A row that is older than the order speaks of an earlier one.

use std::{rc::Rc, time::Duration};

use ryetide::error::StepError;
use ryetide_core::rollout_order::{
    OrderNumber, RolloutDuty, RolloutOrder, RolloutReport, RolloutStatus, RolloutTask,
};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    ports::{FeedLine, FleetUpdate},
    store_feed::FleetStore,
    store_table::{FleetTable, StoreTable, TableFault, TableRow},
    unix_time,
};

/// A call that the store answers at once may take this long.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause before a duty is tried again that could not be done, or of whose end the scheduler has not taken note.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Tries at a row that others write at the same time.
const CONFLICT_TRIES: u32 = 4;

/// What VMs know of an order that must outlast them all: when it was first seen, and so by when it must be decided, and
/// whether the version was found good.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct OrderNote {
    number: OrderNumber,
    /// In Unix milliseconds.
    began_ms: u64,
    #[serde(default)]
    passed: bool,
}

impl OrderNote {
    fn age(&self) -> Duration {
        Duration::from_millis(unix_time::millis().saturating_sub(self.began_ms))
    }
}

/// Does what must be done at the rows.
pub struct RolloutRows {
    store: Rc<dyn FleetStore>,
    line: FeedLine,
}

/// Why a duty could not be done.
#[derive(Debug, thiserror::Error)]
enum DutyFault {
    #[error("{0}")]
    Store(#[from] TableFault),
    #[error("{0}")]
    Row(#[from] StepError),
    #[error("others write the row again and again")]
    Contended,
}

impl RolloutRows {
    /// Creates what does the duties that `line` tells.
    pub fn new(store: Rc<dyn FleetStore>, line: FeedLine) -> Self {
        Self { store, line }
    }

    /// Does duties until the line closes.
    pub async fn run(mut self) {
        while self.line.duties.changed().await.is_ok() {
            let mut words = self.store.open(FleetTable::RolloutWords);
            let mut notes = self.store.open(FleetTable::RolloutNotes);
            loop {
                let duties = self.line.duties.borrow_and_update().clone();
                if duties.is_empty() {
                    break;
                }
                for duty in &duties {
                    self.perform(&mut *words, &mut *notes, duty).await;
                }
                // A change of the duties ends the pause; the gateway may have ended too.
                let _ = time::timeout(RETRY_PAUSE, self.line.duties.changed()).await;
                if self.line.updates.is_closed() {
                    return;
                }
            }
        }
    }

    async fn perform(
        &self,
        words: &mut dyn StoreTable,
        notes: &mut dyn StoreTable,
        duty: &RolloutDuty,
    ) {
        let done = match duty.task {
            RolloutTask::Open => self.open(words, notes, &duty.order).await,
            RolloutTask::Remember => self.remember(notes, &duty.order).await,
            RolloutTask::End(word) => self.say(words, &duty.order, word).await,
        };
        let (service, number) = (&duty.order.service, duty.order.number);
        match done {
            Ok(report) => {
                tracing::info!(event = "rollout-row", %service, %number, word = %report.status);
                // The gateway may be ending.
                let _ = self.line.updates.send(FleetUpdate::Rollout(report)).await;
            }
            Err(fault) => {
                words.hang_up();
                notes.hang_up();
                let task = duty.task;
                tracing::warn!(event = "rollout-row-failed", %service, %number, ?task, reason = %fault);
            }
        }
    }

    /// Finds out what became of an order, and says that it runs where nothing was said yet.
    async fn open(
        &self,
        words: &mut dyn StoreTable,
        notes: &mut dyn StoreTable,
        order: &RolloutOrder,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, order, false).await?;
        let report = self.say(words, order, RolloutStatus::Running).await?;
        Ok(RolloutReport { age: Some(note.age()), passed: note.passed, ..report })
    }

    /// Writes down that the version was found good.
    async fn remember(
        &self,
        notes: &mut dyn StoreTable,
        order: &RolloutOrder,
    ) -> Result<RolloutReport, DutyFault> {
        let note = self.note(notes, order, true).await?;
        let report = report_of(order, RolloutStatus::Running);
        Ok(RolloutReport { age: Some(note.age()), passed: true, ..report })
    }

    /// Returns what is written down of an order. Whoever sees it first writes that down, and whoever finds the version
    /// good.
    async fn note(
        &self,
        notes: &mut dyn StoreTable,
        order: &RolloutOrder,
        passed: bool,
    ) -> Result<OrderNote, DutyFault> {
        let key = order.service.as_str();
        for _ in 0..CONFLICT_TRIES {
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
                .map_err(|error| StepError::new("encode note of an order", error))?;
            match notes.write(key, version_of(&row), &value, CALL_LIMIT).await {
                Ok(()) => return Ok(note),
                Err(TableFault::Conflict(_)) => {}
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(DutyFault::Contended)
    }

    /// Says `word` of an order, unless something was said that holds: its end, or that it runs.
    async fn say(
        &self,
        words: &mut dyn StoreTable,
        order: &RolloutOrder,
        word: RolloutStatus,
    ) -> Result<RolloutReport, DutyFault> {
        let report = |word| report_of(order, word);
        let key = self.store.word_key(&order.service);
        let value = self.store.write_word(order, word)?;
        for _ in 0..CONFLICT_TRIES {
            let row = find(words, &key).await?;
            let said = row.as_ref().and_then(|row| self.word_of(row, order));
            if let Some(said) = said.filter(|said| *said != RolloutStatus::Running || *said == word)
            {
                return Ok(report(said));
            }
            match words.write(&key, version_of(&row), &value, CALL_LIMIT).await {
                Ok(()) => return Ok(report(word)),
                Err(TableFault::Conflict(_)) => {}
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(DutyFault::Contended)
    }

    /// What a row says of an order; nothing where it was written before the order, or cannot be read.
    fn word_of(&self, row: &TableRow, order: &RolloutOrder) -> Option<RolloutStatus> {
        if row.version <= order.number.0 {
            return None;
        }
        let read = row.value.bytes().map(|value| self.store.read_word(value))?;
        read.inspect_err(|error| {
            tracing::warn!(event = "rollout-row-unreadable", key = row.key, reason = %error);
        })
        .ok()
    }
}

fn report_of(order: &RolloutOrder, word: RolloutStatus) -> RolloutReport {
    let (service, number) = (order.service.clone(), order.number);
    RolloutReport { service, number, status: word, age: None, passed: false }
}

async fn find(table: &mut dyn StoreTable, key: &str) -> Result<Option<TableRow>, TableFault> {
    let rows = table.read_all(CALL_LIMIT).await?;
    Ok(rows.rows.into_iter().find(|row| row.key == key))
}

fn version_of(row: &Option<TableRow>) -> u64 {
    row.as_ref().map_or(0, |row| row.version)
}

/// A note that cannot be read is written over.
fn read_note(row: &TableRow) -> Option<OrderNote> {
    let read = serde_json::from_slice(row.value.bytes()?);
    read.inspect_err(|error| {
        tracing::warn!(event = "rollout-note-unreadable", key = row.key, reason = %error);
    })
    .ok()
}
