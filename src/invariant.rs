//! Invariants that the program checks while it runs.
//!
//! Each function checks one invariant and returns the violation with its state. The
//! caller stops the action concerned and reports the violation, which is logged and
//! counted by the metric `faults`.

use std::fmt;

use crate::attempt::{AttemptEvent, AttemptState};
use crate::ids::{AdapterRef, AttemptId, Endpoint, Node, Team};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "a violation stops the action concerned and is reported"]
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

/// Result of a check.
pub type InvariantResult = Result<(), Violation>;

fn check(holds: bool, rule: &'static str, state: impl FnOnce() -> String) -> InvariantResult {
    if holds { Ok(()) } else { Err(Violation { rule, state: state() }) }
}

/// A granted attempt pins the adapter and version that its request asked for.
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

/// A granted attempt is charged to the team of its request.
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

/// An answer comes from the model that the request asked for.
///
/// # Errors
/// Returns the violation.
pub fn check_answer_model(attempt: AttemptId, asked: &str, answered: &str) -> InvariantResult {
    check(asked == answered, "adapter at answer", || {
        format!("attempt {attempt} for {asked} was answered by {answered}")
    })
}

/// A permit is for the endpoint that was asked for.
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

/// An adapter that leaves its slot has no pins.
///
/// # Errors
/// Returns the violation.
pub fn check_eviction(endpoint: &Endpoint, adapter: &AdapterRef, pins: u32) -> InvariantResult {
    check(pins == 0, "pins at eviction", || {
        format!("{adapter} on {endpoint} has {pins} pins and is to be evicted")
    })
}

/// An endpoint has one owner for each fence.
///
/// # Errors
/// Returns the violation.
pub fn check_single_owner(
    endpoint: &Endpoint,
    known: (Option<&Node>, u64),
    heard: (&Node, u64),
) -> InvariantResult {
    let other = known.0.is_some_and(|n| n != heard.0);
    check(!(other && known.1 == heard.1), "one owner per fence", || {
        format!("{endpoint} has owners {:?} and {} with fence {}", known.0, heard.0, heard.1)
    })
}

/// An attempt passes only through the allowed states.
///
/// # Errors
/// Returns the violation; the state stays as it was.
pub fn apply_event(
    attempt: AttemptId,
    state: &mut AttemptState,
    step: AttemptEvent,
) -> InvariantResult {
    state.apply(step).map_err(|e| Violation {
        rule: "attempt transition",
        state: format!("attempt {attempt}: {e}"),
    })
}

/// A statement "not run" is made only for an attempt that was not sent or that the
/// endpoint refused.
///
/// # Errors
/// Returns the violation.
pub fn not_run(attempt: AttemptId, state: &AttemptState) -> InvariantResult {
    let unrun = matches!(state, AttemptState::Unsent | AttemptState::Ended { ran: false });
    check(unrun, "statement \"not run\"", || {
        format!("attempt {attempt} in state {state:?} would be reported as not run")
    })
}

/// A keyed call is sent only while its claim is committed and allows it.
///
/// # Errors
/// Returns the violation.
pub fn check_claim(attempt: AttemptId, granted: bool) -> InvariantResult {
    check(granted, "claim before send", || {
        format!("attempt {attempt} of a keyed call is to be sent without a committed claim")
    })
}

/// The serial of the configuration in force grows.
///
/// # Errors
/// Returns the violation.
pub fn check_serial(present: Option<u64>, next: u64) -> InvariantResult {
    check(present.is_none_or(|p| p < next), "growing serial", || {
        format!("configuration {next} would follow {present:?}")
    })
}

/// A leaving endpoint gets no new permit.
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

/// A table holds no more entries than its bound.
///
/// # Errors
/// Returns the violation.
pub fn check_table_bound(
    table: &'static str,
    place: &str,
    entries: usize,
    most: usize,
) -> InvariantResult {
    check(entries <= most, "bound of a table", || {
        format!("{table} of {place} holds {entries} entries, more than {most}")
    })
}
