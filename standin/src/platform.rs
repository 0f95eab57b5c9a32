//! Stand-in for the platform's services, all behind one address.
//!
//! | request | service |
//! |---|---|
//! | `POST /` with `X-Amz-Target` | table |
//! | `GET`, `PUT /BUCKET/NAME`, `GET /BUCKET?list-type=2` | objects |
//! | `GET /vms` | list of VMs |
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

use crate::object_store::{ObjectStore, error_body, percent_decode};
use crate::table::{Exception, Tables};
use crate::weight_store::{WeightStore, WeightStoreSpec};

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Longer than any caller waits.
const NEVER: Duration = Duration::from_secs(600);

/// Burst size of the rate limits, as the requests of this many seconds.
const BURST_SECONDS: f64 = 0.25;

/// Configuration of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSpec {
    /// Maximum number of table transactions per second, and of object writes per second.
    pub writes: f64,
    /// Maximum number of table reads per second, and of object reads per second.
    pub reads: f64,
    /// Maximum number of items or names per page of an answer.
    pub page_size: usize,
    /// Time after which a change of the list of VMs becomes visible.
    pub vm_list_age: Duration,
    /// Configuration of the weight store.
    pub weights: WeightStoreSpec,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        Self {
            writes: 300.0,
            reads: 2000.0,
            page_size: 1000,
            vm_list_age: Duration::from_secs(1),
            weights: WeightStoreSpec::default(),
        }
    }
}

/// Change of the faults of a service; absent fields leave the fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFault {
    /// `table`, `objects`, `vms` or `weights`; all of them if absent.
    pub service: Option<String>,
    /// Closes the connection of every request, which has no effect.
    pub outage: Option<bool>,
    /// Milliseconds by which requests are delayed before they take effect.
    pub slow_ms: Option<u64>,
    /// Number of answers that are lost after the request has taken effect.
    pub lose_answers: Option<u32>,
    /// Accepts requests without effect and never answers them, also not after the fault.
    pub silent: Option<bool>,
    /// Silences the open connections of all services for good; new ones work.
    pub silence: bool,
}

/// Services in the order of `State::faults`.
const SERVICES: [&str; 4] = ["table", "objects", "vms", "weights"];

#[derive(Clone, Default)]
struct Faults {
    outage: bool,
    delay: Duration,
    lost_answers: u32,
    silent: bool,
}

