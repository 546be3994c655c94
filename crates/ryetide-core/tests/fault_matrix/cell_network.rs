//! What travels in a cell: deliveries between VMs, targets, callers and the platform.

use std::{collections::BTreeSet, time::Duration};

use ryetide_core::{
    event::{Event, ListedVm, LoadReport, TableAnswer, TableCommand, TargetOrder},
    ids::{DataCentreName, Incarnation, OperationId, RequestId, TableToken, VmName},
    message::{self, PeerMessage},
};

use crate::{
    cell::{self, Cell, LinkKey, TARGETS, VMS, WAY},
    fakes::TEXT,
};

/// The time limit of a table command, as the daemon has it.
const TABLE_LIMIT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
pub enum Delivery {
    ToVm(usize, u64, Event),
    Arrive(usize),
    Gone(usize, usize),
    Order(LinkKey, TargetOrder),
    Stream(LinkKey, RequestId, u64),
    Table(usize, u64, TableToken, TableCommand, bool),
    Poll(usize),
    Fault(crate::fault::FaultKind, bool),
    Apply(usize, u64),
    Restart(usize),
}

/// What is cut, held, doubled or delayed.
#[derive(Debug, Default)]
pub struct NetworkFaults {
    pub cut_peers: BTreeSet<(usize, usize)>,
    pub cut_targets: BTreeSet<(usize, usize)>,
    pub cut_platform: BTreeSet<usize>,
    pub doubled: bool,
    pub delayed: bool,
    pub list_stale: bool,
    /// VMs that the list no longer names.
    pub delisted: BTreeSet<usize>,
}

impl Cell {
    pub fn send(&mut self, from: usize, to: &VmName, message: PeerMessage) {
        let Some(to) = VMS.iter().position(|(name, _)| *name == to.as_str()) else { return };
        if self.network.cut_peers.contains(&(from, to)) {
            return;
        }
        // Through the wire encoding, as in the daemon.
        let frame = message::encode(&message);
        let message = message::decode(&frame).expect("own frames decode");
        let (name, centre) = VMS[from];
        let event = Event::PeerMessage {
            from: VmName::from(name),
            incarnation: Incarnation(self.vms[from].incarnation * 1_000 + from as u64),
            address: address_of(from),
            data_centre: DataCentreName::from(centre),
            message,
        };
        let life = self.vms[to].incarnation;
        if self.network.doubled {
            let late = self.now + Duration::from_millis(7);
            self.schedule(late, Delivery::ToVm(to, life, event.clone()));
        }
        // Every third message overtakes or is overtaken.
        let held = self.network.delayed && self.order.is_multiple_of(3);
        let way = if held { Duration::from_millis(90) } else { WAY };
        self.schedule(self.now + way, Delivery::ToVm(to, life, event));
    }

    pub fn send_table(&mut self, vm: usize, token: TableToken, command: TableCommand) {
        let life = self.vms[vm].incarnation;
        if self.table.down || self.network.cut_platform.contains(&vm) {
            let event = Event::TableReplied { token, answer: TableAnswer::Unavailable };
            self.schedule(self.now + WAY, Delivery::ToVm(vm, life, event));
        } else if self.table.dropping && matches!(command, TableCommand::Write { .. }) {
            let event = Event::TableReplied { token, answer: TableAnswer::Lost };
            self.schedule(self.now + TABLE_LIMIT, Delivery::ToVm(vm, life, event));
        } else if self.table.slow {
            // The daemon gives up first; the command takes effect all the same, later.
            let event = Event::TableReplied { token, answer: TableAnswer::Lost };
            self.schedule(self.now + TABLE_LIMIT, Delivery::ToVm(vm, life, event));
            let late = self.now + TABLE_LIMIT + Duration::from_millis(700);
            self.schedule(late, Delivery::Table(vm, life, token, command, false));
        } else {
            let at = self.now + WAY;
            self.schedule(at, Delivery::Table(vm, life, token, command, true));
        }
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToVm(vm, life, event) => {
                if self.vms[vm].incarnation == life {
                    self.step(vm, event);
                }
            }
            Delivery::Arrive(call) => self.arrive(call),
            Delivery::Gone(call, number) => {
                let one = &mut self.calls[call].tries[number];
                if let Some(id) = one.id.clone().filter(|_| one.answers.is_empty() && !one.cut) {
                    one.gone = true;
                    let vm = VMS.iter().position(|(name, _)| *name == id.vm.as_str());
                    if let Some(vm) = vm {
                        self.step(vm, Event::CallerGone { sequence: id.sequence });
                    }
                }
            }
            Delivery::Order(key, order) => self.order_target(key, order),
            Delivery::Stream(key, id, offset) => self.stream(key, id, offset),
            Delivery::Table(vm, life, token, command, answered) => {
                let answer = self.table.run(&command);
                let lost = self.table.losing && matches!(command, TableCommand::Write { .. });
                if answered {
                    let (after, answer) =
                        if lost { (TABLE_LIMIT, TableAnswer::Lost) } else { (WAY, answer) };
                    let event = Event::TableReplied { token, answer };
                    self.schedule(self.now + after, Delivery::ToVm(vm, life, event));
                }
            }
            Delivery::Poll(vm) => self.poll(vm),
            Delivery::Restart(vm) => self.restart(vm),
            Delivery::Fault(fault, true) => crate::fault::begin(self, fault, 0),
            Delivery::Fault(fault, false) => crate::fault::end(self, fault),
            Delivery::Apply(vm, operation) => {
                let text = format!("{TEXT}# edit {operation}\n");
                let base = self.vms[vm].core.as_ref().map(|core| core.configuration().revision());
                let operation = OperationId(operation);
                self.step(vm, Event::Apply { operation, base, text });
            }
        }
    }

    /// Reads the list and the watched targets' load, as the daemon does at intervals.
    fn poll(&mut self, vm: usize) {
        self.schedule(self.now + Duration::from_millis(500), Delivery::Poll(vm));
        if !self.network.cut_platform.contains(&vm) && !self.network.list_stale {
            let listed = self.list();
            self.step(vm, Event::ListRead(listed));
        }
        for route in self.vms[vm].watched.clone() {
            let index = cell::target_index(&route);
            let target = &self.targets[index];
            if target.dead || self.network.cut_targets.contains(&(vm, index)) {
                continue;
            }
            let report = LoadReport { leaving: target.leaving, ..LoadReport::default() };
            self.step(vm, Event::LoadReported { target: route.key, report });
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let named =
            VMS.iter().enumerate().filter(|(index, _)| !self.network.delisted.contains(index));
        let entries = named.map(|(index, (name, centre))| ListedVm {
            name: (*name).to_owned(),
            data_centre: DataCentreName::from(*centre),
            peer_address: Some(address_of(index)),
            leaving: false,
        });
        let targets = TARGETS.iter().zip(&self.targets).map(|((name, centre), target)| ListedVm {
            name: (*name).to_owned(),
            data_centre: DataCentreName::from(*centre),
            peer_address: None,
            leaving: target.leaving,
        });
        entries.chain(targets).collect()
    }
}

fn address_of(vm: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 7_000 + vm as u16).into()
}
