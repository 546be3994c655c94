//! Refuses quarantined requests, and delays those for which the quarantine is not decided yet.

use std::time::Duration;

use crate::{
    crash_ledger::{CrashUpdate, CrashedRun, PartCrashUpdate, QuarantineStatus},
    crash_suspect::RequestFeatures,
    effect::{Effect, EffectBuffer, OperatorNotice},
    entry::EntryCore,
    entry_admission,
    event::{CallerRequest, FinalAnswer},
    ids::{OrganisationName, RequestSequence, ServiceKey, TargetKey},
    message::{PeerMessage, RefuseReason},
    prompt_part::{PartId, PromptPart},
    request_fingerprint::{RequestContent, RequestFingerprint},
    units::Moment,
};

/// A request that waits until it is decided whether it caused crashes.
#[derive(Debug)]
pub(crate) struct UndecidedRequest {
    /// The end of the wait.
    pub until: Moment,
    /// The request, with the time to its deadline when it arrived.
    pub request: CallerRequest,
    /// What may make it crash targets.
    pub features: RequestFeatures,
    /// When it arrived.
    arrived: Moment,
}

impl EntryCore {
    /// Admits a request, delays it, or refuses it if it is quarantined.
    pub(crate) fn admit_or_quarantine(
        &mut self,
        now: Moment,
        request: CallerRequest,
        effects: &mut EffectBuffer,
    ) {
        let features = features_of(&request);
        self.decide_admission(now, request, features, effects);
    }

    fn decide_admission(
        &mut self,
        now: Moment,
        request: CallerRequest,
        features: RequestFeatures,
        effects: &mut EffectBuffer,
    ) {
        let status = if self.is_draining() || !self.crashes.is_suspect(&features) {
            QuarantineStatus::Clear
        } else {
            let targets = self.target_count(&request);
            self.crashes.quarantine_status(now, &features, targets)
        };
        match status {
            QuarantineStatus::Clear => self.admit(now, request, features, effects),
            QuarantineStatus::Undecided(until) => {
                let until = until.min(now + request.deadline);
                self.undecided.push(UndecidedRequest { until, request, features, arrived: now });
            }
            QuarantineStatus::Quarantined(span) => {
                let (sequence, has_key) = (request.sequence, request.key.is_some());
                let reason = RefuseReason::Quarantined;
                let answer = FinalAnswer::NotRun { reason, retry_after: Some(span) };
                let answer = entry_admission::unclaimed_answer(answer, has_key);
                effects.push(Effect::FinishAnswer { sequence, answer });
            }
        }
    }

    /// Returns the number of targets of the request's service.
    fn target_count(&self, request: &CallerRequest) -> usize {
        let catalog = self.configuration.catalog();
        let service = ServiceKey::of(&request.service.as_str().into());
        catalog.scopes_of(service).iter().map(|scope| catalog.targets_of(*scope).count()).sum()
    }

    /// Decides on the delayed requests that are due.
    pub(crate) fn admit_decided(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let due: Vec<UndecidedRequest> =
            self.undecided.extract_if(.., |waiting| waiting.until <= now).collect();
        for UndecidedRequest { mut request, features, arrived, .. } in due {
            // A deadline of zero makes the admission refuse the request as too late.
            request.deadline = request.deadline.saturating_sub(now.since(arrived));
            self.decide_admission(now, request, features, effects);
        }
    }

    /// Drops a delayed request whose caller has disconnected.
    pub(crate) fn drop_undecided(&mut self, sequence: RequestSequence) {
        self.undecided.retain(|waiting| waiting.request.sequence != sequence);
    }

    /// Records that a target crashed while it ran a request, and reports it to all peers. The end
    /// of a target that had announced to leave is no crash.
    pub(crate) fn target_crashed(
        &mut self,
        now: Moment,
        target: TargetKey,
        features: RequestFeatures,
        ran_ms: u32,
        effects: &mut EffectBuffer,
    ) {
        if self.is_leaving(target) {
            return;
        }
        self.notices.push(OperatorNotice::TargetCrashed {
            target,
            features: features.clone(),
            ran_ms,
        });
        let ran = Duration::from_millis(u64::from(ran_ms));
        let run = CrashedRun { features, ran };
        self.crashes.record_crash(now, target, &[run]);
        let update = self.crashes.own_update(now);
        self.send_crash_update(&update, effects);
    }

    /// Sends an update on crashes to all peers, unless it is empty.
    pub(crate) fn send_crash_update(&mut self, update: &CrashUpdate, effects: &mut EffectBuffer) {
        if *update == CrashUpdate::default() {
            return;
        }
        for peer in self.peers.iter() {
            let (crashes, parts) = (update.clone(), update.parts.clone());
            let has_parts = parts != PartCrashUpdate::default();
            let parts = has_parts.then_some(PeerMessage::PartCrashes(parts));
            for message in parts.into_iter().chain([PeerMessage::Crashes(crashes)]) {
                effects.push(Effect::Send { to: peer.name.clone(), message });
            }
        }
    }
}

/// Returns what may make a request crash targets: itself, and the leading blocks of its prompt.
fn features_of(request: &CallerRequest) -> RequestFeatures {
    let service = ServiceKey::of(&request.service.as_str().into());
    let ids = request.prefixes.iter().map(|prefix| PartId(u64::from(*prefix)));
    let parts = PromptPart::list(service, &ids.collect::<Vec<PartId>>());
    RequestFeatures { fingerprint: fingerprint_of(request), parts }
}

fn fingerprint_of(request: &CallerRequest) -> RequestFingerprint {
    let caller = OrganisationName::from(request.organisation.as_str());
    RequestFingerprint::of(&RequestContent {
        caller: Some(&caller),
        method: &request.call.method,
        host: &request.service,
        path: &request.call.path,
        body: std::slice::from_ref(&request.call.body),
    })
}
