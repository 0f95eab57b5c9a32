//! A proxy on loopback that disturbs connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Delay of each piece in [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(150);

/// What happens to connections, open ones too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Nothing.
    #[default]
    Pass,
    /// Each piece arrives late.
    Delay,
    /// Connections are reset.
    Reset,
    /// Nothing passes.
    Silent,
    /// Nothing comes back.
    OneWay,
}

/// A proxy; ends when it is dropped.
pub struct Proxy {
    /// Its address.
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
    /// Starts a proxy before a server.
    ///
    /// # Errors
    /// No address could be bound.
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

    /// Sets what happens to connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(caller: TcpStream, server: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    // A close without linger resets; if it cannot be set the close is an ordinary one.
    let _ = (caller.set_zero_linger(), server.set_zero_linger());
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (m1, m2) = (modes.clone(), modes.clone());
    let there = pipe(&mut from_caller, &mut to_server, m1, false);
    let back = pipe(&mut from_server, &mut to_caller, m2, true);
    tokio::select! {
        () = there => {}
        () = back => {}
        _ = modes.wait_for(|m| *m == Mode::Reset) => {}
    }
}

/// Copies one direction until it ends.
async fn pipe(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut modes: watch::Receiver<Mode>,
    back: bool,
) {
    let mut piece = vec![0; 16 << 10];
    loop {
        let Ok(n @ 1..) = from.read(&mut piece).await else { return };
        let held = |m: &Mode| *m == Mode::Silent || (*m == Mode::OneWay && back);
        if modes.wait_for(|m| !held(m)).await.is_err() {
            return;
        }
        if *modes.borrow() == Mode::Delay {
            sleep(DELAY).await;
        }
        if to.write_all(&piece[..n]).await.is_err() {
            return;
        }
    }
}
