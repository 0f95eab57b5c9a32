//! Fleet of nodes for the benches; each node is a separate process on loopback.
//!
//! The platform and the engines are separate processes too where latency is measured, so that
//! they do not disturb it. They run inside the bench where only the nodes are measured.

#![allow(dead_code)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, header};
use serde_json::{Value, json};
use standin::platform::{Platform, PlatformSpec};
use sycamorefork::faulty_listener::RunningServer;
use sycamorefork::http_client::{HttpClient, HttpSettings, build_request};
use sycamorefork::keys;
use sycamorefork::sample_engine::{EngineSpec, SampleEngine};
use sycamorefork::time::Ms;
use tokio::time::{Instant, sleep};

/// Credential for the admin interface of the nodes.
const CREDENTIAL: &str = "operator-credential";
/// Time within which a fleet must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks per second in `/proc/PID/stat`; part of the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of nodes; they form one cell.
    pub nodes: usize,
    /// Number of engines of the cell.
    pub engines: usize,
    /// Whether the platform and the engines are separate processes. Engines then start with as
    /// many adapters as fit, and do not check fences, because the load tool sends them none.
    pub processes: bool,
    /// Number of teams; each has one key.
    pub teams: usize,
    /// Number of adapters, spread evenly over the teams and listed individually.
    pub adapters: usize,
    /// Number of adapter slots of an engine.
    pub slots: usize,
    /// Number of requests that an engine runs at the same time.
    pub batch: usize,
    /// Token rate of one request, in tokens per second; for engines inside the bench.
    pub rate: f64,
}

