//! Parser of server-sent events, for the subset that model engines send.

use bytes::{Buf, Bytes, BytesMut};

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    scanned: usize,
    data: Option<BytesMut>,
}

impl SseParser {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held back until an event is complete.
    pub fn held(&self) -> usize {
        self.buffer.len() + self.data.as_ref().map_or(0, BytesMut::len)
    }

    /// The data of the next complete event.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let Some(at) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let mut line = self.buffer.split_to(self.scanned + at + 1);
            self.scanned = 0;
            line.truncate(line.len() - 1);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.is_empty() {
                match self.data.take() {
                    Some(data) => return Some(data.freeze()),
                    None => continue,
                }
            }
            // Comments and the fields event, id and retry are not used.
            if !line.starts_with(b"data:") {
                continue;
            }
            line.advance(b"data:".len());
            if line.first() == Some(&b' ') {
                line.advance(1);
            }
            match &mut self.data {
                None => self.data = Some(line),
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(&line);
                }
            }
        }
    }
}
