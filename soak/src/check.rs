//! Checks of the history that callers and endpoints recorded.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::caller::Answer;
use standin::endpoint_instance::Run;

use crate::callers::{CALLER_TIMEOUT, FATAL_PART, Kind, METER_TOKENS, Resumed, Sent};
use crate::fleet::software_of;

/// Rate limit of the team `meter`, in tokens per second.
pub const METER_RATE: u64 = 20_000;
/// Burst limit of the team `meter`, in tokens.
pub const METER_BURST: u64 = 20_000;
/// Window over which a team's limit is checked; the platform's `QuotaWindowS`.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);
/// Fraction by which a limit may be exceeded; the platform's `QuotaOvershoot`.
const LIMIT_OVERSHOOT: f64 = 0.1;
/// Tokens by which a limit may be exceeded; `QuotaTolerance` in the nodes' settings.
const LIMIT_TOLERANCE_TOKENS: f64 = 90_000.0;
/// Time within which nodes must apply a leave or a configuration; the platform's `DrainMs`
/// and `ConfigDeadlineMs`.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after the end of a fault from which nodes must follow the store again; the platform's
/// `StableMs`.
const STABLE_AFTER: Duration = Duration::from_millis(3_000);
/// Added to [`APPLY_LIMIT`] for requests already in flight.
const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(500);
/// Crashes by one prompt part after which nodes must know it.
const CRASHES_UNTIL_KNOWN: usize = 5;
/// Requests with that part that may still run afterwards.
const MAX_LATE_RUNS: usize = 3;
/// Number of events in a stream.
pub const EVENTS_PER_STREAM: u64 = 3;
/// Statuses that state that a request did not run.
const NOT_RUN_STATUSES: [u16; 5] = [401, 404, 413, 429, 503];

/// Time for which an endpoint that refuses all requests wants nothing.
pub const DEFER_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal from which on requests of that node are counted.
const DEFER_SLACK: Duration = Duration::from_millis(500);
/// Most requests of a node that may arrive from then until the end of that time.
const MAX_DEFERRED: usize = 2;
/// Most streams that may hold events of two software versions.
const MAX_JOINED: usize = 2;
/// Requests per second that an endpoint states as its limit.
pub const STATED_LIMIT: f64 = 4.0;
/// Window in which requests to an endpoint with a limit are counted.
const STATED_WINDOW: Duration = Duration::from_secs(4);
/// Factor and number of requests by which a stated limit may be exceeded in a window.
const STATED_TOLERANCE: (f64, f64) = (1.5, 5.0);

/// A rate limit that an endpoint stated.
#[derive(Clone, Debug)]
pub struct StatedLimit {
    /// Name of the endpoint.
    pub endpoint: String,
    /// When it was first stated.
    pub from: Instant,
    /// When it was last stated.
    pub until: Instant,
    /// Arrivals of all requests at the endpoint.
    pub arrivals: Vec<Instant>,
}

/// A configuration written by the operators.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Version.
    pub version: u64,
    /// When it was written.
    pub at: Instant,
}

/// A request that an endpoint refused with a time after which to retry.
#[derive(Clone, Debug)]
pub struct Deferred {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Attempt id.
    pub attempt: String,
    /// When it arrived.
    pub at: Instant,
}

/// A departure of an endpoint.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Name of the endpoint.
    pub endpoint: String,
    /// When its entry was marked as leaving.
    pub at: Instant,
}

/// A time in which something happened to a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeTime {
    /// Index of the node.
    pub node: usize,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

impl NodeTime {
    /// Whether the time overlaps one of `node` from `from` to `until`.
    fn overlaps(&self, node: usize, from: Instant, until: Instant) -> bool {
        self.node == node && self.from <= until && self.until >= from
    }
}

