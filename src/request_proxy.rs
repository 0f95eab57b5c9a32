//! The request path: from a caller's connection to an endpoint and back.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::adapter_wait::{Brought, bring};
use crate::admission::{Admission, admit};
use crate::edge::Edge;
use crate::edge_listeners::plain;
use crate::endpoint_choice::{Choice, Requirements, choose};
use crate::endpoint_table::RequestOutcome;
use crate::failpoint::{Failpoint, active};
use crate::http_client::{IncomingResponse, SendError};
use crate::ids::stable_hash;
use crate::log_sink::decision;
use crate::platform::headers::{self, AddedHeaders, RequestHeaders, ResponseHeaders};
use crate::request_log::{ANSWERED, FAILED, LEFT, REFUSED, Record};
use crate::response_body::{AnswerBody, Events, InFlight, Tail};
use crate::routing::{Route, Routing, Team};
use crate::sent_request::Flight;
use crate::team_limits::NodeCounts;
use crate::time::{BootClock, Clock, Ms};

/// Time of a request without a deadline, if its route has none either.
const DEADLINE: Ms = Ms::secs(30);
/// Time that is kept back so that the last answer still reaches the caller.
const RESERVE: Ms = Ms(30);
/// Time that a caller is told to wait when nothing else is known.
const AFTER: Ms = Ms(500);
/// Part of the time left that a request may wait for an adapter.
const LOAD_SHARE: f64 = 0.6;
/// Endpoints that a request waits at for its adapter, one after the other.
const PLACES: usize = 3;
/// Largest body of a request before a configuration states one.
const BODY: usize = 16 << 20;
/// Bytes of a refused request's body that are read and thrown away; beyond every limit
/// in use, so that only a caller that goes on regardless is cut off.
const DROPPED: usize = 64 << 20;
/// Time for which a refused request's body is read and thrown away.
const DROPPED_FOR: Ms = Ms::secs(5);
/// Part of the idle time that an endpoint states which is left unused.
const IDLE_MARGIN: Ms = Ms(800);
/// Longest time that a connection to an endpoint is kept idle.
const IDLE_MAX: Ms = Ms::secs(30);
/// Idle time of callers' connections before a configuration states one.
pub(crate) const IDLE: Ms = Ms::secs(15);
/// Sends of one request, whatever its route allows.
const SENDS: usize = 4;

/// A refusal or failure of the system's own.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    after: Option<Ms>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, after: None }
    }

    /// The request has not run; the caller may come back after a time.
    fn unavailable(reason: &'static str, after: Ms) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, after: Some(after) }
    }
}

pub(crate) async fn handle(edge: Rc<Edge>, request: Request<Incoming>) -> Response<AnswerBody> {
    let guard = InFlight::new(&edge);
    let ask = headers::parse_request(request.headers());
    let attempt = ask.attempt.clone().unwrap_or_default();
    let mut record = Record::new(&edge, &attempt);
    let stopping = *edge.stopping.borrow();
    let mut response = match serve_request(&edge, request, &ask, &mut record).await {
        Ok(Answered::Whole(response)) => {
            record.status = response.status().as_u16();
            if !response.status().is_server_error() {
                record.outcome(ANSWERED, "whole");
            }
            response.map(|b| AnswerBody::Whole(Some(b), Some(guard)))
        }
        Ok(Answered::Events(answer)) => {
            let (head, stream) = answer.into_parts();
            record.status = head.status.as_u16();
            record.outcome(LEFT, "during the stream");
            let events = stream.attach(record, guard);
            Response::from_parts(head, AnswerBody::Events(Box::new(events)))
        }
        Err(refusal) => {
            record.status = refusal.status.as_u16();
            record.outcome(REFUSED, refusal.reason);
            let mut response = plain(refusal.status, refusal.reason);
            if let Some(after) = refusal.after {
                headers::retry_after(response.headers_mut(), after);
            }
            if refusal.status == StatusCode::PAYLOAD_TOO_LARGE {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
            }
            headers::own(response.headers_mut(), &attempt);
            response
        }
    };
    if stopping || *edge.stopping.borrow() {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}

enum Answered {
    Whole(Response<Bytes>),
    Events(Box<Response<Opened>>),
}

/// A stream whose head has come.
struct Opened {
    answer: IncomingResponse,
    flight: Flight,
    left: Ms,
    unframed: bool,
}

impl Opened {
    fn attach(self, record: Record, guard: InFlight) -> Events {
        Events {
            answer: self.answer,
            flight: self.flight,
            record,
            end: Events::end_in(self.left),
            guard,
            tail: Tail::default(),
            unframed: self.unframed,
        }
    }
}

/// A request that has been read and may be sent.
struct Job<'a> {
    ask: &'a RequestHeaders,
    route: Rc<Route>,
    team: Option<Rc<Team>>,
    service: Rc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    end: Ms,
    /// Instant at which the caller leaves unless it has the beginning of an answer.
    leaves: Ms,
}

