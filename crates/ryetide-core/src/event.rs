//! The events that the driver passes to the core. The core answers with [`crate::effect::Effect`]s.
//!
//! Events can be serialised, so that a recorded run can be replayed: see `tests/entry.rs`.

use std::{net, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    crash_suspect::RequestFeatures,
    event_tracker,
    ids::{
        AttemptNumber, DataCentreName, Incarnation, OperationId, RequestId, RequestSequence,
        TableToken, TargetKey, TargetName, VmName,
    },
    message::{PeerMessage, RefuseReason, StoredAnswer},
    target_notice::TargetNotice,
    units::{ByteSize, Moment, Revision, Tokens},
};

/// A caller's request as it was received; the names in it have not been validated yet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallerRequest {
    /// The request's number, which the driver assigns; unique within this incarnation.
    pub sequence: RequestSequence,
    /// The service's name.
    pub service: String,
    /// The organisation's name.
    pub organisation: String,
    /// The tier's name.
    pub tier: String,
    /// The time until the caller's deadline.
    pub deadline: Duration,
    /// Whether the request may run at most once, however often the caller repeats it.
    pub non_idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The length of the prompt, estimated from its bytes.
    pub prompt: Tokens,
    /// The maximum number of tokens to generate.
    pub output_limit: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub prefixes: Vec<u32>,
    /// The content to forward to the target.
    pub call: TargetCall,
}

/// The content of a request that is forwarded to the target unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetCall {
    /// The method, for plain services.
    pub method: String,
    /// The path and query below the service, for plain services.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The target of a connection.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetRoute {
    /// The target's key.
    pub key: TargetKey,
    /// The target's name, for logs.
    pub name: TargetName,
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// Whether it is a model engine, which can resume streams and report its load.
    pub engine: bool,
}

/// A request that the core permits the driver to send on a connection.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TargetOperation {
    /// Dispatches the request, at most once.
    Dispatch {
        /// The identity under which the answer can be resumed or cancelled.
        id: RequestId,
        /// The content to send.
        call: TargetCall,
        /// What may make the request crash the target.
        features: RequestFeatures,
        /// The largest answer to accept.
        answer_limit: ByteSize,
        /// The time after which nothing may be sent. The driver checks it immediately before the
        /// first byte, since the process may be suspended after the core's own check.
        not_after: Moment,
    },
    /// Requests the rest of an answer.
    Resume {
        /// The identity of the dispatch.
        id: RequestId,
        /// The offset of the first missing byte.
        offset: u64,
    },
}

/// The head of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AnswerHead {
    /// The target's status.
    pub status: u16,
    /// The target's content type.
    pub content_type: String,
}

impl AnswerHead {
    /// Returns whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        event_tracker::is_event_stream(self.content_type.as_bytes())
    }
}

/// A model engine's load report, which describes a time before its arrival.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// The age of the figures when the report was sent, in milliseconds.
    pub age_ms: u64,
    /// The number of requests in the engine's batch or queue.
    pub running: u32,
    /// The number of tokens generated since the engine started.
    pub generated: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Hashes of the prefixes that the engine reports to be in its cache; delayed and incomplete.
    #[serde(default)]
    pub cached: Vec<u32>,
}

/// One entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedVm {
    /// The name of an entry VM or of a target.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The address for connections between entry VMs; `None` for targets.
    pub peer_address: Option<net::SocketAddr>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TableRow {
    /// Its version, which is 1 after the insertion and increases by one with each write.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// A command to the table service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TableCommand {
    /// Reads a row, unless it still has the known version.
    Read {
        /// The row's key.
        key: String,
        /// The version that the reader knows, if any.
        known: Option<u64>,
    },
    /// Writes a row if it has the expected version.
    Write {
        /// The row's key.
        key: String,
        /// The version that the row must have, or 0 if it must not exist.
        expected: u64,
        /// The value to write.
        value: String,
    },
}

/// The result of a command to the table service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TableAnswer {
    /// The row that was read, or `None` if it does not exist.
    Row(Option<TableRow>),
    /// The row still has the known version.
    Unchanged,
    /// The write took effect and the row now has this version.
    Written(u64),
    /// The write did not take effect; this is the current row, or `None` if it does not exist.
    Conflict(Option<TableRow>),
    /// The command had no effect: it was not sent, or the service reported that it did nothing.
    Unavailable,
    /// The command was sent but not answered: it may have taken effect, or may still do so.
    Lost,
}

