//! The log of decisions about requests and targets.
//!
//! There is one line for each decision about a request and for each change of a target's state,
//! with the request's id, the reason and the outcome. The rate of lines is limited: lines above the
//! limit are counted, and the count is logged. Writing never blocks the gateway's thread; see
//! [`ryetide::log`].

use std::{cell::RefCell, time::Duration};

use ryetide_core::{
    crash_suspect::CrashSuspect,
    decision::{BorrowingEvidence, PlacementEvidence, RunEnd},
    ids::{OrganisationName, RequestSequence, ServiceName, TargetName, VmName},
    origin_inquiry::OriginVerdict,
    policy_update::SlotGrant,
    request_fingerprint::RequestFingerprint,
    retry_budget::RetryLevel,
    scheduler_shares::ShareExceeded,
    target_load::TargetEntry,
    target_notice::TargetNotice,
    units::{RequestRate, Revision},
};
use tokio::time::Instant;

use crate::{
    fault_detector::BrokenRun,
    target_answer::AnswerFraming,
    target_pool::{ConnectFault, SendFault},
};

/// The sustained rate of lines per second. It permits several lines for each request at one VM; at
/// about 10 microseconds a line, that takes less than 0.3 % of a core.
const LINES_PER_SECOND: f64 = 250.0;
/// The number of lines that may be written in a burst.
const LINE_BURST: f64 = 500.0;
/// The interval at which the number of dropped lines is logged.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The identification of a request in logs.
#[derive(Clone, Copy, Debug)]
pub struct LogId<'a> {
    /// The id that the caller assigned.
    pub id: &'a str,
    /// Its number at this VM.
    pub sequence: RequestSequence,
    /// Its fingerprint, which is the same when the request is repeated with another id.
    pub fingerprint: RequestFingerprint,
    /// Its route.
    pub route: &'a str,
    /// How long the caller had waited in earlier attempts.
    pub waited_before: Duration,
    /// The stream that the request takes up, as its caller names it; empty if it names none.
    pub resumes: &'a str,
}

/// The durations of the phases of a request, measured from its arrival.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimings {
    /// Until it was first assigned to a target.
    pub placed: Option<Duration>,
    /// Until the first event of its answer, or until the whole answer if it is not a stream.
    pub first: Option<Duration>,
    /// The longest time between two events.
    pub longest_pause: Duration,
    /// Until its end.
    pub total: Duration,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun<'a> {
    /// The end.
    pub end: RunEnd,
    /// The target to which the request was assigned last.
    pub target: Option<&'a TargetEntry>,
    /// The number of dispatches that ran or may have run.
    pub attempts: u32,
    /// What marked the end of the answer, if a target answered.
    pub framing: Option<AnswerFraming>,
}

/// The figures of a refusal.
#[derive(Clone, Copy, Debug)]
pub struct RefusalEvidence {
    /// The delay after which the caller should retry.
    pub retry_after: Duration,
    /// Requests that were queued.
    pub waiting: usize,
    /// The time until the interval in which a place is booked for the caller, if one is.
    pub booked_after: Option<Duration>,
    /// What the VM could use of other cells.
    pub borrowing: BorrowingEvidence,
}

#[derive(Debug)]
struct LineBudget {
    tokens: f64,
    refilled: Instant,
    dropped: u64,
    drops_reported: Instant,
}

/// Writes decisions to the log at a limited rate.
#[derive(Debug)]
pub struct DecisionLog {
    vm: VmName,
    budget: RefCell<LineBudget>,
}

impl DecisionLog {
    /// Creates the log of `vm`, whose name is on every line because the logs of several VMs are
    /// read together.
    pub fn new(vm: VmName) -> Self {
        let now = Instant::now();
        let budget =
            LineBudget { tokens: LINE_BURST, refilled: now, dropped: 0, drops_reported: now };
        Self { vm, budget: RefCell::new(budget) }
    }

