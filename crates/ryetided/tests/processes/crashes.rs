//! A target that crashes under one caller's request.

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

const DEADLY: &str = "deadly";
/// How long the target needs to crash, and how long it is away.
const CRASH_SPAN: Duration = Duration::from_millis(30);
const AWAY_SPAN: Duration = Duration::from_millis(300);
/// What is permitted: no more than this many attempts that a caller makes later than this after the third crash may
/// reach the target.
const SETTLED_SPAN: Duration = Duration::from_secs(3);
const PERMITTED_LATER: usize = 3;
const REPEAT_PAUSE: Duration = Duration::from_millis(60);
const REPEAT_SPAN: Duration = Duration::from_secs(8);
/// Whether an answer comes without waiting for a target.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A plain service that crashes under the deadly request, and is back at its address a little later.
#[derive(Clone, Default)]
struct CrashingTarget {
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CrashingTarget {
    /// Takes the place of a target whose process has ended.
    fn start(address: SocketAddr) -> Self {
        let target = Self::default();
        let running = target.clone();
        thread::spawn(move || {
            loop {
                // The process that had the port may still be ending.
                if let Ok(listener) = TcpListener::bind(address) {
                    running.live(&listener);
                }
                thread::park_timeout(AWAY_SPAN);
            }
        });
        target
    }

    /// Serves until the deadly request has come.
    fn live(&self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.serve(stream) {
                return;
            }
        }
    }

    /// Serves one request; returns whether the target has crashed.
    fn serve(&self, mut stream: TcpStream) -> bool {
        let mut text = String::new();
        let mut piece = [0; 4_096];
        while !text.contains("\r\n\r\n") || !(text.ends_with(DEADLY) || text.ends_with("other")) {
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return false,
                Ok(length) => text.push_str(&String::from_utf8_lossy(&piece[..length])),
            }
        }
        if text.ends_with(DEADLY) {
            self.arrivals().push(Instant::now());
            thread::park_timeout(CRASH_SPAN);
            return true;
        }
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: close\r\n\r\ndone";
        // The other side may have gone.
        let _ = stream.write_all(answer.as_bytes());
        false
    }

    fn arrivals(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call(door: SocketAddr, body: &str) -> CallResult {
    let body = body.as_bytes().to_vec();
    control::block_on(async move {
        let caller = TestCaller::new().await.unwrap();
        let terms = crate::support::terms();
        caller.call(door, Method::POST, "/services/records/orders", &terms, body).await
    })
}

fn with_crashing_target() -> (ProcessSite, CrashingTarget) {
    let mut site = crate::support::start(crate::support::fast());
    let records = site.targets.iter_mut().find(|target| target.name == "records-1").unwrap();
    records.process.signal(Signal::SIGKILL).unwrap();
    let target = CrashingTarget::start(records.address);
    (site, target)
}

/// A caller's request crashes the target that runs it, and comes again at any VM for as long as it does. Nobody else is
/// served by that target for most of that time.
#[test]
fn a_request_that_crashes_its_target_is_soon_sent_there_no_more() {
    let (site, target) = with_crashing_target();
    let doors: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.site.callers).collect();
    let end = Instant::now() + REPEAT_SPAN;
    let repeat = |door: SocketAddr| {
        while Instant::now() < end {
            call(door, DEADLY);
            thread::park_timeout(REPEAT_PAUSE);
        }
    };
    thread::scope(|scope| {
        for door in &doors {
            scope.spawn(|| repeat(*door));
        }
    });
    let third = *target.arrivals().get(2).expect("three crashes") + CRASH_SPAN;
    let later = target.arrivals().iter().filter(|at| **at > third + SETTLED_SPAN).count();
    assert!(later <= PERMITTED_LATER, "{later} attempts more");
    let asked = Instant::now();
    let answer = call(doors[0], DEADLY);
    assert_eq!(answer.outcome, CallOutcome::NotRun);
    assert!(answer.retry_after.is_some() && asked.elapsed() < AT_ONCE);
    thread::park_timeout(AWAY_SPAN);
    assert_eq!(call(doors[1], "other").outcome, CallOutcome::Answered);
}
