//! Stand-in of the platform's store: rows, transactions and a feed, as the pages describe them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, serve};
use crate::json::{Json, base64, map, num, text, unbase64};

/// Time that a transaction takes.
const TX: Duration = Duration::from_millis(5);

type Rows = BTreeMap<(String, String), (String, u64)>;
/// Chooses the transactions whose answers are lost and that are done later.
type Late = Box<dyn FnMut(&Json) -> Option<Duration> + Send>;

#[derive(Default)]
struct State {
    rows: Rows,
    version: u64,
    /// Changed rows in order.
    changes: Vec<(u64, String, String)>,
    late: Option<Late>,
    /// Transactions done, for the record.
    done: Vec<(Instant, Json, u16)>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn row(rows: &Rows, table: &str, key: &str) -> Json {
    let (t, k) = (text(table), text(key));
    match rows.get(&(table.to_owned(), key.to_owned())) {
        Some((value, ver)) => map(&[
            ("Table", t),
            ("part", text("")),
            ("Key", k),
            ("Value", text(value.as_str())),
            ("Ver", num(*ver as f64)),
        ]),
        None => map(&[("Table", t), ("part", text("")), ("Key", k), ("Removed", Json::Bool(true))]),
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let at = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => drop(self.rows.insert(at, (value, self.version))),
            None => drop(self.rows.remove(&at)),
        }
        self.changes.push((self.version, table.to_owned(), key.to_owned()));
    }

    fn commit(&mut self, tx: &Json) -> (u16, Json) {
        let at = |r: &Json| (r.get("Table").str().to_owned(), r.get("Key").str().to_owned());
        let held = tx.get("Expected").list().iter().all(|e| {
            self.rows.get(&at(e)).map_or(0, |(_, v)| *v) == e.get("Ver").int().unwrap_or(0)
        });
        let status = if held { 200 } else { 412 };
        if held {
            self.version += 1;
            for p in tx.get("Put").list() {
                self.put(
                    p.get("Table").str(),
                    p.get("Key").str(),
                    Some(p.get("Value").str().to_owned()),
                );
            }
            for r in tx.get("Remove").list() {
                self.put(r.get("Table").str(), r.get("Key").str(), None);
            }
        }
        let rows = tx.get("Expected").list().iter();
        let rows = rows.map(|e| row(&self.rows, e.get("Table").str(), e.get("Key").str()));
        let rows = if held { Vec::new() } else { rows.collect() };
        self.done.push((Instant::now(), tx.clone(), status));
        let v = num(self.version as f64);
        (status, map(&[("Rows", Json::List(rows)), ("Ver", v), ("NowMs", num(1.0))]))
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let s = shared.clone();
        let address = serve(address, move |conn| handle(&s, conn));
        Self { shared, address }
    }

    /// Writes a row as the operator or a runner does.
    pub fn write(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        state.put(table, key, value.map(|v| base64(v.to_string().as_bytes())));
        self.shared.1.notify_all();
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.rows.keys().filter(|(t, _)| t == table).map(|(_, k)| k.clone()).collect()
    }

    /// Value of a row with its version.
    pub fn read(&self, table: &str, key: &str) -> Option<(Json, u64)> {
        let state = self.shared.0.lock().unwrap();
        let (value, ver) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some((Json::parse(&unbase64(value)).unwrap_or(Json::Null), *ver))
    }

    /// Sets which transactions get no answer and are done later, if their conditions still hold.
    pub fn set_late(&self, late: impl FnMut(&Json) -> Option<Duration> + Send + 'static) {
        self.shared.0.lock().unwrap().late = Some(Box::new(late));
    }

    /// Transactions done so far, with their times and statuses.
    pub fn done(&self) -> Vec<(Instant, Json, u16)> {
        self.shared.0.lock().unwrap().done.clone()
    }
}

fn handle(shared: &Arc<(Mutex<State>, Condvar)>, mut conn: Conn) {
    while let Some(request) = conn.request() {
        let (status, body) = match request.path.as_str() {
            "/rows-tx" => {
                let tx = Json::parse(&request.body).unwrap_or(Json::Null);
                std::thread::sleep(TX);
                let mut state = shared.0.lock().unwrap();
                let wait = state.late.as_mut().and_then(|late| late(&tx));
                if let Some(wait) = wait {
                    drop(state);
                    std::thread::sleep(wait);
                    shared.0.lock().unwrap().commit(&tx);
                    shared.1.notify_all();
                    // A connection on which an answer is lost delivers nothing further.
                    while conn.request().is_some() {}
                    return;
                }
                let answer = state.commit(&tx);
                drop(state);
                shared.1.notify_all();
                answer
            }
            // A runner's own entry, which the nodes may not write.
            path if path.starts_with("/own/") => {
                let mut state = shared.0.lock().unwrap();
                state.version += 1;
                state.put("servers", &path[5..], Some(base64(&request.body)));
                drop(state);
                shared.1.notify_all();
                (200, Json::Null)
            }
            "/rows-get" => get(shared, &request),
            "/rows-feed" => feed(shared, &request),
            _ => (404, Json::Null),
        };
        if !conn.answer(status, "", body.to_string().as_bytes()) {
            return;
        }
    }
}

fn get(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> (u16, Json) {
    let of = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let (table, from) = (of("Table"), of("From"));
    let state = shared.0.lock().unwrap();
    let keys =
        state.rows.keys().filter(|(t, k)| *t == table && *k >= from && of("part").is_empty());
    let rows: Vec<Json> = keys.map(|(t, k)| row(&state.rows, t, k)).collect();
    let (more, page) = (rows.len() > 500, rows.into_iter().take(500).collect());
    let v = num(state.version as f64);
    (
        200,
        map(&[
            ("Rows", Json::List(page)),
            ("HasMore", Json::Bool(more)),
            ("Ver", v),
            ("NowMs", num(1.0)),
        ]),
    )
}

fn feed(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> (u16, Json) {
    let of = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let (table, after) = (of("Table"), of("after").parse::<u64>().unwrap_or(0));
    let until = Instant::now() + Duration::from_millis(of("WaitMs").parse().unwrap_or(0));
    let mut state = shared.0.lock().unwrap();
    loop {
        let mut keys: Vec<&String> = state
            .changes
            .iter()
            .filter(|(v, t, _)| *v > after && *t == table)
            .map(|(.., k)| k)
            .collect();
        keys.sort();
        keys.dedup();
        let left = until.saturating_duration_since(Instant::now());
        if !keys.is_empty() || left.is_zero() {
            let rows = keys.into_iter().map(|k| row(&state.rows, &table, k)).collect();
            let v = num(state.version as f64);
            return (200, map(&[("Rows", Json::List(rows)), ("Ver", v), ("NowMs", num(1.0))]));
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}
