//! Two nodes, a platform in memory and small endpoints inside one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Duration, sleep};

use crate::config_store::{self, ApplyResult, ChangeOrigin};
use crate::error::{Error, Result};
use crate::keys;
use crate::memory::{MemoryObjects, MemoryTable, MemoryVms};
use crate::metrics::Metrics;
use crate::node_settings::Settings;
use crate::node_tasks::{self, Listeners};
use crate::ports::NodePorts;
use crate::sample_engine::{EngineSpec, SampleEngine};
use crate::sample_service::{SampleService, ServiceSpec};
use crate::shell::{Ports, Shell};
use crate::storage::Vm;
use crate::time::wall_clock;

/// Credential of the demo's operators.
pub const CREDENTIAL: &str = "demo-admin";
/// Secret of the links between the demo's nodes.
const SECRET: &str = "demo-secret-of-the-peer-links";
/// Offsets of the second node's callers and of both admin listeners.
const SECOND: u16 = 1;
const ADMIN: u16 = 10;
/// Names of the demo's nodes.
const NODES: [&str; 2] = ["node-1", "node-2"];

/// Runs the demo until SIGTERM or SIGINT.
///
/// Callers are served at `port_base` and the port after it, operators at
/// `port_base + 10`, all on 127.0.0.1.
///
/// # Errors
/// Fails when a port is taken.
pub async fn run(port_base: u16) -> Result<()> {
    let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let mut vms = Vec::new();
    let mut endpoints = Vec::new();
    for n in 1..=3 {
        let name = format!("engine-{n}");
        let spec = EngineSpec { name: name.clone(), base: "base".into(), ..EngineSpec::default() };
        let running = SampleEngine::new(spec).serve(local(0)).await.map_err(io)?;
        vms.push(Vm { name, addr: running.addr, role: "engine".into(), leaving: false });
        endpoints.push(running);
    }
    for name in ["bookings-1", "info-1"] {
        let spec = ServiceSpec { name: name.into(), ..ServiceSpec::default() };
        let running = SampleService::new(spec).serve(local(0)).await.map_err(io)?;
        vms.push(Vm {
            name: name.into(),
            addr: running.addr,
            role: "service".into(),
            leaving: false,
        });
        endpoints.push(running);
    }
    let table = MemoryTable::new();
    let objects = MemoryObjects::new();
    let stamp = ChangeOrigin { operator: "demo".into(), time: wall_clock(), txn_id: "demo".into() };
    match config_store::apply(&table, &objects, "demo.toml", &document(), None, &stamp).await? {
        ApplyResult::Accepted { .. } => {}
        other => return Err(Error::input("demo.toml", format!("{other:?}"))),
    }

    let mut nodes = Vec::new();
    for (i, name) in NODES.iter().enumerate() {
        let callers = local(port_base + SECOND * i as u16);
        let admin = local(port_base + ADMIN + SECOND * i as u16);
        let settings = settings(name, callers, local(0), admin)?;
        let listeners = Listeners::bind(&settings.listen).await?;
        let peers = listeners.peers()?;
        vms.push(Vm { name: (*name).into(), addr: peers, role: "node".into(), leaving: false });
        nodes.push((settings, listeners));
    }
    let list = MemoryVms::new(vms);
    let (stop, stopped) = watch::channel(false);
    let mut shells = Vec::new();
    let mut tasks = Vec::new();
    for (settings, listeners) in nodes {
        let ports = NodePorts::new(table.clone(), objects.clone(), list.clone(), &settings);
        let shell = Shell::new(ports, Arc::new(settings), Metrics::none(), rand::random());
        let mut stopped = stopped.clone();
        tasks.push(tokio::spawn(node_tasks::run(shell.clone(), listeners, async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        })));
        shells.push(shell);
    }
    let mut term = signal(SignalKind::terminate()).map_err(io)?;
    let mut int = signal(SignalKind::interrupt()).map_err(io)?;
    tokio::select! {
        () = announce(&shells, port_base) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        }
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let _ = stop.send(true);
    for task in tasks {
        let _ = task.await;
    }
    drop(endpoints);
    Ok(())
}

