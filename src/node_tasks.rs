//! Starts the tasks of a node, runs them and shuts them down gracefully.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poem::listener::TcpAcceptor;
use rustix::process::{Resource, getrlimit};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::admin_api::AdminApi;
use crate::caller_budget::CallerBudget;
use crate::caller_ledger::{BudgetLimits, CONNECTION_BYTES};
use crate::caller_stream::bound_buffers;
use crate::config_store;
use crate::connection_limit::LimitedAcceptor;
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::node_settings::{ListenAddresses, Settings};
use crate::refusal_writer;
use crate::shell::{Ports, Shell};
use crate::storage::{Table, VmList, read_repeatedly};
use crate::time::Ms;

/// Interval of the core's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between reads of the platform's VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between reads of the configuration's head row.
///
/// A withdrawn key must stop working within 2 s. The rest of that time is for two unanswered calls
/// each when the head row and then the document are read.
const HEAD_ROW_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a draining node still accepts connections, until the load balancer
/// has noticed that it is not ready.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);
/// Maximum time for which a draining node waits for its leases and ownership to be
/// released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the descriptors that callers may take.
const CALLER_FILES: f64 = 0.4;
/// Limits on operators' connections. Their bodies and answers are not charged.
const ADMIN_LIMITS: BudgetLimits =
    BudgetLimits { memory: 64 * CONNECTION_BYTES, large: 0, connections: 64 };
/// Interval between checks of a condition during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bound sockets of one node.
pub(crate) struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds all listeners, so that a node that cannot serve does not start.
    ///
    /// # Errors
    /// Fails with the address that cannot be bound.
    pub(crate) async fn bind(listen: &ListenAddresses) -> Result<Self> {
        let bind = async |addr: std::net::SocketAddr| {
            TcpListener::bind(addr).await.map_err(|e| Error::io(&addr.to_string(), e))
        };
        let callers = bind(listen.callers).await?;
        bound_buffers(&callers);
        Ok(Self { callers, peers: bind(listen.peers).await?, admin: bind(listen.admin).await? })
    }

    /// Returns the address of the listener for links between nodes.
    ///
    /// # Errors
    /// Fails if the socket has no address.
    pub(crate) fn peers(&self) -> Result<std::net::SocketAddr> {
        self.peers.local_addr().map_err(|e| Error::io("peers", e))
    }
}

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// Fails if an address cannot be bound or the settings lack a required address.
pub async fn serve(settings: Settings) -> Result<()> {
    let ports = crate::ports::connect(&settings)?;
    let listeners = Listeners::bind(&settings.listen).await?;
    let metrics = Metrics::new(settings.statsd_address)?;
    let shell = Shell::new(ports, Arc::new(settings), metrics, rand::random());
    let mut term = signal(SignalKind::terminate()).map_err(|e| Error::io("signal", e))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| Error::io("signal", e))?;
    run(shell, listeners, async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
    .await;
    Ok(())
}

/// Runs a node until `stop` completes or an operator drains it.
pub(crate) async fn run<P: Ports>(
    shell: Arc<Shell<P>>,
    listeners: Listeners,
    stop: impl Future<Output = ()> + Send,
) {
    log::info!("node {} started", shell.node);
    // Connections are closed after this idle time; no request takes longer.
    let idle = (shell.limits().request_timeout + shell.limits().body_timeout).to_std();
    let (_admin_close, admin_open) = watch::channel(false);
    let admin_open = (admin_open, watch::Sender::new(false));
    let admin = AdminApi::new(shell.clone());
    let operators = CallerBudget::new(ADMIN_LIMITS);
    let mut tasks = vec![
        tokio::spawn(shell.open_links().listen(listeners.peers)),
        tokio::spawn(run_ticks(shell.clone())),
        tokio::spawn(follow_vm_list(shell.clone())),
        tokio::spawn(follow_head(shell.clone())),
        tokio::spawn(serve_http(listeners.admin, admin, operators, idle, admin_open)),
    ];
    let (flush, flushing) = watch::channel(false);
    let recorder = tokio::spawn(refusal_writer::run(
        shell.recorder.clone(),
        shell.ports.objects().clone(),
        flushing,
    ));
    let limits = *shell.limits();
    let callers = CallerBudget::new(BudgetLimits {
        memory: limits.max_memory,
        large: limits.max_memory / 2,
        connections: caller_connections(limits.max_connections),
    });
    let (close, closing) = watch::channel(false);
    let (closed, callers_closed) = watch::channel(false);
    let gateway = tokio::spawn(serve_http(
        listeners.callers,
        Gateway::new(shell.clone(), callers.clone()),
        callers,
        idle,
        (closing, closed),
    ));
    let mut drain = shell.drain_requested.subscribe();
    tokio::select! {
        () = stop => {}
        _ = drain.wait_for(|stop| *stop) => {}
    }
    shutdown(&shell, (close, callers_closed), gateway, limits.request_timeout).await;
    let _ = flush.send(true);
    let _ = recorder.await;
    for task in tasks.drain(..) {
        task.abort();
    }
    log::info!("node {} stopped", shell.node);
}

