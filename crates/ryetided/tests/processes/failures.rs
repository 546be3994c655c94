//! Failures of separate processes: kills, freezes, broken and silent streams, lost answers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use nix::sys::signal::Signal;
use ntex::http::Method;
use ryetide::{deployment_keys, operator_port::ApplyReply};
use ryetide_core::{
    chart::RequestState, effect::ApplyOutcome, entry::EntryStatus, message::ConfigurationText,
};
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

/// The time within which an expected change must be visible.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn prompt_through(entry: SocketAddr, prompt: EnginePrompt) -> CallResult {
    control::block_on(async move {
        let caller = TestCaller;
        caller.prompt(entry, &crate::support::terms(), &prompt).await
    })
}

fn order_through(entry: SocketAddr, key: &str, body: &str) -> CallResult {
    let terms = CallTerms {
        key: Some(key.to_owned()),
        non_idempotent: true,
        deadline: Duration::from_secs(5),
        ..crate::support::terms()
    };
    let body = body.as_bytes().to_vec();
    control::block_on(async move {
        let caller = TestCaller;
        caller.call(entry, Method::POST, "/services/records/orders", &terms, body).await
    })
}

fn entry(site: &ProcessSite, index: usize) -> SocketAddr {
    site.daemons[index].site.callers
}

fn status(site: &ProcessSite, index: usize) -> EntryStatus {
    control::get(site.daemons[index].site.operators, "/v1/status").unwrap()
}

/// Returns the index of the daemon that is the arbiter of `service`.
fn arbiter(site: &ProcessSite, service: &str) -> usize {
    let elected = |index: &usize| {
        let scopes = status(site, *index).scopes;
        scopes.iter().any(|scope| scope.service == service && scope.elected)
    };
    (0..site.daemons.len()).find(elected).expect("a daemon is the arbiter")
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

/// Guards against an answer that is cut off when the engine's connection fails, or falls silent without
/// a reset. The entry VM must resume it over a new connection by request id: the caller gets one
/// complete answer, and the engine counts one dispatch.
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
        let result = prompt_through(entry(&site, 0), prompt.clone());
        assert_eq!(result.outcome, CallOutcome::Answered, "{fault:?}");
        assert_eq!(result.body, prompt.expected_stream().as_bytes(), "{fault:?}");
    }
    assert_eq!(check_single_dispatch(&site).resumes, 3);
}

/// Guards against a second dispatch of a request that its engine no longer knows after a restart. The
/// engine answers the resume with 404; the request may have run, so its outcome is "unknown".
#[test]
fn a_forgotten_request_is_unknown_and_not_run_again() {
    let site = crate::support::start(crate::support::fast());
    let fault = EngineFaults { break_after: Some(300), forgetful: true, ..EngineFaults::default() };
    set_engine_faults(&site, &fault);
    let result = prompt_through(entry(&site, 0), crate::support::prompt("forgotten", 100));
    assert_eq!(result.outcome, CallOutcome::Unknown);
    assert_eq!(check_single_dispatch(&site).dispatches.len(), 1);
}

/// Guards against an error that the caller's parser takes for the rest of an event which broke off.
#[test]
fn the_error_at_the_end_of_a_stream_is_an_event_of_its_own() {
    let site = crate::support::start(crate::support::fast());
    let fault = EngineFaults { break_after: Some(305), forgetful: true, ..EngineFaults::default() };
    set_engine_faults(&site, &fault);
    let prompt = crate::support::prompt("forgotten inside an event", 100);
    let result = prompt_through(entry(&site, 0), prompt.clone());
    let body = String::from_utf8(result.body).unwrap();
    let (events, _) = body.split_once("event: error\n").unwrap();
    assert!(events.is_empty() || events.ends_with("\n\n"), "{events}");
    assert!(prompt.expected_stream().starts_with(events), "{events}");
}

/// Guards against a refused request that is sent to another engine, or whose caller gets no retry
/// delay. By the engine's contract a refused request has not run, so its outcome is "not run"; the
/// refusal still counts as its one dispatch.
#[test]
fn a_refusal_is_not_run_and_goes_nowhere_else() {
    let site = crate::support::start(crate::support::fast());
    set_engine_faults(&site, &EngineFaults { busy: true, ..EngineFaults::default() });
    let result = prompt_through(entry(&site, 0), crate::support::prompt("refused", 10));
    assert_eq!(result.outcome, CallOutcome::NotRun);
    assert!(result.retry_after.is_some());
    assert!(check_single_dispatch(&site).dispatches.is_empty());
}

