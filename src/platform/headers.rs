//! Decodes and rewrites the headers of requests and answers.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::time::Ms;

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Longest time for which an endpoint can ask a node to send nothing. A restart ends it sooner.
const MAX_RETRY_AFTER: Ms = Ms::secs(24 * 60 * 60);

/// Scheme of the `Authorization` header that precedes a caller's key.
const KEY_SCHEME: &str = "Token ";

/// Headers of a request to an endpoint that only this node may set; they are removed from
/// callers' requests.
const SYSTEM_HEADERS: [HeaderName; 9] = [
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    PRIORITY,
    TENANT,
    HeaderName::from_static("x-hold"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Hop-by-hop headers, which must not be passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A part of a prompt that several requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// Identifier of the caller's attempt.
    pub attempt: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Ms>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Model, or `MODEL/ADAPTER`.
    pub model: Option<String>,
    /// Prompt tokens; 0 if not stated.
    pub prompt_tokens: u32,
    /// Largest number of tokens in the answer; 0 if not stated.
    pub max_output: u32,
    /// Whether the request states both token counts.
    pub has_size: bool,
    /// Shared parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The caller's estimate of the answer's length in tokens.
    pub length_hint: Option<u32>,
    /// `Host` header; empty if absent.
    pub host: String,
    /// Event after which a stream is resumed.
    pub last_event: Option<String>,
    /// Attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<String>,
}

fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// Decodes the headers of a caller's request. Invalid values count as absent.
pub fn parse_request(map: &HeaderMap) -> RequestHeaders {
    let size = header_text(map, &TOKEN_COUNT).and_then(|t| t.split_once(','));
    let size = size.and_then(|(i, o)| Some((i.trim().parse().ok()?, o.trim().parse().ok()?)));
    let key = header_text(map, &header::AUTHORIZATION).and_then(|t| t.strip_prefix(KEY_SCHEME));
    let prefix = header_text(map, &PROMPT_PREFIX).unwrap_or_default();
    RequestHeaders {
        attempt: header_text(map, &ATTEMPT).map(str::to_owned),
        deadline: header_text(map, &DEADLINE)
            .and_then(|t| t.trim().parse::<f64>().ok())
            .map(|n| Ms(n as u64)),
        key: key.map(|k| k.trim().to_owned()),
        model: header_text(map, &MODEL).map(str::to_owned),
        prompt_tokens: size.map_or(0, |s: (u32, u32)| s.0),
        max_output: size.map_or(0, |s| s.1),
        has_size: size.is_some(),
        prompt_parts: prefix.split(',').filter_map(parse_part).collect(),
        length_hint: header_text(map, &LENGTH_HINT).and_then(|t| t.trim().parse().ok()),
        host: header_text(map, &header::HOST).unwrap_or_default().to_owned(),
        last_event: header_text(map, &LAST_EVENT).map(str::to_owned),
        resumes: header_text(map, &RESUMES).map(str::to_owned),
    }
}

fn strip_hop_by_hop(map: &mut HeaderMap) {
    let entries_read: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in entries_read.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
}

/// Values of the headers that this node adds to a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// Endpoint instance that must answer.
    pub instance: &'a str,
    /// Time until the caller's deadline.
    pub time_left: Ms,
    /// Team of the caller's key.
    pub team: Option<&'a str>,
    /// Priority in the endpoint's batch, from 0 (first) to 9.
    pub rank: Option<u32>,
    /// Version of the adapter that must serve the request.
    pub version: Option<u64>,
    /// Event after which a stream is resumed.
    pub last_event: Option<&'a str>,
}

fn set_header(map: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(name, value);
        }
        Err(e) => log::warn!("header {name} is omitted because of its value: {e}"),
    }
}

