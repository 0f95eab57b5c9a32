//! State of an edge node on the platform, and the tasks that update it.
//!
//! All tasks run on one thread. The modules `endpoint_choice`, `admission`,
//! `shared_limits`, `resend_budget`, `endpoint_holders` and `order_planner` decide without
//! I/O; this module owns their tables and spawns the tasks that feed them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::caller_budget::CallerBudget;
use crate::caller_ledger::BudgetLimits;
use crate::caller_stream::RECEIVE_BUFFER;
use crate::crash_watch::{self, CrashWatch};
use crate::departures::Departures;
use crate::deployment::Deployment;
use crate::endpoint_holders::EndpointHolders;
use crate::endpoint_limits::{Deferral, EndpointLimit, REQUEST_COST};
use crate::endpoint_table::EndpointTable;
use crate::error::{Error, Result};
use crate::exposition::Exposition;
use crate::failpoint::{Failpoint, active};
use crate::http_client::{HttpClient, HttpSettings};
use crate::ids::Map;
use crate::log_sink::{self, decision};
use crate::metrics::Metrics;
use crate::order_planner::OrderPlanner;
use crate::platform::headers::ResponseHeaders;
use crate::platform::settings;
use crate::resend_budget::ResendBudget;
use crate::routing::Routing;
use crate::shared_limits::{NodeCounts, SharedLimits};
use crate::store_health::StoreHealth;
use crate::stream_origins::StreamOrigins;
use crate::stream_store::BatchReader;
use crate::time::{BootClock, Clock, Ms, wall_clock};
use crate::{
    edge_listeners, holder_claims, mesh, order_executor, quarantine_store, store_watcher,
    stream_store,
};

/// Shortest time from SIGTERM to exit. The balancer stops sending connections only after
/// two failed checks, one second apart.
const MIN_SHUTDOWN: Ms = Ms(2_600);
/// Time before the end of the grace period at which the node stops waiting for requests.
const EXIT_MARGIN: Ms = Ms(500);
/// Time before that in which requests without an answer get one.
const LAST_ANSWERS: Ms = Ms(400);
/// Time limit for releasing the lease on exit.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which idle connections are closed and the log is flushed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the settings file is checked for changes; the platform sometimes
/// replaces it without sending a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the memory limit that answers may take while they are read, per client.
const BUFFERED_FRACTION: u64 = 8;
/// Fraction of the memory limit that callers may take with all that they hold.
const CALLER_FRACTION: f64 = 0.4;
/// Fraction of the memory limit that large bodies and answers may take.
const LARGE_FRACTION: f64 = 0.125;
/// Descriptors that are reserved for files.
const RESERVED_FILES: usize = 200;
/// Fraction of the other descriptors that callers may take. Each running request needs another
/// one towards its endpoint, and the rest is for the store, peers and checks.
const CALLER_FILES: f64 = 0.4;

/// Limits on all callers of a node together.
fn caller_limits(deployment: &Deployment) -> BudgetLimits {
    let memory = deployment.memory_bytes as f64;
    let sockets = deployment.max_files.saturating_sub(RESERVED_FILES) as f64;
    BudgetLimits {
        memory: (memory * CALLER_FRACTION) as u64,
        large: (memory * LARGE_FRACTION) as u64,
        connections: ((sockets * CALLER_FILES) as usize).max(1),
    }
}

/// Settings of the connections to endpoints, the store and peers.
fn client_settings(memory_bytes: u64) -> HttpSettings {
    HttpSettings {
        // Callers give up on a connection attempt after one second.
        connect_timeout: Duration::from_millis(700),
        // Applies to servers that send no keep-alive timeout.
        idle_timeout: Duration::from_secs(4),
        max_idle: 24,
        max_body: 16 << 20,
        max_buffered: usize::try_from(memory_bytes / BUFFERED_FRACTION).unwrap_or(usize::MAX),
        unacked_timeout: Some(Duration::from_millis(1_500)),
        receive_buffer: None,
    }
}

/// An endpoint that this node holds, with the nodes that wait for its adapters.
#[derive(Debug)]
pub(crate) struct HeldEndpoint {
    pub(crate) planner: OrderPlanner,
    pub(crate) wake: Rc<Notify>,
    /// Addresses of the nodes that requested an adapter, by adapter.
    pub(crate) waiting_nodes: Map<Rc<str>, Vec<SocketAddr>>,
    /// Moving average of the time that an order takes, in ms.
    pub(crate) order_ms: f64,
}

/// A peer as known from its datagrams.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) start: u64,
    pub(crate) last_beat: Ms,
    pub(crate) config_version: u64,
}

