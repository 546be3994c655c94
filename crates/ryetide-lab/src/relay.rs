//! A TCP relay between two parties that can fall silent: open connections pass nothing more and are
//! not reset, while new ones work. It stands for a device between the ends that has lost track of
//! its connections.

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

/// Bytes passed on at once.
const CHUNK: usize = 16 << 10;

#[derive(Debug, Default)]
struct RelayState {
    /// Connections numbered below this pass nothing more.
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
    /// Starts a relay on `listener` that leads to `target`.
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

    /// Returns where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences every connection that is open now.
    pub fn silence_open(&self) {
        let next = self.state.accepted.load(Ordering::SeqCst);
        self.state.silenced_below.store(next, Ordering::SeqCst);
    }

    /// Closes new connections at once, or accepts them again.
    pub fn refuse_new(&self, refusing: bool) {
        self.state.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Returns how many connections were accepted.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for RelayStandIn {
    fn drop(&mut self) {
        self.state.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has said so.
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
            // A target that cannot be reached is a connection that closes.
            let Ok(outbound) = TcpStream::connect(target).await else { return };
            let (inbound_read, inbound_write) = inbound.into_split();
            let (outbound_read, outbound_write) = outbound.into_split();
            tokio::join!(
                pass(inbound_read, outbound_write, &state, number),
                pass(outbound_read, inbound_write, &state, number),
            );
        });
    }
}

/// Passes bytes on until the end, or until the connection is silenced: then for ever nothing.
async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: &RelayState,
    number: u64,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await;
        if number < state.silenced_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        match read {
            Ok(length) if length > 0 => {
                // The other side has closed: so does this one.
                if to.write_all(&chunk[..length]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}
