//! Tests of single decisions of an entry VM that the fault matrix does not cover separately.

use std::time::Duration;

use bytes::Bytes;
use ryetide_core::{
    crash_suspect::RequestFeatures,
    effect::{Effect, EffectBuffer},
    entry::{EntryCore, EntryOptions},
    event::{
        AnswerHead, CallerRequest, Event, FinalAnswer, RejectReason, TableAnswer, TableCommand,
        TableRow, TargetCall, TargetOperation, UnknownReason,
    },
    ids::{
        AttemptNumber, DataCentreName, Incarnation, RequestId, RequestSequence, ServiceKey,
        TableToken, TargetKey, VmName,
    },
    message::{
        ClaimOutcome, HeartbeatMessage, IncarnationTag, PeerMessage, RefuseReason, RequestRef,
    },
    prompt_part::{PartId, PromptPart},
    request_fingerprint::RequestFingerprint,
    safeguard::SafeguardSwitches,
    units::{Moment, Tokens},
};

const TEXT: &str = include_str!("fault_matrix/services.yaml");

struct Bench {
    core: EntryCore,
    now: Moment,
}

impl Bench {
    fn new(switches: SafeguardSwitches) -> Self {
        let options =
            EntryOptions::new(VmName::from("e1"), DataCentreName::from("here"), Incarnation(1))
                .with_switches(switches);
        Self { core: EntryCore::new(options), now: Moment(1) }
    }

    /// Creates a VM that has a configuration in force.
    fn serving(switches: SafeguardSwitches) -> Self {
        let mut bench = Self::new(switches);
        let token = table_token(&bench.step(Event::Tick))
            .expect("the VM should read the configuration row");
        let value = serde_json::json!({"revision": 1, "operation": 1, "text": TEXT}).to_string();
        let answer = TableAnswer::Row(Some(TableRow { version: 1, value }));
        bench.step(Event::TableReplied { token, answer });
        bench
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.now = Moment(self.now.0 + 1_000);
        let mut effects = EffectBuffer::new(1_000);
        self.core.step(self.now, event, &mut effects);
        effects.drain().collect()
    }

    fn receive(&mut self, message: PeerMessage) -> Vec<Effect> {
        self.step(Event::PeerMessage {
            from: VmName::from("e2"),
            incarnation: Incarnation(2),
            address: ([127, 0, 0, 1], 7_001).into(),
            data_centre: DataCentreName::from("here"),
            message,
        })
    }
}

fn table_token(effects: &[Effect]) -> Option<TableToken> {
    effects.iter().find_map(|effect| match effect {
        Effect::Table { token, .. } => Some(*token),
        _ => None,
    })
}

