//! Stand-in for the row store of the users' platform: reads, transactions and a change feed.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use serde_json::{Value, json};
use sycamorefork::platform::store::{Outcome, decode_rows, encode_value};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::http_server::{Connection, Request, Server, serve};

/// Fault injected into the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowStoreFault {
    /// No fault.
    #[default]
    None,
    /// Answers every call with this status, without effect.
    Refuses(u16),
    /// Never answers; calls have no effect.
    Silent,
    /// Applies writes but never answers them.
    LosesAnswers,
}

/// Era of a store that has not been restored.
pub const FIRST_ERA: u64 = 1;

/// Rows and history of a store at one moment.
#[derive(Clone, Default)]
pub struct Copy {
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String)>,
    version: u64,
}

/// Tables whose rows others write than the nodes; they are written again after a restore.
const FOREIGN_TABLES: [&str; 2] = ["op", "servers"];

struct State {
    /// Zero of the store's clock.
    begun: Instant,
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String)>,
    version: u64,
    oldest: u64,
    /// Number of the store's history; rises when the store is restored from a copy.
    era: u64,
    fault: RowStoreFault,
    calls: u64,
    /// Number of connections so far.
    connections: u64,
    /// Connections with a lower number never deliver another answer.
    silent_below: u64,
    /// Number of reads whose answers are still to be lost.
    lost_reads: u64,
    /// Table whose writes are performed late and never answered, and by how much.
    late_writes: Option<(String, Duration)>,
}

/// A running store.
pub struct RowStore {
    /// HTTP server of the store.
    pub server: Server,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Default for State {
    fn default() -> Self {
        Self {
            begun: Instant::now(),
            rows: BTreeMap::new(),
            changes: Vec::new(),
            version: 0,
            oldest: 0,
            era: FIRST_ERA,
            fault: RowStoreFault::None,
            calls: 0,
            connections: 0,
            silent_below: 0,
            lost_reads: 0,
            late_writes: None,
        }
    }
}

impl State {
    /// The store's clock, in ms.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Sets or removes a row and appends to the change history.
    fn set_row(&mut self, table: &str, key: &str, value: Option<String>) {
        let at = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => self.rows.insert(at, (value, self.version)),
            None => self.rows.remove(&at),
        };
        self.changes.push((self.version, table.to_owned(), key.to_owned()));
    }

    fn row(&self, table: &str, key: &str) -> Value {
        match self.rows.get(&(table.to_owned(), key.to_owned())) {
            Some((value, ver)) => {
                json!({"Table": table, "part": "", "Key": key, "Value": value, "Ver": ver})
            }
            None => json!({"Table": table, "part": "", "Key": key, "Removed": true}),
        }
    }

    fn table(&self, table: &str) -> Value {
        let keys = self.rows.keys().filter(|(t, _)| t == table);
        let rows: Vec<Value> = keys.map(|(t, k)| self.row(t, k)).collect();
        json!({"Rows": rows, "HasMore": false, "Ver": self.version, "NowMs": self.now_ms()})
    }

    /// Rows of a table that changed after a version; `None` if there are none.
    fn changes_after(&self, table: &str, after: u64) -> Option<Value> {
        let mut keys: Vec<&str> = self
            .changes
            .iter()
            .filter(|(ver, t, _)| *ver > after && t == table)
            .map(|(_, _, k)| k.as_str())
            .collect();
        keys.dedup();
        let rows: Vec<Value> = keys.iter().map(|k| self.row(table, k)).collect();
        (!rows.is_empty())
            .then(|| json!({"Rows": rows, "Ver": self.version, "NowMs": self.now_ms()}))
    }

    /// Runs a transaction; returns the status and body of the answer.
    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |v: &Value, name: &str| v[name].as_str().unwrap_or_default().to_owned();
        let matches = list("Expected").iter().all(|e| {
            let at = (text(e, "Table"), text(e, "Key"));
            self.rows.get(&at).map_or(0, |(_, ver)| *ver) == e["Ver"].as_u64().unwrap_or(0)
        });
        if !matches {
            let row = |e: &Value| self.row(&text(e, "Table"), &text(e, "Key"));
            let rows: Vec<Value> = list("Expected").iter().map(row).collect();
            return (412, json!({"Rows": rows, "Ver": self.version, "NowMs": self.now_ms()}));
        }
        self.version += 1;
        for p in list("Put") {
            self.set_row(&text(&p, "Table"), &text(&p, "Key"), Some(text(&p, "Value")));
        }
        for r in list("Remove") {
            self.set_row(&text(&r, "Table"), &text(&r, "Key"), None);
        }
        (200, json!({"Ver": self.version, "NowMs": self.now_ms()}))
    }
}

