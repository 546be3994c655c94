//! Complete answers through separate processes.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use nix::sys::signal::Signal;
use ntex::http::Method;
use ryetide_core::{chart::RequestState, entry::EntryStatus};
use ryetide_lab::{
    caller::{CallOutcome, CallResult, TestCaller},
    control,
    engine_batch::{EnginePrompt, EngineRecord, EngineSpeed},
    process_site::ProcessSite,
};

/// Sends `prompts` concurrently, distributed over `caller_addresses`, and returns the results.
fn call_all(caller_addresses: Vec<SocketAddr>, prompts: Vec<EnginePrompt>) -> Vec<CallResult> {
    control::block_on(async move {
        let caller = Rc::new(TestCaller);
        let calls: Vec<_> = prompts
            .into_iter()
            .enumerate()
            .map(|(index, prompt)| {
                let (caller, entry) =
                    (Rc::clone(&caller), caller_addresses[index % caller_addresses.len()]);
                ntex::rt::spawn(async move {
                    caller.prompt(entry, &crate::support::terms(), &prompt).await
                })
            })
            .collect();
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.unwrap());
        }
        results
    })
}

fn caller_addresses(site: &ProcessSite) -> Vec<SocketAddr> {
    site.daemons.iter().map(|daemon| daemon.site.callers).collect()
}

/// Returns how often each request id was dispatched to any engine.
fn dispatches(site: &ProcessSite) -> BTreeMap<String, u32> {
    let mut all = BTreeMap::new();
    for target in site.targets.iter().filter(|target| target.name.starts_with("engine")) {
        let record: EngineRecord = control::get(target.address, "/lab/record").unwrap();
        for (id, count) in record.dispatches {
            *all.entry(id).or_default() += count;
        }
    }
    all
}

/// Guards against answers that are incomplete or mixed up, and requests that are dispatched twice.
#[test]
fn whole_answers_through_each_daemon() {
    let site = crate::support::start(crate::support::fast());
    // Larger than any buffer in the path: the rings, the answer buffers and the sockets.
    let mut large = crate::support::prompt("a long drawing", 3_000);
    large.lab_token_bytes = Some(4_096);
    let mut prompts: Vec<EnginePrompt> = (0..200)
        .map(|number| crate::support::prompt(&format!("wire colour {number}"), 40))
        .collect();
    prompts.extend([large.clone(), large.clone(), large]);
    let results = call_all(caller_addresses(&site), prompts.clone());
    for (prompt, result) in prompts.iter().zip(&results) {
        assert_eq!(result.outcome, CallOutcome::Answered, "{}", result.status);
        let whole = result.body == prompt.expected_stream().as_bytes();
        assert!(whole, "{}: {} bytes differ", prompt.prompt, result.body.len());
    }
    let dispatches = dispatches(&site);
    assert_eq!(dispatches.len(), prompts.len());
    assert!(dispatches.values().all(|count| *count == 1), "{dispatches:?}");
    check_processes(&site);
}

/// Checks that no daemon uses io_uring or has a child process.
fn check_processes(site: &ProcessSite) {
    for daemon in &site.daemons {
        let id = daemon.process.id();
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap();
        for descriptor in descriptors.flatten() {
            let target = std::fs::read_link(descriptor.path()).unwrap_or_default();
            assert!(!target.to_string_lossy().contains("io_uring"), "{target:?}");
        }
        for process in std::fs::read_dir("/proc").unwrap().flatten() {
            let stat = std::fs::read_to_string(process.path().join("stat")).unwrap_or_default();
            let after_name = stat.rsplit(')').next().unwrap_or_default();
            let parent = after_name.split_whitespace().nth(1);
            assert_ne!(parent, Some(id.to_string().as_str()), "a child: {stat}");
        }
    }
}

/// Guards against an engine's stream that is passed on to a caller that did not ask for one.
#[test]
fn one_whole_body_for_callers_that_do_not_stream() {
    let site = crate::support::start(crate::support::fast());
    let prompt = EnginePrompt { stream: false, ..crate::support::prompt("crimp steps", 20) };
    let results = call_all(caller_addresses(&site), vec![prompt.clone(); 3]);
    for result in results {
        assert_eq!((result.outcome, result.status), (CallOutcome::Answered, 200));
        let body = String::from_utf8(result.body).unwrap();
        let expected = format!("\"content\":\"{}\"", prompt.expected_text());
        assert!(body.contains(&expected), "{body}");
    }
}

/// Guards against a plain service's request that is routed wrongly, or whose body is parsed.
#[test]
fn plain_services_are_routed_by_path_and_pass_bodies_unread() {
    let site = crate::support::start(crate::support::fast());
    let entry = caller_addresses(&site)[0];
    let result = control::block_on(async move {
        let caller = TestCaller;
        let body = b"not json \xff".to_vec();
        caller
            .call(
                entry,
                Method::PUT,
                "/services/records/tags/7?x=1",
                &crate::support::terms(),
                body,
            )
            .await
    });
    assert_eq!((result.outcome, result.status), (CallOutcome::Answered, 200));
    let body = String::from_utf8_lossy(&result.body).into_owned();
    assert!(body.starts_with("PUT /tags/7 done: not json"), "{body}");
}

/// Guards against a shutdown that cuts off streams. SIGTERM arrives while some requests stream and
/// others are queued: the streams must be completed, the queued requests must be refused at once as
/// not run, no new request may be accepted, and the process must exit with 0.
#[test]
fn a_graceful_shutdown_cuts_off_nothing() {
    let slow = EngineSpeed { slots: 4, decode_rate: 60.0, ..crate::support::fast() };
    let mut site = crate::support::start(slow);
    let entry = site.daemons[0].site.callers;
    let operators = site.daemons[0].site.operators;
    let prompts: Vec<EnginePrompt> =
        (0..16).map(|number| crate::support::prompt(&format!("steps {number}"), 60)).collect();
    let expected = prompts.clone();
    let calls = std::thread::spawn(move || call_all(vec![entry], prompts));
    crate::support::wait_until(
        "some requests stream and others are queued",
        Duration::from_secs(10),
        || {
            let status: EntryStatus = control::get(operators, "/v1/status").unwrap();
            let count = |state| status.requests.get(&state).copied().unwrap_or(0);
            count(RequestState::Running) >= 4 && count(RequestState::Asking) >= 1
        },
    );
    site.daemons[0].process.signal(Signal::SIGTERM).unwrap();
    let results = calls.join().unwrap();
    let mut counts = BTreeMap::new();
    for (prompt, result) in expected.iter().zip(&results) {
        *counts.entry(format!("{:?}", result.outcome)).or_insert(0) += 1;
        match result.outcome {
            CallOutcome::Answered => {
                assert_eq!(result.body, prompt.expected_stream().as_bytes());
            }
            CallOutcome::NotRun => assert!(result.retry_after.is_some()),
            other => panic!("{other:?} {}", result.status),
        }
    }
    assert!(counts.get("Answered").is_some_and(|count| *count >= 4), "{counts:?}");
    assert!(counts.contains_key("NotRun"), "{counts:?}");
    let status = site.daemons[0].process.wait_exit(Duration::from_secs(20));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    let answered = counts["Answered"];
    let dispatched = dispatches(&site);
    assert_eq!(dispatched.len(), answered, "a request that did not run was not dispatched");
}
