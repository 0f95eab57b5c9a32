//! TCP listener with injected connection faults, for the sample endpoints and stand-ins.
//!
//! [`ConnectionControl`] cuts or silences open connections, drops some of the new ones, and
//! closes the listener for a time, as a crash of the process would.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Endpoint, Server};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Delay between attempts to bind the same port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct ConnectionState {
    cut: CancellationToken,
    silent: Arc<AtomicBool>,
}

struct State {
    connections: BTreeMap<SocketAddr, ConnectionState>,
    accepted: u64,
    drop_nth: u64,
}

/// Control of the connections of one listener; clones control the same listener.
#[derive(Clone)]
pub struct ConnectionControl {
    state: Arc<Mutex<State>>,
    down: watch::Sender<Option<Instant>>,
}

impl Default for ConnectionControl {
    fn default() -> Self {
        let state = State { connections: BTreeMap::new(), accepted: 0, drop_nth: 0 };
        Self { state: Arc::new(Mutex::new(state)), down: watch::Sender::new(None) }
    }
}

impl ConnectionControl {
    /// Closes the connection to one peer.
    pub fn cut(&self, peer: SocketAddr) {
        if let Some(connection) = self.state.lock().unwrap().connections.get(&peer) {
            connection.cut.cancel();
        }
    }

    /// Closes all open connections.
    pub fn cut_all(&self) {
        self.state.lock().unwrap().connections.values().for_each(|c| c.cut.cancel());
    }

    /// Silences all open connections permanently; new connections work.
    pub fn silence(&self) {
        let state = self.state.lock().unwrap();
        state.connections.values().for_each(|c| c.silent.store(true, Ordering::Relaxed));
    }

    /// Drops every `nth` new connection; 0 drops none.
    pub fn drop_nth(&self, nth: u64) {
        self.state.lock().unwrap().drop_nth = nth;
    }

    /// Closes all connections and refuses new ones for `time`.
    pub fn go_down(&self, time: Duration) {
        self.down.send_replace(Some(Instant::now() + time));
        self.cut_all();
    }

    /// Number of connections accepted so far, including dropped ones.
    pub fn accepted(&self) -> u64 {
        self.state.lock().unwrap().accepted
    }

    /// Number of connections currently open.
    pub fn open_count(&self) -> usize {
        self.state.lock().unwrap().connections.len()
    }

    /// Registers a new connection; `None` if it is to be dropped.
    fn register(&self, peer: SocketAddr) -> Option<ConnectionState> {
        let mut state = self.state.lock().unwrap();
        state.accepted += 1;
        if state.drop_nth > 0 && state.accepted.is_multiple_of(state.drop_nth) {
            return None;
        }
        let connection = ConnectionState { cut: CancellationToken::new(), silent: Arc::default() };
        state.connections.insert(peer, connection.clone());
        Some(connection)
    }
}

/// Listener whose connections are subject to a [`ConnectionControl`].
pub struct FaultyListener {
    addr: SocketAddr,
    listener: Option<TcpListener>,
    control: ConnectionControl,
    down: watch::Receiver<Option<Instant>>,
}

impl FaultyListener {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, control: ConnectionControl) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let down = control.down.subscribe();
        Ok(Self { addr, listener: Some(listener), control, down })
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Acceptor for FaultyListener {
    type Io = FaultyStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::SocketAddr(self.addr))]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let down = *self.down.borrow_and_update();
            if let Some(until) = down.filter(|until| *until > Instant::now()) {
                self.listener = None;
                sleep_until(until).await;
                continue;
            }
            let Some(listener) = &self.listener else {
                match TcpListener::bind(self.addr).await {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => sleep(REBIND_INTERVAL).await,
                }
                continue;
            };
            let (stream, peer) = tokio::select! {
                biased;
                _ = self.down.changed() => continue,
                accepted = listener.accept() => accepted?,
            };
            stream.set_nodelay(true)?;
            if let Some(connection) = self.control.register(peer) {
                let stream = FaultyStream {
                    inner: stream,
                    cut: Box::pin(connection.cut.cancelled_owned()),
                    silent: connection.silent,
                    peer,
                    control: self.control.clone(),
                };
                let local = LocalAddr(Addr::SocketAddr(self.addr));
                let remote = RemoteAddr(Addr::SocketAddr(peer));
                return Ok((stream, local, remote, Scheme::HTTP));
            }
        }
    }
}

/// Connection that can be cut or silenced.
pub struct FaultyStream {
    inner: TcpStream,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
    silent: Arc<AtomicBool>,
    peer: SocketAddr,
    control: ConnectionControl,
}

impl FaultyStream {
    /// Whether the connection is silent.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionReset` if the connection has been cut.
    fn check_silent(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        if self.cut.as_mut().poll(cx).is_ready() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(self.silent.load(Ordering::Relaxed))
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        self.control.state.lock().unwrap().connections.remove(&self.peer);
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.check_silent(cx)? {
            return Poll::Pending;
        }
        let (before, room) = (buf.filled().len(), buf.remaining() > 0);
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        // Data that arrives on a connection that has become silent is discarded.
        if read.is_ready() && self.silent.load(Ordering::Relaxed) {
            buf.set_filled(before);
            return Poll::Pending;
        }
        // The HTTP server keeps half-closed connections open, but a real engine aborts a
        // request whose caller closes its connection.
        if room && matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        read
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Writes to a silent connection succeed: a process is not told that its peer no
        // longer receives data.
        if self.check_silent(cx)? {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.check_silent(cx)? {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.check_silent(cx)? {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// A server that runs in this process and stops when dropped.
pub struct RunningServer {
    /// Address of the listener.
    pub addr: SocketAddr,
    task: JoinHandle<io::Result<()>>,
}

impl RunningServer {
    /// Waits until the server ends.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the server.
    pub async fn wait(mut self) -> io::Result<()> {
        (&mut self.task).await.map_err(io::Error::other)?
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves an endpoint on a listener in a background task.
pub fn spawn_server<E>(listener: FaultyListener, endpoint: E) -> RunningServer
where
    E: Endpoint + 'static,
{
    let addr = listener.addr();
    let control = listener.control.clone();
    let task = tokio::spawn(async move {
        // Connections run in separate tasks and have to end together with the server.
        let _cut = CutOnDrop(control);
        Server::new_with_acceptor(listener).run(endpoint).await
    });
    RunningServer { addr, task }
}

struct CutOnDrop(ConnectionControl);

impl Drop for CutOnDrop {
    fn drop(&mut self) {
        self.0.cut_all();
    }
}
