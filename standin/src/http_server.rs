//! Minimal HTTP/1.1 server that can also violate the protocol deliberately.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A completely received request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    /// Query parameters by name, not decoded.
    pub query: HashMap<String, String>,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// A connection with a buffer for received data.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Last answer written by [`Connection::write_answer`].
    last_answer: Vec<u8>,
}

impl Connection {
    /// Reads the next request; `None` if the connection ended before a complete request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(mut request) = self.read_head().await? else { return Ok(None) };
        let length = request.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.read_more().await? {
                return Ok(None);
            }
        }
        request.body = self.buffer.drain(..length).collect();
        Ok(Some(request))
    }

    /// Reads the head of the next request and leaves its body unread; `None` if the connection
    /// ended before.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn read_head(&mut self) -> io::Result<Option<Request>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        Ok(Some(parse_head(&head)))
    }

    /// Reads more data into the buffer; `false` at the end of the connection.
    async fn read_more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4096];
        let n = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Writes bytes unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes an answer with `Content-Length`; each line of `headers` ends with CRLF.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_answer(
        &mut self,
        status: u16,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let head =
            format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.last_answer = [head.as_bytes(), body].concat();
        self.stream.write_all(&self.last_answer).await
    }

    /// Writes the last answer again, if there was one.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn repeat_answer(&mut self) -> io::Result<()> {
        let answer = std::mem::take(&mut self.last_answer);
        self.stream.write_all(&answer).await
    }

    /// Waits until the peer has closed the connection; data received before is kept.
    pub async fn wait_closed(&mut self) {
        while matches!(self.read_more().await, Ok(true)) {}
    }

    /// Resets the connection.
    pub fn reset(self) {
        // With zero linger the close discards unsent data and resets the connection.
        let _ = self.stream.set_zero_linger();
    }
}

fn parse_head(head: &str) -> Request {
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
    let header = |l: &str| {
        l.split_once(':').map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
    };
    Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        headers: lines.filter_map(header).collect(),
        body: Vec::new(),
    }
}

/// Ends a server as a crash of its process would.
#[derive(Clone, Debug)]
pub struct CrashSwitch(Arc<watch::Sender<bool>>);

impl Default for CrashSwitch {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }
}

impl CrashSwitch {
    /// Closes the listener and all connections.
    pub fn crash(&self) {
        self.0.send_replace(true);
    }

    /// Whether the server has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.0.borrow()
    }

    /// Resolves when the server crashes.
    pub async fn crashed(&self) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.0.subscribe().wait_for(|c| *c).await;
    }
}

/// A server that stops accepting connections when dropped.
#[derive(Debug)]
pub struct Server {
    /// Address of the listener.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server on a free loopback port that handles each connection in a separate task.
///
/// # Errors
///
/// Fails if no address can be bound.
pub async fn serve<F, Fut>(handle: F) -> io::Result<Server>
where
    F: Fn(Connection) -> Fut + Send + 'static,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    serve_until_crash(CrashSwitch::default(), handle).await
}

/// Starts a server that ends when `switch` is used; see [`serve`].
///
/// # Errors
///
/// Fails if no address can be bound.
pub async fn serve_until_crash<F, Fut>(switch: CrashSwitch, handle: F) -> io::Result<Server>
where
    F: Fn(Connection) -> Fut + Send + 'static,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let accept = async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = switch.crashed() => return,
            };
            let Ok((stream, _)) = accepted else { return };
            let handled =
                handle(Connection { stream, buffer: Vec::new(), last_answer: Vec::new() });
            let switch = switch.clone();
            tokio::spawn(async move {
                tokio::select! {
                    // A connection ends with its caller or its server; neither is an error here.
                    _ = handled => {}
                    () = switch.crashed() => {}
                }
            });
        }
    };
    Ok(Server { address, task: tokio::spawn(accept) })
}
