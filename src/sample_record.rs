//! Record of what a sample endpoint received and executed, and its injected faults.

use std::collections::{BTreeMap, BTreeSet};

use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Most executions that a record keeps, and most values per header; the oldest executions
/// are dropped first.
const MAX_RECORDED: usize = 200_000;

/// Headers whose values differ with every request and are therefore not recorded.
const UNRECORDED_HEADERS: [&str; 3] = ["x-request-id", "content-length", "traceparent"];

/// One execution of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Attempt id as received.
    pub attempt: String,
    /// Model of an engine request, or path of a service call.
    pub model: String,
    /// Digest of the request's content; see `content_digest` and `bytes_digest`.
    pub digest: String,
    /// Fence of the request.
    pub fence: u64,
    /// Tokens sent by earlier attempts of a resumed stream.
    pub offset: u64,
}

/// One adapter order that took effect at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// `load` or `unload`.
    pub kind: String,
    /// Adapter and version, as `NAME@VERSION`.
    pub adapter: String,
    /// Fence of the order.
    pub fence: u64,
    /// Requests queued or running on the adapter when the order took effect.
    pub active: u64,
}

/// What an endpoint has received since it was created, over all incarnations.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Current incarnation.
    pub incarnation: String,
    /// Values received, by header name.
    pub headers: BTreeMap<String, BTreeSet<String>>,
    /// Most recent executions in the order of their start.
    pub executed: Vec<Execution>,
    /// Number of executions.
    pub executions: u64,
    /// Orders that took effect.
    pub orders: Vec<AdapterOrder>,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, u64>,
    /// Number of service executions by `FIELD=VALUE` of the JSON body.
    pub fields: BTreeMap<String, u64>,
    /// Number of crashes.
    pub crashes: u64,
    /// Number of requests that ended before their answer was complete.
    pub cancelled: u64,
}

impl EndpointRecord {
    /// Records the headers of a request.
    pub(crate) fn record_headers(&mut self, headers: &HeaderMap) {
        for (name, value) in headers {
            if !self.headers.contains_key(name.as_str()) {
                self.headers.insert(name.as_str().to_owned(), BTreeSet::new());
            }
            if UNRECORDED_HEADERS.contains(&name.as_str()) {
                continue;
            }
            let text = String::from_utf8_lossy(value.as_bytes());
            if let Some(values) = self.headers.get_mut(name.as_str())
                && values.len() < MAX_RECORDED
                && !values.contains(text.as_ref())
            {
                values.insert(text.into_owned());
            }
        }
    }

    pub(crate) fn record_execution(&mut self, executed: Execution) {
        self.executions += 1;
        // Dropping half of the list at once keeps the amortized cost per execution constant.
        if self.executed.len() >= MAX_RECORDED {
            self.executed.drain(..MAX_RECORDED / 2);
        }
        self.executed.push(executed);
    }

    pub(crate) fn record_refusal(&mut self, code: &str) {
        *self.refused.entry(code.to_owned()).or_default() += 1;
    }

    /// Number of recorded executions of one attempt.
    pub fn executions_of(&self, attempt: &str) -> usize {
        self.executed.iter().filter(|e| e.attempt == attempt).count()
    }

    /// Whether any recorded header value contains `text`.
    pub fn header_contains(&self, text: &str) -> bool {
        self.headers.values().flatten().any(|value| value.contains(text))
    }
}

/// Change of the active faults; absent fields leave the fault unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Suspends all processing while set.
    pub freeze: Option<bool>,
    /// Factor applied to all delays.
    pub slow: Option<f64>,
    /// Number of adapter loads that fail.
    pub fail_loads: Option<u32>,
    /// Crashes when a request whose body contains this text starts; empty disables it.
    pub crash_marker: Option<String>,
    /// Milliseconds from a crash to the restart.
    pub crash_ms: Option<u64>,
    /// Crashes immediately.
    pub crash: Option<bool>,
    /// Silences the currently open connections: reads and writes no longer reach the peer.
    pub silence: Option<bool>,
    /// Drops every n-th new connection; 0 disables it.
    pub drop_nth: Option<u64>,
    /// Breaks off answers after this number of tokens; 0 disables it.
    pub break_after: Option<u64>,
    /// Number of answers to break off; all of them if absent.
    pub break_count: Option<u32>,
    /// Number of service answers that are lost after the call has taken effect.
    pub lose_answers: Option<u32>,
    /// Number of requests that are answered with the id of another attempt.
    pub foreign_ids: Option<u32>,
    /// Version of the software that later answers state.
    pub software: Option<String>,
}

/// Active faults; the fields are those of [`Fault`].
#[derive(Clone, Debug)]
pub(crate) struct ActiveFaults {
    pub freeze: bool,
    pub slow: f64,
    pub fail_loads: u32,
    pub crash_marker: String,
    pub crash_ms: u64,
    pub break_after: u64,
    pub break_count: u32,
    pub lose_answers: u32,
    pub foreign_ids: u32,
    pub software: String,
}

impl Default for ActiveFaults {
    fn default() -> Self {
        Self {
            freeze: false,
            slow: 1.0,
            fail_loads: 0,
            crash_marker: String::new(),
            crash_ms: 500,
            break_after: 0,
            break_count: u32::MAX,
            lose_answers: 0,
            foreign_ids: 0,
            software: "1".to_owned(),
        }
    }
}

impl ActiveFaults {
    pub fn apply(&mut self, fault: &Fault) {
        fn set<T: Clone>(field: &mut T, value: &Option<T>) {
            if let Some(value) = value {
                *field = value.clone();
            }
        }
        set(&mut self.freeze, &fault.freeze);
        set(&mut self.slow, &fault.slow);
        set(&mut self.fail_loads, &fault.fail_loads);
        set(&mut self.crash_marker, &fault.crash_marker);
        set(&mut self.crash_ms, &fault.crash_ms);
        set(&mut self.break_after, &fault.break_after);
        if fault.break_after.is_some() {
            self.break_count = fault.break_count.unwrap_or(u32::MAX);
        }
        set(&mut self.lose_answers, &fault.lose_answers);
        set(&mut self.foreign_ids, &fault.foreign_ids);
        set(&mut self.software, &fault.software);
    }

    /// Whether a request with this body triggers a crash.
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        let marker = self.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|w| w == marker)
    }
}

/// Whether a counted fault is due; decrements the counter. `u32::MAX` is unlimited.
pub(crate) fn consume_fault(count: &mut u32) -> bool {
    let due = *count > 0;
    if due && *count != u32::MAX {
        *count -= 1;
    }
    due
}

pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(Body::from_vec(body))
}

/// A refusal in the standard error format, which states that the request did not run.
pub(crate) fn refusal_response(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({ "type": "refused", "code": code, "message": message, "ran": "no" });
    json_response(status, &json!({ "error": error }))
}
