//! I/O and shared state around the deterministic core of a node.
//!
//! Passes inputs to the core and performs its outputs. The core is locked only for
//! one decision and never across an await. An order to an endpoint gets its fencing
//! token from the core after the last await before it is sent, so that a process that
//! was paused discards orders that its expired lease no longer allows.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::attempt::RetryBudget;
use crate::burn_rate::BurnCounts;
use crate::claim::{Claims, Ticket};
use crate::claim_driver::ClaimEvent;
use crate::config::{Config, RouteSpec};
use crate::config_store;
use crate::core::{Core, CoreOut, EndpointOrder};
use crate::denial::{Denial, Reason};
use crate::engine_client::{Engine, OrderError};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{AttemptId, Endpoint, KeyId, Map, Node, RequestId, Team};
use crate::lease::AuthorityLevel;
use crate::logging::LogFields;
use crate::membership::vm_name;
use crate::metrics::Metrics;
use crate::node_settings::{RequestLimits, Role, Settings};
use crate::ownership::{AuthorityOut, OrderKind, Resource};
use crate::peer_handler::PeerHandler;
use crate::peer_links::{DialOutcome, Links};
use crate::refusal_record::{Recorder, RefusalRecord, RefusalRunStatus};
use crate::request_types::{AnswerTiming, Caller};
use crate::service_client::Service;
use crate::storage::{Objects, Table, VmList, read_repeatedly};
use crate::takeover::ProbeResult;
use crate::time::{Clock, Ms, wall_clock};

/// Retries allowed per 100 first attempts.
const RETRY_PERCENT: u64 = 10;
/// Retries per second that are always allowed.
///
/// The reserve, ten seconds' worth, covers the idle connections to the endpoints, all
/// of which may go silent at once; a reserve of 20 did not at 60 requests/s.
const RETRIES_PER_SECOND_MIN: u64 = 5;

/// Clients for the external systems of one node.
pub(crate) trait Ports: Send + Sync + 'static {
    /// Source of the current time.
    type Clock: Clock;
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;
    /// List of VMs.
    type Vms: VmList;
    /// Client for a model engine.
    type Engine: Engine;
    /// Client for a plain service.
    type Service: Service;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;
    /// Returns the table service.
    fn table(&self) -> &Self::Table;
    /// Returns the object store.
    fn objects(&self) -> &Self::Objects;
    /// Returns the list of VMs.
    fn vms(&self) -> &Self::Vms;
    /// Returns a client for the engine at an address.
    fn engine(&self, addr: SocketAddr) -> Self::Engine;
    /// Returns a client for the service at an address.
    fn service(&self, addr: SocketAddr) -> Self::Service;
}

/// State and I/O of one node.
pub(crate) struct Shell<P: Ports> {
    pub(crate) ports: P,
    pub(crate) settings: Arc<Settings>,
    pub(crate) node: Node,
    pub(crate) core: Mutex<Core>,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) recorder: Arc<Mutex<Recorder>>,
    pub(crate) burn_counts: Mutex<BurnCounts>,
    pub(crate) metrics: Metrics,
    pub(crate) loan_arrived: Notify,
    pub(crate) config: watch::Sender<Option<Arc<Config>>>,
    pub(crate) running_requests: AtomicUsize,
    pub(crate) drain_requested: watch::Sender<bool>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) rng: Mutex<SmallRng>,
    draining: AtomicBool,
    permit_waiters: Mutex<Map<AttemptId, oneshot::Sender<peer::PermitReply>>>,
    pub(crate) claim_waiters: Mutex<Map<Ticket, oneshot::Sender<ClaimEvent>>>,
    pub(crate) watched_nodes: Mutex<Map<Node, Ms>>,
    links: OnceLock<Arc<Links<PeerHandler<P>>>>,
}

/// Guard that counts a request as running until it is dropped.
pub(crate) struct RunningGuard<P: Ports>(Arc<Shell<P>>);