    /// Logs that a request was assigned to a target.
    pub fn placed(
        &self,
        request: &LogId<'_>,
        target: &TargetEntry,
        evidence: &PlacementEvidence,
        waited: Duration,
        revision: Revision,
    ) {
        if !self.permits() {
            return;
        }
        tracing::info!(
            event = "placed",
            vm = %self.vm,
            request = request.id,
            sequence = request.sequence.0,
            print = %request.fingerprint,
            route = request.route,
            resumes = request.resumes,
            target = %target.name,
            life = %target.incarnation,
            version = %target.version,
            %revision,
            waited_ms = millis(waited),
            waited_before_ms = millis(request.waited_before),
            expected_ms = millis(evidence.forecast.first),
            to_read = evidence.forecast.to_read.0,
            running = evidence.running,
            line = evidence.waiting,
            late = evidence.late,
            on_time = evidence.forecast.on_time,
        );
    }

    /// Logs that a request is sent to a target of another cell under a grant.
    pub fn slot_borrowed(
        &self,
        request: &LogId<'_>,
        target: &TargetEntry,
        evidence: &PlacementEvidence,
    ) {
        if self.permits() {
            tracing::info!(
                event = "slot-borrowed",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                target = %target.name,
                data_centre = %target.data_centre,
                expected_ms = millis(evidence.forecast.first),
                line = evidence.waiting,
            );
        }
    }

    /// Logs that this VM grants slots of a target to a VM of another cell.
    pub fn slots_granted(&self, target: &TargetName, grant: &SlotGrant) {
        if self.permits() {
            tracing::info!(
                event = "slots-granted",
                vm = %self.vm,
                %target,
                slots = grant.slots,
                borrower = %grant.borrower,
            );
        }
    }

    /// Logs that a shortage of a service's slots has begun (`wanted` is some) or ended.
    pub fn shortage(&self, service: &ServiceName, wanted: Option<u16>) {
        if self.permits() {
            let begun = wanted.is_some();
            tracing::info!(event = "shortage", vm = %self.vm, %service, begun, wanted);
        }
    }

    /// Logs that a request was refused with a retry delay.
    pub fn refused(&self, request: &LogId<'_>, why: &'static str, evidence: &RefusalEvidence) {
        if self.permits() {
            tracing::info!(
                event = "refused",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                route = request.route,
                reason = why,
                retry_ms = millis(evidence.retry_after),
                line = evidence.waiting,
                waited_before_ms = millis(request.waited_before),
                booked_ms = evidence.booked_after.map(millis),
                granted = evidence.borrowing.granted,
                borrowed_targets = evidence.borrowing.targets,
            );
        }
    }

    /// Logs that a request was refused with a retry delay because its organisation's quota is used
    /// up.
    ///
    /// `reachable_share` is the share of the entry VMs that this one can reach, and thus the share of the
    /// quota that it may allocate.
    pub fn over_quota(
        &self,
        request: &LogId<'_>,
        organisation: &OrganisationName,
        reachable_share: f64,
        retry: Duration,
    ) {
        if self.permits() {
            tracing::info!(
                event = "over-quota",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                route = request.route,
                %organisation,
                heard_part = reachable_share,
                retry_ms = millis(retry),
            );
        }
    }

    /// Logs that an organisation has used more engine time than its share while requests wait.
    pub fn share_exceeded(
        &self,
        organisation: Option<&OrganisationName>,
        exceeded: &ShareExceeded,
    ) {
        if self.permits() {
            tracing::info!(
                event = "share-exceeded",
                vm = %self.vm,
                organisation = organisation.map(tracing::field::display),
                organisation_key = exceeded.organisation.0,
                service = %exceeded.service,
                used_ms = millis(exceeded.used),
                share_ms = millis(exceeded.share),
            );
        }
    }

