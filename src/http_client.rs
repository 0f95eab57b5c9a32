//! Small HTTP/1.1 client with pooled connections, deadlines and bounded bodies.
//!
//! A call that must not run twice needs to know whether any byte of it can have
//! reached the endpoint. The client therefore keeps its own pool over hyper's
//! connection interface, which hands an unsent request back, instead of a client
//! that hides on which connection and how far a request got.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::ids::Map;

/// Time that a pooled connection may take to become ready again.
const READY: Duration = Duration::from_millis(50);

/// Time that the rest of a finished answer may take to arrive.
const DRAIN: Duration = Duration::from_secs(1);

/// Body of a request.
pub type RequestBody = Full<Bytes>;

/// Bounds of a client.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Age at which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Idle connections kept per address.
    pub max_idle: usize,
    /// Largest answer body in bytes.
    pub max_body: usize,
    /// Time after which unacknowledged bytes break a connection, if it is bounded.
    pub unacked_timeout: Option<Duration>,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
            max_body: 4 << 20,
            unacked_timeout: None,
        }
    }
}

/// Why no answer arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written.
    Unsent(String),
    /// The request may have been received.
    Unknown(String),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

/// A connection; dropping it closes the socket at once.
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Shared {
    settings: HttpSettings,
    /// Idle connections with the instants until which they may be used.
    idle: Mutex<Map<SocketAddr, Vec<(Conn, Instant)>>>,
}

/// Cloneable client that shares one pool.
#[derive(Clone)]
pub struct HttpClient(Arc<Shared>);

impl HttpClient {
    /// A client with an empty pool.
    pub fn new(settings: HttpSettings) -> Self {
        Self(Arc::new(Shared { settings, idle: Mutex::default() }))
    }

    /// The bounds of this client.
    pub fn settings(&self) -> &HttpSettings {
        &self.0.settings
    }

    /// Sends a request and waits for the head of its answer until `deadline`.
    ///
    /// A request that a stale pooled connection hands back unsent moves to
    /// another connection.
    ///
    /// # Errors
    /// Says whether the request may have been received.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, SendError> {
        set_host(addr, &mut request);
        while let Some(mut conn) = self.take(addr) {
            if !matches!(timeout(READY, conn.sender.ready()).await, Ok(Ok(()))) {
                continue;
            }
            match self.exchange(addr, conn, request, deadline).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        self.send_fresh(addr, request, deadline).await
    }

    /// Sends a request on a new connection; see [`HttpClient::send`].
    ///
    /// # Errors
    /// Says whether the request may have been received.
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, SendError> {
        set_host(addr, &mut request);
        let until = deadline.min(Instant::now() + self.0.settings.connect_timeout);
        let conn = match timeout_at(until, connect(addr, self.0.settings.unacked_timeout)).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(reason)) => return Err(SendError::Unsent(reason)),
            Err(_) => return Err(SendError::Unsent(format!("{addr}: connect timed out"))),
        };
        self.exchange(addr, conn, request, deadline).await.map_err(|(error, _)| error)
    }

    /// Sends a request and reads its whole answer until `deadline`.
    ///
    /// # Errors
    /// Says whether the request may have been received.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<FullResponse, SendError> {
        let answer = self.send(addr, request, deadline).await?;
        answer.read_to_end(deadline).await.map_err(SendError::Unknown)
    }

    /// Closes all idle connections to an address.
    pub fn purge(&self, addr: SocketAddr) {
        self.0.idle.lock().unwrap().remove(&addr);
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, (SendError, Option<Request<Full<Bytes>>>)> {
        match timeout_at(deadline, conn.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let (status, headers) = (head.status, head.headers);
                let (conn, client, idle) = (Some(conn), self.clone(), self.0.settings.idle_timeout);
                Ok(IncomingResponse { status, headers, body, conn, client, addr, idle })
            }
            // Hyper returns the request only when it never started to write it.
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) => {
                    let reason = format!("{addr}: {}", error.into_error());
                    Err((SendError::Unsent(reason), Some(unsent)))
                }
                None => {
                    let reason = format!("{addr}: {}", error.into_error());
                    Err((SendError::Unknown(reason), None))
                }
            },
            Err(_) => {
                // Connections opened earlier may be silent as well.
                self.purge(addr);
                Err((SendError::Unknown(format!("{addr}: no answer in time")), None))
            }
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.0.idle.lock().unwrap();
        let list = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some((conn, until)) = list.pop() {
            if now < until && !conn.sender.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    fn give_back(&self, addr: SocketAddr, conn: Conn, idle: Duration) {
        if conn.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let mut all = self.0.idle.lock().unwrap();
        let list = all.entry(addr).or_default();
        list.retain(|(conn, until)| now < *until && !conn.sender.is_closed());
        if list.len() < self.0.settings.max_idle {
            list.push((conn, now + idle));
        }
    }

    /// Closes connections whose idle time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut all = self.0.idle.lock().unwrap();
        for list in all.values_mut() {
            list.retain(|(conn, until)| now < *until && !conn.sender.is_closed());
        }
        all.retain(|_, list| !list.is_empty());
    }
}

