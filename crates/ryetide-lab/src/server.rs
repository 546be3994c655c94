//! HTTP servers for stand-ins. Each runs on its own thread and stops when its handle is dropped.

use std::{
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
};

use ntex::{
    rt::{DefaultRuntime, System},
    server::Server,
    web::HttpResponse,
};
use ryetide::{error::StepError, server_stop};
use serde::de::DeserializeOwned;

/// A running server. Dropping it stops the server and joins its thread.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StandInServer {
    /// Runs the server that `build` creates on `listener`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when the server cannot be started.
    pub fn start<F>(listener: TcpListener, build: F) -> Result<Self, StepError>
    where
        F: FnOnce(TcpListener) -> std::io::Result<Server> + Send + 'static,
    {
        let fault = |error: std::io::Error| StepError::new("start stand-in", error);
        let address = listener.local_addr().map_err(fault)?;
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (ready_sender, ready) = mpsc::channel();
        let run = move || {
            System::new("stand-in", DefaultRuntime).block_on(async move {
                let server = match build(listener) {
                    Ok(server) => server,
                    Err(error) => return drop(ready_sender.send(Err(error))),
                };
                // `start` waits for this message. Dropping the handle also stops the server.
                let _ = ready_sender.send(Ok(()));
                let _ = stopped.await;
                server_stop::stop_immediately("stand-in", &server).await;
            });
        };
        let thread =
            thread::Builder::new().name("stand-in".to_owned()).spawn(run).map_err(fault)?;
        ready.recv().map_err(|error| StepError::new("start stand-in", error))?.map_err(fault)?;
        Ok(Self { address, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails when the thread has already ended; a panic has been printed.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Applies the JSON body of a control call and returns the response, with the error if the body does
/// not parse.
pub fn apply_json<T: DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            HttpResponse::NoContent().finish()
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

/// Binds a loopback listener on a free port.
///
/// # Errors
///
/// Returns a [`StepError`] when none can be bound.
pub fn free_listener() -> Result<TcpListener, StepError> {
    TcpListener::bind("127.0.0.1:0").map_err(|error| StepError::new("bind loopback", error))
}
