//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and the reading of
//! requests and answers.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// A message: its first line, its headers with names in lowercase, and its body.
#[derive(Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.word(1);
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// A field of the query, without percent-encoding.
    pub fn query(&self, name: &str) -> String {
        let query = self.word(1).split_once('?').map_or("", |(_, query)| query);
        let fields = query.split('&').filter_map(|f| f.split_once('='));
        let found = fields.filter(|(n, _)| *n == name).map(|(_, v)| decoded(v)).next();
        found.unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let code = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        Ok(Self::new(stream))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Moves `n` bytes to `body`; false if the connection ended before.
    fn take(&mut self, n: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.ahead.len() < n {
            if self.more()? == 0 {
                body.append(&mut self.ahead);
                return Ok(false);
            }
        }
        body.extend(self.ahead.drain(..n));
        Ok(true)
    }

    /// Reads a message; `None` if the connection ended before its head was complete. The body of
    /// an answer without a length ends with the connection.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message.headers.insert(name.to_lowercase(), value.trim().to_owned());
                }
            }
        }
        let mut body = Vec::new();
        message.whole = if message.header("transfer-encoding").contains("chunked") {
            self.read_chunks(&mut body)?
        } else if let Ok(length) = message.header("content-length").parse() {
            self.take(length, &mut body)?
        } else if is_answer {
            while self.more()? > 0 {}
            body.append(&mut self.ahead);
            true
        } else {
            true
        };
        message.body = body;
        Ok(Some(message))
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(size) = self.line()? else { return Ok(false) };
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Ok(false) };
            if !self.take(size, body)? {
                return Ok(false);
            }
            // The line end after the chunk, or after the last one.
            if self.line()?.is_none() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }

    /// Writes an answer with a length; each line of `headers` ends with CRLF.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.stream.write_all((head + body).as_bytes())
    }
}

/// Ends a server: it accepts nothing more, and its connections close.
#[derive(Clone, Default)]
pub struct Switch(Arc<(AtomicBool, Mutex<Vec<TcpStream>>)>);

impl Switch {
    pub fn end(&self) {
        self.0.0.store(true, Ordering::SeqCst);
        for stream in self.0.1.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.0.0.load(Ordering::SeqCst)
    }
}

/// Serves connections, each in a thread of its own, until the switch ends the server.
pub fn serve(
    listener: TcpListener,
    switch: Switch,
    handle: impl Fn(&mut Connection, Message) -> io::Result<()> + Clone + Send + 'static,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !switch.has_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                switch.0.1.lock().unwrap().push(copy);
            }
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read(false) {
                    if handle(&mut connection, request).is_err() {
                        break;
                    }
                }
                let _ = connection.stream.shutdown(Shutdown::Both);
            });
        }
    });
}
