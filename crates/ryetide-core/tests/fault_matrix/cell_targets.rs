//! The targets of a cell: dispatches, resumes and streamed answers.

use std::time::Duration;

use ryetide_core::{
    event::{AnswerHead, Event, TargetOperation},
    ids::RequestId,
};

use crate::{
    cell::{Cell, ConnectionKey, DELIVERY_DELAY, TARGETS},
    cell_network::Delivery,
    fakes::{EngineJob, PIECE_BYTES, expected_answer},
};

/// The time between two pieces of an answer.
const PIECE_GAP: Duration = Duration::from_millis(20);
/// The length of an event of a stream, in bytes. Answers are resumed at the start of an event.
const EVENT_BYTES: u64 = 24;
/// The targets whose contract states that a refused request did not run.
const REFUSAL_CONTRACTS: [&str; 1] = ["d3"];

impl Cell {
    /// Handles a dispatch or resume that a VM has sent on a connection.
    pub fn handle_at_target(&mut self, key: ConnectionKey, order: TargetOperation) {
        let (vm, incarnation, sequence, attempt) = key;
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let index = connection.target;
        if connection.silent || self.network.cut_targets.contains(&(vm, index)) {
            return;
        }
        let target = &mut self.targets[index];
        let to_vm = |event| Delivery::ToVm(vm, incarnation, event);
        if target.dead {
            self.close(key, Event::TargetBroken { sequence, attempt });
            return;
        }
        match order {
            TargetOperation::Dispatch { not_after, .. } if now >= not_after => {
                self.close(key, Event::TargetBroken { sequence, attempt });
            }
            TargetOperation::Dispatch { id, call, .. } => {
                if target.leaving || target.busy {
                    if !REFUSAL_CONTRACTS.contains(&TARGETS[index].0) {
                        // Without the contract, a refused request may have run; here it has.
                        target.dispatches.push((now, id, call.body));
                    }
                    let leaving = target.leaving;
                    self.close(key, Event::TargetRefused { sequence, attempt, leaving });
                    return;
                }
                connection.dispatched = Some(id.clone());
                target.dispatches.push((now, id.clone(), call.body.clone()));
                let job = EngineJob {
                    started: now,
                    content: expected_answer(&call.body),
                    cancelled: false,
                };
                target.jobs.entry(id.clone()).or_insert(job);
                let head = AnswerHead { status: 200, content_type: String::new() };
                let head = to_vm(Event::TargetHead { sequence, attempt, head });
                self.schedule(now + DELIVERY_DELAY, head);
                self.schedule(now + PIECE_GAP, Delivery::Stream(key, id, 0));
            }
            TargetOperation::Resume { id, offset } => {
                if target.forgetful || !target.jobs.contains_key(&id) {
                    self.close(key, Event::ResumeUnknown { sequence, attempt });
                    return;
                }
                // Engines resume at the start of an event, which may precede the requested byte.
                let start = offset - offset % EVENT_BYTES;
                self.schedule(now + DELIVERY_DELAY, Delivery::Stream(key, id, start));
            }
        }
    }

    /// Closes a connection from the target's side; the VM receives `last`.
    pub fn close(&mut self, key: ConnectionKey, last: Event) {
        self.connections.remove(&key);
        self.schedule(self.now + DELIVERY_DELAY, Delivery::ToVm(key.0, key.1, last));
    }

    /// Sends the part of an answer that a target has generated beyond `offset`, and schedules the
    /// next part until the end of the answer.
    pub fn stream(&mut self, key: ConnectionKey, id: RequestId, offset: u64) {
        let (vm, incarnation, sequence, attempt) = key;
        let now = self.now;
        let Some(connection) = self.connections.get(&key) else { return };
        let target = &self.targets[connection.target];
        let Some(job) = target.jobs.get(&id).filter(|job| !job.cancelled) else { return };
        let lost = connection.silent || self.network.cut_targets.contains(&(vm, connection.target));
        let gap = PIECE_GAP * target.slowdown;
        let pieces = (now.since(job.started).as_millis() / gap.as_millis().max(1)) as usize;
        let length = (pieces * PIECE_BYTES).min(job.content.len()) as u64;
        let whole = length == job.content.len() as u64;
        if target.truncating && !whole && length > 0 {
            let length = job.content.len() as u64;
            self.close(key, Event::TargetEnd { sequence, attempt, length });
            return;
        }
        let piece = job.content.slice(offset.min(length) as usize..length as usize);
        if target.dead {
            return;
        }
        if !piece.is_empty() && !lost {
            let event = Event::TargetPiece { sequence, attempt, offset, bytes: piece };
            self.schedule(now + DELIVERY_DELAY, Delivery::ToVm(vm, incarnation, event));
        }
        if lost {
            // Data sent on a broken connection is lost, and the target does not detect it.
            return;
        }
        if whole && offset >= length {
            let event = Event::TargetEnd { sequence, attempt, length };
            self.close(key, event);
        } else {
            self.schedule(now + gap, Delivery::Stream(key, id, length.max(offset)));
        }
    }
}