impl Job<'_> {
    /// Time in which the answer has to begin.
    fn patience(&self) -> Ms {
        self.leaves.since(BootClock.now())
    }

    fn left(&self) -> Ms {
        self.end.since(BootClock.now())
    }
}

async fn serve_request(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    ask: &RequestHeaders,
    record: &mut Record,
) -> std::result::Result<Answered, Refusal> {
    let begun = BootClock.now();
    let (parts, body) = request.into_parts();
    let mut body = Unread(Some(body));
    let routing = edge.routing.borrow().clone();
    if routing.version == 0 {
        return Err(Refusal::unavailable("no_configuration", AFTER));
    }
    let route = routing.route(&ask.host, parts.uri.path());
    let route = route.ok_or(Refusal::new(StatusCode::NOT_FOUND, "no_route"))?.clone();
    record.route = Some(route.name.clone());
    let team = team_of(&routing, &route, ask)?;
    record.team = team.as_ref().map(|t| t.name.clone());
    let limit = routing.limits.map_or(BODY, |l| l.body_bytes);
    let idle = routing.limits.map_or(IDLE, |l| l.idle_timeout);
    let body = read_body(&mut body, limit, idle).await?;
    let timeout = if route.timeout.0 > 0 { route.timeout } else { DEADLINE };
    let time = ask.deadline.unwrap_or(timeout).min(timeout);
    let cost = cost(team.as_deref(), ask);
    record.cost = cost;
    if let Some(team) = &team {
        let reach = edge.node_counts(begun);
        if let Err(after) = edge.team_limits.borrow_mut().admit(begun, team, cost, reach) {
            let NodeCounts { nodes, heard } = reach;
            record.step(format!("over_rate cost={cost} heard={heard}/{nodes} after={after}"));
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(Refusal { status, reason: "over_rate", after: Some(after) });
        }
    }
    let service = pick_service(&route, ask);
    edge.resends.borrow_mut().on_request(begun, &service);
    let patience = route.abandon_after().map_or(time, |p| p.min(time));
    let job = Job {
        ask,
        route,
        team,
        service,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        end: begun + time,
        leaves: begun + patience,
    };
    let answered = send_until_answered(edge, &job, &routing, record).await;
    if let (Err(refusal), Some(team)) = (&answered, &job.team)
        && refusal.status == StatusCode::SERVICE_UNAVAILABLE
    {
        edge.team_limits.borrow_mut().refund(&team.name, cost);
    }
    answered
}

