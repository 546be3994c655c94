//! A daemon that gets more calls than its processor carries.

use std::{rc::Rc, time::Duration};

use nix::unistd::Pid;
use ntex::http::Method;
use ryetide_lab::{
    caller::{CallOutcome, CallTerms, TestCaller},
    control,
    process_site::ProcessSite,
};

use tokio::time::{self, Instant};

use crate::processor::{self, ProcessorBound};

/// The share of a core that the daemon has.
const PROCESSOR: f64 = 0.2;
/// The calls per second that fit it, and how many times as many come.
const FITTING_RATE: u32 = 240;
const OVERLOAD: u32 = 4;
/// How long each load lasts; calls of its second half are counted.
const SPAN: Duration = Duration::from_secs(4);
/// The time in which a call is of use to its caller.
const OBJECTIVE: Duration = Duration::from_millis(1_200);

/// Plays calls at regular intervals, each on a new connection, and returns how many of those of the
/// second half are answered in time.
fn play(site: &ProcessSite, rate: u32) -> usize {
    let daemon = &site.daemons[0];
    let (address, interval) = (daemon.site.callers, Duration::from_secs(1) / rate);
    let process = Pid::from_raw(i32::try_from(daemon.process.id()).expect("a process id"));
    let before = processor::used(process);
    let count = (SPAN.as_secs_f64() * f64::from(rate)) as u32;
    let results = control::block_on(async move {
        let caller = Rc::new(TestCaller);
        let mut calls = Vec::new();
        let start = Instant::now();
        for number in 0..count {
            time::sleep_until(start + interval * number).await;
            let caller = Rc::clone(&caller);
            let terms = CallTerms { deadline: Duration::from_secs(3), ..crate::support::terms() };
            calls.push(ntex::rt::spawn(async move {
                let path = format!("/services/records/{number}");
                caller.call(address, Method::GET, &path, &terms, Vec::new()).await
            }));
        }
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.expect("the call panicked"));
        }
        results
    });
    let counted = &results[results.len() / 2..];
    let answered = counted.iter().filter(|it| it.outcome == CallOutcome::Answered);
    let in_time = answered.filter(|it| it.total < OBJECTIVE).count();
    let count_of = |outcome| counted.iter().filter(|it| it.outcome == outcome).count();
    println!(
        "{rate} a second: of {}, {in_time} in time, {} answered, {} not run, {} disconnected; {:?}",
        counted.len(),
        count_of(CallOutcome::Answered),
        count_of(CallOutcome::NotRun),
        count_of(CallOutcome::Disconnected),
        processor::used(process) - before,
    );
    in_time
}

/// Guards against a daemon that serves less the more it gets.
#[test]
fn a_daemon_that_gets_more_than_it_carries_serves_what_it_can() {
    let site = crate::support::start(crate::support::fast());
    let process = Pid::from_raw(i32::try_from(site.daemons[0].process.id()).expect("a process id"));
    let _bound = ProcessorBound::start(process, PROCESSOR);
    let fitting = play(&site, FITTING_RATE);
    let overloaded = play(&site, OVERLOAD * FITTING_RATE);
    let least = fitting * 3 / 4;
    assert!(overloaded >= least, "{overloaded} in time, {fitting} at a load that fits");
}
