//! The stand-in for a model engine over HTTP.
//!
//! | call | effect |
//! |---|---|
//! | `POST /v1/requests/{id}` | runs a prompt and streams the answer |
//! | `GET /v1/requests/{id}?offset=N` | streams the answer from byte N; 404 for an unknown id |
//! | `DELETE /v1/requests/{id}` | cancels the request |
//! | `GET /v1/load` | returns the load with a delay, and cache events with a delay and losses |
//! | `POST /v1/orders` | accepts an order; with a fencing check, refuses an old number with 412 |
//! | `POST /lab/faults`, `GET /lab/record` | sets faults and returns the record, for tests |

use std::{
    collections::{HashMap, VecDeque},
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
    thread,
    time::{Duration, Instant},
};

use ntex::{
    service::cfg::SharedCfg,
    util::{Bytes, Stream},
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};
use ryetide::{error::StepError, target_client::LEAVING_HEADER};
use ryetide_core::event::LoadReport;
use serde::{Deserialize, Serialize};

use crate::{
    engine_batch::{EngineBatch, EnginePrompt, EngineRecord, EngineSpeed},
    server::{self, StandInServer},
};

/// The interval between two steps of the batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// The interval at which the load is recorded for delayed reports.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// One in this number of cache events is lost.
const CACHE_EVENT_LOSS_INTERVAL: usize = 5;
/// The number of queued requests at which the engine refuses more.
const QUEUE_LIMIT: usize = 256;

/// The faults of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// The factor by which the engine is slower than its speed.
    pub slowdown: f64,
    /// Whether the engine refuses new requests and announces that it is leaving.
    pub leaving: bool,
    /// Whether the engine refuses new requests as busy.
    pub busy: bool,
    /// The number of bytes after which each stream is aborted once.
    pub break_after: Option<usize>,
    /// The number of bytes after which each stream stops once, without a reset.
    pub silent_after: Option<usize>,
    /// Whether the engine refuses orders with a fencing number below the highest seen.
    pub checks_fencing: bool,
    /// Whether the engine answers resumes as if it did not know the request.
    pub forgetful: bool,
    /// The age of load reports, in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            leaving: false,
            busy: false,
            break_after: None,
            silent_after: None,
            checks_fencing: false,
            forgetful: false,
            report_lag_ms: 1_000,
        }
    }
}

#[derive(Debug)]
struct EngineState {
    batch: EngineBatch,
    faults: EngineFaults,
    wakers: HashMap<String, Vec<Waker>>,
    reports: VecDeque<(Instant, LoadReport)>,
    /// Requests whose stream was already aborted or silenced.
    faulted: Vec<String>,
    stopped: bool,
}

type SharedEngine = Arc<Mutex<EngineState>>;

/// A running engine.
#[derive(Debug)]
pub struct EngineStandIn {
    state: SharedEngine,
    server: StandInServer,
    worker: Option<thread::JoinHandle<()>>,
}

impl EngineStandIn {
    /// Starts an engine on `listener`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be started.
    pub fn start(listener: TcpListener, speed: EngineSpeed) -> Result<Self, StepError> {
        let state = Arc::new(Mutex::new(EngineState {
            batch: EngineBatch::new(speed),
            faults: EngineFaults::default(),
            wakers: HashMap::new(),
            reports: VecDeque::new(),
            faulted: Vec::new(),
            stopped: false,
        }));
        let working = Arc::clone(&state);
        let worker = thread::Builder::new()
            .name("engine".to_owned())
            .spawn(move || work(&working))
            .map_err(|error| StepError::new("start engine", error))?;
        let served = Arc::clone(&state);
        let server = StandInServer::start(listener, move |listener| {
            let factory = move || {
                let state = Arc::clone(&served);
                async move {
                    App::new()
                        .state(state)
                        .state(web::types::PayloadConfig::new(64 << 20))
                        .service(
                            web::resource("/v1/requests/{id}")
                                .route(web::post().to(dispatch))
                                .route(web::get().to(resume))
                                .route(web::delete().to(cancel)),
                        )
                        .route("/v1/load", web::get().to(load))
                        .route("/v1/orders", web::post().to(order))
                        .route("/lab/faults", web::post().to(set_faults))
                        .route("/lab/record", web::get().to(record))
                }
            };
            let server = HttpServer::new(factory)
                .workers(1)
                .maxconn(20_000)
                .backlog(4_096)
                .disable_signals()
                .config(SharedCfg::new("engine"));
            Ok(server.listen(listener)?.run())
        })?;
        Ok(Self { state, server, worker: Some(worker) })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        apply_faults(&self.state, faults);
    }

