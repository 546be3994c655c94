//! Stopping and reloading: no request is lost.

use std::time::Duration;

use ryetide_core::route::RouteKind;
use ryetide_gateway::{gateway::GatewayCommand, ports::LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, Target, Wire};

/// Guards against requests that are lost when a VM is replaced, which happens every few minutes in
/// a fleet of full size. A stopping gateway reports at once that it is not ready, still serves
/// callers that connect, and finishes running requests.
#[test]
fn a_stopping_gateway_serves_running_and_new_requests() {
    fn slow(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            time::sleep(Duration::from_millis(600)).await;
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", slow).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        let mut running = gateway.call().await;
        running.send(&support::request("POST", "q1", "", "body")).await;
        while target.count() == 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        gateway.send_command(GatewayCommand::Stop).await;
        while gateway.ready().await != 503 {
            time::sleep(Duration::from_millis(2)).await;
        }
        let late = gateway.ask("q2", "").await.expect("an answer");
        assert_eq!(late.status(), 200);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(running.read_message().await.expect("an answer").status(), 200);
        gateway.stopped().await;
    });
}

/// Guards against requests that fail while the settings are reloaded.
#[test]
fn a_gateway_serves_requests_while_it_reloads_its_settings() {
    support::run(async {
        let target = Target::start("t1", support::answering).await;
        let gateway = Gateway::serving(support::route(RouteKind::OnceOnly, 1), &[&target]).await;
        for id in ["q1", "q2", "q3"] {
            gateway.send_command(GatewayCommand::Reload).await;
            assert_eq!(gateway.ask(id, "").await.expect("an answer").status(), 200);
        }
        assert_eq!(gateway.ready().await, 200);
    });
}
