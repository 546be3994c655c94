//! The interface to a table of a platform's store: reading rows, following changes and writing a
//! row.

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
    /// The statuses of rollout orders as shown to operators, by service.
    RolloutWords,
    /// When each rollout order was first seen, by service; read by VMs only.
    RolloutNotes,
    /// What began the streams of entry VMs, by the names of these; read by VMs when they start.
    StreamOrigins,
}

/// What a row holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RowValue {
    /// These bytes.
    Present(Bytes),
    /// Nothing: the row was deleted.
    Dropped,
    /// A value that is not bytes, left by another writer; it cannot be used.
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

/// A row, or a change of one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Its version, packed with its era where the store has eras (
    /// [`ryetide_core::era_version`]).
    pub version: u64,
    /// What it holds.
    pub value: RowValue,
}

/// Rows, and the version of the table at which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableRows {
    /// The rows. Changes are in the order in which they were made, and a row that changed twice is
    /// listed twice.
    pub rows: Vec<TableRow>,
    /// The version to follow from, packed with its era.
    pub version: u64,
}

/// Why a call on a table failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TableFault {
    /// The changes since the given version are no longer available, or the store was restored from
    /// a copy since.
    #[error("the changes since the requested version are no longer available")]
    HistoryGone,
    /// The row does not have the version that the write expected. Holds the current row, if there
    /// is one.
    #[error("the row does not have the expected version")]
    Conflict(Option<TableRow>),
    /// The store refused the call, did not answer, or sent an answer that cannot be decoded. A
    /// write may have taken effect.
    #[error("{0}")]
    Failed(String),
}

/// A table of a store, on connections of its own. Dropping a call closes its connection.
pub trait StoreTable {
    /// Reads all rows, with a timeout of `limit` for each page.
    fn read_all(&mut self, limit: Duration) -> LocalFuture<'_, Result<TableRows, TableFault>>;

    /// Has the store wait up to `wait` for changes after `version`, and times out after `limit`.
    /// The result has no rows if nothing changed.
    fn follow(
        &mut self,
        version: u64,
        wait: Duration,
        limit: Duration,
    ) -> LocalFuture<'_, Result<TableRows, TableFault>>;

    /// Closes the connection of a table that is not queried for a while; the next call opens
    /// another.
    fn disconnect(&mut self);

    /// Writes a row if it has the version `expected`, with a timeout of `limit`; 0 means that the
    /// row must not exist. Returns its version after that.
    fn write<'a>(
        &'a mut self,
        key: &'a str,
        expected: u64,
        value: &'a [u8],
        limit: Duration,
    ) -> LocalFuture<'a, Result<u64, TableFault>>;
}