    /// Logs that no connection to a target could be opened, so nothing was sent. `reaching_peers`
    /// is the number of peers that have requests running there.
    pub fn unreachable(
        &self,
        request: &LogId<'_>,
        target: &TargetEntry,
        fault: &ConnectFault,
        reaching_peers: usize,
    ) {
        if self.permits() {
            tracing::warn!(
                event = "target-unreachable",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                target = %target.name,
                peer = %target.address,
                reaching_peers,
                reason = %fault,
            );
        }
    }

    /// Logs that this VM has lost its path to a target which a peer reaches.
    pub fn path_lost(&self, target: &TargetEntry, lost: usize) {
        tracing::warn!(event = "path-lost", vm = %self.vm, target = %target.name, peer = %target.address, lost);
    }

    /// Logs that this VM reaches a target again. `lost` targets remain out of its reach.
    pub fn path_found(&self, target: &TargetEntry, lost: usize) {
        tracing::info!(event = "path-found", vm = %self.vm, target = %target.name, peer = %target.address, lost);
    }

    /// Logs that a peer has opened the connection to a target for a request.
    pub fn through_peer(&self, request: &str, target: &TargetEntry, peer: &VmName) {
        if self.permits() {
            tracing::info!(
                event = "through-peer",
                vm = %self.vm,
                request,
                target = %target.name,
                through = %peer,
            );
        }
    }

    /// Logs that a request was sent but its answer was lost. `reused` tells whether the
    /// connection had been open before.
    pub fn answer_lost(
        &self,
        request: &LogId<'_>,
        target: &TargetEntry,
        fault: &SendFault,
        reused: bool,
    ) {
        if self.permits() {
            tracing::warn!(
                event = "answer-lost",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                target = %target.name,
                kept_connection = reused,
                reason = %fault,
            );
        }
    }

    /// Logs that a target failed to answer a request.
    pub fn target_failed(
        &self,
        request: &LogId<'_>,
        target: &TargetEntry,
        why: &'static str,
        attempts: u32,
    ) {
        if self.permits() {
            tracing::warn!(
                event = "target-failed",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                print = %request.fingerprint,
                target = %target.name,
                reason = why,
                attempts,
            );
        }
    }

    /// Logs a notice that a target sent with an answer.
    pub fn notice(&self, request: &LogId<'_>, target: &TargetEntry, notice: TargetNotice) {
        if self.permits() {
            tracing::info!(
                event = "target-word",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                target = %target.name,
                leaving = notice.leaving,
                known_before = target.leaving,
                hold_off_ms = notice.hold_off.map(millis),
                limit = notice.limit.rate().map(tracing::field::display),
            );
        }
    }

    /// Logs that a target has changed or removed its request rate limit.
    pub fn limit(&self, request: &LogId<'_>, target: &TargetEntry, limit: Option<RequestRate>) {
        tracing::info!(
            event = "target-limit",
            vm = %self.vm,
            request = request.id,
            target = %target.name,
            limit = limit.map(tracing::field::display),
        );
    }

    /// Logs that a service's targets are brittle, or no longer are.
    pub fn brittle(&self, request: &LogId<'_>, target: &TargetEntry, is_brittle: bool) {
        tracing::info!(
            event = "service-brittle",
            vm = %self.vm,
            request = request.id,
            service = %target.service,
            target = %target.name,
            is_brittle,
        );
    }

    /// Logs that a target has crashed, with the requests of this VM that it was running.
    /// `reaching_peers` is the number of peers that have requests running there.
    pub fn crashed(&self, target: &TargetEntry, runs: &[BrokenRun], reaching_peers: usize) {
        for run in runs {
            if self.permits() {
                tracing::warn!(
                    event = "target-crashed",
                    vm = %self.vm,
                    request = run.request,
                    print = %run.features.fingerprint,
                    parts = run.features.part_list(),
                    target = %target.name,
                    peer = %target.address,
                    ran_ms = millis(run.ran),
                    runs = runs.len(),
                    reaching_peers,
                );
            }
        }
    }

