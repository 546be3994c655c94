//! One caller's request, from its head to its last byte.
//!
//! What may run once only is sent once; only a target's own word that it did not run, or a connection
//! that could not be opened, lets it go to another target. Work that may be repeated is sent again
//! within its route's attempts and the budget of repeats.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    header::{self, HeaderValue},
    http,
};
use ryetide_core::{
    decision::{Decision, PlacementEvidence, RunEnd},
    ids::{RouteKey, ServiceName, TargetKey},
    quota::QuotaCharge,
    request_fingerprint::RequestFingerprint,
    rollout_evidence::RunSample,
    route::{MatchedRoute, WorkKind},
    target_load::TargetEntry,
    units::{Moment, Tokens},
    wait_queue::WaitingRequest,
};
use tokio::time::{self, Instant};

use crate::{
    call_template::{CallTemplate, CallTurn},
    caller_answer::{CallerResponse, OwnAnswer, OwnReason},
    crash_watch::{BrokenRun, CrashWatch},
    decision_log::{ExchangeSpans, LogId},
    gateway_state::Gateway,
    ports::WorkSize,
    quota_wait,
    relay_fault::RelayFault,
    run_fault::RunFault,
    scheduler_hub::RequestTicket,
    standing_wait::{self, StandingVerdict},
    target_answer::{self, AnswerKind, TargetAnswer},
    target_pool::ConnectionChoice,
    target_words,
};

/// Work that may be repeated is tried elsewhere when nothing has come after this long...
const HANG_LEAST: Duration = Duration::from_millis(300);
/// ...or after this many times what was expected, whichever is longer.
const HANG_FACTOR: u32 = 5;
/// A stream's first event may take this long before the stream is tried elsewhere, at the least.
const FIRST_EVENT_LEAST: Duration = Duration::from_millis(1_200);
/// When to come back after the only target tried turned the request away.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(500);
/// Connections that may fail to open before a request is given up; each costs at most 300 ms.
const CONNECT_TRIES: u32 = 6;

/// How a dispatch ended.
pub enum DispatchEnd {
    /// The head of the target's own answer has come.
    Answer(Box<TargetAnswer>),
    /// The gateway answers itself.
    Own(OwnAnswer),
}

/// How one send ended.
enum SendEnd {
    Answer(Box<TargetAnswer>),
    /// Nothing was sent.
    Unreachable,
    /// The target said that it did not run.
    TurnedAway,
    /// It may have run.
    Lost(RunFault),
    /// The route's time is over.
    TimedOut,
}

/// A request under way.
pub struct Exchange {
    gateway: Rc<Gateway>,
    ticket: RequestTicket,
    matched: MatchedRoute,
    service: ServiceName,
    template: CallTemplate,
    size: WorkSize,
    id: Option<HeaderValue>,
    fingerprint: RequestFingerprint,
    arrived: Moment,
    /// For how long its caller had waited before, when it has come back.
    waited: Duration,
    deadline_at: Moment,
    /// Targets on which it has run, or may have.
    attempts: u32,
    excluded: Vec<TargetKey>,
    charge: Option<QuotaCharge>,
    evidence: Option<PlacementEvidence>,
    target: Option<TargetEntry>,
    placed_at: Option<Moment>,
    /// When it was placed last.
    sent_at: Moment,
    first_at: Option<Moment>,
    last_at: Option<Moment>,
    /// Pieces of the answer that came.
    pieces: u32,
    longest_pause: Duration,
    ended: bool,
}

/// What was read of a request before it is taken in.
pub struct CallerCall {
    /// The head.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
    /// When the head had come.
    pub arrived: Moment,
}

