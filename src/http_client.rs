//! HTTP/1.1 client with pooled connections, deadlines and bounded bodies.
//!
//! A request that must not run twice may be retried only if no byte of it can have
//! reached the endpoint. The client therefore keeps its own pool of hyper connections,
//! which return unsent requests; a higher-level client would hide which connection a
//! request used and how much of it was written.

use std::future::Future;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::connection::{Connection, connect, refuses_connections};
use crate::ids::Map;

/// Time limit for a pooled connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time limit for reading the rest of a finished answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes read of the rest of a finished answer.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Time after the end of a process within which all of its sockets are closed.
const END_VISIBLE_AFTER: Duration = Duration::from_millis(20);

/// Statuses of final responses. After 101, the connection would not carry HTTP any more.
const ANSWER_STATUSES: Range<u16> = 200..600;

/// Size of a response that is read even if [`HttpSettings::max_buffered`] is reached.
pub const SMALL_BODY: usize = 64 << 10;

/// Request body.
pub type RequestBody = Full<Bytes>;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections per address.
    pub max_idle: usize,
    /// Maximum response body in bytes.
    pub max_body: usize,
    /// Bytes that all responses being read to their end may take together. Beyond that, only
    /// responses up to [`SMALL_BODY`] are still read.
    pub max_buffered: usize,
    /// Time after which a connection with unacknowledged bytes fails; `None` for the
    /// system's default.
    pub unacked_timeout: Option<Duration>,
    /// Size of the receive buffers, in bytes; `None` for the system's default.
    pub receive_buffer: Option<usize>,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
            max_body: 4 << 20,
            max_buffered: 128 << 20,
            unacked_timeout: None,
            receive_buffer: None,
        }
    }
}

/// Reason why no response arrived.
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

struct ClientShared {
    settings: HttpSettings,
    /// Bytes of the responses that are being read to their end.
    buffered: AtomicUsize,
    /// Idle connections with the times until which they may be used.
    idle: Mutex<Map<SocketAddr, Vec<(Connection, Instant)>>>,
}