/// Everything observed during a run from outside the nodes.
#[derive(Default)]
pub struct History {
    /// Requests and their answers.
    pub sent: Vec<Sent>,
    /// Executed requests, with the endpoint that ran them.
    pub runs: Vec<(String, Run)>,
    /// Adapter orders by endpoint, in order of arrival.
    pub orders: Vec<(String, Vec<Value>)>,
    /// Endpoints that have left.
    pub left: Vec<Departure>,
    /// Configurations in the order in which they were written.
    pub configs: Vec<Config>,
    /// Intervals in which faults may have delayed what nodes learn from the store.
    pub hidden: Vec<(Instant, Instant)>,
    /// Intervals in which faults may have broken answers of endpoints.
    pub broken: Vec<(Instant, Instant)>,
    /// Planned stops, from SIGTERM to the exit of the process.
    pub stops: Vec<NodeTime>,
    /// Times in which a node was killed, paused or down without a plan.
    pub disturbed: Vec<NodeTime>,
    /// Exits of processes that were not told to stop.
    pub exits: Vec<String>,
    /// Rate limits that endpoints stated.
    pub limits: Vec<StatedLimit>,
    /// Attempts that endpoints refused with a time after which to retry.
    pub deferred: Vec<Deferred>,
    /// Streams that callers have taken up.
    pub resumed: Vec<Resumed>,
    /// Crashes of engines by the prompt part that crashes them.
    pub fatal_crashes: Vec<Instant>,
}

impl History {
    /// Whether at time `at` every node must know what the store has held since `from`: enough
    /// time has passed, and no fault disturbed access to the store shortly before.
    fn is_known(&self, from: Instant, at: Instant) -> bool {
        let since = at - APPLY_LIMIT - IN_FLIGHT_MARGIN;
        let covers = |(a, b): &(Instant, Instant)| *a <= at && *b + STABLE_AFTER >= since;
        from < since && !self.hidden.iter().any(covers)
    }

    /// Whether a fault disturbed a node from [`STABLE_AFTER`] before `from` to `until`.
    fn is_disturbed(&self, node: usize, from: Instant, until: Instant) -> bool {
        self.disturbed.iter().any(|d| d.overlaps(node, from - STABLE_AFTER, until))
    }

    /// Whether a fault may have broken an answer from `from` to `until`.
    fn may_be_broken(&self, from: Instant, until: Instant) -> bool {
        self.broken.iter().any(|(a, b)| *a <= until && *b + STABLE_AFTER >= from)
    }

    /// When the first request was sent.
    fn begun(&self) -> Instant {
        self.sent.iter().map(|s| s.started).min().unwrap_or_else(Instant::now)
    }

    /// Returns the counts of requests, runs, orders and statuses.
    pub fn summary(&self) -> String {
        let status = |s: &Sent| s.answer.as_ref().map_or(0, |a| a.status);
        let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
        for sent in &self.sent {
            *by_status.entry(status(sent)).or_default() += 1;
        }
        let orders: usize = self.orders.iter().map(|(_, o)| o.len()).sum();
        let (sent, runs) = (self.sent.len(), self.runs.len());
        let went_on = self.resumed.iter().filter(|r| !r.seals[1].is_empty()).count();
        let (resumed, deferred) = (self.resumed.len(), self.deferred.len());
        let crashes = self.fatal_crashes.len();
        format!(
            "{sent} requests, {runs} runs, {orders} orders, {crashes} engines crashed by requests, \
             {went_on} of {resumed} streams went on, {deferred} requests deferred, \
             by status {by_status:?}"
        )
    }

    /// Number of runs by attempt.
    fn runs_by_attempt(&self) -> HashMap<&str, usize> {
        let mut all = HashMap::new();
        for (_, run) in &self.runs {
            *all.entry(run.attempt.as_str()).or_insert(0) += 1;
        }
        all
    }
}

/// Returns all violations, one line each.
pub fn check(history: &History) -> Vec<String> {
    let mut findings = Vec::new();
    check_answers(history, &mut findings);
    check_leaves(history, &mut findings);
    check_configurations(history, &mut findings);
    check_limit(history, &mut findings);
    check_stated_limits(history, &mut findings);
    check_holders(history, &mut findings);
    check_stops(history, &mut findings);
    check_deadlines(history, &mut findings);
    check_fatal_part(history, &mut findings);
    check_sound_requests(history, &mut findings);
    check_announced(history, &mut findings);
    check_deferred(history, &mut findings);
    check_joined(history, &mut findings);
    findings.extend(history.exits.iter().map(|e| format!("exit: {e}")));
    findings
}

