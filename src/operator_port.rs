//! The HTTP server for operators, on a separate address from the callers' server.

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

/// The timeout for replies of the other threads. The outcome of an edit takes the longest.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of a services text, in bytes.
pub const TEXT_LIMIT: usize = 2 << 20;

/// A command from an operator to the core.
#[derive(Debug)]
pub enum OperatorCommand {
    /// Returns the VM's status.
    Status(oneshot::Sender<EntryStatus>),
    /// Returns the services text in force.
    Configuration(oneshot::Sender<Option<ConfigurationText>>),
    /// Applies an edited services text that is based on the given revision.
    Apply(Option<Revision>, String, oneshot::Sender<ApplyOutcome>),
}

/// The reply to an edit.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The text is invalid; nothing was written.
    Faulty(Vec<ValidationError>),
    /// The outcome of an edit whose text is valid.
    Ended(ApplyOutcome),
}

/// The ring ends that belong to the operators' port.
pub struct OperatorRings {
    /// Commands to the core.
    pub commands: RingSender<OperatorCommand>,
    /// Commands to the report.
    pub reports: RingSender<ReportCommand>,
}

type SharedRings = Rc<OperatorRings>;

/// Starts the port on `listener`.
///
/// # Errors
///
/// Returns a [`StepError`] when the listener cannot be used.
pub fn start(listener: std::net::TcpListener, rings: OperatorRings) -> Result<Server, StepError> {
    // The server clones its factory for each worker. There is one worker, which takes the rings; any
    // other would answer 503.
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

/// Sends a command to the core and waits for its reply. Returns `None` while the daemon stops, or
/// when the reply takes too long.
async fn query_core<T>(
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

/// Reports the daemon as healthy if a configuration is in force and requests are accepted.
async fn health(rings: RingsState) -> HttpResponse {
    let status = query_core(&rings, OperatorCommand::Status).await;
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
    json(query_core(&rings, OperatorCommand::Status).await)
}

async fn configuration(rings: RingsState) -> HttpResponse {
    json(query_core(&rings, OperatorCommand::Configuration).await)
}

async fn report(rings: RingsState) -> HttpResponse {
    let Some(shared) = rings.get_ref().clone() else { return json::<RequestReport>(None) };
    let (sender, receiver) = oneshot::channel();
    if shared.reports.send(ReportCommand::Read(sender)).await.is_err() {
        return json::<RequestReport>(None);
    }
    json(util::within(REPLY_TIMEOUT, receiver).await.and_then(Result::ok))
}

/// Validates a services text and, if it is valid, applies it.
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
    let outcome = query_core(&rings, |sender| OperatorCommand::Apply(base, text, sender)).await;
    // The edit may have taken effect although the core did not reply.
    let outcome = outcome.unwrap_or(ApplyOutcome::Uncertain);
    tracing::info!(event = "edit-ended", step = "apply", outcome = ?outcome_name(&outcome));
    HttpResponse::Ok().json(&ApplyReply::Ended(outcome))
}

/// Parses the base revision of an edit, if the query has one. A base that does not parse is an error:
/// treated as absent, it would let the edit overwrite revisions accepted in the meantime.
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