/// An endpoint's entry as it wrote it.
#[derive(Clone, Debug)]
pub(crate) struct EncodedEntry {
    pub(crate) value: Vec<u8>,
    /// Version of its row.
    pub(crate) version: u64,
}

/// Requests in flight by adapter.
pub(crate) type AdapterUses = Map<Rc<str>, u32>;

/// State of an edge node.
pub(crate) struct Edge {
    pub(crate) deployment: Deployment,
    pub(crate) start: u64,
    pub(crate) routing: RefCell<Rc<Routing>>,
    /// Encoded configuration in force, served to peers.
    pub(crate) document: RefCell<Vec<u8>>,
    /// Newest version of each adapter, with the instant at which this node read it.
    pub(crate) versions: RefCell<Map<Rc<str>, (u64, Ms)>>,
    /// Encoded entries of the endpoints, served to peers.
    pub(crate) entries: RefCell<Map<Rc<str>, EncodedEntry>>,
    pub(crate) table: RefCell<EndpointTable>,
    pub(crate) team_limits: RefCell<SharedLimits>,
    /// Rate limits that endpoints state.
    pub(crate) endpoint_limits: RefCell<SharedLimits>,
    pub(crate) resends: RefCell<ResendBudget>,
    pub(crate) holders: RefCell<EndpointHolders>,
    pub(crate) held: RefCell<Map<Rc<str>, HeldEndpoint>>,
    pub(crate) peers: RefCell<Map<Rc<str>, Peer>>,
    /// Requests in flight by endpoint and adapter. An adapter whose requests ended since
    /// the last beat stays with a count of zero, so that the next beat still names it.
    pub(crate) adapter_uses: RefCell<Map<Rc<str>, AdapterUses>>,
    /// Endpoints that are leaving or gone.
    pub(crate) departures: RefCell<Departures>,
    /// Wakes requests that wait for an adapter when the set of loaded adapters changes.
    pub(crate) adapter_changes: Notify,
    /// Wakes the membership task when an endpoint is new or has restarted.
    pub(crate) endpoint_added: Notify,
    /// Client for callers' requests.
    pub(crate) data_client: HttpClient,
    /// Client for the store, peers and orders. It is separate because an order without an
    /// answer must not close connections that carry requests.
    pub(crate) control_client: HttpClient,
    /// Which software versions began recent streams.
    pub(crate) streams: RefCell<StreamOrigins>,
    pub(crate) batch_reader: BatchReader,
    /// Crashes of endpoints and the requests that cause them.
    pub(crate) crash_watch: CrashWatch,
    pub(crate) socket: UdpSocket,
    /// Newest era of the store that is known; `None` before its first answer.
    pub(crate) store_era: Cell<Option<u64>>,
    /// When the store was last restored; `None` if that was not seen or told.
    pub(crate) restored_at: Cell<Option<Ms>>,
    /// Wakes those that follow the store's tables when the store has been restored.
    pub(crate) era_changed: Notify,
    /// Whether the store answers, and since when.
    pub(crate) store_health: RefCell<StoreHealth>,
    /// Endpoints whose entries are gone, each with the version that shows it and when it was read.
    pub(crate) unlisted: RefCell<Map<Rc<str>, (u64, Ms)>>,
    /// Whether the endpoints' entries have been read at least once.
    pub(crate) entries_read: Cell<bool>,
    pub(crate) stopping: watch::Sender<bool>,
    /// When the node began to stop.
    pub(crate) stopped_at: Cell<Option<Instant>>,
    /// Whether the grace period of a stopping node is about to end.
    pub(crate) grace_over: watch::Sender<bool>,
    /// Memory and connections of callers.
    pub(crate) callers: CallerBudget,
    pub(crate) in_flight: Cell<usize>,
    /// Callers' connections, including those whose last answer is still being written, and the
    /// listener while it accepts them.
    pub(crate) connections: Cell<usize>,
    pub(crate) metrics: Metrics,
    pub(crate) exposition: Exposition,
}

