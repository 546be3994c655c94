//! Which requests ended under crashes of targets, and which of them are sent to none any more.
//!
//! A request that crashes each target which begins to run it comes again, with another id and at any VM. Each VM notes
//! the runs that ended with a target, and tells the others; [`crash_blame`](crate::crash_blame) decides which request
//! is to blame. That one is quarantined: its attempts get their final answer at once and reach no target, until nobody has
//! asked for it for [`QUARANTINE_LIFE`]. A run that was answered clears its request at every VM: what crashes targets is
//! never answered.
//!
//! What VMs tell each other may be lost, late or doubled: notes are only ever added, each names a target and the time of
//! its crash, and all VMs come to the same ones. A peer that starts, or was not heard for long, is told everything anew. All
//! of it ages and is bounded in number.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    crash_blame::{self, BlameCase, BlameEvidence, SharedCrash},
    ids::TargetKey,
    request_print::RequestPrint,
    units::Moment,
};

/// A quarantine ends when nobody has asked for its request for this long.
pub const QUARANTINE_LIFE: Duration = Duration::from_secs(600);
/// A crash is remembered for this long: a request that is sent again each minute or two is still known by its third.
const CRASH_LIFE: Duration = Duration::from_secs(600);
/// That a request was answered is remembered for this long, against what is still told of it.
const CLEARED_LIFE: Duration = Duration::from_secs(60);
/// A request with as many crashes as may blame it waits until nothing new has been heard of them for this long: the
/// runs that ended beside it, at other VMs, are then known too.
const SETTLE_SPAN: Duration = Duration::from_millis(500);
/// For how long a VM tells what it has noted itself. A peer that has not heard it for this long is told everything.
const TOLD_SPAN: Duration = Duration::from_secs(4);
/// What VMs note of one target within this time is one crash: a target that starts again under its old name is not back
/// sooner, and what is told of a crash comes within it.
const SAME_CRASH_SPAN: Duration = Duration::from_millis(250);
/// Crashes that are remembered, and runs that ended in all of them, and requests that were answered since; the oldest
/// yields. An engine may run hundreds of
/// requests at once, and the one to blame must not be lost among those of one crash.
const CRASHES_LIMIT: usize = 256;
const RUNS_LIMIT: usize = 8_192;
/// Quarantined requests; the one that nobody has asked for the longest yields.
const QUARANTINES_LIMIT: usize = 64;
/// Notes of each kind in one digest: a datagram of some 20 KB.
const MARKS_LIMIT: usize = 512;

/// A run that ended when its target crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// What ran.
    pub print: RequestPrint,
    /// For how long it had been at the target.
    pub ran: Duration,
}

/// A run that ended when its target crashed, as VMs tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashMark {
    /// What ran.
    pub print: RequestPrint,
    /// The life of the target that ended.
    pub target: TargetKey,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// For how long it had been there, in milliseconds.
    pub ran_ms: u32,
}

/// A request that was answered after a run of it had ended in a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClearedMark {
    /// The request.
    pub print: RequestPrint,
    /// How long ago it was answered, in milliseconds.
    pub age_ms: u32,
}

/// A request that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineMark {
    /// The request.
    pub print: RequestPrint,
    /// How long ago it was blamed, in milliseconds.
    pub age_ms: u32,
    /// How long ago the VM that tells was last asked for it, or blamed it, in milliseconds.
    pub asked_ms: u32,
}

/// What VMs tell each other of crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashNews {
    /// Runs that ended in crashes.
    pub crashes: Vec<CrashMark>,
    /// Requests that were answered since.
    pub cleared: Vec<ClearedMark>,
    /// Requests that are quarantined.
    pub quarantined: Vec<QuarantineMark>,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStanding {
    /// It may.
    Clear,
    /// Not before this moment: what it has to do with crashes is not known yet.
    Unsettled(Moment),
    /// It may not. It may again when nobody has asked for it for this long.
    Quarantined(Duration),
}

