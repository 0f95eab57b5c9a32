//! Client for plain services, which receive callers' requests unchanged.
//!
//! A service that returns the attempt id as `x-request-id` gets further calls on the same
//! connection; one that does not gets each call on a new connection, because a late copy of
//! an answer could not be told from the answer to the next call.
//!
//! Only listed headers are forwarded, so that a caller's key cannot reach the service
//! in an unexpected header. The service receives the attempt id as `x-request-id`. An
//! answer with any status is final unless it is an error whose body states
//! `error.ran = "no"`, in the format of this API's errors.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use serde::Deserialize;
use tokio::time::Instant;

use crate::engine_client::{StartError, check_attempt, says_not_run, set_attempt_headers};
use crate::error::{Error, Result};
use crate::http_client::{HttpClient, build_request};
use crate::ids::AttemptId;
use crate::time::{BootClock, Clock, Ms};

/// Request headers that are forwarded to services.
const FORWARDED_HEADERS: [&str; 9] = [
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

/// Response headers that are not returned: hop-by-hop ones and those the gateway sets.
const STRIPPED_HEADERS: [&str; 12] = [
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

/// A request to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Fencing token of the permit.
    pub fence: u64,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query at the service, in origin form.
    pub path: String,
    /// Headers of the caller's request; see [`forwardable_headers`].
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Time by which the complete answer must have arrived.
    pub deadline: Instant,
    /// Time of [`BootClock`] from which the request must not be written any more.
    pub expiry: Ms,
}

/// Response of a service.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Status code.
    pub status: u16,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Answer to an earlier attempt that the service has stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Content type of the body.
    pub content: String,
    /// Complete body.
    pub body: Bytes,
}

/// A plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a request and returns the response.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    fn call(
        &self,
        call: &ServiceCall,
    ) -> impl Future<Output = std::result::Result<ServiceReply, StartError>> + Send;

    /// Queries the outcome of an attempt: `GET path/ATTEMPT`.
    ///
    /// `None` means that the service does not know the attempt yet: a request in
    /// transit can still arrive.
    ///
    /// # Errors
    /// Fails with a state error while the attempt runs, and with another error if the
    /// service does not answer.
    fn status(
        &self,
        path: &str,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<Option<StoredAnswer>>> + Send;

    /// Checks the service's health on a new connection.
    ///
    /// # Errors
    /// Fails if the service does not answer or is not healthy.
    fn probe(&self) -> impl Future<Output = Result<()>> + Send;
}

/// Client for a plain service over HTTP.
#[derive(Clone)]
pub struct HttpService {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpService {
    /// Creates a client for the service at `addr`; `timeout` limits each status query and probe.
    pub fn new(http: HttpClient, addr: SocketAddr, timeout: Duration) -> Self {
        Self { http, addr, timeout }
    }

    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Whether a path, header value or body contains the caller's key.
pub fn contains_key(bytes: &[u8], key: &str) -> bool {
    !key.is_empty() && bytes.windows(key.len()).any(|w| w == key.as_bytes())
}

/// Returns the headers that may be forwarded, without any whose value contains `key`.
///
/// `Authorization`, `Cookie` and the caller's `Idempotency-Key` are never forwarded.
///
/// ```
/// use http::{HeaderMap, HeaderValue};
/// use sycamorefork::service_client::forwardable_headers;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("authorization", HeaderValue::from_static("Bearer sk-1"));
/// headers.insert("accept", HeaderValue::from_static("text/html"));
/// let sent = forwardable_headers(&headers, Some("sk-1"));
/// assert_eq!(sent.keys().collect::<Vec<_>>(), ["accept"]);
/// ```
pub fn forwardable_headers(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        for value in headers.get_all(name) {
            if !key.is_some_and(|key| contains_key(value.as_bytes(), key)) {
                out.append(HeaderName::from_static(name), value.clone());
            }
        }
    }
    out
}

/// Removes hop-by-hop headers and the headers listed in `Connection`.
fn strip_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    for name in STRIPPED_HEADERS.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

#[derive(Deserialize)]
struct StoredAnswerView {
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
        *req.headers_mut() = forwardable_headers(&call.headers, None);
        set_attempt_headers(req.headers_mut(), call.attempt, call.fence);
        let allowed = || BootClock.now() < call.expiry;
        let mut response = self.http.send_if(self.addr, req, call.deadline, allowed).await?;
        check_attempt(&mut response, call.attempt)?;
        let response = response.read_to_end(call.deadline).await.map_err(StartError::Unknown)?;
        let status = response.status.as_u16();
        if !response.status.is_success() && says_not_run(&response.body) {
            return Err(StartError::Refused { status, body: response.body });
        }
        let mut headers = response.headers;
        strip_headers(&mut headers);
        Ok(ServiceReply { status, headers, body: response.body })
    }

    async fn status(&self, path: &str, attempt: AttemptId) -> Result<Option<StoredAnswer>> {
        let source = self.addr.to_string();
        let path = format!("{}/{attempt}", path.trim_end_matches('/'));
        let req = build_request(Method::GET, &path, Bytes::new())
            .map_err(|e| Error::input(&source, e))?;
        let deadline = Instant::now() + self.timeout;
        let response =
            self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(&source, e))?;
        match response.status {
            StatusCode::NOT_FOUND => return Ok(None),
            s if !s.is_success() => return Err(Error::io(&source, format!("{path}: {s}"))),
            _ => {}
        }
        let stored: StoredAnswerView =
            serde_json::from_slice(&response.body).map_err(|e| Error::io(&source, e))?;
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
        let deadline = Instant::now() + self.timeout;
        let response = self.http.send_fresh(self.addr, req, deadline).await;
        match response.map_err(|e| Error::io(&source, e))?.status {
            s if s.is_success() => Ok(()),
            s => Err(Error::io(&source, format!("/health: {s}"))),
        }
    }
}
