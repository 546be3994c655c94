//! Claims on idempotency keys: a request that must not run twice needs a row in the table service
//! before it may be dispatched.
//!
//! The row names the request that holds the key. It is inserted only if no row exists for the key,
//! and another request takes it over only after the holder itself has reported that its request did
//! not run. If the holder cannot be reached, the outcome is "unknown". A claim never expires, so a
//! holder that resumes after a pause of any length still owns its claim.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::{TableAnswer, TableCommand, TableRow},
    ids::{Incarnation, RequestId, RequestSequence, TableToken, VmName},
    json_form,
    message::{ClaimOutcome, StoredAnswer},
    safeguard::SafeguardSwitches,
    units::Moment,
};

/// How long to wait for the holder of a key to report the outcome of its request.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the outcome of a request with a key is retained after the request has ended.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(600);
/// The number of unanswered writes after which a claim is given up.
const MAX_UNANSWERED_WRITES: u32 = 5;
/// The largest answer, in bytes, that is stored for a repeat of the request.
const STORED_ANSWER_LIMIT: usize = 256 << 10;
/// The maximum total size of all stored answers, in bytes.
const STORED_TOTAL_LIMIT: usize = 8 << 20;
/// The maximum number of retained outcomes.
const OUTCOME_LIMIT: usize = 50_000;

#[derive(Debug, Deserialize, Serialize)]
struct ClaimRow {
    holder: RequestId,
    /// Whether the holder has given the key back: its request did not run and never will.
    #[serde(default)]
    released: bool,
}

/// The next step for a request that claims its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Run this command; the claim continues with its answer.
    Command(TableCommand),
    /// The claim is held: the request may proceed.
    Held,
    /// Another request holds the key, and its VM must be asked for the outcome.
    Query(RequestId),
    /// Another request holds the key, with this outcome.
    Earlier(ClaimOutcome),
    /// The claim could not be made: the request must not be dispatched.
    Unavailable,
}

#[derive(Debug)]
struct PendingClaim {
    key: String,
    token: TableToken,
    expected_version: u64,
    /// The row's version, once the claim is held.
    version: Option<u64>,
    /// Whether a write was sent and its result is unknown.
    write_unconfirmed: bool,
    unanswered_writes: u32,
    query_deadline: Option<Moment>,
    /// Whether the request ended before the claim was held; the claim is then released as soon as
    /// its write succeeds.
    ended: bool,
}

#[derive(Debug)]
struct OutcomeRecord {
    sequence: RequestSequence,
    outcome: ClaimOutcome,
    stored: Option<StoredBody>,
}

#[derive(Debug, Default)]
struct StoredBody {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// The claims and outcomes of one entry VM.
#[derive(Debug)]
pub struct ClaimManager {
    vm: VmName,
    incarnation: Incarnation,
    switches: SafeguardSwitches,
    claims: BTreeMap<RequestSequence, PendingClaim>,
    by_token: BTreeMap<TableToken, RequestSequence>,
    outcomes: BTreeMap<String, OutcomeRecord>,
    /// The key of each request that has an outcome.
    keys: BTreeMap<RequestSequence, String>,
    /// The ended requests by the time at which they ended.
    by_end: BTreeSet<(Moment, RequestSequence)>,
    stored_bytes: usize,
}

impl ClaimManager {
    /// Creates a manager without claims.
    pub fn new(vm: VmName, incarnation: Incarnation, switches: SafeguardSwitches) -> Self {
        Self {
            vm,
            incarnation,
            switches,
            claims: BTreeMap::new(),
            by_token: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            keys: BTreeMap::new(),
            by_end: BTreeSet::new(),
            stored_bytes: 0,
        }
    }

