//! HTTP/1.1 on plain sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// The head of a request or an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method of a request, or the status of an answer.
    pub first: String,
    /// The path of a request with its query; empty in an answer.
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}

/// Reads more bytes into `held`; returns whether there were any.
pub fn fill(stream: &mut TcpStream, held: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 16_384];
    match stream.read(&mut buffer) {
        Ok(0) | Err(_) => false,
        Ok(length) => {
            held.extend_from_slice(&buffer[..length]);
            true
        }
    }
}

pub fn read_head(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<Head> {
    let end = loop {
        match held.windows(4).position(|it| it == b"\r\n\r\n") {
            Some(end) => break end,
            None if !fill(stream, held) => return None,
            None => {}
        }
    };
    let text = String::from_utf8_lossy(&held[..end]).into_owned();
    held.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (one, two) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (first, path) = if one.starts_with("HTTP/") { (two, String::new()) } else { (one, two) };
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Some(Head { first, path, headers: headers.collect() })
}

/// Reads a body, with a length or in chunks. Returns the bytes and whether they are whole.
pub fn read_body(head: &Head, stream: &mut TcpStream, held: &mut Vec<u8>) -> (Vec<u8>, bool) {
    if head.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        return read_chunks(stream, held);
    }
    let length: usize = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while held.len() < length {
        if !fill(stream, held) {
            return (std::mem::take(held), false);
        }
    }
    (held.drain(..length).collect(), true)
}

fn read_chunks(stream: &mut TcpStream, held: &mut Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let end = loop {
            match held.windows(2).position(|it| it == b"\r\n") {
                Some(end) => break end,
                None if !fill(stream, held) => return (body, false),
                None => {}
            }
        };
        let size = String::from_utf8_lossy(&held[..end]).trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else { return (body, false) };
        while held.len() < end + 2 + size + 2 {
            if !fill(stream, held) {
                return (body, false);
            }
        }
        body.extend_from_slice(&held[end + 2..end + 2 + size]);
        held.drain(..end + 2 + size + 2);
        if size == 0 {
            return (body, true);
        }
    }
}

/// Reads a request, or an answer, with its body.
pub fn read_message(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<(Head, Vec<u8>)> {
    let head = read_head(stream, held)?;
    match read_body(&head, stream, held) {
        (body, true) => Some((head, body)),
        (_, false) => None,
    }
}

pub fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let code = if byte == b'%' { Some((rest.next(), rest.next())) } else { None };
        match code {
            Some((Some(high), Some(low))) => {
                let digits = [high, low];
                let digits = std::str::from_utf8(&digits).unwrap_or("00");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
