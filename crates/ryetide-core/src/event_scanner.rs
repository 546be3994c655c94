//! Splits a forwarded stream into complete server-sent events.
//!
//! A target's connection may break in the middle of an event. A stream that is resumed at another
//! target must contain each event once and completely. Therefore only complete events are
//! forwarded, and the id of the last one tells the next target where to resume.

use bytes::{Buf, Bytes, BytesMut};

use crate::event_tracker::EventTracker;

/// The largest event in bytes. A longer one is treated as an error.
const EVENT_LIMIT: usize = 1 << 20;

/// Splits a stream into complete events.
///
/// # Example
///
/// ```
/// use ryetide_core::event_scanner::EventScanner;
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
    /// The bytes since the last complete event that were observed.
    observed: usize,
    tracker: EventTracker,
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
        let held = self.partial.len();
        self.partial.extend_from_slice(bytes);
        match self.tracker.scan(bytes) {
            Some(end) => Ok(self.partial.copy_to_bytes(held + end)),
            None if self.partial.len() > EVENT_LIMIT => Err(EventTooLong),
            None => Ok(Bytes::new()),
        }
    }

    /// Follows bytes of the stream that are forwarded as they are.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] when an incomplete event exceeds the size limit.
    pub fn observe(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        let end = self.tracker.scan(bytes);
        let before = if end.is_some() { 0 } else { self.observed };
        self.observed = before + bytes.len() - end.unwrap_or_default();
        if self.observed > EVENT_LIMIT { Err(EventTooLong) } else { Ok(()) }
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.tracker.last_id()
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.tracker.events()
    }

    /// Returns whether the bytes so far end in the middle of an event.
    pub fn has_partial(&self) -> bool {
        self.tracker.is_inside_event()
    }

    /// Drops the bytes of an incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.tracker.drop_partial();
    }
}
