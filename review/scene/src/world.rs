//! A small deployment: the store, runners, nodes as separate processes, and clients.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Client;
use crate::json::{Json, map, num, text};
use crate::runner::Runner;
use crate::store::Store;

pub const MODEL: &str = "m0";
pub const KEY: &str = "key0000000000000000a";
const HOST: &str = "ask.example";
pub const BEAT: Duration = Duration::from_millis(1_200);

/// What was sent, answered and run, with times from the start of the world.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, at: Instant, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn note(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.begun.elapsed().as_secs_f64());
        self.add(Instant::now(), line);
    }

    /// Whether a line of the record holds these words.
    pub fn find(&self, is_found: impl Fn(&str) -> bool) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|(_, l)| l).filter(|l| is_found(l)).cloned().collect()
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, l)| {
                format!("{:9.3} {l}\n", at.saturating_duration_since(self.begun).as_secs_f64())
            })
            .collect();
        if let Err(e) = fs::write(path, text) {
            eprintln!("{path}: {e}");
        }
    }
}

/// A node of the system, as the deploy file starts it.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new("target/release/sycamorefork")
            .args(["edge", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file is built");
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let line = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &line]).status();
        }
    }

    /// Waits until the process has ended; false if that takes longer than `limit`.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => sleep(Duration::from_millis(5)),
                _ => {
                    self.child = None;
                    return true;
                }
            }
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut c = Client::connect(self.ready, Duration::from_millis(500))?;
            c.send(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
            c.answer()
        };
        ask().is_some_and(|a| a.status == 200)
    }
}

pub struct World {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub nodes: Vec<Node>,
    pub record: Record,
    directory: PathBuf,
    ended: Arc<AtomicBool>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        self.nodes.iter_mut().for_each(Node::kill);
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 77, net, host), port))
}

/// A port that is free at all addresses, below those that the system gives out.
fn free_ports(count: u16, hosts: u8) -> u16 {
    let mut port = 12_000 + (std::process::id() % 150) as u16 * 100;
    loop {
        let free = |p: u16| (1..=hosts).all(|h| TcpListener::bind(address(1, h, p)).is_ok());
        if (port..port + count).all(free) {
            return port;
        }
        port += count;
    }
}

fn config() -> Json {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: f64| {
        map(&[
            ("Name", text(name)),
            ("Host", text(HOST)),
            ("Prefix", text(prefix)),
            ("Type", text(kind)),
            ("Service", text(service)),
            ("TimeoutMs", num(timeout)),
            ("TargetLatencyMs", num(600.0)),
            ("GapTargetMs", num(400.0)),
            ("MaxAttempts", num(1.0)),
            ("Priority", num(0.0)),
            ("Public", Json::Bool(false)),
            ("Sticky", Json::Bool(true)),
            ("Resumable", Json::Bool(false)),
        ])
    };
    let model = map(&[
        ("Name", text(MODEL)),
        ("WeightsMb", num(65_500.0)),
        ("LoadTimeS", num(1.9)),
        ("Adapters", num(3_000.0)),
        ("AdapterMb", num(40.0)),
    ]);
    let engine = map(&[
        ("Slots", num(64.0)),
        ("KvCapacity", num(232_000.0)),
        ("WeightsMb", num(67_500.0)),
        ("AdapterSlots", num(18.0)),
        ("LoadsPerS", num(3.3)),
        ("Models", Json::List(vec![model])),
    ]);
    let service = map(&[
        ("Name", text("assist")),
        ("HealthPath", text("/healthz")),
        ("MaxConnections", num(370.0)),
        ("Engine", engine),
    ]);
    let ledger = map(&[
        ("Name", text("ledger")),
        ("HealthPath", text("/healthz")),
        ("MaxConnections", num(110.0)),
    ]);
    let limits = map(&[
        ("MaxHeaderBytes", num(16_384.0)),
        ("MaxBodyBytes", num(4_194_304.0)),
        ("HeaderTimeoutMs", num(5_000.0)),
        ("IdleTimeoutMs", num(10_000.0)),
    ]);
    let tenant = map(&[
        ("Name", text("members")),
        ("ApiKeys", Json::List(vec![text(KEY)])),
        ("Unit", text("token")),
        ("RatePerS", num(0.0)),
        ("Burst", num(0.0)),
        ("PlainTokens", num(200.0)),
    ]);
    map(&[
        ("Version", num(4.0)),
        (
            "Routes",
            Json::List(vec![
                route("ask", "/ask/", "streaming", "assist", 6_000.0),
                route("look", "/look/", "safe", "ledger", 600.0),
            ]),
        ),
        ("Services", Json::List(vec![service, ledger])),
        ("Limits", limits),
        ("Tenants", Json::List(vec![tenant])),
    ])
}

