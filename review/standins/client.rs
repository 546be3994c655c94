//! A client: sends one request on a new connection and reads the answer to its end.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{self, BodyEnd, Head};

/// An answer as the client has received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: String,
    pub end: BodyEnd,
}

impl Answer {
    pub fn status(&self) -> &str {
        self.head.second_word()
    }

    /// Whether the answer is a success that looks complete to the client.
    pub fn is_complete_success(&self) -> bool {
        self.status().starts_with('2') && self.end != BodyEnd::Broken
    }
}

/// Sends `text` and returns the answer, or `None` if the connection ended without one.
pub fn send(address: SocketAddr, text: &str, patience: Duration) -> Option<Answer> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).ok()??;
    let (body, end) = http::read_body(&mut reader, &head, true);
    Some(Answer { head, body: String::from_utf8_lossy(&body).into_owned(), end })
}
