//! The stand-in for a plain service over HTTP. It runs each call that it receives, and counts them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use ntex::{
    http::header,
    service::cfg::SharedCfg,
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};
use ryetide::{
    error::StepError,
    target_client::{LEAVING_HEADER, REQUEST_ID_HEADER},
};
use serde::{Deserialize, Serialize};

use crate::server::{self, StandInServer};

/// The largest body that a plain service takes: more than any daemon permits by default.
const BODY_LIMIT: usize = 16 << 20;
/// How much of a body an answer repeats.
const ECHO_LIMIT: usize = 3 << 20;

/// The faults of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlainFaults {
    /// The duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Whether it runs calls without answering them.
    pub lose_answers: bool,
    /// Whether it refuses calls.
    pub busy: bool,
    /// Whether it announces in its answers that it is leaving.
    pub leaving: bool,
    /// The back-off that it announces with a refusal, in seconds.
    pub hold_off_s: Option<u32>,
}

/// The record of what a plain service has done.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlainRecord {
    /// The number of runs of each request id.
    pub runs: BTreeMap<String, u32>,
    /// The number of runs of each body.
    pub bodies: BTreeMap<String, u32>,
    /// The number of refused calls.
    pub refused: u32,
}

#[derive(Debug, Default)]
struct PlainState {
    faults: PlainFaults,
    record: PlainRecord,
}

type SharedPlain = Arc<Mutex<PlainState>>;

/// A running plain service.
#[derive(Debug)]
pub struct PlainStandIn {
    state: SharedPlain,
    server: StandInServer,
}

impl PlainStandIn {
    /// Starts a plain service on `listener`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be started.
    pub fn start(listener: TcpListener) -> Result<Self, StepError> {
        let state = SharedPlain::default();
        let served = Arc::clone(&state);
        let server = StandInServer::start(listener, move |listener| {
            let factory = move || {
                let state = Arc::clone(&served);
                async move {
                    App::new()
                        .state(state)
                        .state(web::types::PayloadConfig::new(BODY_LIMIT))
                        .route("/lab/faults", web::post().to(set_faults))
                        .route("/lab/record", web::get().to(record))
                        .default_service(web::to(call))
                }
            };
            let server = HttpServer::new(factory).workers(1).disable_signals();
            Ok(server.config(SharedCfg::new("plain")).listen(listener)?.run())
        })?;
        Ok(Self { state, server })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the record of what the service has done.
    pub fn record(&self) -> PlainRecord {
        lock(&self.state).record.clone()
    }
}

fn lock(state: &SharedPlain) -> MutexGuard<'_, PlainState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

type PlainData = web::types::State<SharedPlain>;

async fn call(request: HttpRequest, body: Bytes, state: PlainData) -> HttpResponse {
    let id = request.headers().get(REQUEST_ID_HEADER);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let text = String::from_utf8_lossy(&body).into_owned();
    let faults = {
        let mut plain = lock(state.get_ref());
        if plain.faults.busy {
            plain.record.refused += 1;
            let mut refusal = HttpResponse::ServiceUnavailable();
            if let Some(seconds) = plain.faults.hold_off_s {
                refusal.header(header::RETRY_AFTER, seconds.to_string());
            }
            return refusal.finish();
        }
        *plain.record.runs.entry(id).or_default() += 1;
        *plain.record.bodies.entry(text.clone()).or_default() += 1;
        plain.faults.clone()
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_answers {
        std::future::pending::<()>().await;
    }
    let shown = text.get(..ECHO_LIMIT).unwrap_or(&text);
    let answer = format!("{} {} done: {shown}\n", request.method(), request.path());
    let mut response = HttpResponse::Ok();
    if faults.leaving {
        response.header(LEAVING_HEADER, "1");
    }
    response.content_type("text/plain").body(answer)
}

async fn set_faults(body: Bytes, state: PlainData) -> HttpResponse {
    server::apply_json(&body, |faults| lock(state.get_ref()).faults = faults)
}

async fn record(state: PlainData) -> HttpResponse {
    HttpResponse::Ok().json(&lock(state.get_ref()).record)
}
