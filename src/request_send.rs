//! Sends a caller's request to an endpoint once, and checks that the answer is the endpoint's own
//! answer to it.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use tokio::time::Instant;

use crate::caller_budget::CallerRequest;
use crate::crash_evidence::Feature;
use crate::edge::Edge;
use crate::endpoint_choice::Choice;
use crate::endpoint_table::{EndpointState, RequestOutcome};
use crate::http_client::{IncomingResponse, SendError};
use crate::log_sink::decision;
use crate::platform::headers::{self, AddedHeaders, RequestHeaders, ResponseHeaders};
use crate::request_log::RequestLog;
use crate::response_body::{EventStream, InFlightGuard, StreamTail};
use crate::routing::{Route, Team};
use crate::sent_request::SentRequest;
use crate::stream_origins::{Origin, stream_id};
use crate::time::{BootClock, Clock, Ms};

/// Part of a request's time that is kept for returning the answer to the caller.
pub(crate) const RESPONSE_MARGIN: Ms = Ms(30);
/// Time by which an idle connection is dropped before its endpoint's keep-alive timeout.
const IDLE_MARGIN: Ms = Ms(800);
/// Longest time for which an idle connection to an endpoint is kept.
const MAX_ENDPOINT_IDLE: Ms = Ms::secs(30);

/// A response of an endpoint to pass on.
pub(crate) enum ProxyResponse {
    Whole(Response<Bytes>),
    Events(Box<Response<OpenStream>>),
}

/// An event stream whose head has arrived.
pub(crate) struct OpenStream {
    answer: IncomingResponse,
    sent: SentRequest,
    time_left: Ms,
    unframed: bool,
}

impl OpenStream {
    pub(crate) fn into_events(
        self,
        log: RequestLog,
        guard: InFlightGuard,
        held: Option<CallerRequest>,
    ) -> EventStream {
        EventStream {
            answer: self.answer,
            sent: self.sent,
            log,
            end: EventStream::cut_after(self.time_left),
            guard,
            held,
            tail: StreamTail::default(),
            unframed: self.unframed,
        }
    }
}

/// A request that has been read and admitted.
pub(crate) struct PreparedRequest<'a> {
    pub(crate) parsed: &'a RequestHeaders,
    pub(crate) route: Rc<Route>,
    pub(crate) team: Option<Rc<Team>>,
    pub(crate) service: Rc<str>,
    /// Where the stream began that the request takes up.
    pub(crate) origin: Option<Origin>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Features by which causes of crashes are found.
    pub(crate) features: Rc<[Feature]>,
    pub(crate) deadline: Ms,
    /// Instant at which the caller disconnects unless the answer has begun.
    pub(crate) abandon_at: Ms,
}

impl PreparedRequest<'_> {
    /// Time within which the answer has to begin.
    pub(crate) fn answer_time_left(&self) -> Ms {
        self.abandon_at.since(BootClock.now())
    }

    pub(crate) fn time_left(&self) -> Ms {
        self.deadline.since(BootClock.now())
    }
}

/// Why a send did not yield an answer.
pub(crate) enum SendFailure {
    /// The request has not run.
    NotRun(&'static str),
    /// The request may have run.
    Unknown(&'static str),
    /// The endpoint answered with a server error.
    Failed(Response<Bytes>),
}

impl SendFailure {
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(why) | Self::Unknown(why) => why,
            Self::Failed(_) => "failed",
        }
    }
}

fn endpoint_request(
    req: &PreparedRequest<'_>,
    choice: &Choice,
    version: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.uri.clone();
    let mut map = req.headers.clone();
    let rank = req.team.as_ref().and_then(|t| t.rank).unwrap_or(req.route.rank);
    let added = AddedHeaders {
        instance: &choice.id,
        time_left: req.time_left().since(RESPONSE_MARGIN),
        team: req.team.as_ref().map(|t| &*t.name),
        rank: req.route.kind.streams().then_some(rank.min(9)),
        version,
        last_event: req.parsed.last_event.as_deref(),
    };
    headers::forward(&mut map, &added);
    *request.headers_mut() = map;
    request
}

