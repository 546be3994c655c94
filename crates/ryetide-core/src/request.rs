//! The requests whose callers are connected to this entry VM, with their states and timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    chart::{self, RequestEvent, RequestState},
    crash_suspect::RequestFeatures,
    event::{TargetCall, TargetRoute},
    event_tracker::EventTracker,
    ids::{AttemptNumber, RequestSequence, ScopeKey, TargetKey, VmName},
    message::{RefuseReason, RequestProfile},
    target_notice::TargetNotice,
    units::{ByteSize, Moment},
};

/// The arbiter of the slot that a request waits for or holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotSource {
    /// This VM's own arbiter of the scope: either the elected arbiter, or one that is limited to
    /// this VM's conservative share.
    Own,
    /// The peer that arbitrates the scope.
    Peer(VmName),
}

/// A pending slot request, or the slot that it was granted.
#[derive(Clone, Debug)]
pub struct RequestSlot {
    /// The scope of the slot.
    pub scope: ScopeKey,
    /// The arbiter that was asked.
    pub source: SlotSource,
    /// Whether the arbiter has queued or granted the slot request.
    pub acknowledged: bool,
    /// The target, once the slot is granted.
    pub target: Option<TargetKey>,
}

/// A request and its state.
#[derive(Debug)]
pub struct RequestRecord {
    /// The state in the request chart.
    pub state: RequestState,
    /// The properties by which an arbiter orders and places the request.
    pub profile: RequestProfile,
    /// What may make the request crash targets.
    pub features: RequestFeatures,
    /// The content to forward to the target; taken when it is sent.
    pub call: Option<TargetCall>,
    /// The caller's deadline.
    pub deadline: Moment,
    /// When the request arrived.
    pub arrived: Moment,
    /// Whether the request may run at most once, however often the caller repeats it.
    pub non_idempotent: bool,
    /// The key of the request's claim row in the table service.
    pub claim_key: Option<String>,
    /// Whether the caller has closed its connection.
    pub caller_gone: bool,
    /// The pending slot request, or the slot that the request holds.
    pub slot: Option<RequestSlot>,
    /// The scopes that refused the request.
    pub refused_by: Vec<ScopeKey>,
    /// The shortest retry delay that a refusing scope returned, with the reason of the last
    /// refusal.
    pub refusal: Option<(RefuseReason, Duration)>,
    /// The current connection; events of earlier connections are ignored.
    pub attempt: AttemptNumber,
    /// The target of the request's connections.
    pub route: Option<TargetRoute>,
    /// The notice that the target has sent with its answer.
    pub notice: TargetNotice,
    /// The largest answer to accept.
    pub answer_limit: ByteSize,
    /// Whether the current connection is open.
    pub connection_open: bool,
    /// When the request was dispatched.
    pub dispatched: Option<Moment>,
    /// When the first piece of the answer was received.
    pub first_piece: Option<Moment>,
    /// When the last piece of the answer was received.
    pub last_piece: Option<Moment>,
    /// The number of received pieces.
    pub pieces: u64,
    /// Whether the head of the answer was passed on.
    pub head_sent: bool,
    /// The number of bytes of the answer that were passed on.
    pub received: u64,
    /// The events among these bytes, if the answer is a stream of events.
    pub events: Option<EventTracker>,
    /// The number of consecutive resumes that received no new bytes.
    pub idle_resumes: u32,
    /// When the request's timer expires.
    pub wake: Option<Moment>,
}

impl RequestRecord {
    /// Returns whether the request is in a state in which nothing can have been sent to a target.
    pub fn is_before_dispatch(&self) -> bool {
        matches!(
            self.state,
            RequestState::Received
                | RequestState::Claiming
                | RequestState::Asking
                | RequestState::Connecting
        )
    }

    /// Returns whether an answer that ends now has been broken off inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.events.as_ref().is_some_and(EventTracker::is_inside_event)
    }

    /// Applies an event to the request's state chart; returns whether the state has a transition
    /// for it.
    pub fn handle(&mut self, event: RequestEvent) -> bool {
        chart::request().advance(&mut self.state, event)
    }
}

/// All requests of this entry VM, with one timer each.
#[derive(Debug, Default)]
pub struct RequestTable {
    records: BTreeMap<RequestSequence, RequestRecord>,
    /// The requests that have a timer, by the time at which it expires.
    timers: BTreeSet<(Moment, RequestSequence)>,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request.
    pub fn insert(&mut self, sequence: RequestSequence, record: RequestRecord) {
        self.records.insert(sequence, record);
    }

    /// Returns a request.
    pub fn get(&self, sequence: RequestSequence) -> Option<&RequestRecord> {
        self.records.get(&sequence)
    }

    /// Returns a request for modification.
    pub fn get_mut(&mut self, sequence: RequestSequence) -> Option<&mut RequestRecord> {
        self.records.get_mut(&sequence)
    }

    /// Removes a request and its timer.
    pub fn remove(&mut self, sequence: RequestSequence) -> Option<RequestRecord> {
        let record = self.records.remove(&sequence)?;
        if let Some(at) = record.wake {
            self.timers.remove(&(at, sequence));
        }
        Some(record)
    }

    /// Returns all requests in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (RequestSequence, &RequestRecord)> {
        self.records.iter().map(|(sequence, record)| (*sequence, record))
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sets or clears the timer of a request.
    pub fn set_wake(&mut self, sequence: RequestSequence, at: Option<Moment>) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut record.wake, at) {
            self.timers.remove(&(old, sequence));
        }
        if let Some(at) = at {
            self.timers.insert((at, sequence));
        }
    }

    /// Returns when the next timer expires.
    pub fn next_wake(&self) -> Option<Moment> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Clears the earliest timer if it has expired, and returns its request.
    pub fn pop_due(&mut self, now: Moment) -> Option<RequestSequence> {
        let (at, sequence) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.set_wake(sequence, None);
        Some(sequence)
    }
}
