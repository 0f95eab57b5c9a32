//! Runs a platform, endpoints and nodes as separate processes on the loopback interface.

#![allow(dead_code)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, header};
use serde_json::{Value, json};
use standin::load::LoadPlan;
use standin::node::reserve_port;
use sycamorefork::http_client::{
    FullResponse, HttpClient, HttpSettings, IncomingResponse, SendError, build_request,
};
use sycamorefork::keys;
use sycamorefork::sse::SseParser;
use tokio::time::{Instant, sleep, timeout};

/// Credential of the operators, for the admin interface.
pub const CREDENTIAL: &str = "operator-credential";
/// API keys of the two teams.
pub const KEYS: [&str; 2] = ["sf_first-team-key", "sf_second-team-key"];
/// Limits on callers in the nodes' settings.
const LIMITS: &str = "body = 65_536\nslow = \"1s\"\nrequest = \"20s\"\nprogress = \"2s\"\n";
/// Candidate ports of nodes.
const PORT_RANGE: std::ops::Range<u32> = 10_000..20_000;
/// Number of adapters of each team.
pub const ADAPTERS: usize = 40;
/// Time limit for each wait; only guards against hanging, as no test asserts on elapsed time.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// A child process, killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
        assert!(status.success(), "kill -{name} {pid}");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub async fn wait_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < end, "the process did not end");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a stand-in and returns the address that it prints.
fn start_standin(args: &[&str]) -> (Process, SocketAddr) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_sycamorefork")).with_file_name("standin");
    let mut child = Command::new(&program)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("{}: {e}; build the whole workspace", program.display()));
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let addr = line.trim().strip_prefix("listening on ").expect("address line").parse().unwrap();
    (Process { child }, addr)
}

/// Returns a loopback address with a free port.
///
/// The port is below the ephemeral range, so that no outgoing connection takes it before
/// the node binds it.
fn free_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], reserve_port(&PORT_RANGE)))
}

/// An endpoint stand-in.
pub struct EndpointProcess {
    pub name: String,
    pub role: &'static str,
    pub addr: SocketAddr,
    pub process: Process,
}

/// A node process.
pub struct NodeProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    pub process: Option<Process>,
    settings: PathBuf,
}

/// Running deployment, stopped when it is dropped.
pub struct Deployment {
    pub http: HttpClient,
    pub platform: SocketAddr,
    pub endpoints: Vec<EndpointProcess>,
    pub nodes: Vec<NodeProcess>,
    pub directory: PathBuf,
    limits: String,
    _platform: Process,
}

impl Deployment {
    /// Starts all processes and waits until each node routes to each endpoint.
    pub async fn start(nodes: usize, engines: usize) -> Self {
        Self::start_with(nodes, engines, &[]).await
    }

    /// Starts all processes, the engines with further arguments.
    pub async fn start_with(nodes: usize, engines: usize, engine_args: &[&str]) -> Self {
        Self::start_limited(nodes, engines, engine_args, LIMITS).await
    }

    /// Starts all processes, with the limits on callers in the nodes' settings.
    pub async fn start_limited(
        nodes: usize,
        engines: usize,
        engine_args: &[&str],
        limits: &str,
    ) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("deployment-{}-{number}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let (process, platform) =
            start_standin(&["platform", "--listen", "127.0.0.1:0", "--lag", "100"]);
        let mut deployment = Self {
            http: HttpClient::new(HttpSettings::default()),
            platform,
            endpoints: Vec::new(),
            nodes: Vec::new(),
            directory,
            limits: limits.to_owned(),
            _platform: process,
        };
        for n in 0..engines {
            deployment.add_endpoint(&format!("engine-{n}"), "engine", n % 2 == 0, engine_args);
        }
        for n in 0..2 {
            deployment.add_endpoint(&format!("bookings-{n}"), "service", false, &[]);
        }
        for n in 0..nodes {
            deployment.add_node(&format!("node-{n}"));
        }
        deployment.set_vms(&[]).await;
        deployment.apply(&document(&[]));
        for n in 0..nodes {
            deployment.spawn_node(n);
        }
        deployment.wait_ready().await;
        deployment
    }

