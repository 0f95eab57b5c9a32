//! HTTP client of a node's admin listener.

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

/// Time for one request to the admin listener.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted answer, in bytes.
const ANSWER_BYTES: usize = 32 << 20;

/// Sends one request with the operators' credential and reads the JSON answer.
///
/// # Errors
/// An I/O error if the node does not answer; a platform error if it refuses.
pub async fn call(
    admin: SocketAddr,
    method: Method,
    path: &str,
    credential: &Secret,
) -> Result<Value> {
    let uri = format!("http://{admin}{path}");
    let mut bearer = header::HeaderValue::try_from(format!("Bearer {}", credential.expose()))
        .map_err(|_| Error::input("credential", "contains characters that no header can hold"))?;
    bearer.set_sensitive(true);
    let request = Request::builder()
        .method(method)
        .uri(&uri)
        .header(header::AUTHORIZATION, bearer)
        .body(Full::<Bytes>::default())
        .map_err(|e| Error::input(&uri, e))?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.map_err(|e| Error::io(&uri, e))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_BYTES).collect().await;
        Ok((status, body.map_err(|e| Error::io(&uri, e))?.to_bytes()))
    };
    let (status, body) = tokio::time::timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| Error::io(&uri, "no answer within 10 s"))??;
    match status {
        s if s.is_success() => serde_json::from_slice(&body).map_err(|e| Error::io(&uri, e)),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            Err(Error::platform(&uri, "the node does not accept the credential"))
        }
        s => Err(Error::platform(&uri, format_args!("the node answered {s}"))),
    }
}
