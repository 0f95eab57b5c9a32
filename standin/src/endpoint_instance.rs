//! Stand-in for an endpoint of the users' platform: a model engine or a plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http_server::{Connection, CrashSwitch, Request, Server, serve_until_crash};

/// Time from the start of a request that crashes its endpoint to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Bytes in a piece of a head without end.
const ENDLESS_PIECE: usize = 4_096;

/// An informational answer.
const INFORMATIONAL: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";

/// Fault injected into an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// No fault.
    #[default]
    None,
    /// Runs the request and resets the connection.
    Resets,
    /// Runs the request and answers with the id of another attempt.
    Foreign,
    /// Runs the request and closes the connection before the end of the answer.
    Cut,
    /// Runs the request and closes the connection before the end of the answer's head.
    CutHead,
    /// Refuses the request without running it because it is full.
    Full,
    /// Runs the request and answers with status 503.
    Overloaded,
    /// Runs the request and sends a refusal without the id of an attempt.
    Unnamed,
    /// Runs the request and, at a plain endpoint, sends a second answer after the first.
    Extra,
    /// Sends a second copy of each answer when the next request arrives on the connection.
    LateCopy,
    /// Runs the request and sends an answer's head without end.
    EndlessHead,
    /// Runs the request and sends informational answers without end, also to reports and orders.
    EndlessInformational,
    /// Runs the request and sends an answer with a chunk extension without end.
    EndlessExtension,
    /// Runs the request and sends trailers without end.
    EndlessTrailers,
    /// Runs the request and sends an answer without length or end.
    EndlessBody,
    /// Runs the request and never answers.
    Silent,
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt id.
    pub attempt: String,
    /// Headers as received.
    pub headers: HashMap<String, String>,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// When the run started.
    pub at: Instant,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    /// Number of streams and endless answers whose caller closed the connection before their end.
    aborted: usize,
    orders: Vec<(Instant, Value)>,
    reports: Vec<u64>,
    loaded: Vec<String>,
    sequence: u64,
    fault: EndpointFault,
    event_count: u64,
    event_pause: Duration,
    /// Loaded model; `None` at a plain endpoint and at an engine that holds nothing.
    model: Option<String>,
    /// Time that a plain endpoint takes for an answer.
    work_time: Duration,
    /// Bytes appended to each answer of a plain endpoint.
    padding: usize,
    /// Pause after each piece of an answer without end.
    endless_pause: Duration,
    /// Number of requests to refuse.
    refusals: usize,
    /// Prompt part or body that crashes the endpoint.
    crash_trigger: Option<String>,
    /// Requests per second that the endpoint states as its limit in each answer.
    stated_limit: Option<f64>,
    /// Seconds for which the endpoint says that it wants nothing, in each refusal; it refuses all
    /// requests then.
    retry_after: Option<f64>,
    /// Attempts refused with a time after which to retry.
    deferred: Vec<(String, Instant)>,
    /// Version of the software.
    software: String,
    /// Whether each answer says that the endpoint leaves.
    announces_leaving: bool,
    /// When each request arrived, whether or not it was run.
    arrivals: Vec<Instant>,
}

/// A running endpoint.
pub struct Instance {
    /// HTTP server of the endpoint.
    pub server: Server,
    /// Name.
    pub id: String,
    service: String,
    state: Arc<Mutex<State>>,
    switch: CrashSwitch,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Instance {
    /// Starts an endpoint; an endpoint with a model is an engine.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(id: &str, service: &str, model: Option<&str>) -> io::Result<Self> {
        let instance = Self::start_empty(id, service, model.is_some()).await?;
        lock(&instance.state).model = model.map(str::to_owned);
        Ok(instance)
    }

    /// Starts an endpoint; an engine has no model until it is ordered to load one.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start_empty(id: &str, service: &str, is_engine: bool) -> io::Result<Self> {
        let state = State {
            event_count: 3,
            event_pause: Duration::from_millis(5),
            software: "v1".to_owned(),
            ..State::default()
        };
        let (state, switch) = (Arc::new(Mutex::new(state)), CrashSwitch::default());
        let host = Host { id: id.to_owned(), is_engine, switch: switch.clone() };
        let s = state.clone();
        let server = serve_until_crash(switch.clone(), move |connection| {
            handle_connection(host.clone(), s.clone(), connection)
        })
        .await?;
        Ok(Self { server, id: id.to_owned(), service: service.to_owned(), state, switch })
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The entry with which the endpoint registers itself, in the given state.
    pub fn entry(&self, state: &str) -> Value {
        let (models, software) = {
            let state = lock(&self.state);
            (state.models(), state.software.clone())
        };
        json!({
            "Service": self.service, "Address": self.address().to_string(), "Zone": "gent",
            "Version": software, "Slots": 8, "State": state, "ColdRemainingMs": 0,
            "Models": models, "Sequence": 1, "born": 1_700_000_000_000_u64,
        })
    }