/// Sends a request to the chosen endpoint.
///
/// `again` says that the endpoint refused this request before: it is sent on a new connection
/// then, because a late copy of that refusal would be taken for the answer.
pub(crate) async fn send_once(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    (choice, again): (&Choice, bool),
    version: Option<u64>,
    log: &mut RequestLog,
) -> Result<ProxyResponse, SendFailure> {
    let address = edge.table.borrow().get(&choice.id).map(|e| e.entry.address);
    let address = address.ok_or(SendFailure::NotRun("endpoint_gone"))?;
    let output = f64::from(req.parsed.length_hint.unwrap_or(req.parsed.max_output));
    let adapter = req.parsed.model.as_deref().filter(|m| m.contains('/')).map(Rc::from);
    let size = (f64::from(req.parsed.prompt_tokens), output);
    let (mut sent, cancelled) =
        SentRequest::new(edge, &choice.id, adapter, size, choice.wait_ms, req.features.clone());
    let deadline = Instant::now() + req.time_left().since(RESPONSE_MARGIN).to_std();
    let request = endpoint_request(req, choice, version);
    // The endpoint may leave, or ask for a pause, while a connection is established.
    let accepts = || {
        let table = edge.table.borrow();
        table.get(&choice.id).is_some_and(|e| e.usable() && !e.is_closed(BootClock.now()))
    };
    let send = async {
        match again {
            true => edge.data_client.send_fresh_if(address, request, deadline, accepts).await,
            false => edge.data_client.send_if(address, request, deadline, accepts).await,
        }
    };
    let answer = tokio::select! {
        answer = send => answer,
        Ok(()) = cancelled => return Err(SendFailure::Unknown("quarantined")),
    };
    match answer {
        Ok(answer) => {
            sent.on_head();
            check_response(edge, req, choice, answer, sent).await
        }
        Err(SendError::Unsent(e)) => {
            if accepts() {
                sent.on_end(RequestOutcome::Broken);
            }
            log.add_step(format!("unsent {e}"));
            Err(SendFailure::NotRun("not_connected"))
        }
        Err(SendError::Unknown(e)) => {
            let silent = Instant::now() >= deadline;
            sent.on_failure(silent);
            log.add_step(format!("broken {e}"));
            Err(SendFailure::Unknown(if silent { "no_answer" } else { "connection_broken" }))
        }
    }
}

/// Checks that an answer comes from the chosen endpoint and belongs to this request.
async fn check_response(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    choice: &Choice,
    mut answer: IncomingResponse,
    mut sent: SentRequest,
) -> Result<ProxyResponse, SendFailure> {
    let status = answer.status;
    let reply = headers::parse_response(status, &answer.headers);
    if let Some(idle) = reply.idle_timeout {
        answer.set_idle_timeout(idle.since(IDLE_MARGIN).min(MAX_ENDPOINT_IDLE).to_std());
    }
    // An answer without the id may be a copy of the answer to another request.
    if reply.attempt != req.parsed.attempt {
        sent.on_end(RequestOutcome::Broken);
        return Err(SendFailure::Unknown("foreign_answer"));
    }
    if reply.is_from(&choice.id) {
        let node = &edge.deployment.node;
        edge.record_limit(&choice.id, BootClock.now(), reply.rate_limit, node);
    }
    edge.observe_answer(&choice.id, &reply);
    if reply.not_run {
        answer.drain();
        sent.on_answer();
        return Err(not_run_failure(edge, req, choice, status, &reply, &mut sent));
    }
    // These statuses imply that the request did not run, which the headers don't confirm.
    let denies_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if reply.encoded || denies_run || (status.is_success() && !reply.sealed) {
        sent.on_end(RequestOutcome::Broken);
        return Err(SendFailure::Unknown("garbled_answer"));
    }
    let unframed = answer.is_unframed();
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = std::mem::take(&mut answer.headers);
    headers::strip_connection_headers(response.headers_mut());
    if req.route.kind.streams() && status.is_success() {
        record_stream(edge, req, choice);
        let open = OpenStream { answer, sent, time_left: req.time_left(), unframed };
        return Ok(ProxyResponse::Events(Box::new(response.map(|()| open))));
    }
    let deadline = Instant::now() + req.time_left().since(RESPONSE_MARGIN).to_std();
    let Ok(whole) = answer.read_to_end(deadline).await else {
        let late = Instant::now() >= deadline;
        sent.on_failure(late);
        return Err(SendFailure::Unknown(if late { "answer_late" } else { "answer_cut" }));
    };
    sent.on_answer();
    let response = response.map(|()| whole.body);
    if status.is_server_error() {
        sent.on_end(RequestOutcome::Failed);
        return Err(SendFailure::Failed(response));
    }
    sent.on_end(RequestOutcome::Answered);
    Ok(ProxyResponse::Whole(response))
}

/// Remembers which software version begins a stream, before an event of it is passed on.
fn record_stream(edge: &Edge, req: &PreparedRequest<'_>, choice: &Choice) {
    let first = req.parsed.resumes.as_ref().or(req.parsed.attempt.as_ref());
    let origin = edge.table.borrow().get(&choice.id).map(EndpointState::origin);
    if let (Some(first), Some(origin)) = (first, origin) {
        edge.streams.borrow_mut().begin(BootClock.now(), stream_id(first), origin);
    }
}

/// Finds out why an endpoint did not run a request, and updates the endpoint's state.
fn not_run_failure(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    choice: &Choice,
    status: StatusCode,
    reply: &ResponseHeaders,
    sent: &mut SentRequest,
) -> SendFailure {
    if status != StatusCode::MISDIRECTED_REQUEST {
        sent.on_end(RequestOutcome::Full);
        return SendFailure::NotRun("endpoint_full");
    }
    if reply.instance.as_deref().is_some_and(|i| i != &*choice.id) {
        edge.mark_replaced(&choice.id, "another instance answers at its address");
        return SendFailure::NotRun("instance_gone");
    }
    // This node's view of the loaded adapters was out of date.
    if let Some(adapter) = &req.parsed.model {
        if let Some(e) = edge.table.borrow_mut().get_mut(&choice.id) {
            e.loaded.remove(adapter.as_str());
        }
        decision!("adapter_absent", "id": req.parsed.attempt, "endpoint": &*choice.id, "adapter": adapter);
    }
    SendFailure::NotRun("adapter_absent")
}