fn answers(effects: &[Effect]) -> Vec<FinalAnswer> {
    let answer = |effect: &Effect| match effect {
        Effect::FinishAnswer { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

fn request(sequence: u64, service: &str, key: Option<&str>) -> CallerRequest {
    CallerRequest {
        sequence: RequestSequence(sequence),
        service: service.to_owned(),
        organisation: "asha".to_owned(),
        tier: "urgent".to_owned(),
        deadline: Duration::from_secs(5),
        non_idempotent: key.is_some(),
        key: key.map(str::to_owned),
        prompt: Tokens(10),
        output_limit: Tokens(10),
        prefixes: Vec::new(),
        call: TargetCall {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            content_type: String::new(),
            body: Bytes::from_static(b"x"),
        },
    }
}

/// Returns whether a late reply makes this VM take over a key that another VM holds, so that the
/// request would run twice.
///
/// An earlier incarnation of this VM asked e2 for the outcome of a request. The reply "not run"
/// arrives after the restart, when the same sequence number belongs to another request, whose key
/// e2 still holds.
fn late_reply_takes_a_key_over(switches: SafeguardSwitches) -> bool {
    let mut bench = Bench::serving(switches);
    bench.receive(PeerMessage::Heartbeat(HeartbeatMessage::default()));
    let effects = bench.step(Event::Arrived(request(1, "records", Some("order"))));
    let token = table_token(&effects).expect("the VM should claim the key");
    let holder = RequestId {
        vm: VmName::from("e2"),
        incarnation: Incarnation(2),
        sequence: RequestSequence(9),
    };
    let value = serde_json::json!({"holder": holder}).to_string();
    let answer = TableAnswer::Conflict(Some(TableRow { version: 4, value }));
    bench.step(Event::TableReplied { token, answer });
    let ask = RequestRef { incarnation: IncarnationTag(77), sequence: RequestSequence(1) };
    let effects = bench.receive(PeerMessage::OutcomeReply { ask, outcome: ClaimOutcome::NotRun });
    let takes = |effect: &Effect| {
        matches!(effect, Effect::Table { command: TableCommand::Write { expected: 4, .. }, .. })
    };
    effects.iter().any(takes)
}

#[test]
fn replies_for_an_earlier_incarnation_are_dropped() {
    assert!(!late_reply_takes_a_key_over(SafeguardSwitches::default()));
    let off = SafeguardSwitches::without("life_check").unwrap();
    assert!(late_reply_takes_a_key_over(off), "the safeguard prevents nothing");
}

#[test]
fn without_a_configuration_requests_are_refused() {
    let mut bench = Bench::new(SafeguardSwitches::default());
    let effects = bench.step(Event::Arrived(request(1, "drafting", None)));
    assert!(matches!(
        answers(&effects).as_slice(),
        [FinalAnswer::NotRun { reason: RefuseReason::NoConfiguration, retry_after: Some(_) }]
    ));
    let effects = bench.step(Event::Arrived(request(2, "records", Some("order"))));
    assert!(matches!(
        answers(&effects).as_slice(),
        [FinalAnswer::Unknown { reason: UnknownReason::KeyUnchecked, .. }]
    ));
}

#[test]
fn a_non_idempotent_request_needs_a_key() {
    let mut bench = Bench::serving(SafeguardSwitches::default());
    let keyless = CallerRequest { non_idempotent: true, ..request(1, "records", None) };
    let effects = bench.step(Event::Arrived(keyless));
    assert_eq!(answers(&effects), [FinalAnswer::Rejected(RejectReason::KeyMissing)]);
}

/// Guards against prefill work that is wasted: if a service's dependency has no usable target, its
/// requests must be refused on arrival.
#[test]
fn a_dependency_that_is_down_refuses_at_once() {
    let mut bench = Bench::serving(SafeguardSwitches::default());
    // This VM arbitrates `records`, and the platform's list marks its only target as leaving.
    bench.step(Event::Arrived(request(1, "records", None)));
    bench.step(Event::ListRead(vec![ryetide_core::event::ListedVm {
        name: "r1".to_owned(),
        data_centre: DataCentreName::from("here"),
        peer_address: None,
        leaving: true,
    }]));
    let effects = bench.step(Event::Arrived(request(2, "drafting", None)));
    assert!(matches!(
        answers(&effects).as_slice(),
        [FinalAnswer::NotRun { reason: RefuseReason::DependencyDown, .. }]
    ));
}

/// Guards against nondeterminism and lossy encoding: the same events, decoded from JSON, must
/// produce the same effects.
#[test]
fn a_recorded_run_replays() {
    let mut events = vec![Event::Tick];
    events.extend((1..50).map(|number| Event::Arrived(request(number, "drafting", None))));
    let recorded = serde_json::to_string(&events).unwrap();
    let replayed: Vec<Event> = serde_json::from_str(&recorded).unwrap();
    let run = |events: Vec<Event>| {
        let mut bench = Bench::serving(SafeguardSwitches::default());
        events.into_iter().flat_map(|event| bench.step(event)).collect::<Vec<Effect>>()
    };
    let (first, second) = (run(events), run(replayed));
    assert_eq!(first, second);
    assert!(first.iter().any(|effect| matches!(effect, Effect::Connect { .. })), "nothing ran");
}

/// Guards against event orders that dispatch or answer a request twice, or that answer "not run"
/// after the dispatch without a refusal by the target.
#[test]
fn random_events_dispatch_and_answer_at_most_once() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|script| {
        let mut bench = Bench::serving(SafeguardSwitches::default());
        let (mut dispatched, mut answered) = (Vec::new(), Vec::new());
        for (kind, number, detail) in script {
            let sequence = RequestSequence(u64::from(number % 4));
            let attempt = ryetide_core::ids::AttemptNumber(u32::from(detail % 4));
            let event = match kind % 9 {
                0 if bench.core.status().requests.is_empty() || detail % 2 == 0 => {
                    let next = RequestSequence(u64::from(*number));
                    if answered.contains(&next) || dispatched.contains(&next) {
                        continue;
                    }
                    Event::Arrived(request(next.0, "drafting", None))
                }
                1 => Event::Connected { sequence, attempt },
                2 => Event::ConnectFailed { sequence, attempt },
                3 => {
                    let bytes = Bytes::from_static(b"abc");
                    Event::TargetPiece { sequence, attempt, offset: u64::from(detail % 7), bytes }
                }
                4 => Event::TargetEnd { sequence, attempt, length: u64::from(detail % 7) },
                5 => Event::TargetBroken { sequence, attempt },
                6 => Event::TargetRefused { sequence, attempt, leaving: detail % 2 == 0 },
                7 => Event::CallerGone { sequence },
                _ => {
                    bench.now = bench.now + Duration::from_millis(u64::from(*detail) * 40);
                    Event::Tick
                }
            };
            for effect in bench.step(event) {
                match effect {
                    Effect::Permit {
                        sequence,
                        order: ryetide_core::event::TargetOperation::Dispatch { .. },
                        ..
                    } => {
                        assert!(!dispatched.contains(&sequence), "dispatched twice");
                        dispatched.push(sequence);
                    }
                    Effect::FinishAnswer { sequence, answer } => {
                        assert!(!answered.contains(&sequence), "answered twice");
                        answered.push(sequence);
                        let ran = dispatched.contains(&sequence);
                        let refused = matches!(
                            answer,
                            FinalAnswer::NotRun { reason: RefuseReason::TargetRefused, .. }
                        );
                        let not_run = matches!(answer, FinalAnswer::NotRun { .. }) && !refused;
                        assert!(!(ran && not_run), "answered \"not run\" after the dispatch");
                    }
                    _ => {}
                }
            }
        }
    });
}

/// Guards against a stream that its engine breaks off inside an event and that looks complete.
#[test]
fn a_stream_that_ends_inside_an_event_is_resumed() {
    for (stream, is_whole) in [("data: a\n\ndata: b", false), ("data: a\n\ndata: b\n\n", true)] {
        let mut bench = Bench::serving(SafeguardSwitches::default());
        let effects = bench.step(Event::Arrived(request(1, "drafting", None)));
        let is_connect = |effect: &Effect| matches!(effect, Effect::Connect { .. });
        assert!(effects.iter().any(is_connect), "{effects:?}");
        let (sequence, attempt) = (RequestSequence(1), AttemptNumber(1));
        bench.step(Event::Connected { sequence, attempt });
        let content_type = "text/event-stream; charset=utf-8".to_owned();
        let head = AnswerHead { status: 200, content_type };
        bench.step(Event::TargetHead { sequence, attempt, head });
        let bytes = Bytes::from(stream);
        bench.step(Event::TargetPiece { sequence, attempt, offset: 0, bytes });
        let length = stream.len() as u64;
        let effects = bench.step(Event::TargetEnd { sequence, attempt, length });
        assert_eq!(answers(&effects).contains(&FinalAnswer::Answered), is_whole, "{effects:?}");
        if is_whole {
            continue;
        }
        bench.now = bench.now + Duration::from_secs(1);
        let effects = bench.step(Event::Tick);
        assert!(effects.iter().any(is_connect), "{effects:?}");
        let attempt = AttemptNumber(2);
        let effects = bench.step(Event::Connected { sequence, attempt });
        let is_resume = |effect: &Effect| matches!(effect, Effect::Permit { order, .. } if matches!(order, TargetOperation::Resume { offset, .. } if *offset == length));
        assert!(effects.iter().any(is_resume), "{effects:?}");
    }
}

/// Breaks the connection of a request again and again, each time after `bytes` more of its answer.
/// Returns how often it was dispatched and how often resumed until it got its final answer, or 40
/// times.
fn break_repeatedly(bytes: &'static [u8]) -> (u32, u32) {
    let mut bench = Bench::serving(SafeguardSwitches::default());
    bench.step(Event::Arrived(request(1, "drafting", None)));
    let sequence = RequestSequence(1);
    let (mut dispatched, mut resumed, mut offset) = (0, 0, 0);
    for number in 1..=40 {
        let attempt = AttemptNumber(number);
        for effect in bench.step(Event::Connected { sequence, attempt }) {
            match effect {
                Effect::Permit { order: TargetOperation::Dispatch { .. }, .. } => dispatched += 1,
                Effect::Permit { order: TargetOperation::Resume { .. }, .. } => resumed += 1,
                _ => {}
            }
        }
        let piece = Bytes::from_static(bytes);
        bench.step(Event::TargetPiece { sequence, attempt, offset, bytes: piece });
        offset += bytes.len() as u64;
        let mut effects = bench.step(Event::TargetBroken { sequence, attempt });
        let is_connect = |effect: &Effect| matches!(effect, Effect::Connect { .. });
        while answers(&effects).is_empty() && !effects.iter().any(is_connect) {
            bench.now = bench.now + Duration::from_millis(10);
            effects = bench.step(Event::Tick);
        }
        if !answers(&effects).is_empty() {
            break;
        }
    }
    (dispatched, resumed)
}

/// Guards against retries that load failing engines: no request runs twice, and one whose stream is
/// broken again and again is given up after a few resumes that bring nothing.
#[test]
fn a_request_is_dispatched_once_however_often_its_stream_breaks() {
    assert_eq!(break_repeatedly(b""), (1, 7));
    let (dispatched, resumed) = break_repeatedly(b"a");
    assert_eq!(dispatched, 1);
    assert!(resumed > 0);
}

/// The leading blocks of a prompt with `block` in it, which begins like all others and ends like
/// none.
fn prompt(sequence: u64, block: u32) -> CallerRequest {
    let own = 1_000 + u32::try_from(sequence).expect("a small number");
    let mut call = request(sequence, "drafting", None);
    call.prefixes = vec![1, block, own];
    call.call.body = Bytes::from(sequence.to_string());
    call
}

/// The leading blocks that other prompts with `block` share.
fn parts(block: u32) -> Vec<PromptPart> {
    let ids = [1, block].map(|id| PartId(u64::from(id)));
    PromptPart::list(ServiceKey::of(&"drafting".into()), &ids)
}

impl Bench {
    /// Sends a request to a target and returns what may make it crash there, if it was sent.
    fn dispatch(&mut self, call: CallerRequest) -> Option<RequestFeatures> {
        let (sequence, attempt) = (call.sequence, AttemptNumber(1));
        self.step(Event::Arrived(call));
        let effects = self.step(Event::Connected { sequence, attempt });
        effects.into_iter().find_map(|effect| match effect {
            Effect::Permit { order: TargetOperation::Dispatch { features, .. }, .. } => {
                Some(features)
            }
            _ => None,
        })
    }

    /// Crashes a target under two requests, after which one like the second is answered.
    fn crash(&mut self, number: u32, crashing: u32, sound: u32) {
        self.now = self.now + Duration::from_millis(200);
        for (run, block) in [crashing, sound].into_iter().enumerate() {
            let fingerprint = RequestFingerprint(u64::from(number) * 10 + run as u64);
            let features = RequestFeatures { fingerprint, parts: parts(block) };
            self.step(Event::TargetCrashed { target: TargetKey(number), features, ran_ms: 80 });
        }
        let sequence = RequestSequence(u64::from(number));
        let sent = self.dispatch(prompt(sequence.0, sound)).expect("a request that is sent");
        assert_eq!(sent.parts[..2], parts(sound));
        self.step(Event::TargetEnd { sequence, attempt: AttemptNumber(1), length: 0 });
    }
}

/// Guards against blocks of prompts that crash one engine after the other, in requests of which no
/// two are alike, also in one that waited for its slot while they were found to be the cause.
#[test]
fn a_block_of_prompts_that_crashes_engines_is_quarantined() {
    let mut bench = Bench::serving(SafeguardSwitches::default());
    let waiting = prompt(200, 7);
    let sequence = waiting.sequence;
    bench.step(Event::Arrived(waiting));
    for number in 1..=5 {
        bench.crash(number, 7, 8);
    }
    bench.now = bench.now + Duration::from_secs(1);
    let is_refused = |effects: &[Effect]| {
        matches!(
            answers(effects).as_slice(),
            [FinalAnswer::NotRun { reason: RefuseReason::Quarantined, retry_after: Some(_) }]
        )
    };
    let effects = bench.step(Event::Arrived(prompt(201, 7)));
    assert!(is_refused(&effects), "{effects:?}");
    let connected = Event::Connected { sequence, attempt: AttemptNumber(1) };
    let effects = bench.step(connected);
    assert!(is_refused(&effects), "{effects:?}");
    assert!(bench.dispatch(prompt(202, 8)).is_some(), "a sound prompt that begins alike is sent");
}