/// How a quarantine began or ended here, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineNews {
    /// This VM has blamed the request.
    Blamed(RequestPrint, BlameEvidence),
    /// A peer or the store tells of it.
    Heard(RequestPrint),
    /// The request was answered after all.
    Cleared(RequestPrint),
    /// Nobody has asked for it for long enough.
    Expired(RequestPrint),
}

/// A moment on this VM's clock, also before its start: peers tell of what happened before.
type LedgerTime = i64;

#[derive(Clone, Copy, Debug)]
struct RunNote {
    ran: Duration,
    /// When this VM came to know of it.
    heard: Moment,
    /// Whether this VM sent the run.
    own: bool,
}

/// One crash: of which target, and when as this VM came to know first.
type CrashKey = (TargetKey, LedgerTime);

#[derive(Clone, Debug)]
struct CrashNote {
    at: LedgerTime,
    runs: BTreeMap<RequestPrint, RunNote>,
}

#[derive(Clone, Copy, Debug)]
struct ClearedNote {
    at: LedgerTime,
    heard: Moment,
    /// Whether this VM passed the answer on.
    own: bool,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    since: LedgerTime,
    /// When it was last asked for at any VM.
    asked: LedgerTime,
    /// When it was last asked for here. Only this is told: what was heard came some time after it was said, and told on it
    /// would move on with each hop and never grow old.
    asked_here: LedgerTime,
    /// Whether this VM keeps it in the store for all to find.
    kept: bool,
}

/// Remembers which requests ended in crashes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: BTreeMap<CrashKey, CrashNote>,
    /// How many runs ended in all of them.
    run_count: usize,
    /// How many crashes each request has.
    counts: BTreeMap<RequestPrint, usize>,
    cleared: BTreeMap<RequestPrint, ClearedNote>,
    quarantines: BTreeMap<RequestPrint, Quarantine>,
    /// Until when everything is told anew, for a peer that has not heard it.
    retold_until: Moment,
    /// Until when there is something that not all peers may have heard of.
    fresh_until: Moment,
    news: Vec<QuarantineNews>,
}

impl CrashLedger {
    /// Notes the runs of this VM that ended when `target` crashed.
    pub fn note_crash(&mut self, now: Moment, target: TargetKey, runs: &[CrashedRun]) {
        for run in runs {
            let note = RunNote { ran: run.ran, heard: now, own: true };
            self.add_run(now, target, time_of(now), run.print, note);
        }
        self.fresh_until = now + SETTLE_SPAN;
    }

    /// Notes that a run of a request was answered whole.
    pub fn note_answered(&mut self, now: Moment, print: RequestPrint) {
        if self.is_suspect(print) {
            let note = ClearedNote { at: time_of(now), heard: now, own: true };
            self.clear(print, note);
        }
    }

    /// Returns whether a request has to do with a crash, so that its standing is worth asking for.
    pub fn is_suspect(&self, print: RequestPrint) -> bool {
        self.counts.contains_key(&print) || self.quarantines.contains_key(&print)
    }

    /// Returns whether a request may be sent to one of `targets` targets.
    pub fn standing(
        &mut self,
        now: Moment,
        print: RequestPrint,
        targets: usize,
    ) -> RequestStanding {
        if let Some(quarantine) = self.quarantines.get_mut(&print) {
            quarantine.asked = time_of(now);
            quarantine.asked_here = quarantine.asked;
            return RequestStanding::Quarantined(QUARANTINE_LIFE);
        }
        if self.counts.get(&print).is_none_or(|count| *count < crash_blame::LEAST_CRASHES) {
            return RequestStanding::Clear;
        }
        let Some((case, settled)) = self.case_of(now, print, targets) else {
            return RequestStanding::Clear;
        };
        if now < settled {
            return RequestStanding::Unsettled(settled);
        }
        let evidence = case.weigh();
        if !evidence.is_guilty() {
            return RequestStanding::Clear;
        }
        let since = time_of(now);
        let quarantine = Quarantine { since, asked: since, asked_here: since, kept: true };
        self.add_quarantine(print, quarantine);
        self.news.push(QuarantineNews::Blamed(print, evidence));
        RequestStanding::Quarantined(QUARANTINE_LIFE)
    }

