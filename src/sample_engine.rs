//! Sample model engine with deterministic output and fault injection.
//!
//! The generated tokens name the adapter, the version and a digest of the request's
//! content, so that a caller can check that an answer belongs to its request. The engine
//! has adapter slots, load times and a batch limit, and records all headers and
//! executions. `GET /debug/record` returns the [`EndpointRecord`]; `POST /debug/fault`
//! accepts a [`Fault`].

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Endpoint, Request, Response};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::engine_client::{
    X_FENCE, X_INCARNATION, X_REQUEST_ID, X_RESUMABLE, X_RESUME_OFFSET, X_SOFTWARE_VERSION,
};
use crate::faulty_listener::{ConnectionControl, FaultyListener, RunningServer, spawn_server};
use crate::http_client::{HttpClient, HttpSettings, build_request};
use crate::ids::stable_hash;
use crate::sample_record::{ActiveFaults, consume_fault, json_response, refusal_response};
use crate::sample_run::{BatchPlace, Generation};
use crate::time::Ms;

pub use crate::sample_record::{AdapterOrder, EndpointRecord, Execution, Fault};

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Tokens of an answer when the request sets no maximum.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Interval at which a frozen engine checks whether the freeze has ended.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a sample engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name; the incarnation starts with it.
    pub name: String,
    /// Name of the base model, which is always loaded.
    pub base: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests that run at the same time.
    pub batch: usize,
    /// Duration of one adapter load; ignored with a weight store.
    pub load_time: Ms,
    /// Time from the start of a request to its first token.
    pub first_token: Ms,
    /// Token rate of one request, in tokens per second.
    pub token_rate: f64,
    /// Whether orders and requests with an outdated fence are refused.
    pub checks_fence: bool,
    /// Whether streams can be resumed.
    pub resumable: bool,
    /// How long a load report is reused before a new one is built.
    pub report_age: Ms,
    /// Weight store that determines the load times.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            base: "base".to_owned(),
            slots: 8,
            batch: 32,
            load_time: Ms(250),
            first_token: Ms(5),
            token_rate: 200.0,
            checks_fence: true,
            resumable: true,
            report_age: Ms(0),
            weight_store: None,
        }
    }
}

pub(crate) struct State {
    pub epoch: u64,
    pub faults: ActiveFaults,
    pub record: EndpointRecord,
    pub active: BTreeMap<String, ActiveRequest>,
    loaded: BTreeMap<String, ()>,
    loading: BTreeMap<String, u32>,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
    running_count: usize,
    arrivals: u64,
    fence: u64,
    cached_report: Option<(Instant, Value)>,
}

/// A queued or running request.
pub(crate) struct ActiveRequest {
    model: String,
    cancel: CancellationToken,
}

pub(crate) struct EngineInner {
    pub spec: EngineSpec,
    pub connections: ConnectionControl,
    state: Mutex<State>,
    http: HttpClient,
}

impl EngineInner {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits until `from` plus `time`, scaled by the slowdown factor, and then until the
    /// engine is not frozen. Returns the instant at which the wait ended.
    pub async fn wait_scaled(&self, from: Instant, time: Duration) -> Instant {
        let mut end = from + time.mul_f64(self.state().faults.slow.max(0.0));
        // A sleep takes at least a millisecond, even if the deadline has passed.
        if end > Instant::now() {
            sleep_until(end).await;
        }
        while self.state().faults.freeze {
            sleep(FREEZE_POLL_INTERVAL).await;
            end = Instant::now();
        }
        end
    }

    /// Simulates a crash: drops all state and connections and restarts with a new
    /// incarnation.
    pub fn crash(&self) {
        let mut state = self.state();
        state.epoch += 1;
        state.record.crashes += 1;
        state.record.incarnation = incarnation(&self.spec.name, state.epoch);
        state.loaded.clear();
        state.loading.clear();
        state.waiting.clear();
        state.active.clear();
        state.running_count = 0;
        state.fence = 0;
        state.cached_report = None;
        let down = Duration::from_millis(state.faults.crash_ms);
        drop(state);
        self.connections.go_down(down);
    }

    /// Removes a request from the queue or batch and starts waiting requests.
    pub fn release_place(&self, attempt: &str, epoch: u64, started: bool, complete: bool) {
        let mut state = self.state();
        if !complete {
            state.record.cancelled += 1;
        }
        if state.epoch != epoch {
            return;
        }
        state.active.remove(attempt);
        if started {
            state.running_count -= 1;
        }
        while state.running_count < self.spec.batch {
            let Some((_, next)) = state.waiting.pop_first() else { break };
            if next.send(()).is_ok() {
                state.running_count += 1;
            }
        }
    }
}

fn incarnation(name: &str, epoch: u64) -> String {
    format!("{name}-{epoch}-{:08x}", stable_hash(&[name, &epoch.to_string()]) as u32)
}