/// HTTP client; clones share one connection pool.
#[derive(Clone)]
pub struct HttpClient(Arc<ClientShared>);

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new(settings: HttpSettings) -> Self {
        let (buffered, idle) = Default::default();
        Self(Arc::new(ClientShared { settings, buffered, idle }))
    }

    /// Limits of this client.
    pub fn settings(&self) -> &HttpSettings {
        &self.0.settings
    }

    /// Sends a request and waits for the head of the response until `deadline`.
    ///
    /// If a stale pooled connection returns the request unsent, it is sent on another
    /// connection.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, SendError> {
        self.send_if(addr, request, deadline, || true).await
    }

    /// Sends a request if `allowed` still holds once a connection is at hand, which may take
    /// long in a process that is paused; see [`HttpClient::send`].
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        allowed: impl Fn() -> bool,
    ) -> Result<IncomingResponse, SendError> {
        set_host(addr, &mut request);
        while let Some(mut conn) = self.take_idle(addr) {
            if !matches!(timeout(READY_TIMEOUT, conn.sender.ready()).await, Ok(Ok(()))) {
                continue;
            }
            if !allowed() {
                return Err(not_allowed(addr));
            }
            match self.send_on(addr, conn, request, deadline).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        self.send_fresh_if(addr, request, deadline, allowed).await
    }

    /// Sends a request on a new connection; see [`HttpClient::send`].
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, SendError> {
        self.send_fresh_if(addr, request, deadline, || true).await
    }

    /// Sends a request on a new connection if `allowed` still holds once it is established; see
    /// [`HttpClient::send`].
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn send_fresh_if(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        allowed: impl Fn() -> bool,
    ) -> Result<IncomingResponse, SendError> {
        set_host(addr, &mut request);
        let until = deadline.min(Instant::now() + self.0.settings.connect_timeout);
        let conn = match timeout_at(until, connect(addr, self.settings())).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(reason)) => return Err(SendError::Unsent(reason)),
            Err(_) => return Err(SendError::Unsent(format!("{addr}: connect timed out"))),
        };
        if !allowed() {
            return Err(not_allowed(addr));
        }
        self.send_on(addr, conn, request, deadline).await.map_err(|(error, _)| error)
    }

    /// Sends a request on a new connection and reads the complete response until `deadline`.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn fetch_fresh(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<FullResponse, SendError> {
        let answer = self.send_fresh(addr, request, deadline).await?;
        answer.read_to_end(deadline).await.map_err(SendError::Unknown)
    }

    /// Sends a request and reads the complete response until `deadline`.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<FullResponse, SendError> {
        self.fetch_if(addr, request, deadline, || true).await
    }

    /// Sends a request if `allowed` still holds once a connection is at hand, and reads the
    /// complete response until `deadline`; see [`HttpClient::send_if`].
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn fetch_if(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        allowed: impl Fn() -> bool,
    ) -> Result<FullResponse, SendError> {
        let answer = self.send_if(addr, request, deadline, allowed).await?;
        answer.read_to_end(deadline).await.map_err(SendError::Unknown)
    }

    /// Whether the server at an address has ended, shortly after it closed a connection: it has
    /// then closed the others as well, and refuses new ones.
    async fn has_ended(&self, addr: SocketAddr) -> bool {
        sleep(END_VISIBLE_AFTER).await;
        let is_open = self
            .0
            .idle
            .lock()
            .unwrap()
            .get(&addr)
            .is_some_and(|list| list.iter().any(|(conn, _)| !conn.sender.is_closed()));
        !is_open && refuses_connections(addr).await
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.0.idle.lock().unwrap().remove(&addr);
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut conn: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse, (SendError, Option<Request<Full<Bytes>>>)> {
        conn.meter.restart();
        match timeout_at(deadline, conn.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let (status, headers) = (head.status, head.headers);
                if !ANSWER_STATUSES.contains(&status.as_u16()) {
                    let reason = format!("{addr}: {status} is not the status of an answer");
                    return Err((SendError::Unknown(reason), None));
                }
                let (conn, client, idle) = (Some(conn), self.clone(), self.0.settings.idle_timeout);
                let (reusable, end_check) = (true, None);
                let unframed = !headers.contains_key(header::CONTENT_LENGTH)
                    && !headers.contains_key(header::TRANSFER_ENCODING)
                    && !body.is_end_stream();
                Ok(IncomingResponse {
                    status,
                    headers,
                    body,
                    conn,
                    client,
                    addr,
                    idle,
                    reusable,
                    unframed,
                    end_check,
                })
            }
            // Hyper returns the request only if it has not started to write it.
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
                // Pooled connections to the address may be silent as well.
                self.close_idle(addr);
                Err((SendError::Unknown(format!("{addr}: no response before the deadline")), None))
            }
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
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

    fn return_idle(&self, addr: SocketAddr, conn: Connection, idle: Duration) {
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

    /// Closes pooled connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut all = self.0.idle.lock().unwrap();
        for list in all.values_mut() {
            list.retain(|(conn, until)| now < *until && !conn.sender.is_closed());
        }
        all.retain(|_, list| !list.is_empty());
    }
}

fn not_allowed(addr: SocketAddr) -> SendError {
    SendError::Unsent(format!("{addr}: the permission to send has run out"))
}

/// Body of a response that is being read, counted in [`ClientShared::buffered`].
struct BodyBuffer {
    bytes: BytesMut,
    client: HttpClient,
}

