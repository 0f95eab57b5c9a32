//! Sample model engine: deterministic, with the faults of real engines.
//!
//! It generates tokens that name the adapter, the version and a digest of the
//! request's content, so that a caller can check that an answer is its own. It
//! has adapter slots, load times and a batch limit, and it keeps a record of all
//! headers and executions. `GET /debug/record` shows the [`EndpointRecord`],
//! `POST /debug/fault` takes a [`Fault`].

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

use crate::engine_client::{X_FENCE, X_INCARNATION, X_REQUEST_ID, X_RESUMABLE, X_RESUME_OFFSET};
use crate::faulty_listener::{ConnectionControl, FaultyListener, RunningServer, spawn_server};
use crate::http_client::{HttpClient, HttpSettings, build_request};
use crate::ids::stable_hash;
use crate::sample_record::{Faults, json_answer, refusal, take};
use crate::sample_run::{Answering, Run};
use crate::time::Ms;

pub use crate::sample_record::{EndpointRecord, Executed, Fault, Order};

/// Largest request body in bytes.
const BODY: usize = 4 << 20;

/// Tokens of an answer when the request names no maximum.
const TOKENS: u64 = 16;

/// Pause between checks whether a frozen endpoint continues.
const FROZEN: Duration = Duration::from_millis(5);

/// Shape of a sample engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name, part of the incarnation.
    pub name: String,
    /// Base model, which is always loaded.
    pub base: String,
    /// Adapter slots.
    pub slots: usize,
    /// Most requests that run at once.
    pub batch: usize,
    /// Time of one adapter load, unless a weight store decides it.
    pub load: Ms,
    /// Time from start to the first token.
    pub first: Ms,
    /// Tokens per second of one request.
    pub rate: f64,
    /// Whether orders and requests with an old fence are refused.
    pub fenced: bool,
    /// Whether streams can be resumed.
    pub resumable: bool,
    /// Age of the load report.
    pub lag: Ms,
    /// Weight store that times the loads.
    pub weights: Option<SocketAddr>,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            base: "base".to_owned(),
            slots: 8,
            batch: 32,
            load: Ms(250),
            first: Ms(5),
            rate: 200.0,
            fenced: true,
            resumable: true,
            lag: Ms(0),
            weights: None,
        }
    }
}

pub(crate) struct State {
    pub epoch: u64,
    pub faults: Faults,
    pub record: EndpointRecord,
    pub active: BTreeMap<String, Active>,
    loaded: BTreeMap<String, ()>,
    loading: BTreeMap<String, u32>,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
    running: usize,
    arrivals: u64,
    fence: u64,
    report: Option<(Instant, Value)>,
}

/// A request that is queued or running.
pub(crate) struct Active {
    model: String,
    cancel: CancellationToken,
}

pub(crate) struct Inner {
    pub spec: EngineSpec,
    pub wire: ConnectionControl,
    state: Mutex<State>,
    http: HttpClient,
}

impl Inner {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits until `time` times the slow factor after `from`, and as long as the
    /// engine is frozen. Gives the end of the wait.
    pub async fn pause(&self, from: Instant, time: Duration) -> Instant {
        let mut end = from + time.mul_f64(self.state().faults.slow.max(0.0));
        // A sleep takes at least a millisecond, even if its end has passed.
        if end > Instant::now() {
            sleep_until(end).await;
        }
        while self.state().faults.freeze {
            sleep(FROZEN).await;
            end = Instant::now();
        }
        end
    }

    /// Loses all state and connections; starts again with a new incarnation.
    pub fn crash(&self) {
        let mut state = self.state();
        state.epoch += 1;
        state.record.crashes += 1;
        state.record.incarnation = incarnation(&self.spec.name, state.epoch);
        state.loaded.clear();
        state.loading.clear();
        state.waiting.clear();
        state.active.clear();
        state.running = 0;
        state.fence = 0;
        state.report = None;
        let down = Duration::from_millis(state.faults.crash_ms);
        drop(state);
        self.wire.go_down(down);
    }