impl<P: Ports> Drop for RunningGuard<P> {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<P: Ports> Shell<P> {
    /// Creates a node without starting any task.
    pub(crate) fn new(ports: P, settings: Arc<Settings>, metrics: Metrics, seed: u64) -> Arc<Self> {
        let node = Node::new(&format!("{}.{:08x}", settings.node, seed as u32));
        let core = Core::new(node.clone(), settings.clone(), seed);
        let claims =
            Claims::new(node.clone(), crate::claim::Settings::default(), seed.rotate_left(17));
        let recorder =
            Recorder::new(node.clone(), crate::refusal_record::RecorderLimits::default());
        Arc::new(Self {
            core: Mutex::new(core),
            claims: Mutex::new(claims),
            recorder: Arc::new(Mutex::new(recorder)),
            burn_counts: Mutex::default(),
            loan_arrived: Notify::new(),
            config: watch::Sender::new(None),
            running_requests: AtomicUsize::new(0),
            drain_requested: watch::Sender::new(false),
            retry_budget: Mutex::new(RetryBudget::new(
                ports.clock().now(),
                RETRY_PERCENT,
                RETRIES_PER_SECOND_MIN,
            )),
            rng: Mutex::new(SmallRng::seed_from_u64(seed.rotate_left(31))),
            draining: AtomicBool::new(false),
            permit_waiters: Mutex::default(),
            claim_waiters: Mutex::default(),
            watched_nodes: Mutex::default(),
            links: OnceLock::new(),
            ports,
            settings,
            metrics,
            node,
        })
    }