impl BodyBuffer {
    /// Appends a piece.
    ///
    /// # Errors
    /// Returns the limit that the body exceeds.
    fn push(&mut self, piece: &[u8]) -> Result<(), String> {
        let HttpSettings { max_body, max_buffered, .. } = self.client.0.settings;
        let size = self.bytes.len() + piece.len();
        if size > max_body {
            return Err(format!("response exceeds {max_body} bytes"));
        }
        let others = self.client.0.buffered.fetch_add(piece.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(piece);
        if others + piece.len() > max_buffered && size > SMALL_BODY {
            return Err(format!("responses exceed {max_buffered} bytes together"));
        }
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        self.client.0.buffered.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.client.0.buffered.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// Sets the `Host` header to the address unless the request has one.
fn set_host(addr: SocketAddr, request: &mut Request<Full<Bytes>>) {
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A response whose body is still to be read.
///
/// Dropping it before the end of the body closes the connection.
pub struct IncomingResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    conn: Option<Connection>,
    client: HttpClient,
    addr: SocketAddr,
    idle: Duration,
    /// Whether the connection may carry another request.
    reusable: bool,
    /// Whether only the end of the connection ends the body, and it has not been checked.
    unframed: bool,
    /// Checks at the end of an unframed body whether the server has ended.
    end_check: Option<JoinHandle<bool>>,
}

impl IncomingResponse {
    /// Whether only the end of the connection ends the body.
    pub fn is_unframed(&self) -> bool {
        self.unframed
    }

    /// Closes the connection after this response instead of reusing it.
    pub fn discard_connection(&mut self) {
        self.reusable = false;
    }

    /// Sets how long the connection may be idle after this response.
    pub fn set_idle_timeout(&mut self, idle: Duration) {
        self.idle = idle;
    }

    /// Polls for the next piece of the body; `None` at its regular end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, String>>> {
        loop {
            return match std::pin::Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        if let Some(conn) = &self.conn {
                            conn.meter.on_body(data.len());
                        }
                        Poll::Ready(Some(Ok(data)))
                    }
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(e))) => {
                    self.conn = None;
                    Poll::Ready(Some(Err(format!("{}: {e}", self.addr))))
                }
                Poll::Ready(None) => {
                    if std::task::ready!(self.poll_server_ended(cx)) {
                        self.conn = None;
                        let reason = "the server has ended during a response without a length";
                        return Poll::Ready(Some(Err(format!("{}: {reason}", self.addr))));
                    }
                    if let Some(conn) = self.conn.take().filter(|_| self.reusable) {
                        self.client.return_idle(self.addr, conn, self.idle);
                    }
                    Poll::Ready(None)
                }
            };
        }
    }

    /// Polls whether the server has ended, which closes an unframed body as its own end does.
    fn poll_server_ended(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if !self.unframed {
            return Poll::Ready(false);
        }
        let (client, addr) = (&self.client, self.addr);
        let check = self.end_check.get_or_insert_with(|| {
            let client = client.clone();
            tokio::spawn(async move { client.has_ended(addr).await })
        });
        let ended = std::task::ready!(std::pin::Pin::new(check).poll(cx));
        self.unframed = false;
        // A check that cannot be completed shows nothing.
        Poll::Ready(ended.unwrap_or(false))
    }

    /// Reads the next piece of the body; `None` at its regular end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Reads the rest of the body until `deadline`, up to the client's maximum size.
    ///
    /// # Errors
    /// Returns the reason why the body is incomplete.
    pub async fn read_to_end(mut self, deadline: Instant) -> Result<FullResponse, String> {
        let mut body = BodyBuffer { bytes: BytesMut::new(), client: self.client.clone() };
        loop {
            let Ok(chunk) = timeout_at(deadline, self.chunk()).await else {
                self.client.close_idle(self.addr);
                return Err(format!("{}: response incomplete at the deadline", self.addr));
            };
            match chunk {
                Some(Ok(data)) => {
                    body.push(&data).map_err(|reason| format!("{}: {reason}", self.addr))?;
                }
                Some(Err(reason)) => return Err(reason),
                None => break,
            }
        }
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        Ok(FullResponse { status, headers, body: body.finish() })
    }

    /// Closes all pooled connections to the same address.
    pub fn close_pooled(&self) {
        self.client.close_idle(self.addr);
    }

    /// Reads the rest of the body in the background, so that the connection can be reused.
    pub fn drain(mut self) {
        tokio::spawn(timeout(DRAIN_TIMEOUT, async move {
            let mut drained = 0;
            while let Some(Ok(data)) = self.chunk().await {
                drained += data.len();
                if drained > MAX_DRAINED_BYTES {
                    return;
                }
            }
        }));
    }
}

/// Builds a request; the path must be in origin form.
///
/// # Errors
/// Returns the reason why the path is invalid.
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
