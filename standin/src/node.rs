//! An edge node as a process of its own.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::caller::{exchange, wait_until};

/// Time within which a node must exit.
const EXIT: Duration = Duration::from_secs(10);

/// The product's program, beside the running test or tool.
///
/// # Panics
/// It has not been built.
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let found = own.ancestors().skip(1).take(2).map(|d| d.join("sycamorefork"));
    found.into_iter().find(|p| p.is_file()).expect("sycamorefork is built beside this program")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Ports that are tried; below those that the kernel gives to outgoing connections, which
/// could take a port before the node listens on it.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// A free port of the loopback address, another one at each call.
fn free_port() -> u16 {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    loop {
        let n =
            CALLS.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(61));
        let port = (PORTS.start + n % count) as u16;
        if TcpListener::bind(loopback(port)).is_ok() {
            return port;
        }
    }
}

/// Where a node listens.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Callers' address.
    pub frontend: SocketAddr,
    /// Balancer's address.
    pub ready: SocketAddr,
    /// Address for peers and metrics.
    pub internal: SocketAddr,
}

impl NodeAddresses {
    /// Free ports of the loopback address.
    pub fn free() -> Self {
        let [front, ready, inner] = [(); 3].map(|()| loopback(free_port()));
        Self { frontend: front, ready, internal: inner }
    }
}

/// Settings as the platform renders them.
pub fn settings(name: &str, at: &NodeAddresses, store: SocketAddr) -> Value {
    json!({
        "NodeName": name, "Ip": "127.0.0.1", "Zone": "gent", "Zones": {"gent": "vlaanderen"},
        "Listen": {"Frontend": at.frontend.to_string(), "Ready": at.ready.to_string()},
        "InternalPorts": [at.internal.port(), at.internal.port()],
        "SeedNodes": null,
        "Limits": {"MemoryMb": 390, "MaxFds": 1000},
        "HeartbeatMs": 1200,
        "Bounds": {
            "RetrySlack": 40, "GraceS": 8, "QuotaTolerance": 90000, "LeaseMs": 300,
            "RetryWindowS": 10, "version_ms": 5000, "RetryBudgetRatio": 0.2, "DrainMs": 2000,
        },
        "Platform": {"Address": store.to_string()},
    })
}

/// An edge process; killed when dropped.
pub struct Node {
    child: Child,
    /// Where it listens.
    pub addresses: NodeAddresses,
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node and waits until it is ready.
    pub async fn start(name: &str, store: SocketAddr) -> Self {
        let node = Self::start_unready(name, store);
        node.until_ready().await;
        node
    }

    /// Starts a node.
    pub fn start_unready(name: &str, store: SocketAddr) -> Self {
        Self::start_at(name, NodeAddresses::free(), store, None)
    }

    /// Starts a node at given addresses; a debug build breaks the named mechanism.
    pub fn start_at(
        name: &str,
        at: NodeAddresses,
        store: SocketAddr,
        broken: Option<&str>,
    ) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.json", at.frontend.port()));
        std::fs::write(&path, settings(name, &at, store).to_string()).unwrap();
        let mut command = Command::new(program_path());
        command.args(["edge", "--settings"]).arg(&path).stdout(Stdio::null());
        command.envs(broken.map(|b| ("SYCAMOREFORK_FAILPOINT", b)));
        Self { child: command.spawn().unwrap(), addresses: at }
    }

    /// Waits until the node says that it is ready.
    pub async fn until_ready(&self) {
        wait_until("the node is ready", || async { self.is_ready().await }).await;
    }

    /// Whether the node says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let ask = b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n";
        exchange(self.addresses.ready, ask).await.is_some_and(|a| a.status == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // A child that has ended by itself takes no signal.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the exit status.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + EXIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the node does not exit");
    }
}