impl Exchange {
    /// Begins to serve a request.
    ///
    /// # Errors
    ///
    /// Returns what the gateway answers itself.
    pub fn begin(
        gateway: &Rc<Gateway>,
        matched: MatchedRoute,
        call: CallerCall,
    ) -> Result<Self, OwnAnswer> {
        let CallerCall { head, body, arrived } = call;
        let names = gateway.names();
        let size = gateway.read_size(&head.headers);
        let holder = matched.holder.as_ref().map(|holder| &holder.name);
        let fingerprint = standing_wait::fingerprint_of(&head, &body, holder);
        let template = CallTemplate::new(&head, body, names, holder).map_err(|error| {
            tracing::debug!(event = "request-unwritable", step = "read head", reason = %error);
            OwnAnswer::new(OwnReason::BadRequest)
        })?;
        let service = matched.route.pick_service(&mut rand::rng()).cloned();
        let service =
            service.ok_or(OwnAnswer::new(OwnReason::NoTarget).with_retry(TURNED_AWAY_RETRY))?;
        let timeout = matched.route.timeout;
        // A deadline that is no number tells nothing; the route's time holds then.
        let deadline =
            head.headers.get(&names.deadline).and_then(|it| it.to_str().ok()?.parse().ok());
        let told = deadline.map(Duration::from_millis);
        let waited = told.map_or(Duration::ZERO, |left| gateway.waited(&matched.route.name, left));
        let deadline = told.unwrap_or(timeout).min(timeout);
        let id = head.headers.get(&names.request_id).cloned();
        Ok(Self {
            ticket: gateway.hub().take_ticket(),
            gateway: Rc::clone(gateway),
            service,
            template,
            size,
            id,
            fingerprint,
            arrived,
            waited,
            deadline_at: arrived + deadline,
            attempts: 0,
            excluded: Vec::new(),
            charge: None,
            evidence: None,
            target: None,
            placed_at: None,
            sent_at: arrived,
            first_at: None,
            last_at: None,
            pieces: 0,
            longest_pause: Duration::ZERO,
            ended: false,
            matched,
        })
    }

    /// Waits until it is known whether the request crashes the targets that run it.
    ///
    /// # Errors
    ///
    /// Returns what to answer when it does, and must be sent to none.
    pub async fn await_standing(&self) -> Result<(), OwnAnswer> {
        let (fingerprint, until) = (self.fingerprint, self.timeout_at());
        match standing_wait::await_standing(&self.gateway, fingerprint, &self.service, until).await
        {
            StandingVerdict::MaySend => Ok(()),
            StandingVerdict::TimedOut => Err(OwnAnswer::new(OwnReason::TimedOut)),
            StandingVerdict::Quarantined(life) => {
                self.gateway.log().quarantined(&self.log_id(), life);
                Err(OwnAnswer::new(OwnReason::Quarantined).with_retry(life))
            }
        }
    }

    /// Takes what the request costs from its organisation's quota, after a wait where that helps.
    ///
    /// # Errors
    ///
    /// Returns what to answer when the quota is used up.
    pub async fn charge_quota(&mut self) -> Result<(), OwnAnswer> {
        let Some(holder) = &self.matched.holder else { return Ok(()) };
        let now = self.gateway.hub().clock().now();
        let ask = quota_wait::ask_of(now, holder, self.size.quota_tokens(), &self.work());
        let Some(ask) = ask else { return Ok(()) };
        match self.ticket.request_quota(ask).await {
            Ok(()) => {
                self.charge = Some(ask.charge);
                Ok(())
            }
            Err(wait) => {
                let heard_part = self.gateway.reachable_share();
                self.gateway.log().over_quota(&self.log_id(), &holder.name, heard_part, wait);
                Err(OwnAnswer::new(OwnReason::OverQuota).with_retry(wait))
            }
        }
    }

    /// Returns the gateway.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Returns whether the answer is to be passed on event by event.
    pub fn is_stream(&self) -> bool {
        self.matched.route.kind.is_stream()
    }

    /// Returns whether another run is permitted by the route's kind.
    pub fn is_repeatable(&self) -> bool {
        self.matched.route.kind.is_repeatable()
    }

    /// Returns whether the route permits one more run than those that were begun.
    pub fn may_run_again(&self) -> bool {
        self.is_repeatable() && self.attempts < self.matched.route.attempts
    }

    /// Returns when the request's time is over.
    pub fn timeout_at(&self) -> Instant {
        self.gateway.hub().clock().instant(self.deadline_at)
    }

    /// Returns how long the first event may take before the stream is tried elsewhere.
    pub fn first_limit(&self) -> Duration {
        let expected = self.evidence.map_or(Duration::ZERO, |evidence| evidence.forecast.first);
        (expected * HANG_FACTOR).max(FIRST_EVENT_LEAST)
    }