    /// Gives a place in the batch back.
    pub fn finish(&self, attempt: &str, epoch: u64, started: bool, complete: bool) {
        let mut state = self.state();
        if !complete {
            state.record.cancelled += 1;
        }
        if state.epoch != epoch {
            return;
        }
        state.active.remove(attempt);
        if started {
            state.running -= 1;
        }
        while state.running < self.spec.batch {
            let Some((_, next)) = state.waiting.pop_first() else { break };
            if next.send(()).is_ok() {
                state.running += 1;
            }
        }
    }
}

fn incarnation(name: &str, epoch: u64) -> String {
    format!("{name}-{epoch}-{:08x}", stable_hash(&[name, &epoch.to_string()]) as u32)
}

/// Sample model engine; clones share its state.
#[derive(Clone)]
pub struct SampleEngine(pub(crate) Arc<Inner>);

impl SampleEngine {
    /// An engine that serves nothing yet.
    pub fn new(spec: EngineSpec) -> Self {
        let record =
            EndpointRecord { incarnation: incarnation(&spec.name, 0), ..EndpointRecord::default() };
        let state = State {
            epoch: 0,
            faults: Faults::default(),
            record,
            active: BTreeMap::new(),
            loaded: BTreeMap::new(),
            loading: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: 0,
            arrivals: 0,
            fence: 0,
            report: None,
        };
        let http = HttpClient::new(HttpSettings::default());
        Self(Arc::new(Inner {
            spec,
            wire: ConnectionControl::default(),
            state: Mutex::new(state),
            http,
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

    /// What the engine saw so far.
    pub fn record(&self) -> EndpointRecord {
        self.0.state().record.clone()
    }

    /// Control of the engine's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.wire
    }

    /// Changes the faults in force.
    pub fn apply_fault(&self, fault: &Fault) {
        self.0.state().faults.merge(fault);
        if let Some(nth) = fault.drop_nth {
            self.0.wire.drop_nth(nth);
        }
        if fault.silence == Some(true) {
            self.0.wire.silence();
        }
        if fault.crash == Some(true) {
            self.0.crash();
        }
    }

    fn refuse(&self, status: StatusCode, code: &str, message: &str) -> Response {
        self.0.state().record.refuse(code);
        refusal(status, code, message)
    }

    /// Notes a fence; a refusal if it is old and the engine checks fences.
    fn check_fence(&self, fence: u64) -> Option<Response> {
        let mut state = self.0.state();
        if self.0.spec.fenced && fence < state.fence {
            let known = state.fence;
            drop(state);
            let text = format!("fence {fence} is older than {known}");
            return Some(self.refuse(StatusCode::CONFLICT, "old_fence", &text));
        }
        state.fence = state.fence.max(fence);
        None
    }

    async fn load(&self, name: &str, fence: u64) -> Response {
        if let Some(refused) = self.check_fence(fence) {
            return refused;
        }
        let epoch = {
            let mut state = self.0.state();
            if state.loaded.contains_key(name) {
                return json_answer(StatusCode::OK, &json!({ "loaded": name }));
            }
            let mut taken = state.loaded.len() + state.loading.len();
            taken -= usize::from(state.loading.contains_key(name));
            if taken >= self.0.spec.slots {
                drop(state);
                return self.refuse(StatusCode::BAD_REQUEST, "slots_full", "no free slot");
            }
            *state.loading.entry(name.to_owned()).or_default() += 1;
            state.epoch
        };
        let fetched = self.fetch(name).await;
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
        if !fetched || take(&mut state.faults.fail_loads) {
            drop(state);
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return self.refuse(status, "load_failed", "the adapter could not be loaded");
        }
        state.loaded.insert(name.to_owned(), ());
        state.note("load", name, fence);
        json_answer(StatusCode::OK, &json!({ "loaded": name }))
    }

    /// Waits until the weights of an adapter are there.
    async fn fetch(&self, name: &str) -> bool {
        let Some(addr) = self.0.spec.weights else {
            self.0.pause(Instant::now(), self.0.spec.load.to_std()).await;
            return true;
        };
        let body = Bytes::from(json!({ "adapter": name }).to_string());
        let Ok(req) = build_request(Method::POST, "/weights/load", body) else { return false };
        let deadline = Instant::now() + Duration::from_secs(60);
        let whole = self.0.http.fetch(addr, req, deadline).await;
        self.0.pause(Instant::now(), Duration::ZERO).await;
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
        state.note("unload", name, fence);
        json_answer(StatusCode::OK, &json!({ "unloaded": name }))
    }

    async fn generate(&self, chat: bool, headers: &HeaderMap, body: Bytes) -> Response {
        if let Some(refused) = self.check_fence(number(headers, X_FENCE)) {
            return refused;
        }
        let Ok(json) = serde_json::from_slice::<Value>(&body) else {
            return self.refuse(StatusCode::BAD_REQUEST, "bad_json", "the body is not JSON");
        };
        let model = json["model"].as_str().unwrap_or_default().to_owned();
        let attempt = text(headers, X_REQUEST_ID);
        let cancel = CancellationToken::new();
        let (turn, epoch) = {
            let mut state = self.0.state();
            if model != self.0.spec.base && !state.loaded.contains_key(&model) {
                drop(state);
                let text = format!("model {model:?} is not loaded");
                return self.refuse(StatusCode::NOT_FOUND, "model_not_found", &text);
            }
            let active = Active { model: model.clone(), cancel: cancel.clone() };
            state.active.insert(attempt.clone(), active);
            state.arrivals += 1;
            let turn = if state.running < self.0.spec.batch {
                state.running += 1;
                None
            } else {
                let (send, turn) = oneshot::channel();
                let order = (json["priority"].as_i64().unwrap_or(0), state.arrivals);
                state.waiting.insert(order, send);
                Some(turn)
            };
            (turn, state.epoch)
        };
        let mut run = Run::new(self.0.clone(), attempt.clone(), epoch, turn);
        tokio::select! {
            granted = run.start() => if !granted { return lost() },
            () = cancel.cancelled() => return cancelled(),
        }
        // The adapter can have been unloaded while the request waited.
        if model != self.0.spec.base && !self.0.state().loaded.contains_key(&model) {
            let text = format!("model {model:?} is no longer loaded");
            return self.refuse(StatusCode::NOT_FOUND, "model_not_found", &text);
        }
        let offset = number(headers, X_RESUME_OFFSET);
        let digest = content_digest(&json);
        let foreign = {
            let mut state = self.0.state();
            state.record.execute(Executed {
                attempt: attempt.clone(),
                model: model.clone(),
                digest: digest.clone(),
                fence: number(headers, X_FENCE),
                offset,
            });
            let crashes = state.faults.crashes(&body);
            let foreign = take(&mut state.faults.foreign_ids);
            drop(state);
            if crashes {
                self.0.crash();
                return lost();
            }
            foreign
        };
        let id = if foreign { "f".repeat(32) } else { attempt };
        let answering = Answering {
            run,
            cancel,
            chat,
            id: format!("{}-{id}", if chat { "chatcmpl" } else { "cmpl" }),
            model,
            digest,
            prompt: prompt_tokens(&json),
            total: max_tokens(&json),
            next: offset,
            due: Instant::now(),
            usage: json["stream_options"]["include_usage"].as_bool() == Some(true),
        };
        if json["stream"].as_bool() == Some(true) {
            let resumable = if self.0.spec.resumable { "1" } else { "0" };
            let head = Response::builder()
                .content_type("text/event-stream")
                .header(X_RESUMABLE, resumable);
            return head.body(answering.stream());
        }
        answering.whole().await
    }

    fn report(&self) -> Value {
        let mut state = self.0.state();
        let now = Instant::now();
        if let Some((at, report)) = &state.report
            && now < *at + self.0.spec.lag.to_std()
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
        state.report = Some((now, report.clone()));
        report
    }

    fn models(&self) -> Response {
        let state = self.0.state();
        let base = std::iter::once(&self.0.spec.base);
        let data: Vec<Value> = base
            .chain(state.loaded.keys())
            .map(|id| json!({ "id": id, "object": "model" }))
            .collect();
        let mut answer = json_answer(StatusCode::OK, &json!({ "object": "list", "data": data }));
        if let Ok(value) = state.record.incarnation.parse() {
            answer.headers_mut().insert(X_INCARNATION, value);
        }
        answer
    }
}

impl State {
    fn note(&mut self, kind: &str, name: &str, fence: u64) {
        let active = self.active.values().filter(|a| a.model == name).count() as u64;
        let (kind, adapter) = (kind.to_owned(), name.to_owned());
        self.record.orders.push(Order { kind, adapter, fence, active });
    }
}

fn lost() -> Response {
    refusal(StatusCode::INTERNAL_SERVER_ERROR, "restarted", "the engine restarted")
}

fn cancelled() -> Response {
    let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST);
    refusal(status, "cancelled", "the request was cancelled before it ran")
}

pub(crate) fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

pub(crate) fn number(headers: &HeaderMap, name: &str) -> u64 {
    text(headers, name).parse().unwrap_or(0)
}

/// Digest of what a request asks, without model, team or options: 16 hex digits.
pub fn content_digest(body: &Value) -> String {
    let content = if body["messages"].is_null() { &body["prompt"] } else { &body["messages"] };
    bytes_digest(content.to_string().as_bytes())
}

/// Digest of a service call's body: 16 hex digits.
pub fn bytes_digest(body: &[u8]) -> String {
    hex::encode(&Sha256::digest(body)[..8])
}

/// The token at a position of the answer to a request.
pub fn token(model: &str, digest: &str, at: u64) -> String {
    match at {
        0 => model.to_owned(),
        1 => format!(" {digest}"),
        _ => format!(" {:04x}", stable_hash(&[model, digest, &at.to_string()]) as u16),
    }
}

/// The whole text that a sample engine answers to a request body.
pub fn expected_text(body: &Value) -> String {
    let model = body["model"].as_str().unwrap_or_default();
    let digest = content_digest(body);
    (0..max_tokens(body)).map(|at| token(model, &digest, at)).collect()
}

fn max_tokens(body: &Value) -> u64 {
    let named = body["max_tokens"].as_u64().or_else(|| body["max_completion_tokens"].as_u64());
    named.unwrap_or(TOKENS)
}

/// Words of the prompt, which this engine counts as tokens.
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
        let body = req.take_body().into_bytes_limit(BODY).await?;
        if path.starts_with("/debug/") {
            return Ok(match (method, path.as_str()) {
                (Method::GET, "/debug/record") => json_answer(StatusCode::OK, &self.record()),
                (Method::POST, "/debug/fault") => match serde_json::from_slice(&body) {
                    Ok(fault) => {
                        self.apply_fault(&fault);
                        json_answer(StatusCode::OK, &json!({}))
                    }
                    Err(e) => refusal(StatusCode::BAD_REQUEST, "bad_fault", &e.to_string()),
                },
                _ => refusal(StatusCode::NOT_FOUND, "not_found", "no such path"),
            });
        }
        self.0.state().record.see(&headers);
        self.0.pause(Instant::now(), Duration::ZERO).await;
        let order = || serde_json::from_slice::<Value>(&body).unwrap_or_default();
        let fence = number(&headers, X_FENCE);
        Ok(match (method, path.as_str()) {
            (Method::GET, "/health") => json_answer(StatusCode::OK, &json!({})),
            (Method::GET, "/load") => json_answer(StatusCode::OK, &self.report()),
            (Method::GET, "/v1/models") => self.models(),
            (Method::POST, "/v1/chat/completions") => self.generate(true, &headers, body).await,
            (Method::POST, "/v1/completions") => self.generate(false, &headers, body).await,
            (Method::POST, "/v1/load_lora_adapter") => {
                self.load(order()["lora_name"].as_str().unwrap_or_default(), fence).await
            }
            (Method::POST, "/v1/unload_lora_adapter") => {
                self.unload(order()["lora_name"].as_str().unwrap_or_default(), fence)
            }
            (Method::POST, "/v1/cancel") => {
                let body = order();
                let attempt = body["request_id"].as_str().unwrap_or_default();
                match self.0.state().active.get(attempt) {
                    Some(active) => {
                        active.cancel.cancel();
                        json_answer(StatusCode::OK, &json!({ "cancelled": attempt }))
                    }
                    None => refusal(StatusCode::NOT_FOUND, "not_found", "no such request"),
                }
            }
            _ => refusal(StatusCode::NOT_FOUND, "not_found", "no such path"),
        })
    }
}
