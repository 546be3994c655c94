//! Failures among separate processes: kills, freezes, broken and silent streams, lost answers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use nix::sys::signal::Signal;
use ntex::http::Method;
use ryetide::{deployment_keys, operator_port::ApplyReply};
use ryetide_core::entry::EntryStatus;
use ryetide_core::{effect::ApplyOutcome, message::ConfigurationText};
use ryetide_lab::{
    caller::{CallOutcome, CallResult, CallTerms, TestCaller},
    control,
    deployment::EntrySite,
    engine::EngineFaults,
    engine_batch::{EnginePrompt, EngineRecord, EngineSpeed},
    plain_service::{PlainFaults, PlainRecord},
    platform::PlatformFaults,
    process::TestProcess,
    process_site::ProcessSite,
    relay::RelayStandIn,
    server,
    site::ScratchDirectory,
};

const SOON: Duration = Duration::from_secs(10);

fn prompt_through(door: SocketAddr, prompt: EnginePrompt) -> CallResult {
    control::block_on(async move {
        let caller = TestCaller::new().await.unwrap();
        caller.prompt(door, &crate::support::terms(), &prompt).await
    })
}

fn order_through(door: SocketAddr, key: &str, body: &str) -> CallResult {
    let terms = CallTerms {
        key: Some(key.to_owned()),
        non_idempotent: true,
        deadline: Duration::from_secs(5),
        ..crate::support::terms()
    };
    let body = body.as_bytes().to_vec();
    control::block_on(async move {
        let caller = TestCaller::new().await.unwrap();
        caller.call(door, Method::POST, "/services/records/orders", &terms, body).await
    })
}

fn door(site: &ProcessSite, index: usize) -> SocketAddr {
    site.daemons[index].site.callers
}

fn status(site: &ProcessSite, index: usize) -> EntryStatus {
    control::get(site.daemons[index].site.operators, "/v1/status").unwrap()
}

/// Returns the daemon that arbitrates `service`.
fn arbiter(site: &ProcessSite, service: &str) -> usize {
    let elected = |index: &usize| {
        let scopes = status(site, *index).scopes;
        scopes.iter().any(|scope| scope.service == service && scope.elected)
    };
    (0..site.daemons.len()).find(elected).expect("some daemon arbitrates")
}

fn records(site: &ProcessSite) -> PlainRecord {
    let target = site.targets.iter().find(|target| target.name == "records-1").unwrap();
    control::get(target.address, "/lab/record").unwrap()
}

fn set_engine_faults(site: &ProcessSite, faults: &EngineFaults) {
    for target in site.targets.iter().filter(|target| target.name.starts_with("engine")) {
        control::post(target.address, "/lab/faults", faults).unwrap();
    }
}

fn check_single_dispatch(site: &ProcessSite) -> EngineRecord {
    let mut total = EngineRecord::default();
    for target in site.targets.iter().filter(|target| target.name.starts_with("engine")) {
        let record: EngineRecord = control::get(target.address, "/lab/record").unwrap();
        assert!(record.dispatches.values().all(|count| *count == 1), "{:?}", record.dispatches);
        total.resumes += record.resumes;
        total.cancelled += record.cancelled;
        total.dispatches.extend(record.dispatches);
    }
    total
}

/// A caller's stream breaks off in the middle, or the engine stops sending and no reset comes.
/// The entry VM opens a new connection and asks for the rest by request id; the caller sees one
/// whole answer, and the engine counts one dispatch.
#[test]
fn a_broken_or_silent_stream_is_resumed() {
    let site = crate::support::start(crate::support::fast());
    let prompt = crate::support::prompt("a drawing whose stream breaks", 100);
    let faults = [
        EngineFaults { break_after: Some(700), ..EngineFaults::default() },
        EngineFaults { silent_after: Some(700), ..EngineFaults::default() },
        EngineFaults { silent_after: Some(0), ..EngineFaults::default() },
    ];
    for fault in faults {
        set_engine_faults(&site, &fault);
        let result = prompt_through(door(&site, 0), prompt.clone());
        assert_eq!(result.outcome, CallOutcome::Answered, "{fault:?}");
        assert_eq!(result.body, prompt.expected_stream().as_bytes(), "{fault:?}");
    }
    assert_eq!(check_single_dispatch(&site).resumes, 3);
}

