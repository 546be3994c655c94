//! Answers that end with their connection, of targets whose address other entries have as well.

use std::{rc::Rc, sync::Arc};

use ryetide_core::{
    ids::TargetIncarnation,
    route::{RouteKind, RouteTable, RoutedService},
    target_load::TargetEntry,
    units::Revision,
};
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};

use crate::support::{self, Gateway, Message, StreamEnd, Target, Wire};

const KINDS: [RouteKind; 3] = [
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
    RouteKind::OnceOnly,
];
const BODY: &str = "id: 1\ndata: a\n\n";
/// A service that no route names.
const OTHER_SERVICE: &str = "telemetry";
/// Later than any start of a target in these tests.
const LATER: TargetIncarnation = TargetIncarnation(9_000_000_000_000);

/// Answers with a body that ends with its connection. `reply` is for a request without an id.
async fn answer(reply: &str, request: Message, mut wire: Wire) -> Option<Wire> {
    if request.header("test-id").is_none() {
        wire.send(&format!("HTTP/1.1 {reply}\r\ncontent-length: 0\r\n\r\n")).await;
        return Some(wire);
    }
    wire.send(&format!("{}\r\n{BODY}", support::signed(&request, "200 OK"))).await;
    None
}

/// The target `t1`, at the health path.
fn naming_itself(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(answer("200 OK\r\ntest-target-id: t1", request, wire))
}

/// A target that runs no request without an id, and has been asked for by its name.
fn rejecting(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(answer("400 Bad Request\r\ntest-not-run: 1", request, wire))
}

/// Another target than the one that is asked for.
fn misdirected(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(answer("421 Misdirected Request\r\ntest-not-run: 1", request, wire))
}

/// A target of another name that does not compare names.
fn naming_another(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(answer("200 OK\r\ntest-target-id: t9", request, wire))
}

/// A program that is no target.
fn unspecific(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(answer("200 OK", request, wire))
}

/// Entries that other programs have written with the address of `target`.
fn claims(target: &TargetEntry, service: &str) -> Vec<Vec<TargetEntry>> {
    let claim = |name: &str| TargetEntry {
        name: name.into(),
        service: service.into(),
        slots: 1,
        ..target.clone()
    };
    vec![
        vec![claim("a-monitor")],
        vec![claim("z-monitor")],
        vec![TargetEntry { incarnation: LATER, ..claim("z-monitor") }],
        vec![TargetEntry { leaving: true, ..claim("a-monitor") }],
        (0..50).map(|number| claim(&format!("monitor-{number}"))).collect(),
    ]
}

async fn ask(gateway: &Gateway) -> StreamEnd {
    let mut wire = gateway.call().await;
    wire.send(&support::request("POST", "q1", "", "body")).await;
    let head = wire.read_to("\r\n\r\n").await.expect("a head");
    let head = Message { head, body: String::new() };
    if head.status() != 200 {
        return StreamEnd::Refused(head.status());
    }
    match head.header("content-length") {
        Some(length) => {
            let body = wire.read_exactly(length.parse().expect("a length")).await;
            body.map_or(StreamEnd::BrokenOff(String::new()), StreamEnd::Complete)
        }
        None => match support::read_chunks(&mut wire).await {
            (body, true) => StreamEnd::Complete(body),
            (body, false) => StreamEnd::BrokenOff(body),
        },
    }
}

/// Asks a target that leaves, so that no request goes to an entry that claims its address.
async fn ask_claimed(kind: RouteKind, target: &Target, claims: Vec<TargetEntry>) -> StreamEnd {
    let gateway = Gateway::serving(support::route(kind, 1), &[target]).await;
    gateway.send_targets([vec![target.entry.clone()], claims].concat()).await;
    ask(&gateway).await
}

/// Guards against whole answers without their end, because a program that is no target has written an
/// entry with the target's address.
#[test]
fn entries_of_an_unknown_service_take_no_end_from_answers() {
    support::run(async {
        for kind in KINDS {
            let target = Target::start("t1", unspecific).await;
            for claims in claims(&target.entry, OTHER_SERVICE) {
                let end = ask_claimed(kind, &target, claims.clone()).await;
                assert_eq!(end, StreamEnd::Complete(BODY.to_owned()), "{kind:?} {claims:?}");
            }
        }
    });
}

