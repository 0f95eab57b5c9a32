//! Loopback TCP proxy that injects connection faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Delay of each chunk in [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(150);

/// Treatment of the proxy's connections, including open ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Data is forwarded unchanged.
    #[default]
    Pass,
    /// Each chunk is delayed.
    Delay,
    /// Connections are reset.
    Reset,
    /// Nothing is forwarded in either direction.
    Silent,
    /// Nothing is forwarded from the server to the caller.
    OneWay,
}

/// A proxy that stops accepting connections when dropped.
pub struct Proxy {
    /// Address of the proxy.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::Pass);
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, server, modes.clone()));
            }
        });
        Ok(Self { address, mode, task })
    }

    /// Sets the treatment of all connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(caller: TcpStream, server: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    // With zero linger a close resets the connection; without it the close is ordinary.
    let _ = (caller.set_zero_linger(), server.set_zero_linger());
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (m1, m2) = (modes.clone(), modes.clone());
    let requests = forward(&mut from_caller, &mut to_server, m1, false);
    let responses = forward(&mut from_server, &mut to_caller, m2, true);
    tokio::select! {
        () = requests => {}
        () = responses => {}
        _ = modes.wait_for(|m| *m == Mode::Reset) => {}
    }
}

/// Forwards one direction until it ends.
async fn forward(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut modes: watch::Receiver<Mode>,
    from_server: bool,
) {
    let mut chunk = vec![0; 16 << 10];
    loop {
        let Ok(n @ 1..) = from.read(&mut chunk).await else { return };
        let blocked = |m: &Mode| *m == Mode::Silent || (*m == Mode::OneWay && from_server);
        if modes.wait_for(|m| !blocked(m)).await.is_err() {
            return;
        }
        if *modes.borrow() == Mode::Delay {
            sleep(DELAY).await;
        }
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}
