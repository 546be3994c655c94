//! The effects that the core returns: actions for the driver, and notices for operators.

use std::{net, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::QuarantineChange,
    crash_suspect::RequestFeatures,
    event::{AnswerHead, FinalAnswer, TableCommand, TargetOperation, TargetRoute},
    ids::{
        AttemptNumber, OperationId, OrganisationName, RequestId, RequestSequence, ServiceName,
        TableToken, TargetKey, TargetName, TierName, VmName,
    },
    message::PeerMessage,
    target_notice::TargetNotice,
    units::{RequestRate, Revision, Tokens},
};

/// An action for the driver.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Effect {
    /// Starts a caller's answer.
    BeginAnswer {
        /// The request.
        sequence: RequestSequence,
        /// The head to pass on.
        head: AnswerHead,
    },
    /// Passes on a piece of a caller's answer.
    SendPiece {
        /// The request.
        sequence: RequestSequence,
        /// The piece.
        bytes: Bytes,
    },
    /// Ends a caller's answer. Nothing follows for this request.
    FinishAnswer {
        /// The request.
        sequence: RequestSequence,
        /// The final answer.
        answer: FinalAnswer,
    },
    /// Opens a connection and sends nothing on it yet.
    Connect {
        /// The request it is for.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// The target to connect to.
        route: TargetRoute,
    },
    /// Sends a request on an open connection.
    Permit {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// What to send.
        order: TargetOperation,
    },
    /// Closes a connection in any state.
    Abandon {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// Tells a model engine that an answer is no longer needed.
    Cancel {
        /// The identity of the dispatch.
        id: RequestId,
        /// The engine.
        route: TargetRoute,
    },
    /// Replaces the set of targets whose load is queried.
    WatchTargets(Vec<TargetRoute>),
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// Replaces the set of peers to keep connections to.
    ConnectPeers(Vec<PeerAddress>),
    /// Runs a command at the table service.
    Table {
        /// Identifies the command in the event with its answer.
        token: TableToken,
        /// The command.
        command: TableCommand,
    },
    /// Reports the outcome of an edit to its operator.
    ApplyDone {
        /// The edit.
        operation: OperationId,
        /// Its outcome.
        outcome: ApplyOutcome,
    },
    /// Records a request that has ended in the metrics.
    Record(RequestSummary),
    /// Reports a notice to operators.
    Note(OperatorNotice),
    /// Every request has ended and the process may exit.
    Drained,
}

/// A peer and where it listens.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct PeerAddress {
    /// The peer.
    pub name: VmName,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// The buffer to which a step of the core pushes its effects.
///
/// Once [`EffectBuffer::has_room`] returns `false`, loops in the core stop and leave the rest to
/// the next step, so that one step cannot overflow the rings to the other threads.
#[derive(Debug)]
pub struct EffectBuffer {
    effects: Vec<Effect>,
    soft_limit: usize,
}

impl EffectBuffer {
    /// Creates a buffer that is full after `soft_limit` effects. [`EffectBuffer::push`] does not
    /// enforce the limit.
    pub fn new(soft_limit: usize) -> Self {
        Self { effects: Vec::new(), soft_limit }
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Returns whether the number of effects is below the limit.
    pub fn has_room(&self) -> bool {
        self.effects.len() < self.soft_limit
    }

    /// Removes and returns all effects in the order in which they were pushed.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }

    /// Returns whether there are no effects.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }
}

/// The outcome of an operator's edit.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ApplyOutcome {
    /// The edit was accepted as this revision, which never reverts.
    Accepted(Revision),
    /// Another edit took effect first; this one did not and will not.
    Collided {
        /// The current revision.
        revision: Revision,
        /// Its text.
        text: String,
    },
    /// Nothing was written: the platform could not be reached, or the row cannot be read.
    NotWritten,
    /// A write was sent but its result is unknown: it may have taken effect, or may still do so.
    Uncertain,
    /// Another edit is pending on this VM.
    Busy,
}

/// The outcome of one request, for histograms and counters.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestSummary {
    /// The request.
    pub sequence: RequestSequence,
    /// Its service.
    pub service: ServiceName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// Its tier.
    pub tier: TierName,
    /// The final answer's kind.
    pub outcome: OutcomeKind,
    /// Time from arrival to dispatch.
    pub queued: Duration,
    /// Time from arrival to the first piece.
    pub first_piece: Option<Duration>,
    /// The mean time between pieces.
    pub between_pieces: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Whether the end came after the caller's deadline.
    pub late: bool,
    /// Prompt tokens that were processed for an answer that was then discarded.
    pub wasted_prompt: Tokens,
    /// The length of the request's prompt.
    pub prompt: Tokens,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The whole answer was passed on.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A notice for operators, which the driver logs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OperatorNotice {
    /// A revision came into force on this VM.
    RevisionInForce {
        /// The revision.
        revision: Revision,
        /// The peer that sent it, or `None` if it was read from the table service.
        from_peer: Option<VmName>,
    },
    /// A received revision cannot be parsed by this process; the one in force stays.
    RevisionUnreadable {
        /// The revision.
        revision: Revision,
        /// The number of faults in its text, and the first one.
        fault: String,
    },
    /// The configuration row in the table cannot be decoded by this process, which does not
    /// overwrite it.
    RowUnreadable {
        /// The row's version.
        version: u64,
        /// The decoding error.
        fault: String,
    },
    /// The table holds a lower revision than the one in force.
    RevisionWentBack {
        /// The revision in the table.
        found: Revision,
        /// The revision in force, which stays.
        in_force: Revision,
    },
    /// No message from a peer was received for the silence timeout.
    PeerSilent(VmName),
    /// A message from a peer was received that was not alive before.
    PeerHeard(VmName),
    /// A target is leaving.
    TargetLeaving(TargetName),
    /// Connections to a target fail.
    TargetSuspect(TargetName),
    /// An arbiter did not answer in time; this VM uses its own share of the targets instead.
    ArbiterSilent(VmName),
    /// A target's answer to a request contains a notice about the target.
    TargetSaid {
        /// The request.
        sequence: RequestSequence,
        /// The target.
        target: TargetKey,
        /// The notice.
        word: TargetNotice,
    },
    /// A target has changed or removed its rate limit in its answer to a request.
    TargetLimit {
        /// The request.
        sequence: RequestSequence,
        /// The target.
        target: TargetKey,
        /// The rate that it accepts from all VMs together, or `None` for no limit.
        limit: Option<RequestRate>,
    },
    /// A target has crashed while it ran a request.
    TargetCrashed {
        /// The target.
        target: TargetKey,
        /// What may have made the request crash it.
        features: RequestFeatures,
        /// How long the request had run, in milliseconds.
        ran_ms: u32,
    },
    /// The quarantine of a request that crashes targets has begun or ended.
    Quarantine(QuarantineChange),
}
