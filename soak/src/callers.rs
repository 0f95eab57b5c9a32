//! Callers with kept connections, and what they saw.

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

use crate::plan::NODES;

/// Key of the team `meter`, which sends more than its rate.
pub const METER_KEY: &str = "key-meter";
/// Tokens of a request of the team `meter`.
pub const METER_TOKENS: u64 = 1_000;
/// Pause of the callers of the team `meter` in each of [`METERS`] tasks.
const METER_PAUSE: Duration = Duration::from_millis(40);
/// Tasks that send for the team `meter`; together four times its rate.
pub const METERS: usize = 3;
/// Tasks that send for the team `studio`.
pub const STUDIOS: usize = 9;
/// Longest pause between two requests of a caller, in ms.
const PAUSE: u64 = 60;
/// Time after which a caller gives up, beyond the deadline that it sends.
const PATIENCE: Duration = Duration::from_millis(4_500);

/// What was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may be repeated.
    Read,
    /// A call that must not run twice.
    Write,
    /// A stream of an adapter.
    Stream,
}

/// A request and what its caller saw.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub attempt: String,
    /// Its kind.
    pub kind: Kind,
    /// The node that it was sent to.
    pub node: usize,
    /// Which process of the node answered, if it is certain.
    pub start: Option<u64>,
    /// Configuration whose own key it carried, if it carried one.
    pub key: Option<u64>,
    /// When it was sent.
    pub begun: Instant,
    /// When its answer had arrived, or the caller gave up.
    pub ended: Instant,
    /// The answer.
    pub answer: Option<Answer>,
}

/// What callers share.
#[derive(Default)]
pub struct Shared {
    /// Addresses of the nodes.
    pub nodes: Vec<NodeAddresses>,
    /// Starts of each node's process.
    pub starts: [AtomicU64; NODES],
    /// Newest configuration.
    pub version: AtomicU64,
    /// Callers are to stop.
    pub done: AtomicBool,
    /// What was sent.
    pub sent: Mutex<Vec<Sent>>,
}

/// The key that only one configuration knows.
pub fn own_key(version: u64) -> String {
    format!("key-{version}")
}

struct Caller {
    shared: Arc<Shared>,
    rng: StdRng,
    connections: [Option<TcpStream>; NODES],
}

impl Caller {
    async fn send(
        &mut self,
        attempt: String,
        node: usize,
        kind: Kind,
        key: Option<u64>,
        ask: CallerRequest<'_>,
    ) {
        let start = self.shared.starts[node].load(Ordering::Relaxed);
        let begun = Instant::now();
        let answer = timeout(PATIENCE, self.exchange(node, &ask.bytes())).await.ok().flatten();
        let keeps =
            |a: &Answer| a.whole && a.headers.get("connection").is_none_or(|c| c != "close");
        if !answer.as_ref().is_some_and(keeps) {
            self.connections[node] = None;
        }
        let ended = Instant::now();
        let same = start == self.shared.starts[node].load(Ordering::Relaxed);
        let start = same.then_some(start);
        let sent = Sent { attempt, kind, node, start, key, begun, ended, answer };
        self.shared.sent.lock().unwrap().push(sent);
    }

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

fn caller(shared: &Arc<Shared>, seed: u64, n: usize) -> Caller {
    let rng = StdRng::seed_from_u64(seed ^ (n as u64 + 1) << 32);
    Caller { shared: shared.clone(), rng, connections: [const { None }; NODES] }
}

/// Sends for the team `studio` until the run is done.
pub async fn studio(shared: Arc<Shared>, seed: u64, n: usize) {
    let mut caller = caller(&shared, seed, n);
    for i in 0.. {
        if shared.done.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{n:02x}{i:06x}");
        let node = caller.rng.random_range(0..NODES);
        let (kind, line) = match caller.rng.random_range(0..4) {
            0 => (Kind::Read, "GET /look/1"),
            1 | 2 => (Kind::Write, "POST /enter/1"),
            _ => (Kind::Stream, "POST /ask/1"),
        };
        // Every fourth request carries the key of the newest or of an older configuration.
        let newest = shared.version.load(Ordering::Relaxed);
        let older = caller.rng.random_range(0..4);
        let key = caller.rng.random_bool(0.25).then(|| newest.saturating_sub(older).max(1));
        let token = key.map_or(KEY.to_owned(), own_key);
        let model = format!("base/a{}", caller.rng.random_range(0..6));
        let mut ask = CallerRequest::new(line, &attempt);
        ask.headers = format!("Authorization: Token {token}\r\n");
        if kind == Kind::Stream {
            ask = ask.with_header("X-Model", &model).with_header("X-Token-Count", "10,5");
        }
        caller.send(attempt.clone(), node, kind, key, ask).await;
        let pause = caller.rng.random_range(0..PAUSE);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends for the team `meter` until the run is done.
pub async fn meter(shared: Arc<Shared>, seed: u64, n: usize) {
    let mut caller = caller(&shared, seed, STUDIOS + n);
    for i in 0.. {
        if shared.done.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{:02x}{i:06x}", 0x80 + n);
        let mut ask = CallerRequest::new("GET /look/1", &attempt);
        ask.headers = format!("Authorization: Token {METER_KEY}\r\n");
        let ask = ask.with_header("X-Token-Count", "800,200");
        caller.send(attempt.clone(), i % NODES, Kind::Read, None, ask).await;
        sleep(METER_PAUSE).await;
    }
}
