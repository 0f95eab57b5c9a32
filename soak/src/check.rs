//! Checks of what callers and endpoints saw.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::caller::Answer;
use standin::endpoint_instance::Run;

use crate::callers::{Kind, METER_TOKENS, Sent};

/// Rate of the team `meter`, in tokens per second.
pub const METER_RATE: u64 = 20_000;
/// Burst of the team `meter`, in tokens.
pub const METER_BURST: u64 = 20_000;
/// Window of a team's limit; the platform's `QuotaWindowS`.
const WINDOW: Duration = Duration::from_secs(8);
/// Allowed excess of a limit; the platform's `QuotaOvershoot`.
const OVERSHOOT: f64 = 0.1;
/// Allowed excess of a limit in tokens; `QuotaTolerance` in the nodes' settings.
const TOLERANCE: f64 = 90_000.0;
/// Time within which nodes must follow a leave and a configuration; the platform's
/// `DrainMs` and `ConfigDeadlineMs`.
const FOLLOW: Duration = Duration::from_millis(2_000);
/// Time after trouble from which nodes must follow the store; the platform's `StableMs`.
const STABLE: Duration = Duration::from_millis(3_000);
/// Added to [`FOLLOW`] for what was on its way.
const SLACK: Duration = Duration::from_millis(500);
/// Events of a stream.
const EVENTS: usize = 3;
/// Statuses by which the system says that a request did not run.
const NOT_RUN: [u16; 5] = [401, 404, 413, 429, 503];

/// A configuration that the operators wrote.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// When it was written.
    pub at: Instant,
}

/// An endpoint that left.
#[derive(Clone, Debug)]
pub struct Left {
    /// The endpoint.
    pub endpoint: String,
    /// When its entry said so.
    pub at: Instant,
}

/// All that was seen from outside.
#[derive(Default)]
pub struct History {
    /// Requests and answers.
    pub sent: Vec<Sent>,
    /// Runs, with their endpoints.
    pub runs: Vec<(String, Run)>,
    /// Orders in the order of their arrival, by endpoint.
    pub orders: Vec<(String, Vec<Value>)>,
    /// Endpoints that left.
    pub left: Vec<Left>,
    /// Configurations.
    pub configs: Vec<Config>,
    /// Times in which nodes may have learned late of what the store holds.
    pub hidden: Vec<(Instant, Instant)>,
}

impl History {
    /// Whether a node that works at a time knows what the store held before `from`: all
    /// nodes could see the store for long enough before.
    fn is_known(&self, from: Instant, at: Instant) -> bool {
        let since = at - FOLLOW - SLACK;
        let hides = |(a, b): &(Instant, Instant)| *a <= at && *b + STABLE >= since;
        from < since && !self.hidden.iter().any(hides)
    }

    /// What happened, in a few numbers.
    pub fn summary(&self) -> String {
        let status = |s: &Sent| s.answer.as_ref().map_or(0, |a| a.status);
        let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
        for sent in &self.sent {
            *by_status.entry(status(sent)).or_default() += 1;
        }
        let orders: usize = self.orders.iter().map(|(_, o)| o.len()).sum();
        let (sent, runs) = (self.sent.len(), self.runs.len());
        format!("{sent} requests, {runs} runs, {orders} orders, by status {by_status:?}")
    }

    fn runs_of(&self) -> HashMap<&str, usize> {
        let mut all = HashMap::new();
        for (_, run) in &self.runs {
            *all.entry(run.attempt.as_str()).or_insert(0) += 1;
        }
        all
    }
}

/// All that was wrong, a line each.
pub fn check(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    answers(history, &mut found);
    leaves(history, &mut found);
    configurations(history, &mut found);
    limit(history, &mut found);
    holders(history, &mut found);
    found
}

fn is_own(sent: &Sent, answer: &Answer) -> bool {
    let names =
        |header: &str, tail: &str| answer.headers.get(header).is_none_or(|h| h.ends_with(tail));
    let own = names("x-attempt-id", &sent.attempt) && names("x-server-seal", &sent.attempt);
    own && match sent.kind {
        Kind::Stream => {
            let ids: Vec<usize> =
                (0..EVENTS).filter_map(|n| answer.body.find(&format!("id: {n}"))).collect();
            ids.len() == EVENTS
                && ids.is_sorted()
                && answer.body.matches("data: ").count() == EVENTS
        }
        _ => answer.body == format!("answer to {}", sent.attempt),
    }
}

