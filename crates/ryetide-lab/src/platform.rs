//! The stand-in for the platform: a table service, an object store and a delayed list of VMs, behind
//! one listener.
//!
//! | call | effect |
//! |---|---|
//! | `POST /table` | one read or conditional write |
//! | `GET`/`PUT /objects/{key}` | reads or writes an object |
//! | `GET /vms` | returns the list with a delay |
//! | `POST /lab/vms`, `POST /lab/faults`, `GET /lab/record` | control interface for tests |

use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use ntex::{
    service::cfg::SharedCfg,
    util::Bytes,
    web::{self, App, HttpResponse, HttpServer},
};
use ryetide::error::StepError;
use ryetide_core::event::{ListedVm, TableAnswer, TableCommand, TableRow};
use serde::{Deserialize, Serialize};

use crate::server::{self, StandInServer};

/// The faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether all calls are refused without effect.
    pub down: bool,
    /// The duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// The number of next writes that take effect without being answered.
    pub lose_write_answers: u32,
    /// The age of the list, in milliseconds.
    pub list_lag_ms: u64,
}

/// The record of what the platform has done.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformRecord {
    /// The number of reads of the table.
    pub reads: u64,
    /// The number of writes that took effect.
    pub writes: u64,
    /// The number of writes that failed because of another version.
    pub conflicts: u64,
    /// The number of reads of the list.
    pub list_reads: u64,
}

/// The rows of the table. The version of a row starts at 1 and increases with each write.
#[derive(Debug, Default)]
pub struct TableRows {
    rows: BTreeMap<String, TableRow>,
}

impl TableRows {
    /// Runs a command.
    pub fn run(&mut self, command: &TableCommand) -> TableAnswer {
        match command {
            TableCommand::Read { key, known } => match self.rows.get(key) {
                Some(row) if Some(row.version) == *known => TableAnswer::Unchanged,
                row => TableAnswer::Row(row.cloned()),
            },
            TableCommand::Write { key, expected, value } => {
                let current = self.rows.get(key).map_or(0, |row| row.version);
                if current != *expected {
                    return TableAnswer::Conflict(self.rows.get(key).cloned());
                }
                let row = TableRow { version: current + 1, value: value.clone() };
                self.rows.insert(key.clone(), row);
                TableAnswer::Written(current + 1)
            }
        }
    }
}

#[derive(Debug, Default)]
struct PlatformState {
    table: TableRows,
    objects: BTreeMap<String, Vec<u8>>,
    /// The versions of the list with the times of their changes, oldest first.
    lists: VecDeque<(Option<Instant>, Vec<ListedVm>)>,
    faults: PlatformFaults,
    record: PlatformRecord,
}

type SharedPlatform = Arc<Mutex<PlatformState>>;

/// A running platform.
#[derive(Debug)]
pub struct PlatformStandIn {
    state: SharedPlatform,
    server: StandInServer,
}

impl PlatformStandIn {
    /// Starts a platform on `listener`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be started.
    pub fn start(listener: TcpListener) -> Result<Self, StepError> {
        let state = SharedPlatform::default();
        let served = Arc::clone(&state);
        let server = StandInServer::start(listener, move |listener| {
            let factory = move || {
                let state = Arc::clone(&served);
                async move {
                    App::new()
                        .state(state)
                        .state(web::types::PayloadConfig::new(16 << 20))
                        .route("/table", web::post().to(table))
                        .service(
                            web::resource("/objects/{key}")
                                .route(web::get().to(read_object))
                                .route(web::put().to(write_object)),
                        )
                        .route("/vms", web::get().to(list))
                        .route("/lab/vms", web::post().to(set_list))
                        .route("/lab/faults", web::post().to(set_faults))
                        .route("/lab/record", web::get().to(record))
                }
            };
            let server = HttpServer::new(factory).workers(1).disable_signals();
            Ok(server.config(SharedCfg::new("platform")).listen(listener)?.run())
        })?;
        Ok(Self { state, server })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).faults = faults;
    }

    /// Replaces the list of VMs. Readers see the change after the delay.
    pub fn set_list(&self, listed: Vec<ListedVm>) {
        change_list(&self.state, listed);
    }

    /// Runs a table command directly, unaffected by faults.
    pub fn run(&self, command: &TableCommand) -> TableAnswer {
        lock(&self.state).table.run(command)
    }

    /// Returns the record of what the platform has done.
    pub fn record(&self) -> PlatformRecord {
        lock(&self.state).record.clone()
    }
}

fn lock(state: &SharedPlatform) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn change_list(state: &SharedPlatform, listed: Vec<ListedVm>) {
    let mut platform = lock(state);
    // The first list is visible at once; only changes are delayed.
    let at = (!platform.lists.is_empty()).then(Instant::now);
    platform.lists.push_back((at, listed));
}

type PlatformData = web::types::State<SharedPlatform>;

/// Waits for the configured delay, and returns whether the platform is down.
async fn wait_for_faults(state: &PlatformData) -> bool {
    let faults = lock(state.get_ref()).faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    faults.down
}

async fn table(body: Bytes, state: PlatformData) -> HttpResponse {
    if wait_for_faults(&state).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Ok(command) = serde_json::from_slice::<TableCommand>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (answer, lost) = {
        let mut platform = lock(state.get_ref());
        let answer = platform.table.run(&command);
        let lost = record_command(&mut platform, &command, &answer);
        (answer, lost)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(&answer)
}

/// Records a command, and returns whether its answer must be lost.
fn record_command(
    platform: &mut PlatformState,
    command: &TableCommand,
    answer: &TableAnswer,
) -> bool {
    if matches!(command, TableCommand::Read { .. }) {
        platform.record.reads += 1;
        return false;
    }
    if !matches!(answer, TableAnswer::Written(_)) {
        platform.record.conflicts += 1;
        return false;
    }
    platform.record.writes += 1;
    let lost = platform.faults.lose_write_answers > 0;
    platform.faults.lose_write_answers = platform.faults.lose_write_answers.saturating_sub(1);
    lost
}

async fn read_object(key: web::types::Path<String>, state: PlatformData) -> HttpResponse {
    if wait_for_faults(&state).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match lock(state.get_ref()).objects.get(key.as_str()) {
        Some(body) => HttpResponse::Ok().body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn write_object(
    key: web::types::Path<String>,
    body: Bytes,
    state: PlatformData,
) -> HttpResponse {
    if wait_for_faults(&state).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    lock(state.get_ref()).objects.insert(key.into_inner(), body.to_vec());
    HttpResponse::NoContent().finish()
}

async fn list(state: PlatformData) -> HttpResponse {
    if wait_for_faults(&state).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut platform = lock(state.get_ref());
    platform.record.list_reads += 1;
    let lag = Duration::from_millis(platform.faults.list_lag_ms);
    let seen = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= lag);
    while platform.lists.get(1).is_some_and(|(at, _)| seen(at)) {
        platform.lists.pop_front();
    }
    let listed = platform.lists.front().map(|(_, listed)| listed.clone()).unwrap_or_default();
    HttpResponse::Ok().json(&listed)
}

async fn set_list(body: Bytes, state: PlatformData) -> HttpResponse {
    server::apply_json(&body, |listed| change_list(state.get_ref(), listed))
}

async fn set_faults(body: Bytes, state: PlatformData) -> HttpResponse {
    server::apply_json(&body, |faults| lock(state.get_ref()).faults = faults)
}

async fn record(state: PlatformData) -> HttpResponse {
    HttpResponse::Ok().json(&lock(state.get_ref()).record)
}
