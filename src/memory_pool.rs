//! The memory for bodies and answers that the tasks of a VM share.
//!
//! What is held is counted by [`MemoryShare`]s, which give their bytes back when they are dropped: kept
//! beside the bytes themselves, they are returned on every path, and however many clones there were.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use ryetide_core::{
    memory_room::{ArrivalId, MemoryRoom, RoomDecision},
    units::{ByteSize, Moment},
};
use tokio::sync::Notify;

/// There is no room for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the VM has no memory for the body")]
pub struct NoRoom;

#[derive(Debug)]
struct PoolState {
    room: MemoryRoom,
    /// Notified when a body has to give way.
    arriving: HashMap<ArrivalId, Arc<Notify>>,
    /// The bodies that had to give way.
    given_way: u64,
}

/// The memory for bodies and answers.
#[derive(Debug)]
pub struct MemoryPool {
    state: Mutex<PoolState>,
    released: Notify,
}

impl MemoryPool {
    /// Creates the pool of a machine with this memory; `largest` is the largest permitted body.
    pub fn new(memory: ByteSize, largest: ByteSize) -> Arc<Self> {
        let room = MemoryRoom::new(memory, largest);
        let state = Mutex::new(PoolState { room, arriving: HashMap::new(), given_way: 0 });
        Arc::new(Self { state, released: Notify::new() })
    }

    /// Sets the memory and the largest permitted body.
    pub fn resize(&self, memory: ByteSize, largest: ByteSize) {
        self.lock().room.resize(memory, largest);
    }

    /// Returns how much is held.
    pub fn held(&self) -> ByteSize {
        self.lock().room.held()
    }

    /// Returns how many bodies had to give way.
    pub fn given_way(&self) -> u64 {
        self.lock().given_way
    }

    /// Begins to receive a body.
    pub fn begin(self: &Arc<Self>, now: Moment) -> BodyArrival {
        let notice = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.room.begin(now);
        state.arriving.insert(id, Arc::clone(&notice));
        BodyArrival { pool: Arc::clone(self), id, notice }
    }

    /// Takes `size` for something that grows to `whole`, if there is room.
    pub fn take(self: &Arc<Self>, whole: ByteSize, size: ByteSize) -> Option<MemoryShare> {
        let has_room = self.lock().room.take(whole, size);
        has_room.then(|| MemoryShare { pool: Arc::clone(self), size })
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that is arriving, until this is dropped.
#[derive(Debug)]
pub struct BodyArrival {
    pool: Arc<MemoryPool>,
    id: ArrivalId,
    notice: Arc<Notify>,
}

impl BodyArrival {
    /// Takes `size` more for the body. Waits for bodies that give way to it.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] when there is no room, and none to wait for.
    pub async fn reserve(
        &self,
        clock: impl Fn() -> Moment,
        size: ByteSize,
    ) -> Result<MemoryShare, NoRoom> {
        loop {
            let released = self.pool.released.notified();
            let decision = {
                let mut state = self.pool.lock();
                let decision = state.room.reserve(clock(), self.id, size);
                if let RoomDecision::Wait(chosen) = &decision {
                    state.given_way += chosen.len() as u64;
                    let notices = chosen.iter().filter_map(|id| state.arriving.get(id));
                    notices.for_each(|notice| notice.notify_one());
                }
                decision
            };
            match decision {
                RoomDecision::Granted => {
                    return Ok(MemoryShare { pool: Arc::clone(&self.pool), size });
                }
                RoomDecision::Refused => return Err(NoRoom),
                RoomDecision::Wait(_) => released.await,
            }
        }
    }

    /// Waits until the body has to give way.
    pub async fn must_give_way(&self) {
        self.notice.notified().await;
    }
}

impl Drop for BodyArrival {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        state.room.end(self.id);
        state.arriving.remove(&self.id);
        drop(state);
        self.pool.released.notify_waiters();
    }
}

/// A share of the pool, given back when it is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    pool: Arc<MemoryPool>,
    size: ByteSize,
}

impl MemoryShare {
    /// Takes a part of the share, or all of it, for a share of its own.
    pub fn split(&mut self, size: ByteSize) -> Self {
        let taken = size.min(self.size);
        self.size.0 -= taken.0;
        Self { pool: Arc::clone(&self.pool), size: taken }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        if self.size > ByteSize(0) {
            self.pool.lock().room.release(self.size);
            self.pool.released.notify_waiters();
        }
    }
}
