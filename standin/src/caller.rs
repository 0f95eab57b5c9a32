//! Requests of callers, and their answers as they arrive.

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
/// Longest wait for something that must happen.
pub const SOON: Duration = Duration::from_secs(8);

/// Waits until a condition holds.
pub async fn wait_until<F, Fut>(what: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let end = Instant::now() + SOON;
    while !condition().await {
        assert!(Instant::now() < end, "waited too long until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// Body as received; chunks are joined.
    pub body: String,
    /// The body reached its end.
    pub whole: bool,
}

/// Sends bytes on a new connection and reads one answer.
pub async fn exchange(to: SocketAddr, request: &[u8]) -> Option<Answer> {
    timeout(SOON, async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_answer(&mut stream).await
    })
    .await
    .ok()?
}

/// Reads one answer; none if the connection ends before its head.
pub async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !more(stream, &mut bytes).await {
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
    while !done(&bytes) && more(stream, &mut bytes).await {}
    let whole = done(&bytes);
    let raw = String::from_utf8_lossy(&bytes).into_owned();
    let body = if chunked { raw.replace("\r\n", "") } else { raw };
    Some(Answer { status, headers, body, whole })
}

async fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
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
    /// Attempt.
    pub attempt: &'a str,
    /// Further headers, each with its line end.
    pub headers: String,
    /// Body.
    pub body: &'a str,
}

impl<'a> CallerRequest<'a> {
    /// A request with the team's key.
    pub fn new(line: &'a str, attempt: &'a str) -> Self {
        let headers = format!("Authorization: Token {KEY}\r\n");
        Self { line, attempt, headers, body: "" }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// The request's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { line, attempt, headers, body } = self;
        format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 4000\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Sends it to a node.
    pub async fn send(&self, node: &Node) -> Answer {
        exchange(node.addresses.frontend, &self.bytes()).await.expect("an answer")
    }
}
