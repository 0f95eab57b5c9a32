//! Runs an edge node as a separate process.

use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::caller::{exchange, wait_until};

/// Time within which a node must exit after it was told to stop.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Path of the `sycamorefork` program, in the directory of the running program or its parent.
///
/// # Panics
///
/// Panics if the program has not been built.
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let found = own.ancestors().skip(1).take(2).map(|d| d.join("sycamorefork"));
    found.into_iter().find(|p| p.is_file()).expect("sycamorefork is built beside this program")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Candidate ports. They lie below the range that the kernel uses for outgoing connections,
/// which could occupy a port before the node listens on it.
const PORT_RANGE: Range<u32> = 20_000..32_000;

/// Address at which a process that runs nodes holds the ports that it has chosen for them. The
/// nodes bind theirs later, and other processes may look for ports meanwhile.
const RESERVED_AT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);

/// Returns a free loopback port of a range, which this process reserves until it ends.
pub fn reserve_port(range: &Range<u32>) -> u16 {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let count = range.end - range.start;
    loop {
        let n =
            CALLS.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(61));
        let port = (range.start + n % count) as u16;
        let Ok(reservation) = TcpListener::bind((RESERVED_AT, port)) else { continue };
        if TcpListener::bind(loopback(port)).is_ok() {
            RESERVED.lock().unwrap_or_else(PoisonError::into_inner).push(reservation);
            return port;
        }
    }
}

/// Listen addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Address for callers.
    pub frontend: SocketAddr,
    /// Address for the readiness checks of a load balancer.
    pub ready: SocketAddr,
    /// Address for peers and metrics.
    pub internal: SocketAddr,
}

impl NodeAddresses {
    /// Selects free loopback ports.
    pub fn free() -> Self {
        let [front, ready, inner] = [(); 3].map(|()| loopback(reserve_port(&PORT_RANGE)));
        Self { frontend: front, ready, internal: inner }
    }
}

/// The node's settings as rendered by the users' platform.
pub fn settings(name: &str, addresses: &NodeAddresses, store: SocketAddr) -> Value {
    json!({
        "NodeName": name, "Ip": "127.0.0.1", "Zone": "gent", "Zones": {"gent": "vlaanderen"},
        "Listen": {
            "Frontend": addresses.frontend.to_string(), "Ready": addresses.ready.to_string(),
        },
        "InternalPorts": [addresses.internal.port(), addresses.internal.port()],
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

/// Environment variable that names a directory to which nodes write their logs.
const LOG_DIR: &str = "NODE_LOG_DIR";

/// The output of a node: a file in the directory that [`LOG_DIR`] names, if it is set.
fn log_output(name: &str) -> Stdio {
    let Some(dir) = std::env::var_os(LOG_DIR) else { return Stdio::null() };
    let path = PathBuf::from(dir).join(format!("{name}.jsonl"));
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.expect("the log file can be opened").into()
}

/// A process of an edge node, killed when dropped.
pub struct Node {
    child: Child,
    /// Listen addresses.
    pub addresses: NodeAddresses,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both calls fail if the process has already ended.
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

    /// Starts a node without waiting until it is ready.
    pub fn start_unready(name: &str, store: SocketAddr) -> Self {
        Self::start_at(name, NodeAddresses::free(), store, None)
    }

    /// Starts a node at the given addresses. `failpoint` names a failpoint that is active in
    /// debug builds.
    pub fn start_at(
        name: &str,
        addresses: NodeAddresses,
        store: SocketAddr,
        failpoint: Option<&str>,
    ) -> Self {
        Self::spawn(name, addresses, &settings(name, &addresses, store), failpoint)
    }

    /// Starts a node at the given addresses, with settings that name them.
    pub fn start_with(name: &str, addresses: NodeAddresses, settings: &Value) -> Self {
        Self::spawn(name, addresses, settings, None)
    }

    fn spawn(
        name: &str,
        addresses: NodeAddresses,
        settings: &Value,
        failpoint: Option<&str>,
    ) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.json", addresses.frontend.port()));
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(program_path());
        command.args(["edge", "--settings"]).arg(&path).stdout(log_output(name));
        command.envs(failpoint.map(|name| ("SYCAMOREFORK_FAILPOINT", name)));
        Self { child: command.spawn().unwrap(), addresses }
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the node reports that it is ready.
    pub async fn until_ready(&self) {
        wait_until("the node is ready", || async { self.is_ready().await }).await;
    }

    /// Whether the node reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n";
        exchange(self.addresses.ready, request).await.is_some_and(|a| a.status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // Sending fails if the process has already ended.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Resident memory of the process, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes << 10
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the exit code; `None` if a signal ended the process.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit in time.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + EXIT_LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the node did not exit within {EXIT_LIMIT:?}");
    }
}
