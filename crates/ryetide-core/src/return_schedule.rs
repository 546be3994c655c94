//! Books times at which refused callers should return, out of the free slots that are expected.
//!
//! A caller that returns into the burst in which it was refused is refused again, and then has no
//! retry left. A [`ReturnSchedule`] therefore divides the future into intervals, forecasts how many
//! requests this VM can start in each beyond the arrivals that it expects, and gives each refused
//! caller the first interval with room that is not booked yet. A request that can wait at this VM
//! until its interval is kept instead of refused.
//!
//! Callers return to any VM of the data centre. Each VM books only its own share of the free slots
//! and returns are spread evenly over the VMs, so a VM serves as many returned callers as it has
//! booked without recognising any of them.

use std::{cmp::Reverse, collections::BTreeMap, ops::AddAssign, time::Duration};

use crate::{arrival_forecast::ArrivalForecast, slot_turn::UrgencyClass, units::Moment};

/// The length of an interval. It is long enough that a VM with two free places a second has one in
/// each.
const INTERVAL: Duration = Duration::from_millis(500);
/// The number of intervals that are forecast: 10 s, the longest retry delay.
const HORIZON: u64 = 20;
/// How long after its interval a place is kept for its caller. It covers the way of the refusal and
/// of the new request, and the uneven division of the returning callers over the VMs.
const CLAIM_SPAN: Duration = Duration::from_millis(1_000);
/// How long the load counts as too high after a request could not be on time. Within this time,
/// several further requests arrive at a VM with five a second.
const OVERLOAD_SPAN: Duration = Duration::from_millis(1_000);
/// The weight of a new observation in the mean time for which requests of a class occupy a slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// The weight of a booked place in the share of places that are claimed: the last twenty count.
const CLAIM_WEIGHT: f64 = 0.05;
/// The share of the capacity that arrivals and returns may fill together. Random arrivals leave
/// some slots free for a moment and need others at the same moment.
const USABLE_SHARE: f64 = 0.9;

/// The number of an interval, counted from the clock's start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReturnInterval(u64);

impl ReturnInterval {
    /// Returns the interval that contains a moment.
    pub fn at(moment: Moment) -> Self {
        Self(moment.0 / INTERVAL.as_micros() as u64)
    }

    /// Returns the interval's first moment.
    pub fn start(self) -> Moment {
        Moment(self.0 * INTERVAL.as_micros() as u64)
    }

    /// Returns the first moment after the interval.
    pub fn end(self) -> Moment {
        self.start() + INTERVAL
    }

    /// Returns when the places of the interval are released.
    pub fn released_at(self) -> Moment {
        self.end() + CLAIM_SPAN
    }
}

/// A place that is expected to be free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnBooking {
    /// The interval.
    pub interval: ReturnInterval,
    /// The urgency of the request for which the place is booked, as if it were on time.
    pub class: UrgencyClass,
}

/// What this VM can serve.
#[derive(Clone, Copy, Debug)]
pub struct SlotCapacity {
    /// This VM's share of the slots of usable targets.
    pub slots: f64,
    /// This VM's share of the slots after the unreachable targets have returned.
    pub expected_slots: f64,
    /// The time for which the requests that wait here without a booking, and have missed their
    /// objective, will occupy slots.
    pub late: Duration,
}

/// Counts since the VM started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReturnCounts {
    /// Places booked for refused callers.
    pub booked: u64,
    /// Returned callers that got a place.
    pub placed: u64,
    /// Places that were released because no caller came.
    pub expired: u64,
    /// Requests that were kept waiting for an expected free slot instead of refused.
    pub kept: u64,
}

impl AddAssign for ReturnCounts {
    fn add_assign(&mut self, other: Self) {
        self.booked += other.booked;
        self.placed += other.placed;
        self.expired += other.expired;
        self.kept += other.kept;
    }
}

/// The share of the booked places that returned callers claim.
///
/// Many callers return earlier than told, or not at all, and room that is held for them would delay
/// others.
#[derive(Clone, Copy, Debug)]
struct ClaimShare(f64);

impl Default for ClaimShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl ClaimShare {
    fn record(&mut self, is_claimed: bool) {
        let observed = if is_claimed { 1.0 } else { 0.0 };
        self.0 += (observed - self.0) * CLAIM_WEIGHT;
    }

    fn share(self) -> f64 {
        self.0
    }
}

/// The bookings of one service at one VM.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     return_schedule::{ReturnBooking, ReturnSchedule, SlotCapacity},
///     slot_turn::UrgencyClass,
///     units::Moment,
/// };
///
/// let mut schedule = ReturnSchedule::default();
/// let (now, class) = (Moment::from_millis(1_000), UrgencyClass::LEAST_ON_TIME);
/// schedule.record_run(class, Duration::from_millis(300));
/// let capacity = SlotCapacity { slots: 1.0, expected_slots: 1.0, late: Duration::ZERO };
/// let interval = schedule.first_free(now, now, capacity, class, &[]).unwrap();
/// schedule.book(ReturnBooking { interval, class });
/// assert!(schedule.claim(interval.start(), class));
/// assert!(!schedule.claim(interval.start(), class));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    arrivals: ArrivalForecast,
    bookings: Vec<ReturnBooking>,
    counts: ReturnCounts,
    overloaded_until: Moment,
    /// The mean time for which requests of each class occupy a slot, in seconds.
    slot_seconds: BTreeMap<UrgencyClass, f64>,
    claims: ClaimShare,
}

