//! Request and error bodies of the OpenAI-compatible API.
//!
//! Only the members needed for scheduling are interpreted. All others are passed to the
//! engine unchanged, so that clients can use engine-specific options.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};

/// Output tokens allowed and reserved if the request sets no maximum.
pub(crate) const DEFAULT_MAX_TOKENS: u64 = 512;
/// Assumed prompt bytes per token; a low value, so that reservations are rarely too small.
const BYTES_PER_TOKEN: u64 = 3;

/// Most members of a request's body.
const MAX_MEMBERS: usize = 256;

/// Members of a body, in the order of their names. Their values keep the caller's text: small
/// numbers or lists would take many times their size as values of their own.
type Members = BTreeMap<String, Box<RawValue>>;

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// Model name as sent by the caller.
    pub(crate) model: String,
    /// Whether the caller wants a stream.
    pub(crate) stream: bool,
    /// Whether the caller wants token counts in the stream.
    pub(crate) include_usage: bool,
    /// Tokens to reserve: estimated prompt plus maximum output.
    pub(crate) tokens: u64,
    body: Members,
}

impl CompletionRequest {
    /// Parses a body; the input is `messages` if `chat`, else `prompt`.
    ///
    /// # Errors
    /// Returns a message for the caller if a member is missing or malformed.
    pub(crate) fn parse(bytes: &[u8], chat: bool) -> Result<Self, String> {
        let body: Members = serde_json::from_slice(bytes).map_err(|e| match e.classify() {
            serde_json::error::Category::Data => "the body must be a JSON object".to_owned(),
            _ => format!("the body is not valid JSON: {e}"),
        })?;
        if body.len() > MAX_MEMBERS {
            return Err(format!("the body has more than {MAX_MEMBERS} members"));
        }
        let model = match read_member::<String>(&body, "model") {
            Some(Ok(model)) if !model.is_empty() => model,
            _ => return Err("`model` must be a non-empty string".to_owned()),
        };
        let stream = parse_flag(read_member(&body, "stream"), "stream")?;
        let options = read_member::<StreamOptions>(&body, "stream_options");
        let usage = options.and_then(Result::ok).and_then(|o| o.include_usage);
        let usage = usage.map(|raw| serde_json::from_str(raw.get()));
        let include_usage = parse_flag(usage, "stream_options.include_usage")?;
        let input = if chat { "messages" } else { "prompt" };
        let prompt = body.get(input).map_or("", |v| v.get());
        let prompt = match prompt.as_bytes() {
            [b'[', ..] if has_elements(prompt) => compact_len(prompt),
            [b'"', ..] if !chat => text_len(prompt)?,
            _ => return Err(format!("`{input}` is missing or has the wrong type")),
        };
        let max = ["max_completion_tokens", "max_tokens"];
        let output = match max.iter().find_map(|name| read_member::<Option<u64>>(&body, name)) {
            None | Some(Ok(None)) => DEFAULT_MAX_TOKENS,
            Some(n) => n
                .ok()
                .flatten()
                .filter(|n| *n > 0 && *n <= u64::from(u32::MAX))
                .ok_or("`max_tokens` must be a positive integer")?,
        };
        let tokens = (prompt as u64).div_ceil(BYTES_PER_TOKEN) + output;
        Ok(Self { model, stream, include_usage, tokens, body })
    }

    /// Returns the body for the engine, with model, priority and output maximum set.
    ///
    /// A streaming body always asks for token counts.
    pub(crate) fn engine_body(&self, model: &str, priority: u8) -> Bytes {
        let raw = |v: &Value| to_raw_value(v).expect("a JSON value serialises");
        let model = raw(&model.into());
        let mut set = vec![("model", model), ("priority", raw(&priority.into()))];
        if self.stream {
            set.push(("stream_options", raw(&serde_json::json!({"include_usage": true}))));
        }
        let has = |name| self.body.contains_key(name);
        if !has("max_tokens") && !has("max_completion_tokens") {
            set.push(("max_tokens", raw(&DEFAULT_MAX_TOKENS.into())));
        }
        let mut members: BTreeMap<&str, &RawValue> =
            self.body.iter().map(|(name, value)| (name.as_str(), &**value)).collect();
        members.extend(set.iter().map(|(name, value)| (*name, &**value)));
        Bytes::from(serde_json::to_vec(&members).expect("a JSON value serialises"))
    }
}

/// Options of a stream that the gateway reads.
#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<Box<RawValue>>,
}

/// Reads a member; `None` if the body lacks it.
fn read_member<'a, T: Deserialize<'a>>(
    body: &'a Members,
    name: &str,
) -> Option<serde_json::Result<T>> {
    body.get(name).map(|value| serde_json::from_str(value.get()))
}

/// Whether a JSON array has an element.
fn has_elements(array: &str) -> bool {
    !array[1..].trim_ascii_start().starts_with(']')
}

/// Length of a JSON value without the white space between its tokens.
fn compact_len(json: &str) -> usize {
    let (mut len, mut in_text, mut escaped) = (0, false, false);
    for b in json.bytes() {
        if in_text || !b.is_ascii_whitespace() {
            len += 1;
        }
        match b {
            b'"' if !escaped => in_text = !in_text,
            b'\\' if in_text && !escaped => {
                escaped = true;
                continue;
            }
            _ => {}
        }
        escaped = false;
    }
    len
}

/// Length of the text of a JSON string.
fn text_len(json: &str) -> Result<usize, String> {
    let text: Cow<'_, str> = serde_json::from_str(json).map_err(|e| e.to_string())?;
    Ok(text.len())
}

fn parse_flag(value: Option<serde_json::Result<Option<bool>>>, name: &str) -> Result<bool, String> {
    value
        .unwrap_or(Ok(None))
        .map(Option::unwrap_or_default)
        .map_err(|_| format!("`{name}` must be true or false"))
}

/// Members of a stream chunk that the gateway reads.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkView {
    /// Choices; empty in a chunk that only carries usage.
    #[serde(default)]
    pub(crate) choices: Vec<serde::de::IgnoredAny>,
}

/// One entry of `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(crate) struct ModelEntry {
    /// Model name to use in requests.
    pub(crate) id: String,
    /// Always `model`.
    pub(crate) object: &'static str,
    /// Unix time in seconds; always 0, since the configuration has no creation dates.
    pub(crate) created: u64,
    /// Owning team, or `open`.
    pub(crate) owned_by: String,
}

/// Body of a refusal.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    /// Details of the refusal.
    pub(crate) error: ErrorView<'a>,
}

/// Details of a refusal in the format that API clients expect.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorView<'a> {
    /// Error type.
    #[serde(rename = "type")]
    pub(crate) error_type: &'a str,
    /// Stable error code.
    pub(crate) code: &'a str,
    /// Human-readable message.
    pub(crate) message: &'a str,
    /// Id of the record that `sycamorefork refusals` shows.
    pub(crate) refusal_id: &'a str,
    /// Whether the request ran: `no` or `unknown`.
    pub(crate) ran: &'a str,
    /// Machine-readable reason; same as `code`.
    pub(crate) reason: &'a str,
}
