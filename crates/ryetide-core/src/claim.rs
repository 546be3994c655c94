//! Claims on idempotency keys: a request that must not run twice holds a row in the table service
//! before it may be dispatched.
//!
//! The row names the request that holds the key. It is inserted only where it is absent, and it is
//! never taken over while its holder might still dispatch: only the holder itself can say that its
//! request did not run. A holder that cannot be asked leaves the answer "unknown". A claim has no
//! expiry, so a holder that was paused past any time limit and wakes finds its claim still its own.

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
    message::{ClaimOutcome, KeptAnswer},
    safeguard::SafeguardSwitches,
    units::Moment,
};

/// How long the holder of a key is given to say what became of its request.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the outcome of a request with a key stays askable.
pub const OUTCOME_LIFE: Duration = Duration::from_secs(600);
/// How often a write whose answer was lost is tried again.
const SETTLE_TRIES: u32 = 5;
/// The largest answer that is kept for a repeat.
const KEPT_ANSWER_LIMIT: usize = 256 << 10;
/// The bytes of all kept answers together.
const KEPT_TOTAL_LIMIT: usize = 8 << 20;
/// The most outcomes kept.
const OUTCOME_LIMIT: usize = 50_000;

#[derive(Debug, Deserialize, Serialize)]
struct ClaimRow {
    holder: RequestId,
    /// The holder's request did not run and never will.
    #[serde(default)]
    released: bool,
}

/// What follows for a request that claims its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Nothing yet; a command may have to be run.
    Command(TableCommand),
    /// The claim is held: the request may go on.
    Held,
    /// The key belongs to another request, whose VM must be asked.
    Query(RequestId),
    /// The key belongs to another request, of which this is known.
    Earlier(ClaimOutcome),
    /// The claim could not be made, and was not.
    Unavailable,
}

#[derive(Debug)]
struct PendingClaim {
    key: String,
    token: TableToken,
    expected: u64,
    /// The row's version once the claim is held.
    version: Option<u64>,
    /// Whether a write was sent whose answer is not known.
    write_open: bool,
    tries: u32,
    query_until: Option<Moment>,
    /// The request ended before its claim was answered.
    ended: bool,
}

#[derive(Debug)]
struct OutcomeRecord {
    sequence: RequestSequence,
    outcome: ClaimOutcome,
    kept: Option<KeptBody>,
}

