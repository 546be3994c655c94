//! Finds the ends and ids of server-sent events in a forwarded stream.
//!
//! A target's connection may break in the middle of an event. A stream that is resumed at another
//! target must contain each event once and completely. Therefore only complete events are
//! forwarded, and the id of the last one tells the next target where to resume.

use bytes::{Buf, Bytes, BytesMut};

/// The largest event in bytes. A longer one is treated as an error.
const EVENT_LIMIT: usize = 1 << 20;
/// The prefix of an event's id line.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream into complete events.
///
/// # Example
///
/// ```
/// use ryetide_gateway::event_scanner::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// let whole = scanner.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
/// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(scanner.last_id(), Some("1"));
/// assert!(scanner.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventScanner {
    partial: BytesMut,
    last_id: Option<String>,
}

/// The error of an event that exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

impl EventScanner {
    /// Adds bytes of the stream and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] when an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return if self.partial.len() > EVENT_LIMIT {
                Err(EventTooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.partial.copy_to_bytes(end);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the bytes so far end in the middle of an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the bytes of an incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the end of the last complete event. An event ends with an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let after_lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let after_crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    after_lf.max(after_crlf)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    std::str::from_utf8(value).ok().map(|text| text.trim().to_owned())
}