/// The settings of a node, with the fields and bounds of the deployment `rolwerk-net`.
fn settings(host: u8, nodes: u8, port: u16, store: SocketAddr) -> Json {
    let ip = format!("127.77.1.{host}");
    let at = |p: u16| text(format!("{ip}:{p}"));
    let seeds = (1..=nodes.min(3)).map(|h| text(format!("127.77.1.{h}:{}", port + 2))).collect();
    let numbers =
        |list: &[(&str, f64)]| map(&list.iter().map(|(k, n)| (*k, num(*n))).collect::<Vec<_>>());
    let bounds = numbers(&[
        ("SeedLagS", 3.0),
        ("ReuseDelayS", 2.0),
        ("StableMs", 3_000.0),
        ("AckTimeoutMs", 4_000.0),
        ("CatchUpS", 4.0),
        ("DrainMs", 2_000.0),
        ("GraceS", 8.0),
        ("LossSlackMs", 200.0),
        ("ConfigDeadlineMs", 2_000.0),
        ("DowngradeSlackMs", 250.0),
        ("StretchMaxMs", 5_000.0),
        ("RevokeMs", 5_000.0),
        ("RetryBudgetRatio", 0.2),
        ("RetryWindowS", 10.0),
        ("RetrySlack", 58.0),
        ("QuotaWindowS", 8.0),
        ("QuotaOvershoot", 0.1),
        ("QuotaTolerance", 110_000.0),
        ("RecoveryS", 12.0),
        ("PassMs", 120.0),
        ("RetryAfterS", 0.0),
        ("LeaseMs", 3_000.0),
        ("ThawSlackMs", 300.0),
        ("CeilingWindowS", 5.0),
        ("CeilingOvershoot", 1.1),
        ("version_ms", 5_000.0),
    ]);
    let Json::Map(mut bounds) = bounds else { unreachable!("numbers gives a map") };
    bounds.insert("FencingEnforced".to_owned(), Json::Bool(false));
    bounds.insert("RevokePartitioned".to_owned(), Json::Bool(false));
    let limits = numbers(&[
        ("CpuShare", 0.38),
        ("CpuCores", 1.0),
        ("MemoryMb", 390.0),
        ("MaxFds", 6_150.0),
        ("LinkMbps", 1_500.0),
        ("DiskMb", 0.0),
    ]);
    let platform = map(&[
        ("Address", text(store.to_string())),
        ("form", text("table")),
        ("WritesPerS", num(400.0)),
        ("ReadsPerS", num(2_000.0)),
        ("TxMs", num(5.0)),
        ("PartitionWritesS", num(200.0)),
        ("RowBytes", num(65_536.0)),
        ("Across", Json::Bool(false)),
        ("HistoryS", num(20.0)),
    ]);
    let listen = [("Frontend", at(port)), ("Ready", at(port + 1)), ("ControlPlane", at(port + 2))];
    map(&[
        ("NodeName", text(format!("edge-gent-{host}"))),
        ("Role", text("node")),
        ("MachineClass", text("edge")),
        ("Serves", Json::List(vec![text("edge"), text("controller")])),
        ("Ip", text(ip.as_str())),
        ("Zone", text("gent")),
        ("Region", text("vlaanderen")),
        ("Zones", map(&[("gent", text("vlaanderen"))])),
        ("Listen", map(&listen)),
        ("InternalPorts", Json::List(vec![num(f64::from(port + 3)), num(f64::from(port + 9))])),
        ("SeedNodes", Json::List(seeds)),
        ("Bootstrap", Json::Bool(true)),
        ("FaultCounted", Json::Bool(false)),
        ("Limits", limits),
        ("DataDir", Json::Null),
        ("Discovery", text("platform")),
        ("Entry", text("vip")),
        ("HeartbeatMs", num(1_200.0)),
        ("Bounds", Json::Map(bounds)),
        ("Platform", platform),
    ])
}

impl World {
    /// Starts the store, `runners` runners with the model, and `nodes` nodes.
    pub fn start(nodes: u8, runners: u8) -> Self {
        let record = Record::new();
        let store = Store::start(address(2, 1, 0));
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("temporary folder");
        store.write("op", "config", Some(&config()));
        let ended = Arc::new(AtomicBool::new(false));
        let port = free_ports(10, nodes);
        let make = |host: u8| {
            let path = directory.join(format!("node-{host}.json"));
            let text = settings(host, nodes, port, store.address).to_string();
            fs::write(&path, text).expect("settings");
            Node {
                name: format!("edge-gent-{host}"),
                front: address(1, host, port),
                ready: address(1, host, port + 1),
                settings: path,
                log: directory.join(format!("node-{host}.log")),
                child: None,
            }
        };
        let mut nodes: Vec<Node> = (1..=nodes).map(make).collect();
        nodes.iter_mut().for_each(Node::start);
        let mut world = Self { store, runners: Vec::new(), nodes, record, directory, ended };
        (0..runners).for_each(|_| world.add_runner(false));
        world
    }

