//! Stopping: nothing that was read is lost.

use std::time::Duration;

use ryetide_core::route::WorkKind;
use ryetide_gateway::{gateway::GatewayOrder, ports::LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// The balancer must stop sending callers at once, those who still come are served, and what runs is
/// finished: a VM is replaced every few minutes at full size, and no caller may notice.
#[test]
fn a_gateway_that_stops_serves_what_it_has_and_what_still_comes() {
    fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(600)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", slow).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        let mut running = gateway.call().await;
        running.send(&support::request("POST", "q1", "", "body")).await;
        while target.count() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        gateway.order(GatewayOrder::Stop).await;
        while gateway.ready().await != 503 {
            time::sleep(Duration::from_millis(2)).await;
        }
        let late = gateway.ask("q2", "").await.expect("an answer");
        assert_eq!(late.status(), 200);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(running.read_message().await.expect("an answer").status(), 200);
        gateway.ended().await;
    });
}

/// The platform tells a process that its settings file has changed. Callers notice nothing.
#[test]
fn a_gateway_that_reads_its_settings_again_serves_on() {
    support::run(async {
        let target = Target::start("t1", support::answering).await;
        let gateway = Gateway::serving(support::route(WorkKind::OnceOnly, 1), &[&target]).await;
        for id in ["q1", "q2", "q3"] {
            gateway.order(GatewayOrder::Reload).await;
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(gateway.ready().await, 200);
    });
}
