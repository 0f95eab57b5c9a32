//! Types shared by requests of all kinds: the caller, the answer and its timing.
//!
//! `completion` and `service_call` process the two kinds of requests; `permit` holds
//! the tokens and permits that both use.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use crate::config::RouteSpec;
use crate::denial::{Denial, Reason};
use crate::ids::{KeyId, Team};
use crate::time::Ms;

/// Sender of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// Team of the key; `None` for a call without a key on an open route.
    pub(crate) team: Option<Team>,
    /// Id of the key.
    pub(crate) key: Option<KeyId>,
}

/// Answer to a caller.
pub(crate) enum Answer {
    /// A complete answer.
    Whole {
        /// Status code.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// The stored answer of an earlier call with the same idempotency key.
    Replayed {
        /// Status code.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Events {
        /// Model or adapter version that ran.
        model: String,
        /// Encoded events.
        events: mpsc::Receiver<Bytes>,
    },
}

/// Returns the team whose rate limit a call to the route uses.
///
/// # Errors
/// Refuses a call without a key on a route that is not open.
pub(crate) fn route_team(route: &RouteSpec, caller: &Caller) -> Result<Team, Denial> {
    let open = route.team.as_ref().filter(|_| route.open);
    caller
        .team
        .as_ref()
        .or(open)
        .cloned()
        .ok_or_else(|| Denial::new(Reason::MissingKey, "`Authorization: Bearer KEY` is required"))
}

/// Wraps an endpoint's JSON response unchanged.
pub(crate) fn json_answer(status: StatusCode, body: Bytes) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Answer::Whole { status, headers, body }
}

/// Timing of one answer, measured against its service level.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTiming {
    /// Time of the request's arrival.
    pub(crate) begun: Ms,
    /// Time of the first token; `None` for an answer without tokens.
    pub(crate) first_token: Option<Ms>,
    /// Time of the answer's end.
    pub(crate) end: Ms,
    /// Number of tokens.
    pub(crate) tokens: u64,
    /// Whether the caller got the complete answer.
    pub(crate) completed: bool,
}
