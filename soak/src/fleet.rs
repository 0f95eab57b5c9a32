//! Runs nodes, stand-ins and callers while the faults of a plan are injected.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use standin::caller::KEY;
use standin::endpoint_instance::{self, Instance};
use standin::node::{Node, NodeAddresses};
use standin::proxy::{Mode, Proxy};
use standin::row_store::{self, RowStore};
use standin::test_setup::document;
use tokio::time::sleep;

use crate::callers::{self, FATAL_PART, METER_KEY, METER_TASKS, STUDIO_TASKS, Shared, version_key};
use crate::check::{
    Config, DEFER_TIME, Deferred, Departure, EVENTS_PER_STREAM, History, METER_BURST, METER_RATE,
    NodeTime, STATED_LIMIT, StatedLimit,
};
use crate::plan::{Event, Fault, Size};

/// Version of the first configuration.
const FIRST_VERSION: u64 = 3;
/// Time within which callers must end once told to stop; covers answers still in flight.
const CALLERS_END_LIMIT: Duration = Duration::from_millis(4_800);
/// Interval at which ended processes and crashed endpoints are looked for.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the exit of a node to its next start.
const NODE_RESTART_DELAY: Duration = Duration::from_millis(300);
/// Pause after each piece of an answer without end, so that callers need not read at full speed.
const ENDLESS_PAUSE: Duration = Duration::from_millis(2);
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Time from the crash of an endpoint to its return as a new instance.
const ENDPOINT_RESTART_DELAY: Duration = Duration::from_millis(800);

/// The operators' document of a version, which includes a key that no other version has.
fn configuration(version: u64) -> Value {
    let mut all = document(version, &[KEY, &version_key(version)]);
    all["Routes"][2]["Resumable"] = json!(true);
    let meter = json!({"Name": "meter", "ApiKeys": [METER_KEY], "Priority": 1, "Unit": "token",
        "PlainTokens": 200, "RatePerS": METER_RATE, "Burst": METER_BURST});
    all["Tenants"].as_array_mut().unwrap().push(meter);
    all
}

/// Version of the software of an endpoint: those of one number take turns.
pub(crate) fn software_of(id: &str) -> String {
    let numbers = id.split('-').filter_map(|n| n.parse::<usize>().ok());
    format!("v{}", numbers.sum::<usize>() % 2)
}

/// An endpoint behind its proxy.
struct ProxiedEndpoint {
    instance: Instance,
    proxy: Proxy,
}

impl ProxiedEndpoint {
    /// Starts endpoint `n`; `generation` distinguishes it from its predecessors. The first one
    /// of an engine has a model.
    async fn start(n: usize, generation: usize, size: Size) -> Self {
        let id = format!("i-{n}-{generation}");
        let started = match (n < size.plain, generation) {
            (true, _) => Instance::start(&id, "ledger", None).await,
            (false, 0) => Instance::start(&id, "assist", Some("base")).await,
            (false, _) => Instance::start_empty(&id, "assist", true).await,
        };
        let instance = started.unwrap();
        instance.set_endless_pause(ENDLESS_PAUSE);
        if n >= size.plain {
            instance.set_crash_trigger(FATAL_PART);
            instance.set_stream(EVENTS_PER_STREAM, EVENT_PAUSE);
            instance.set_software(&software_of(&id));
        }
        let proxy = Proxy::start(instance.address()).await.unwrap();
        Self { instance, proxy }
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = self.instance.entry(state);
        entry["Address"] = json!(self.proxy.address.to_string());
        entry
    }
}

/// A node's process, if it runs.
struct NodeSlot {
    process: Option<Node>,
    /// When the process is started again.
    restart_at: Option<Instant>,
    /// When the process was told to stop.
    stopped_at: Option<Instant>,
}

/// All components of a run.
struct Fleet {
    size: Size,
    rows: RowStore,
    store_proxies: Vec<Proxy>,
    nodes: Vec<NodeSlot>,
    endpoints: Vec<ProxiedEndpoint>,
    /// Number of instances so far.
    generation: usize,
    /// When crashed endpoints return.
    returns: Vec<(usize, Instant)>,
    replaced: Vec<ProxiedEndpoint>,
    shared: Arc<Shared>,
    failpoint: Option<String>,
    /// Copy from which the store is to be restored.
    copy: Option<row_store::Copy>,
    history: History,
}

