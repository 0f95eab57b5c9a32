//! Object store over the path-style S3 REST API.
//!
//! Objects are immutable: `PUT` carries `If-None-Match: *`. Lists use
//! `ListObjectsV2`. Requests are not signed in this version; the store must be
//! reachable only from the nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use serde::Deserialize;
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::http_client::{FullResponse, HttpClient, build_request, percent_encode};
use crate::storage::Objects;

const SERVICE: &str = "objects";

/// Object store at an address.
#[derive(Clone)]
pub struct S3Objects {
    http: HttpClient,
    addr: SocketAddr,
    bucket: String,
    time: Duration,
}

impl S3Objects {
    /// The bucket `bucket` of the store at `addr`; `time` bounds each request.
    pub fn new(http: HttpClient, addr: SocketAddr, bucket: &str, time: Duration) -> Self {
        Self { http, addr, bucket: bucket.to_owned(), time }
    }

    async fn ask(
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
        let deadline = Instant::now() + self.time;
        self.http.fetch(self.addr, req, deadline).await.map_err(|e| Error::io(SERVICE, e))
    }

    fn path(&self, name: &str) -> String {
        format!("/{}/{}", percent_encode(&self.bucket, ""), percent_encode(name, "/"))
    }
}

/// The code in an error body, empty if there is none.
fn code(whole: &FullResponse) -> String {
    #[derive(Deserialize)]
    struct Body {
        #[serde(rename = "Code")]
        code: String,
    }
    let text = std::str::from_utf8(&whole.body).unwrap_or_default();
    quick_xml::de::from_str::<Body>(text).map_or(String::new(), |b| b.code)
}

/// The error that a refusal means.
fn refusal(whole: &FullResponse) -> Error {
    let code = code(whole);
    let reason = format!("status {} {code}", whole.status.as_u16());
    match (whole.status, code.as_str()) {
        // The store states that the request has no effect.
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
    async fn put_new(&self, name: &str, body: Bytes) -> Result<bool> {
        let whole = self.ask(Method::PUT, &self.path(name), body, true).await?;
        match whole.status {
            s if s.is_success() => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            _ => Err(refusal(&whole)),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        let whole = self.ask(Method::GET, &self.path(name), Bytes::new(), false).await?;
        match whole.status {
            s if s.is_success() => Ok(Some(whole.body)),
            StatusCode::NOT_FOUND if code(&whole) != "NoSuchBucket" => Ok(None),
            _ => Err(refusal(&whole)),
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
        loop {
            let whole = self.ask(Method::GET, &path, Bytes::new(), false).await?;
            if !whole.status.is_success() {
                return Err(refusal(&whole));
            }
            let text = std::str::from_utf8(&whole.body).map_err(|e| Error::io(SERVICE, e))?;
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
