//! Messages between entry VMs, and their encoding.
//!
//! A frame consists of a version byte and a `postcard` body. Daemons of different versions exchange
//! messages, so changes must keep these rules: a new message is a new variant at the end of
//! [`PeerMessage`]; a variant is never changed or removed; a frame that cannot be decoded is
//! counted and skipped; and bytes after a decoded body are ignored. `tests/message.rs` contains
//! fixed frames of version 1.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{
    crash_ledger::{CrashUpdate, PartCrashUpdate},
    ids::{
        DataCentreKey, DataCentreName, Incarnation, OperationId, OrganisationKey, RequestId,
        RequestSequence, ScopeKey, ServiceKey, TargetKey, VmName,
    },
    target_limit::LimitReport,
    target_notice::LeavingReport,
    units::{Revision, TierRank, Tokens},
};

/// The frame version that this build writes and reads.
pub const WIRE_VERSION: u8 = 1;

/// The sender of a message, as announced on its connection.
#[derive(Clone, Debug)]
pub struct MessageSender {
    /// The sender's name.
    pub name: VmName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The address that the sender listens on.
    pub address: net::SocketAddr,
    /// The sender's data centre.
    pub data_centre: DataCentreName,
}

/// An error in a received frame.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame holds no version byte.
    #[error("the frame is empty")]
    Empty,
    /// This build does not know the frame's version.
    #[error("unknown frame version {0}; this build reads version {WIRE_VERSION}")]
    Version(u8),
    /// The body is not a known message.
    #[error("cannot decode the frame body: {0}")]
    Body(String),
}

/// The low bits of an incarnation, by which a VM detects replies to a previous incarnation.
///
/// Sixteen bits suffice: two incarnations share a tag once in 65,536 restarts, which can misdirect
/// one grant, and the request table still permits at most one dispatch of each request. The full
/// eight bytes in every message would add no safety.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct IncarnationTag(pub u16);

/// Identifies a request of one entry VM, the VM that holds the connection to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestRef {
    /// The VM's incarnation.
    #[serde(rename = "life")]
    pub incarnation: IncarnationTag,
    /// The request's number in that incarnation.
    pub sequence: RequestSequence,
}

/// The properties of a request by which an arbiter orders and places it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestProfile {
    /// The requested service.
    pub service: ServiceKey,
    /// The caller's organisation.
    pub organisation: OrganisationKey,
    /// The request's tier.
    pub tier: TierRank,
    /// The length of the prompt, estimated from its bytes.
    pub prompt: Tokens,
    /// The maximum number of tokens to generate.
    pub output_limit: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefixes: Vec<u32>,
}

/// Asks an arbiter for a slot at one of a scope's targets.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SlotRequestMessage {
    /// The request.
    pub ask: RequestRef,
    /// The data centre of the scope whose arbiter is asked.
    pub data_centre: DataCentreKey,
    /// The properties of the request.
    pub profile: RequestProfile,
    /// The time until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The time that the request has already waited for any arbiter, in milliseconds.
    pub waited_ms: u32,
}

/// Why an arbiter or an entry VM refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// Capacity is insufficient, and load is shed from this tier or queue position.
    Shed,
    /// The deadline could not be met even at the head of the queue.
    DeadlineUnreachable,
    /// No target of the service is usable.
    NoTarget,
    /// A service that this one depends on has no usable target.
    DependencyDown,
    /// The request needs more tokens than any target can hold.
    TooLarge,
    /// The VM that was asked does not arbitrate this scope.
    NotArbiter,
    /// The entry VM is shutting down.
    Draining,
    /// No configuration is in force on this entry VM.
    NoConfiguration,
    /// The service was removed from the configuration while the request waited.
    ServiceGone,
    /// The caller closed its connection while the request waited.
    CallerGone,
    /// The target refused the request, and its contract states that a refused request did not run.
    TargetRefused,
    /// A request of a higher tier was shed, and all waiting requests of lower tiers with it.
    ShedBelow,
    /// The request is in quarantine because it crashes the targets that run it.
    Quarantined,
    /// All targets of the service have requested a back-off that is too long for the request.
    HeldOff,
}

/// An arbiter's refusal.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RefuseMessage {
    /// The refused request.
    pub ask: RequestRef,
    /// Why it is refused.
    pub reason: RefuseReason,
    /// The delay after which the caller should retry, in milliseconds.
    pub retry_ms: u32,
}

/// The outcome of a granted slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ReleaseOutcome {
    /// The whole answer was received.
    Completed,
    /// The request was dispatched and did not complete.
    Failed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The slot was not used.
    Unused,
    /// The target announced that it is leaving.
    TargetLeaving,
    /// The target requested a back-off of this length, in milliseconds.
    HeldOff(u32),
}