/// Token bucket of a rate limit.
struct RateLimit {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl RateLimit {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate * BURST_SECONDS, at: Instant::now() }
    }

    fn try_consume(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min((self.rate * BURST_SECONDS).max(1.0));
        self.at = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

struct State {
    tables: Tables,
    objects: ObjectStore,
    // Table writes, table reads, object writes and object reads.
    rate_limits: [RateLimit; 4],
    faults: [Faults; 4],
    // Lists of VMs and when each was set, oldest first.
    vms: Vec<(Instant, Vec<Vm>)>,
    throttled: u64,
    commits: u64,
    reads: u64,
}

struct Inner {
    spec: PlatformSpec,
    connections: ConnectionControl,
    weights: WeightStore,
    state: Mutex<State>,
}

/// The platform's services; clones share the same state.
#[derive(Clone)]
pub struct Platform(Arc<Inner>);

impl Platform {
    /// Creates services without data that do not listen yet.
    pub fn new(spec: PlatformSpec) -> Self {
        let rates = [spec.writes, spec.reads, spec.writes, spec.reads];
        let state = State {
            tables: Tables::new(spec.page_size),
            objects: ObjectStore::new(spec.page_size),
            rate_limits: rates.map(RateLimit::new),
            faults: Default::default(),
            vms: Vec::new(),
            throttled: 0,
            commits: 0,
            reads: 0,
        };
        let weights = WeightStore::new(spec.weights);
        Self(Arc::new(Inner {
            spec,
            connections: ConnectionControl::default(),
            weights,
            state: Mutex::new(state),
        }))
    }

    /// Serves on an address in a background task.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<RunningServer> {
        let listener = FaultyListener::bind(addr, self.0.connections.clone()).await?;
        Ok(spawn_server(listener, self.clone()))
    }

    /// Returns the control of the platform's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.connections
    }

    /// Number of table transactions that took effect so far.
    pub fn commits(&self) -> u64 {
        self.state().commits
    }

    /// Number of table reads answered so far; each page of a scan counts as one.
    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    /// Sets the list of VMs, which becomes visible after `vm_list_age`.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state().vms.push((Instant::now(), vms));
    }

    /// Changes the active faults; `false` for an unknown service.
    pub fn apply_fault(&self, fault: &PlatformFault) -> bool {
        let mut state = self.state();
        let mut found = false;
        if fault.silence {
            self.0.connections.silence();
        }
        for (name, faults) in SERVICES.iter().zip(&mut state.faults) {
            if fault.service.as_deref().is_none_or(|service| service == *name) {
                found = true;
                faults.outage = fault.outage.unwrap_or(faults.outage);
                faults.delay = fault.slow_ms.map_or(faults.delay, Duration::from_millis);
                faults.lost_answers = fault.lose_answers.unwrap_or(faults.lost_answers);
                faults.silent = fault.silent.unwrap_or(faults.silent);
            }
        }
        found
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    /// Returns the newest list of VMs that is visible.
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

    /// Runs an operation of the table service, subject to its rate limits.
    fn table(&self, target: &str, body: &[u8]) -> Response {
        let operation = target.rsplit('.').next().unwrap_or_default();
        let write = operation == "TransactWriteItems";
        let mut state = self.state();
        let result = match state.rate_limits[usize::from(!write)].try_consume() {
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
                json_response(StatusCode::OK, &answer)
            }
            Err(exception) => json_response(StatusCode::BAD_REQUEST, &exception.body()),
        }
    }

    /// Answers a request to the object store, subject to its rate limits.
    fn objects(&self, method: &Method, uri: &Uri, body: Bytes, create: bool) -> Response {
        let write = *method == Method::PUT;
        let mut state = self.state();
        if !state.rate_limits[if write { 2 } else { 3 }].try_consume() {
            state.throttled += 1;
            return xml_response(StatusCode::SERVICE_UNAVAILABLE, error_body("SlowDown"));
        }
        let path = percent_decode(uri.path().trim_start_matches('/'));
        let query = query(uri);
        let find = |name: &str| query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        match *method {
            Method::PUT => match state.objects.put(&path, body, create) {
                true => Response::builder().status(StatusCode::OK).finish(),
                false => {
                    xml_response(StatusCode::PRECONDITION_FAILED, error_body("PreconditionFailed"))
                }
            },
            Method::GET if find("list-type") == Some("2") => {
                let prefix = find("prefix").unwrap_or_default();
                xml_response(
                    StatusCode::OK,
                    state.objects.list(&path, prefix, find("continuation-token")),
                )
            }
            Method::GET => match state.objects.get(&path) {
                Some(body) => Response::builder().body(body),
                None => xml_response(StatusCode::NOT_FOUND, error_body("NoSuchKey")),
            },
            _ => xml_response(StatusCode::METHOD_NOT_ALLOWED, error_body("MethodNotAllowed")),
        }
    }

    /// Answers a request below `/debug/`.
    fn handle_debug(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let invalid = |e: String| json_response(StatusCode::BAD_REQUEST, &json!({ "error": e }));
        match (method.as_str(), path) {
            ("PUT", "/debug/vms") => match serde_json::from_slice(body) {
                Ok(vms) => {
                    self.set_vms(vms);
                    json_response(StatusCode::OK, &json!({}))
                }
                Err(e) => invalid(e.to_string()),
            },
            ("POST", "/debug/fault") => match serde_json::from_slice(body) {
                Ok(fault) if self.apply_fault(&fault) => json_response(StatusCode::OK, &json!({})),
                Ok(_) => invalid("unknown service".to_owned()),
                Err(e) => invalid(e.to_string()),
            },
            ("GET", "/debug/state") => {
                let state = self.state();
                let view = json!({
                    "commits": state.commits,
                    "reads": state.reads,
                    "throttled": state.throttled,
                    "objects": state.objects.count(),
                    "loads": self.0.weights.loads(),
                });
                json_response(StatusCode::OK, &view)
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}

fn json_response(status: StatusCode, value: &Value) -> Response {
    Response::builder().status(status).content_type("application/json").body(value.to_string())
}

fn xml_response(status: StatusCode, text: String) -> Response {
    let body = Body::from_string(text);
    Response::builder().status(status).content_type("application/xml").body(body)
}

fn query(uri: &Uri) -> Vec<(String, String)> {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs
        .filter_map(|p| p.split_once('='))
        .map(|(n, v)| (percent_decode(n), percent_decode(v)))
        .collect()
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
        let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await?;
        if uri.path().starts_with("/debug/") {
            return Ok(self.handle_debug(&method, uri.path(), &body));
        }
        let service = match (&target, uri.path()) {
            (Some(_), "/") => 0,
            (None, "/vms") => 2,
            (None, "/weights/load") => 3,
            _ => 1,
        };
        let faults = self.state().faults[service].clone();
        // A sleep takes at least a millisecond.
        if !faults.delay.is_zero() {
            sleep(faults.delay).await;
        }
        let close = |peer: Option<SocketAddr>| {
            if let Some(peer) = peer {
                self.0.connections.cut(peer);
            }
        };
        if faults.silent {
            sleep(NEVER).await;
        }
        if faults.outage {
            close(peer);
            return Ok(Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).finish());
        }
        let answer = match (service, target) {
            (0, Some(target)) => self.table(&target, &body),
            (2, _) => json_response(StatusCode::OK, &json!(self.vms())),
            (3, _) => {
                self.0.weights.load().await;
                json_response(StatusCode::OK, &json!({}))
            }
            _ => self.objects(&method, &uri, body, create),
        };
        let mut state = self.state();
        if state.faults[service].lost_answers > 0 {
            state.faults[service].lost_answers -= 1;
            close(peer);
        }
        Ok(answer)
    }
}
