//! Callers' HTTP interface.
//!
//! Parses and bounds what callers send, authenticates the key, and turns answers
//! and refusals into responses. The life of a request is in `serve`.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use poem::{Body, Request, Response};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use crate::completion::{self, CompletionCall};
use crate::config::{Config, ModelError};
use crate::denial::{Denial, Reason};
use crate::ids::RequestId;
use crate::keys;
use crate::openai::{Completion, ErrorBody, ErrorView, ModelEntry};
use crate::request_types::{self, Answer, Caller};
use crate::service_call::{self, ServiceRequest};
use crate::service_client::holds_key;
use crate::shell::{Ports, Shell};

/// Longest idempotency key in bytes.
const KEY_MAX: usize = 255;
/// Bytes of a refused body that are read and dropped.
const DRAIN_MAX: usize = 1 << 20;
/// Time for reading the rest of a refused body.
const DRAIN_WITHIN: Duration = Duration::from_millis(500);
/// Name of the header that carries the request's identifier back to the caller.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Name of the header that marks an answer replayed from an earlier call.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Name of the header that names the adapter version that ran.
const RAN_MODEL: HeaderName = HeaderName::from_static("x-model");

/// The callers' interface of one node.
pub(crate) struct Gateway<P: Ports> {
    shell: Arc<Shell<P>>,
}

impl<P: Ports> Gateway<P> {
    /// Makes the interface of a node.
    pub(crate) fn new(shell: Arc<Shell<P>>) -> Self {
        Self { shell }
    }

    async fn dispatch(&self, req: &mut Request, id: RequestId) -> Result<Response, Refused> {
        self.check_headers(req.headers())?;
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/healthz") => Ok(text(StatusCode::OK, "ok\n")),
            (Method::GET, "/readyz") => Ok(self.ready()),
            (Method::GET, "/v1/models") => self.models(req.headers()),
            (Method::POST, "/v1/chat/completions") => self.completion(req, id, true).await,
            (Method::POST, "/v1/completions") => self.completion(req, id, false).await,
            (_, path) => match path.strip_prefix("/services/") {
                Some(rest) => self.service(req, id, rest).await,
                None => Err(Denial::new(Reason::NotFound, "no such path or method").into()),
            },
        }
    }

    fn ready(&self) -> Response {
        match self.shell.check_ready() {
            Ok(()) => text(StatusCode::OK, "ready\n"),
            Err(denial) => text(StatusCode::SERVICE_UNAVAILABLE, &denial.message),
        }
    }

    fn models(&self, headers: &HeaderMap) -> Result<Response, Refused> {
        let config = self.shell.config()?;
        let caller = authenticate(&config, headers)?;
        let team = caller.team.as_ref();
        let owner = team.map_or_else(|| "open".to_owned(), ToString::to_string);
        let data: Vec<ModelEntry> = config
            .models_for(team)
            .into_iter()
            .map(|id| ModelEntry { id, object: "model", created: 0, owned_by: owner.clone() })
            .collect();
        Ok(json(StatusCode::OK, &serde_json::json!({"object": "list", "data": data})))
    }

    async fn completion(
        &self,
        req: &mut Request,
        id: RequestId,
        chat: bool,
    ) -> Result<Response, Refused> {
        self.shell.may_admit()?;
        let config = self.shell.config()?;
        let caller = authenticate(&config, req.headers())?;
        let mut refused = Refused::by(&caller);
        let body = self.body(req).await.map_err(|d| refused.with(d))?;
        check_key(req, &body).map_err(|d| refused.with(d))?;
        let parsed = Completion::parse(&body, chat)
            .map_err(|e| refused.with(Denial::new(Reason::BadBody, e)))?;
        refused.target = Some(parsed.model.clone());
        let Some(team) = caller.team.clone() else {
            return Err(refused.with(missing_key()));
        };
        let target = config
            .resolve_model(Some(&team), &parsed.model)
            .map_err(|e| refused.with(model_denial(&e, &parsed.model)))?;
        let path = if chat { "/v1/chat/completions" } else { "/v1/completions" };
        let call = CompletionCall::new(&config, id, caller, team, target, parsed, path, &body);
        let answer = completion::completion(self.shell.clone(), call).await;
        answer.map(|a| respond(a, id)).map_err(|d| refused.with(d))
    }

    async fn service(
        &self,
        req: &mut Request,
        id: RequestId,
        rest: &str,
    ) -> Result<Response, Refused> {
        self.shell.may_admit()?;
        let config = self.shell.config()?;
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let mut refused = Refused { target: Some(name.to_owned()), ..Refused::default() };
        let Some(route) = config.route(name) else {
            let message = format!("the configuration names no route {name:?}");
            return Err(refused.with(Denial::new(Reason::UnknownRoute, message)));
        };
        // An open route still checks a key that comes along, so that a withdrawn
        // key gets the same answer everywhere.
        let caller = match authenticate(&config, req.headers()) {
            Err(d) if route.open && d.reason == Reason::MissingKey => Caller::default(),
            other => other.map_err(|d| refused.with(d))?,
        };
        refused.caller = caller.clone();
        let team = request_types::route_team(route, &caller).map_err(|d| refused.with(d))?;
        let key = idempotency_key(req.headers()).map_err(|d| refused.with(d))?;
        let body = self.body(req).await.map_err(|d| refused.with(d))?;
        check_key(req, &body).map_err(|d| refused.with(d))?;
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
        answer.map(|a| respond(a, id)).map_err(|d| refused.with(d))
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

    async fn body(&self, req: &mut Request) -> Result<Bytes, Denial> {
        let limits = self.shell.limits();
        let max = usize::try_from(limits.max_body).unwrap_or(usize::MAX);
        match timeout(limits.body_timeout.to_std(), read_body(req.take_body(), max)).await {
            Ok(Ok(Some(body))) => Ok(body),
            Ok(Ok(None)) => {
                Err(Denial::new(Reason::BodyTooLarge, format!("the body exceeds {max} bytes")))
            }
            Ok(Err(e)) => {
                Err(Denial::new(Reason::BadBody, format!("the body could not be read: {e}")))
            }
            Err(_) => Err(Denial::new(
                Reason::SlowBody,
                format!("the body did not arrive within {}", limits.body_timeout),
            )),
        }
    }

    fn refuse(&self, refused: Refused, id: RequestId) -> Response {
        let Refused { denial, caller, target } = refused;
        let denial = denial.map_or_else(|| Denial::new(Reason::NotFound, "no such path"), |d| *d);
        let refusal = self.shell.record_refusal(id, &caller, target.as_deref(), &denial);
        let mut response = json(denial.reason.status(), &error_body(&denial, &refusal));
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
        let _running = self.shell.enter();
        let mut response = match self.dispatch(&mut req, id).await {
            Ok(response) => response,
            Err(refused) => {
                let response = self.refuse(refused, id);
                let _ = timeout(DRAIN_WITHIN, read_body(req.take_body(), 0)).await;
                response
            }
        };
        response.headers_mut().insert(REQUEST_ID, value(&id.to_string()));
        Ok(response)
    }
}