/// Sample model engine; clones share the same state.
#[derive(Clone)]
pub struct SampleEngine(pub(crate) Arc<EngineInner>);

impl SampleEngine {
    /// Creates an engine that does not listen yet.
    pub fn new(spec: EngineSpec) -> Self {
        let record =
            EndpointRecord { incarnation: incarnation(&spec.name, 0), ..EndpointRecord::default() };
        let state = State {
            epoch: 0,
            faults: ActiveFaults::default(),
            record,
            active: BTreeMap::new(),
            loaded: BTreeMap::new(),
            loading: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running_count: 0,
            arrivals: 0,
            fence: 0,
            cached_report: None,
        };
        let http = HttpClient::new(HttpSettings::default());
        Self(Arc::new(EngineInner {
            spec,
            connections: ConnectionControl::default(),
            state: Mutex::new(state),
            http,
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

    /// Returns what the engine has received and executed so far.
    pub fn record(&self) -> EndpointRecord {
        self.0.state().record.clone()
    }

    /// Returns the control of the engine's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.connections
    }

    /// Changes the active faults.
    pub fn apply_fault(&self, fault: &Fault) {
        self.0.state().faults.apply(fault);
        if let Some(nth) = fault.drop_nth {
            self.0.connections.drop_nth(nth);
        }
        if fault.silence == Some(true) {
            self.0.connections.silence();
        }
        if fault.crash == Some(true) {
            self.0.crash();
        }
    }

    fn refuse(&self, status: StatusCode, code: &str, message: &str) -> Response {
        self.0.state().record.record_refusal(code);
        refusal_response(status, code, message)
    }

    /// Records a fence; returns a refusal if it is outdated and the engine checks fences.
    fn check_fence(&self, fence: u64) -> Option<Response> {
        let mut state = self.0.state();
        if self.0.spec.checks_fence && fence < state.fence {
            let known = state.fence;
            drop(state);
            let message = format!("fence {fence} is older than {known}");
            return Some(self.refuse(StatusCode::CONFLICT, "old_fence", &message));
        }
        state.fence = state.fence.max(fence);
        None
    }

    /// Loads an adapter and waits until it is loaded.
    async fn load(&self, name: &str, fence: u64) -> Response {
        if let Some(refused) = self.check_fence(fence) {
            return refused;
        }
        let epoch = {
            let mut state = self.0.state();
            if state.loaded.contains_key(name) {
                return json_response(StatusCode::OK, &json!({ "loaded": name }));
            }
            let mut used_slots = state.loaded.len() + state.loading.len();
            used_slots -= usize::from(state.loading.contains_key(name));
            if used_slots >= self.0.spec.slots {
                drop(state);
                return self.refuse(StatusCode::BAD_REQUEST, "slots_full", "no free slot");
            }
            *state.loading.entry(name.to_owned()).or_default() += 1;
            state.epoch
        };
        let fetched = self.fetch_weights(name).await;
        let mut state = self.0.state();
        if state.epoch != epoch {
            return Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish();
        }
        if let Some(count) = state.loading.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                state.loading.remove(name);
            }
        }
        if !fetched || consume_fault(&mut state.faults.fail_loads) {
            drop(state);
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return self.refuse(status, "load_failed", "the adapter could not be loaded");
        }
        state.loaded.insert(name.to_owned(), ());
        state.record_order("load", name, fence);
        json_response(StatusCode::OK, &json!({ "loaded": name }))
    }

    /// Waits for the weights of an adapter; `false` if the weight store failed.
    async fn fetch_weights(&self, name: &str) -> bool {
        let Some(addr) = self.0.spec.weight_store else {
            self.0.wait_scaled(Instant::now(), self.0.spec.load_time.to_std()).await;
            return true;
        };
        let body = Bytes::from(json!({ "adapter": name }).to_string());
        let Ok(req) = build_request(Method::POST, "/weights/load", body) else { return false };
        let deadline = Instant::now() + Duration::from_secs(60);
        let whole = self.0.http.fetch(addr, req, deadline).await;
        self.0.wait_scaled(Instant::now(), Duration::ZERO).await;
        whole.is_ok_and(|w| w.status.is_success())
    }

    fn unload(&self, name: &str, fence: u64) -> Response {
        if let Some(refused) = self.check_fence(fence) {
            return refused;
        }
        let mut state = self.0.state();
        if state.loaded.remove(name).is_none() {
            drop(state);
            return self.refuse(StatusCode::NOT_FOUND, "not_loaded", "adapter is not loaded");
        }
        state.record_order("unload", name, fence);
        json_response(StatusCode::OK, &json!({ "unloaded": name }))
    }

    /// Answers a completion request; waits for a place in the batch if it is full.
    async fn generate(&self, chat: bool, headers: &HeaderMap, body: Bytes) -> Response {
        if let Some(refused) = self.check_fence(header_number(headers, X_FENCE)) {
            return refused;
        }
        let Ok(json) = serde_json::from_slice::<Value>(&body) else {
            return self.refuse(StatusCode::BAD_REQUEST, "bad_json", "the body is not JSON");
        };
        let model = json["model"].as_str().unwrap_or_default().to_owned();
        let attempt = header_text(headers, X_REQUEST_ID);
        let cancel = CancellationToken::new();
        let (grant, epoch) = {
            let mut state = self.0.state();
            if model != self.0.spec.base && !state.loaded.contains_key(&model) {
                drop(state);
                let message = format!("model {model:?} is not loaded");
                return self.refuse(StatusCode::NOT_FOUND, "model_not_found", &message);
            }
            let active = ActiveRequest { model: model.clone(), cancel: cancel.clone() };
            state.active.insert(attempt.clone(), active);
            state.arrivals += 1;
            let grant = if state.running_count < self.0.spec.batch {
                state.running_count += 1;
                None
            } else {
                let (send, grant) = oneshot::channel();
                let order = (json["priority"].as_i64().unwrap_or(0), state.arrivals);
                state.waiting.insert(order, send);
                Some(grant)
            };
            (grant, state.epoch)
        };
        let mut place = BatchPlace::new(self.0.clone(), attempt.clone(), epoch, grant);
        tokio::select! {
            granted = place.wait() => if !granted { return restarted_response() },
            () = cancel.cancelled() => return cancelled_response(),
        }
        // The adapter may have been unloaded while the request was queued.
        if model != self.0.spec.base && !self.0.state().loaded.contains_key(&model) {
            let message = format!("model {model:?} is no longer loaded");
            return self.refuse(StatusCode::NOT_FOUND, "model_not_found", &message);
        }
        let offset = header_number(headers, X_RESUME_OFFSET);
        let digest = content_digest(&json);
        let foreign = {
            let mut state = self.0.state();
            state.record.record_execution(Execution {
                attempt: attempt.clone(),
                model: model.clone(),
                digest: digest.clone(),
                fence: header_number(headers, X_FENCE),
                offset,
            });
            let crashes = state.faults.crashes_on(&body);
            let foreign = consume_fault(&mut state.faults.foreign_ids);
            drop(state);
            if crashes {
                self.0.crash();
                return restarted_response();
            }
            foreign
        };
        let id = if foreign { "f".repeat(32) } else { attempt };
        let generation = Generation {
            place,
            cancel,
            chat,
            id: format!("{}-{id}", if chat { "chatcmpl" } else { "cmpl" }),
            model,
            digest,
            prompt_tokens: prompt_tokens(&json),
            total_tokens: max_tokens(&json),
            next_token: offset,
            last_token: Instant::now(),
            include_usage: json["stream_options"]["include_usage"].as_bool() == Some(true),
        };
        if json["stream"].as_bool() == Some(true) {
            let resumable = if self.0.spec.resumable { "1" } else { "0" };
            let software = self.0.state().faults.software.clone();
            let head = Response::builder()
                .content_type("text/event-stream")
                .header(X_SOFTWARE_VERSION, software)
                .header(X_RESUMABLE, resumable);
            return head.body(generation.into_stream());
        }
        generation.into_response().await
    }

    /// Returns the load report, which is rebuilt once it is older than `report_age`.
    fn load_report(&self) -> Value {
        let mut state = self.0.state();
        let now = Instant::now();
        if let Some((at, report)) = &state.cached_report
            && now < *at + self.0.spec.report_age.to_std()
        {
            return report.clone();
        }
        let report = json!({
            "incarnation": state.record.incarnation,
            "fence": state.fence,
            "running": state.active.keys().collect::<Vec<_>>(),
            "queued": state.waiting.len(),
            "slots": self.0.spec.slots,
            "batch": self.0.spec.batch,
        });
        state.cached_report = Some((now, report.clone()));
        report
    }

    fn models(&self) -> Response {
        let state = self.0.state();
        let base = std::iter::once(&self.0.spec.base);
        let data: Vec<Value> = base
            .chain(state.loaded.keys())
            .map(|id| json!({ "id": id, "object": "model" }))
            .collect();
        let mut answer = json_response(StatusCode::OK, &json!({ "object": "list", "data": data }));
        if let Ok(value) = state.record.incarnation.parse() {
            answer.headers_mut().insert(X_INCARNATION, value);
        }
        answer
    }
}

impl State {
    /// Records an order that took effect.
    fn record_order(&mut self, kind: &str, name: &str, fence: u64) {
        let active = self.active.values().filter(|a| a.model == name).count() as u64;
        let (kind, adapter) = (kind.to_owned(), name.to_owned());
        self.record.orders.push(AdapterOrder { kind, adapter, fence, active });
    }
}

fn restarted_response() -> Response {
    refusal_response(StatusCode::INTERNAL_SERVER_ERROR, "restarted", "the engine restarted")
}

fn cancelled_response() -> Response {
    let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST);
    refusal_response(status, "cancelled", "the request was cancelled before it ran")
}

pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns the attempt id of a request in the response to it.
pub(crate) fn echo_attempt(headers: &HeaderMap, mut response: Response) -> Response {
    if let Some(id) = headers.get(X_REQUEST_ID) {
        response.headers_mut().insert(X_REQUEST_ID, id.clone());
    }
    response
}

pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    header_text(headers, name).parse().unwrap_or(0)
}

/// Digest of a request's prompt or messages, without model, team and options, as 16 hex
/// digits.
pub fn content_digest(body: &Value) -> String {
    let content = if body["messages"].is_null() { &body["prompt"] } else { &body["messages"] };
    bytes_digest(content.to_string().as_bytes())
}

/// Digest of the body of a service call, as 16 hex digits.
pub fn bytes_digest(body: &[u8]) -> String {
    hex::encode(&Sha256::digest(body)[..8])
}

/// Returns the token at position `at` of the answer to a request.
pub fn token_at(model: &str, digest: &str, at: u64) -> String {
    match at {
        0 => model.to_owned(),
        1 => format!(" {digest}"),
        _ => format!(" {:04x}", stable_hash(&[model, digest, &at.to_string()]) as u16),
    }
}

/// Returns the complete text that a sample engine generates for a request body.
pub fn expected_text(body: &Value) -> String {
    let model = body["model"].as_str().unwrap_or_default();
    let digest = content_digest(body);
    (0..max_tokens(body)).map(|at| token_at(model, &digest, at)).collect()
}