impl Edge {
    fn new(deployment: Deployment, socket: UdpSocket) -> Self {
        let now = BootClock.now();
        let start = wall_clock().0;
        let exposition = Exposition::default();
        let b = deployment.bounds;
        let client_settings = client_settings(deployment.memory_bytes);
        let holders =
            EndpointHolders::new(&deployment.node, start, b.handover_pause + Ms(500), now);
        Self {
            start,
            routing: RefCell::default(),
            document: RefCell::default(),
            versions: RefCell::default(),
            entries: RefCell::default(),
            table: RefCell::default(),
            team_limits: RefCell::default(),
            endpoint_limits: RefCell::default(),
            resends: RefCell::new(ResendBudget::new(b.retry_ratio, b.retry_window, b.retry_slack)),
            holders: RefCell::new(holders),
            held: RefCell::default(),
            peers: RefCell::default(),
            adapter_uses: RefCell::default(),
            departures: RefCell::default(),
            adapter_changes: Notify::new(),
            endpoint_added: Notify::new(),
            data_client: HttpClient::new(HttpSettings {
                receive_buffer: Some(RECEIVE_BUFFER),
                ..client_settings
            }),
            control_client: HttpClient::new(client_settings),
            streams: RefCell::new(StreamOrigins::new(now)),
            batch_reader: BatchReader::default(),
            crash_watch: CrashWatch::default(),
            socket,
            store_era: Cell::new(None),
            restored_at: Cell::new(None),
            era_changed: Notify::new(),
            store_health: RefCell::new(StoreHealth::new(deployment.entry_interval)),
            unlisted: RefCell::default(),
            entries_read: Cell::new(false),
            stopping: watch::Sender::new(false),
            stopped_at: Cell::new(None),
            grace_over: watch::Sender::new(false),
            callers: CallerBudget::new(caller_limits(&deployment)),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            metrics: Metrics::with_sink(exposition.clone()),
            exposition,
            deployment,
        }
    }