/// A refusal with what is known of the caller.
#[derive(Clone, Debug, Default)]
struct Refused {
    denial: Option<Box<Denial>>,
    caller: Caller,
    target: Option<String>,
}

impl Refused {
    fn by(caller: &Caller) -> Self {
        Self { caller: caller.clone(), ..Self::default() }
    }

    fn with(&self, denial: Denial) -> Self {
        Self { denial: Some(Box::new(denial)), ..self.clone() }
    }
}

impl From<Denial> for Refused {
    fn from(denial: Denial) -> Self {
        Self { denial: Some(Box::new(denial)), ..Self::default() }
    }
}

/// The key that came with a request.
fn presented(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    text.split_once(' ').map(|(_, key)| key.trim())
}

/// Refuses a request that would carry the caller's key to an endpoint.
fn check_key(req: &Request, body: &[u8]) -> Result<(), Denial> {
    let Some(key) = presented(req.headers()) else { return Ok(()) };
    if !holds_key(body, key) && !holds_key(req.uri().to_string().as_bytes(), key) {
        return Ok(());
    }
    let message = "the path or the body contains the caller's key, which endpoints may not see";
    Err(Denial::new(Reason::KeyInRequest, message))
}

/// Finds the team of the key that came with a request.
fn authenticate(config: &Config, headers: &HeaderMap) -> Result<Caller, Denial> {
    let Some(field) = headers.get(header::AUTHORIZATION) else {
        return Err(missing_key());
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
        n if n > KEY_MAX => Err(bad("must be at most 255 bytes long")),
        _ => Ok(Some(text.to_owned())),
    }
}

/// Reads a body of at most `max` bytes; `None` for a larger one.
///
/// A larger body is read on for a while and dropped: closing a connection with
/// unread data resets it, and the caller would lose the refusal.
async fn read_body(body: Body, max: usize) -> std::io::Result<Option<Bytes>> {
    let mut reader = body.into_async_read();
    let mut bytes = BytesMut::new();
    let mut dropped = 0;
    loop {
        if reader.read_buf(&mut bytes).await? == 0 {
            return Ok((dropped == 0).then(|| bytes.freeze()));
        }
        if dropped > 0 || bytes.len() > max {
            dropped += bytes.len();
            bytes.clear();
        }
        if dropped > max.saturating_add(DRAIN_MAX) {
            return Ok(None);
        }
    }
}

fn missing_key() -> Denial {
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
            class: denial.reason.error_type(),
            code: denial.reason.code(),
            message: &denial.message,
            refusal_id: refusal,
            ran: if denial.maybe_ran { "unknown" } else { "no" },
            reason: denial.reason.code(),
        },
    }
}

/// The event that ends a stream whose answer could not be completed.
pub(crate) fn error_event(denial: &Denial, refusal: &str) -> Bytes {
    let body = serde_json::to_string(&error_body(denial, refusal)).expect("serialises");
    Bytes::from(format!("data: {body}\n\n"))
}

fn respond(answer: Answer, id: RequestId) -> Response {
    let mut response = match answer {
        Answer::Whole { status, headers, body } => {
            let mut response = Response::builder().status(status).body(body);
            *response.headers_mut() = headers;
            response
        }
        Answer::Replayed { status, headers, body } => {
            let mut response = Response::builder().status(status).body(body);
            *response.headers_mut() = headers;
            response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
            response
        }
        Answer::Events { model, events } => {
            let stream = futures_util::stream::unfold(events, |mut rx| async move {
                rx.recv().await.map(|event: Bytes| (event, rx))
            });
            let body = Body::from_bytes_stream(stream.map(Ok::<_, std::io::Error>));
            let mut response = Response::builder().status(StatusCode::OK).body(body);
            let headers = response.headers_mut();
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            headers.insert(RAN_MODEL, value(&model));
            response
        }
    };
    response.headers_mut().insert(REQUEST_ID, value(&id.to_string()));
    response
}

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).expect("a JSON value serialises");
    Response::builder().status(status).content_type("application/json").body(bytes)
}

fn text(status: StatusCode, body: &str) -> Response {
    Response::builder().status(status).content_type("text/plain").body(body.to_owned())
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}
