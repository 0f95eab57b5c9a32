//! Calls of the engine and service clients, for tests.

#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{Value, json};
use sycamorefork::engine_client::EngineCall;
use sycamorefork::http_client::{HttpClient, HttpSettings};
use sycamorefork::ids::AttemptId;
use sycamorefork::service_client::ServiceCall;
use sycamorefork::time::Ms;
use tokio::time::Instant;

/// Expiry of a request that may be sent at any time.
pub const NEVER: Ms = Ms(u64::MAX);

pub fn http_client() -> HttpClient {
    HttpClient::new(HttpSettings::default())
}

pub fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

pub fn body(model: &str, stream: bool, tokens: u64) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": "two words" }],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": { "include_usage": true },
    })
}

pub fn call(attempt: u128, body: &Value) -> EngineCall {
    EngineCall {
        attempt: AttemptId(attempt),
        fence: 7,
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        stream: body["stream"] == true,
        deadline: test_deadline(),
        expiry: NEVER,
        resume_offset: None,
    }
}

pub fn service_call(attempt: u128) -> ServiceCall {
    ServiceCall {
        attempt: AttemptId(attempt),
        fence: 1,
        method: Method::POST,
        path: "/book".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: test_deadline(),
        expiry: NEVER,
    }
}