    /// Takes what a peer tells.
    pub fn take(&mut self, now: Moment, news: &CrashNews) {
        for mark in &news.cleared {
            let at = time_before(now, mark.age_ms);
            self.clear(mark.print, ClearedNote { at, heard: now, own: false });
        }
        for mark in &news.crashes {
            let ran = Duration::from_millis(u64::from(mark.ran_ms));
            let note = RunNote { ran, heard: now, own: false };
            self.add_run(now, mark.target, time_before(now, mark.age_ms), mark.print, note);
        }
        for mark in &news.quarantined {
            self.take_quarantine(now, mark, false);
        }
    }

    /// Takes a quarantine from the store. `own` tells whether this VM keeps it there, from an earlier life.
    pub fn take_kept(&mut self, now: Moment, mark: &QuarantineMark, own: bool) {
        self.take_quarantine(now, mark, own);
    }

    /// Returns the quarantines that this VM keeps in the store.
    pub fn kept(&self, now: Moment) -> Vec<QuarantineMark> {
        let kept = self.quarantines.iter().filter(|(_, quarantine)| quarantine.kept);
        kept.map(|(print, quarantine)| quarantine.mark(now, *print)).collect()
    }

    /// Notes that a peer has started, or is heard again after it was not for long: it is told everything anew.
    pub fn retell(&mut self, now: Moment) {
        self.retold_until = now + TOLD_SPAN;
    }

    /// Returns what a digest tells that repeats everything now and then.
    pub fn whole_news(&self, now: Moment) -> CrashNews {
        self.news_of(now, TOLD_SPAN, now < self.retold_until)
    }

    /// Returns what a digest tells to those who may not have heard the others of this VM: no more than it has noted
    /// itself.
    pub fn brief_news(&self, now: Moment) -> CrashNews {
        self.news_of(now, TOLD_SPAN, false)
    }

    /// Returns what a digest of changes tells: what was noted within `span`.
    pub fn changed_news(&self, now: Moment, span: Duration) -> CrashNews {
        self.news_of(now, span, false)
    }

    /// Returns whether this VM has noted a crash that not all peers may have heard of.
    pub fn has_fresh(&self, now: Moment) -> bool {
        now < self.fresh_until
    }

