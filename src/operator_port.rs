//! The thread that operators connect to, on an address apart from the callers'.

use std::{
    num::ParseIntError,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use ntex::{
    server::Server,
    service::cfg::SharedCfg,
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};
use ryetide_core::{
    catalog::ServiceCatalog, effect::ApplyOutcome, entry::EntryStatus, message::ConfigurationText,
    text::ValidationError, units::Revision,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    error::StepError,
    request_report::{ReportCommand, RequestReport},
    ring::RingSender,
    util,
};

/// An answer from the other threads may take this long; an edit's outcome takes the longest.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest services text.
pub const TEXT_LIMIT: usize = 2 << 20;

/// What an operator wants of the core.
#[derive(Debug)]
pub enum OperatorCommand {
    /// The VM's status.
    Status(oneshot::Sender<EntryStatus>),
    /// The services text in force.
    Configuration(oneshot::Sender<Option<ConfigurationText>>),
    /// An edit, with the revision that it was made from.
    Apply(Option<Revision>, String, oneshot::Sender<ApplyOutcome>),
}

/// The answer to an edit.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The text is at fault; nothing was written.
    Faulty(Vec<ValidationError>),
    /// How the edit ended.
    Ended(ApplyOutcome),
}

/// The port's ends of its rings.
pub struct OperatorRings {
    /// To the core.
    pub commands: RingSender<OperatorCommand>,
    /// To the report.
    pub reports: RingSender<ReportCommand>,
}

type SharedRings = Rc<OperatorRings>;

/// Starts the port on `listener`.
///
/// # Errors
///
/// Returns a [`StepError`] when the listener cannot be used.
pub fn start(listener: std::net::TcpListener, rings: OperatorRings) -> Result<Server, StepError> {
    // The server clones its factory for each worker; there is one worker, which takes the rings. Where
    // there are none to take, operators are told 503.
    let rings = Arc::new(Mutex::new(Some(rings)));
    let factory = move || {
        let taken = rings.lock().ok().and_then(|mut rings| rings.take());
        async move {
            let rings = taken.map(Rc::new);
            App::new()
                .state(rings)
                .state(web::types::PayloadConfig::new(TEXT_LIMIT))
                .route("/healthz", web::get().to(health))
                .route("/v1/status", web::get().to(status))
                .route("/v1/configuration", web::get().to(configuration))
                .route("/v1/report", web::get().to(report))
                .route("/v1/apply", web::post().to(apply))
        }
    };
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .config(SharedCfg::new("operators"))
        .listen(listener)
        .map_err(|error| StepError::new("listen for operators", error))?;
    Ok(server.run())
}

type RingsState = web::types::State<Option<SharedRings>>;

/// Sends the core a command and waits for its answer; nothing is returned while the daemon stops, or
/// when the answer takes too long.
async fn ask<T>(
    rings: &RingsState,
    command: impl FnOnce(oneshot::Sender<T>) -> OperatorCommand,
) -> Option<T> {
    let rings = rings.get_ref().as_ref()?;
    let (sender, receiver) = oneshot::channel();
    rings.commands.send(command(sender)).await.ok()?;
    util::within(REPLY_TIMEOUT, receiver).await?.ok()
}

fn json<T: Serialize>(value: Option<T>) -> HttpResponse {
    match value {
        Some(value) => HttpResponse::Ok().json(&value),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Healthy means that a configuration is in force and requests are taken.
async fn health(rings: RingsState) -> HttpResponse {
    let status = ask(&rings, OperatorCommand::Status).await;
    let serving = |status: &EntryStatus| {
        status.revision.0 > 0 && status.drain == ryetide_core::chart::DrainState::Serving
    };
    if status.as_ref().is_some_and(serving) {
        HttpResponse::Ok().body("serving\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not serving\n")
    }
}

async fn status(rings: RingsState) -> HttpResponse {
    json(ask(&rings, OperatorCommand::Status).await)
}

async fn configuration(rings: RingsState) -> HttpResponse {
    json(ask(&rings, OperatorCommand::Configuration).await)
}

async fn report(rings: RingsState) -> HttpResponse {
    let Some(shared) = rings.get_ref().clone() else { return json::<RequestReport>(None) };
    let (sender, receiver) = oneshot::channel();
    if shared.reports.send(ReportCommand::Read(sender)).await.is_err() {
        return json::<RequestReport>(None);
    }
    json(util::within(REPLY_TIMEOUT, receiver).await.and_then(Result::ok))
}

/// Checks a services text whole and, if it is sound, has it accepted.
async fn apply(request: HttpRequest, body: Bytes, rings: RingsState) -> HttpResponse {
    let Ok(text) = String::from_utf8(body.to_vec()) else {
        return HttpResponse::BadRequest().body("the services text is not UTF-8\n");
    };
    if let Err(faults) = ServiceCatalog::parse(&text) {
        return HttpResponse::UnprocessableEntity().json(&ApplyReply::Faulty(faults.0));
    }
    let Ok(base) = read_base(request.query_string()) else {
        return HttpResponse::BadRequest().body("expected no query, or base=REVISION\n");
    };
    let outcome = ask(&rings, |sender| OperatorCommand::Apply(base, text, sender)).await;
    // The outcome of an edit that was handed over and not answered is not known.
    let outcome = outcome.unwrap_or(ApplyOutcome::Uncertain);
    tracing::info!(event = "edit-ended", step = "apply", outcome = ?outcome_name(&outcome));
    HttpResponse::Ok().json(&ApplyReply::Ended(outcome))
}

/// Reads the revision that an edit was made from, where one is named. A base that cannot be read is
/// not the same as none: the edit would write over whatever was accepted meanwhile.
fn read_base(query: &str) -> Result<Option<Revision>, ParseIntError> {
    if query.is_empty() {
        return Ok(None);
    }
    query.strip_prefix("base=").unwrap_or_default().parse().map(Some)
}

fn outcome_name(outcome: &ApplyOutcome) -> &'static str {
    match outcome {
        ApplyOutcome::Accepted(_) => "accepted",
        ApplyOutcome::Collided { .. } => "collided",
        ApplyOutcome::NotWritten => "not-written",
        ApplyOutcome::Uncertain => "uncertain",
        ApplyOutcome::Busy => "busy",
    }
}
