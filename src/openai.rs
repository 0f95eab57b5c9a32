//! Request and error bodies of the OpenAI-compatible API.
//!
//! Only the members needed for scheduling are interpreted. All others are passed to the
//! engine unchanged, so that clients can use engine-specific options.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map as Object, Value};

/// Output tokens allowed and reserved if the request sets no maximum.
pub(crate) const DEFAULT_MAX_TOKENS: u64 = 512;
/// Assumed prompt bytes per token; a low value, so that reservations are rarely too small.
const BYTES_PER_TOKEN: u64 = 3;

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
    body: Object<String, Value>,
}

impl CompletionRequest {
    /// Parses a body; the input is `messages` if `chat`, else `prompt`.
    ///
    /// # Errors
    /// Returns a message for the caller if a member is missing or malformed.
    pub(crate) fn parse(bytes: &[u8], chat: bool) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(bytes)
            .map_err(|e| format!("the body is not valid JSON: {e}"))?;
        let Value::Object(body) = value else {
            return Err("the body must be a JSON object".to_owned());
        };
        let model = match body.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err("`model` must be a non-empty string".to_owned()),
        };
        let stream = parse_flag(body.get("stream"), "stream")?;
        let options = body.get("stream_options").and_then(|o| o.get("include_usage"));
        let include_usage = parse_flag(options, "stream_options.include_usage")?;
        let input = if chat { "messages" } else { "prompt" };
        let prompt = match body.get(input) {
            Some(value @ Value::Array(items)) if !items.is_empty() => value.to_string().len(),
            Some(Value::String(text)) if !chat => text.len(),
            _ => return Err(format!("`{input}` is missing or has the wrong type")),
        };
        let output = match body.get("max_completion_tokens").or_else(|| body.get("max_tokens")) {
            None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
            Some(n) => n
                .as_u64()
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
        let mut body = self.body.clone();
        body.insert("model".to_owned(), model.into());
        body.insert("priority".to_owned(), priority.into());
        if self.stream {
            body.insert("stream_options".to_owned(), serde_json::json!({"include_usage": true}));
        }
        if !body.contains_key("max_tokens") && !body.contains_key("max_completion_tokens") {
            body.insert("max_tokens".to_owned(), DEFAULT_MAX_TOKENS.into());
        }
        Bytes::from(serde_json::to_vec(&body).expect("a JSON value serialises"))
    }
}

fn parse_flag(value: Option<&Value>, name: &str) -> Result<bool, String> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(format!("`{name}` must be true or false")),
    }
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