/// Most connections of callers: the limit in the settings, and at most [`CALLER_FILES`] of the
/// descriptors that the process may open. Each running request needs another one towards its
/// endpoint.
fn caller_connections(limit: u64) -> usize {
    let files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let most = (files as f64 * CALLER_FILES) as u64;
    if most < limit {
        log::warn!("callers get {most} connections: the process may open {files} descriptors");
    }
    usize::try_from(limit.min(most)).unwrap_or(usize::MAX)
}

/// Shuts a node down without interrupting requests.
async fn shutdown<P: Ports>(
    shell: &Arc<Shell<P>>,
    (close, mut closed): (watch::Sender<bool>, watch::Receiver<bool>),
    gateway: JoinHandle<()>,
    max_request: Ms,
) {
    log::info!("shutdown started; new requests are accepted for another {DRAIN_NOTICE:?}");
    shell.start_drain();
    sleep(DRAIN_NOTICE).await;
    let _ = close.send(true);
    if timeout(max_request.to_std(), closed.wait_for(|closed| *closed)).await.is_err() {
        log::warn!("callers still connect after the maximum request time");
    }
    wait_until(max_request.to_std(), || shell.running_requests.load(Ordering::Acquire) == 0).await;
    shell.with_core(|core, now, out| core.release(now, out));
    wait_until(RELEASE_TIMEOUT, || shell.core.lock().unwrap().authority.released()).await;
    // Answers of completed requests may still be in transit to slow callers.
    let mut gateway = gateway;
    if timeout(max_request.to_std(), &mut gateway).await.is_err() {
        let running = shell.running_requests.load(Ordering::Acquire);
        log::warn!("{running} requests are still running after the maximum request time; aborting");
        gateway.abort();
    }
}

async fn wait_until(limit: Duration, done: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !done() && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}

async fn run_ticks<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        shell.with_core(|core, now, out| core.tick(now, out));
        shell.poll_claims();
        shell.report_gone_nodes();
    }
}

/// Reads the platform's VM list at intervals; a failed read keeps the last list.
async fn follow_vm_list<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(VM_LIST_INTERVAL);
    loop {
        ticks.tick().await;
        let vms = shell.ports.vms();
        match read_repeatedly("vms", || vms.close_idle(), || vms.list()).await {
            Ok(vms) => {
                let peers: Vec<_> = vms
                    .iter()
                    .filter(|v| v.role == "node" && v.name != shell.settings.node)
                    .map(|v| (v.name.clone(), v.addr))
                    .collect();
                shell.open_links().set_peers(&peers);
                shell.with_core(|core, now, out| core.set_vms(now, &vms, out));
            }
            Err(e) => log::warn!("reading the VM list failed: {e}"),
        }
    }
}

/// Reads the configuration's head row at intervals and fetches new configurations.
async fn follow_head<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(HEAD_ROW_INTERVAL);
    loop {
        ticks.tick().await;
        let table = shell.ports.table();
        let head = || config_store::read_head(table);
        match read_repeatedly("head", || table.close_idle(), head).await {
            Ok(Some((head, _))) => shell.clone().fetch_config(head.serial, head.digest).await,
            Ok(None) => log::debug!("no configuration has been applied yet"),
            Err(e) => log::warn!("reading the configuration's head failed: {e}"),
        }
    }
}

/// Serves HTTP until the listener has closed, which `closing` asks for and `closed` shows, and
/// open connections are finished.
async fn serve_http<E>(
    listener: TcpListener,
    app: E,
    budget: CallerBudget,
    idle: Duration,
    (closing, closed): (watch::Receiver<bool>, watch::Sender<bool>),
) where
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    let mut ends = closed.subscribe();
    let acceptor = match TcpAcceptor::from_tokio(listener) {
        Ok(acceptor) => LimitedAcceptor::new(acceptor, budget, closing, closed),
        Err(e) => return log::error!("listener failed: {e}"),
    };
    let stop = async move {
        // Cannot fail: the acceptor holds the sender.
        let _ = ends.wait_for(|closed| *closed).await;
    };
    let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(idle);
    if let Err(e) = server.run_with_graceful_shutdown(app, stop, None).await {
        log::error!("HTTP server ended: {e}");
    }
}