    /// Sets the fault of all following requests.
    pub fn set_fault(&self, fault: EndpointFault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the number of events of a stream and the pause between them.
    pub fn set_stream(&self, event_count: u64, event_pause: Duration) {
        let mut state = lock(&self.state);
        state.event_count = event_count;
        state.event_pause = event_pause;
    }

    /// Makes each request crash the endpoint that has `trigger` as a part of its prompt or as
    /// its body.
    pub fn set_crash_trigger(&self, trigger: &str) {
        lock(&self.state).crash_trigger = Some(trigger.to_owned());
    }

    /// Sets the time that a plain endpoint takes for an answer.
    pub fn set_work_time(&self, time: Duration) {
        lock(&self.state).work_time = time;
    }

    /// Appends this number of bytes to each answer of a plain endpoint.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.state).padding = bytes;
    }

    /// Sets the pause after each piece of an answer without end.
    pub fn set_endless_pause(&self, pause: Duration) {
        lock(&self.state).endless_pause = pause;
    }

    /// Refuses the next requests, as if their adapters were not loaded, or at a plain endpoint as
    /// if it were full.
    pub fn refuse_next(&self, count: usize) {
        lock(&self.state).refusals = count;
    }

    /// States a limit of this many requests per second in all following answers, or none.
    /// Requests beyond the limit are served all the same.
    pub fn state_limit(&self, per_s: Option<f64>) {
        lock(&self.state).stated_limit = per_s;
    }

    /// Refuses all following requests with this time in seconds after which to retry, or none.
    pub fn refuse_for(&self, seconds: Option<f64>) {
        lock(&self.state).retry_after = seconds;
    }

    /// Says in all following answers whether the endpoint leaves.
    pub fn announce_leaving(&self, leaves: bool) {
        lock(&self.state).announces_leaving = leaves;
    }

    /// Sets the version of the software.
    pub fn set_software(&self, version: &str) {
        lock(&self.state).software = version.to_owned();
    }

    /// Crashes the endpoint: its listener and its connections close.
    pub fn crash(&self) {
        self.switch.crash();
    }

    /// Whether the endpoint has crashed.
    pub fn has_crashed(&self) -> bool {
        self.switch.has_crashed()
    }

    /// Requests run so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// When each request arrived, whether or not it was run.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.clone()
    }

    /// Attempts refused with a time after which to retry, and when they arrived.
    pub fn deferred(&self) -> Vec<(String, Instant)> {
        lock(&self.state).deferred.clone()
    }

    /// Number of streams and endless answers whose caller closed the connection before their end.
    pub fn aborted_runs(&self) -> usize {
        lock(&self.state).aborted
    }

    /// Number of accepted orders that each report so far contained.
    pub fn reports(&self) -> Vec<u64> {
        lock(&self.state).reports.clone()
    }

    /// Orders received so far, including refused ones.
    pub fn orders(&self) -> Vec<Value> {
        self.timed_orders().into_iter().map(|(_, order)| order).collect()
    }

    /// Orders received so far, including refused ones, with the time of each.
    pub fn timed_orders(&self) -> Vec<(Instant, Value)> {
        lock(&self.state).orders.clone()
    }
}

impl State {
    /// Loaded models with their adapters, as in entries and reports.
    fn models(&self) -> Vec<Value> {
        let model = |m: &String| json!({"Name": m, "Version": 1, "Adapters": self.loaded});
        self.model.iter().map(model).collect()
    }

    /// Header of all answers of an endpoint that says that it leaves.
    fn leaving_notice(&self) -> &'static str {
        if self.announces_leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    /// Whether a request crashes the endpoint.
    fn crashes_on(&self, request: &Request) -> bool {
        let Some(trigger) = self.crash_trigger.as_deref() else { return false };
        let prefix = request.header("x-prompt-prefix").unwrap_or_default();
        let in_prompt =
            prefix.split(',').any(|p| p.split_once(':').is_some_and(|(id, _)| id == trigger));
        in_prompt || request.body == trigger.as_bytes()
    }
}

