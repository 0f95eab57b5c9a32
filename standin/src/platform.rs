//! The platform's services behind one address.
//!
//! | request | service |
//! |---|---|
//! | `POST /` with `X-Amz-Target` | table |
//! | `GET`, `PUT /BUCKET/NAME`, `GET /BUCKET?list-type=2` | objects |
//! | `GET /vms` | list of machines |
//! | `POST /weights/load` | weight store |
//! | `PUT /debug/vms`, `POST /debug/fault`, `GET /debug/state` | control |

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use poem::http::{Method, StatusCode, Uri, header};
use poem::web::RemoteAddr;
use poem::{Addr, Body, Endpoint, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sycamorefork::faulty_listener::{
    ConnectionControl, FaultyListener, RunningServer, spawn_server,
};
use sycamorefork::storage::Vm;
use tokio::time::{Instant, sleep};

use crate::store::{Store, decode, error};
use crate::table::{Exception, Tables};
use crate::weights::{WeightSpec, Weights};

/// Largest request body in bytes.
const BODY: usize = 16 << 20;

/// Share of a second's rate that may be used at once.
const BURST: f64 = 0.25;

/// Shape of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSpec {
    /// Transactions per second of the table; also puts per second of the store.
    pub writes: f64,
    /// Reads per second of the table, and of the store.
    pub reads: f64,
    /// Items or names per page.
    pub page_size: usize,
    /// Age of the list of machines.
    pub vm_list_age: Duration,
    /// Weight store.
    pub weights: WeightSpec,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        Self {
            writes: 300.0,
            reads: 2000.0,
            page_size: 1000,
            vm_list_age: Duration::from_secs(1),
            weights: WeightSpec::default(),
        }
    }
}

/// Change of the faults of a service; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFault {
    /// `table`, `objects`, `vms` or `weights`; all of them without it.
    pub service: Option<String>,
    /// Cuts the connection of every request, without effect.
    pub outage: Option<bool>,
    /// Milliseconds added before the effect.
    pub slow_ms: Option<u64>,
    /// Loses so many answers after the effect.
    pub lose_answers: Option<u32>,
}

const SERVICES: [&str; 4] = ["table", "objects", "vms", "weights"];

#[derive(Clone, Default)]
struct Faults {
    outage: bool,
    slow: Duration,
    answers: u32,
}

/// Rate limit.
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { rate, level: rate * BURST, at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min((self.rate * BURST).max(1.0));
        self.at = now;
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }
}

struct State {
    tables: Tables,
    store: Store,
    buckets: [Bucket; 4],
    faults: [Faults; 4],
    // Lists of machines and when each was set, oldest first.
    vms: Vec<(Instant, Vec<Vm>)>,
    throttled: u64,
    commits: u64,
    reads: u64,
}

struct Inner {
    spec: PlatformSpec,
    wire: ConnectionControl,
    weights: Weights,
    state: Mutex<State>,
}

/// The platform's services; clones share their state.
#[derive(Clone)]
pub struct Platform(Arc<Inner>);

impl Platform {
    /// Empty services.
    pub fn new(spec: PlatformSpec) -> Self {
        let rates = [spec.writes, spec.reads, spec.writes, spec.reads];
        let state = State {
            tables: Tables::new(spec.page_size),
            store: Store::new(spec.page_size),
            buckets: rates.map(Bucket::new),
            faults: Default::default(),
            vms: Vec::new(),
            throttled: 0,
            commits: 0,
            reads: 0,
        };
        let weights = Weights::new(spec.weights);
        Self(Arc::new(Inner {
            spec,
            wire: ConnectionControl::default(),
            weights,
            state: Mutex::new(state),
        }))
    }