fn team_of(
    routing: &Routing,
    route: &Route,
    ask: &RequestHeaders,
) -> std::result::Result<Option<Rc<Team>>, Refusal> {
    let known = ask.key.as_deref().and_then(|k| routing.team(k)).cloned();
    if known.is_none() && !route.public && !routing.teams().is_empty() {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    Ok(known)
}

/// What a request takes from its team's limit.
fn cost(team: Option<&Team>, ask: &RequestHeaders) -> f64 {
    match team {
        Some(team) if team.by_token && ask.has_size => {
            f64::from(ask.prompt_tokens) + f64::from(ask.max_output)
        }
        Some(team) if team.by_token => team.unsized_cost,
        _ => 1.0,
    }
}

/// Body of a request. What has not been read when it is dropped is read and thrown away,
/// up to a bound, so that a caller that is still sending can read its refusal: a connection
/// that is closed with unread data is reset.
struct Unread(Option<Incoming>);

impl Drop for Unread {
    fn drop(&mut self) {
        let Some(body) = self.0.take().filter(|b| !b.is_end_stream()) else { return };
        let mut rest = Limited::new(body, DROPPED);
        spawn_local(async move {
            // The refusal is logged with its request; whether the caller leaves meanwhile
            // changes nothing.
            let read = async { while let Some(Ok(_)) = rest.frame().await {} };
            let _ = timeout(DROPPED_FOR.to_std(), read).await;
        });
    }
}

async fn read_body(
    body: &mut Unread,
    limit: usize,
    idle: Ms,
) -> std::result::Result<Bytes, Refusal> {
    let too_large = Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    let Some(body) = body.0.as_mut() else { return Ok(Bytes::new()) };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large);
    }
    match timeout(idle.to_std(), Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large),
        Ok(Err(_)) => Err(Refusal::new(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_late")),
    }
}

/// The service of a request: by weight, the same for all sends of an attempt.
fn pick_service(route: &Route, ask: &RequestHeaders) -> Rc<str> {
    let total: f64 = route.targets.iter().map(|t| t.weight.max(0.0)).sum();
    let seed = ask.attempt.as_deref().unwrap_or_default();
    let point = (stable_hash(&["split", seed]) >> 11) as f64 / (1_u64 << 53) as f64 * total;
    let mut sum = 0.0;
    for target in &route.targets {
        sum += target.weight.max(0.0);
        if point < sum {
            return target.service.clone();
        }
    }
    route.targets[route.targets.len() - 1].service.clone()
}

/// Why a send has not led to an answer.
enum Miss {
    /// The request has not run.
    Unrun(&'static str),
    /// The request may have run.
    Unknown(&'static str),
    /// The endpoint answered with a failure of its own.
    Failed(Response<Bytes>),
}

impl Miss {
    fn reason(&self) -> &'static str {
        match self {
            Self::Unrun(why) | Self::Unknown(why) => why,
            Self::Failed(_) => "failed",
        }
    }
}

async fn send_until_answered(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    routing: &Routing,
    record: &mut Record,
) -> std::result::Result<Answered, Refusal> {
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut ran = 0;
    let mut last = Miss::Unrun("no_endpoint");
    for send in 0..SENDS {
        if job.left() <= RESERVE {
            break;
        }
        if send > 0 {
            let NodeCounts { nodes, .. } = edge.node_counts(BootClock.now());
            if !edge.resends.borrow_mut().try_consume(BootClock.now(), &job.service, nodes) {
                record.step("resend_budget_spent".to_owned());
                break;
            }
            edge.metrics.retries(1, last.reason());
        }
        let placed = place(edge, job, routing, &tried, record).await;
        let (choice, version) = match placed {
            Ok(found) => found,
            Err(refusal) if send == 0 => return Err(refusal),
            Err(_) => break,
        };
        let miss = match send_once(edge, job, &choice, version, record).await {
            Ok(answered) => return Ok(answered),
            Err(miss) => miss,
        };
        let (why, may_have_run) = (miss.reason(), !matches!(miss, Miss::Unrun(_)));
        record.step(format!("missed {} {why}", choice.id));
        if why != "adapter_absent" {
            tried.push(choice.id.clone());
        }
        if may_have_run {
            ran += 1;
        }
        // What may have run is never replaced by the promise that it has not.
        last = match (last, miss) {
            (kept @ (Miss::Unknown(_) | Miss::Failed(_)), Miss::Unrun(_)) => kept,
            (_, miss) => miss,
        };
        let repeatable = job.route.kind.repeatable() || active(Failpoint::ResendSent);
        if may_have_run && (!repeatable || ran >= job.route.max_attempts) {
            break;
        }
    }
    match last {
        Miss::Failed(response) => {
            record.outcome(FAILED, "endpoint");
            Ok(Answered::Whole(response))
        }
        Miss::Unrun(why) => Err(Refusal::unavailable(why, AFTER)),
        Miss::Unknown(why) if active(Failpoint::FalseNotRun) => {
            Err(Refusal::unavailable(why, AFTER))
        }
        Miss::Unknown(why) if job.left() <= RESERVE => {
            Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, why))
        }
        Miss::Unknown(why) => Err(Refusal::new(StatusCode::BAD_GATEWAY, why)),
    }
}