/// The engine restarts and forgets what it was doing.
/// Asked for the rest it answers 404: the request may have run, so the caller is told "unknown", and
/// it is not dispatched again.
#[test]
fn a_forgotten_request_is_unknown_and_not_run_again() {
    let site = crate::support::start(crate::support::fast());
    let fault = EngineFaults { break_after: Some(300), forgetful: true, ..EngineFaults::default() };
    set_engine_faults(&site, &fault);
    let result = prompt_through(door(&site, 0), crate::support::prompt("forgotten", 100));
    assert_eq!(result.outcome, CallOutcome::Unknown);
    assert_eq!(check_single_dispatch(&site).dispatches.len(), 1);
}

/// An engine refuses: busy, or leaving.
/// Its contract says that a refusal ran nothing, so the caller is told "not run" and when to come
/// back; the request was dispatched once all the same and goes to no other engine.
#[test]
fn a_refusal_is_not_run_and_goes_nowhere_else() {
    let site = crate::support::start(crate::support::fast());
    set_engine_faults(&site, &EngineFaults { busy: true, ..EngineFaults::default() });
    let result = prompt_through(door(&site, 0), crate::support::prompt("refused", 10));
    assert_eq!(result.outcome, CallOutcome::NotRun);
    assert!(result.retry_after.is_some());
    assert!(check_single_dispatch(&site).dispatches.is_empty());
}

/// The VM that orders everybody's requests is killed.
/// The others hear nothing from it, find a new arbiter, and go on; until then each uses its own
/// share. No caller of another VM may be cut off.
#[test]
fn the_arbiter_is_killed() {
    let mut site = crate::support::start(crate::support::fast());
    let dead = arbiter(&site, "drafting");
    site.daemons[dead].process.signal(Signal::SIGKILL).unwrap();
    let others: Vec<usize> = (0..3).filter(|index| *index != dead).collect();
    for number in 0..20 {
        let prompt = crate::support::prompt(&format!("after the kill {number}"), 10);
        let result = prompt_through(door(&site, others[number % 2]), prompt.clone());
        assert_eq!(result.outcome, CallOutcome::Answered);
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
    }
    crate::support::wait_until("another VM is elected", SOON, || {
        let elected = |index: &usize| {
            let scopes = status(&site, *index).scopes;
            scopes.iter().any(|scope| scope.service == "drafting" && scope.elected)
        };
        others.iter().any(elected)
    });
    check_single_dispatch(&site);
    assert!(site.daemons[dead].process.wait_exit(SOON).is_some());
}

/// The arbiter is alive and does not answer: it is frozen, longer than any time limit, and thaws.
/// An ask that is not answered within its bound goes to the VM's own share; what the thawed arbiter
/// says late is not wanted any more. Requests must neither wait for it nor run twice.
#[test]
fn the_arbiter_is_frozen_and_thaws() {
    let site = crate::support::start(crate::support::fast());
    let frozen = arbiter(&site, "drafting");
    let others: Vec<usize> = (0..3).filter(|index| *index != frozen).collect();
    site.daemons[frozen].process.signal(Signal::SIGSTOP).unwrap();
    for number in 0..10 {
        let prompt = crate::support::prompt(&format!("while frozen {number}"), 10);
        let result = prompt_through(door(&site, others[number % 2]), prompt.clone());
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
        assert!(result.total < Duration::from_secs(1), "waited {:?}", result.total);
    }
    site.daemons[frozen].process.signal(Signal::SIGCONT).unwrap();
    for number in 0..10 {
        let prompt = crate::support::prompt(&format!("after the thaw {number}"), 10);
        let result = prompt_through(door(&site, number % 3), prompt.clone());
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
    }
    assert_eq!(check_single_dispatch(&site).dispatches.len(), 20);
    site.wait_ready().unwrap();
}

