//! What targets say of themselves in their answers: that they leave, and for how long they want nothing.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future;
use ryetide_core::{
    route::{RouteRule, WorkKind},
    target_load::TargetEntry,
    target_registry::RegistryUpdate,
};
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// The header by which a target says that it leaves.
const LEAVING: &str = "test-leaving: 1\r\n";
/// A VM has heard the other after this time, many times over.
const HEARD_SPAN: Duration = Duration::from_secs(2);
/// For how long a target wants nothing, and when it may expect that this is known.
const HOLD_OFF: Duration = Duration::from_secs(2);
const HOLD_OFF_KNOWN: Duration = Duration::from_millis(500);
/// The clocks of the two sides agree within this time.
const HOLD_OFF_MARGIN: Duration = Duration::from_millis(100);
/// How many callers ask at once: more than the other target has places.
const CALLERS: usize = 6;
const SLOW_SPAN: Duration = Duration::from_millis(40);
/// What is permitted of requests between the two.
const PERMITTED_HELD: usize = 2;

fn route() -> RouteRule {
    support::route(WorkKind::Repeatable, 2)
}

/// Answers well and says that it leaves.
fn leaving(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        wire.send(&format!("{head}{LEAVING}content-length: 4\r\n\r\ndone")).await;
        Some(wire)
    })
}

/// Turns requests away and says both.
fn turning_away_for_good(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "503 Service Unavailable");
        let turned_away = format!("{head}{LEAVING}test-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        wire.send(&turned_away).await;
        Some(wire)
    })
}

/// Fails requests, and says that it leaves.
fn failing(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "500 Internal Server Error");
        wire.send(&format!("{head}{LEAVING}content-length: 0\r\n\r\n")).await;
        Some(wire)
    })
}

/// Turns requests away and wants nothing for [`HOLD_OFF`].
fn holding_off(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "503 Service Unavailable");
        let seconds = HOLD_OFF.as_secs();
        let told =
            format!("test-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n");
        wire.send(&format!("{head}{told}")).await;
        Some(wire)
    })
}

/// Tells the gateway of the targets once more, as a store does whose entries say nothing new.
async fn tell_again(gateway: &Gateway, targets: &[&Target]) {
    let entries: Vec<TargetEntry> = targets.iter().map(|target| target.entry.clone()).collect();
    gateway.tell(FleetUpdate::Targets(RegistryUpdate::whole(entries), 0)).await;
}

/// A target says in its answers that it leaves, while the store is away that would tell. Callers' requests went on to it
/// for as long as the store was: of all that it answered, only the status and the body were read. Whatever kind of answer
/// says so, it gets nothing more, also when the store's old entry comes again.
#[test]
fn a_target_whose_answer_says_that_it_leaves_gets_nothing_more() {
    for script in [leaving, turning_away_for_good, failing] {
        support::run(async {
            let [first, second] = support::names_in_order(["t1", "t2"]);
            let leaver = Target::start(first, script).await;
            let other = Target::start(second, support::answering).await;
            let gateway = Gateway::serving(route(), &[&leaver, &other]).await;
            let mut count = 0;
            while leaver.count() == 0 {
                count += 1;
                gateway.ask(&format!("q{count}"), "").await.expect("an answer");
            }
            let before = leaver.count();
            for again in 0..20 {
                if again == 10 {
                    tell_again(&gateway, &[&leaver, &other]).await;
                }
                let answer = gateway.ask(&format!("r{again}"), "").await.expect("an answer");
                assert_eq!(answer.status(), 200);
            }
            assert_eq!(leaver.count(), before);
        });
    }
}

/// One VM hears from a target that it leaves, and the store is away. The other VM's callers are not sent there either.
#[test]
fn a_vm_tells_the_others_which_target_leaves() {
    support::run(async {
        let [first, second] = support::names_in_order(["t1", "t2"]);
        let leaver = Target::start(first, leaving).await;
        let other = Target::start(second, support::answering).await;
        let mut gateways = Vec::new();
        for name in ["e1", "e2"] {
            let gateway = Rc::new(Gateway::start_named(name).await);
            let table = support::table(1, route(), Vec::new());
            gateway.tell(FleetUpdate::Routes(Arc::new(table))).await;
            gateway.set_targets(vec![leaver.entry.clone(), other.entry.clone()]).await;
            gateways.push(gateway);
        }
        support::join(&gateways).await;
        while leaver.count() == 0 {
            gateways[0].ask("q1", "").await.expect("an answer");
        }
        let before = leaver.count();
        time::sleep(HEARD_SPAN).await;
        for count in 0..10 {
            gateways[1].ask(&format!("r{count}"), "").await.expect("an answer");
        }
        assert_eq!(leaver.count(), before);
    });
}

/// Answers well, after a time in which its places are taken.
fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        time::sleep(SLOW_SPAN).await;
        wire.send(&support::whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

/// Asks again and again until `end`; returns how many requests were not answered well.
async fn keep_asking(gateway: &Gateway, caller: usize, end: Instant) -> usize {
    let mut failed = 0;
    for count in 0.. {
        if Instant::now() >= end {
            return failed;
        }
        let answer = gateway.ask(&format!("c{caller}-{count}"), "").await;
        failed += usize::from(answer.is_none_or(|answer| answer.status() != 200));
    }
    failed
}

/// A target is full and says for how long it wants nothing, while the other one's places are taken most of the time. Each
/// request that came to it in that time was turned away again, took from the budget of repeats and went back into line.
#[test]
fn a_target_that_wants_nothing_for_a_time_gets_nothing_in_it() {
    support::run(async {
        let full = Target::start("t1", holding_off).await;
        let other = Target::start("t2", slow).await;
        let gateway = Gateway::serving(route(), &[&full, &other]).await;
        let end = Instant::now() + HOLD_OFF;
        let callers = (0..CALLERS).map(|caller| keep_asking(&gateway, caller, end));
        let counting = async {
            while full.count() == 0 {
                time::sleep(Duration::from_millis(2)).await;
            }
            time::sleep(HOLD_OFF_KNOWN).await;
            let before = full.count();
            time::sleep_until((end - HOLD_OFF_MARGIN).into()).await;
            full.count() - before
        };
        let (failed, held) = tokio::join!(future::join_all(callers), counting);
        assert!(held <= PERMITTED_HELD, "{held} requests more");
        assert_eq!(failed.iter().sum::<usize>(), 0, "all are answered by the other");
    });
}
