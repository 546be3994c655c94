//! What a platform's store must be able to do with a table: read it, tell its changes, write a row.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::local_future::LocalFuture;

/// The tables that a gateway needs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum FleetTable {
    /// The operators' routes.
    Routes,
    /// Targets, by their names.
    Targets,
    /// Entry VMs, by their names.
    Vms,
    /// What operators are told of their orders to bring new versions in, by service.
    RolloutWords,
    /// When each of these orders was first seen, by service; for the VMs only.
    RolloutNotes,
}

/// What a row holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RowValue {
    /// These bytes.
    Present(Bytes),
    /// Nothing: the row was dropped.
    Dropped,
    /// Something that is no bytes: another writer's, and nobody's to use.
    Unreadable,
}

impl RowValue {
    /// Returns the bytes, if that is what the row holds.
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Present(bytes) => Some(bytes),
            Self::Dropped | Self::Unreadable => None,
        }
    }
}

/// A row, as it is or as it changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Its version, joined with its era where the store has eras ([`ryetide_core::era_version`]).
    pub version: u64,
    /// What it holds.
    pub value: RowValue,
}

/// Rows, and the table's version as of which they are true.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableRows {
    /// The rows. Changes come in the order in which they were made, and a row that changed twice
    /// comes twice.
    pub rows: Vec<TableRow>,
    /// The version to follow from, joined with its era.
    pub version: u64,
}

/// Why a call on a table did not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TableFault {
    /// The changes since the given version are no longer to be had, or the store has come back from a copy since.
    #[error("the history is gone")]
    HistoryGone,
    /// The row has another version than the write expected; this is the row, if it is there.
    #[error("the row has another version")]
    Conflict(Option<TableRow>),
    /// The store turned the call away, could not be heard, or said what cannot be read. What was
    /// asked may have been done.
    #[error("{0}")]
    Failed(String),
}

/// A table of a store, on connections of its own. A call that is dropped ends its connection.
pub trait StoreTable {
    /// Reads all rows, each page within `limit`.
    fn read_all(&mut self, limit: Duration) -> LocalFuture<'_, Result<TableRows, TableFault>>;

    /// Waits up to `wait` for changes after `version`, and up to `limit` for the answer. No rows mean
    /// that there were none.
    fn follow(
        &mut self,
        version: u64,
        wait: Duration,
        limit: Duration,
    ) -> LocalFuture<'_, Result<TableRows, TableFault>>;

    /// Ends the connection of a table that is not asked for a while; the next call opens another.
    fn hang_up(&mut self);

    /// Writes a row within `limit` if it has the version `expected`; 0 means that it must not be
    /// there.
    fn write<'a>(
        &'a mut self,
        key: &'a str,
        expected: u64,
        value: &'a [u8],
        limit: Duration,
    ) -> LocalFuture<'a, Result<(), TableFault>>;
}