impl Fleet {
    async fn start(size: Size, failpoint: Option<&str>) -> Self {
        let rows = RowStore::start().await.unwrap();
        rows.put("op", "config", &configuration(FIRST_VERSION));
        let configs = vec![Config { version: FIRST_VERSION, at: Instant::now() }];
        let (mut endpoints, mut store_proxies) = (Vec::new(), Vec::new());
        for n in 0..size.endpoints() {
            let proxied = ProxiedEndpoint::start(n, 0, size).await;
            rows.put("servers", &proxied.instance.id, &proxied.entry("ready"));
            endpoints.push(proxied);
        }
        for _ in 0..size.nodes {
            store_proxies.push(Proxy::start(rows.server.address).await.unwrap());
        }
        let shared = Shared {
            nodes: (0..size.nodes).map(|_| NodeAddresses::free()).collect(),
            starts: (0..size.nodes).map(|_| AtomicU64::new(0)).collect(),
            version: FIRST_VERSION.into(),
            ..Shared::default()
        };
        let mut fleet = Self {
            size,
            rows,
            store_proxies,
            nodes: Vec::new(),
            endpoints,
            generation: 0,
            returns: Vec::new(),
            replaced: Vec::new(),
            shared: Arc::new(shared),
            failpoint: failpoint.map(str::to_owned),
            copy: None,
            history: History { configs, ..History::default() },
        };
        for n in 0..size.nodes {
            let process = Some(fleet.start_node(n));
            fleet.nodes.push(NodeSlot { process, restart_at: None, stopped_at: None });
        }
        for slot in &fleet.nodes {
            slot.process.as_ref().unwrap().until_ready().await;
        }
        fleet
    }

    fn start_node(&self, n: usize) -> Node {
        self.shared.starts[n].fetch_add(1, Ordering::Relaxed);
        let (at, store) = (self.shared.nodes[n], self.store_proxies[n].address);
        Node::start_at(&format!("soak-{n}"), at, store, self.failpoint.as_deref())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(process) = &self.nodes[n].process {
            process.signal(signal);
        }
    }

    /// Starts nodes and endpoints again that have ended.
    async fn supervise(&mut self) {
        let now = Instant::now();
        for n in 0..self.nodes.len() {
            let slot = &mut self.nodes[n];
            if slot.process.as_mut().is_some_and(Node::has_exited) {
                slot.process = None;
                slot.restart_at = Some(now + NODE_RESTART_DELAY);
                match slot.stopped_at.take() {
                    Some(from) => {
                        self.history.stops.push(NodeTime { node: n, from, until: now });
                    }
                    None => self.history.exits.push(format!("node {n} ended by itself")),
                }
            }
            if self.nodes[n].restart_at.take_if(|at| *at <= now).is_some() {
                self.nodes[n].process = Some(self.start_node(n));
            }
        }
        for n in 0..self.endpoints.len() {
            let is_known = self.returns.iter().any(|(e, _)| *e == n);
            if self.endpoints[n].instance.has_crashed() && !is_known {
                self.returns.push((n, now + ENDPOINT_RESTART_DELAY));
                let has_part = |r: &endpoint_instance::Run| {
                    let prefix = r.headers.get("x-prompt-prefix");
                    prefix.is_some_and(|p| p.contains(&format!(",{FATAL_PART}:")))
                };
                if self.endpoints[n].instance.runs().iter().any(has_part) {
                    self.history.fatal_crashes.push(now);
                }
            }
        }
        for (n, _) in self.returns.extract_if(.., |(_, at)| *at <= now).collect::<Vec<_>>() {
            self.rows.remove("servers", &self.endpoints[n].instance.id);
            self.replace_endpoint(n).await;
        }
    }

    async fn replace_endpoint(&mut self, n: usize) {
        self.generation += 1;
        let next = ProxiedEndpoint::start(n, self.generation, self.size).await;
        self.rows.put("servers", &next.instance.id, &next.entry("ready"));
        let old = std::mem::replace(&mut self.endpoints[n], next);
        self.replaced.push(old);
    }

