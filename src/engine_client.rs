//! Client for a model engine's OpenAI-compatible HTTP API.
//!
//! Every request carries the attempt id as `x-request-id` and the owner's fencing token
//! as `x-fence`; headers of the caller are never sent. The engine includes the request
//! id in the id of its answer, so that an answer to another attempt is recognised and
//! dropped. An answer with the header `x-request-id` is checked by it as well; without the
//! header its connection is not used again, because a late copy could not be recognised.
//!
//! Engines also provide `GET /load` (see [`EngineState`]) and `POST /v1/cancel` with
//! `{"request_id"}`. A refusal that states `error.ran = "no"` means "not run" with any
//! status.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{ACCEPT, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Deserialize;
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::frames::{FrameLimits, Frames};
use crate::http_client::{FullResponse, HttpClient, IncomingResponse, SendError, build_request};
use crate::ids::{AdapterRef, AttemptId};
use crate::time::{BootClock, Clock, Ms};

pub use crate::frames::{DroppedFrames, Frame, FrameError, Usage};

/// Request header with the attempt id, 32 hexadecimal digits.
pub const X_REQUEST_ID: &str = "x-request-id";

/// Request header with the fencing token of the endpoint's owner.
pub const X_FENCE: &str = "x-fence";

/// Request header with the number of the attempt's tokens already received.
pub const X_RESUME_OFFSET: &str = "x-resume-offset";

/// Response header with the version of the engine's software.
pub const X_SOFTWARE_VERSION: &str = "x-software-version";
/// Response header that is `1` if the stream can be resumed.
pub const X_RESUMABLE: &str = "x-resumable";

/// Response header with the incarnation of the engine process.
pub const X_INCARNATION: &str = "x-incarnation";

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Fencing token of the permit.
    pub fence: u64,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// JSON body for the engine; see [`engine_body`].
    pub body: Bytes,
    /// Whether the body asks for a stream.
    pub stream: bool,
    /// Time by which the complete answer must have arrived.
    pub deadline: Instant,
    /// Time of [`BootClock`] from which the request must not be written any more.
    pub expiry: Ms,
    /// Number of tokens after which to resume the attempt's stream.
    pub resume_offset: Option<u64>,
}

