//! A blocking client for a daemon's operators' port.

use std::{net::SocketAddr, time::Duration};

use miette::Report;
use ntex::{
    http::Method,
    rt::{DefaultRuntime, System},
};
use ryetide::{
    error::StepError,
    fresh_client::FreshConnection,
    operator_port::{ApplyReply, TEXT_LIMIT},
    request_report::RequestReport,
};
use ryetide_core::{entry::EntryStatus, message::ConfigurationText, units::Revision};
use serde::de::DeserializeOwned;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout for an answer. It exceeds the port's own timeout for an edit.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum size of an answer in bytes: a services text with JSON escapes.
const ANSWER_SIZE_LIMIT: usize = 4 * TEXT_LIMIT;

/// A client for a daemon's operators' port.
pub struct OperatorClient {
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client for the daemon at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the services text in force.
    ///
    /// # Errors
    ///
    /// Returns a report when the daemon does not answer.
    pub fn configuration(&self) -> Result<Option<ConfigurationText>, Report> {
        self.call(Method::GET, "/v1/configuration", None)
    }

    /// Returns the daemon's status.
    ///
    /// # Errors
    ///
    /// Returns a report when the daemon does not answer.
    pub fn status(&self) -> Result<EntryStatus, Report> {
        self.call(Method::GET, "/v1/status", None)
    }

    /// Returns the daemon's request statistics.
    ///
    /// # Errors
    ///
    /// Returns a report when the daemon does not answer.
    pub fn report(&self) -> Result<RequestReport, Report> {
        self.call(Method::GET, "/v1/report", None)
    }

    /// Applies a services text that is based on the revision `base`.
    ///
    /// # Errors
    ///
    /// Returns a report when the daemon does not answer.
    pub fn apply(&self, base: Revision, text: String) -> Result<ApplyReply, Report> {
        self.call(Method::POST, &format!("/v1/apply?base={base}"), Some(text))
    }

    fn call<T: DeserializeOwned + 'static>(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<T, Report> {
        let (address, path) = (self.address, path.to_owned());
        let exchange = async move {
            let fault = |step, cause: String| StepError::new(step, cause).with_peer(address);
            let connection = FreshConnection::open(address, CONNECT_TIMEOUT).await;
            let connection = connection.ok_or_else(|| {
                fault("connect", "no daemon accepts connections at this address".to_owned())
            })?;
            let request = connection.request(method, &path);
            let sent = request.send_body(body.unwrap_or_default()).await;
            let response = sent.map_err(|error| fault("ask", error.to_string()))?;
            let status = response.status();
            let read = response.read_body(ANSWER_SIZE_LIMIT).await;
            let bytes = read.map_err(|error| fault("read answer", error.to_string()))?;
            serde_json::from_slice(&bytes)
                .map_err(|error| fault("read answer", format!("status {status}: {error}")))
        };
        let limited = async move {
            let done = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
            done.unwrap_or_else(|_| Err(StepError::new("ask", "timed out").with_peer(address)))
        };
        System::new("operator", DefaultRuntime).block_on(limited).map_err(Report::new)
    }
}