    /// Starts a fault that ends at `end`.
    fn start_fault(&mut self, fault: Fault, end: Instant) {
        match fault {
            Fault::Kill { node } => {
                // Dropping a node kills its process.
                self.nodes[node] =
                    NodeSlot { process: None, restart_at: Some(end), stopped_at: None };
            }
            Fault::Stop { node } => {
                self.signal(node, Signal::TERM);
                if self.nodes[node].process.is_some() {
                    self.nodes[node].stopped_at.get_or_insert(Instant::now());
                }
            }
            Fault::Reload { node } => self.signal(node, Signal::HUP),
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::STOP),
            Fault::Store(fault) => self.rows.set_fault(fault),
            Fault::Endpoint { endpoint, fault } => {
                self.endpoints[endpoint].instance.set_fault(fault);
            }
            Fault::Link { endpoint, mode } => self.endpoints[endpoint].proxy.set_mode(mode),
            Fault::StoreLink { node, mode } => self.store_proxies[node].set_mode(mode),
            Fault::Crash { endpoint } => self.endpoints[endpoint].instance.crash(),
            Fault::CrashEngines => {
                let engines = &self.endpoints[self.size.plain..];
                engines.iter().for_each(|e| e.instance.crash());
            }
            Fault::Poison => self.shared.poison.store(true, Ordering::Relaxed),
            Fault::Leave { endpoint } => {
                let proxied = &self.endpoints[endpoint];
                self.rows.put("servers", &proxied.instance.id, &proxied.entry("draining"));
                let endpoint = proxied.instance.id.clone();
                self.history.left.push(Departure { endpoint, at: Instant::now() });
            }
            Fault::Configure => {
                let version = self.shared.version.load(Ordering::Relaxed) + 1;
                self.rows.put("op", "config", &configuration(version));
                self.history.configs.push(Config { version, at: Instant::now() });
                self.shared.version.store(version, Ordering::Relaxed);
            }
            Fault::NameVersion => {
                let version = self.shared.version.load(Ordering::Relaxed);
                let named = json!({"Model": "base", "Adapter": "a1", "Version": version});
                self.rows.put("op", "version/base.a1", &named);
            }
            Fault::Lag => {
                let version = self.shared.version.load(Ordering::Relaxed);
                self.rows.put("op", "config", &configuration(version - 1));
            }
            Fault::Compact => self.rows.compact(),
            Fault::Restore => self.copy = Some(self.rows.copy()),
            Fault::Announce { endpoint } => {
                self.endpoints[endpoint].instance.announce_leaving(true);
            }
            Fault::Defer { endpoint } => {
                let seconds = DEFER_TIME.as_secs_f64();
                self.endpoints[endpoint].instance.refuse_for(Some(seconds));
            }
            Fault::SilenceStore => self.rows.silence_connections(),
            Fault::Limit { endpoint } => {
                let instance = &self.endpoints[endpoint].instance;
                instance.state_limit(Some(STATED_LIMIT));
                let (endpoint, arrivals) = (instance.id.clone(), Vec::new());
                let limit = StatedLimit { endpoint, from: Instant::now(), until: end, arrivals };
                self.history.limits.push(limit);
            }
        }
    }

    async fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::CONT),
            Fault::Store(_) => self.rows.set_fault(row_store::RowStoreFault::None),
            Fault::Endpoint { endpoint, .. } => {
                self.endpoints[endpoint].instance.set_fault(endpoint_instance::EndpointFault::None);
            }
            Fault::Link { endpoint, .. } => self.endpoints[endpoint].proxy.set_mode(Mode::Pass),
            Fault::StoreLink { node, .. } => self.store_proxies[node].set_mode(Mode::Pass),
            Fault::Leave { endpoint } => self.replace_endpoint(endpoint).await,
            Fault::Announce { endpoint } => {
                // Its entry says all the time that it is ready.
                self.rows.remove("servers", &self.endpoints[endpoint].instance.id);
                self.replace_endpoint(endpoint).await;
            }
            Fault::Defer { endpoint } => self.endpoints[endpoint].instance.refuse_for(None),
            Fault::Poison => self.shared.poison.store(false, Ordering::Relaxed),
            Fault::Limit { endpoint } => self.endpoints[endpoint].instance.state_limit(None),
            Fault::Restore => self.restore(),
            Fault::Lag => {
                let version = self.shared.version.load(Ordering::Relaxed);
                self.rows.put("op", "config", &configuration(version));
            }
            Fault::Kill { .. }
            | Fault::Stop { .. }
            | Fault::Reload { .. }
            | Fault::Crash { .. }
            | Fault::CrashEngines
            | Fault::Configure
            | Fault::NameVersion
            | Fault::SilenceStore
            | Fault::Compact => {}
        }
    }

    /// Restores the store from the copy. Endpoints that are gone are removed again.
    fn restore(&mut self) {
        let Some(copy) = self.copy.take() else { return };
        self.rows.restore(copy);
        let live: Vec<&str> = self.endpoints.iter().map(|e| e.instance.id.as_str()).collect();
        for id in self.rows.keys("servers").iter().filter(|id| !live.contains(&id.as_str())) {
            self.rows.remove("servers", id);
        }
    }

    /// Completes the history with what the endpoints recorded.
    fn into_history(mut self, start: Instant, events: &[Event]) -> History {
        let at = |ms: u64| start + Duration::from_millis(ms);
        let times = |applies: fn(Fault) -> bool| {
            let events = events.iter().filter(move |e| applies(e.fault));
            events.map(|e| (at(e.at), at(e.end))).collect::<Vec<_>>()
        };
        let disturbed = events.iter().filter_map(|e| {
            let node = e.fault.disturbed_node()?;
            Some(NodeTime { node, from: at(e.at), until: at(e.end) })
        });
        let endpoints = self.endpoints.iter().chain(&self.replaced);
        let runs_of = |p: &ProxiedEndpoint| {
            let id = p.instance.id.clone();
            p.instance.runs().into_iter().map(move |r| (id.clone(), r))
        };
        self.history.sent = std::mem::take(&mut *self.shared.sent.lock().unwrap());
        self.history.resumed = std::mem::take(&mut *self.shared.resumed.lock().unwrap());
        let deferred_of = |p: &ProxiedEndpoint| {
            let endpoint = p.instance.id.clone();
            let deferred = p.instance.deferred().into_iter();
            deferred.map(move |(attempt, at)| Deferred { endpoint: endpoint.clone(), attempt, at })
        };
        self.history.deferred = endpoints.clone().flat_map(deferred_of).collect();
        self.history.runs = endpoints.clone().flat_map(runs_of).collect();
        for limit in &mut self.history.limits {
            let stated = endpoints.clone().find(|p| p.instance.id == limit.endpoint);
            limit.arrivals = stated.map(|p| p.instance.arrivals()).unwrap_or_default();
        }
        self.history.orders =
            endpoints.map(|p| (p.instance.id.clone(), p.instance.orders())).collect();
        self.history.hidden = times(Fault::hides_store);
        self.history.broken = times(Fault::breaks_answers);
        self.history.disturbed = disturbed.collect();
        self.history
    }
}

