//! Invariants that are checked at run time.
//!
//! Each function checks one invariant and returns a violation with the state that
//! violates it. The caller does not perform the action concerned and reports the
//! violation, which is logged and counted by the metric `faults`.

use std::fmt;

use crate::attempt::{AttemptEvent, AttemptState};
use crate::ids::{AdapterRef, AttemptId, Endpoint, Node, Team};

/// Violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "a violation must be reported and prevent the action concerned"]
pub struct Violation {
    /// Name of the invariant.
    pub rule: &'static str,
    /// The state that violates it.
    pub state: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.state)
    }
}

/// Result of checking an invariant.
pub type InvariantResult = Result<(), Violation>;

fn check(holds: bool, rule: &'static str, state: impl FnOnce() -> String) -> InvariantResult {
    if holds { Ok(()) } else { Err(Violation { rule, state: state() }) }
}

/// Checks that a granted attempt pins the adapter and version that its request needs.
///
/// # Errors
/// Returns the violation.
pub fn check_adapter_pin(
    attempt: AttemptId,
    asked: Option<&AdapterRef>,
    pinned: Option<&AdapterRef>,
) -> InvariantResult {
    check(asked == pinned, "adapter at grant", || {
        format!("attempt {attempt} asked for {asked:?} and pins {pinned:?}")
    })
}

/// Checks that a granted attempt is charged to the team of its request.
///
/// # Errors
/// Returns the violation.
pub fn check_charged_team(
    attempt: AttemptId,
    asked: &Team,
    granted: Option<&Team>,
) -> InvariantResult {
    check(Some(asked) == granted, "team at grant", || {
        format!("attempt {attempt} of team {asked} is charged to {granted:?}")
    })
}

/// Checks that an answer comes from the model that the request named.
///
/// # Errors
/// Returns the violation.
pub fn check_answer_model(attempt: AttemptId, asked: &str, answered: &str) -> InvariantResult {
    check(asked == answered, "adapter at answer", || {
        format!("attempt {attempt} for {asked} was answered by {answered}")
    })
}

/// Checks that a permit is for the endpoint that it was requested for.
///
/// # Errors
/// Returns the violation.
pub fn check_permit_endpoint(
    attempt: AttemptId,
    asked: &Endpoint,
    granted: &str,
) -> InvariantResult {
    check(asked.as_str() == granted, "endpoint of permit", || {
        format!("attempt {attempt} asked for {asked} and got a permit for {granted}")
    })
}

/// Checks that an adapter to be evicted has no pins.
///
/// # Errors
/// Returns the violation.
pub fn check_eviction(endpoint: &Endpoint, adapter: &AdapterRef, pins: u32) -> InvariantResult {
    check(pins == 0, "pins at eviction", || {
        format!("{adapter} on {endpoint} has {pins} pins and is to be evicted")
    })
}

/// Checks that an endpoint has only one owner for each fencing token.
///
/// `known` and `reported` are owners with their fencing tokens.
///
/// # Errors
/// Returns the violation.
pub fn check_single_owner(
    endpoint: &Endpoint,
    known: (Option<&Node>, u64),

    reported: (&Node, u64),
) -> InvariantResult {
    let other = known.0.is_some_and(|n| n != reported.0);
    check(!(other && known.1 == reported.1), "one owner per fence", || {
        format!("{endpoint} has owners {:?} and {} with fence {}", known.0, reported.0, reported.1)
    })
}

/// Applies an event to the state of an attempt, if the state allows it.
///
/// # Errors
/// Returns the violation; the state is unchanged.
pub fn apply_event(
    attempt: AttemptId,
    state: &mut AttemptState,
    event: AttemptEvent,
) -> InvariantResult {
    state.apply(event).map_err(|e| Violation {
        rule: "attempt transition",
        state: format!("attempt {attempt}: {e}"),
    })
}

/// Checks that an attempt may be reported as "not run": it was not sent, or the
/// endpoint refused it.
///
/// # Errors
/// Returns the violation.
pub fn check_not_run(attempt: AttemptId, state: &AttemptState) -> InvariantResult {
    let not_run = matches!(state, AttemptState::Unsent | AttemptState::Ended { ran: false });
    check(not_run, "statement \"not run\"", || {
        format!("attempt {attempt} in state {state:?} would be reported as not run")
    })
}

/// Checks that a call with an idempotency key is sent only with a committed claim.
///
/// # Errors
/// Returns the violation.
pub fn check_claim(attempt: AttemptId, granted: bool) -> InvariantResult {
    check(granted, "claim before send", || {
        format!("attempt {attempt} of a keyed call is to be sent without a committed claim")
    })
}

/// Checks that the serial of the configuration in force increases.
///
/// # Errors
/// Returns the violation.
pub fn check_serial(present: Option<u64>, next: u64) -> InvariantResult {
    check(present.is_none_or(|p| p < next), "growing serial", || {
        format!("configuration {next} would follow {present:?}")
    })
}

/// Checks that no new permit is granted for a leaving endpoint.
///
/// # Errors
/// Returns the violation.
pub fn check_not_leaving(
    attempt: AttemptId,
    endpoint: &Endpoint,
    leaving: bool,
) -> InvariantResult {
    check(!leaving, "permit of a leaving endpoint", || {
        format!("attempt {attempt} would be granted on {endpoint}, which is leaving")
    })
}

/// Checks that a table has no more entries than its bound.
///
/// # Errors
/// Returns the violation.
pub fn check_table_bound(
    table: &'static str,
    endpoint: &str,
    entries: usize,
    most: usize,
) -> InvariantResult {
    check(entries <= most, "bound of a table", || {
        format!("{table} of {endpoint} holds {entries} entries, more than {most}")
    })
}
