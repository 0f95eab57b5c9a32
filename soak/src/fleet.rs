//! Runs nodes, stand-ins and callers while the faults of a plan are injected.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use standin::caller::KEY;
use standin::endpoint_instance::{self, Instance};
use standin::node::{Node, NodeAddresses};
use standin::row_store::{self, RowStore};
use standin::test_setup::document;

use crate::callers::{self, METER_KEY, METER_TASKS, STUDIO_TASKS, Shared, version_key};
use crate::check::{Config, Departure, History, METER_BURST, METER_RATE};
use crate::plan::{ENDPOINTS, Event, Fault, NODES, PLAIN};
use crate::proxy::{Mode, Proxy};

/// Version of the first configuration.
const FIRST_VERSION: u64 = 3;
/// Time within which callers must end once told to stop; covers answers still in flight.
const CALLERS_END_LIMIT: Duration = Duration::from_millis(4_800);

/// The operators' document of a version, which includes a key that no other version has.
fn configuration(version: u64) -> Value {
    let mut all = document(version, &[KEY, &version_key(version)]);
    let meter = json!({"Name": "meter", "ApiKeys": [METER_KEY], "Priority": 1, "Unit": "token",
        "PlainTokens": 200, "RatePerS": METER_RATE, "Burst": METER_BURST});
    all["Tenants"].as_array_mut().unwrap().push(meter);
    all
}

/// An endpoint behind its proxy.
struct ProxiedEndpoint {
    instance: Instance,
    proxy: Proxy,
}

impl ProxiedEndpoint {
    /// Starts endpoint `n`; `generation` distinguishes it from its predecessors.
    async fn start(n: usize, generation: usize) -> Self {
        let (service, model) = if n < PLAIN { ("ledger", None) } else { ("assist", Some("base")) };
        let instance =
            Instance::start(&format!("i-{n}-{generation}"), service, model).await.unwrap();
        let proxy = Proxy::start(instance.address()).await.unwrap();
        Self { instance, proxy }
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = self.instance.entry(state);
        entry["Address"] = json!(self.proxy.address.to_string());
        entry
    }
}

/// All components of a run.
struct Fleet {
    rows: RowStore,
    store_proxies: Vec<Proxy>,
    nodes: Vec<Option<Node>>,
    endpoints: Vec<ProxiedEndpoint>,
    replaced: Vec<ProxiedEndpoint>,
    left: Vec<Departure>,
    configs: Vec<Config>,
    shared: Arc<Shared>,
    failpoint: Option<String>,
}

impl Fleet {
    async fn start(failpoint: Option<&str>) -> Self {
        let rows = RowStore::start().await.unwrap();
        rows.put("op", "config", &configuration(FIRST_VERSION));
        let configs = vec![Config { version: FIRST_VERSION, at: Instant::now() }];
        let (mut endpoints, mut store_proxies) = (Vec::new(), Vec::new());
        for n in 0..ENDPOINTS {
            let proxied = ProxiedEndpoint::start(n, 0).await;
            rows.put("servers", &proxied.instance.id, &proxied.entry("ready"));
            endpoints.push(proxied);
        }
        for _ in 0..NODES {
            store_proxies.push(Proxy::start(rows.server.address).await.unwrap());
        }
        let shared = Shared {
            nodes: (0..NODES).map(|_| NodeAddresses::free()).collect(),
            version: FIRST_VERSION.into(),
            ..Shared::default()
        };
        let mut fleet = Self {
            rows,
            store_proxies,
            nodes: Vec::new(),
            endpoints,
            replaced: Vec::new(),
            left: Vec::new(),
            configs,
            shared: Arc::new(shared),
            failpoint: failpoint.map(str::to_owned),
        };
        fleet.nodes = (0..NODES).map(|n| Some(fleet.start_node(n))).collect();
        for node in fleet.nodes.iter().flatten() {
            node.until_ready().await;
        }
        fleet
    }

    fn start_node(&self, n: usize) -> Node {
        self.shared.starts[n].fetch_add(1, Ordering::Relaxed);
        let (at, store) = (self.shared.nodes[n], self.store_proxies[n].address);
        Node::start_at(&format!("soak-{n}"), at, store, self.failpoint.as_deref())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(node) = &self.nodes[n] {
            node.signal(signal);
        }
    }

