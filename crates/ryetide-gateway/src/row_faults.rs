//! Logs each row that cannot be decoded once per version.
//!
//! Other writers may leave anything in a table. An undecodable row is found again whenever the
//! whole table is read, and its writer may write many of them; the log must neither repeat entries
//! nor grow without bound.

use std::{collections::HashMap, fmt};

use ryetide_core::era_version::EraVersion;

use crate::store_table::{FleetTable, TableRow};

/// The number of rows whose last fault is remembered, at some 100 bytes each. Beyond this, faults
/// are logged anew; there are never as many targets as this.
const ROWS_LIMIT: usize = 1_024;
/// The longest part of a key that is logged, since other writers choose its length.
const KEY_LENGTH: usize = 64;

/// The faults of one table's rows that were logged.
#[derive(Debug, Default)]
pub struct RowFaults {
    /// The version of each row whose fault was logged.
    logged: HashMap<String, u64>,
}

impl RowFaults {
    /// Logs that a row cannot be decoded, unless this was logged for the same version of the row.
    /// Returns whether it was logged.
    pub fn log_once(
        &mut self,
        table: FleetTable,
        row: &TableRow,
        reason: &dyn fmt::Display,
    ) -> bool {
        if self.logged.get(&row.key) == Some(&row.version) {
            return false;
        }
        if self.logged.len() >= ROWS_LIMIT {
            self.logged.clear();
        }
        self.logged.insert(row.key.clone(), row.version);
        let version = EraVersion::from_packed(row.version);
        let key: String = row.key.chars().take(KEY_LENGTH).collect();
        tracing::warn!(event = "row-unreadable", %table, key, %version, %reason);
        true
    }
}
