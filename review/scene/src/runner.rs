//! Stand-in of a model runner: orders, reports and streams, as the pages describe them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Client, Conn, Request, serve};
use crate::json::{Json, map, num, text};
use crate::world::{BEAT, MODEL};

/// Time of an adapter's load from the weight store, and of a later one.
const FETCH: Duration = Duration::from_millis(250);
const RELOAD: Duration = Duration::from_millis(25);
/// Time of a load of the model.
const MODEL_LOAD: Duration = Duration::from_millis(1_900);
/// Time of a step of a stream.
const STEP: Duration = Duration::from_millis(30);
/// The same at a runner that is a process of its own.
const SLOW_STEP: Duration = Duration::from_millis(60);
/// Events of a stream.
pub const EVENTS: usize = 14;
/// Rows of a plain answer, those of a piece, and the time of a piece.
pub const ROWS: usize = 40;
const PIECE_ROWS: usize = 10;
const PIECE: Duration = Duration::from_millis(25);

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub what: String,
    pub expected: Option<u64>,
    pub status: u16,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
}

/// An adapter that is loaded or on its way.
struct Adapter {
    name: String,
    /// Instant from which it is loaded.
    ready: Instant,
    /// Requests that run on it.
    active: usize,
    /// Whether an order to unload it waits for these requests.
    leaving: bool,
}

#[derive(Default)]
struct State {
    /// Instant from which the model is loaded; `None` before it is ordered.
    model: Option<Instant>,
    adapters: Vec<Adapter>,
    known: Vec<String>,
    sequence: u64,
    orders: Vec<Order>,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub model: String,
    slots: usize,
    born: u64,
    /// Of so many streams one has neither a length nor chunks; 0 for none.
    unframed: Arc<AtomicUsize>,
    /// Whether it prints the attempts that it runs.
    speaks: bool,
    state: Arc<Mutex<State>>,
}

impl Runner {
    /// Starts a runner that holds the model, or an empty one.
    pub fn start(
        id: &str,
        address: SocketAddr,
        model: &str,
        slots: usize,
        born: u64,
        empty: bool,
    ) -> Self {
        Self::start_with(id, address, model, slots, born, empty, false)
    }

    #[allow(clippy::too_many_arguments)]
    fn start_with(
        id: &str,
        address: SocketAddr,
        model: &str,
        slots: usize,
        born: u64,
        empty: bool,
        speaks: bool,
    ) -> Self {
        let model_ready = (!empty).then(Instant::now);
        let state = Arc::new(Mutex::new(State { model: model_ready, ..State::default() }));
        let (id, model) = (id.to_owned(), model.to_owned());
        let unframed = Arc::default();
        let mut runner = Self { id, address, model, slots, born, unframed, speaks, state };
        let r = Arc::new(Mutex::new(runner.clone()));
        let at = r.clone();
        runner.address = serve(address, move |conn| {
            let runner = at.lock().unwrap().clone();
            runner.handle(conn);
        });
        r.lock().unwrap().address = runner.address;
        runner
    }

    /// Runs as a process of its own until its input ends: `runner ID ADDRESS STORE SERVICE`. Each line of
    /// its input is a number for [`Runner::set_unframed`].
    pub fn main(args: &[String]) -> u8 {
        let [id, address, store, service] = args else { return 2 };
        let (Ok(address), Ok(store)) = (address.parse(), store.parse()) else { return 2 };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let r = Self::start_with(id, address, MODEL, 18, born, false, true);
        let (beat, service) = (r.clone(), service.clone());
        std::thread::spawn(move || {
            for n in 1.. {
                let body = beat.entry(&service, n).to_string();
                let head = format!(
                    "POST /own/{} HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}",
                    beat.id,
                    body.len()
                );
                if let Some(mut c) = Client::connect(store, BEAT) {
                    c.send(head.as_bytes());
                    c.answer();
                }
                std::thread::sleep(BEAT);
            }
        });
        for line in std::io::stdin().lines().map_while(Result::ok) {
            r.set_unframed(line.trim().parse().unwrap_or(0));
        }
        0
    }