/// Injects the faults of a plan and returns the recorded history.
pub async fn run(
    seed: u64,
    length_ms: u64,
    size: Size,
    events: &[Event],
    failpoint: Option<&str>,
) -> History {
    let mut fleet = Fleet::start(size, failpoint).await;
    let mut tasks: Vec<_> = (0..STUDIO_TASKS.max(size.nodes))
        .map(|n| tokio::spawn(callers::run_studio(fleet.shared.clone(), seed, n)))
        .collect();
    tasks.extend(
        (0..METER_TASKS).map(|n| tokio::spawn(callers::run_meter(fleet.shared.clone(), seed, n))),
    );
    let start = Instant::now();
    let begins = events.iter().map(|e| (e.at, true, *e));
    let ends = events.iter().map(|e| (e.end, false, *e));
    let mut steps: Vec<(u64, bool, Event)> = begins.chain(ends).collect();
    steps.sort_by_key(|s| s.0);
    let mut steps = VecDeque::from(steps);
    while start.elapsed() < Duration::from_millis(length_ms) {
        let elapsed_ms = start.elapsed().as_millis() as u64;
        while let Some((_, starts, event)) = steps.pop_front_if(|s| s.0 <= elapsed_ms) {
            match starts {
                true => fleet.start_fault(event.fault, start + Duration::from_millis(event.end)),
                false => fleet.end_fault(event.fault).await,
            }
        }
        fleet.supervise().await;
        sleep(SUPERVISION_INTERVAL).await;
    }
    fleet.shared.done.store(true, Ordering::Relaxed);
    // Callers end by themselves within their timeout.
    let ended = async {
        for task in &mut tasks {
            task.await.unwrap();
        }
    };
    tokio::time::timeout(CALLERS_END_LIMIT, ended).await.expect("callers end in time");
    fleet.into_history(start, events)
}
