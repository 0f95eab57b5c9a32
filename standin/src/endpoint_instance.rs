//! An endpoint of the users' platform: a model engine or a plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::plain::{Connection, Request, Server, serve};

/// What is wrong with an endpoint's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// Nothing.
    #[default]
    None,
    /// It runs the request and resets the connection.
    Resets,
    /// It runs the request and answers with another attempt's id.
    Foreign,
    /// Its answer ends before its length.
    Cut,
    /// It refuses unrun because it is full.
    Full,
    /// It runs the request and answers 503 of its own.
    Overloaded,
    /// A second answer follows each answer.
    Extra,
    /// It runs the request and never answers.
    Silent,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt.
    pub attempt: String,
    /// Headers as the endpoint got them.
    pub headers: HashMap<String, String>,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it began.
    pub at: Instant,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    /// Runs whose connection closed before their end.
    left: usize,
    orders: Vec<Value>,
    reports: Vec<u64>,
    held: Vec<String>,
    sequence: u64,
    fault: EndpointFault,
    events: u64,
    pause: Duration,
}

/// An endpoint.
pub struct Instance {
    /// Its server.
    pub server: Server,
    /// Its name.
    pub id: String,
    service: String,
    model: Option<String>,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Instance {
    /// Starts an endpoint; one with a model is an engine.
    ///
    /// # Errors
    /// No address could be bound.
    pub async fn start(id: &str, service: &str, model: Option<&str>) -> io::Result<Self> {
        let state = State { events: 3, pause: Duration::from_millis(5), ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let (own, s, m) = (id.to_owned(), state.clone(), model.map(str::to_owned));
        let server =
            serve(move |connection| connected(own.clone(), m.clone(), s.clone(), connection))
                .await?;
        let model = model.map(str::to_owned);
        Ok(Self { server, id: id.to_owned(), service: service.to_owned(), model, state })
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The entry that it writes of itself.
    pub fn entry(&self, state: &str) -> Value {
        let models: Vec<Value> = self
            .model
            .iter()
            .map(|m| json!({"Name": m, "Version": 1, "Adapters": lock(&self.state).held}))
            .collect();
        json!({
            "Service": self.service, "Address": self.address().to_string(), "Zone": "gent",
            "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
            "Models": models, "Sequence": 1, "born": 1_700_000_000_000_u64,
        })
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: EndpointFault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the number of events of a stream and the pause between them.
    pub fn set_stream(&self, events: u64, pause: Duration) {
        let mut state = lock(&self.state);
        state.events = events;
        state.pause = pause;
    }

    /// Runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Runs whose caller left before their end.
    pub fn aborted_runs(&self) -> usize {
        lock(&self.state).left
    }

    /// Accepted orders as each report so far told them.
    pub fn reports(&self) -> Vec<u64> {
        lock(&self.state).reports.clone()
    }

    /// Orders so far.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}

async fn connected(
    id: String,
    model: Option<String>,
    state: Arc<Mutex<State>>,
    mut connection: Connection,
) -> io::Result<()> {
    while let Some(request) = connection.read().await? {
        match request.path.as_str() {
            "/report" => {
                let body = report(&state, model.as_deref());
                connection.answer(200, "", body.to_string().as_bytes()).await?;
            }
            "/order" => {
                let status = order(&state, &request);
                connection.answer(status, "", b"").await?;
            }
            _ => {
                if !respond(&id, model.as_deref(), &state, &mut connection, &request).await? {
                    connection.reset();
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

fn report(state: &Mutex<State>, model: Option<&str>) -> Value {
    let mut state = lock(state);
    let sequence = state.sequence;
    state.reports.push(sequence);
    let models: Vec<Value> =
        model.iter().map(|m| json!({"Name": m, "Version": 1, "Adapters": state.held})).collect();
    json!({"Stage": "combined", "Models": models, "Busy": false, "Sequence": state.sequence,
        "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 1, "Handles": 0})
}

fn order(state: &Mutex<State>, request: &Request) -> u16 {
    let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let mut state = lock(state);
    state.orders.push(order.clone());
    let adapter = order["Adapter"].as_str().unwrap_or_default();
    let version = order["Version"].as_u64().unwrap_or(1);
    let place = format!("{adapter}@{version}");
    let loads = order["Operation"] == "loading";
    if state.held.contains(&place) == loads {
        return 200;
    }
    if order["Expected"].as_u64().is_some_and(|n| n != state.sequence) {
        return 409;
    }
    state.sequence += 1;
    let name = format!("{adapter}@");
    state.held.retain(|h| !h.starts_with(&name));
    if loads {
        state.held.push(place);
        return 202;
    }
    200
}

/// Answers a request; false if the connection is to be reset.
async fn respond(
    id: &str,
    model: Option<&str>,
    state: &Arc<Mutex<State>>,
    connection: &mut Connection,
    request: &Request,
) -> io::Result<bool> {
    let own = format!("X-Instance-Id: {id}\r\n");
    if request.header("x-expect-instance").is_some_and(|i| i != id) {
        connection.answer(421, &own, b"").await?;
        return Ok(true);
    }
    let adapter = request.header("x-model").and_then(|m| m.split_once('/')).map(|(_, a)| a);
    let (fault, absent, events, pause) = {
        let state = lock(state);
        let there = |a: &str| state.held.iter().any(|h| h.starts_with(&format!("{a}@")));
        (state.fault, adapter.is_some_and(|a| !there(a)), state.events, state.pause)
    };
    if absent {
        connection.answer(421, &own, b"").await?;
        return Ok(true);
    }
    if fault == EndpointFault::Full {
        connection.answer(503, "X-Not-Executed: 1\r\n", b"").await?;
        return Ok(true);
    }
    let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
    lock(state).runs.push(Run {
        attempt: attempt.clone(),
        headers: request.headers.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        at: Instant::now(),
    });
    let named = if fault == EndpointFault::Foreign { "ffff" } else { &attempt };
    let head = format!("X-Attempt-Id: {named}\r\nX-Server-Seal: seal.{id}.{attempt}\r\n");
    match fault {
        EndpointFault::Resets => return Ok(false),
        EndpointFault::Silent => sleep(Duration::from_secs(600)).await,
        EndpointFault::Overloaded => connection.answer(503, &head, b"busy").await?,
        EndpointFault::Cut => {
            let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 100\r\n\r\nshort");
            connection.write(text.as_bytes()).await?;
            return Ok(false);
        }
        EndpointFault::None
        | EndpointFault::Foreign
        | EndpointFault::Extra
        | EndpointFault::Full
            if model.is_none() =>
        {
            connection.answer(200, &head, format!("answer to {attempt}").as_bytes()).await?;
            if fault == EndpointFault::Extra {
                connection.answer(200, &head, b"second answer").await?;
            }
        }
        _ => return stream(state, connection, &head, events, pause).await,
    }
    Ok(true)
}

async fn stream(
    state: &Mutex<State>,
    connection: &mut Connection,
    head: &str,
    events: u64,
    pause: Duration,
) -> io::Result<bool> {
    let start = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
    connection.write(start.as_bytes()).await?;
    for n in 0..events {
        let event = format!("id: {n}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        tokio::select! {
            () = connection.closed() => {
                lock(state).left += 1;
                return Ok(false);
            }
            () = sleep(pause) => connection.write(chunk.as_bytes()).await?,
        }
    }
    connection.write(b"0\r\n\r\n").await?;
    Ok(true)
}
