//! Sample plain service whose calls have effects that must not be repeated.
//!
//! Any `POST`, `PUT` or `DELETE` is executed each time it arrives, without
//! removing duplicates, and counted by the fields of its JSON body. `GET
//! /attempts/ID` tells what became of an attempt. Other `GET` requests only echo.

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
use crate::sample_engine::{EndpointRecord, Executed, Fault, bytes_digest, number, text};
use crate::sample_record::{Faults, json_answer, refusal, take};
use crate::time::Ms;

/// Largest request body in bytes.
const BODY: usize = 4 << 20;

/// Pause between checks whether a frozen service continues.
const FROZEN: Duration = Duration::from_millis(5);

/// Shape of a sample service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name, part of the answers.
    pub name: String,
    /// Time of one call before its effect.
    pub time: Ms,
    /// Whether calls with an old fence are refused.
    pub fenced: bool,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self { name: "service".to_owned(), time: Ms(2), fenced: false }
    }
}

struct State {
    epoch: u64,
    faults: Faults,
    record: EndpointRecord,
    // Answers by attempt; `None` while a call runs.
    answers: BTreeMap<String, Option<(u16, Vec<u8>)>>,
    fence: u64,
}

struct Inner {
    spec: ServiceSpec,
    wire: ConnectionControl,
    state: Mutex<State>,
}

/// Sample service; clones share its state.
#[derive(Clone)]
pub struct SampleService(Arc<Inner>);

impl SampleService {
    /// A service that serves nothing yet.
    pub fn new(spec: ServiceSpec) -> Self {
        let record =
            EndpointRecord { incarnation: format!("{}-0", spec.name), ..EndpointRecord::default() };
        let state = State {
            epoch: 0,
            faults: Faults::default(),
            record,
            answers: BTreeMap::new(),
            fence: 0,
        };
        Self(Arc::new(Inner { spec, wire: ConnectionControl::default(), state: Mutex::new(state) }))
    }

    /// Serves on an address in the background.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<RunningServer> {
        let listener = FaultyListener::bind(addr, self.0.wire.clone()).await?;
        Ok(spawn_server(listener, self.clone()))
    }

    /// What the service saw so far.
    pub fn record(&self) -> EndpointRecord {
        self.state().record.clone()
    }

    /// Control of the service's connections.
    pub fn connections(&self) -> &ConnectionControl {
        &self.0.wire
    }

    /// Changes the faults in force.
    pub fn apply_fault(&self, fault: &Fault) {
        self.state().faults.merge(fault);
        if let Some(nth) = fault.drop_nth {
            self.0.wire.drop_nth(nth);
        }
        if fault.silence == Some(true) {
            self.0.wire.silence();
        }
        if fault.crash == Some(true) {
            self.crash();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    /// Loses running calls and connections; effects and their answers stay.
    fn crash(&self) {
        let mut state = self.state();
        state.epoch += 1;
        state.record.crashes += 1;
        state.record.incarnation = format!("{}-{}", self.0.spec.name, state.epoch);
        state.answers.retain(|_, answer| answer.is_some());
        let down = Duration::from_millis(state.faults.crash_ms);
        drop(state);
        self.0.wire.go_down(down);
    }

    async fn pause(&self, time: Duration) {
        let time = time.mul_f64(self.state().faults.slow.max(0.0));
        // A sleep takes at least a millisecond.
        if !time.is_zero() {
            sleep(time).await;
        }
        while self.state().faults.freeze {
            sleep(FROZEN).await;
        }
    }

    fn answer(&self, attempt: &str) -> Response {
        match self.state().answers.get(attempt) {
            None => refusal(StatusCode::NOT_FOUND, "unknown_attempt", "no such attempt"),
            Some(None) => json_answer(StatusCode::OK, &json!({ "state": "running" })),
            Some(Some((status, body))) => {
                let answer = json!({
                    "state": "ended",
                    "status": status,
                    "content_type": "application/json",
                    "body": STANDARD.encode(body),
                });
                json_answer(StatusCode::OK, &answer)
            }
        }
    }

    async fn execute(&self, call: Executed, body: &[u8], peer: Option<SocketAddr>) -> Response {
        let epoch = {
            let mut state = self.state();
            if self.0.spec.fenced && call.fence < state.fence {
                state.record.refuse("old_fence");
                return refusal(StatusCode::CONFLICT, "old_fence", "the fence is old");
            }
            state.fence = state.fence.max(call.fence);
            state.answers.entry(call.attempt.clone()).or_insert(None);
            state.epoch
        };
        if self.state().faults.crashes(body) {
            self.crash();
        }
        self.pause(self.0.spec.time.to_std()).await;
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
        state.record.execute(call);
        let text = answer.to_string().into_bytes();
        state.answers.insert(attempt, Some((StatusCode::OK.as_u16(), text)));
        if take(&mut state.faults.lose_answers)
            && let Some(peer) = peer
        {
            self.0.wire.cut(peer);
        }
        json_answer(StatusCode::OK, &answer)
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
        self.state().record.see(&headers);
        if method == Method::GET {
            self.pause(Duration::ZERO).await;
            return Ok(match path.strip_prefix("/attempts/") {
                Some(attempt) => self.answer(attempt),
                None if path == "/health" => json_answer(StatusCode::OK, &json!({})),
                None => {
                    let echo = json!({ "service": self.0.spec.name, "path": target });
                    json_answer(StatusCode::OK, &echo)
                }
            });
        }
        let call = Executed {
            attempt: text(&headers, X_REQUEST_ID),
            model: target,
            digest: bytes_digest(&body),
            fence: number(&headers, X_FENCE),
            offset: 0,
        };
        Ok(self.execute(call, &body, peer).await)
    }
}
