//! Admission of requests: validates them, claims their idempotency keys, and answers at once those
//! that cannot run.

use std::time::Duration;

use crate::{
    catalog::ServiceRule,
    chart::{self, RequestEvent, RequestState},
    claim::{self, ClaimStep},
    crash_suspect::RequestFeatures,
    effect::{Effect, EffectBuffer},
    entry::EntryCore,
    event::{CallerRequest, FinalAnswer, RejectReason, TableAnswer, TableCommand, UnknownReason},
    ids::{AttemptNumber, OrganisationKey, RequestId, RequestSequence, ServiceKey, TableToken},
    message::{ClaimOutcome, PeerMessage, RefuseReason, RequestProfile, RequestRef},
    request::RequestRecord,
    target_notice::TargetNotice,
    units::{ByteSize, Moment, TierRank},
};

/// The retry delay while this VM shuts down. By then the load balancer no longer sends requests to
/// this VM.
pub(crate) const DRAINING_RETRY: Duration = Duration::from_secs(1);
/// The retry delay while no configuration is in force.
const EMPTY_RETRY: Duration = Duration::from_secs(2);
/// The retry delay while the table service cannot record a claim.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);
/// The retry delay while a service that this one depends on is down.
const DEPENDENCY_RETRY: Duration = Duration::from_secs(2);
/// The retry delay while an earlier request with the same key is still in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

impl EntryCore {
    /// Admits a request that is not quarantined, or answers it at once if it cannot run.
    pub(crate) fn admit(
        &mut self,
        now: Moment,
        request: CallerRequest,
        features: RequestFeatures,
        effects: &mut EffectBuffer,
    ) {
        let sequence = request.sequence;
        match self.check_runnable(&request) {
            Ok((profile, rule_limit)) => {
                let claim_key =
                    request.key.as_ref().map(|key| claim::row_key(&request.organisation, key));
                let record = RequestRecord {
                    state: chart::request().initial(),
                    profile,
                    features,
                    call: Some(request.call),
                    deadline: now + request.deadline,
                    arrived: now,
                    non_idempotent: request.non_idempotent,
                    claim_key,
                    caller_gone: false,
                    slot: None,
                    refused_by: Vec::new(),
                    refusal: None,
                    attempt: AttemptNumber(0),
                    route: None,
                    notice: TargetNotice::default(),
                    answer_limit: rule_limit,
                    connection_open: false,
                    dispatched: None,
                    first_piece: None,
                    last_piece: None,
                    pieces: 0,
                    head_sent: false,
                    received: 0,
                    events: None,
                    idle_resumes: 0,
                    wake: None,
                };
                self.requests.insert(sequence, record);
                self.claim_or_ask(now, sequence, effects);
            }
            Err(answer) => {
                let answer = unclaimed_answer(answer, request.key.is_some());
                effects.push(Effect::FinishAnswer { sequence, answer });
            }
        }
    }

    /// Checks whether a request can run as far as is known on arrival. Returns its profile and the
    /// limit on the length of its answer, or the answer that refuses it.
    fn check_runnable(
        &self,
        request: &CallerRequest,
    ) -> Result<(RequestProfile, ByteSize), FinalAnswer> {
        let not_run = |reason, retry| FinalAnswer::NotRun { reason, retry_after: Some(retry) };
        if self.is_draining() {
            return Err(not_run(RefuseReason::Draining, DRAINING_RETRY));
        }
        if self.configuration.in_force().is_none() {
            return Err(not_run(RefuseReason::NoConfiguration, EMPTY_RETRY));
        }
        let (service, profile) = self.resolve(request).map_err(FinalAnswer::Rejected)?;
        if self.has_dependency_down(profile.service) {
            return Err(not_run(RefuseReason::DependencyDown, DEPENDENCY_RETRY));
        }
        Ok((profile, service.body_limit))
    }

    /// Validates a request and looks up the service, organisation and tier that it names.
    fn resolve(
        &self,
        request: &CallerRequest,
    ) -> Result<(&ServiceRule, RequestProfile), RejectReason> {
        let catalog = self.configuration.catalog();
        let service_key = ServiceKey::of(&request.service.as_str().into());
        let service = catalog
            .service(service_key)
            .filter(|rule| rule.name.as_str() == request.service)
            .ok_or(RejectReason::UnknownService)?;
        let organisation = OrganisationKey::of(&request.organisation.as_str().into());
        catalog
            .organisations()
            .get(&organisation)
            .filter(|rule| rule.name.as_str() == request.organisation)
            .ok_or(RejectReason::UnknownOrganisation)?;
        let (tier, _) = catalog.tier(&request.tier).ok_or(RejectReason::UnknownTier)?;
        if request.deadline.is_zero() {
            return Err(RejectReason::DeadlinePast);
        }
        if request.non_idempotent && request.key.is_none() {
            return Err(RejectReason::KeyMissing);
        }
        if request.call.body.len() as u64 > service.body_limit.0 {
            return Err(RejectReason::BodyTooLarge);
        }
        let profile = RequestProfile {
            service: service_key,
            organisation,
            tier,
            prompt: request.prompt,
            output_limit: request.output_limit,
            prefixes: request.prefixes.clone(),
        };
        Ok((service, profile))
    }

