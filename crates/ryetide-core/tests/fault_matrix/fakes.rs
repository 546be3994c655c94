//! The fakes of a cell: targets and the table service, with the records that the checks judge by.

use std::collections::BTreeMap;

use bytes::Bytes;
use ryetide_core::{
    configuration::CONFIGURATION_KEY,
    event::{TableAnswer, TableCommand, TableRow},
    ids::RequestId,
    units::Moment,
};

/// The services text of every cell.
pub const TEXT: &str = include_str!("services.yaml");
/// Pieces of an answer, and the length of each.
pub const PIECES: usize = 10;
pub const PIECE_BYTES: usize = 8;

#[derive(Debug, Default)]
pub struct TargetFake {
    pub dead: bool,
    pub leaving: bool,
    /// From when to when it was leaving.
    pub leavings: Vec<(Moment, Moment)>,
    pub busy: bool,
    pub forgetful: bool,
    pub truncating: bool,
    pub slowdown: u32,
    pub jobs: BTreeMap<RequestId, EngineJob>,
    /// Dispatches in order, with their bodies.
    pub dispatches: Vec<(Moment, RequestId, Bytes)>,
}

#[derive(Clone, Debug)]
pub struct EngineJob {
    pub started: Moment,
    pub content: Bytes,
    pub cancelled: bool,
}

#[derive(Debug, Default)]
pub struct TableFake {
    pub rows: BTreeMap<String, TableRow>,
    pub down: bool,
    pub slow: bool,
    pub losing: bool,
    pub dropping: bool,
    /// Every configuration row that was ever written.
    pub history: Vec<String>,
}

impl TableFake {
    /// Runs a command.
    pub fn run(&mut self, command: &TableCommand) -> TableAnswer {
        match command {
            TableCommand::Read { key, known } => match self.rows.get(key) {
                Some(row) if Some(row.version) == *known => TableAnswer::Unchanged,
                row => TableAnswer::Row(row.cloned()),
            },
            TableCommand::Write { key, expected, value } => {
                let current = self.rows.get(key).map_or(0, |row| row.version);
                if current != *expected {
                    return TableAnswer::Conflict(self.rows.get(key).cloned());
                }
                let row = TableRow { version: current + 1, value: value.clone() };
                if key == CONFIGURATION_KEY {
                    self.history.push(value.clone());
                }
                self.rows.insert(key.clone(), row);
                TableAnswer::Written(current + 1)
            }
        }
    }

    /// Puts the first services text back, as a restored backup would; the version still rises.
    pub fn restore(&mut self) {
        let version = self.rows.get(CONFIGURATION_KEY).map_or(0, |row| row.version) + 1;
        let row = TableRow { version, value: first_row() };
        self.rows.insert(CONFIGURATION_KEY.to_owned(), row);
    }
}

/// The row of the first services text.
pub fn first_row() -> String {
    serde_json::json!({"revision": 1, "operation": 1, "text": TEXT}).to_string()
}

/// The body of a call: all its tries send the same.
pub fn body_of(call: usize, empty: bool) -> Bytes {
    Bytes::from(if empty { format!("{EMPTY}{call}") } else { format!("call {call}") })
}

/// How the body of a call begins whose answer has no bytes.
const EMPTY: &str = "empty ";

/// The answer that a body must get: each byte depends on the body and its place.
pub fn content_of(body: &Bytes) -> Bytes {
    if body.starts_with(EMPTY.as_bytes()) {
        return Bytes::new();
    }
    let seed: usize = body.iter().map(|byte| *byte as usize).sum::<usize>() + body.len();
    (0..PIECES * PIECE_BYTES).map(|place| b'a' + ((seed * 31 + place * 7) % 26) as u8).collect()
}
