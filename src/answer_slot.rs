//! Where a caller's answer waits until the caller reads it: bounded, so that one who reads slowly
//! holds neither memory without end nor an engine's slot.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use ryetide_core::{
    event::{AnswerHead, FinalAnswer},
    units::ByteSize,
};

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
    waker: Option<Waker>,
}

/// One caller's answer; clones share it within a thread.
#[derive(Clone, Debug)]
pub struct AnswerSlot {
    state: Rc<RefCell<SlotState>>,
    limit: ByteSize,
}

impl AnswerSlot {
    /// Creates an empty slot that holds at most `limit` bytes unread.
    pub fn new(limit: ByteSize) -> Self {
        Self { state: Rc::default(), limit }
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
            state.overflowed |= state.bytes as u64 > self.limit.0;
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