/// Reason why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// No connection was established, or nothing was written to it.
    Unsent(String),
    /// The endpoint states that it did not run the request.
    Refused {
        /// Status code of the refusal.
        status: u16,
        /// Body of the refusal.
        body: Bytes,
    },
    /// The request may have been received.
    Unknown(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Refused { status, .. } => write!(f, "refused with status {status}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl From<SendError> for StartError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(reason) => Self::Unsent(reason),
            SendError::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// Reason why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// Nothing was written; the order has no effect.
    Unsent(String),
    /// The endpoint has seen a higher fencing token; the order has no effect.
    Fenced,
    /// The endpoint refused; the order has no effect.
    Refused {
        /// Status code of the refusal.
        status: u16,
        /// Start of the refusal's body.
        reason: String,
    },
    /// The order may have been received.
    Unknown(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Fenced => f.write_str("the endpoint has seen a higher fencing token"),
            Self::Refused { status, reason } => write!(f, "refused with status {status}: {reason}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl From<SendError> for OrderError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(reason) => Self::Unsent(reason),
            SendError::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Id of the engine process; changes with each start.
    pub incarnation: String,
    /// Loaded adapters, sorted.
    pub loaded: Vec<AdapterRef>,
    /// Queued or running attempts, sorted.
    pub running: Vec<AttemptId>,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Number of requests waiting for a place in the batch.
    pub queued: u64,
    /// Number of adapter slots.
    pub adapter_slots: u64,
    /// Maximum number of requests that run at once.
    pub max_batch: u64,
}

/// Head of an answer and its frames.
#[derive(Debug)]
pub struct EngineReply<S> {
    /// Status code, always a success.
    pub status: u16,
    /// Version of the engine's software, if stated. An answer goes on only at this version.
    pub software: Option<String>,
    /// Whether the stream can be resumed with [`EngineCall::resume`].
    pub resumable: bool,
    /// Frames of the answer; dropping the stream cancels the request.
    pub frames: S,
    /// Count of frames dropped because they belong to another attempt.
    pub dropped: DroppedFrames,
}

/// Frames of an answer. An error ends them, but for [`FrameError::Silent`] if the caller
/// waits on.
pub trait AnswerFrames:
    Stream<Item = std::result::Result<Frame, FrameError>> + Send + Unpin + 'static
{
    /// Waits for frames again after [`FrameError::Silent`].
    fn wait_on(&mut self);
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Frames of a reply.
    type Frames: AnswerFrames;

    /// Loads an adapter into a slot; returns when it is loaded. The order is written only if
    /// `allowed` still holds once a connection is at hand.
    ///
    /// # Errors
    /// The error states whether the order may have taken effect.
    fn load(
        &self,
        fence: u64,
        adapter: &AdapterRef,
        allowed: impl Fn() -> bool + Send + Sync,
    ) -> impl Future<Output = std::result::Result<(), OrderError>> + Send;

    /// Unloads an adapter from its slot; `allowed` as for [`Engine::load`].
    ///
    /// # Errors
    /// The error states whether the order may have taken effect.
    fn unload(
        &self,
        fence: u64,
        adapter: &AdapterRef,
        allowed: impl Fn() -> bool + Send + Sync,
    ) -> impl Future<Output = std::result::Result<(), OrderError>> + Send;

    /// Reads the engine's state.
    ///
    /// # Errors
    /// Fails if the engine does not answer or restarts meanwhile.
    fn state(&self) -> impl Future<Output = Result<EngineState>> + Send;

    /// Checks the engine's health on a new connection.
    ///
    /// # Errors
    /// Fails if the engine does not answer or is not healthy.
    fn probe(&self) -> impl Future<Output = Result<()>> + Send;

    /// Sends a request; returns when the head of the answer has arrived.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    fn start(
        &self,
        call: &EngineCall,
    ) -> impl Future<Output = std::result::Result<EngineReply<Self::Frames>, StartError>> + Send;

    /// Cancels a queued or running attempt; succeeds if the engine does not know it.
    ///
    /// # Errors
    /// Fails if the engine does not answer.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = Result<()>> + Send;
}

/// Limits of an [`HttpEngine`].
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Time limit for a load order, including the load itself.
    pub load_timeout: Duration,
    /// Time limit for other orders, state queries, probes and cancellations.
    pub order_timeout: Duration,
    /// Time limit from a streaming request to the head of its answer.
    pub head_timeout: Duration,
    /// Time without a frame after which a stream counts as silent.
    pub progress_timeout: Duration,
    /// Maximum frame size in bytes.
    pub max_frame: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            load_timeout: Duration::from_secs(20),
            order_timeout: Duration::from_secs(2),
            head_timeout: Duration::from_secs(20),
            progress_timeout: Duration::from_secs(5),
            max_frame: 4 << 20,
        }
    }
}

/// Client for a model engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    http: HttpClient,
    addr: SocketAddr,
    settings: EngineSettings,
}

impl HttpEngine {
    /// Creates a client for the engine at `addr`; engines may share one HTTP client.
    pub fn new(http: HttpClient, addr: SocketAddr, settings: EngineSettings) -> Self {
        Self { http, addr, settings }
    }

    /// Address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn send_order(
        &self,
        path: &str,
        fence: u64,
        body: serde_json::Value,
        time: Duration,
        allowed: impl Fn() -> bool,
    ) -> std::result::Result<(), OrderError> {
        let body = Bytes::from(body.to_string());
        let mut req = build_request(Method::POST, path, body).map_err(OrderError::Unsent)?;
        set_json(req.headers_mut());
        req.headers_mut().insert(X_FENCE, HeaderValue::from(fence));
        let deadline = Instant::now() + time;
        let response = self.http.fetch_if(self.addr, req, deadline, allowed).await?;
        match response.status {
            s if s.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(OrderError::Fenced),
            s if is_not_run(s, &response.body) => {
                Err(OrderError::Refused { status: s.as_u16(), reason: excerpt(&response.body) })
            }
            s => Err(OrderError::Unknown(format!("{s}: {}", excerpt(&response.body)))),
        }
    }

    async fn get(&self, path: &str) -> Result<FullResponse> {
        let source = self.addr.to_string();
        let req =
            build_request(Method::GET, path, Bytes::new()).map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.settings.order_timeout;
        let response =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        if !response.status.is_success() {
            return Err(Error::io(&source, format!("{path}: {}", response.status)));
        }
        Ok(response)
    }
}

#[derive(Deserialize)]
struct LoadResponse {
    incarnation: String,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    running: Vec<String>,
    #[serde(default)]
    queued: u64,
    #[serde(default)]
    slots: u64,
    #[serde(default)]
    batch: u64,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ListedModel>,
}