/// Whether an answer belongs to the request and is complete.
fn is_own(sent: &Sent, answer: &Answer) -> bool {
    let matches_header =
        |header: &str, tail: &str| answer.headers.get(header).is_none_or(|h| h.ends_with(tail));
    let own = matches_header("x-attempt-id", &sent.attempt)
        && matches_header("x-server-seal", &sent.attempt);
    own && match sent.kind {
        // The events before are those of another attempt.
        Kind::Resumed => true,
        Kind::Stream | Kind::Fatal => {
            let count = EVENTS_PER_STREAM as usize;
            let ids: Vec<usize> =
                (0..count).filter_map(|n| answer.body.find(&format!("id: {n}"))).collect();
            ids.len() == count && ids.is_sorted() && answer.body.matches("data: ").count() == count
        }
        _ => answer.body == format!("answer to {}", sent.attempt),
    }
}

/// Checks that no write ran twice, that successful answers are complete and belong to their
/// request, and that a request reported as not run did not run.
fn check_answers(history: &History, findings: &mut Vec<String>) {
    let runs = history.runs_by_attempt();
    for sent in &history.sent {
        let ran = runs.get(sent.attempt.as_str()).copied().unwrap_or(0);
        let (attempt, kind) = (&sent.attempt, sent.kind);
        if kind == Kind::Write && ran > 1 {
            findings.push(format!("once: {attempt} ran {ran} times"));
        }
        let Some(answer) = &sent.answer else { continue };
        if answer.status == 200 && answer.whole && !(is_own(sent, answer) && ran > 0) {
            findings.push(format!("own answer: {attempt} {kind:?} ran {ran}: {answer:?}"));
        }
        let sealed = answer.headers.contains_key("x-server-seal");
        if NOT_RUN_STATUSES.contains(&answer.status) && !sealed && ran > 0 {
            findings.push(format!(
                "not run: {attempt} {kind:?} ran {ran}, told {} {}",
                answer.status, answer.body
            ));
        }
    }
}

/// Checks that no request ran at an endpoint that had left.
fn check_leaves(history: &History, findings: &mut Vec<String>) {
    for left in &history.left {
        let late = |r: &&(String, Run)| r.0 == left.endpoint && history.is_known(left.at, r.1.at);
        for (endpoint, run) in history.runs.iter().filter(late) {
            let after = run.at.duration_since(left.at);
            findings
                .push(format!("leave: {} ran at {endpoint} {after:?} after it left", run.attempt));
        }
    }
}

/// Checks that a withdrawn key is refused in time and that no process returns to an older
/// configuration.
fn check_configurations(history: &History, findings: &mut Vec<String>) {
    let accepted = |s: &&Sent| s.answer.as_ref().is_some_and(|a| a.status == 200);
    let mut seen_keys: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for sent in history.sent.iter().filter(accepted) {
        let Some(key) = sent.key else { continue };
        let next = history.configs.iter().find(|c| c.version == key + 1);
        if let Some(next) = next
            && history.is_known(next.at, sent.started)
        {
            let after = sent.started.duration_since(next.at);
            findings.push(format!(
                "key: {} had the key of {key}, {after:?} after the next",
                sent.attempt
            ));
        }
        let Some(start) = sent.start else { continue };
        let seen = seen_keys.entry((sent.node, start)).or_default();
        if let Some((_, newer)) = seen.iter().find(|(at, k)| *at < sent.started && *k > key) {
            let (attempt, node) = (&sent.attempt, sent.node);
            findings.push(format!(
                "older: {attempt} had the key of {key} at node {node} after that of {newer}"
            ));
        }
        seen.push((sent.ended, key));
    }
}

/// Checks the limit of the team `meter` over all nodes.
fn check_limit(history: &History, findings: &mut Vec<String>) {
    let own = |r: &&(String, Run)| r.1.headers.get("x-tenant").is_some_and(|t| t == "meter");
    let mut times: Vec<Instant> = history.runs.iter().filter(own).map(|(_, r)| r.at).collect();
    times.sort_unstable();
    let nominal = METER_RATE as f64 * LIMIT_WINDOW.as_secs_f64() + METER_BURST as f64;
    let allowed = nominal * (1.0 + LIMIT_OVERSHOOT) + LIMIT_TOLERANCE_TOKENS;
    let most = times
        .iter()
        .enumerate()
        .map(|(i, t)| times[i..].partition_point(|u| *u < *t + LIMIT_WINDOW));
    let most = most.max().unwrap_or(0) as u64 * METER_TOKENS;
    if most as f64 > allowed {
        findings.push(format!("limit: {most} tokens in {LIMIT_WINDOW:?}, allowed {allowed}"));
    }
}

