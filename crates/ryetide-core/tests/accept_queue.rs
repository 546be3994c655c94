//! Connections that wait to be accepted at VMs that get more than they can carry.

use std::{collections::VecDeque, time::Duration};

use ryetide_core::{
    accept_queue::{AcceptDecision, AcceptQueue, QUEUE_LENGTH},
    units::Moment,
};

/// The time after which callers give a connection up that was not read.
const PATIENCE: Duration = Duration::from_secs(1);
/// The span for which a VM that says that it is ready may take no new connection.
const STABLE: Duration = Duration::from_secs(3);

/// A VM that needs `cost` for each connection that it serves, and a fiftieth for one that it closes.
struct Server {
    queue: AcceptQueue,
    waiting: VecDeque<Moment>,
    cost: Duration,
    served: u32,
    closed: u32,
    longest_wait: Duration,
    longest_pause: Duration,
    last_served: Moment,
}

impl Server {
    fn new(cost: Duration) -> Self {
        Self {
            queue: AcceptQueue::default(),
            waiting: VecDeque::new(),
            cost,
            served: 0,
            closed: 0,
            longest_wait: Duration::ZERO,
            longest_pause: Duration::ZERO,
            last_served: Moment::from_millis(0),
        }
    }

    /// Lets connections arrive at regular intervals from `from` to `until`.
    fn play(&mut self, from: Moment, until: Moment, interval: Duration) {
        let (mut now, mut next) = (from, from);
        while now < until {
            while next <= now {
                if self.waiting.len() < QUEUE_LENGTH as usize {
                    self.waiting.push_back(next);
                }
                next = next + interval;
            }
            let Some(arrived) = self.waiting.pop_front() else {
                self.queue.record_empty();
                now = next;
                continue;
            };
            if self.queue.accept(now) == AcceptDecision::Close {
                self.closed += 1;
                now = now + self.cost / 50;
                continue;
            }
            self.longest_wait = self.longest_wait.max(now.since(arrived));
            self.longest_pause = self.longest_pause.max(now.since(self.last_served));
            (self.last_served, self.served) = (now, self.served + 1);
            now = now + self.cost;
        }
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Guards against a VM that serves less the more it gets, or serves callers who have left, at any
/// speed of the VM.
#[test]
fn an_overloaded_vm_serves_what_it_can_while_its_callers_still_wait() {
    for cost in [1, 5, 20, 100].map(Duration::from_millis) {
        for load in [2, 3, 10] {
            let mut server = Server::new(cost);
            server.play(at(0), at(10_000), cost / load);
            let capacity = 10.0 / cost.as_secs_f64();
            let share = f64::from(server.served) / capacity;
            assert!(share >= 0.75, "{cost:?} at {load} times the load: {share:.2} served");
            assert!(server.longest_wait < PATIENCE / 2, "{cost:?}: {:?}", server.longest_wait);
            assert!(server.closed > 0);
        }
    }
}

/// Guards against connections that are closed at a VM that can carry all.
#[test]
fn a_vm_that_is_nearly_full_closes_nothing() {
    let cost = Duration::from_millis(5);
    let mut server = Server::new(cost);
    server.play(at(0), at(10_000), cost.mul_f64(1.05));
    assert_eq!(server.closed, 0);
}

/// Guards against a VM that goes on to close connections once it can carry all again.
#[test]
fn a_vm_serves_all_again_as_soon_as_the_overload_ends() {
    let cost = Duration::from_millis(5);
    let mut server = Server::new(cost);
    server.play(at(0), at(3_000), cost / 3);
    server.play(at(3_000), at(3_500), cost * 2);
    let closed = server.closed;
    server.play(at(3_500), at(6_000), cost * 2);
    assert_eq!(server.closed, closed);
}

/// Guards against a VM that says that it is ready and closes everything, however much comes.
#[test]
fn a_vm_takes_new_connections_also_while_it_cannot_close_the_others_fast_enough() {
    let cost = Duration::from_millis(10);
    let mut server = Server::new(cost);
    server.play(at(0), at(20_000), cost / 100);
    assert!(server.longest_pause < STABLE, "{:?}", server.longest_pause);
    assert!(server.served > 100, "{} served", server.served);
}
