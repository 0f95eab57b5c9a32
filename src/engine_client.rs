//! Orders and requests to a model engine over its OpenAI-compatible HTTP API.
//!
//! Every request carries the attempt's id as `x-request-id` and the owner's
//! fence as `x-fence`, and never a header of the caller. The engine puts the
//! request id into the id of its answer, so that an answer that belongs to
//! another attempt is recognised and dropped.
//!
//! Paths beyond the usual API: `GET /load` (see [`EngineState`]) and
//! `POST /v1/cancel` with `{"request_id"}`. A refusal that states
//! `error.ran = "no"` counts as "not run" with any status.

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
use crate::frames::{Frames, Limits};
use crate::http_client::{FullResponse, HttpClient, SendError, build_request};
use crate::ids::{AdapterRef, AttemptId};

pub use crate::frames::{Broken, Dropped, Frame, Usage};

/// Header with the attempt id, 32 hexadecimal digits.
pub const X_REQUEST_ID: &str = "x-request-id";

/// Header with the fence of the endpoint's owner.
pub const X_FENCE: &str = "x-fence";

/// Header of a request: tokens of the attempt that were received already.
pub const X_RESUME_OFFSET: &str = "x-resume-offset";

/// Header of an answer: `1` if its stream can be resumed.
pub const X_RESUMABLE: &str = "x-resumable";

/// Header of an answer: incarnation of the engine process.
pub const X_INCARNATION: &str = "x-incarnation";

/// One request to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Fence of the permit.
    pub fence: u64,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// JSON body as the engine gets it; see [`engine_body`].
    pub body: Bytes,
    /// Whether the body asks for a stream.
    pub stream: bool,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// Continues the stream of this attempt after so many tokens.
    pub resume: Option<u64>,
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// No connection, or nothing was written to it.
    Unsent(String),
    /// The endpoint itself said that it did not run the request.
    Refused {
        /// Status of the refusal.
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

/// Why an order has no effect, or an unknown one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// Nothing was written.
    Unsent(String),
    /// The endpoint knows a higher fence.
    Fenced,
    /// The endpoint refused; the order has no effect.
    Refused {
        /// Status of the refusal.
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
            Self::Fenced => f.write_str("the endpoint knows a higher fence"),
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

/// What an engine says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Changes with each start of the engine process.
    pub incarnation: String,
    /// Adapters in slots, in order.
    pub loaded: Vec<AdapterRef>,
    /// Attempts that are queued or running, in order.
    pub running: Vec<AttemptId>,
    /// Highest fence seen.
    pub fence: u64,
    /// Requests that wait for a place in the batch.
    pub queued: u64,
    /// Adapter slots.
    pub adapter_slots: u64,
    /// Most requests that run at once.
    pub max_batch: u64,
}

/// Head of an answer and its frames.
#[derive(Debug)]
pub struct Reply<S> {
    /// Status of the answer, always a success.
    pub status: u16,
    /// Whether the stream can be resumed with [`Call::resume`].
    pub resumable: bool,
    /// Frames of the answer; dropping them cancels the request.
    pub frames: S,
    /// Frames that were dropped because they belong to another attempt.
    pub dropped: Dropped,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Frames of a reply.
    type Frames: Stream<Item = std::result::Result<Frame, Broken>> + Send + Unpin + 'static;

    /// Loads an adapter into a slot; returns when it is loaded.
    ///
    /// # Errors
    /// Says whether the order may have taken effect.
    fn load(
        &self,
        fence: u64,
        adapter: &AdapterRef,
    ) -> impl Future<Output = std::result::Result<(), OrderError>> + Send;

    /// Frees the slot of an adapter.
    ///
    /// # Errors
    /// Says whether the order may have taken effect.
    fn unload(
        &self,
        fence: u64,
        adapter: &AdapterRef,
    ) -> impl Future<Output = std::result::Result<(), OrderError>> + Send;

    /// Reads the engine's state.
    ///
    /// # Errors
    /// Fails when the engine does not answer, or restarts meanwhile.
    fn state(&self) -> impl Future<Output = Result<EngineState>> + Send;

    /// Asks for the engine's health on a new connection.
    ///
    /// # Errors
    /// Fails when the engine does not answer or is not healthy.
    fn probe(&self) -> impl Future<Output = Result<()>> + Send;

    /// Starts a request; returns with the head of the answer.
    ///
    /// # Errors
    /// Says whether the request may have been received.
    fn start(
        &self,
        call: &Call,
    ) -> impl Future<Output = std::result::Result<Reply<Self::Frames>, StartError>> + Send;

    /// Cancels an attempt wherever it runs; succeeds if it is not known.
    ///
    /// # Errors
    /// Fails when the engine does not answer.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = Result<()>> + Send;
}

/// Bounds of an [`HttpEngine`].
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Time for a load order, which includes the load itself.
    pub load_timeout: Duration,
    /// Time for other orders and for state queries.
    pub order_timeout: Duration,
    /// Time from a streaming request to the head of its answer.
    pub head_timeout: Duration,
    /// Longest time between two pieces of a stream.
    pub progress_timeout: Duration,
    /// Largest frame in bytes.
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

/// A model engine behind HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    http: HttpClient,
    addr: SocketAddr,
    settings: EngineSettings,
}

