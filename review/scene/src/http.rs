//! HTTP/1.1 over blocking sockets, one thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let b = text.as_bytes();
    let mut i = 0;
    while i < b.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (b[i], hex) {
            (b'%', Some(c)) => {
                out.push(c);
                i += 3;
            }
            (c, _) => {
                out.push(c);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(r: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if r.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (k, v) = line.split_once(':')?;
        headers.insert(k.to_ascii_lowercase(), v.trim().to_owned());
    }
}

fn read_body(r: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if r.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let n = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut piece = vec![0; n + 2];
            r.read_exact(&mut piece).ok()?;
            if n == 0 {
                return Some(body);
            }
            body.extend_from_slice(&piece[..n]);
        }
    }
    let n = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; n];
    r.read_exact(&mut body).ok()?;
    Some(body)
}

/// Server side of a connection.
pub struct Conn {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Conn {
    pub fn request(&mut self) -> Option<Request> {
        let (line, headers) = read_headers(&mut self.reader)?;
        let mut words = line.split(' ');
        let (_method, target) = (words.next()?, words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (unescape(k), unescape(v)))
            .collect();
        let body = read_body(&mut self.reader, &headers)?;
        Some(Request { path: path.to_owned(), query, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> bool {
        let mut out = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }
}

/// Serves connections, each with a call of `handle` in a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("bind");
    let bound = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else { continue };
            std::thread::spawn(move || handle(Conn { reader: BufReader::new(copy), stream }));
        }
    });
    bound
}

/// An answer as a client saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub whole: bool,
}

/// Client side of a kept connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { reader, stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads an answer; `None` if the connection ended before its head.
    pub fn answer(&mut self) -> Option<Answer> {
        let (line, headers) = read_headers(&mut self.reader)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        match read_body(&mut self.reader, &headers) {
            Some(body) => Some(Answer { status, body, whole: true }),
            None => Some(Answer { status, body: Vec::new(), whole: false }),
        }
    }
}
