//! A request that crashes each target which begins to run it, and what runs beside it.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use ryetide_core::{
    route::{RouteRule, WorkKind},
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
const DEADLY: &str = "deadly";
const TARGETS: usize = 4;
/// What a gateway answers that will not send a request to any target.
const REFUSAL: &str = "quarantined\n";
/// An answer that needs no target comes within this time, many times over.
const AT_ONCE: Duration = Duration::from_millis(200);
/// How long a target needs to crash under the deadly request, and to answer any other.
const CRASH_SPAN: Duration = Duration::from_millis(30);
const ANSWER_SPAN: Duration = Duration::from_millis(120);
/// How long a target that has crashed is away.
const AWAY_SPAN: Duration = Duration::from_millis(600);
/// A VM that has started has heard the others after this time.
const TOLD_SPAN: Duration = Duration::from_secs(1);
/// What is permitted: no more than this many attempts that a caller makes later than this after the third crash may
/// reach targets.
const SETTLED_SPAN: Duration = Duration::from_secs(3);
const PERMITTED_LATER: usize = 3;

/// A request that came to a target.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    id: String,
    deadly: bool,
}

/// Targets that crash under the deadly request, and come back under new names at their old addresses.
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
            task::spawn_local(Rc::clone(&fleet).keep(slot, address, listener));
        }
        let entries = fleet.entries.borrow().clone();
        for gateway in gateways {
            gateway.set_targets(entries.clone()).await;
        }
        fleet
    }

    /// Runs the target of one address, one life after the other.
    async fn keep(self: Rc<Self>, slot: usize, address: SocketAddr, first: TcpListener) {
        let mut listener = first;
        for life in 1.. {
            self.live(listener).await;
            self.crashes.borrow_mut().push(Instant::now());
            time::sleep(AWAY_SPAN).await;
            listener = TcpListener::bind(address).await.expect("the port is free again");
            self.entries.borrow_mut()[slot] = support::entry(&format!("t{slot}-{life}"), address);
            self.tell().await;
        }
    }

    async fn tell(&self) {
        let (entries, gateways) = (self.entries.borrow().clone(), self.gateways.borrow().clone());
        for gateway in gateways {
            let update = RegistryUpdate::whole(entries.clone());
            gateway.tell(FleetUpdate::Targets(update, 0)).await;
        }
    }

    /// Serves until the deadly request has come; all connections then break.
    async fn live(self: &Rc<Self>, listener: TcpListener) {
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
            let deadly = message.body == DEADLY;
            let id = message.header("test-id").unwrap_or_default().to_owned();
            self.arrivals.borrow_mut().push(Arrival { at: Instant::now(), id, deadly });
            time::sleep(if deadly { CRASH_SPAN } else { ANSWER_SPAN }).await;
            if deadly {
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

    /// Returns the deadly request's attempts that came to targets after `from`, by id.
    fn deadly_after(&self, from: Instant) -> Vec<String> {
        let arrivals = self.arrivals.borrow();
        let later = arrivals.iter().filter(|arrival| arrival.deadly && arrival.at > from);
        let mut ids: Vec<String> = later.map(|arrival| arrival.id.clone()).collect();
        ids.dedup();
        ids
    }
}

fn route() -> RouteRule {
    RouteRule { timeout: Duration::from_secs(4), ..support::route(WorkKind::Repeatable, 2) }
}

/// Starts a gateway that serves the test's route.
async fn start(name: &str) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::start_named(name).await);
    let table = support::table(1, route(), Vec::new());
    gateway.tell(FleetUpdate::Routes(Arc::new(table))).await;
    gateway
}

async fn two_gateways() -> Vec<Rc<Gateway>> {
    let gateways = vec![start("e1").await, start("e2").await];
    support::join(&gateways).await;
    gateways
}

/// Asks the gateways in turn with one body until `until`, and returns the answers.
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

