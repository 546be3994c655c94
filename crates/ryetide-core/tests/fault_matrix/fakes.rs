//! The fakes of a cell: targets and the table service, with the records that the checks need.

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
/// The number of pieces of an answer.
pub const PIECES: usize = 10;
/// The length of a piece, in bytes.
pub const PIECE_BYTES: usize = 8;

#[derive(Debug, Default)]
pub struct FakeTarget {
    pub dead: bool,
    pub leaving: bool,
    /// The time ranges in which the target was leaving.
    pub leavings: Vec<(Moment, Moment)>,
    pub busy: bool,
    /// Whether the target knows no request that it is asked to resume.
    pub forgetful: bool,
    /// Whether the target ends incomplete answers as if they were complete.
    pub truncating: bool,
    /// The factor by which the time between pieces is multiplied.
    pub slowdown: u32,
    pub jobs: BTreeMap<RequestId, EngineJob>,
    /// The received dispatches in order, with their bodies.
    pub dispatches: Vec<(Moment, RequestId, Bytes)>,
}

#[derive(Clone, Debug)]
pub struct EngineJob {
    pub started: Moment,
    pub content: Bytes,
    pub cancelled: bool,
}

#[derive(Debug, Default)]
pub struct FakeTable {
    pub rows: BTreeMap<String, TableRow>,
    /// Whether all commands are refused.
    pub down: bool,
    /// Whether commands are executed only after their timeout.
    pub slow: bool,
    /// Whether the answers to writes are lost.
    pub losing: bool,
    /// Whether writes are lost.
    pub dropping: bool,
    /// Every configuration row that was written.
    pub history: Vec<String>,
}

impl FakeTable {
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

    /// Restores the initial services text, as from a backup; the row's version still increases.
    pub fn restore(&mut self) {
        let version = self.rows.get(CONFIGURATION_KEY).map_or(0, |row| row.version) + 1;
        let row = TableRow { version, value: initial_row() };
        self.rows.insert(CONFIGURATION_KEY.to_owned(), row);
    }
}

/// Returns the configuration row with the initial services text.
pub fn initial_row() -> String {
    serde_json::json!({"revision": 1, "operation": 1, "text": TEXT}).to_string()
}

/// Returns the request body of a call, which is the same for all its tries.
pub fn request_body(call: usize, empty: bool) -> Bytes {
    Bytes::from(if empty { format!("{EMPTY_ANSWER}{call}") } else { format!("call {call}") })
}

/// The prefix of the request bodies whose answer is empty.
const EMPTY_ANSWER: &str = "empty ";

/// Returns the correct answer to a request body. Each byte depends on the body and on its offset.
pub fn expected_answer(body: &Bytes) -> Bytes {
    if body.starts_with(EMPTY_ANSWER.as_bytes()) {
        return Bytes::new();
    }
    let seed: usize = body.iter().map(|byte| *byte as usize).sum::<usize>() + body.len();
    (0..PIECES * PIECE_BYTES).map(|offset| b'a' + ((seed * 31 + offset * 7) % 26) as u8).collect()
}
