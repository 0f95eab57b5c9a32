//! Admission control: serves a request or refuses it at once.
//!
//! Under load beyond the fleet's capacity, a request whose predicted wait leaves no time for
//! its answer is refused before it uses any resource. The refusal carries the time after
//! which the current backlog will have been served.

use crate::time::Ms;

/// Largest fraction of the time left that a request may wait; the rest is for its answer.
const MAX_WAIT_FRACTION: f64 = 0.75;
/// Predicted waits up to this never cause a refusal: predictions are not more exact.
const ALWAYS_SERVED_MS: f64 = 150.0;
/// Shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN_MS: f64 = 200.0;
/// Longest time after which a refused caller is told to retry.
const RETRY_AFTER_MAX_MS: f64 = 3_000.0;

/// Result of [`admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is served.
    Serve,
    /// The request cannot be served in time; the caller may retry after the given time.
    Refuse(Ms),
}

/// Decides on a request from its predicted wait in ms, the time left until its deadline
/// and the latency objective of its route.
pub fn admit(wait: f64, left: Ms, objective: Ms) -> Admission {
    let left = left.0 as f64;
    if wait <= ALWAYS_SERVED_MS.min(left) || wait <= left * MAX_WAIT_FRACTION {
        return Admission::Serve;
    }
    let retry_after =
        (wait - objective.0 as f64 * 0.5).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    Admission::Refuse(Ms(retry_after as u64))
}
