//! The requests that this entry VM holds callers for, each with its state and what it waits for.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    chart::{self, RequestEvent, RequestState},
    event::{TargetCall, TargetRoute},
    ids::{AttemptNumber, RequestSequence, ScopeKey, TargetKey, VmName},
    message::{AskProfile, RefuseReason},
    request_print::RequestPrint,
    target_word::TargetWord,
    units::{ByteSize, Moment},
};

/// Who orders the slot that a request asks for or holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotSource {
    /// This VM's own arbiter of the scope: elected, or over its conservative share.
    Own,
    /// The peer that arbitrates the scope.
    Peer(VmName),
}

/// An ask under way, or the slot that it led to.
#[derive(Clone, Debug)]
pub struct SlotClaim {
    /// The scope asked.
    pub scope: ScopeKey,
    /// Who was asked.
    pub source: SlotSource,
    /// Whether the ask was answered: queued, or granted.
    pub acknowledged: bool,
    /// The target, once granted.
    pub target: Option<TargetKey>,
}

/// One request.
#[derive(Debug)]
pub struct RequestRecord {
    /// Its state.
    pub state: RequestState,
    /// What its arbiter knows of it.
    pub profile: AskProfile,
    /// By what it is known again when it comes anew.
    pub print: RequestPrint,
    /// What goes to its target; emptied once sent.
    pub call: Option<TargetCall>,
    /// The caller's deadline.
    pub deadline: Moment,
    /// When it arrived.
    pub arrived: Moment,
    /// Whether it may run at most once over all the caller's repeats.
    pub non_idempotent: bool,
    /// The key of its row in the table service.
    pub claim_key: Option<String>,
    /// Whether its caller has gone.
    pub caller_gone: bool,
    /// The ask under way, or the slot held.
    pub slot: Option<SlotClaim>,
    /// Scopes that refused it, and the least time they promised.
    pub refused_by: Vec<ScopeKey>,
    /// The least time after which a refusing scope said to come back, with its reason.
    pub refusal: Option<(RefuseReason, Duration)>,
    /// The connection that counts; pieces from earlier ones are late.
    pub attempt: AttemptNumber,
    /// Where its connections go.
    pub route: Option<TargetRoute>,
    /// What its target has said of itself.
    pub word: TargetWord,
    /// The largest answer to accept.
    pub answer_limit: ByteSize,
    /// Whether the connection that counts is open.
    pub connection_open: bool,
    /// When it was dispatched.
    pub dispatched: Option<Moment>,
    /// When the first piece came.
    pub first_piece: Option<Moment>,
    /// When the last piece came.
    pub last_piece: Option<Moment>,
    /// How many pieces came.
    pub pieces: u64,
    /// Whether the head was passed on.
    pub head_sent: bool,
    /// How many bytes of the answer were passed on.
    pub received: u64,
    /// How many resumes in a row brought nothing.
    pub idle_resumes: u32,
    /// When something falls due.
    pub wake: Option<Moment>,
}

impl RequestRecord {
    /// Returns whether nothing can have been sent yet.
    pub fn is_before_dispatch(&self) -> bool {
        matches!(
            self.state,
            RequestState::Received
                | RequestState::Claiming
                | RequestState::Asking
                | RequestState::Connecting
        )
    }

    /// Moves the request along its chart; returns whether the event was taken.
    pub fn handle(&mut self, event: RequestEvent) -> bool {
        chart::request().advance(&mut self.state, event)
    }
}

/// All requests of this entry VM, and when each falls due.
#[derive(Debug, Default)]
pub struct RequestTable {
    records: BTreeMap<RequestSequence, RequestRecord>,
    wakes: BTreeSet<(Moment, RequestSequence)>,
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

    /// Returns a request to change.
    pub fn get_mut(&mut self, sequence: RequestSequence) -> Option<&mut RequestRecord> {
        self.records.get_mut(&sequence)
    }

    /// Removes a request and its wake.
    pub fn remove(&mut self, sequence: RequestSequence) -> Option<RequestRecord> {
        let record = self.records.remove(&sequence)?;
        if let Some(at) = record.wake {
            self.wakes.remove(&(at, sequence));
        }
        Some(record)
    }

    /// Returns all requests.
    pub fn iter(&self) -> impl Iterator<Item = (RequestSequence, &RequestRecord)> {
        self.records.iter().map(|(sequence, record)| (*sequence, record))
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sets when a request falls due, replacing what was set before.
    pub fn set_wake(&mut self, sequence: RequestSequence, at: Option<Moment>) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut record.wake, at) {
            self.wakes.remove(&(old, sequence));
        }
        if let Some(at) = at {
            self.wakes.insert((at, sequence));
        }
    }

    /// Returns when the next request falls due.
    pub fn next_wake(&self) -> Option<Moment> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Removes the wake of the next request that is due, and returns the request.
    pub fn pop_due(&mut self, now: Moment) -> Option<RequestSequence> {
        let (at, sequence) = *self.wakes.first()?;
        if at > now {
            return None;
        }
        self.set_wake(sequence, None);
        Some(sequence)
    }
}
