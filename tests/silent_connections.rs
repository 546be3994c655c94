//! Connections on which nothing has been received.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    rc::Rc,
};

use ryetide::silent_connections::{SilenceFault, SilentConnections};
use tokio::task::{self, JoinHandle, LocalSet};

type Wait = JoinHandle<Result<TcpStream, SilenceFault>>;

struct Callers {
    connections: Rc<SilentConnections>,
    listener: TcpListener,
}

impl Callers {
    fn new(limit: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { connections: Rc::new(SilentConnections::new(limit)), listener }
    }

    /// Lets a caller connect and send `bytes`, and its connection wait.
    async fn connect(&self, bytes: &[u8]) -> (TcpStream, Wait) {
        let mut caller = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        caller.write_all(bytes).unwrap();
        let (accepted, _) = self.listener.accept().unwrap();
        let connections = Rc::clone(&self.connections);
        let wait = task::spawn_local(async move { connections.await_bytes(accepted).await });
        task::yield_now().await;
        (caller, wait)
    }
}

/// Guards against callers that connect and send nothing until nobody else can connect.
#[tokio::test]
async fn the_connection_that_has_been_silent_for_longest_gives_way() {
    let play = async {
        let callers = Callers::new(2);
        let (mut first, first_wait) = callers.connect(b"").await;
        let (_second, second_wait) = callers.connect(b"").await;
        let (_third, third_wait) = callers.connect(b"GET").await;
        assert!(third_wait.await.unwrap().is_ok(), "one that sends is kept");
        assert!(matches!(first_wait.await.unwrap(), Err(SilenceFault::Displaced)));
        assert_eq!(first.read(&mut [0]).unwrap(), 0, "its caller sees the end");
        assert!(!second_wait.is_finished(), "the later one is kept");
    };
    LocalSet::new().run_until(play).await;
}

/// Guards against a daemon whose stop waits for callers that send nothing.
#[tokio::test]
async fn a_stop_closes_silent_connections() {
    let play = async {
        let callers = Callers::new(2);
        let (_caller, wait) = callers.connect(b"").await;
        callers.connections.stop();
        assert!(matches!(wait.await.unwrap(), Err(SilenceFault::Stopped)));
        let (_late, late_wait) = callers.connect(b"").await;
        assert!(matches!(late_wait.await.unwrap(), Err(SilenceFault::Stopped)));
    };
    LocalSet::new().run_until(play).await;
}