/// Prints the ready line once both nodes can route to every endpoint.
async fn announce<P: Ports>(shells: &[Arc<Shell<P>>], port: u16) {
    let ready = |shell: &Arc<Shell<P>>| {
        let now = shell.now();
        let core = shell.core.lock().unwrap();
        let endpoints = core.membership.endpoints();
        let routed =
            |e: &crate::membership::EndpointRow| e.live_owner(now).is_some() && e.view.healthy;
        !endpoints.is_empty() && endpoints.iter().all(routed)
    };
    while !shells.iter().all(|s| s.check_ready().is_ok() && ready(s)) {
        sleep(Duration::from_millis(20)).await;
    }
    println!(
        "ready: callers at 127.0.0.1:{port} and 127.0.0.1:{}, admin at 127.0.0.1:{}",
        port + SECOND,
        port + ADMIN
    );
    println!(
        "curl -sN http://127.0.0.1:{port}/v1/chat/completions -H 'Authorization: Bearer demo-key' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"demo-adapter\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
}

fn io(e: std::io::Error) -> Error {
    Error::io("demo", e)
}

fn settings(
    name: &str,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
) -> Result<Settings> {
    let digest = hex::encode(keys::digest(CREDENTIAL));
    let text = format!(
        r#"
node = "{name}"
domain = "demo"
[listen]
callers = "{callers}"
peers = "{peers}"
admin = "{admin}"
[peers]
secret = "{SECRET}"
[admin]
digest = "{digest}"
[platform]
table = "127.0.0.1:1"
objects = "127.0.0.1:1"
vms = "127.0.0.1:1"
[[endpoint]]
name = "engine-*"
role = "engine"
pool = "engines"
slots = 8
batch = 32
checks_fence = true
[[endpoint]]
name = "bookings-*"
role = "service"
pool = "bookings"
[[endpoint]]
name = "info-*"
role = "service"
pool = "info"
"#
    );
    let checked = Settings::check("demo settings", &text);
    let findings = || checked.findings.iter().map(|f| format!("{f}\n")).collect::<String>();
    checked.settings.clone().ok_or_else(|| Error::input("demo settings", findings()))
}

fn document() -> String {
    let digest = |key: &str| hex::encode(keys::digest(key));
    format!(
        r#"
[[team]]
name = "demo"
rate = 200_000
burst = 400_000

[[team]]
name = "other"
rate = 50_000
burst = 100_000

[[team]]
name = "public"
rate = 10_000
burst = 20_000

[[key]]
id = "demo-1"
team = "demo"
digest = "{}"

[[key]]
id = "other-1"
team = "other"
digest = "{}"

[[model]]
name = "base"
context = 8_192

[[adapter]]
name = "demo-adapter"
model = "base"
team = "demo"
versions = ["1", "2"]
default = "2"

[[adapter]]
name = "other-adapter"
model = "base"
team = "other"
versions = ["1"]
default = "1"

[[pool]]
name = "engines"
model = "base"

[[pool]]
name = "bookings"
service = "bookings"

[[pool]]
name = "info"
service = "info"

[[level]]
name = "interactive"
first = "340ms"
between = "33ms"
objective = 0.95
window = "30d"

[[route]]
name = "chat"
kind = "engine"
pool = "engines"
level = "interactive"

[[route]]
name = "bookings"
kind = "service"
pool = "bookings"
idempotent = false
status = "/attempts"

[[route]]
name = "open-info"
kind = "service"
pool = "info"
open = true
team = "public"
idempotent = true

[store]
loads = 20.0
concurrent = 4
"#,
        digest("demo-key"),
        digest("other-key")
    )
}
