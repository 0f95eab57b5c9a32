//! Limit on the open connections of a listener, and the end of its accepting.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Time that a caller has for a request on a connection to a listener that closes. What arrived
/// while the process was delayed is read within it.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Time in which the runtime finds what has arrived at its sockets.
const SOCKET_CHECK_TIME: Duration = Duration::from_millis(20);

/// Acceptor with a limit on open connections; further ones wait in the listen backlog.
///
/// When it is told to close, it goes on until no established connection is left to accept and
/// [`LAST_REQUEST_TIME`] has passed since the last one. Closing a listener resets the connections
/// in its queue, and a server that shuts down closes connections whose requests it has not read.
pub(crate) struct LimitedAcceptor {
    inner: TcpAcceptor,
    slots: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
    last_accepted: Instant,
}

impl LimitedAcceptor {
    /// Limits an acceptor to `connections` open connections (at least 1). It closes once
    /// `closing` is true, and then sets `closed`.
    pub(crate) fn new(
        inner: TcpAcceptor,
        connections: usize,
        closing: watch::Receiver<bool>,
        closed: watch::Sender<bool>,
    ) -> Self {
        let slots = connections.clamp(1, Semaphore::MAX_PERMITS);
        let slots = Arc::new(Semaphore::new(slots));
        Self { inner, slots, closing, closed, last_accepted: Instant::now() }
    }
}

/// Resolves [`LAST_REQUEST_TIME`] after the listener was told to close and accepted its last
/// connection.
async fn quiet_since(mut closing: watch::Receiver<bool>, last_accepted: Instant) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        return std::future::pending().await;
    }
    sleep_until(last_accepted.max(Instant::now()) + LAST_REQUEST_TIME).await;
    // After a delay of the process, the timer can fire before the runtime has looked at sockets.
    sleep(SOCKET_CHECK_TIME).await;
}

impl Acceptor for LimitedAcceptor {
    type Io = LimitedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(LimitedStream, LocalAddr, RemoteAddr, http::uri::Scheme)> {
        let accept = async {
            let slot = self.slots.clone().acquire_owned().await.map_err(io::Error::other)?;
            Ok::<_, io::Error>((slot, self.inner.accept().await?))
        };
        let accepted = tokio::select! {
            // When the second branch is polled, the queue is empty or the limit is reached.
            biased;
            accepted = accept => accepted?,
            () = quiet_since(self.closing.clone(), self.last_accepted) => {
                self.closed.send_replace(true);
                std::future::pending().await
            }
        };
        let (slot, (stream, local, remote, scheme)) = accepted;
        self.last_accepted = Instant::now();
        // Streamed tokens are small writes, which Nagle's algorithm would delay.
        stream.set_nodelay(true)?;
        Ok((LimitedStream { stream, _slot: slot }, local, remote, scheme))
    }
}

/// Connection that counts against the limit until it is dropped.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
