//! Quarantine of a request that crashes each target that runs it, and its effect on other requests.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use ryetide_core::route::{RouteKind, RouteRule};
use ryetide_gateway::ports::FleetUpdate;
use tokio::time;

use crate::{
    crashing_fleet::{CRASHING, CrashingFleet},
    support::{self, Gateway, Message},
};

/// The body of a gateway's answer to a quarantined request.
const REFUSAL: &str = "quarantined\n";
/// Many times longer than the gateway needs for an answer of its own.
const OWN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// The time after which a new VM has received the digests of the others.
const PROPAGATION_SPAN: Duration = Duration::from_secs(1);
/// The time after the third crash from which the request must be quarantined.
const DETECTION_SPAN: Duration = Duration::from_secs(3);
/// The most attempts that may reach targets after that time.
const MAX_LATER_ATTEMPTS: usize = 3;

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
        let later = fleet.crashing_after(fleet.crash(3) + DETECTION_SPAN);
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
        let arrived = fleet.crashing_after(fleet.crash(3)).len();
        let asked = Instant::now();
        let answer = gateways[0].ask_with("again", "", CRASHING).await.expect("an answer");
        assert!(asked.elapsed() < OWN_ANSWER_TIMEOUT);
        assert_eq!((answer.status(), answer.body.as_str()), (503, REFUSAL));
        let retry: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry >= 60.0, "it would be refused again after {retry} s");
        assert_eq!(fleet.crashing_after(fleet.crash(3)).len(), arrived);
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