    /// Serves on an address in the background.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<RunningServer> {
        let listener = FaultyListener::bind(addr, self.0.wire.clone()).await?;
        Ok(spawn_server(listener, self.clone()))
    }

    /// Control of the platform's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.wire
    }

    /// Transactions that took effect so far.
    pub fn commits(&self) -> u64 {
        self.state().commits
    }

    /// Reads of the table that were answered so far; each page of a scan is one.
    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    /// Sets the list of machines, which is shown after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state().vms.push((Instant::now(), vms));
    }

    /// Changes the faults in force; `false` for an unknown service.
    pub fn apply_fault(&self, fault: &PlatformFault) -> bool {
        let mut state = self.state();
        let mut found = false;
        for (name, faults) in SERVICES.iter().zip(&mut state.faults) {
            if fault.service.as_deref().is_none_or(|service| service == *name) {
                found = true;
                faults.outage = fault.outage.unwrap_or(faults.outage);
                faults.slow = fault.slow_ms.map_or(faults.slow, Duration::from_millis);
                faults.answers = fault.lose_answers.unwrap_or(faults.answers);
            }
        }
        found
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    /// The newest list that is older than the lag.
    fn vms(&self) -> Vec<Vm> {
        let mut state = self.state();
        let visible = |(at, _): &(Instant, Vec<Vm>)| at.elapsed() >= self.0.spec.vm_list_age;
        let shown = state.vms.iter().rposition(visible);
        match shown {
            Some(at) => {
                state.vms.drain(..at);
                state.vms[0].1.clone()
            }
            None => Vec::new(),
        }
    }

    fn table(&self, target: &str, body: &[u8]) -> Response {
        let operation = target.rsplit('.').next().unwrap_or_default();
        let write = operation == "TransactWriteItems";
        let mut state = self.state();
        let result = match state.buckets[usize::from(!write)].take() {
            true => {
                let body = serde_json::from_slice(body).unwrap_or(Value::Null);
                state.tables.run(operation, &body)
            }
            false => {
                state.throttled += 1;
                Err(Exception::throttled())
            }
        };
        match result {
            Ok(answer) => {
                state.commits += u64::from(write);
                state.reads += u64::from(!write);
                json_answer(StatusCode::OK, &answer)
            }
            Err(exception) => json_answer(StatusCode::BAD_REQUEST, &exception.body()),
        }
    }

    fn objects(&self, method: &Method, uri: &Uri, body: Bytes, create: bool) -> Response {
        let write = *method == Method::PUT;
        let mut state = self.state();
        if !state.buckets[if write { 2 } else { 3 }].take() {
            state.throttled += 1;
            return xml(StatusCode::SERVICE_UNAVAILABLE, error("SlowDown"));
        }
        let path = decode(uri.path().trim_start_matches('/'));
        let query = query(uri);
        let find = |name: &str| query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        match *method {
            Method::PUT => match state.store.put(&path, body, create) {
                true => Response::builder().status(StatusCode::OK).finish(),
                false => xml(StatusCode::PRECONDITION_FAILED, error("PreconditionFailed")),
            },
            Method::GET if find("list-type") == Some("2") => {
                let prefix = find("prefix").unwrap_or_default();
                xml(StatusCode::OK, state.store.list(&path, prefix, find("continuation-token")))
            }
            Method::GET => match state.store.get(&path) {
                Some(body) => Response::builder().body(body),
                None => xml(StatusCode::NOT_FOUND, error("NoSuchKey")),
            },
            _ => xml(StatusCode::METHOD_NOT_ALLOWED, error("MethodNotAllowed")),
        }
    }

    fn control(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let invalid = |e: String| json_answer(StatusCode::BAD_REQUEST, &json!({ "error": e }));
        match (method.as_str(), path) {
            ("PUT", "/debug/vms") => match serde_json::from_slice(body) {
                Ok(vms) => {
                    self.set_vms(vms);
                    json_answer(StatusCode::OK, &json!({}))
                }
                Err(e) => invalid(e.to_string()),
            },
            ("POST", "/debug/fault") => match serde_json::from_slice(body) {
                Ok(fault) if self.apply_fault(&fault) => json_answer(StatusCode::OK, &json!({})),
                Ok(_) => invalid("unknown service".to_owned()),
                Err(e) => invalid(e.to_string()),
            },
            ("GET", "/debug/state") => {
                let state = self.state();
                let view = json!({
                    "commits": state.commits,
                    "reads": state.reads,
                    "throttled": state.throttled,
                    "objects": state.store.count(),
                    "loads": self.0.weights.loads(),
                });
                json_answer(StatusCode::OK, &view)
            }
            _ => json_answer(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}

fn json_answer(status: StatusCode, value: &Value) -> Response {
    Response::builder().status(status).content_type("application/json").body(value.to_string())
}

fn xml(status: StatusCode, text: String) -> Response {
    let body = Body::from_string(text);
    Response::builder().status(status).content_type("application/xml").body(body)
}

fn query(uri: &Uri) -> Vec<(String, String)> {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs.filter_map(|p| p.split_once('=')).map(|(n, v)| (decode(n), decode(v))).collect()
}

impl Endpoint for Platform {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let (method, uri) = (req.method().clone(), req.uri().clone());
        let target = req.header("x-amz-target").map(str::to_owned);
        let create = req.headers().get(header::IF_NONE_MATCH).is_some_and(|v| v == "*");
        let peer = match req.remote_addr() {
            RemoteAddr(Addr::SocketAddr(addr)) => Some(*addr),
            RemoteAddr(_) => None,
        };
        let body = req.take_body().into_bytes_limit(BODY).await?;
        if uri.path().starts_with("/debug/") {
            return Ok(self.control(&method, uri.path(), &body));
        }
        let at = match (&target, uri.path()) {
            (Some(_), "/") => 0,
            (None, "/vms") => 2,
            (None, "/weights/load") => 3,
            _ => 1,
        };
        let faults = self.state().faults[at].clone();
        // A sleep takes at least a millisecond.
        if !faults.slow.is_zero() {
            sleep(faults.slow).await;
        }
        let cut = |peer: Option<SocketAddr>| {
            if let Some(peer) = peer {
                self.0.wire.cut(peer);
            }
        };
        if faults.outage {
            cut(peer);
            return Ok(Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).finish());
        }
        let answer = match (at, target) {
            (0, Some(target)) => self.table(&target, &body),
            (2, _) => json_answer(StatusCode::OK, &json!(self.vms())),
            (3, _) => {
                self.0.weights.load().await;
                json_answer(StatusCode::OK, &json!({}))
            }
            _ => self.objects(&method, &uri, body, create),
        };
        let mut state = self.state();
        if state.faults[at].answers > 0 {
            state.faults[at].answers -= 1;
            cut(peer);
        }
        Ok(answer)
    }
}
