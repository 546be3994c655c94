//! Streams of services whose targets run several versions of their software.

use std::{rc::Rc, sync::Arc, time::Duration};

use ryetide_core::{
    ids::{ServiceKey, VersionKey},
    route::RouteKind,
    target_load::TargetEntry,
    version_history::ServiceVersions,
};
use ryetide_gateway::ports::{FleetUpdate, LocalFuture};
use tokio::time;

use crate::support::{self, Gateway, Message, StreamEnd, Target, Wire};

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
/// The number of streams in a test. The retry budget of a VM permits as many resumes at once.
const STREAMS: usize = 4;
/// The time after which gateways have received each other's digests.
const PROPAGATION_SPAN: Duration = Duration::from_millis(500);

fn event(version: &str, number: u32) -> String {
    format!("id: {number}\ndata: {version}\n\n")
}

fn last_event(request: &Message) -> u32 {
    request.header("last-event-id").map_or(0, |id| id.parse().expect("an id"))
}

/// Sends the events of a target of `version` from the one after the request's last event. The stream has
/// four events; with `test-break` in the request, its first attempt breaks inside the third, and with
/// `test-leave` it pauses after the second.
async fn stream(version: &str, request: Message, mut wire: Wire) -> Option<Wire> {
    wire.send(&format!("{}\r\n", support::signed(&request, "200 OK"))).await;
    let breaks = request.header("test-break").is_some() && last_event(&request) == 0;
    let pauses = request.header("test-leave").is_some();
    for number in last_event(&request) + 1..=if breaks || pauses { 2 } else { 4 } {
        wire.send(&event(version, number)).await;
        time::sleep(Duration::from_millis(5)).await;
    }
    if pauses {
        wire.closed().await;
        return None;
    }
    if breaks {
        wire.send("id: 3\nda").await;
        support::let_bytes_arrive().await;
        wire.reset();
    }
    None
}

fn stream_v1(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(stream("v1", request, wire))
}

fn stream_v2(request: Message, wire: Wire) -> LocalFuture<'static, Option<Wire>> {
    Box::pin(stream("v2", request, wire))
}

/// The time in which a gateway without peers stores the origins of its streams.
const STORE_SPAN: Duration = Duration::from_millis(600);

/// Targets of v1 and v2.
struct Versions {
    v1: Vec<Target>,
    v2: Vec<Target>,
}

impl Versions {
    async fn start(v1: usize, v2: usize) -> Self {
        let mut versions = Self { v1: Vec::new(), v2: Vec::new() };
        for number in 0..v1 {
            versions.v1.push(Target::start(&format!("a{number}"), stream_v1).await);
        }
        for number in 0..v2 {
            let mut target = Target::start(&format!("b{number}"), stream_v2).await;
            target.entry.version = "v2".into();
            versions.v2.push(target);
        }
        versions
    }

    fn entries(&self) -> Vec<TargetEntry> {
        self.v1.iter().chain(&self.v2).map(|target| target.entry.clone()).collect()
    }

    fn count(&self) -> usize {
        self.v1.iter().chain(&self.v2).map(Target::count).sum()
    }
}

async fn start_gateway(name: &str, entries: Vec<TargetEntry>) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::start_named(name).await);
    let mut route = support::route(RESUMABLE, 3);
    route.anonymous = false;
    let organisations =
        ["asha", "bina"].map(|name| support::organisation(name, &format!("key-{name}"), None));
    let table = support::table(1, route, organisations.to_vec());
    gateway.send_update(FleetUpdate::Routes(Arc::new(table))).await;
    gateway.set_targets(entries).await;
    gateway
}

/// Two gateways that hear each other.
async fn start_pair(versions: &Versions) -> [Rc<Gateway>; 2] {
    let pair = [
        start_gateway("e1", versions.entries()).await,
        start_gateway("e2", versions.entries()).await,
    ];
    support::join(&pair).await;
    time::sleep(PROPAGATION_SPAN).await;
    pair
}

async fn ask(gateway: &Gateway, id: &str, headers: &str) -> StreamEnd {
    let mut wire = gateway.call().await;
    let headers = format!("test-key: key-asha\r\n{headers}");
    wire.send(&support::request("POST", id, &headers, "body")).await;
    support::read_stream_answer(&mut wire).await
}

