//! Sample plain service whose calls have side effects that must not be repeated.
//!
//! Each `POST`, `PUT` or `DELETE` is executed every time it arrives, without deduplication,
//! and counted by the fields of its JSON body. `GET /attempts/ID` returns the state of an
//! attempt. Other `GET` requests only echo their path.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use poem::http::{Method, StatusCode};
use poem::web::RemoteAddr;
use poem::{Addr, Endpoint, Request, Response};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::engine_client::{X_FENCE, X_REQUEST_ID};
use crate::faulty_listener::{ConnectionControl, FaultyListener, RunningServer, spawn_server};
use crate::sample_engine::{
    EndpointRecord, Execution, Fault, bytes_digest, echo_attempt, header_number, header_text,
};
use crate::sample_record::{ActiveFaults, consume_fault, json_response, refusal_response};
use crate::time::Ms;

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Interval at which a frozen service checks whether the freeze has ended.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a sample service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name; part of the answers.
    pub name: String,
    /// Duration of a call before it takes effect.
    pub call_time: Ms,
    /// Whether calls with an outdated fence are refused.
    pub checks_fence: bool,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self { name: "service".to_owned(), call_time: Ms(2), checks_fence: false }
    }
}

struct State {
    epoch: u64,
    faults: ActiveFaults,
    record: EndpointRecord,
    // Answers by attempt; `None` while a call runs.
    answers: BTreeMap<String, Option<(u16, Vec<u8>)>>,
    fence: u64,
}

struct ServiceInner {
    spec: ServiceSpec,
    connections: ConnectionControl,
    state: Mutex<State>,
}

/// Sample service; clones share the same state.
#[derive(Clone)]
pub struct SampleService(Arc<ServiceInner>);

impl SampleService {
    /// Creates a service that does not listen yet.
    pub fn new(spec: ServiceSpec) -> Self {
        let record =
            EndpointRecord { incarnation: format!("{}-0", spec.name), ..EndpointRecord::default() };
        let state = State {
            epoch: 0,
            faults: ActiveFaults::default(),
            record,
            answers: BTreeMap::new(),
            fence: 0,
        };
        Self(Arc::new(ServiceInner {
            spec,
            connections: ConnectionControl::default(),
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

    /// Returns what the service has received and executed so far.
    pub fn record(&self) -> EndpointRecord {
        self.state().record.clone()
    }

    /// Returns the control of the service's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.connections
    }

    /// Changes the active faults.
    pub fn apply_fault(&self, fault: &Fault) {
        self.state().faults.apply(fault);
        if let Some(nth) = fault.drop_nth {
            self.0.connections.drop_nth(nth);
        }
        if fault.silence == Some(true) {
            self.0.connections.silence();
        }
        if fault.crash == Some(true) {
            self.crash();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    /// Simulates a crash: drops running calls and connections; effects that have taken place
    /// and their answers are kept.
    fn crash(&self) {
        let mut state = self.state();
        state.epoch += 1;
        state.record.crashes += 1;
        state.record.incarnation = format!("{}-{}", self.0.spec.name, state.epoch);
        state.answers.retain(|_, answer| answer.is_some());
        let down = Duration::from_millis(state.faults.crash_ms);
        drop(state);
        self.0.connections.go_down(down);
    }

    /// Waits for `time`, scaled by the slowdown factor, and then until the service is not
    /// frozen.
    async fn wait_scaled(&self, time: Duration) {
        let time = time.mul_f64(self.state().faults.slow.max(0.0));
        // A sleep takes at least a millisecond.
        if !time.is_zero() {
            sleep(time).await;
        }
        while self.state().faults.freeze {
            sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    /// Returns the state of an attempt and, once it has ended, its answer.
    fn attempt_state(&self, attempt: &str) -> Response {
        match self.state().answers.get(attempt) {
            None => refusal_response(StatusCode::NOT_FOUND, "unknown_attempt", "no such attempt"),
            Some(None) => json_response(StatusCode::OK, &json!({ "state": "running" })),
            Some(Some((status, body))) => {
                let answer = json!({
                    "state": "ended",
                    "status": status,
                    "content_type": "application/json",
                    "body": STANDARD.encode(body),
                });
                json_response(StatusCode::OK, &answer)
            }
        }
    }

    /// Executes a call and records its effect and answer.
    async fn execute(&self, call: Execution, body: &[u8], peer: Option<SocketAddr>) -> Response {
        let epoch = {
            let mut state = self.state();
            if self.0.spec.checks_fence && call.fence < state.fence {
                state.record.record_refusal("old_fence");
                return refusal_response(StatusCode::CONFLICT, "old_fence", "the fence is old");
            }
            state.fence = state.fence.max(call.fence);
            state.answers.entry(call.attempt.clone()).or_insert(None);
            state.epoch
        };
        if self.state().faults.crashes_on(body) {
            self.crash();
        }
        self.wait_scaled(self.0.spec.call_time.to_std()).await;
        let mut state = self.state();
        if state.epoch != epoch {
            return Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish();
        }
        let fields = serde_json::from_slice::<serde_json::Map<String, Value>>(body);
        for (name, value) in fields.unwrap_or_default() {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            *state.record.fields.entry(format!("{name}={value}")).or_default() += 1;
        }
        let attempt = call.attempt.clone();
        let answer = json!({
            "service": self.0.spec.name,
            "path": call.model,
            "attempt": attempt,
            "digest": call.digest,
            "number": state.record.executions + 1,
        });
        state.record.record_execution(call);
        let encoded = answer.to_string().into_bytes();
        state.answers.insert(attempt, Some((StatusCode::OK.as_u16(), encoded)));
        if consume_fault(&mut state.faults.lose_answers)
            && let Some(peer) = peer
        {
            self.0.connections.cut(peer);
        }
        json_response(StatusCode::OK, &answer)
    }
}

impl Endpoint for SampleService {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let path = req.uri().path().to_owned();
        let target = req.uri().path_and_query().map_or(path.clone(), ToString::to_string);
        let (method, headers) = (req.method().clone(), req.headers().clone());
        let peer = match req.remote_addr() {
            RemoteAddr(Addr::SocketAddr(addr)) => Some(*addr),
            RemoteAddr(_) => None,
        };
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
        self.state().record.record_headers(&headers);
        if method == Method::GET {
            self.wait_scaled(Duration::ZERO).await;
            return Ok(match path.strip_prefix("/attempts/") {
                Some(attempt) => self.attempt_state(attempt),
                None if path == "/health" => json_response(StatusCode::OK, &json!({})),
                None => {
                    let echo = json!({ "service": self.0.spec.name, "path": target });
                    json_response(StatusCode::OK, &echo)
                }
            });
        }
        let call = Execution {
            attempt: header_text(&headers, X_REQUEST_ID),
            model: target,
            digest: bytes_digest(&body),
            fence: header_number(&headers, X_FENCE),
            offset: 0,
        };
        Ok(echo_attempt(&headers, self.execute(call, &body, peer).await))
    }
}
