//! Quarantine of a part of prompts that crashes each target that answers a request with it.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future;
use ryetide_core::route::{RouteKind, RouteRule};
use ryetide_gateway::ports::FleetUpdate;
use tokio::time;

use crate::{
    crashing_fleet::{CRASHING_PART, CrashingFleet},
    support::{self, Gateway},
};

/// The part with which all prompts begin.
const FIRST_PART: &str = "1";
/// The second parts of prompts that crash no target.
const SOUND_PARTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// The time after the fifth crash from which the part must reach targets no more.
const DETECTION_SPAN: Duration = Duration::from_secs(3);
/// The most requests with it that may reach targets after that time.
const MAX_LATER_REQUESTS: usize = 3;
/// The time between two requests with the part.
const CRASHING_PAUSE: Duration = Duration::from_millis(150);
/// The time for which they are sent.
const CRASHING_SPAN: Duration = Duration::from_millis(6_500);
/// The time after which the part is quarantined, and a new VM knows it.
const UNTIL_QUARANTINED: Duration = Duration::from_millis(4_500);
const PROPAGATION_SPAN: Duration = Duration::from_secs(1);
/// Many times longer than the gateway needs for an answer of its own.
const OWN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// The time between two requests with one sound part.
const SOUND_PAUSE: Duration = Duration::from_millis(20);

/// Numbers the requests, none of which comes twice.
#[derive(Default)]
struct Requests(Cell<u64>);

impl Requests {
    /// Sends a request whose prompt begins with the first part and `part`, and returns the status
    /// and the body of its answer.
    async fn send(&self, gateway: &Gateway, part: &str) -> (u16, String) {
        let number = self.0.replace(self.0.get() + 1);
        let headers = format!("test-parts: {FIRST_PART},{part}\r\n");
        let body = format!("request {number}");
        let answer = gateway.ask_with(&number.to_string(), &headers, &body).await;
        let answer = answer.expect("each request is answered");
        (answer.status(), answer.body)
    }

    /// Sends requests with `part` to the gateways in turn until `until`; returns the statuses of
    /// their answers with the times at which they were sent.
    async fn repeat(
        &self,
        gateways: &[Rc<Gateway>],
        part: &str,
        pause: Duration,
        until: Instant,
    ) -> Vec<(Instant, u16)> {
        let mut answers = Vec::new();
        for gateway in gateways.iter().cycle() {
            let sent = Instant::now();
            if sent >= until {
                break;
            }
            answers.push((sent, self.send(gateway, part).await.0));
            time::sleep(pause).await;
        }
        answers
    }
}

async fn start(name: &str) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::start_named(name).await);
    let route =
        RouteRule { timeout: Duration::from_secs(4), ..support::route(RouteKind::Repeatable, 2) };
    let table = support::table(1, route, Vec::new());
    gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
    gateway
}

async fn two_gateways() -> Vec<Rc<Gateway>> {
    let gateways = vec![start("e1").await, start("e2").await];
    support::join(&gateways).await;
    gateways
}

/// Guards against a part of prompts that crashes one target after the other, since no two requests
/// with it are alike, and against requests refused beside it that share their first part.
#[test]
fn a_part_of_prompts_that_crashes_targets_is_sent_to_them_no_more() {
    support::run(async {
        let gateways = two_gateways().await;
        let fleet = CrashingFleet::start(&gateways).await;
        let requests = Requests::default();
        let until = Instant::now() + CRASHING_SPAN;
        let crashing = requests.repeat(&gateways, CRASHING_PART, CRASHING_PAUSE, until);
        let sound = SOUND_PARTS.map(|it| requests.repeat(&gateways, it, SOUND_PAUSE, until));
        let (_, sound) = tokio::join!(crashing, future::join_all(sound));
        let settled = fleet.crash(5) + DETECTION_SPAN;
        let later = fleet.crashing_after(settled);
        assert!(later.len() <= MAX_LATER_REQUESTS, "{} later requests: {later:?}", later.len());
        let settled = sound.iter().flatten().filter(|(sent, _)| *sent > settled);
        let failed: Vec<u16> = settled.map(|(_, status)| *status).filter(|it| *it != 200).collect();
        assert!(failed.is_empty(), "sound requests got {failed:?}");
    });
}

/// Guards against a caller that waits in vain, and against further crashes through a VM that starts
/// after the part was quarantined at another one.
#[test]
fn requests_with_a_quarantined_part_are_refused_at_once_also_at_a_new_vm() {
    support::run(async {
        let first = [start("e1").await];
        let fleet = CrashingFleet::start(&first).await;
        let requests = Requests::default();
        let until = Instant::now() + UNTIL_QUARANTINED;
        let crashing = requests.repeat(&first, CRASHING_PART, CRASHING_PAUSE, until);
        let sound = SOUND_PARTS.map(|it| requests.repeat(&first, it, SOUND_PAUSE, until));
        tokio::join!(crashing, future::join_all(sound));
        let late = start("e2").await;
        support::join(&[Rc::clone(&first[0]), Rc::clone(&late)]).await;
        let entries = fleet.entries.borrow().clone();
        late.set_targets(entries).await;
        time::sleep(PROPAGATION_SPAN).await;
        let crashes = fleet.crashes.borrow().len();
        for gateway in [&first[0], &late] {
            let asked = Instant::now();
            let refusal = requests.send(gateway, CRASHING_PART).await;
            assert_eq!(refusal, (503, "quarantined\n".to_owned()));
            assert!(asked.elapsed() < OWN_ANSWER_TIMEOUT);
            assert_eq!(requests.send(gateway, SOUND_PARTS[0]).await.0, 200);
        }
        assert_eq!(fleet.crashes.borrow().len(), crashes);
    });
}
