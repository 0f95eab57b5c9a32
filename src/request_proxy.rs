//! Proxies a caller's request to an endpoint and returns the endpoint's answer.
//!
//! A send without an answer is repeated only if the request did not run or may run twice.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::adapter_wait::{AdapterWait, wait_for_adapter};
use crate::admission::{Admission, admit};
use crate::caller_budget::{CallerConnection, CallerRequest};
use crate::caller_stream::{self, BodyError};
use crate::crash_evidence::Feature;
use crate::crash_watch;
use crate::edge::Edge;
use crate::edge_listeners::text_response;
use crate::endpoint_choice::{Choice, Exclusions, Requirements, choose};
use crate::endpoint_limits::Deferred;
use crate::failpoint::{Failpoint, active};
use crate::ids::stable_hash;
use crate::platform::headers::{self, RequestHeaders};
use crate::request_log::{ANSWERED, FAILED, LEFT, REFUSED, RequestLog};
use crate::request_send::{
    PreparedRequest, ProxyResponse, RESPONSE_MARGIN, SendFailure, send_once,
};
use crate::response_body::{InFlightGuard, ResponseBody};
use crate::routing::{Route, Routing, Team};
use crate::shared_limits::NodeCounts;
use crate::stream_origins::{Origin, stream_id};
use crate::stream_store;
use crate::time::{BootClock, Clock, Ms};

/// Time limit of a request if neither the request nor its route states one.
const DEFAULT_TIMEOUT: Ms = Ms::secs(30);
/// `Retry-After` of a refusal for which no better time is known.
const DEFAULT_RETRY_AFTER: Ms = Ms(500);
/// Largest fraction of the time left for which a request waits for an adapter.
const LOAD_WAIT_SHARE: f64 = 0.6;
/// Most endpoints at which a request waits for its adapter, one after the other.
const MAX_LOAD_ENDPOINTS: usize = 3;
/// Largest request body before a configuration is read, in bytes.
const DEFAULT_BODY_BYTES: usize = 16 << 20;
/// Bytes of a refused request's body that are read and discarded. This is above every body
/// limit in use, so only a caller that ignores the limit is cut off.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Time for which a refused request's body is read and discarded.
const DISCARD_TIMEOUT: Ms = Ms::secs(5);
/// Idle timeout of callers' connections before a configuration is read.
pub(crate) const DEFAULT_CALLER_IDLE: Ms = Ms::secs(15);
/// Reason of a refusal whose body exceeds the limit.
const REASON_LARGE: &str = "body_too_large";
/// Reason of a refusal for want of memory for callers.
const REASON_MEMORY: &str = "caller_memory";
/// Most sends of one request, whatever its route allows.
const MAX_SENDS: usize = 4;

/// A refusal or failure that this node answers itself.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Ms>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// A 503: the request has not run, and the caller may retry after `after`.
    fn unavailable(reason: &'static str, after: Ms) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(after) }
    }
}

/// The refusal of a request that has no answer when the node ends.
fn unfinished_refusal(log: &RequestLog) -> Refusal {
    match log.may_have_run {
        true => Refusal::new(StatusCode::BAD_GATEWAY, "node_stopped"),
        false => Refusal::unavailable("node_stopped", DEFAULT_RETRY_AFTER),
    }
}

/// The refusal of a request whose memory others need.
fn memory_refusal() -> Refusal {
    Refusal::unavailable(REASON_MEMORY, DEFAULT_RETRY_AFTER)
}

