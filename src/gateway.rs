//! HTTP API for callers.
//!
//! Parses requests, enforces limits on their size, time and memory, authenticates API keys, and
//! converts answers and refusals to HTTP responses. `completion` and `service_call`
//! process the requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use poem::{Body, Request, Response};
use tokio::time::{Instant, timeout, timeout_at};

use crate::caller_budget::{CallerBudget, CallerRequest};
use crate::caller_ledger::BudgetFull;
use crate::caller_stream::{self, BodyError};
use crate::completion::{self, CompletionCall};
use crate::config::{Config, ModelError};
use crate::denial::{Denial, Reason};
use crate::ids::RequestId;
use crate::keys;
use crate::openai::{CompletionRequest, ErrorBody, ErrorView, ModelEntry};
use crate::request_types::{self, Answer, Caller};
use crate::service_call::{self, ServiceRequest};
use crate::service_client::contains_key;
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Maximum length of an idempotency key.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;
/// Bytes over the limit of an oversized body that are read and discarded.
const DRAIN_MAX_BYTES: usize = 1 << 20;
/// Time limit for reading the rest of a refused request's body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Copies of a completion's body that are kept while it runs, beside the body itself.
const COMPLETION_COPIES: usize = 2;
/// Time after which a caller whose request did not fit into the memory may send it again.
const MEMORY_RETRY: Ms = Ms::secs(1);
/// Response header with the request id.
const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Response header that marks an answer replayed from an earlier call.
const IDEMPOTENCY_REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Response header with the model or adapter version that ran.
const X_MODEL: HeaderName = HeaderName::from_static("x-model");

/// HTTP API of one node for callers.
pub(crate) struct Gateway<P: Ports> {
    shell: Arc<Shell<P>>,
    callers: CallerBudget,
}

impl<P: Ports> Gateway<P> {
    /// Creates the API of a node, whose connections are charged to `callers`.
    pub(crate) fn new(shell: Arc<Shell<P>>, callers: CallerBudget) -> Self {
        Self { shell, callers }
    }