/// A shop's batch order is sent again through another VM after the first one was killed while the
/// order ran. The first VM may have dispatched it (it has), so the repeat must not run: its caller is
/// told "unknown". A shop that is told "not run" would cut two batches.
#[test]
fn a_repeated_order_never_runs_twice_when_its_vm_dies() {
    let site = crate::support::start(crate::support::fast());
    let target = site.targets.iter().find(|target| target.name == "records-1").unwrap();
    let faults = PlainFaults { delay_ms: 2_000, ..PlainFaults::default() };
    control::post(target.address, "/lab/faults", &faults).unwrap();
    let first = door(&site, 0);
    let order = std::thread::spawn(move || order_through(first, "batch-1", "cut 40 harnesses"));
    crate::support::wait_until("the order runs", SOON, || !records(&site).bodies.is_empty());
    site.daemons[0].process.signal(Signal::SIGKILL).unwrap();
    assert_eq!(order.join().unwrap().outcome, CallOutcome::Cut);
    for index in [1, 2, 1] {
        let repeat = order_through(door(&site, index), "batch-1", "cut 40 harnesses");
        assert_eq!(repeat.outcome, CallOutcome::Unknown, "{}", repeat.status);
    }
    assert_eq!(records(&site).bodies, BTreeMap::from([("cut 40 harnesses".to_owned(), 1)]));
}

/// An order's answer is asked for again through another VM: it is the first answer, and the order
/// ran once. Other keys are other orders.
#[test]
fn a_repeated_order_gets_the_first_answer() {
    let site = crate::support::start(crate::support::fast());
    let first = order_through(door(&site, 0), "batch-2", "cut 10 harnesses");
    assert_eq!(first.outcome, CallOutcome::Answered);
    for index in 0..3 {
        let repeat = order_through(door(&site, index), "batch-2", "cut 10 harnesses");
        assert_eq!((repeat.outcome, &repeat.body), (CallOutcome::Answered, &first.body));
    }
    let other = order_through(door(&site, 1), "batch-3", "cut 10 harnesses");
    assert_eq!(other.outcome, CallOutcome::Answered);
    assert_eq!(records(&site).bodies["cut 10 harnesses"], 2);
}

/// The table service does the write of a claim and loses its answer; then it is down.
/// In the first case the order runs once. In the second its key cannot be looked up: it does not run,
/// but an earlier one with the same key may have, so its caller is told "unknown" at once, with when to
/// ask again; told "not run", a shop would order anew.
#[test]
fn claims_meet_a_failing_table() {
    let site = crate::support::start(crate::support::fast());
    let lose = PlatformFaults { lose_write_answers: 1, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &lose).unwrap();
    let result = order_through(door(&site, 0), "batch-4", "cut 7 harnesses");
    assert_eq!(result.outcome, CallOutcome::Answered);
    assert_eq!(records(&site).bodies["cut 7 harnesses"], 1);
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &down).unwrap();
    let result = order_through(door(&site, 0), "batch-5", "cut 8 harnesses");
    assert_eq!((result.outcome, result.status), (CallOutcome::Unknown, 503));
    assert!(result.retry_after.is_some());
    assert!(!records(&site).bodies.contains_key("cut 8 harnesses"));
    // Work that may be repeated needs no table.
    let prompt = crate::support::prompt("in the outage", 10);
    assert_eq!(prompt_through(door(&site, 1), prompt).outcome, CallOutcome::Answered);
}

/// A VM is started while the platform is away. Its settings name a peer, whose revision it takes; a VM
/// that knows no peer has nothing to serve and says so.
#[test]
fn a_vm_started_in_an_outage_takes_its_peers_revision() {
    let site = crate::support::start(crate::support::fast());
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &down).unwrap();
    let alone = site.start_daemon("e4", "hall", &[]).unwrap();
    let result = prompt_through(alone.site.callers, crate::support::prompt("nothing in force", 5));
    assert_eq!(result.outcome, CallOutcome::NotRun);
    let known = [&site.daemons[0].site];
    let new = site.start_daemon("e5", "hall", &known).unwrap();
    crate::support::wait_until("the peer's revision is in force", SOON, || {
        let status: EntryStatus = control::get(new.site.operators, "/v1/status").unwrap();
        status.revision.0 == 1
    });
    let result = prompt_through(new.site.callers, crate::support::prompt("in the outage", 5));
    assert_eq!(result.outcome, CallOutcome::Answered);
}

