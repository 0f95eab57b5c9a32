//! Connections of the HTTP client, with bounded reads.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::http_client::HttpSettings;
use crate::read_limit::{BoundedStream, MAX_OVERHEAD, ReadMeter};

/// Most bytes read ahead on a connection, which also bounds the head of a response.
const MAX_READ_AHEAD: usize = MAX_OVERHEAD / 2;

/// A connection; dropping it closes the socket immediately.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub(crate) meter: ReadMeter,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection with the buffer and the timeout in the settings.
///
/// # Errors
/// Returns the reason.
pub(crate) async fn connect(
    addr: SocketAddr,
    settings: &HttpSettings,
) -> Result<Connection, String> {
    let failed = |e| format!("{addr}: {e}");
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(failed)?;
    if let Some(bytes) = settings.receive_buffer
        && let Err(e) = sockopt::set_socket_recv_buffer_size(&socket, bytes)
    {
        log::debug!("{addr}: bounding the receive buffer failed: {e}");
    }
    let stream = socket.connect(addr).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    if let Some(unacked) = settings.unacked_timeout {
        let ms = u32::try_from(unacked.as_millis()).unwrap_or(u32::MAX);
        // Without this option, only the deadlines detect a silent connection.
        if let Err(e) = sockopt::set_tcp_user_timeout(&stream, ms) {
            log::debug!("{addr}: setting the timeout for unacknowledged bytes failed: {e}");
        }
    }
    let meter = ReadMeter::default();
    let stream = TokioIo::new(BoundedStream::new(stream, meter.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_READ_AHEAD).handshake(stream);
    let (sender, conn) = handshake.await.map_err(|e| format!("{addr}: {e}"))?;
    // A connection error is also returned to the request that waits for a response.
    let task = tokio::spawn(async move { drop(conn.await) });
    Ok(Connection { sender, task, meter })
}

/// Time limit for a connection attempt that tests whether a process has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether an address refuses connections.
pub(crate) async fn refuses_connections(addr: SocketAddr) -> bool {
    let connect = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connect, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
