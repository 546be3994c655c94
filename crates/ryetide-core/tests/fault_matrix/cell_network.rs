//! The deliveries of a cell between VMs, targets, callers and the platform.

use std::{collections::BTreeSet, time::Duration};

use ryetide_core::{
    event::{Event, ListedVm, LoadReport, TableAnswer, TableCommand, TargetOperation},
    ids::{DataCentreName, Incarnation, OperationId, RequestId, TableToken, VmName},
    message::{self, PeerMessage},
};

use crate::{
    cell::{self, Cell, ConnectionKey, DELIVERY_DELAY, TARGETS, VMS},
    fakes::TEXT,
};

/// The timeout of a table command, which is the same as in the daemon.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A pending delivery, or another action that is scheduled for a certain time.
#[derive(Debug)]
pub enum Delivery {
    /// An event for an incarnation of a VM.
    ToVm(usize, u64, Event),
    /// The next try of a call.
    Arrive(usize),
    /// The caller of a call closes the connection of one of its tries.
    Gone(usize, usize),
    /// A dispatch or resume on a connection to a target.
    ToTarget(ConnectionKey, TargetOperation),
    /// The next piece of an answer, from an offset.
    Stream(ConnectionKey, RequestId, u64),
    /// A command of a VM's incarnation to the table service, and whether it is answered.
    Table(usize, u64, TableToken, TableCommand, bool),
    /// A VM polls the platform and its watched targets.
    Poll(usize),
    /// A fault begins (`true`) or ends (`false`).
    Fault(crate::fault::FaultKind, bool),
    /// An operator applies an edit through a VM.
    Apply(usize, u64),
    /// A VM that has stopped is replaced.
    Restart(usize),
}

/// The faults of the network and of the platform's list.
#[derive(Debug, Default)]
pub struct NetworkFaults {
    /// Pairs of VMs of which the first cannot send messages to the second.
    pub cut_peers: BTreeSet<(usize, usize)>,
    /// Pairs of a VM and a target that it cannot reach.
    pub cut_targets: BTreeSet<(usize, usize)>,
    /// VMs that cannot reach the platform.
    pub cut_platform: BTreeSet<usize>,
    /// Whether messages between VMs are delivered twice.
    pub doubled: bool,
    /// Whether some messages between VMs are delayed, so that others overtake them.
    pub delayed: bool,
    /// Whether the list of VMs is no longer updated.
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
        // Messages pass through the wire encoding, as in the daemon.
        let frame = message::encode(&message);
        let message = message::decode(&frame).expect("a frame that was just encoded decodes");
        let (name, centre) = VMS[from];
        let event = Event::PeerMessage {
            from: VmName::from(name),
            incarnation: Incarnation(self.vms[from].incarnation * 1_000 + from as u64),
            address: address_of(from),
            data_centre: DataCentreName::from(centre),
            message,
        };
        let incarnation = self.vms[to].incarnation;
        if self.network.doubled {
            let late = self.now + Duration::from_millis(7);
            self.schedule(late, Delivery::ToVm(to, incarnation, event.clone()));
        }
        // About every third message is delayed, so that later ones overtake it.
        let delayed = self.network.delayed && self.scheduled.is_multiple_of(3);
        let delay = if delayed { Duration::from_millis(90) } else { DELIVERY_DELAY };
        self.schedule(self.now + delay, Delivery::ToVm(to, incarnation, event));
    }

    pub fn send_table(&mut self, vm: usize, token: TableToken, command: TableCommand) {
        let incarnation = self.vms[vm].incarnation;
        if self.table.down || self.network.cut_platform.contains(&vm) {
            let event = Event::TableReplied { token, answer: TableAnswer::Unavailable };
            self.schedule(self.now + DELIVERY_DELAY, Delivery::ToVm(vm, incarnation, event));
        } else if self.table.dropping && matches!(command, TableCommand::Write { .. }) {
            let event = Event::TableReplied { token, answer: TableAnswer::Lost };
            self.schedule(self.now + TABLE_TIMEOUT, Delivery::ToVm(vm, incarnation, event));
        } else if self.table.slow {
            // The daemon's timeout expires first; the command still takes effect later.
            let event = Event::TableReplied { token, answer: TableAnswer::Lost };
            self.schedule(self.now + TABLE_TIMEOUT, Delivery::ToVm(vm, incarnation, event));
            let late = self.now + TABLE_TIMEOUT + Duration::from_millis(700);
            self.schedule(late, Delivery::Table(vm, incarnation, token, command, false));
        } else {
            let at = self.now + DELIVERY_DELAY;
            self.schedule(at, Delivery::Table(vm, incarnation, token, command, true));
        }
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToVm(vm, incarnation, event) => {
                if self.vms[vm].incarnation == incarnation {
                    self.step(vm, event);
                }
            }
            Delivery::Arrive(call) => self.arrive(call),
            Delivery::Gone(call, number) => {
                let call_try = &mut self.calls[call].tries[number];
                let is_open = call_try.answers.is_empty() && !call_try.cut;
                if let Some(id) = call_try.id.clone().filter(|_| is_open) {
                    call_try.gone = true;
                    let vm = VMS.iter().position(|(name, _)| *name == id.vm.as_str());
                    if let Some(vm) = vm {
                        self.step(vm, Event::CallerGone { sequence: id.sequence });
                    }
                }
            }
            Delivery::ToTarget(key, order) => self.handle_at_target(key, order),
            Delivery::Stream(key, id, offset) => self.stream(key, id, offset),
            Delivery::Table(vm, incarnation, token, command, answered) => {
                let answer = self.table.run(&command);
                let lost = self.table.losing && matches!(command, TableCommand::Write { .. });
                if answered {
                    let (after, answer) = if lost {
                        (TABLE_TIMEOUT, TableAnswer::Lost)
                    } else {
                        (DELIVERY_DELAY, answer)
                    };
                    let event = Event::TableReplied { token, answer };
                    self.schedule(self.now + after, Delivery::ToVm(vm, incarnation, event));
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

    /// Reads the list and the load of the watched targets, as the daemon does periodically.
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
