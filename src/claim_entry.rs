//! State of one idempotency key in memory.

use crate::claim_row::ClaimRow;
use crate::claim_types::{Call, Ticket};
use crate::ids::{AttemptId, Endpoint};
use crate::time::Ms;

/// An opened call that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub ticket: Ticket,
    pub call: Call,
}

/// Version of the key's row in the table, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowVersion {
    /// The table has no row.
    Absent,
    /// The row has this version.
    At(u64),
    /// Not known; the row is read before the next write.
    Unclear,
}

/// Table operation that a key waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableIo {
    Idle,
    Queued,
    Writing,
    Reading,
}

/// Progress of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The claim of `call` is being committed.
    Claiming,
    /// The claim is committed and `call` may be sent.
    Granted,
    /// `row` is being written: an outcome, or *unknown* for a node that is gone.
    Storing,
    /// `row` is in the table.
    Stored,
    /// Another node runs the call; its row is read periodically.
    Watching,
    /// The endpoint is queried for the attempt of `row`.
    Querying,
}

/// State of one key.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The call that claims the key or waits for its row; `None` once it has ended.
    pub call: Option<PendingCall>,
    /// The row to write, or as last read.
    pub row: ClaimRow,
    pub phase: Phase,
    pub version: RowVersion,
    pub io: TableIo,
    /// Incremented with each change of `row`, to tell whether a commit wrote the latest.
    pub revision: u64,
    /// Whether a write was sent to the table, which may still take effect.
    pub commit_sent: bool,
    /// Failed commits since the row was last written or read.
    pub conflicts: u32,
    /// Later calls with the same key.
    pub waiters: Vec<PendingCall>,
    /// Time of the next read or query, or of the removal from memory.
    pub due_at: Ms,
    /// Bytes of the answer that count towards [`Settings::memory_bytes`](crate::claim::Settings).
    pub answer_bytes: usize,
}

impl Entry {
    /// Attempt and endpoint of the first waiting call whose deadline has not passed.
    pub fn first_unexpired(&self, now: Ms) -> Option<(AttemptId, Endpoint)> {
        let next = self.waiters.iter().find(|w| now < w.call.deadline)?;
        Some((next.call.attempt, next.call.endpoint.clone()))
    }
}