    /// Adds a runner, which registers itself; a runner that is added later is empty.
    pub fn add_runner(&mut self, empty: bool) {
        let n = self.runners.len() as u8 + 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let r = Runner::start(&format!("i-{n:08x}"), address(3, n, 0), MODEL, 18, born, empty);
        self.store.write("servers", &r.id, Some(&r.entry("assist", 1)));
        self.runners.push(r.clone());
        let (store, ended) = (self.store.clone(), self.ended.clone());
        std::thread::spawn(move || {
            for n in 2.. {
                sleep(BEAT);
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                store.write("servers", &r.id, Some(&r.entry("assist", n)));
            }
        });
    }

    /// Waits until all nodes are ready and each runner has a holder.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let ids = self.store.keys("servers");
            let held = !ids.is_empty() && ids.iter().all(|id| self.is_held(id));
            if held && self.nodes.iter().all(Node::is_ready) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether a runner has a holder, unless it needs none.
    fn is_held(&self, id: &str) -> bool {
        let entry = self.store.read("servers", id);
        self.holder(id).is_some() || entry.is_some_and(|(e, _)| e.get("Service").str() == "ledger")
    }

    /// Name of the node that holds a runner, with its fence.
    pub fn holder(&self, runner: &str) -> Option<(String, u64)> {
        let (value, fence) = self.store.read("holders", runner)?;
        Some((value.get("node").str().to_owned(), fence))
    }

    /// Starts clients that ask for one of so many adapters (for rows of the ledger if 0) through the nodes by turns, as the platform's balancer
    /// sends them: each on a connection of its own to a node that is ready.
    pub fn clients(&self, count: usize, pause: Duration, adapters: u64) -> Vec<JoinHandle<()>> {
        static ATTEMPTS: AtomicU64 = AtomicU64::new(1);
        let fronts: Vec<_> = self.nodes.iter().map(|n| (n.name.clone(), n.front)).collect();
        let one = |c: usize| {
            let (fronts, ended, record) = (fronts.clone(), self.ended.clone(), self.record.clone());
            std::thread::spawn(move || {
                for turn in c.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    sleep(pause);
                    let n = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
                    let (name, front) = &fronts[turn % fronts.len()];
                    let adapter =
                        (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % adapters.max(1) + 1;
                    let attempt = format!("{n:016x}");
                    let request = match adapters {
                        0 => format!(
                            "GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 600\r\nAuthorization: Token {KEY}\r\n\r\n"
                        ),
                        _ => format!(
                            "POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: {MODEL}/a{adapter}\r\nX-Token-Count: 600,60\r\nX-Prompt-Prefix: {n:x}:600\r\nX-Deadline-Ms: 6000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\nhi"
                        ),
                    };
                    let sent = Instant::now();
                    let Some(mut client) = Client::connect(*front, Duration::from_secs(7)) else {
                        continue;
                    };
                    record.add(sent, format!("request {attempt} a{adapter} sent to {name}"));
                    let answer =
                        if client.send(request.as_bytes()) { client.answer() } else { None };
                    let what = match answer {
                        Some(a) if a.whole => {
                            let events = a.body.windows(4).filter(|w| w == b"id: ").count();
                            format!("{} with {events} parts, complete", a.status)
                        }
                        Some(a) => format!("{} cut", a.status),
                        None => "no answer".to_owned(),
                    };
                    record.add(Instant::now(), format!("request {attempt} answered {what}"));
                }
            })
        };
        (0..count).map(one).collect()
    }

    /// Writes what runners and store saw into the record.
    pub fn add_runners(&self) {
        for r in &self.runners {
            for o in r.orders() {
                let (id, expected) = (&r.id, o.expected);
                self.record.add(
                    o.at,
                    format!(
                        "order {id} from {} fence {} {} expected {expected:?}: {}",
                        o.holder, o.fence, o.what, o.status
                    ),
                );
            }
            for run in r.runs() {
                self.record.add(run.at, format!("{} runs {}", r.id, run.attempt));
            }
        }
        for (at, tx, status) in self.store.done() {
            self.record.add(at, format!("store {status} {tx}"));
        }
    }
}