/// A child process, killed when dropped.
pub struct Process(Child);

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// CPU time used so far in user and kernel mode, in seconds.
    pub fn cpu(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap();
        // The process name in parentheses may contain spaces.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks = |n: usize| fields[n].parse::<f64>().unwrap();
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Resident memory in KiB.
    pub fn resident(&self) -> u64 {
        memory(&self.id().to_string(), "VmRSS")
    }

    /// Peak resident memory in KiB.
    pub fn peak(&self) -> u64 {
        memory(&self.id().to_string(), "VmHWM")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a field of `/proc/PROCESS/status` in KiB.
pub fn memory(process: &str, field: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = text.lines().find(|l| l.starts_with(field)).expect("field of the status");
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn program(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_sycamorefork")).with_file_name(name)
}

/// Starts a stand-in and returns its process and address.
fn start_standin(args: &[&str]) -> (Process, SocketAddr) {
    let program = program("standin");
    let mut child = Command::new(&program)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("{}: {e}; build the whole workspace", program.display()));
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let addr = line.trim().strip_prefix("listening on ").expect("address line").parse().unwrap();
    (Process(child), addr)
}

/// Runs the load tool as a separate process and returns its report.
pub fn run_load(
    targets: &[SocketAddr],
    keys: &str,
    rate: f64,
    seconds: f64,
    more: &[&str],
) -> Value {
    let targets: Vec<String> = targets.iter().map(ToString::to_string).collect();
    let output = Command::new(program("standin"))
        .args(["load", "--targets", &targets.join(","), "--keys", keys])
        .args(["--rate", &rate.to_string(), "--seconds", &seconds.to_string()])
        .args(more)
        .stderr(Stdio::inherit())
        .output()
        .unwrap();
    serde_json::from_slice(&output.stdout).expect("report of the load tool")
}

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Name of an adapter; it has only version 1.
pub fn adapter(n: usize) -> String {
    format!("adapter-{n:05}")
}

/// API key of a team.
pub fn key(team: usize) -> String {
    format!("sf_key-of-team-{team:04}")
}

/// A node process.
pub struct Node {
    /// Address for callers.
    pub callers: SocketAddr,
    /// The process.
    pub process: Process,
    admin: SocketAddr,
}

/// A running fleet.
pub struct Fleet {
    /// Nodes in order.
    pub nodes: Vec<Node>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// The platform, unless it is a separate process.
    pub platform: Option<Platform>,
    http: HttpClient,
    shape: Shape,
    directory: PathBuf,
    _processes: Vec<Process>,
    _running: Vec<RunningServer>,
}

impl Fleet {
    /// Starts a fleet and waits until each node routes to each engine.
    pub async fn start(shape: Shape) -> Self {
        let name = format!("fleet-{}-{}-{}", std::process::id(), shape.nodes, shape.adapters);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let mut fleet = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            platform: None,
            http: HttpClient::new(HttpSettings::default()),
            shape,
            directory,
            _processes: Vec::new(),
            _running: Vec::new(),
        };
        let platform = fleet.start_endpoints().await;
        if fleet.shape.processes {
            fleet.preload().await;
        }
        let addresses: Vec<[SocketAddr; 3]> =
            (0..fleet.shape.nodes).map(|_| [free_addr(), free_addr(), free_addr()]).collect();
        let engines = fleet.engines.iter().enumerate();
        let mut vms: Vec<Value> = engines
            .map(|(n, a)| json!({"name": engine_name(n), "addr": a, "role": "engine", "leaving": false}))
            .collect();
        vms.extend(addresses.iter().enumerate().map(|(n, p)| {
            json!({"name": format!("node-{n}"), "addr": p[1], "role": "node", "leaving": false})
        }));
        fleet.call(platform, Method::PUT, "/debug/vms", &json!(vms), "").await;
        let files: Vec<PathBuf> = addresses
            .iter()
            .enumerate()
            .map(|(n, p)| fleet.write_settings(&format!("node-{n}"), p, platform))
            .collect();
        fleet.apply_document(&files[0]);
        for (file, node_addresses) in files.iter().zip(&addresses) {
            let log = fs::File::create(file.with_extension("log")).unwrap();
            let child = Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
                .args(["serve", "--settings"])
                .arg(file)
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .unwrap();
            let [callers, _, admin] = *node_addresses;
            fleet.nodes.push(Node { callers, admin, process: Process(child) });
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts the platform and the engines; returns the address of the platform.
    async fn start_endpoints(&mut self) -> SocketAddr {
        let shape = self.shape.clone();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        if shape.processes {
            let (process, platform) =
                start_standin(&["platform", "--listen", "127.0.0.1:0", "--lag", "100"]);
            self._processes.push(process);
            let (slots, batch) = (shape.slots.to_string(), shape.batch.to_string());
            for n in 0..shape.engines {
                let (process, addr) = start_standin(&[
                    "endpoint",
                    "--listen",
                    "127.0.0.1:0",
                    "--name",
                    &engine_name(n),
                    "--base",
                    "base",
                    "--slots",
                    &slots,
                    "--batch",
                    &batch,
                    "--load-ms",
                    "40",
                ]);
                self._processes.push(process);
                self.engines.push(addr);
            }
            return platform;
        }
        let spec =
            PlatformSpec { vm_list_age: Duration::from_millis(100), ..PlatformSpec::default() };
        let platform = Platform::new(spec);
        let running = platform.serve(any).await.unwrap();
        let addr = running.addr;
        self._running.push(running);
        self.platform = Some(platform);
        for n in 0..shape.engines {
            let spec = EngineSpec {
                name: engine_name(n),
                slots: shape.slots,
                batch: shape.batch,
                token_rate: shape.rate,
                load_time: Ms(40),
                ..EngineSpec::default()
            };
            let running = SampleEngine::new(spec).serve(any).await.unwrap();
            self.engines.push(running.addr);
            self._running.push(running);
        }
        addr
    }

    /// Writes the settings file of a node and returns its path.
    fn write_settings(
        &self,
        name: &str,
        addresses: &[SocketAddr; 3],
        platform: SocketAddr,
    ) -> PathBuf {
        let [callers, peers, admin] = addresses;
        let digest = hex::encode(keys::digest(CREDENTIAL));
        let (slots, batch) = (self.shape.slots, self.shape.batch);
        let fenced = !self.shape.processes;
        let text = format!(
            "node = \"{name}\"\ndomain = \"one\"\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n\
             [peers]\nsecret = \"a-secret-of-sufficient-length\"\n\
             [admin]\ndigest = \"{digest}\"\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nvms = \"{platform}\"\n\
             [log]\nlevel = \"warn\"\n\
             [[endpoint]]\nname = \"engine-*\"\nrole = \"engine\"\npool = \"engines\"\n\
             slots = {slots}\nbatch = {batch}\nchecks_fence = {fenced}\n"
        );
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, text).unwrap();
        file
    }

    /// Applies the configuration document.
    fn apply_document(&self, settings: &PathBuf) {
        let file = self.directory.join("document.toml");
        fs::write(&file, document(self.shape.teams, self.shape.adapters)).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
            .arg("apply")
            .arg(&file)
            .arg("--settings")
            .arg(settings)
            .output()
            .unwrap();
        assert!(output.status.success(), "apply: {output:?}");
    }

    /// Sends a request and returns the JSON answer, if there is one.
    async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
        bearer: &str,
    ) -> Option<Value> {
        let mut req = build_request(method, path, Bytes::from(body.to_string())).unwrap();
        if !bearer.is_empty() {
            let value = format!("Bearer {bearer}").parse().unwrap();
            req.headers_mut().insert(header::AUTHORIZATION, value);
        }
        let whole = self.http.fetch(at, req, Instant::now() + Duration::from_secs(5)).await.ok()?;
        serde_json::from_slice(&whole.body).ok()
    }

    /// Loads as many adapters as fit at each engine.
    async fn preload(&self) {
        for engine in &self.engines {
            for n in 0..self.shape.adapters.min(self.shape.slots) {
                let order = json!({"lora_name": format!("{}@1", adapter(n)), "lora_path": "x"});
                let done = self.call(*engine, Method::POST, "/v1/load_lora_adapter", &order, "");
                assert!(done.await.is_some_and(|d| d["loaded"].is_string()), "adapter not loaded");
            }
        }
    }

    /// Returns the status of a node, if it answers.
    pub async fn status(&self, node: usize) -> Option<Value> {
        let at = self.nodes[node].admin;
        self.call(at, Method::GET, "/status", &Value::Null, CREDENTIAL).await
    }

    /// Waits until each node routes to each engine.
    async fn wait_ready(&self) {
        let routed = |s: &Value| {
            let endpoints = s["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
            s["serial"].as_u64() > Some(0)
                && s["authority"] == "Full"
                && endpoints.len() == self.shape.engines
                && endpoints.iter().all(|e| !e["owner"].is_null() && e["healthy"] == true)
        };
        let end = Instant::now() + READY_TIMEOUT;
        for n in 0..self.nodes.len() {
            while !self.status(n).await.is_some_and(|s| routed(&s)) {
                assert!(Instant::now() < end, "node {n} not ready: {:?}", self.status(n).await);
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Addresses for callers of all nodes.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.callers).collect()
    }

    /// CPU time that all nodes have used, in seconds.
    pub fn cpu(&self) -> f64 {
        self.nodes.iter().map(|n| n.process.cpu()).sum()
    }

    /// Value of the load tool's `--keys`: each team with up to `models` of its adapters.
    pub fn keys(&self, models: usize) -> String {
        let teams = self.shape.teams;
        let caller = |team: usize| {
            let own = (0..self.shape.adapters).filter(|n| n % teams == team).take(models);
            let names: Vec<String> = own.map(|n| format!("{}@1", adapter(n))).collect();
            format!("{}={}", key(team), names.join("+"))
        };
        (0..teams).map(caller).collect::<Vec<_>>().join(",")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn engine_name(n: usize) -> String {
    format!("engine-{n:03}")
}

/// Returns a configuration document with individually listed adapters.
pub fn document(teams: usize, adapters: usize) -> String {
    let mut text = String::from(
        "[[model]]\nname = \"base\"\ncontext = 8_192\n\
         [[pool]]\nname = \"engines\"\nmodel = \"base\"\n\
         [[route]]\nname = \"chat\"\nkind = \"engine\"\npool = \"engines\"\n\
         [store]\nloads = 100.0\nconcurrent = 8\n",
    );
    for n in 0..teams {
        let digest = hex::encode(keys::digest(&key(n)));
        text.push_str(&format!(
            "[[team]]\nname = \"team-{n:04}\"\nrate = 5_000_000\nburst = 10_000_000\n\
             [[key]]\nid = \"key-{n:04}\"\nteam = \"team-{n:04}\"\ndigest = \"{digest}\"\n"
        ));
    }
    for n in 0..adapters {
        text.push_str(&format!(
            "[[adapter]]\nname = \"{}\"\nmodel = \"base\"\nteam = \"team-{:04}\"\n\
             versions = [\"1\"]\ndefault = \"1\"\n",
            adapter(n),
            n % teams
        ));
    }
    text
}

/// Returns slope and intercept of the least-squares line through points.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let (mx, my) = (sx / n, sy / n);
    let over: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mx) * (x - mx)).sum();
    (over / under, my - over / under * mx)
}
