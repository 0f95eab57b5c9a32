//! HTTP client for a node's admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::{Error, Result};
use crate::keys::Secret;

/// Time limit for a request to the admin listener.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Sends a request with the operators' credential and returns the JSON response.
///
/// # Errors
/// An I/O error if the node does not respond or the response is unreadable; a platform error
/// if the node rejects the request.
pub async fn call(
    admin: SocketAddr,
    method: Method,
    path: &str,
    credential: &Secret,
) -> Result<Value> {
    let uri = format!("http://{admin}{path}");
    let mut bearer = header::HeaderValue::try_from(format!("Bearer {}", credential.expose()))
        .map_err(|_| {
            Error::input("credential", "contains characters that are not allowed in a header")
        })?;
    bearer.set_sensitive(true);
    let request = Request::builder()
        .method(method)
        .uri(&uri)
        .header(header::AUTHORIZATION, bearer)
        .body(Full::<Bytes>::default())
        .map_err(|e| Error::input(&uri, e))?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.map_err(|e| Error::io(&uri, e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok((status, body.map_err(|e| Error::io(&uri, e))?.to_bytes()))
    };
    let (status, body) = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .map_err(|_| Error::io(&uri, "no response within 10 s"))??;
    match status {
        s if s.is_success() => serde_json::from_slice(&body).map_err(|e| Error::io(&uri, e)),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            Err(Error::platform(&uri, "the node does not accept the credential"))
        }
        s => Err(Error::platform(&uri, format_args!("the node responded with status {s}"))),
    }
}