    /// Lets the request wait for its first place, and sends it.
    pub async fn run_first(&mut self) -> DispatchEnd {
        let work = self.work();
        let decision = self.ticket.enter(work).await;
        self.follow(decision, None).await
    }

    /// Sends a request that has run, or may have, to another target, if that is permitted.
    pub async fn run_again(&mut self, last_event: Option<&str>) -> DispatchEnd {
        self.ticket.end(RunEnd::Failed);
        if !self.may_run_again() {
            return DispatchEnd::Own(OwnAnswer::new(OwnReason::TargetFailed));
        }
        if let Err(answer) = self.await_standing().await {
            return DispatchEnd::Own(answer);
        }
        match self.ticket.enter_again(self.work(), true).await {
            None => DispatchEnd::Own(OwnAnswer::new(OwnReason::TargetFailed)),
            Some(Decision::Refuse { .. }) => {
                DispatchEnd::Own(OwnAnswer::new(OwnReason::TargetFailed))
            }
            decision => self.follow(decision, last_event).await,
        }
    }

    /// Follows decisions until an answer's head has come or none will.
    async fn follow(
        &mut self,
        mut decision: Option<Decision>,
        last_event: Option<&str>,
    ) -> DispatchEnd {
        let mut unreachable = 0;
        loop {
            let (target, evidence) = match decision {
                Some(Decision::Place { target, evidence, .. }) => (target, evidence),
                Some(Decision::Refuse { reason, retry_after, waiting, .. }) => {
                    self.gateway.log().refused(&self.log_id(), reason.into(), retry_after, waiting);
                    return DispatchEnd::Own(OwnAnswer::new(reason.into()).with_retry(retry_after));
                }
                None => {
                    return DispatchEnd::Own(
                        OwnAnswer::new(OwnReason::TurnedAway).with_retry(TURNED_AWAY_RETRY),
                    );
                }
            };
            self.note_placed(&target, evidence);
            let (end, arrived_there) = match self.send(&target, last_event).await {
                SendEnd::Answer(answer) => return DispatchEnd::Answer(answer),
                SendEnd::TimedOut => return DispatchEnd::Own(OwnAnswer::new(OwnReason::TimedOut)),
                SendEnd::Lost(why) => {
                    self.note_target_fault(&target, why);
                    return Box::pin(self.run_again(last_event)).await;
                }
                SendEnd::Unreachable => (RunEnd::Unreachable, false),
                SendEnd::TurnedAway => (RunEnd::TurnedAway, true),
            };
            self.ticket.end(end);
            unreachable += u32::from(!arrived_there);
            if unreachable >= CONNECT_TRIES {
                return DispatchEnd::Own(
                    OwnAnswer::new(OwnReason::NoTarget).with_retry(TURNED_AWAY_RETRY),
                );
            }
            if arrived_there {
                self.excluded.push(target.key());
            }
            decision = self.ticket.enter_again(self.work(), arrived_there).await;
        }
    }

