//! Finding the ends and ids of events in a stream that is passed on.
//!
//! A target may break off in the middle of an event. A stream that another target goes on with must
//! hold whole events only, each once; so only whole events are passed on, and the id of the last one
//! says where to go on.

use bytes::{Buf, Bytes, BytesMut};

/// The most bytes of one event; a longer one is no event of ours.
const EVENT_LIMIT: usize = 1 << 20;
/// What an event's id line begins with.
const ID_FIELD: &[u8] = b"id:";

/// Cuts a stream into whole events.
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

/// An event is longer than any that a target sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

impl EventScanner {
    /// Takes bytes of the stream, and returns the whole events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] when an event does not end.
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

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the stream stopped in the middle of an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the bytes of an event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// The end of the last whole event: an event ends with an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    std::str::from_utf8(value).ok().map(|text| text.trim().to_owned())
}
