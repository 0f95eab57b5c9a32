//! Bounds of the HTTP client that both roles use for endpoints, stores and peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sycamorefork::http_client::{HttpClient, HttpSettings, SendError, build_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

/// Largest body that the client accepts, in bytes.
const MAX_BODY: usize = 256 << 10;
/// Bytes that the client may have read when it gives an answer up, with what the sockets hold.
const MAX_READ: usize = MAX_BODY + (8 << 20);
/// Deadline of a call.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time within which an answer without end is given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(10);

/// Sends `start` and then `piece` without end to each caller; counts the bytes.
async fn send_without_end(
    start: &'static str,
    piece: &'static str,
) -> (HttpClientCall, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1 << 10];
        let _ = stream.read(&mut request).await;
        let piece = piece.repeat(1_000);
        let mut next = stream.write_all(start.as_bytes()).await;
        while next.is_ok() {
            count.fetch_add(piece.len(), Ordering::Relaxed);
            next = stream.write_all(piece.as_bytes()).await;
        }
    });
    let client = HttpClient::new(HttpSettings { max_body: MAX_BODY, ..HttpSettings::default() });
    (HttpClientCall { client, address }, written)
}

struct HttpClientCall {
    client: HttpClient,
    address: std::net::SocketAddr,
}

impl HttpClientCall {
    async fn fetch(&self) -> Result<usize, SendError> {
        let request = build_request(Method::GET, "/x", Bytes::new()).unwrap();
        let answer = self.client.fetch(self.address, request, Instant::now() + DEADLINE).await?;
        Ok(answer.body.len())
    }
}

// Informational responses and framing were read until the deadline of the call.
#[tokio::test]
async fn answers_without_end_are_given_up_in_every_part() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let manners = [
        ("no answer", "", "aaaa"),
        ("status line", "HTTP/1.1 200 ", "aaaa"),
        ("head of one line", "HTTP/1.1 200 OK\r\nX-Pad: ", "aaaa"),
        ("head of many lines", ok, "X-Pad: a\r\n"),
        ("informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("continue", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("body by length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "aaaa"),
        ("chunks", chunked, "4\r\naaaa\r\n"),
        ("small chunks", chunked, "1\r\na\r\n"),
        ("chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "aaaa"),
        ("chunk extensions", chunked, "1;x=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"),
        ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: a\r\n"),
        ("no framing", "HTTP/1.1 200 OK\r\n\r\n", "aaaa"),
    ];
    for (manner, start, piece) in manners {
        let (call, written) = send_without_end(start, piece).await;
        let answer = timeout(GIVEN_UP_WITHIN, call.fetch()).await;
        let written = written.load(Ordering::Relaxed);
        let answer = answer.unwrap_or_else(|_| panic!("{manner}: read on, {written} bytes"));
        assert!(matches!(answer, Err(SendError::Unknown(_))), "{manner}: {answer:?}");
        assert!(written < MAX_READ, "{manner}: {written} bytes");
    }
}

// Streams of small events are no answers without end.
#[tokio::test]
async fn bodies_in_chunks_of_a_byte_are_read_whole() {
    let body: String = "1\r\na\r\n".repeat(MAX_BODY / 2);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1 << 10];
        let _ = stream.read(&mut request).await;
        let head =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{body}0\r\n\r\n").as_bytes()).await;
    });
    let client = HttpClient::new(HttpSettings { max_body: MAX_BODY, ..HttpSettings::default() });
    let call = HttpClientCall { client, address };
    assert_eq!(call.fetch().await, Ok(MAX_BODY / 2));
}

/// Answers one call with a body without length, closes the connection regularly, and with
/// `ends` stops listening as a process does that ends.
async fn answer_without_length(ends: bool) -> Result<usize, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1 << 10];
        let _ = stream.read(&mut request).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nten bytes.").await.unwrap();
        drop(stream);
        (!ends).then_some(listener)
    });
    let call = HttpClientCall { client: HttpClient::new(HttpSettings::default()), address };
    let answer = call.fetch().await;
    drop(server.await.unwrap());
    answer
}

// The kernel of a process that is killed closes its connections as regularly as the process does at
// the end of such an answer.
#[tokio::test]
async fn answer_without_length_is_incomplete_if_its_endpoint_has_ended() {
    assert_eq!(answer_without_length(false).await, Ok(10));
    let answer = answer_without_length(true).await;
    assert!(matches!(answer, Err(SendError::Unknown(_))), "{answer:?}");
}
