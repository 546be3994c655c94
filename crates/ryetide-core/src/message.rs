//! Messages between entry VMs, and their encoding.
//!
//! A frame is one version byte and a `postcard` body. Daemons of different ages talk to each other,
//! so the rules for a change are: a new message is a new variant at the end of [`PeerMessage`]; a
//! variant is never changed or removed; a frame that cannot be decoded is counted and skipped, and
//! bytes after a decoded body are ignored. `tests/message.rs` holds frozen frames of version 1.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::CrashNews,
    ids::{
        DataCentreKey, DataCentreName, Incarnation, OperationId, OrganisationKey, RequestId,
        RequestSequence, ScopeKey, ServiceKey, TargetKey, VmName,
    },
    target_limit::LimitMark,
    target_word::LeavingMark,
    units::{Revision, TierRank, Tokens},
};

/// The version that this code writes.
pub const WIRE_VERSION: u8 = 1;

/// The sender of a message, as its connection made it known.
#[derive(Clone, Debug)]
pub struct MessageSender {
    /// Its name.
    pub name: VmName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

/// A frame that this code cannot read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame holds no version byte.
    #[error("the frame is empty")]
    Empty,
    /// The frame's version is one this code does not know.
    #[error("frame version {0} is not known; this code reads {WIRE_VERSION}")]
    Version(u8),
    /// The body is not a known message.
    #[error("frame body: {0}")]
    Body(String),
}

/// The low bits of an incarnation: enough to drop replies meant for an earlier life of a VM.
///
/// A wrong match (1 in 65,536 restarts) costs one misplaced grant, which the table of requests
/// still lets dispatch at most once; eight bytes in every message would buy nothing more.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LifeMark(pub u16);

/// A request as its arbiter names it: the number at the VM that holds its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AskRef {
    /// The asking VM's life.
    pub life: LifeMark,
    /// The request's number in that life.
    pub sequence: RequestSequence,
}

/// What an arbiter needs to know of a request to order and place it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AskProfile {
    /// The service asked for.
    pub service: ServiceKey,
    /// The caller's organisation.
    pub organisation: OrganisationKey,
    /// The request's tier.
    pub tier: TierRank,
    /// The length of the prompt, estimated from its bytes.
    pub prompt: Tokens,
    /// The most tokens that may be generated.
    pub output_limit: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefixes: Vec<u32>,
}

/// A request for a slot at one of a scope's targets.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AskMessage {
    /// The request.
    pub ask: AskRef,
    /// The scope whose arbiter is asked.
    pub data_centre: DataCentreKey,
    /// What to order and place.
    pub profile: AskProfile,
    /// Milliseconds until the caller's deadline.
    pub deadline_ms: u32,
    /// Milliseconds the request has waited already, at this arbiter or another.
    pub waited_ms: u32,
}

/// Why an arbiter, or an entry VM, does not run a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// Capacity is short and this tier or rank is shed.
    Shed,
    /// The deadline could not be met even as the first in line.
    DeadlineUnreachable,
    /// No target of the service is usable.
    NoTarget,
    /// A service that this one depends on has no usable target.
    DependencyDown,
    /// The request needs more tokens than any target holds.
    TooLarge,
    /// The VM asked does not arbitrate this scope.
    NotArbiter,
    /// The entry VM is shutting down.
    Draining,
    /// No configuration is in force on this entry VM.
    NoConfiguration,
    /// The service left the configuration while the request waited.
    ServiceGone,
    /// The caller closed its connection while the request waited.
    CallerGone,
    /// The target refused, and its contract says that nothing ran.
    TargetRefused,
    /// A request of a higher tier was shed, and everything that waited below it with it.
    ShedBelow,
    /// It crashes the targets that run it.
    Quarantined,
    /// All targets of the service want nothing for too long.
    HeldOff,
}

/// An arbiter's refusal.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RefuseMessage {
    /// The request refused.
    pub ask: AskRef,
    /// Why.
    pub reason: RefuseReason,
    /// When the caller should come back, in milliseconds.
    pub retry_ms: u32,
}

/// What became of a granted slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ReleaseOutcome {
    /// The answer was received whole.
    Completed,
    /// The request was dispatched and did not complete.
    Failed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The slot was not used.
    Unused,
    /// The target has said that it leaves.
    TargetLeaving,
    /// The target wants nothing for this long, in milliseconds.
    HeldOff(u32),
}

/// The end of a granted slot, with what was observed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReleaseMessage {
    /// The request.
    pub ask: AskRef,
    /// The scope.
    pub scope: ScopeKey,
    /// What became of it.
    pub outcome: ReleaseOutcome,
    /// Milliseconds from dispatch to the first piece of the answer.
    pub first_piece_ms: u32,
    /// Milliseconds from dispatch to the end.
    pub total_ms: u32,
    /// Tokens generated, counted in pieces of the stream.
    pub output: Tokens,
}