    /// Begins the claim of `key` for a request. A repeat that arrives at the same VM is answered
    /// from the outcome in memory, without a write.
    pub fn begin(
        &mut self,
        sequence: RequestSequence,
        key: String,
        token: TableToken,
    ) -> ClaimStep {
        if let Some(outcome) = self.known_outcome(&key) {
            return ClaimStep::Earlier(outcome);
        }
        let claim = PendingClaim {
            key,
            token,
            expected_version: 0,
            version: None,
            write_unconfirmed: false,
            unanswered_writes: 0,
            query_deadline: None,
            ended: false,
        };
        self.claims.insert(sequence, claim);
        self.write(sequence, 0, token)
    }

    /// Returns the outcome that this VM knows for `key`, unless that request did not run.
    fn known_outcome(&self, key: &str) -> Option<ClaimOutcome> {
        let record = self.outcomes.get(key)?;
        match &record.outcome {
            ClaimOutcome::NotRun => None,
            outcome => Some(outcome.clone()),
        }
    }

    fn write(&mut self, sequence: RequestSequence, expected: u64, token: TableToken) -> ClaimStep {
        let holder = self.id_of(sequence);
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        self.by_token.remove(&claim.token);
        claim.token = token;
        claim.expected_version = expected;
        self.by_token.insert(token, sequence);
        let value = claim_value(holder, false);
        ClaimStep::Command(TableCommand::Write { key: claim.key.clone(), expected, value })
    }

    fn id_of(&self, sequence: RequestSequence) -> RequestId {
        RequestId { vm: self.vm.clone(), incarnation: self.incarnation, sequence }
    }

    /// Returns the request whose claim sent the command with `token`, if any.
    pub fn request_of(&self, token: TableToken) -> Option<RequestSequence> {
        self.by_token.get(&token).copied()
    }

    /// Handles an answer of the table service to a command for the claim of `sequence`.
    pub fn handle_table_answer(
        &mut self,
        sequence: RequestSequence,
        answer: &TableAnswer,
        next_token: &mut impl FnMut() -> TableToken,
    ) -> ClaimStep {
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        self.by_token.remove(&claim.token);
        match answer {
            TableAnswer::Written(version) => self.mark_held(sequence, *version),
            TableAnswer::Conflict(Some(row)) => self.handle_conflict(sequence, row, next_token),
            TableAnswer::Conflict(None) => self.write(sequence, 0, next_token()),
            TableAnswer::Lost => {
                claim.write_unconfirmed = true;
                claim.unanswered_writes += 1;
                if !self.switches.claim_settled {
                    return ClaimStep::Held;
                }
                self.retry_write(sequence, next_token)
            }
            TableAnswer::Unavailable if claim.write_unconfirmed => {
                claim.unanswered_writes += 1;
                self.retry_write(sequence, next_token)
            }
            TableAnswer::Unavailable | TableAnswer::Row(_) | TableAnswer::Unchanged => {
                self.claims.remove(&sequence);
                ClaimStep::Unavailable
            }
        }
    }

    /// Repeats a write whose answer was lost: a conflict with a row that names this request shows
    /// that the first write took effect.
    fn retry_write(
        &mut self,
        sequence: RequestSequence,
        next_token: &mut impl FnMut() -> TableToken,
    ) -> ClaimStep {
        let Some(claim) = self.claims.get(&sequence) else {
            return ClaimStep::Unavailable;
        };
        if claim.unanswered_writes >= MAX_UNANSWERED_WRITES || claim.ended {
            self.claims.remove(&sequence);
            return ClaimStep::Unavailable;
        }
        let expected = claim.expected_version;
        self.write(sequence, expected, next_token())
    }

    fn mark_held(&mut self, sequence: RequestSequence, version: u64) -> ClaimStep {
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.version = Some(version);
        claim.write_unconfirmed = false;
        if claim.ended {
            let release = self.release(sequence);
            return release.map_or(ClaimStep::Unavailable, ClaimStep::Command);
        }
        let key = claim.key.clone();
        self.keys.insert(sequence, key.clone());
        let record = OutcomeRecord {
            sequence,
            outcome: ClaimOutcome::InProgress,
            stored: Some(StoredBody::default()),
        };
        self.outcomes.insert(key, record);
        ClaimStep::Held
    }

