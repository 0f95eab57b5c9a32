//! An edge node on the platform: its state and the tasks that keep it current.
//!
//! One thread runs everything. Decisions are taken by the modules without I/O
//! (`endpoint_choice`, `admission`, `team_limits`, `resend_budget`, `endpoint_holders`,
//! `order_planner`); this module holds their tables and starts the tasks around them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::deployment::Deployment;
use crate::endpoint_holders::EndpointHolders;
use crate::endpoint_table::EndpointTable;
use crate::error::{Error, Result};
use crate::exposition::Exposition;
use crate::http_client::{HttpClient, HttpSettings};
use crate::ids::Map;
use crate::log_sink::{self, decision};
use crate::metrics::Metrics;
use crate::order_planner::OrderPlanner;
use crate::platform::settings;
use crate::resend_budget::ResendBudget;
use crate::routing::Routing;
use crate::team_limits::{NodeCounts, TeamLimits};
use crate::time::{BootClock, Clock, Ms, wall_clock};
use crate::{edge_listeners, mesh, order_executor, store_watcher};

/// Time that a stopping node goes on accepting connections, until the balancer has
/// noticed: two checks, one second apart.
const LINGER: Ms = Ms(2_600);
/// Time before the end of the grace period at which the node exits in any case.
const LAST: Ms = Ms(500);
/// Longest time of the release at the end.
const RELEASE: Duration = Duration::from_millis(300);
/// Interval of the housekeeping of connections and logs.
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// Interval at which the settings file is looked at; its source, the platform, replaces it
/// without a signal at times.
const LOOK: Duration = Duration::from_secs(1);
/// Bounds of the connections to endpoints, the store and peers.
const CLIENT: HttpSettings = HttpSettings {
    // Callers allow themselves a second for a connection.
    connect_timeout: Duration::from_millis(700),
    // For a side that does not say how long it keeps an idle connection.
    idle_timeout: Duration::from_secs(4),
    max_idle: 24,
    max_body: 16 << 20,
    unacked_timeout: Some(Duration::from_millis(1_500)),
};

/// An endpoint that this node holds, and who waits for its adapters.
#[derive(Debug)]
pub(crate) struct HeldEndpoint {
    pub(crate) planner: OrderPlanner,
    pub(crate) wake: Rc<Notify>,
    /// Nodes that asked for an adapter.
    pub(crate) waiting_nodes: Map<Rc<str>, Vec<SocketAddr>>,
    /// Usual time of an order, in ms.
    pub(crate) usual: f64,
}

/// A peer as its datagrams show it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) start: u64,
    pub(crate) last_beat: Ms,
    pub(crate) config_version: u64,
}

/// Requests in flight by adapter.
pub(crate) type Uses = Map<Rc<str>, u32>;

/// State of an edge node.
pub(crate) struct Edge {
    pub(crate) deployment: Deployment,
    pub(crate) start: u64,
    pub(crate) routing: RefCell<Rc<Routing>>,
    /// The configuration in force as it was read, for peers.
    pub(crate) document: RefCell<Vec<u8>>,
    /// Newest version of each adapter, with the instant at which it was learned.
    pub(crate) versions: RefCell<Map<Rc<str>, (u64, Ms)>>,
    /// The endpoints' entries as they were read, for peers.
    pub(crate) entries: RefCell<Map<Rc<str>, Vec<u8>>>,
    pub(crate) table: RefCell<EndpointTable>,
    pub(crate) team_limits: RefCell<TeamLimits>,
    pub(crate) resends: RefCell<ResendBudget>,
    pub(crate) holders: RefCell<EndpointHolders>,
    pub(crate) held: RefCell<Map<Rc<str>, HeldEndpoint>>,
    pub(crate) peers: RefCell<Map<Rc<str>, Peer>>,
    /// Requests in flight by endpoint and adapter; those that ended since the last
    /// beat stay with a count of zero.
    pub(crate) adapter_uses: RefCell<Map<Rc<str>, Uses>>,
    /// Endpoints known to be leaving or gone, with the instant.
    pub(crate) leaving: RefCell<Map<Rc<str>, Ms>>,
    /// Wakes requests that wait for an adapter.
    pub(crate) adapter_changes: Notify,
    /// Client for callers' requests.
    pub(crate) data: HttpClient,
    /// Client for the store, peers and orders; a silent order must not close the
    /// connections of requests.
    pub(crate) control: HttpClient,
    pub(crate) socket: UdpSocket,
    /// Instant of the last call to the store that failed.
    pub(crate) store_trouble: Cell<Ms>,
    /// The endpoints' entries have been read once.
    pub(crate) listed: Cell<bool>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) metrics: Metrics,
    pub(crate) exposition: Exposition,
}