/// Checks the limits that endpoints stated over all nodes, while no node was started or disturbed.
fn check_stated_limits(history: &History, findings: &mut Vec<String>) {
    let (factor, extra) = STATED_TOLERANCE;
    let allowed = factor * STATED_LIMIT * STATED_WINDOW.as_secs_f64() + extra;
    let nodes = || history.disturbed.iter().chain(&history.stops);
    for limit in &history.limits {
        let arrivals = &limit.arrivals;
        let is_judged = |at: &Instant| {
            let end = *at + STATED_WINDOW;
            let since = *at - STABLE_AFTER;
            let disturbed = nodes().any(|n| n.from <= end && n.until + STABLE_AFTER >= since);
            since >= limit.from && end <= limit.until && !disturbed
        };
        let count = |from: Instant| {
            arrivals.iter().filter(|a| **a >= from && **a < from + STATED_WINDOW).count()
        };
        let most = arrivals.iter().filter(|at| is_judged(at)).map(|at| count(*at)).max();
        if most.is_some_and(|most| most as f64 > allowed) {
            findings.push(format!(
                "stated limit: {most:?} requests in {STATED_WINDOW:?} at {}, allowed {allowed}",
                limit.endpoint
            ));
        }
    }
}

/// Checks that a planned stop cuts off no request that was passed on to an endpoint.
fn check_stops(history: &History, findings: &mut Vec<String>) {
    let runs = history.runs_by_attempt();
    let is_whole = |s: &Sent| s.answer.as_ref().is_some_and(|a| a.whole);
    for sent in history.sent.iter().filter(|s| !is_whole(s)) {
        let Sent { node, started, ended, .. } = *sent;
        let stopping = history.stops.iter().any(|s| s.overlaps(node, started, ended));
        let ran = runs.contains_key(sent.attempt.as_str());
        let excused =
            history.is_disturbed(node, started, ended) || history.may_be_broken(started, ended);
        if stopping && ran && !excused {
            let (attempt, kind) = (&sent.attempt, sent.kind);
            let at = started - history.begun();
            findings.push(format!(
                "cut: {attempt} {kind:?} at node {node}, sent at {at:.1?}, ran and was cut off"
            ));
        }
    }
}

/// Checks that requests are answered within their deadline, with some time to spare.
fn check_deadlines(history: &History, findings: &mut Vec<String>) {
    for sent in history.sent.iter().filter(|s| s.answer.is_none()) {
        let Sent { node, started, ended, .. } = *sent;
        let late = ended - started >= CALLER_TIMEOUT;
        if late && !history.is_disturbed(node, started, ended) {
            let (attempt, kind) = (&sent.attempt, sent.kind);
            let at = started - history.begun();
            findings.push(format!(
                "late: {attempt} {kind:?} at node {node}, sent at {at:.1?}, had no answer in {CALLER_TIMEOUT:?}"
            ));
        }
    }
}

/// Checks that requests without the part that crashes engines are not refused for it.
fn check_sound_requests(history: &History, findings: &mut Vec<String>) {
    let refused = |s: &&Sent| s.answer.as_ref().is_some_and(|a| a.body == "quarantined");
    let sound = history.sent.iter().filter(|s| s.kind != Kind::Fatal).filter(refused);
    let count = sound.clone().count();
    if let Some(first) = sound.min_by_key(|s| s.started) {
        let (attempt, kind, at) = (&first.attempt, first.kind, first.started - history.begun());
        findings.push(format!(
            "sound: {count} sound requests were quarantined, {attempt} {kind:?} first, at {at:.1?}"
        ));
    }
}

/// Checks that few requests with the part that crashes engines run once it must be known.
fn check_fatal_part(history: &History, findings: &mut Vec<String>) {
    let Some(fifth) = history.fatal_crashes.get(CRASHES_UNTIL_KNOWN - 1) else { return };
    let known_at = *fifth + STABLE_AFTER;
    let is_stable = |at: Instant| {
        !history.hidden.iter().any(|(a, b)| *a <= at && *b + STABLE_AFTER >= at - STABLE_AFTER)
    };
    let has_part = |r: &Run| {
        r.headers.get("x-prompt-prefix").is_some_and(|p| p.contains(&format!(",{FATAL_PART}:")))
    };
    let late = history.runs.iter().filter(|(_, r)| r.at > known_at && has_part(r));
    let count = late.filter(|(_, r)| is_stable(r.at)).count();
    if count > MAX_LATE_RUNS {
        findings
            .push(format!("fatal: {count} requests ran {STABLE_AFTER:?} after the fifth crash"));
    }
}