    /// Handles a write that failed because a row exists: another request's row, or this request's
    /// own if the answer to an earlier write was lost.
    fn handle_conflict(
        &mut self,
        sequence: RequestSequence,
        row: &TableRow,
        next_token: &mut impl FnMut() -> TableToken,
    ) -> ClaimStep {
        let Ok(found) = serde_json::from_str::<ClaimRow>(&row.value) else {
            // The holder is unknown, so the only safe outcome is "may have run".
            self.claims.remove(&sequence);
            return ClaimStep::Earlier(ClaimOutcome::Unknown);
        };
        if found.holder == self.id_of(sequence) {
            return self.mark_held(sequence, row.version);
        }
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.expected_version = row.version;
        if claim.ended {
            self.claims.remove(&sequence);
            return ClaimStep::Unavailable;
        }
        if found.released {
            let expected = row.version;
            return self.write(sequence, expected, next_token());
        }
        ClaimStep::Query(found.holder)
    }

    /// Returns whether `holder` is a request of this VM's current incarnation.
    pub fn is_own(&self, holder: &RequestId) -> bool {
        holder.vm == self.vm && holder.incarnation == self.incarnation
    }

    /// Records that the holder was asked for the outcome and must answer before `until`.
    pub fn set_query_deadline(&mut self, sequence: RequestSequence, until: Moment) {
        if let Some(claim) = self.claims.get_mut(&sequence) {
            claim.query_deadline = Some(until);
        }
    }

    /// Returns the time by which the holder of this request's key must answer a query.
    pub fn query_deadline(&self, sequence: RequestSequence) -> Option<Moment> {
        self.claims.get(&sequence)?.query_deadline
    }

    /// Handles the outcome that the holder reported. "Not run" is final, so the key may be taken
    /// over; the conditional write on the row's version lets only one of several repeats do so.
    pub fn handle_outcome(
        &mut self,
        sequence: RequestSequence,
        outcome: ClaimOutcome,
        token: TableToken,
    ) -> ClaimStep {
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.query_deadline = None;
        if outcome == ClaimOutcome::NotRun {
            let expected = claim.expected_version;
            return self.write(sequence, expected, token);
        }
        self.claims.remove(&sequence);
        ClaimStep::Earlier(outcome)
    }

    /// Handles a holder that died or does not answer. It may have dispatched its request, or may do
    /// so after a pause, so the key is not taken over.
    pub fn handle_unreachable_holder(
        &mut self,
        sequence: RequestSequence,
        token: TableToken,
    ) -> ClaimStep {
        if !self.switches.claim_kept {
            return self.handle_outcome(sequence, ClaimOutcome::NotRun, token);
        }
        self.claims.remove(&sequence);
        ClaimStep::Earlier(ClaimOutcome::Unknown)
    }

    /// Returns the outcome of a request of this VM that holds a key.
    pub fn outcome_of(&self, holder: RequestSequence) -> ClaimOutcome {
        if self.claims.get(&holder).is_some_and(|claim| !claim.ended) {
            return ClaimOutcome::InProgress;
        }
        let key = self.keys.get(&holder);
        let found = key.and_then(|key| self.outcomes.get(key));
        let found = found.filter(|record| record.sequence == holder);
        found.map_or(ClaimOutcome::Unknown, |record| record.outcome.clone())
    }

    /// Stores a piece of an answer for repeats of the request. An answer that exceeds the size
    /// limits is dropped entirely.
    pub fn store_piece(&mut self, key: &str, bytes: &Bytes) {
        let Some(record) = self.outcomes.get_mut(key) else {
            return;
        };
        let Some(stored) = &mut record.stored else { return };
        let fits = stored.body.len() + bytes.len() <= STORED_ANSWER_LIMIT
            && self.stored_bytes + bytes.len() <= STORED_TOTAL_LIMIT;
        if fits {
            stored.body.extend_from_slice(bytes);
            self.stored_bytes += bytes.len();
        } else {
            self.stored_bytes -= stored.body.len();
            record.stored = None;
        }
    }

