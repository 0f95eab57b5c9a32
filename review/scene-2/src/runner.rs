//! Stand-in for the model runners of the platform: streams, reports, orders and entries.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, Switch, serve};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// The service of all runners, and a model.
pub const SERVICE: &str = "huvo11a";
pub const MODEL: &str = "daka510000";
/// Start of the first runner, in ms since the Unix epoch.
const BORN: u64 = 1_780_000_000_000;
/// Interval at which runners write their entries, and the intervals of silence after which an
/// entry is removed.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SILENT_BEATS: u32 = 3;
/// Time that a load of a model from the store takes, and that of an adapter.
const MODEL_LOAD_TIME: Duration = Duration::from_millis(1_900);
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(250);
/// Age of the state in a report.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time to the first event of a stream, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(25);
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const EVENTS: usize = 14;

/// What the runners of a deployment can hold.
#[derive(Clone)]
pub struct Plan {
    /// Models with the sizes of their weights in MB.
    pub models: Vec<(&'static str, u64)>,
    pub weights_mb: u64,
    pub adapter_slots: usize,
    pub adapter_mb: u64,
}

impl Plan {
    /// The runners of the small deployment `rolwerk-net`.
    pub fn one_model() -> Self {
        Self {
            models: vec![(MODEL, 65_500)],
            weights_mb: 67_500,
            adapter_slots: 18,
            adapter_mb: 40,
        }
    }

    fn model_mb(&self, name: &str) -> u64 {
        self.models.iter().find(|(n, _)| *n == name).map_or(0, |(_, mb)| *mb)
    }
}

/// A request that a runner began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub tenant: String,
    pub tokens: u64,
}

/// What the runners share.
pub struct Fleet {
    plan: Plan,
    store: Store,
    record: Record,
    started: AtomicU32,
    pub runs: Mutex<Vec<Run>>,
    /// Orders to load more than a runner can hold.
    pub excesses: Mutex<Vec<String>>,
}

impl Fleet {
    pub fn new(plan: Plan, store: &Store, record: &Record) -> Self {
        let (runs, excesses, started) = Default::default();
        Self { plan, store: store.clone(), record: record.clone(), started, runs, excesses }
    }

    /// Starts a runner that holds the given models, under a new id.
    pub fn start(self: &Arc<Self>, zone: &'static str, models: &[&str]) -> io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let number = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(number));
        let models = models.iter().map(|m| (*m).to_owned()).collect();
        let shape = Mutex::new(Shape { models, ..Shape::default() });
        let born = BORN + u64::from(number) * 1_000;
        let (former, beats, switch) = Default::default();
        let fleet = self.clone();
        let state = Arc::new(State {
            id: id.clone(),
            zone,
            address,
            born,
            shape,
            former,
            beats,
            switch,
            fleet,
        });
        let (server, beating) = (state.clone(), state.clone());
        serve(listener, state.switch.clone(), move |connection, request| {
            server.handle(connection, &request)
        });
        thread::spawn(move || {
            while !beating.switch.has_ended() {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(HEARTBEAT * (SILENT_BEATS - 1));
            beating.fleet.store.remove("servers", &beating.id);
        });
        Ok(Runner(state))
    }
}

/// A running runner.
pub struct Runner(Arc<State>);

impl Runner {
    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn zone(&self) -> &'static str {
        self.0.zone
    }

    /// Models that it holds.
    pub fn models(&self) -> Vec<String> {
        self.0.shape.lock().unwrap().models.clone()
    }

    /// Ends the process: its connections close, and it writes no more entries.
    pub fn crash(&self) {
        self.0.crash();
    }

    pub fn has_crashed(&self) -> bool {
        self.0.switch.has_ended()
    }
}

#[derive(Clone)]
struct Adapter {
    /// Model and name, `MODEL/NAME`.
    name: String,
    version: u64,
    ready_at: Instant,
}

/// What a runner holds.
#[derive(Clone, Default)]
struct Shape {
    models: Vec<String>,
    /// The model that is being loaded.
    loading: Option<String>,
    adapters: Vec<Adapter>,
    sequence: u64,
}