/// Chooses an endpoint and has the adapter brought into place there.
async fn place(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    routing: &Routing,
    tried: &[Rc<str>],
    record: &mut Record,
) -> std::result::Result<(Choice, Option<u64>), Refusal> {
    let service = routing.services.get(&job.service);
    let engine = service.and_then(|s| s.engine.as_ref());
    let model = job.ask.model.as_deref().filter(|_| engine.is_some());
    let base = model.map(|m| m.split_once('/').map_or(m, |(base, _)| base));
    let adapter = model.filter(|m| m.contains('/'));
    let now = BootClock.now();
    let version = adapter.and_then(|a| edge.version(a));
    let need = Requirements {
        service: &job.service,
        model: base,
        adapter,
        version,
        prompt_tokens: f64::from(job.ask.prompt_tokens),
        kv_tokens: engine.map_or(0.0, |e| e.kv_tokens),
        domain: &edge.deployment.domain,
        tried,
    };
    let until = now + Ms((job.patience().0 as f64 * LOAD_SHARE) as u64);
    for _ in 0..PLACES {
        let choice = pick(edge, job, &need, record)?;
        let Some(adapter) = adapter.map(Rc::from) else { return Ok((choice, None)) };
        if choice.needs_load {
            edge.metrics.load_stalls(1, job.team.as_ref().map_or("", |t| &*t.name));
        }
        let brought = match choice.needs_load {
            true => bring(edge, &choice.id, &adapter, version, until).await,
            false => Brought::InPlace,
        };
        record.step(format!("{brought:?} {}", choice.id));
        match brought {
            Brought::InPlace => {
                if let Some(k) = edge.held.borrow_mut().get_mut(&choice.id) {
                    k.planner.record_use(BootClock.now(), &adapter, None);
                }
                return Ok((choice, version));
            }
            Brought::Late => break,
            Brought::Gone => {}
        }
    }
    Err(Refusal::unavailable("adapter_not_loaded", AFTER))
}

/// Chooses an endpoint, or refuses if the wait there is too long.
fn pick(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    need: &Requirements<'_>,
    record: &mut Record,
) -> std::result::Result<Choice, Refusal> {
    let choice = choose(&edge.table.borrow(), BootClock.now(), need);
    let choice = choice.ok_or(Refusal::unavailable("no_endpoint", AFTER))?;
    if let Admission::Refuse(after) = admit(choice.wait_ms, job.patience(), job.route.objective) {
        record.step(format!(
            "refused {} wait={:.0} left={}",
            choice.id,
            choice.wait_ms,
            job.left()
        ));
        return Err(Refusal::unavailable("overload", after));
    }
    record
        .step(format!("chose {} wait={:.0} load={}", choice.id, choice.wait_ms, choice.needs_load));
    Ok(choice)
}

fn outgoing(job: &Job<'_>, choice: &Choice, version: Option<u64>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let mut map = job.headers.clone();
    let rank = job.team.as_ref().and_then(|t| t.rank).unwrap_or(job.route.rank);
    let sent = AddedHeaders {
        instance: &choice.id,
        time_left: job.left().since(RESERVE),
        team: job.team.as_ref().map(|t| &*t.name),
        rank: job.route.kind.streams().then_some(rank.min(9)),
        version,
        last_event: job.ask.last_event.as_deref(),
    };
    headers::forward(&mut map, &sent);
    *request.headers_mut() = map;
    request
}

