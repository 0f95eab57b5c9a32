//! State of one key in the claim module.

use crate::claim_row::ClaimRow;
use crate::claim_types::{Call, Ticket};
use crate::ids::{AttemptId, Endpoint};
use crate::time::Ms;

/// A call that was opened and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub ticket: Ticket,
    pub call: Call,
}

/// What is known about the row in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    Absent,
    At(u64),
    Unclear,
}

/// What a key waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Busy {
    Idle,
    Queued,
    Flight,
    Reading,
}

/// How far the entry of a key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The running row of `call` is to be committed.
    Claiming,
    /// `call` may be sent.
    Granted,
    /// `row` is to be written: an outcome, or the mark of a lost node's claim.
    Storing,
    /// `row` is in the table.
    Done,
    /// Another node runs the call.
    Watching,
    /// The endpoint is asked about the attempt of `row`.
    Asking,
}

/// All that a node knows about one key.
#[derive(Debug)]
pub(crate) struct Entry {
    pub call: Option<Waiter>,
    pub row: ClaimRow,
    pub phase: Phase,
    pub known: Known,
    pub busy: Busy,
    /// Grows with each change of `row`, to tell whether a commit wrote the newest.
    pub stamp: u64,
    /// Whether a claim left this node and may yet take effect.
    pub tried: bool,
    pub conflicts: u32,
    pub waiters: Vec<Waiter>,
    pub until: Ms,
    /// Bytes of the answer that count towards the memory bound.
    pub size: usize,
}

impl Entry {
    /// The first waiting call that may still run.
    pub fn live(&self, now: Ms) -> Option<(AttemptId, Endpoint)> {
        let next = self.waiters.iter().find(|w| now < w.call.deadline)?;
        Some((next.call.attempt, next.call.endpoint.clone()))
    }
}
