//! Stand-ins for the platform's balancer and for clients.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::node::is_ready;
use crate::record::Record;

/// Interval of the readiness checks, and the misses after which a node is out of rotation.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
/// Time that a client allows for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A node as the balancer sees it.
#[derive(Clone)]
struct Target {
    name: String,
    zone: &'static str,
    front: SocketAddr,
    misses: u32,
}

/// The balancer: gives each new connection a node of the client's zone, by a hash of the client.
#[derive(Clone, Default)]
pub struct Balancer(Arc<Mutex<Vec<Target>>>);

impl Balancer {
    /// Adds a node and checks it from now on.
    pub fn watch(&self, name: &str, zone: &'static str, front: SocketAddr, ready: SocketAddr) {
        let target = Target { name: name.to_owned(), zone, front, misses: MISSES };
        self.0.lock().unwrap().push(target);
        let (all, name) = (self.0.clone(), name.to_owned());
        thread::spawn(move || {
            loop {
                let passed = is_ready(ready);
                for target in all.lock().unwrap().iter_mut().filter(|t| t.name == name) {
                    target.misses = if passed { 0 } else { target.misses + 1 };
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
    }

    fn node_for(&self, client: u64, zone: &str) -> Option<(String, SocketAddr)> {
        let all = self.0.lock().unwrap();
        let of_zone: Vec<&Target> = all.iter().filter(|t| t.zone == zone).collect();
        let fit = |list: &[&Target]| -> Vec<Target> {
            list.iter().filter(|t| t.misses < MISSES).map(|t| (*t).clone()).collect()
        };
        let ready = fit(&of_zone);
        let chosen = match ready.len() {
            0 => fit(&all.iter().collect::<Vec<_>>()),
            n if n * 2 < of_zone.len() => of_zone.into_iter().cloned().collect(),
            _ => ready,
        };
        let index = client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let node = chosen.get(index as usize % chosen.len().max(1))?;
        Some((node.name.clone(), node.front))
    }
}

/// A request of a client.
#[derive(Clone)]
pub struct Ask {
    pub path: String,
    pub host: &'static str,
    pub key: String,
    pub model: String,
    /// Number of adapters of the model that are asked for in turn; 0 for the model itself.
    pub adapters: u32,
    pub tokens: (u64, u64),
    pub deadline_ms: u64,
}

impl Ask {
    /// The model, or the adapter, that an attempt asks for.
    fn model_of(&self, attempt: &str) -> String {
        let number = u64::from_str_radix(attempt, 16).unwrap_or(0);
        match self.adapters {
            0 => self.model.clone(),
            n => format!("{}/a{}", self.model, number % u64::from(n) + 1),
        }
    }
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub node: String,
    /// Status; 0 if the connection broke first.
    pub status: u16,
    /// Whether the answer is complete.
    pub whole: bool,
}

/// Numbers of attempts, unique in a case.
static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// A client with one connection at a time.
pub struct Client {
    pub number: u64,
    pub zone: &'static str,
    pub balancer: Balancer,
    pub record: Record,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    /// Requests after which it opens a new connection.
    pub per_connection: u32,
    open: Option<(String, Connection, u32)>,
}

impl Client {
    pub fn new(
        number: u64,
        zone: &'static str,
        balancer: &Balancer,
        record: &Record,
        answers: &Arc<Mutex<Vec<Answer>>>,
    ) -> Self {
        let (balancer, record, answers) = (balancer.clone(), record.clone(), answers.clone());
        Self { number, zone, balancer, record, answers, per_connection: 5, open: None }
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, ask: &Ask) {
        let attempt = format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::SeqCst));
        let (node, status, whole) = self.exchange(ask, &attempt);
        self.record.write(&format!("answered {attempt} by {node} status {status} whole {whole}"));
        if !whole {
            self.open = None;
        }
        self.answers.lock().unwrap().push(Answer { node, status, whole });
    }

    fn exchange(&mut self, ask: &Ask, attempt: &str) -> (String, u16, bool) {
        if self.open.as_ref().is_none_or(|(_, _, used)| *used >= self.per_connection) {
            let Some((node, front)) = self.balancer.node_for(self.number, self.zone) else {
                return ("-".to_owned(), 0, false);
            };
            self.open = match Connection::open(front, CONNECT_LIMIT) {
                Ok(connection) => Some((node, connection, 0)),
                Err(_) => return (node, 0, false),
            };
        }
        let Some((node, connection, used)) = &mut self.open else {
            return (String::new(), 0, false);
        };
        *used += 1;
        let Ask { path, host, key, tokens: (input, output), deadline_ms, .. } = ask;
        let model = ask.model_of(attempt);
        self.record
            .write(&format!("sent {attempt} to {node} model {model} tokens {input},{output}"));
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Model: {model}\r\n\
             X-Token-Count: {input},{output}\r\nX-Prompt-Prefix: {attempt}:{input}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\nContent-Length: 5\r\n\r\nhello"
        );
        let node = node.clone();
        let limit = Duration::from_millis(*deadline_ms + 500);
        let _ = connection.stream.set_read_timeout(Some(limit));
        let answer =
            connection.stream.write_all(request.as_bytes()).and_then(|()| connection.read(true));
        match answer {
            Ok(Some(answer)) => {
                let whole = answer.whole;
                let status = answer.status();
                if answer.header("connection") == "close" {
                    self.open = None;
                }
                (node, status, whole)
            }
            _ => {
                self.open = None;
                (node, 0, false)
            }
        }
    }
}

/// A group of clients that sends requests at a rate, in turn, until it is stopped.
pub struct Load {
    /// Requests a second over all clients, in thousandths.
    pub rate: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(clients: Vec<Client>, ask: &Ask, rate: f64) -> Self {
        let milli = Arc::new(AtomicU64::new((rate * 1000.0) as u64));
        let stop = Arc::new(AtomicBool::new(false));
        let count = clients.len() as u64;
        let start = |(i, mut client): (usize, Client)| {
            let (ask, rate, stop) = (ask.clone(), milli.clone(), stop.clone());
            thread::spawn(move || {
                let mut due = std::time::Instant::now() + Duration::from_millis(7 * i as u64);
                while !stop.load(Ordering::SeqCst) {
                    let per_client = rate.load(Ordering::SeqCst).max(1);
                    let pause = Duration::from_micros(1_000_000_000 * count / per_client);
                    let now = std::time::Instant::now();
                    if due > now {
                        // In steps, so that a change of the rate takes effect.
                        thread::sleep((due - now).min(Duration::from_millis(20)));
                        if due > now + pause {
                            due = now + pause;
                        }
                        continue;
                    }
                    client.ask(&ask);
                    due = (due + pause).max(now);
                }
            })
        };
        let threads = clients.into_iter().enumerate().map(start).collect();
        Self { rate: milli, stop, threads }
    }

    pub fn set_rate(&self, rate: f64) {
        self.rate.store((rate * 1000.0) as u64, Ordering::SeqCst);
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Number of answers by status, for the record.
pub fn by_status(answers: &[Answer]) -> String {
    let mut counts: BTreeMap<(u16, bool), usize> = BTreeMap::new();
    for answer in answers {
        *counts.entry((answer.status, !answer.whole && answer.status > 0)).or_default() += 1;
    }
    let cut = |is_cut: bool| if is_cut { " cut" } else { "" };
    let parts = counts.iter().map(|((status, is_cut), n)| format!("{status}{}: {n}", cut(*is_cut)));
    parts.collect::<Vec<_>>().join(", ")
}