    fn add_endpoint(&mut self, name: &str, role: &'static str, fenced: bool, extra: &[&str]) {
        let mut args = vec!["endpoint", "--listen", "127.0.0.1:0", "--name", name, "--role", role];
        args.extend(extra);
        if fenced {
            args.push("--checks-fence");
        }
        if role == "engine" {
            args.extend(["--base", "base", "--slots", "8", "--batch", "16", "--load-ms", "40"]);
        }
        let (process, addr) = start_standin(&args);
        self.endpoints.push(EndpointProcess { name: name.to_owned(), role, addr, process });
    }

    fn add_node(&mut self, name: &str) {
        let (callers, peers, admin) = (free_addr(), free_addr(), free_addr());
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(name, callers, peers, admin)).unwrap();
        let name = name.to_owned();
        self.nodes.push(NodeProcess { name, callers, peers, admin, process: None, settings });
    }

    fn settings(
        &self,
        name: &str,
        callers: SocketAddr,
        peers: SocketAddr,
        admin: SocketAddr,
    ) -> String {
        let platform = self.platform;
        let digest = hex::encode(keys::digest(CREDENTIAL));
        let mut text = format!(
            "node = \"{name}\"\ndomain = \"one\"\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n\
             [peers]\nsecret = \"a-secret-of-sufficient-length\"\n\
             [admin]\ndigest = \"{digest}\"\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nvms = \"{platform}\"\n\
             [limits]\n{}",
            self.limits
        );
        for (i, e) in self.endpoints.iter().enumerate() {
            let (role, pool, fenced) = match e.role {
                "engine" => ("engine", "engines", i % 2 == 0),
                _ => ("service", "bookings", false),
            };
            text.push_str(&format!(
                "[[endpoint]]\nname = \"{}\"\nrole = \"{role}\"\npool = \"{pool}\"\n\
                 slots = 8\nbatch = 16\nchecks_fence = {fenced}\n",
                e.name
            ));
        }
        text
    }

    /// Starts or restarts a node process.
    pub fn spawn_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{}.log", node.name)))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
            .args(["serve", "--settings"])
            .arg(&node.settings)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        node.process = Some(Process { child });
    }

    /// Applies a configuration document with the command-line client.
    pub fn apply(&self, document: &str) {
        let file = self.directory.join("document.toml");
        fs::write(&file, document).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
            .arg("apply")
            .arg(&file)
            .arg("--settings")
            .arg(&self.nodes[0].settings)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "apply: {text}{errors}");
    }

    /// Starts the command-line client to apply a document if the current serial is `expected`.
    pub fn start_apply(&self, name: &str, document: &str, expected: u64) -> Child {
        let file = self.directory.join(name);
        fs::write(&file, document).unwrap();
        Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
            .arg("apply")
            .arg(&file)
            .args(["--settings", self.settings_file(0), "--json", "--by", name])
            .args(["--expect", &expected.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Runs the command-line client and returns its JSON output.
    pub fn run_client(&self, args: &[&str]) -> Value {
        let output = Command::new(env!("CARGO_BIN_EXE_sycamorefork"))
            .args(args)
            .arg("--json")
            .env("SYCAMOREFORK_CREDENTIAL", CREDENTIAL)
            .output()
            .unwrap();
        serde_json::from_slice(&output.stdout).unwrap_or_else(|e| {
            panic!("{args:?}: {e}: {}", String::from_utf8_lossy(&output.stderr))
        })
    }

    /// Returns the path of a node's settings file, for the command-line client.
    pub fn settings_file(&self, n: usize) -> &str {
        self.nodes[n].settings.to_str().unwrap()
    }

    /// Sets the platform's VM list and marks the VMs that are leaving.
    pub async fn set_vms(&self, leaving: &[&str]) {
        let vm = |name: &str, addr: SocketAddr, role: &str| json!({"name": name, "addr": addr, "role": role, "leaving": leaving.contains(&name)});
        let mut vms: Vec<Value> =
            self.endpoints.iter().map(|e| vm(&e.name, e.addr, e.role)).collect();
        vms.extend(self.nodes.iter().map(|n| vm(&n.name, n.peers, "node")));
        self.send_debug(self.platform, Method::PUT, "/debug/vms", &json!(vms)).await;
    }

    /// Injects a fault into the platform or an endpoint.
    pub async fn inject_fault(&self, at: SocketAddr, fault: Value) {
        self.send_debug(at, Method::POST, "/debug/fault", &fault).await;
    }

    /// Injects a fault that may also affect the connection that carries it; ignores the answer.
    pub async fn inject_fault_unanswered(&self, at: SocketAddr, fault: Value) {
        let http = HttpClient::new(HttpSettings::default());
        let req =
            build_request(Method::POST, "/debug/fault", Bytes::from(fault.to_string())).unwrap();
        let _ = http.fetch(at, req, Instant::now() + Duration::from_secs(1)).await;
    }

    async fn send_debug(&self, at: SocketAddr, method: Method, path: &str, body: &Value) {
        // A fault may have silenced the pooled connections.
        let http = HttpClient::new(HttpSettings::default());
        let req = build_request(method, path, Bytes::from(body.to_string())).unwrap();
        let reply = http.fetch(at, req, Instant::now() + WAIT_LIMIT).await.unwrap();
        assert!(reply.status.is_success(), "{path}: {}", reply.status);
    }

    /// Returns the record of a stand-in.
    pub async fn read_record(&self, at: SocketAddr) -> Value {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let req = build_request(Method::GET, "/debug/record", Bytes::new()).unwrap();
            match HttpClient::new(HttpSettings::default()).fetch(at, req, end).await {
                Ok(reply) => return serde_json::from_slice(&reply.body).unwrap(),
                // A crashed stand-in refuses connections until it restarts.
                Err(e) => assert!(Instant::now() < end, "{e:?}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends one request to a node's callers' listener.
    pub async fn send(
        &self,
        node: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> FullResponse {
        self.try_send(node, method, path, headers, body).await.unwrap()
    }

    /// Sends one request to a node's callers' listener, which may refuse the connection.
    pub async fn try_send(
        &self,
        node: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<FullResponse, SendError> {
        let mut req = build_request(method, path, Bytes::from(body.to_owned())).unwrap();
        for (name, value) in headers {
            let name = header::HeaderName::from_bytes(name.as_bytes()).unwrap();
            req.headers_mut().insert(name, value.parse().unwrap());
        }
        let at = self.nodes[node].callers;
        self.http.fetch(at, req, Instant::now() + WAIT_LIMIT).await
    }

    /// Returns a node's status, or `None` if it does not answer.
    pub async fn status(&self, node: usize) -> Option<Value> {
        let mut req = build_request(Method::GET, "/status", Bytes::new()).unwrap();
        let value = format!("Bearer {CREDENTIAL}").parse().unwrap();
        req.headers_mut().insert(header::AUTHORIZATION, value);
        let at = self.nodes[node].admin;
        let reply = self.http.fetch(at, req, Instant::now() + Duration::from_secs(2)).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Lifts a quarantine at one node; returns whether the node had the entry.
    pub async fn lift_quarantine(&self, node: usize, fingerprint: &str) -> bool {
        let path = format!("/quarantine/lift/{fingerprint}");
        let mut req = build_request(Method::POST, &path, Bytes::new()).unwrap();
        let value = format!("Bearer {CREDENTIAL}").parse().unwrap();
        req.headers_mut().insert(header::AUTHORIZATION, value);
        let at = self.nodes[node].admin;
        let reply = self.http.fetch(at, req, Instant::now() + WAIT_LIMIT).await.unwrap();
        let body: Value = serde_json::from_slice(&reply.body).unwrap();
        body["lifted"] == true
    }

    /// Waits until each running node routes to each endpoint.
    pub async fn wait_ready(&self) {
        let routed = |s: &Value| {
            let endpoints = s["endpoints"].as_array().unwrap();
            s["serial"].as_u64() > Some(0)
                && s["authority"] == "Full"
                && endpoints.len() == self.endpoints.len()
                && endpoints.iter().all(|e| !e["owner"].is_null() && e["healthy"] == true)
        };
        let end = Instant::now() + WAIT_LIMIT;
        for n in 0..self.nodes.len() {
            if self.nodes[n].process.is_none() {
                continue;
            }
            while !self.status(n).await.is_some_and(|s| routed(&s)) {
                assert!(Instant::now() < end, "node {n} not ready: {:?}", self.status(n).await);
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sends a JSON body with a team's key; returns the status code and the JSON answer.
    pub async fn post_json(
        &self,
        node: usize,
        team: usize,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let key = format!("Bearer {}", KEYS[team]);
        let headers = [("authorization", key.as_str())];
        let reply = self.send(node, Method::POST, path, &headers, &body.to_string()).await;
        (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    /// Books with an idempotency key; returns the status code and the JSON answer.
    pub async fn book(&self, node: usize, name: &str) -> (u16, Value) {
        let key = format!("Bearer {}", KEYS[0]);
        let headers = [("authorization", key.as_str()), ("idempotency-key", name)];
        let body = json!({ "booking": name }).to_string();
        let reply = self.send(node, Method::POST, "/services/bookings/book", &headers, &body).await;
        (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    /// Returns how many times the services executed a booking.
    pub async fn booking_count(&self, name: &str) -> u64 {
        let mut count = 0;
        for e in self.endpoints.iter().filter(|e| e.role == "service") {
            let record = self.read_record(e.addr).await;
            count += record["fields"][format!("booking={name}")].as_u64().unwrap_or(0);
        }
        count
    }

    /// Opens a stream from a team's adapter.
    pub async fn open_stream(&self, node: usize, team: usize, ask: &str, tokens: u64) -> Stream {
        let body =
            json!({"model": adapter(team, 1), "prompt": ask, "max_tokens": tokens, "stream": true});
        let mut req =
            build_request(Method::POST, "/v1/completions", Bytes::from(body.to_string())).unwrap();
        let key = format!("Bearer {}", KEYS[team]).parse().unwrap();
        req.headers_mut().insert(header::AUTHORIZATION, key);
        let at = self.nodes[node].callers;
        let answer = self.http.send(at, req, Instant::now() + WAIT_LIMIT).await.unwrap();
        assert!(answer.status.is_success(), "{}", answer.status);
        Stream { answer, body, sse: SseParser::default(), text: String::new() }
    }

    /// Returns the node that owns the most endpoints.
    pub async fn owner_of_most(&self) -> usize {
        let status = self.status(0).await.unwrap();
        let endpoints = status["endpoints"].as_array().unwrap();
        let owned = |n: &usize| {
            let prefix = format!("{}.", self.nodes[*n].name);
            let owners = endpoints.iter().filter_map(|e| e["owner"].as_str());
            owners.filter(|o| o.starts_with(&prefix)).count()
        };
        (0..self.nodes.len()).max_by_key(owned).unwrap()
    }

    /// Returns the plan of a load run of `seconds` on some nodes.
    pub fn plan_for_nodes(&self, nodes: &[usize], seconds: u64, rate: f64, seed: u64) -> LoadPlan {
        let mut plan = self.plan(1, rate, seed);
        plan.targets = nodes.iter().map(|n| self.nodes[*n].callers).collect();
        plan.duration = Duration::from_secs(seconds);
        plan
    }

    /// Checks that no service executed a booking twice.
    pub async fn check_records(&self) {
        for endpoint in &self.endpoints {
            let record = self.read_record(endpoint.addr).await;
            let twice = |(_, n): &(&String, &Value)| n.as_u64() > Some(1);
            let fields = record["fields"].as_object().unwrap();
            let doubled: Vec<_> = fields.iter().filter(twice).collect();
            assert!(doubled.is_empty(), "{} ran bookings twice: {doubled:?}", endpoint.name);
        }
    }

    /// Waits until a node's status meets a condition.
    pub async fn wait_for_status(&self, node: usize, what: &str, holds: impl Fn(&Value) -> bool) {
        let end = Instant::now() + WAIT_LIMIT;
        while !self.status(node).await.is_some_and(|s| holds(&s)) {
            assert!(Instant::now() < end, "{what}: {:?}", self.status(node).await);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the callers of both teams with their adapters, for the load tool.
    pub fn load_callers(&self) -> Vec<standin::load::Caller> {
        let caller = |team: usize| standin::load::Caller {
            key: KEYS[team].to_owned(),
            models: (0..ADAPTERS).map(|n| adapter(team, n)).collect(),
        };
        vec![caller(0), caller(1)]
    }

    /// Returns the plan of a load run of `count` requests over all nodes.
    pub fn plan(&self, count: u64, rate: f64, seed: u64) -> LoadPlan {
        LoadPlan {
            targets: self.nodes.iter().map(|n| n.callers).collect(),
            rate,
            duration: Duration::from_secs_f64(count as f64 / rate),
            callers: self.load_callers(),
            mix: [2, 1, 1],
            service: "/services/bookings/book".to_owned(),
            repeat_percent: 20,
            max_tokens: 8,
            timeout: WAIT_LIMIT,
            seed,
        }
    }
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Ended by `[DONE]`.
    Done,
    /// Ended by an error event with this code.
    Error(String),
    /// The connection ended early.
    Cut,
}

/// A caller's open stream.
pub struct Stream {
    answer: IncomingResponse,
    body: Value,
    sse: SseParser,
    text: String,
}

impl Stream {
    /// Reads until text has arrived.
    pub async fn wait_first_token(&mut self) {
        while self.text.is_empty() {
            assert_eq!(self.read_chunk().await, None, "the stream ended before its first token");
        }
    }

    /// Reads to the end of the stream.
    pub async fn read_to_end(&mut self) -> StreamEnd {
        loop {
            if let Some(end) = self.read_chunk().await {
                return end;
            }
        }
    }

    /// Whether the complete answer arrived, without a lost or repeated token.
    pub fn is_complete(&self) -> bool {
        let mut body = self.body.clone();
        body["model"] = format!("{}@2", body["model"].as_str().unwrap()).into();
        sycamorefork::sample_engine::expected_text(&body) == self.text
    }

    async fn read_chunk(&mut self) -> Option<StreamEnd> {
        while let Some(data) = self.sse.next_event() {
            if data.as_ref() == b"[DONE]" {
                return Some(StreamEnd::Done);
            }
            let event: Value = serde_json::from_slice(&data).unwrap();
            if let Some(code) = event["error"]["code"].as_str() {
                return Some(StreamEnd::Error(code.to_owned()));
            }
            self.text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        match timeout(WAIT_LIMIT, self.answer.chunk()).await.expect("the stream stalled") {
            Some(Ok(chunk)) => {
                self.sse.push(&chunk);
                None
            }
            _ => Some(StreamEnd::Cut),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns the name of a team's adapter.
pub fn adapter(team: usize, n: usize) -> String {
    format!("team{team}-{n:03}")
}

/// Returns the configuration document; the keys of the teams in `withdrawn` are withdrawn.
pub fn document(withdrawn: &[usize]) -> String {
    let mut text = String::from(
        "[[model]]\nname = \"base\"\ncontext = 8_192\n\
         [[pool]]\nname = \"engines\"\nmodel = \"base\"\n\
         [[pool]]\nname = \"bookings\"\nservice = \"bookings\"\n\
         [[route]]\nname = \"bookings\"\nkind = \"service\"\npool = \"bookings\"\n\
         idempotent = false\nstatus = \"/attempts\"\n\
         [store]\nloads = 100.0\nconcurrent = 8\n",
    );
    for (n, key) in KEYS.iter().enumerate() {
        let digest = hex::encode(keys::digest(key));
        text.push_str(&format!(
            "[[team]]\nname = \"team{n}\"\nrate = 500_000\nburst = 1_000_000\n\
             [[key]]\nid = \"key{n}\"\nteam = \"team{n}\"\ndigest = \"{digest}\"\n\
             withdrawn = {}\n\
             [[family]]\nprefix = \"team{n}-\"\nfirst = 0\ncount = {ADAPTERS}\ndigits = 3\n\
             model = \"base\"\nteam = \"team{n}\"\nversions = [\"1\", \"2\"]\ndefault = \"2\"\n",
            withdrawn.contains(&n)
        ));
    }
    text
}
