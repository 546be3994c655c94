//! Which crashes of a suspect followed each other, so that each says something of its own.

use std::collections::BTreeMap;

use crate::{
    crash_records::CrashRecord, crash_suspect::CrashSuspect, ledger_time::LedgerTime,
    request_fingerprint::RequestFingerprint,
};

/// The number of crashes of one request that count against the parts of its prompt. It may be the
/// cause itself.
const MAX_COUNTED: usize = 3;

/// The crashes of a suspect that count, in order of time. Of crashes at the same moment one does: a
/// run of the suspect must have been sent after the crash that counted before.
#[derive(Debug)]
pub(crate) struct CrashSequence {
    suspect: CrashSuspect,
    /// The time of the last crash that counted.
    previous: Option<LedgerTime>,
    /// The number of crashes that counted with each request.
    counted: BTreeMap<RequestFingerprint, usize>,
}

impl CrashSequence {
    /// Creates a sequence without crashes.
    pub(crate) fn new(suspect: CrashSuspect) -> Self {
        Self { suspect, previous: None, counted: BTreeMap::new() }
    }

    /// Returns whether the next crash of the suspect counts.
    pub(crate) fn add(&mut self, crash: &CrashRecord) -> bool {
        let is_counted = self.follows(crash) && !self.is_repeated(crash);
        if is_counted {
            self.previous = Some(crash.at);
            for (request, _) in crash.runs_with(self.suspect) {
                *self.counted.entry(request).or_default() += 1;
            }
        }
        is_counted
    }

    fn follows(&self, crash: &CrashRecord) -> bool {
        let runs = crash.runs_with(self.suspect);
        let last_sent = runs.map(|(_, run)| crash.at.earlier(run.ran)).max();
        self.previous.is_none_or(|previous| last_sent.is_some_and(|sent| sent >= previous))
    }

    /// Returns whether a request that holds the suspect, a part, has had its share of crashes.
    fn is_repeated(&self, crash: &CrashRecord) -> bool {
        let is_part = matches!(self.suspect, CrashSuspect::Part(_));
        let count = |request| self.counted.get(&request).copied().unwrap_or(0);
        let mut runs = crash.runs_with(self.suspect);
        is_part && runs.any(|(request, _)| count(request) >= MAX_COUNTED)
    }
}
