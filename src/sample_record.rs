//! What a sample endpoint saw and executed, and the faults it can be given.

use std::collections::{BTreeMap, BTreeSet};

use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Attempts that a record keeps; older ones are forgotten.
const KEPT: usize = 200_000;

/// Headers whose values differ with every request and are not kept.
const UNIQUE: [&str; 3] = ["x-request-id", "content-length", "traceparent"];

/// One attempt that an endpoint executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// Attempt id as the endpoint got it.
    pub attempt: String,
    /// Model or path.
    pub model: String,
    /// Digest of the request's content.
    pub digest: String,
    /// Fence of the request.
    pub fence: u64,
    /// Tokens that had been sent before, for a resumed stream.
    pub offset: u64,
}

/// One order that took effect at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// `load` or `unload`.
    pub kind: String,
    /// Adapter and version.
    pub adapter: String,
    /// Fence of the order.
    pub fence: u64,
    /// Requests that ran on the adapter at that moment.
    pub active: u64,
}

/// What an endpoint saw since it was created, over all its incarnations.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Present incarnation.
    pub incarnation: String,
    /// Header names and the values seen.
    pub headers: BTreeMap<String, BTreeSet<String>>,
    /// Executions in the order of their start.
    pub executed: Vec<Executed>,
    /// Executions so far.
    pub executions: u64,
    /// Orders that took effect.
    pub orders: Vec<Order>,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Executions of a service by `FIELD=VALUE` of their body.
    pub fields: BTreeMap<String, u64>,
    /// Crashes so far.
    pub crashes: u64,
    /// Requests whose caller went away before the end.
    pub cancelled: u64,
}

impl EndpointRecord {
    pub(crate) fn see(&mut self, headers: &HeaderMap) {
        for (name, value) in headers {
            if !self.headers.contains_key(name.as_str()) {
                self.headers.insert(name.as_str().to_owned(), BTreeSet::new());
            }
            if UNIQUE.contains(&name.as_str()) {
                continue;
            }
            let text = String::from_utf8_lossy(value.as_bytes());
            if let Some(values) = self.headers.get_mut(name.as_str())
                && values.len() < KEPT
                && !values.contains(text.as_ref())
            {
                values.insert(text.into_owned());
            }
        }
    }

    pub(crate) fn execute(&mut self, executed: Executed) {
        self.executions += 1;
        // Halving keeps the cost of forgetting constant per execution.
        if self.executed.len() >= KEPT {
            self.executed.drain(..KEPT / 2);
        }
        self.executed.push(executed);
    }

    pub(crate) fn refuse(&mut self, code: &str) {
        *self.refused.entry(code.to_owned()).or_default() += 1;
    }

    /// Executions of one attempt.
    pub fn executions_of(&self, attempt: &str) -> usize {
        self.executed.iter().filter(|e| e.attempt == attempt).count()
    }

    /// Whether any header value seen contains `text`.
    pub fn header_contains(&self, text: &str) -> bool {
        self.headers.values().flatten().any(|value| value.contains(text))
    }
}

/// Change of faults; absent fields stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Nothing proceeds while set.
    pub freeze: Option<bool>,
    /// Factor on all times.
    pub slow: Option<f64>,
    /// Fails so many loads.
    pub fail_loads: Option<u32>,
    /// Crashes when a request that contains this text starts to run; empty for none.
    pub crash_marker: Option<String>,
    /// Milliseconds from a crash to the cold restart.
    pub crash_ms: Option<u64>,
    /// Crashes now.
    pub crash: Option<bool>,
    /// Makes the connections that are open now silent.
    pub silence: Option<bool>,
    /// Drops every so many-th new connection; 0 for none.
    pub drop_nth: Option<u64>,
    /// Breaks streams after so many tokens; 0 for never.
    pub break_after: Option<u64>,
    /// Breaks only so many streams; without it, all of them.
    pub break_count: Option<u32>,
    /// Loses so many answers of a service after their effect.
    pub lose_answers: Option<u32>,
    /// Answers so many requests under the id of another attempt.
    pub foreign_ids: Option<u32>,
}

/// Faults in force.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    pub freeze: bool,
    pub slow: f64,
    pub fail_loads: u32,
    pub crash_marker: String,
    pub crash_ms: u64,
    pub break_after: u64,
    pub break_count: u32,
    pub lose_answers: u32,
    pub foreign_ids: u32,
}

impl Default for Faults {
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
        }
    }
}

impl Faults {
    pub fn merge(&mut self, fault: &Fault) {
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
    }

    /// Whether a request with this body crashes the endpoint.
    pub fn crashes(&self, body: &[u8]) -> bool {
        let marker = self.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|w| w == marker)
    }
}

/// Takes one from a counter of faults still to happen.
pub(crate) fn take(count: &mut u32) -> bool {
    let due = *count > 0;
    if due && *count != u32::MAX {
        *count -= 1;
    }
    due
}

pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(Body::from_vec(body))
}

/// A refusal in the usual error shape that states that nothing ran.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({ "type": "refused", "code": code, "message": message, "ran": "no" });
    json_answer(status, &json!({ "error": error }))
}