/// Rewrites a caller's headers into those of a request to an endpoint.
pub fn forward(map: &mut HeaderMap, sent: &AddedHeaders<'_>) {
    strip_hop_by_hop(map);
    for name in &SYSTEM_HEADERS {
        map.remove(name);
    }
    map.remove(header::AUTHORIZATION);
    map.remove(header::CONTENT_LENGTH);
    map.remove(header::EXPECT);
    set_header(map, EXPECT_INSTANCE, sent.instance);
    map.insert(DEADLINE, HeaderValue::from(sent.time_left.0));
    if let Some(team) = sent.team {
        set_header(map, TENANT, team);
    }
    if let Some(rank) = sent.rank {
        map.insert(PRIORITY, HeaderValue::from(rank.min(9)));
    }
    if let Some(version) = sent.version {
        map.insert(EXPECT_VERSION, HeaderValue::from(version));
    }
    if let Some(event) = sent.last_event {
        set_header(map, LAST_EVENT, event);
    }
}

/// Sets the instance that must answer a request.
pub fn set_expected_instance(map: &mut HeaderMap, id: &str) {
    set_header(map, EXPECT_INSTANCE, id);
}

/// Decoded headers of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHeaders {
    /// Attempt that the answer belongs to.
    pub attempt: Option<String>,
    /// Whether the answer carries the endpoint's seal.
    pub sealed: bool,
    /// Whether the answer states that the request did not run.
    pub not_run: bool,
    /// Whether the body has a content encoding. Endpoints use none, so the answer is not the
    /// endpoint's own.
    pub encoded: bool,
    /// Instance that answered, if named.
    pub instance: Option<String>,
    /// Whether the connection closes after this answer.
    pub closes: bool,
    /// Time for which the endpoint keeps an idle connection, if stated.
    pub idle_timeout: Option<Ms>,
    /// Requests per second that the endpoint accepts from all nodes together, if stated.
    pub rate_limit: Option<f64>,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Time for which an endpoint that refuses a request wants nothing from this node.
    pub retry_after: Option<Ms>,
}

impl ResponseHeaders {
    /// Whether the answer can speak for the endpoint `id`: no other instance at its address sent
    /// it.
    pub fn is_from(&self, id: &str) -> bool {
        self.instance.as_deref().is_none_or(|i| i == id)
    }
}

/// Decodes the status and headers of an endpoint's answer.
pub fn parse_response(status: StatusCode, map: &HeaderMap) -> ResponseHeaders {
    let closes =
        header_text(map, &header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let idle = header_text(map, &KEEP_ALIVE).and_then(|v| {
        let seconds = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok().map(Ms::secs)
    });
    let refuses = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let limit = header_text(map, &RATE_LIMIT).and_then(|v| v.trim().parse::<f64>().ok());
    ResponseHeaders {
        attempt: header_text(map, &ATTEMPT).map(str::to_owned),
        sealed: map.contains_key(&SEAL),
        not_run: map.contains_key(&NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST,
        encoded: map.contains_key(header::CONTENT_ENCODING),
        instance: header_text(map, &INSTANCE).map(str::to_owned),
        closes,
        idle_timeout: idle,
        rate_limit: limit.filter(|l| l.is_finite() && *l >= 0.0),
        leaving: header_text(map, &LEAVING).is_some_and(|v| v.trim() == "1"),
        retry_after: header_text(map, &header::RETRY_AFTER)
            .filter(|_| refuses)
            .and_then(|v| v.trim().parse::<f64>().ok())
            .filter(|s| s.is_finite() && *s >= 0.0)
            .map(|s| Ms((s * 1_000.0) as u64).min(MAX_RETRY_AFTER)),
    }
}

/// Removes the headers that concern only the connection to the endpoint.
pub fn strip_connection_headers(map: &mut HeaderMap) {
    strip_hop_by_hop(map);
    map.remove(INSTANCE);
}

/// Sets the attempt's id on an answer of this node, if the request had one.
pub fn set_attempt_id(map: &mut HeaderMap, attempt: &str) {
    if !attempt.is_empty() {
        set_header(map, ATTEMPT, attempt);
    }
}

/// Sets `Retry-After`, in seconds with two decimals.
pub fn set_retry_after(map: &mut HeaderMap, after: Ms) {
    let text = format!("{:.2}", after.0 as f64 / 1000.0);
    set_header(map, header::RETRY_AFTER, &text);
}