async fn send_once(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    choice: &Choice,
    version: Option<u64>,
    record: &mut Record,
) -> std::result::Result<Answered, Miss> {
    let address = edge.table.borrow().get(&choice.id).map(|e| e.entry.address);
    let address = address.ok_or(Miss::Unrun("endpoint_gone"))?;
    let output = f64::from(job.ask.length_hint.unwrap_or(job.ask.max_output));
    let adapter = job.ask.model.as_deref().filter(|m| m.contains('/')).map(Rc::from);
    let size = (f64::from(job.ask.prompt_tokens), output);
    let mut flight = Flight::new(edge, &choice.id, adapter, size, choice.wait_ms);
    let deadline = Instant::now() + job.left().since(RESERVE).to_std();
    match edge.data.send(address, outgoing(job, choice, version), deadline).await {
        Ok(answer) => judge(edge, job, choice, answer, flight).await,
        Err(SendError::Unsent(e)) => {
            flight.ended(RequestOutcome::Broken);
            record.step(format!("unsent {e}"));
            Err(Miss::Unrun("not_connected"))
        }
        Err(SendError::Unknown(e)) => {
            let silent = Instant::now() >= deadline;
            flight.ended(if silent { RequestOutcome::Silent } else { RequestOutcome::Broken });
            record.step(format!("broken {e}"));
            Err(Miss::Unknown(if silent { "no_answer" } else { "connection_broken" }))
        }
    }
}

/// Decides whether an answer is the endpoint's own answer to this request.
async fn judge(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    choice: &Choice,
    mut answer: IncomingResponse,
    mut flight: Flight,
) -> std::result::Result<Answered, Miss> {
    let status = answer.status;
    let reply = headers::parse_response(status, &answer.headers);
    if let Some(idle) = reply.idle_timeout {
        answer.set_idle_timeout(idle.since(IDLE_MARGIN).min(IDLE_MAX).to_std());
    }
    // A failure may come without the attempt's id, a success may not.
    let nameless = reply.attempt.is_none() && !status.is_success();
    if reply.attempt != job.ask.attempt && !nameless {
        flight.ended(RequestOutcome::Broken);
        return Err(Miss::Unknown("foreign_answer"));
    }
    if reply.not_run {
        answer.drain();
        flight.answered();
        return Err(unrun(edge, job, choice, status, &reply, &mut flight));
    }
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if reply.encoded || promises || (status.is_success() && !reply.sealed) {
        flight.ended(RequestOutcome::Broken);
        return Err(Miss::Unknown("garbled_answer"));
    }
    let unframed = !answer.headers.contains_key(header::CONTENT_LENGTH)
        && !answer.headers.contains_key(header::TRANSFER_ENCODING);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = std::mem::take(&mut answer.headers);
    headers::answer(response.headers_mut());
    if job.route.kind.streams() && status.is_success() {
        let opened = Opened { answer, flight, left: job.left(), unframed };
        return Ok(Answered::Events(Box::new(response.map(|()| opened))));
    }
    let deadline = Instant::now() + job.left().since(RESERVE).to_std();
    let Ok(whole) = answer.read_to_end(deadline).await else {
        let late = Instant::now() >= deadline;
        flight.ended(if late { RequestOutcome::Silent } else { RequestOutcome::Broken });
        return Err(Miss::Unknown(if late { "answer_late" } else { "answer_cut" }));
    };
    flight.answered();
    let response = response.map(|()| whole.body);
    if status.is_server_error() {
        flight.ended(RequestOutcome::Failed);
        return Err(Miss::Failed(response));
    }
    flight.ended(RequestOutcome::Answered);
    Ok(Answered::Whole(response))
}

/// Why an endpoint did not run a request, and what that says of the endpoint.
fn unrun(
    edge: &Rc<Edge>,
    job: &Job<'_>,
    choice: &Choice,
    status: StatusCode,
    reply: &ResponseHeaders,
    flight: &mut Flight,
) -> Miss {
    if status != StatusCode::MISDIRECTED_REQUEST {
        flight.ended(RequestOutcome::Full);
        return Miss::Unrun("endpoint_full");
    }
    if reply.instance.as_deref().is_some_and(|i| i != &*choice.id) {
        edge.mark_leaving(&choice.id, "another instance answers at its address");
        return Miss::Unrun("instance_gone");
    }
    // The view of the adapters in place was out of date.
    if let Some(adapter) = &job.ask.model {
        if let Some(e) = edge.table.borrow_mut().get_mut(&choice.id) {
            e.loaded.remove(adapter.as_str());
        }
        decision!("adapter_absent", "id": job.ask.attempt, "endpoint": &*choice.id, "adapter": adapter);
    }
    Miss::Unrun("adapter_absent")
}
