//! Decides who gets the memory that a VM has for the bodies of its callers and their answers.
//!
//! Callers may send bodies of the permitted size, but not as many at once as they like: together they
//! must fit the machine. A body whose length is announced takes its room before any of it is read, any
//! other as it grows. When room is short, the bodies that have been arriving for the longest time and
//! hold the most give way, since callers that stop short of the end hold theirs for as long as they are
//! let, and cannot be told from slow ones. Small requests have a part of the room to themselves, so
//! large ones cannot shut them out.

use std::{collections::BTreeMap, time::Duration};

use crate::units::{ByteSize, Moment};

/// The share of a machine's memory for bodies and answers. The rest is for connections, the process
/// itself and what its allocator cannot use.
const MEMORY_SHARE: f64 = 0.3;
/// The largest share that they get where a single permitted body needs more.
const MAX_MEMORY_SHARE: f64 = 0.6;
/// The share of the room that only small bodies may use.
const SMALL_SHARE: f64 = 0.25;
/// The largest body that counts as small.
const SMALL_BODY: ByteSize = ByteSize(64 << 10);
/// How long a body may have been arriving before it has to give way.
const GRACE: Duration = Duration::from_secs(1);

/// Identifies a body that is arriving.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ArrivalId(u64);

/// Whether a body gets room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoomDecision {
    /// The room is taken.
    Granted,
    /// There will be room once bodies have given way: these, and those named before.
    Wait(Vec<ArrivalId>),
    /// There is no room, and nobody has to give way.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct ArrivingBody {
    since: Moment,
    held: u64,
    gives_way: bool,
}

impl ArrivingBody {
    /// How much room it has taken for how long.
    fn occupancy(&self, now: Moment) -> u128 {
        u128::from(self.held) * now.since(self.since).as_micros()
    }
}

/// The memory for bodies and answers of one VM.
///
/// # Example
///
/// ```
/// use ryetide_core::{
///     memory_room::{MemoryRoom, RoomDecision},
///     units::{ByteSize, Moment},
/// };
///
/// let mut room = MemoryRoom::new(ByteSize(100 << 20), ByteSize(4 << 20));
/// let now = Moment::from_millis(1);
/// let body = room.begin(now);
/// assert_eq!(room.reserve(now, body, ByteSize(4 << 20)), RoomDecision::Granted);
/// room.end(body);
/// room.release(ByteSize(4 << 20));
/// assert_eq!(room.held(), ByteSize(0));
/// ```
#[derive(Clone, Debug)]
pub struct MemoryRoom {
    limit: u64,
    /// The part of the limit that large bodies may use.
    large_limit: u64,
    held: u64,
    arriving: BTreeMap<ArrivalId, ArrivingBody>,
    next: u64,
}

impl MemoryRoom {
    /// Creates the room of a machine with this memory; `largest` is the largest permitted body.
    pub fn new(memory: ByteSize, largest: ByteSize) -> Self {
        let mut room =
            Self { limit: 0, large_limit: 0, held: 0, arriving: BTreeMap::new(), next: 0 };
        room.resize(memory, largest);
        room
    }

    /// Sets the memory and the largest permitted body. One body of that size always has room, unless
    /// the machine is far too small for it.
    pub fn resize(&mut self, memory: ByteSize, largest: ByteSize) {
        let share = |share: f64| (memory.0 as f64 * share) as u64;
        let for_one = (largest.0 as f64 / (1.0 - SMALL_SHARE)) as u64 + SMALL_BODY.0;
        self.limit = share(MEMORY_SHARE).max(for_one.min(share(MAX_MEMORY_SHARE)));
        self.large_limit = (self.limit as f64 * (1.0 - SMALL_SHARE)) as u64;
    }

    /// Returns how much is held.
    pub fn held(&self) -> ByteSize {
        ByteSize(self.held)
    }

    /// Returns how much may be held.
    pub fn limit(&self) -> ByteSize {
        ByteSize(self.limit)
    }

    /// Records that a body begins to arrive.
    pub fn begin(&mut self, now: Moment) -> ArrivalId {
        let id = ArrivalId(self.next);
        self.next += 1;
        self.arriving.insert(id, ArrivingBody { since: now, held: 0, gives_way: false });
        id
    }

    /// Records that a body has arrived, or arrives no more. What it holds is released apart.
    pub fn end(&mut self, id: ArrivalId) {
        self.arriving.remove(&id);
    }

    /// Takes `size` more for a body, if there is room or others can give way.
    pub fn reserve(&mut self, now: Moment, id: ArrivalId, size: ByteSize) -> RoomDecision {
        let Some(body) = self.arriving.get(&id).copied() else { return RoomDecision::Refused };
        let held_then = body.held + size.0;
        if self.take(ByteSize(held_then), size) {
            self.arriving.entry(id).and_modify(|body| body.held = held_then);
            return RoomDecision::Granted;
        }
        let limit = self.limit_for(ByteSize(held_then));
        let own = ArrivingBody { held: held_then, ..body }.occupancy(now);
        let giving: u64 = self.arriving.values().filter(|it| it.gives_way).map(|it| it.held).sum();
        let mut short = (self.held + size.0).saturating_sub(limit).saturating_sub(giving);
        let mut candidates: Vec<(ArrivalId, ArrivingBody)> =
            self.arriving.iter().map(|(id, body)| (*id, *body)).collect();
        candidates.retain(|(other, body)| {
            *other != id
                && !body.gives_way
                && now.since(body.since) >= GRACE
                && body.occupancy(now) > own
        });
        candidates.sort_by_key(|(_, body)| std::cmp::Reverse(body.occupancy(now)));
        let mut chosen = Vec::new();
        for (other, body) in candidates {
            if short == 0 {
                break;
            }
            short = short.saturating_sub(body.held);
            chosen.push(other);
        }
        if short > 0 {
            return RoomDecision::Refused;
        }
        for other in &chosen {
            self.arriving.entry(*other).and_modify(|body| body.gives_way = true);
        }
        RoomDecision::Wait(chosen)
    }

    /// Takes `size` for something that grows to `whole` and is no arriving body; returns whether there
    /// was room.
    pub fn take(&mut self, whole: ByteSize, size: ByteSize) -> bool {
        let fits = self.held + size.0 <= self.limit_for(whole);
        self.held += if fits { size.0 } else { 0 };
        fits
    }

    /// Gives `size` back.
    pub fn release(&mut self, size: ByteSize) {
        self.held = self.held.saturating_sub(size.0);
    }

    fn limit_for(&self, whole: ByteSize) -> u64 {
        if whole <= SMALL_BODY { self.limit } else { self.large_limit }
    }
}
