//! Stand-in of a model runner: orders, reports and streams, as the pages describe them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, serve};
use crate::json::{Json, map, num, text};

/// Time of an adapter's load from the weight store, and of a later one.
const FETCH: Duration = Duration::from_millis(250);
const RELOAD: Duration = Duration::from_millis(25);
/// Time of a load of the model.
const MODEL_LOAD: Duration = Duration::from_millis(1_900);
/// Time of a step of a stream.
const STEP: Duration = Duration::from_millis(30);
/// Events of a stream.
const EVENTS: usize = 8;

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
        let model_ready = (!empty).then(Instant::now);
        let state = Arc::new(Mutex::new(State { model: model_ready, ..State::default() }));
        let (id, model) = (id.to_owned(), model.to_owned());
        let mut runner = Self { id, address, model, slots, born, state };
        let r = Arc::new(Mutex::new(runner.clone()));
        let at = r.clone();
        runner.address = serve(address, move |conn| {
            let runner = at.lock().unwrap().clone();
            runner.handle(conn);
        });
        r.lock().unwrap().address = runner.address;
        runner
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
        let models = self.models(&self.state.lock().unwrap());
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
            } else {
                self.run(&mut conn, &request, &attempt, &echo)
            };
            if !kept {
                return;
            }
        }
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
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}X-Server-Seal: seal.{attempt}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut good = conn.write(head.as_bytes());
        for n in 1..=EVENTS {
            std::thread::sleep(STEP);
            let event = format!("id: {n}\ndata: {attempt}\n\n");
            good = good && conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        good = good && conn.write(b"0\r\n\r\n");
        let mut state = self.state.lock().unwrap();
        if let Some(a) = state.adapters.iter_mut().find(|a| Some(&a.name) == adapter.as_ref()) {
            a.active -= 1;
        }
        state.adapters.retain(|a| !a.leaving || a.active > 0);
        good
    }
}
