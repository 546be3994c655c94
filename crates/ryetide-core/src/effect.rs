//! What the core tells the driver to do, and what it tells operators.

use std::{net, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::QuarantineNews,
    event::{AnswerHead, FinalAnswer, TableCommand, TargetOrder, TargetRoute},
    ids::{
        AttemptNumber, OperationId, OrganisationName, RequestId, RequestSequence, ServiceName,
        TableToken, TargetKey, TargetName, TierName, VmName,
    },
    message::PeerMessage,
    request_print::RequestPrint,
    target_word::TargetWord,
    units::{RequestRate, Revision, Tokens},
};

/// Something for the driver to do.
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
        /// Where to.
        route: TargetRoute,
    },
    /// Sends an order on an open connection.
    Permit {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// What to send.
        order: TargetOrder,
    },
    /// Closes a connection, whatever its state.
    Abandon {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// Tells a model engine that nobody wants an answer any more.
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
        /// Ties the answer to the command.
        token: TableToken,
        /// The command.
        command: TableCommand,
    },
    /// Tells an operator how an edit ended.
    ApplyDone {
        /// The edit.
        operation: OperationId,
        /// How it ended.
        outcome: ApplyOutcome,
    },
    /// Counts a request that has ended.
    Record(RequestSummary),
    /// Notes something for the operator.
    Note(Notice),
    /// Everything is finished; the process may exit.
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

/// The bounded buffer into which a step pushes its effects.
///
/// Loops in the core stop and leave the rest for the next step once [`EffectBuffer::has_room`] is
/// false, so one step can never flood the rings that lead to the other threads.
#[derive(Debug)]
pub struct EffectBuffer {
    effects: Vec<Effect>,
    bound: usize,
}

impl EffectBuffer {
    /// Creates a buffer that asks for a pause after `bound` effects.
    pub fn new(bound: usize) -> Self {
        Self { effects: Vec::new(), bound }
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Returns whether a loop may go on.
    pub fn has_room(&self) -> bool {
        self.effects.len() < self.bound
    }

    /// Removes and returns all effects in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }

    /// Returns whether there are no effects.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }
}

/// How a table row's write for an operator's edit ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ApplyOutcome {
    /// Accepted as this revision; it never reverts.
    Accepted(Revision),
    /// Another edit took effect first; this one did not and will not.
    Collided {
        /// The revision that stands.
        revision: Revision,
        /// Its text.
        text: String,
    },
    /// The platform could not be reached; nothing was written.
    NotWritten,
    /// A write was sent and its answer never came: it may yet take effect.
    Uncertain,
    /// Another edit is under way through this VM.
    Busy,
}

/// What became of one request, for histograms and counters.
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
    /// Prompt tokens worked on and thrown away.
    pub wasted_prompt: Tokens,
    /// Prompt tokens of the request.
    pub prompt: Tokens,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// Answered whole.
    Answered,
    /// Did not run.
    NotRun,
    /// May have run.
    Unknown,
}

/// Something an operator may want to know.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Notice {
    /// A revision came into force here.
    RevisionInForce {
        /// The revision.
        revision: Revision,
        /// Whether the table service or a peer brought it.
        from_peer: Option<VmName>,
    },
    /// A revision was received that this process cannot read; the one in force stays.
    RevisionUnreadable {
        /// The revision.
        revision: Revision,
        /// The first fault.
        fault: String,
    },
    /// The table service holds a row that this process cannot read; nothing is written over it.
    RowUnreadable {
        /// The row's version.
        version: u64,
        /// What is wrong with it.
        fault: String,
    },
    /// The table service holds a lower revision than the one in force.
    RevisionWentBack {
        /// The revision in the table.
        found: Revision,
        /// The revision in force, which stays.
        in_force: Revision,
    },
    /// A peer fell silent.
    PeerSilent(VmName),
    /// A peer was heard, for the first time or again.
    PeerHeard(VmName),
    /// A target is leaving.
    TargetLeaving(TargetName),
    /// Connections to a target fail.
    TargetSuspect(TargetName),
    /// An arbiter did not answer in time; this VM's own share is used.
    ArbiterSilent(VmName),
    /// A target's answer to a request says something of the target.
    TargetSaid {
        /// The request.
        sequence: RequestSequence,
        /// The target.
        target: TargetKey,
        /// What it says.
        word: TargetWord,
    },
    /// A target has named another limit in its answer to a request, or none any more.
    TargetLimit {
        /// The request.
        sequence: RequestSequence,
        /// The target.
        target: TargetKey,
        /// What it takes from all VMs together.
        limit: Option<RequestRate>,
    },
    /// A target has crashed under a request.
    TargetCrashed {
        /// The target.
        target: TargetKey,
        /// What ran there.
        print: RequestPrint,
        /// For how long it had, in milliseconds.
        ran_ms: u32,
    },
    /// A quarantine of a request that crashes targets has begun or ended.
    Quarantine(QuarantineNews),
}