/// An event that the driver passes to the core.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Event {
    /// Time has passed; the core performs the actions that are due.
    Tick,
    /// A caller's request was read completely.
    Arrived(CallerRequest),
    /// The caller closed its connection.
    CallerGone {
        /// Its request.
        sequence: RequestSequence,
    },
    /// A connection was opened; nothing was sent on it.
    Connected {
        /// The request that it was opened for.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// No connection could be opened; nothing was sent.
    ConnectFailed {
        /// The request that it was to be opened for.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// The target's answer began.
    TargetHead {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// The head.
        head: AnswerHead,
    },
    /// A piece of the target's answer was received.
    TargetPiece {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// The offset of the piece's first byte in the whole answer.
        offset: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// The target's answer ended according to its framing.
    TargetEnd {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// The length of the whole answer.
        length: u64,
    },
    /// The connection broke before the end of the answer.
    TargetBroken {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// A target's answer to a request contains a notice about the target.
    TargetSaid {
        /// The request.
        sequence: RequestSequence,
        /// The target.
        target: TargetKey,
        /// The notice.
        word: TargetNotice,
    },
    /// A target crashed while it ran a request: the connection broke and the target has refused
    /// connections since.
    TargetCrashed {
        /// The target.
        target: TargetKey,
        /// What may have made the request crash it.
        features: RequestFeatures,
        /// How long the request had run, in milliseconds.
        ran_ms: u32,
    },
    /// The target refused the request with status 503.
    TargetRefused {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
        /// Whether the refusal announces that the target is leaving.
        leaving: bool,
    },
    /// The target does not know the request that it was asked to resume.
    ResumeUnknown {
        /// The request.
        sequence: RequestSequence,
        /// Which of its connections.
        attempt: AttemptNumber,
    },
    /// A target answered a load query.
    LoadReported {
        /// The target.
        target: TargetKey,
        /// The report.
        report: LoadReport,
    },
    /// A message from a peer was received.
    PeerMessage {
        /// The sender.
        from: VmName,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The address that the sender listens on.
        address: net::SocketAddr,
        /// The sender's data centre.
        data_centre: DataCentreName,
        /// The message.
        message: PeerMessage,
    },
    /// The platform's list of VMs was read.
    ListRead(Vec<ListedVm>),
    /// A command to the table service ended, with or without an answer.
    TableReplied {
        /// The command's token.
        token: TableToken,
        /// The result.
        answer: TableAnswer,
    },
    /// An operator applies a services text that has been checked.
    Apply {
        /// The id of the edit.
        operation: OperationId,
        /// The revision that the operator edited; if given, it must still be the latest.
        base: Option<Revision>,
        /// The new text.
        text: String,
    },
    /// The process was asked to shut down.
    Shutdown,
}

/// The final answer to a caller: exactly one for each request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum FinalAnswer {
    /// The whole answer was passed on.
    Answered,
    /// The stored answer of an earlier request with the same idempotency key is returned.
    Replayed(StoredAnswer),
    /// The request did not run.
    NotRun {
        /// Why it did not run.
        reason: RefuseReason,
        /// The delay before a retry; `None` if a retry cannot succeed.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
        /// The delay before a repeat, if a repeat may return the outcome.
        retry_after: Option<Duration>,
    },
    /// The request is invalid; it did not run.
    Rejected(RejectReason),
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection broke and the rest of the answer could not be resumed.
    TargetLost,
    /// The target no longer knows the request.
    TargetForgot,
    /// An earlier request with the same key is still in progress.
    EarlierInProgress,
    /// An earlier request with the same key was answered, and its answer is no longer stored.
    EarlierAnswered,
    /// An earlier request with the same key may have run; its entry VM is gone or does not know.
    EarlierUnknown,
    /// This request did not run, and it could not be determined whether an earlier request with the
    /// same key did.
    KeyUnchecked,
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectReason {
    /// The service does not exist.
    UnknownService,
    /// The organisation does not exist.
    UnknownOrganisation,
    /// The tier does not exist.
    UnknownTier,
    /// The deadline has already passed.
    DeadlinePast,
    /// The request is marked as non-idempotent but has no idempotency key.
    KeyMissing,
    /// The body exceeds the service's limit.
    BodyTooLarge,
}
