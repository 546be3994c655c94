//! The arbiter of the other face before such a target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ryetide_core::{
    effect::{Effect, EffectBuffer},
    entry::{EntryCore, EntryOptions},
    event::{
        AnswerHead, CallerRequest, Event, ListedVm, TableAnswer, TableRow, TargetCall, TargetOrder,
    },
    ids::{AttemptNumber, DataCentreName, Incarnation, RequestSequence, TargetKey, VmName},
    message::PeerMessage,
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

/// Entry VMs before one target, which answers everything at once.
struct EntryPlay {
    cores: Vec<EntryCore>,
    lives: Vec<u64>,
    now: Moment,
    /// VMs below this and the others do not hear each other.
    cut: usize,
    /// When requests were sent.
    sent: Vec<Moment>,
}

fn start_core(vm: usize, life: u64) -> EntryCore {
    let options = EntryOptions::new(name(vm), DataCentreName::from("here"), Incarnation(life));
    EntryCore::new(options)
}

fn name(vm: usize) -> VmName {
    VmName::from(format!("e{vm}").as_str())
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + vm as u16))
}

fn listed(vm: usize) -> ListedVm {
    ListedVm {
        name: name(vm).to_string(),
        data_centre: DataCentreName::from("here"),
        peer_address: Some(address(vm)),
        leaving: false,
    }
}

impl EntryPlay {
    fn start(vms: usize) -> Self {
        let cores = (0..vms).map(|vm| start_core(vm, 1)).collect();
        let mut play =
            Self { cores, lives: vec![1; vms], now: Moment(1), cut: 0, sent: Vec::new() };
        (0..vms).for_each(|vm| play.begin(vm));
        play
    }

    fn begin(&mut self, vm: usize) {
        self.step(vm, Event::Tick);
        self.step(vm, Event::ListRead((0..self.cores.len()).map(listed).collect()));
    }

    fn restart(&mut self, vm: usize) {
        self.lives[vm] += 1;
        self.cores[vm] = start_core(vm, self.lives[vm]);
        self.begin(vm);
    }

    /// Takes an event, and answers what follows from it.
    fn step(&mut self, vm: usize, event: Event) {
        let mut events = vec![(vm, event)];
        while let Some((vm, event)) = events.pop() {
            let mut effects = EffectBuffer::new(1_000);
            self.cores[vm].step(self.now, event, &mut effects);
            for effect in effects.drain().collect::<Vec<Effect>>() {
                events.extend(self.answer(vm, effect));
            }
        }
    }

    fn answer(&mut self, vm: usize, effect: Effect) -> Vec<(usize, Event)> {
        match effect {
            Effect::Table { token, .. } => {
                let value = serde_json::json!({"revision": 1, "operation": 1, "text": TEXT});
                let row = TableRow { version: 1, value: value.to_string() };
                vec![(vm, Event::TableReplied { token, answer: TableAnswer::Row(Some(row)) })]
            }
            Effect::Connect { sequence, attempt, .. } => {
                vec![(vm, Event::Connected { sequence, attempt })]
            }
            Effect::Permit { sequence, attempt, order: TargetOrder::Dispatch { .. } } => {
                self.sent.push(self.now);
                target_answers(sequence, attempt).map(|event| (vm, event)).to_vec()
            }
            Effect::Send { to, message } => self.deliver(vm, &to, message),
            _ => Vec::new(),
        }
    }

    fn deliver(&self, from: usize, to: &VmName, message: PeerMessage) -> Vec<(usize, Event)> {
        let found = (0..self.cores.len()).find(|vm| name(*vm) == *to);
        let heard = found.filter(|vm| (*vm < self.cut) == (from < self.cut));
        let incarnation = Incarnation(self.lives[from]);
        let data_centre = DataCentreName::from("here");
        let (from, address) = (name(from), address(from));
        let event = Event::PeerMessage { from, incarnation, address, data_centre, message };
        heard.map(|vm| (vm, event)).into_iter().collect()
    }

    fn wait(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let next = |vm: &usize| self.cores[*vm].next_wake(self.now);
            let Some(vm) = (0..self.cores.len()).min_by_key(next).filter(|vm| next(vm) < until)
            else {
                break;
            };
            self.now = next(&vm).max(Moment(self.now.0 + 1));
            self.step(vm, Event::Tick);
        }
        self.now = until;
    }

    /// Lets callers ask all VMs in turn for so long.
    fn ask_for(&mut self, span: Duration, next: &mut u64) {
        let end = self.now + span;
        while self.now < end {
            let vm = *next as usize % self.cores.len();
            self.step(vm, Event::Arrived(request(*next)));
            *next += 1;
            self.wait(PAUSE);
        }
    }
}

/// The target's answer, the last event first.
fn target_answers(sequence: RequestSequence, attempt: AttemptNumber) -> [Event; 3] {
    let word = TargetWord {
        limit: LimitWord::Named(RequestRate(LIMIT as u32 * 1_000)),
        ..TargetWord::default()
    };
    let target = TargetKey::of(&"r1".into());
    let head = AnswerHead { status: 200, content_type: String::new() };
    [
        Event::TargetEnd { sequence, attempt, length: 0 },
        Event::TargetHead { sequence, attempt, head },
        Event::TargetSaid { sequence, target, word },
    ]
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

/// What the limit permits in a window, and one for each VM that may send at its very begin.
fn permitted(senders: usize) -> usize {
    (LIMIT * WINDOW.as_secs()) as usize + senders
}

/// Guards against the limit of a target in need being passed over by the arbiter that orders it.
#[test]
fn an_arbiter_grants_no_more_than_the_limit_that_a_target_names() {
    for vms in [1, 4] {
        let mut play = EntryPlay::start(vms);
        play.ask_for(PLAYED, &mut 1);
        // The first requests tell of the limit.
        let known = play.sent.partition_point(|at| *at < Moment::from_millis(100));
        let count = crate::most_in_window(&play.sent[known..]);
        assert!(count <= permitted(1), "{vms} VMs: {count} requests in {WINDOW:?}");
        let gets = play.sent.len() as u64;
        assert!(
            gets > LIMIT * PLAYED.as_secs() / 2,
            "{vms} VMs: what it takes it gets, not {gets}"
        );
    }
}

/// Guards against arbiters on two sides of a cut, and one that takes over, that each grant the whole limit.
#[test]
fn arbiters_of_one_target_grant_no_more_than_its_limit_together() {
    for cut in 1..4 {
        let (mut play, mut next) = (EntryPlay::start(4), 1);
        play.ask_for(PLAYED, &mut next);
        let known = play.sent.len();
        play.cut = cut;
        play.ask_for(PLAYED, &mut next);
        play.cut = 0;
        play.ask_for(PLAYED, &mut next);
        play.restart(cut);
        play.ask_for(PLAYED, &mut next);
        let count = crate::most_in_window(&play.sent[known..]);
        assert!(count <= permitted(3), "cut before {cut}: {count} requests in {WINDOW:?}");
    }
}
