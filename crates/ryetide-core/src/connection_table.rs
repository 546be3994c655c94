//! Decides which connections of callers stay open.
//!
//! A machine bears so many connections, and callers may open more and send nothing on them. A new one
//! then takes the place of the one that has used up the largest part of the time that it has for what
//! it is doing: a silent caller, one that stops inside a head or a body, one that does not read its
//! answer, one that sends more before it is answered, or an idle one. Other connections whose request
//! is being served are not closed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::units::Moment;

/// How long an answer may take to be read. Longer than callers wait for it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ConnectionPhase {
    /// Its caller has sent nothing yet.
    Fresh,
    /// A part of a head has arrived.
    Head,
    /// A head has arrived, and a part of the body has not.
    Body,
    /// Its request is being served.
    Serving,
    /// Its request is being served, and bytes of another one have arrived.
    Pipelining,
    /// Its caller does not read what there is of the answer.
    Unread,
    /// Its answer is ready, and has not been sent to its end.
    Answering,
    /// Its answer was sent, and the next request has not begun.
    Idle,
}

impl ConnectionPhase {
    /// Returns the phase's name, for logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// How long connections may take for what they do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PhaseTimeouts {
    /// For a head, from its first byte.
    pub head: Duration,
    /// For a body.
    pub body: Duration,
    /// Without a request.
    pub idle: Duration,
}

impl PhaseTimeouts {
    /// Returns after which time a connection in this phase is closed.
    fn closes_after(&self, phase: ConnectionPhase) -> Option<Duration> {
        match phase {
            ConnectionPhase::Fresh | ConnectionPhase::Idle => Some(self.idle),
            ConnectionPhase::Head => Some(self.head),
            // The body is refused when its time is over.
            ConnectionPhase::Body => None,
            ConnectionPhase::Serving | ConnectionPhase::Pipelining => None,
            // The system ends the connection when nothing is read for some seconds.
            ConnectionPhase::Unread => None,
            ConnectionPhase::Answering => Some(ANSWER_TIMEOUT),
        }
    }

    /// Returns the time of which a connection in this phase uses up a part, if it may be closed for
    /// another one. Callers send at once on a new connection.
    fn rank_span(&self, phase: ConnectionPhase) -> Option<Duration> {
        match phase {
            ConnectionPhase::Fresh | ConnectionPhase::Head => Some(self.head),
            ConnectionPhase::Body => Some(self.body),
            ConnectionPhase::Serving => None,
            ConnectionPhase::Pipelining | ConnectionPhase::Unread => Some(self.body),
            ConnectionPhase::Answering => Some(ANSWER_TIMEOUT),
            ConnectionPhase::Idle => Some(self.idle),
        }
    }
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAdmission {
    /// It is served.
    Admitted(ConnectionId),
    /// It is served, and another one must be closed.
    Displaces {
        /// The new connection.
        id: ConnectionId,
        /// The one to close.
        closes: ConnectionId,
    },
    /// It is closed: there are too many, and none that may be closed.
    Rejected,
}

/// The open connections of callers.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     connection_table::{ConnectionAdmission, ConnectionTable, PhaseTimeouts},
///     units::Moment,
/// };
///
/// let span = Duration::from_secs(3);
/// let mut table = ConnectionTable::new(1, PhaseTimeouts { head: span, body: span, idle: span });
/// let ConnectionAdmission::Admitted(first) = table.admit(Moment::from_millis(1)) else { panic!() };
/// let next = table.admit(Moment::from_millis(2));
/// assert!(matches!(next, ConnectionAdmission::Displaces { closes, .. } if closes == first));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    timeouts: PhaseTimeouts,
    open: BTreeMap<ConnectionId, (ConnectionPhase, Moment)>,
    /// The same by phase and, in each, by the time of its beginning.
    by_phase: BTreeMap<ConnectionPhase, BTreeSet<(Moment, ConnectionId)>>,
    /// The number of those that are to be closed, but still open.
    closing: BTreeSet<ConnectionId>,
    next: u64,
}

impl ConnectionTable {
    /// Creates an empty table for at most `limit` connections.
    pub fn new(limit: usize, timeouts: PhaseTimeouts) -> Self {
        let (open, by_phase) = (BTreeMap::new(), BTreeMap::new());
        Self { limit, timeouts, open, by_phase, closing: BTreeSet::new(), next: 0 }
    }

    /// Sets the limit and the timeouts.
    pub fn configure(&mut self, limit: usize, timeouts: PhaseTimeouts) {
        self.limit = limit;
        self.timeouts = timeouts;
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Decides what becomes of a new connection.
    pub fn admit(&mut self, now: Moment) -> ConnectionAdmission {
        let id = ConnectionId(self.next);
        let closes = if self.open.len() - self.closing.len() < self.limit {
            None
        } else {
            let Some(longest) = self.longest(now) else { return ConnectionAdmission::Rejected };
            Some(longest)
        };
        self.next += 1;
        self.insert(id, ConnectionPhase::Fresh, now);
        let Some(closes) = closes else { return ConnectionAdmission::Admitted(id) };
        self.unlist(closes);
        self.closing.insert(closes);
        ConnectionAdmission::Displaces { id, closes }
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, now: Moment, id: ConnectionId, phase: ConnectionPhase) {
        if self.open.contains_key(&id) && !self.closing.contains(&id) {
            self.unlist(id);
            self.insert(id, phase, now);
        }
    }

    /// Returns what a connection does.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.open.get(&id).map(|(phase, _)| *phase)
    }

    /// Returns when a connection is closed if it goes on doing what it does.
    pub fn closes_at(&self, id: ConnectionId) -> Option<Moment> {
        let (phase, since) = self.open.get(&id)?;
        Some(*since + self.timeouts.closes_after(*phase)?)
    }

    /// Records that a connection has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.unlist(id);
        self.open.remove(&id);
        self.closing.remove(&id);
    }

    /// Returns the connection that has used up the largest part of its time.
    fn longest(&self, now: Moment) -> Option<ConnectionId> {
        let first = |(phase, listed): (&ConnectionPhase, &BTreeSet<(Moment, ConnectionId)>)| {
            let span = self.timeouts.rank_span(*phase)?;
            let (since, id) = listed.first()?;
            Some((now.since(*since).as_secs_f64() / span.as_secs_f64().max(f64::EPSILON), *id))
        };
        let candidates = self.by_phase.iter().filter_map(first);
        candidates.max_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, id)| id)
    }

    fn insert(&mut self, id: ConnectionId, phase: ConnectionPhase, since: Moment) {
        self.open.insert(id, (phase, since));
        self.by_phase.entry(phase).or_default().insert((since, id));
    }

    fn unlist(&mut self, id: ConnectionId) {
        let Some((phase, since)) = self.open.get(&id) else { return };
        if let Some(listed) = self.by_phase.get_mut(phase) {
            listed.remove(&(*since, id));
        }
    }
}
