//! The bounded buffer between a target's answer and its caller. The bound keeps a slow reader from
//! holding unlimited memory or an engine's slot.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use ryetide_core::{
    event::{AnswerHead, FinalAnswer},
    units::ByteSize,
};
use tokio::time::Instant;

/// A reader that has read nothing for this long has stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The capacity for a reader that has not stalled, as a multiple of the buffer's limit. An engine
/// may be faster than a caller for a moment.
const ACTIVE_READER_FACTOR: u64 = 4;

/// One part of an answer, in the order of sending.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// The status and content type.
    Head(AnswerHead),
    /// A chunk of the body.
    Piece(Bytes),
    /// The outcome. No parts follow.
    Final(FinalAnswer),
}

/// The unread part of an answer exceeds the buffer's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the caller reads too slowly")]
pub struct AnswerOverflow;

#[derive(Debug, Default)]
struct BufferState {
    parts: VecDeque<AnswerPart>,
    bytes: usize,
    overflowed: bool,
    /// When the reader last took a part.
    last_read: Option<Instant>,
    waker: Option<Waker>,
}

/// The buffer of one caller's answer. Clones share it within a thread.
#[derive(Clone, Debug)]
pub struct AnswerBuffer {
    state: Rc<RefCell<BufferState>>,
    limit: ByteSize,
}

impl AnswerBuffer {
    /// Creates an empty buffer that holds `limit` bytes for a reader that has stalled, and four
    /// times as many for one that has not.
    pub fn new(limit: ByteSize) -> Self {
        let state = BufferState { last_read: Some(Instant::now()), ..BufferState::default() };
        Self { state: Rc::new(RefCell::new(state)), limit }
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerOverflow`] once too much is unread. The reader then gets the same error.
    pub fn push(&self, part: AnswerPart) -> Result<(), AnswerOverflow> {
        let mut state = self.state.borrow_mut();
        if let AnswerPart::Piece(bytes) = &part {
            state.bytes += bytes.len();
            let unread = state.bytes as u64;
            let stalled = state.last_read.is_none_or(|at| at.elapsed() > STALL_TIMEOUT);
            let over = unread > self.limit.0 && stalled;
            state.overflowed |= over || unread > self.limit.0 * ACTIVE_READER_FACTOR;
        }
        if state.overflowed {
            state.parts.clear();
        } else {
            state.parts.push_back(part);
        }
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        if state.overflowed { Err(AnswerOverflow) } else { Ok(()) }
    }

    /// Polls for the next part. Returns [`AnswerOverflow`] when the answer was cut off.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<Result<AnswerPart, AnswerOverflow>> {
        let mut state = self.state.borrow_mut();
        if state.overflowed {
            return Poll::Ready(Err(AnswerOverflow));
        }
        let Some(part) = state.parts.pop_front() else {
            state.waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        state.last_read = Some(Instant::now());
        if let AnswerPart::Piece(bytes) = &part {
            state.bytes -= bytes.len();
        }
        Poll::Ready(Ok(part))
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerOverflow`] when the answer was cut off.
    pub async fn next(&self) -> Result<AnswerPart, AnswerOverflow> {
        poll_fn(|context| self.poll_next(context)).await
    }
}

/// The largest answer of an engine that is handed out in one piece. An engine says nothing of the length
/// of its answer, and one that sends without end would fill the daemon's memory.
pub const ENGINE_ANSWER_LIMIT: ByteSize = ByteSize(4 << 20);

/// An answer is larger than permitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer is larger than {0}")]
pub struct AnswerTooLarge(ByteSize);

/// The body of an answer that is handed out in one piece.
#[derive(Debug)]
pub struct WholeBody {
    bytes: Vec<u8>,
    limit: ByteSize,
}

impl WholeBody {
    /// Creates an empty body of at most `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        Self { bytes: Vec::new(), limit }
    }

    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerTooLarge`] when the body would be larger than permitted.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), AnswerTooLarge> {
        if (self.bytes.len() + piece.len()) as u64 > self.limit.0 {
            return Err(AnswerTooLarge(self.limit));
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}