impl Shape {
    fn models_json(&self) -> String {
        let now = Instant::now();
        let model = |model: &String| {
            let prefix = format!("{model}/");
            let ready = self.adapters.iter().filter(|a| a.ready_at <= now);
            let own = ready.filter_map(|a| Some((a.name.strip_prefix(&prefix)?, a.version)));
            let names: Vec<String> = own.map(|(n, v)| quoted(&format!("{n}@{v}"))).collect();
            format!(
                "{{\"Name\":{},\"Version\":1,\"Adapters\":[{}]}}",
                quoted(model),
                names.join(",")
            )
        };
        let all: Vec<String> = self.models.iter().map(model).collect();
        format!("[{}]", all.join(","))
    }

    fn pending_json(&self) -> String {
        let now = Instant::now();
        let coming = self.adapters.iter().filter(|a| a.ready_at > now);
        let names: Vec<String> =
            coming.map(|a| quoted(&format!("{}@{}", a.name, a.version))).collect();
        format!("[{}]", names.join(","))
    }
}

struct State {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    born: u64,
    shape: Mutex<Shape>,
    /// Earlier states with the times until which they were true.
    former: Mutex<Vec<(Instant, Shape)>>,
    beats: AtomicU64,
    switch: Switch,
    fleet: Arc<Fleet>,
}