    async fn start_fault(&mut self, fault: Fault) {
        match fault {
            // Dropping a node kills its process.
            Fault::Kill { node } => self.nodes[node] = None,
            Fault::Stop { node } => self.signal(node, Signal::TERM),
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::STOP),
            Fault::Store(fault) => self.rows.set_fault(fault),
            Fault::Endpoint { endpoint, fault } => {
                self.endpoints[endpoint].instance.set_fault(fault)
            }
            Fault::Link { endpoint, mode } => self.endpoints[endpoint].proxy.set_mode(mode),
            Fault::StoreLink { node, mode } => self.store_proxies[node].set_mode(mode),
            Fault::Leave { endpoint } => {
                let proxied = &self.endpoints[endpoint];
                self.rows.put("servers", &proxied.instance.id, &proxied.entry("draining"));
                self.left
                    .push(Departure { endpoint: proxied.instance.id.clone(), at: Instant::now() });
            }
            Fault::Configure => {
                let version = self.shared.version.load(Ordering::Relaxed) + 1;
                self.rows.put("op", "config", &configuration(version));
                self.configs.push(Config { version, at: Instant::now() });
                self.shared.version.store(version, Ordering::Relaxed);
            }
            Fault::Lag => {
                let version = self.shared.version.load(Ordering::Relaxed);
                self.rows.put("op", "config", &configuration(version - 1));
            }
            Fault::Compact => self.rows.compact(),
        }
    }

    async fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { node } | Fault::Stop { node } => {
                self.nodes[node] = None;
                self.nodes[node] = Some(self.start_node(node));
            }
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::CONT),
            Fault::Store(_) => self.rows.set_fault(row_store::RowStoreFault::None),
            Fault::Endpoint { endpoint, .. } => {
                self.endpoints[endpoint].instance.set_fault(endpoint_instance::EndpointFault::None);
            }
            Fault::Link { endpoint, .. } => self.endpoints[endpoint].proxy.set_mode(Mode::Pass),
            Fault::StoreLink { node, .. } => self.store_proxies[node].set_mode(Mode::Pass),
            Fault::Leave { endpoint } => {
                let next = ProxiedEndpoint::start(endpoint, self.left.len()).await;
                self.rows.put("servers", &next.instance.id, &next.entry("ready"));
                let old = std::mem::replace(&mut self.endpoints[endpoint], next);
                self.replaced.push(old);
            }
            Fault::Lag => {
                let version = self.shared.version.load(Ordering::Relaxed);
                self.rows.put("op", "config", &configuration(version));
            }
            Fault::Configure | Fault::Compact => {}
        }
    }
}

/// Injects the faults of a plan and returns the recorded history.
pub async fn run(seed: u64, length_ms: u64, events: &[Event], failpoint: Option<&str>) -> History {
    let mut fleet = Fleet::start(failpoint).await;
    let mut tasks: Vec<_> = (0..STUDIO_TASKS)
        .map(|n| tokio::spawn(callers::run_studio(fleet.shared.clone(), seed, n)))
        .collect();
    tasks.extend(
        (0..METER_TASKS).map(|n| tokio::spawn(callers::run_meter(fleet.shared.clone(), seed, n))),
    );
    let start = Instant::now();
    let begins = events.iter().map(|e| (e.at, true, e.fault));
    let ends = events.iter().map(|e| (e.end, false, e.fault));
    let mut steps: Vec<(u64, bool, Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|s| s.0);
    for (at, starts, fault) in steps {
        let until = start + Duration::from_millis(at);
        tokio::time::sleep_until(until.into()).await;
        match starts {
            true => fleet.start_fault(fault).await,
            false => fleet.end_fault(fault).await,
        }
    }
    tokio::time::sleep_until((start + Duration::from_millis(length_ms)).into()).await;
    fleet.shared.done.store(true, Ordering::Relaxed);
    // Callers end by themselves within their timeout.
    let ended = async {
        for task in &mut tasks {
            task.await.unwrap();
        }
    };
    tokio::time::timeout(CALLERS_END_LIMIT, ended).await.expect("callers end in time");
    let at = |ms: u64| start + Duration::from_millis(ms);
    let hidden = events.iter().filter(|e| e.fault.hides_store());
    let endpoints = fleet.endpoints.iter().chain(&fleet.replaced);
    History {
        sent: std::mem::take(&mut *fleet.shared.sent.lock().unwrap()),
        runs: endpoints
            .clone()
            .flat_map(|p| p.instance.runs().into_iter().map(|r| (p.instance.id.clone(), r)))
            .collect(),
        orders: endpoints.map(|p| (p.instance.id.clone(), p.instance.orders())).collect(),
        left: std::mem::take(&mut fleet.left),
        configs: std::mem::take(&mut fleet.configs),
        hidden: hidden.map(|e| (at(e.at), at(e.end))).collect(),
    }
}
