//! Listeners of a node: callers, the balancer's checks, peers and operators.

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
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::edge::Edge;
use crate::error::{Error, Result};
use crate::request_proxy::IDLE;
use crate::response_body::AnswerBody;
use crate::time::{BootClock, Clock};
use crate::{mesh, request_proxy};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time until the balancer has noticed that a node stops: two checks, a second apart.
const NOTICED: Duration = Duration::from_millis(2_200);

/// Listens on an address.
///
/// # Errors
/// The address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let io = |e| Error::io(&address.to_string(), e);
    let socket = TcpSocket::new_v4().map_err(io)?;
    socket.set_reuseaddr(true).map_err(io)?;
    socket.bind(address).map_err(io)?;
    socket.listen(BACKLOG).map_err(io)
}

async fn next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Accepts callers, while the node runs and until the balancer has noticed its stop.
pub(crate) async fn accept(edge: Rc<Edge>, listener: TcpListener) {
    let stopped = stopped(&edge);
    tokio::pin!(stopped);
    loop {
        let stream = tokio::select! {
            stream = next(&listener) => stream,
            () = &mut stopped => return,
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("caller: {e}");
        }
        tokio::task::spawn_local(serve(edge.clone(), stream));
    }
}

async fn serve(edge: Rc<Edge>, stream: TcpStream) {
    let limits = edge.routing.borrow().limits;
    let idle = limits.map_or(IDLE, |l| l.idle_timeout);
    let head = limits.map_or(16 << 10, |l| l.head_bytes).max(8 << 10);
    let state = edge.clone();
    let service = service_fn(move |request| {
        let edge = state.clone();
        async move { Ok::<_, Infallible>(request_proxy::handle(edge, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.to_std())
        .max_buf_size(head + (16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = stopped(&edge);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("caller: {e}");
    }
}

/// Resolves when the node has been stopping for [`NOTICED`].
fn stopped(edge: &Edge) -> impl Future<Output = ()> + use<> {
    let mut stopping = edge.stopping.subscribe();
    async move {
        // The sender lives as long as the node.
        let _ = stopping.wait_for(|s| *s).await;
        sleep(NOTICED).await;
    }
}

/// Serves requests that are answered at once, without the request path.
async fn accept_simple<F>(listener: TcpListener, what: &'static str, answer: F)
where
    F: Fn(&str) -> Response<AnswerBody> + Clone + 'static,
{
    loop {
        let stream = next(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = answer(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE.to_std())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(e) = served {
                log::debug!("{what}: {e}");
            }
        });
    }
}

/// Answers the balancer's checks.
pub(crate) async fn accept_checks(edge: Rc<Edge>, listener: TcpListener) {
    let answer = move |_: &str| match edge.ready() {
        true => plain(StatusCode::OK, ""),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
    };
    accept_simple(listener, "check", answer).await;
}

/// Answers peers and operators: what this node knows from the store, and its metrics.
pub(crate) async fn accept_peers(edge: Rc<Edge>, listener: TcpListener) {
    let answer = move |path: &str| match path {
        mesh::STATE_PATH => bytes(Bytes::from(mesh::encode_state(&edge))),
        "/metrics" => {
            let reach = edge.node_counts(BootClock.now());
            edge.metrics.nodes(reach.nodes as u64);
            edge.metrics.heard(reach.heard as u64);
            edge.metrics.owned(edge.held.borrow().len() as u64);
            bytes(Bytes::from(edge.exposition.text()))
        }
        _ => plain(StatusCode::NOT_FOUND, ""),
    };
    accept_simple(listener, "peer", answer).await;
}

fn bytes(body: Bytes) -> Response<AnswerBody> {
    Response::new(AnswerBody::Whole(Some(body), None))
}

pub(crate) fn plain(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::from(text.to_owned())), None));
    *response.status_mut() = status;
    response
}
