//! Notices that targets announce in their answers.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use ntex::http::Method;
use ryetide_lab::{
    caller::{CallOutcome, CallResult, CallTerms, TestCaller},
    control,
    plain_service::{PlainFaults, PlainRecord},
    process_site::ProcessSite,
};

/// The back-off that the target announces.
const BACK_OFF_S: u32 = 3;
/// An answer within this time was not delayed by waiting for a target.
const IMMEDIATE_LIMIT: Duration = Duration::from_millis(500);
/// The time between calls, in which a notice reaches the other daemons.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

fn call(entry: SocketAddr) -> CallResult {
    let terms = CallTerms { deadline: Duration::from_secs(1), ..crate::support::terms() };
    control::block_on(async move {
        let caller = TestCaller;
        caller.call(entry, Method::POST, "/services/records/tags", &terms, b"a tag".to_vec()).await
    })
}

fn records(site: &ProcessSite) -> SocketAddr {
    site.targets.iter().find(|target| target.name == "records-1").unwrap().address
}

/// Calls the daemons in turn, and returns the number of calls that were answered.
fn call_in_turn(site: &ProcessSite, times: usize) -> usize {
    let caller_addresses =
        site.daemons.iter().map(|daemon| daemon.site.callers).cycle().take(times);
    let results = caller_addresses.map(|entry| {
        let result = call(entry);
        thread::park_timeout(CALL_INTERVAL);
        result
    });
    results.filter(|result| result.outcome == CallOutcome::Answered).count()
}

/// Guards against requests from any daemon to a target that has announced in an answer that it is
/// leaving, while the services text still lists it.
#[test]
fn a_target_that_announces_that_it_leaves_gets_no_more_requests() {
    let site = crate::support::start(crate::support::fast());
    let faults = PlainFaults { leaving: true, ..PlainFaults::default() };
    control::post(records(&site), "/lab/faults", &faults).unwrap();
    assert_eq!(call(site.daemons[0].site.callers).outcome, CallOutcome::Answered);
    thread::park_timeout(CALL_INTERVAL * 5);
    call_in_turn(&site, 9);
    let record: PlainRecord = control::get(records(&site), "/lab/record").unwrap();
    assert_eq!(record.runs.len(), 1, "{record:?}");
}

/// Guards against requests to a target during the back-off that it has announced, and against a target
/// that stays excluded afterwards. Callers with a shorter deadline must be refused at once, with a
/// retry delay that covers the rest of the back-off.
#[test]
fn a_target_gets_no_requests_during_its_back_off() {
    let site = crate::support::start(crate::support::fast());
    let faults = PlainFaults { busy: true, hold_off_s: Some(BACK_OFF_S), ..PlainFaults::default() };
    control::post(records(&site), "/lab/faults", &faults).unwrap();
    call(site.daemons[0].site.callers);
    let started = Instant::now();
    let refused = call(site.daemons[1].site.callers);
    assert_eq!(refused.outcome, CallOutcome::NotRun);
    assert!(started.elapsed() < IMMEDIATE_LIMIT, "{:?}", started.elapsed());
    let retry = refused.retry_after.expect("a retry delay");
    assert!(retry > Duration::from_secs(2), "{retry:?}");
    call_in_turn(&site, 6);
    let record: PlainRecord = control::get(records(&site), "/lab/record").unwrap();
    assert!(record.refused <= 3, "{record:?}");
    control::post(records(&site), "/lab/faults", &PlainFaults::default()).unwrap();
    thread::park_timeout(Duration::from_secs(u64::from(BACK_OFF_S)));
    assert_eq!(call_in_turn(&site, 3), 3);
}