/// The endpoint that sealed an answer.
fn endpoint_of(seal: &str) -> &str {
    seal.split('.').nth(1).unwrap_or_default()
}

/// Checks that a node sends nothing to an endpoint some time after it has passed on an answer in
/// which the endpoint says that it leaves.
fn check_announced(history: &History, findings: &mut Vec<String>) {
    let mut told: HashMap<(usize, u64, &str), Instant> = HashMap::new();
    for sent in &history.sent {
        let (Some(start), Some(answer)) = (sent.start, &sent.answer) else { continue };
        let Some(seal) = answer.headers.get("x-server-seal") else { continue };
        if answer.headers.contains_key("server-leaving") {
            let first = told.entry((sent.node, start, endpoint_of(seal))).or_insert(sent.ended);
            *first = sent.ended.min(*first);
        }
    }
    for sent in &history.sent {
        let (Some(start), Some(answer)) = (sent.start, &sent.answer) else { continue };
        let Some(seal) = answer.headers.get("x-server-seal") else { continue };
        let Some(at) = told.get(&(sent.node, start, endpoint_of(seal))) else { continue };
        let late = sent.started > *at + APPLY_LIMIT;
        if late && !history.is_disturbed(sent.node, *at, sent.started) {
            let after = sent.started - *at;
            findings.push(format!(
                "announced: {} reached {seal} {after:?} after node {} had passed on that it leaves",
                sent.attempt, sent.node
            ));
        }
    }
}

/// Checks that a node keeps to the time for which an endpoint wants nothing.
fn check_deferred(history: &History, findings: &mut Vec<String>) {
    let sent: HashMap<&str, &Sent> = history.sent.iter().map(|s| (s.attempt.as_str(), s)).collect();
    let mut refused: HashMap<(usize, u64, &str), Vec<Instant>> = HashMap::new();
    for d in &history.deferred {
        let Some(s) = sent.get(d.attempt.as_str()) else { continue };
        let Some(start) = s.start else { continue };
        refused.entry((s.node, start, &d.endpoint)).or_default().push(d.at);
    }
    for ((node, _, endpoint), times) in &refused {
        for at in times {
            let in_pause = |t: &&Instant| **t > *at + DEFER_SLACK && **t < *at + DEFER_TIME;
            let count = times.iter().filter(in_pause).count();
            let end = *at + DEFER_TIME;
            if count > MAX_DEFERRED && !history.is_disturbed(*node, *at, end) {
                findings.push(format!(
                    "deferred: {count} requests of node {node} in a pause of {endpoint}"
                ));
                break;
            }
        }
    }
}

/// Checks that streams hold events of one software version.
fn check_joined(history: &History, findings: &mut Vec<String>) {
    let software = |seal: &String| software_of(endpoint_of(seal));
    let is_joined = |r: &&Resumed| {
        let [first, next] = &r.seals;
        !next.is_empty() && software(first) != software(next)
    };
    let joined: Vec<&Resumed> = history.resumed.iter().filter(is_joined).collect();
    if joined.len() > MAX_JOINED {
        let (count, all) = (joined.len(), history.resumed.len());
        findings.push(format!("joined: {count} of {all} streams, {:?} first", joined[0]));
    }
}

/// Checks that each endpoint received orders of only one holder at a time.
fn check_holders(history: &History, findings: &mut Vec<String>) {
    for (endpoint, orders) in &history.orders {
        for pair in orders.windows(2) {
            let fence = |o: &Value| o["FencingToken"].as_u64().unwrap_or(0);
            let (a, b) = (&pair[0], &pair[1]);
            if fence(b) < fence(a) || (fence(a) == fence(b) && a["Holder"] != b["Holder"]) {
                findings.push(format!("holder: {endpoint} got {b} after {a}"));
            }
        }
    }
}
