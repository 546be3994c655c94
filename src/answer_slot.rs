//! Where a caller's answer waits until the caller reads it: bounded, so that one who reads slowly
//! holds neither memory without end nor an engine's slot.

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

/// A reader that has taken nothing for this long has stalled.
const STALL_LIMIT: Duration = Duration::from_secs(1);
/// How many times its limit a slot holds for a reader that reads on.
const HARD_FACTOR: u64 = 4;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// The head.
    Head(AnswerHead),
    /// A piece of the body.
    Piece(Bytes),
    /// The end. Nothing follows.
    Final(FinalAnswer),
}

/// More of an answer waits than the caller may leave unread.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the caller reads too slowly")]
pub struct SlotOverflow;

#[derive(Debug, Default)]
struct SlotState {
    parts: VecDeque<AnswerPart>,
    bytes: usize,
    overflowed: bool,
    /// When the reader last took something.
    taken: Option<Instant>,
    waker: Option<Waker>,
}

/// One caller's answer; clones share it within a thread.
#[derive(Clone, Debug)]
pub struct AnswerSlot {
    state: Rc<RefCell<SlotState>>,
    limit: ByteSize,
}

impl AnswerSlot {
    /// Creates an empty slot that holds `limit` bytes for a reader that has stalled, and four times
    /// that for one that reads on: an engine may be faster than a caller for a moment.
    pub fn new(limit: ByteSize) -> Self {
        let state = SlotState { taken: Some(Instant::now()), ..SlotState::default() };
        Self { state: Rc::new(RefCell::new(state)), limit }
    }

    /// Adds a part.
    ///
    /// # Errors
    ///
    /// Returns [`SlotOverflow`] once too much is unread; the reader then finds the answer cut off.
    pub fn push(&self, part: AnswerPart) -> Result<(), SlotOverflow> {
        let mut state = self.state.borrow_mut();
        if let AnswerPart::Piece(bytes) = &part {
            state.bytes += bytes.len();
            let unread = state.bytes as u64;
            let stalled = state.taken.is_none_or(|at| at.elapsed() > STALL_LIMIT);
            let over = unread > self.limit.0 && stalled;
            state.overflowed |= over || unread > self.limit.0 * HARD_FACTOR;
        }
        if state.overflowed {
            state.parts.clear();
        } else {
            state.parts.push_back(part);
        }
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        if state.overflowed { Err(SlotOverflow) } else { Ok(()) }
    }

    /// Takes the next part, or the fact that the answer was cut off.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<Result<AnswerPart, SlotOverflow>> {
        let mut state = self.state.borrow_mut();
        if state.overflowed {
            return Poll::Ready(Err(SlotOverflow));
        }
        let Some(part) = state.parts.pop_front() else {
            state.waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        state.taken = Some(Instant::now());
        if let AnswerPart::Piece(bytes) = &part {
            state.bytes -= bytes.len();
        }
        Poll::Ready(Ok(part))
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Returns [`SlotOverflow`] when the answer was cut off.
    pub async fn next(&self) -> Result<AnswerPart, SlotOverflow> {
        poll_fn(|context| self.poll_next(context)).await
    }
}
