//! The client of the platform: the table service and the list of VMs.

use std::{net, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::Method;
use ryetide_core::{
    event::{Event, ListedVm, TableAnswer, TableCommand},
    ids::TableToken,
    json_form,
};
use tokio::sync::Semaphore;

use crate::{
    error::StepError,
    fresh_client::FreshConnection,
    ring::{RingReceiver, RingSender},
    settings::PlatformSettings,
    util,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for an answer. A later answer is considered lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum size of an answer, in bytes.
const ANSWER_SIZE_LIMIT: usize = 4 << 20;
/// The interval at which the list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of concurrent commands. It bounds the connections opened during an outage.
const COMMANDS_AT_ONCE: usize = 64;

/// A command from the core to this thread.
#[derive(Debug)]
pub struct PlatformCommand {
    /// The token that matches the answer to the command.
    pub token: TableToken,
    /// The command for the table service.
    pub command: TableCommand,
}

struct PlatformClient {
    settings: PlatformSettings,
    events: RingSender<Event>,
    permits: Semaphore,
}

/// Runs commands and reads the list until the command ring closes.
///
/// # Errors
///
/// Returns a [`StepError`] when the HTTP client cannot be built.
pub async fn run(
    settings: PlatformSettings,
    mut commands: RingReceiver<PlatformCommand>,
    events: RingSender<Event>,
) -> Result<(), StepError> {
    let permits = Semaphore::new(COMMANDS_AT_ONCE);
    let platform = Rc::new(PlatformClient { settings, events, permits });
    let (alive, ended) = tokio::sync::oneshot::channel::<()>();
    let reader = Rc::clone(&platform);
    ntex::rt::spawn(async move {
        tokio::select! {
            () = reader.read_list() => {}
            _ = ended => {}
        }
    });
    while let Some(command) = commands.recv().await {
        ntex::rt::spawn(Rc::clone(&platform).run_command(command));
    }
    drop(alive);
    Ok(())
}

impl PlatformClient {
    async fn read_list(&self) {
        let mut ticks = tokio::time::interval(LIST_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let address = self.settings.list;
            let ExchangeOutcome::Answered(body) = self.exchange(address, "/vms", None).await else {
                tracing::debug!(event = "list-unread", step = "read list", peer = %address);
                continue;
            };
            match serde_json::from_slice::<Vec<ListedVm>>(&body) {
                Ok(listed) => self.send_event(Event::ListRead(listed)).await,
                Err(error) => {
                    let reason = error.to_string();
                    tracing::warn!(event = "list-unreadable", peer = %address, %reason);
                }
            }
        }
    }

    async fn run_command(self: Rc<Self>, command: PlatformCommand) {
        let _permit = self.permits.acquire().await.expect("the semaphore is never closed");
        let token = command.token;
        let body = json_form::encode(&command.command).into_bytes();
        let table = self.settings.table;
        let sent = self.exchange(table, "/table", Some(body)).await;
        let answer = match sent {
            ExchangeOutcome::Answered(body) => {
                serde_json::from_slice(&body).unwrap_or_else(|error| {
                    tracing::warn!(event = "table-unreadable", peer = %table, reason = %error);
                    TableAnswer::Lost
                })
            }
            ExchangeOutcome::NotSent => TableAnswer::Unavailable,
            ExchangeOutcome::Lost => TableAnswer::Lost,
        };
        self.send_event(Event::TableReplied { token, answer }).await;
    }

    async fn send_event(&self, event: Event) {
        // A closed ring means that the daemon is stopping.
        let _ = self.events.send(event).await;
    }

    /// Sends one request on a new connection.
    async fn exchange(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> ExchangeOutcome {
        let Some(connection) = FreshConnection::open(address, CONNECT_TIMEOUT).await else {
            return ExchangeOutcome::NotSent;
        };
        let exchange = async {
            let response = match body {
                Some(body) => connection.request(Method::POST, path).send_body(body).await,
                None => connection.request(Method::GET, path).send().await,
            };
            let response = response.map_err(|error| error.to_string())?;
            if !response.status().is_success() {
                return Err(format!("status {}", response.status()));
            }
            response.read_body(ANSWER_SIZE_LIMIT).await.map_err(|error| error.to_string())
        };
        let answered = util::within(ANSWER_TIMEOUT, exchange).await;
        match answered.unwrap_or_else(|| Err("silent".to_owned())) {
            Ok(body) => ExchangeOutcome::Answered(body),
            Err(reason) => {
                tracing::info!(event = "platform-unheard", step = "ask", peer = %address, path, reason);
                ExchangeOutcome::Lost
            }
        }
    }
}

/// The outcome of a request to the platform.
enum ExchangeOutcome {
    /// The request was answered with this body.
    Answered(Bytes),
    /// The request was not sent.
    NotSent,
    /// The request was sent, and no valid answer arrived.
    Lost,
}