impl State {
    /// Writes the entry in which the runner describes itself.
    fn beat(&self) {
        let beats = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let models = self.shape.lock().unwrap().models_json();
        let Self { id, zone, address, born, .. } = self;
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"1.0\",\"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Stage\":\"combined\",\"Models\":{models},\"Sequence\":{beats},\"born\":{born}}}"
        );
        self.fleet.store.put("servers", id, &entry);
    }

    fn crash(&self) {
        self.fleet.record.say(&format!("runner {} ends", self.id));
        self.switch.end();
    }

    fn handle(self: &Arc<Self>, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let (id, attempt) = (&self.id, request.header("x-attempt-id"));
        let own = format!("X-Instance-Id: {id}\r\nX-Attempt-Id: {attempt}\r\n");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            return connection.answer(421, &own, "");
        }
        match request.path() {
            "/report" => {
                let json = "Content-Type: application/json\r\n";
                connection.answer(200, json, &self.report())
            }
            "/order" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let status = self.order(&Json::parse(&body));
                self.fleet.record.write(&format!("order to {id} answered {status}: {body}"));
                connection.answer(status, "", "")
            }
            _ => self.stream(connection, request, &own),
        }
    }

    fn report(&self) -> String {
        let seen = Instant::now().checked_sub(REPORT_LAG);
        let former = self.former.lock().unwrap();
        let old = former.iter().find(|(until, _)| seen.is_some_and(|seen| seen < *until));
        let shape = old.map_or_else(|| self.shape.lock().unwrap().clone(), |(_, s)| s.clone());
        let (models, pending) = (shape.models_json(), shape.pending_json());
        let (busy, sequence, born) = (shape.loading.is_some(), shape.sequence, self.born);
        format!(
            "{{\"Stage\":\"combined\",\"Models\":{models},\"Pending\":{pending},\"Busy\":{busy},\
             \"Sequence\":{sequence},\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":232000,\
             \"Handles\":0,\"born\":{born}}}"
        )
    }

    /// Changes what the runner holds; reports show the former state for a while.
    fn change(&self, shape: &mut Shape, change: impl FnOnce(&mut Shape)) {
        self.former.lock().unwrap().push((Instant::now(), shape.clone()));
        change(shape);
    }

    /// Carries out an order and returns the status of its answer.
    fn order(self: &Arc<Self>, order: &Json) -> u16 {
        let (model, adapter) = (order.get("Model").text(), order.get("Adapter").text());
        let loads = order.get("Operation").text() == "loading";
        if order.get("Holder").text().is_empty() || order.get("FencingToken").number().is_none() {
            return 400;
        }
        let mut shape = self.shape.lock().unwrap();
        let differs = order.get("Expected").number().is_some_and(|n| n != shape.sequence);
        if adapter.is_empty() {
            let holds = shape.models.iter().any(|m| m == model);
            if holds == loads {
                return 200;
            }
            // The nodes unload no model.
            if shape.loading.is_some() || differs || !loads {
                return 409;
            }
            if !self.fits(&shape, model, 0) {
                return 400;
            }
            let (state, model) = (self.clone(), model.to_owned());
            self.change(&mut shape, |s| {
                s.sequence += 1;
                s.loading = Some(model.clone());
            });
            thread::spawn(move || state.finish_load(&model));
            return 202;
        }
        if !shape.models.iter().any(|m| m == model) {
            return 400;
        }
        let name = format!("{model}/{adapter}");
        let version = order.get("Version").number().unwrap_or(1);
        let known = shape.adapters.iter().find(|a| a.name == name).cloned();
        match &known {
            Some(a) if loads && a.version == version => {
                return if a.ready_at <= Instant::now() { 200 } else { 202 };
            }
            None if !loads => return 200,
            _ => {}
        }
        if differs {
            return 409;
        }
        if loads && known.is_none() && !self.fits(&shape, "", 1) {
            return 400;
        }
        self.change(&mut shape, |s| {
            s.sequence += 1;
            s.adapters.retain(|a| a.name != name);
            if loads {
                let ready_at = Instant::now() + ADAPTER_LOAD_TIME;
                s.adapters.push(Adapter { name, version, ready_at });
            }
        });
        if loads { 202 } else { 200 }
    }

    /// Whether a further model, or a number of adapters, fits beside what the runner holds and
    /// loads. If not, the order is noted and the runner crashes.
    fn fits(self: &Arc<Self>, shape: &Shape, model: &str, adapters: usize) -> bool {
        let plan = &self.fleet.plan;
        let held = shape.models.iter().chain(&shape.loading).map(|m| plan.model_mb(m));
        let adapters = shape.adapters.len() + adapters;
        let mb = held.sum::<u64>() + plan.model_mb(model) + adapters as u64 * plan.adapter_mb;
        if mb <= plan.weights_mb && adapters <= plan.adapter_slots {
            return true;
        }
        let excess = format!(
            "runner {} with {:?} is ordered to load {model:?} or an adapter: {mb} of {} MB, \
             {adapters} of {} adapters",
            self.id, shape.models, plan.weights_mb, plan.adapter_slots
        );
        self.fleet.record.say(&excess);
        self.fleet.excesses.lock().unwrap().push(excess);
        self.crash();
        false
    }

    fn finish_load(&self, model: &str) {
        thread::sleep(MODEL_LOAD_TIME);
        let mut shape = self.shape.lock().unwrap();
        self.change(&mut shape, |s| {
            s.loading = None;
            s.models.push(model.to_owned());
        });
        drop(shape);
        if !self.switch.has_ended() {
            self.fleet.record.say(&format!("runner {} holds {model}", self.id));
            // The entry changes, so it is written at once.
            self.beat();
        }
    }

    fn stream(&self, connection: &mut Connection, request: &Message, own: &str) -> io::Result<()> {
        let name = request.header("x-model");
        let model = name.split_once('/').map_or(name, |(model, _)| model);
        let now = Instant::now();
        let (has_model, version) = {
            let shape = self.shape.lock().unwrap();
            let loaded = shape.adapters.iter().find(|a| a.name == name && a.ready_at <= now);
            (shape.models.iter().any(|m| m == model), loaded.map_or(0, |a| a.version))
        };
        let wanted: u64 = request.header("x-expect-version").parse().unwrap_or(version);
        if !has_model || (name != model && (version == 0 || wanted != version)) {
            return connection.answer(421, own, "");
        }
        let tokens = request.header("x-token-count").split(',');
        let tokens = tokens.filter_map(|n| n.trim().parse::<u64>().ok()).sum();
        let Fleet { record, runs, .. } = &*self.fleet;
        let (attempt, tenant) = (request.header("x-attempt-id"), request.header("x-tenant"));
        let id = &self.id;
        record
            .write(&format!("run {attempt} at {id} tenant {tenant} model {name} tokens {tokens}"));
        let run = Run { at: record.now(), tenant: tenant.to_owned(), tokens };
        runs.lock().unwrap().push(run);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}X-Server-Seal: 3e1b.07.{tokens}\r\n\
             X-Weight-Versions: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            version.max(1)
        );
        thread::sleep(FIRST_EVENT);
        connection.stream.write_all(head.as_bytes())?;
        for n in 1..=EVENTS {
            let event = format!("id: {n}\ndata: piece {n} of {EVENTS}\n\n");
            write!(connection.stream, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}