/// Names the address as the host, unless the request names one.
fn set_host(addr: SocketAddr, request: &mut Request<Full<Bytes>>) {
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
}

async fn connect(addr: SocketAddr, unacked: Option<Duration>) -> Result<Conn, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| format!("{addr}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| format!("{addr}: {e}"))?;
    if let Some(unacked) = unacked {
        let ms = u32::try_from(unacked.as_millis()).unwrap_or(u32::MAX);
        // Without the bound a silent connection is found by the deadlines alone.
        if let Err(e) = rustix::net::sockopt::set_tcp_user_timeout(&stream, ms) {
            log::debug!("{addr}: no bound on unacknowledged bytes: {e}");
        }
    }
    let (sender, conn) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| format!("{addr}: {e}"))?;
    // Errors of the connection reach the request that waits for its answer.
    let task = tokio::spawn(async move { drop(conn.await) });
    Ok(Conn { sender, task })
}

/// An answer whose body was read to its end.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Head of an answer, with the body still to be read.
///
/// Dropping it before the end closes the connection.
pub struct IncomingResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    conn: Option<Conn>,
    client: HttpClient,
    addr: SocketAddr,
    idle: Duration,
}

impl IncomingResponse {
    /// Sets how long the connection may be idle after this answer.
    pub fn set_idle_timeout(&mut self, idle: Duration) {
        self.idle = idle;
    }

    /// Polls the next piece of the body; `None` at its regular end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, String>>> {
        loop {
            return match std::pin::Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(e))) => {
                    self.conn = None;
                    Poll::Ready(Some(Err(format!("{}: {e}", self.addr))))
                }
                Poll::Ready(None) => {
                    if let Some(conn) = self.conn.take() {
                        self.client.give_back(self.addr, conn, self.idle);
                    }
                    Poll::Ready(None)
                }
            };
        }
    }

    /// Reads the next piece of the body; `None` at its regular end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Reads the body to its end, within the client's bound and until `deadline`.
    ///
    /// # Errors
    /// Gives the reason why the body is not complete.
    pub async fn read_to_end(mut self, deadline: Instant) -> Result<FullResponse, String> {
        let limit = self.client.0.settings.max_body;
        let mut body = BytesMut::new();
        loop {
            let Ok(chunk) = timeout_at(deadline, self.chunk()).await else {
                self.client.purge(self.addr);
                return Err(format!("{}: answer incomplete in time", self.addr));
            };
            match chunk {
                Some(Ok(data)) if body.len() + data.len() <= limit => body.extend_from_slice(&data),
                Some(Ok(_)) => return Err(format!("{}: answer over {limit} bytes", self.addr)),
                Some(Err(reason)) => return Err(reason),
                None => break,
            }
        }
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        Ok(FullResponse { status, headers, body: body.freeze() })
    }

    /// Closes this connection and the idle ones to the same address.
    pub fn discard(self) {
        self.client.purge(self.addr);
    }

    /// Reads the rest in the background, so that the connection can be used again.
    pub fn drain(mut self) {
        tokio::spawn(timeout(DRAIN, async move { while let Some(Ok(_)) = self.chunk().await {} }));
    }
}

/// Builds a request with a body; the path must be in origin form.
///
/// # Errors
/// Gives the reason when the path is not valid.
pub fn build_request(
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, String> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|e| format!("path {path:?}: {e}"))
}

/// Percent-encodes all bytes except unreserved characters and those in `keep`.
pub fn percent_encode(text: &str, keep: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                out.push(char::from(b));
            }
            _ if keep.as_bytes().contains(&b) => out.push(char::from(b)),
            _ => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

/// Longest wait for a connection that is to tell whether a process has ended.
const PROBE: Duration = Duration::from_millis(500);

/// Whether an address refuses connections.
pub(crate) async fn refuses(addr: SocketAddr) -> bool {
    let connect = timeout(PROBE, TcpStream::connect(addr)).await;
    matches!(connect, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