/// What the connections of an endpoint share.
#[derive(Clone)]
struct Host {
    id: String,
    is_engine: bool,
    switch: CrashSwitch,
}

/// Answers the requests of one connection.
async fn handle_connection(
    host: Host,
    state: Arc<Mutex<State>>,
    mut connection: Connection,
) -> io::Result<()> {
    while let Some(request) = connection.read_request().await? {
        if lock(&state).fault == EndpointFault::LateCopy {
            connection.repeat_answer().await?;
        }
        let is_control = ["/report", "/order"].contains(&request.path.as_str());
        if is_control && lock(&state).fault == EndpointFault::EndlessInformational {
            write_endlessly(&state, &mut connection, INFORMATIONAL).await?;
            return Ok(());
        }
        match request.path.as_str() {
            "/report" => {
                let body = load_report(&state);
                let notice = lock(&state).leaving_notice();
                connection.write_answer(200, notice, body.to_string().as_bytes()).await?;
            }
            "/order" => {
                let status = apply_order(&state, &request);
                let notice = lock(&state).leaving_notice();
                connection.write_answer(status, notice, b"").await?;
            }
            _ => {
                if !answer_request(&host, &state, &mut connection, &request).await? {
                    connection.reset();
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Builds a load report.
fn load_report(state: &Mutex<State>) -> Value {
    let mut state = lock(state);
    let sequence = state.sequence;
    state.reports.push(sequence);
    json!({"Stage": "combined", "Models": state.models(), "Busy": false, "Sequence": sequence,
        "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 1, "Handles": 0})
}

/// Applies an order and returns the status of the answer.
fn apply_order(state: &Mutex<State>, request: &Request) -> u16 {
    let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let mut state = lock(state);
    state.orders.push((Instant::now(), order.clone()));
    let Some(adapter) = order["Adapter"].as_str() else {
        if state.model.as_deref() == order["Model"].as_str() {
            return 200;
        }
        state.model = order["Model"].as_str().map(str::to_owned);
        state.sequence += 1;
        return 202;
    };
    let version = order["Version"].as_u64().unwrap_or(1);
    let versioned = format!("{adapter}@{version}");
    let loads = order["Operation"] == "loading";
    if state.loaded.contains(&versioned) == loads {
        return 200;
    }
    if order["Expected"].as_u64().is_some_and(|n| n != state.sequence) {
        return 409;
    }
    state.sequence += 1;
    let name = format!("{adapter}@");
    state.loaded.retain(|h| !h.starts_with(&name));
    if loads {
        state.loaded.push(versioned);
        return 202;
    }
    200
}

/// Answers a request; `false` if the connection is to be reset.
async fn answer_request(
    host: &Host,
    state: &Arc<Mutex<State>>,
    connection: &mut Connection,
    request: &Request,
) -> io::Result<bool> {
    let Host { id, is_engine, .. } = host;
    let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
    let notices = {
        let mut state = lock(state);
        state.arrivals.push(Instant::now());
        let limit = state.stated_limit.map(|l| format!("Server-Limit: {l}\r\n"));
        limit.unwrap_or_default() + state.leaving_notice()
    };
    let own = format!("X-Instance-Id: {id}\r\nX-Attempt-Id: {attempt}\r\n{notices}");
    if request.header("x-expect-instance").is_some_and(|i| i != id.as_str()) {
        connection.write_answer(421, &own, b"").await?;
        return Ok(true);
    }
    let adapter = request.header("x-model").and_then(|m| m.split_once('/')).map(|(_, a)| a);
    let (fault, absent, crashes, event_count, event_pause) = {
        let mut state = lock(state);
        let is_loaded = |a: &str| state.loaded.iter().any(|h| h.starts_with(&format!("{a}@")));
        let absent = state.refusals > 0
            || adapter.is_some_and(|a| !is_loaded(a))
            || (*is_engine && state.model.is_none());
        state.refusals = state.refusals.saturating_sub(1);
        let crashes = state.crashes_on(request);
        (state.fault, absent, crashes, state.event_count, state.event_pause)
    };
    if absent && *is_engine {
        connection.write_answer(421, &own, b"").await?;
        return Ok(true);
    }
    let retry_after = lock(state).retry_after;
    if let Some(seconds) = retry_after {
        lock(state).deferred.push((attempt, Instant::now()));
        let head = format!("{own}X-Not-Executed: 1\r\nRetry-After: {seconds}\r\n");
        connection.write_answer(503, &head, b"").await?;
        return Ok(true);
    }
    if absent || fault == EndpointFault::Full {
        connection.write_answer(503, &format!("{own}X-Not-Executed: 1\r\n"), b"").await?;
        return Ok(true);
    }
    lock(state).runs.push(Run {
        attempt: attempt.clone(),
        headers: request.headers.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        at: Instant::now(),
    });
    let named = if fault == EndpointFault::Foreign { "ffff" } else { &attempt };
    let head = format!("X-Attempt-Id: {named}\r\nX-Server-Seal: seal.{id}.{attempt}\r\n{notices}");
    if crashes {
        if *is_engine {
            let start = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
            connection.write(start.as_bytes()).await?;
        }
        sleep(CRASH_DELAY).await;
        host.switch.crash();
        return Ok(false);
    }
    match fault {
        EndpointFault::Resets => return Ok(false),
        EndpointFault::Silent => sleep(Duration::from_secs(600)).await,
        EndpointFault::EndlessHead => {
            connection.write(format!("HTTP/1.1 200 OK\r\n{head}X-Pad: ").as_bytes()).await?;
            return write_endlessly(state, connection, &[b'a'; ENDLESS_PIECE]).await;
        }
        EndpointFault::EndlessInformational => {
            return write_endlessly(state, connection, INFORMATIONAL).await;
        }
        EndpointFault::EndlessExtension => {
            let start = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n1;");
            connection.write(start.as_bytes()).await?;
            return write_endlessly(state, connection, &[b'a'; ENDLESS_PIECE]).await;
        }
        EndpointFault::EndlessTrailers => {
            let start = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n0\r\n");
            connection.write(start.as_bytes()).await?;
            return write_endlessly(state, connection, b"X-Pad: a\r\n").await;
        }
        EndpointFault::EndlessBody => {
            connection.write(format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes()).await?;
            return write_endlessly(state, connection, "data: t\n\n".repeat(1_000).as_bytes())
                .await;
        }
        EndpointFault::Unnamed => {
            connection.write_answer(503, "X-Not-Executed: 1\r\n", b"").await?;
        }
        EndpointFault::Overloaded => connection.write_answer(503, &head, b"busy").await?,
        EndpointFault::Cut => {
            let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 100\r\n\r\nshort");
            connection.write(text.as_bytes()).await?;
            return Ok(false);
        }
        EndpointFault::CutHead => {
            let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Len");
            connection.write(text.as_bytes()).await?;
            return Ok(false);
        }
        EndpointFault::None
        | EndpointFault::Foreign
        | EndpointFault::Extra
        | EndpointFault::LateCopy
        | EndpointFault::Full
            if !is_engine =>
        {
            let (padding, work_time) = {
                let state = lock(state);
                (".".repeat(state.padding), state.work_time)
            };
            if !work_time.is_zero() {
                sleep(work_time).await;
            }
            let body = format!("answer to {attempt}{padding}");
            connection.write_answer(200, &head, body.as_bytes()).await?;
            if fault == EndpointFault::Extra {
                connection.write_answer(200, &head, b"second answer").await?;
            }
        }
        _ => {
            let first = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
            let events = first.map_or(0, |last| last + 1)..event_count;
            return send_stream(state, connection, &head, events, event_pause).await;
        }
    }
    Ok(true)
}

/// Writes a piece again and again until the caller closes the connection.
async fn write_endlessly(
    state: &Mutex<State>,
    connection: &mut Connection,
    piece: &[u8],
) -> io::Result<bool> {
    let pause = lock(state).endless_pause;
    loop {
        if connection.write(piece).await.is_err() {
            lock(state).aborted += 1;
            return Ok(false);
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

/// Sends a stream of events; `false` if the connection is to be reset.
async fn send_stream(
    state: &Mutex<State>,
    connection: &mut Connection,
    head: &str,
    events: std::ops::Range<u64>,
    event_pause: Duration,
) -> io::Result<bool> {
    let start = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
    connection.write(start.as_bytes()).await?;
    for n in events {
        let event = format!("id: {n}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        tokio::select! {
            () = connection.wait_closed() => {
                lock(state).aborted += 1;
                return Ok(false);
            }
            () = sleep(event_pause) => connection.write(chunk.as_bytes()).await?,
        }
    }
    connection.write(b"0\r\n\r\n").await?;
    Ok(true)
}