/// Answers a caller's request and logs it.
pub(crate) async fn handle(
    edge: Rc<Edge>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = InFlightGuard::new(&edge);
    let mut held = CallerRequest::begin(caller);
    let parsed = headers::parse_request(request.headers());
    let attempt = parsed.attempt.clone().unwrap_or_default();
    let mut log = RequestLog::new(&edge, &attempt);
    log.parts.clone_from(&parsed.prompt_parts);
    log.resumes.clone_from(&parsed.resumes);
    let stopping = *edge.stopping.borrow();
    let served = tokio::select! {
        biased;
        served = serve_request(&edge, request, &parsed, &mut held, &mut log) => Some(served),
        () = edge.until_grace_over() => None,
    };
    let served = served.unwrap_or_else(|| Err(unfinished_refusal(&log)));
    // Ends with the response, or with the stream that it is moved into.
    let mut held = Some(held);
    let served = served.and_then(|served| match served {
        ProxyResponse::Whole(whole) => hold_answer(whole, &mut held).map(ProxyResponse::Whole),
        events @ ProxyResponse::Events(_) => Ok(events),
    });
    let mut response = match served {
        Ok(ProxyResponse::Whole(response)) => {
            log.status = response.status().as_u16();
            if !response.status().is_server_error() {
                log.set_outcome(ANSWERED, "whole");
            }
            response.map(|b| ResponseBody::Whole(Some(b), Some(guard)))
        }
        Ok(ProxyResponse::Events(answer)) => {
            let (head, stream) = answer.into_parts();
            log.status = head.status.as_u16();
            log.set_outcome(LEFT, "during the stream");
            let events = stream.into_events(log, guard, held);
            Response::from_parts(head, ResponseBody::Events(Box::new(events)))
        }
        Err(refusal) => {
            log.status = refusal.status.as_u16();
            log.set_outcome(REFUSED, refusal.reason);
            let mut response = text_response(refusal.status, refusal.reason);
            if let Some(after) = refusal.retry_after {
                headers::set_retry_after(response.headers_mut(), after);
            }
            let body_unread = [REASON_LARGE, REASON_MEMORY].contains(&refusal.reason);
            if body_unread {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            headers::set_attempt_id(response.headers_mut(), &attempt);
            response
        }
    };
    if stopping || *edge.stopping.borrow() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Charges a complete answer to its caller until it has been written.
fn hold_answer(
    response: Response<Bytes>,
    held: &mut Option<CallerRequest>,
) -> Result<Response<Bytes>, Refusal> {
    let (head, body) = response.into_parts();
    let Some(request) = held.take().filter(|_| !body.is_empty()) else {
        return Ok(Response::from_parts(head, body));
    };
    let body = request.answer(body);
    let body = body.map_err(|_| Refusal::new(StatusCode::BAD_GATEWAY, REASON_MEMORY))?;
    Ok(Response::from_parts(head, body))
}

async fn serve_request(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    parsed: &RequestHeaders,
    held: &mut CallerRequest,
    log: &mut RequestLog,
) -> Result<ProxyResponse, Refusal> {
    let begun = BootClock.now();
    let (parts, body) = request.into_parts();
    let mut body = RequestBody(Some(body));
    let routing = edge.routing.borrow().clone();
    if routing.version == 0 {
        return Err(Refusal::unavailable("no_configuration", DEFAULT_RETRY_AFTER));
    }
    let route = routing.route(&parsed.host, parts.uri.path());
    let route = route.ok_or(Refusal::new(StatusCode::NOT_FOUND, "no_route"))?.clone();
    log.route = Some(route.name.clone());
    let team = team_of(&routing, &route, parsed)?;
    log.team = team.as_ref().map(|t| t.name.clone());
    let limit = routing.limits.map_or(DEFAULT_BODY_BYTES, |l| l.body_bytes);
    let idle = routing.limits.map_or(DEFAULT_CALLER_IDLE, |l| l.idle_timeout);
    let body = read_body(&mut body, limit, idle, held).await?;
    held.run().map_err(|_| memory_refusal())?;
    let timeout = if route.timeout.0 > 0 { route.timeout } else { DEFAULT_TIMEOUT };
    let time = parsed.deadline.unwrap_or(timeout).min(timeout);
    let features = crash_watch::features_of(&parts, parsed, team.as_deref(), &body);
    check_quarantine(edge, &features, log)?;
    let cost = request_cost(team.as_deref(), parsed);
    log.cost = cost;
    if let Some(team) = &team {
        let counts = edge.node_counts(begun);
        if let Err(after) = edge.team_limits.borrow_mut().admit(begun, &**team, cost, counts) {
            let NodeCounts { nodes, heard } = counts;
            log.add_step(format!("over_rate cost={cost} heard={heard}/{nodes} after={after}"));
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(Refusal { status, reason: "over_rate", retry_after: Some(after) });
        }
    }
    let origin = find_origin(edge, &route, parsed, log).await;
    let origin = origin.inspect_err(|r| refund_tokens(edge, team.as_deref(), cost, r))?;
    let service =
        origin.as_ref().map_or_else(|| pick_service(&route, parsed), |o| o.service.clone());
    edge.resends.borrow_mut().on_request(begun, &service);
    let answer_time = route.abandon_after().map_or(time, |p| p.min(time));
    let req = PreparedRequest {
        parsed,
        route,
        team,
        service,
        origin,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        features,
        deadline: begun + time,
        abandon_at: begun + answer_time,
    };
    let answered = send_until_answered(edge, &req, &routing, log).await;
    answered.inspect_err(|refusal| refund_tokens(edge, req.team.as_deref(), cost, refusal))
}

/// Returns what a request that did not run has cost its team.
fn refund_tokens(edge: &Edge, team: Option<&Team>, cost: f64, refusal: &Refusal) {
    if let Some(team) = team.filter(|_| refusal.status == StatusCode::SERVICE_UNAVAILABLE) {
        edge.team_limits.borrow_mut().refund(&team.name, cost);
    }
}

/// Refuses a request with a feature that makes endpoints crash, until the quarantine expires.
fn check_quarantine(
    edge: &Edge,
    features: &[Feature],
    log: &mut RequestLog,
) -> Result<(), Refusal> {
    let Some((feature, left)) = edge.crash_watch.quarantined(BootClock.now(), features) else {
        return Ok(());
    };
    log.add_step(format!("quarantined feature={:016x} left={left}", feature.id));
    Err(Refusal::unavailable("quarantined", left))
}

/// The team of the caller's key; `None` if the key is unknown and none is required.
fn team_of(
    routing: &Routing,
    route: &Route,
    parsed: &RequestHeaders,
) -> Result<Option<Rc<Team>>, Refusal> {
    let known = parsed.key.as_deref().and_then(|k| routing.team(k)).cloned();
    if known.is_none() && !route.public && !routing.teams().is_empty() {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    Ok(known)
}

/// Amount charged to the team's limit: tokens if it is limited by tokens, otherwise 1.
fn request_cost(team: Option<&Team>, parsed: &RequestHeaders) -> f64 {
    match team {
        Some(team) if team.by_token && parsed.has_size => {
            f64::from(parsed.prompt_tokens) + f64::from(parsed.max_output)
        }
        Some(team) if team.by_token => team.unsized_cost,
        _ => 1.0,
    }
}

/// Body of a request. When it is dropped, the unread rest is read and discarded, up to
/// [`MAX_DISCARDED_BYTES`]. Closing a connection with unread data resets it, and a caller
/// that is still sending could not read its refusal.
struct RequestBody(Option<Incoming>);

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(body) = self.0.take().filter(|b| !b.is_end_stream()) else { return };
        let mut rest = Limited::new(body, MAX_DISCARDED_BYTES);
        spawn_local(async move {
            // The result is ignored: the refusal is already logged with its request.
            let read = async { while let Some(Ok(_)) = rest.frame().await {} };
            let _ = timeout(DISCARD_TIMEOUT.to_std(), read).await;
        });
    }
}

async fn read_body(
    body: &mut RequestBody,
    limit: usize,
    idle: Ms,
    held: &mut CallerRequest,
) -> Result<Bytes, Refusal> {
    let Some(body) = body.0.as_mut() else { return Ok(Bytes::new()) };
    let announced = body.size_hint().exact();
    let mut pieces = BodyDataStream::new(body);
    let read = caller_stream::read_body(&mut pieces, limit, announced, held);
    match timeout(idle.to_std(), read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => {
            Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, REASON_LARGE))
        }
        Ok(Err(BodyError::Refused)) => Err(memory_refusal()),
        Ok(Err(BodyError::Broken(_))) => Err(Refusal::new(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_late")),
    }
}

/// Finds out where the stream began that a request takes up; `None` for other requests.
async fn find_origin(
    edge: &Rc<Edge>,
    route: &Route,
    parsed: &RequestHeaders,
    log: &mut RequestLog,
) -> Result<Option<Origin>, Refusal> {
    if !route.kind.streams() || (parsed.resumes.is_none() && parsed.last_event.is_none()) {
        return Ok(None);
    }
    let first = parsed.resumes.as_deref().unwrap_or_default();
    let service = pick_service(route, parsed);
    let Some((origin, source)) = stream_store::find_origin(edge, stream_id(first), &service).await
    else {
        return Err(Refusal::unavailable("stream_version_unknown", DEFAULT_RETRY_AFTER));
    };
    if !route.targets.iter().any(|t| t.service == origin.service) {
        return Err(Refusal::unavailable("stream_version_gone", DEFAULT_RETRY_AFTER));
    }
    log.add_step(format!("goes_on {} software={} {source:?}", origin.service, origin.software));
    Ok(Some(origin))
}

/// Picks the service of a request by the route's weights. All requests of an attempt get
/// the same service, and so do those that take up its stream.
fn pick_service(route: &Route, parsed: &RequestHeaders) -> Rc<str> {
    let total: f64 = route.targets.iter().map(|t| t.weight.max(0.0)).sum();
    let first = parsed.resumes.as_ref().or(parsed.attempt.as_ref());
    let seed = first.map(String::as_str).unwrap_or_default();
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

async fn send_until_answered(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    routing: &Routing,
    log: &mut RequestLog,
) -> Result<ProxyResponse, Refusal> {
    let mut tried: Vec<Rc<str>> = Vec::new();
    // Endpoints that lacked the adapter, which may get the request again.
    let mut lacking: Vec<Rc<str>> = Vec::new();
    let mut maybe_ran = 0;
    let mut last = SendFailure::NotRun("no_endpoint");
    for send in 0..MAX_SENDS {
        if req.time_left() <= RESPONSE_MARGIN {
            break;
        }
        if send > 0 {
            let NodeCounts { nodes, .. } = edge.node_counts(BootClock.now());
            if !edge.resends.borrow_mut().try_consume(BootClock.now(), &req.service, nodes) {
                log.add_step("resend_budget_spent".to_owned());
                break;
            }
            edge.metrics.retries(1, last.reason());
        }
        let placed = place_request(edge, req, routing, &tried, log).await;
        // A cause of crashes may have become known while the request waited.
        let placed = check_quarantine(edge, &req.features, log).and(placed);
        let (choice, version) = match placed {
            Ok(found) => found,
            Err(refusal) if send == 0 => return Err(refusal),
            Err(_) => break,
        };
        let again = lacking.contains(&choice.id);
        log.may_have_run = true;
        let failure = match send_once(edge, req, (&choice, again), version, log).await {
            Ok(answered) => return Ok(answered),
            Err(failure) => failure,
        };
        let (why, may_have_run) = (failure.reason(), !matches!(failure, SendFailure::NotRun(_)));
        log.add_step(format!("missed {} {why}", choice.id));
        match why {
            "adapter_absent" => lacking.push(choice.id.clone()),
            _ => tried.push(choice.id.clone()),
        }
        if may_have_run {
            maybe_ran += 1;
        }
        log.may_have_run = maybe_ran > 0;
        // A later send that did not run must not hide that an earlier one may have run.
        last = match (last, failure) {
            (old @ (SendFailure::Unknown(_) | SendFailure::Failed(_)), SendFailure::NotRun(_)) => {
                old
            }
            (_, failure) => failure,
        };
        let repeatable = req.route.kind.repeatable() || active(Failpoint::ResendSent);
        if may_have_run && (!repeatable || maybe_ran >= req.route.max_attempts) {
            break;
        }
    }
    match last {
        SendFailure::Failed(response) => {
            log.set_outcome(FAILED, "endpoint");
            Ok(ProxyResponse::Whole(response))
        }
        SendFailure::NotRun(why) => Err(Refusal::unavailable(why, DEFAULT_RETRY_AFTER)),
        SendFailure::Unknown(why) if active(Failpoint::FalseNotRun) => {
            Err(Refusal::unavailable(why, DEFAULT_RETRY_AFTER))
        }
        SendFailure::Unknown(why) if req.time_left() <= RESPONSE_MARGIN => {
            Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, why))
        }
        SendFailure::Unknown(why) => Err(Refusal::new(StatusCode::BAD_GATEWAY, why)),
    }
}

