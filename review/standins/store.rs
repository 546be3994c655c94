//! The platform's store: rows with versions of one counter, conditional writes, and long polls.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::{self, Value},
};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

#[derive(Clone)]
struct Row {
    /// The value in base64; `None` once the row was dropped.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    is_down: bool,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// The number of times that the open connections have fallen silent.
    silences: AtomicU64,
    /// When each connection last asked for changes of the operators' table.
    polls: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            silences: AtomicU64::new(0),
            polls: Mutex::default(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(encode(value.as_bytes())));
    }

    /// Deletes a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    /// The text of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().expect("no thread panics");
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        String::from_utf8(decode(row.value.as_ref()?)).ok()
    }

    /// Turns all calls of entry VMs away with 503, or serves them again.
    pub fn set_down(&self, is_down: bool) {
        self.rows.lock().expect("no thread panics").is_down = is_down;
        self.changed.notify_all();
    }

    /// Lets all open connections fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// When each of the `count` connections that poll the operators' table last did so, if they are as
    /// many.
    pub fn operator_polls(&self, count: usize) -> Option<Vec<Instant>> {
        let polls = self.polls.lock().expect("no thread panics");
        let recent = polls.values().copied().filter(|at| at.elapsed() < Duration::from_secs(3));
        let recent: Vec<Instant> = recent.collect();
        (recent.len() == count).then_some(recent)
    }

    /// The number of rows in a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.lock().expect("no thread panics");
        rows.rows.iter().filter(|((name, _), row)| name == table && row.value.is_some()).count()
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().expect("no thread panics");
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.to_owned(), key.to_owned()), Row { value, ver });
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(peer) = stream.peer_addr() else { return };
        let opened = self.silences.load(Ordering::SeqCst);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (body, _) = http::read_body(&mut reader, &head, false);
            if head.second_word().starts_with("/rows-feed?table=op&") {
                self.polls.lock().expect("no thread panics").insert(peer, Instant::now());
            }
            let (status, answer) = self.answer(&head, &body);
            if self.silences.load(Ordering::SeqCst) != opened {
                continue;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.second_word().split_once('?').unwrap_or((head.second_word(), ""));
        let find = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
        };
        let table = find("table").unwrap_or_default();
        if path == "/rows-feed" {
            let since = find("since_rev").and_then(|it| it.parse().ok()).unwrap_or(0);
            let wait = find("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
            self.wait_for_change(&table, since, Duration::from_millis(wait));
        }
        if self.rows.lock().expect("no thread panics").is_down {
            return (503, "{}".to_owned());
        }
        match path {
            "/rows-get" => (200, self.rows_of(&table, 0)),
            "/rows-feed" => {
                let since = find("since_rev").and_then(|it| it.parse().ok()).unwrap_or(0);
                (200, self.rows_of(&table, since))
            }
            "/rows-tx" => match std::str::from_utf8(body).ok().and_then(json::parse) {
                Some(transaction) => self.apply(&transaction),
                None => (400, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn wait_for_change(&self, table: &str, since: u64, wait: Duration) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("no thread panics");
        loop {
            let is_new = |((name, _), row): (&(String, String), &Row)| name == table && row.ver > since;
            let left = until.saturating_duration_since(Instant::now());
            if rows.is_down || rows.rows.iter().any(is_new) || left.is_zero() {
                return;
            }
            rows = self.changed.wait_timeout(rows, left).expect("no thread panics").0;
        }
    }

    /// The rows of a table: all of them, or those changed since a version.
    fn rows_of(&self, table: &str, since: u64) -> String {
        let rows = self.rows.lock().expect("no thread panics");
        let mut found: Vec<(&String, &Row)> = rows
            .rows
            .iter()
            .filter(|((name, _), row)| name == table && row.ver > since)
            .filter(|(_, row)| since > 0 || row.value.is_some())
            .map(|((_, key), row)| (key, row))
            .collect();
        if since > 0 {
            found.sort_by_key(|(_, row)| row.ver);
        }
        let rows_text: Vec<String> =
            found.into_iter().map(|(key, row)| row_text(table, key, row)).collect();
        let now = self.started.elapsed().as_millis();
        format!(
            r#"{{"rows":[{}],"has_more":false,"ver":{},"now_ms":{now}}}"#,
            rows_text.join(","),
            rows.ver
        )
    }

    fn apply(&self, transaction: &Value) -> (u16, String) {
        let mut rows = self.rows.lock().expect("no thread panics");
        let now = self.started.elapsed().as_millis();
        let key_of = |it: &Value| (it.text("table"), it.text("key"));
        let found = |rows: &Rows, it: &Value| rows.rows.get(&key_of(it)).cloned();
        let is_met = |rows: &Rows, it: &Value| {
            let ver = found(rows, it).filter(|row| row.value.is_some()).map_or(0, |row| row.ver);
            ver == it.number("ver")
        };
        let conditions = transaction.list("expected_rev");
        if !conditions.iter().all(|it| is_met(&rows, it)) {
            let current: Vec<String> = conditions
                .iter()
                .filter_map(|it| Some(row_text(&it.text("table"), &it.text("key"), &found(&rows, it)?)))
                .collect();
            let text = format!(
                r#"{{"rows":[{}],"ver":{},"now_ms":{now}}}"#,
                current.join(","),
                rows.ver
            );
            return (412, text);
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in transaction.list("puts") {
            rows.rows.insert(key_of(put), Row { value: Some(put.text("value")), ver });
        }
        for dropped in transaction.list("drops") {
            rows.rows.insert(key_of(dropped), Row { value: None, ver });
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"now_ms":{now}}}"#))
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{rest},"ver":{}}}"#, row.ver)
}

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let is_padding = index > group.len();
            let letter = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if is_padding { '=' } else { char::from(letter) });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let letters = text.bytes().filter_map(|it| ALPHABET.iter().position(|letter| *letter == it));
    let letters: Vec<u32> = letters.map(|it| it as u32).collect();
    let mut bytes = Vec::new();
    for group in letters.chunks(4) {
        let bits = (0..4).fold(0, |bits, it| bits << 6 | group.get(it).copied().unwrap_or(0));
        bytes.extend((1..group.len()).map(|it| (bits >> (24 - 8 * it)) as u8));
    }
    bytes
}
