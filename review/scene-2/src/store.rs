//! Stand-in for the platform's store. Each node reaches it at an address of its own, which can
//! turn the node away with 503 as an overloaded store does.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, Switch, serve};
use crate::json::{Json, base64, quoted};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type Place = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Place, (String, u64)>,
    changes: Vec<(u64, Place)>,
    version: u64,
}

impl Rows {
    fn set(&mut self, place: Place, value: Option<String>) {
        match value {
            Some(value) => drop(self.rows.insert(place.clone(), (value, self.version))),
            None => drop(self.rows.remove(&place)),
        }
        self.changes.push((self.version, place));
    }

    fn row(&self, place: &Place) -> String {
        let (table, part, key) = (quoted(&place.0), quoted(&place.1), quoted(&place.2));
        let names = format!("\"Table\":{table},\"part\":{part},\"Key\":{key}");
        match self.rows.get(place) {
            Some((value, version)) => {
                format!("{{{names},\"Value\":{},\"Ver\":{version}}}", quoted(value))
            }
            None => {
                let removed = self.changes.iter().rev().find(|(_, p)| p == place);
                let version = removed.map_or(0, |(version, _)| *version);
                format!("{{{names},\"Removed\":true,\"Ver\":{version}}}")
            }
        }
    }

    fn changed(&self, table: &str, after: u64) -> Vec<String> {
        let mut places: Vec<&Place> = Vec::new();
        for (_, place) in self.changes.iter().filter(|(v, p)| *v > after && p.0 == table) {
            places.retain(|p| *p != place);
            places.push(place);
        }
        places.into_iter().map(|p| self.row(p)).collect()
    }
}

struct State {
    rows: Mutex<Rows>,
    written: Condvar,
    begun: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store(Arc<State>);

/// The address at which one node reaches the store.
pub struct Door {
    pub address: SocketAddr,
    /// Whether the store turns the node away.
    pub busy: Arc<AtomicBool>,
}

impl Store {
    pub fn new() -> Self {
        let (rows, written) = Default::default();
        Self(Arc::new(State { rows, written, begun: Instant::now() }))
    }

    /// Writes a row without a part, as operators and runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.0.rows.lock().unwrap();
        rows.version += 1;
        rows.set(place, Some(base64(value.as_bytes())));
        self.0.written.notify_all();
    }

    /// Removes a row without a part.
    pub fn remove(&self, table: &str, key: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.0.rows.lock().unwrap();
        rows.version += 1;
        rows.set(place, None);
        self.0.written.notify_all();
    }

    /// Opens an address.
    pub fn door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let busy = Arc::new(AtomicBool::new(false));
        let (store, turned_away) = (self.clone(), busy.clone());
        serve(listener, Switch::default(), move |connection, request| {
            store.handle(connection, &request, &turned_away)
        });
        Ok(Door { address, busy })
    }

    fn handle(
        &self,
        connection: &mut Connection,
        request: &Message,
        busy: &AtomicBool,
    ) -> io::Result<()> {
        thread::sleep(CALL_TIME);
        let refusal = (503, "{}".to_owned());
        let (status, body) = match busy.load(Ordering::SeqCst) {
            true => refusal,
            false => match request.path() {
                "/rows-get" => self.get(request),
                "/rows-feed" => self.feed(request, busy).unwrap_or(refusal),
                "/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
                _ => (404, "{}".to_owned()),
            },
        };
        connection.answer(status, "Content-Type: application/json\r\n", &body)
    }

    fn now_ms(&self) -> u128 {
        self.0.begun.elapsed().as_millis()
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let (table, part) = (request.query("Table"), request.query("part"));
        let from = request.query("From");
        let rows = self.0.rows.lock().unwrap();
        let places = rows.rows.keys().filter(|p| p.0 == table && p.1 == part && p.2 >= from);
        let list: Vec<String> = places.map(|p| rows.row(p)).collect();
        let (list, version, now) = (list.join(","), rows.version, self.now_ms());
        let body =
            format!("{{\"Rows\":[{list}],\"HasMore\":false,\"Ver\":{version},\"NowMs\":{now}}}");
        (200, body)
    }

    fn feed(&self, request: &Message, busy: &AtomicBool) -> Option<(u16, String)> {
        let table = request.query("Table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.0.rows.lock().unwrap();
        loop {
            if busy.load(Ordering::SeqCst) {
                return None;
            }
            let list = rows.changed(&table, after);
            let left = end.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                let (list, version, now) = (list.join(","), rows.version, self.now_ms());
                let body = format!("{{\"Rows\":[{list}],\"Ver\":{version},\"NowMs\":{now}}}");
                return Some((200, body));
            }
            let step = left.min(Duration::from_millis(50));
            rows = self.0.written.wait_timeout(rows, step).unwrap().0;
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let call = Json::parse(body);
        let place = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let now = self.now_ms();
        let mut rows = self.0.rows.lock().unwrap();
        let expected = call.get("Expected").list();
        let version = |row: &Json| rows.rows.get(&place(row)).map_or(0, |(_, version)| *version);
        if !expected.iter().all(|row| version(row) == row.get("Ver").number().unwrap_or(0)) {
            let list: Vec<String> = expected.iter().map(|row| rows.row(&place(row))).collect();
            let (list, version) = (list.join(","), rows.version);
            return (412, format!("{{\"Rows\":[{list}],\"Ver\":{version},\"NowMs\":{now}}}"));
        }
        rows.version += 1;
        for row in call.get("Put").list() {
            rows.set(place(row), Some(row.get("Value").text().to_owned()));
        }
        for row in call.get("Remove").list() {
            rows.set(place(row), None);
        }
        self.0.written.notify_all();
        (200, format!("{{\"Ver\":{},\"NowMs\":{now}}}", rows.version))
    }
}
