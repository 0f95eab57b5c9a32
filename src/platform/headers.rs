//! Headers of requests and answers, decoded into what they hold.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::time::Ms;

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const HINT: HeaderName = HeaderName::from_static("x-length-hint");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Token ";

/// Headers that only the system may set on a request to an endpoint.
const OWN: [HeaderName; 9] = [
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

/// Headers that concern one connection only.
const HOP: [HeaderName; 7] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A part of a prompt that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a caller's request says in its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// Identifier of the caller's attempt.
    pub attempt: Option<String>,
    /// Time that the caller waits.
    pub deadline: Option<Ms>,
    /// The caller's key.
    pub key: Option<String>,
    /// Model, with an adapter of it after a slash.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output: u32,
    /// Whether the request states its size in tokens.
    pub has_size: bool,
    /// Shared parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: Option<u32>,
    /// Host of the request.
    pub host: String,
    /// Event after which a stream goes on.
    pub last_event: Option<String>,
}

fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

fn part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// Decodes a caller's request.
pub fn parse_request(map: &HeaderMap) -> RequestHeaders {
    let size = text(map, &TOKENS).and_then(|t| t.split_once(','));
    let size = size.and_then(|(i, o)| Some((i.trim().parse().ok()?, o.trim().parse().ok()?)));
    let key = text(map, &header::AUTHORIZATION).and_then(|t| t.strip_prefix(SCHEME));
    let prefix = text(map, &PREFIX).unwrap_or_default();
    RequestHeaders {
        attempt: text(map, &ATTEMPT).map(str::to_owned),
        deadline: text(map, &DEADLINE)
            .and_then(|t| t.trim().parse::<f64>().ok())
            .map(|n| Ms(n as u64)),
        key: key.map(|k| k.trim().to_owned()),
        model: text(map, &MODEL).map(str::to_owned),
        prompt_tokens: size.map_or(0, |s: (u32, u32)| s.0),
        max_output: size.map_or(0, |s| s.1),
        has_size: size.is_some(),
        prompt_parts: prefix.split(',').filter_map(part).collect(),
        length_hint: text(map, &HINT).and_then(|t| t.trim().parse().ok()),
        host: text(map, &header::HOST).unwrap_or_default().to_owned(),
        last_event: text(map, &LAST_EVENT).map(str::to_owned),
    }
}

fn strip_hop(map: &mut HeaderMap) {
    let listed: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP) {
        map.remove(name);
    }
}

/// What the system adds to a request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// Instance that must answer.
    pub instance: &'a str,
    /// Time left to the caller.
    pub time_left: Ms,
    /// Team of the key.
    pub team: Option<&'a str>,
    /// Rank in the endpoint's batch, from 0 (first) to 9.
    pub rank: Option<u32>,
    /// Version of the adapter that must serve it.
    pub version: Option<u64>,
    /// Event after which a stream goes on.
    pub last_event: Option<&'a str>,
}

fn set(map: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(name, value);
        }
        Err(e) => log::warn!("header {name} is left out: {e}"),
    }
}

/// Turns a caller's headers into those of a request for an endpoint.
pub fn forward(map: &mut HeaderMap, sent: &AddedHeaders<'_>) {
    strip_hop(map);
    for name in &OWN {
        map.remove(name);
    }
    map.remove(header::AUTHORIZATION);
    map.remove(header::CONTENT_LENGTH);
    map.remove(header::EXPECT);
    set(map, EXPECT_INSTANCE, sent.instance);
    map.insert(DEADLINE, HeaderValue::from(sent.time_left.0));
    if let Some(team) = sent.team {
        set(map, TENANT, team);
    }
    if let Some(rank) = sent.rank {
        map.insert(PRIORITY, HeaderValue::from(rank.min(9)));
    }
    if let Some(version) = sent.version {
        map.insert(EXPECT_VERSION, HeaderValue::from(version));
    }
    if let Some(event) = sent.last_event {
        set(map, LAST_EVENT, event);
    }
}

/// Names the instance that must answer.
pub fn expect_instance(map: &mut HeaderMap, id: &str) {
    set(map, EXPECT_INSTANCE, id);
}

/// What an endpoint's answer says in its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHeaders {
    /// The attempt that it belongs to.
    pub attempt: Option<String>,
    /// The endpoint signed it.
    pub sealed: bool,
    /// The endpoint did not run the request.
    pub not_run: bool,
    /// The body is encoded and so not the endpoint's own.
    pub encoded: bool,
    /// Instance that answered, if the answer names it.
    pub instance: Option<String>,
    /// The connection ends with this answer.
    pub closes: bool,
    /// Time that the endpoint keeps an idle connection.
    pub idle_timeout: Option<Ms>,
}

/// Decodes an endpoint's answer.
pub fn parse_response(status: StatusCode, map: &HeaderMap) -> ResponseHeaders {
    let closes = text(map, &header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let idle = text(map, &KEEP_ALIVE).and_then(|v| {
        let seconds = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok().map(Ms::secs)
    });
    ResponseHeaders {
        attempt: text(map, &ATTEMPT).map(str::to_owned),
        sealed: map.contains_key(&SEAL),
        not_run: map.contains_key(&NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST,
        encoded: map.contains_key(header::CONTENT_ENCODING),
        instance: text(map, &INSTANCE).map(str::to_owned),
        closes,
        idle_timeout: idle,
    }
}

/// Removes what concerns only the connection to the endpoint.
pub fn answer(map: &mut HeaderMap) {
    strip_hop(map);
    map.remove(INSTANCE);
}

/// Sets the headers of an answer that the system itself gives.
pub fn own(map: &mut HeaderMap, attempt: &str) {
    if !attempt.is_empty() {
        set(map, ATTEMPT, attempt);
    }
}

/// Sets the time after which a caller should come back, in seconds with fractions.
pub fn retry_after(map: &mut HeaderMap, after: Ms) {
    let text = format!("{:.2}", after.0 as f64 / 1000.0);
    set(map, header::RETRY_AFTER, &text);
}
