//! Limit on the open connections of a listener.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Acceptor with a limit on open connections; further ones wait in the listen backlog.
pub(crate) struct LimitedAcceptor {
    inner: TcpAcceptor,
    slots: Arc<Semaphore>,
}

impl LimitedAcceptor {
    /// Limits an acceptor to `connections` open connections (at least 1).
    pub(crate) fn new(inner: TcpAcceptor, connections: usize) -> Self {
        let slots = connections.clamp(1, Semaphore::MAX_PERMITS);
        Self { inner, slots: Arc::new(Semaphore::new(slots)) }
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = LimitedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(LimitedStream, LocalAddr, RemoteAddr, http::uri::Scheme)> {
        let slot = self.slots.clone().acquire_owned().await.map_err(io::Error::other)?;
        let (stream, local, remote, scheme) = self.inner.accept().await?;
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