impl Edge {
    fn new(deployment: Deployment, socket: UdpSocket) -> Self {
        let now = BootClock.now();
        let start = wall_clock().0;
        let exposition = Exposition::default();
        let b = deployment.bounds;
        let steward =
            EndpointHolders::new(&deployment.node, start, b.handover_pause + Ms(500), now);
        Self {
            start,
            routing: RefCell::default(),
            document: RefCell::default(),
            versions: RefCell::default(),
            entries: RefCell::default(),
            table: RefCell::default(),
            team_limits: RefCell::default(),
            resends: RefCell::new(ResendBudget::new(b.retry_ratio, b.retry_window, b.retry_slack)),
            holders: RefCell::new(steward),
            held: RefCell::default(),
            peers: RefCell::default(),
            adapter_uses: RefCell::default(),
            leaving: RefCell::default(),
            adapter_changes: Notify::new(),
            data: HttpClient::new(CLIENT),
            control: HttpClient::new(CLIENT),
            socket,
            store_trouble: Cell::new(Ms(0)),
            listed: Cell::new(false),
            stopping: watch::Sender::new(false),
            in_flight: Cell::new(0),
            metrics: Metrics::with_sink(exposition.clone()),
            exposition,
            deployment,
        }
    }

    /// Whether the node can serve: it has a configuration and a list of endpoints.
    pub(crate) fn ready(&self) -> bool {
        !*self.stopping.borrow() && self.routing.borrow().version > 0 && self.listed.get()
    }

    /// Nodes that may be admitting, this one included, and the share of them that is heard.
    pub(crate) fn node_counts(&self, now: Ms) -> NodeCounts {
        let steward = self.holders.borrow();
        let peers = self.peers.borrow();
        let (mut nodes, mut heard) = (1, 1);
        for node in steward.counted_nodes(now).filter(|n| *n.name != *self.deployment.node) {
            nodes += 1;
            let recent = |p: &Peer| now.since(p.last_beat) < crate::team_limits::SILENT_AFTER;
            heard += usize::from(peers.get(&node.name).is_some_and(recent));
        }
        NodeCounts { nodes, heard }
    }

    /// Whether a node is heard that is not on the list of nodes as it was read last.
    pub(crate) fn has_strangers(&self, now: Ms) -> bool {
        let steward = self.holders.borrow();
        let peers = self.peers.borrow();
        let recent = |p: &Peer| now.since(p.last_beat) < crate::team_limits::SILENT_AFTER;
        peers.iter().any(|(name, p)| recent(p) && !steward.has_node(name))
    }

    /// The version that a request for an adapter must begin on.
    pub(crate) fn version(&self, adapter: &str) -> Option<u64> {
        self.versions.borrow().get(adapter).map(|(v, _)| *v)
    }

    /// Marks an endpoint as leaving on evidence other than its entry.
    pub(crate) fn mark_leaving(&self, id: &Rc<str>, why: &str) {
        let now = BootClock.now();
        if self.leaving.borrow_mut().insert(id.clone(), now).is_none() {
            decision!("endpoint_leaving", "endpoint": &**id, "evidence": why);
        }
        if let Some(e) = self.table.borrow_mut().get_mut(id) {
            e.gone = true;
        }
    }
}

