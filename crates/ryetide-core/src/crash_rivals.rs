//! The other suspects that ended in a suspect's crash, which may be its cause instead.

use std::collections::BTreeSet;

use crate::{crash_records::CrashRecord, crash_suspect::CrashSuspect};

/// The other suspects that ended in a crash.
#[derive(Debug, Default)]
pub(crate) struct CrashRivals {
    /// The parts that precede the suspect in its prompts.
    pub(crate) preceding: BTreeSet<CrashSuspect>,
    /// The parts that follow it there, and all suspects of the other runs.
    pub(crate) others: BTreeSet<CrashSuspect>,
}

impl CrashRivals {
    /// Returns the rivals of a suspect that ended in a crash.
    pub(crate) fn of(suspect: CrashSuspect, crash: &CrashRecord) -> Self {
        let mut rivals = Self::default();
        // A request is no rival of the parts of its prompt, nor they of it: whichever is
        // quarantined, the request is refused.
        let mut own = BTreeSet::from([suspect]);
        for (fingerprint, run) in crash.runs_with(suspect) {
            own.extend(run.suspects(fingerprint));
            let CrashSuspect::Part(part) = suspect else { continue };
            let position = run.parts.iter().position(|it| *it == part).unwrap_or(0);
            let (before, after) = run.parts.split_at(position);
            rivals.preceding.extend(before.iter().copied().map(CrashSuspect::Part));
            rivals.others.extend(after.iter().skip(1).copied().map(CrashSuspect::Part));
        }
        let of_other_runs = crash.suspects().into_iter().filter(|it| !own.contains(it));
        rivals.others.extend(of_other_runs);
        rivals
    }
}
