//! Bounded rings between the threads of a daemon.
//!
//! Each duty has a thread, and two threads are joined by a lock-free single-producer ring. A sender
//! that finds the ring full waits; a receiver never waits while it holds something to send, so two
//! full rings cannot block each other. Dropping the sender ends the receiving loop.
//!
//! # Example
//!
//! ```
//! # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! # runtime.block_on(async {
//! let (sender, mut receiver) = ryetide::ring::ring(2);
//! sender.send(1).await.unwrap();
//! drop(sender);
//! assert_eq!(receiver.recv().await, Some(1));
//! assert_eq!(receiver.recv().await, None);
//! # });
//! ```

use std::{
    cell::RefCell,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::sync;

/// The other end of a ring is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the other end of the ring is closed")]
pub struct RingClosed;

#[derive(Debug)]
struct RingShared {
    /// Rung when something was sent, and when the sender is dropped.
    bell: Arc<sync::Notify>,
    /// Rung when room was made, and when the receiver is dropped.
    space: sync::Notify,
    sender_gone: AtomicBool,
    receiver_gone: AtomicBool,
}

/// The sending end. It belongs to one thread, whose tasks share it by reference.
#[derive(Debug)]
pub struct RingSender<T> {
    producer: RefCell<rtrb::Producer<T>>,
    shared: Arc<RingShared>,
}

/// The receiving end.
#[derive(Debug)]
pub struct RingReceiver<T> {
    consumer: rtrb::Consumer<T>,
    shared: Arc<RingShared>,
}

/// Creates a ring with room for `capacity` values.
pub fn ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    ring_with_bell(capacity, Arc::new(sync::Notify::new()))
}

/// Creates a ring that rings `bell`, for a thread that receives from several rings.
pub fn ring_with_bell<T>(
    capacity: usize,
    bell: Arc<sync::Notify>,
) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let shared = Arc::new(RingShared {
        bell,
        space: sync::Notify::new(),
        sender_gone: AtomicBool::new(false),
        receiver_gone: AtomicBool::new(false),
    });
    let sender = RingSender { producer: RefCell::new(producer), shared: Arc::clone(&shared) };
    (sender, RingReceiver { consumer, shared })
}

impl<T> RingSender<T> {
    /// Sends `value`, waiting for room.
    ///
    /// # Errors
    ///
    /// Returns [`RingClosed`] when the receiver is gone.
    pub async fn send(&self, value: T) -> Result<(), RingClosed> {
        let mut value = value;
        loop {
            // Listening starts before the try, or room made in between would go unnoticed.
            let mut room = pin!(self.shared.space.notified());
            room.as_mut().enable();
            match self.try_send(value) {
                Ok(()) => return Ok(()),
                Err(returned) => value = returned,
            }
            if self.shared.receiver_gone.load(Ordering::Acquire) {
                return Err(RingClosed);
            }
            room.await;
        }
    }

    /// Sends `value` if there is room.
    ///
    /// # Errors
    ///
    /// Returns the value when the ring is full.
    pub fn try_send(&self, value: T) -> Result<(), T> {
        let pushed = self.producer.borrow_mut().push(value);
        pushed.map_err(|rtrb::PushError::Full(value)| value)?;
        self.shared.bell.notify_one();
        Ok(())
    }
}

impl<T> RingReceiver<T> {
    /// Takes the next value if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        let value = self.consumer.pop().ok()?;
        self.shared.space.notify_waiters();
        Some(value)
    }

    /// Takes the next value, or nothing once the sender is gone and the ring is empty.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(value) = self.try_recv() {
                return Some(value);
            }
            if self.is_closed() {
                return self.try_recv();
            }
            self.shared.bell.notified().await;
        }
    }

    /// Returns whether the sender is gone.
    pub fn is_closed(&self) -> bool {
        self.shared.sender_gone.load(Ordering::Acquire)
    }
}

impl<T> Drop for RingSender<T> {
    fn drop(&mut self) {
        self.shared.sender_gone.store(true, Ordering::Release);
        self.shared.bell.notify_one();
    }
}

impl<T> Drop for RingReceiver<T> {
    fn drop(&mut self) {
        self.shared.receiver_gone.store(true, Ordering::Release);
        self.shared.space.notify_waiters();
    }
}
