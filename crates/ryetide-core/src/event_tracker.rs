//! Finds the ends and ids of server-sent events in a stream whose bytes arrive in pieces.
//!
//! A line ends with a line feed, a carriage return, or both; an event ends with an empty line. A
//! comment or a `retry` line outside an event stands for itself: a stream may end after it.

/// The content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The byte order mark that may begin a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// The name of the field with an event's id.
const ID_FIELD: &[u8] = b"id";
/// The name of the field with the caller's delay before it connects again.
const RETRY_FIELD: &[u8] = b"retry";
/// The most bytes of a line that are kept. No header can carry a longer id.
const LINE_LIMIT: usize = 8_192;

/// Returns whether a `Content-Type` is that of a stream of events.
pub fn is_event_stream(content_type: &[u8]) -> bool {
    let essence = content_type.split(|byte| *byte == b';').next().unwrap_or_default();
    essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Follows a stream of server-sent events.
///
/// # Example
///
/// ```
/// use ryetide_core::event_tracker::EventTracker;
///
/// let mut tracker = EventTracker::default();
/// assert_eq!(tracker.scan(b"id: 1\ndata: a\n\nid: 2\nda"), Some(15));
/// assert_eq!(tracker.last_id(), Some("1"));
/// assert!(tracker.is_inside_event());
/// assert_eq!(tracker.scan(b"ta: b\n\n"), Some(7));
/// assert!(!tracker.is_inside_event());
/// ```
#[derive(Debug, Default)]
pub struct EventTracker {
    /// The current line so far, up to the limit.
    line: Vec<u8>,
    /// The last byte was a carriage return, which a line feed may complete.
    after_carriage_return: bool,
    /// A line has ended before.
    is_begun: bool,
    /// The current event has a field.
    has_field: bool,
    /// The id of the current event.
    id: Option<String>,
    last_id: Option<String>,
    events: u64,
}

impl EventTracker {
    /// Adds bytes of the stream. Returns the offset in `bytes` after the last point at which the
    /// stream is outside an event, if there is one.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        let mut at = 0;
        if self.after_carriage_return && bytes.first() == Some(&b'\n') {
            self.after_carriage_return = false;
            at = 1;
            boundary = (!self.is_inside_event()).then_some(at);
        }
        while let Some(length) = bytes[at..].iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
            let end = at + length;
            self.extend_line(&bytes[at..end]);
            at = end + 1;
            let is_carriage_return = bytes[end] == b'\r';
            self.after_carriage_return = is_carriage_return && at == bytes.len();
            if is_carriage_return && bytes.get(at) == Some(&b'\n') {
                at += 1;
            }
            self.end_line();
            if !self.is_inside_event() {
                boundary = Some(at);
            }
        }
        if at < bytes.len() {
            self.after_carriage_return = false;
            self.extend_line(&bytes[at..]);
        }
        boundary
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the stream would be broken off if it ended now.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || !self.line.is_empty()
    }

    /// Forgets an incomplete event. What is scanned next is the beginning of another stream.
    pub fn drop_partial(&mut self) {
        self.line.clear();
        self.after_carriage_return = false;
        self.is_begun = false;
        self.has_field = false;
        self.id = None;
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        let room = LINE_LIMIT - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let mark: &[u8] = if self.is_begun { b"" } else { BYTE_ORDER_MARK };
        let line = line.strip_prefix(mark).unwrap_or(&line);
        self.is_begun = true;
        if line.is_empty() {
            self.end_event();
            return;
        }
        let (name, value) = split_field(line);
        if name == ID_FIELD {
            // An id that is not text cannot be named in a request.
            self.id = std::str::from_utf8(value).ok().map(|text| text.trim().to_owned());
        }
        // A comment has an empty name.
        self.has_field |= !name.is_empty() && name != RETRY_FIELD;
    }

    fn end_event(&mut self) {
        if std::mem::take(&mut self.has_field) {
            self.events += 1;
            self.last_id = self.id.take().or(self.last_id.take());
        }
    }
}

fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => (&line[..colon], &line[colon + 1..]),
        None => (line, b""),
    }
}