/// Asks with the deadly request until a gateway refuses it; returns that answer.
async fn until_refused(gateways: &[Rc<Gateway>]) -> Message {
    for (count, gateway) in gateways.iter().cycle().enumerate() {
        let answer = gateway.ask_with(&format!("deadly{count}"), "", DEADLY).await;
        let answer = answer.expect("each attempt gets its final answer");
        if answer.body == REFUSAL {
            return answer;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the gateways are asked until one refuses")
}

/// A caller's request crashes each target that begins to run it. It comes again and again, under new ids and at either
/// of two VMs, and takes targets away from everybody for as long as it does: one after the other crashes, with all that
/// runs there. Nothing tied one attempt to the next: the lines of the VMs show the same print under each id, and each of them
/// placed like any other request.
#[test]
fn a_request_that_crashes_targets_is_soon_sent_to_none() {
    support::run(async {
        let gateways = two_gateways().await;
        let fleet = CrashingFleet::start(&gateways).await;
        let until = Instant::now() + Duration::from_secs(6);
        let pause = Duration::from_millis(70);
        let answers = repeat(&gateways, "deadly", DEADLY, pause, until).await;
        let later = fleet.deadly_after(fleet.third_crash() + SETTLED_SPAN);
        assert!(later.len() <= PERMITTED_LATER, "{} attempts more: {later:?}", later.len());
        assert!(answers.iter().all(Option::is_some), "each attempt gets its final answer");
    });
}

/// It is told at once that it will not run, and when it might: the VM holds nobody back who asks in vain.
#[test]
fn its_caller_gets_the_final_answer_at_once() {
    support::run(async {
        let gateways = two_gateways().await;
        let fleet = CrashingFleet::start(&gateways).await;
        until_refused(&gateways).await;
        let arrived = fleet.deadly_after(fleet.third_crash()).len();
        let asked = Instant::now();
        let answer = gateways[0].ask_with("again", "", DEADLY).await.expect("an answer");
        assert!(asked.elapsed() < AT_ONCE);
        assert_eq!((answer.status(), answer.body.as_str()), (503, REFUSAL));
        let retry: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry >= 60.0, "it would be refused again after {retry} s");
        assert_eq!(fleet.deadly_after(fleet.third_crash()).len(), arrived);
    });
}

/// Other callers' requests run beside it, break off with one target after the other and come again. When the deadly one is
/// found out, each of them is answered, among them those that were there at three crashes and more.
#[test]
fn what_ran_beside_it_is_served_as_before() {
    support::run(async {
        let gateways = two_gateways().await;
        let _fleet = CrashingFleet::start(&gateways).await;
        let beside = ["a", "b", "c", "d", "e", "f"];
        let until = Instant::now() + Duration::from_secs(4);
        let pause = Duration::from_millis(10);
        let deadly = repeat(&gateways, "deadly", DEADLY, Duration::from_millis(60), until);
        let asked = beside.map(|body| repeat(&gateways, body, body, pause, until));
        let (_, answers) = tokio::join!(deadly, futures_util::future::join_all(asked));
        for answer in answers.iter().flatten().flatten() {
            assert_ne!(answer.body, REFUSAL);
        }
        for (body, gateway) in beside.iter().zip(gateways.iter().cycle()) {
            let answer = gateway.ask_with("last", "", body).await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
    });
}

/// A VM starts when another has found it out. Its first caller brings the deadly request, and no target crashes for that.
#[test]
fn a_vm_that_starts_knows_what_the_others_know() {
    support::run(async {
        let first = [start("e1").await];
        let fleet = CrashingFleet::start(&first).await;
        until_refused(&first).await;
        let late = start("e2").await;
        support::join(&[Rc::clone(&first[0]), Rc::clone(&late)]).await;
        let entries = fleet.entries.borrow().clone();
        late.set_targets(entries).await;
        let crashes = fleet.crashes.borrow().len();
        time::sleep(TOLD_SPAN).await;
        let answer = late.ask_with("first", "", DEADLY).await.expect("an answer");
        assert_eq!(answer.body, REFUSAL);
        assert_eq!(fleet.crashes.borrow().len(), crashes);
    });
}