async fn housekeeping(edge: Rc<Edge>) {
    loop {
        sleep(HOUSEKEEPING).await;
        let now = BootClock.now();
        edge.data.close_expired();
        edge.control.close_expired();
        edge.leaving.borrow_mut().retain(|_, at| now.since(*at) < Ms::secs(60));
        log::logger().flush();
    }
}

async fn stop(edge: &Rc<Edge>) {
    let begun = BootClock.now();
    decision!("stopping", "in_flight": edge.in_flight.get());
    edge.stopping.send_replace(true);
    let end = begun + edge.deployment.bounds.grace.since(LAST);
    loop {
        let now = BootClock.now();
        let idle = edge.in_flight.get() == 0 && now.since(begun) >= LINGER;
        if idle || now >= end {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    // Until here this node goes on ordering: after a restart it takes its endpoints up
    // again without the pause that another holder would need.
    if timeout(RELEASE, store_watcher::release(edge)).await.is_err() {
        log::warn!("the store did not answer the release");
    }
    decision!("stopped", "in_flight": edge.in_flight.get());
    log::logger().flush();
    // Leaves the log's thread time to write.
    sleep(Duration::from_millis(30)).await;
}

/// Runs a node with the settings file at `path` until SIGTERM.
///
/// # Errors
/// The settings are not usable, or an address cannot be listened on.
pub async fn run(path: &str) -> Result<()> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::input(path, e))?;
    let deployment = settings::decode(&text)?;
    let _logger = log_sink::start("info")?;
    let port = *deployment.listen.ports.start();
    let socket = UdpSocket::bind((deployment.ip, port)).await.map_err(|e| Error::io("mesh", e))?;
    decision!("started", "node": deployment.node, "domain": deployment.domain,
        "version": env!("CARGO_PKG_VERSION"));
    let edge = Rc::new(Edge::new(deployment, socket));
    let front = edge_listeners::listen(edge.deployment.listen.front).await?;
    let ready = edge_listeners::listen(edge.deployment.listen.ready).await?;
    spawn_local(edge_listeners::accept(edge.clone(), front));
    spawn_local(edge_listeners::accept_checks(edge.clone(), ready));
    let inner = SocketAddr::from((edge.deployment.ip, port));
    spawn_local(edge_listeners::accept_peers(edge.clone(), edge_listeners::listen(inner).await?));
    spawn_local(store_watcher::peers(edge.clone()));
    spawn_local(mesh::receive_datagrams(edge.clone()));
    spawn_local(mesh::send_beats(edge.clone()));
    spawn_local(store_watcher::documents(edge.clone()));
    spawn_local(store_watcher::entries(edge.clone()));
    spawn_local(store_watcher::membership(edge.clone()));
    spawn_local(order_executor::keep(edge.clone()));
    spawn_local(housekeeping(edge.clone()));
    let signal = |kind| tokio::signal::unix::signal(kind).map_err(|e| Error::io("signals", e));
    let mut term = signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut hup = signal(tokio::signal::unix::SignalKind::hangup())?;
    let mut look = tokio::time::interval(LOOK);
    let mut written = modified(path);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(path, "signal"),
            _ = look.tick() => {
                let now = modified(path);
                if now != written {
                    reload(path, "change");
                }
                written = now;
            }
        }
    }
    stop(&edge).await;
    Ok(())
}

/// When a file was written last; none while it cannot be looked at, as during a replacement.
fn modified(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Reads the settings file again. Addresses and limits apply from the next start;
/// a file that is not usable changes nothing.
fn reload(path: &str, cause: &str) {
    let text = std::fs::read_to_string(path).map_err(|e| Error::input(path, e));
    match text.and_then(|t| settings::decode(&t)) {
        Ok(_) => decision!("settings_reloaded", "cause": cause),
        Err(e) => decision!("settings_refused", "cause": cause, "error": e.to_string()),
    }
}
