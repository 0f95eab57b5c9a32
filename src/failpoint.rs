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
}

/// All failpoints.
pub const FAILPOINTS: [Failpoint; 7] = [
    Failpoint::SkipPin,
    Failpoint::SkipClaim,
    Failpoint::IgnoreFence,
    Failpoint::DoubleLoan,
    Failpoint::LowerSerial,
    Failpoint::GrantLeaving,
    Failpoint::FalseNotRun,
];

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
