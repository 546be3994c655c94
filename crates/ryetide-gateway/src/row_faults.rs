//! Rows that cannot be read, each told once.
//!
//! Other writers may leave anything in a table. Such a row is met again at each whole reading, and whoever wrote
//! it may write again and again; the log must neither repeat itself nor grow by it.

use std::{collections::HashMap, fmt};

use ryetide_core::era_version::EraVersion;

use crate::store_table::{FleetTable, TableRow};

/// Rows whose last fault is remembered, at some 100 bytes each. Beyond this, faults are told anew: there are
/// never as many targets as this.
const ROWS_LIMIT: usize = 1_024;
/// The most of a key that is logged; other writers choose its length.
const KEY_LENGTH: usize = 64;

/// The faults of one table's rows that were told.
#[derive(Debug, Default)]
pub struct RowFaults {
    /// The version of each row whose fault was told.
    told: HashMap<String, u64>,
}

impl RowFaults {
    /// Logs that a row cannot be read, unless that was told of this version of it. Returns whether it was logged.
    pub fn note(&mut self, table: FleetTable, row: &TableRow, reason: &dyn fmt::Display) -> bool {
        if self.told.get(&row.key) == Some(&row.version) {
            return false;
        }
        if self.told.len() >= ROWS_LIMIT {
            self.told.clear();
        }
        self.told.insert(row.key.clone(), row.version);
        let version = EraVersion::from_packed(row.version);
        let key: String = row.key.chars().take(KEY_LENGTH).collect();
        tracing::warn!(event = "row-unreadable", %table, key, %version, %reason);
        true
    }
}
