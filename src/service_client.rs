//! Calls to a plain service, passed through.
//!
//! Only headers of a list are forwarded, so a caller's key cannot reach the
//! service in a header nobody thought of. The service gets the attempt id as
//! `x-request-id`. Any answer of the service is the call's answer, whatever its
//! status, unless its body states `error.ran = "no"` in the usual error shape.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use serde::Deserialize;
use tokio::time::Instant;

use crate::engine_client::{StartError, says_not_run, set_attempt};
use crate::error::{Error, Result};
use crate::http_client::{HttpClient, build_request};
use crate::ids::AttemptId;

/// Request headers that are forwarded.
const FORWARDED: [&str; 9] = [
    "accept",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "if-match",
    "if-none-match",
    "traceparent",
    "tracestate",
];

/// Answer headers that are not returned: hop by hop, or set by the gateway.
const STRIPPED: [&str; 12] = [
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "set-cookie",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Fence of the permit.
    pub fence: u64,
    /// Method of the caller.
    pub method: Method,
    /// Path and query below the service's root, in origin form.
    pub path: String,
    /// Headers of the caller; see [`forwarded`].
    pub headers: HeaderMap,
    /// Body of the caller.
    pub body: Bytes,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

/// Answer of a service.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Status of the answer.
    pub status: u16,
    /// Headers of the answer without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Answer to an earlier attempt, as the service keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content: String,
    /// Whole body.
    pub body: Bytes,
}

/// A plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Passes a call through.
    ///
    /// # Errors
    /// Says whether the call may have been received.
    fn call(
        &self,
        call: &ServiceCall,
    ) -> impl Future<Output = std::result::Result<ServiceReply, StartError>> + Send;

    /// Asks what became of an attempt: `GET path/ATTEMPT`.
    ///
    /// `None` means that the service does not know the attempt at this moment. A
    /// call that is still on its way can arrive later.
    ///
    /// # Errors
    /// Fails with a state error while the attempt runs, and with another one when
    /// the service does not answer.
    fn status(
        &self,
        path: &str,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<Option<StoredAnswer>>> + Send;

    /// Asks for the service's health on a new connection.
    ///
    /// # Errors
    /// Fails when the service does not answer or is not healthy.
    fn probe(&self) -> impl Future<Output = Result<()>> + Send;
}

/// A plain service behind HTTP.
#[derive(Clone)]
pub struct HttpService {
    http: HttpClient,
    addr: SocketAddr,
    time: Duration,
}

impl HttpService {
    /// A service at an address; `time` bounds status queries and probes.
    pub fn new(http: HttpClient, addr: SocketAddr, time: Duration) -> Self {
        Self { http, addr, time }
    }

    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Whether a path, header or body contains the caller's key.
pub fn holds_key(bytes: &[u8], key: &str) -> bool {
    !key.is_empty() && bytes.windows(key.len()).any(|w| w == key.as_bytes())
}

/// The headers that may be forwarded, without any whose value contains the key.
///
/// `Authorization`, `Cookie` and the caller's `Idempotency-Key` are never among them.
///
/// ```
/// use http::{HeaderMap, HeaderValue};
/// use sycamorefork::service_client::forwarded;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("authorization", HeaderValue::from_static("Bearer sk-1"));
/// headers.insert("accept", HeaderValue::from_static("text/html"));
/// let sent = forwarded(&headers, Some("sk-1"));
/// assert_eq!(sent.keys().collect::<Vec<_>>(), ["accept"]);
/// ```
pub fn forwarded(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in FORWARDED {
        for value in headers.get_all(name) {
            if !key.is_some_and(|key| holds_key(value.as_bytes(), key)) {
                out.append(HeaderName::from_static(name), value.clone());
            }
        }
    }
    out
}

/// Removes hop-by-hop headers and those that `Connection` names.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    for name in STRIPPED.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

#[derive(Deserialize)]
struct Stored {
    state: String,
    #[serde(default)]
    status: u16,
    #[serde(default)]
    content_type: String,
    #[serde(default)]
    body: String,
}

impl Service for HttpService {
    async fn call(&self, call: &ServiceCall) -> std::result::Result<ServiceReply, StartError> {
        let limit = self.http.settings().max_body;
        if call.body.len() > limit {
            return Err(StartError::Unsent(format!("body over {limit} bytes")));
        }
        let mut req = build_request(call.method.clone(), &call.path, call.body.clone())
            .map_err(StartError::Unsent)?;
        *req.headers_mut() = forwarded(&call.headers, None);
        set_attempt(req.headers_mut(), call.attempt, call.fence);
        let whole = self.http.fetch(self.addr, req, call.deadline).await?;
        let status = whole.status.as_u16();
        if !whole.status.is_success() && says_not_run(&whole.body) {
            return Err(StartError::Refused { status, body: whole.body });
        }
        let mut headers = whole.headers;
        strip(&mut headers);
        Ok(ServiceReply { status, headers, body: whole.body })
    }

    async fn status(&self, path: &str, attempt: AttemptId) -> Result<Option<StoredAnswer>> {
        let source = self.addr.to_string();
        let path = format!("{}/{attempt}", path.trim_end_matches('/'));
        let req = build_request(Method::GET, &path, Bytes::new())
            .map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.time;
        let whole =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        match whole.status {
            StatusCode::NOT_FOUND => return Ok(None),
            s if !s.is_success() => return Err(Error::io(&source, format!("{path}: {s}"))),
            _ => {}
        }
        let stored: Stored =
            serde_json::from_slice(&whole.body).map_err(|e| Error::io(&source, e))?;
        if stored.state != "ended" {
            return Err(Error::state(&source, format!("attempt {attempt} is {}", stored.state)));
        }
        let body = STANDARD.decode(&stored.body).map_err(|e| Error::io(&source, e))?;
        Ok(Some(StoredAnswer {
            status: stored.status,
            content: stored.content_type,
            body: Bytes::from(body),
        }))
    }

    async fn probe(&self) -> Result<()> {
        let source = self.addr.to_string();
        let req = build_request(Method::GET, "/health", Bytes::new())
            .map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.time;
        let answer = self.http.send_fresh(self.addr, req, deadline).await;
        match answer.map_err(|e| Error::io(&source, e))?.status {
            s if s.is_success() => Ok(()),
            s => Err(Error::io(&source, format!("/health: {s}"))),
        }
    }
}