    /// Whether the node can serve: it is not stopping and has a configuration and a list
    /// of endpoints.
    pub(crate) fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.routing.borrow().version > 0 && self.entries_read.get()
    }

    /// Counts the nodes that may be admitting requests, and those of them that were heard
    /// recently. Both include this node.
    pub(crate) fn node_counts(&self, now: Ms) -> NodeCounts {
        let holders = self.holders.borrow();
        let peers = self.peers.borrow();
        let (mut nodes, mut heard) = (1, 1);
        for node in holders.counted_nodes(now).filter(|n| *n.name != *self.deployment.node) {
            nodes += 1;
            let recent = |p: &Peer| now.since(p.last_beat) < crate::shared_limits::SILENT_AFTER;
            heard += usize::from(peers.get(&node.name).is_some_and(recent));
        }
        NodeCounts { nodes, heard }
    }

    /// Whether all other nodes with a lease were heard recently.
    pub(crate) fn hears_all_peers(&self, now: Ms) -> bool {
        let holders = self.holders.borrow();
        let peers = self.peers.borrow();
        let recent = |p: &Peer| now.since(p.last_beat) < crate::shared_limits::SILENT_AFTER;
        let mut others = holders.live_nodes(now).filter(|n| *n.name != *self.deployment.node);
        others.all(|node| peers.get(&node.name).is_some_and(recent))
    }

    /// Whether a peer was heard recently that the last read of the node list did not name.
    pub(crate) fn has_unlisted_peers(&self, now: Ms) -> bool {
        let holders = self.holders.borrow();
        let peers = self.peers.borrow();
        let recent = |p: &Peer| now.since(p.last_beat) < crate::shared_limits::SILENT_AFTER;
        peers.iter().any(|(name, p)| recent(p) && !holders.has_node(name))
    }

    /// Takes note of the store's era. A new one means that the store was restored from a copy:
    /// rows of the last seconds are gone or back, and all tables have to be read again.
    pub(crate) fn observe_era(&self, era: u64, source: &str) {
        let before = self.store_era.get();
        if before.is_some_and(|known| era <= known) {
            return;
        }
        self.store_era.set(Some(era));
        decision!("store_era", "era": era, "before": before, "source": source);
        if before.is_some() {
            // Entries may be missing as they are after an outage.
            let now = BootClock.now();
            self.store_health.borrow_mut().on_restored(now);
            self.restored_at.set(Some(now));
            self.holders.borrow_mut().on_restored(now, era);
            self.era_changed.notify_waiters();
            self.endpoint_added.notify_one();
        }
    }

    /// Takes note that a peer saw the store restored at `at`. A node that has started since has
    /// not, and must not claim what others still hold by leases of the former era.
    pub(crate) fn on_restore_told(&self, at: Ms) {
        if self.restored_at.get().is_none() {
            self.restored_at.set(Some(at));
            self.holders.borrow_mut().delay_claims(at);
        }
    }

    /// Version of an adapter that new requests must use.
    pub(crate) fn adapter_version(&self, adapter: &str) -> Option<u64> {
        self.versions.borrow().get(adapter).map(|(v, _)| *v)
    }

    /// Resolves when the grace period of a stopping node is about to end.
    pub(crate) async fn until_grace_over(&self) {
        // Cannot fail: the sender lives as long as the node.
        let _ = self.grace_over.subscribe().wait_for(|over| *over).await;
    }

    /// Counts a request that is to be sent to an endpoint, and checks that the endpoint wants it
    /// and that the rate limit that it states leaves room for it.
    ///
    /// # Errors
    /// Why the endpoint must not get the request now.
    pub(crate) fn check_endpoint(&self, id: &str) -> std::result::Result<(), Deferral> {
        self.with_endpoint_limit(id, SharedLimits::check)
    }

    /// Counts a request that is sent to an endpoint against the rate limit that it states.
    ///
    /// # Errors
    /// Why the endpoint must not get the request now.
    pub(crate) fn take_endpoint(&self, id: &str) -> std::result::Result<(), Deferral> {
        self.with_endpoint_limit(id, SharedLimits::take)
    }

    fn with_endpoint_limit(
        &self,
        id: &str,
        apply: impl FnOnce(
            &mut SharedLimits,
            Ms,
            &EndpointLimit,
            f64,
            NodeCounts,
        ) -> std::result::Result<(), Ms>,
    ) -> std::result::Result<(), Deferral> {
        let now = BootClock.now();
        let table = self.table.borrow();
        let Some(e) = table.get(id) else { return Ok(()) };
        if e.is_closed(now) {
            return Err(Deferral::Closed(e.closed_until.since(now)));
        }
        let Some(limit) = EndpointLimit::of(e) else { return Ok(()) };
        drop(table);
        let counts = self.node_counts(now);
        apply(&mut self.endpoint_limits.borrow_mut(), now, &limit, REQUEST_COST, counts)
            .map_err(Deferral::AtLimit)
    }

    /// Records the rate limit that an endpoint states in an answer that arrived at `heard`;
    /// `source` is the node to which it came.
    pub(crate) fn record_limit(&self, id: &str, heard: Ms, rate: Option<f64>, source: &str) {
        let mut table = self.table.borrow_mut();
        let Some(e) = table.get_mut(id) else { return };
        let before = e.stated_limit.and_then(|l| l.rate);
        if e.record_limit(heard, rate) {
            decision!("endpoint_limit", "endpoint": id, "per_s": rate, "before": before,
                "source": source);
        }
    }

    /// Takes note of the software versions that serve, and forgets streams of the past.
    pub(crate) fn observe_software(&self, now: Ms) {
        let mut streams = self.streams.borrow_mut();
        for e in self.table.borrow().iter() {
            streams.observe(&e.origin(), now);
        }
        streams.expire(now);
    }

    /// Marks an endpoint as leaving because of `why`, which is not its entry, unless its entry
    /// is newer than this news of the given version.
    pub(crate) fn mark_leaving(&self, id: &Rc<str>, why: &str, version: u64) {
        let mut table = self.table.borrow_mut();
        let state = table.get_mut(id);
        if state.as_ref().is_some_and(|e| e.row_version > version) {
            return;
        }
        if self.departures.borrow_mut().record(BootClock.now(), id, version) {
            decision!("endpoint_leaving", "endpoint": &**id, "evidence": why, "version": version);
        }
        if let Some(e) = state {
            e.gone = true;
        }
    }

    /// Marks an endpoint as leaving because its incarnation that started at `start` said so in an
    /// answer to the node `source`. An entry of another incarnation is not concerned.
    pub(crate) fn mark_announced(&self, id: &Rc<str>, start: u64, source: &str) {
        let mut table = self.table.borrow_mut();
        let Some(e) = table.get_mut(id).filter(|e| e.entry.started_at == start) else { return };
        e.gone = true;
        if self.departures.borrow_mut().announce(BootClock.now(), id, start) {
            decision!("endpoint_leaving", "endpoint": &**id, "evidence": "its answer",
                "source": source, "born": start);
        }
    }

    /// Takes note of an answer in which an endpoint says that it leaves or wants nothing from this
    /// node for a time.
    pub(crate) fn observe_answer(&self, id: &Rc<str>, answer: &ResponseHeaders) {
        let now = BootClock.now();
        let mut table = self.table.borrow_mut();
        let Some(e) = table.get_mut(id).filter(|_| answer.is_from(id)) else { return };
        if let Some(time) = answer.retry_after
            && e.record_retry_after(now, time)
        {
            decision!("endpoint_closed", "endpoint": &**id, "for_ms": time.0);
        }
        let start = e.entry.started_at;
        drop(table);
        if answer.leaving {
            self.mark_announced(id, start, &self.deployment.node);
        }
    }

    /// Marks an endpoint as leaving because another instance answered in its place.
    pub(crate) fn mark_replaced(&self, id: &Rc<str>, why: &str) {
        crash_watch::on_crashed(self, id, why);
        let version = self.table.borrow().get(id).map_or(0, |e| e.row_version);
        self.mark_leaving(id, why, version);
    }
}