#[derive(Deserialize)]
struct ListedModel {
    id: String,
}

impl Engine for HttpEngine {
    type Frames = Frames;

    async fn load(
        &self,
        fence: u64,
        adapter: &AdapterRef,
        allowed: impl Fn() -> bool + Send + Sync,
    ) -> std::result::Result<(), OrderError> {
        let path = format!("{}/{}", adapter.adapter, adapter.version);
        let body = serde_json::json!({ "lora_name": adapter.to_string(), "lora_path": path });
        let time = self.settings.load_timeout;
        self.send_order("/v1/load_lora_adapter", fence, body, time, allowed).await
    }

    async fn unload(
        &self,
        fence: u64,
        adapter: &AdapterRef,
        allowed: impl Fn() -> bool + Send + Sync,
    ) -> std::result::Result<(), OrderError> {
        let body = serde_json::json!({ "lora_name": adapter.to_string() });
        let time = self.settings.order_timeout;
        self.send_order("/v1/unload_lora_adapter", fence, body, time, allowed).await
    }

    async fn state(&self) -> Result<EngineState> {
        let source = self.addr.to_string();
        let load = self.get("/load").await?;
        let view: LoadResponse =
            serde_json::from_slice(&load.body).map_err(|e| Error::io(&source, e))?;
        let models = self.get("/v1/models").await?;
        // The two answers describe one process only if it did not restart between them.
        let same = models.headers.get(X_INCARNATION).is_none_or(|v| v == view.incarnation.as_str());
        if !same {
            return Err(Error::io(&source, "engine restarted between two queries"));
        }
        let models: ModelList =
            serde_json::from_slice(&models.body).map_err(|e| Error::io(&source, e))?;
        let mut loaded: Vec<_> =
            models.data.iter().filter_map(|m| parse_adapter_ref(&m.id)).collect();
        loaded.sort();
        let mut running: Vec<_> =
            view.running.iter().filter_map(|id| AttemptId::parse(id)).collect();
        running.sort();
        Ok(EngineState {
            incarnation: view.incarnation,
            loaded,
            running,
            fence: view.fence,
            queued: view.queued,
            adapter_slots: view.slots,
            max_batch: view.batch,
        })
    }

    async fn probe(&self) -> Result<()> {
        let source = self.addr.to_string();
        let req = build_request(Method::GET, "/health", Bytes::new())
            .map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.settings.order_timeout;
        let response = self.http.send_fresh(self.addr, req, deadline).await;
        match response.map_err(|e| Error::io(&source, e))?.status {
            s if s.is_success() => Ok(()),
            s => Err(Error::io(&source, format!("/health: {s}"))),
        }
    }

    async fn start(
        &self,
        call: &EngineCall,
    ) -> std::result::Result<EngineReply<Frames>, StartError> {
        let mut req = build_request(Method::POST, &call.path, call.body.clone())
            .map_err(StartError::Unsent)?;
        set_json(req.headers_mut());
        set_attempt_headers(req.headers_mut(), call.attempt, call.fence);
        if let Some(offset) = call.resume_offset {
            req.headers_mut().insert(X_RESUME_OFFSET, HeaderValue::from(offset));
        }
        let accept = if call.stream { "text/event-stream" } else { "application/json" };
        req.headers_mut().insert(ACCEPT, HeaderValue::from_static(accept));
        // A non-streaming answer starts only after its last token.
        let first = match call.stream {
            true => call.deadline.min(Instant::now() + self.settings.head_timeout),
            false => call.deadline,
        };
        let allowed = || BootClock.now() < call.expiry;
        let mut response = self.http.send_if(self.addr, req, first, allowed).await?;
        check_attempt(&mut response, call.attempt)?;
        if !response.status.is_success() {
            let response =
                response.read_to_end(call.deadline).await.map_err(StartError::Unknown)?;
            return Err(match is_not_run(response.status, &response.body) {
                true => StartError::Refused {
                    status: response.status.as_u16(),
                    body: response.body.clone(),
                },
                false => {
                    StartError::Unknown(format!("{}: {}", response.status, excerpt(&response.body)))
                }
            });
        }
        let status = response.status.as_u16();
        let resumable = response.headers.get(X_RESUMABLE).is_some_and(|v| v == "1");
        let software = response.headers.get(X_SOFTWARE_VERSION);
        let software = software.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let dropped = DroppedFrames::default();
        let limits = FrameLimits {
            progress_timeout: call.stream.then_some(self.settings.progress_timeout),
            deadline: call.deadline,
            max_frame: self.settings.max_frame,
        };
        let frames = Frames::new(response, call.attempt, call.stream, limits, dropped.clone());
        Ok(EngineReply { status, software, resumable, frames, dropped })
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let source = self.addr.to_string();
        let body = Bytes::from(format!("{{\"request_id\":\"{attempt}\"}}"));
        let mut req = build_request(Method::POST, "/v1/cancel", body)
            .map_err(|e| Error::input(&source, e))?;
        set_json(req.headers_mut());
        let deadline = Instant::now() + self.settings.order_timeout;
        let response =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        match response.status {
            s if s.is_success() || s == StatusCode::NOT_FOUND => Ok(()),
            s => Err(Error::io(&source, format!("/v1/cancel: {s}"))),
        }
    }
}

