//! Sends requests as callers do and reads the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::node::Node;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the team `studio`.
pub const KEY: &str = "key-studio";
/// Longest wait for an answer or a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(8);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` if the condition does not hold in time.
pub async fn wait_until<F, Fut>(what: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let end = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// An answer as received.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Body as received; in a chunked body CRLFs are removed and chunk sizes remain.
    pub body: String,
    /// Whether the body is complete.
    pub whole: bool,
}

/// Sends bytes on a new connection and reads one answer; `None` on an error or timeout.
pub async fn exchange(to: SocketAddr, request: &[u8]) -> Option<Answer> {
    timeout(WAIT_LIMIT, async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_answer(&mut stream).await
    })
    .await
    .ok()?
}

/// Reads one answer; `None` if the connection ends before the end of its head.
pub async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, &mut bytes).await {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    bytes.drain(..head);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let pair = |l: &str| {
        Some((l.split_once(':')?.0.to_ascii_lowercase(), l.split_once(':')?.1.trim().to_owned()))
    };
    let headers: HashMap<String, String> = text.split("\r\n").skip(1).filter_map(pair).collect();
    let chunked = headers.contains_key("transfer-encoding");
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let done = |bytes: &[u8]| match chunked {
        true => bytes.ends_with(b"0\r\n\r\n"),
        false => bytes.len() >= length,
    };
    while !done(&bytes) && read_more(stream, &mut bytes).await {}
    let whole = done(&bytes);
    let raw = String::from_utf8_lossy(&bytes).into_owned();
    let body = if chunked { raw.replace("\r\n", "") } else { raw };
    Some(Answer { status, headers, body, whole })
}

/// Events of a stream as received.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Status code; 0 if no answer began.
    pub status: u16,
    /// Seal of the endpoint that answered; empty if there is none.
    pub seal: String,
    /// Ids of the complete events.
    pub ids: Vec<u64>,
    /// Whether the stream is complete.
    pub whole: bool,
}

/// Sends bytes on a new connection and reads a stream of events until it ends or breaks.
pub async fn read_events(to: SocketAddr, request: &[u8]) -> Events {
    let mut bytes = Vec::new();
    let read = async {
        let Ok(mut stream) = TcpStream::connect(to).await else { return };
        if stream.write_all(request).await.is_ok() {
            while !bytes.ends_with(b"0\r\n\r\n") && read_more(&mut stream, &mut bytes).await {}
        }
    };
    // What has arrived by then counts.
    let _ = timeout(WAIT_LIMIT, read).await;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let seal = head
        .lines()
        .find_map(|l| l.to_ascii_lowercase().strip_prefix("x-server-seal: ").map(str::to_owned));
    let body = body.replace("\r\n", "");
    let events = body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
    let id = |e: &str| e.split_once("id: ")?.1.split_once('\n')?.0.parse().ok();
    Events {
        status: head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0),
        seal: seal.unwrap_or_default(),
        ids: events.filter_map(id).collect(),
        whole: bytes.ends_with(b"0\r\n\r\n"),
    }
}

/// Appends received bytes to `bytes`; `false` at the end of the connection.
async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk).await {
        Ok(n) if n > 0 => {
            bytes.extend_from_slice(&chunk[..n]);
            true
        }
        _ => false,
    }
}

/// A request of a caller.
pub struct CallerRequest<'a> {
    /// Method and path.
    pub line: &'a str,
    /// Attempt id.
    pub attempt: &'a str,
    /// Additional headers, each with its line ending.
    pub headers: String,
    /// Time that the caller waits, in ms.
    pub deadline_ms: u32,
    /// Body.
    pub body: &'a str,
}

impl<'a> CallerRequest<'a> {
    /// Creates a request with the key of the team `studio` and an empty body.
    pub fn new(line: &'a str, attempt: &'a str) -> Self {
        let headers = format!("Authorization: Token {KEY}\r\n");
        Self { line, attempt, headers, deadline_ms: 4_000, body: "" }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Encodes the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { line, attempt, headers, deadline_ms, body } = self;
        format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Sends the request to a node on a new connection.
    ///
    /// # Panics
    ///
    /// Panics if no answer arrives.
    pub async fn send(&self, node: &Node) -> Answer {
        exchange(node.addresses.frontend, &self.bytes()).await.expect("an answer")
    }
}