    /// Logs that a request was refused because `suspect`, itself or a part of its prompt, is in
    /// quarantine. The quarantine ends when no request with it arrives for the time `ttl`.
    pub fn quarantined(&self, request: &LogId<'_>, suspect: Option<CrashSuspect>, ttl: Duration) {
        if self.permits() {
            tracing::info!(
                event = "quarantined",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                print = %request.fingerprint,
                part = suspect.and_then(CrashSuspect::part).map(tracing::field::display),
                route = request.route,
                retry_ms = millis(ttl),
            );
        }
    }

    /// Logs at which version a stream goes on that the caller takes up.
    pub fn taken_up(&self, request: &LogId<'_>, verdict: OriginVerdict) {
        if !self.permits() {
            return;
        }
        let version = match verdict {
            OriginVerdict::At(origin) => Some(origin.version.0),
            OriginVerdict::Nowhere => None,
        };
        tracing::info!(
            event = "taken-up",
            vm = %self.vm,
            request = request.id,
            sequence = request.sequence.0,
            route = request.route,
            resumes = request.resumes,
            version,
        );
    }

    /// Logs that the gateway aborted a stream to its caller.
    pub fn broken_off(&self, request: &LogId<'_>, why: &'static str) {
        if self.permits() {
            tracing::warn!(
                event = "broken-off",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                reason = why,
            );
        }
    }

    /// Logs whether the retry budget permitted to send a request to another target. `uptime` is how
    /// long this process has been running.
    pub fn retry(
        &self,
        request: &LogId<'_>,
        permitted: bool,
        level: &RetryLevel,
        uptime: Duration,
    ) {
        if self.permits() {
            tracing::info!(
                event = "retry",
                vm = %self.vm,
                request = request.id,
                sequence = request.sequence.0,
                route = request.route,
                permitted,
                credit = format_args!("{:.2}", level.credit),
                vms = level.vm_count,
                uptime_ms = millis(uptime),
            );
        }
    }

    /// Logs that the gateway itself answered a request.
    pub fn own_answer(&self, request: &str, status: u16, why: &'static str) {
        if self.permits() {
            tracing::info!(event = "own-answer", vm = %self.vm, request, status, reason = why);
        }
    }

    /// Logs the end of a request.
    pub fn ended(&self, request: &LogId<'_>, run: &EndedRun<'_>, spans: &ExchangeTimings) {
        if !self.permits() {
            return;
        }
        tracing::info!(
            event = "ended",
            vm = %self.vm,
            request = request.id,
            sequence = request.sequence.0,
            route = request.route,
            outcome = end_name(run.end),
            target = run.target.map(|target| target.name.as_str()).unwrap_or_default(),
            attempts = run.attempts,
            framing = run.framing.map(AnswerFraming::name),
            placed_ms = spans.placed.map(millis),
            first_ms = spans.first.map(millis),
            longest_pause_ms = millis(spans.longest_pause),
            total_ms = millis(spans.total),
        );
    }

    /// Returns whether a line may be written, and logs the number of dropped lines when that is
    /// due.
    fn permits(&self) -> bool {
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        let elapsed = now.duration_since(budget.refilled).as_secs_f64();
        budget.tokens = (budget.tokens + elapsed * LINES_PER_SECOND).min(LINE_BURST);
        budget.refilled = now;
        if budget.tokens < 1.0 {
            budget.dropped += 1;
            return false;
        }
        budget.tokens -= 1.0;
        if budget.dropped > 0 && now.duration_since(budget.drops_reported) > DROP_REPORT_INTERVAL {
            budget.drops_reported = now;
            tracing::warn!(event = "log-lines-dropped", count = budget.dropped);
            budget.dropped = 0;
        }
        true
    }
}

fn end_name(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Whole => "answered",
        RunEnd::Failed | RunEnd::TimedOut | RunEnd::Unsettled => "failed",
        RunEnd::TurnedAway => "turned-away",
        RunEnd::Unreachable => "unreachable",
        RunEnd::Abandoned => "caller-left",
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
