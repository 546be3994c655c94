//! What targets say of themselves in their answers.

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

const HOLD_OFF_S: u32 = 3;
/// Whether an answer comes without waiting.
const AT_ONCE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);

fn call(door: SocketAddr) -> CallResult {
    let terms = CallTerms { deadline: Duration::from_secs(1), ..crate::support::terms() };
    control::block_on(async move {
        let caller = TestCaller::new().await.unwrap();
        caller.call(door, Method::POST, "/services/records/tags", &terms, b"a tag".to_vec()).await
    })
}

fn records(site: &ProcessSite) -> SocketAddr {
    site.targets.iter().find(|target| target.name == "records-1").unwrap().address
}

/// Calls one daemon after the other, and returns how many of the calls were answered.
fn call_in_turn(site: &ProcessSite, times: usize) -> usize {
    let doors = site.daemons.iter().map(|daemon| daemon.site.callers).cycle().take(times);
    let results = doors.map(|door| {
        let result = call(door);
        thread::park_timeout(PAUSE);
        result
    });
    results.filter(|result| result.outcome == CallOutcome::Answered).count()
}

/// A plain service answers well and says that it leaves. The platform's list does not say so yet; nothing more is sent to
/// it from any daemon.
#[test]
fn a_target_that_says_that_it_leaves_gets_nothing_more() {
    let site = crate::support::start(crate::support::fast());
    let faults = PlainFaults { leaving: true, ..PlainFaults::default() };
    control::post(records(&site), "/lab/faults", &faults).unwrap();
    assert_eq!(call(site.daemons[0].site.callers).outcome, CallOutcome::Answered);
    thread::park_timeout(PAUSE * 5);
    call_in_turn(&site, 9);
    let record: PlainRecord = control::get(records(&site), "/lab/record").unwrap();
    assert_eq!(record.runs.len(), 1, "{record:?}");
}

/// It refuses a call and wants none for three seconds: it gets none for that time, and serves again afterwards. Callers who
/// stay for one second are told at once when to come back, true to the target's word.
#[test]
fn a_target_that_wants_no_calls_for_a_time_gets_none() {
    let site = crate::support::start(crate::support::fast());
    let faults = PlainFaults { busy: true, hold_off_s: Some(HOLD_OFF_S), ..PlainFaults::default() };
    control::post(records(&site), "/lab/faults", &faults).unwrap();
    call(site.daemons[0].site.callers);
    let asked = Instant::now();
    let refused = call(site.daemons[1].site.callers);
    assert_eq!(refused.outcome, CallOutcome::NotRun);
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    let retry = refused.retry_after.expect("a time to come back");
    assert!(retry > Duration::from_secs(2), "{retry:?}");
    call_in_turn(&site, 6);
    let record: PlainRecord = control::get(records(&site), "/lab/record").unwrap();
    assert!(record.refused <= 3, "{record:?}");
    control::post(records(&site), "/lab/faults", &PlainFaults::default()).unwrap();
    thread::park_timeout(Duration::from_secs(u64::from(HOLD_OFF_S)));
    assert_eq!(call_in_turn(&site, 3), 3);
}
