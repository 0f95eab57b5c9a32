//! Connections of callers, charged to a budget, and bodies read within it.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_budget::{CallerBudget, CallerConnection, CallerRequest};
use crate::caller_ledger::BudgetFull;

/// Size of a socket's receive buffer, in bytes. The system grows it otherwise while a caller sends.
pub(crate) const RECEIVE_BUFFER: usize = 32 << 10;
/// Size of a caller's send buffer, in bytes.
const SEND_BUFFER: usize = 64 << 10;
/// Bytes first allocated for a body without an announced length.
const FIRST_BYTES: usize = 4 << 10;
/// Bytes allocated for a body before any of it has arrived, whatever length is announced.
const ANNOUNCED_BYTES: usize = 64 << 10;
/// First bytes of a connection that speaks HTTP/2, in which one connection holds many requests.
const HTTP2_PREFACE: &[u8] = b"PRI * ";

/// Bounds the buffers of the connections that a listener accepts.
pub(crate) fn bound_buffers(listener: &TcpListener) {
    let set = sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER)
        .and_then(|()| sockopt::set_socket_send_buffer_size(listener, SEND_BUFFER));
    if let Err(e) = set {
        log::warn!("bounding the buffers of callers' connections failed: {e}");
    }
}

/// A caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    caller: SocketAddr,
    connection: Arc<CallerConnection>,
    /// Bytes read since a request last began to be answered.
    read: u64,
    /// Whether the last write found the buffer full.
    unread: bool,
    /// Bytes of [`HTTP2_PREFACE`] that the caller has sent so far; `None` once it sent others.
    preface: Option<usize>,
}

impl CallerStream {
    /// Charges a connection to the budget.
    ///
    /// # Errors
    /// There is no room for it; the connection is closed.
    pub(crate) fn new(
        budget: &CallerBudget,
        stream: TcpStream,
        caller: SocketAddr,
    ) -> Result<Self, BudgetFull> {
        let connection = budget.open(caller)?;
        Ok(Self { stream, caller, connection, read: 0, unread: false, preface: Some(0) })
    }

    pub(crate) fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }

    pub(crate) fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether the connection begins with the preface of HTTP/2, whose end is in `new`.
    fn speaks_http2(&mut self, new: &[u8]) -> bool {
        let Some(seen) = self.preface else { return false };
        let rest = &HTTP2_PREFACE[seen..];
        let count = rest.len().min(new.len());
        self.preface = (new[..count] == rest[..count]).then_some(seen + count);
        self.preface == Some(HTTP2_PREFACE.len())
    }

    fn check(&self, cx: &Context<'_>) -> io::Result<()> {
        match self.connection.poll_closed(cx) {
            true => Err(io::Error::other("closed to free memory or descriptors")),
            false => Ok(()),
        }
    }

    fn on_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let unread = written.is_pending();
        self.read = 0;
        if std::mem::replace(&mut self.unread, unread) != unread
            && self.connection.set_unread(unread).is_err()
        {
            return Poll::Ready(Err(io::Error::other("no memory for an answer that is not read")));
        }
        written
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connection.close(&self.caller);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check(cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let new = &buf.filled()[before..];
        if this.speaks_http2(new) {
            return Poll::Ready(Err(io::Error::other("HTTP/2 is not spoken here")));
        }
        let bytes = new.len() as u64;
        if this.connection.on_read(this.read, bytes).is_err() {
            return Poll::Ready(Err(io::Error::other("no memory for the head of a request")));
        }
        this.read += bytes;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check(cx)?;
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.on_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check(cx)?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.on_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum BodyError<E> {
    /// It exceeds the limit.
    TooLarge,
    /// Its memory is needed.
    Refused,
    /// The connection broke.
    Broken(E),
}

/// Reads a body of at most `limit` bytes into one piece, within the request's budget. `announced`
/// is its length, if the caller states one.
pub(crate) async fn read_body<S, E>(
    body: &mut S,
    limit: usize,
    announced: Option<u64>,
    request: &mut CallerRequest,
) -> Result<Bytes, BodyError<E>>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    let announced = announced.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if announced.is_some_and(|n| n > limit) {
        return Err(BodyError::TooLarge);
    }
    let most = announced.unwrap_or(limit);
    let mut bytes = Vec::new();
    loop {
        let piece = tokio::select! {
            biased;
            () = request.refused() => return Err(BodyError::Refused),
            piece = body.next() => piece,
        };
        let piece = match piece {
            None => return Ok(Bytes::from(bytes)),
            Some(Ok(piece)) => piece,
            Some(Err(e)) => return Err(BodyError::Broken(e)),
        };
        let size = bytes.len() + piece.len();
        if size > limit {
            return Err(BodyError::TooLarge);
        }
        if size > bytes.capacity() {
            let first = announced.map_or(FIRST_BYTES, |n| n.min(ANNOUNCED_BYTES));
            let capacity = (bytes.capacity() * 2).max(first).min(most).max(size);
            request.hold(capacity - bytes.capacity()).map_err(|_| BodyError::Refused)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&piece);
    }
}
