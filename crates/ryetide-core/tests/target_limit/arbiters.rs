//! The arbiter of the other face before such a target.

use std::time::Duration;

use bytes::Bytes;
use ryetide_core::{
    effect::{Effect, EffectBuffer},
    entry::{EntryCore, EntryOptions},
    event::{AnswerHead, CallerRequest, Event, TableAnswer, TableRow, TargetCall, TargetOrder},
    ids::{AttemptNumber, DataCentreName, Incarnation, RequestSequence, TargetKey, VmName},
    target_word::{LimitWord, TargetWord},
    units::{Moment, RequestRate, Tokens},
};

use crate::WINDOW;

const TEXT: &str = include_str!("../fault_matrix/services.yaml");
/// What the target takes a second.
const LIMIT: u64 = 2;
/// Between two requests of callers.
const PAUSE: Duration = Duration::from_millis(20);
const PLAYED: Duration = Duration::from_secs(12);

/// An entry VM before one target, which answers everything at once.
struct EntryPlay {
    core: EntryCore,
    now: Moment,
    /// When requests were sent.
    sent: Vec<Moment>,
}

impl EntryPlay {
    fn start() -> Self {
        let name = VmName::from("e1");
        let options = EntryOptions::new(name, DataCentreName::from("here"), Incarnation(1));
        let core = EntryCore::new(options);
        let mut play = Self { core, now: Moment(1), sent: Vec::new() };
        play.step(Event::Tick);
        play
    }

    /// Takes an event, and answers what follows from it.
    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = EffectBuffer::new(1_000);
            self.core.step(self.now, event, &mut effects);
            for effect in effects.drain().collect::<Vec<Effect>>() {
                events.extend(self.answer(effect));
            }
        }
    }

    fn answer(&mut self, effect: Effect) -> Vec<Event> {
        match effect {
            Effect::Table { token, .. } => {
                let value = serde_json::json!({"revision": 1, "operation": 1, "text": TEXT});
                let row = TableRow { version: 1, value: value.to_string() };
                vec![Event::TableReplied { token, answer: TableAnswer::Row(Some(row)) }]
            }
            Effect::Connect { sequence, attempt, .. } => {
                vec![Event::Connected { sequence, attempt }]
            }
            Effect::Permit { sequence, attempt, order: TargetOrder::Dispatch { .. } } => {
                self.sent.push(self.now);
                self.target_answers(sequence, attempt)
            }
            _ => Vec::new(),
        }
    }

    /// The target's answer, the last event first.
    fn target_answers(&self, sequence: RequestSequence, attempt: AttemptNumber) -> Vec<Event> {
        let word = TargetWord {
            limit: LimitWord::Named(RequestRate(LIMIT as u32 * 1_000)),
            ..TargetWord::default()
        };
        let target = TargetKey::of(&"r1".into());
        let head = AnswerHead { status: 200, content_type: String::new() };
        vec![
            Event::TargetEnd { sequence, attempt, length: 0 },
            Event::TargetHead { sequence, attempt, head },
            Event::TargetSaid { sequence, target, word },
        ]
    }

    fn wait(&mut self, span: Duration) {
        let until = self.now + span;
        while self.core.next_wake(self.now) < until {
            self.now = self.core.next_wake(self.now).max(Moment(self.now.0 + 1));
            self.step(Event::Tick);
        }
        self.now = until;
    }
}

fn request(sequence: u64) -> CallerRequest {
    CallerRequest {
        sequence: RequestSequence(sequence),
        service: "records".to_owned(),
        organisation: "asha".to_owned(),
        tier: "urgent".to_owned(),
        deadline: Duration::from_secs(1),
        non_idempotent: false,
        key: None,
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

/// Guards against the limit of a target in need being passed over by the arbiter that orders it.
#[test]
fn an_arbiter_grants_no_more_than_the_limit_that_a_target_names() {
    let mut play = EntryPlay::start();
    let end = play.now + PLAYED;
    for sequence in 1.. {
        if play.now >= end {
            break;
        }
        play.step(Event::Arrived(request(sequence)));
        play.wait(PAUSE);
    }
    // The first request tells of the limit.
    let count = crate::most_in_window(&play.sent[1..]);
    let permitted = (LIMIT * WINDOW.as_secs()) as usize + 1;
    assert!(count <= permitted, "{count} requests in {WINDOW:?}, {permitted} permitted");
    assert!(play.sent.len() as u64 > LIMIT * PLAYED.as_secs() / 2, "what it takes it gets");
}
