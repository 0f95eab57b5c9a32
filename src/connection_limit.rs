//! Bound on the open connections of a listener.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Accepts at most a fixed number of connections; further ones wait in the backlog.
pub(crate) struct LimitedAcceptor {
    inner: TcpAcceptor,
    free: Arc<Semaphore>,
}

impl LimitedAcceptor {
    /// Limits an acceptor to `connections` at a time.
    pub(crate) fn new(inner: TcpAcceptor, connections: usize) -> Self {
        let most = connections.clamp(1, Semaphore::MAX_PERMITS);
        Self { inner, free: Arc::new(Semaphore::new(most)) }
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
        let permit = self.free.clone().acquire_owned().await.map_err(io::Error::other)?;
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        // Tokens are small writes; waiting to join them would delay each one.
        stream.set_nodelay(true)?;
        Ok((LimitedStream { stream, _permit: permit }, local, remote, scheme))
    }
}

/// A connection that counts against the limit until it is closed.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
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
