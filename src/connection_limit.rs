//! Accepts connections within a budget, and ends the accepting of a listener.

use std::io;
use std::time::Duration;

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller_budget::CallerBudget;
use crate::caller_stream::CallerStream;
use crate::log_sink::decision;

/// Time that a caller has for a request on a connection to a listener that closes. What arrived
/// while the process was delayed is read within it.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Time in which the runtime finds what has arrived at its sockets.
const SOCKET_CHECK_TIME: Duration = Duration::from_millis(20);

/// Acceptor with a budget for open connections; those for which there is no room are closed.
///
/// When it is told to close, it goes on until no established connection is left to accept and
/// [`LAST_REQUEST_TIME`] has passed since the last one. Closing a listener resets the connections
/// in its queue, and a server that shuts down closes connections whose requests it has not read.
pub(crate) struct LimitedAcceptor {
    inner: TcpAcceptor,
    budget: CallerBudget,
    closing: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
    last_accepted: Instant,
}

impl LimitedAcceptor {
    /// Limits an acceptor to a budget. It closes once `closing` is true, and then sets `closed`.
    pub(crate) fn new(
        inner: TcpAcceptor,
        budget: CallerBudget,
        closing: watch::Receiver<bool>,
        closed: watch::Sender<bool>,
    ) -> Self {
        Self { inner, budget, closing, closed, last_accepted: Instant::now() }
    }
}

/// Accepts a connection for which the budget has room.
async fn accept_charged(
    inner: &mut TcpAcceptor,
    budget: &CallerBudget,
) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, http::uri::Scheme)> {
    loop {
        let (stream, local, remote, scheme) = inner.accept().await?;
        // Streamed tokens are small writes, which Nagle's algorithm would delay.
        stream.set_nodelay(true)?;
        let caller = stream.peer_addr()?;
        match CallerStream::new(budget, stream, caller) {
            Ok(stream) => return Ok((stream, local, remote, scheme)),
            Err(_) => decision!("connection_refused", "caller": caller,
                "bytes": budget.used(), "connections": budget.connections()),
        }
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
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, http::uri::Scheme)> {
        let accepted = tokio::select! {
            // When the second branch is polled, the queue is empty.
            biased;
            accepted = accept_charged(&mut self.inner, &self.budget) => accepted?,
            () = quiet_since(self.closing.clone(), self.last_accepted) => {
                self.closed.send_replace(true);
                std::future::pending().await
            }
        };
        self.last_accepted = Instant::now();
        Ok(accepted)
    }
}