/// At most one run of a write, own and whole answers, and true words about not run.
fn answers(history: &History, found: &mut Vec<String>) {
    let runs = history.runs_of();
    for sent in &history.sent {
        let ran = runs.get(sent.attempt.as_str()).copied().unwrap_or(0);
        let (attempt, kind) = (&sent.attempt, sent.kind);
        if kind == Kind::Write && ran > 1 {
            found.push(format!("once: {attempt} ran {ran} times"));
        }
        let Some(answer) = &sent.answer else { continue };
        if answer.status == 200 && answer.whole && !(is_own(sent, answer) && ran > 0) {
            found.push(format!("own answer: {attempt} {kind:?} ran {ran}: {answer:?}"));
        }
        let sealed = answer.headers.contains_key("x-server-seal");
        if NOT_RUN.contains(&answer.status) && !sealed && ran > 0 {
            found.push(format!(
                "not run: {attempt} {kind:?} ran {ran}, told {} {}",
                answer.status, answer.body
            ));
        }
    }
}

/// No new work for an endpoint that has left.
fn leaves(history: &History, found: &mut Vec<String>) {
    for left in &history.left {
        let late = |r: &&(String, Run)| r.0 == left.endpoint && history.is_known(left.at, r.1.at);
        for (endpoint, run) in history.runs.iter().filter(late) {
            let after = run.at.duration_since(left.at);
            found.push(format!("leave: {} ran at {endpoint} {after:?} after it left", run.attempt));
        }
    }
}

/// A withdrawn key is refused in time, and no process goes back to an older configuration.
fn configurations(history: &History, found: &mut Vec<String>) {
    let taken = |s: &&Sent| s.answer.as_ref().is_some_and(|a| a.status == 200);
    let mut newest: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for sent in history.sent.iter().filter(taken) {
        let Some(key) = sent.key else { continue };
        let next = history.configs.iter().find(|c| c.version == key + 1);
        if let Some(next) = next
            && history.is_known(next.at, sent.begun)
        {
            let after = sent.begun.duration_since(next.at);
            found.push(format!(
                "key: {} had the key of {key}, {after:?} after the next",
                sent.attempt
            ));
        }
        let Some(start) = sent.start else { continue };
        let seen = newest.entry((sent.node, start)).or_default();
        if let Some((_, newer)) = seen.iter().find(|(at, k)| *at < sent.begun && *k > key) {
            let (attempt, node) = (&sent.attempt, sent.node);
            found.push(format!(
                "older: {attempt} had the key of {key} at node {node} after that of {newer}"
            ));
        }
        seen.push((sent.ended, key));
    }
}

/// The limit of the team `meter` over all nodes.
fn limit(history: &History, found: &mut Vec<String>) {
    let own = |r: &&(String, Run)| r.1.headers.get("x-tenant").is_some_and(|t| t == "meter");
    let mut times: Vec<Instant> = history.runs.iter().filter(own).map(|(_, r)| r.at).collect();
    times.sort_unstable();
    let rate = METER_RATE as f64 * WINDOW.as_secs_f64() + METER_BURST as f64;
    let allowed = rate * (1.0 + OVERSHOOT) + TOLERANCE;
    let most =
        times.iter().enumerate().map(|(i, t)| times[i..].partition_point(|u| *u < *t + WINDOW));
    let most = most.max().unwrap_or(0) as u64 * METER_TOKENS;
    if most as f64 > allowed {
        found.push(format!("limit: {most} tokens in {WINDOW:?}, allowed {allowed}"));
    }
}

/// Orders of one holder at a time.
fn holders(history: &History, found: &mut Vec<String>) {
    for (endpoint, orders) in &history.orders {
        for pair in orders.windows(2) {
            let fence = |o: &Value| o["FencingToken"].as_u64().unwrap_or(0);
            let (a, b) = (&pair[0], &pair[1]);
            if fence(b) < fence(a) || (fence(a) == fence(b) && a["Holder"] != b["Holder"]) {
                found.push(format!("holder: {endpoint} got {b} after {a}"));
            }
        }
    }
}