/// Releases a granted slot and reports the observed timings.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReleaseMessage {
    /// The request.
    pub ask: RequestRef,
    /// The scope.
    pub scope: ScopeKey,
    /// The outcome of the slot.
    pub outcome: ReleaseOutcome,
    /// The time from dispatch to the first piece of the answer, in milliseconds.
    pub first_piece_ms: u32,
    /// The time from dispatch to the end, in milliseconds.
    pub total_ms: u32,
    /// The number of generated tokens, estimated by the number of pieces of the stream.
    pub output: Tokens,
}

/// Reports a slot in use to an arbiter that has just taken over the scope.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HeldSlotMessage {
    /// The request.
    pub ask: RequestRef,
    /// The scope's data centre.
    pub data_centre: DataCentreKey,
    /// The target that runs the request.
    pub target: TargetKey,
    /// The properties of the request.
    pub profile: RequestProfile,
    /// The time since the dispatch, in milliseconds.
    pub running_ms: u32,
}

/// The load of one scope as reported by its arbiter, for the choice between data centres.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ScopeLoad {
    /// The scope.
    pub scope: ScopeKey,
    /// Whether any target is usable.
    pub usable: bool,
    /// The expected wait of each tier, in milliseconds, the most urgent tier first.
    pub waits_ms: Vec<u32>,
}

/// A heartbeat, with the state of the sender that all peers need.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HeartbeatMessage {
    /// The revision in force on the sender.
    pub revision: Revision,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The loads of the scopes that the sender arbitrates and that are not idle.
    pub loads: Vec<ScopeLoad>,
}

/// A services text with its revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigurationText {
    /// The revision; a higher revision replaces a lower one on every VM.
    pub revision: Revision,
    /// The edit that created this revision.
    pub operation: OperationId,
    /// The edits before it, the latest first. An edit whose answer was lost finds its id here even
    /// if other edits have followed.
    pub recent: Vec<OperationId>,
    /// The text.
    pub text: String,
}

/// The outcome of the request that holds an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimOutcome {
    /// The request is waiting or running.
    InProgress,
    /// The request was answered; contains the answer if it is still stored.
    Answered(Option<StoredAnswer>),
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A whole answer that is stored for repeats of the request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// The status of the target's answer.
    pub status: u16,
    /// The content type of the answer.
    pub content_type: String,
    /// The body of the answer.
    pub body: bytes::Bytes,
}

/// A message between entry VMs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Shows that the sender is alive, and reports its state.
    Heartbeat(HeartbeatMessage),
    /// Requests a slot.
    Ask(SlotRequestMessage),
    /// Withdraws a slot request.
    Withdraw {
        /// The request.
        ask: RequestRef,
        /// The scope.
        scope: ScopeKey,
    },
    /// Grants a slot.
    Grant {
        /// The request.
        ask: RequestRef,
        /// The target to dispatch the request to.
        target: TargetKey,
    },
    /// Confirms that a slot request was queued.
    Queued {
        /// The request.
        ask: RequestRef,
    },
    /// Refuses a slot.
    Refuse(RefuseMessage),
    /// Releases a slot.
    Release(ReleaseMessage),
    /// Reports a slot in use to a new arbiter.
    Holding(HeldSlotMessage),
    /// Requests the receiver's services text.
    ConfigurationPull,
    /// Sends a services text.
    ConfigurationPush(ConfigurationText),
    /// Requests the outcome of the request that holds an idempotency key.
    OutcomeQuery {
        /// The request that holds the key.
        holder: RequestId,
        /// The request of the querying VM that repeats it.
        ask: RequestRef,
    },
    /// Answers an outcome query.
    OutcomeReply {
        /// The request that repeats the holder's.
        ask: RequestRef,
        /// The outcome of the holder's request.
        outcome: ClaimOutcome,
    },
    /// Reports the requests that ran on targets when they crashed.
    Crashes(CrashUpdate),
    /// Reports targets that announced in their answers that they are leaving.
    Leaving(Vec<LeavingReport>),
    /// Reports the latest rate limits that targets announced in their answers.
    Limits(Vec<LimitReport>),
    /// Reports the parts of prompts that were in crashes of targets.
    PartCrashes(PartCrashUpdate),
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
        .expect("writing to a vector cannot fail, and postcard supports the types of all fields")
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns a [`FrameError`] if the frame is empty, of an unknown version, or not a known message.
/// The connection stays usable: the caller counts the error and continues with the next frame.
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

/// Returns the key of the scope of a service in a data centre.
pub fn scope_of(service: ServiceKey, data_centre: DataCentreKey) -> ScopeKey {
    ScopeKey { service, data_centre }
}