/// Guards against callers of other VMs that are cut off when the arbiter is killed. Each of the others
/// must use its own share of the slots until another VM is the arbiter.
#[test]
fn the_arbiter_is_killed() {
    let mut site = crate::support::start(crate::support::fast());
    let killed = arbiter(&site, "drafting");
    site.daemons[killed].process.signal(Signal::SIGKILL).unwrap();
    let others: Vec<usize> = (0..3).filter(|index| *index != killed).collect();
    for number in 0..20 {
        let prompt = crate::support::prompt(&format!("after the kill {number}"), 10);
        let result = prompt_through(entry(&site, others[number % 2]), prompt.clone());
        assert_eq!(result.outcome, CallOutcome::Answered);
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
    }
    crate::support::wait_until("another VM is elected", WAIT_LIMIT, || {
        let elected = |index: &usize| {
            let scopes = status(&site, *index).scopes;
            scopes.iter().any(|scope| scope.service == "drafting" && scope.elected)
        };
        others.iter().any(elected)
    });
    check_single_dispatch(&site);
    assert!(site.daemons[killed].process.wait_exit(WAIT_LIMIT).is_some());
}

/// Guards against requests that wait for a frozen arbiter, or run twice because it answers late after
/// it resumes. A slot request without an answer in time must be served from the VM's own share, and
/// late answers must be ignored.
#[test]
fn the_arbiter_is_frozen_and_resumed() {
    let site = crate::support::start(crate::support::fast());
    let frozen = arbiter(&site, "drafting");
    let others: Vec<usize> = (0..3).filter(|index| *index != frozen).collect();
    site.daemons[frozen].process.signal(Signal::SIGSTOP).unwrap();
    for number in 0..10 {
        let prompt = crate::support::prompt(&format!("while frozen {number}"), 10);
        let result = prompt_through(entry(&site, others[number % 2]), prompt.clone());
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
        assert!(result.total < Duration::from_secs(1), "waited {:?}", result.total);
    }
    site.daemons[frozen].process.signal(Signal::SIGCONT).unwrap();
    for number in 0..10 {
        let prompt = crate::support::prompt(&format!("after it resumed {number}"), 10);
        let result = prompt_through(entry(&site, number % 3), prompt.clone());
        assert_eq!(result.body, prompt.expected_stream().as_bytes());
    }
    assert_eq!(check_single_dispatch(&site).dispatches.len(), 20);
    site.wait_ready().unwrap();
}

/// Guards against a non-idempotent order that runs twice when it is retried through another VM after
/// the first VM was killed while the order ran. The first VM has dispatched it, so the retry must not
/// run and its outcome is "unknown": after "not run" the caller would order a second batch.
#[test]
fn a_repeated_order_never_runs_twice_when_its_vm_dies() {
    let site = crate::support::start(crate::support::fast());
    let target = site.targets.iter().find(|target| target.name == "records-1").unwrap();
    let faults = PlainFaults { delay_ms: 2_000, ..PlainFaults::default() };
    control::post(target.address, "/lab/faults", &faults).unwrap();
    let first = entry(&site, 0);
    let order = std::thread::spawn(move || order_through(first, "batch-1", "cut 40 harnesses"));
    crate::support::wait_until("the order runs", WAIT_LIMIT, || !records(&site).bodies.is_empty());
    site.daemons[0].process.signal(Signal::SIGKILL).unwrap();
    assert_eq!(order.join().unwrap().outcome, CallOutcome::Disconnected);
    for index in [1, 2, 1] {
        let retry = order_through(entry(&site, index), "batch-1", "cut 40 harnesses");
        assert_eq!(retry.outcome, CallOutcome::Unknown, "{}", retry.status);
    }
    assert_eq!(records(&site).bodies, BTreeMap::from([("cut 40 harnesses".to_owned(), 1)]));
}

/// Guards against an order that runs again when it is retried through another VM after its answer: the
/// retry must get the first answer. An order with another key must run.
#[test]
fn a_repeated_order_gets_the_first_answer() {
    let site = crate::support::start(crate::support::fast());
    let first = order_through(entry(&site, 0), "batch-2", "cut 10 harnesses");
    assert_eq!(first.outcome, CallOutcome::Answered);
    for index in 0..3 {
        let retry = order_through(entry(&site, index), "batch-2", "cut 10 harnesses");
        assert_eq!((retry.outcome, &retry.body), (CallOutcome::Answered, &first.body));
    }
    let other = order_through(entry(&site, 1), "batch-3", "cut 10 harnesses");
    assert_eq!(other.outcome, CallOutcome::Answered);
    assert_eq!(records(&site).bodies["cut 10 harnesses"], 2);
}