    async fn dispatch(
        &self,
        req: &mut Request,
        id: RequestId,
        held: CallerRequest,
    ) -> Result<Response, RefusedRequest> {
        self.check_headers(req.headers())?;
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/healthz") => Ok(text_response(StatusCode::OK, "ok\n")),
            (Method::GET, "/readyz") => Ok(self.readiness()),
            (Method::GET, "/v1/models") => self.models(req.headers()),
            (Method::POST, "/v1/chat/completions") => self.completion(req, id, held, true).await,
            (Method::POST, "/v1/completions") => self.completion(req, id, held, false).await,
            (_, path) => match path.strip_prefix("/services/") {
                Some(rest) => self.service(req, id, held, rest).await,
                None => Err(Denial::new(Reason::NotFound, "no such path or method").into()),
            },
        }
    }

    fn readiness(&self) -> Response {
        match self.shell.check_ready() {
            Ok(()) => text_response(StatusCode::OK, "ready\n"),
            Err(denial) => text_response(StatusCode::SERVICE_UNAVAILABLE, &denial.message),
        }
    }

    fn models(&self, headers: &HeaderMap) -> Result<Response, RefusedRequest> {
        let config = self.shell.config()?;
        let caller = authenticate(&config, headers)?;
        let team = caller.team.as_ref();
        let owner = team.map_or_else(|| "open".to_owned(), ToString::to_string);
        let data: Vec<ModelEntry> = config
            .models_for(team)
            .into_iter()
            .map(|id| ModelEntry { id, object: "model", created: 0, owned_by: owner.clone() })
            .collect();
        Ok(json_response(StatusCode::OK, &serde_json::json!({"object": "list", "data": data})))
    }

    async fn completion(
        &self,
        req: &mut Request,
        id: RequestId,
        mut held: CallerRequest,
        chat: bool,
    ) -> Result<Response, RefusedRequest> {
        self.shell.check_authority()?;
        let config = self.shell.config()?;
        let caller = authenticate(&config, req.headers())?;
        let mut refused = RefusedRequest::of_caller(&caller);
        let body = self.receive_body(req, &mut held).await.map_err(|d| refused.with_denial(d))?;
        held.hold(body.len() * COMPLETION_COPIES)
            .and_then(|()| held.run())
            .map_err(|_| refused.with_denial(memory_denial()))?;
        refuse_key_in_request(req, &body).map_err(|d| refused.with_denial(d))?;
        let parsed = CompletionRequest::parse(&body, chat)
            .map_err(|e| refused.with_denial(Denial::new(Reason::BadBody, e)))?;
        refused.target = Some(parsed.model.clone());
        let Some(team) = caller.team.clone() else {
            return Err(refused.with_denial(missing_key_denial()));
        };
        let target = config
            .resolve_model(Some(&team), &parsed.model)
            .map_err(|e| refused.with_denial(model_denial(&e, &parsed.model)))?;
        let path = if chat { "/v1/chat/completions" } else { "/v1/completions" };
        let call = CompletionCall::new(&config, id, caller, team, target, parsed, path, &body);
        drop(body);
        let answer = completion::run(self.shell.clone(), call).await;
        answer.and_then(|a| respond(a, id, held)).map_err(|d| refused.with_denial(d))
    }

    async fn service(
        &self,
        req: &mut Request,
        id: RequestId,
        mut held: CallerRequest,
        rest: &str,
    ) -> Result<Response, RefusedRequest> {
        self.shell.check_authority()?;
        let config = self.shell.config()?;
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let mut refused =
            RefusedRequest { target: Some(name.to_owned()), ..RefusedRequest::default() };
        let Some(route) = config.route(name) else {
            let message = format!("the configuration names no route {name:?}");
            return Err(refused.with_denial(Denial::new(Reason::UnknownRoute, message)));
        };
        // A key sent to an open route is still checked, so that every route
        // refuses a withdrawn key.
        let caller = match authenticate(&config, req.headers()) {
            Err(d) if route.open && d.reason == Reason::MissingKey => Caller::default(),
            other => other.map_err(|d| refused.with_denial(d))?,
        };
        refused.caller = caller.clone();
        let team = request_types::route_team(route, &caller).map_err(|d| refused.with_denial(d))?;
        let key = idempotency_key(req.headers()).map_err(|d| refused.with_denial(d))?;
        let body = self.receive_body(req, &mut held).await.map_err(|d| refused.with_denial(d))?;
        held.run().map_err(|_| refused.with_denial(memory_denial()))?;
        refuse_key_in_request(req, &body).map_err(|d| refused.with_denial(d))?;
        // A call that must not be repeated goes on when its caller has left.
        let body = held.keep(body);
        let mut path = format!("/{tail}");
        if let Some(query) = req.uri().query() {
            path = format!("{path}?{query}");
        }
        let call = ServiceRequest {
            id,
            caller,
            team,
            route: route.clone(),
            method: req.method().clone(),
            path,
            headers: req.headers().clone(),
            body,
            key,
        };
        let answer = service_call::run(self.shell.clone(), call).await;
        answer.and_then(|a| respond(a, id, held)).map_err(|d| refused.with_denial(d))
    }

    fn check_headers(&self, headers: &HeaderMap) -> Result<(), Denial> {
        let limit = self.shell.limits().max_header;
        let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        if size as u64 <= limit {
            return Ok(());
        }
        let message = format!("the headers exceed {limit} bytes");
        Err(Denial::new(Reason::HeadersTooLarge, message))
    }

    async fn receive_body(
        &self,
        req: &mut Request,
        held: &mut CallerRequest,
    ) -> Result<Bytes, Denial> {
        let limits = self.shell.limits();
        let max = usize::try_from(limits.max_body).unwrap_or(usize::MAX);
        let end = Instant::now() + limits.body_timeout.to_std();
        let announced = content_length(req.headers());
        let mut pieces = req.take_body().into_bytes_stream();
        let read = caller_stream::read_body(&mut pieces, max, announced, held);
        match timeout_at(end, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::TooLarge)) => {
                held.release();
                // The result is ignored: the request is refused whatever its rest is.
                let rest = max.saturating_add(DRAIN_MAX_BYTES);
                let _ = timeout_at(end, discard(&mut pieces, rest)).await;
                Err(Denial::new(Reason::BodyTooLarge, format!("the body exceeds {max} bytes")))
            }
            Ok(Err(BodyError::Refused)) => {
                held.release();
                // So that the caller can read the refusal; see `discard`.
                let _ = timeout(DRAIN_TIMEOUT, discard(&mut pieces, max)).await;
                Err(memory_denial())
            }
            Ok(Err(BodyError::Broken(e))) => {
                Err(Denial::new(Reason::BadBody, format!("the body could not be read: {e}")))
            }
            Err(_) => Err(Denial::new(
                Reason::SlowBody,
                format!("the body did not arrive within {}", limits.body_timeout),
            )),
        }
    }

    fn refusal_response(&self, refused: RefusedRequest, id: RequestId) -> Response {
        let RefusedRequest { denial, caller, target } = refused;
        let denial = denial.map_or_else(|| Denial::new(Reason::NotFound, "no such path"), |d| *d);
        let refusal = self.shell.record_refusal(id, &caller, target.as_deref(), &denial);
        let mut response = json_response(denial.reason.status(), &error_body(&denial, &refusal));
        if let Some(after) = denial.retry_after {
            let seconds = after.0.div_ceil(1000).max(1);
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl<P: Ports> poem::Endpoint for Gateway<P> {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let id = RequestId(rand::random());
        let caller = req.remote_addr().as_socket_addr().copied();
        let Some(caller) = caller.and_then(|c| self.callers.connection(&c)) else {
            // The connection has closed meanwhile.
            return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "closed"));
        };
        let _running = self.shell.track_running();
        let dispatched = self.dispatch(&mut req, id, CallerRequest::begin(caller)).await;
        let mut response = match dispatched {
            Ok(response) => response,
            Err(refused) => {
                let closes = refused.reason() == Some(Reason::CallerMemory);
                let mut response = self.refusal_response(refused, id);
                if closes {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                let mut rest = req.take_body().into_bytes_stream();
                let _ = timeout(DRAIN_TIMEOUT, discard(&mut rest, DRAIN_MAX_BYTES)).await;
                response
            }
        };
        response.headers_mut().insert(X_REQUEST_ID, header_value(&id.to_string()));
        if self.shell.is_draining() {
            // The caller's next request on this connection could meet its end.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// A refused request, with what is known about its caller.
#[derive(Clone, Debug, Default)]
struct RefusedRequest {
    denial: Option<Box<Denial>>,
    caller: Caller,
    target: Option<String>,
}

impl RefusedRequest {
    fn of_caller(caller: &Caller) -> Self {
        Self { caller: caller.clone(), ..Self::default() }
    }

    fn reason(&self) -> Option<Reason> {
        self.denial.as_ref().map(|d| d.reason)
    }

    fn with_denial(&self, denial: Denial) -> Self {
        Self { denial: Some(Box::new(denial)), ..self.clone() }
    }
}

impl From<Denial> for RefusedRequest {
    fn from(denial: Denial) -> Self {
        Self { denial: Some(Box::new(denial)), ..Self::default() }
    }
}

/// Returns the API key in the `Authorization` header.
fn presented_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    text.split_once(' ').map(|(_, key)| key.trim())
}

/// Refuses a request whose path or body would pass the caller's key to an endpoint.
fn refuse_key_in_request(req: &Request, body: &[u8]) -> Result<(), Denial> {
    let Some(key) = presented_key(req.headers()) else { return Ok(()) };
    if !contains_key(body, key) && !contains_key(req.uri().to_string().as_bytes(), key) {
        return Ok(());
    }
    let message = "the path or the body contains the caller's key, which endpoints may not see";
    Err(Denial::new(Reason::KeyInRequest, message))
}

/// Authenticates a request by its API key.
///
/// # Errors
/// Refuses a missing, malformed, unknown or withdrawn key.
fn authenticate(config: &Config, headers: &HeaderMap) -> Result<Caller, Denial> {
    let Some(field) = headers.get(header::AUTHORIZATION) else {
        return Err(missing_key_denial());
    };
    let bad = || Denial::new(Reason::BadHeader, "`Authorization` must be `Bearer KEY`");
    let text = field.to_str().map_err(|_| bad())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(bad)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(bad());
    }
    let Some(entry) = config.key(&keys::digest(key.trim())) else {
        return Err(Denial::new(Reason::UnknownKey, "the key is not known"));
    };
    if entry.withdrawn {
        let denial = Denial::new(Reason::WithdrawnKey, "the key was withdrawn");
        return Err(denial.fact("key", entry.id.as_str()));
    }
    Ok(Caller { team: Some(entry.team.clone()), key: Some(entry.id.clone()) })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Denial> {
    let mut fields = headers.get_all("idempotency-key").iter();
    let Some(field) = fields.next() else { return Ok(None) };
    let bad = |why: &str| Denial::new(Reason::BadHeader, format!("`Idempotency-Key` {why}"));
    if fields.next().is_some() {
        return Err(bad("must appear once"));
    }
    let text = field.to_str().map_err(|_| bad("must be visible ASCII text"))?.trim();
    match text.len() {
        0 => Err(bad("must not be empty")),
        n if n > IDEMPOTENCY_KEY_MAX_BYTES => Err(bad("must be at most 255 bytes long")),
        _ => Ok(Some(text.to_owned())),
    }
}

/// The length that a caller announces for its body.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads up to `max` bytes of a refused body and discards them: closing a connection with unread
/// data resets it, and the caller would not get the refusal.
async fn discard<S>(pieces: &mut S, max: usize)
where
    S: Stream<Item = std::io::Result<Bytes>> + Unpin,
{
    let mut dropped = 0;
    while let Some(Ok(piece)) = pieces.next().await {
        dropped += piece.len();
        if dropped > max {
            return;
        }
    }
}

fn memory_denial() -> Denial {
    let message = "the memory for callers' requests is in use";
    Denial::new(Reason::CallerMemory, message).retry_after(MEMORY_RETRY)
}

fn missing_key_denial() -> Denial {
    Denial::new(Reason::MissingKey, "`Authorization: Bearer KEY` is required")
}

fn model_denial(error: &ModelError, model: &str) -> Denial {
    match error {
        ModelError::Unknown => {
            Denial::new(Reason::UnknownModel, format!("no model or adapter {model:?}"))
        }
        ModelError::OtherTeam => {
            Denial::new(Reason::OtherTeam, format!("adapter {model:?} belongs to another team"))
        }
        ModelError::UnknownVersion => {
            Denial::new(Reason::UnknownVersion, format!("no such version: {model:?}"))
        }
    }
}

fn error_body<'a>(denial: &'a Denial, refusal: &'a str) -> ErrorBody<'a> {
    ErrorBody {
        error: ErrorView {
            error_type: denial.reason.error_type(),
            code: denial.reason.code(),
            message: &denial.message,
            refusal_id: refusal,
            ran: if denial.maybe_ran { "unknown" } else { "no" },
            reason: denial.reason.code(),
        },
    }
}

/// Server-sent event that ends an incomplete stream with an error.
pub(crate) fn error_event(denial: &Denial, refusal: &str) -> Bytes {
    let body = serde_json::to_string(&error_body(denial, refusal)).expect("serialises");
    Bytes::from(format!("data: {body}\n\n"))
}

/// The response with an answer, which is charged to its caller until it has been written.
fn respond(answer: Answer, id: RequestId, held: CallerRequest) -> Result<Response, Denial> {
    let full = |_: BudgetFull| {
        let message = "the answer does not fit into the memory for callers";
        Denial::unknown(Reason::EndpointFailed, message)
    };
    let mut response = match answer {
        Answer::Whole { status, headers, body } => {
            let mut response =
                Response::builder().status(status).body(held.answer(body).map_err(full)?);
            *response.headers_mut() = headers;
            response
        }
        Answer::Replayed { status, headers, body } => {
            let mut response =
                Response::builder().status(status).body(held.answer(body).map_err(full)?);
            *response.headers_mut() = headers;
            response.headers_mut().insert(IDEMPOTENCY_REPLAYED, HeaderValue::from_static("true"));
            response
        }
        Answer::Events { model, events } => {
            let stream = futures_util::stream::unfold((events, held), |(mut rx, held)| async {
                rx.recv().await.map(|event: Bytes| (event, (rx, held)))
            });
            let body = Body::from_bytes_stream(stream.map(Ok::<_, std::io::Error>));
            let mut response = Response::builder().status(StatusCode::OK).body(body);
            let headers = response.headers_mut();
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            headers.insert(X_MODEL, header_value(&model));
            response
        }
    };
    response.headers_mut().insert(X_REQUEST_ID, header_value(&id.to_string()));
    Ok(response)
}

fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).expect("a JSON value serialises");
    Response::builder().status(status).content_type("application/json").body(bytes)
}

fn text_response(status: StatusCode, body: &str) -> Response {
    Response::builder().status(status).content_type("text/plain").body(body.to_owned())
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}
