//! Targets that crash when they run certain requests, and restart under new names.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ryetide_core::{target_load::TargetEntry, target_registry::RegistryUpdate};
use ryetide_gateway::ports::FleetUpdate;
use tokio::{
    net::TcpListener,
    task::{self, JoinSet},
    time,
};

use crate::support::{self, Gateway, Message, Wire};

/// The body of a request that crashes targets.
pub const CRASHING: &str = "deadly";
/// The part of prompts that crashes targets.
pub const CRASHING_PART: &str = "bad";
const TARGETS: usize = 4;
/// How long a crashing request runs until its target crashes.
const CRASH_SPAN: Duration = Duration::from_millis(30);
/// How long a target needs to answer any other request.
const ANSWER_SPAN: Duration = Duration::from_millis(120);
/// How long a crashed target is down.
const DOWN_SPAN: Duration = Duration::from_millis(600);

/// A request that was received by a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The caller's id of the request.
    pub id: String,
    /// Whether it crashes the target.
    pub crashing: bool,
}

/// Targets that crash when they run the crashing request, and restart under new names at the same
/// addresses.
#[derive(Default)]
pub struct CrashingFleet {
    /// The entries of the targets that run, or ran last.
    pub entries: RefCell<Vec<TargetEntry>>,
    /// The requests that reached targets.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// The times of the crashes.
    pub crashes: RefCell<Vec<Instant>>,
    gateways: RefCell<Vec<Rc<Gateway>>>,
}

impl CrashingFleet {
    /// Starts the targets and lists them at the gateways.
    pub async fn start(gateways: &[Rc<Gateway>]) -> Rc<Self> {
        let fleet = Rc::new(Self::default());
        *fleet.gateways.borrow_mut() = gateways.to_vec();
        for slot in 0..TARGETS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            fleet.entries.borrow_mut().push(support::entry(&format!("t{slot}-0"), address));
            task::spawn_local(Rc::clone(&fleet).run_target(slot, address, listener));
        }
        let entries = fleet.entries.borrow().clone();
        for gateway in gateways {
            gateway.set_targets(entries.clone()).await;
        }
        fleet
    }

    /// Runs the target of one address and restarts it after each crash.
    async fn run_target(self: Rc<Self>, slot: usize, address: SocketAddr, first: TcpListener) {
        let mut listener = first;
        for incarnation in 1.. {
            self.serve_until_crash(listener).await;
            self.crashes.borrow_mut().push(Instant::now());
            time::sleep(DOWN_SPAN).await;
            listener = TcpListener::bind(address).await.expect("the port is free again");
            self.entries.borrow_mut()[slot] =
                support::entry(&format!("t{slot}-{incarnation}"), address);
            self.send_targets().await;
        }
    }

    async fn send_targets(&self) {
        let (entries, gateways) = (self.entries.borrow().clone(), self.gateways.borrow().clone());
        for gateway in gateways {
            let update = RegistryUpdate::whole(entries.clone());
            gateway.send_update(FleetUpdate::Targets(update, 0)).await;
        }
    }

    /// Serves until the crashing request has run; then all connections break.
    async fn serve_until_crash(self: &Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    connections.spawn_local(Rc::clone(self).serve(Wire::new(stream)));
                }
                Some(Ok(true)) = connections.join_next() => return,
            }
        }
    }

    /// Serves one connection; returns whether the target has crashed.
    async fn serve(self: Rc<Self>, mut wire: Wire) -> bool {
        while let Some(message) = wire.read_message().await {
            let crashing = is_crashing(&message);
            let id = message.header("test-id").unwrap_or_default().to_owned();
            self.arrivals.borrow_mut().push(Arrival { at: Instant::now(), id, crashing });
            time::sleep(if crashing { CRASH_SPAN } else { ANSWER_SPAN }).await;
            if crashing {
                return true;
            }
            wire.send(&support::whole(&message, "200 OK", "done")).await;
        }
        false
    }

    /// Returns when the target with this number in the order of crashes crashed, from 1 on.
    pub fn crash(&self, number: usize) -> Instant {
        *self.crashes.borrow().get(number - 1).expect("so many crashes")
    }

    /// Returns the ids of the attempts of crashing requests that reached targets after `from`.
    pub fn crashing_after(&self, from: Instant) -> Vec<String> {
        let arrivals = self.arrivals.borrow();
        let later = arrivals.iter().filter(|arrival| arrival.crashing && arrival.at > from);
        let mut ids: Vec<String> = later.map(|arrival| arrival.id.clone()).collect();
        ids.dedup();
        ids
    }
}

fn is_crashing(message: &Message) -> bool {
    let mut parts = message.header("test-parts").unwrap_or_default().split(',');
    message.body == CRASHING || parts.any(|part| part == CRASHING_PART)
}
