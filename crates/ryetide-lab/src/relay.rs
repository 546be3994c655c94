//! A TCP relay that can stop forwarding on its open connections without a reset, while new ones work.
//! It simulates a network device that has lost its connection state.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use ryetide::error::StepError;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
};

/// The maximum number of bytes forwarded at once.
const CHUNK_SIZE: usize = 16 << 10;

#[derive(Debug, Default)]
struct RelayState {
    /// Connections with a lower number forward no more data.
    silenced_below: AtomicU64,
    accepted: AtomicU64,
    refusing: AtomicBool,
    stop: Notify,
}

/// A running relay.
#[derive(Debug)]
pub struct RelayStandIn {
    address: SocketAddr,
    state: Arc<RelayState>,
    thread: Option<thread::JoinHandle<()>>,
}

impl RelayStandIn {
    /// Starts a relay on `listener` that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be started.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Result<Self, StepError> {
        let fault = |error: std::io::Error| StepError::new("start relay", error);
        let address = listener.local_addr().map_err(fault)?;
        listener.set_nonblocking(true).map_err(fault)?;
        let state = Arc::new(RelayState::default());
        let shared = Arc::clone(&state);
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
        let run = move || {
            runtime.block_on(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                tokio::select! {
                    () = accept(&listener, target, &shared) => {}
                    () = shared.stop.notified() => {}
                }
            });
        };
        let thread = thread::Builder::new().name("relay".to_owned()).spawn(run).map_err(fault)?;
        Ok(Self { address, state, thread: Some(thread) })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all connections that are currently open.
    pub fn silence_open(&self) {
        let next = self.state.accepted.load(Ordering::SeqCst);
        self.state.silenced_below.store(next, Ordering::SeqCst);
    }

    /// Sets whether new connections are closed at once.
    pub fn refuse_new(&self, refusing: bool) {
        self.state.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for RelayStandIn {
    fn drop(&mut self) {
        self.state.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: &tokio::net::TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    while let Ok((inbound, _)) = listener.accept().await {
        if state.refusing.load(Ordering::SeqCst) {
            continue;
        }
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            // When the target cannot be reached, the connection is closed.
            let Ok(outbound) = TcpStream::connect(target).await else { return };
            let (inbound_read, inbound_write) = inbound.into_split();
            let (outbound_read, outbound_write) = outbound.into_split();
            tokio::join!(
                forward(inbound_read, outbound_write, &state, number),
                forward(outbound_read, inbound_write, &state, number),
            );
        });
    }
}

/// Forwards bytes until the connection ends. Once it is silenced, the future never completes.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: &RelayState,
    number: u64,
) {
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let read = from.read(&mut chunk).await;
        if number < state.silenced_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        match read {
            Ok(length) if length > 0 => {
                // When the other side is closed, this one is closed too.
                if to.write_all(&chunk[..length]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}
