//! Failpoints: break one mechanism on purpose, to prove that the tests notice.
//!
//! A failpoint is set per thread and exists in debug builds only; in release builds
//! [`active`] is constantly `false`.

use std::cell::Cell;

/// A mechanism that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failpoint {
    /// A grant does not pin its adapter.
    SkipPin,
    /// A keyed call proceeds without a committed claim.
    SkipClaim,
    /// Orders are not checked against authority and fence.
    IgnoreFence,
    /// A loan is not debited from its lender.
    DoubleLoan,
    /// A lower configuration serial is adopted.
    LowerSerial,
    /// A leaving endpoint gets new permits.
    GrantLeaving,
    /// An attempt that was sent counts as not run.
    FalseNotRun,
    /// What may have run is sent again though its route forbids it.
    ResendSent,
}

/// Failpoints of the model that the random tests drive.
pub const FAILPOINTS: [Failpoint; 7] = [
    Failpoint::SkipPin,
    Failpoint::SkipClaim,
    Failpoint::IgnoreFence,
    Failpoint::DoubleLoan,
    Failpoint::LowerSerial,
    Failpoint::GrantLeaving,
    Failpoint::FalseNotRun,
];

/// Failpoints of an edge node.
pub const EDGE_FAILPOINTS: [Failpoint; 5] = [
    Failpoint::IgnoreFence,
    Failpoint::LowerSerial,
    Failpoint::GrantLeaving,
    Failpoint::FalseNotRun,
    Failpoint::ResendSent,
];

/// Environment variable that names the failpoint of an edge node.
pub const VARIABLE: &str = "SYCAMOREFORK_FAILPOINT";

/// Breaks the mechanism that [`VARIABLE`] names, in debug builds.
pub fn set_from_environment() {
    let Ok(name) = std::env::var(VARIABLE) else { return };
    let found = EDGE_FAILPOINTS.into_iter().find(|f| format!("{f:?}") == name);
    log::warn!("{VARIABLE}={name}: {found:?}");
    set(found);
}

thread_local! {
    static SET: Cell<Option<Failpoint>> = const { Cell::new(None) };
}

/// Breaks a mechanism on this thread, or repairs all with `None`.
pub fn set(failpoint: Option<Failpoint>) {
    SET.set(failpoint);
}

/// Whether the mechanism is broken on this thread.
pub fn active(failpoint: Failpoint) -> bool {
    cfg!(debug_assertions) && SET.get() == Some(failpoint)
}