    /// Returns the record of what the engine has done.
    pub fn record(&self) -> EngineRecord {
        lock(&self.state).batch.record.clone()
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
        if let Some(worker) = self.worker.take() {
            // A panic of the worker has already been printed.
            let _ = worker.join();
        }
    }
}

fn lock(state: &SharedEngine) -> MutexGuard<'_, EngineState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Advances the batch until the engine is stopped.
fn work(state: &SharedEngine) {
    let mut last = Instant::now();
    let mut reported = last;
    loop {
        thread::park_timeout(BATCH_INTERVAL);
        let now = Instant::now();
        let mut engine = lock(state);
        if engine.stopped {
            return;
        }
        let slowdown = engine.faults.slowdown;
        let advanced = engine.batch.work((now - last).as_secs_f64(), slowdown);
        for id in advanced {
            for waker in engine.wakers.remove(&id).unwrap_or_default() {
                waker.wake();
            }
        }
        if now - reported >= LOAD_INTERVAL {
            reported = now;
            record_load(&mut engine, now);
        }
        last = now;
    }
}

fn record_load(engine: &mut EngineState, now: Instant) {
    let events = engine.batch.cached().enumerate();
    let kept = events
        .filter(|(index, _)| index % CACHE_EVENT_LOSS_INTERVAL != CACHE_EVENT_LOSS_INTERVAL - 1);
    let report = LoadReport {
        age_ms: 0,
        running: engine.batch.load(),
        generated: engine.batch.generated(),
        leaving: engine.faults.leaving,
        cached: kept.map(|(_, prefix)| prefix).collect(),
    };
    engine.reports.push_back((now, report));
    let lag = Duration::from_millis(engine.faults.report_lag_ms);
    while engine.reports.get(1).is_some_and(|(at, _)| now - *at >= lag) {
        engine.reports.pop_front();
    }
}

type EngineData = web::types::State<SharedEngine>;

async fn dispatch(id: web::types::Path<String>, body: Bytes, state: EngineData) -> HttpResponse {
    let Ok(prompt) = serde_json::from_slice::<EnginePrompt>(&body) else {
        return HttpResponse::BadRequest().body("the prompt does not parse\n");
    };
    let shared = state.get_ref().clone();
    let mut engine = lock(&shared);
    if engine.faults.leaving || engine.faults.busy || engine.batch.queued() >= QUEUE_LIMIT {
        engine.batch.record.refused += 1;
        let mut builder = HttpResponse::ServiceUnavailable();
        if engine.faults.leaving {
            builder.set_header(LEAVING_HEADER, "true");
        }
        return builder.finish();
    }
    engine.batch.dispatch(&id, prompt);
    drop(engine);
    stream(shared, id.into_inner(), 0)
}

async fn resume(
    id: web::types::Path<String>,
    request: HttpRequest,
    state: EngineData,
) -> HttpResponse {
    let query = request.query_string();
    // An invalid resume is rejected, so that an error of its sender is not hidden.
    let offset = if query.is_empty() { Some(0) } else { read_offset(query) };
    let Some(offset) = offset else { return HttpResponse::BadRequest().finish() };
    let shared = state.get_ref().clone();
    let mut engine = lock(&shared);
    if engine.faults.forgetful || engine.batch.request(&id).is_none() {
        return HttpResponse::NotFound().finish();
    }
    engine.batch.record.resumes += 1;
    drop(engine);
    stream(shared, id.into_inner(), offset)
}

