//! Blocking calls for tests: to the control interfaces of stand-ins and to operators' ports.

use std::{net::SocketAddr, time::Duration};

use ntex::{
    http::Method,
    rt::{DefaultRuntime, System},
};
use ryetide::{error::StepError, fresh_client::FreshConnection};
use ryetide_core::json_form;
use serde::{Serialize, de::DeserializeOwned};

/// The timeout for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum size of an answer, in bytes.
const ANSWER_SIZE_LIMIT: usize = 64 << 20;

/// Runs a future to completion on a new single-threaded runtime.
pub fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    System::new("control", DefaultRuntime).block_on(future)
}

/// Calls `path` and returns the body of the answer.
///
/// # Errors
///
/// Returns a [`StepError`] when the call fails or is answered with an error.
pub fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Vec<u8>, StepError> {
    let path = path.to_owned();
    let exchange = async move {
        let fault = |cause: String| StepError::new("call", cause).with_peer(address);
        let connection = FreshConnection::open(address, CALL_TIMEOUT).await;
        let connection = connection.ok_or_else(|| fault("no connection".to_owned()))?;
        let sent = connection.request(method, &path).send_body(body).await;
        let response = sent.map_err(|error| fault(error.to_string()))?;
        let status = response.status();
        let read = response.read_body(ANSWER_SIZE_LIMIT).await;
        let body = read.map_err(|error| fault(error.to_string()))?;
        if status.is_success() { Ok(body.to_vec()) } else { Err(fault(format!("status {status}"))) }
    };
    block_on(async move {
        let done = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        done.unwrap_or_else(|_| Err(StepError::new("call", "timed out").with_peer(address)))
    })
}

/// Reads JSON from `path`.
///
/// # Errors
///
/// Returns a [`StepError`] when the call fails or the answer does not parse.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, StepError> {
    let body = call(address, Method::GET, path, Vec::new())?;
    serde_json::from_slice(&body).map_err(|error| StepError::new("parse", error).with_peer(address))
}

/// Sends JSON to `path`.
///
/// # Errors
///
/// Returns a [`StepError`] when the call fails.
pub fn post(address: SocketAddr, path: &str, value: &impl Serialize) -> Result<Vec<u8>, StepError> {
    let body = json_form::encode(value).into_bytes();
    call(address, Method::POST, path, body)
}