async fn housekeeping(edge: Rc<Edge>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        let now = BootClock.now();
        edge.data_client.close_expired();
        edge.control_client.close_expired();
        let is_listed = |id: &str| edge.table.borrow().get(id).is_some();
        edge.departures.borrow_mut().expire(now, is_listed);
        store_watcher::remove_unlisted(&edge);
        edge.observe_software(now);
        let table = edge.table.borrow();
        edge.endpoint_limits.borrow_mut().retain(|id| table.get(id).is_some());
        drop(table);
        log::logger().flush();
    }
}

async fn shut_down(edge: &Rc<Edge>) {
    let started = BootClock.now();
    decision!("stopping", "in_flight": edge.in_flight.get());
    edge.stopped_at.set(Some(Instant::now()));
    edge.stopping.send_replace(true);
    let end = started + edge.deployment.bounds.grace.since(EXIT_MARGIN);
    loop {
        let now = BootClock.now();
        let idle = edge.connections.get() == 0 && now.since(started) >= MIN_SHUTDOWN;
        if idle || now >= end || active(Failpoint::ExitEarly) {
            break;
        }
        if now + LAST_ANSWERS >= end {
            edge.grace_over.send_replace(true);
        }
        sleep(Duration::from_millis(20)).await;
    }
    // The lease is released last: until then the node still sends orders, and a restarted
    // node regains its endpoints without the pause that another holder has to keep.
    if timeout(RELEASE_TIMEOUT, holder_claims::release_lease(edge)).await.is_err() {
        log::warn!("releasing the lease timed out; it lapses by itself");
    }
    decision!("stopped", "in_flight": edge.in_flight.get(),
        "connections": edge.connections.get());
    log::logger().flush();
    // Gives the log thread time to write.
    sleep(Duration::from_millis(30)).await;
}

/// Runs a node with the settings file at `path` until SIGTERM. SIGHUP checks the file again.
///
/// # Errors
/// The settings are invalid, or an address cannot be bound.
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
    spawn_local(edge_listeners::accept_callers(edge.clone(), front));
    spawn_local(edge_listeners::accept_checks(edge.clone(), ready));
    let inner = SocketAddr::from((edge.deployment.ip, port));
    spawn_local(edge_listeners::accept_peers(edge.clone(), edge_listeners::listen(inner).await?));
    spawn_local(store_watcher::follow_peers(edge.clone()));
    spawn_local(mesh::receive_datagrams(edge.clone()));
    spawn_local(mesh::send_beats(edge.clone()));
    spawn_local(store_watcher::follow_documents(edge.clone()));
    spawn_local(store_watcher::follow_entries(edge.clone()));
    spawn_local(holder_claims::maintain_membership(edge.clone()));
    spawn_local(order_executor::manage_workers(edge.clone()));
    spawn_local(quarantine_store::follow_quarantine(edge.clone()));
    spawn_local(crash_watch::weigh_evidence(edge.clone()));
    spawn_local(stream_store::write_streams(edge.clone()));
    spawn_local(housekeeping(edge.clone()));
    let signal = |kind| tokio::signal::unix::signal(kind).map_err(|e| Error::io("signals", e));
    let mut term = signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut hup = signal(tokio::signal::unix::SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let mut last_modified = modified(path);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(path, "signal"),
            _ = poll.tick() => {
                let now = modified(path);
                if now != last_modified {
                    reload(path, "change");
                }
                last_modified = now;
            }
        }
    }
    shut_down(&edge).await;
    Ok(())
}

/// Modification time of a file; `None` if it cannot be read, as during a replacement.
fn modified(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Checks a changed settings file and logs the result. New addresses and limits apply
/// from the next start; an invalid file has no effect.
fn reload(path: &str, cause: &str) {
    let text = std::fs::read_to_string(path).map_err(|e| Error::input(path, e));
    match text.and_then(|t| settings::decode(&t)) {
        Ok(_) => decision!("settings_reloaded", "cause": cause),
        Err(e) => decision!("settings_refused", "cause": cause, "error": e.to_string()),
    }
}
