//! Connections on which no head has arrived.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    rc::Rc,
};

use ryetide::pending_heads::{HeadFault, PendingHeads};
use tokio::task::{self, JoinHandle, LocalSet};

const HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

type Wait = JoinHandle<Result<TcpStream, HeadFault>>;

struct Callers {
    connections: Rc<PendingHeads>,
    listener: TcpListener,
}

impl Callers {
    fn new(limit: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { connections: Rc::new(PendingHeads::new(limit)), listener }
    }

    /// Lets a caller connect and send `bytes`, and its connection wait.
    async fn connect(&self, bytes: &[u8]) -> (TcpStream, Wait) {
        let mut caller = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        caller.write_all(bytes).unwrap();
        let (accepted, _) = self.listener.accept().unwrap();
        let connections = Rc::clone(&self.connections);
        let wait = task::spawn_local(async move { connections.await_head(accepted).await });
        task::yield_now().await;
        (caller, wait)
    }
}

/// Guards against callers that connect and send a part of a head, or nothing, until nobody else can
/// connect.
#[tokio::test]
async fn the_connection_that_has_waited_for_longest_gives_way() {
    let play = async {
        let callers = Callers::new(2);
        let (mut first, first_wait) = callers.connect(b"").await;
        let (mut second, second_wait) = callers.connect(HEAD.strip_suffix(b"\n").unwrap()).await;
        let (_third, third_wait) = callers.connect(HEAD).await;
        assert!(third_wait.await.unwrap().is_ok(), "one with a head is kept");
        assert!(matches!(first_wait.await.unwrap(), Err(HeadFault::Displaced)));
        assert_eq!(first.read(&mut [0]).unwrap(), 0, "its caller sees the end");
        assert!(!second_wait.is_finished(), "a part of a head is awaited");
        second.write_all(b"\n").unwrap();
        assert!(second_wait.await.unwrap().is_ok(), "its rest is noticed");
    };
    LocalSet::new().run_until(play).await;
}

/// Guards against callers that are not answered, since they send what is no head, or end.
#[tokio::test]
async fn what_is_no_head_is_left_to_the_server() {
    let play = async {
        let callers = Callers::new(2);
        let (_garbage, garbage_wait) = callers.connect(b"\x16\x03\x01 no request\r\n").await;
        assert!(garbage_wait.await.unwrap().is_ok());
        let (long, long_wait) = callers.connect(&[b'x'; 16 << 10]).await;
        assert!(long_wait.await.unwrap().is_ok());
        drop(long);
        let (ended, ended_wait) = callers.connect(b"GET / HT").await;
        ended.shutdown(Shutdown::Write).unwrap();
        assert!(ended_wait.await.unwrap().is_ok());
    };
    LocalSet::new().run_until(play).await;
}

/// Guards against a daemon whose stop waits for callers that send nothing.
#[tokio::test]
async fn a_stop_closes_connections_without_a_head() {
    let play = async {
        let callers = Callers::new(2);
        let (_caller, wait) = callers.connect(b"").await;
        callers.connections.stop();
        assert!(matches!(wait.await.unwrap(), Err(HeadFault::Stopped)));
        let (_late, late_wait) = callers.connect(b"").await;
        assert!(matches!(late_wait.await.unwrap(), Err(HeadFault::Stopped)));
    };
    LocalSet::new().run_until(play).await;
}
