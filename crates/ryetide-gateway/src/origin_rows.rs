//! Reads and writes the store rows with what began the streams of entry VMs.
//!
//! The rows of all VMs are read once, when this VM starts. Its own row holds all of its streams that
//! are to be stored, so that each write replaces the one before.

use std::{rc::Rc, time::Duration};

use ryetide_core::{ids::VmName, stream_origin::OriginRecord};
use serde::{Deserialize, Serialize};

use crate::{
    origin_lookup::MAX_ORIGIN_TTL,
    ports::{FeedChannels, FleetUpdate},
    retry_backoff::RetryBackoff,
    store_feed::FleetStore,
    store_table::{FleetTable, StoreTable, TableRow, TableRows},
    table_follower, unix_time,
};

/// The timeout of a call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// What a row holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct OriginRow {
    /// When it was written, in Unix milliseconds.
    written_ms: u64,
    records: Vec<OriginRecord>,
}

/// This VM's row, and what VMs have stored.
pub struct OriginRows {
    store: Rc<dyn FleetStore>,
    own: VmName,
    channels: FeedChannels,
}

impl OriginRows {
    /// Creates an instance for the VM `own`.
    pub fn new(store: Rc<dyn FleetStore>, own: VmName, channels: FeedChannels) -> Self {
        Self { store, own, channels }
    }

    /// Reads all rows, and writes this VM's own until the channel closes.
    pub async fn run(mut self) {
        let mut table = self.store.open(FleetTable::StreamOrigins);
        let rows = read_all(&mut *table).await;
        table.disconnect();
        let own = rows.rows.iter().find(|row| row.key == self.own.as_str());
        let mut version = own.map_or(0, |row| row.version);
        let records: Vec<OriginRecord> = rows.rows.iter().flat_map(decode).collect();
        if !records.is_empty() {
            // Sending fails only while the gateway is shutting down.
            let _ = self.channels.updates.send(FleetUpdate::Origins(records)).await;
        }
        while self.channels.origins.changed().await.is_ok() {
            let records = self.channels.origins.borrow_and_update().clone();
            let row = OriginRow { written_ms: unix_time::millis(), records };
            match postcard::to_allocvec(&row) {
                Ok(value) => {
                    let key = self.own.as_str();
                    version =
                        table_follower::write_own_row(&mut *table, key, version, &value).await;
                }
                Err(error) => {
                    tracing::error!(event = "origins-unstored", step = "encode", reason = %error);
                }
            }
        }
    }
}

async fn read_all(table: &mut dyn StoreTable) -> TableRows {
    let mut pause = RetryBackoff::default();
    loop {
        match table.read_all(CALL_LIMIT).await {
            Ok(rows) => return rows,
            Err(fault) => {
                tracing::debug!(event = "origins-unread", step = "read", reason = %fault);
                pause.wait().await;
            }
        }
    }
}

/// Returns the streams in a row that may still be taken up.
fn decode(row: &TableRow) -> Vec<OriginRecord> {
    let Some(bytes) = row.value.bytes() else { return Vec::new() };
    let OriginRow { written_ms, mut records } = match postcard::from_bytes(bytes) {
        Ok(row) => row,
        Err(error) => {
            tracing::info!(event = "row-unreadable", step = "read origins", key = row.key, reason = %error);
            return Vec::new();
        }
    };
    // A clock that was set back must not make a row look new for ever.
    let age = unix_time::millis().abs_diff(written_ms);
    if u128::from(age) > MAX_ORIGIN_TTL.as_millis() {
        records.clear();
    }
    records
}