impl HttpEngine {
    /// An engine at an address; engines may share one client.
    pub fn new(http: HttpClient, addr: SocketAddr, settings: EngineSettings) -> Self {
        Self { http, addr, settings }
    }

    /// Address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn order(
        &self,
        path: &str,
        fence: u64,
        body: serde_json::Value,
        time: Duration,
    ) -> std::result::Result<(), OrderError> {
        let body = Bytes::from(body.to_string());
        let mut req = build_request(Method::POST, path, body).map_err(OrderError::Unsent)?;
        set_json(req.headers_mut());
        req.headers_mut().insert(X_FENCE, HeaderValue::from(fence));
        let whole = self.http.fetch(self.addr, req, Instant::now() + time).await?;
        match whole.status {
            s if s.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(OrderError::Fenced),
            s if not_run(s, &whole.body) => {
                Err(OrderError::Refused { status: s.as_u16(), reason: head(&whole.body) })
            }
            s => Err(OrderError::Unknown(format!("{s}: {}", head(&whole.body)))),
        }
    }

    async fn query(&self, path: &str) -> Result<FullResponse> {
        let source = self.addr.to_string();
        let req =
            build_request(Method::GET, path, Bytes::new()).map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.settings.order_timeout;
        let whole =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        if !whole.status.is_success() {
            return Err(Error::io(&source, format!("{path}: {}", whole.status)));
        }
        Ok(whole)
    }
}

#[derive(Deserialize)]
struct LoadView {
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
struct Models {
    data: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    id: String,
}

impl Engine for HttpEngine {
    type Frames = Frames;

    async fn load(&self, fence: u64, adapter: &AdapterRef) -> std::result::Result<(), OrderError> {
        let path = format!("{}/{}", adapter.adapter, adapter.version);
        let body = serde_json::json!({ "lora_name": adapter.to_string(), "lora_path": path });
        self.order("/v1/load_lora_adapter", fence, body, self.settings.load_timeout).await
    }

    async fn unload(
        &self,
        fence: u64,
        adapter: &AdapterRef,
    ) -> std::result::Result<(), OrderError> {
        let body = serde_json::json!({ "lora_name": adapter.to_string() });
        self.order("/v1/unload_lora_adapter", fence, body, self.settings.order_timeout).await
    }

    async fn state(&self) -> Result<EngineState> {
        let source = self.addr.to_string();
        let load = self.query("/load").await?;
        let view: LoadView =
            serde_json::from_slice(&load.body).map_err(|e| Error::io(&source, e))?;
        let models = self.query("/v1/models").await?;
        // The two answers describe one engine only if it did not restart between them.
        let same = models.headers.get(X_INCARNATION).is_none_or(|v| v == view.incarnation.as_str());
        if !same {
            return Err(Error::io(&source, "engine restarted between two queries"));
        }
        let models: Models =
            serde_json::from_slice(&models.body).map_err(|e| Error::io(&source, e))?;
        let mut loaded: Vec<_> = models.data.iter().filter_map(|m| parse_ref(&m.id)).collect();
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
        let answer = self.http.send_fresh(self.addr, req, deadline).await;
        match answer.map_err(|e| Error::io(&source, e))?.status {
            s if s.is_success() => Ok(()),
            s => Err(Error::io(&source, format!("/health: {s}"))),
        }
    }

