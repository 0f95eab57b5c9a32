//! Object store client for the S3 REST API with path-style addressing.
//!
//! Objects are immutable: `PUT` is sent with `If-None-Match: *`. Listing uses
//! `ListObjectsV2`. Requests are not signed in this version, so the store must be
//! reachable only from the nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use serde::Deserialize;
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::http_client::{FullResponse, HttpClient, build_request, percent_encode};
use crate::storage::{Objects, PageSizes};

/// Name of this service in errors.
const SERVICE: &str = "objects";

/// Bucket of an S3-compatible object store.
#[derive(Clone)]
pub struct S3Objects {
    http: HttpClient,
    addr: SocketAddr,
    bucket: String,
    timeout: Duration,
}

impl S3Objects {
    /// Creates a client for `bucket` of the store at `addr`; `timeout` limits each request.
    pub fn new(http: HttpClient, addr: SocketAddr, bucket: &str, timeout: Duration) -> Self {
        Self { http, addr, bucket: bucket.to_owned(), timeout }
    }

    /// Sends one request; `create` makes it conditional on the object's absence.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        create: bool,
    ) -> Result<FullResponse> {
        let mut req = build_request(method, path, body).map_err(|e| Error::input(SERVICE, e))?;
        if create {
            req.headers_mut().insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
        }
        let deadline = Instant::now() + self.timeout;
        self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(SERVICE, e))
    }

    /// URL path of an object.
    fn path(&self, name: &str) -> String {
        format!("/{}/{}", percent_encode(&self.bucket, ""), percent_encode(name, "/"))
    }
}

/// Error code in an XML error body; empty if there is none.
fn error_code(response: &FullResponse) -> String {
    #[derive(Deserialize)]
    struct Body {
        #[serde(rename = "Code")]
        code: String,
    }
    let text = std::str::from_utf8(&response.body).unwrap_or_default();
    quick_xml::de::from_str::<Body>(text).map_or(String::new(), |b| b.code)
}

/// Converts an unsuccessful response to an error.
fn response_error(response: &FullResponse) -> Error {
    let code = error_code(response);
    let reason = format!("status {} {code}", response.status.as_u16());
    match (response.status, code.as_str()) {
        // With these responses the store states that the request had no effect.
        (StatusCode::SERVICE_UNAVAILABLE, "SlowDown") | (StatusCode::CONFLICT, _) => {
            Error::platform(SERVICE, reason)
        }
        (s, _) if s.is_client_error() => Error::input(SERVICE, reason),
        _ => Error::io(SERVICE, reason),
    }
}

#[derive(Deserialize)]
struct Listing {
    #[serde(default, rename = "IsTruncated")]
    truncated: bool,
    #[serde(default, rename = "NextContinuationToken")]
    next: Option<String>,
    #[serde(default, rename = "Contents")]
    contents: Vec<Content>,
}

#[derive(Deserialize)]
struct Content {
    #[serde(rename = "Key")]
    key: String,
}

impl Objects for S3Objects {
    fn close_idle(&self) {
        self.http.close_idle(self.addr);
    }

    async fn put_new(&self, name: &str, body: Bytes) -> Result<bool> {
        let response = self.send(Method::PUT, &self.path(name), body, true).await?;
        match response.status {
            s if s.is_success() => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            _ => Err(response_error(&response)),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        let response = self.send(Method::GET, &self.path(name), Bytes::new(), false).await?;
        match response.status {
            s if s.is_success() => Ok(Some(response.body)),
            StatusCode::NOT_FOUND if error_code(&response) != "NoSuchBucket" => Ok(None),
            _ => Err(response_error(&response)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let first = format!(
            "/{}?list-type=2&prefix={}",
            percent_encode(&self.bucket, ""),
            percent_encode(prefix, "")
        );
        let mut names = Vec::new();
        let mut path = first.clone();
        let mut sizes = PageSizes::default();
        loop {
            let response = self.send(Method::GET, &path, Bytes::new(), false).await?;
            if !response.status.is_success() {
                return Err(response_error(&response));
            }
            sizes.add(SERVICE, response.body.len())?;
            let text = std::str::from_utf8(&response.body).map_err(|e| Error::io(SERVICE, e))?;
            let listing: Listing =
                quick_xml::de::from_str(text).map_err(|e| Error::io(SERVICE, e))?;
            names.extend(listing.contents.into_iter().map(|c| c.key));
            match (listing.truncated, listing.next) {
                (false, _) => break,
                (true, Some(token)) => {
                    path = format!("{first}&continuation-token={}", percent_encode(&token, ""));
                }
                (true, None) => {
                    return Err(Error::io(SERVICE, "truncated list without continuation token"));
                }
            }
        }
        names.sort_unstable();
        Ok(names)
    }
}
