//! Heads and bodies of HTTP/1.1 messages on a blocking connection.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A message's first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// By its length, or with the last chunk.
    Complete,
    /// The connection ended, which is the end of a body that has neither length nor chunks.
    Connection,
    /// The connection ended or broke before the end that the framing names.
    Broken,
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_empty = head.line.is_empty();
            return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, or of an answer if `is_answer`.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    is_answer: bool,
) -> (Vec<u8>, BodyEnd) {
    let mut body = Vec::new();
    let chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let end = if chunked {
        match read_chunks(reader, &mut body) {
            Ok(()) => BodyEnd::Complete,
            Err(_) => BodyEnd::Broken,
        }
    } else if let Some(length) = head.get("content-length").and_then(|it| it.parse().ok()) {
        let mut limited = reader.take(length);
        match limited.read_to_end(&mut body) {
            Ok(read) if read as u64 == length => BodyEnd::Complete,
            _ => BodyEnd::Broken,
        }
    } else if is_answer {
        match reader.read_to_end(&mut body) {
            Ok(_) => BodyEnd::Connection,
            Err(_) => BodyEnd::Broken,
        }
    } else {
        BodyEnd::Complete
    };
    (body, end)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}