/// A slot in use, told to an arbiter that has just taken over.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HoldingMessage {
    /// The request.
    pub ask: AskRef,
    /// The scope's data centre.
    pub data_centre: DataCentreKey,
    /// The target it runs on.
    pub target: TargetKey,
    /// The request itself.
    pub profile: AskProfile,
    /// Milliseconds since it was dispatched.
    pub running_ms: u32,
}

/// One scope's load as its arbiter sees it, for the choice between data centres.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ScopeLoad {
    /// The scope.
    pub scope: ScopeKey,
    /// Whether any target is usable.
    pub usable: bool,
    /// The expected wait of each tier, in milliseconds, the most urgent first.
    pub waits_ms: Vec<u32>,
}

/// A sign of life, with what every peer needs to know.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HeartbeatMessage {
    /// The revision in force on the sender.
    pub revision: Revision,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The scopes that the sender arbitrates and that are not idle.
    pub loads: Vec<ScopeLoad>,
}

/// A services text with its place in the order of revisions.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigurationText {
    /// The revision; the higher one wins everywhere.
    pub revision: Revision,
    /// The edit that made it.
    pub operation: OperationId,
    /// The edits before it, the latest first, so that an edit whose answer was lost finds itself
    /// even after others followed.
    pub recent: Vec<OperationId>,
    /// The text.
    pub text: String,
}

/// What the holder of an idempotency key says of its request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimOutcome {
    /// It is waiting or running.
    InProgress,
    /// It was answered; the body is there while it is kept.
    Answered(Option<KeptAnswer>),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A whole answer kept for a caller that asks again.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct KeptAnswer {
    /// The status of the target's answer.
    pub status: u16,
    /// Its content type.
    pub content_type: String,
    /// Its body.
    pub body: bytes::Bytes,
}

/// A message between entry VMs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// A sign of life.
    Heartbeat(HeartbeatMessage),
    /// Asks for a slot.
    Ask(AskMessage),
    /// Takes an ask back.
    Withdraw {
        /// The request.
        ask: AskRef,
        /// The scope.
        scope: ScopeKey,
    },
    /// Grants a slot.
    Grant {
        /// The request.
        ask: AskRef,
        /// Where it may be dispatched.
        target: TargetKey,
    },
    /// Says that an ask waits in line.
    Queued {
        /// The request.
        ask: AskRef,
    },
    /// Refuses a slot.
    Refuse(RefuseMessage),
    /// Gives a slot back.
    Release(ReleaseMessage),
    /// Tells a new arbiter of a slot in use.
    Holding(HoldingMessage),
    /// Asks for the sender's services text.
    ConfigurationPull,
    /// Hands over a services text.
    ConfigurationPush(ConfigurationText),
    /// Asks what became of a request whose idempotency key is claimed.
    OutcomeQuery {
        /// The claim's holder.
        holder: RequestId,
        /// The request that repeats it, at the asking VM.
        ask: AskRef,
    },
    /// Answers an outcome query.
    OutcomeReply {
        /// The request that repeats it.
        ask: AskRef,
        /// What became of the first.
        outcome: ClaimOutcome,
    },
    /// Tells which requests ended in crashes of targets.
    Crashes(CrashNews),
    /// Names targets that have said in their answers that they leave.
    Leaving(Vec<LeavingMark>),
    /// Tells what targets have said last of their limits.
    Limits(Vec<LimitMark>),
}

/// Encodes `message` as a frame.
///
/// # Example
///
/// ```
/// use ryetide_core::message::{self, PeerMessage};
///
/// let frame = message::encode(&PeerMessage::ConfigurationPull);
/// assert_eq!(message::decode(&frame), Ok(PeerMessage::ConfigurationPull));
/// ```
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_extend(message, vec![WIRE_VERSION])
        .expect("a vector takes everything, and every field is of a type that postcard writes")
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns a [`FrameError`]; the caller counts it and goes on with the next frame.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, FrameError> {
    let (version, body) = frame.split_first().ok_or(FrameError::Empty)?;
    if *version != WIRE_VERSION {
        return Err(FrameError::Version(*version));
    }
    match postcard::take_from_bytes(body) {
        Ok((message, _newer_fields)) => Ok(message),
        Err(error) => Err(FrameError::Body(error.to_string())),
    }
}

/// Returns a scope's key from its parts.
pub fn scope_of(service: ServiceKey, data_centre: DataCentreKey) -> ScopeKey {
    ScopeKey { service, data_centre }
}
