//! The tasks of one node and its life from start to graceful end.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poem::listener::{Acceptor, TcpAcceptor};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::admin_api::AdminApi;
use crate::config_store;
use crate::connection_limit::LimitedAcceptor;
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::node_settings::{ListenAddresses, Settings};
use crate::refusal_writer;
use crate::shell::{Ports, Shell};
use crate::storage::VmList;
use crate::time::Ms;

/// Interval between ticks of the core.
const TICK: Duration = Duration::from_millis(10);
/// Interval between readings of the platform's list.
const LIST: Duration = Duration::from_millis(1000);
/// Interval between readings of the configuration's head row.
///
/// A withdrawn key must stop within 2 s; heartbeats spread a serial within 0.5 s.
const HEAD: Duration = Duration::from_millis(1000);
/// Time for which a draining node goes on accepting, so that the balancer notices.
const NOTICE: Duration = Duration::from_secs(2);
/// Time for which a draining node waits for its release of leases and ownership.
const RELEASE: Duration = Duration::from_secs(3);
/// Connections of operators at a time.
const ADMIN_CONNECTIONS: usize = 64;
/// Pause between two looks at a condition during a shutdown.
const LOOK: Duration = Duration::from_millis(20);

/// Bound listeners of one node.
pub(crate) struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds all listeners, so that a node that cannot serve does not start.
    ///
    /// # Errors
    /// Names the address that cannot be bound.
    pub(crate) async fn bind(listen: &ListenAddresses) -> Result<Self> {
        let bind = async |addr: std::net::SocketAddr| {
            TcpListener::bind(addr).await.map_err(|e| Error::io(&addr.to_string(), e))
        };
        Ok(Self {
            callers: bind(listen.callers).await?,
            peers: bind(listen.peers).await?,
            admin: bind(listen.admin).await?,
        })
    }

    /// Address of the listener for links between nodes.
    ///
    /// # Errors
    /// Fails when the socket has no address.
    pub(crate) fn peers(&self) -> Result<std::net::SocketAddr> {
        self.peers.local_addr().map_err(|e| Error::io("peers", e))
    }
}

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// Fails when an address cannot be bound or the settings lack an address.
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
    log::info!("node {} starts", shell.me);
    // A connection without a request is closed; no request lasts longer than this.
    let idle = (shell.limits().request_timeout + shell.limits().body_timeout).to_std();
    let (_admin_close, admin_open) = watch::channel(false);
    let admin = AdminApi::new(shell.clone());
    let mut tasks = vec![
        tokio::spawn(shell.open_links().listen(listeners.peers)),
        tokio::spawn(tick(shell.clone())),
        tokio::spawn(list(shell.clone())),
        tokio::spawn(follow_head(shell.clone())),
        tokio::spawn(serve_http(listeners.admin, admin, ADMIN_CONNECTIONS, idle, admin_open)),
    ];
    let (flush, flushing) = watch::channel(false);
    let recorder = tokio::spawn(refusal_writer::run(
        shell.recorder.clone(),
        shell.ports.objects().clone(),
        flushing,
    ));
    let limits = *shell.limits();
    let most = usize::try_from(limits.max_connections).unwrap_or(usize::MAX);
    let (close, closing) = watch::channel(false);
    let gateway = tokio::spawn(serve_http(
        listeners.callers,
        Gateway::new(shell.clone()),
        most,
        idle,
        closing,
    ));
    let mut drain = shell.drain_requested.subscribe();
    tokio::select! {
        () = stop => {}
        _ = drain.wait_for(|stop| *stop) => {}
    }
    shutdown(&shell, close, gateway, limits.request_timeout).await;
    let _ = flush.send(true);
    let _ = recorder.await;
    for task in tasks.drain(..) {
        task.abort();
    }
    log::info!("node {} ended", shell.me);
}

/// Ends a node without cutting a request.
async fn shutdown<P: Ports>(
    shell: &Arc<Shell<P>>,
    close: watch::Sender<bool>,
    gateway: JoinHandle<()>,
    longest: Ms,
) {
    log::info!("shutdown begins; requests are served for {NOTICE:?} more");
    shell.start_drain();
    sleep(NOTICE).await;
    let _ = close.send(true);
    until(longest.to_std(), || shell.running_requests.load(Ordering::Acquire) == 0).await;
    shell.with_core(|core, now, out| core.release(now, out));
    until(RELEASE, || shell.core.lock().unwrap().authority.released()).await;
    // Answers whose requests have ended may still be on their way to slow callers.
    let mut gateway = gateway;
    if timeout(longest.to_std(), &mut gateway).await.is_err() {
        let left = shell.running_requests.load(Ordering::Acquire);
        log::warn!("{left} requests still run after the longest request time");
        gateway.abort();
    }
}

async fn until(limit: Duration, done: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !done() && Instant::now() < end {
        sleep(LOOK).await;
    }
}

async fn tick<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        shell.with_core(|core, now, out| core.tick(now, out));
        shell.poll_claims();
        shell.report_gone_nodes();
    }
}

/// Follows the platform's list; a failed reading leaves the last one in place.
async fn list<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(LIST);
    loop {
        ticks.tick().await;
        match shell.ports.vms().list().await {
            Ok(vms) => {
                let peers: Vec<_> = vms
                    .iter()
                    .filter(|v| v.role == "node" && v.name != shell.settings.node)
                    .map(|v| (v.name.clone(), v.addr))
                    .collect();
                shell.open_links().set_peers(&peers);
                shell.with_core(|core, now, out| core.set_vms(now, &vms, out));
            }
            Err(e) => log::warn!("reading the list of machines failed: {e}"),
        }
    }
}

/// Follows the configuration's head row.
async fn follow_head<P: Ports>(shell: Arc<Shell<P>>) {
    let mut ticks = interval(HEAD);
    loop {
        ticks.tick().await;
        match config_store::read_head(shell.ports.table()).await {
            Ok(Some((head, _))) => shell.clone().fetch_config(head.serial, head.digest).await,
            Ok(None) => log::debug!("no configuration has been applied"),
            Err(e) => log::warn!("reading the configuration's head failed: {e}"),
        }
    }
}

/// Serves HTTP until `closing` becomes true, then finishes open connections.
async fn serve_http<E>(
    listener: TcpListener,
    app: E,
    connections: usize,
    idle: Duration,
    mut closing: watch::Receiver<bool>,
) where
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    let acceptor = match acceptor(listener, connections) {
        Ok(acceptor) => acceptor,
        Err(e) => return log::error!("listener failed: {e}"),
    };
    let stop = async move {
        let _ = closing.wait_for(|closing| *closing).await;
    };
    let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(idle);
    if let Err(e) = server.run_with_graceful_shutdown(app, stop, None).await {
        log::error!("HTTP server ended: {e}");
    }
}

fn acceptor(listener: TcpListener, connections: usize) -> io::Result<impl Acceptor> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Ok(LimitedAcceptor::new(acceptor, connections))
}
