//! Times of the reads that follow the store's tables, derived from the deployment's bounds.
//!
//! A change has to be in force at every node within a bound after the store has acknowledged it,
//! although calls can go unanswered: a kept connection may be silent, and the answer to the call
//! that replaces it may be lost as well. All delays on that way share the bound, and the rest is
//! left to requests that are on their way to an endpoint.

use crate::deployment::Bounds;
use crate::overdue::MAX_CALLS;
use crate::time::Ms;

/// Parts into which a bound is divided.
const PARTS: u64 = 8;
/// Calls of one read that may go unanswered while the bound still holds.
const LOST_CALLS: u64 = 2;

/// Times of the reads of one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Pause between an answer and the next read.
    pub pause: Ms,
    /// Time for which the store may hold back the answer of a feed without changes.
    pub wait: Ms,
    /// Time after which a call without an answer is repeated on a new connection.
    pub overdue: Ms,
    /// Time limit of a call, on top of [`ReadSchedule::wait`].
    pub limit: Ms,
    /// Longest delay of the next read after a failed one.
    pub retry: Ms,
}

impl ReadSchedule {
    fn new(bound: Ms, pause_parts: u64, wait_parts: u64) -> Self {
        let parts = |n: u64| Ms(bound.0 * n / PARTS);
        Self {
            pause: parts(pause_parts),
            wait: parts(wait_parts),
            overdue: parts(1),
            limit: parts(4),
            retry: parts(2),
        }
    }

    /// Schedule of the operators' documents and the versions of adapters.
    pub fn of_documents(bounds: &Bounds) -> Self {
        Self::new(bounds.config_deadline.min(bounds.version_delay), 0, 4)
    }

    /// Schedule of the endpoints' entries. Reads are spaced out because entries change all the
    /// time.
    pub fn of_entries(bounds: &Bounds) -> Self {
        Self::new(bounds.drain, 3, 1)
    }

    /// The schedule of single reads.
    pub fn without_wait(self) -> Self {
        Self { pause: Ms(0), wait: Ms(0), ..self }
    }

    /// Longest time until a change is read, without the time that an answer takes.
    pub fn worst_delay(&self) -> Ms {
        self.pause + self.wait + Ms(LOST_CALLS * self.overdue.0)
    }

    /// Longest time without a new call while no call is answered; at most [`MAX_CALLS`] are under
    /// way.
    pub fn worst_gap(&self) -> Ms {
        self.limit.since(Ms((MAX_CALLS as u64 - 1) * self.overdue.0)).max(self.overdue)
    }
}