/// Chooses an endpoint and waits until it has loaded the request's adapter.
async fn place_request(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    routing: &Routing,
    tried: &[Rc<str>],
    log: &mut RequestLog,
) -> Result<(Choice, Option<u64>), Refusal> {
    let service = routing.services.get(&req.service);
    let engine = service.and_then(|s| s.engine.as_ref());
    let model = req.parsed.model.as_deref().filter(|_| engine.is_some());
    let base = model.map(|m| m.split_once('/').map_or(m, |(base, _)| base));
    let adapter = model.filter(|m| m.contains('/'));
    let now = BootClock.now();
    let version = adapter.and_then(|a| edge.adapter_version(a));
    let requirements = Requirements {
        service: &req.service,
        model: base,
        adapter,
        version,
        software: req.origin.as_ref().map(|o| &*o.software),
        prompt_tokens: f64::from(req.parsed.prompt_tokens),
        kv_tokens: engine.map_or(0.0, |e| e.kv_tokens),
        domain: &edge.deployment.domain,
        tried,
        deferred: &[],
    };
    let mut deferred = Deferred::default();
    let until = now + Ms((req.answer_time_left().0 as f64 * LOAD_WAIT_SHARE) as u64);
    for _ in 0..MAX_LOAD_ENDPOINTS {
        let choice = choose_endpoint(edge, req, &requirements, &mut deferred, log)?;
        let Some(adapter) = adapter.map(Rc::from) else {
            match take_limit(edge, &choice, &mut deferred, log) {
                true => return Ok((choice, None)),
                false => continue,
            }
        };
        if choice.needs_load {
            edge.metrics.load_stalls(1, req.team.as_ref().map_or("", |t| &*t.name));
        }
        let waited = match choice.needs_load {
            true => wait_for_adapter(edge, &choice.id, &adapter, version, until).await,
            false => AdapterWait::InPlace,
        };
        log.add_step(format!("{waited:?} {}", choice.id));
        match waited {
            AdapterWait::InPlace if !take_limit(edge, &choice, &mut deferred, log) => {}
            AdapterWait::InPlace => {
                if let Some(k) = edge.held.borrow_mut().get_mut(&choice.id) {
                    k.planner.record_use(BootClock.now(), &adapter, None);
                }
                return Ok((choice, version));
            }
            AdapterWait::Late => break,
            AdapterWait::Gone => {}
        }
    }
    Err(deferral_refusal(&deferred)
        .unwrap_or_else(|| Refusal::unavailable("adapter_not_loaded", DEFAULT_RETRY_AFTER)))
}