/// Checks that a response names no other attempt, and closes its connection afterwards if it
/// names none: a connection is reused only if a copy of its last answer could be recognised.
///
/// # Errors
/// The response belongs to another attempt.
pub(crate) fn check_attempt(
    response: &mut IncomingResponse,
    attempt: AttemptId,
) -> std::result::Result<(), StartError> {
    match response.headers.get(X_REQUEST_ID) {
        Some(id) if *id == *attempt.to_string() => Ok(()),
        Some(id) => Err(StartError::Unknown(format!("answer to another attempt: {id:?}"))),
        None => {
            response.discard_connection();
            Ok(())
        }
    }
}

pub(crate) fn set_attempt_headers(headers: &mut HeaderMap, attempt: AttemptId, fence: u64) {
    if let Ok(id) = HeaderValue::from_str(&attempt.to_string()) {
        headers.insert(X_REQUEST_ID, id);
    }
    headers.insert(X_FENCE, HeaderValue::from(fence));
}

fn set_json(headers: &mut HeaderMap) {
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
}

/// Parses `ADAPTER@VERSION`; returns `None` for a base model.
pub fn parse_adapter_ref(model: &str) -> Option<AdapterRef> {
    let (adapter, version) = model.rsplit_once('@')?;
    (!adapter.is_empty() && !version.is_empty()).then(|| AdapterRef::new(adapter, version))
}

/// Whether an engine's answer means that the request did not run.
///
/// Engines validate a request before they run it, so a 4xx status means "not run",
/// except for a timeout (408) or a cancellation (499). With any other status, the body
/// must state it.
fn is_not_run(status: StatusCode, body: &[u8]) -> bool {
    (status.is_client_error() && !matches!(status.as_u16(), 408 | 499)) || says_not_run(body)
}

/// Whether an error body, in the format of this API's errors, states `"ran": "no"`.
pub(crate) fn says_not_run(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Shape {
        error: Inner,
    }
    #[derive(Deserialize)]
    struct Inner {
        ran: String,
    }
    serde_json::from_slice::<Shape>(body).is_ok_and(|s| s.error.ran == "no")
}

fn excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned()
}

/// Returns the caller's body with the model and priority set for the engine.
///
/// A lower `priority` runs earlier. A streaming body also asks for token counts.
///
/// ```
/// use sycamorefork::engine_client::engine_body;
///
/// let body = engine_body(br#"{"model":"a","prompt":"p","stream":true}"#, "a@2", 1)?;
/// let json: serde_json::Value = serde_json::from_slice(&body).unwrap();
/// assert_eq!(json["model"], "a@2");
/// assert_eq!(json["stream_options"]["include_usage"], true);
/// # Ok::<_, sycamorefork::Error>(())
/// ```
///
/// # Errors
/// Fails with an input error if `body` is not a JSON object.
pub fn engine_body(body: &[u8], model: &str, priority: i64) -> Result<Bytes> {
    let mut map: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(|e| Error::input("body", e))?;
    map.insert("model".to_owned(), model.into());
    map.insert("priority".to_owned(), priority.into());
    if map.get("stream").and_then(serde_json::Value::as_bool) == Some(true) {
        let options = map.entry("stream_options").or_insert_with(|| serde_json::json!({}));
        match options.as_object_mut() {
            Some(options) => drop(options.insert("include_usage".to_owned(), true.into())),
            None => *options = serde_json::json!({ "include_usage": true }),
        }
    }
    serde_json::to_vec(&map).map(Bytes::from).map_err(|e| Error::input("body", e))
}
