//! Arbiters that grant requests for a target with a limit.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ryetide_core::{
    effect::{Effect, EffectBuffer},
    entry::{EntryCore, EntryOptions},
    event::{
        AnswerHead, CallerRequest, Event, ListedVm, TableAnswer, TableRow, TargetCall,
        TargetOperation,
    },
    ids::{AttemptNumber, DataCentreName, Incarnation, RequestSequence, TargetKey, VmName},
    message::PeerMessage,
    target_notice::{LimitNotice, TargetNotice},
    units::{Moment, RequestRate, Tokens},
};

use crate::WINDOW;

const TEXT: &str = include_str!("../fault_matrix/services.yaml");
/// The requests a second that the target accepts.
const LIMIT: u64 = 2;
/// The pause between two requests of callers.
const PAUSE: Duration = Duration::from_millis(20);
const RUN_SPAN: Duration = Duration::from_secs(12);

/// Entry VMs with one target, which answers every request at once.
struct EntrySimulation {
    cores: Vec<EntryCore>,
    incarnations: Vec<u64>,
    now: Moment,
    /// VMs with an index below this cannot reach the others, and vice versa.
    partition: usize,
    /// When requests were dispatched.
    sent: Vec<Moment>,
}

fn start_core(vm: usize, incarnation: u64) -> EntryCore {
    let options =
        EntryOptions::new(name(vm), DataCentreName::from("here"), Incarnation(incarnation));
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

impl EntrySimulation {
    fn start(vms: usize) -> Self {
        let cores = (0..vms).map(|vm| start_core(vm, 1)).collect();
        let mut simulation = Self {
            cores,
            incarnations: vec![1; vms],
            now: Moment(1),
            partition: 0,
            sent: Vec::new(),
        };
        (0..vms).for_each(|vm| simulation.start_vm(vm));
        simulation
    }

    fn start_vm(&mut self, vm: usize) {
        self.step(vm, Event::Tick);
        self.step(vm, Event::ListRead((0..self.cores.len()).map(listed).collect()));
    }

    fn restart(&mut self, vm: usize) {
        self.incarnations[vm] += 1;
        self.cores[vm] = start_core(vm, self.incarnations[vm]);
        self.start_vm(vm);
    }

    /// Applies an event, and the events that follow from its effects.
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
            Effect::Permit { sequence, attempt, order: TargetOperation::Dispatch { .. } } => {
                self.sent.push(self.now);
                target_answers(sequence, attempt).map(|event| (vm, event)).to_vec()
            }
            Effect::Send { to, message } => self.deliver(vm, &to, message),
            _ => Vec::new(),
        }
    }

    fn deliver(&self, from: usize, to: &VmName, message: PeerMessage) -> Vec<(usize, Event)> {
        let found = (0..self.cores.len()).find(|vm| name(*vm) == *to);
        let recipient = found.filter(|vm| (*vm < self.partition) == (from < self.partition));
        let incarnation = Incarnation(self.incarnations[from]);
        let data_centre = DataCentreName::from("here");
        let (from, address) = (name(from), address(from));
        let event = Event::PeerMessage { from, incarnation, address, data_centre, message };
        recipient.map(|vm| (vm, event)).into_iter().collect()
    }

    fn advance(&mut self, span: Duration) {
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

    /// Sends callers' requests to all VMs in turn for `span`.
    fn send_requests(&mut self, span: Duration, next: &mut u64) {
        let end = self.now + span;
        while self.now < end {
            let vm = *next as usize % self.cores.len();
            self.step(vm, Event::Arrived(request(*next)));
            *next += 1;
            self.advance(PAUSE);
        }
    }
}

/// The target's answer, last event first.
fn target_answers(sequence: RequestSequence, attempt: AttemptNumber) -> [Event; 3] {
    let notice = TargetNotice {
        limit: LimitNotice::Named(RequestRate(LIMIT as u32 * 1_000)),
        ..TargetNotice::default()
    };
    let target = TargetKey::of(&"r1".into());
    let head = AnswerHead { status: 200, content_type: String::new() };
    [
        Event::TargetEnd { sequence, attempt, length: 0 },
        Event::TargetHead { sequence, attempt, head },
        Event::TargetSaid { sequence, target, word: notice },
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

/// The requests that the limit permits in a window, and one more for each VM that may send at its
/// very beginning.
fn permitted(senders: usize) -> usize {
    (LIMIT * WINDOW.as_secs()) as usize + senders
}

/// Guards against an arbiter that grants more requests than the target's limit permits.
#[test]
fn an_arbiter_grants_no_more_than_a_targets_limit() {
    for vms in [1, 4] {
        let mut simulation = EntrySimulation::start(vms);
        simulation.send_requests(RUN_SPAN, &mut 1);
        // The first requests make the limit known.
        let known = simulation.sent.partition_point(|at| *at < Moment::from_millis(100));
        let count = crate::most_in_window(&simulation.sent[known..]);
        assert!(count <= permitted(1), "{vms} VMs: {count} requests in {WINDOW:?}");
        let dispatched = simulation.sent.len() as u64;
        assert!(
            dispatched > LIMIT * RUN_SPAN.as_secs() / 2,
            "{vms} VMs: only {dispatched} requests dispatched, the limit is not used up"
        );
    }
}

/// Guards against several arbiters that each grant the whole limit: two on the sides of a network
/// partition, or one that takes over from another.
#[test]
fn arbiters_of_one_target_grant_no_more_than_its_limit_together() {
    for partition in 1..4 {
        let (mut simulation, mut next) = (EntrySimulation::start(4), 1);
        simulation.send_requests(RUN_SPAN, &mut next);
        let known = simulation.sent.len();
        simulation.partition = partition;
        simulation.send_requests(RUN_SPAN, &mut next);
        simulation.partition = 0;
        simulation.send_requests(RUN_SPAN, &mut next);
        simulation.restart(partition);
        simulation.send_requests(RUN_SPAN, &mut next);
        let count = crate::most_in_window(&simulation.sent[known..]);
        assert!(
            count <= permitted(3),
            "partition before {partition}: {count} requests in {WINDOW:?}"
        );
    }
}
