//! Targets that state a rate limit for the requests of all VMs together.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future;
use ryetide_core::route::RouteKind;
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};
use tokio::{task, time};

use crate::support::{self, Gateway, Message, Target, Wire};

/// The rate limit that the target states, in requests per second.
const LIMIT: u32 = 2;
/// The time after which all VMs know the limit.
const PROPAGATION_SPAN: Duration = Duration::from_millis(500);
/// The time for which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long the brittle target takes for an answer.
const BRITTLE_SPAN: Duration = Duration::from_millis(300);
/// The number of callers that repeat requests at each VM.
const CALLERS: usize = 3;

/// Answers with 200 and states the limit.
fn limited(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        let headers = format!("test-limit: {LIMIT}.0\r\ncontent-length: 4\r\n\r\n");
        wire.send(&format!("{head}{headers}done")).await;
        Some(wire)
    })
}

/// Answers with 200 after a pause, during which a slot is occupied.
fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        time::sleep(Duration::from_millis(20)).await;
        wire.send(&support::whole(&request, "200 OK", "done")).await;
        Some(wire)
    })
}

async fn keep_asking(gateway: &Gateway, caller: usize, end: Instant) {
    for count in 0.. {
        if Instant::now() >= end {
            return;
        }
        let answer = gateway.ask(&format!("c{caller}-{count}"), "").await.expect("an answer");
        assert_eq!(answer.status(), 200, "the other target serves the requests above the limit");
    }
}

/// Answers with 200 after a pause, and says that the target is brittle.
fn brittle(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        time::sleep(BRITTLE_SPAN).await;
        let head = support::signed(&request, "200 OK");
        wire.send(&format!("{head}test-brittle: 3\r\ncontent-length: 4\r\n\r\ndone")).await;
        Some(wire)
    })
}

/// Guards against VMs that together send a brittle target more than it has slots for.
#[test]
fn a_vm_uses_its_share_of_the_slots_of_a_brittle_target() {
    support::run(async {
        let target = Target::start("t1", brittle).await;
        let mut gateways = Vec::new();
        for name in ["e1", "e2"] {
            let gateway = Rc::new(Gateway::start_named(name).await);
            let table = support::table(1, support::route(RouteKind::OnceOnly, 1), Vec::new());
            gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
            gateway.set_targets(vec![target.entry.clone()]).await;
            gateways.push(gateway);
        }
        support::join(&gateways).await;
        time::sleep(PROPAGATION_SPAN).await;
        gateways[1].ask("first", "").await.expect("an answer");
        time::sleep(PROPAGATION_SPAN).await;
        let callers = (0..CALLERS * 2).map(|number| {
            let gateway = Rc::clone(&gateways[0]);
            task::spawn_local(async move { gateway.ask(&format!("c{number}"), "").await })
        });
        let callers: Vec<_> = callers.collect();
        time::sleep(BRITTLE_SPAN / 2).await;
        let share = usize::try_from(target.entry.slots / 2).expect("a count");
        assert_eq!(target.count() - 1, share, "the other VM has told that the target is brittle");
        future::join_all(callers).await;
    });
}

/// Guards against a limit that is ignored, or that each VM uses up in full instead of its share.
#[test]
fn all_vms_together_keep_to_the_limit_of_a_target() {
    support::run(async {
        let limited_target = Target::start("t1", limited).await;
        let other = Target::start("t2", slow).await;
        let mut gateways = Vec::new();
        for name in ["e1", "e2"] {
            let gateway = Rc::new(Gateway::start_named(name).await);
            let table = support::table(1, support::route(RouteKind::Repeatable, 2), Vec::new());
            gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
            gateway.set_targets(vec![limited_target.entry.clone(), other.entry.clone()]).await;
            gateways.push(gateway);
        }
        support::join(&gateways).await;
        let end = Instant::now() + PROPAGATION_SPAN + WINDOW;
        let callers = gateways
            .iter()
            .flat_map(|gateway| (0..CALLERS).map(move |caller| keep_asking(gateway, caller, end)));
        let counting = async {
            time::sleep(PROPAGATION_SPAN).await;
            let before = limited_target.count();
            time::sleep(WINDOW).await;
            limited_target.count() - before
        };
        let (_, count) = tokio::join!(future::join_all(callers), counting);
        let permitted = LIMIT as usize * WINDOW.as_secs() as usize + 1;
        assert!(count <= permitted, "{count} requests in {WINDOW:?}, {permitted} permitted");
        assert!(count > 0, "the limited target gets requests");
    });
}