    /// Returns whether a service that `service` depends on has no usable target in any data centre,
    /// according to this VM's own arbiters and the heartbeats of its peers.
    fn has_dependency_down(&self, service: ServiceKey) -> bool {
        let catalog = self.configuration.catalog();
        let down = |dependency: &ServiceKey| {
            catalog.scopes_of(*dependency).iter().all(|scope| self.scope_is_down(*scope))
        };
        catalog.dependencies_of(service).iter().any(down)
    }

    /// Claims the request's idempotency key, or asks for a slot if it has none.
    fn claim_or_ask(&mut self, now: Moment, sequence: RequestSequence, effects: &mut EffectBuffer) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        let claims = self.options.switches.claim_first;
        let Some(key) = record.claim_key.clone().filter(|_| claims) else {
            record.handle(RequestEvent::Admit);
            self.ask_for_slot(now, sequence, effects);
            return;
        };
        record.handle(RequestEvent::Claim);
        let deadline = record.deadline;
        let limit = now + self.wait_limit(sequence);
        self.requests.set_wake(sequence, Some(deadline.min(limit)));
        let token = self.take_token();
        let step = self.claims.begin(sequence, key, token);
        self.apply_claim_step(now, sequence, step, token, effects);
    }

    /// Returns how long requests of this request's tier may wait.
    pub(crate) fn wait_limit(&self, sequence: RequestSequence) -> Duration {
        let tier = self.requests.get(sequence).map_or(TierRank(0), |record| record.profile.tier);
        let tiers = self.configuration.catalog().tiers();
        tiers.get(usize::from(tier.0)).map_or(Duration::ZERO, |rule| rule.wait)
    }

    /// Handles the table service's answer to a claim's command.
    pub(crate) fn handle_claim_answer(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        answer: &TableAnswer,
        effects: &mut EffectBuffer,
    ) {
        let token = self.take_token();
        let mut tokens = || token;
        let step = self.claims.handle_table_answer(sequence, answer, &mut tokens);
        self.apply_claim_step(now, sequence, step, token, effects);
    }

    /// Carries out the next step of a claim.
    fn apply_claim_step(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        step: ClaimStep,
        token: TableToken,
        effects: &mut EffectBuffer,
    ) {
        match step {
            ClaimStep::Command(command) => effects.push(Effect::Table { token, command }),
            ClaimStep::Held => {
                let Some(record) = self.requests.get_mut(sequence) else {
                    return;
                };
                if record.handle(RequestEvent::Claimed) {
                    self.ask_for_slot(now, sequence, effects);
                }
            }
            ClaimStep::Query(holder) => self.query_holder(now, sequence, holder, effects),
            ClaimStep::Earlier(outcome) => self.answer_repeated(now, sequence, outcome, effects),
            ClaimStep::Unavailable => {
                self.finish_key_unchecked(now, sequence, PLATFORM_RETRY, effects);
            }
        }
    }

    /// Asks the VM that holds a key for the outcome of its request.
    fn query_holder(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        holder: RequestId,
        effects: &mut EffectBuffer,
    ) {
        if self.claims.is_own(&holder) {
            let outcome = self.claims.outcome_of(holder.sequence);
            self.apply_outcome(now, sequence, outcome, effects);
            return;
        }
        let peer = self.peers.alive().find(|peer| peer.name == holder.vm);
        if peer.is_none_or(|peer| peer.incarnation != Some(holder.incarnation)) {
            let token = self.take_token();
            let step = self.claims.handle_unreachable_holder(sequence, token);
            self.apply_claim_step(now, sequence, step, token, effects);
            return;
        }
        let until = now + claim::QUERY_TIMEOUT;
        self.claims.set_query_deadline(sequence, until);
        self.requests.set_wake(sequence, Some(until));
        let to = holder.vm.clone();
        let ask = RequestRef { incarnation: self.incarnation_tag(), sequence };
        effects.push(Effect::Send { to, message: PeerMessage::OutcomeQuery { holder, ask } });
    }

    /// Handles the outcome that the holder of a key reported.
    pub(crate) fn apply_outcome(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        outcome: ClaimOutcome,
        effects: &mut EffectBuffer,
    ) {
        let token = self.take_token();
        let step = self.claims.handle_outcome(sequence, outcome, token);
        self.apply_claim_step(now, sequence, step, token, effects);
    }

    /// Handles a claim that timed out: the holder of the key or the table service did not answer.
    pub(crate) fn handle_claim_timeout(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        if self.claims.query_deadline(sequence).is_some_and(|until| now >= until) {
            let token = self.take_token();
            let step = self.claims.handle_unreachable_holder(sequence, token);
            self.apply_claim_step(now, sequence, step, token, effects);
            return;
        }
        self.finish_key_unchecked(now, sequence, PLATFORM_RETRY, effects);
    }

    /// Ends a request that does not hold the claim on its key, with the outcome "unknown".
    ///
    /// The request itself did not run and never will, but an earlier one with the same key may
    /// have. A caller that received "not run" would repeat the work under a new key.
    fn finish_key_unchecked(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        retry: Duration,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else { return };
        if !record.handle(RequestEvent::LoseTrack) {
            return;
        }
        let reason = UnknownReason::KeyUnchecked;
        let answer = FinalAnswer::Unknown { reason, retry_after: Some(retry) };
        self.finish(now, sequence, answer, effects);
    }

    /// Answers a request whose key belongs to an earlier request, with that request's outcome.
    ///
    /// This request never runs, but "not run" would be wrong: its caller needs to know whether the
    /// work was done, and the earlier request may have done it.
    fn answer_repeated(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        outcome: ClaimOutcome,
        effects: &mut EffectBuffer,
    ) {
        let unknown = |reason, retry_after| FinalAnswer::Unknown { reason, retry_after };
        let answer = match outcome {
            ClaimOutcome::Answered(Some(kept)) => FinalAnswer::Replayed(kept),
            ClaimOutcome::Answered(None) => unknown(UnknownReason::EarlierAnswered, None),
            ClaimOutcome::InProgress => {
                unknown(UnknownReason::EarlierInProgress, Some(IN_PROGRESS_RETRY))
            }
            ClaimOutcome::Unknown | ClaimOutcome::NotRun => {
                unknown(UnknownReason::EarlierUnknown, None)
            }
        };
        if let Some(record) = self.requests.get_mut(sequence) {
            record.handle(RequestEvent::LoseTrack);
            // The key belongs to the earlier request, whose outcome `finish` must not overwrite.
            record.claim_key = None;
        }
        self.finish(now, sequence, answer, effects);
    }

    /// Ends a request whose caller disconnected before it was dispatched.
    pub(crate) fn finish_abandoned(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        self.finish_before_dispatch(now, sequence, RefuseReason::CallerGone, None, effects);
    }

    /// Ends a request that is not dispatched yet because this VM shuts down.
    pub(crate) fn finish_draining(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        effects: &mut EffectBuffer,
    ) {
        let (reason, retry) = (RefuseReason::Draining, Some(DRAINING_RETRY));
        self.finish_before_dispatch(now, sequence, reason, retry, effects);
    }

    /// Ends a request that was not dispatched: with "unknown" while its key is being claimed, else
    /// with "not run".
    fn finish_before_dispatch(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        reason: RefuseReason,
        retry: Option<Duration>,
        effects: &mut EffectBuffer,
    ) {
        let state = self.requests.get(sequence).map(|record| record.state);
        if state == Some(RequestState::Claiming) {
            self.finish_key_unchecked(now, sequence, retry.unwrap_or(PLATFORM_RETRY), effects);
        } else {
            self.give_up(now, sequence, reason, retry, effects);
        }
    }

    /// Ends a request that was not dispatched with the answer "not run".
    pub(crate) fn give_up(
        &mut self,
        now: Moment,
        sequence: RequestSequence,
        reason: RefuseReason,
        retry_after: Option<Duration>,
        effects: &mut EffectBuffer,
    ) {
        let Some(record) = self.requests.get_mut(sequence) else {
            return;
        };
        if !record.handle(RequestEvent::GiveUp) {
            return;
        }
        if record.connection_open {
            let attempt = record.attempt;
            effects.push(Effect::Abandon { sequence, attempt });
        }
        self.finish(now, sequence, FinalAnswer::NotRun { reason, retry_after }, effects);
    }

    /// Sends a command of a claim to the table service without waiting for the answer.
    pub(crate) fn send_command(&mut self, command: TableCommand, effects: &mut EffectBuffer) {
        let token = self.take_token();
        effects.push(Effect::Table { token, command });
    }
}

/// Returns the answer to a request whose claim was not made: "not run" becomes "unknown" if it has
/// a key, because an earlier request with the same key may have run.
pub(crate) fn unclaimed_answer(answer: FinalAnswer, has_key: bool) -> FinalAnswer {
    match answer {
        FinalAnswer::NotRun { retry_after, .. } if has_key => {
            FinalAnswer::Unknown { reason: UnknownReason::KeyUnchecked, retry_after }
        }
        other => other,
    }
}