    /// Returns the links to the other nodes, which the first call creates.
    ///
    /// Messages sent before that are dropped.
    pub(crate) fn open_links(self: &Arc<Self>) -> Arc<Links<PeerHandler<P>>> {
        let secret = self.settings.peer_secret.expose().as_bytes();
        let handler = PeerHandler(self.clone());
        self.links.get_or_init(|| Links::new(self.node.clone(), secret, handler)).clone()
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Ms {
        self.ports.clock().now()
    }

    /// Converts a time of the core to an instant of the runtime.
    pub(crate) fn to_instant(&self, at: Ms) -> Instant {
        Instant::now() + at.since(self.now()).to_std()
    }

    /// Waits until the key is withdrawn and returns the refusal; never returns without a key.
    pub(crate) async fn until_key_withdrawn(&self, key: Option<KeyId>) -> Denial {
        let Some(key) = key else { return std::future::pending().await };
        let mut config = self.config.subscribe();
        let ended = |c: &Option<Arc<Config>>| c.as_ref().is_some_and(|c| !c.is_key_active(&key));
        if config.wait_for(ended).await.is_err() {
            return std::future::pending().await;
        }
        self.metrics.cancelled(1, "withdrawn_key");
        Denial::unknown(Reason::WithdrawnKey, "the key was withdrawn while the request ran")
            .fact("key", key.as_str())
    }

    /// Records whether an answer met the service level of its route.
    pub(crate) fn record_service_level(
        &self,
        team: &Team,
        route: &RouteSpec,
        answer: &AnswerTiming,
    ) {
        self.metrics.answers(1, team.as_str(), route.name.as_str());
        let Some(config) = self.config.borrow().clone() else { return };
        let Some(level) = route.level.as_deref().and_then(|l| config.level(l)) else { return };
        let first = answer.first_token.unwrap_or(answer.end);
        let gap = answer.end.since(first).0 / answer.tokens.saturating_sub(1).max(1);
        let good = answer.completed
            && first.since(answer.begun) <= level.first_token
            && (answer.tokens < 2 || Ms(gap) <= level.token_gap);
        let mut burn = self.burn_counts.lock().unwrap();
        burn.record(wall_clock(), team, &route.name, level.objective, route.weight, good);
    }

    /// Returns the limits on callers' input.
    pub(crate) fn limits(&self) -> &RequestLimits {
        &self.settings.limits
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// Refuses if there is none yet.
    pub(crate) fn config(&self) -> Result<Arc<Config>, Denial> {
        self.config.borrow().clone().ok_or_else(|| {
            Denial::new(Reason::NotReady, "no configuration is in force on this node")
                .retry_after(Ms::secs(1))
        })
    }

    /// Checks that the node is ready for requests: it has a configuration and authority and
    /// does not drain.
    pub(crate) fn check_ready(&self) -> Result<(), Denial> {
        self.config()?;
        if self.draining.load(Ordering::Acquire) {
            let denial = Denial::new(Reason::Draining, "the node is shutting down");
            return Err(denial.retry_after(Ms::secs(1)));
        }
        self.check_authority()
    }

    /// Checks that the node has the authority to admit requests; it may be draining.
    pub(crate) fn check_authority(&self) -> Result<(), Denial> {
        match self.core.lock().unwrap().authority.admits(self.now()) {
            true => Ok(()),
            false => {
                let message = "the node reaches neither the table service nor a peer";
                Err(Denial::new(Reason::NoAuthority, message).retry_after(Ms::secs(1)))
            }
        }
    }

    /// Whether a graceful shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown: the node reports not ready but still serves requests.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        let now = self.now();
        self.core.lock().unwrap().drain(now);
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn track_running(self: &Arc<Self>) -> RunningGuard<P> {
        self.running_requests.fetch_add(1, Ordering::AcqRel);
        RunningGuard(self.clone())
    }

    /// Runs a decision of the core and performs its outputs.
    pub(crate) fn with_core<T>(
        self: &Arc<Self>,
        decide: impl FnOnce(&mut Core, Ms, &mut Vec<CoreOut>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let (result, violations) = {
            let mut core = self.core.lock().unwrap();
            let now = self.now();
            let result = decide(&mut core, now, &mut out);
            (result, std::mem::take(&mut core.violations))
        };
        for violation in violations {
            log::error!("invariant violated: {violation}");
            self.metrics.faults(1, "scheduler");
        }
        self.perform_outputs(out);
        result
    }

    fn perform_outputs(self: &Arc<Self>, outs: Vec<CoreOut>) {
        for out in outs {
            match out {
                CoreOut::Send(to, body) => self.send(&to, body),
                CoreOut::Authority(out) => self.perform_authority(out),
                CoreOut::Load(order) => drop(tokio::spawn(self.clone().load_adapter(order))),
                CoreOut::Evict(order) => drop(tokio::spawn(self.clone().evict_adapter(order))),
                CoreOut::QueryState(endpoint) => {
                    drop(tokio::spawn(self.clone().query_endpoint(endpoint)))
                }
                CoreOut::Reply(attempt, reply) => self.deliver_permit(attempt, reply),
                CoreOut::FetchConfig(serial, digest) => {
                    drop(tokio::spawn(self.clone().fetch_config(serial, digest)));
                }
            }
        }
    }

    pub(crate) fn send(&self, to: &str, body: Body) {
        if let Some(links) = self.links.get()
            && !links.send(to, body)
        {
            log::debug!("message to {to} dropped: no link, or its queue is full");
        }
    }

    /// Registers an attempt that waits for a permit.
    pub(crate) fn register_permit_wait(
        &self,
        attempt: AttemptId,
    ) -> oneshot::Receiver<peer::PermitReply> {
        let (tx, rx) = oneshot::channel();
        self.permit_waiters.lock().unwrap().insert(attempt, tx);
        rx
    }

    /// Removes an attempt that no longer waits for a permit.
    pub(crate) fn remove_permit_wait(&self, attempt: AttemptId) {
        self.permit_waiters.lock().unwrap().remove(&attempt);
    }

    pub(crate) fn deliver_permit(self: &Arc<Self>, attempt: AttemptId, reply: peer::PermitReply) {
        let waiter = self.permit_waiters.lock().unwrap().remove(&attempt);
        let granted = reply.granted;
        let endpoint = Endpoint::new(&reply.endpoint);
        let unused = match waiter {
            Some(tx) => tx.send(reply).is_err(),
            None => true,
        };
        if unused && granted {
            // The request no longer waits; return its place at the endpoint.
            self.with_core(|core, now, out| {
                let owner = core.membership.endpoint(&endpoint).and_then(|e| e.owner.clone());
                if let Some(owner) = owner {
                    let outcome = crate::permit_issuer::AttemptOutcome::Unsent;
                    core.end_permit(now, attempt, &owner, outcome, 0, out);
                }
            });
        }
    }

    fn perform_authority(self: &Arc<Self>, out: AuthorityOut) {
        let shell = self.clone();
        match out {
            AuthorityOut::Commit { op, txn } => drop(tokio::spawn(async move {
                let result = shell.ports.table().commit(&txn).await;
                shell.with_core(|core, now, out| {
                    core.authority.on_commit(now, op, result);
                    core.flush_authority(now, out);
                });
            })),
            AuthorityOut::Scan { op, prefix } => drop(tokio::spawn(async move {
                let result = shell.ports.table().scan(&prefix).await;
                shell.with_core(|core, now, out| {
                    core.authority.on_rows(now, op, result);
                    core.flush_authority(now, out);
                });
            })),
            AuthorityOut::Get { op, key } => drop(tokio::spawn(async move {
                let result = shell.ports.table().get(&key).await.map(Vec::from_iter);
                shell.with_core(|core, now, out| {
                    core.authority.on_rows(now, op, result);
                    core.flush_authority(now, out);
                });
            })),
            AuthorityOut::AskPromise { to } => {
                let sent = self.now().0;
                let ask = peer::PromiseRequest { node: self.node.to_string(), sent };
                self.send(vm_name(&to), Body::PromiseRequest(ask));
            }
            AuthorityOut::Probe { node } => drop(tokio::spawn(shell.probe_node(node))),
            AuthorityOut::Gained { .. } | AuthorityOut::Lost { .. } => {}
        }
    }

    async fn probe_node(self: Arc<Self>, node: Node) {
        let Some(links) = self.links.get().cloned() else { return };
        let result = match links.probe(vm_name(&node)).await {
            DialOutcome::Refused => ProbeResult::Refused,
            DialOutcome::Silent => ProbeResult::Silent,
            // Another incarnation listens at the address, so the probed one has ended.
            DialOutcome::Node(found, _) if found != node => ProbeResult::Refused,
            DialOutcome::Node(_, level) => {
                ProbeResult::Reached { level: AuthorityLevel::from_wire(level) }
            }
        };
        self.with_core(|core, now, out| {
            core.authority.on_probe(now, &node, result);
            core.flush_authority(now, out);
        });
    }

    /// Returns a client for an engine endpoint; `None` if it is not listed.
    pub(crate) fn engine(&self, endpoint: &Endpoint) -> Option<P::Engine> {
        let addr = self.core.lock().unwrap().membership.endpoint(endpoint).map(|e| e.addr)?;
        Some(self.ports.engine(addr))
    }

    /// Returns a client for a service endpoint; `None` if it is not listed.
    pub(crate) fn service(&self, endpoint: &Endpoint) -> Option<P::Service> {
        let addr = self.core.lock().unwrap().membership.endpoint(endpoint).map(|e| e.addr)?;
        Some(self.ports.service(addr))
    }

    fn order_fence(&self, endpoint: &Endpoint, order: OrderKind) -> Option<u64> {
        let core = self.core.lock().unwrap();
        core.order_fence(self.now(), endpoint, order)
    }

    fn evict_fence(&self, order: &EndpointOrder) -> Option<u64> {
        let mut core = self.core.lock().unwrap();
        let now = self.now();
        core.evict_fence(now, order)
    }

    fn on_fence_refused(self: &Arc<Self>, endpoint: &Endpoint, fence: u64) {
        log::warn!("endpoint {endpoint} refused fencing token {fence}: another node owns it");
        self.with_core(|core, now, out| {
            let resource: Option<Resource> =
                core.membership.endpoint(endpoint).map(|e| e.resource());
            if let Some(resource) = resource {
                core.authority.on_fence_refused(now, &resource, fence);
                core.flush_authority(now, out);
            }
        });
    }

    async fn load_adapter(self: Arc<Self>, order: EndpointOrder) {
        self.metrics.loads(1);
        let result = match (
            self.engine(&order.endpoint),
            self.order_fence(&order.endpoint, OrderKind::Load),
        ) {
            (Some(engine), Some(fence)) => {
                let allowed = || self.order_fence(&order.endpoint, OrderKind::Load) == Some(fence);
                let result = engine.load(fence, &order.adapter, allowed).await;
                if result == Err(OrderError::Fenced) {
                    self.on_fence_refused(&order.endpoint, fence);
                }
                result
            }
            _ => Err(OrderError::Unsent("no authority for the order".to_owned())),
        };
        if let Err(e) = &result {
            self.metrics.load_failures(1);
            log::warn!("loading {} on {} failed: {e:?}", order.adapter, order.endpoint);
        }
        self.with_core(|core, now, out| match result {
            Err(OrderError::Unknown(_)) => core.on_order_unknown(now, &order, OrderKind::Load),
            _ => core.on_loaded(now, &order, result.is_ok(), out),
        });
    }

    async fn evict_adapter(self: Arc<Self>, order: EndpointOrder) {
        self.metrics.evictions(1);
        let result = match (self.engine(&order.endpoint), self.evict_fence(&order)) {
            (Some(engine), Some(fence)) => {
                let allowed = || self.evict_fence(&order) == Some(fence);
                let result = engine.unload(fence, &order.adapter, allowed).await;
                if result == Err(OrderError::Fenced) {
                    self.on_fence_refused(&order.endpoint, fence);
                }
                result
            }
            _ => Err(OrderError::Unsent("no authority for the order".to_owned())),
        };
        if let Err(e) = &result {
            log::warn!("evicting {} from {} failed: {e:?}", order.adapter, order.endpoint);
        }
        self.with_core(|core, now, out| match result {
            Err(OrderError::Unknown(_)) => core.on_order_unknown(now, &order, OrderKind::Evict),
            _ => core.on_evicted(now, &order, result.is_ok(), out),
        });
    }

    async fn query_endpoint(self: Arc<Self>, endpoint: Endpoint) {
        let row = {
            let core = self.core.lock().unwrap();
            core.membership.endpoint(&endpoint).map(|e| (e.addr, e.role))
        };
        let result = match row {
            None => Err(crate::error::Error::state(endpoint.as_str(), "not listed")),
            Some((addr, Role::Service)) => self.ports.service(addr).probe().await.map(|()| None),
            Some((addr, Role::Engine)) => {
                let engine = self.ports.engine(addr);
                match engine.state().await {
                    Ok(state) => Ok(Some(state)),
                    // A silent pooled connection must not count as a failure of the endpoint.
                    Err(first) => match engine.probe().await {
                        Ok(()) => engine.state().await.map(Some),
                        Err(_) => Err(first),
                    },
                }
            }
        };
        // A refused connection shows immediately that the process has ended.
        let ended = match (&result, row) {
            (Err(_), Some((addr, _))) => crate::connection::refuses_connections(addr).await,
            _ => false,
        };
        self.with_core(|core, now, out| {
            if ended {
                core.on_connection_refused(now, &endpoint, out);
            }
            core.on_state(now, &endpoint, result, out);
        });
    }

    /// Reads, checks and adopts the configuration with this serial.
    pub(crate) async fn fetch_config(self: Arc<Self>, serial: u64, digest: String) {
        let newer = |c: &Option<Arc<Config>>| c.as_ref().is_none_or(|c| c.serial() < serial);
        if !newer(&self.config.borrow()) {
            return;
        }
        let objects = self.ports.objects();
        let read = || config_store::read_document(objects, &digest);
        let text = match read_repeatedly("objects", || objects.close_idle(), read).await {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) => return log::warn!("reading configuration {serial} failed: {e}"),
        };
        let checked = crate::config_check::check_document(&digest, &text);
        let Some(document) = checked.document else {
            return log::error!(
                "configuration {serial} does not pass the check and is not adopted"
            );
        };
        let config = Arc::new(Config::compile(document, serial, &digest));
        self.adopt_config(config);
    }

    /// Puts a configuration in force unless one with the same or a higher serial is in force.
    pub(crate) fn adopt_config(self: &Arc<Self>, config: Arc<Config>) {
        let adopted = self.with_core(|core, now, _| core.set_config(now, config.clone()));
        if adopted {
            log::info!("configuration {} is in force", config.serial());
            self.metrics.serial(config.serial());
            // With concurrent calls, a newer configuration may already be set here.
            self.config.send_if_modified(|present| {
                let newer = present.as_ref().is_none_or(|c| c.serial() < config.serial());
                if newer {
                    *present = Some(config);
                }
                newer
            });
        }
    }

    /// Records a refusal and returns its id.
    pub(crate) fn record_refusal(
        &self,
        id: RequestId,
        caller: &Caller,
        target: Option<&str>,
        denial: &Denial,
    ) -> String {
        let ran = if denial.maybe_ran { RefusalRunStatus::Unknown } else { RefusalRunStatus::No };
        let mut refusal =
            RefusalRecord::new(wall_clock(), id, target.unwrap_or(""), denial.reason.code(), ran);
        refusal.team = caller.team.clone();
        refusal.key = caller.key.clone();
        for (name, value) in &denial.facts {
            refusal = refusal.fact(name, value.clone());
        }
        if let Some(config) = &*self.config.borrow() {
            refusal = refusal.fact("serial", config.serial());
        }
        let mut fields = LogFields::default().request(id);
        if let Some(team) = &caller.team {
            fields = fields.team(team);
        }
        let reason = denial.reason.code();
        log::info!("{fields}refused: {reason}, ran: {}, {:?}", ran.as_str(), denial.facts);
        let team = caller.team.as_ref().map_or("", |t| t.as_str());
        self.metrics.refusals(1, team, denial.reason.code());
        self.recorder.lock().unwrap().push(refusal)
    }
}