    /// Forgets what is too old.
    pub fn age(&mut self, now: Moment) {
        let today = time_of(now);
        let old: Vec<CrashKey> = self
            .crashes
            .iter()
            .filter(|(_, crash)| span_between(crash.at, today) >= CRASH_LIFE)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.drop_crash(key);
        }
        self.cleared.retain(|_, note| span_between(note.at, today) < CLEARED_LIFE);
        let news = &mut self.news;
        self.quarantines.retain(|print, quarantine| {
            let lives = span_between(quarantine.asked, today) < QUARANTINE_LIFE;
            if !lives {
                news.push(QuarantineNews::Expired(*print));
            }
            lives
        });
    }

    /// Returns how quarantines began and ended since the last call.
    pub fn take_news(&mut self) -> Vec<QuarantineNews> {
        std::mem::take(&mut self.news)
    }

    /// Returns how many requests are quarantined.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.len()
    }

    fn take_quarantine(&mut self, now: Moment, mark: &QuarantineMark, kept: bool) {
        let since = time_before(now, mark.age_ms);
        let asked = time_before(now, mark.asked_ms);
        if span_between(asked, time_of(now)) >= QUARANTINE_LIFE {
            return;
        }
        if let Some(known) = self.quarantines.get_mut(&mark.print) {
            known.asked = known.asked.max(asked);
            known.kept |= kept;
            return;
        }
        // Peers that have not heard yet that it was answered still tell of it.
        if self.cleared.get(&mark.print).is_some_and(|cleared| cleared.at >= since) {
            return;
        }
        let quarantine = Quarantine { since, asked, asked_here: since, kept };
        self.add_quarantine(mark.print, quarantine);
        self.news.push(QuarantineNews::Heard(mark.print));
    }

    fn add_quarantine(&mut self, print: RequestPrint, quarantine: Quarantine) {
        self.quarantines.insert(print, quarantine);
        if self.quarantines.len() > QUARANTINES_LIMIT {
            let oldest = self.quarantines.iter().min_by_key(|(_, it)| it.asked);
            if let Some(oldest) = oldest.map(|(print, _)| *print) {
                self.quarantines.remove(&oldest);
                self.news.push(QuarantineNews::Expired(oldest));
            }
        }
    }

    fn add_run(
        &mut self,
        now: Moment,
        target: TargetKey,
        at: LedgerTime,
        print: RequestPrint,
        note: RunNote,
    ) {
        let is_cleared = self.cleared.get(&print).is_some_and(|cleared| cleared.at >= at);
        if is_cleared || span_between(at, time_of(now)) >= CRASH_LIFE {
            return;
        }
        let key = self.crash_near(target, at).unwrap_or((target, at));
        let crash =
            self.crashes.entry(key).or_insert_with(|| CrashNote { at, runs: BTreeMap::new() });
        if crash.runs.contains_key(&print) {
            return;
        }
        crash.runs.insert(print, note);
        *self.counts.entry(print).or_default() += 1;
        self.run_count += 1;
        if self.crashes.len() > CRASHES_LIMIT || self.run_count > RUNS_LIMIT {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.drop_crash(oldest);
            }
        }
    }

    /// Returns the crash of a target that is known and was at this time.
    fn crash_near(&self, target: TargetKey, at: LedgerTime) -> Option<CrashKey> {
        let span = LedgerTime::try_from(SAME_CRASH_SPAN.as_micros()).unwrap_or(LedgerTime::MAX);
        let near = (target, at.saturating_sub(span))..=(target, at.saturating_add(span));
        self.crashes.range(near).next().map(|(key, _)| *key)
    }

    fn drop_crash(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(&key) else { return };
        for print in crash.runs.keys() {
            self.uncount(*print);
        }
    }

    fn uncount(&mut self, print: RequestPrint) {
        self.run_count -= 1;
        if let Some(count) = self.counts.get_mut(&print) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&print);
            }
        }
    }

    /// Notes that a request was answered: whatever crashed before, it was not under this one.
    fn clear(&mut self, print: RequestPrint, note: ClearedNote) {
        let at = note.at;
        if self.cleared.get(&print).is_some_and(|known| known.at >= at) {
            return;
        }
        self.cleared.insert(print, note);
        if self.cleared.len() > RUNS_LIMIT {
            let oldest = self.cleared.iter().min_by_key(|(_, note)| note.at);
            if let Some(oldest) = oldest.map(|(print, _)| *print) {
                self.cleared.remove(&oldest);
            }
        }
        let before = self.crashes.iter().filter(|(_, crash)| crash.at <= at);
        let ended: Vec<CrashKey> = before
            .filter(|(_, crash)| crash.runs.contains_key(&print))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            if let Some(crash) = self.crashes.get_mut(&key) {
                crash.runs.remove(&print);
                self.uncount(print);
            }
        }
        if self.quarantines.get(&print).is_some_and(|quarantine| quarantine.since <= at) {
            self.quarantines.remove(&print);
            self.news.push(QuarantineNews::Cleared(print));
        }
    }

    /// Returns a request's case, and when nothing new will have been heard of it for long enough. What a request that is
    /// quarantined already has crashed is nobody else's.
    fn case_of(
        &self,
        now: Moment,
        print: RequestPrint,
        targets: usize,
    ) -> Option<(BlameCase, Moment)> {
        let open: Vec<&CrashNote> = self
            .crashes
            .values()
            .filter(|crash| !crash.runs.keys().any(|it| self.quarantines.contains_key(it)))
            .collect();
        let own: Vec<&CrashNote> =
            open.iter().filter(|crash| crash.runs.contains_key(&print)).copied().collect();
        let today = time_of(now);
        let first = own.iter().map(|crash| crash.at).min()?;
        let span = span_between(first, today).max(crash_blame::LEAST_SPAN);
        let others = open.iter().filter(|crash| !crash.runs.contains_key(&print));
        let elsewhere = others.filter(|crash| span_between(crash.at, today) <= span).count();
        let counts = counts_of(&open);
        let crashes: Vec<SharedCrash> =
            own.iter().filter_map(|crash| shared(crash, print, &counts)).collect();
        let heard = own.iter().filter_map(|crash| crash.runs.get(&print)).map(|note| note.heard);
        let settled = heard.max()? + SETTLE_SPAN;
        let is_enough = crashes.len() >= crash_blame::LEAST_CRASHES;
        is_enough.then_some((BlameCase { crashes, elsewhere, span, targets }, settled))
    }

    /// Returns what this VM has noted itself within `span`, or `all` that it knows, and what is quarantined.
    fn news_of(&self, now: Moment, span: Duration, all: bool) -> CrashNews {
        let is_told = |own: bool, heard: Moment| all || (own && now.since(heard) < span);
        let mut told: Vec<(Moment, CrashMark)> = Vec::new();
        for ((target, _), crash) in &self.crashes {
            let age_ms = millis_between(crash.at, now);
            for (print, note) in crash.runs.iter().filter(|(_, note)| is_told(note.own, note.heard))
            {
                let ran_ms = u32::try_from(note.ran.as_millis()).unwrap_or(u32::MAX);
                let mark = CrashMark { print: *print, target: *target, age_ms, ran_ms };
                told.push((note.heard, mark));
            }
        }
        told.sort_by_key(|(heard, _)| std::cmp::Reverse(*heard));
        told.truncate(MARKS_LIMIT);
        let cleared = self.cleared.iter().filter(|(_, note)| is_told(note.own, note.heard));
        let cleared = cleared.take(MARKS_LIMIT);
        let cleared_mark = |(print, note): (&RequestPrint, &ClearedNote)| ClearedMark {
            print: *print,
            age_ms: millis_between(note.at, now),
        };
        CrashNews {
            crashes: told.into_iter().map(|(_, mark)| mark).collect(),
            cleared: cleared.map(cleared_mark).collect(),
            quarantined: self.quarantines.iter().map(|(print, it)| it.mark(now, *print)).collect(),
        }
    }
}

