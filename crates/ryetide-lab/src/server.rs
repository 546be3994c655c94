//! How stand-ins serve HTTP: each on a thread of its own, stopped when its handle is dropped.

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

/// A running server; dropping it stops the server and joins its thread.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StandInServer {
    /// Runs the server that `build` makes of `listener`.
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
                // Whoever starts it waits for this; dropping the handle is an order to stop as well.
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

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // A thread that has ended needs no order, and has said why it panicked.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Answers a control call whose body is JSON: applies it, or says what does not parse.
pub fn take_json<T: DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> HttpResponse {
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
