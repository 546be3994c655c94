//! Bounded single-producer, single-consumer rings between the threads of a daemon.
//!
//! Two threads are connected by a lock-free ring. A sender waits while the ring is full. A receiver
//! never waits while it has a value to send, so two full rings cannot block each other. Dropping the
//! sender ends the receiving loop.
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

/// The error for a ring whose other end was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the other end of the ring is closed")]
pub struct RingClosed;

#[derive(Debug)]
struct RingShared {
    /// Notified when a value was sent, and when the sender is dropped.
    not_empty: Arc<sync::Notify>,
    /// Notified when a value was received, and when the receiver is dropped.
    not_full: sync::Notify,
    sender_dropped: AtomicBool,
    receiver_dropped: AtomicBool,
}

/// The sending end of a ring. It belongs to one thread, whose tasks share it by reference.
#[derive(Debug)]
pub struct RingSender<T> {
    producer: RefCell<rtrb::Producer<T>>,
    shared: Arc<RingShared>,
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct RingReceiver<T> {
    consumer: rtrb::Consumer<T>,
    shared: Arc<RingShared>,
}

/// Creates a ring that holds up to `capacity` values.
pub fn ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    ring_with_notify(capacity, Arc::new(sync::Notify::new()))
}

/// Creates a ring that notifies `not_empty`, for a thread that receives from several rings.
pub fn ring_with_notify<T>(
    capacity: usize,
    not_empty: Arc<sync::Notify>,
) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let shared = Arc::new(RingShared {
        not_empty,
        not_full: sync::Notify::new(),
        sender_dropped: AtomicBool::new(false),
        receiver_dropped: AtomicBool::new(false),
    });
    let sender = RingSender { producer: RefCell::new(producer), shared: Arc::clone(&shared) };
    (sender, RingReceiver { consumer, shared })
}

impl<T> RingSender<T> {
    /// Sends `value`, and waits while the ring is full.
    ///
    /// # Errors
    ///
    /// Returns [`RingClosed`] when the receiver was dropped.
    pub async fn send(&self, value: T) -> Result<(), RingClosed> {
        let mut value = value;
        loop {
            // The wait is registered before the attempt, so that no notification in between is lost.
            let mut room = pin!(self.shared.not_full.notified());
            room.as_mut().enable();
            match self.try_send(value) {
                Ok(()) => return Ok(()),
                Err(returned) => value = returned,
            }
            if self.shared.receiver_dropped.load(Ordering::Acquire) {
                return Err(RingClosed);
            }
            room.await;
        }
    }

    /// Sends `value` if the ring is not full.
    ///
    /// # Errors
    ///
    /// Returns the value when the ring is full.
    pub fn try_send(&self, value: T) -> Result<(), T> {
        let pushed = self.producer.borrow_mut().push(value);
        pushed.map_err(|rtrb::PushError::Full(value)| value)?;
        self.shared.not_empty.notify_one();
        Ok(())
    }
}

impl<T> RingReceiver<T> {
    /// Receives the next value if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        let value = self.consumer.pop().ok()?;
        self.shared.not_full.notify_waiters();
        Some(value)
    }

    /// Receives the next value. Returns `None` once the sender was dropped and the ring is empty.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(value) = self.try_recv() {
                return Some(value);
            }
            if self.is_closed() {
                return self.try_recv();
            }
            self.shared.not_empty.notified().await;
        }
    }

    /// Returns whether the sender was dropped.
    pub fn is_closed(&self) -> bool {
        self.shared.sender_dropped.load(Ordering::Acquire)
    }
}

impl<T> Drop for RingSender<T> {
    fn drop(&mut self) {
        self.shared.sender_dropped.store(true, Ordering::Release);
        self.shared.not_empty.notify_one();
    }
}

impl<T> Drop for RingReceiver<T> {
    fn drop(&mut self) {
        self.shared.receiver_dropped.store(true, Ordering::Release);
        self.shared.not_full.notify_waiters();
    }
}
