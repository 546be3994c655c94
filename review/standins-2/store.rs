//! A stand-in of the platform's store: the row calls, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::{Json, base64},
};

struct Row {
    /// In base64; none once the row is dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let address = listener.local_addr().expect("address");
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let store = Store { address, state, began: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a replica does; returns once the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        state.version += 1;
        let row = Row { value: Some(base64(value.as_bytes())), version: state.version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    #[allow(dead_code)]
    pub fn drop_row(&self, table: &str, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        state.version += 1;
        let row = Row { value: None, version: state.version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut held = Vec::new();
        while let Some((head, body)) = http::read_message(&mut stream, &mut held) {
            let (status, answer) = self.answer(&head, &body);
            thread::sleep(Duration::from_millis(4));
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if http::write(&mut stream, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.path.split_once('?').unwrap_or((&head.path, ""));
        let field = |name: &str| -> String {
            let found = query.split('&').find_map(|it| it.strip_prefix(&format!("{name}=")));
            http::unescape(found.unwrap_or(""))
        };
        match path {
            "/rows-get" => self.rows_get(&field("table"), &field("from")),
            "/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.rows_feed(&field("table"), field("since_rev").parse().unwrap_or(0), wait)
            }
            "/rows-tx" => self.rows_tx(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows_get(&self, table: &str, from: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("lock");
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), row)| of == table && key.as_str() >= from && row.value.is_some());
        let rows: Vec<String> = rows.map(|((_, key), row)| row_text(table, key, row)).collect();
        (200, self.page(&rows, state.version))
    }

    fn rows_feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        loop {
            let new = state.rows.iter().filter(|((of, _), row)| of == table && row.version > since);
            let mut new: Vec<_> = new.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                new.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> =
                    new.iter().map(|((_, key), row)| row_text(table, key, row)).collect();
                return (200, self.page(&rows, state.version));
            }
            drop(new);
            state = changed.wait_timeout(state, left).expect("wait").0;
        }
    }

    fn rows_tx(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        let key_of = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let version_of = |state: &State, key: &(String, String)| {
            state.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let expected = call.get("expected_rev").list();
        if expected.iter().any(|it| version_of(&state, &key_of(it)) != it.get("ver").number()) {
            let found = expected.iter().filter_map(|it| {
                let key = key_of(it);
                state.rows.get(&key).map(|row| row_text(&key.0, &key.1, row))
            });
            let found: Vec<String> = found.collect();
            return (412, self.page(&found, state.version));
        }
        state.version += 1;
        let version = state.version;
        for entry in call.get("puts").list() {
            let row = Row { value: Some(entry.get("value").text().to_owned()), version };
            state.rows.insert(key_of(entry), row);
        }
        for entry in call.get("drops").list() {
            state.rows.insert(key_of(entry), Row { value: None, version });
        }
        changed.notify_all();
        (200, self.page(&[], version))
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"ver\":{version},\"now_ms\":{now_ms}}}")
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{},{rest}}}",
        row.version
    )
}
