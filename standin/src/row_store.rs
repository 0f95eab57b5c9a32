//! The platform's store of rows: reads, transactions and a change feed.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use sycamorefork::platform::store::encode_value;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::plain::{Connection, Request, Server, serve};

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowStoreFault {
    /// Nothing.
    #[default]
    None,
    /// Every call gets this status.
    Refuses(u16),
    /// No call gets an answer, and nothing is done.
    Silent,
    /// Writes are done and not answered.
    LosesAnswers,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String)>,
    version: u64,
    oldest: u64,
    fault: RowStoreFault,
    calls: u64,
}

/// The store.
pub struct RowStore {
    /// Its server.
    pub server: Server,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
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
        json!({"Rows": rows, "HasMore": false, "Ver": self.version, "NowMs": 1})
    }

    fn feed(&self, table: &str, after: u64) -> Option<Value> {
        let mut keys: Vec<&str> = self
            .changes
            .iter()
            .filter(|(ver, t, _)| *ver > after && t == table)
            .map(|(_, _, k)| k.as_str())
            .collect();
        keys.dedup();
        let rows: Vec<Value> = keys.iter().map(|k| self.row(table, k)).collect();
        (!rows.is_empty()).then(|| json!({"Rows": rows, "Ver": self.version, "NowMs": 1}))
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |v: &Value, name: &str| v[name].as_str().unwrap_or_default().to_owned();
        let holds = list("Expected").iter().all(|e| {
            let at = (text(e, "Table"), text(e, "Key"));
            self.rows.get(&at).map_or(0, |(_, ver)| *ver) == e["Ver"].as_u64().unwrap_or(0)
        });
        if !holds {
            return (412, json!({"Rows": [], "Ver": self.version, "NowMs": 1}));
        }
        self.version += 1;
        for p in list("Put") {
            self.put(&text(&p, "Table"), &text(&p, "Key"), Some(text(&p, "Value")));
        }
        for r in list("Remove") {
            self.put(&text(&r, "Table"), &text(&r, "Key"), None);
        }
        (200, json!({"Ver": self.version, "NowMs": 1}))
    }
}

impl RowStore {
    /// Starts a store.
    ///
    /// # Errors
    /// No address could be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Notify::new());
        let (s, c) = (state.clone(), changed.clone());
        let server = serve(move |connection| connected(s.clone(), c.clone(), connection)).await?;
        Ok(Self { server, state, changed })
    }

    /// Writes a row as the operators or an endpoint would.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.put(table, key, Some(encode_value(value.to_string().as_bytes())));
        self.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.put(table, key, None);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that feeds begin anew.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.oldest = state.version;
        state.changes.clear();
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: RowStoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = lock(&self.state);
        state.rows.keys().filter(|(t, _)| t == table).map(|(_, k)| k.clone()).collect()
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

async fn connected(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    mut connection: Connection,
) -> io::Result<()> {
    while let Some(request) = connection.read().await? {
        let fault = {
            let mut state = lock(&state);
            state.calls += 1;
            state.fault
        };
        match fault {
            RowStoreFault::Refuses(status) => connection.answer(status, "", b"").await?,
            RowStoreFault::Silent => sleep(Duration::from_secs(600)).await,
            RowStoreFault::None | RowStoreFault::LosesAnswers => {
                let (status, body) = answer(&state, &changed, &request).await;
                if fault == RowStoreFault::LosesAnswers && request.method == "POST" {
                    sleep(Duration::from_secs(600)).await;
                }
                connection.answer(status, "", body.to_string().as_bytes()).await?;
            }
        }
    }
    Ok(())
}

async fn answer(state: &Mutex<State>, changed: &Notify, request: &Request) -> (u16, Value) {
    let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let table = query("Table");
    match request.path.as_str() {
        "/rows-get" => (200, lock(state).table(&table)),
        "/rows-feed" => {
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("WaitMs").parse().unwrap_or(0));
            let news = async {
                loop {
                    let notified = changed.notified();
                    let found = {
                        let state = lock(state);
                        if after < state.oldest {
                            return (410, json!({}));
                        }
                        state.feed(&table, after)
                    };
                    match found {
                        Some(rows) => return (200, rows),
                        None => notified.await,
                    }
                }
            };
            match timeout(wait, news).await {
                Ok(found) => found,
                Err(_) => (200, json!({"Rows": [], "Ver": after, "NowMs": 1})),
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