impl ReturnSchedule {
    /// Records that a request could not be on time because of the load.
    pub fn record_overload(&mut self, now: Moment) {
        self.overloaded_until = now + OVERLOAD_SPAN;
    }

    /// Returns whether the load has recently left no room.
    pub fn is_overloaded(&self, now: Moment) -> bool {
        now < self.overloaded_until
    }

    /// Records the arrival of a new request, which is not a caller's return.
    pub fn record_arrival(&mut self, now: Moment, class: UrgencyClass) {
        self.arrivals.record(now, Duration::from_secs_f64(self.slot_seconds(class)));
    }

    /// Records for how long a request of `class` occupied a slot.
    pub fn record_run(&mut self, class: UrgencyClass, taken: Duration) {
        let seconds = taken.as_secs_f64();
        let mean = self.slot_seconds.entry(class).or_insert(seconds);
        *mean += (seconds - *mean) * SLOT_TIME_WEIGHT;
    }

    /// Returns for how long a request of `class` occupies a slot, in seconds. For a class without
    /// observations, this is the mean of the others.
    fn slot_seconds(&self, class: UrgencyClass) -> f64 {
        let mean =
            || self.slot_seconds.values().sum::<f64>() / self.slot_seconds.len().max(1) as f64;
        self.slot_seconds.get(&class).copied().unwrap_or_else(mean)
    }

    /// Returns the first interval that ends after `earliest` and has room for one more request of
    /// `class`, if there is one within the longest retry delay. `kept` are the bookings of the
    /// requests that wait at this VM.
    ///
    /// Bookings of less urgent requests do not count, so that no request is refused because a less
    /// urgent one came first.
    pub fn first_free(
        &self,
        now: Moment,
        earliest: Moment,
        capacity: SlotCapacity,
        class: UrgencyClass,
        kept: &[ReturnBooking],
    ) -> Option<ReturnInterval> {
        let current = ReturnInterval::at(now);
        let needed = self.slot_seconds(class);
        let booked = |is_in: &dyn Fn(ReturnInterval) -> bool| {
            let returns = self.booked_seconds(&self.bookings, class, is_in) * self.claims.share();
            returns + self.booked_seconds(kept, class, is_in)
        };
        let mut free = -booked(&|interval| interval < current) - capacity.late.as_secs_f64();
        for number in current.0..=current.0 + HORIZON {
            let interval = ReturnInterval(number);
            let room = self.room(now, interval, capacity);
            // Room that nobody uses is lost, except for the part of a place that remains.
            free = (free + room - booked(&|it| it == interval)).min(room + needed);
            if free >= needed && interval.end() > earliest {
                return Some(interval);
            }
        }
        None
    }

    /// Returns for how many seconds the bookings that are no less urgent than `class` occupy slots.
    fn booked_seconds(
        &self,
        bookings: &[ReturnBooking],
        class: UrgencyClass,
        is_in: &dyn Fn(ReturnInterval) -> bool,
    ) -> f64 {
        let counted = bookings.iter().filter(|it| it.class <= class && is_in(it.interval));
        counted.map(|it| self.slot_seconds(it.class)).sum()
    }

    /// Returns the slot time, in seconds, that the expected arrivals leave in the part of an
    /// interval after `now`.
    fn room(&self, now: Moment, interval: ReturnInterval, capacity: SlotCapacity) -> f64 {
        let from = interval.start().max(now);
        let present = if self.is_overloaded(now) { 0.0 } else { capacity.slots * USABLE_SHARE };
        let later = capacity.expected_slots * USABLE_SHARE;
        let free_slots = self.arrivals.free_after(now, from.since(now), present, later);
        free_slots * interval.end().since(from).as_secs_f64()
    }

    /// Books a place for a refused caller.
    pub fn book(&mut self, booking: ReturnBooking) {
        self.bookings.push(booking);
        self.counts.booked += 1;
    }

    /// Gives a returned caller one of the places of the intervals that have begun; returns whether
    /// there was one. A place that was booked for a request of the same class is preferred, then
    /// one for the least urgent.
    pub fn claim(&mut self, now: Moment, class: UrgencyClass) -> bool {
        self.expire(now);
        let open = self.bookings.iter().enumerate().filter(|(_, it)| it.interval.start() <= now);
        let order = |it: &ReturnBooking| (it.class != class, Reverse(it.class), it.interval);
        let Some((index, _)) = open.min_by_key(|(_, it)| order(it)) else { return false };
        self.bookings.swap_remove(index);
        self.counts.placed += 1;
        self.claims.record(true);
        true
    }

    /// Counts a request that is kept waiting.
    pub fn record_kept(&mut self) {
        self.counts.kept += 1;
    }

    /// Releases the places to which no caller came.
    pub fn expire(&mut self, now: Moment) {
        let before = self.bookings.len();
        self.bookings.retain(|it| now < it.interval.released_at());
        let expired = before - self.bookings.len();
        self.counts.expired += expired as u64;
        (0..expired).for_each(|_| self.claims.record(false));
    }

    /// Removes all bookings.
    pub fn clear(&mut self) {
        self.bookings.clear();
    }

    /// Returns the counts.
    pub fn counts(&self) -> ReturnCounts {
        self.counts
    }
}