/// Guards against whole answers without their end, because an entry of a service in force has the
/// target's address.
#[test]
fn claims_of_a_known_service_take_no_end_from_answers_of_a_target_that_names_itself() {
    support::run(async {
        for kind in KINDS {
            for script in [naming_itself as support::Script, rejecting] {
                let target = Target::start("t1", script).await;
                for mut claims in claims(&target.entry, support::SERVICE) {
                    // None of them gets the request itself.
                    claims.iter_mut().for_each(|claim| claim.leaving = true);
                    let end = ask_claimed(kind, &target, claims.clone()).await;
                    assert_eq!(end, StreamEnd::Complete(BODY.to_owned()), "{kind:?} {claims:?}");
                }
            }
        }
    });
}

/// Guards against a part of an answer that looks complete, because another process has the address of a
/// target that has crashed.
#[test]
fn an_answer_is_not_complete_when_another_process_has_the_address() {
    support::run(async {
        for kind in KINDS {
            for script in [misdirected as support::Script, naming_another, unspecific] {
                let target = Target::start("t1", script).await;
                let claim =
                    TargetEntry { name: "t2".into(), leaving: true, ..target.entry.clone() };
                let end = ask_claimed(kind, &target, vec![claim]).await;
                assert!(!matches!(end, StreamEnd::Complete(_)), "{kind:?}: {end:?}");
            }
        }
    });
}

/// Guards against requests that are broken off, and a target that gets none any more, because another
/// program has overwritten its entry with a later start time for a moment.
#[test]
fn an_overwritten_entry_of_an_unknown_service_ends_no_run_and_no_target() {
    fn answering_slowly(request: Message, mut wire: Wire) -> LocalFuture<'static, Option<Wire>> {
        Box::pin(async move {
            for _ in 0..5 {
                support::let_bytes_arrive().await;
            }
            wire.send(&support::whole(&request, "200 OK", "done")).await;
            Some(wire)
        })
    }
    support::run(async {
        let target = Target::start("t1", answering_slowly).await;
        let route = support::route(RouteKind::OnceOnly, 1);
        let gateway = Gateway::serving(route, &[&target]).await;
        let overwritten = TargetEntry {
            service: OTHER_SERVICE.into(),
            incarnation: LATER,
            ..target.entry.clone()
        };
        let overwriting = async {
            while target.count() == 0 {
                support::let_bytes_arrive().await;
            }
            gateway.send_targets(vec![overwritten]).await;
        };
        let (answer, ()) = tokio::join!(gateway.ask("q1", ""), overwriting);
        assert_eq!(answer.expect("an answer").status(), 200);
        gateway.send_targets(vec![target.entry.clone()]).await;
        let answer = gateway.ask("q2", "").await.expect("an answer");
        assert_eq!(answer.status(), 200, "the target's own entry is back");
    });
}

/// Guards against targets that stay unknown because their entries came before the configuration that
/// names their service.
#[test]
fn a_target_whose_service_is_named_later_gets_requests() {
    support::run(async {
        let target = Target::start("t1", support::answering).await;
        let gateway = Rc::new(Gateway::start().await);
        let entry = TargetEntry { service: OTHER_SERVICE.into(), ..target.entry.clone() };
        gateway.send_targets(vec![entry]).await;
        let mut route = support::route(RouteKind::OnceOnly, 1);
        let mut unnamed = route.clone();
        route.shares[0].service = OTHER_SERVICE.into();
        unnamed.timeout = std::time::Duration::from_millis(50);
        for (revision, route, status) in [(1, unnamed, 503), (2, route, 200)] {
            let service = RoutedService {
                name: route.shares[0].service.clone(),
                connection_limit: 100,
                engine: None,
                health_path: Default::default(),
            };
            let table = RouteTable::builder(Revision(revision)).route(route).service(service);
            gateway.send_update(FleetUpdate::Routes(Arc::new(table.build()))).await;
            support::let_bytes_arrive().await;
            let answer = gateway.ask("q1", "").await.expect("an answer");
            assert_eq!(answer.status(), status, "revision {revision}");
        }
    });
}