impl RowStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Notify::new());
        let (s, c) = (state.clone(), changed.clone());
        let server =
            serve(move |connection| handle_connection(s.clone(), c.clone(), connection)).await?;
        Ok(Self { server, state, changed })
    }

    /// Writes a row, as the operators or an endpoint do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.set_row(table, key, Some(encode_value(value)));
        self.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.set_row(table, key, None);
        self.changed.notify_waiters();
    }

    /// Drops the change history, so that readers of the feed have to start again.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.oldest = state.version;
        state.changes.clear();
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        let state = lock(&self.state);
        let (rows, changes, version) = (state.rows.clone(), state.changes.clone(), state.version);
        Copy { rows, changes, version }
    }

    /// Restores the store from a copy in a new era. What the operators and the endpoints wrote
    /// since is written again, so versions of the lost writes are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = lock(&self.state);
        let lost = std::mem::take(&mut state.rows);
        state.rows = copy.rows;
        state.changes = copy.changes;
        state.version = copy.version;
        state.era += 1;
        for ((table, key), (value, _)) in &lost {
            let known = state.rows.get(&(table.clone(), key.clone())).map(|(v, _)| v);
            if FOREIGN_TABLES.contains(&table.as_str()) && known != Some(value) {
                state.version += 1;
                state.set_row(table, key, Some(value.clone()));
            }
        }
        self.changed.notify_waiters();
    }

    /// Newest version that the store has given out in its present era.
    pub fn version(&self) -> u64 {
        lock(&self.state).version
    }

    /// Sets the fault of all following calls.
    pub fn set_fault(&self, fault: RowStoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_connections(&self) {
        let mut state = lock(&self.state);
        state.silent_below = state.connections;
    }

    /// Loses the answers of the next reads; their connections stay silent.
    pub fn lose_reads(&self, count: u64) {
        lock(&self.state).lost_reads = count;
    }

    /// From now on, performs writes to a table late, if their conditions still hold, and never
    /// answers them; `None` ends this.
    pub fn set_late_writes(&self, late: Option<(&str, Duration)>) {
        lock(&self.state).late_writes = late.map(|(table, by)| (table.to_owned(), by));
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = lock(&self.state);
        state.rows.keys().filter(|(t, _)| t == table).map(|(_, k)| k.clone()).collect()
    }

    /// Value of a row; `None` if there is no such row or its value is not JSON.
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let body = lock(&self.state).table(table).to_string();
        let Ok(Outcome::Done(rows)) = decode_rows(FIRST_ERA, StatusCode::OK, body.as_bytes())
        else {
            return None;
        };
        let row = rows.rows.into_iter().find(|row| row.key == key)?;
        serde_json::from_slice(&row.value).ok()
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

/// By how much a call is performed late; `None` if it is not.
fn lateness(state: &State, request: &Request) -> Option<Duration> {
    let (table, by) = state.late_writes.as_ref()?;
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let changes = ["Put", "Remove"].iter().filter_map(|name| body[name].as_array()).flatten();
    changes.into_iter().any(|row| row["Table"] == table.as_str()).then_some(*by)
}

/// Answers the calls of one connection.
async fn handle_connection(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    mut connection: Connection,
) -> io::Result<()> {
    let number = {
        let mut state = lock(&state);
        state.connections += 1;
        state.connections - 1
    };
    while let Some(request) = connection.read_request().await? {
        let late = lateness(&lock(&state), &request);
        if let Some(by) = late {
            let (state, changed) = (state.clone(), changed.clone());
            tokio::spawn(async move {
                sleep(by).await;
                run_call(&state, &changed, &request).await;
            });
            sleep(Duration::from_secs(600)).await;
            continue;
        }
        let fault = {
            let mut state = lock(&state);
            state.calls += 1;
            match request.method.as_str() {
                "GET" if state.lost_reads > 0 => {
                    state.lost_reads -= 1;
                    RowStoreFault::Silent
                }
                _ => state.fault,
            }
        };
        let era = |state: &Mutex<State>| format!("Store-Era: {}\r\n", lock(state).era);
        match fault {
            RowStoreFault::Refuses(status) => {
                connection.write_answer(status, &era(&state), b"").await?;
            }
            RowStoreFault::Silent => sleep(Duration::from_secs(600)).await,
            RowStoreFault::None | RowStoreFault::LosesAnswers => {
                let (status, body) = run_call(&state, &changed, &request).await;
                let lost = fault == RowStoreFault::LosesAnswers && request.method == "POST";
                if lost || number < lock(&state).silent_below {
                    sleep(Duration::from_secs(600)).await;
                }
                connection.write_answer(status, &era(&state), body.to_string().as_bytes()).await?;
            }
        }
    }
    Ok(())
}

/// Runs a call; returns the status and body of the answer.
async fn run_call(state: &Mutex<State>, changed: &Notify, request: &Request) -> (u16, Value) {
    let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let table = query("Table");
    match request.path.as_str() {
        "/rows-get" => (200, lock(state).table(&table)),
        "/rows-feed" => {
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("WaitMs").parse().unwrap_or(0));
            let wait_changes = async {
                loop {
                    let notified = changed.notified();
                    let found = {
                        let state = lock(state);
                        if after < state.oldest || after > state.version {
                            return (410, json!({}));
                        }
                        state.changes_after(&table, after)
                    };
                    match found {
                        Some(rows) => return (200, rows),
                        None => notified.await,
                    }
                }
            };
            match timeout(wait, wait_changes).await {
                Ok(found) => found,
                Err(_) => {
                    let now_ms = lock(state).now_ms();
                    (200, json!({"Rows": [], "Ver": after, "NowMs": now_ms}))
                }
            }
        }
        "/rows-tx" => {
            let body = serde_json::from_slice(&request.body).unwrap_or_default();
            let done = lock(state).commit(&body);
            changed.notify_waiters();
            done
        }
        _ => (404, json!({})),
    }
}
