//! A run: nodes, stand-ins and callers, while a plan is carried out.

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

use crate::callers::{self, METER_KEY, METERS, STUDIOS, Shared, own_key};
use crate::check::{Config, History, Left, METER_BURST, METER_RATE};
use crate::plan::{ENDPOINTS, Event, Fault, NODES, PLAIN};
use crate::proxy::{Mode, Proxy};

/// Version of the first configuration.
const FIRST: u64 = 3;
/// Time for answers that are on their way when callers stop.
const SETTLE: Duration = Duration::from_millis(4_800);

/// The operators' document of a version: one key is its own.
fn configuration(version: u64) -> Value {
    let mut all = document(version, &[KEY, &own_key(version)]);
    let meter = json!({"Name": "meter", "ApiKeys": [METER_KEY], "Priority": 1, "Unit": "token",
        "PlainTokens": 200, "RatePerS": METER_RATE, "Burst": METER_BURST});
    all["Tenants"].as_array_mut().unwrap().push(meter);
    all
}

/// An endpoint behind its proxy.
struct Place {
    instance: Instance,
    proxy: Proxy,
}

impl Place {
    async fn start(n: usize, life: usize) -> Self {
        let (service, model) = if n < PLAIN { ("ledger", None) } else { ("assist", Some("base")) };
        let instance = Instance::start(&format!("i-{n}-{life}"), service, model).await.unwrap();
        let proxy = Proxy::start(instance.address()).await.unwrap();
        Self { instance, proxy }
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = self.instance.entry(state);
        entry["Address"] = json!(self.proxy.address.to_string());
        entry
    }
}

/// What a run consists of.
struct Fleet {
    rows: RowStore,
    stores: Vec<Proxy>,
    nodes: Vec<Option<Node>>,
    places: Vec<Place>,
    gone: Vec<Place>,
    left: Vec<Left>,
    configs: Vec<Config>,
    shared: Arc<Shared>,
    broken: Option<String>,
}

impl Fleet {
    async fn start(broken: Option<&str>) -> Self {
        let rows = RowStore::start().await.unwrap();
        rows.put("op", "config", &configuration(FIRST));
        let configs = vec![Config { version: FIRST, at: Instant::now() }];
        let (mut places, mut stores) = (Vec::new(), Vec::new());
        for n in 0..ENDPOINTS {
            let place = Place::start(n, 0).await;
            rows.put("servers", &place.instance.id, &place.entry("ready"));
            places.push(place);
        }
        for _ in 0..NODES {
            stores.push(Proxy::start(rows.server.address).await.unwrap());
        }
        let shared = Shared {
            nodes: (0..NODES).map(|_| NodeAddresses::free()).collect(),
            version: FIRST.into(),
            ..Shared::default()
        };
        let mut fleet = Self {
            rows,
            stores,
            nodes: Vec::new(),
            places,
            gone: Vec::new(),
            left: Vec::new(),
            configs,
            shared: Arc::new(shared),
            broken: broken.map(str::to_owned),
        };
        fleet.nodes = (0..NODES).map(|n| Some(fleet.start_node(n))).collect();
        for node in fleet.nodes.iter().flatten() {
            node.until_ready().await;
        }
        fleet
    }

    fn start_node(&self, n: usize) -> Node {
        self.shared.starts[n].fetch_add(1, Ordering::Relaxed);
        let (at, store) = (self.shared.nodes[n], self.stores[n].address);
        Node::start_at(&format!("soak-{n}"), at, store, self.broken.as_deref())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(node) = &self.nodes[n] {
            node.signal(signal);
        }
    }

    async fn begin(&mut self, fault: Fault) {
        match fault {
            // Dropping a node kills it.
            Fault::Kill { node } => self.nodes[node] = None,
            Fault::Stop { node } => self.signal(node, Signal::TERM),
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::STOP),
            Fault::Store(fault) => self.rows.set_fault(fault),
            Fault::Endpoint { endpoint, fault } => self.places[endpoint].instance.set_fault(fault),
            Fault::Link { endpoint, mode } => self.places[endpoint].proxy.set(mode),
            Fault::StoreLink { node, mode } => self.stores[node].set(mode),
            Fault::Leave { endpoint } => {
                let place = &self.places[endpoint];
                self.rows.put("servers", &place.instance.id, &place.entry("draining"));
                self.left.push(Left { endpoint: place.instance.id.clone(), at: Instant::now() });
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

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { node } | Fault::Stop { node } => {
                self.nodes[node] = None;
                self.nodes[node] = Some(self.start_node(node));
            }
            Fault::Pause { node } | Fault::Freeze { node } => self.signal(node, Signal::CONT),
            Fault::Store(_) => self.rows.set_fault(row_store::RowStoreFault::None),
            Fault::Endpoint { endpoint, .. } => {
                self.places[endpoint].instance.set_fault(endpoint_instance::EndpointFault::None);
            }
            Fault::Link { endpoint, .. } => self.places[endpoint].proxy.set(Mode::Pass),
            Fault::StoreLink { node, .. } => self.stores[node].set(Mode::Pass),
            Fault::Leave { endpoint } => {
                let next = Place::start(endpoint, self.left.len()).await;
                self.rows.put("servers", &next.instance.id, &next.entry("ready"));
                let old = std::mem::replace(&mut self.places[endpoint], next);
                self.gone.push(old);
            }
            Fault::Lag => {
                let version = self.shared.version.load(Ordering::Relaxed);
                self.rows.put("op", "config", &configuration(version));
            }
            Fault::Configure | Fault::Compact => {}
        }
    }
}

/// Carries out a plan and returns what was seen.
pub async fn run(seed: u64, length: u64, events: &[Event], broken: Option<&str>) -> History {
    let mut fleet = Fleet::start(broken).await;
    let mut tasks: Vec<_> = (0..STUDIOS)
        .map(|n| tokio::spawn(callers::studio(fleet.shared.clone(), seed, n)))
        .collect();
    tasks.extend((0..METERS).map(|n| tokio::spawn(callers::meter(fleet.shared.clone(), seed, n))));
    let start = Instant::now();
    let begins = events.iter().map(|e| (e.at, true, e.fault));
    let ends = events.iter().map(|e| (e.end, false, e.fault));
    let mut steps: Vec<(u64, bool, Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|s| s.0);
    for (at, begins, fault) in steps {
        let until = start + Duration::from_millis(at);
        tokio::time::sleep_until(until.into()).await;
        match begins {
            true => fleet.begin(fault).await,
            false => fleet.end(fault).await,
        }
    }
    tokio::time::sleep_until((start + Duration::from_millis(length)).into()).await;
    fleet.shared.done.store(true, Ordering::Relaxed);
    // Callers end by themselves within their patience.
    let ended = async {
        for task in &mut tasks {
            task.await.unwrap();
        }
    };
    tokio::time::timeout(SETTLE, ended).await.expect("callers end");
    let at = |ms: u64| start + Duration::from_millis(ms);
    let hidden = events.iter().filter(|e| e.fault.hides_store());
    let places = fleet.places.iter().chain(&fleet.gone);
    History {
        sent: std::mem::take(&mut *fleet.shared.sent.lock().unwrap()),
        runs: places
            .clone()
            .flat_map(|p| p.instance.runs().into_iter().map(|r| (p.instance.id.clone(), r)))
            .collect(),
        orders: places.map(|p| (p.instance.id.clone(), p.instance.orders())).collect(),
        left: std::mem::take(&mut fleet.left),
        configs: std::mem::take(&mut fleet.configs),
        hidden: hidden.map(|e| (at(e.at), at(e.end))).collect(),
    }
}