    /// Stores the head of an answer for repeats of the request.
    pub fn store_head(&mut self, key: &str, status: u16, content_type: &str) {
        let record = self.outcomes.get_mut(key);
        if let Some(stored) = record.and_then(|record| record.stored.as_mut()) {
            stored.status = status;
            content_type.clone_into(&mut stored.content_type);
        }
    }

    /// Records the end of a request with a key. If the request did not run, its claim is released
    /// so that the caller's repeat may run; the command for that is returned.
    pub fn end(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        key: &str,
        outcome: &ClaimOutcome,
    ) -> Option<TableCommand> {
        let not_run = *outcome == ClaimOutcome::NotRun;
        let held = self.claims.get(&sequence).is_some_and(|claim| claim.version.is_some());
        if held || not_run {
            let own = self.outcomes.get(key).is_none_or(|record| record.sequence == sequence);
            if own {
                self.record_outcome(now, sequence, key, outcome);
            }
        }
        if not_run {
            return self.release(sequence);
        }
        self.claims.remove(&sequence);
        None
    }

    fn record_outcome(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        key: &str,
        outcome: &ClaimOutcome,
    ) {
        let stored = self.outcomes.remove(key).and_then(|record| record.stored);
        let outcome = match (outcome, stored) {
            (ClaimOutcome::Answered(_), Some(stored)) => {
                ClaimOutcome::Answered(Some(StoredAnswer {
                    status: stored.status,
                    content_type: stored.content_type,
                    body: Bytes::from(stored.body),
                }))
            }
            (outcome, stored) => {
                self.stored_bytes -= stored.map_or(0, |stored| stored.body.len());
                outcome.clone()
            }
        };
        let record = OutcomeRecord { sequence, outcome, stored: None };
        self.outcomes.insert(key.to_owned(), record);
        self.keys.insert(sequence, key.to_owned());
        self.by_end.insert((now, sequence));
    }

    /// Releases a held claim, or marks it to be released once its write has succeeded.
    ///
    /// The row is marked as released, not deleted: a delete that arrives late could remove a row
    /// that another request has since inserted with the same version, and that request could then
    /// run twice. The version of a row that is never deleted only increases, so a late write fails.
    fn release(&mut self, sequence: RequestSequence) -> Option<TableCommand> {
        let claim = self.claims.get_mut(&sequence)?;
        claim.ended = true;
        let expected = claim.version?;
        let claim = self.claims.remove(&sequence)?;
        let value = claim_value(self.id_of(sequence), true);
        Some(TableCommand::Write { key: claim.key, expected, value })
    }

    /// Drops outcomes whose retention time is over, and the oldest ones above the maximum number.
    pub fn advance(&mut self, now: Moment) {
        while let Some((at, sequence)) = self.by_end.first().copied() {
            if now.since(at) <= OUTCOME_RETENTION && self.by_end.len() <= OUTCOME_LIMIT {
                return;
            }
            self.by_end.pop_first();
            let Some(key) = self.keys.remove(&sequence) else {
                continue;
            };
            let current = self.outcomes.get(&key).is_some_and(|record| record.sequence == sequence);
            if let Some(record) = current.then(|| self.outcomes.remove(&key)).flatten() {
                self.stored_bytes -= record.size();
            }
        }
    }

    /// Returns the number of claims that are pending or held.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }
}

impl OutcomeRecord {
    fn size(&self) -> usize {
        match &self.outcome {
            ClaimOutcome::Answered(Some(stored)) => stored.body.len(),
            _ => self.stored.as_ref().map_or(0, |stored| stored.body.len()),
        }
    }
}

fn claim_value(holder: RequestId, released: bool) -> String {
    json_form::encode(&ClaimRow { holder, released })
}

/// Returns the key of the table row for an organisation's idempotency key.
pub fn row_key(organisation: &str, key: &str) -> String {
    format!("claim/{organisation}/{key}")
}
