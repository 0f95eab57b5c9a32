//! Failpoints, which disable one safety mechanism to verify that the tests detect it.
//!
//! A failpoint is set per thread and works in debug builds only; in release builds
//! [`active`] always returns `false`.

use std::cell::Cell;

/// Mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failpoint {
    /// A grant does not pin its adapter.
    SkipPin,
    /// A call with an idempotency key proceeds without a committed claim.
    SkipClaim,
    /// Orders are not checked against authority and fencing token.
    IgnoreFence,
    /// The stock of a loan is not debited from its lender.
    DoubleLoan,
    /// A configuration with a lower serial is accepted.
    LowerSerial,
    /// New permits are granted for a leaving endpoint.
    GrantLeaving,
    /// An attempt that was sent counts as not run.
    FalseNotRun,
    /// A request that may have run is resent although its route does not allow it.
    ResendSent,
    /// Requests with quarantined features are served.
    SkipQuarantine,
    /// A stopping node exits without waiting for its callers.
    ExitEarly,
}

/// Failpoints that the simulated fleet of the random tests supports.
pub const FLEET_FAILPOINTS: [Failpoint; 7] = [
    Failpoint::SkipPin,
    Failpoint::SkipClaim,
    Failpoint::IgnoreFence,
    Failpoint::DoubleLoan,
    Failpoint::LowerSerial,
    Failpoint::GrantLeaving,
    Failpoint::FalseNotRun,
];

/// Failpoints that an edge node supports.
pub const EDGE_FAILPOINTS: [Failpoint; 7] = [
    Failpoint::IgnoreFence,
    Failpoint::LowerSerial,
    Failpoint::GrantLeaving,
    Failpoint::FalseNotRun,
    Failpoint::ResendSent,
    Failpoint::SkipQuarantine,
    Failpoint::ExitEarly,
];

/// Environment variable that names the failpoint of an edge node.
pub const FAILPOINT_VARIABLE: &str = "SYCAMOREFORK_FAILPOINT";

/// Sets the failpoint that the environment variable names, if it is one of an edge node.
pub fn set_from_environment() {
    let Ok(name) = std::env::var(FAILPOINT_VARIABLE) else { return };
    let found = EDGE_FAILPOINTS.into_iter().find(|f| format!("{f:?}") == name);
    log::warn!("{FAILPOINT_VARIABLE}={name}: failpoint set to {found:?}");
    set(found);
}

thread_local! {
    static CURRENT: Cell<Option<Failpoint>> = const { Cell::new(None) };
}

/// Disables a mechanism on this thread; `None` enables all again.
pub fn set(failpoint: Option<Failpoint>) {
    CURRENT.set(failpoint);
}

/// Whether a mechanism is disabled on this thread.
pub fn active(failpoint: Failpoint) -> bool {
    cfg!(debug_assertions) && CURRENT.get() == Some(failpoint)
}