async fn cancel(id: web::types::Path<String>, state: EngineData) -> HttpResponse {
    let shared = state.get_ref().clone();
    let mut engine = lock(&shared);
    engine.batch.cancel(&id);
    for waker in engine.wakers.remove(id.as_str()).unwrap_or_default() {
        waker.wake();
    }
    HttpResponse::NoContent().finish()
}

async fn load(state: EngineData) -> HttpResponse {
    let engine = lock(state.get_ref());
    let now = Instant::now();
    let lagging = engine.reports.front();
    let mut report = lagging.map(|(_, report)| report.clone()).unwrap_or_default();
    report.age_ms = lagging.map_or(0, |(at, _)| (now - *at).as_millis() as u64);
    // The engine announces without delay that it is leaving.
    report.leaving = engine.faults.leaving;
    HttpResponse::Ok().json(&report)
}

fn read_offset(query: &str) -> Option<usize> {
    query.strip_prefix("offset=")?.parse().ok()
}

/// The header with an order's fencing number.
pub const FENCING_HEADER: &str = "x-fencing-number";

async fn order(request: HttpRequest, body: Bytes, state: EngineData) -> HttpResponse {
    let number = request.headers().get(FENCING_HEADER);
    let number = number.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let Some(number) = number else { return HttpResponse::BadRequest().finish() };
    let mut engine = lock(state.get_ref());
    let record = &engine.batch.record;
    let highest = record.orders.iter().map(|(number, _)| *number).max().unwrap_or(0);
    if engine.faults.checks_fencing && number < highest {
        return HttpResponse::PreconditionFailed().finish();
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    engine.batch.record.orders.push((number, text));
    HttpResponse::NoContent().finish()
}

async fn set_faults(body: Bytes, state: EngineData) -> HttpResponse {
    server::apply_json(&body, |faults| apply_faults(state.get_ref(), faults))
}

async fn record(state: EngineData) -> HttpResponse {
    HttpResponse::Ok().json(&lock(state.get_ref()).batch.record)
}

fn apply_faults(state: &SharedEngine, faults: EngineFaults) {
    let mut engine = lock(state);
    engine.faults = faults;
    engine.faulted.clear();
}

fn stream(state: SharedEngine, id: String, offset: usize) -> HttpResponse {
    let stream = EngineStream { state, id, offset, start: offset, ended: false };
    HttpResponse::Ok().content_type("text/event-stream").streaming(stream)
}

/// The body of a streamed answer.
struct EngineStream {
    state: SharedEngine,
    id: String,
    offset: usize,
    start: usize,
    ended: bool,
}

impl Stream for EngineStream {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let shared = Arc::clone(&self.state);
        let mut engine = lock(&shared);
        let Some(request) = engine.batch.request(&self.id) else {
            return Poll::Ready(Some(Err(std::io::Error::other("forgotten"))));
        };
        let (mut bytes, done) = request.stream_from(self.offset);
        let whole = request.is_done();
        let fault_limit = engine.faults.break_after.or(engine.faults.silent_after);
        let is_unfaulted = self.start == 0 && !engine.faulted.contains(&self.id);
        if let Some(limit) = fault_limit.filter(|_| is_unfaulted) {
            let remaining = limit.saturating_sub(self.offset);
            bytes.truncate(remaining);
            if bytes.is_empty() && self.offset >= limit {
                engine.faulted.push(self.id.clone());
                if engine.faults.break_after.is_some() {
                    return Poll::Ready(Some(Err(std::io::Error::other("broken off"))));
                }
                return Poll::Pending;
            }
        } else if bytes.is_empty() && done {
            self.ended = true;
            // The answer to a cancelled request is aborted, so that it is not taken for complete.
            let cut = (!whole).then(|| Err(std::io::Error::other("cancelled")));
            return Poll::Ready(cut);
        }
        if bytes.is_empty() {
            engine.wakers.entry(self.id.clone()).or_default().push(context.waker().clone());
            return Poll::Pending;
        }
        self.offset += bytes.len();
        Poll::Ready(Some(Ok(Bytes::copy_from_slice(&bytes))))
    }
}
