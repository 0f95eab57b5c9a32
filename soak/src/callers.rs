//! Callers that reuse connections and record the answers they receive.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::caller::{Answer, CallerRequest, KEY, read_answer};
use standin::node::NodeAddresses;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Key of the team `meter`, which sends more than its rate.
pub const METER_KEY: &str = "key-meter";
/// Tokens of a request of the team `meter`.
pub const METER_TOKENS: u64 = 1_000;
/// Pause between two requests in each of the [`METER_TASKS`] tasks of the team `meter`.
const METER_PAUSE: Duration = Duration::from_millis(40);
/// Number of tasks that send for the team `meter`; together they send four times its rate.
pub const METER_TASKS: usize = 3;
/// Number that distinguishes the first task of the team `meter` from those of `studio`.
const METER_NUMBER: usize = 0x80;
/// Number of tasks that send for the team `studio`, at least.
pub const STUDIO_TASKS: usize = 9;
/// Upper bound of the random pause between two requests of the team `studio`, in ms.
const MAX_PAUSE_MS: u64 = 60;
/// Time after which a caller gives up; longer than the deadline that it sends.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may be repeated.
    Read,
    /// A call that must not run twice.
    Write,
    /// A stream of an adapter.
    Stream,
    /// A stream whose prompt crashes the engine that runs it.
    Fatal,
    /// The rest of a stream that broke.
    Resumed,
}

/// Part of a prompt that crashes engines.
pub const FATAL_PART: &str = "dead";
/// Fraction of the streams that crash engines while callers send such.
const FATAL_SHARE: f64 = 0.3;
/// Number of prompt parts that streams share.
const SHARED_PARTS: u64 = 5;

/// A request and its result as its caller observed it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Attempt id.
    pub attempt: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// Number of the node's process start that answered; `None` if the process was restarted
    /// during the request.
    pub start: Option<u64>,
    /// Version of the configuration whose own key the request carried, if any.
    pub key: Option<u64>,
    /// When it was sent.
    pub started: Instant,
    /// When its answer was complete or the caller gave up.
    pub ended: Instant,
    /// The answer, if one arrived in time.
    pub answer: Option<Answer>,
}

/// State shared by all callers.
#[derive(Default)]
pub struct Shared {
    /// Addresses of the nodes.
    pub nodes: Vec<NodeAddresses>,
    /// Number of process starts of each node.
    pub starts: Vec<AtomicU64>,
    /// Whether callers send requests that crash engines.
    pub poison: AtomicBool,
    /// Version of the newest configuration.
    pub version: AtomicU64,
    /// Whether callers have to stop.
    pub done: AtomicBool,
    /// Requests that have ended.
    pub sent: Mutex<Vec<Sent>>,
    /// Streams that callers have taken up.
    pub resumed: Mutex<Vec<Resumed>>,
}

/// A stream that broke and that its caller took up.
#[derive(Clone, Debug)]
pub struct Resumed {
    /// Attempt that brought its first event.
    pub attempt: String,
    /// Seals of the answers with its first and its further events; empty if there were none.
    pub seals: [String; 2],
}

/// The key that only the configuration of this version contains.
pub fn version_key(version: u64) -> String {
    format!("key-{version}")
}

struct Caller {
    shared: Arc<Shared>,
    rng: StdRng,
    connections: Vec<Option<TcpStream>>,
}

impl Caller {
    /// Sends a request and records the result.
    async fn send(
        &mut self,
        attempt: String,
        node: usize,
        kind: Kind,
        key: Option<u64>,
        request: CallerRequest<'_>,
    ) -> Sent {
        let start = self.shared.starts[node].load(Ordering::Relaxed);
        let started = Instant::now();
        let answer =
            timeout(CALLER_TIMEOUT, self.exchange(node, &request.bytes())).await.ok().flatten();
        let keeps_alive =
            |a: &Answer| a.whole && a.headers.get("connection").is_none_or(|c| c != "close");
        if !answer.as_ref().is_some_and(keeps_alive) {
            self.connections[node] = None;
        }
        let ended = Instant::now();
        let same_process = start == self.shared.starts[node].load(Ordering::Relaxed);
        let start = same_process.then_some(start);
        let sent = Sent { attempt, kind, node, start, key, started, ended, answer };
        self.shared.sent.lock().unwrap().push(sent.clone());
        sent
    }

