//! Quarantine of a request that crashes each target that runs it, and its effect on other requests.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use ryetide_core::{
    route::{RouteKind, RouteRule},
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
};
use ryetide_gateway::ports::FleetUpdate;
use tokio::{
    net::TcpListener,
    task::{self, JoinSet},
    time,
};

use crate::support::{self, Gateway, Message, Wire};

/// The body of the request that crashes targets.
const CRASHING: &str = "deadly";
const TARGETS: usize = 4;
/// The body of a gateway's answer to a quarantined request.
const REFUSAL: &str = "quarantined\n";
/// Many times longer than the gateway needs for an answer of its own.
const OWN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the crashing request runs until its target crashes.
const CRASH_SPAN: Duration = Duration::from_millis(30);
/// How long a target needs to answer any other request.
const ANSWER_SPAN: Duration = Duration::from_millis(120);
/// How long a crashed target is down.
const DOWN_SPAN: Duration = Duration::from_millis(600);
/// The time after which a new VM has received the digests of the others.
const PROPAGATION_SPAN: Duration = Duration::from_secs(1);
/// The time after the third crash from which the request must be quarantined.
const DETECTION_SPAN: Duration = Duration::from_secs(3);
/// The most attempts that may reach targets after that time.
const MAX_LATER_ATTEMPTS: usize = 3;

/// A request that was received by a target.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    id: String,
    crashing: bool,
}

/// Targets that crash when they run the crashing request, and restart under new names at the same
/// addresses.
#[derive(Default)]
struct CrashingFleet {
    entries: RefCell<Vec<TargetEntry>>,
    arrivals: RefCell<Vec<Arrival>>,
    crashes: RefCell<Vec<Instant>>,
    gateways: RefCell<Vec<Rc<Gateway>>>,
}

impl CrashingFleet {
    async fn start(gateways: &[Rc<Gateway>]) -> Rc<Self> {
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
            let crashing = message.body == CRASHING;
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

    /// Returns when the third target crashed.
    fn third_crash(&self) -> Instant {
        *self.crashes.borrow().get(2).expect("three crashes")
    }

    /// Returns the ids of the attempts of the crashing request that reached targets after `from`.
    fn crashing_after(&self, from: Instant) -> Vec<String> {
        let arrivals = self.arrivals.borrow();
        let later = arrivals.iter().filter(|arrival| arrival.crashing && arrival.at > from);
        let mut ids: Vec<String> = later.map(|arrival| arrival.id.clone()).collect();
        ids.dedup();
        ids
    }
}

fn route() -> RouteRule {
    RouteRule { timeout: Duration::from_secs(4), ..support::route(RouteKind::Repeatable, 2) }
}

/// Starts a gateway that serves the test's route.
async fn start(name: &str) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::start_named(name).await);
    let table = support::table(1, route(), Vec::new());
    gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
    gateway
}

async fn two_gateways() -> Vec<Rc<Gateway>> {
    let gateways = vec![start("e1").await, start("e2").await];
    support::join(&gateways).await;
    gateways
}

/// Sends requests with one body to the gateways in turn until `until`, and returns the answers.
async fn repeat(
    gateways: &[Rc<Gateway>],
    name: &str,
    body: &str,
    pause: Duration,
    until: Instant,
) -> Vec<Option<Message>> {
    let mut answers = Vec::new();
    for (count, gateway) in gateways.iter().cycle().enumerate() {
        if Instant::now() >= until {
            return answers;
        }
        answers.push(gateway.ask_with(&format!("{name}{count}"), "", body).await);
        time::sleep(pause).await;
    }
    answers
}

/// Sends the crashing request until a gateway refuses it; returns that answer.
async fn until_refused(gateways: &[Rc<Gateway>]) -> Message {
    for (count, gateway) in gateways.iter().cycle().enumerate() {
        let answer = gateway.ask_with(&format!("deadly{count}"), "", CRASHING).await;
        let answer = answer.expect("each attempt is answered");
        if answer.body == REFUSAL {
            return answer;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the loop ends only when a gateway refuses the request")
}

/// Guards against a request that crashes one target after the other, together with all other
/// requests that run there. It is repeated under new ids at two VMs, so only its fingerprint
/// connects the attempts.
#[test]
fn a_request_that_crashes_targets_is_quarantined() {
    support::run(async {
        let gateways = two_gateways().await;
        let fleet = CrashingFleet::start(&gateways).await;
        let until = Instant::now() + Duration::from_secs(6);
        let pause = Duration::from_millis(70);
        let answers = repeat(&gateways, "deadly", CRASHING, pause, until).await;
        let later = fleet.crashing_after(fleet.third_crash() + DETECTION_SPAN);
        assert!(later.len() <= MAX_LATER_ATTEMPTS, "{} later attempts: {later:?}", later.len());
        assert!(answers.iter().all(Option::is_some), "each attempt is answered");
    });
}

/// Guards against a caller that waits in vain: a quarantined request is refused at once, with a
/// retry delay.
#[test]
fn a_quarantined_request_is_refused_at_once() {
    support::run(async {
        let gateways = two_gateways().await;
        let fleet = CrashingFleet::start(&gateways).await;
        until_refused(&gateways).await;
        let arrived = fleet.crashing_after(fleet.third_crash()).len();
        let asked = Instant::now();
        let answer = gateways[0].ask_with("again", "", CRASHING).await.expect("an answer");
        assert!(asked.elapsed() < OWN_ANSWER_TIMEOUT);
        assert_eq!((answer.status(), answer.body.as_str()), (503, REFUSAL));
        let retry: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry >= 60.0, "it would be refused again after {retry} s");
        assert_eq!(fleet.crashing_after(fleet.third_crash()).len(), arrived);
    });
}

/// Guards against quarantining requests that only ran on the crashed targets at the same time. They
/// are retried, and answered once the crashing request is quarantined, even those that were present
/// at three or more crashes.
#[test]
fn other_requests_on_crashed_targets_are_not_quarantined() {
    support::run(async {
        let gateways = two_gateways().await;
        let _fleet = CrashingFleet::start(&gateways).await;
        let others = ["a", "b", "c", "d", "e", "f"];
        let until = Instant::now() + Duration::from_secs(4);
        let pause = Duration::from_millis(10);
        let crashing = repeat(&gateways, "deadly", CRASHING, Duration::from_millis(60), until);
        let asked = others.map(|body| repeat(&gateways, body, body, pause, until));
        let (_, answers) = tokio::join!(crashing, futures_util::future::join_all(asked));
        for answer in answers.iter().flatten().flatten() {
            assert_ne!(answer.body, REFUSAL);
        }
        for (body, gateway) in others.iter().zip(gateways.iter().cycle()) {
            let answer = gateway.ask_with("last", "", body).await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
    });
}

/// Guards against a further crash through a VM that starts after the request was quarantined at
/// another VM.
#[test]
fn a_new_vm_learns_quarantines_from_its_peers() {
    support::run(async {
        let first = [start("e1").await];
        let fleet = CrashingFleet::start(&first).await;
        until_refused(&first).await;
        let late = start("e2").await;
        support::join(&[Rc::clone(&first[0]), Rc::clone(&late)]).await;
        let entries = fleet.entries.borrow().clone();
        late.set_targets(entries).await;
        let crashes = fleet.crashes.borrow().len();
        time::sleep(PROPAGATION_SPAN).await;
        let answer = late.ask_with("first", "", CRASHING).await.expect("an answer");
        assert_eq!(answer.body, REFUSAL);
        assert_eq!(fleet.crashes.borrow().len(), crashes);
    });
}