    async fn start(&self, call: &Call) -> std::result::Result<Reply<Frames>, StartError> {
        let mut req = build_request(Method::POST, &call.path, call.body.clone())
            .map_err(StartError::Unsent)?;
        set_json(req.headers_mut());
        set_attempt(req.headers_mut(), call.attempt, call.fence);
        if let Some(offset) = call.resume {
            req.headers_mut().insert(X_RESUME_OFFSET, HeaderValue::from(offset));
        }
        let accept = if call.stream { "text/event-stream" } else { "application/json" };
        req.headers_mut().insert(ACCEPT, HeaderValue::from_static(accept));
        // A non-streaming answer starts only when all tokens are there.
        let first = match call.stream {
            true => call.deadline.min(Instant::now() + self.settings.head_timeout),
            false => call.deadline,
        };
        let answer = self.http.send(self.addr, req, first).await?;
        if !answer.status.is_success() {
            let whole = answer.read_to_end(call.deadline).await.map_err(StartError::Unknown)?;
            return Err(match not_run(whole.status, &whole.body) {
                true => {
                    StartError::Refused { status: whole.status.as_u16(), body: whole.body.clone() }
                }
                false => StartError::Unknown(format!("{}: {}", whole.status, head(&whole.body))),
            });
        }
        let status = answer.status.as_u16();
        let resumable = answer.headers.get(X_RESUMABLE).is_some_and(|v| v == "1");
        let dropped = Dropped::default();
        let limits = Limits {
            progress: call.stream.then_some(self.settings.progress_timeout),
            deadline: call.deadline,
            frame: self.settings.max_frame,
        };
        let frames = Frames::new(answer, call.attempt, call.stream, limits, dropped.clone());
        Ok(Reply { status, resumable, frames, dropped })
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let source = self.addr.to_string();
        let body = Bytes::from(format!("{{\"request_id\":\"{attempt}\"}}"));
        let mut req = build_request(Method::POST, "/v1/cancel", body)
            .map_err(|e| Error::input(&source, e))?;
        set_json(req.headers_mut());
        let deadline = Instant::now() + self.settings.order_timeout;
        let whole =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        match whole.status {
            s if s.is_success() || s == StatusCode::NOT_FOUND => Ok(()),
            s => Err(Error::io(&source, format!("/v1/cancel: {s}"))),
        }
    }
}

pub(crate) fn set_attempt(headers: &mut HeaderMap, attempt: AttemptId, fence: u64) {
    if let Ok(id) = HeaderValue::from_str(&attempt.to_string()) {
        headers.insert(X_REQUEST_ID, id);
    }
    headers.insert(X_FENCE, HeaderValue::from(fence));
}

fn set_json(headers: &mut HeaderMap) {
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
}

/// Splits `ADAPTER@VERSION`; `None` for a base model.
pub fn parse_ref(model: &str) -> Option<AdapterRef> {
    let (adapter, version) = model.rsplit_once('@')?;
    (!adapter.is_empty() && !version.is_empty()).then(|| AdapterRef::new(adapter, version))
}

/// Whether an engine's answer states that the request did not run.
///
/// Engines check a request before they run it, so their 4xx answers mean "not
/// run", except for a request that timed out (408) or was cancelled (499). An
/// answer of 5xx says so only explicitly.
fn not_run(status: StatusCode, body: &[u8]) -> bool {
    (status.is_client_error() && !matches!(status.as_u16(), 408 | 499)) || says_not_run(body)
}

/// Whether an error body in the usual shape carries `"ran": "no"`.
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

fn head(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned()
}

/// Body for an engine: the caller's body with model, priority and usage set.
///
/// A lower `priority` runs earlier. A streaming body asks for token counts.
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
/// Fails with an input error when `body` is not a JSON object.
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