    /// Takes up a stream at another node if it broke after an event.
    async fn resume(&mut self, broken: &Sent, headers: &str) {
        let Some(answer) = broken.answer.as_ref().filter(|a| a.status == 200 && !a.whole) else {
            return;
        };
        let complete = answer.body.rsplit_once("\n\n").map_or("", |(events, _)| events);
        let Some(last) = complete.rsplit("id: ").next().and_then(|e| e.lines().next()) else {
            return;
        };
        let Ok(last) = last.parse::<u64>() else { return };
        let seal = |a: &Answer| a.headers.get("x-server-seal").cloned().unwrap_or_default();
        let node = self.rng.random_range(0..self.shared.nodes.len());
        let attempt = format!("{}r", broken.attempt);
        let mut request = CallerRequest::new("POST /ask/1", &attempt)
            .with_header("Last-Event-Id", &last.to_string())
            .with_header("Resumes", &broken.attempt);
        request.headers.push_str(headers);
        let next = self.send(attempt.clone(), node, Kind::Resumed, None, request).await.answer;
        let next = next.filter(|a| a.status == 200 && a.body.contains("id: "));
        let seals = [seal(answer), next.as_ref().map(seal).unwrap_or_default()];
        let attempt = broken.attempt.clone();
        self.shared.resumed.lock().unwrap().push(Resumed { attempt, seals });
    }

    /// Sends a request on the connection to a node, opening it if necessary, and reads the
    /// answer.
    async fn exchange(&mut self, node: usize, bytes: &[u8]) -> Option<Answer> {
        if self.connections[node].is_none() {
            let stream = TcpStream::connect(self.shared.nodes[node].frontend).await.ok()?;
            self.connections[node] = Some(stream);
        }
        let stream = self.connections[node].as_mut()?;
        stream.write_all(bytes).await.ok()?;
        read_answer(stream).await
    }
}

fn new_caller(shared: &Arc<Shared>, seed: u64, n: usize) -> Caller {
    let rng = StdRng::seed_from_u64(seed ^ (n as u64 + 1) << 32);
    let connections = shared.nodes.iter().map(|_| None).collect();
    Caller { shared: shared.clone(), rng, connections }
}

/// Sends requests for the team `studio` until the run is done.
pub async fn run_studio(shared: Arc<Shared>, seed: u64, n: usize) {
    let mut caller = new_caller(&shared, seed, n);
    for i in 0.. {
        if shared.done.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{n:02x}{i:06x}");
        let node = caller.rng.random_range(0..shared.nodes.len());
        let fatal = caller.rng.random_bool(FATAL_SHARE) && shared.poison.load(Ordering::Relaxed);
        let (kind, line) = match caller.rng.random_range(0..4) {
            0 => (Kind::Read, "GET /look/1"),
            1 | 2 => (Kind::Write, "POST /enter/1"),
            _ if fatal => (Kind::Fatal, "POST /ask/1"),
            _ => (Kind::Stream, "POST /ask/1"),
        };
        // A quarter of the requests carries the own key of the newest or of a recent
        // configuration.
        let newest = shared.version.load(Ordering::Relaxed);
        let age = caller.rng.random_range(0..4);
        let key = caller.rng.random_bool(0.25).then(|| newest.saturating_sub(age).max(1));
        let token = key.map_or(KEY.to_owned(), version_key);
        let model = format!("base/a{}", caller.rng.random_range(0..6));
        let mut request = CallerRequest::new(line, &attempt);
        request.headers = format!("Authorization: Token {token}\r\n");
        let shared_part = caller.rng.random_range(0..SHARED_PARTS);
        let fatal_part = if kind == Kind::Fatal { FATAL_PART } else { "50" };
        let parts = format!("a1:4,b{shared_part}:3,{fatal_part}:1,{attempt}:2");
        if matches!(kind, Kind::Stream | Kind::Fatal) {
            request = request
                .with_header("X-Model", &model)
                .with_header("X-Token-Count", "10,5")
                .with_header("X-Prompt-Prefix", &parts);
        }
        let sent = caller.send(attempt.clone(), node, kind, key, request).await;
        if kind == Kind::Stream {
            let headers =
                format!("X-Model: {model}\r\nX-Token-Count: 10,5\r\nX-Prompt-Prefix: {parts}\r\n");
            caller.resume(&sent, &headers).await;
        }
        let pause = caller.rng.random_range(0..MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends requests for the team `meter` until the run is done.
pub async fn run_meter(shared: Arc<Shared>, seed: u64, n: usize) {
    let mut caller = new_caller(&shared, seed, METER_NUMBER + n);
    for i in 0.. {
        if shared.done.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{:02x}{i:06x}", METER_NUMBER + n);
        let mut request = CallerRequest::new("GET /look/1", &attempt);
        request.headers = format!("Authorization: Token {METER_KEY}\r\n");
        let request = request.with_header("X-Token-Count", "800,200");
        caller.send(attempt.clone(), i % shared.nodes.len(), Kind::Read, None, request).await;
        sleep(METER_PAUSE).await;
    }
}
