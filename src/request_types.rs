//! What requests of all kinds have in common: the caller and the answer.
//!
//! `completion` and `service_call` hold the two kinds of requests, `permit` what both
//! take and give back.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use crate::config::RouteSpec;
use crate::denial::{Denial, Reason};
use crate::ids::{KeyId, Team};
use crate::time::Ms;

/// Who sent a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// Team of the key; none on an open route.
    pub(crate) team: Option<Team>,
    /// The key's identifier.
    pub(crate) key: Option<KeyId>,
}

/// What a caller gets.
pub(crate) enum Answer {
    /// A complete answer.
    Whole {
        /// Status of the answer.
        status: StatusCode,
        /// Headers that pass to the caller.
        headers: HeaderMap,
        /// Body of the answer.
        body: Bytes,
    },
    /// The stored answer of an earlier call with the same idempotency key.
    Replayed {
        /// Status of the answer.
        status: StatusCode,
        /// Headers that pass to the caller.
        headers: HeaderMap,
        /// Body of the answer.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Events {
        /// Model that ran.
        model: String,
        /// The events.
        events: mpsc::Receiver<Bytes>,
    },
}

/// The team whose rate a call of the route uses.
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

/// An endpoint's own JSON answer.
pub(crate) fn passed(status: StatusCode, body: Bytes) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Answer::Whole { status, headers, body }
}

/// Times of one answer, for its service level.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTiming {
    /// Arrival of the request.
    pub(crate) begun: Ms,
    /// First token, if the answer is a stream of tokens.
    pub(crate) first_token: Option<Ms>,
    /// End of the answer.
    pub(crate) end: Ms,
    /// Tokens of the answer.
    pub(crate) tokens: u64,
    /// Whether the caller got the whole answer.
    pub(crate) completed: bool,
}
