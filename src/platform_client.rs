//! The thread that talks to the platform: the table service and the list of VMs.

use std::{net, rc::Rc, time::Duration};

use ntex::{http::Method, util::Bytes};
use ryetide_core::{
    event::{Event, ListedVm, TableAnswer, TableCommand},
    ids::TableToken,
    json_form,
};
use tokio::sync::Semaphore;

use crate::{
    error::StepError,
    fresh_client::FreshClient,
    ring::{RingReceiver, RingSender},
    settings::PlatformSettings,
    util,
};

/// Opening a connection may take this long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer may take this long; after that it counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often the list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Commands under way at once; the rest wait, so that an outage does not pile up connections.
const COMMANDS_AT_ONCE: usize = 64;

/// What the core tells this thread.
#[derive(Debug)]
pub struct PlatformCommand {
    /// Ties the answer to the command.
    pub token: TableToken,
    /// The command.
    pub command: TableCommand,
}

struct PlatformClient {
    client: FreshClient,
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
    let client = FreshClient::new("platform").await?;
    let permits = Semaphore::new(COMMANDS_AT_ONCE);
    let platform = Rc::new(PlatformClient { client, settings, events, permits });
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
            let Sending::Answered(body) = self.ask(address, "/vms", None).await else {
                tracing::debug!(event = "list-unread", step = "read list", peer = %address);
                continue;
            };
            match serde_json::from_slice::<Vec<ListedVm>>(&body) {
                Ok(listed) => self.tell(Event::ListRead(listed)).await,
                Err(error) => {
                    let reason = error.to_string();
                    tracing::warn!(event = "list-unreadable", peer = %address, %reason);
                }
            }
        }
    }

    async fn run_command(self: Rc<Self>, command: PlatformCommand) {
        let _permit = self.permits.acquire().await.expect("permits that nobody closes");
        let token = command.token;
        let body = json_form::encode(&command.command).into_bytes();
        let table = self.settings.table;
        let sent = self.ask(table, "/table", Some(body)).await;
        let answer = match sent {
            Sending::Answered(body) => serde_json::from_slice(&body).unwrap_or_else(|error| {
                tracing::warn!(event = "table-unreadable", peer = %table, reason = %error);
                TableAnswer::Lost
            }),
            Sending::NotSent => TableAnswer::Unavailable,
            Sending::Lost => TableAnswer::Lost,
        };
        self.tell(Event::TableReplied { token, answer }).await;
    }

    async fn tell(&self, event: Event) {
        // A closed ring means that the daemon is stopping.
        let _ = self.events.send(event).await;
    }

    /// Sends one request on a connection of its own.
    async fn ask(&self, address: net::SocketAddr, path: &str, body: Option<Vec<u8>>) -> Sending {
        let Some(connection) = self.client.connect(address, CONNECT_TIMEOUT).await else {
            return Sending::NotSent;
        };
        let exchange = async {
            let response = match body {
                Some(body) => {
                    self.client.request(connection, Method::POST, path).send_body(body).await
                }
                None => self.client.request(connection, Method::GET, path).send().await,
            };
            let response = response.map_err(|error| error.to_string())?;
            if !response.status().is_success() {
                return Err(format!("status {}", response.status()));
            }
            response.body().await.map_err(|error| error.to_string())
        };
        let answered = util::within(ANSWER_TIMEOUT, exchange).await;
        match answered.unwrap_or_else(|| Err("silent".to_owned())) {
            Ok(body) => Sending::Answered(body),
            Err(reason) => {
                tracing::info!(event = "platform-unheard", step = "ask", peer = %address, path, reason);
                Sending::Lost
            }
        }
    }
}

/// How far a request to the platform came.
enum Sending {
    /// It was answered.
    Answered(Bytes),
    /// Nothing was sent.
    NotSent,
    /// It was sent, and no answer came.
    Lost,
}