/// Begins a stream and leaves after its second event; returns the version that began it.
async fn begin(gateway: &Gateway, id: &str) -> String {
    let mut wire = gateway.call().await;
    let headers = "test-key: key-asha\r\ntest-leave: 1\r\n";
    wire.send(&support::request("POST", id, headers, "body")).await;
    wire.read_to("\r\n\r\n").await.expect("a head");
    let events = wire.read_to("id: 2\n").await.expect("two events");
    if events.contains("v1") { "v1".to_owned() } else { "v2".to_owned() }
}

fn resuming(id: &str) -> String {
    format!("last-event-id: 2\r\ntest-resumes: {id}\r\n")
}

fn rest_of(version: &str) -> StreamEnd {
    StreamEnd::Complete((3..=4).map(|number| event(version, number)).collect())
}

/// Guards against a stream that holds events of two versions after its target has broken it off.
#[test]
fn a_stream_that_breaks_is_resumed_at_its_version_only() {
    support::run(async {
        let versions = Versions::start(2, 2).await;
        let gateway = start_gateway("e1", versions.entries()).await;
        for number in 0..STREAMS {
            let end = ask(&gateway, &format!("q{number}"), "test-break: 1\r\n").await;
            let of = |version| StreamEnd::Complete((1..=4).map(|it| event(version, it)).collect());
            assert!(end == of("v1") || end == of("v2"), "stream {number}: {end:?}");
        }
    });
}

/// Guards against a stream that goes on at another version because its own has no other target.
#[test]
fn a_stream_whose_version_has_gone_is_broken_off() {
    support::run(async {
        let versions = Versions::start(1, 1).await;
        let gateway = start_gateway("e1", vec![versions.v1[0].entry.clone()]).await;
        let mut wire = gateway.call().await;
        let headers = "test-key: key-asha\r\ntest-break: 1\r\n";
        wire.send(&support::request("POST", "q1", headers, "body")).await;
        let replacing = async {
            while versions.v1[0].count() == 0 {
                time::sleep(Duration::from_millis(1)).await;
            }
            gateway.set_targets(vec![versions.v2[0].entry.clone()]).await;
        };
        let (end, ()) = tokio::join!(support::read_stream_answer(&mut wire), replacing);
        assert!(!matches!(end, StreamEnd::Complete(_)), "{end:?}");
        assert_eq!(versions.v2[0].count(), 0);
    });
}

/// Guards against a stream that holds events of two versions after its caller has gone to another VM.
#[test]
fn a_stream_that_is_taken_up_at_another_vm_goes_on_at_its_version() {
    support::run(async {
        let versions = Versions::start(2, 2).await;
        let [first, second] = start_pair(&versions).await;
        for number in 0..STREAMS {
            let id = format!("q{number}");
            let version = begin(&first, &id).await;
            for attempt in 0..3 {
                let end = ask(&second, &format!("{id}-{attempt}"), &resuming(&id)).await;
                assert_eq!(end, rest_of(&version), "stream {number}, attempt {attempt}");
            }
        }
    });
}

/// Guards against a VM that knows no stream because it has just started.
#[test]
fn a_vm_that_has_just_started_asks_its_peers_for_a_stream() {
    support::run(async {
        let versions = Versions::start(2, 2).await;
        let first = start_gateway("e1", versions.entries()).await;
        let version = begin(&first, "q1").await;
        let second = start_gateway("e2", versions.entries()).await;
        support::join(&[first, Rc::clone(&second)]).await;
        time::sleep(PROPAGATION_SPAN).await;
        assert_eq!(ask(&second, "q2", &resuming("q1")).await, rest_of(&version));
    });
}

/// Guards against a stream that goes on at any version because the VMs that know it are out of reach.
#[test]
fn a_vm_that_hears_no_peer_takes_no_unknown_stream_up() {
    support::run(async {
        let versions = Versions::start(2, 0).await;
        let [first, second] = start_pair(&versions).await;
        first.send_update(FleetUpdate::OwnSecret([9; 32])).await;
        time::sleep(Duration::from_millis(2_500)).await;
        let mut wire = second.call().await;
        let headers = format!("test-key: key-asha\r\n{}", resuming("q9"));
        wire.send(&support::request("POST", "q1", &headers, "body")).await;
        assert_eq!(wire.read_message().await.expect("an answer").status(), 503);
    });
}

