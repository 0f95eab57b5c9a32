//! Bounds what a server may send beside the body of its response.
//!
//! A head without end is bounded by the parser's buffer and a body by its reader. Neither sees
//! responses that precede the final one, or the framing of a body. The stream below counts all
//! bytes that are read, and fails once too few of them were part of a body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of a response that need not be part of its body.
pub(crate) const MAX_OVERHEAD: usize = 128 << 10;
/// Bytes of framing for each byte of a body, as in chunks of a single byte.
const MAX_FRAMING: usize = 8;

/// Bytes of the responses on a connection since its last request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadMeter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    read: AtomicUsize,
    body: AtomicUsize,
}

impl ReadMeter {
    /// Starts to count for the next request.
    pub(crate) fn restart(&self) {
        self.0.read.store(0, Ordering::Relaxed);
        self.0.body.store(0, Ordering::Relaxed);
    }

    /// Counts bytes of a body.
    pub(crate) fn on_body(&self, bytes: usize) {
        self.0.body.fetch_add(bytes, Ordering::Relaxed);
    }

    fn on_read(&self, bytes: usize) {
        self.0.read.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Fails if the server has sent too much beside the body.
    fn check(&self) -> io::Result<()> {
        let body = self.0.body.load(Ordering::Relaxed);
        let allowed = MAX_OVERHEAD.saturating_add(body.saturating_mul(1 + MAX_FRAMING));
        match self.0.read.load(Ordering::Relaxed) <= allowed {
            true => Ok(()),
            false => Err(io::Error::other(format!(
                "response exceeds {MAX_OVERHEAD} bytes beside {body} of its body"
            ))),
        }
    }
}

/// A connection whose reads are counted and bounded.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    meter: ReadMeter,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.meter.check()?;
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.meter.on_read(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
