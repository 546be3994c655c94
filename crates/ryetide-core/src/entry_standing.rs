//! Requests that crash targets: they are sent to none, and what may be one waits until that is known.

use std::time::Duration;

use crate::{
    crash_ledger::{CrashNews, CrashedRun, RequestStanding},
    effect::{Effect, EffectBuffer, Notice},
    entry::EntryCore,
    entry_admission,
    event::{CallerRequest, FinalAnswer},
    ids::{OrganisationName, RequestSequence, ServiceKey, TargetKey},
    message::{PeerMessage, RefuseReason},
    request_print::{RequestContent, RequestPrint},
    units::Moment,
};

/// A request that waits until it is known what it has to do with crashes.
#[derive(Debug)]
pub(crate) struct UnsettledRequest {
    /// Until when.
    pub until: Moment,
    /// The request, with the time that its caller had left when it came.
    pub request: CallerRequest,
    /// By what it is known again.
    pub print: RequestPrint,
    /// When it came.
    came: Moment,
}

impl EntryCore {
    /// Takes a request in, unless it crashes targets.
    pub(crate) fn take_in(
        &mut self,
        now: Moment,
        request: CallerRequest,
        effects: &mut EffectBuffer,
    ) {
        let print = print_of(&request);
        self.take_in_known(now, request, print, effects);
    }

    fn take_in_known(
        &mut self,
        now: Moment,
        request: CallerRequest,
        print: RequestPrint,
        effects: &mut EffectBuffer,
    ) {
        let standing = if self.is_draining() || !self.crashes.is_suspect(print) {
            RequestStanding::Clear
        } else {
            let targets = self.target_count(&request);
            self.crashes.standing(now, print, targets)
        };
        match standing {
            RequestStanding::Clear => self.arrive(now, request, print, effects),
            RequestStanding::Unsettled(until) => {
                let until = until.min(now + request.deadline);
                self.unsettled.push(UnsettledRequest { until, request, print, came: now });
            }
            RequestStanding::Quarantined(life) => {
                let (sequence, has_key) = (request.sequence, request.key.is_some());
                let reason = RefuseReason::Quarantined;
                let answer = FinalAnswer::NotRun { reason, retry_after: Some(life) };
                let answer = entry_admission::without_claim(answer, has_key);
                effects.push(Effect::FinishAnswer { sequence, answer });
            }
        }
    }

    fn target_count(&self, request: &CallerRequest) -> usize {
        let catalog = self.configuration.catalog();
        let service = ServiceKey::of(&request.service.as_str().into());
        catalog.scopes_of(service).iter().map(|scope| catalog.targets_of(*scope).count()).sum()
    }

    /// Takes those in of which it is known by now.
    pub(crate) fn settle(&mut self, now: Moment, effects: &mut EffectBuffer) {
        let due: Vec<UnsettledRequest> =
            self.unsettled.extract_if(.., |waiting| waiting.until <= now).collect();
        for UnsettledRequest { mut request, print, came, .. } in due {
            // With no time left it is told at once that it came too late.
            request.deadline = request.deadline.saturating_sub(now.since(came));
            self.take_in_known(now, request, print, effects);
        }
    }

    /// Forgets a request whose caller has gone.
    pub(crate) fn forget_unsettled(&mut self, sequence: RequestSequence) {
        self.unsettled.retain(|waiting| waiting.request.sequence != sequence);
    }

    /// A target has crashed under a request. One that was leaving has ended as it said it would.
    pub(crate) fn target_crashed(
        &mut self,
        now: Moment,
        target: TargetKey,
        print: RequestPrint,
        ran_ms: u32,
        effects: &mut EffectBuffer,
    ) {
        if self.is_leaving(target) {
            return;
        }
        self.notices.push(Notice::TargetCrashed { target, print, ran_ms });
        let ran = Duration::from_millis(u64::from(ran_ms));
        self.crashes.note_crash(now, target, &[CrashedRun { print, ran }]);
        let news = self.crashes.brief_news(now);
        self.tell_crashes(&news, effects);
    }

    /// Tells all peers what is known of crashes, if there is anything.
    pub(crate) fn tell_crashes(&mut self, news: &CrashNews, effects: &mut EffectBuffer) {
        if *news == CrashNews::default() {
            return;
        }
        for peer in self.peers.iter() {
            let message = PeerMessage::Crashes(news.clone());
            effects.push(Effect::Send { to: peer.name.clone(), message });
        }
    }
}

fn print_of(request: &CallerRequest) -> RequestPrint {
    let caller = OrganisationName::from(request.organisation.as_str());
    RequestPrint::of(&RequestContent {
        caller: Some(&caller),
        method: &request.call.method,
        host: &request.service,
        path: &request.call.path,
        body: &request.call.body,
    })
}