/// Guards against a stream of an unknown version that goes on at any.
#[test]
fn a_stream_of_unknown_version_is_not_taken_up() {
    support::run(async {
        let versions = Versions::start(2, 2).await;
        let gateway = start_gateway("e1", versions.entries()).await;
        begin(&gateway, "q1").await;
        let before = versions.count();
        let foreign = "test-key: key-bina\r\nlast-event-id: 2\r\ntest-resumes: q1\r\n";
        let twice = format!("test-resumes: q1\r\n{}", resuming("q1"));
        for headers in [&resuming("q9"), "last-event-id: 2\r\n", foreign, &twice] {
            let mut wire = gateway.call().await;
            let key = if headers == foreign { "" } else { "test-key: key-asha\r\n" };
            let headers = format!("{key}{headers}");
            wire.send(&support::request("POST", "q2", &headers, "body")).await;
            let answer = wire.read_message().await.expect("an answer");
            assert_eq!(answer.status(), 503, "{headers}");
            assert!(answer.header("retry-after").is_some(), "{headers}");
        }
        assert_eq!(versions.count(), before, "nothing has run");
    });
}

/// Guards against refusing callers although all targets run one version.
#[test]
fn a_stream_of_a_service_with_one_version_is_taken_up_without_its_id() {
    support::run(async {
        let versions = Versions::start(2, 0).await;
        let gateway = start_gateway("e1", versions.entries()).await;
        restore(&gateway, vec![stored(&["v1"], true)]).await;
        for headers in [resuming("q9"), "last-event-id: 2\r\n".to_owned()] {
            assert_eq!(ask(&gateway, "q1", &headers).await, rest_of("v1"), "{headers}");
        }
    });
}

/// Guards against a name that a target does not get.
#[test]
fn the_name_of_the_stream_is_forwarded() {
    support::run(async {
        let versions = Versions::start(1, 0).await;
        let gateway = start_gateway("e1", versions.entries()).await;
        restore(&gateway, vec![stored(&["v1"], true)]).await;
        ask(&gateway, "q1", &resuming("q0")).await;
        assert_eq!(versions.v1[0].seen.borrow()[0].header("test-resumes"), Some("q0"));
    });
}

/// The versions of the service as stored in the row of a VM.
fn stored(versions: &[&str], complete: bool) -> ServiceVersions {
    ServiceVersions {
        service: ServiceKey::of(&support::SERVICE.into()),
        versions: versions.iter().map(|it| VersionKey::of(&(*it).into())).collect(),
        complete,
    }
}

/// Lets the gateway read what its row held before it was started.
async fn restore(gateway: &Gateway, stored: Vec<ServiceVersions>) {
    gateway.send_update(FleetUpdate::Peers(vec![gateway.peer_entry("e1", stored)])).await;
    time::sleep(Duration::from_millis(50)).await;
}

/// Guards against streams that none takes up after the loss of all VMs while two versions serve, and
/// against needless writes while one does.
#[test]
fn the_origins_of_streams_are_stored_while_their_version_could_not_be_told() {
    support::run(async {
        for (v2, row, is_stored) in [
            (0, stored(&["v1"], true), false),
            (0, stored(&["v1"], false), true),
            (2, stored(&["v1", "v2"], true), true),
        ] {
            let versions = Versions::start(2, v2).await;
            let gateway = start_gateway("e1", versions.entries()).await;
            restore(&gateway, vec![row]).await;
            begin(&gateway, "q1").await;
            time::sleep(STORE_SPAN).await;
            let kept = gateway.stored_origins();
            assert_eq!(kept.len(), usize::from(is_stored), "{v2} targets of v2");
            let again = start_gateway("e1", versions.entries()).await;
            again.send_update(FleetUpdate::Origins(kept)).await;
            if is_stored {
                let end = ask(&again, "q2", &resuming("q1")).await;
                assert!(matches!(end, StreamEnd::Complete(_)), "{end:?}");
            }
        }
    });
}

/// Guards against a stream that goes on at the one version left after all VMs were restarted: whether
/// another one has just gone stands in the VMs' rows only.
#[test]
fn an_unknown_stream_goes_on_only_if_it_is_stored_that_there_was_no_other_version() {
    support::run(async {
        let versions = Versions::start(1, 0).await;
        for (stored, status) in [
            (Vec::new(), 503),
            (vec![stored(&["v1"], false)], 503),
            (vec![stored(&["v1"], true)], 200),
            (vec![stored(&["v2"], true)], 503),
            (vec![stored(&["v1", "v2"], true)], 503),
        ] {
            let gateway = start_gateway("e1", versions.entries()).await;
            restore(&gateway, stored).await;
            let mut wire = gateway.call().await;
            let headers = format!("test-key: key-asha\r\n{}", resuming("q9"));
            wire.send(&support::request("POST", "q1", &headers, "body")).await;
            let head = wire.read_to("\r\n\r\n").await.expect("a head");
            assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
        }
    });
}
