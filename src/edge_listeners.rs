//! Listeners of an edge node: for callers, the balancer's checks, and peers and operators.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller_stream::{CallerStream, bound_buffers};
use crate::edge::Edge;
use crate::error::{Error, Result};
use crate::log_sink::decision;
use crate::request_proxy::DEFAULT_CALLER_IDLE;
use crate::response_body::ResponseBody;
use crate::time::{BootClock, Clock};
use crate::{mesh, request_proxy, stream_store};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Time for which a stopping node still accepts callers. The balancer notices the stop
/// after two failed checks, one second apart.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_200);
/// Time that a caller has for its first request on a connection to a stopping node.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Time in which the runtime finds what has arrived at its sockets. After a delay of the process,
/// timers can fire before it has looked.
const SOCKET_CHECK_TIME: Duration = Duration::from_millis(20);

/// Binds a TCP listener.
///
/// # Errors
/// The address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let io_error = |e| Error::io(&address.to_string(), e);
    let socket = TcpSocket::new_v4().map_err(io_error)?;
    socket.set_reuseaddr(true).map_err(io_error)?;
    socket.bind(address).map_err(io_error)?;
    let listener = socket.listen(LISTEN_BACKLOG).map_err(io_error)?;
    bound_buffers(&listener);
    Ok(listener)
}

async fn accept_connection(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(e) => {
                log::warn!("accepting a connection failed: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Counts a caller's connection, or the listener for them, in [`Edge::connections`].
struct ConnectionGuard(Rc<Edge>);

impl ConnectionGuard {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.connections.set(edge.connections.get() + 1);
        Self(edge.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Accepts callers' connections until [`ACCEPT_AFTER_STOP`] after the node began to stop, and
/// those that were established by then.
pub(crate) async fn accept_callers(edge: Rc<Edge>, listener: TcpListener) {
    let _guard = ConnectionGuard::new(&edge);
    let period_over = accept_period_over(&edge, Duration::ZERO);
    tokio::pin!(period_over);
    loop {
        let (stream, caller) = tokio::select! {
            biased;
            accepted = accept_connection(&listener) => accepted,
            () = &mut period_over => return,
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("setting TCP_NODELAY for a caller failed: {e}");
        }
        let Ok(stream) = CallerStream::new(&edge.callers, stream, caller) else {
            let (used, open) = (edge.callers.used(), edge.callers.connections());
            decision!("connection_refused", "caller": caller, "bytes": used, "connections": open);
            continue;
        };
        // Counted from here on, so that the node does not end before the task has begun.
        let guard = ConnectionGuard::new(&edge);
        tokio::task::spawn_local(serve_caller(edge.clone(), stream, guard));
    }
}

async fn serve_caller(edge: Rc<Edge>, stream: CallerStream, _guard: ConnectionGuard) {
    let limits = edge.routing.borrow().limits;
    let idle_timeout = limits.map_or(DEFAULT_CALLER_IDLE, |l| l.idle_timeout);
    // A caller that stops reading would hold its answer, or the endpoint that sends it, for good.
    let unread_ms = u32::try_from(idle_timeout.0).unwrap_or(u32::MAX);
    if let Err(e) = set_tcp_user_timeout(stream.socket(), unread_ms) {
        log::debug!("setting the timeout for unread answers failed: {e}");
    }
    let head_bytes = limits.map_or(16 << 10, |l| l.head_bytes).max(8 << 10);
    let state = (edge.clone(), stream.connection().clone());
    let service = service_fn(move |request| {
        let (edge, caller) = state.clone();
        async move { Ok::<_, Infallible>(request_proxy::handle(edge, caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout.to_std())
        .max_buf_size(head_bytes + (16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let period_over = accept_period_over(&edge, FIRST_REQUEST_TIME);
    let ended = tokio::select! {
        // A request that has arrived is read before the connection is closed as idle.
        biased;
        ended = connection.as_mut() => ended,
        () = period_over => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("caller's connection failed: {e}");
    }
}

/// Resolves when the node has been stopping for [`ACCEPT_AFTER_STOP`], but not within `least`
/// from now, and not before the runtime has looked at the sockets again.
fn accept_period_over(edge: &Rc<Edge>, least: Duration) -> impl Future<Output = ()> + use<> {
    let (edge, earliest) = (edge.clone(), Instant::now() + least);
    async move {
        let mut stopping = edge.stopping.subscribe();
        // Cannot fail: the sender lives as long as the node.
        let _ = stopping.wait_for(|s| *s).await;
        let stopped_at = edge.stopped_at.get().unwrap_or_else(Instant::now);
        sleep_until(earliest.max(stopped_at + ACCEPT_AFTER_STOP)).await;
        sleep(SOCKET_CHECK_TIME).await;
    }
}

/// Serves responses that depend on the path only. `what` names the client in log lines.
async fn serve_paths<F>(listener: TcpListener, what: &'static str, answer: F)
where
    F: Fn(&str) -> Response<ResponseBody> + Clone + 'static,
{
    loop {
        let (stream, _) = accept_connection(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = answer(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_CALLER_IDLE.to_std())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(e) = served {
                log::debug!("{what}'s connection failed: {e}");
            }
        });
    }
}

/// Answers the balancer's checks: 200 if the node is ready, 503 otherwise.
pub(crate) async fn accept_checks(edge: Rc<Edge>, listener: TcpListener) {
    let answer = move |_: &str| match edge.is_ready() {
        true => text_response(StatusCode::OK, ""),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
    };
    serve_paths(listener, "check", answer).await;
}

/// Serves this node's copy of the store's state to peers, and its metrics to operators.
pub(crate) async fn accept_peers(edge: Rc<Edge>, listener: TcpListener) {
    let answer = move |path: &str| match path {
        mesh::STATE_PATH => bytes_response(Bytes::from(mesh::encode_state(&edge))),
        "/metrics" => {
            let counts = edge.node_counts(BootClock.now());
            edge.metrics.nodes(counts.nodes as u64);
            edge.metrics.heard(counts.heard as u64);
            edge.metrics.owned(edge.held.borrow().len() as u64);
            bytes_response(Bytes::from(edge.exposition.text()))
        }
        _ => {
            let stream = path.strip_prefix(stream_store::STREAM_PATH);
            let origin = stream.and_then(|id| stream_store::encode_origin(&edge, id));
            origin.map_or_else(|| text_response(StatusCode::NOT_FOUND, ""), bytes_response)
        }
    };
    serve_paths(listener, "peer", answer).await;
}

fn bytes_response(body: Bytes) -> Response<ResponseBody> {
    Response::new(ResponseBody::Whole(Some(body), None))
}

pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Some(Bytes::from(text.to_owned())), None));
    *response.status_mut() = status;
    response
}
