//! Targets that name the requests a second which they take from all VMs together.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future;
use ryetide_core::route::WorkKind;
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// What the target takes a second, as it names it.
const LIMIT: u32 = 2;
/// A VM that has passed an answer on which names a limit keeps to it after this time.
const TOLD_SPAN: Duration = Duration::from_millis(500);
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How many callers ask each VM again and again.
const CALLERS: usize = 3;

/// Answers well and names its limit.
fn limited(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(async move {
        let head = support::signed(&request, "200 OK");
        let told = format!("test-limit: {LIMIT}.0\r\ncontent-length: 4\r\n\r\n");
        wire.send(&format!("{head}{told}done")).await;
        Some(wire)
    })
}

/// Answers well, after a time in which its places are taken.
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
        assert_eq!(answer.status(), 200, "the other target serves what this one does not take");
    }
}

/// Guards against the limit of a target in need being read by nobody, or kept by each VM as if it were alone.
#[test]
fn a_target_that_names_a_limit_gets_no_more_from_all_vms_together() {
    support::run(async {
        let needy = Target::start("t1", limited).await;
        let other = Target::start("t2", slow).await;
        let mut gateways = Vec::new();
        for name in ["e1", "e2"] {
            let gateway = Rc::new(Gateway::start_named(name).await);
            let table = support::table(1, support::route(WorkKind::Repeatable, 2), Vec::new());
            gateway.tell(FleetUpdate::Routes(Arc::new(table))).await;
            gateway.set_targets(vec![needy.entry.clone(), other.entry.clone()]).await;
            gateways.push(gateway);
        }
        support::join(&gateways).await;
        let end = Instant::now() + TOLD_SPAN + WINDOW;
        let callers = gateways
            .iter()
            .flat_map(|gateway| (0..CALLERS).map(move |caller| keep_asking(gateway, caller, end)));
        let counting = async {
            time::sleep(TOLD_SPAN).await;
            let before = needy.count();
            time::sleep(WINDOW).await;
            needy.count() - before
        };
        let (_, count) = tokio::join!(future::join_all(callers), counting);
        let permitted = LIMIT as usize * WINDOW.as_secs() as usize + 1;
        assert!(count <= permitted, "{count} requests in {WINDOW:?}, {permitted} permitted");
        assert!(count > 0, "what it takes it gets");
    });
}