#[derive(Debug, Default)]
struct KeptBody {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// Keeps the claims and outcomes of one entry VM.
#[derive(Debug)]
pub struct ClaimKeeper {
    vm: VmName,
    incarnation: Incarnation,
    switches: SafeguardSwitches,
    claims: BTreeMap<RequestSequence, PendingClaim>,
    by_token: BTreeMap<TableToken, RequestSequence>,
    outcomes: BTreeMap<String, OutcomeRecord>,
    /// The key of each request that has an outcome.
    keys: BTreeMap<RequestSequence, String>,
    /// When each outcome was reached, the oldest first.
    ends: BTreeSet<(Moment, RequestSequence)>,
    kept_bytes: usize,
}

impl ClaimKeeper {
    /// Creates a keeper without claims.
    pub fn new(vm: VmName, incarnation: Incarnation, switches: SafeguardSwitches) -> Self {
        Self {
            vm,
            incarnation,
            switches,
            claims: BTreeMap::new(),
            by_token: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            keys: BTreeMap::new(),
            ends: BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// Begins the claim of `key` for a request. A repeat through the same VM is answered from its
    /// memory without a write.
    pub fn begin(
        &mut self,
        sequence: RequestSequence,
        key: String,
        token: TableToken,
    ) -> ClaimStep {
        if let Some(known) = self.local_outcome(&key) {
            return ClaimStep::Earlier(known);
        }
        let claim = PendingClaim {
            key,
            token,
            expected: 0,
            version: None,
            write_open: false,
            tries: 0,
            query_until: None,
            ended: false,
        };
        self.claims.insert(sequence, claim);
        self.write(sequence, 0, token)
    }

    /// Returns what this VM knows of `key`, unless its request did not run.
    fn local_outcome(&self, key: &str) -> Option<ClaimOutcome> {
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
        claim.expected = expected;
        self.by_token.insert(token, sequence);
        let value = claim_value(holder, false);
        ClaimStep::Command(TableCommand::Write { key: claim.key.clone(), expected, value })
    }

    fn id_of(&self, sequence: RequestSequence) -> RequestId {
        RequestId { vm: self.vm.clone(), incarnation: self.incarnation, sequence }
    }

    /// Returns the request that an answer of the table service belongs to, if it is a claim's.
    pub fn request_of(&self, token: TableToken) -> Option<RequestSequence> {
        self.by_token.get(&token).copied()
    }

    /// Takes an answer of the table service for the claim of `sequence`.
    pub fn handle_table(
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
            TableAnswer::Written(version) => self.hold(sequence, *version),
            TableAnswer::Conflict(Some(row)) => self.meet_row(sequence, row, next_token),
            TableAnswer::Conflict(None) => self.write(sequence, 0, next_token()),
            TableAnswer::Lost => {
                claim.write_open = true;
                claim.tries += 1;
                if !self.switches.claim_settled {
                    return ClaimStep::Held;
                }
                self.settle(sequence, next_token)
            }
            TableAnswer::Unavailable if claim.write_open => {
                claim.tries += 1;
                self.settle(sequence, next_token)
            }
            TableAnswer::Unavailable | TableAnswer::Row(_) | TableAnswer::Unchanged => {
                self.claims.remove(&sequence);
                ClaimStep::Unavailable
            }
        }
    }

    /// Writes again after a lost answer: the row then says whether the first write took effect.
    fn settle(
        &mut self,
        sequence: RequestSequence,
        next_token: &mut impl FnMut() -> TableToken,
    ) -> ClaimStep {
        let Some(claim) = self.claims.get(&sequence) else {
            return ClaimStep::Unavailable;
        };
        if claim.tries >= SETTLE_TRIES || claim.ended {
            self.claims.remove(&sequence);
            return ClaimStep::Unavailable;
        }
        let expected = claim.expected;
        self.write(sequence, expected, next_token())
    }

    fn hold(&mut self, sequence: RequestSequence, version: u64) -> ClaimStep {
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.version = Some(version);
        claim.write_open = false;
        if claim.ended {
            let release = self.release(sequence);
            return release.map_or(ClaimStep::Unavailable, ClaimStep::Command);
        }
        let key = claim.key.clone();
        self.keys.insert(sequence, key.clone());
        let record = OutcomeRecord {
            sequence,
            outcome: ClaimOutcome::InProgress,
            kept: Some(KeptBody::default()),
        };
        self.outcomes.insert(key, record);
        ClaimStep::Held
    }

    /// Meets the row of another request, or of this one when an earlier answer was lost.
    fn meet_row(
        &mut self,
        sequence: RequestSequence,
        row: &TableRow,
        next_token: &mut impl FnMut() -> TableToken,
    ) -> ClaimStep {
        let Ok(found) = serde_json::from_str::<ClaimRow>(&row.value) else {
            // Whose it is cannot be read; only "may have run" is safe to say.
            self.claims.remove(&sequence);
            return ClaimStep::Earlier(ClaimOutcome::Unknown);
        };
        if found.holder == self.id_of(sequence) {
            return self.hold(sequence, row.version);
        }
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.expected = row.version;
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

    /// Returns whether `holder` is a request of this VM's present life.
    pub fn is_own(&self, holder: &RequestId) -> bool {
        holder.vm == self.vm && holder.incarnation == self.incarnation
    }

    /// Notes that the holder was asked and is given until `until`.
    pub fn await_query(&mut self, sequence: RequestSequence, until: Moment) {
        if let Some(claim) = self.claims.get_mut(&sequence) {
            claim.query_until = Some(until);
        }
    }

    /// Returns until when the holder of this request's key may answer.
    pub fn query_until(&self, sequence: RequestSequence) -> Option<Moment> {
        self.claims.get(&sequence)?.query_until
    }

    /// Takes what the holder said. "Not run" is its final word, so the key may be taken over; the
    /// write against the row's version makes sure that only one of several repeats does.
    pub fn handle_outcome(
        &mut self,
        sequence: RequestSequence,
        outcome: ClaimOutcome,
        token: TableToken,
    ) -> ClaimStep {
        let Some(claim) = self.claims.get_mut(&sequence) else {
            return ClaimStep::Unavailable;
        };
        claim.query_until = None;
        if outcome == ClaimOutcome::NotRun {
            let expected = claim.expected;
            return self.write(sequence, expected, token);
        }
        self.claims.remove(&sequence);
        ClaimStep::Earlier(outcome)
    }

    /// Meets a holder that cannot be asked: it died, or does not answer. It may have dispatched, or
    /// may be paused and yet do so, so the key is not taken over.
    pub fn handle_no_holder(&mut self, sequence: RequestSequence, token: TableToken) -> ClaimStep {
        if !self.switches.claim_kept {
            return self.handle_outcome(sequence, ClaimOutcome::NotRun, token);
        }
        self.claims.remove(&sequence);
        ClaimStep::Earlier(ClaimOutcome::Unknown)
    }

    /// Returns what this VM knows of a request that holds a key.
    pub fn outcome_of(&self, holder: RequestSequence) -> ClaimOutcome {
        if self.claims.get(&holder).is_some_and(|claim| !claim.ended) {
            return ClaimOutcome::InProgress;
        }
        let key = self.keys.get(&holder);
        let found = key.and_then(|key| self.outcomes.get(key));
        let found = found.filter(|record| record.sequence == holder);
        found.map_or(ClaimOutcome::Unknown, |record| record.outcome.clone())
    }

    /// Keeps a piece of an answer for a repeat, within bounds.
    pub fn keep_piece(&mut self, key: &str, bytes: &Bytes) {
        let Some(record) = self.outcomes.get_mut(key) else {
            return;
        };
        let Some(kept) = &mut record.kept else { return };
        let fits = kept.body.len() + bytes.len() <= KEPT_ANSWER_LIMIT
            && self.kept_bytes + bytes.len() <= KEPT_TOTAL_LIMIT;
        if fits {
            kept.body.extend_from_slice(bytes);
            self.kept_bytes += bytes.len();
        } else {
            self.kept_bytes -= kept.body.len();
            record.kept = None;
        }
    }

    /// Keeps the head of an answer for a repeat.
    pub fn keep_head(&mut self, key: &str, status: u16, content_type: &str) {
        let record = self.outcomes.get_mut(key);
        if let Some(kept) = record.and_then(|record| record.kept.as_mut()) {
            kept.status = status;
            content_type.clone_into(&mut kept.content_type);
        }
    }

    /// Ends a request with a key. A claim on a request that did not run is given back, so that the
    /// caller's repeat may run; returns the command for that.
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
                self.note_outcome(now, sequence, key, outcome);
            }
        }
        if not_run {
            return self.release(sequence);
        }
        self.claims.remove(&sequence);
        None
    }