/// Guards against orders that run twice, or get a wrong outcome, when the table service fails. When the
/// answer to a claim's write is lost, the order must run once. When the table is down, the key cannot
/// be looked up: the order must not run, but an earlier one with the same key may have run, so its
/// outcome is "unknown" with a retry delay; after "not run" the caller would order again.
#[test]
fn claims_meet_a_failing_table() {
    let site = crate::support::start(crate::support::fast());
    let lose = PlatformFaults { lose_write_answers: 1, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &lose).unwrap();
    let result = order_through(entry(&site, 0), "batch-4", "cut 7 harnesses");
    assert_eq!(result.outcome, CallOutcome::Answered);
    assert_eq!(records(&site).bodies["cut 7 harnesses"], 1);
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &down).unwrap();
    let result = order_through(entry(&site, 0), "batch-5", "cut 8 harnesses");
    assert_eq!((result.outcome, result.status), (CallOutcome::Unknown, 503));
    assert!(result.retry_after.is_some());
    assert!(!records(&site).bodies.contains_key("cut 8 harnesses"));
    // An idempotent request needs no claim in the table.
    let prompt = crate::support::prompt("in the outage", 10);
    assert_eq!(prompt_through(entry(&site, 1), prompt).outcome, CallOutcome::Answered);
}

/// Guards against a VM that cannot serve because it starts while the platform is down. It must take the
/// revision of a peer in its settings; a VM without such a peer must refuse requests as not run.
#[test]
fn a_vm_started_in_an_outage_takes_its_peers_revision() {
    let site = crate::support::start(crate::support::fast());
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    control::post(site.platform.address, "/lab/faults", &down).unwrap();
    let isolated = site.start_daemon("e4", "hall", &[]).unwrap();
    let result =
        prompt_through(isolated.site.callers, crate::support::prompt("nothing in force", 5));
    assert_eq!(result.outcome, CallOutcome::NotRun);
    let known = [&site.daemons[0].site];
    let new = site.start_daemon("e5", "hall", &known).unwrap();
    crate::support::wait_until("the peer's revision is in force", WAIT_LIMIT, || {
        let status: EntryStatus = control::get(new.site.operators, "/v1/status").unwrap();
        status.revision.0 == 1
    });
    let result = prompt_through(new.site.callers, crate::support::prompt("in the outage", 5));
    assert_eq!(result.outcome, CallOutcome::Answered);
}

/// Guards against an engine that keeps running a request whose caller has disconnected.
#[test]
fn the_work_of_a_caller_that_has_gone_is_cancelled() {
    let slow = EngineSpeed { decode_rate: 30.0, ..crate::support::fast() };
    let site = crate::support::start(slow);
    let entry = entry(&site, 0);
    let prompt = crate::support::prompt("nobody waits for this", 600);
    control::block_on(async move {
        let caller = TestCaller;
        let terms = crate::support::terms();
        let call = caller.prompt(entry, &terms, &prompt);
        let _ = tokio::time::timeout(Duration::from_millis(700), call).await;
    });
    crate::support::wait_until("the request is cancelled", WAIT_LIMIT, || {
        check_single_dispatch(&site).cancelled == 1
    });
    crate::support::wait_until("the daemon has no requests", WAIT_LIMIT, || {
        status(&site, 0).requests.is_empty()
    });
}

/// Guards against a stream that hangs when a device between daemon and engine loses its connection
/// state: the connection passes no more data and is not reset, while new ones work. The stream must be
/// resumed over a new connection.
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
    crate::support::wait_until("the relays are in force everywhere", WAIT_LIMIT, || {
        (0..3).all(|index| status(&site, index).revision.0 == 2)
    });
    let (first, prompt) =
        (entry(&site, 0), crate::support::prompt("over a silent connection", 300));
    let expected = prompt.expected_stream();
    let call = std::thread::spawn(move || prompt_through(first, prompt));
    crate::support::wait_until("the stream runs", WAIT_LIMIT, || {
        status(&site, 0).requests.contains_key(&RequestState::Running)
    });
    for relay in &relays {
        relay.silence_open();
    }
    let result = call.join().unwrap();
    assert_eq!(result.outcome, CallOutcome::Answered);
    assert_eq!(result.body, expected.as_bytes());
    assert!(check_single_dispatch(&site).resumes >= 1);
}

/// Guards against a daemon with another deployment's keys that is accepted as a peer. It must be refused
/// in the handshake.
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
    let refused = site.daemons[0].process.wait_line("event=peer-refused", WAIT_LIMIT);
    assert!(refused.is_some(), "{:?}", site.daemons[0].process.lines());
    let seen = status(&site, 0);
    assert!(!seen.peers.keys().any(|name| name.as_str() == "intruder"), "{:?}", seen.peers);
}