    /// Sends the request to one target and waits for the head of its answer.
    async fn send(&mut self, target: &TargetEntry, last_event: Option<&str>) -> SendEnd {
        let choice =
            if self.is_repeatable() { ConnectionChoice::Kept } else { ConnectionChoice::Fresh };
        let mut connection = match self.gateway.connect(target, choice).await {
            Ok(connection) => connection,
            Err(fault) => {
                self.gateway.log().unreachable(&self.log_id(), target, &fault);
                return SendEnd::Unreachable;
            }
        };
        // The connection took its time, and the process may have been stopped meanwhile.
        let left = self.deadline_at.since(self.gateway.hub().clock().now());
        if left < Duration::from_millis(1) {
            return SendEnd::TimedOut;
        }
        if self.gateway.fleet().has_left(target) {
            return SendEnd::Unreachable;
        }
        let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let turn = CallTurn { target, deadline_ms, last_event };
        let request = match self.template.build(self.gateway.names(), &turn) {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(event = "request-unwritable", target = %target.name, reason = %error);
                return SendEnd::Lost(RunFault::Unwritable);
            }
        };
        self.attempts += 1;
        let timeout = self.timeout_at();
        let until = self.head_limit().map_or(timeout, |limit| timeout.min(Instant::now() + limit));
        let sending = time::timeout_at(until, connection.send(request));
        // An answer that has come is taken, whatever became of the target since.
        let sent = tokio::select! {
            biased;
            sent = sending => sent,
            () = self.gateway.fleet().life_ended(target) => return SendEnd::Lost(RunFault::Restarted),
        };
        let response = match sent {
            Err(_) if until == timeout => return SendEnd::TimedOut,
            Err(_) => return SendEnd::Lost(RunFault::Silent),
            Ok(Err(fault)) => {
                self.gateway.log().lost(&self.log_id(), target, &fault, connection.is_kept());
                return SendEnd::Lost(RunFault::Broken);
            }
            Ok(Ok(response)) => response,
        };
        let word = target_answer::word_of(&response, self.gateway.names());
        let kind = target_answer::kind_of(&response, self.gateway.names(), self.id.as_ref());
        let is_answer = matches!(kind, AnswerKind::Own | AnswerKind::NotRun);
        let asked = is_answer.then_some(self.sent_at);
        target_words::heed(&self.gateway, &self.log_id(), target, word, asked);
        match kind {
            AnswerKind::NotRun => {
                self.attempts -= 1;
                SendEnd::TurnedAway
            }
            AnswerKind::Foreign => SendEnd::Lost(RunFault::ForeignAnswer),
            AnswerKind::Unsigned => SendEnd::Lost(RunFault::UnsignedAnswer),
            AnswerKind::Own => {
                let (head, body) = response.into_parts();
                let target = target.clone();
                SendEnd::Answer(Box::new(TargetAnswer { head, body, connection, target }))
            }
        }
    }

    /// How long the head of an answer may take before the work is tried elsewhere. There is no limit
    /// where it may not be: giving up an answer that is being made would only lose it.
    fn head_limit(&self) -> Option<Duration> {
        if !self.may_run_again() {
            return None;
        }
        let expected = self.evidence.map_or(Duration::ZERO, |evidence| evidence.forecast.first);
        match self.matched.route.kind {
            WorkKind::Repeatable => Some((expected * HANG_FACTOR).max(HANG_LEAST)),
            WorkKind::Stream { resumable: true } => Some(self.first_limit()),
            WorkKind::OnceOnly | WorkKind::Stream { resumable: false } => None,
        }
    }

    /// Answers the caller itself.
    pub fn answer_own(mut self, mut answer: OwnAnswer) -> CallerResponse {
        if self.attempts > 0 {
            answer = answer.after_dispatch();
        } else if answer.reason == OwnReason::TimedOut {
            answer.reason = OwnReason::OutOfTime;
        }
        if self.attempts == 0
            && let Some(charge) = self.charge.take()
        {
            self.gateway.hub().with(|scheduler, _| scheduler.refund(charge));
        }
        self.finish(RunEnd::Failed);
        self.gateway.answer_own(self.id.as_ref(), answer)
    }

    /// Notes a piece of the answer.
    pub fn note_piece(&mut self) {
        if self.is_stream() {
            self.ticket.record_event();
        }
        self.pieces += 1;
        let now = self.gateway.hub().clock().now();
        if let Some(last) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.gateway.metrics().note_first(self.matched.tier(), now.since(self.arrived));
        }
    }

    /// Notes that a target failed the request, which is then not sent there again.
    pub fn note_target_fault(&mut self, target: &TargetEntry, fault: RunFault) {
        let log_id = self.log_id();
        self.gateway.log().target_failed(&log_id, target, fault.name(), self.attempts);
        if fault == RunFault::Failed {
            // A failure that is the target's own answer shows as well that it has not crashed.
            self.record_answered();
        }
        if fault.tells_of_version() {
            self.record_run(target, None);
        }
        if fault.may_be_end() {
            let ran = self.gateway.hub().clock().now().since(self.sent_at);
            let run =
                BrokenRun { request: log_id.id.to_owned(), fingerprint: self.fingerprint, ran };
            CrashWatch::note(&self.gateway, target, run);
        }
        self.excluded.push(target.key());
    }

    /// Notes that a stream was broken off.
    pub fn note_broken(&self, fault: RelayFault) {
        self.gateway.metrics().count_outcome("broken-off");
        self.gateway.log().broken_off(&self.log_id(), fault.into());
    }

    /// Notes the end of the request.
    pub fn finish(&mut self, end: RunEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.ticket.end(end);
        let now = self.gateway.hub().clock().now();
        if end == RunEnd::Whole {
            self.record_answered();
            if let Some(target) = self.target.as_ref().filter(|_| self.attempts <= 1) {
                // Long answers take longer than short ones, whatever the version.
                let pace = now.since(self.sent_at) / self.pieces.saturating_add(1);
                self.record_run(target, Some(pace));
            }
            self.gateway.metrics().count_outcome("answered");
            let total = now.since(self.arrived);
            self.gateway.metrics().note_total(self.matched.tier(), total);
        }
        let spans = ExchangeSpans {
            placed: self.placed_at.map(|at| at.since(self.arrived)),
            first: self.first_at.map(|at| at.since(self.arrived)),
            longest_pause: self.longest_pause,
            total: now.since(self.arrived),
        };
        let target = self.target.as_ref();
        self.gateway.log().ended(&self.log_id(), end, target, self.attempts, &spans);
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn keep_connection(&self, answer: TargetAnswer) {
        let closes = answer
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            let named = target_answer::kept_for(&answer.head.headers);
            self.gateway.pool().keep(answer.target.key(), answer.connection, named);
        }
    }

    /// Notes what an answer shows of its target's version.
    fn record_run(&self, target: &TargetEntry, pace: Option<Duration>) {
        let route = RouteKey::of(&self.matched.route.name);
        let note = RunSample { target: target.key(), route, sent: self.sent_at, pace };
        let now = self.gateway.hub().clock().now();
        self.gateway.hub().peek_mut(|scheduler| scheduler.record_run(now, note));
    }

    fn record_answered(&self) {
        let (now, fingerprint) = (self.gateway.hub().clock().now(), self.fingerprint);
        self.gateway.hub().peek_mut(|it| it.crashes_mut().record_answered(now, fingerprint));
    }

    fn note_placed(&mut self, target: &TargetEntry, evidence: PlacementEvidence) {
        let now = self.gateway.hub().clock().now();
        self.placed_at = Some(self.placed_at.unwrap_or(now));
        self.sent_at = now;
        self.evidence = Some(evidence);
        self.target = Some(target.clone());
        let waited = now.since(self.arrived);
        self.gateway.metrics().note_waited(self.matched.tier(), waited);
        let revision = self.gateway.fleet().revision();
        self.gateway.log().placed(&self.log_id(), target, &evidence, waited, revision);
    }

    /// Returns what the scheduler must know of the request.
    fn work(&self) -> WaitingRequest {
        let route = &self.matched.route;
        let engine = self.gateway.fleet().engine(&self.service);
        let prompt = self.size.prompt.unwrap_or_default();
        let Tokens(output) = self.size.expected_output();
        let per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
        // A caller who has had events waits anew after each of them; measured from its arrival, it
        // would count as gone in the middle of a long stream that only has to go on elsewhere.
        let heard = self.last_at.unwrap_or(self.arrived);
        let leave_at = route
            .patience
            .map_or(self.deadline_at, |patience| self.deadline_at.min(heard + patience));
        let pause = route.pause.filter(|_| self.last_at.is_some());
        let asked = if self.last_at.is_some() { heard } else { heard.before(self.waited) };
        let objective_at = asked + pause.unwrap_or(route.objective);
        WaitingRequest {
            ticket: self.ticket.number(),
            service: self.service.clone(),
            tier: self.matched.tier(),
            route_tier: route.tier,
            engine: route.kind.is_stream(),
            prompt,
            prompt_hash: self.size.prompt_hash,
            events: u32::try_from(output / u64::from(per_event)).unwrap_or(u32::MAX),
            arrived: self.arrived,
            is_retry: !self.waited.is_zero(),
            objective_at,
            leave_at,
            pause: route.pause,
            begun: self.last_at.is_some(),
            excluded: self.excluded.clone(),
        }
    }

    /// Returns how logs name the request.
    fn log_id(&self) -> LogId<'_> {
        LogId {
            // An id that is no text is passed on as it is, and cannot be printed.
            id: self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
            sequence: self.ticket.number(),
            fingerprint: self.fingerprint,
            route: &self.matched.route.name,
            waited_before: self.waited,
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.gateway.metrics().count_outcome("caller-left");
            self.finish(RunEnd::Abandoned);
        }
    }
}