    fn note_outcome(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        key: &str,
        outcome: &ClaimOutcome,
    ) {
        let kept = self.outcomes.remove(key).and_then(|record| record.kept);
        let outcome = match (outcome, kept) {
            (ClaimOutcome::Answered(_), Some(kept)) => ClaimOutcome::Answered(Some(KeptAnswer {
                status: kept.status,
                content_type: kept.content_type,
                body: Bytes::from(kept.body),
            })),
            (outcome, kept) => {
                self.kept_bytes -= kept.map_or(0, |kept| kept.body.len());
                outcome.clone()
            }
        };
        let record = OutcomeRecord { sequence, outcome, kept: None };
        self.outcomes.insert(key.to_owned(), record);
        self.keys.insert(sequence, key.to_owned());
        self.ends.insert((now, sequence));
    }

    /// Gives a held claim back, or remembers to do so when its write is answered.
    ///
    /// The row is marked, not deleted: a delete that arrives late could hit the row that another
    /// request has inserted anew under the same version, and that request could then run twice.
    /// Versions of a row that stays only rise, so a late write fails.
    fn release(&mut self, sequence: RequestSequence) -> Option<TableCommand> {
        let claim = self.claims.get_mut(&sequence)?;
        claim.ended = true;
        let expected = claim.version?;
        let claim = self.claims.remove(&sequence)?;
        let value = claim_value(self.id_of(sequence), true);
        Some(TableCommand::Write { key: claim.key, expected, value })
    }

    /// Forgets outcomes whose time is over, and the oldest when there are too many.
    pub fn advance(&mut self, now: Moment) {
        while let Some((at, sequence)) = self.ends.first().copied() {
            if now.since(at) <= OUTCOME_LIFE && self.ends.len() <= OUTCOME_LIMIT {
                return;
            }
            self.ends.pop_first();
            let Some(key) = self.keys.remove(&sequence) else {
                continue;
            };
            let current = self.outcomes.get(&key).is_some_and(|one| one.sequence == sequence);
            if let Some(record) = current.then(|| self.outcomes.remove(&key)).flatten() {
                self.kept_bytes -= record.size();
            }
        }
    }

    /// Returns the number of claims that are not settled.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }
}

impl OutcomeRecord {
    fn size(&self) -> usize {
        match &self.outcome {
            ClaimOutcome::Answered(Some(kept)) => kept.body.len(),
            _ => self.kept.as_ref().map_or(0, |kept| kept.body.len()),
        }
    }
}

fn claim_value(holder: RequestId, released: bool) -> String {
    json_form::encode(&ClaimRow { holder, released })
}

/// Returns the row's key for an organisation's idempotency key.
pub fn row_key(organisation: &str, key: &str) -> String {
    format!("claim/{organisation}/{key}")
}
