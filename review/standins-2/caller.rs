//! A stand-in of a client.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{http, record::Record};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A client's connection.
pub struct Caller {
    stream: TcpStream,
    held: Vec<u8>,
    record: Record,
    key: &'static str,
}

/// How an attempt has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The status of the answer; 0 if the connection ended before.
    pub status: u16,
    /// Whether the answer came whole.
    pub whole: bool,
    /// The number of events in it.
    pub events: usize,
    /// Whether it bears a replica's signature.
    pub signed: bool,
}

impl Caller {
    pub fn connect(record: &Record, address: SocketAddr) -> io::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Caller { stream, held: Vec::new(), record: record.clone(), key: KEY })
    }

    pub fn set_key(&mut self, key: &'static str) {
        self.key = key;
    }

    /// Sends a request and reads the answer.
    pub fn send(&mut self, path: &str, id: &str, deadline_ms: u64, tokens: &str) -> Outcome {
        let model = if tokens.is_empty() {
            String::new()
        } else {
            format!("X-Model: m\r\nX-Token-Counts: {tokens}\r\nX-Prefix-Hash: 5c1e07a2:60\r\n")
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n{model}\
             X-Request-Deadline: {deadline_ms}\r\nX-Credential: {}\r\nContent-Length: 2\r\n\r\nhi",
            self.key
        );
        self.record.add(format!("client sends {id} {path}"));
        let outcome = self.exchange(text.as_bytes());
        self.record.add(format!("client: {id} {path} ends: {outcome:?}"));
        outcome
    }

    fn exchange(&mut self, request: &[u8]) -> Outcome {
        let mut outcome = Outcome { status: 0, whole: false, events: 0, signed: false };
        if http::write(&mut self.stream, request).is_err() {
            return outcome;
        }
        let Some(head) = http::read_head(&mut self.stream, &mut self.held) else { return outcome };
        outcome.status = head.first.parse().unwrap_or(0);
        outcome.signed = head.header("x-replica-signature").is_some();
        let (body, whole) = http::read_body(&head, &mut self.stream, &mut self.held);
        outcome.whole = whole;
        outcome.events = String::from_utf8_lossy(&body).matches("\n\n").count();
        outcome
    }
}
