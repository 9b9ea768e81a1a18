//! A stand-in of the platform's store: rows, transactions, reads and change feeds, an era in all
//! answers, and a drill in which the store is away for a moment and comes back from an older copy.

use {
    crate::http::{self, Message},
    base64::{Engine as _, prelude::BASE64_STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time for which changes are kept for feeds.
const HISTORY: Duration = Duration::from_secs(20);

/// Table, part and key of a row.
type RowAddress = (String, String, String);

/// A change of one row. The value is in base64; `None` if the row was removed.
#[derive(Clone)]
struct Change {
    at: Instant,
    address: RowAddress,
    value: Option<String>,
    version: u64,
}

struct State {
    away: bool,
    changes: Vec<Change>,
    /// How often the store came back from a copy, counted from 1.
    era: u32,
    /// Rises whenever the store goes away or comes back. A connection of an earlier generation
    /// stays open and silent.
    generation: u64,
    rows: BTreeMap<RowAddress, (u64, String)>,
    version: u64,
    went_away: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((
                Mutex::new(State {
                    away: false,
                    changes: Vec::new(),
                    era: 1,
                    generation: 0,
                    rows: BTreeMap::new(),
                    version: 0,
                    went_away: Instant::now(),
                }),
                Condvar::new(),
            )),
            started: Instant::now(),
        };
        let listening = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = listening.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of the operator or of a server. `None` while the store is away; else the
    /// version of the row.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> Option<u64> {
        let value = BASE64_STANDARD.encode(value.to_string());
        let address = (table.to_string(), String::new(), key.to_string());
        let mut state = self.state();
        if state.away {
            return None;
        }
        state.version += 1;
        let version = state.version;
        state.apply(address, Some(value), version);
        drop(state);
        self.shared.1.notify_all();
        Some(version)
    }

    /// Removes a row of a server. `None` while the store is away.
    pub fn remove(&self, table: &str, key: &str) -> Option<u64> {
        let address = (table.to_string(), String::new(), key.to_string());
        let mut state = self.state();
        if state.away {
            return None;
        }
        state.version += 1;
        let version = state.version;
        state.apply(address, None, version);
        drop(state);
        self.shared.1.notify_all();
        Some(version)
    }

    pub fn era(&self) -> u32 {
        self.state().era
    }

    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// The store answers nothing from now on. Open connections stay silent for good.
    pub fn go_away(&self) {
        let mut state = self.state();
        state.away = true;
        state.generation += 1;
        state.went_away = Instant::now();
        drop(state);
        self.shared.1.notify_all();
    }

    /// The store comes back from a copy that was `age` old when it went away. New connections are
    /// served. Returns the versions before and after.
    pub fn come_back(&self, age: Duration) -> (u64, u64) {
        let mut state = self.state();
        let before = state.version;
        let copied = state.went_away - age;
        state.changes.retain(|change| change.at <= copied);
        let changes = std::mem::take(&mut state.changes);
        state.rows.clear();
        state.version = 0;
        for change in changes {
            state.version = change.version;
            state.apply_change(change);
        }
        state.era += 1;
        state.generation += 1;
        state.away = false;
        let after = state.version;
        drop(state);
        self.shared.1.notify_all();
        (before, after)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let generation = {
            let state = self.state();
            // A connection that is opened while the store is away is never served.
            (!state.away).then_some(state.generation)
        };
        let mut buffer = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buffer) {
            let Some((status, body)) = self.answer(&request, generation) else {
                // Silent for good; the connection ends with its other side or with the process.
                while http::read_message(&mut stream, &mut buffer).is_some() {}
                return;
            };
            let era = self.era().to_string();
            let headers = [
                ("Store-Era", era.as_str()),
                ("Content-Type", "application/json"),
            ];
            std::thread::sleep(ANSWER_TIME);
            if Some(self.state().generation) != generation {
                while http::read_message(&mut stream, &mut buffer).is_some() {}
                return;
            }
            let bytes = http::response(status, &headers, body.to_string().as_bytes());
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, generation: Option<u64>) -> Option<(u16, Value)> {
        if Some(self.state().generation) != generation {
            return None;
        }
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name, value.replace("%00", "\0")))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/api/rows-get") => Some(self.read(&text("table"), &text("part"), &query)),
            ("GET", "/api/rows-parts") => Some(self.parts(&text("table"))),
            ("GET", "/api/rows-feed") => {
                let wait = Duration::from_millis(number("wait-ms").min(30_000));
                self.feed(&text("table"), number("after-revision"), wait, generation)
            }
            ("POST", "/api/rows-tx") => Some(self.write(&request.body)),
            _ => Some((404, json!({}))),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn read(&self, table: &str, part: &str, query: &BTreeMap<&str, String>) -> (u16, Value) {
        let state = self.state();
        let is_in_range = |key: &String| {
            query.get("from").is_none_or(|from| key >= from)
                && query.get("to").is_none_or(|to| key < to)
        };
        let rows = state.rows.iter();
        let rows =
            rows.filter(|((of, within, key), _)| of == table && within == part && is_in_range(key));
        let rows: Vec<Value> = rows
            .map(|(address, (version, value))| row_json(address, *version, Some(value)))
            .collect();
        let reply = json!({"rows": rows, "truncated": false, "ver": state.version, "now-ms": self.now_ms()});
        (200, reply)
    }

    fn parts(&self, table: &str) -> (u16, Value) {
        let state = self.state();
        let mut parts: Vec<&String> = state
            .rows
            .keys()
            .filter(|(of, ..)| of == table)
            .map(|(_, part, _)| part)
            .collect();
        parts.dedup();
        (
            200,
            json!({"parts": parts, "truncated": false, "ver": state.version, "now-ms": self.now_ms()}),
        )
    }

    /// The changed rows after a version, as soon as there is one. 410 if the store doesn't have the
    /// version, or no longer has the changes since. `None` if the store went away meanwhile.
    fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        generation: Option<u64>,
    ) -> Option<(u16, Value)> {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if Some(state.generation) != generation {
                return None;
            }
            if after > state.version || after < state.oldest_version() {
                return Some((410, json!({})));
            }
            let mut newest: BTreeMap<&RowAddress, &Change> = BTreeMap::new();
            let changes = state.changes.iter();
            for change in
                changes.filter(|change| change.version > after && change.address.0 == table)
            {
                newest.insert(&change.address, change);
            }
            let mut newest: Vec<&Change> = newest.into_values().collect();
            newest.sort_by_key(|change| change.version);
            let left = end.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let rows: Vec<Value> = newest
                    .iter()
                    .map(|change| row_json(&change.address, change.version, change.value.as_ref()))
                    .collect();
                let reply = json!({"rows": rows, "ver": state.version, "now-ms": self.now_ms()});
                return Some((200, reply));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies a transaction, or returns 412 and the current rows if a row has another version.
    fn write(&self, body: &[u8]) -> (u16, Value) {
        let write: Value = serde_json::from_slice(body).unwrap_or_default();
        let entries = |name: &str| write[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state();
        let expected = entries("expected");
        let matches = expected.iter().all(|row| {
            let found = state.rows.get(&row_address(row));
            found.map_or(0, |(version, _)| *version) == row["ver"].as_u64().unwrap_or_default()
        });
        if !matches {
            let rows = expected.iter().map(row_address);
            let rows: Vec<Value> = rows
                .filter_map(|address| {
                    let (version, value) = state.rows.get(&address)?;
                    Some(row_json(&address, *version, Some(value)))
                })
                .collect();
            return (
                412,
                json!({"rows": rows, "ver": state.version, "now-ms": self.now_ms()}),
            );
        }
        state.version += 1;
        let version = state.version;
        for put in entries("puts") {
            let value = put["value"].as_str().unwrap_or_default().to_string();
            state.apply(row_address(&put), Some(value), version);
        }
        for removed in entries("remove") {
            let address = row_address(&removed);
            if state.rows.contains_key(&address) {
                state.apply(address, None, version);
            }
        }
        drop(state);
        self.shared.1.notify_all();
        (200, json!({"ver": version, "now-ms": self.now_ms()}))
    }
}

impl State {
    fn apply(&mut self, address: RowAddress, value: Option<String>, version: u64) {
        let at = Instant::now();
        self.apply_change(Change {
            at,
            address,
            value,
            version,
        });
    }

    fn apply_change(&mut self, change: Change) {
        match &change.value {
            Some(value) => {
                let row = (change.version, value.clone());
                self.rows.insert(change.address.clone(), row);
            }
            None => {
                self.rows.remove(&change.address);
            }
        }
        self.changes.push(change);
    }

    /// Oldest version after which all changes are still kept.
    fn oldest_version(&self) -> u64 {
        let dropped = self
            .changes
            .iter()
            .filter(|change| change.at.elapsed() > HISTORY);
        dropped
            .map(|change| change.version)
            .max()
            .unwrap_or_default()
    }
}

fn row_address(row: &Value) -> RowAddress {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_string();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &RowAddress, version: u64, value: Option<&String>) -> Value {
    let mut row = json!({"table": table, "part": part, "key": key, "ver": version});
    match value {
        Some(value) => row["value"] = value.clone().into(),
        None => row["deleted"] = true.into(),
    }
    row
}
