//! Reasons for which a request is refused, and the error returned to the caller.
//!
//! Each reason has an HTTP status, an error type and a code. Whether the request
//! ran is independent of the reason; it follows from the state of its attempts.

use http::StatusCode;

use crate::time::Ms;

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The body is not valid JSON or lacks a required member.
    BadBody,
    /// A header is malformed.
    BadHeader,
    /// The headers exceed the size limit.
    HeadersTooLarge,
    /// The path or the body contains the caller's key, which must not reach an endpoint.
    KeyInRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The request has no key.
    MissingKey,
    /// The key is not in the configuration.
    UnknownKey,
    /// The key was withdrawn.
    WithdrawnKey,
    /// The adapter or route belongs to another team.
    OtherTeam,
    /// The configuration has no such model or adapter.
    UnknownModel,
    /// The configuration has no such version of the adapter.
    UnknownVersion,
    /// The configuration has no such route.
    UnknownRoute,
    /// The path or method does not exist.
    NotFound,
    /// The team has used up its rate and burst, which are shared by all nodes.
    RateExceeded,
    /// The request needs more tokens than the team's burst.
    OverBurst,
    /// No endpoint that serves the model is available.
    NoEndpoint,
    /// The request would exceed its deadline in the queue.
    Deadline,
    /// The endpoint's queue is full.
    Overloaded,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The node has no authority: it can reach neither the table service nor a peer.
    NoAuthority,
    /// The node is shutting down.
    Draining,
    /// The node has no configuration yet.
    NotReady,
    /// Earlier requests with the same fingerprint crashed endpoints.
    Quarantined,
    /// The idempotency key was used with a different body.
    KeyConflict,
    /// A call with this idempotency key is running.
    KeyInUse,
    /// It is unknown whether the first call with this idempotency key ran.
    OutcomeUnknown,
    /// The claim could not be stored in time.
    ClaimTimeout,
    /// The memory for callers is in use.
    CallerMemory,
    /// The endpoint failed while the request may have been running.
    EndpointFailed,
    /// The endpoint refused the request.
    EndpointRefused,
    /// The answer came from the wrong adapter and was not forwarded.
    WrongAdapter,
    /// The caller disconnected.
    Cancelled,
}

/// All reasons.
pub const REASONS: &[Reason] = &[
    Reason::BadBody,
    Reason::BadHeader,
    Reason::HeadersTooLarge,
    Reason::KeyInRequest,
    Reason::BodyTooLarge,
    Reason::SlowBody,
    Reason::MissingKey,
    Reason::UnknownKey,
    Reason::WithdrawnKey,
    Reason::OtherTeam,
    Reason::UnknownModel,
    Reason::UnknownVersion,
    Reason::UnknownRoute,
    Reason::NotFound,
    Reason::RateExceeded,
    Reason::OverBurst,
    Reason::NoEndpoint,
    Reason::Deadline,
    Reason::Overloaded,
    Reason::LoadFailed,
    Reason::NoAuthority,
    Reason::Draining,
    Reason::NotReady,
    Reason::Quarantined,
    Reason::KeyConflict,
    Reason::KeyInUse,
    Reason::OutcomeUnknown,
    Reason::ClaimTimeout,
    Reason::CallerMemory,
    Reason::EndpointFailed,
    Reason::EndpointRefused,
    Reason::WrongAdapter,
    Reason::Cancelled,
];

impl Reason {
    /// Stable code, used in `error.code` and in refusal records.
    pub fn code(self) -> &'static str {
        self.status_and_code().1
    }

    /// HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        StatusCode::from_u16(self.status_and_code().0).expect("all statuses are valid")
    }

    /// Error type of the OpenAI-compatible API.
    pub fn error_type(self) -> &'static str {
        match self.status_and_code().0 {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }

    /// Returns the reason with this code.
    pub fn parse(code: &str) -> Option<Self> {
        REASONS.iter().copied().find(|r| r.code() == code)
    }

    fn status_and_code(self) -> (u16, &'static str) {
        match self {
            Self::BadBody => (400, "bad_body"),
            Self::BadHeader => (400, "bad_header"),
            Self::HeadersTooLarge => (431, "headers_too_large"),
            Self::KeyInRequest => (400, "key_in_request"),
            Self::BodyTooLarge => (413, "body_too_large"),
            Self::SlowBody => (408, "slow_body"),
            Self::MissingKey => (401, "missing_key"),
            Self::UnknownKey => (401, "unknown_key"),
            Self::WithdrawnKey => (401, "withdrawn_key"),
            Self::OtherTeam => (403, "other_team"),
            Self::UnknownModel => (404, "unknown_model"),
            Self::UnknownVersion => (404, "unknown_version"),
            Self::UnknownRoute => (404, "unknown_route"),
            Self::NotFound => (404, "not_found"),
            Self::RateExceeded => (429, "rate_exceeded"),
            Self::OverBurst => (400, "over_burst"),
            Self::NoEndpoint => (503, "no_endpoint"),
            Self::Deadline => (503, "deadline"),
            Self::Overloaded => (503, "overloaded"),
            Self::LoadFailed => (503, "load_failed"),
            Self::NoAuthority => (503, "no_authority"),
            Self::Draining => (503, "draining"),
            Self::NotReady => (503, "not_ready"),
            Self::Quarantined => (422, "quarantined"),
            Self::KeyConflict => (409, "key_conflict"),
            Self::KeyInUse => (409, "key_in_use"),
            Self::OutcomeUnknown => (409, "outcome_unknown"),
            Self::ClaimTimeout => (503, "claim_timeout"),
            Self::CallerMemory => (503, "caller_memory"),
            Self::EndpointFailed => (502, "endpoint_failed"),
            Self::EndpointRefused => (502, "endpoint_refused"),
            Self::WrongAdapter => (502, "wrong_adapter"),
            Self::Cancelled => (499, "cancelled"),
        }
    }
}

/// A refusal as an error of request processing, before it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Message for the caller.
    pub message: String,
    /// Whether the request may have run on an endpoint.
    pub maybe_ran: bool,
    /// Time after which a retry can succeed.
    pub retry_after: Option<Ms>,
    /// Inputs of the decision by name, for the refusal record.
    pub facts: Vec<(&'static str, String)>,
}

impl Denial {
    /// Creates a refusal of a request that did not run.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            maybe_ran: false,
            retry_after: None,
            facts: Vec::new(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { maybe_ran: true, ..Self::new(reason, message) }
    }

    /// Sets the time after which a retry can succeed.
    pub fn retry_after(mut self, after: Ms) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Adds an input of the decision for the refusal record.
    pub fn fact(mut self, name: &'static str, value: impl ToString) -> Self {
        self.facts.push((name, value.to_string()));
        self
    }
}