fn max_tokens(body: &Value) -> u64 {
    let named = body["max_tokens"].as_u64().or_else(|| body["max_completion_tokens"].as_u64());
    named.unwrap_or(DEFAULT_MAX_TOKENS)
}

/// Number of prompt tokens; this engine counts one token per word.
fn prompt_tokens(body: &Value) -> u64 {
    let words = |v: &Value| v.as_str().map_or(0, |s| s.split_whitespace().count() as u64);
    match body["messages"].as_array() {
        Some(list) => list.iter().map(|m| words(&m["content"])).sum(),
        None => words(&body["prompt"]),
    }
}

impl Endpoint for SampleEngine {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let path = req.uri().path().to_owned();
        let (method, headers) = (req.method().clone(), req.headers().clone());
        let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await?;
        if path.starts_with("/debug/") {
            return Ok(match (method, path.as_str()) {
                (Method::GET, "/debug/record") => json_response(StatusCode::OK, &self.record()),
                (Method::POST, "/debug/fault") => match serde_json::from_slice(&body) {
                    Ok(fault) => {
                        self.apply_fault(&fault);
                        json_response(StatusCode::OK, &json!({}))
                    }
                    Err(e) => {
                        refusal_response(StatusCode::BAD_REQUEST, "bad_fault", &e.to_string())
                    }
                },
                _ => refusal_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
            });
        }
        self.0.state().record.record_headers(&headers);
        self.0.wait_scaled(Instant::now(), Duration::ZERO).await;
        let json_body = || serde_json::from_slice::<Value>(&body).unwrap_or_default();
        let fence = header_number(&headers, X_FENCE);
        Ok(match (method, path.as_str()) {
            (Method::GET, "/health") => json_response(StatusCode::OK, &json!({})),
            (Method::GET, "/load") => json_response(StatusCode::OK, &self.load_report()),
            (Method::GET, "/v1/models") => self.models(),
            (Method::POST, "/v1/chat/completions") => {
                echo_attempt(&headers, self.generate(true, &headers, body).await)
            }
            (Method::POST, "/v1/completions") => {
                echo_attempt(&headers, self.generate(false, &headers, body).await)
            }
            (Method::POST, "/v1/load_lora_adapter") => {
                self.load(json_body()["lora_name"].as_str().unwrap_or_default(), fence).await
            }
            (Method::POST, "/v1/unload_lora_adapter") => {
                self.unload(json_body()["lora_name"].as_str().unwrap_or_default(), fence)
            }
            (Method::POST, "/v1/cancel") => {
                let body = json_body();
                let attempt = body["request_id"].as_str().unwrap_or_default();
                match self.0.state().active.get(attempt) {
                    Some(active) => {
                        active.cancel.cancel();
                        json_response(StatusCode::OK, &json!({ "cancelled": attempt }))
                    }
                    None => refusal_response(StatusCode::NOT_FOUND, "not_found", "no such request"),
                }
            }
            _ => refusal_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
        })
    }
}