    /// Answers one of so many streams without a length and without chunks; 0 for none.
    pub fn set_unframed(&self, one_of: usize) {
        self.unframed.store(one_of, Ordering::Relaxed);
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    fn models(&self, state: &State) -> Json {
        let now = Instant::now();
        if state.model.is_none_or(|ready| ready > now) {
            return Json::List(Vec::new());
        }
        let loaded = state.adapters.iter().filter(|a| a.ready <= now);
        let names = loaded.map(|a| text(format!("{}@1", a.name))).collect();
        let model =
            [("Name", text(&*self.model)), ("Version", num(1.0)), ("Adapters", Json::List(names))];
        Json::List(vec![map(&model)])
    }

    /// The entry by which the runner registers itself.
    pub fn entry(&self, service: &str, sequence: u64) -> Json {
        let models = match service {
            "assist" => self.models(&self.state.lock().unwrap()),
            _ => Json::List(Vec::new()),
        };
        map(&[
            ("Service", text(service)),
            ("Address", text(self.address.to_string())),
            ("Zone", text("gent")),
            ("Version", text("v1")),
            ("Slots", num(64.0)),
            ("State", text("ready")),
            ("ColdRemainingMs", num(0.0)),
            ("Sequence", num(sequence as f64)),
            ("Stage", text("combined")),
            ("Models", models),
            ("born", num(self.born as f64)),
        ])
    }

    fn report(&self) -> Json {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let pending = state.adapters.iter().filter(|a| a.ready > now);
        let pending = pending.map(|a| text(format!("{}/{}@1", self.model, a.name))).collect();
        map(&[
            ("Stage", text("combined")),
            ("Models", self.models(&state)),
            ("Pending", Json::List(pending)),
            ("Busy", Json::Bool(state.model.is_some_and(|ready| ready > now))),
            ("Sequence", num(state.sequence as f64)),
            ("Queued", num(0.0)),
            ("Active", num(state.adapters.iter().map(|a| a.active).sum::<usize>() as f64)),
            ("KvUsed", num(1000.0)),
            ("KvTotal", num(232_000.0)),
            ("Handles", num(0.0)),
            ("born", num(self.born as f64)),
        ])
    }

    fn order(&self, request: &Request) -> u16 {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let (operation, adapter) = (body.get("Operation").str(), body.get("Adapter").str());
        let (holder, fence) = (body.get("Holder").str().to_owned(), body.get("FencingToken").int());
        let expected = body.get("Expected").int();
        let now = Instant::now();
        let at = state.adapters.iter().position(|a| a.name == adapter);
        let has_model = state.model.is_some_and(|ready| ready <= now);
        let State { model, adapters, known, sequence, .. } = &mut *state;
        let status = match (operation, at.map(|i| &mut adapters[i])) {
            _ if holder.is_empty() || fence.is_none() => 400,
            ("loading", _) if adapter.is_empty() && has_model => 200,
            ("loading", _) if adapter.is_empty() && model.is_some() => 409,
            ("loading", _) if adapter.is_empty() && expected.is_none_or(|e| e == *sequence) => {
                *model = Some(now + MODEL_LOAD);
                *sequence += 1;
                202
            }
            _ if adapter.is_empty() || !has_model => 409,
            ("loading", Some(a)) if a.leaving => 409,
            ("loading", Some(a)) if a.ready <= now => 200,
            ("loading", Some(_)) => 202,
            ("unloading", None) => 200,
            ("unloading", Some(a)) if a.leaving => 202,
            _ if expected.is_some_and(|e| e != *sequence) => 409,
            ("loading", None) => {
                assert!(adapters.len() < self.slots, "more adapters than slots");
                let load = if known.iter().any(|k| k == adapter) { RELOAD } else { FETCH };
                known.push(adapter.to_owned());
                let name = adapter.to_owned();
                adapters.push(Adapter { name, ready: now + load, active: 0, leaving: false });
                *sequence += 1;
                202
            }
            ("unloading", Some(a)) if a.active > 0 => {
                a.leaving = true;
                *sequence += 1;
                202
            }
            ("unloading", Some(_)) => {
                adapters.retain(|a| a.name != adapter);
                *sequence += 1;
                200
            }
            _ => 400,
        };
        let what = format!("{operation} {adapter}");
        state.orders.push(Order {
            at: now,
            holder,
            fence: fence.unwrap_or(0),
            what,
            expected,
            status,
        });
        status
    }

    fn handle(&self, mut conn: Conn) {
        while let Some(request) = conn.request() {
            let attempt = request.header("x-attempt-id").to_owned();
            let expects = request.header("x-expect-instance");
            let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
            let kept = if !expects.is_empty() && expects != self.id {
                conn.answer(421, &echo, b"")
            } else if request.path == "/report" {
                conn.answer(200, "", self.report().to_string().as_bytes())
            } else if request.path == "/order" {
                let status = self.order(&request);
                conn.answer(status, "", b"{}")
            } else if request.path == "/healthz" {
                conn.answer(200, &echo, b"")
            } else if request.path.starts_with("/look/") {
                self.look(&mut conn, &attempt, &echo)
            } else {
                self.run(&mut conn, &request, &attempt, &echo)
            };
            if !kept {
                return;
            }
        }
    }

    /// Whether the answer to an attempt has neither a length nor chunks; notes the run.
    fn begins_unframed(&self, attempt: &str) -> bool {
        let one_of = self.unframed.load(Ordering::Relaxed);
        let number = u64::from_str_radix(attempt, 16).unwrap_or(0).wrapping_mul(0x9e37_79b9) >> 16;
        let unframed = one_of > 0 && (number % 1_000) * one_of as u64 <= 1_000;
        if self.speaks {
            println!("{} {attempt}", if unframed { "unframed" } else { "run" });
        }
        unframed
    }

    /// Answers a plain request in pieces.
    fn look(&self, conn: &mut Conn, attempt: &str, echo: &str) -> bool {
        let unframed = self.begins_unframed(attempt);
        let rows: Vec<String> = (1..=ROWS).map(|n| format!("id: {n:02} {attempt}\n")).collect();
        let framing = match unframed {
            true => "Connection: close".to_owned(),
            false => format!("Content-Length: {}", rows.concat().len()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{echo}X-Server-Seal: seal.{attempt}\r\n{framing}\r\n\r\n"
        );
        let mut good = conn.write(head.as_bytes());
        for piece in rows.chunks(PIECE_ROWS) {
            std::thread::sleep(PIECE);
            good = good && conn.write(piece.concat().as_bytes());
        }
        good && !unframed
    }

    fn run(&self, conn: &mut Conn, request: &Request, attempt: &str, echo: &str) -> bool {
        let model = request.header("x-model");
        let adapter = model.split_once('/').map(|(_, a)| a.to_owned());
        let refusal = adapter.as_ref().and_then(|name| {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            match state.adapters.iter_mut().find(|a| a.name == *name && a.ready <= now) {
                None => Some(421),
                Some(a) if a.leaving => Some(503),
                Some(a) => {
                    a.active += 1;
                    None
                }
            }
        });
        if let Some(status) = refusal {
            return conn.answer(status, &format!("{echo}X-Not-Executed: 1\r\n"), b"");
        }
        self.state
            .lock()
            .unwrap()
            .runs
            .push(Run { at: Instant::now(), attempt: attempt.to_owned() });
        let unframed = self.begins_unframed(attempt);
        let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}X-Server-Seal: seal.{attempt}\r\nX-Weight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        let mut good = conn.write(head.as_bytes());
        for n in 1..=EVENTS {
            std::thread::sleep(if self.speaks { SLOW_STEP } else { STEP });
            let event = format!("id: {n}\ndata: {attempt}\n\n");
            good = good
                && match unframed {
                    true => conn.write(event.as_bytes()),
                    false => conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()),
                };
        }
        good = good && !unframed && conn.write(b"0\r\n\r\n");
        let mut state = self.state.lock().unwrap();
        if let Some(a) = state.adapters.iter_mut().find(|a| Some(&a.name) == adapter.as_ref()) {
            a.active -= 1;
        }
        state.adapters.retain(|a| !a.leaving || a.active > 0);
        good
    }
}
