//! A request that crashes its target.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use ntex::http::Method;
use ryetide_lab::{
    caller::{CallOutcome, CallResult, TestCaller},
    control,
    process_site::ProcessSite,
};

/// The body of the request that crashes the target.
const CRASHING_BODY: &str = "deadly";
/// The time from the arrival of the request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// The time for which a crashed target is down.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The time after the third crash within which the request must be quarantined.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// The number of attempts that may reach the target after that time.
const MAX_LATER_ATTEMPTS: usize = 3;
/// The time between the attempts at one daemon.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// The time for which the request is retried.
const RETRY_TIME: Duration = Duration::from_secs(8);
/// An answer within this time was not delayed by waiting for a target.
const IMMEDIATE_LIMIT: Duration = Duration::from_millis(500);

/// A plain service that crashes when it runs the request, and restarts at its address.
#[derive(Clone, Default)]
struct CrashingTarget {
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CrashingTarget {
    /// Starts at the address of a target whose process was killed.
    fn start(address: SocketAddr) -> Self {
        let target = Self::default();
        let running = target.clone();
        thread::spawn(move || {
            loop {
                // Binding fails while the killed process still holds the port.
                if let Ok(listener) = TcpListener::bind(address) {
                    running.run(&listener);
                }
                thread::park_timeout(RESTART_DELAY);
            }
        });
        target
    }

    /// Serves until the target has crashed.
    fn run(&self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.serve(stream) {
                return;
            }
        }
    }

    /// Serves one request, and returns whether the target has crashed.
    fn serve(&self, mut stream: TcpStream) -> bool {
        let mut text = String::new();
        let mut piece = [0; 4_096];
        while !text.contains("\r\n\r\n")
            || !(text.ends_with(CRASHING_BODY) || text.ends_with("other"))
        {
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return false,
                Ok(length) => text.push_str(&String::from_utf8_lossy(&piece[..length])),
            }
        }
        if text.ends_with(CRASHING_BODY) {
            self.arrivals().push(Instant::now());
            thread::park_timeout(CRASH_DELAY);
            return true;
        }
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: close\r\n\r\ndone";
        // Writing fails when the daemon has closed the connection.
        let _ = stream.write_all(answer.as_bytes());
        false
    }

    fn arrivals(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call(entry: SocketAddr, body: &str) -> CallResult {
    let body = body.as_bytes().to_vec();
    control::block_on(async move {
        let caller = TestCaller;
        let terms = crate::support::terms();
        caller.call(entry, Method::POST, "/services/records/orders", &terms, body).await
    })
}

fn with_crashing_target() -> (ProcessSite, CrashingTarget) {
    let mut site = crate::support::start(crate::support::fast());
    let records = site.targets.iter_mut().find(|target| target.name == "records-1").unwrap();
    records.process.signal(Signal::SIGKILL).unwrap();
    let target = CrashingTarget::start(records.address);
    (site, target)
}

/// Guards against a request that crashes its target again and again because it is retried at all VMs,
/// which keeps the target down for everybody else.
#[test]
fn a_request_that_crashes_its_target_is_soon_sent_there_no_more() {
    let (site, target) = with_crashing_target();
    let caller_addresses: Vec<SocketAddr> =
        site.daemons.iter().map(|daemon| daemon.site.callers).collect();
    let end = Instant::now() + RETRY_TIME;
    let retry = |entry: SocketAddr| {
        while Instant::now() < end {
            call(entry, CRASHING_BODY);
            thread::park_timeout(RETRY_INTERVAL);
        }
    };
    thread::scope(|scope| {
        for entry in &caller_addresses {
            scope.spawn(|| retry(*entry));
        }
    });
    let third = *target.arrivals().get(2).expect("three crashes") + CRASH_DELAY;
    let later = target.arrivals().iter().filter(|at| **at > third + SETTLING_TIME).count();
    assert!(later <= MAX_LATER_ATTEMPTS, "{later} attempts more");
    let started = Instant::now();
    let answer = call(caller_addresses[0], CRASHING_BODY);
    assert_eq!(answer.outcome, CallOutcome::NotRun);
    assert!(answer.retry_after.is_some() && started.elapsed() < IMMEDIATE_LIMIT);
    thread::park_timeout(RESTART_DELAY);
    assert_eq!(call(caller_addresses[1], "other").outcome, CallOutcome::Answered);
}