/// The refusal of a request whose endpoints must not get it now.
fn deferral_refusal(deferred: &Deferred) -> Option<Refusal> {
    deferred.earliest.map(|d| Refusal::unavailable(d.reason(), d.after()))
}

/// Counts a request against the rate limit of the chosen endpoint, or adds the endpoint to those
/// that must not get it now.
fn take_limit(edge: &Edge, choice: &Choice, deferred: &mut Deferred, log: &mut RequestLog) -> bool {
    let taken = edge.take_endpoint(&choice.id);
    if let Err(deferral) = taken {
        log.add_step(format!("deferred {} {deferral:?}", choice.id));
        deferred.add(choice.id.clone(), deferral);
    }
    taken.is_ok()
}

/// Chooses an endpoint, or refuses the request if its predicted wait is too long or none of the
/// endpoints may get it now.
fn choose_endpoint(
    edge: &Rc<Edge>,
    req: &PreparedRequest<'_>,
    requirements: &Requirements<'_>,
    deferred: &mut Deferred,
    log: &mut RequestLog,
) -> Result<Choice, Refusal> {
    let choice = loop {
        let requirements = Requirements { deferred: &deferred.ids, ..*requirements };
        let Some(choice) = choose(&edge.table.borrow(), BootClock.now(), &requirements) else {
            let excluded = Exclusions::count(&edge.table.borrow(), &requirements);
            log.add_step(format!("no_endpoint {excluded}"));
            let reason = match excluded.other_software {
                0 => "no_endpoint",
                _ => "stream_version_gone",
            };
            return Err(deferral_refusal(deferred)
                .unwrap_or_else(|| Refusal::unavailable(reason, DEFAULT_RETRY_AFTER)));
        };
        match edge.check_endpoint(&choice.id) {
            Ok(()) => break choice,
            Err(deferral) => deferred.add(choice.id, deferral),
        }
    };
    if let Admission::Refuse(after) =
        admit(choice.wait_ms, req.answer_time_left(), req.route.objective)
    {
        log.add_step(format!(
            "refused {} wait={:.0} left={}",
            choice.id,
            choice.wait_ms,
            req.time_left()
        ));
        return Err(Refusal::unavailable("overload", after));
    }
    let table = edge.table.borrow();
    let chosen = table.get(&choice.id);
    let software = chosen.map_or("", |e| &*e.entry.software);
    let limit = chosen.and_then(|e| e.stated_limit?.rate);
    let limit = limit.map_or(String::new(), |l| format!(" limit={l}"));
    log.add_step(format!(
        "chose {} software={software} wait={:.0} load={}{limit}",
        choice.id, choice.wait_ms, choice.needs_load
    ));
    drop(table);
    Ok(choice)
}