impl Quarantine {
    fn mark(&self, now: Moment, print: RequestPrint) -> QuarantineMark {
        QuarantineMark {
            print,
            age_ms: millis_between(self.since, now),
            asked_ms: millis_between(self.asked_here, now),
        }
    }
}

/// Returns how many of `crashes` each request has.
fn counts_of(crashes: &[&CrashNote]) -> BTreeMap<RequestPrint, usize> {
    let mut counts = BTreeMap::new();
    for print in crashes.iter().flat_map(|crash| crash.runs.keys()) {
        *counts.entry(*print).or_default() += 1;
    }
    counts
}

fn shared(
    crash: &CrashNote,
    print: RequestPrint,
    counts: &BTreeMap<RequestPrint, usize>,
) -> Option<SharedCrash> {
    let ran = crash.runs.get(&print)?.ran;
    let beside: BTreeSet<&RequestPrint> = crash.runs.keys().filter(|it| **it != print).collect();
    let most = beside.into_iter().filter_map(|it| counts.get(it)).max();
    Some(SharedCrash { ran, most_beside: most.copied().unwrap_or(0) })
}

fn time_of(now: Moment) -> LedgerTime {
    LedgerTime::try_from(now.0).unwrap_or(LedgerTime::MAX)
}

fn time_before(now: Moment, age_ms: u32) -> LedgerTime {
    time_of(now) - LedgerTime::from(age_ms) * 1_000
}

fn span_between(earlier: LedgerTime, later: LedgerTime) -> Duration {
    Duration::from_micros(u64::try_from(later - earlier).unwrap_or(0))
}

fn millis_between(earlier: LedgerTime, now: Moment) -> u32 {
    u32::try_from(span_between(earlier, time_of(now)).as_millis()).unwrap_or(u32::MAX)
}
