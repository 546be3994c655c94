//! The targets' side of a cell: orders, streams, and how they break.

use std::time::Duration;

use ryetide_core::{
    event::{AnswerHead, Event, TargetOrder},
    ids::RequestId,
};

use crate::{
    cell::{Cell, LinkKey, TARGETS, WAY},
    cell_network::Delivery,
    fakes::{EngineJob, PIECE_BYTES, content_of},
};

/// The time between two pieces of an answer.
const PIECE_GAP: Duration = Duration::from_millis(20);
/// Answers are resumed from multiples of this.
const EVENT_BYTES: u64 = 24;
/// Targets whose contract says that a refusal ran nothing.
const CONTRACTS: [&str; 1] = ["d3"];

impl Cell {
    /// Takes an order on a connection.
    pub fn order_target(&mut self, key: LinkKey, order: TargetOrder) {
        let (vm, life, sequence, attempt) = key;
        let now = self.now;
        let Some(link) = self.links.get_mut(&key) else { return };
        let index = link.target;
        if link.silent || self.network.cut_targets.contains(&(vm, index)) {
            return;
        }
        let target = &mut self.targets[index];
        let to_vm = |event| Delivery::ToVm(vm, life, event);
        if target.dead {
            self.close(key, Event::TargetBroken { sequence, attempt });
            return;
        }
        match order {
            TargetOrder::Dispatch { not_after, .. } if now >= not_after => {
                self.close(key, Event::TargetBroken { sequence, attempt });
            }
            TargetOrder::Dispatch { id, call, .. } => {
                if target.leaving || target.busy {
                    if !CONTRACTS.contains(&TARGETS[index].0) {
                        // Without the contract a refusal may have run all the same: this one has.
                        target.dispatches.push((now, id, call.body));
                    }
                    let leaving = target.leaving;
                    self.close(key, Event::TargetRefused { sequence, attempt, leaving });
                    return;
                }
                link.dispatched = Some(id.clone());
                target.dispatches.push((now, id.clone(), call.body.clone()));
                let job =
                    EngineJob { started: now, content: content_of(&call.body), cancelled: false };
                target.jobs.entry(id.clone()).or_insert(job);
                let head = AnswerHead { status: 200, content_type: String::new() };
                let head = to_vm(Event::TargetHead { sequence, attempt, head });
                self.schedule(now + WAY, head);
                self.schedule(now + PIECE_GAP, Delivery::Stream(key, id, 0));
            }
            TargetOrder::Resume { id, offset } => {
                if target.forgetful || !target.jobs.contains_key(&id) {
                    self.close(key, Event::ResumeUnknown { sequence, attempt });
                    return;
                }
                // Engines resume at the start of an event, which may lie before the byte asked for.
                let start = offset - offset % EVENT_BYTES;
                self.schedule(now + WAY, Delivery::Stream(key, id, start));
            }
        }
    }

    /// Ends a connection from the target's side.
    pub fn close(&mut self, key: LinkKey, last: Event) {
        self.links.remove(&key);
        self.schedule(self.now + WAY, Delivery::ToVm(key.0, key.1, last));
    }

    /// Sends what a target has generated beyond `offset`, and goes on until the end.
    pub fn stream(&mut self, key: LinkKey, id: RequestId, offset: u64) {
        let (vm, life, sequence, attempt) = key;
        let now = self.now;
        let Some(link) = self.links.get(&key) else { return };
        let target = &self.targets[link.target];
        let Some(job) = target.jobs.get(&id).filter(|job| !job.cancelled) else { return };
        let lost = link.silent || self.network.cut_targets.contains(&(vm, link.target));
        let gap = PIECE_GAP * target.slowdown;
        let made = (now.since(job.started).as_millis() / gap.as_millis().max(1)) as usize;
        let length = (made * PIECE_BYTES).min(job.content.len()) as u64;
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
            self.schedule(now + WAY, Delivery::ToVm(vm, life, event));
        }
        if lost {
            // What was sent into a dead connection is gone; the target notices nothing.
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