/// A caller goes away while its work waits or runs: the engine is told to stop.
#[test]
fn the_work_of_a_caller_that_has_gone_is_cancelled() {
    let slow = EngineSpeed { decode_rate: 30.0, ..crate::support::fast() };
    let site = crate::support::start(slow);
    let door = door(&site, 0);
    let prompt = crate::support::prompt("nobody waits for this", 600);
    control::block_on(async move {
        let caller = TestCaller::new().await.unwrap();
        let terms = crate::support::terms();
        let call = caller.prompt(door, &terms, &prompt);
        let _ = tokio::time::timeout(Duration::from_millis(700), call).await;
    });
    crate::support::wait_until("the engine is told", SOON, || {
        check_single_dispatch(&site).cancelled == 1
    });
    crate::support::wait_until("nothing is held", SOON, || status(&site, 0).requests.is_empty());
}

/// A connection between daemon and engine passes nothing more, without a reset, while new ones work:
/// something between them has lost track of it. The open stream is resumed over a new connection.
#[test]
fn a_connection_that_goes_silent_for_good_is_replaced() {
    let slow = EngineSpeed { decode_rate: 200.0, ..crate::support::fast() };
    let site = crate::support::start(slow);
    let operators = site.daemons[0].site.operators;
    let relays: Vec<RelayStandIn> = site
        .targets
        .iter()
        .filter(|target| target.name.starts_with("engine"))
        .map(|target| {
            RelayStandIn::start(server::free_listener().unwrap(), target.address).unwrap()
        })
        .collect();
    let engines = site.targets.iter().filter(|target| target.name.starts_with("engine"));
    let found: Option<ConfigurationText> = control::get(operators, "/v1/configuration").unwrap();
    let mut text = found.unwrap().text;
    for (engine, relay) in engines.zip(&relays) {
        text = text.replace(&engine.address.to_string(), &relay.address().to_string());
    }
    let reply =
        control::call(operators, Method::POST, "/v1/apply?base=1", text.into_bytes()).unwrap();
    let reply: ApplyReply = serde_json::from_slice(&reply).unwrap();
    assert!(matches!(reply, ApplyReply::Ended(ApplyOutcome::Accepted(_))), "{reply:?}");
    crate::support::wait_until("the relays are in force everywhere", SOON, || {
        (0..3).all(|index| status(&site, index).revision.0 == 2)
    });
    let (first, prompt) = (door(&site, 0), crate::support::prompt("through a hole", 300));
    let expected = prompt.expected_stream();
    let call = std::thread::spawn(move || prompt_through(first, prompt));
    crate::support::wait_until("the stream runs", SOON, || {
        let running = ryetide_core::chart::RequestState::Running;
        status(&site, 0).requests.contains_key(&running)
    });
    for relay in &relays {
        relay.silence_open();
    }
    let result = call.join().unwrap();
    assert_eq!(result.outcome, CallOutcome::Answered);
    assert_eq!(result.body, expected.as_bytes());
    assert!(check_single_dispatch(&site).resumes >= 1);
}

/// A daemon with keys of another deployment knocks: it is refused in the handshake, and nobody counts
/// it as a peer.
#[test]
fn a_peer_without_the_deployments_keys_is_refused() {
    let site = crate::support::start(crate::support::fast());
    let directory = ScratchDirectory::create().unwrap();
    deployment_keys::write_keys(directory.path()).unwrap();
    let intruder = EntrySite::unbound("intruder", "hall");
    let known = [&site.daemons[0].site];
    let text = intruder.settings(directory.path(), site.platform.address, &known);
    let path = directory.path().join("intruder.yaml");
    std::fs::write(&path, text).unwrap();
    let program = crate::support::programs().daemon;
    let process = TestProcess::start(&program, &[path.display().to_string()]).unwrap();
    process.wait_address("peers").unwrap();
    let refused = site.daemons[0].process.wait_line("event=peer-refused", SOON);
    assert!(refused.is_some(), "{:?}", site.daemons[0].process.lines());
    let seen = status(&site, 0);
    assert!(!seen.peers.keys().any(|name| name.as_str() == "intruder"), "{:?}", seen.peers);
}
